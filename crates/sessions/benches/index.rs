//! Memory and time of the session index and the sketch, compared with a hash map of the same entries.

use std::collections::HashMap;
use std::hint::black_box;
use std::time::Instant;

use fastrand::Rng;
use leverpoint_sessions::{PositionSketch, SessionEntry, SessionIndex, SessionState};

fn mean_ns(count: usize, mut operation: impl FnMut(usize)) -> f64 {
    let started = Instant::now();
    (0..count).for_each(&mut operation);
    started.elapsed().as_nanos() as f64 / count as f64
}

fn main() {
    for count in [65_536usize, 1 << 20, 4 << 20] {
        let mut random = Rng::with_seed(1);
        let hashes: Vec<u64> = (0..count).map(|_| random.u64(1..)).collect();
        let entry = |time: i64| SessionEntry {
            state: SessionState::Wrote,
            low_watermark: time,
            last_write: time,
            last_seen: time,
        };
        let (mut index, mut map) = (SessionIndex::new(count, 1), HashMap::new());
        let set_ns = mean_ns(count, |n| {
            index.set(hashes[n], &entry(n as i64 + 2));
        });
        let map_set_ns = mean_ns(count, |n| {
            map.insert(hashes[n], entry(n as i64 + 2));
        });
        let lookups: Vec<usize> = (0..1 << 20).map(|_| random.usize(..count)).collect();
        let get_ns = mean_ns(lookups.len(), |n| {
            black_box(index.get(hashes[lookups[n]]));
        });
        let map_get_ns = mean_ns(lookups.len(), |n| {
            black_box(map.get(&hashes[lookups[n]]));
        });
        // A hash map has a control byte for each slot, and keeps at least an eighth of the slots free.
        let map_bytes = map.capacity() * 8 / 7 * (size_of::<(u64, SessionEntry)>() + 1);
        let mut sketch = PositionSketch::new(count / 4, 10, 600_000);
        let record_ns = mean_ns(count, |n| sketch.record(hashes[n], n as i64 + 2));
        let raised_count: usize = (0..count)
            .filter(|n| sketch.upper_bound(hashes[*n]) > *n as i64 + 2 + 600_000)
            .count();
        println!(
            "{count} sessions: index {:.1} MiB, set {set_ns:.0} ns, get {get_ns:.0} ns; map {:.1} MiB, \
             set {map_set_ns:.0} ns, get {map_get_ns:.0} ns; \
             summary {:.1} MiB, note {record_ns:.0} ns, {raised_count} asked for a minute more",
            index.bytes() as f64 / 1_048_576.0,
            map_bytes as f64 / 1_048_576.0,
            sketch.bytes() as f64 / 1_048_576.0,
        );
    }
}
