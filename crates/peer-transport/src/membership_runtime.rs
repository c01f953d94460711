//! A member as it runs: its clock, its connections and its storage around the state machine of `leverpoint-membership`.
//!
//! # Invariants
//!
//! The state machine is told that a state is persisted only after the store has reported it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_membership::{
    Action, Destination, Incarnation, Member, MemberInfo, MemberStatus, MembershipConfig,
    MembershipEvent, MembershipStatus, PersistedState, Ticks,
};
use leverpoint_replication::{Envelope, ReplicationStatus};
use leverpoint_runtime::{Instant, Listener, now, since, sleep_until, spawn};
use tokio::sync::Notify;

use crate::connections::{Connection, Connections, FleetConfig};
use crate::frame::{AdminRequest, AdminResponse, Message, status_name};

/// Length of a [`Ticks`] unit in microseconds.
const TICK_MICROS: u64 = 100;

/// Stores a member's state.
pub trait StateStore {
    /// Replaces the stored value, then calls `then` with whether that has succeeded.
    fn persist(&self, value: Vec<u8>, then: Box<dyn FnOnce(bool)>);
}

/// A replication service attached to a member. Calls arrive on the member's own task.
pub trait ReplicationService {
    /// The member's layout, status or incarnation may have changed.
    fn on_membership_changed(self: Rc<Self>, member: &MemberRuntime);
    /// The member has learnt of an incarnation of another.
    fn on_incarnation_seen(self: Rc<Self>, name: &str, incarnation: Incarnation);
    /// A message of the replication protocol has been received.
    fn on_message(self: Rc<Self>, envelope: &Envelope);
    /// The state of replication.
    fn status(&self) -> ReplicationStatus;
    /// The progress of anti-entropy repair as in [`AdminResponse::AntiEntropy`], started over if `restart`.
    fn anti_entropy_status(&self, restart: bool) -> (Vec<(String, Ticks, u64, u64)>, u64);
}

/// What a member starts with.
pub struct MemberStartup {
    /// The member's description; the incarnation is taken from `persisted`.
    pub info: MemberInfo,
    /// State of an earlier incarnation, its incarnation already raised to the new one.
    pub persisted: PersistedState,
    /// Names of the members of the first layout.
    pub founders: Vec<String>,
    /// Addresses to contact first.
    pub seeds: Vec<String>,
    /// Parameters of the membership protocol.
    pub config: MembershipConfig,
    /// Seed of the member's random numbers.
    pub seed: u64,
    /// The fleet that it belongs to.
    pub fleet: FleetConfig,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Draws numbers that cannot be guessed.
    pub nonces: Box<dyn FnMut() -> u64>,
    /// Storage; without it nothing outlasts the process, and each start has new storage.
    pub store: Option<Box<dyn StateStore>>,
    /// Receives events to log.
    pub on_event: Box<dyn Fn(&MembershipEvent)>,
}

/// A member as it runs: drives the [`Member`] state machine with time and messages.
pub struct MemberRuntime {
    member: RefCell<Member>,
    /// Its connections to other members.
    pub connections: Rc<Connections>,
    started: Instant,
    wake: Notify,
    store: Option<Box<dyn StateStore>>,
    on_event: Box<dyn Fn(&MembershipEvent)>,
    /// `None` where nothing is replicated.
    replication: RefCell<Option<Rc<dyn ReplicationService>>>,
}

/// Encodes a member's state for its store.
pub fn encode_state(state: &PersistedState) -> Vec<u8> {
    postcard::to_stdvec(state).unwrap_or_default()
}

/// Decodes what [`encode_state`] has encoded; `None` if `value` is anything else.
pub fn decode_state(value: &[u8]) -> Option<PersistedState> {
    postcard::from_bytes(value).ok()
}

impl MemberRuntime {
    /// Starts a member that accepts connections from `listener`.
    pub fn start(startup: MemberStartup, listener: Listener) -> Rc<MemberRuntime> {
        let address = startup.info.address.clone();
        let mut member = Member::new(
            0,
            startup.info,
            startup.persisted,
            &startup.founders,
            startup.config,
            startup.seed,
        );
        member.set_seeds(&startup.seeds);
        let connections = Connections::new(
            address,
            startup.fleet,
            startup.max_connections,
            startup.nonces,
        );
        let runtime = Rc::new(MemberRuntime {
            member: RefCell::new(member),
            connections: connections.clone(),
            started: now(),
            wake: Notify::new(),
            store: startup.store,
            on_event: startup.on_event,
            replication: RefCell::new(None),
        });
        let receiver = Rc::downgrade(&runtime);
        connections.set_message_handler(Box::new(move |connection, message| {
            if let Some(runtime) = receiver.upgrade() {
                runtime.on_message(connection, message);
            }
        }));
        spawn(connections.accept(listener));
        spawn(runtime.clone().run_timer());
        runtime
    }

    /// Time since the start.
    fn now(&self) -> Ticks {
        (since(self.started).as_micros() / u128::from(TICK_MICROS)) as Ticks
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            let deadline = self.member.borrow().next_deadline().max(0) as u64;
            let wake_at = self.started + Duration::from_micros(deadline * TICK_MICROS);
            tokio::select! {
                biased;
                () = sleep_until(wake_at) => {}
                () = self.wake.notified() => continue,
            }
            let actions = self.member.borrow_mut().tick(self.now());
            self.perform(actions);
        }
    }

    fn on_message(self: &Rc<Self>, connection: &Rc<Connection>, message: Message) {
        match message {
            Message::Membership(envelope) => {
                let actions = self.member.borrow_mut().on_message(self.now(), &envelope);
                self.perform(actions);
            }
            Message::AdminRequest(request) => {
                let response = self.handle_admin_request(&request);
                connection.send(&Message::AdminResponse(response));
            }
            // A member sends no admin requests, so no response is expected.
            Message::AdminResponse(_) => {}
            Message::Replication(envelope) => {
                if let Some(replication) = self.replication() {
                    replication.on_message(&envelope);
                }
                return;
            }
        }
        self.wake.notify_one();
    }

    /// Carries out an operator's request.
    pub fn handle_admin_request(&self, request: &AdminRequest) -> AdminResponse {
        match request {
            AdminRequest::Members => {
                let member = self.member.borrow();
                AdminResponse::Members {
                    status: status_name(member.status()),
                    layout_version: member.layout().version,
                    holders: member.layout().holders.len() as u32,
                    members: member.summaries(self.now()),
                }
            }
            AdminRequest::Remove { name } => match self.member.borrow_mut().remove(name) {
                Ok(()) => AdminResponse::Done,
                Err(reason) => refused(reason),
            },
            AdminRequest::Bootstrap => match self.member.borrow_mut().bootstrap() {
                Ok(()) => AdminResponse::Done,
                Err(reason) => refused(reason),
            },
            AdminRequest::Replication => self.with_replication(|replication| {
                AdminResponse::Replication(Box::new(replication.status()))
            }),
            AdminRequest::AntiEntropy { restart } => self.with_replication(|replication| {
                let (peers, remaining) = replication.anti_entropy_status(*restart);
                AdminResponse::AntiEntropy { peers, remaining }
            }),
        }
    }

    fn with_replication(
        &self,
        respond: impl FnOnce(&dyn ReplicationService) -> AdminResponse,
    ) -> AdminResponse {
        match self.replication() {
            Some(replication) => respond(&*replication),
            None => refused("nothing is copied here"),
        }
    }

    /// Attaches the replication service that follows this member from here on.
    pub fn attach_replication(self: &Rc<Self>, replication: Rc<dyn ReplicationService>) {
        *self.replication.borrow_mut() = Some(replication);
        self.perform(Vec::new());
    }

    fn replication(&self) -> Option<Rc<dyn ReplicationService>> {
        self.replication.borrow().clone()
    }

    /// Sends to a member by its name, if that is known.
    pub(crate) fn send_to_member(&self, name: &str, message: &Message) {
        let address = self.with_member(|member| {
            let entry = member.table().find(name);
            entry.map(|(_, entry)| entry.update.info.address.clone())
        });
        if let Some(address) = address {
            let to = Destination {
                name: Some(name.to_owned()),
                address,
            };
            self.connections.send(&to, message);
        }
    }

    fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        if let Some(replication) = self.replication() {
            replication.on_membership_changed(self);
        }
        for action in actions {
            match action {
                Action::Send { to, envelope } => {
                    self.connections.send(&to, &Message::Membership(envelope));
                }
                Action::Report(event) => self.report(&event),
                Action::Persist { sequence, state } => self.persist(sequence, &state),
            }
        }
    }

    fn report(&self, event: &MembershipEvent) {
        if let MembershipEvent::StatusChanged {
            name, incarnation, ..
        } = event
            && let Some(replication) = self.replication()
        {
            replication.on_incarnation_seen(name, *incarnation);
        }
        (self.on_event)(event);
    }

    fn persist(self: &Rc<Self>, sequence: u64, state: &PersistedState) {
        let Some(store) = &self.store else {
            // Without a store the storage ends with the process, so everything counts as persisted.
            return self.on_persist_finished(sequence, true);
        };
        let runtime = self.clone();
        let then = move |succeeded| runtime.on_persist_finished(sequence, succeeded);
        store.persist(encode_state(state), Box::new(then));
    }

    fn on_persist_finished(self: &Rc<Self>, sequence: u64, succeeded: bool) {
        let actions = if succeeded {
            self.member.borrow_mut().on_persisted(self.now(), sequence)
        } else {
            self.member.borrow_mut().on_persist_failed()
        };
        self.perform(actions);
    }

    /// Replaces keys, address overrides and seeds.
    pub fn reconfigure(&self, fleet: FleetConfig, seeds: &[String]) {
        self.connections.set_fleet(fleet);
        self.member.borrow_mut().set_seeds(seeds);
    }

    /// Leaves the fleet gracefully. The connections deliver the last messages by themselves.
    pub fn leave(self: &Rc<Self>) {
        let actions = self.member.borrow_mut().leave();
        self.perform(actions);
    }

    /// The member's own status in the fleet.
    pub fn status(&self) -> MembershipStatus {
        self.member.borrow().status()
    }

    /// Calls `read` with the state machine.
    pub fn with_member<T>(&self, read: impl FnOnce(&Member) -> T) -> T {
        read(&self.member.borrow())
    }

    /// All counters and gauges in one line of `name=value` pairs.
    pub fn metrics_line(&self) -> String {
        format!("{} {}", self.member_metrics(), self.connection_metrics())
    }

    fn member_metrics(&self) -> String {
        let member = self.member.borrow();
        let counters = member.counters;
        let summaries = member.summaries(0);
        let count = |status| summaries.iter().filter(|s| s.status == status).count();
        format!(
            "stand={} life={} memory={:016x} layout={} holders={} here={} doubted={} gone={} left={} heard={} \
             ended={} taken={} unsound={} no_room={} doubts={} called_gone={} contradicted={} stood_still={} votes={} \
             layouts={} forks={}",
            status_name(member.status()),
            member.local().info.incarnation.number,
            member.local().info.incarnation.storage_id,
            member.layout().version,
            member.layout().holders.len(),
            count(MemberStatus::Alive),
            count(MemberStatus::Suspect),
            count(MemberStatus::Dead),
            count(MemberStatus::Left),
            counters.received,
            counters.from_ended_incarnation,
            counters.name_conflicts,
            counters.invalid,
            counters.table_full,
            counters.suspected,
            counters.declared_dead,
            counters.refuted,
            counters.pauses,
            counters.votes_cast,
            counters.layouts_adopted,
            counters.layout_conflicts,
        )
    }

    fn connection_metrics(&self) -> String {
        let counters = self.connections.counters();
        format!(
            "link.sent={} link.sent_bytes={} link.heard={} link.heard_bytes={} link.open={} \
             link.dropped={} link.mangled={} link.unsealed={} link.replayed={} link.strangers={} link.unknown={} \
             link.stuck={} link.unreached={}",
            counters.sent,
            counters.sent_bytes,
            counters.received,
            counters.received_bytes,
            self.connections.len(),
            counters.dropped,
            counters.malformed,
            counters.signature_errors,
            counters.replayed,
            counters.incompatible,
            counters.unknown_kind,
            counters.timed_out,
            counters.unreachable,
        )
    }
}

fn refused(reason: &str) -> AdminResponse {
    AdminResponse::Refused {
        reason: reason.to_owned(),
    }
}
