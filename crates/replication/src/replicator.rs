//! The replication state machine of one member: its own writes and reads, its requests as a replica, its leases and
//! anti-entropy.
//!
//! Each call is given the time and returns the actions that the runtime has to carry out, in order. The time must be
//! monotonic, and near the wall-clock time on all machines.

mod inbound;
mod lease_renewal;
mod reporting;

use leverpoint_membership::layout::Layout;

use crate::Ticks;
use crate::action::{Action, LocalMember, PersistedMetadata, ReplicationEvent};
use crate::anti_entropy::{AntiEntropy, Comparison};
use crate::config::ReplicationConfig;
use crate::coordinator::Coordinator;
use crate::idempotency::IdempotencyClaim;
use crate::member_state::{MemberState, writer_id};
use crate::message::Envelope;
use crate::pending_write::WriteOutcome;
use crate::persistence::PendingCompletion;
use crate::read_coordinator::ReadRequest;
use crate::record::{Record, RecordKey};
use crate::request_handler;
use crate::status::ReplicationCounters;
use crate::write_coordinator::WriteRequest;

/// Renewals per lease duration.
const RENEWALS_PER_LEASE: Ticks = 4;

/// The state that an earlier incarnation with the same storage has persisted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// None if not all of the persisted state could be read back.
    pub metadata: Option<PersistedMetadata>,
    /// The records that could be read back; invalid ones are ignored.
    pub records: Vec<Record>,
}

/// One member of the replicated state, without I/O and clock.
pub struct Replicator {
    state: MemberState,
    coordinator: Coordinator,
    anti_entropy: AntiEntropy,
    next_renewal: Ticks,
}

impl Replicator {
    /// Starts a member; `recovered` is none if its storage is new.
    #[must_use]
    pub fn new(
        now: Ticks,
        local: LocalMember,
        config: ReplicationConfig,
        recovered: Option<RecoveredState>,
    ) -> Replicator {
        let mut state = MemberState::new(now, config, local);
        if let Some(recovered) = recovered {
            restore(&mut state, now, &recovered);
        }
        let mut anti_entropy = AntiEntropy::default();
        anti_entropy.on_layout_changed(&mut state);
        Replicator {
            state,
            coordinator: Coordinator::default(),
            anti_entropy,
            next_renewal: now,
        }
    }

    /// The name, incarnation and storage id of this member.
    #[must_use]
    pub fn local_member(&self) -> &LocalMember {
        &self.state.local
    }

    /// Sets a higher incarnation, by which membership has refuted a report on the current one.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.state.local.incarnation = incarnation;
    }

    /// Sets whether this member is active: in the membership and not leaving.
    pub fn set_participating(&mut self, active: bool) {
        self.state.participation.active = active;
    }

    /// Adopts an agreed layout; one that is not newer than the current one is ignored.
    pub fn on_layout_changed(&mut self, now: Ticks, layout: &Layout) -> Vec<Action> {
        let had_no_layout = self.state.layout_history.version() == 0;
        if !self.state.layout_history.push(now, layout) {
            return self.take_actions();
        }
        let state = &mut self.state;
        if had_no_layout && layout.version == 1 {
            // Writes that were answered before the first layout are not replicated.
            let until = now + state.config.max_clock_skew;
            state.store.raise_low_watermark(until);
        }
        let change = state
            .leases
            .retain(now, |name| layout.holder(name).is_some());
        state.on_lease_change(now, change);
        self.anti_entropy.on_layout_changed(state);
        state.persist_metadata(None);
        self.coordinator.on_layout_changed(state, now);
        self.next_renewal = now;
        self.take_actions()
    }

    /// Begins a write. Its completion follows within `timeout` or the quorum timeout, whichever is shorter.
    pub fn begin_write(
        &mut self,
        now: Ticks,
        ticket: u64,
        session: u64,
        claim: Option<IdempotencyClaim>,
        timeout: Ticks,
    ) -> Vec<Action> {
        let request = WriteRequest {
            ticket,
            session,
            claim,
            timeout,
        };
        self.coordinator.begin_write(&mut self.state, now, request);
        self.take_actions()
    }

    /// Ends a write, cleared or not, and replicates its outcome.
    pub fn finish_write(&mut self, now: Ticks, ticket: u64, outcome: WriteOutcome) -> Vec<Action> {
        self.coordinator
            .finish_write(&mut self.state, now, ticket, outcome);
        self.take_actions()
    }

    /// Reads the replication position that a session requires, within `timeout` or the quorum timeout, whichever is
    /// shorter.
    pub fn read_session(
        &mut self,
        now: Ticks,
        ticket: u64,
        session: u64,
        timeout: Ticks,
    ) -> Vec<Action> {
        let timeout = self.state.config.quorum_timeout.min(timeout);
        self.read_record(now, ticket, RecordKey::Session(session), timeout)
    }

    /// Reads a record at a quorum of its replicas; the quorum timeout does not apply.
    pub fn read_record(
        &mut self,
        now: Ticks,
        ticket: u64,
        key: RecordKey,
        timeout: Ticks,
    ) -> Vec<Action> {
        let request = ReadRequest {
            ticket,
            key,
            timeout,
        };
        self.coordinator.begin_read(&mut self.state, now, request);
        self.take_actions()
    }

    /// Sends a record to its replicas, without a completion.
    pub fn publish(&mut self, now: Ticks, record: &Record) -> Vec<Action> {
        self.coordinator.publish(&mut self.state, now, record);
        self.take_actions()
    }

    /// Whether the layouts in force are known and more than half of the newest layout's members are in touch.
    #[must_use]
    pub fn is_ready(&self, now: Ticks) -> bool {
        self.state.layout_history.is_known() && self.state.has_layout_quorum(now)
    }

    /// Handles a message of another member. A message that breaks a bound, or of an ended incarnation, is dropped.
    pub fn on_message(&mut self, now: Ticks, envelope: &Envelope) -> Vec<Action> {
        let state = &mut self.state;
        if !envelope.is_valid() || envelope.sender == state.local.name {
            state.counters.invalid_messages += 1;
            return self.take_actions();
        }
        state.counters.messages_received += 1;
        let known_incarnation = state.leases.incarnation(&envelope.sender);
        if envelope.incarnation < known_incarnation {
            return self.take_actions();
        }
        self.observe_incarnation(
            now,
            &envelope.sender,
            envelope.incarnation,
            envelope.storage_id,
        );
        let (name, version) = (&envelope.sender, envelope.layout_version);
        if version == self.state.layout_history.version()
            && self.state.leases.needs_renewal(now, name, version)
        {
            // The sender has just adopted this layout: renew at once instead of with the next periodic renewal.
            self.renew_lease(now, name);
        }
        self.dispatch(now, envelope);
        self.take_actions()
    }

    /// Records an incarnation of a member, which implies that earlier ones have ended.
    fn observe_incarnation(&mut self, now: Ticks, name: &str, incarnation: u64, storage_id: u64) {
        let state = &mut self.state;
        let previous = state.leases.incarnation(name);
        let layout = state.layout_history.newest();
        let listed_storage_id = layout
            .and_then(|layout| layout.holder(name))
            .map(|h| h.storage_id);
        let change = state.leases.on_incarnation_observed(
            now,
            name,
            incarnation,
            storage_id,
            listed_storage_id,
        );
        if previous > 0 && previous < incarnation {
            state.on_writer_ended(writer_id(name, previous));
        }
        state.on_lease_change(now, change);
    }

    /// Records an incarnation of a member that membership has reported.
    pub fn on_incarnation_observed(
        &mut self,
        now: Ticks,
        name: &str,
        incarnation: u64,
        storage_id: u64,
    ) -> Vec<Action> {
        if name != self.state.local.name {
            self.observe_incarnation(now, name, incarnation, storage_id);
        }
        self.take_actions()
    }

    /// Drops the older layouts once all members of the newest one are in sync.
    fn drop_superseded_layouts(&mut self, now: Ticks) {
        let state = &mut self.state;
        let Some(layout) = state.layout_history.newest() else {
            return;
        };
        let layout_version = layout.version;
        let history = &state.layout_history;
        if history.is_known() && history.oldest_version() == layout_version {
            return;
        }
        let all_in_sync = layout.holders.iter().all(|holder| {
            if holder.name == state.local.name {
                return holder.storage_id == state.local.storage_id
                    && state.sync.layout_version >= layout_version;
            }
            state.leases.storage_id(&holder.name) == holder.storage_id
                && state.leases.synced_version(&holder.name) >= layout_version
        });
        if all_in_sync && state.layout_history.drop_superseded() {
            let event = ReplicationEvent::LayoutsConverged { layout_version };
            state.actions.push(Action::Notify(event));
            state.persist_metadata(None);
            self.anti_entropy.on_layout_changed(state);
            self.coordinator.on_layout_changed(state, now);
        }
    }

    /// Runs what waited for the persist actions up to this sequence number, which are done.
    pub fn on_persisted(&mut self, now: Ticks, sequence: u64) -> Vec<Action> {
        for completion in self.state.take_persisted(sequence) {
            self.complete(now, completion);
        }
        self.take_actions()
    }

    fn complete(&mut self, now: Ticks, completion: PendingCompletion) {
        let state = &mut self.state;
        match completion {
            PendingCompletion::Reply {
                to,
                request_id,
                message,
            } => state.send(&to, request_id, message),
            PendingCompletion::LocalWrite { operation, key } => {
                self.coordinator
                    .on_persisted_locally(state, now, operation, key);
            }
            PendingCompletion::DegradedMarked => {
                state.degraded.on_marked();
                self.coordinator.clear_awaiting_marker(state, now);
            }
            PendingCompletion::LeaseRenewed {
                to,
                request_id,
                renewal,
            } => request_handler::renew_lease(state, now, &to, request_id, renewal),
            PendingCompletion::TransferReceived {
                name,
                storage_id,
                layout_version,
            } => {
                if layout_version == state.layout_history.version() {
                    state.layout_history.record_transfer(&name, storage_id);
                }
            }
            PendingCompletion::InSync { layout_version } => {
                state.sync.layout_version = state.sync.layout_version.max(layout_version);
                self.drop_superseded_layouts(now);
            }
        }
    }

    /// Handles a disk failure: nothing is persisted any more, and this member no longer acts as a replica.
    pub fn on_persist_failed(&mut self, now: Ticks) -> Vec<Action> {
        self.state.on_persist_failed();
        self.coordinator.clear_awaiting_marker(&mut self.state, now);
        self.take_actions()
    }

    /// When [`Replicator::tick`] is due next.
    #[must_use]
    pub fn next_deadline(&self) -> Ticks {
        let member_deadline = self.next_renewal.min(self.anti_entropy.next_deadline());
        self.coordinator
            .next_deadline()
            .map_or(member_deadline, |deadline| deadline.min(member_deadline))
    }

    /// Renews leases and runs timeouts and anti-entropy that are due; to be called at [`Replicator::next_deadline`] or
    /// later.
    pub fn tick(&mut self, now: Ticks) -> Vec<Action> {
        if now >= self.next_renewal {
            self.next_renewal = now + self.state.config.lease_duration / RENEWALS_PER_LEASE;
            self.renew_leases(now);
            self.drop_superseded_layouts(now);
        }
        self.coordinator.tick(&mut self.state, now);
        self.anti_entropy.tick(&mut self.state, now);
        self.take_actions()
    }

    /// Starts comparing this member's records with those of all other replicas; see [`Replicator::comparisons`].
    pub fn start_comparison(&mut self) {
        self.anti_entropy.start_comparison(&self.state);
    }

    /// The last comparison with each member, and the number of comparisons still to be done.
    ///
    /// Of each comparison: the member's name, when it ended, the buckets that differed, and the records received that
    /// were new here.
    #[must_use]
    pub fn comparisons(&self) -> (Vec<(String, Ticks, usize, u64)>, usize) {
        let comparisons = self.anti_entropy.comparisons().iter().map(|(name, last)| {
            let Comparison {
                ended_at,
                differing_buckets,
                new_records,
            } = *last;
            (name.clone(), ended_at, differing_buckets, new_records)
        });
        (
            comparisons.collect(),
            self.anti_entropy.remaining_comparisons(),
        )
    }

    /// Counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> ReplicationCounters {
        self.state.counters
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.state.actions)
    }
}

/// Restores the state that an earlier incarnation has persisted.
fn restore(state: &mut MemberState, now: Ticks, recovered: &RecoveredState) {
    let latest = now + state.config.max_clock_skew;
    match &recovered.metadata {
        Some(metadata) => {
            state.store.raise_low_watermark(metadata.low_watermark);
            state.layout_history.restore(now, &metadata.layouts);
            state.degraded.restore(metadata.unreplicated_until, latest);
        }
        // Records may be lost although layouts name this member as a replica that has them.
        None => {
            state.store.raise_low_watermark(latest);
            state.degraded.restore(None, latest);
        }
    }
    let unreplicated_until = state.degraded.unreplicated_until();
    state.store.raise_low_watermark(unreplicated_until);
    for record in recovered.records.iter().filter(|record| record.is_valid()) {
        state.store.merge(record);
    }
}
