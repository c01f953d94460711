//! Owns the experiment with copies: in each try a machine is lost with its folder right after it has answered a report; the
//! player looks through another gateway, its client repeats the key through a third. Then what copies cost beside none, and
//! how a replaced machine takes its part.
//!
//! It must never take a gateway's word for what was read or applied: the set knows both.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use hdrhistogram::Histogram;
use leverpoint_test_support::client::{ResponseOutcome, classify_response};
use leverpoint_test_support::fleet::{FleetConfig, GatewayFleet};
use leverpoint_test_support::replica_set::{ReplicaSet, start_replica_set};
use leverpoint_test_support::values::expected_value;
use plotters::prelude::*;
use serde::Serialize;

use crate::harness::{self, PATIENCE, SETTINGS};
use crate::sessions::{BUILD, MEMBERS, WORK};

#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub tries: usize,
    pub short: bool,
    pub seed: u64,
    pub out: PathBuf,
    pub without: bool,
    pub records: usize,
    pub program: Option<PathBuf>,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub tries: usize,
    pub machines_lost: usize,
    pub missing: usize,
    pub keys_applied_twice: u64,
    pub promises: usize,
    pub promises_broken: usize,
    pub unpromised_share: f64,
    /// Of players' reads in service: at the primary though a replica had it; their times.
    pub needless_share: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Of reads right after a report whose machine was lost: the time, which is the replicas' lag for the most part.
    pub after_loss_p50_ms: f64,
    /// Writes' p99 over that of a fleet that copies nothing: with players in service, and one client alone on a quiet machine.
    pub p99_ratio: f64,
    pub p99_ratio_alone: f64,
    pub repair_s_p99: f64,
    /// Repeats that were ended at once, as nobody could know whether they had run.
    pub unclear_share: f64,
    pub failed: usize,
}

const PROCESSES: usize = 5;
/// Fleets that play side by side on one set.
const LANES: usize = 5;

fn build(known: &str, on: bool, without: bool, seed: u64) -> FleetConfig {
    let sessions = "sessions {\n  follow = true\n  number = \"8c1f30d27a5be964\"\n}\n";
    let copies = "copies {\n  on = true\n  lease = \"500ms\"\n  starts = \"300ms\"\n}\n";
    // The harm without copies: sessions that trust what this process alone has seen.
    let alone =
        "sessions {\n  follow = true\n  moves = false\n  number = \"8c1f30d27a5be964\"\n}\n";
    let more = match (on, without) {
        (_, true) => alone.to_owned(),
        (true, false) => format!("{sessions}{copies}"),
        (false, false) => sessions.to_owned(),
    };
    FleetConfig {
        processes: PROCESSES,
        founders: PROCESSES,
        heartbeat_ms: 50,
        join_delay_ms: Some(50),
        disk: true,
        zones: 2,
        members: true,
        relays: false,
        settings: SETTINGS.into(),
        known_list: known.into(),
        extra_hcl: more,
        seed,
    }
}

struct Lane<'a> {
    set: &'a ReplicaSet,
    asked: &'a Asked,
    stage: GatewayFleet,
    chance: Rng,
    name: usize,
    ids: usize,
    figures: Figures,
    repeats: usize,
    unclear: usize,
    primary: usize,
    needless: usize,
    times: Histogram<u64>,
    repairs: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds of our own")
}

impl Lane<'_> {
    fn id(&mut self) -> String {
        self.ids += 1;
        format!("c{}n{}", self.name, self.ids)
    }

    /// As often as its client is told to come back; none where it fails or its time is over.
    fn command(&mut self, p: usize, text: &dyn Fn(&str, u128) -> String) -> Option<String> {
        let ends = Instant::now() + PATIENCE;
        while Instant::now() < ends {
            let id = self.id();
            let left = ends
                .saturating_duration_since(Instant::now())
                .as_millis()
                .max(1);
            let line = harness::connect(&self.stage.gateway(p).address);
            let Some(heard) =
                line.and_then(|mut stream| harness::ask(&mut stream, &text(&id, left)))
            else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            match classify_response(&heard, &expected_value(&id, 64)) {
                ResponseOutcome::Answered => return Some(id),
                ResponseOutcome::Wrong | ResponseOutcome::Failed => return None,
                ResponseOutcome::Throttled(ms) => {
                    thread::sleep(Duration::from_millis(ms.clamp(5, 100)))
                }
            }
        }
        None
    }

    fn one_try(&mut self, nth: usize) {
        let writer = self.chance.usize(..PROCESSES);
        let (reader, other) = (
            (writer + 1 + nth % 2) % PROCESSES,
            (writer + 3 + nth % 2) % PROCESSES,
        );
        let session = format!("64-s{}x{}", self.name, nth % 40);
        let key = format!("{:x}", self.chance.u64(..));
        let write = |id: &str, left: u128, more: &str| {
            format!(
                "INSERT INTO records (k, v) VALUES ('{session}', '\\x9f') RETURNING v \
                 /* id={id},c=report,t=honest,d={left},k={key},cluster=2{more} */"
            )
        };
        self.figures.tries += 1;
        let answered = self
            .command(writer, &|id, left| write(id, left, ""))
            .is_some();
        // Lost with its folder, at once.
        let gone = self.stage.kill_and_erase_keeping_log(writer);
        self.figures.machines_lost += 1;
        if answered {
            let unpromised = gone
                .log
                .try_iter()
                .chain(gone.log_lines.take())
                .any(|l| l.contains("without a promise"));
            self.figures.promises += usize::from(!unpromised);
            self.looks(reader, &session, !unpromised);
            let repeated = self.command(other, &|id, left| write(id, left, ",r=1"));
            self.repeats += 1;
            self.unclear += usize::from(repeated.is_none());
        } else {
            self.figures.failed += 1;
        }
        drop(gone);
        let began = Instant::now();
        self.stage.start(writer);
        if !self.asked.without {
            let version = self.stage.observed(reader).layout_version;
            let _ = self.stage.wait_for_state(reader, |word| {
                word.layout_version >= version + 2 && word.holder_count >= 5
            });
            (0..PROCESSES).for_each(|p| self.stage.wait_until_settled(p));
            let _ = self.repairs.record(began.elapsed().as_micros() as u64);
        }
    }

    fn looks(&mut self, reader: usize, session: &str, promised: bool) {
        let Some(wrote) = self.set.last_write_position(session) else {
            return;
        };
        let began = Instant::now();
        let read = |id: &str, left: u128| {
            format!(
                "SELECT v FROM records WHERE k = '{session}' /* id={id},c=own,t=honest,d={left},cluster=2 */"
            )
        };
        let row = self
            .command(reader, &read)
            .and_then(|id| self.set.take_read_origin(&id));
        let Some(row) = row else {
            self.figures.failed += 1;
            return;
        };
        self.times
            .saturating_record(began.elapsed().as_micros() as u64);
        let missing = row.position < wrote;
        self.figures.missing += usize::from(missing);
        self.figures.promises_broken += usize::from(missing && promised);
        self.primary += usize::from(row.by_primary);
        self.needless += usize::from(row.needless);
    }
}

fn tries(asked: &Asked, program: &Path, figures: &mut Figures) -> Result<(), String> {
    let (set, _members, known) = start_replica_set(BUILD, MEMBERS, WORK);
    let many = if asked.short {
        asked.tries.min(150)
    } else {
        asked.tries
    };
    let (next, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let lane = |name: usize| {
        let seed = asked.seed * 100 + name as u64;
        let mut stage = GatewayFleet::new(program, build(&known, true, asked.without, seed));
        stage.start_all();
        if !asked.without {
            stage.wait_for_layout(&[0, 1, 2, 3, 4], 1);
            (0..PROCESSES).for_each(|p| stage.wait_until_settled(p));
        }
        let mut lane = Lane {
            set: &set,
            asked,
            stage,
            chance: Rng::with_seed(seed),
            name,
            ids: 0,
            figures: Figures::default(),
            repeats: 0,
            unclear: 0,
            primary: 0,
            needless: 0,
            times: histogram(),
            repairs: histogram(),
        };
        loop {
            let nth = next.fetch_add(1, Relaxed);
            if nth >= many {
                return lane;
            }
            lane.one_try(nth);
            if nth % 250 == 249 {
                eprintln!("{} tries played", nth + 1);
            }
        }
    };
    let lanes: Vec<Lane<'_>> = thread::scope(|scope| {
        let lanes: Vec<_> = (0..LANES)
            .map(|name| scope.spawn(move || lane(name)))
            .collect();
        let (set, over) = (&set, &over);
        // Meanwhile the primary changes every few seconds.
        let trouble = scope.spawn(move || {
            let mut chance = Rng::with_seed(asked.seed);
            while !over.load(Relaxed) {
                thread::sleep(Duration::from_millis(chance.u64(2_000..6_000)));
                set.switch_over(chance.usize(..MEMBERS));
            }
        });
        let lanes = lanes
            .into_iter()
            .map(|lane| lane.join().expect("a lane ends by itself"))
            .collect();
        over.store(true, Relaxed);
        let _ = trouble.join();
        lanes
    });
    let (mut times, mut repairs) = (histogram(), histogram());
    let (mut repeats, mut unclear, mut needless) = (0, 0, 0);
    for lane in &lanes {
        times.add(&lane.times).map_err(|e| e.to_string())?;
        repairs.add(&lane.repairs).map_err(|e| e.to_string())?;
        let f = &lane.figures;
        figures.tries += f.tries;
        figures.machines_lost += f.machines_lost;
        figures.missing += f.missing;
        figures.promises += f.promises;
        figures.promises_broken += f.promises_broken;
        figures.failed += f.failed;
        (repeats, unclear, needless) = (
            repeats + lane.repeats,
            unclear + lane.unclear,
            needless + lane.needless,
        );
    }
    figures.keys_applied_twice = set.effect_counts().0;
    let share = |part: usize, of: usize| part as f64 / of.max(1) as f64;
    figures.unpromised_share = 1.0 - share(figures.promises, repeats);
    figures.unclear_share = share(unclear, repeats);
    figures.after_loss_p50_ms = times.value_at_quantile(0.5) as f64 / 1e3;
    eprintln!(
        "after a loss {:.3} of the reads were at the primary needlessly",
        share(needless, times.len() as usize)
    );
    figures.repair_s_p99 = repairs.value_at_quantile(0.99) as f64 / 1e6;
    Ok(())
}

/// Writes through a fleet that copies and through one that does not, in turns, by as many clients as play at a time; the
/// p99 of the one over the other's.
fn beside(asked: &Asked, program: &Path, clients: usize) -> Result<f64, String> {
    let (_set, _members, known) = start_replica_set(BUILD, MEMBERS, WORK);
    let stages: Vec<GatewayFleet> = [true, false]
        .into_iter()
        .map(|on| {
            let mut stage = GatewayFleet::new(program, build(&known, on, false, asked.seed));
            stage.start_all();
            stage.wait_for_layout(&[0, 1, 2, 3, 4], 1);
            if on {
                (0..PROCESSES).for_each(|p| stage.wait_until_settled(p));
            }
            stage
        })
        .collect();
    let addresses: Vec<Vec<String>> = stages
        .iter()
        .map(|stage| {
            (0..PROCESSES)
                .map(|p| stage.gateway(p).address.clone())
                .collect()
        })
        .collect();
    let rounds = if asked.short { 1_000 } else { 10_000 } / clients;
    let parts: Vec<Result<[Histogram<u64>; 2], String>> = thread::scope(|scope| {
        let addresses = &addresses;
        let all: Vec<_> = (0..clients)
            .map(|n| scope.spawn(move || in_turns(n, rounds, addresses, clients > 1)))
            .collect();
        all.into_iter()
            .map(|client| client.join().expect("a client ends by itself"))
            .collect()
    });
    let mut times = [histogram(), histogram()];
    for part in parts {
        for (all, some) in times.iter_mut().zip(part?) {
            all.add(&some).map_err(|e| e.to_string())?;
        }
    }
    let at = |which: usize, q: f64| times[which].value_at_quantile(q) as f64;
    let [on, off] = [0, 1].map(|which| [at(which, 0.5), at(which, 0.99)]);
    eprintln!("{clients} clients' writes, p50 and p99 in us: {on:?} with copies, {off:?} without");
    Ok(on[1] / off[1])
}

/// One client's writes, one fleet after the other.
fn in_turns(
    n: usize,
    rounds: usize,
    addresses: &[Vec<String>],
    pauses: bool,
) -> Result<[Histogram<u64>; 2], String> {
    let mut chance = Rng::with_seed(n as u64);
    let mut times = [histogram(), histogram()];
    let connect = |of: &Vec<String>| {
        of.iter()
            .map(|to| harness::connect(to))
            .collect::<Option<Vec<_>>>()
    };
    let mut lines = addresses
        .iter()
        .map(connect)
        .collect::<Option<Vec<_>>>()
        .ok_or("no line")?;
    for round in 0..rounds {
        let to = chance.usize(..PROCESSES);
        for (which, fleet) in lines.iter_mut().enumerate() {
            if pauses {
                thread::sleep(Duration::from_millis(chance.u64(5..40)));
            }
            let id = format!("b{n}n{round}x{which}");
            let text = harness::of_session(&format!("64-b{n}x{}", round % 10), &id, true);
            let began = Instant::now();
            loop {
                let heard = harness::ask(&mut fleet[to], &text).ok_or("a connection ended")?;
                match classify_response(&heard, &expected_value(&id, 64)) {
                    ResponseOutcome::Answered => break,
                    // Its client comes back; that time counts as well.
                    ResponseOutcome::Throttled(ms) => thread::sleep(Duration::from_millis(ms)),
                    other => return Err(format!("{id}: {other:?}")),
                }
            }
            times[which].saturating_record(began.elapsed().as_micros() as u64);
        }
    }
    Ok(times)
}

/// Players that report and look, each time through whichever gateway.
const PLAYERS: usize = 36;

/// In service, with nothing lost: what a session's read costs where any gateway may have taken its reports.
fn players(asked: &Asked, program: &Path, figures: &mut Figures) -> Result<(), String> {
    let (set, _members, known) = start_replica_set(BUILD, MEMBERS, WORK);
    let mut stage = GatewayFleet::new(program, build(&known, true, asked.without, asked.seed));
    stage.start_all();
    if !asked.without {
        stage.wait_for_layout(&[0, 1, 2, 3, 4], 1);
        (0..PROCESSES).for_each(|p| stage.wait_until_settled(p));
    }
    let addresses: Vec<String> = (0..PROCESSES)
        .map(|p| stage.gateway(p).address.clone())
        .collect();
    let over = AtomicBool::new(false);
    let (all, missing) = thread::scope(|scope| {
        let (set, addresses, over): (&ReplicaSet, &[String], _) = (&set, &addresses, &over);
        let players: Vec<_> = (0..PLAYERS)
            .map(|n| scope.spawn(move || player(n, addresses, set, over)))
            .collect();
        thread::sleep(Duration::from_secs(if asked.short { 5 } else { 20 }));
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
                .collect::<Vec<(f64, bool)>>(),
            missing,
        )
    });
    let mut times: Vec<f64> = all.iter().map(|(ms, _)| *ms).collect();
    times.sort_by(f64::total_cmp);
    let at = |part: usize| times.get(times.len() * part / 100).copied().unwrap_or(0.0);
    (figures.p50_ms, figures.p99_ms) = (at(50), at(99));
    figures.needless_share =
        all.iter().filter(|(_, needless)| *needless).count() as f64 / all.len().max(1) as f64;
    figures.missing += missing;
    if asked.without {
        return Ok(());
    }
    let exact: u64 = (0..PROCESSES)
        .map(|p| stage.counter(p, "copies", "exact"))
        .sum();
    let owed: u64 = (0..PROCESSES)
        .map(|p| stage.counter(p, "copies", "owed"))
        .sum();
    eprintln!(
        "{} reads of players, {missing} missing, {exact} exact, {owed} owed the instant",
        all.len()
    );
    Ok(())
}

fn player(
    n: usize,
    addresses: &[String],
    set: &ReplicaSet,
    over: &AtomicBool,
) -> (Vec<(f64, bool)>, usize) {
    let (mut rows, mut missing, mut chance, mut ids) = (Vec::new(), 0, Rng::with_seed(n as u64), 0);
    let session = format!("64-q{n}");
    let mut lines: Vec<_> = addresses
        .iter()
        .map(|address| harness::connect(address))
        .collect();
    while !over.load(Relaxed) {
        thread::sleep(Duration::from_millis(chance.u64(20..120)));
        ids += 1;
        let (id, wrote) = (format!("q{n}n{ids}"), set.last_write_position(&session));
        let write = wrote.is_none() || chance.u8(..4) == 0;
        let text = harness::of_session(&session, &id, write);
        let began = Instant::now();
        let line = &mut lines[chance.usize(..addresses.len())];
        let Some(heard) = line.as_mut().and_then(|stream| harness::ask(stream, &text)) else {
            continue;
        };
        let answered =
            classify_response(&heard, &expected_value(&id, 64)) == ResponseOutcome::Answered;
        if let Some(row) = set.take_read_origin(&id).filter(|_| answered && !write) {
            missing += usize::from(wrote.is_some_and(|wrote| row.position < wrote));
            rows.push((began.elapsed().as_secs_f64() * 1e3, row.needless));
        }
    }
    (rows, missing)
}

/// Clients that fill the fleet side by side.
const FILLS: usize = 48;
/// A look at times and bytes so often.
const STEP: Duration = Duration::from_millis(500);

/// A moment while a replaced machine takes its part: seconds, commands' p99 in ms, records there, bytes so far.
type Moment = (f64, f64, u64, u64);

fn replaced(asked: &Asked, program: &Path) -> Result<(), String> {
    let records = if asked.short {
        asked.records.min(5_000)
    } else {
        asked.records
    };
    let (_set, _members, known) = start_replica_set(BUILD, MEMBERS, Duration::from_micros(50));
    let mut stage = GatewayFleet::new(program, build(&known, true, false, asked.seed));
    stage.start_all();
    stage.wait_for_layout(&[0, 1, 2, 3, 4], 1);
    (0..PROCESSES).for_each(|p| stage.wait_until_settled(p));
    let next = AtomicUsize::new(0);
    let addresses: Vec<String> = (0..PROCESSES)
        .map(|p| stage.gateway(p).address.clone())
        .collect();
    let began = Instant::now();
    thread::scope(|scope| {
        for n in 0..FILLS {
            let (next, address) = (&next, &addresses[n % PROCESSES]);
            scope.spawn(move || {
                let mut line = harness::connect(address);
                loop {
                    let nth = next.fetch_add(1, Relaxed);
                    if nth >= records {
                        return;
                    }
                    let text = format!(
                        "INSERT INTO records (k, v) VALUES ('64-f{nth}', '\\x9f') RETURNING v \
                         /* id=f{nth},c=report,t=honest,d=2000,k=f{nth},cluster=2 */"
                    );
                    if line
                        .as_mut()
                        .and_then(|stream| harness::ask(stream, &text))
                        .is_none()
                    {
                        line = harness::connect(address);
                    }
                }
            });
        }
    });
    eprintln!(
        "{records} sessions written in {:.1} s",
        began.elapsed().as_secs_f64()
    );
    let counted = |stage: &mut GatewayFleet, p: usize| stage.counter(p, "copies", "copies.records");
    let held: Vec<u64> = (0..PROCESSES).map(|p| counted(&mut stage, p)).collect();
    let bytes = |stage: &mut GatewayFleet| -> u64 {
        let running: Vec<usize> = (0..PROCESSES).filter(|p| stage.is_running(*p)).collect();
        running
            .into_iter()
            .map(|p| stage.counter(p, "member", "link.sent_bytes"))
            .sum()
    };
    let over = AtomicBool::new(false);
    let address = addresses[0].clone();
    let (moments, took) = thread::scope(|scope| {
        let over = &over;
        let player = scope.spawn(move || commands(&address, over));
        thread::sleep(4 * STEP);
        stage.kill_and_erase(4);
        stage.start(4);
        let (mut rows, began) = (Vec::new(), Instant::now());
        let before = bytes(&mut stage);
        loop {
            thread::sleep(STEP);
            let now = counted(&mut stage, 4);
            rows.push((
                began.elapsed().as_secs_f64(),
                now,
                bytes(&mut stage).saturating_sub(before),
            ));
            let [version, base, whole] = ["copies.layout", "copies.base", "copies.whole"]
                .map(|name| stage.counter(4, "copies", name));
            if (whole >= version && base == version && version > 1)
                || began.elapsed() > Duration::from_secs(600)
            {
                break;
            }
        }
        let took = began.elapsed();
        thread::sleep(4 * STEP);
        over.store(true, Relaxed);
        let times: Vec<(Instant, f64)> = player.join().expect("a player ends by itself");
        let p99 = |from: f64, to: f64| {
            let within = times.iter().filter(|(at, _)| {
                *at >= began && (from..to).contains(&(*at - began).as_secs_f64())
            });
            let mut ms: Vec<f64> = within.map(|(_, ms)| *ms).collect();
            ms.sort_by(f64::total_cmp);
            ms.get(ms.len() * 99 / 100).copied().unwrap_or(0.0)
        };
        let mut before: Vec<f64> = times
            .iter()
            .filter(|(at, _)| *at < began)
            .map(|(_, ms)| *ms)
            .collect();
        before.sort_by(f64::total_cmp);
        let calm = before.get(before.len() * 99 / 100).copied().unwrap_or(0.0);
        let whole = p99(0.0, took.as_secs_f64());
        eprintln!("commands' p99 {calm:.1} ms before, {whole:.1} ms while it took its part");
        let mut from = 0.0;
        let moments: Vec<Moment> = rows
            .into_iter()
            .map(|(at, records, bytes)| {
                let moment = (at, p99(from, at), records, bytes);
                from = at;
                moment
            })
            .collect();
        (moments, took)
    });
    let last = moments.last().map_or(0, |(.., bytes)| *bytes);
    eprintln!(
        "one of five replaced, {held:?} records: whole after {:.1} s, {:.1} MB over all links",
        took.as_secs_f64(),
        last as f64 / 1e6
    );
    chart(asked, &moments).map_err(|e| e.to_string())
}

/// Reads of anything, one after the other: when each was asked, and how long it took in ms.
fn commands(address: &str, over: &AtomicBool) -> Vec<(Instant, f64)> {
    let (mut all, mut line, mut n) = (Vec::new(), harness::connect(address), 0);
    while !over.load(Relaxed) {
        n += 1;
        let text = format!(
            "SELECT v FROM records WHERE k = '64-p' /* id=v{n},c=view,t=honest,d=2000,cluster=2 */"
        );
        let began = Instant::now();
        if line
            .as_mut()
            .and_then(|stream| harness::ask(stream, &text))
            .is_none()
        {
            line = harness::connect(address);
            continue;
        }
        all.push((began, began.elapsed().as_secs_f64() * 1e3));
    }
    all
}

fn chart(asked: &Asked, moments: &[Moment]) -> Result<(), Box<dyn Error>> {
    let mut table = csv::Writer::from_path(asked.out.join("copies-repair.csv"))?;
    table.write_record(["second", "p99_ms", "records", "bytes"])?;
    for (at, p99, records, bytes) in moments {
        table.write_record([
            format!("{at:.2}"),
            format!("{p99:.2}"),
            records.to_string(),
            bytes.to_string(),
        ])?;
    }
    table.flush()?;
    let path = asked.out.join("copies-repair.svg");
    let area = SVGBackend::new(&path, (800, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let end = moments.last().map_or(1.0, |m| m.0);
    let most = moments.iter().map(|m| m.1).fold(5.0, f64::max) * 1.2;
    let records = moments.iter().map(|m| m.2 as f64 / 1e3).fold(1.0, f64::max) * 1.2;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .right_y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..most)?
        .set_secondary_coord(0.0..end, 0.0..records);
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("commands' p99 in ms")
        .draw()?;
    chart
        .configure_secondary_axes()
        .y_desc("records taken, thousands")
        .draw()?;
    let key = |colour: RGBColor| move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour);
    chart
        .draw_series(LineSeries::new(moments.iter().map(|m| (m.0, m.1)), &RED))?
        .label("p99")
        .legend(key(RED));
    let taken = LineSeries::new(moments.iter().map(|m| (m.0, m.2 as f64 / 1e3)), &BLUE);
    chart
        .draw_secondary_series(taken)?
        .label("records")
        .legend(key(BLUE));
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

pub(crate) fn run(asked: &Asked) -> Result<Figures, String> {
    let program = harness::program(&asked.program)?;
    std::fs::create_dir_all(&asked.out).map_err(|e| e.to_string())?;
    let mut figures = Figures::default();
    if asked.tries > 0 {
        tries(asked, &program, &mut figures)?;
    }
    players(asked, &program, &mut figures)?;
    if !asked.without {
        figures.p99_ratio_alone = beside(asked, &program, 1)?;
        figures.p99_ratio = beside(asked, &program, PLAYERS)?;
        if asked.records > 0 {
            replaced(asked, &program)?;
        }
    }
    Ok(figures)
}
