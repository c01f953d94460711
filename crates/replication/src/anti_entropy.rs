//! Anti-entropy: fetches the records that a new layout has reassigned to this member, and compares the records that two
//! members share by a Merkle tree of hashes.
//!
//! At most one request is out at a time, and not more records are asked for in a second than the repair rate allows.

use std::collections::{BTreeMap, VecDeque};

use crate::Ticks;
use crate::action::{Action, ReplicationEvent};
use crate::layout_history::SyncStatus;
use crate::member_state::MemberState;
use crate::message::Message;
use crate::persistence::PendingCompletion;
use crate::placement::ReplicaId;
use crate::repair_job::{JobProgress, RepairJob, RepairStage, Request};

/// How often another member is compared with.
const COMPARISON_INTERVAL: Ticks = 50_000;
/// After this time without a reply a job is dropped.
const REQUEST_TIMEOUT: Ticks = 20_000;
/// The interval of ticks while anything is to be repaired or hashed.
const BUSY_TICK: Ticks = 100;
/// The interval of ticks else.
const IDLE_TICK: Ticks = 1_000;
/// Buckets rehashed in one tick, and buckets looked through for expired records in one busy tick.
const BUCKETS_PER_TICK: usize = 8;
/// What a request costs the asked member besides records: a look through some buckets.
const REQUEST_COST_IN_RECORDS: usize = 16;
/// The ticks of a second, by which the repair rate is counted.
const TICKS_PER_SECOND: usize = 10_000;

/// What the last comparison with a member has come to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Comparison {
    pub(crate) ended_at: Ticks,
    pub(crate) differing_buckets: usize,
    pub(crate) new_records: u64,
}

/// The repair of one member's records.
#[derive(Debug, Default)]
pub(crate) struct AntiEntropy {
    job: Option<RepairJob>,
    next_request_at: Ticks,
    next_comparison_at: Ticks,
    next_tick_at: Ticks,
    /// Which member is compared with next.
    turn: usize,
    comparisons: BTreeMap<String, Comparison>,
    /// Members that an operator wants to be compared with now.
    requested: VecDeque<String>,
    out_of_sync_since: Option<Ticks>,
    last_repair: Option<Ticks>,
    /// This member is about to persist that it is in sync with that layout.
    announced_version: u64,
}

impl AntiEntropy {
    /// Compares with all other members, one after the other.
    pub(crate) fn start_comparison(&mut self, state: &MemberState) {
        self.comparisons.clear();
        self.requested = state.other_replicas().into();
    }

    /// The last comparison with each member.
    pub(crate) fn comparisons(&self) -> &BTreeMap<String, Comparison> {
        &self.comparisons
    }

    /// How many comparisons are under way or still to come.
    pub(crate) fn remaining_comparisons(&self) -> usize {
        let comparing = self.job.as_ref().is_some_and(RepairJob::is_comparison);
        self.requested.len() + usize::from(comparing)
    }

    /// How long the last repair took.
    pub(crate) fn last_repair(&self) -> Option<Ticks> {
        self.last_repair
    }

    /// Another layout is in force: what was under way is of the one before.
    pub(crate) fn on_layout_changed(&mut self, state: &mut MemberState) {
        self.job = None;
        let holders = state.layout_history.newest_holders().count();
        state.store.reset_hashes(holders);
    }

    /// When [`AntiEntropy::tick`] is wanted next.
    pub(crate) fn next_deadline(&self) -> Ticks {
        self.next_tick_at
    }

    /// Expires and rehashes some records, and goes on with the repair.
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

    /// Persists that this member has all of its records, once it has.
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
        let expired_after = state.leases.expired_for_all_after();
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
        // Others are told only once the records and the low watermark are persisted.
        self.announced_version = layout_version;
        state.persist_metadata(Some(PendingCompletion::InSync { layout_version }));
    }

    fn next_job(&mut self, state: &MemberState, now: Ticks) -> Option<RepairJob> {
        if let Some(peer) = next_transfer(state, now) {
            let stage = RepairStage::Reassigned {
                from_bucket: 0,
                after: None,
            };
            return Some(RepairJob::new(state, peer, stage));
        }
        let name = self.next_comparison(state, now)?;
        let storage_id = state.leases.memory(&name);
        let peer = ReplicaId { name, storage_id };
        Some(RepairJob::new(state, peer, RepairStage::Branches))
    }

    /// The member to compare with now, if it is in touch.
    fn next_comparison(&mut self, state: &MemberState, now: Ticks) -> Option<String> {
        if !state.layout_history.is_known() {
            return None;
        }
        let others = state.other_replicas();
        let requested = self.requested.pop_front();
        if others.is_empty() || (requested.is_none() && now < self.next_comparison_at) {
            return None;
        }
        self.next_comparison_at = now + COMPARISON_INTERVAL;
        self.turn += 1;
        let name = requested.unwrap_or_else(|| others[self.turn % others.len()].clone());
        let version = state.layout_history.version();
        state.leases.in_touch(now, &name, version).then_some(name)
    }

    /// Sends the next request of the job under way.
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

    /// Takes in the reply to the request that is out, if it is one.
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
        let asked = job.request.as_ref().is_some_and(|r| r.id == request_id);
        if job.peer.name != peer.name || !asked {
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

/// A member in touch that has yet to hand over what was reassigned to this one.
///
/// Only with the memory that a layout names it with has it what was acknowledged then.
fn next_transfer(state: &MemberState, now: Ticks) -> Option<ReplicaId> {
    let version = state.layout_history.version();
    if state.sync.layout_version >= version {
        return None;
    }
    let pending = state.layout_history.pending_transfers(&state.local.name);
    pending.into_iter().find(|peer| {
        state.leases.in_touch(now, &peer.name, version)
            && state.leases.memory(&peer.name) == peer.storage_id
    })
}
