//! Outbound queues to the other replicas: records and keys to be sent, and requests in flight.
//!
//! Each replica has at most [`MAX_IN_FLIGHT`] requests in flight. From [`BATCHING_THRESHOLD`] on, only full batches are
//! sent, so that records and keys that arrive meanwhile share a message. Records for an unreachable replica are stored as
//! hints.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::Ticks;
use crate::hinted_handoff::{HintBuffer, HintStored};
use crate::member_state::MemberState;
use crate::message::{MAX_RECORDS, Message};
use crate::persistence::PendingCompletion;
use crate::placement::ReplicaId;
use crate::record::{Record, RecordKey};

/// Id of a write or read that waits for replies of replicas.
pub(crate) type OperationId = u64;

/// Operation id of records whose acknowledgement no operation waits for.
pub(crate) const NO_OPERATION: OperationId = 0;

/// Number of requests in flight to a replica from which on only full batches are sent.
const BATCHING_THRESHOLD: usize = 4;
/// Maximum number of requests in flight to one replica.
const MAX_IN_FLIGHT: usize = 64;
/// Maximum number of records, and of keys, queued for one replica.
const MAX_QUEUED: usize = 4_096;
/// Delivery attempts of hints per lease duration.
const HINT_ATTEMPTS_PER_LEASE: Ticks = 8;
/// Request timeouts per lease duration: a request without a reply fails after half a lease.
const REQUEST_TIMEOUTS_PER_LEASE: Ticks = 2;
/// A reply that takes longer than this multiple of the average response time is slow.
const SLOW_RESPONSE_FACTOR: Ticks = 4;
/// Lower bound of the time after which a reply is slow, 3 ms: a reply includes a disk write.
const MIN_SLOW_AFTER: Ticks = 30;
/// Weight of past responses in the moving average of the response time.
const RESPONSE_TIME_WEIGHT: Ticks = 16;

/// Record to be written to one replica, and the operation that waits for its acknowledgement.
#[derive(Debug)]
pub(crate) struct QueuedWrite {
    pub(crate) record: Record,
    pub(crate) operation: OperationId,
}

/// Key to be read from one replica, and the operation that waits for the reply.
#[derive(Debug)]
pub(crate) struct QueuedRead {
    pub(crate) key: RecordKey,
    pub(crate) operation: OperationId,
}

/// Contents of one request.
#[derive(Debug)]
pub(crate) enum Batch {
    Writes(Vec<QueuedWrite>),
    Reads(Vec<QueuedRead>),
}

/// Request that waits for its reply.
#[derive(Debug)]
struct InFlightRequest {
    sent_at: Ticks,
    batch: Batch,
}

/// Whether a record or key was accepted for delivery to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum Delivery {
    /// It is queued, or was merged into this member's own store.
    Accepted,
    /// It is not queued; a record may have been stored as a hint.
    Rejected,
}

/// Queued records and keys, requests in flight and hints of one replica.
#[derive(Debug, Default)]
struct OutboundQueue {
    writes: VecDeque<QueuedWrite>,
    reads: VecDeque<QueuedRead>,
    /// By request id.
    in_flight: BTreeMap<u32, InFlightRequest>,
    hints: HintBuffer,
}

/// Outbound queues of all other replicas, by member name.
#[derive(Debug, Default)]
pub(crate) struct OutboundQueues {
    queues: BTreeMap<String, OutboundQueue>,
    /// Exponential moving average of the response times of all replicas, times [`RESPONSE_TIME_WEIGHT`].
    response_time: Ticks,
}

impl OutboundQueues {
    /// Number of stored hints for all replicas.
    pub(crate) fn hinted(&self) -> usize {
        self.queues.values().map(|queue| queue.hints.len()).sum()
    }

    /// Number of queued records for all replicas.
    pub(crate) fn queued(&self) -> usize {
        self.queues.values().map(|queue| queue.writes.len()).sum()
    }

    /// Time without a reply after which a replica counts as slow.
    pub(crate) fn slow_after(&self) -> Ticks {
        (self.response_time * SLOW_RESPONSE_FACTOR / RESPONSE_TIME_WEIGHT).max(MIN_SLOW_AFTER)
    }

    /// Delivers a record to one replica: merges it if the replica is this member, otherwise queues it, or stores it as a
    /// hint and rejects it if the replica is unreachable or its queue is full.
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

    /// Queues a key to be read from another replica; rejects it if the replica is unreachable or its queue is full.
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

    /// Sends a record to these replicas without waiting for acknowledgements.
    pub(crate) fn send_record(
        &mut self,
        state: &mut MemberState,
        now: Ticks,
        record: &Record,
        replicas: &BTreeSet<ReplicaId>,
    ) {
        for replica in replicas {
            // A replica that rejects the record receives it as a hint or by anti-entropy.
            let _ = self.offer_write(state, now, record, NO_OPERATION, replica);
        }
        self.flush(state, now);
    }

    /// Sends a record to its replicas in all layouts in force without waiting for acknowledgements.
    pub(crate) fn publish(&mut self, state: &mut MemberState, now: Ticks, record: &Record) {
        let replicas = state.layout_history.all_replicas(record.key);
        self.send_record(state, now, record, &replicas);
    }

    /// Whether an operation's write of a key is queued for, or in flight to, a member.
    pub(crate) fn has_write(&self, name: &str, operation: OperationId, key: RecordKey) -> bool {
        let is_match =
            |write: &QueuedWrite| (write.operation, write.record.key) == (operation, key);
        self.queues.get(name).is_some_and(|queue| {
            queue.writes.iter().any(is_match)
                || queue
                    .in_flight
                    .values()
                    .any(|request| match &request.batch {
                        Batch::Writes(writes) => writes.iter().any(is_match),
                        Batch::Reads(_) => false,
                    })
        })
    }

    /// Sends queued records and keys, as far as the bounds of requests in flight allow.
    pub(crate) fn flush(&mut self, state: &mut MemberState, now: Ticks) {
        for (name, queue) in &mut self.queues {
            queue.flush(state, now, name);
        }
    }

    /// Removes the request that a reply answers and updates the average response time; `None` if it is not in flight.
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

    /// Removes a request that has failed or timed out; `None` if it is not in flight.
    pub(crate) fn take_failed(&mut self, name: &str, request_id: u32) -> Option<Batch> {
        let request = self.queues.get_mut(name)?.in_flight.remove(&request_id)?;
        Some(request.batch)
    }

    /// Member name and request id of each request that has timed out.
    pub(crate) fn timed_out(&self, now: Ticks, lease: Ticks) -> Vec<(String, u32)> {
        let timeout = lease / REQUEST_TIMEOUTS_PER_LEASE;
        let mut timed_out = Vec::new();
        for (name, queue) in &self.queues {
            let expired = queue
                .in_flight
                .iter()
                .filter(|(_, request)| now - request.sent_at > timeout);
            timed_out.extend(expired.map(|(request_id, _)| (name.clone(), *request_id)));
        }
        timed_out
    }

    /// Stores a record as a hint for a member; ignored if the member has no queue.
    pub(crate) fn store_hint(&mut self, state: &mut MemberState, name: &str, record: &Record) {
        if let Some(queue) = self.queues.get_mut(name) {
            queue.store_hint(state, record);
        }
    }

    /// Queues and sends the hints for a replica that is in touch again.
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

    /// Sends the hints that are due, to replicas in touch.
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

    /// Drops the queues of other members than these, unless requests to them are in flight.
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
        let request = InFlightRequest {
            sent_at: now,
            batch,
        };
        self.in_flight.insert(request_id, request);
        state.send(name, request_id, message);
    }
}

/// Merges and persists a record in this member's own store; rejected if it does not act as a replica now.
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
