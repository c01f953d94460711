//! What a replica does for other members: persists and reads records, compares hashes, hands over what was reassigned.
//!
//! # Invariants
//!
//! A request is answered only by the layout that the asker goes by; a write is acknowledged only once it is persisted.

use crate::Ticks;
use crate::member_state::MemberState;
use crate::message::{
    BatchPosition, Envelope, MAX_RECORDS, Message, RecordReply, RejectReason, TREE_FANOUT,
};
use crate::persistence::{LeaseRenewal, PendingCompletion};
use crate::placement::ReplicaId;
use crate::record::{Record, RecordKey};
use crate::record_store::BUCKETS;

/// Records looked at for one message at most, which takes a millisecond.
const MAX_RECORDS_SCANNED: usize = 2_048;

/// Handles a request; other messages change nothing.
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

/// Renews the lease of a member and replies with this member's time.
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

fn reject(state: &mut MemberState, to: &str, request_id: u32, reason: RejectReason) {
    state.counters.requests_rejected += 1;
    state.send(to, request_id, Message::Rejected { reason });
}

fn handle_as_replica(state: &mut MemberState, now: Ticks, envelope: &Envelope) {
    let (to, request_id) = (envelope.sender.as_str(), envelope.request_id);
    let reply = match &envelope.message {
        Message::Write { records } => return write(state, now, to, request_id, records),
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
            let asker = ReplicaId {
                name: envelope.sender.clone(),
                storage_id: envelope.storage_id,
            };
            let (records, next) =
                reassigned_records(state, &asker, usize::from(*from_bucket), *after);
            record_batch(state, records, next)
        }
        _ => return,
    };
    state.send(to, request_id, reply);
}

fn record_batch(state: &MemberState, records: Vec<Record>, next: Option<BatchPosition>) -> Message {
    Message::RecordBatch {
        records,
        next,
        low_watermark: state.store.low_watermark(),
    }
}

fn write(state: &mut MemberState, now: Ticks, to: &str, request_id: u32, records: &[Record]) {
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

/// This replica's reply to a read of one record.
pub(crate) fn record_reply(
    state: &MemberState,
    now: Ticks,
    asker: &str,
    key: RecordKey,
) -> RecordReply {
    let by_quorum = matches!(key, RecordKey::Session(_) | RecordKey::KeyedRequest(_));
    RecordReply {
        record: state.get_record(key),
        low_watermark: state.store.low_watermark(),
        partitioned: by_quorum && state.is_partitioned(now, asker),
    }
}

/// The nodes of the Merkle tree whose hashes differ here.
fn differing_nodes(
    state: &MemberState,
    asker: &str,
    branch: Option<usize>,
    theirs: &[u64],
) -> Vec<u16> {
    let index = state.layout_history.index_of(asker);
    let ours = index.map_or(vec![0; TREE_FANOUT], |index| {
        state.store.hashes(index, branch)
    });
    let differing = (0..TREE_FANOUT).filter(|node| ours[*node] != theirs[*node]);
    differing.map(|node| node as u16).collect()
}

/// The records of a bucket whose replica the asker is as well.
fn shared_bucket(
    state: &MemberState,
    asker: &str,
    bucket: u16,
    after: Option<RecordKey>,
) -> (Vec<Record>, Option<BatchPosition>) {
    let index = state.layout_history.index_of(asker);
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

/// Some of the records that were reassigned to the asker, and where the next ones begin.
fn reassigned_records(
    state: &MemberState,
    asker: &ReplicaId,
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
            let is_sent = after.is_some_and(|after| record.key <= after);
            if is_sent || !state.layout_history.is_reassigned(record.key, asker) {
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
