//! Writes for which no quorum can be had: rejected while others still count on this member to replicate its writes, then
//! cleared without a quorum.

use super::WriteCoordinator;
use crate::Ticks;
use crate::action::{Action, Completion, ReplicationEvent};
use crate::coordinator::Context;
use crate::idempotency::IdempotencyDecision;
use crate::member_state::MemberState;
use crate::outbound_queue::OperationId;
use crate::pending_write::{WriteClearance, WriteOutcome};
use crate::placement::{ReplicaId, ReplicationFactor};
use crate::write_quorum::ReplicaSet;

/// Writes that can't get a quorum for this part of a lease show more than a passing fault.
const LASTING_FAULTS_PER_LEASE: Ticks = 4;

impl WriteCoordinator {
    /// Reports that quorums can be had again, once after they were lost.
    pub(crate) fn check_quorum_restored(&mut self, ctx: &mut Context<'_>) {
        if self.quorum_lost
            && ctx.state.degraded.open_writes == 0
            && ctx.state.has_layout_quorum(ctx.now)
        {
            self.quorum_lost = false;
            let event = ReplicationEvent::QuorumRestored;
            ctx.state.actions.push(Action::Notify(event));
        }
    }

    /// No quorum can be had: the write is rejected until every read quorum meets a replica that knows so.
    pub(super) fn proceed_without_quorum(&mut self, ctx: &mut Context<'_>, id: OperationId) {
        let Some(write) = self.pending.remove(&id) else {
            return;
        };
        let ticket = write.ticket;
        if write.claim.is_some_and(|claim| claim.is_retry) {
            // Whether it was executed is not known, and can't be asked.
            ctx.state.counters.unclear_retries += 1;
            let decision = IdempotencyDecision::OutcomeUnknown;
            let completion = Completion::QuorumAcknowledged { ticket, decision };
            ctx.state.actions.push(Action::Complete(completion));
            return self.finish(ctx, ticket, WriteOutcome::NotExecuted);
        }
        let keys = write.quorums.iter().map(|(key, _)| *key);
        let mut wait = 0;
        for replicas in keys.flat_map(|key| ctx.state.layout_history.replica_sets(key)) {
            wait = Ticks::max(wait, accounted_for(ctx.state, ctx.now, &replicas));
        }
        if !ctx.state.is_monitored_by_peers() {
            wait = wait.max(ctx.state.leases.length() / 4);
        }
        if wait > 0 {
            return self.reject(ctx, ticket, wait);
        }
        self.clear_without_quorum(ctx, ticket);
    }

    fn reject(&mut self, ctx: &mut Context<'_>, ticket: u64, wait: Ticks) {
        let session = self.open.get(&ticket).map(|open| open.session);
        let since = session.map_or(ctx.now, |session| {
            self.sessions.on_rejected(ctx.now, session)
        });
        let state = &mut *ctx.state;
        if ctx.now - since >= state.leases.length() / LASTING_FAULTS_PER_LEASE {
            // No passing fault: this member stops renewing its leases, so that all stop counting on it within one.
            state.degraded.leases_paused_until = ctx.now + 2 * state.leases.expired_for_all_after();
        }
        let retry_after = if state.degraded.leases_paused_until > ctx.now {
            wait
        } else {
            wait.min(2 * state.config.quorum_timeout)
        };
        state.counters.rejected_writes += 1;
        let completion = Completion::Rejected {
            ticket,
            retry_after,
        };
        state.actions.push(Action::Complete(completion));
        self.finish(ctx, ticket, WriteOutcome::NotExecuted);
    }

    fn clear_without_quorum(&mut self, ctx: &mut Context<'_>, ticket: u64) {
        ctx.state.counters.writes_without_quorum += 1;
        ctx.state.degraded.open_writes += 1;
        if let Some(open) = self.open.get_mut(&ticket) {
            open.clearance = WriteClearance::WithoutQuorum;
        }
        if !std::mem::replace(&mut self.quorum_lost, true) {
            let event = ReplicationEvent::QuorumLost;
            ctx.state.actions.push(Action::Notify(event));
        }
        let completion = Completion::WithoutQuorum { ticket };
        ctx.state.actions.push(Action::Complete(completion));
    }
}

/// How long a quorum of these replicas may still count on this member to replicate its writes.
fn accounted_for(state: &MemberState, now: Ticks, replicas: &ReplicaSet) -> Ticks {
    let until = |replica: &ReplicaId| {
        // A member that has lost the memory a layout names it with counts in nobody's quorum.
        let counts =
            !state.is_local(replica) && state.leases.memory(&replica.name) == replica.storage_id;
        if counts {
            state.leases.trusted_until(&replica.name)
        } else {
            0
        }
    };
    let mut all: Vec<Ticks> = replicas.iter().map(until).collect();
    all.sort_unstable();
    let spare = replicas.len() - ReplicationFactor::quorum(replicas.len());
    all.get(spare).map_or(0, |until| (until - now).max(0))
}
