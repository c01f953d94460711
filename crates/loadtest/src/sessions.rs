//! Owns the experiment with sessions: a gateway is killed right after it has answered a write, and the session reads
//! through another one and through the one that is started again.
//!
//! It must never count a read as complete by what the gateway says of it: the set knows what each row was made from.

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

use crate::harness::{self, PATIENCE};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Nothing is shared.
    None,
    /// Clients carry tokens.
    Carried,
    /// Each gateway keeps what passes on a disk that lasts.
    Disk,
}

#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub mode: Mode,
    pub tries: usize,
    pub short: bool,
    pub seed: u64,
    pub out: PathBuf,
    pub without: bool,
    pub program: Option<PathBuf>,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub tries: usize,
    pub reads: usize,
    pub missing: usize,
    pub failed: usize,
    pub to_primary_share: f64,
    pub needless_share: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub wrong: usize,
}

/// Lanes play side by side, each with two gateways of its own on the same set.
const LANES: usize = 6;
pub(crate) const MEMBERS: usize = 4;
/// Replication within a data centre, on the slow side.
pub(crate) const BUILD: ReplicaSetConfig = ReplicaSetConfig {
    replication_lag: 150,
    ..IDEAL_SET
};
pub(crate) const WORK: Duration = Duration::from_millis(2);

/// What one lane has measured.
struct Record {
    times: Histogram<u64>,
    figures: Figures,
    primary: usize,
    needless: usize,
}

struct Lane<'a> {
    set: &'a ReplicaSet,
    program: &'a Path,
    known: &'a str,
    asked: &'a Asked,
    gateways: [Option<Gateway>; 2],
    record: Record,
    chance: Rng,
    name: usize,
    ids: usize,
}

impl Lane<'_> {
    fn start(&mut self, nth: usize) {
        let name = format!("{}-{nth}", self.name);
        self.gateways[nth] = Some(start(self.asked, self.program, self.known, &name));
    }

    fn id(&mut self) -> String {
        self.ids += 1;
        format!("l{}n{}", self.name, self.ids)
    }

    /// Sends a command until it is answered or its time is over; what was heard, and its id.
    fn command(
        &mut self,
        nth: usize,
        text: &dyn Fn(&str, u128) -> String,
        length: usize,
    ) -> Option<(Vec<u8>, String)> {
        let ends = Instant::now() + PATIENCE;
        while Instant::now() < ends {
            let id = self.id();
            let left = ends
                .saturating_duration_since(Instant::now())
                .as_millis()
                .max(1);
            let Some(heard) = self.gateways[nth]
                .as_ref()
                .and_then(|gateway| harness::connect(&gateway.address))
                .and_then(|mut stream| harness::ask(&mut stream, &text(&id, left)))
            else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            match classify_response(&heard, &expected_value(&id, length)) {
                ResponseOutcome::Answered => return Some((heard, id)),
                ResponseOutcome::Wrong => self.record.figures.wrong += 1,
                ResponseOutcome::Throttled(ms) => {
                    thread::sleep(Duration::from_millis(ms.clamp(10, 300)))
                }
                ResponseOutcome::Failed => thread::sleep(Duration::from_millis(20)),
            }
        }
        None
    }

    fn read(&mut self, nth: usize, session: &str, token: Option<&str>) {
        let Some(wrote) = self.set.last_write_position(session) else {
            return;
        };
        let after = token
            .map(|token| format!(",after={token}"))
            .unwrap_or_default();
        let text = |id: &str, left: u128| {
            format!(
                "SELECT v FROM records WHERE k = '{session}' /* id={id},c=own,t=honest,d={left},cluster=2{after} */"
            )
        };
        let began = Instant::now();
        let answered = self.command(nth, &text, 64);
        let took = began.elapsed().as_micros() as u64;
        self.record.figures.reads += 1;
        let row = answered.and_then(|(_, id)| self.set.take_read_origin(&id));
        let Some(row) = row else {
            self.record.figures.failed += 1;
            return;
        };
        self.record.times.saturating_record(took);
        self.record.figures.missing += usize::from(row.position < wrote);
        self.record.primary += usize::from(row.by_primary);
        self.record.needless += usize::from(row.needless);
    }

    fn one_try(&mut self, nth: usize) {
        let writer = self.chance.usize(..2);
        // Sessions come back, so that both gateways have met most of them before.
        let session = format!("64-s{}x{}", self.name, nth % 40);
        let key = format!("{:x}", self.chance.u64(..));
        let text = |id: &str, left: u128| {
            format!(
                "INSERT INTO records (k, v) VALUES ('{session}', '\\x9f') RETURNING v \
                 /* id={id},c=report,t=honest,d={left},k={key},cluster=2 */"
            )
        };
        self.record.figures.tries += 1;
        let Some((heard, _)) = self.command(writer, &text, 64) else {
            self.record.figures.failed += 1;
            return;
        };
        // Killed outright: the guard's drop sends SIGKILL and waits for its end.
        self.gateways[writer] = None;
        let token = notice_detail(&heard);
        self.read(1 - writer, &session, token.as_deref());
        self.start(writer);
        self.read(writer, &session, token.as_deref());
    }
}

/// The operator's file of one gateway, and its folder where it keeps one.
fn operator(asked: &Asked, gateway: &str) -> std::io::Result<String> {
    std::fs::create_dir_all(&asked.out)?;
    let number = "  number = \"8c1f30d27a5be964\"\n";
    let more = match asked.mode {
        Mode::None => String::new(),
        Mode::Carried => format!("  keys   = [\"7:00112233445566778899aabbccddeeff\"]\n{number}"),
        Mode::Disk => {
            let folder = std::path::absolute(asked.out.join(format!("disk-{gateway}")))?;
            format!("  disk   = \"{}\"\n{number}", folder.display())
        }
    };
    let file = asked.out.join(format!("sessions-{gateway}.hcl"));
    std::fs::write(&file, format!("sessions {{\n  follow = true\n{more}}}\n"))?;
    Ok(file.display().to_string())
}

/// A gateway that follows sessions as it is asked to.
pub(crate) fn start(asked: &Asked, program: &Path, known: &str, name: &str) -> Gateway {
    let operator = operator(asked, name).expect("a file is written");
    harness::start(Some(&operator).filter(|_| !asked.without), program, known)
}

pub(crate) fn run(asked: &Asked) -> Result<Figures, String> {
    let program = harness::program(&asked.program)?;
    let (set, _members, known) = start_replica_set(BUILD, MEMBERS, WORK);
    let tries = if asked.short {
        asked.tries.min(400)
    } else {
        asked.tries
    };
    let (next, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let lane = |name: usize| {
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of our own");
        let record = Record {
            times,
            figures: Figures::default(),
            primary: 0,
            needless: 0,
        };
        let chance = Rng::with_seed(asked.seed * 100 + name as u64);
        let (set, program): (&ReplicaSet, &Path) = (&set, &program);
        let gateways = [None, None];
        let mut lane = Lane {
            set,
            program,
            known: &known,
            asked,
            gateways,
            record,
            chance,
            name,
            ids: 0,
        };
        (0..2).for_each(|nth| lane.start(nth));
        loop {
            let nth = next.fetch_add(1, Relaxed);
            if nth >= tries {
                return lane.record;
            }
            lane.one_try(nth);
        }
    };
    let records: Vec<Record> = thread::scope(|scope| {
        let lanes: Vec<_> = (0..LANES)
            .map(|name| scope.spawn(move || lane(name)))
            .collect();
        let (set, over): (Arc<ReplicaSet>, &AtomicBool) = (set.clone(), &over);
        let mut chance = Rng::with_seed(asked.seed);
        // Meanwhile replicas stand still for a while, and the primary changes every few seconds.
        let trouble = scope.spawn(move || {
            let mut beat = 0;
            while !over.load(Relaxed) {
                let member = chance.usize(..MEMBERS);
                if set.primary() != Some(member) {
                    set.set_replication_paused(member, true);
                }
                thread::sleep(Duration::from_millis(chance.u64(100..600)));
                set.set_replication_paused(member, false);
                thread::sleep(Duration::from_millis(chance.u64(100..600)));
                beat += 1;
                if beat % 4 == 0 {
                    set.switch_over(chance.usize(..MEMBERS));
                }
            }
        });
        let records = lanes
            .into_iter()
            .map(|lane| lane.join().expect("a lane ends by itself"))
            .collect();
        over.store(true, Relaxed);
        let _ = trouble.join();
        records
    });
    let mut times =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
    let (mut all, mut primary, mut needless) = (Figures::default(), 0, 0);
    for record in records {
        times.add(&record.times).map_err(|e| e.to_string())?;
        all.tries += record.figures.tries;
        all.reads += record.figures.reads;
        all.missing += record.figures.missing;
        all.failed += record.figures.failed;
        all.wrong += record.figures.wrong;
        primary += record.primary;
        needless += record.needless;
    }
    let share = |n: usize| n as f64 / times.len().max(1) as f64;
    (all.to_primary_share, all.needless_share) = (share(primary), share(needless));
    all.p50_ms = times.value_at_quantile(0.5) as f64 / 1e3;
    all.p99_ms = times.value_at_quantile(0.99) as f64 / 1e3;
    Ok(all)
}
