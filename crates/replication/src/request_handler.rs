//! Handles requests of other members: persists and reads records, compares hashes, and hands over reassigned records.
//!
//! # Invariants
//!
//! A replica serves a request only if its newest layout is the requester's. A write is acknowledged only once it is
//! persisted.

use crate::Ticks;
use crate::member_state::MemberState;
use crate::message::{
    BatchPosition, Envelope, MAX_RECORDS, Message, RecordReply, RejectReason, TREE_FANOUT,
};
use crate::persistence::{LeaseRenewal, PendingCompletion};
use crate::placement::ReplicaId;
use crate::record::{Record, RecordKey};
use crate::record_store::BUCKETS;

/// Maximum number of records scanned for one message, which takes about 1 ms.
const MAX_RECORDS_SCANNED: usize = 2_048;

/// Handles a request; ignores other messages.
pub(crate) fn handle(state: &mut MemberState, now: Ticks, envelope: &Envelope) {
    let (to, request_id) = (envelope.sender.as_str(), envelope.request_id);
    match &envelope.message {
        Message::RenewLease {
            echoed_time,
            unreplicated_until,
            synced_version,
        } => {
            let renewal = LeaseRenewal {
                echoed_time: *echoed_time,
                synced_version: *synced_version,
            };
            if state.store.raise_low_watermark(*unreplicated_until) {
                let to = to.to_owned();
                return state.persist_metadata(Some(PendingCompletion::LeaseRenewed {
                    to,
                    request_id,
                    renewal,
                }));
            }
            renew_lease(state, now, to, request_id, renewal);
        }
        Message::QueryLayouts => {
            let reply = layouts_in_force(state, envelope.layout_version);
            state.send(to, request_id, reply);
        }
        Message::Leaving { echoed_time } => {
            state
                .leases
                .on_leaving(to, envelope.incarnation, *echoed_time);
        }
        Message::Write { .. }
        | Message::Read { .. }
        | Message::CompareHashes { .. }
        | Message::FetchBucket { .. }
        | Message::FetchReassigned { .. } => {
            if let Some(reason) = state.reject_reason(now, envelope.layout_version) {
                return reject(state, to, request_id, reason);
            }
            handle_as_replica(state, now, envelope);
        }
        _ => {}
    }
}

/// Renews the lease of a member, and replies with the current time, which its next renewal echoes.
pub(crate) fn renew_lease(
    state: &mut MemberState,
    now: Ticks,
    to: &str,
    request_id: u32,
    renewal: LeaseRenewal,
) {
    state.leases.on_renewed(to, renewal.echoed_time);
    state.leases.on_synced(to, renewal.synced_version);
    let reply = Message::LeaseRenewed {
        time: now,
        synced_version: state.sync.layout_version,
    };
    state.send(to, request_id, reply);
}

/// Reply to [`Message::QueryLayouts`] of a member with this newest layout version.
fn layouts_in_force(state: &MemberState, layout_version: u64) -> Message {
    let history = &state.layout_history;
    if layout_version != history.version() {
        return Message::Rejected {
            reason: RejectReason::LayoutMismatch,
        };
    }
    if !history.is_known() {
        return Message::Rejected {
            reason: RejectReason::LayoutHistoryUnknown,
        };
    }
    Message::Layouts {
        layouts: history.layouts().cloned().collect(),
    }
}

/// Counts and rejects a request.
fn reject(state: &mut MemberState, to: &str, request_id: u32, reason: RejectReason) {
    state.counters.requests_rejected += 1;
    state.send(to, request_id, Message::Rejected { reason });
}

/// Handles a request that only a replica under the requester's layout serves.
fn handle_as_replica(state: &mut MemberState, now: Ticks, envelope: &Envelope) {
    let (to, request_id) = (envelope.sender.as_str(), envelope.request_id);
    let reply = match &envelope.message {
        Message::Write { records } => return handle_write(state, now, to, request_id, records),
        Message::Read { keys } => {
            let reply = |key: &RecordKey| record_reply(state, now, to, *key);
            Message::ReadReply {
                replies: keys.iter().map(reply).collect(),
            }
        }
        Message::CompareHashes { branch, hashes } => Message::DifferingNodes {
            nodes: differing_nodes(state, to, branch.map(usize::from), hashes),
        },
        Message::FetchBucket { bucket, after } => {
            let (records, next) = shared_bucket(state, to, *bucket, *after);
            record_batch(state, records, next)
        }
        Message::FetchReassigned { from_bucket, after } => {
            let requester = ReplicaId {
                name: envelope.sender.clone(),
                storage_id: envelope.storage_id,
            };
            let (records, next) =
                reassigned_records(state, &requester, usize::from(*from_bucket), *after);
            record_batch(state, records, next)
        }
        _ => return,
    };
    state.send(to, request_id, reply);
}

/// Builds a batch of records with this member's low watermark.
fn record_batch(state: &MemberState, records: Vec<Record>, next: Option<BatchPosition>) -> Message {
    Message::RecordBatch {
        records,
        next,
        low_watermark: state.store.low_watermark(),
    }
}

/// Merges records; acknowledges them once they are persisted.
fn handle_write(
    state: &mut MemberState,
    now: Ticks,
    to: &str,
    request_id: u32,
    records: &[Record],
) {
    if !state.has_capacity() {
        return reject(state, to, request_id, RejectReason::Overloaded);
    }
    let message = Message::WriteAcknowledged {
        merged: state.merge_records(records),
        low_watermark: state.store.low_watermark(),
        partitioned: state.is_partitioned(now, to),
    };
    let reply = PendingCompletion::Reply {
        to: to.to_owned(),
        request_id,
        message,
    };
    state.persist_records(records.to_vec(), Some(reply));
}

/// Reply of this replica to a read of one record.
///
/// Only records that are read by quorum report partitioned members.
pub(crate) fn record_reply(
    state: &MemberState,
    now: Ticks,
    requester: &str,
    key: RecordKey,
) -> RecordReply {
    let is_quorum_read = matches!(key, RecordKey::Session(_) | RecordKey::KeyedRequest(_));
    RecordReply {
        record: state.get_record(key),
        low_watermark: state.store.low_watermark(),
        partitioned: is_quorum_read && state.is_partitioned(now, requester),
    }
}

/// Indices of the Merkle tree nodes whose hashes differ from the requester's.
fn differing_nodes(
    state: &MemberState,
    requester: &str,
    branch: Option<usize>,
    requester_hashes: &[u64],
) -> Vec<u16> {
    let index = state.layout_history.index_of(requester);
    let local_hashes = index.map_or(vec![0; TREE_FANOUT], |index| {
        state.store.hashes(index, branch)
    });
    let differing = (0..TREE_FANOUT).filter(|node| local_hashes[*node] != requester_hashes[*node]);
    differing.map(|node| node as u16).collect()
}

/// Records of a bucket that this member and the requester both hold, and the start of the next batch.
fn shared_bucket(
    state: &MemberState,
    requester: &str,
    bucket: u16,
    after: Option<RecordKey>,
) -> (Vec<Record>, Option<BatchPosition>) {
    let index = state.layout_history.index_of(requester);
    let is_shared = |record: &&Record| {
        let replicas = state.layout_history.replica_indices(record.key);
        after.is_none_or(|after| record.key > after)
            && index.is_some_and(|index| replicas.contains(&index))
    };
    let records: Vec<Record> = state
        .store
        .bucket_records(usize::from(bucket).min(BUCKETS - 1))
        .filter(is_shared)
        .take(MAX_RECORDS)
        .cloned()
        .collect();
    let is_full = records.len() == MAX_RECORDS;
    let last = records.last().filter(|_| is_full);
    let next = last.map(|last| (bucket, Some(last.key)));
    (records, next)
}

/// A batch of the records that were reassigned to the requester, and the start of the next batch.
fn reassigned_records(
    state: &MemberState,
    requester: &ReplicaId,
    from_bucket: usize,
    mut after: Option<RecordKey>,
) -> (Vec<Record>, Option<BatchPosition>) {
    let mut records: Vec<Record> = Vec::new();
    let mut scanned = 0;
    for bucket in from_bucket..BUCKETS {
        if scanned >= MAX_RECORDS_SCANNED {
            return (records, Some((bucket as u16, None)));
        }
        for record in state.store.bucket_records(bucket) {
            scanned += 1;
            let already_sent = after.is_some_and(|after| record.key <= after);
            if already_sent || !state.layout_history.is_reassigned(record.key, requester) {
                continue;
            }
            if records.len() == MAX_RECORDS {
                let last = records.last().map(|record| record.key);
                return (records, Some((bucket as u16, last)));
            }
            records.push(record.clone());
        }
        after = None;
    }
    (records, None)
}
