//! Anti-entropy: fetches the records that a new layout has reassigned to this member, and compares the records shared
//! with other members by Merkle trees.
//!
//! At most one request is in flight at a time, and requests are paced to the configured number of records per second.

use std::collections::{BTreeMap, VecDeque};

use crate::Ticks;
use crate::action::{Action, ReplicationEvent};
use crate::layout_history::SyncStatus;
use crate::member_state::MemberState;
use crate::message::Message;
use crate::persistence::PendingCompletion;
use crate::placement::ReplicaId;
use crate::repair_job::{JobProgress, RepairJob, RepairStage, Request};

/// Interval between periodic comparisons, each with the next member in turn.
const COMPARISON_INTERVAL: Ticks = 50_000;
/// A job is dropped if a request has had no reply for this time.
const REQUEST_TIMEOUT: Ticks = 20_000;
/// Interval between ticks while there is anything to repair or rehash.
const BUSY_TICK: Ticks = 100;
/// Interval between ticks otherwise.
const IDLE_TICK: Ticks = 1_000;
/// Buckets rehashed per tick, and buckets searched for expired records per busy tick.
const BUCKETS_PER_TICK: usize = 8;
/// Cost of a request to the peer besides the records sent, counted in records: it searches some buckets.
const REQUEST_COST_IN_RECORDS: usize = 16;
/// Ticks per second; the repair rate is in records per second.
const TICKS_PER_SECOND: usize = 10_000;

/// Result of the last comparison with a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Comparison {
    pub(crate) ended_at: Ticks,
    pub(crate) differing_buckets: usize,
    /// Received records that were new to or changed this member's store.
    pub(crate) new_records: u64,
}

/// Repair of this member's records: the job in progress, and the schedule of the next ones.
#[derive(Debug, Default)]
pub(crate) struct AntiEntropy {
    job: Option<RepairJob>,
    next_request_at: Ticks,
    next_comparison_at: Ticks,
    next_tick_at: Ticks,
    /// Selects the member of the next periodic comparison, modulo the number of other members.
    round_robin_counter: usize,
    /// Results by member name.
    comparisons: BTreeMap<String, Comparison>,
    /// Members that an operator has requested a comparison with.
    requested: VecDeque<String>,
    out_of_sync_since: Option<Ticks>,
    /// Duration of the last repair that brought this member in sync.
    last_repair: Option<Ticks>,
    /// Newest layout version for which persisting the in-sync state has begun.
    announced_version: u64,
}

impl AntiEntropy {
    /// Requests a comparison with each other member in turn, and clears earlier results.
    pub(crate) fn start_comparison(&mut self, state: &MemberState) {
        self.comparisons.clear();
        self.requested = state.other_replicas().into();
    }

    /// Result of the last comparison with each member, by name.
    pub(crate) fn comparisons(&self) -> &BTreeMap<String, Comparison> {
        &self.comparisons
    }

    /// Number of comparisons that are in progress or requested.
    pub(crate) fn remaining_comparisons(&self) -> usize {
        let comparing = self.job.as_ref().is_some_and(RepairJob::is_comparison);
        self.requested.len() + usize::from(comparing)
    }

    /// Duration of the last repair that brought this member in sync.
    pub(crate) fn last_repair(&self) -> Option<Ticks> {
        self.last_repair
    }

    /// Drops the job in progress, which belongs to the previous layout, and resets the Merkle trees.
    pub(crate) fn on_layout_changed(&mut self, state: &mut MemberState) {
        self.job = None;
        let holders = state.layout_history.newest_holders().count();
        state.store.reset_hashes(holders);
    }

    /// Time at which [`AntiEntropy::tick`] is due.
    pub(crate) fn next_deadline(&self) -> Ticks {
        self.next_tick_at
    }

    /// Expires records and rehashes buckets, a bounded number each, and advances the repair.
    pub(crate) fn tick(&mut self, state: &mut MemberState, now: Ticks) {
        if now < self.next_tick_at {
            return;
        }
        let busy = self.job.is_some()
            || state.store.has_stale_hashes()
            || state.sync.layout_version < state.layout_history.version();
        let interval = if busy { BUSY_TICK } else { IDLE_TICK };
        self.next_tick_at = now + interval;
        let buckets = BUCKETS_PER_TICK * (interval / BUSY_TICK) as usize;
        state.store.expire(now, buckets);
        if state.is_replica() {
            let layouts = &state.layout_history;
            state
                .store
                .rehash(BUCKETS_PER_TICK, |key| layouts.replica_indices(key));
        }
        self.check_in_sync(state, now);
        let request = self.job.as_ref().and_then(|job| job.request.as_ref());
        if request.is_some_and(|request| now - request.sent_at > REQUEST_TIMEOUT) {
            self.job = None;
        }
        if self.job.is_none() && state.is_replica() && state.has_layout_quorum(now) {
            self.job = self.next_job(state, now);
        }
        if now >= self.next_request_at {
            self.send_request(state, now);
        }
    }

    /// Persists the in-sync state once this member has received all of its records.
    fn check_in_sync(&mut self, state: &mut MemberState, now: Ticks) {
        let layout_version = state.layout_history.version();
        let in_sync = state.sync.layout_version >= layout_version;
        let announced = self.announced_version >= layout_version;
        if layout_version == 0 || in_sync || announced || !state.is_replica() {
            if in_sync && let Some(since) = self.out_of_sync_since.take() {
                self.last_repair = Some(now - since);
            }
            return;
        }
        self.out_of_sync_since.get_or_insert(now);
        let local = state.local_replica();
        let expired_after = state.leases.length_with_drift_margin();
        match state
            .layout_history
            .sync_status(now, &local.name, local.storage_id, expired_after)
        {
            SyncStatus::Syncing => return,
            SyncStatus::InSync => {}
            SyncStatus::InSyncWithLoss(lost_until) => {
                let until = lost_until + state.config.max_clock_skew;
                state.store.raise_low_watermark(until);
                state.sync.data_lost_until = state.sync.data_lost_until.max(until);
                let event = ReplicationEvent::DataLost { until };
                state.actions.push(Action::Notify(event));
            }
        }
        // Other members are informed only once the records and the low watermark are persisted.
        self.announced_version = layout_version;
        state.persist_metadata(Some(PendingCompletion::InSync { layout_version }));
    }

    /// Next job: a pending transfer, else a comparison that is due.
    fn next_job(&mut self, state: &MemberState, now: Ticks) -> Option<RepairJob> {
        if let Some(peer) = next_transfer(state, now) {
            let stage = RepairStage::Reassigned {
                from_bucket: 0,
                after: None,
            };
            return Some(RepairJob::new(state, peer, stage));
        }
        let name = self.next_comparison_peer(state, now)?;
        let storage_id = state.leases.storage_id(&name);
        let peer = ReplicaId { name, storage_id };
        Some(RepairJob::new(state, peer, RepairStage::Branches))
    }

    /// Member to compare with, if a comparison is requested or due and the member is in touch.
    fn next_comparison_peer(&mut self, state: &MemberState, now: Ticks) -> Option<String> {
        if !state.layout_history.is_known() {
            return None;
        }
        let others = state.other_replicas();
        let requested = self.requested.pop_front();
        if others.is_empty() || (requested.is_none() && now < self.next_comparison_at) {
            return None;
        }
        self.next_comparison_at = now + COMPARISON_INTERVAL;
        self.round_robin_counter += 1;
        let name =
            requested.unwrap_or_else(|| others[self.round_robin_counter % others.len()].clone());
        let version = state.layout_history.version();
        state.leases.in_touch(now, &name, version).then_some(name)
    }

    /// Sends the next request of the job in progress, unless one is in flight.
    fn send_request(&mut self, state: &mut MemberState, now: Ticks) {
        let Some(job) = self.job.as_mut().filter(|job| job.request.is_none()) else {
            return;
        };
        let Some(message) = job.next_request(state) else {
            return self.finish_comparison(now);
        };
        let id = state.next_request_id();
        job.request = Some(Request { id, sent_at: now });
        let name = job.peer.name.clone();
        state.send(&name, id, message);
    }

    /// Ends the job in progress and stores the result of its comparison.
    fn finish_comparison(&mut self, now: Ticks) {
        if let Some(job) = self.job.take() {
            let comparison = Comparison {
                ended_at: now,
                differing_buckets: job.differing_buckets,
                new_records: job.new_records,
            };
            self.comparisons.insert(job.peer.name, comparison);
        }
    }

    /// Handles a reply, if it answers the request in flight, and paces the next request.
    pub(crate) fn on_reply(
        &mut self,
        state: &mut MemberState,
        now: Ticks,
        peer: &ReplicaId,
        request_id: u32,
        message: &Message,
    ) {
        let Some(job) = &mut self.job else {
            return;
        };
        let is_awaited = job.request.as_ref().is_some_and(|r| r.id == request_id);
        if job.peer.name != peer.name || !is_awaited {
            return;
        }
        job.request = None;
        if job.layout_version != state.layout_history.version() || job.peer != *peer {
            self.job = None;
            return;
        }
        let mut cost = REQUEST_COST_IN_RECORDS;
        if let Message::RecordBatch { records, .. } = message {
            cost += records.len();
        }
        match job.take_reply(state, message) {
            JobProgress::Continues => {}
            JobProgress::Ended => self.job = None,
            JobProgress::Unexpected => {
                self.job = None;
                cost = REQUEST_COST_IN_RECORDS;
            }
        }
        let pause = cost * TICKS_PER_SECOND / state.config.repair_rate.max(1);
        self.next_request_at = now + pause as Ticks;
        if now >= self.next_request_at {
            self.send_request(state, now);
        }
    }
}

/// A member in touch that has yet to hand over the records reassigned to this one.
///
/// It has to have the storage id that a layout lists it with: other storage lacks what was acknowledged under that
/// layout.
fn next_transfer(state: &MemberState, now: Ticks) -> Option<ReplicaId> {
    let version = state.layout_history.version();
    if state.sync.layout_version >= version {
        return None;
    }
    let pending = state.layout_history.pending_transfers(&state.local.name);
    pending.into_iter().find(|peer| {
        state.leases.in_touch(now, &peer.name, version)
            && state.leases.storage_id(&peer.name) == peer.storage_id
    })
}
