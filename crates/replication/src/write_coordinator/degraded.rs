//! Writes that can't reach a quorum: rejected while this member's lease may be valid at a read quorum, then cleared
//! without a quorum.

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

/// A session whose writes reach no quorum for a lease divided by this indicates more than a transient fault.
const PERSISTENT_FAULT_LEASE_DIVISOR: Ticks = 4;

impl WriteCoordinator {
    /// Reports once, after quorums were lost, that they can be reached again and no write without a quorum is open.
    pub(crate) fn check_quorum_restored(&mut self, ctx: &mut Context<'_>) {
        if self.quorum_lost
            && ctx.state.degraded.open_writes == 0
            && ctx.state.has_layout_quorum(ctx.now)
        {
            self.quorum_lost = false;
            ctx.state.degraded.end_marking();
            ctx.state.persist_metadata(None);
            let event = ReplicationEvent::QuorumRestored;
            ctx.state.actions.push(Action::Notify(event));
        }
    }

    /// Handles a write that can't reach a quorum. It is rejected until every read quorum includes a replica at which
    /// this member's lease has expired, so that reads there do not count as exact.
    pub(super) fn proceed_without_quorum(&mut self, ctx: &mut Context<'_>, id: OperationId) {
        let Some(write) = self.pending.remove(&id) else {
            return;
        };
        let ticket = write.ticket;
        if write.claim.is_some_and(|claim| claim.is_retry) {
            // Whether the first attempt was executed is unknown, and no quorum can tell.
            ctx.state.counters.unclear_retries += 1;
            let decision = IdempotencyDecision::OutcomeUnknown;
            let completion = Completion::QuorumAcknowledged { ticket, decision };
            ctx.state.actions.push(Action::Complete(completion));
            return self.finish(ctx, ticket, WriteOutcome::NotExecuted);
        }
        let keys = write.quorums.iter().map(|(key, _)| *key);
        let mut wait = 0;
        for replicas in keys.flat_map(|key| ctx.state.layout_history.replica_sets(key)) {
            wait = Ticks::max(
                wait,
                remaining_lease_at_quorum(ctx.state, ctx.now, &replicas),
            );
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
        let rejected_since = session.map_or(ctx.now, |session| {
            self.sessions.on_rejected(ctx.now, session)
        });
        let state = &mut *ctx.state;
        if ctx.now - rejected_since >= state.leases.length() / PERSISTENT_FAULT_LEASE_DIVISOR {
            // The fault persists: this member stops renewing its leases, so that all of them expire within a lease.
            state.degraded.leases_paused_until =
                ctx.now + 2 * state.leases.length_with_drift_margin();
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
        ctx.state.degraded.open_writes += 1;
        if let Some(open) = self.open.get_mut(&ticket) {
            open.clearance = WriteClearance::WithoutQuorum;
        }
        if !std::mem::replace(&mut self.quorum_lost, true) {
            let event = ReplicationEvent::QuorumLost;
            ctx.state.actions.push(Action::Notify(event));
        }
        self.awaiting_marker.push(ticket);
        ctx.state.mark_degraded();
        if ctx.state.degraded.is_marked() || ctx.state.has_disk_failed() {
            self.clear_awaiting_marker(ctx);
        }
    }

    /// Clears the open writes that have waited until the storage is marked as degraded.
    pub(crate) fn clear_awaiting_marker(&mut self, ctx: &mut Context<'_>) {
        for ticket in std::mem::take(&mut self.awaiting_marker) {
            if self.open.contains_key(&ticket) {
                ctx.state.counters.writes_without_quorum += 1;
                let completion = Completion::WithoutQuorum { ticket };
                ctx.state.actions.push(Action::Complete(completion));
            }
        }
    }
}

/// The time until every quorum of these replicas includes one at which this member's lease has expired; 0 if so now.
fn remaining_lease_at_quorum(state: &MemberState, now: Ticks, replicas: &ReplicaSet) -> Ticks {
    let lease_expiry = |replica: &ReplicaId| {
        // A member that has lost the storage by which the layout names it counts towards no quorum.
        let counts_in_quorum = !state.is_local(replica)
            && state.leases.storage_id(&replica.name) == replica.storage_id;
        if counts_in_quorum {
            state.leases.own_lease_expires_at(&replica.name)
        } else {
            0
        }
    };
    let mut expiries: Vec<Ticks> = replicas.iter().map(lease_expiry).collect();
    expiries.sort_unstable();
    let beyond_quorum = replicas.len() - ReplicationFactor::quorum(replicas.len());
    expiries
        .get(beyond_quorum)
        .map_or(0, |expires_at| (expires_at - now).max(0))
}
