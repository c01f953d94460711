//! Loss of gateways that replicate their sessions: in each trial a gateway is killed right after it has answered a
//! write, and its data directory is erased. The session then reads through another gateway, and its client retries the
//! idempotency key through a third. Further parts measure the latency of replication against a fleet without it, and
//! how a replaced gateway receives its replicas.
//!
//! # Invariants
//!
//! Which state was read and which writes were applied is taken from the replica set, never from what a gateway reports.

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

use crate::harness::{self, RESPONSE_TIMEOUT, SETTINGS};
use crate::sessions::{SERVICE_TIME, SET_CONFIG, SET_MEMBERS};

/// Options of `run copies`.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Number of trials; 0 skips them.
    pub trials: usize,
    /// At most 150 trials, and shorter measurements.
    pub short: bool,
    pub seed: u64,
    /// Directory for tables and charts.
    pub out: PathBuf,
    /// Switches replication off, so that a gateway knows only the writes that it has answered itself.
    pub without_replication: bool,
    /// Number of session records written before a gateway is replaced; 0 skips that part.
    pub records: usize,
    /// The gateway program; by default the one in the directory of this program.
    pub program: Option<PathBuf>,
}

/// Results of a run, printed as JSON.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Figures {
    #[serde(rename = "tries")]
    pub trials: usize,
    #[serde(rename = "machines_lost")]
    pub gateways_lost: usize,
    /// Reads that did not see the session's last write.
    pub missing: usize,
    /// Idempotency keys whose write was applied more than once.
    pub keys_applied_twice: u64,
    /// Answered writes whose gateway did not log that it proceeded without a quorum.
    #[serde(rename = "promises")]
    pub quorum_writes: usize,
    /// Of these, the writes that a later read did not see.
    #[serde(rename = "promises_broken")]
    pub quorum_writes_lost: usize,
    /// Share of the answered writes that, by the log, proceeded without a quorum.
    #[serde(rename = "unpromised_share")]
    pub writes_without_quorum_share: f64,
    /// Share of the reads without faults that the primary answered although a replica had the session's last write, and
    /// the latencies of all these reads.
    pub needless_share: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Latency of reads right after a write whose gateway was lost; most of it is the replication lag.
    #[serde(rename = "after_loss_p50_ms")]
    pub read_after_loss_p50_ms: f64,
    /// p99 latency of writes divided by that through a fleet without replication, with as many parallel clients as
    /// [`SESSION_CLIENTS`] and with a single client.
    pub p99_ratio: f64,
    #[serde(rename = "p99_ratio_alone")]
    pub p99_ratio_single_client: f64,
    /// Seconds from the restart of an erased gateway until the fleet has settled.
    #[serde(rename = "repair_s_p99")]
    pub recovery_s_p99: f64,
    /// Share of the retries that were not answered. A gateway rejects a retry at once if it cannot be determined
    /// whether the write was executed.
    #[serde(rename = "unclear_share")]
    pub unclear_retry_share: f64,
    /// Writes and reads without a valid response within [`RESPONSE_TIMEOUT`].
    pub failed: usize,
}

/// Number of gateways in a fleet.
const PROCESSES: usize = 5;
/// Workers that run trials in parallel, each with a fleet of its own in front of the same replica set.
const WORKERS: usize = 5;

/// Configures a fleet. `replicated` switches the replication of sessions on; `without_replication` takes precedence and
/// switches off both replication and the move of sessions between gateways.
fn fleet_config(
    known_list: &str,
    replicated: bool,
    without_replication: bool,
    seed: u64,
) -> FleetConfig {
    let sessions_block = "sessions {\n  follow = true\n  number = \"8c1f30d27a5be964\"\n}\n";
    let copies_block = "copies {\n  on = true\n  lease = \"500ms\"\n  starts = \"300ms\"\n}\n";
    // Without replication, sessions rely on the writes that this process alone has answered.
    let local_sessions_block =
        "sessions {\n  follow = true\n  moves = false\n  number = \"8c1f30d27a5be964\"\n}\n";
    let extra_hcl = match (replicated, without_replication) {
        (_, true) => local_sessions_block.to_owned(),
        (true, false) => format!("{sessions_block}{copies_block}"),
        (false, false) => sessions_block.to_owned(),
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
        known_list: known_list.into(),
        extra_hcl,
        seed,
    }
}

/// One worker of the trials, with its fleet and its counts.
struct Worker<'a> {
    set: &'a ReplicaSet,
    options: &'a Options,
    fleet: GatewayFleet,
    rng: Rng,
    index: usize,
    request_count: usize,
    figures: Figures,
    retries: usize,
    unclear_retries: usize,
    primary_reads: usize,
    needless_primary_reads: usize,
    /// Read latencies in microseconds, retries included.
    latencies: Histogram<u64>,
    /// Recovery times in microseconds.
    recovery_times: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid histogram bounds")
}

impl Worker<'_> {
    /// Returns a new request ID.
    fn id(&mut self) -> String {
        self.request_count += 1;
        format!("c{}n{}", self.index, self.request_count)
    }

    /// Sends a request through gateway `p`, with a new ID for each attempt, as often as the gateway asks for a retry.
    /// `text` makes the SQL text of an ID and the milliseconds left. Returns the ID of the answered attempt, or `None`
    /// if the request fails or [`RESPONSE_TIMEOUT`] is over.
    fn send_with_retries(
        &mut self,
        p: usize,
        text: &dyn Fn(&str, u128) -> String,
    ) -> Option<String> {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        while Instant::now() < deadline {
            let id = self.id();
            let remaining_ms = deadline
                .saturating_duration_since(Instant::now())
                .as_millis()
                .max(1);
            let connection = harness::connect(&self.fleet.gateway(p).address);
            let Some(response) = connection
                .and_then(|mut stream| harness::send_query(&mut stream, &text(&id, remaining_ms)))
            else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            match classify_response(&response, &expected_value(&id, 64)) {
                ResponseOutcome::Answered => return Some(id),
                ResponseOutcome::Wrong | ResponseOutcome::Failed => return None,
                ResponseOutcome::Throttled(ms) => {
                    thread::sleep(Duration::from_millis(ms.clamp(5, 100)))
                }
            }
        }
        None
    }

    /// Writes, erases the gateway that answered, reads back through a second gateway and retries through a third; then
    /// restarts the erased one and waits until it has recovered.
    fn run_trial(&mut self, trial: usize) {
        let writer = self.rng.usize(..PROCESSES);
        let (reader, other) = (
            (writer + 1 + trial % 2) % PROCESSES,
            (writer + 3 + trial % 2) % PROCESSES,
        );
        let session = format!("64-s{}x{}", self.index, trial % 40);
        let key = format!("{:x}", self.rng.u64(..));
        let write = |id: &str, remaining_ms: u128, extra: &str| {
            format!(
                "INSERT INTO records (k, v) VALUES ('{session}', '\\x9f') RETURNING v \
                 /* id={id},c=report,t=honest,d={remaining_ms},k={key},cluster=2{extra} */"
            )
        };
        self.figures.trials += 1;
        let answered = self
            .send_with_retries(writer, &|id, remaining_ms| write(id, remaining_ms, ""))
            .is_some();
        // Kills the gateway and erases its data directory at once.
        let killed = self.fleet.kill_and_erase_keeping_log(writer);
        self.figures.gateways_lost += 1;
        if answered {
            let without_quorum = killed
                .log
                .try_iter()
                .chain(killed.log_lines.take())
                .any(|l| l.contains("writes proceed without a quorum"));
            self.figures.quorum_writes += usize::from(!without_quorum);
            self.read_back(reader, &session, !without_quorum);
            let retried =
                self.send_with_retries(other, &|id, remaining_ms| write(id, remaining_ms, ",r=1"));
            self.retries += 1;
            self.unclear_retries += usize::from(retried.is_none());
        } else {
            self.figures.failed += 1;
        }
        drop(killed);
        let started_at = Instant::now();
        self.fleet.start(writer);
        if !self.options.without_replication {
            let version = self.fleet.observed(reader).layout_version;
            let _ = self.fleet.wait_for_state(reader, |state| {
                state.layout_version >= version + 2 && state.holder_count >= 5
            });
            (0..PROCESSES).for_each(|p| self.fleet.wait_until_settled(p));
            let _ = self
                .recovery_times
                .record(started_at.elapsed().as_micros() as u64);
        }
    }

    /// Reads the session's row through gateway `reader` and checks that it shows the session's last write.
    fn read_back(&mut self, reader: usize, session: &str, quorum_acknowledged: bool) {
        let Some(write_position) = self.set.last_write_position(session) else {
            return;
        };
        let started_at = Instant::now();
        let read = |id: &str, remaining_ms: u128| {
            format!(
                "SELECT v FROM records WHERE k = '{session}' /* id={id},c=own,t=honest,d={remaining_ms},cluster=2 */"
            )
        };
        let origin = self
            .send_with_retries(reader, &read)
            .and_then(|id| self.set.take_read_origin(&id));
        let Some(origin) = origin else {
            self.figures.failed += 1;
            return;
        };
        self.latencies
            .saturating_record(started_at.elapsed().as_micros() as u64);
        let missing = origin.position < write_position;
        self.figures.missing += usize::from(missing);
        self.figures.quorum_writes_lost += usize::from(missing && quorum_acknowledged);
        self.primary_reads += usize::from(origin.by_primary);
        self.needless_primary_reads += usize::from(origin.needless);
    }
}

/// Runs the trials and adds their counts to `figures`.
fn run_trials(options: &Options, program: &Path, figures: &mut Figures) -> Result<(), String> {
    let (set, _members, known_list) = start_replica_set(SET_CONFIG, SET_MEMBERS, SERVICE_TIME);
    let trial_count = if options.short {
        options.trials.min(150)
    } else {
        options.trials
    };
    let (next, done) = (AtomicUsize::new(0), AtomicBool::new(false));
    let run_worker = |index: usize| {
        let seed = options.seed * 100 + index as u64;
        let mut fleet = GatewayFleet::new(
            program,
            fleet_config(&known_list, true, options.without_replication, seed),
        );
        fleet.start_all();
        if !options.without_replication {
            fleet.wait_for_layout(&[0, 1, 2, 3, 4], 1);
            (0..PROCESSES).for_each(|p| fleet.wait_until_settled(p));
        }
        let mut worker = Worker {
            set: &set,
            options,
            fleet,
            rng: Rng::with_seed(seed),
            index,
            request_count: 0,
            figures: Figures::default(),
            retries: 0,
            unclear_retries: 0,
            primary_reads: 0,
            needless_primary_reads: 0,
            latencies: histogram(),
            recovery_times: histogram(),
        };
        loop {
            let trial = next.fetch_add(1, Relaxed);
            if trial >= trial_count {
                return worker;
            }
            worker.run_trial(trial);
            if trial % 250 == 249 {
                eprintln!("{} trials finished", trial + 1);
            }
        }
    };
    let workers: Vec<Worker<'_>> = thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS)
            .map(|index| scope.spawn(move || run_worker(index)))
            .collect();
        let (set, done) = (&set, &done);
        // Meanwhile, the primary changes every few seconds.
        let switchovers = scope.spawn(move || {
            let mut rng = Rng::with_seed(options.seed);
            while !done.load(Relaxed) {
                thread::sleep(Duration::from_millis(rng.u64(2_000..6_000)));
                set.switch_over(rng.usize(..SET_MEMBERS));
            }
        });
        let workers = workers
            .into_iter()
            .map(|worker| worker.join().expect("worker panicked"))
            .collect();
        done.store(true, Relaxed);
        let _ = switchovers.join();
        workers
    });
    let (mut latencies, mut recovery_times) = (histogram(), histogram());
    let (mut retries, mut unclear_retries, mut needless_primary_reads) = (0, 0, 0);
    for worker in &workers {
        latencies
            .add(&worker.latencies)
            .map_err(|e| e.to_string())?;
        recovery_times
            .add(&worker.recovery_times)
            .map_err(|e| e.to_string())?;
        let f = &worker.figures;
        figures.trials += f.trials;
        figures.gateways_lost += f.gateways_lost;
        figures.missing += f.missing;
        figures.quorum_writes += f.quorum_writes;
        figures.quorum_writes_lost += f.quorum_writes_lost;
        figures.failed += f.failed;
        (retries, unclear_retries, needless_primary_reads) = (
            retries + worker.retries,
            unclear_retries + worker.unclear_retries,
            needless_primary_reads + worker.needless_primary_reads,
        );
    }
    figures.keys_applied_twice = set.effect_counts().0;
    let share = |part: usize, total: usize| part as f64 / total.max(1) as f64;
    figures.writes_without_quorum_share = 1.0 - share(figures.quorum_writes, retries);
    figures.unclear_retry_share = share(unclear_retries, retries);
    figures.read_after_loss_p50_ms = latencies.value_at_quantile(0.5) as f64 / 1e3;
    eprintln!(
        "after the loss of a gateway, the primary answered {:.3} of the reads although a replica had the write",
        share(needless_primary_reads, latencies.len() as usize)
    );
    figures.recovery_s_p99 = recovery_times.value_at_quantile(0.99) as f64 / 1e6;
    Ok(())
}

/// Writes alternately through a fleet with replication and one without, with `clients` parallel clients. Returns the
/// ratio of the p99 latencies.
fn compare_write_latency(options: &Options, program: &Path, clients: usize) -> Result<f64, String> {
    let (_set, _members, known_list) = start_replica_set(SET_CONFIG, SET_MEMBERS, SERVICE_TIME);
    let fleets: Vec<GatewayFleet> = [true, false]
        .into_iter()
        .map(|replicated| {
            let mut fleet = GatewayFleet::new(
                program,
                fleet_config(&known_list, replicated, false, options.seed),
            );
            fleet.start_all();
            fleet.wait_for_layout(&[0, 1, 2, 3, 4], 1);
            if replicated {
                (0..PROCESSES).for_each(|p| fleet.wait_until_settled(p));
            }
            fleet
        })
        .collect();
    let addresses: Vec<Vec<String>> = fleets
        .iter()
        .map(|fleet| {
            (0..PROCESSES)
                .map(|p| fleet.gateway(p).address.clone())
                .collect()
        })
        .collect();
    let rounds = if options.short { 1_000 } else { 10_000 } / clients;
    let results: Vec<Result<[Histogram<u64>; 2], String>> = thread::scope(|scope| {
        let addresses = &addresses;
        let threads: Vec<_> = (0..clients)
            .map(|n| scope.spawn(move || write_alternately(n, rounds, addresses, clients > 1)))
            .collect();
        threads
            .into_iter()
            .map(|client| client.join().expect("client panicked"))
            .collect()
    });
    let mut latencies = [histogram(), histogram()];
    for result in results {
        for (total, histogram) in latencies.iter_mut().zip(result?) {
            total.add(&histogram).map_err(|e| e.to_string())?;
        }
    }
    let quantile = |fleet_index: usize, q: f64| latencies[fleet_index].value_at_quantile(q) as f64;
    let [with, without] =
        [0, 1].map(|fleet_index| [quantile(fleet_index, 0.5), quantile(fleet_index, 0.99)]);
    eprintln!(
        "writes of {clients} clients, p50 and p99 in us: {with:?} with replication, {without:?} without"
    );
    Ok(with[1] / without[1])
}

/// Runs the writes of one client, alternating between the fleets; `pauses` adds a random pause before each write.
/// Returns the latencies in microseconds by fleet.
fn write_alternately(
    n: usize,
    rounds: usize,
    addresses: &[Vec<String>],
    pauses: bool,
) -> Result<[Histogram<u64>; 2], String> {
    let mut rng = Rng::with_seed(n as u64);
    let mut latencies = [histogram(), histogram()];
    let connect = |fleet: &Vec<String>| {
        fleet
            .iter()
            .map(|address| harness::connect(address))
            .collect::<Option<Vec<_>>>()
    };
    let mut connections = addresses
        .iter()
        .map(connect)
        .collect::<Option<Vec<_>>>()
        .ok_or("cannot connect to a gateway")?;
    for round in 0..rounds {
        let target = rng.usize(..PROCESSES);
        for (fleet_index, fleet) in connections.iter_mut().enumerate() {
            if pauses {
                thread::sleep(Duration::from_millis(rng.u64(5..40)));
            }
            let id = format!("b{n}n{round}x{fleet_index}");
            let text = harness::session_statement(&format!("64-b{n}x{}", round % 10), &id, true);
            let started_at = Instant::now();
            loop {
                let response = harness::send_query(&mut fleet[target], &text)
                    .ok_or("the gateway closed a connection")?;
                match classify_response(&response, &expected_value(&id, 64)) {
                    ResponseOutcome::Answered => break,
                    // The latency includes the delay before the retry.
                    ResponseOutcome::Throttled(ms) => thread::sleep(Duration::from_millis(ms)),
                    other => return Err(format!("{id}: {other:?}")),
                }
            }
            latencies[fleet_index].saturating_record(started_at.elapsed().as_micros() as u64);
        }
    }
    Ok(latencies)
}

/// Number of clients whose sessions write and read back, each time through a random gateway.
const SESSION_CLIENTS: usize = 36;

/// Measures session reads without faults, where any gateway may have answered the session's writes.
fn measure_session_reads(
    options: &Options,
    program: &Path,
    figures: &mut Figures,
) -> Result<(), String> {
    let (set, _members, known_list) = start_replica_set(SET_CONFIG, SET_MEMBERS, SERVICE_TIME);
    let mut fleet = GatewayFleet::new(
        program,
        fleet_config(&known_list, true, options.without_replication, options.seed),
    );
    fleet.start_all();
    if !options.without_replication {
        fleet.wait_for_layout(&[0, 1, 2, 3, 4], 1);
        (0..PROCESSES).for_each(|p| fleet.wait_until_settled(p));
    }
    let addresses: Vec<String> = (0..PROCESSES)
        .map(|p| fleet.gateway(p).address.clone())
        .collect();
    let done = AtomicBool::new(false);
    let (reads, missing) = thread::scope(|scope| {
        let (set, addresses, done): (&ReplicaSet, &[String], _) = (&set, &addresses, &done);
        let clients: Vec<_> = (0..SESSION_CLIENTS)
            .map(|n| scope.spawn(move || session_client(n, addresses, set, done)))
            .collect();
        thread::sleep(Duration::from_secs(if options.short { 5 } else { 20 }));
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
                .collect::<Vec<(f64, bool)>>(),
            missing,
        )
    });
    let mut latencies: Vec<f64> = reads.iter().map(|(ms, _)| *ms).collect();
    latencies.sort_by(f64::total_cmp);
    let percentile = |percent: usize| {
        latencies
            .get(latencies.len() * percent / 100)
            .copied()
            .unwrap_or(0.0)
    };
    (figures.p50_ms, figures.p99_ms) = (percentile(50), percentile(99));
    figures.needless_share =
        reads.iter().filter(|(_, needless)| *needless).count() as f64 / reads.len().max(1) as f64;
    figures.missing += missing;
    if options.without_replication {
        return Ok(());
    }
    let exact: u64 = (0..PROCESSES)
        .map(|p| fleet.counter(p, "copies", "exact"))
        .sum();
    let inexact: u64 = (0..PROCESSES)
        .map(|p| fleet.counter(p, "copies", "owed"))
        .sum();
    eprintln!(
        "{} session reads, {missing} missing; positions determined exactly: {exact}, not exactly: {inexact}",
        reads.len()
    );
    Ok(())
}

/// Runs a session until `done` is set. Returns, for each answered read, the latency in ms and whether the primary
/// answered it although a replica had the last write; and the number of reads that did not see the last write.
fn session_client(
    n: usize,
    addresses: &[String],
    set: &ReplicaSet,
    done: &AtomicBool,
) -> (Vec<(f64, bool)>, usize) {
    let (mut reads, mut missing, mut rng, mut request_count) =
        (Vec::new(), 0, Rng::with_seed(n as u64), 0);
    let session = format!("64-q{n}");
    let mut connections: Vec<_> = addresses
        .iter()
        .map(|address| harness::connect(address))
        .collect();
    while !done.load(Relaxed) {
        thread::sleep(Duration::from_millis(rng.u64(20..120)));
        request_count += 1;
        let (id, write_position) = (
            format!("q{n}n{request_count}"),
            set.last_write_position(&session),
        );
        let write = write_position.is_none() || rng.u8(..4) == 0;
        let text = harness::session_statement(&session, &id, write);
        let started_at = Instant::now();
        let connection = &mut connections[rng.usize(..addresses.len())];
        let Some(response) = connection
            .as_mut()
            .and_then(|stream| harness::send_query(stream, &text))
        else {
            continue;
        };
        let answered =
            classify_response(&response, &expected_value(&id, 64)) == ResponseOutcome::Answered;
        if let Some(origin) = set.take_read_origin(&id).filter(|_| answered && !write) {
            missing += usize::from(
                write_position.is_some_and(|write_position| origin.position < write_position),
            );
            reads.push((started_at.elapsed().as_secs_f64() * 1e3, origin.needless));
        }
    }
    (reads, missing)
}

/// Number of parallel clients that write the session records.
const FILL_CLIENTS: usize = 48;
/// Interval between samples of latency, records and bytes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Sample during the replacement of a gateway: seconds since its start, p99 latency of requests in ms, records on it,
/// and bytes sent by all gateways so far.
type Sample = (f64, f64, u64, u64);

/// Fills a fleet with session records, replaces one erased gateway and measures request latency until the new one has
/// all its replicas, for 10 minutes at most.
fn measure_replacement(options: &Options, program: &Path) -> Result<(), String> {
    let records = if options.short {
        options.records.min(5_000)
    } else {
        options.records
    };
    let (_set, _members, known_list) =
        start_replica_set(SET_CONFIG, SET_MEMBERS, Duration::from_micros(50));
    let mut fleet = GatewayFleet::new(
        program,
        fleet_config(&known_list, true, false, options.seed),
    );
    fleet.start_all();
    fleet.wait_for_layout(&[0, 1, 2, 3, 4], 1);
    (0..PROCESSES).for_each(|p| fleet.wait_until_settled(p));
    let next = AtomicUsize::new(0);
    let addresses: Vec<String> = (0..PROCESSES)
        .map(|p| fleet.gateway(p).address.clone())
        .collect();
    let started_at = Instant::now();
    thread::scope(|scope| {
        for n in 0..FILL_CLIENTS {
            let (next, address) = (&next, &addresses[n % PROCESSES]);
            scope.spawn(move || {
                let mut connection = harness::connect(address);
                loop {
                    let record = next.fetch_add(1, Relaxed);
                    if record >= records {
                        return;
                    }
                    let text = format!(
                        "INSERT INTO records (k, v) VALUES ('64-f{record}', '\\x9f') RETURNING v \
                         /* id=f{record},c=report,t=honest,d=2000,k=f{record},cluster=2 */"
                    );
                    if connection
                        .as_mut()
                        .and_then(|stream| harness::send_query(stream, &text))
                        .is_none()
                    {
                        connection = harness::connect(address);
                    }
                }
            });
        }
    });
    eprintln!(
        "{records} sessions written in {:.1} s",
        started_at.elapsed().as_secs_f64()
    );
    let record_count =
        |fleet: &mut GatewayFleet, p: usize| fleet.counter(p, "copies", "copies.records");
    let records_per_process: Vec<u64> = (0..PROCESSES)
        .map(|p| record_count(&mut fleet, p))
        .collect();
    let bytes = |fleet: &mut GatewayFleet| -> u64 {
        let running: Vec<usize> = (0..PROCESSES).filter(|p| fleet.is_running(*p)).collect();
        running
            .into_iter()
            .map(|p| fleet.counter(p, "member", "link.sent_bytes"))
            .sum()
    };
    let done = AtomicBool::new(false);
    let address = addresses[0].clone();
    let (samples, duration) = thread::scope(|scope| {
        let done = &done;
        let reader = scope.spawn(move || read_continuously(&address, done));
        thread::sleep(4 * SAMPLE_INTERVAL);
        fleet.kill_and_erase(4);
        fleet.start(4);
        let (mut observations, started_at) = (Vec::new(), Instant::now());
        let bytes_before = bytes(&mut fleet);
        loop {
            thread::sleep(SAMPLE_INTERVAL);
            let received = record_count(&mut fleet, 4);
            observations.push((
                started_at.elapsed().as_secs_f64(),
                received,
                bytes(&mut fleet).saturating_sub(bytes_before),
            ));
            let [version, base, whole] = ["copies.layout", "copies.base", "copies.whole"]
                .map(|name| fleet.counter(4, "copies", name));
            if (whole >= version && base == version && version > 1)
                || started_at.elapsed() > Duration::from_secs(600)
            {
                break;
            }
        }
        let duration = started_at.elapsed();
        thread::sleep(4 * SAMPLE_INTERVAL);
        done.store(true, Relaxed);
        let latencies: Vec<(Instant, f64)> = reader.join().expect("reader panicked");
        let p99 = |from: f64, to: f64| {
            let within = latencies.iter().filter(|(at, _)| {
                *at >= started_at && (from..to).contains(&(*at - started_at).as_secs_f64())
            });
            let mut ms: Vec<f64> = within.map(|(_, ms)| *ms).collect();
            ms.sort_by(f64::total_cmp);
            ms.get(ms.len() * 99 / 100).copied().unwrap_or(0.0)
        };
        let mut latencies_before: Vec<f64> = latencies
            .iter()
            .filter(|(at, _)| *at < started_at)
            .map(|(_, ms)| *ms)
            .collect();
        latencies_before.sort_by(f64::total_cmp);
        let p99_before = latencies_before
            .get(latencies_before.len() * 99 / 100)
            .copied()
            .unwrap_or(0.0);
        let p99_during = p99(0.0, duration.as_secs_f64());
        eprintln!(
            "request p99: {p99_before:.1} ms before the replacement, {p99_during:.1} ms until it had all replicas"
        );
        let mut from = 0.0;
        let samples: Vec<Sample> = observations
            .into_iter()
            .map(|(at, records, bytes)| {
                let sample = (at, p99(from, at), records, bytes);
                from = at;
                sample
            })
            .collect();
        (samples, duration)
    });
    let last = samples.last().map_or(0, |(.., bytes)| *bytes);
    eprintln!(
        "one of five gateways replaced, records per gateway {records_per_process:?}: complete after {:.1} s, {:.1} MB over all links",
        duration.as_secs_f64(),
        last as f64 / 1e6
    );
    chart(options, &samples).map_err(|e| e.to_string())
}

/// Sends plain reads one after the other until `done` is set. Returns when each was sent, and its latency in ms.
fn read_continuously(address: &str, done: &AtomicBool) -> Vec<(Instant, f64)> {
    let (mut reads, mut connection, mut n) = (Vec::new(), harness::connect(address), 0);
    while !done.load(Relaxed) {
        n += 1;
        let text = format!(
            "SELECT v FROM records WHERE k = '64-p' /* id=v{n},c=view,t=honest,d=2000,cluster=2 */"
        );
        let started_at = Instant::now();
        if connection
            .as_mut()
            .and_then(|stream| harness::send_query(stream, &text))
            .is_none()
        {
            connection = harness::connect(address);
            continue;
        }
        reads.push((started_at, started_at.elapsed().as_secs_f64() * 1e3));
    }
    reads
}

/// Writes the samples as `copies-repair.csv` and draws them.
fn chart(options: &Options, samples: &[Sample]) -> Result<(), Box<dyn Error>> {
    let mut table = csv::Writer::from_path(options.out.join("copies-repair.csv"))?;
    table.write_record(["second", "p99_ms", "records", "bytes"])?;
    for (at, p99, records, bytes) in samples {
        table.write_record([
            format!("{at:.2}"),
            format!("{p99:.2}"),
            records.to_string(),
            bytes.to_string(),
        ])?;
    }
    table.flush()?;
    let path = options.out.join("copies-repair.svg");
    let area = SVGBackend::new(&path, (800, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let end = samples.last().map_or(1.0, |m| m.0);
    let max_p99_ms = samples.iter().map(|m| m.1).fold(5.0, f64::max) * 1.2;
    let max_records = samples.iter().map(|m| m.2 as f64 / 1e3).fold(1.0, f64::max) * 1.2;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .right_y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..max_p99_ms)?
        .set_secondary_coord(0.0..end, 0.0..max_records);
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("request p99 in ms")
        .draw()?;
    chart
        .configure_secondary_axes()
        .y_desc("records received, thousands")
        .draw()?;
    let key = |colour: RGBColor| move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour);
    chart
        .draw_series(LineSeries::new(samples.iter().map(|m| (m.0, m.1)), &RED))?
        .label("p99")
        .legend(key(RED));
    let records = LineSeries::new(samples.iter().map(|m| (m.0, m.2 as f64 / 1e3)), &BLUE);
    chart
        .draw_secondary_series(records)?
        .label("records")
        .legend(key(BLUE));
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Runs all parts of the experiment and writes the samples of the replacement.
///
/// # Errors
///
/// Returns a message if the gateway program is missing, a connection fails or an output file cannot be written.
pub(crate) fn run(options: &Options) -> Result<Figures, String> {
    let program = harness::gateway_binary(&options.program)?;
    std::fs::create_dir_all(&options.out).map_err(|e| e.to_string())?;
    let mut figures = Figures::default();
    if options.trials > 0 {
        run_trials(options, &program, &mut figures)?;
    }
    measure_session_reads(options, &program, &mut figures)?;
    if !options.without_replication {
        figures.p99_ratio_single_client = compare_write_latency(options, &program, 1)?;
        figures.p99_ratio = compare_write_latency(options, &program, SESSION_CLIENTS)?;
        if options.records > 0 {
            measure_replacement(options, &program)?;
        }
    }
    Ok(figures)
}
