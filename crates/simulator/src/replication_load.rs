//! Clients that read and write at the members of a fleet with replication, and the oracle that checks their results: it
//! records every acknowledgement and every execution by the clock of the simulation.
//!
//! # Invariants
//!
//! - Members never see the oracle's data.
//! - The oracle counts an acknowledgement only once the client has received it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use leverpoint_peer_transport::{
    MemberRuntime, ReplicationRuntime, ReplicationStore, WriteClearance,
};
use leverpoint_replication::ReplicationEvent;
use leverpoint_replication::record_store::RecordStoreLimits;
use leverpoint_replication::{
    DeduplicationDomain, IdempotencyClaim, IdempotencyDecision, PersistedMetadata, Record,
    RecordKey, RecoveredState, ReplicationConfig, ReplicationFactor as Factor, Ticks, WriteOutcome,
};
use leverpoint_runtime::{sleep, spawn};
use serde::Deserialize;
use tokio::sync::{mpsc, oneshot};

use crate::simulation::{EventSource, START_UNIX_TIME, Simulation};

/// The replication factor and the load of a scenario. The fields are the keys of its HCL block `copies`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Replication factor; an odd number.
    pub copies: usize,
    /// Number of sessions that requests are spread over.
    pub sessions: u64,
    /// Mean time between two requests to one member, in milliseconds.
    pub every_ms: f64,
    /// Fraction of requests that are writes.
    pub writes: f64,
    /// Fraction of writes that carry an idempotency key.
    pub keyed: f64,
    /// Fraction of keyed writes that retry a key sent before.
    pub repeats: f64,
    /// A retry picks one of this many newest keys.
    #[serde(default = "default_repeatable_keys")]
    pub keys: usize,
    /// Maximum number of records of a member; a small limit makes the record store fold old records.
    #[serde(default = "default_record_limit")]
    pub records: usize,
}

fn default_repeatable_keys() -> usize {
    50
}

fn default_record_limit() -> usize {
    1 << 16
}

/// How long a run continues after the last fault: open requests end, and returning members are repaired.
pub const SETTLING_TIME: Ticks = 80_000;
/// For this long after a keyed write, its replica set drops writes with the same key.
const DEDUPLICATION_WINDOW: Ticks = 30_000;
const LEASE_DURATION: Ticks = 20_000;
/// Age of a key, counted from its first write, after which no client retries it.
const MAX_KEY_AGE: Ticks = 150_000;

/// A member's replication data as it is on disk.
#[derive(Clone, Debug, Default)]
pub struct DiskContents {
    metadata: PersistedMetadata,
    records: BTreeMap<RecordKey, Record>,
}

/// A member's disk; it outlives the member's processes.
pub type SharedDisk = Rc<RefCell<DiskContents>>;

/// Queues writes to the simulated disk, which executes them in order. Queued writes are lost when the process ends.
struct QueuedStore(mpsc::UnboundedSender<PersistRequest>);

/// Records, metadata and the completion callback of one write.
type PersistRequest = (
    Vec<Record>,
    Option<PersistedMetadata>,
    Box<dyn FnOnce(bool)>,
);

impl ReplicationStore for QueuedStore {
    fn persist(
        &self,
        records: Vec<Record>,
        meta: Option<PersistedMetadata>,
        callback: Box<dyn FnOnce(bool)>,
    ) {
        let _ = self.0.send((records, meta, callback));
    }
}

/// Executes queued writes in batches; each batch takes 0.1 to 2.9 ms.
async fn run_disk(
    sim: Rc<Simulation>,
    disk: SharedDisk,
    mut requests: mpsc::UnboundedReceiver<PersistRequest>,
) {
    while let Some(first) = requests.recv().await {
        let mut all = vec![first];
        while let Ok(more) = requests.try_recv() {
            all.push(more);
        }
        let write_duration = sim.rng.borrow_mut().u64(1..30);
        sleep(Duration::from_micros(write_duration * 100)).await;
        let mut callbacks = Vec::new();
        for (records, meta, callback) in all {
            let mut contents = disk.borrow_mut();
            for record in records {
                contents
                    .records
                    .entry(record.key)
                    .or_insert_with(|| record.clone())
                    .merge(&record);
            }
            if let Some(meta) = meta {
                contents.metadata = meta;
            }
            callbacks.push(callback);
        }
        callbacks.into_iter().for_each(|callback| callback(true));
    }
}

/// What the oracle knows of an idempotency key.
#[derive(Clone, Debug, Default)]
struct KeyHistory {
    /// Replica set and time of each execution.
    executions: Vec<(u16, Ticks)>,
    /// The replica set that the first write named.
    set: u16,
    first_sent: Ticks,
}

/// Records what happened in a run, independently of what the members know, and detects violations.
pub struct Oracle {
    sim: Rc<Simulation>,
    /// By session: the highest acknowledged replication position.
    acknowledged: RefCell<BTreeMap<u64, Ticks>>,
    keys: RefCell<BTreeMap<u64, KeyHistory>>,
    /// The latest violation: the rule's number and a description.
    pub violation: Cell<Option<(u8, String)>>,
    /// Requests that got a token or a quorum acknowledgement, and all requests.
    counts: Cell<(u64, u64)>,
    next_key: Cell<u64>,
}

impl Oracle {
    pub fn new(sim: &Rc<Simulation>) -> Oracle {
        Oracle {
            sim: sim.clone(),
            acknowledged: RefCell::default(),
            keys: RefCell::default(),
            violation: Cell::new(None),
            counts: Cell::new((0, 0)),
            next_key: Cell::new(1),
        }
    }

    fn now(&self) -> Ticks {
        (START_UNIX_TIME.as_micros() / 100) as Ticks + self.sim.time()
    }

    /// Requests that got a read's token or a write's quorum acknowledgement, and all requests; (1, 1) without any.
    pub fn request_counts(&self) -> (f64, f64) {
        let (successful, all) = self.counts.get();
        if all == 0 {
            (1.0, 1.0)
        } else {
            (successful as f64, all as f64)
        }
    }

    fn count_request(&self, succeeded: bool) {
        let (successful, all) = self.counts.get();
        self.counts
            .set((successful + u64::from(succeeded), all + 1));
    }

    fn report_violation(&self, rule: u8, description: String) {
        self.violation.set(Some((rule, description)));
    }

    /// Records the execution of a keyed write, unless its replica set drops it as a duplicate.
    fn record_execution(&self, key: Option<u64>, set: u16, member: usize) {
        let now = self.now();
        let Some(key) = key else { return };
        let mut keys = self.keys.borrow_mut();
        let history = keys.entry(key).or_default();
        let dropped = history.executions.iter().any(|(executed_at_set, time)| {
            *executed_at_set == set && now - time < DEDUPLICATION_WINDOW
        });
        if dropped {
            return;
        }
        self.sim.record(EventSource::ReplicaSet, (key, member), || {
            format!("key {key} is executed, sent by member {member}")
        });
        history.executions.push((set, now));
        if history.executions.len() > 1 {
            let description = format!(
                "key {key} was executed twice, the second time through member {member}: {:?}",
                history.executions
            );
            drop(keys);
            self.report_violation(2, description);
        }
    }
}

fn replication_config(load: &Load) -> ReplicationConfig {
    ReplicationConfig {
        replicas: Factor::new(load.copies).expect("an odd number of replicas"),
        lease_duration: LEASE_DURATION,
        max_clock_skew: 10,
        quorum_timeout: 1_000,
        max_write_duration: 300_000,
        limits: RecordStoreLimits {
            max_records: load.records,
            max_bytes: 64 << 20,
            position_retention: 400_000,
            key_retention: 200_000,
        },
        repair_rate: 20_000,
    }
}

/// Starts a member's replication and its clients. `recover` says whether the member loads what its disk holds.
pub fn start(
    sim: &Rc<Simulation>,
    member: usize,
    membership: &Rc<MemberRuntime>,
    load: &Load,
    oracle: &Rc<Oracle>,
    disk: &SharedDisk,
    recover: bool,
) {
    let contents = disk.borrow().clone();
    let recovered = recover.then(|| RecoveredState {
        metadata: Some(contents.metadata),
        records: contents.records.into_values().collect(),
    });
    let (sender, requests) = mpsc::unbounded_channel();
    spawn(run_disk(sim.clone(), disk.clone(), requests));
    let event_sim = sim.clone();
    let on_event = Box::new(move |event: &ReplicationEvent| {
        event_sim.record(EventSource::Replication, (member, event), || {
            format!("at {member} {event:?}")
        });
    });
    let replication = ReplicationRuntime::start(
        membership,
        replication_config(load),
        recovered,
        Some(Box::new(QueuedStore(sender))),
        on_event,
    );
    spawn(run_clients(
        member,
        replication,
        load.clone(),
        oracle.clone(),
    ));
}

async fn run_clients(
    member: usize,
    replication: Rc<ReplicationRuntime>,
    load: Load,
    oracle: Rc<Oracle>,
) {
    let mut rng = Rng::with_seed(oracle.sim.rng.borrow_mut().u64(..));
    loop {
        let pause = -load.every_ms * (1.0 - rng.f64()).ln();
        sleep(Duration::from_micros((pause * 10.0) as u64 * 100)).await;
        let session = rng.u64(1..=load.sessions);
        let (replication, oracle) = (replication.clone(), oracle.clone());
        let write_rng = rng.fork();
        if rng.f64() >= load.writes {
            spawn(run_read(member, replication, oracle, session));
        } else if rng.f64() >= load.keyed {
            spawn(run_write(
                member,
                replication,
                oracle,
                session,
                None,
                write_rng,
            ));
        } else {
            let repeats = rng.f64() < load.repeats;
            let key = choose_key(&oracle, &mut rng, repeats, load.keys);
            spawn(run_write(
                member,
                replication,
                oracle,
                session,
                Some(key),
                write_rng,
            ));
        }
    }
}

/// A new key with its replica set, or a recent one to retry, as by a client that gave up its attempt at another member.
/// The flag says whether it is a retry.
fn choose_key(
    oracle: &Oracle,
    rng: &mut Rng,
    repeats: bool,
    recent_limit: usize,
) -> (u64, u16, bool) {
    let now = oracle.now();
    let mut keys = oracle.keys.borrow_mut();
    let recent: Vec<u64> = keys
        .iter()
        .rev()
        .take(recent_limit)
        .filter(|(_, k)| now - k.first_sent < MAX_KEY_AGE)
        .map(|(key, _)| *key)
        .collect();
    if repeats && !recent.is_empty() {
        let key = recent[rng.usize(..recent.len())];
        let history = keys.entry(key).or_default();
        // One retry in ten names the other replica set.
        let set = if rng.u8(..10) == 0 {
            1 - history.set
        } else {
            history.set
        };
        return (key, set, true);
    }
    let key = oracle.next_key.replace(oracle.next_key.get() + 1);
    let set = rng.u16(..2);
    keys.insert(
        key,
        KeyHistory {
            set,
            first_sent: now,
            ..KeyHistory::default()
        },
    );
    (key, set, false)
}

async fn run_read(
    member: usize,
    replication: Rc<ReplicationRuntime>,
    oracle: Rc<Oracle>,
    session: u64,
) {
    let required = oracle
        .acknowledged
        .borrow()
        .get(&session)
        .copied()
        .unwrap_or(0);
    let fallback_token = replication.now() + 10;
    let (sender, receiver) = oneshot::channel();
    replication.request_read(
        session,
        Ticks::MAX,
        Box::new(move |position| {
            let _ = sender.send(position);
        }),
    );
    let Ok(position) = receiver.await else { return };
    oracle.count_request(position.is_some());
    oracle
        .sim
        .record(EventSource::Read, (member, session, position), || {
            format!("at {member} session {session} reads: {position:?}")
        });
    let token = position.unwrap_or(fallback_token);
    if token < required {
        let description = format!(
            "session {session} at member {member} needs position {required}, but its read requires {token} ({position:?})"
        );
        oracle.report_violation(5, description);
    }
}

async fn run_write(
    member: usize,
    replication: Rc<ReplicationRuntime>,
    oracle: Rc<Oracle>,
    session: u64,
    key: Option<(u64, u16, bool)>,
    mut rng: Rng,
) {
    let attempt_id = rng.u64(..);
    let claim = key.map(|(key, set, repeat)| IdempotencyClaim {
        key,
        attempt_id,
        replica_set: set,
        deduplication: DeduplicationDomain::ReplicaSet,
        deduplication_window: DEDUPLICATION_WINDOW,
        is_retry: repeat,
    });
    let first = replication.now();
    let (sender, receiver) = oneshot::channel();
    let write_id = replication.request_write(
        session,
        claim,
        Ticks::MAX,
        Box::new(move |_, clearance| {
            let _ = sender.send(clearance);
        }),
    );
    let Ok(clearance) = receiver.await else {
        return;
    };
    oracle.count_request(matches!(clearance, WriteClearance::QuorumAcknowledged(_)));
    oracle.sim.record(
        EventSource::Write,
        (member, session, key, write_id, clearance),
        || {
            format!(
                "at {member} session {session} writes, key {key:?}, write {write_id}: {clearance:?}"
            )
        },
    );
    let execution_deadline = match clearance {
        WriteClearance::QuorumAcknowledged(IdempotencyDecision::FirstAttempt)
        | WriteClearance::WithoutQuorum => first + DEDUPLICATION_WINDOW - 100,
        WriteClearance::QuorumAcknowledged(IdempotencyDecision::Retry(first)) => {
            first + DEDUPLICATION_WINDOW - 100
        }
        WriteClearance::QuorumAcknowledged(IdempotencyDecision::OutcomeUnknown) => {
            return replication.on_write_finished(write_id, WriteOutcome::NotExecuted);
        }
        WriteClearance::Rejected(_) => return,
    };
    let outcome_roll = rng.u8(..10);
    // Network and queueing time: 0.5 to 5.9 ms; for one write in ten 5 ms to 2 s, as if it waited for a primary.
    let waits_long = rng.u8(..10) == 0;
    sleep(Duration::from_micros(
        100 * rng.u64(if waits_long { 50..20_000 } else { 5..60 }),
    ))
    .await;
    if replication.now() >= execution_deadline || outcome_roll == 0 {
        return replication.on_write_finished(write_id, WriteOutcome::NotExecuted);
    }
    oracle.record_execution(
        key.map(|(key, ..)| key),
        key.map_or(0, |(_, set, _)| set),
        member,
    );
    let position = oracle.now();
    sleep(Duration::from_micros(100 * rng.u64(2..40))).await;
    if outcome_roll == 1 {
        // The reply is lost, so the member does not know the outcome.
        sleep(Duration::from_millis(50)).await;
        return replication.on_write_finished(
            write_id,
            WriteOutcome::PossiblyExecuted(replication.now() + 10),
        );
    }
    oracle.sim.record(
        EventSource::ClientResponse,
        (member, position, session, write_id),
        || format!("at {member} session {session} gets position {position}, write {write_id}"),
    );
    replication.on_write_finished(write_id, WriteOutcome::Acknowledged(position));
    let mut acknowledged = oracle.acknowledged.borrow_mut();
    let highest = acknowledged.entry(session).or_default();
    *highest = (*highest).max(position);
}
