//! Owns the experiment with the price of sessions: what part of their reads primaries take, over time, in calm, after a
//! restart of one gateway, of half and of all at once.
//!
//! It must never restart anything but what it started, or judge a read by what a gateway says of it.

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
use crate::sessions::{self, Asked, BUILD, MEMBERS, WORK};

/// Shares of session reads at the primary, in the five seconds from each event on.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub reads: usize,
    pub missing: usize,
    pub calm: f64,
    pub after_one: f64,
    pub after_half: f64,
    pub after_all: f64,
    pub needless_share: f64,
    pub p50_ms: f64,
}

const GATEWAYS: usize = 6;
const CLIENTS: usize = 36;
/// The first seconds teach the gateways what replicas need; then calm, one, half, all.
const EVENTS: [(u64, usize); 3] = [(7, 1), (12, GATEWAYS / 2), (17, GATEWAYS)];
const CALM: u64 = 2;
const ENDS: u64 = 22;

/// When a read was asked, how it was made, how long it took.
type Row = (f64, ReadOrigin, f64);

/// A player: a report, then looks at it, now and then, always through the same gateway.
fn player(
    n: usize,
    addresses: &[Mutex<String>],
    set: &ReplicaSet,
    over: &AtomicBool,
    began: Instant,
) -> (Vec<Row>, usize) {
    let (mut rows, mut missing, mut chance, mut ids) = (Vec::new(), 0, Rng::with_seed(n as u64), 0);
    let session = format!("64-p{n}");
    let mut line: Option<(String, std::net::TcpStream)> = None;
    while !over.load(Relaxed) {
        sleep(Duration::from_millis(chance.u64(20..120)));
        let address = addresses[n % GATEWAYS]
            .lock()
            .map(|a| a.clone())
            .unwrap_or_default();
        if line.as_ref().is_none_or(|(to, _)| *to != address) {
            line = harness::connect(&address).map(|stream| (address, stream));
        }
        let Some((_, stream)) = &mut line else {
            continue;
        };
        ids += 1;
        let id = format!("p{n}n{ids}");
        let wrote = set.last_write_position(&session);
        let write = wrote.is_none() || chance.u8(..4) == 0;
        let text = harness::of_session(&session, &id, write);
        let asked = Instant::now();
        let Some(heard) = harness::ask(stream, &text) else {
            line = None;
            continue;
        };
        let answered = matches!(
            classify_response(&heard, &expected_value(&id, 64)),
            ResponseOutcome::Answered
        );
        if let Some(row) = set.take_read_origin(&id).filter(|_| answered && !write) {
            missing += usize::from(wrote.is_some_and(|wrote| row.position < wrote));
            rows.push((
                (asked - began).as_secs_f64(),
                row,
                asked.elapsed().as_secs_f64() * 1e3,
            ));
        }
    }
    (rows, missing)
}

pub(crate) fn run(asked: &Asked) -> Result<Figures, String> {
    let program = harness::program(&asked.program)?;
    let (set, _members, known) = start_replica_set(BUILD, MEMBERS, WORK);
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|n| sessions::start(asked, &program, &known, &format!("price-{n}")))
        .collect();
    let addresses: Vec<Mutex<String>> = gateways
        .iter()
        .map(|g| Mutex::new(g.address.clone()))
        .collect();
    let (over, began) = (AtomicBool::new(false), Instant::now());
    let (rows, missing) = thread::scope(|scope| {
        let (set, addresses, over): (&ReplicaSet, _, _) = (&set, &addresses[..], &over);
        let players: Vec<_> = (0..CLIENTS)
            .map(|n| scope.spawn(move || player(n, addresses, set, over, began)))
            .collect();
        for (at, many) in EVENTS {
            sleep(Duration::from_secs(at).saturating_sub(began.elapsed()));
            for n in 0..many {
                // In place of the one before, which is killed.
                gateways[n] = sessions::start(asked, &program, &known, &format!("price-{n}"));
                if let Ok(mut address) = addresses[n].lock() {
                    address.clone_from(&gateways[n].address);
                }
            }
        }
        sleep(Duration::from_secs(ENDS).saturating_sub(began.elapsed()));
        over.store(true, Relaxed);
        let parts: Vec<_> = players
            .into_iter()
            .map(|p| p.join().expect("a player ends by itself"))
            .collect();
        let missing = parts.iter().map(|(_, missing)| missing).sum::<usize>();
        (
            parts
                .into_iter()
                .flat_map(|(rows, _)| rows)
                .collect::<Vec<Row>>(),
            missing,
        )
    });
    let share = |from: f64, to: f64, of: &dyn Fn(&ReadOrigin) -> bool| {
        let within: Vec<_> = rows
            .iter()
            .filter(|(at, ..)| (from..to).contains(at))
            .collect();
        within.iter().filter(|(_, made, _)| of(made)).count() as f64 / within.len().max(1) as f64
    };
    let primary = |from: u64| share(from as f64, from as f64 + 5.0, &|made| made.by_primary);
    let mut times: Vec<f64> = rows.iter().map(|(.., ms)| *ms).collect();
    times.sort_by(f64::total_cmp);
    let steps: Vec<(f64, f64, f64)> = (0..ENDS * 4)
        .map(|n| {
            let (from, to) = (n as f64 / 4.0, (n + 1) as f64 / 4.0);
            (
                from,
                share(from, to, &|m| m.by_primary),
                share(from, to, &|m| m.needless),
            )
        })
        .collect();
    write(asked, &steps).map_err(|e| e.to_string())?;
    Ok(Figures {
        reads: rows.len(),
        missing,
        calm: primary(CALM),
        after_one: primary(EVENTS[0].0),
        after_half: primary(EVENTS[1].0),
        after_all: primary(EVENTS[2].0),
        needless_share: share(0.0, ENDS as f64, &|made| made.needless),
        p50_ms: times.get(times.len() / 2).copied().unwrap_or(0.0),
    })
}

/// A table and a chart of the shares by time.
fn write(asked: &Asked, steps: &[(f64, f64, f64)]) -> Result<(), Box<dyn std::error::Error>> {
    let name = if asked.without {
        "price-without-sessions"
    } else {
        "price"
    };
    let mut table = csv::Writer::from_path(asked.out.join(format!("{name}.csv")))?;
    table.write_record(["second", "at_primary", "needless"])?;
    for (at, primary, needless) in steps {
        table.write_record([
            at.to_string(),
            format!("{primary:.3}"),
            format!("{needless:.3}"),
        ])?;
    }
    table.flush()?;
    let file = asked.out.join(format!("{name}.svg"));
    let area = SVGBackend::new(&file, (900, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..ENDS as f64, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("part of session reads")
        .draw()?;
    chart.draw_series(LineSeries::new(
        steps.iter().map(|(at, primary, _)| (*at, *primary)),
        &RED,
    ))?;
    chart.draw_series(LineSeries::new(
        steps.iter().map(|(at, _, needless)| (*at, *needless)),
        &BLUE,
    ))?;
    area.present()?;
    Ok(())
}
