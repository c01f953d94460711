//! Time of a throughput meter's update, and of finding the next connection to evict: in the eviction order, and by a
//! linear scan over all connections.

use std::hint::black_box;
use std::time::Instant;

use leverpoint_backpressure::eviction_order::{EvictionOrder, EvictionRank};
use leverpoint_backpressure::throughput::ThroughputMeter;

const CONNECTIONS: usize = 1_024;
const ITERATIONS: usize = 4_000_000;

fn print_time(name: &str, iterations: usize, mut operation: impl FnMut(usize)) {
    (0..iterations / 10).for_each(&mut operation);
    let started = Instant::now();
    (0..iterations).for_each(&mut operation);
    println!(
        "{name}: {:.1} ns",
        started.elapsed().as_nanos() as f64 / iterations as f64
    );
}

/// Linear scan for the next connection to evict, by rank and by time of insertion.
fn scan(connections: &[(Option<EvictionRank>, i64)]) -> Option<usize> {
    let ranked = connections
        .iter()
        .enumerate()
        .filter_map(|(id, (rank, inserted_at))| Some(((*rank)? as u8, *inserted_at, id)));
    ranked.min().map(|(.., id)| id)
}

fn main() {
    println!("a meter holds {} bytes", size_of::<ThroughputMeter>());
    let mut meters = vec![ThroughputMeter::default(); CONNECTIONS];
    print_time("meter: an answer goes out and is taken", ITERATIONS, |n| {
        let meter = &mut meters[n * 7 % CONNECTIONS];
        meter.add_pending(n as i64, 300);
        meter.record_transferred(n as i64, 300);
        black_box(meter);
    });
    print_time("meter: an update and its rate", ITERATIONS, |n| {
        let meter = &mut meters[n * 7 % CONNECTIONS];
        meter.add_pending(n as i64, 300);
        meter.record_transferred(n as i64, 200);
        black_box(meter.rate(n as i64));
    });
    for ranked_count in [16, 256, 1_024] {
        let mut order = EvictionOrder::default();
        let mut entries = vec![(None, 0); CONNECTIONS];
        let rank = |n: usize| {
            if n.is_multiple_of(3) {
                EvictionRank::StalledPastDeadline
            } else {
                EvictionRank::SlowPastDeadline
            }
        };
        for (n, connection) in entries.iter_mut().enumerate().take(ranked_count) {
            order.insert(n, rank(n));
            *connection = (Some(rank(n)), n as i64);
        }
        print_time(
            &format!(
                "order: {ranked_count} of {CONNECTIONS}, one enters, the first is named and leaves"
            ),
            ITERATIONS,
            |n| {
                order.insert(n % ranked_count, rank(n));
                let candidate = order.first();
                order.remove(black_box(candidate).unwrap_or_default());
            },
        );
        print_time(
            &format!("a scan: {ranked_count} of {CONNECTIONS}, the same"),
            ITERATIONS / 100,
            |n| {
                entries[n % ranked_count] = (Some(rank(n)), n as i64);
                let candidate = scan(&entries).unwrap_or_default();
                entries[black_box(candidate)].0 = None;
            },
        );
    }
}
