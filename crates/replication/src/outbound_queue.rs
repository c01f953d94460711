//! Outbound queues to the other replicas: records and keys that wait for a message, and requests in flight.
//!
//! A replica has at most [`MAX_IN_FLIGHT`] requests in flight. Beyond [`BATCHING_THRESHOLD`] of them only full batches
//! are sent, so that what arrives meanwhile travels together. Records for an unreachable replica become hints.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::Ticks;
use crate::hinted_handoff::{HintBuffer, HintStored};
use crate::member_state::MemberState;
use crate::message::{MAX_RECORDS, Message};
use crate::persistence::PendingCompletion;
use crate::placement::ReplicaId;
use crate::record::{Record, RecordKey};

/// The number of a write or read that waits for replicas.
pub(crate) type OperationId = u64;

/// The operation of a record that nobody waits for.
pub(crate) const NO_OPERATION: OperationId = 0;

/// With so many requests in flight to a replica only full batches are sent.
const BATCHING_THRESHOLD: usize = 4;
/// Requests in flight to one replica at most.
const MAX_IN_FLIGHT: usize = 64;
/// Records, and keys, queued for one replica at most.
const MAX_QUEUED: usize = 4_096;
/// Hints are tried again after this part of a lease.
const HINT_ATTEMPTS_PER_LEASE: Ticks = 8;
/// A request without a reply fails after this part of a lease.
const REQUEST_TIMEOUTS_PER_LEASE: Ticks = 2;
/// A reply that takes longer than this many usual ones is slow.
const SLOW_FACTOR: Ticks = 4;
/// The least time after which a reply is slow: a disk takes a moment.
const MIN_SLOW: Ticks = 30;
/// The weight of the past in the usual response time.
const RESPONSE_TIME_WEIGHT: Ticks = 16;

/// A record on its way to one replica, and the operation that waits for it.
#[derive(Debug)]
pub(crate) struct QueuedWrite {
    pub(crate) record: Record,
    pub(crate) operation: OperationId,
}

/// A key asked of one replica, and the operation that waits for it.
#[derive(Debug)]
pub(crate) struct QueuedRead {
    pub(crate) key: RecordKey,
    pub(crate) operation: OperationId,
}

/// What one request carries.
#[derive(Debug)]
pub(crate) enum Batch {
    Writes(Vec<QueuedWrite>),
    Reads(Vec<QueuedRead>),
}

#[derive(Debug)]
struct InFlight {
    sent_at: Ticks,
    batch: Batch,
}

/// Whether a replica can get what was handed over for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum Delivery {
    Accepted,
    Rejected,
}

#[derive(Debug, Default)]
struct OutboundQueue {
    writes: VecDeque<QueuedWrite>,
    reads: VecDeque<QueuedRead>,
    in_flight: BTreeMap<u32, InFlight>,
    hints: HintBuffer,
}

/// The outbound queues of all other replicas, by member name.
#[derive(Debug, Default)]
pub(crate) struct OutboundQueues {
    queues: BTreeMap<String, OutboundQueue>,
    /// Moving sum of response times, [`RESPONSE_TIME_WEIGHT`] times the usual one.
    response_time: Ticks,
}

impl OutboundQueues {
    /// The number of hints kept, for all replicas.
    pub(crate) fn hinted(&self) -> usize {
        self.queues.values().map(|queue| queue.hints.len()).sum()
    }

    /// The number of records queued, for all replicas.
    pub(crate) fn queued(&self) -> usize {
        self.queues.values().map(|queue| queue.writes.len()).sum()
    }

    /// How long a replica may take before it counts as slow.
    pub(crate) fn slow_after(&self) -> Ticks {
        (self.response_time * SLOW_FACTOR / RESPONSE_TIME_WEIGHT).max(MIN_SLOW)
    }

    /// Hands a record over for one replica: merged here, queued, or kept as a hint and rejected.
    pub(crate) fn offer_write(
        &mut self,
        state: &mut MemberState,
        now: Ticks,
        record: &Record,
        operation: OperationId,
        replica: &ReplicaId,
    ) -> Delivery {
        if state.is_local(replica) {
            return write_locally(state, now, record, operation);
        }
        let reachable = state.is_reachable(now, &replica.name);
        let queue = self.queues.entry(replica.name.clone()).or_default();
        if reachable && queue.writes.len() < MAX_QUEUED {
            let record = record.clone();
            queue.writes.push_back(QueuedWrite { record, operation });
            return Delivery::Accepted;
        }
        queue.store_hint(state, record);
        Delivery::Rejected
    }

    /// Queues a key to be read at another replica.
    pub(crate) fn offer_read(
        &mut self,
        state: &MemberState,
        now: Ticks,
        key: RecordKey,
        operation: OperationId,
        replica: &ReplicaId,
    ) -> Delivery {
        let reachable = state.is_reachable(now, &replica.name);
        let queue = self.queues.entry(replica.name.clone()).or_default();
        if !reachable || queue.reads.len() >= MAX_QUEUED {
            return Delivery::Rejected;
        }
        queue.reads.push_back(QueuedRead { key, operation });
        Delivery::Accepted
    }

    /// Sends a record to these replicas; nobody waits for it.
    pub(crate) fn send_record(
        &mut self,
        state: &mut MemberState,
        now: Ticks,
        record: &Record,
        replicas: &BTreeSet<ReplicaId>,
    ) {
        for replica in replicas {
            // A replica that rejects it gets it as a hint or by anti-entropy.
            let _ = self.offer_write(state, now, record, NO_OPERATION, replica);
        }
        self.flush(state, now);
    }

    /// Sends a record to all its replicas in all layouts in force; nobody waits for it.
    pub(crate) fn publish(&mut self, state: &mut MemberState, now: Ticks, record: &Record) {
        let replicas = state.layout_history.all_replicas(record.key);
        self.send_record(state, now, record, &replicas);
    }

    /// Whether that write is queued for or in flight to a member.
    pub(crate) fn has_write(&self, name: &str, operation: OperationId, key: RecordKey) -> bool {
        let is_it = |write: &QueuedWrite| (write.operation, write.record.key) == (operation, key);
        self.queues.get(name).is_some_and(|queue| {
            queue.writes.iter().any(is_it)
                || queue
                    .in_flight
                    .values()
                    .any(|request| match &request.batch {
                        Batch::Writes(writes) => writes.iter().any(is_it),
                        Batch::Reads(_) => false,
                    })
        })
    }

    /// Sends what is queued, as far as the bounds of requests in flight allow.
    pub(crate) fn flush(&mut self, state: &mut MemberState, now: Ticks) {
        for (name, queue) in &mut self.queues {
            queue.flush(state, now, name);
        }
    }

    /// Takes the request that a reply answers, if it is in flight.
    pub(crate) fn take_answered(
        &mut self,
        now: Ticks,
        name: &str,
        request_id: u32,
    ) -> Option<Batch> {
        let request = self.queues.get_mut(name)?.in_flight.remove(&request_id)?;
        self.response_time += (now - request.sent_at) - self.response_time / RESPONSE_TIME_WEIGHT;
        Some(request.batch)
    }

    /// Takes a request out of flight without a reply.
    pub(crate) fn take_failed(&mut self, name: &str, request_id: u32) -> Option<Batch> {
        let request = self.queues.get_mut(name)?.in_flight.remove(&request_id)?;
        Some(request.batch)
    }

    /// Requests that have had no reply for too long: to whom, and their numbers.
    pub(crate) fn timed_out(&self, now: Ticks, lease: Ticks) -> Vec<(String, u32)> {
        let timeout = lease / REQUEST_TIMEOUTS_PER_LEASE;
        let mut timed_out = Vec::new();
        for (name, queue) in &self.queues {
            let old = queue
                .in_flight
                .iter()
                .filter(|(_, request)| now - request.sent_at > timeout);
            timed_out.extend(old.map(|(request_id, _)| (name.clone(), *request_id)));
        }
        timed_out
    }

    /// Keeps a record as a hint for a member that has a queue.
    pub(crate) fn store_hint(&mut self, state: &mut MemberState, name: &str, record: &Record) {
        if let Some(queue) = self.queues.get_mut(name) {
            queue.store_hint(state, record);
        }
    }

    /// Queues the hints of a replica that is in touch again.
    pub(crate) fn send_hints(&mut self, state: &mut MemberState, now: Ticks, name: &str) {
        let Some(queue) = self.queues.get_mut(name) else {
            return;
        };
        let next_attempt = now + state.leases.length() / HINT_ATTEMPTS_PER_LEASE;
        let capacity = MAX_QUEUED.saturating_sub(queue.writes.len());
        let hints = queue.hints.take(capacity, next_attempt);
        queue
            .writes
            .extend(hints.into_iter().map(|record| QueuedWrite {
                record,
                operation: NO_OPERATION,
            }));
        self.flush(state, now);
    }

    /// Sends the hints that are due to replicas in touch.
    pub(crate) fn send_due_hints(&mut self, state: &mut MemberState, now: Ticks) {
        let version = state.layout_history.version();
        let due: Vec<String> = self
            .queues
            .iter()
            .filter(|(name, queue)| {
                queue.hints.is_due(now) && state.leases.in_touch(now, name, version)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.send_hints(state, now, &name);
        }
    }

    /// Drops the queues of members that are in no layout any more and have nothing in flight.
    pub(crate) fn retain_members(&mut self, members: &BTreeSet<String>) {
        self.queues
            .retain(|name, queue| members.contains(name) || !queue.in_flight.is_empty());
    }
}

impl OutboundQueue {
    fn has_queued(&self) -> bool {
        !self.writes.is_empty() || !self.reads.is_empty()
    }

    fn store_hint(&mut self, state: &mut MemberState, record: &Record) {
        state.counters.hints_stored += 1;
        if self.hints.store(record.clone()) == HintStored::OldestDropped {
            state.counters.hints_dropped += 1;
        }
    }

    fn flush(&mut self, state: &mut MemberState, now: Ticks, name: &str) {
        while self.has_queued() && self.in_flight.len() < MAX_IN_FLIGHT {
            let writes = self.writes.len().min(MAX_RECORDS);
            let reads = self.reads.len().min(MAX_RECORDS);
            let full = writes == MAX_RECORDS || reads == MAX_RECORDS;
            if self.in_flight.len() >= BATCHING_THRESHOLD && !full {
                break;
            }
            if writes > 0 {
                self.send_writes(state, now, name, writes);
            }
            if reads > 0 {
                self.send_reads(state, now, name, reads);
            }
        }
    }

    fn send_writes(&mut self, state: &mut MemberState, now: Ticks, name: &str, count: usize) {
        let writes: Vec<QueuedWrite> = self.writes.drain(..count).collect();
        let records = writes.iter().map(|write| write.record.clone()).collect();
        self.send(
            state,
            now,
            name,
            Batch::Writes(writes),
            Message::Write { records },
        );
    }

    fn send_reads(&mut self, state: &mut MemberState, now: Ticks, name: &str, count: usize) {
        let reads: Vec<QueuedRead> = self.reads.drain(..count).collect();
        let keys = reads.iter().map(|read| read.key).collect();
        self.send(
            state,
            now,
            name,
            Batch::Reads(reads),
            Message::Read { keys },
        );
    }

    fn send(
        &mut self,
        state: &mut MemberState,
        now: Ticks,
        name: &str,
        batch: Batch,
        message: Message,
    ) {
        let request_id = state.next_request_id();
        let request = InFlight {
            sent_at: now,
            batch,
        };
        self.in_flight.insert(request_id, request);
        state.send(name, request_id, message);
    }
}

/// Merges a record into this member's own store, where it acts as a replica now.
fn write_locally(
    state: &mut MemberState,
    now: Ticks,
    record: &Record,
    operation: OperationId,
) -> Delivery {
    let version = state.layout_history.version();
    if state.reject_reason(now, version).is_some() || !state.has_capacity() {
        return Delivery::Rejected;
    }
    state.merge_records(std::slice::from_ref(record));
    let completion = PendingCompletion::LocalWrite {
        operation,
        key: record.key,
    };
    state.persist_records(vec![record.clone()], Some(completion));
    Delivery::Accepted
}
