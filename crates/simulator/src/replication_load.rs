//! Owns what clients do at the members of a fleet that copies what it holds, and the truth that it is held against: every
//! answer, every effect, by the one clock of the world.
//!
//! It must never let a member see the truth, or count an answer that its client did not hear.

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
    RecordKey, RecoveredState, ReplicationConfig, ReplicationFactor as Many, Ticks, WriteOutcome,
};
use leverpoint_runtime::{sleep, spawn};
use serde::Deserialize;
use tokio::sync::{mpsc, oneshot};

use crate::world::{EventSource, Sim, UNIX};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub copies: usize,
    pub sessions: u64,
    /// A member is asked for something so often, in milliseconds on average.
    pub every_ms: f64,
    /// Parts of the acts: writes, of them keyed ones, of these repeats of a key that was sent before.
    pub writes: f64,
    pub keyed: f64,
    pub repeats: f64,
    /// The newest keys, of which one is repeated.
    #[serde(default = "some")]
    pub keys: usize,
    /// Records that a member holds at most; few, so that some are folded away.
    #[serde(default = "plenty")]
    pub records: usize,
}

fn some() -> usize {
    50
}

fn plenty() -> usize {
    1 << 16
}

/// After the last fault what was open ends, and members that were away take their parts.
pub const AFTERWARDS: Ticks = 80_000;
/// A repeat is dropped for so long by the set that had the first.
const WINDOW: Ticks = 30_000;
const LEASE: Ticks = 20_000;
/// No client repeats a key for longer.
const PATIENCE: Ticks = 150_000;

/// What a member's disk has of copies.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    meta: PersistedMetadata,
    records: BTreeMap<RecordKey, Record>,
}

pub type Shelf = Rc<RefCell<Kept>>;

/// A disk on which one thing is kept after the other; what was not done when its process ends is lost.
struct Disk(mpsc::UnboundedSender<Batch>);

type Batch = (
    Vec<Record>,
    Option<PersistedMetadata>,
    Box<dyn FnOnce(bool)>,
);

impl ReplicationStore for Disk {
    fn persist(
        &self,
        records: Vec<Record>,
        meta: Option<PersistedMetadata>,
        then: Box<dyn FnOnce(bool)>,
    ) {
        let _ = self.0.send((records, meta, then));
    }
}

async fn keep(sim: Rc<Sim>, shelf: Shelf, mut line: mpsc::UnboundedReceiver<Batch>) {
    while let Some(first) = line.recv().await {
        let mut all = vec![first];
        while let Ok(more) = line.try_recv() {
            all.push(more);
        }
        let takes = sim.chance.borrow_mut().u64(1..30);
        sleep(Duration::from_micros(takes * 100)).await;
        let mut thens = Vec::new();
        for (records, meta, then) in all {
            let mut kept = shelf.borrow_mut();
            for record in records {
                kept.records
                    .entry(record.key)
                    .or_insert_with(|| record.clone())
                    .merge(&record);
            }
            if let Some(meta) = meta {
                kept.meta = meta;
            }
            thens.push(then);
        }
        thens.into_iter().for_each(|then| then(true));
    }
}

/// A key as it truly is: where and when it ran.
#[derive(Clone, Debug, Default)]
struct Key {
    ran: Vec<(u16, Ticks)>,
    set: u16,
    began: Ticks,
}

/// What truly happened.
pub struct Truth {
    sim: Rc<Sim>,
    /// The highest position that was answered to a session.
    wrote: RefCell<BTreeMap<u64, Ticks>>,
    keys: RefCell<BTreeMap<u64, Key>>,
    pub broken: Cell<Option<(u8, String)>>,
    counts: Cell<(u64, u64)>,
    next_key: Cell<u64>,
}

impl Truth {
    pub fn new(sim: &Rc<Sim>) -> Truth {
        Truth {
            sim: sim.clone(),
            wrote: RefCell::default(),
            keys: RefCell::default(),
            broken: Cell::new(None),
            counts: Cell::new((0, 0)),
            next_key: Cell::new(1),
        }
    }

    fn now(&self) -> Ticks {
        (UNIX.as_micros() / 100) as Ticks + self.sim.time()
    }

    /// Acts that came to an exact read or a promise, and all of them.
    pub fn kept(&self) -> (f64, f64) {
        let (kept, all) = self.counts.get();
        if all == 0 {
            (1.0, 1.0)
        } else {
            (kept as f64, all as f64)
        }
    }

    fn count(&self, kept: bool) {
        let (some, all) = self.counts.get();
        self.counts.set((some + u64::from(kept), all + 1));
    }

    fn breaks(&self, rule: u8, what: String) {
        self.broken.set(Some((rule, what)));
    }

    /// An effect, unless its set drops it.
    fn runs(&self, key: Option<u64>, set: u16, who: usize) {
        let now = self.now();
        let Some(key) = key else { return };
        let mut keys = self.keys.borrow_mut();
        let held = keys.entry(key).or_default();
        let dropped = held
            .ran
            .iter()
            .any(|(at, when)| *at == set && now - when < WINDOW);
        if dropped {
            return;
        }
        self.sim.record(EventSource::Set, (key, who), || {
            format!("key {key} runs, from {who}")
        });
        held.ran.push((set, now));
        if held.ran.len() > 1 {
            let what = format!(
                "key {key} ran twice, the second time by member {who}: {:?}",
                held.ran
            );
            drop(keys);
            self.breaks(2, what);
        }
    }
}

fn terms(load: &Load) -> ReplicationConfig {
    ReplicationConfig {
        replicas: Many::new(load.copies).expect("an odd number"),
        lease_duration: LEASE,
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

/// Starts a member's copies and the clients that come to it.
pub fn start(
    sim: &Rc<Sim>,
    p: usize,
    node: &Rc<MemberRuntime>,
    load: &Load,
    truth: &Rc<Truth>,
    shelf: &Shelf,
    lasts: bool,
) {
    let kept = shelf.borrow().clone();
    let kept = lasts.then(|| RecoveredState {
        metadata: Some(kept.meta),
        records: kept.records.into_values().collect(),
    });
    let (tell, line) = mpsc::unbounded_channel();
    spawn(keep(sim.clone(), shelf.clone(), line));
    let says = sim.clone();
    let said = Box::new(move |event: &ReplicationEvent| {
        says.record(EventSource::Copies, (p, event), || {
            format!("at {p} {event:?}")
        });
    });
    let copies =
        ReplicationRuntime::start(node, terms(load), kept, Some(Box::new(Disk(tell))), said);
    spawn(clients(p, copies, load.clone(), truth.clone()));
}

async fn clients(p: usize, copies: Rc<ReplicationRuntime>, load: Load, truth: Rc<Truth>) {
    let mut chance = Rng::with_seed(truth.sim.chance.borrow_mut().u64(..));
    loop {
        let pause = -load.every_ms * (1.0 - chance.f64()).ln();
        sleep(Duration::from_micros((pause * 10.0) as u64 * 100)).await;
        let session = chance.u64(1..=load.sessions);
        let (copies, truth) = (copies.clone(), truth.clone());
        let own = chance.fork();
        if chance.f64() >= load.writes {
            spawn(read(p, copies, truth, session));
        } else if chance.f64() >= load.keyed {
            spawn(write(p, copies, truth, session, None, own));
        } else {
            let repeats = chance.f64() < load.repeats;
            let key = a_key(&truth, &mut chance, repeats, load.keys);
            spawn(write(p, copies, truth, session, Some(key), own));
        }
    }
}

/// A new key with its set, or one that was sent lately: its client has given it up elsewhere and says that it repeats it.
fn a_key(truth: &Truth, chance: &mut Rng, repeats: bool, newest: usize) -> (u64, u16, bool) {
    let now = truth.now();
    let mut keys = truth.keys.borrow_mut();
    let lately: Vec<u64> = keys
        .iter()
        .rev()
        .take(newest)
        .filter(|(_, k)| now - k.began < PATIENCE)
        .map(|(key, _)| *key)
        .collect();
    if repeats && !lately.is_empty() {
        let key = lately[chance.usize(..lately.len())];
        let held = keys.entry(key).or_default();
        // Once in a while it names another set.
        let set = if chance.u8(..10) == 0 {
            1 - held.set
        } else {
            held.set
        };
        return (key, set, true);
    }
    let key = truth.next_key.replace(truth.next_key.get() + 1);
    let set = chance.u16(..2);
    keys.insert(
        key,
        Key {
            set,
            began: now,
            ..Key::default()
        },
    );
    (key, set, false)
}

async fn read(p: usize, copies: Rc<ReplicationRuntime>, truth: Rc<Truth>, session: u64) {
    let owed = truth.wrote.borrow().get(&session).copied().unwrap_or(0);
    let instant = copies.now() + 10;
    let (tell, told) = oneshot::channel();
    copies.request_read(
        session,
        Ticks::MAX,
        Box::new(move |at| {
            let _ = tell.send(at);
        }),
    );
    let Ok(at) = told.await else { return };
    truth.count(at.is_some());
    truth.sim.record(EventSource::Read, (p, session, at), || {
        format!("at {p} reads {session}: {at:?}")
    });
    let token = at.unwrap_or(instant);
    if token < owed {
        let what = format!(
            "session {session} at member {p} owes {owed}, its read asks for {token} ({at:?})"
        );
        truth.breaks(5, what);
    }
}

async fn write(
    p: usize,
    copies: Rc<ReplicationRuntime>,
    truth: Rc<Truth>,
    session: u64,
    key: Option<(u64, u16, bool)>,
    mut chance: Rng,
) {
    let number = chance.u64(..);
    let claim = key.map(|(key, set, repeat)| IdempotencyClaim {
        key,
        attempt_id: number,
        replica_set: set,
        deduplication: DeduplicationDomain::ReplicaSet,
        deduplication_window: WINDOW,
        is_retry: repeat,
    });
    let first = copies.now();
    let (tell, told) = oneshot::channel();
    let ticket = copies.request_write(
        session,
        claim,
        Ticks::MAX,
        Box::new(move |_, go| {
            let _ = tell.send(go);
        }),
    );
    let Ok(go) = told.await else { return };
    truth.count(matches!(go, WriteClearance::QuorumAcknowledged(_)));
    truth
        .sim
        .record(EventSource::Write, (p, session, key, ticket, go), || {
            format!("at {p} writes {session}, key {key:?}, ticket {ticket}: {go:?}")
        });
    let until = match go {
        WriteClearance::QuorumAcknowledged(IdempotencyDecision::FirstAttempt)
        | WriteClearance::WithoutQuorum => first + WINDOW - 100,
        WriteClearance::QuorumAcknowledged(IdempotencyDecision::Retry(first)) => {
            first + WINDOW - 100
        }
        WriteClearance::QuorumAcknowledged(IdempotencyDecision::OutcomeUnknown) => {
            return copies.on_write_finished(ticket, WriteOutcome::NotExecuted);
        }
        WriteClearance::Rejected(_) => return,
    };
    let how = chance.u8(..10);
    // On its way, and on the machine; one in ten waits for long, as for a primary.
    let long = chance.u8(..10) == 0;
    sleep(Duration::from_micros(
        100 * chance.u64(if long { 50..20_000 } else { 5..60 }),
    ))
    .await;
    if copies.now() >= until || how == 0 {
        return copies.on_write_finished(ticket, WriteOutcome::NotExecuted);
    }
    truth.runs(
        key.map(|(key, ..)| key),
        key.map_or(0, |(_, set, _)| set),
        p,
    );
    let position = truth.now();
    sleep(Duration::from_micros(100 * chance.u64(2..40))).await;
    if how == 1 {
        // Its answer is lost: nobody here knows.
        sleep(Duration::from_millis(50)).await;
        return copies.on_write_finished(ticket, WriteOutcome::PossiblyExecuted(copies.now() + 10));
    }
    truth.sim.record(
        EventSource::ClientAnswer,
        (p, position, session, ticket),
        || format!("at {p} is answered {position} to {session}, ticket {ticket}"),
    );
    copies.on_write_finished(ticket, WriteOutcome::Acknowledged(position));
    let mut wrote = truth.wrote.borrow_mut();
    let held = wrote.entry(session).or_default();
    *held = (*held).max(position);
}
