//! Coordinates this member's writes: announces each to its replicas, decides when it may be sent to the database, and
//! reports its outcome.
//!
//! # Invariants
//!
//! A write is cleared by quorum only once a quorum of each layout in force has persisted its records. It is cleared
//! without a quorum only once every read quorum includes a replica at which this member's lease has expired.

mod degraded;

use std::collections::BTreeMap;

use leverpoint_failpoint::failpoint_active;

use crate::Ticks;
use crate::action::{Action, Completion};
use crate::coordinator::Context;
use crate::idempotency::{IdempotencyClaim, IdempotencyDecision, decide};
use crate::local_sessions::{BegunWrite, LocalSessions};
use crate::member_state::MemberState;
use crate::outbound_queue::{Delivery, OperationId, QueuedWrite};
use crate::pending_write::{
    OpenWrite, PendingWrite, WriteClearance, WriteOutcome, pending_attempt, session_record,
};
use crate::placement::ReplicaId;
use crate::record::{OpenWrites, Record, RecordKey};
use crate::write_quorum::{WriteQuorum, WriteQuorumEffect};

/// The parameters of a write that is to be sent to the database.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteRequest {
    pub(crate) ticket: u64,
    pub(crate) session: u64,
    pub(crate) claim: Option<IdempotencyClaim>,
    pub(crate) timeout: Ticks,
}

/// The writes of this member that wait for a quorum or are not finished.
#[derive(Debug, Default)]
pub(crate) struct WriteCoordinator {
    pending: BTreeMap<OperationId, PendingWrite>,
    /// Unfinished writes by ticket.
    open: BTreeMap<u64, OpenWrite>,
    sessions: LocalSessions,
    quorum_lost: bool,
    /// Tickets of writes that are cleared without a quorum once the storage is marked as degraded.
    awaiting_marker: Vec<u64>,
}

impl WriteCoordinator {
    /// The number of writes waiting for a quorum.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// The number of writes that have begun and are not finished.
    pub(crate) fn open_len(&self) -> usize {
        self.open.len()
    }

    /// The ids of the writes waiting for a quorum, ascending.
    pub(crate) fn operations(&self) -> impl Iterator<Item = OperationId> {
        self.pending.keys().copied()
    }

    /// The next time at which a quorum write becomes slow or reaches its deadline.
    pub(crate) fn next_deadline(&self) -> Option<Ticks> {
        let quorums = self.pending.values().flat_map(|write| &write.quorums);
        quorums
            .filter_map(|(_, quorum)| quorum.next_deadline())
            .min()
    }

    /// Starts a write. Nothing of it may be sent to the database before its completion allows it.
    pub(crate) fn begin(&mut self, ctx: &mut Context<'_>, id: OperationId, request: WriteRequest) {
        let begun = self.sessions.begin_write(ctx.now, request.session);
        let claimed = request.claim.map(|claim| pending_attempt(ctx.now, &claim));
        let open = OpenWrite {
            session: request.session,
            number: begun.number,
            begun_at: ctx.now,
            clearance: WriteClearance::Pending,
            claimed,
        };
        let mut records = vec![open.session_record(ctx.state, begun)];
        records.extend(claimed.map(|claimed| claimed.record()));
        self.open.insert(request.ticket, open);
        let slow_at = ctx.now + ctx.queues.slow_after();
        let deadline = ctx.now + ctx.state.config.quorum_timeout.min(request.timeout);
        let quorum = |record: &Record| {
            let layouts = ctx.state.layout_history.replica_sets(record.key);
            let quorum = WriteQuorum::across_layouts(layouts, slow_at, deadline);
            (record.key, quorum)
        };
        let write = PendingWrite {
            ticket: request.ticket,
            claim: request.claim,
            quorums: records.iter().map(quorum).collect(),
            key_state: None,
            keys_lost_until: 0,
        };
        self.pending.insert(id, write);
        self.send_initial(ctx, id, &records);
    }

    fn send_initial(&mut self, ctx: &mut Context<'_>, id: OperationId, records: &[Record]) {
        let layouts_known = ctx.state.layout_history.is_known();
        let premature = failpoint_active("promise-before-quorum");
        for record in records {
            let recipients = self.recipients(id, record.key);
            self.send(ctx, id, record, &recipients);
        }
        ctx.queues.flush(ctx.state, ctx.now);
        if !layouts_known {
            self.apply(ctx, id, WriteQuorumEffect::ProceedWithoutQuorum);
        } else if premature {
            self.apply(ctx, id, WriteQuorumEffect::Acknowledge);
        }
    }

    fn recipients(&self, id: OperationId, key: RecordKey) -> Vec<ReplicaId> {
        let quorum = self.pending.get(&id).and_then(|write| write.quorum(key));
        quorum.map_or(Vec::new(), |quorum| quorum.recipients().cloned().collect())
    }

    fn send(
        &mut self,
        ctx: &mut Context<'_>,
        id: OperationId,
        record: &Record,
        replicas: &[ReplicaId],
    ) {
        for replica in replicas {
            let delivery = ctx
                .queues
                .offer_write(ctx.state, ctx.now, record, id, replica);
            if delivery == Delivery::Rejected {
                self.on_rejected(ctx, id, record.key, replica);
            }
        }
    }

    /// Counts this member as a replica that has persisted a record of a write.
    pub(crate) fn on_persisted_locally(
        &mut self,
        ctx: &mut Context<'_>,
        id: OperationId,
        key: RecordKey,
    ) {
        let local = ctx.state.local_replica();
        let keys_lost_until = if ctx.state.is_partitioned(ctx.now, &local.name) {
            ctx.now
        } else {
            ctx.state.store.low_watermark()
        };
        if let Some(write) = self.pending.get_mut(&id) {
            write.keys_lost_until = write.keys_lost_until.max(keys_lost_until);
            if let Some(record) = ctx.state.store.get(key) {
                write.merge_key_state(record);
            }
        }
        self.on_acknowledged(ctx, id, key, &local);
    }

    /// Counts a replica that has persisted a batch.
    ///
    /// `merged` holds its records of idempotency keys after the merge; attempts sent up to `keys_lost_until` may be
    /// missing there.
    pub(crate) fn on_batch_acknowledged(
        &mut self,
        ctx: &mut Context<'_>,
        replica: &ReplicaId,
        batch: &[QueuedWrite],
        merged: &[Record],
        keys_lost_until: Ticks,
    ) {
        for queued in batch {
            if let Some(write) = self.pending.get_mut(&queued.operation) {
                write.keys_lost_until = write.keys_lost_until.max(keys_lost_until);
            }
        }
        for record in merged {
            for queued in batch.iter().filter(|q| q.record.key == record.key) {
                if let Some(write) = self.pending.get_mut(&queued.operation) {
                    write.merge_key_state(record);
                }
            }
        }
        for queued in batch {
            let (id, key) = (queued.operation, queued.record.key);
            self.on_acknowledged(ctx, id, key, replica);
            // A layout may name the member with another storage id: that storage is lost.
            for stale in ctx.state.layout_history.replicas_named(key, &replica.name) {
                if stale.storage_id != replica.storage_id {
                    self.on_rejected(ctx, id, key, &stale);
                }
            }
        }
    }

    fn on_acknowledged(
        &mut self,
        ctx: &mut Context<'_>,
        id: OperationId,
        key: RecordKey,
        replica: &ReplicaId,
    ) {
        let quorum = self.pending.get_mut(&id).and_then(|w| w.quorum_mut(key));
        if let Some(effect) = quorum.map(|quorum| quorum.on_acknowledged(replica)) {
            self.apply(ctx, id, effect);
        }
    }

    /// Counts a replica that can't persist a record of a write now.
    pub(crate) fn on_rejected(
        &mut self,
        ctx: &mut Context<'_>,
        id: OperationId,
        key: RecordKey,
        replica: &ReplicaId,
    ) {
        let quorum = self.pending.get_mut(&id).and_then(|w| w.quorum_mut(key));
        if let Some(effect) = quorum.map(|quorum| quorum.on_rejected(replica)) {
            self.apply_to_record(ctx, id, key, effect);
        }
    }

    /// Requires a quorum of the newest layout as well; `newest` is its index among the layouts in force.
    pub(crate) fn on_layout_added(
        &mut self,
        ctx: &mut Context<'_>,
        id: OperationId,
        newest: usize,
    ) {
        let Some(write) = self.pending.get(&id) else {
            return;
        };
        let keys: Vec<RecordKey> = write.quorums.iter().map(|(key, _)| *key).collect();
        for key in keys {
            let layouts = ctx.state.layout_history.replica_sets(key);
            let Some(replicas) = layouts.into_iter().nth(newest) else {
                continue;
            };
            let quorum = self.pending.get_mut(&id).and_then(|w| w.quorum_mut(key));
            if let Some(effect) = quorum.map(|quorum| quorum.on_layout_added(replicas)) {
                self.apply_to_record(ctx, id, key, effect);
            }
        }
    }

    /// Sends a slow write to all its replicas, and abandons one whose deadline has passed.
    pub(crate) fn tick(&mut self, ctx: &mut Context<'_>, id: OperationId) {
        let Some(write) = self.pending.get_mut(&id) else {
            return;
        };
        let now = ctx.now;
        let due = write
            .quorums
            .iter_mut()
            .filter(|(_, quorum)| quorum.next_deadline().is_some_and(|at| at <= now));
        let effects: Vec<(RecordKey, WriteQuorumEffect)> =
            due.map(|(key, quorum)| (*key, quorum.tick(now))).collect();
        for (key, effect) in effects {
            self.apply_to_record(ctx, id, key, effect);
        }
    }

    /// Applies an effect: sends the record to the remaining replicas, or passes any other effect on to the whole write.
    fn apply_to_record(
        &mut self,
        ctx: &mut Context<'_>,
        id: OperationId,
        key: RecordKey,
        effect: WriteQuorumEffect,
    ) {
        if effect != WriteQuorumEffect::SendToAll {
            return self.apply(ctx, id, effect);
        }
        let Some(record) = self.initial_record(ctx.state, id, key) else {
            return;
        };
        let Some(quorum) = self.pending.get(&id).and_then(|write| write.quorum(key)) else {
            return;
        };
        let remaining: Vec<ReplicaId> = quorum
            .recipients()
            .filter(|replica| !quorum.has_answered(replica))
            .filter(|replica| !ctx.queues.has_write(&replica.name, id, key))
            .cloned()
            .collect();
        self.send(ctx, id, &record, &remaining);
        ctx.queues.flush(ctx.state, ctx.now);
    }

    /// The record of a write as it was first sent, to be sent to further replicas.
    fn initial_record(
        &self,
        state: &MemberState,
        id: OperationId,
        key: RecordKey,
    ) -> Option<Record> {
        let open = self.open.get(&self.pending.get(&id)?.ticket)?;
        match key {
            RecordKey::Session(_) => {
                let begun = BegunWrite {
                    first_write: self.sessions.first_write(open.session)?,
                    number: open.number,
                };
                Some(open.session_record(state, begun))
            }
            RecordKey::KeyedRequest(_) => Some(open.claimed?.record()),
            _ => None,
        }
    }

    fn apply(&mut self, ctx: &mut Context<'_>, id: OperationId, effect: WriteQuorumEffect) {
        match effect {
            WriteQuorumEffect::Nothing | WriteQuorumEffect::SendToAll => {}
            WriteQuorumEffect::Acknowledge => {
                let premature = failpoint_active("promise-before-quorum");
                let write = self.pending.get(&id);
                if write.is_some_and(|write| premature || write.is_acknowledged()) {
                    self.clear_by_quorum(ctx, id);
                }
            }
            WriteQuorumEffect::ProceedWithoutQuorum => self.proceed_without_quorum(ctx, id),
        }
    }

    fn clear_by_quorum(&mut self, ctx: &mut Context<'_>, id: OperationId) {
        let Some(write) = self.pending.remove(&id) else {
            return;
        };
        ctx.state.counters.quorum_writes += 1;
        if let Some(open) = self.open.get_mut(&write.ticket) {
            open.clearance = WriteClearance::QuorumAcknowledged;
            self.sessions.on_quorum_acknowledged(open.session);
        }
        let config = &ctx.state.config;
        let decision = write
            .claim
            .map_or(IdempotencyDecision::FirstAttempt, |claim| {
                let key_loss = (write.keys_lost_until, config.limits.key_retention);
                let key_state = write.key_state.as_ref();
                decide(&claim, key_state, ctx.now, config.max_clock_skew, key_loss)
            });
        let counters = &mut ctx.state.counters;
        counters.accepted_retries += u64::from(matches!(decision, IdempotencyDecision::Retry(_)));
        counters.unclear_retries += u64::from(decision == IdempotencyDecision::OutcomeUnknown);
        let ticket = write.ticket;
        let completion = Completion::QuorumAcknowledged { ticket, decision };
        ctx.state.actions.push(Action::Complete(completion));
    }

    /// Ends a write, cleared or not, and publishes its outcome to the replicas.
    pub(crate) fn finish(&mut self, ctx: &mut Context<'_>, ticket: u64, outcome: WriteOutcome) {
        self.pending.retain(|_, write| write.ticket != ticket);
        let Some(open) = self.open.remove(&ticket) else {
            return;
        };
        let position = match outcome {
            WriteOutcome::Acknowledged(at) | WriteOutcome::PossiblyExecuted(at) => at,
            WriteOutcome::NotExecuted => 0,
        };
        if open.clearance == WriteClearance::WithoutQuorum {
            let executed = outcome != WriteOutcome::NotExecuted;
            ctx.state
                .on_degraded_write_finished(ctx.now, executed.then_some(position));
        }
        let Some(progress) = self.sessions.finish_write(ctx.now, open.session, position) else {
            return;
        };
        let writes = OpenWrites {
            last_begun: open.number,
            last_finished: progress.last_finished,
            begun_at: open.begun_at,
        };
        let writer = (ctx.state.writer_id(), progress.first_write);
        let record = session_record(open.session, progress.position, writer, writes);
        ctx.queues.publish(ctx.state, ctx.now, &record);
        if let Some(claimed) = open.claimed {
            let record = claimed.with_outcome(outcome).record();
            ctx.queues.publish(ctx.state, ctx.now, &record);
        }
    }
}
