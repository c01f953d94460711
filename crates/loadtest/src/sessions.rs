//! Session consistency across the loss of a gateway: a gateway is killed right after it has answered a write, and the
//! session reads through another gateway and then through the restarted one.
//!
//! # Invariants
//!
//! Whether a read saw the session's last write is judged by the replica set, which records the state that each row was
//! read from, and never by what a gateway reports.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use hdrhistogram::Histogram;
use leverpoint_cluster_model::replica_set::ReplicaSetConfig;
use leverpoint_test_support::client::ResponseOutcome;
use leverpoint_test_support::client::{classify_response, notice_detail};
use leverpoint_test_support::gateway::Gateway;
use leverpoint_test_support::replica_set::{IDEAL_SET, ReplicaSet, start_replica_set};
use leverpoint_test_support::values::expected_value;
use serde::Serialize;

use crate::harness::{self, RESPONSE_TIMEOUT};

/// How gateways learn of the writes that other gateways, or they themselves before a restart, have answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Gateways share nothing.
    None,
    /// Clients pass on signed session tokens.
    Carried,
    /// Each gateway stores session positions on a disk that survives its restart.
    Disk,
}

/// Options of `run sessions` and `run price`.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub mode: Mode,
    /// Number of writes, each followed by a kill of its gateway; `run price` ignores it.
    pub trials: usize,
    /// At most 400 trials.
    pub short: bool,
    pub seed: u64,
    /// Directory for tables, charts and the gateways' files.
    pub out: PathBuf,
    /// Starts the gateways without an operator's file, which switches session consistency off.
    pub without_sessions: bool,
    /// The gateway program; by default the one in the directory of this program.
    pub program: Option<PathBuf>,
}

/// Results of a run, printed as JSON. Shares and latencies are over the reads that were answered.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Figures {
    #[serde(rename = "tries")]
    pub trials: usize,
    pub reads: usize,
    /// Reads that did not see the session's last write.
    pub missing: usize,
    /// Writes and reads without a valid response within [`RESPONSE_TIMEOUT`].
    pub failed: usize,
    /// Share answered by the primary.
    pub to_primary_share: f64,
    /// Share answered by the primary although a replica had the session's last write.
    pub needless_share: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Responses with a missing or unexpected value.
    pub wrong: usize,
}

/// Workers that run trials in parallel, each with two gateways of its own in front of the same replica set.
const WORKERS: usize = 6;
/// Number of servers in the replica set.
pub(crate) const SET_MEMBERS: usize = 4;
/// Replica set with a replication lag at the slow end of what is usual within a data centre.
pub(crate) const SET_CONFIG: ReplicaSetConfig = ReplicaSetConfig {
    replication_lag: 150,
    ..IDEAL_SET
};
/// Time that a server works on a request.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Counts and latencies of one worker.
struct WorkerResult {
    /// Read latencies in microseconds, retries included.
    latencies: Histogram<u64>,
    figures: Figures,
    primary_reads: usize,
    needless_primary_reads: usize,
}

/// One worker, with its gateways and its counts.
struct Worker<'a> {
    set: &'a ReplicaSet,
    program: &'a Path,
    known_list: &'a str,
    options: &'a Options,
    gateways: [Option<Gateway>; 2],
    result: WorkerResult,
    rng: Rng,
    index: usize,
    request_count: usize,
}

impl Worker<'_> {
    /// Starts one of the two gateways, given by index.
    fn start_gateway(&mut self, gateway: usize) {
        let name = format!("{}-{gateway}", self.index);
        self.gateways[gateway] = Some(start_gateway(
            self.options,
            self.program,
            self.known_list,
            &name,
        ));
    }

    /// Returns a new request ID.
    fn id(&mut self) -> String {
        self.request_count += 1;
        format!("l{}n{}", self.index, self.request_count)
    }

    /// Sends a request through a gateway, given by index, with a new ID for each attempt, until it is answered or
    /// [`RESPONSE_TIMEOUT`] is over. `text` makes the SQL text of an ID and the milliseconds left; `length` is the
    /// length of the expected value. Returns the response and the ID of the answered attempt.
    fn send_with_retries(
        &mut self,
        gateway: usize,
        text: &dyn Fn(&str, u128) -> String,
        length: usize,
    ) -> Option<(Vec<u8>, String)> {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        while Instant::now() < deadline {
            let id = self.id();
            let remaining_ms = deadline
                .saturating_duration_since(Instant::now())
                .as_millis()
                .max(1);
            let Some(response) = self.gateways[gateway]
                .as_ref()
                .and_then(|running| harness::connect(&running.address))
                .and_then(|mut stream| harness::send_query(&mut stream, &text(&id, remaining_ms)))
            else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            match classify_response(&response, &expected_value(&id, length)) {
                ResponseOutcome::Answered => return Some((response, id)),
                ResponseOutcome::Wrong => self.result.figures.wrong += 1,
                ResponseOutcome::Throttled(ms) => {
                    thread::sleep(Duration::from_millis(ms.clamp(10, 300)))
                }
                ResponseOutcome::Failed => thread::sleep(Duration::from_millis(20)),
            }
        }
        None
    }

    /// Reads the session's row, with the session token if one is given, and checks that it shows the last write.
    fn read(&mut self, gateway: usize, session: &str, token: Option<&str>) {
        let Some(write_position) = self.set.last_write_position(session) else {
            return;
        };
        let after = token
            .map(|token| format!(",after={token}"))
            .unwrap_or_default();
        let text = |id: &str, remaining_ms: u128| {
            format!(
                "SELECT v FROM records WHERE k = '{session}' /* id={id},c=own,t=honest,d={remaining_ms},cluster=2{after} */"
            )
        };
        let started_at = Instant::now();
        let answered = self.send_with_retries(gateway, &text, 64);
        let elapsed_us = started_at.elapsed().as_micros() as u64;
        self.result.figures.reads += 1;
        let origin = answered.and_then(|(_, id)| self.set.take_read_origin(&id));
        let Some(origin) = origin else {
            self.result.figures.failed += 1;
            return;
        };
        self.result.latencies.saturating_record(elapsed_us);
        self.result.figures.missing += usize::from(origin.position < write_position);
        self.result.primary_reads += usize::from(origin.by_primary);
        self.result.needless_primary_reads += usize::from(origin.needless);
    }

    /// Writes, kills the gateway that answered, reads through the other one, restarts the killed one and reads through
    /// it.
    fn run_trial(&mut self, trial: usize) {
        let writer = self.rng.usize(..2);
        // Sessions are reused, so that both gateways have served most of them before.
        let session = format!("64-s{}x{}", self.index, trial % 40);
        let key = format!("{:x}", self.rng.u64(..));
        let text = |id: &str, remaining_ms: u128| {
            format!(
                "INSERT INTO records (k, v) VALUES ('{session}', '\\x9f') RETURNING v \
                 /* id={id},c=report,t=honest,d={remaining_ms},k={key},cluster=2 */"
            )
        };
        self.result.figures.trials += 1;
        let Some((response, _)) = self.send_with_retries(writer, &text, 64) else {
            self.result.figures.failed += 1;
            return;
        };
        // Dropping the gateway sends SIGKILL and waits for the exit.
        self.gateways[writer] = None;
        let token = notice_detail(&response);
        self.read(1 - writer, &session, token.as_deref());
        self.start_gateway(writer);
        self.read(writer, &session, token.as_deref());
    }
}

/// Writes the operator's file of one gateway and returns its path. In [`Mode::Disk`] the file names a data directory in
/// the output directory.
///
/// # Errors
///
/// Returns any error of the file system.
fn write_operator_file(options: &Options, gateway: &str) -> std::io::Result<String> {
    std::fs::create_dir_all(&options.out)?;
    let number = "  number = \"8c1f30d27a5be964\"\n";
    let mode_settings = match options.mode {
        Mode::None => String::new(),
        Mode::Carried => format!("  keys   = [\"7:00112233445566778899aabbccddeeff\"]\n{number}"),
        Mode::Disk => {
            let data_dir = std::path::absolute(options.out.join(format!("disk-{gateway}")))?;
            format!("  disk   = \"{}\"\n{number}", data_dir.display())
        }
    };
    let file = options.out.join(format!("sessions-{gateway}.hcl"));
    std::fs::write(
        &file,
        format!("sessions {{\n  follow = true\n{mode_settings}}}\n"),
    )?;
    Ok(file.display().to_string())
}

/// Starts a gateway that tracks sessions in the selected mode; `name` makes its files unique.
///
/// # Panics
///
/// Panics if the operator's file cannot be written.
pub(crate) fn start_gateway(
    options: &Options,
    program: &Path,
    known_list: &str,
    name: &str,
) -> Gateway {
    let operator_file = write_operator_file(options, name).expect("write the operator's file");
    harness::start_gateway(
        Some(&operator_file).filter(|_| !options.without_sessions),
        program,
        known_list,
    )
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns a message if the gateway program is missing or the latencies cannot be combined.
pub(crate) fn run(options: &Options) -> Result<Figures, String> {
    let program = harness::gateway_binary(&options.program)?;
    let (set, _members, known_list) = start_replica_set(SET_CONFIG, SET_MEMBERS, SERVICE_TIME);
    let trial_count = if options.short {
        options.trials.min(400)
    } else {
        options.trials
    };
    let (next, done) = (AtomicUsize::new(0), AtomicBool::new(false));
    let run_worker = |index: usize| {
        let latencies =
            Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
        let result = WorkerResult {
            latencies,
            figures: Figures::default(),
            primary_reads: 0,
            needless_primary_reads: 0,
        };
        let rng = Rng::with_seed(options.seed * 100 + index as u64);
        let (set, program): (&ReplicaSet, &Path) = (&set, &program);
        let gateways = [None, None];
        let mut worker = Worker {
            set,
            program,
            known_list: &known_list,
            options,
            gateways,
            result,
            rng,
            index,
            request_count: 0,
        };
        (0..2).for_each(|gateway| worker.start_gateway(gateway));
        loop {
            let trial = next.fetch_add(1, Relaxed);
            if trial >= trial_count {
                return worker.result;
            }
            worker.run_trial(trial);
        }
    };
    let results: Vec<WorkerResult> = thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS)
            .map(|index| scope.spawn(move || run_worker(index)))
            .collect();
        let (set, done): (Arc<ReplicaSet>, &AtomicBool) = (set.clone(), &done);
        let mut rng = Rng::with_seed(options.seed);
        // Meanwhile, replication to random replicas pauses for a while, and the primary changes every few seconds.
        let disruptions = scope.spawn(move || {
            let mut round = 0;
            while !done.load(Relaxed) {
                let member = rng.usize(..SET_MEMBERS);
                if set.primary() != Some(member) {
                    set.set_replication_paused(member, true);
                }
                thread::sleep(Duration::from_millis(rng.u64(100..600)));
                set.set_replication_paused(member, false);
                thread::sleep(Duration::from_millis(rng.u64(100..600)));
                round += 1;
                if round % 4 == 0 {
                    set.switch_over(rng.usize(..SET_MEMBERS));
                }
            }
        });
        let results = workers
            .into_iter()
            .map(|worker| worker.join().expect("worker panicked"))
            .collect();
        done.store(true, Relaxed);
        let _ = disruptions.join();
        results
    });
    let mut latencies =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
    let (mut figures, mut primary_reads, mut needless_primary_reads) = (Figures::default(), 0, 0);
    for result in results {
        latencies
            .add(&result.latencies)
            .map_err(|e| e.to_string())?;
        figures.trials += result.figures.trials;
        figures.reads += result.figures.reads;
        figures.missing += result.figures.missing;
        figures.failed += result.figures.failed;
        figures.wrong += result.figures.wrong;
        primary_reads += result.primary_reads;
        needless_primary_reads += result.needless_primary_reads;
    }
    let share = |n: usize| n as f64 / latencies.len().max(1) as f64;
    (figures.to_primary_share, figures.needless_share) =
        (share(primary_reads), share(needless_primary_reads));
    figures.p50_ms = latencies.value_at_quantile(0.5) as f64 / 1e3;
    figures.p99_ms = latencies.value_at_quantile(0.99) as f64 / 1e3;
    Ok(figures)
}
