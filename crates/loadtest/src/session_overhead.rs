//! Overhead of session consistency: the share of session reads that the primary answers, over time, in steady state and
//! after a restart of one gateway, of half of them and of all at once.
//!
//! # Invariants
//!
//! Where a read was answered is taken from the replica set, never from what a gateway reports.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use fastrand::Rng;
use leverpoint_test_support::client::ResponseOutcome;
use leverpoint_test_support::client::classify_response;
use leverpoint_test_support::gateway::Gateway;
use leverpoint_test_support::replica_set::{ReadOrigin, ReplicaSet, start_replica_set};
use leverpoint_test_support::values::expected_value;
use plotters::prelude::*;
use serde::Serialize;

use crate::harness;
use crate::sessions::{self, Options, SERVICE_TIME, SET_CONFIG, SET_MEMBERS};

/// Results of a run, printed as JSON. `steady` and `after_*` are the shares of session reads that the primary answered
/// in the five seconds from the start of the steady state and from each restart on.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub reads: usize,
    /// Reads that did not see the session's last write.
    pub missing: usize,
    #[serde(rename = "calm")]
    pub steady: f64,
    pub after_one: f64,
    pub after_half: f64,
    pub after_all: f64,
    /// Share of all reads answered by the primary although a replica had the session's last write.
    pub needless_share: f64,
    pub p50_ms: f64,
}

/// Number of gateways; client `n` uses gateway `n % GATEWAYS`.
const GATEWAYS: usize = 6;
/// Number of clients, with a session each.
const CLIENTS: usize = 36;
/// Restarts: seconds from the start of the run, and number of gateways. In the first seconds the gateways learn the
/// replication lag; a steady state follows.
const RESTARTS: [(u64, usize); 3] = [(7, 1), (12, GATEWAYS / 2), (17, GATEWAYS)];
/// Start of the steady state, in seconds from the start of the run.
const STEADY_FROM_S: u64 = 2;
/// End of the run, in seconds.
const END_S: u64 = 22;

/// A session's read: when it was sent, in seconds from the start of the run; its origin; its latency in ms.
type SessionRead = (f64, ReadOrigin, f64);

/// Runs a session that writes its row and reads it back at random intervals, always through the same gateway. Returns
/// its reads, and how many of them did not see the last write.
fn session_client(
    n: usize,
    addresses: &[Mutex<String>],
    set: &ReplicaSet,
    done: &AtomicBool,
    started_at: Instant,
) -> (Vec<SessionRead>, usize) {
    let (mut reads, mut missing, mut rng, mut request_count) =
        (Vec::new(), 0, Rng::with_seed(n as u64), 0);
    let session = format!("64-p{n}");
    let mut connection: Option<(String, std::net::TcpStream)> = None;
    while !done.load(Relaxed) {
        sleep(Duration::from_millis(rng.u64(20..120)));
        let address = addresses[n % GATEWAYS]
            .lock()
            .map(|a| a.clone())
            .unwrap_or_default();
        if connection
            .as_ref()
            .is_none_or(|(connected_to, _)| *connected_to != address)
        {
            connection = harness::connect(&address).map(|stream| (address, stream));
        }
        let Some((_, stream)) = &mut connection else {
            continue;
        };
        request_count += 1;
        let id = format!("p{n}n{request_count}");
        let write_position = set.last_write_position(&session);
        let write = write_position.is_none() || rng.u8(..4) == 0;
        let text = harness::session_statement(&session, &id, write);
        let sent_at = Instant::now();
        let Some(response) = harness::send_query(stream, &text) else {
            connection = None;
            continue;
        };
        let answered = matches!(
            classify_response(&response, &expected_value(&id, 64)),
            ResponseOutcome::Answered
        );
        if let Some(origin) = set.take_read_origin(&id).filter(|_| answered && !write) {
            missing += usize::from(
                write_position.is_some_and(|write_position| origin.position < write_position),
            );
            reads.push((
                (sent_at - started_at).as_secs_f64(),
                origin,
                sent_at.elapsed().as_secs_f64() * 1e3,
            ));
        }
    }
    (reads, missing)
}

/// Runs the clients through all restarts and writes the table and the chart.
///
/// # Errors
///
/// Returns a message if the gateway program is missing or an output file cannot be written.
pub(crate) fn run(options: &Options) -> Result<Figures, String> {
    let program = harness::gateway_binary(&options.program)?;
    let (set, _members, known_list) = start_replica_set(SET_CONFIG, SET_MEMBERS, SERVICE_TIME);
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|n| sessions::start_gateway(options, &program, &known_list, &format!("price-{n}")))
        .collect();
    let addresses: Vec<Mutex<String>> = gateways
        .iter()
        .map(|g| Mutex::new(g.address.clone()))
        .collect();
    let (done, started_at) = (AtomicBool::new(false), Instant::now());
    let (reads, missing) = thread::scope(|scope| {
        let (set, addresses, done): (&ReplicaSet, _, _) = (&set, &addresses[..], &done);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| scope.spawn(move || session_client(n, addresses, set, done, started_at)))
            .collect();
        for (at, gateway_count) in RESTARTS {
            sleep(Duration::from_secs(at).saturating_sub(started_at.elapsed()));
            for n in 0..gateway_count {
                // Replacing the gateway drops the previous one, which kills it.
                gateways[n] =
                    sessions::start_gateway(options, &program, &known_list, &format!("price-{n}"));
                if let Ok(mut address) = addresses[n].lock() {
                    address.clone_from(&gateways[n].address);
                }
            }
        }
        sleep(Duration::from_secs(END_S).saturating_sub(started_at.elapsed()));
        done.store(true, Relaxed);
        let results: Vec<_> = clients
            .into_iter()
            .map(|client| client.join().expect("client panicked"))
            .collect();
        let missing = results.iter().map(|(_, missing)| missing).sum::<usize>();
        (
            results
                .into_iter()
                .flat_map(|(reads, _)| reads)
                .collect::<Vec<SessionRead>>(),
            missing,
        )
    });
    let share = |from: f64, to: f64, matches: &dyn Fn(&ReadOrigin) -> bool| {
        let within: Vec<_> = reads
            .iter()
            .filter(|(at, ..)| (from..to).contains(at))
            .collect();
        within
            .iter()
            .filter(|(_, origin, _)| matches(origin))
            .count() as f64
            / within.len().max(1) as f64
    };
    let primary = |from: u64| share(from as f64, from as f64 + 5.0, &|origin| origin.by_primary);
    let mut latencies: Vec<f64> = reads.iter().map(|(.., ms)| *ms).collect();
    latencies.sort_by(f64::total_cmp);
    let intervals: Vec<(f64, f64, f64)> = (0..END_S * 4)
        .map(|n| {
            let (from, to) = (n as f64 / 4.0, (n + 1) as f64 / 4.0);
            (
                from,
                share(from, to, &|origin| origin.by_primary),
                share(from, to, &|origin| origin.needless),
            )
        })
        .collect();
    write_output(options, &intervals).map_err(|e| e.to_string())?;
    Ok(Figures {
        reads: reads.len(),
        missing,
        steady: primary(STEADY_FROM_S),
        after_one: primary(RESTARTS[0].0),
        after_half: primary(RESTARTS[1].0),
        after_all: primary(RESTARTS[2].0),
        needless_share: share(0.0, END_S as f64, &|origin| origin.needless),
        p50_ms: latencies.get(latencies.len() / 2).copied().unwrap_or(0.0),
    })
}

/// Writes a table and a chart of the shares over time. Each interval holds its start in seconds, the share of reads
/// answered by the primary, and the share of those that a replica could have answered.
fn write_output(
    options: &Options,
    intervals: &[(f64, f64, f64)],
) -> Result<(), Box<dyn std::error::Error>> {
    let name = if options.without_sessions {
        "price-without-sessions"
    } else {
        "price"
    };
    let mut table = csv::Writer::from_path(options.out.join(format!("{name}.csv")))?;
    table.write_record(["second", "at_primary", "needless"])?;
    for (at, primary, needless) in intervals {
        table.write_record([
            at.to_string(),
            format!("{primary:.3}"),
            format!("{needless:.3}"),
        ])?;
    }
    table.flush()?;
    let file = options.out.join(format!("{name}.svg"));
    let area = SVGBackend::new(&file, (900, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..END_S as f64, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("share of session reads")
        .draw()?;
    chart.draw_series(LineSeries::new(
        intervals.iter().map(|(at, primary, _)| (*at, *primary)),
        &RED,
    ))?;
    chart.draw_series(LineSeries::new(
        intervals.iter().map(|(at, _, needless)| (*at, *needless)),
        &BLUE,
    ))?;
    area.present()?;
    Ok(())
}
