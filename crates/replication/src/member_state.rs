//! State that the components of one member share: its records, the layouts in force, its leases, and completions that
//! wait for the disk.
//!
//! # Invariants
//!
//! A member acts as a replica only while it is in touch with more than half of its layout. Records count as persisted
//! only after the runtime has confirmed it.

use std::collections::BTreeSet;

use leverpoint_failpoint::failpoint_active;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Ticks;
use crate::action::{Action, LocalMember, PersistedMetadata, ReplicationEvent};
use crate::config::ReplicationConfig;
use crate::degraded_mode::DegradedMode;
use crate::layout_history::LayoutHistory;
use crate::lease::{LeaseChange, LeaseTable};
use crate::message::{Envelope, Message, RejectReason};
use crate::persistence::{PendingCompletion, PersistenceQueue};
use crate::placement::ReplicaId;
use crate::record::{Record, RecordKey, RecordValue};
use crate::record_store::RecordStore;
use crate::status::ReplicationCounters;

/// Maximum number of remembered writers that have ended; beyond it the one with the lowest id is forgotten.
const MAX_ENDED_WRITERS: usize = 1_024;

/// Id by which records refer to one incarnation of a gateway.
pub(crate) fn writer_id(name: &str, incarnation: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), incarnation)
}

/// Whether this member participates in replication.
#[derive(Debug, Default)]
pub(crate) struct Participation {
    /// Whether this process is a member and is not leaving.
    pub(crate) active: bool,
    /// Whether this incarnation has been in touch with a quorum of its layout as a replica, so that other members
    /// notice when it is silent.
    pub(crate) has_met_quorum: bool,
}

/// How far this member has received its records.
#[derive(Debug, Default)]
pub(crate) struct SyncProgress {
    /// Newest layout version for which this member has received all of its records.
    pub(crate) layout_version: u64,
    /// Writes acknowledged up to this time may be lost; 0 if none is.
    pub(crate) data_lost_until: Ticks,
}

/// Shared state of one member.
pub(crate) struct MemberState {
    pub(crate) config: ReplicationConfig,
    pub(crate) local: LocalMember,
    pub(crate) layout_history: LayoutHistory,
    pub(crate) leases: LeaseTable,
    pub(crate) store: RecordStore,
    /// Actions that the current call returns to the runtime.
    pub(crate) actions: Vec<Action>,
    pub(crate) counters: ReplicationCounters,
    pub(crate) degraded: DegradedMode,
    pub(crate) participation: Participation,
    pub(crate) sync: SyncProgress,
    persistence: PersistenceQueue,
    last_request_id: u32,
    /// Writer ids of incarnations that have ended, at most [`MAX_ENDED_WRITERS`].
    ended_writers: BTreeSet<u64>,
}

impl MemberState {
    pub(crate) fn new(now: Ticks, config: ReplicationConfig, local: LocalMember) -> MemberState {
        MemberState {
            layout_history: LayoutHistory::new(config.replicas),
            leases: LeaseTable::new(now, config.lease_duration),
            store: RecordStore::new(config.limits),
            actions: Vec::new(),
            counters: ReplicationCounters::default(),
            degraded: DegradedMode::default(),
            participation: Participation::default(),
            sync: SyncProgress::default(),
            persistence: PersistenceQueue::default(),
            last_request_id: 0,
            ended_writers: BTreeSet::new(),
            config,
            local,
        }
    }

    /// Id by which records refer to this incarnation.
    pub(crate) fn writer_id(&self) -> u64 {
        writer_id(&self.local.name, self.local.incarnation)
    }

    /// This member as a replica, with its current storage id.
    pub(crate) fn local_replica(&self) -> ReplicaId {
        ReplicaId {
            name: self.local.name.clone(),
            storage_id: self.local.storage_id,
        }
    }

    /// Draws a request id; never 0.
    pub(crate) fn next_request_id(&mut self) -> u32 {
        self.last_request_id = self.last_request_id.wrapping_add(1).max(1);
        self.last_request_id
    }

    /// Queues a message to another member as an action.
    pub(crate) fn send(&mut self, to: &str, request_id: u32, message: Message) {
        self.counters.messages_sent += 1;
        let envelope = Envelope {
            sender: self.local.name.clone(),
            incarnation: self.local.incarnation,
            storage_id: self.local.storage_id,
            layout_version: self.layout_history.version(),
            request_id,
            message,
        };
        self.actions.push(Action::Send {
            to: to.to_owned(),
            envelope: Box::new(envelope),
        });
    }

    /// Persists records in their current state in the store; `completion` waits for it.
    pub(crate) fn persist_records(
        &mut self,
        records: Vec<Record>,
        completion: Option<PendingCompletion>,
    ) {
        let low_watermark = self.store.low_watermark();
        // The watermark that covers evicted records is persisted before any of them is written again.
        let risen = self.persistence.advance_low_watermark(low_watermark);
        let metadata = risen.then(|| self.metadata());
        self.push_persist(records, metadata, completion);
    }

    /// Persists the low watermark and the layouts in force; `completion` waits for it.
    pub(crate) fn persist_metadata(&mut self, completion: Option<PendingCompletion>) {
        let metadata = self.metadata();
        self.persistence
            .advance_low_watermark(metadata.low_watermark);
        self.push_persist(Vec::new(), Some(metadata), completion);
    }

    fn push_persist(
        &mut self,
        records: Vec<Record>,
        metadata: Option<PersistedMetadata>,
        completion: Option<PendingCompletion>,
    ) {
        let current = |record: Record| self.store.get(record.key).cloned().unwrap_or(record);
        let records = records.into_iter().map(current).collect();
        let sequence = self.persistence.enqueue(completion);
        self.actions.push(Action::Persist {
            sequence,
            records,
            metadata,
        });
    }

    fn metadata(&self) -> PersistedMetadata {
        PersistedMetadata {
            low_watermark: self.store.low_watermark(),
            layouts: self.layout_history.layouts().cloned().collect(),
            unreplicated_until: Some(self.degraded.recorded_until()),
        }
    }

    /// Removes and returns the completions that waited for persist actions up to `sequence`, in order.
    pub(crate) fn take_persisted(&mut self, sequence: u64) -> Vec<PendingCompletion> {
        self.persistence.take_persisted(sequence)
    }

    /// Handles a disk failure: drops the waiting completions, whose requests are never answered, and reports the first
    /// failure.
    pub(crate) fn on_persist_failed(&mut self) {
        if self.persistence.fail() {
            let event = ReplicationEvent::DiskFailed;
            self.actions.push(Action::Notify(event));
        }
    }

    /// Whether the newest layout lists this member with its current storage id.
    pub(crate) fn is_replica(&self) -> bool {
        self.layout_history
            .newest()
            .is_some_and(|layout| layout.has_holder(&self.local.name, self.local.storage_id))
    }

    /// Names of the other members of the newest layout.
    pub(crate) fn other_replicas(&self) -> Vec<String> {
        let holders = self.layout_history.newest_holders();
        holders
            .map(|holder| holder.name.clone())
            .filter(|name| *name != self.local.name)
            .collect()
    }

    /// Whether a replica is this member with its current storage id.
    pub(crate) fn is_local(&self, replica: &ReplicaId) -> bool {
        replica.name == self.local.name && replica.storage_id == self.local.storage_id
    }

    /// Whether requests may be sent to a member: it is another one, and in touch under the newest layout.
    pub(crate) fn is_reachable(&self, now: Ticks, name: &str) -> bool {
        let version = self.layout_history.version();
        self.leases.in_touch(now, name, version) && name != self.local.name
    }

    /// Whether more than half of the newest layout's members, this one included, are in touch: they have answered a
    /// renewal under this layout within a lease.
    pub(crate) fn has_layout_quorum(&self, now: Ticks) -> bool {
        let Some(layout) = self.layout_history.newest() else {
            return false;
        };
        let in_touch = layout.holders.iter().filter(|holder| {
            holder.name == self.local.name
                || self.leases.in_touch(now, &holder.name, layout.version)
        });
        in_touch.count() > layout.holders.len() / 2
    }

    /// Why this member rejects requests under a layout version; `None` if it acts as a replica.
    pub(crate) fn reject_reason(&self, now: Ticks, layout_version: u64) -> Option<RejectReason> {
        if layout_version != self.layout_history.version() {
            return Some(RejectReason::LayoutMismatch);
        }
        if !self.is_replica() {
            return Some(RejectReason::NotAReplica);
        }
        if self.persistence.has_failed() {
            return Some(RejectReason::DiskFailed);
        }
        (!self.has_layout_quorum(now)).then_some(RejectReason::Partitioned)
    }

    /// Whether the disk has failed, so that nothing is persisted any more.
    pub(crate) fn has_disk_failed(&self) -> bool {
        self.persistence.has_failed()
    }

    /// Marks the storage as one of a member that serves without a quorum, unless that is under way.
    pub(crate) fn mark_degraded(&mut self) {
        if self.degraded.begin_marking() {
            self.persist_metadata(Some(PendingCompletion::DegradedMarked));
        }
    }

    /// Whether another write may wait for the disk.
    pub(crate) fn has_capacity(&self) -> bool {
        self.persistence.has_capacity()
    }

    /// Whether a member other than `except` may be serving without a quorum, as far as this member knows.
    ///
    /// This member itself counts while it serves without a quorum; without a layout any member may.
    pub(crate) fn is_partitioned(&self, now: Ticks, except: &str) -> bool {
        if failpoint_active("alone-unseen") {
            return false;
        }
        self.layout_history.newest().is_none()
            || (except != self.local.name && self.degraded.open_writes > 0)
            || self.unaccounted_members(now).any(|name| name != except)
    }

    /// Other members of the newest layout whose lease has expired, so that they may be serving without a quorum.
    pub(crate) fn unaccounted_members(&self, now: Ticks) -> impl Iterator<Item = &str> {
        let holders = self.layout_history.newest_holders();
        let unaccounted = holders.filter(move |holder| {
            holder.name != self.local.name
                && !self
                    .leases
                    .is_accounted_for(now, &holder.name, holder.storage_id)
        });
        unaccounted.map(|holder| holder.name.as_str())
    }

    /// Whether other replicas notice when this member is silent: only then may it serve without a quorum.
    pub(crate) fn is_monitored_by_peers(&self) -> bool {
        self.is_replica()
            && self.participation.active
            && self.participation.has_met_quorum
            && self.layout_history.is_known()
    }

    /// Raises the low watermark over all that an incarnation may have answered without a quorum, once it has ended.
    pub(crate) fn on_lease_change(&mut self, now: Ticks, change: LeaseChange) {
        let until = now + self.config.max_clock_skew;
        if change == LeaseChange::UnaccountedIncarnationEnded
            && self.store.raise_low_watermark(until)
        {
            self.persist_metadata(None);
        }
    }

    /// Counts a write without a quorum as finished; `executed` is its position if it may have been executed.
    pub(crate) fn on_degraded_write_finished(&mut self, now: Ticks, executed: Option<Ticks>) {
        self.degraded.open_writes = self.degraded.open_writes.saturating_sub(1);
        if let Some(position) = executed {
            let until = position.max(now + self.config.max_clock_skew);
            self.degraded.answered_until = self.degraded.answered_until.max(until);
            self.store.raise_low_watermark(self.degraded.answered_until);
        }
    }

    /// Remembers that an incarnation has ended, so that its open writes will not finish.
    pub(crate) fn on_writer_ended(&mut self, writer: u64) {
        self.ended_writers.insert(writer);
        if self.ended_writers.len() > MAX_ENDED_WRITERS {
            self.ended_writers.pop_first();
        }
    }

    /// Whether a write that a writer began at this time can't be open any more: the writer has ended, or the longest
    /// duration of a write has passed.
    pub(crate) fn has_write_ended(&self, now: Ticks, writer: u64, begun_at: Ticks) -> bool {
        let longest = self.config.max_write_duration + self.config.max_clock_skew;
        self.ended_writers.contains(&writer) || now - begun_at > longest
    }

    /// Merges records into the store as a replica; returns the merged records of idempotency keys.
    pub(crate) fn merge_records(&mut self, records: &[Record]) -> Vec<Record> {
        self.counters.records_written += records.len() as u64;
        let mut merged = Vec::new();
        for record in records {
            if failpoint_active("merge-goes-back") {
                self.store.forget(record.key);
            }
            self.store.merge(record);
            if matches!(record.value, RecordValue::KeyedRequest(_)) {
                merged.extend(self.get_record(record.key));
            }
        }
        merged
    }

    /// Copy of the stored record of a key.
    pub(crate) fn get_record(&self, key: RecordKey) -> Option<Record> {
        self.store.get(key).cloned()
    }
}
