//! Replication as it runs on a member: its clock, pending requests, storage and messages around the state machine of
//! `leverpoint-replication`.
//!
//! # Invariants
//!
//! No callback runs while the state machine is borrowed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use leverpoint_membership::{Incarnation, MembershipStatus};
use leverpoint_replication::{
    Action, Completion, Envelope, IdempotencyClaim, IdempotencyDecision, LocalMember,
    PersistedMetadata, Record, RecordKey, RecoveredState, ReplicationConfig, ReplicationEvent,
    ReplicationStatus, Replicator, Ticks, WriteOutcome,
};
use leverpoint_runtime::{Instant, now, since, sleep_until, spawn, unix_time};
use tokio::sync::Notify;

use crate::frame::Message;
use crate::membership_runtime::{MemberRuntime, ReplicationService};

/// Length of a [`Ticks`] unit in microseconds.
const TICK_MICROS: u64 = 100;

/// Stores replicated records.
pub trait ReplicationStore {
    /// Stores records and metadata, then calls `then` with whether that has succeeded.
    fn persist(
        &self,
        records: Vec<Record>,
        metadata: Option<PersistedMetadata>,
        then: Box<dyn FnOnce(bool)>,
    );
}

/// Whether a write may be sent to the database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteClearance {
    /// A quorum has acknowledged it; whether it is new or has been seen before.
    QuorumAcknowledged(IdempotencyDecision),
    /// It may be sent without a quorum's acknowledgement.
    WithoutQuorum,
    /// It is rejected; the time after which it may be retried.
    Rejected(Ticks),
}

/// A request that waits for the state machine, with the callback for its result.
enum PendingRequest {
    Write(Box<dyn FnOnce(u64, WriteClearance)>),
    Read(Box<dyn FnOnce(Option<Ticks>)>),
    LookUp(Box<dyn FnOnce(Option<Record>, bool)>),
}

/// The replication of one member as it runs: drives the [`Replicator`] with time, messages and requests.
pub struct ReplicationRuntime {
    replicator: RefCell<Replicator>,
    member: Weak<MemberRuntime>,
    started: Instant,
    started_unix: Duration,
    wake: Notify,
    /// When the timer task wakes next unless it is notified.
    armed_for: Cell<Ticks>,
    pending: RefCell<BTreeMap<u64, PendingRequest>>,
    last_ticket: Cell<u64>,
    store: Option<Box<dyn ReplicationStore>>,
    on_event: Box<dyn Fn(&ReplicationEvent)>,
    layout_version: Cell<u64>,
}

impl ReplicationRuntime {
    /// Starts replication on a member and attaches it.
    ///
    /// `persisted` holds what an earlier incarnation with the same storage has stored.
    pub fn start(
        member: &Rc<MemberRuntime>,
        config: ReplicationConfig,
        persisted: Option<RecoveredState>,
        store: Option<Box<dyn ReplicationStore>>,
        on_event: Box<dyn Fn(&ReplicationEvent)>,
    ) -> Rc<ReplicationRuntime> {
        let local_member = member.with_member(|member| {
            let info = &member.local().info;
            LocalMember {
                name: info.name.clone(),
                incarnation: info.incarnation.number,
                storage_id: info.incarnation.storage_id,
            }
        });
        let started_unix = unix_time();
        let replicator = Replicator::new(to_ticks(started_unix), local_member, config, persisted);
        let runtime = Rc::new(ReplicationRuntime {
            replicator: RefCell::new(replicator),
            member: Rc::downgrade(member),
            started: now(),
            started_unix,
            wake: Notify::new(),
            armed_for: Cell::new(0),
            pending: RefCell::default(),
            last_ticket: Cell::new(0),
            store,
            on_event,
            layout_version: Cell::new(0),
        });
        member.attach_replication(runtime.clone());
        spawn(runtime.clone().run_timer());
        runtime
    }

    /// The Unix time at the start plus the monotonic time since then, so that steps of the wall clock have no effect.
    pub fn now(&self) -> Ticks {
        to_ticks(self.started_unix + since(self.started))
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            let deadline = self.replicator.borrow().next_deadline().max(0);
            self.armed_for.set(deadline);
            let since_epoch = Duration::from_micros(deadline as u64 * TICK_MICROS);
            let wake_at = self.started + since_epoch.saturating_sub(self.started_unix);
            tokio::select! {
                biased;
                () = sleep_until(wake_at) => {}
                () = self.wake.notified() => continue,
            }
            let actions = self.replicator.borrow_mut().tick(self.now());
            self.perform(actions);
        }
    }

    /// Assigns the next ticket, under which `request` waits for its result.
    fn new_ticket(&self, request: PendingRequest) -> u64 {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        self.pending.borrow_mut().insert(ticket, request);

        ticket
    }

    /// Requests clearance for a write and returns its ticket.
    ///
    /// `then` receives the ticket and the clearance, at once or within the configured wait.
    pub fn request_write(
        self: &Rc<Self>,
        session: u64,
        claim: Option<IdempotencyClaim>,
        timeout: Ticks,
        then: Box<dyn FnOnce(u64, WriteClearance)>,
    ) -> u64 {
        let ticket = self.new_ticket(PendingRequest::Write(then));
        let now = self.now();
        let actions = self
            .replicator
            .borrow_mut()
            .begin_write(now, ticket, session, claim, timeout);
        self.perform(actions);
        ticket
    }

    /// Reports that the write of this ticket has finished, or that it is not sent at all.
    pub fn on_write_finished(self: &Rc<Self>, ticket: u64, outcome: WriteOutcome) {
        self.pending.borrow_mut().remove(&ticket);
        let actions = self
            .replicator
            .borrow_mut()
            .finish_write(self.now(), ticket, outcome);
        self.perform(actions);
    }

    /// Requests the exact read requirement of a session; `then` receives its instant, or `None` without one.
    pub fn request_read(
        self: &Rc<Self>,
        session: u64,
        timeout: Ticks,
        then: Box<dyn FnOnce(Option<Ticks>)>,
    ) {
        let ticket = self.new_ticket(PendingRequest::Read(then));
        let actions =
            self.replicator
                .borrow_mut()
                .read_session(self.now(), ticket, session, timeout);
        self.perform(actions);
    }

    /// Looks up a record; `then` receives it and whether a quorum has confirmed it.
    pub fn look_up(
        self: &Rc<Self>,
        key: RecordKey,
        timeout: Ticks,
        then: Box<dyn FnOnce(Option<Record>, bool)>,
    ) {
        let ticket = self.new_ticket(PendingRequest::LookUp(then));
        let actions = self
            .replicator
            .borrow_mut()
            .read_record(self.now(), ticket, key, timeout);
        self.perform(actions);
    }

    /// Sends a record to its replica holders.
    pub fn publish(self: &Rc<Self>, record: &Record) {
        let actions = self.replicator.borrow_mut().publish(self.now(), record);
        self.perform(actions);
    }

    /// Whether replica holders can be reached.
    pub fn is_ready(&self) -> bool {
        self.replicator.borrow().is_ready(self.now())
    }

    /// Leaves the fleet gracefully.
    pub fn leave(self: &Rc<Self>) {
        let actions = self.replicator.borrow_mut().leave(self.now());
        self.perform(actions);
    }

    fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, envelope } => {
                    if let Some(member) = self.member.upgrade() {
                        member.send_to_member(&to, &Message::Replication(envelope));
                    }
                }
                Action::Notify(event) => (self.on_event)(&event),
                Action::Persist {
                    sequence,
                    records,
                    metadata,
                } => self.persist(sequence, records, metadata),
                Action::Complete(completion) => self.complete(completion),
            }
        }
        if self.replicator.borrow().next_deadline() < self.armed_for.get() {
            self.wake.notify_one();
        }
    }

    fn persist(
        self: &Rc<Self>,
        sequence: u64,
        records: Vec<Record>,
        metadata: Option<PersistedMetadata>,
    ) {
        let Some(store) = &self.store else {
            // Without a store the storage ends with the process, so everything counts as persisted.
            return self.on_persist_finished(sequence, true);
        };
        let runtime = self.clone();
        let then = move |succeeded| runtime.on_persist_finished(sequence, succeeded);
        store.persist(records, metadata, Box::new(then));
    }

    fn on_persist_finished(self: &Rc<Self>, sequence: u64, succeeded: bool) {
        let actions = if succeeded {
            self.replicator
                .borrow_mut()
                .on_persisted(self.now(), sequence)
        } else {
            self.replicator.borrow_mut().on_persist_failed(self.now())
        };
        self.perform(actions);
    }

    /// Passes the result of a request to its callback.
    fn complete(&self, completion: Completion) {
        use PendingRequest::{LookUp, Read, Write};
        let ticket = completion.ticket();
        let request = self.pending.borrow_mut().remove(&ticket);
        match (request, completion) {
            (Some(Write(then)), Completion::QuorumAcknowledged { decision, .. }) => {
                then(ticket, WriteClearance::QuorumAcknowledged(decision));
            }
            (Some(Write(then)), Completion::WithoutQuorum { .. }) => {
                then(ticket, WriteClearance::WithoutQuorum);
            }
            (Some(Write(then)), Completion::Rejected { retry_after, .. }) => {
                then(ticket, WriteClearance::Rejected(retry_after));
            }
            (Some(Read(then)), Completion::SessionPosition { position, .. }) => then(position),
            (Some(LookUp(then)), Completion::RecordRead { record, exact, .. }) => {
                then(record, exact);
            }
            _ => {}
        }
    }

    /// All counters and gauges of replication in one line of `name=value` pairs.
    pub fn metrics_line(&self) -> String {
        self.replicator.borrow().metrics_line(self.now())
    }

    /// Calls `read` with the state machine.
    pub fn with_replicator<T>(&self, read: impl FnOnce(&Replicator) -> T) -> T {
        read(&self.replicator.borrow())
    }
}

impl ReplicationService for ReplicationRuntime {
    fn on_membership_changed(self: Rc<Self>, member: &MemberRuntime) {
        let known_version = self.layout_version.get();
        let (layout, status, incarnation) = member.with_member(|member| {
            let layout = member.layout();
            (
                (layout.version > known_version).then(|| layout.clone()),
                member.status(),
                member.local().info.incarnation.number,
            )
        });
        let mut replicator = self.replicator.borrow_mut();
        replicator.set_participating(status == MembershipStatus::Active);
        if replicator.local_member().incarnation < incarnation {
            replicator.set_incarnation(incarnation);
        }
        let Some(layout) = layout else {
            return;
        };
        self.layout_version.set(layout.version);
        let actions = replicator.on_layout_changed(self.now(), &layout);
        drop(replicator);
        self.perform(actions);
    }

    fn on_incarnation_seen(self: Rc<Self>, name: &str, incarnation: Incarnation) {
        let Incarnation { number, storage_id } = incarnation;
        let actions = self.replicator.borrow_mut().on_incarnation_observed(
            self.now(),
            name,
            number,
            storage_id,
        );
        self.perform(actions);
    }

    fn on_message(self: Rc<Self>, envelope: &Envelope) {
        let actions = self
            .replicator
            .borrow_mut()
            .on_message(self.now(), envelope);
        self.perform(actions);
    }

    fn status(&self) -> ReplicationStatus {
        self.replicator.borrow().status(self.now())
    }

    fn anti_entropy_status(&self, restart: bool) -> (Vec<(String, Ticks, u64, u64)>, u64) {
        let mut replicator = self.replicator.borrow_mut();
        if restart {
            replicator.start_comparison();
        }
        let (peers, remaining) = replicator.comparisons();
        let now = self.now();
        let peers = peers
            .into_iter()
            .map(|(name, at, differing, received)| (name, now - at, differing as u64, received));
        (peers.collect(), remaining as u64)
    }
}

fn to_ticks(since_epoch: Duration) -> Ticks {
    (since_epoch.as_micros() / u128::from(TICK_MICROS)) as Ticks
}
