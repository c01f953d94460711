//! Messages between members, and their validation.
//!
//! # Invariants
//!
//! Messages are encoded by postcard, which is positional: fields and variants must not be reordered, added or removed.

use leverpoint_membership::layout::Layout;
use serde::{Deserialize, Serialize};

use crate::Ticks;
use crate::record::{Record, RecordKey};

/// Maximum number of records, keys or replies in one message.
pub const MAX_RECORDS: usize = 128;
/// Maximum number of layouts in force.
pub const MAX_LAYOUTS: usize = 16;
/// Number of children of each inner node of the Merkle tree, and of hashes in one message.
pub const TREE_FANOUT: usize = 64;

/// Message together with the identity and layout of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Member name of the sender.
    pub sender: String,
    /// Incarnation number of the sender.
    pub incarnation: u64,
    /// Id of the sender's durable storage; never 0.
    pub storage_id: u64,
    /// Version of the newest layout that the sender knows.
    pub layout_version: u64,
    /// Id of the request, or of the request that this message replies to.
    pub request_id: u32,
    /// The request or reply.
    pub message: Message,
}

/// Why a replica rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// Its newest layout has a different version than the sender's.
    LayoutMismatch,
    /// It has the same newest layout, but does not know which older ones are in force.
    LayoutHistoryUnknown,
    /// It is in touch with no more than half of the layout's members.
    Partitioned,
    /// Too many of its writes wait to be persisted.
    Overloaded,
    /// Its disk has failed, so that it can't persist records.
    DiskFailed,
    /// The layout does not list it with its current storage id.
    NotAReplica,
}

/// Reply of a replica to a read of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordReply {
    /// The record, if the replica has it.
    pub record: Option<Record>,
    /// Records last touched up to this time may be missing at the replica.
    pub low_watermark: Ticks,
    /// Whether some member may be serving without a quorum, as far as the replica knows.
    pub partitioned: bool,
}

/// Start of the next batch of records: a bucket, and the key in it after which the batch begins.
pub type BatchPosition = (u16, Option<RecordKey>);

/// Request or reply between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Renews the sender's lease at the receiver.
    RenewLease {
        /// Latest time of the receiver's clock that the sender has received, which the lease runs from; 0 while the
        /// sender serves without a quorum, which renews nothing.
        echoed_time: Ticks,
        /// All writes that the sender has answered without a quorum have positions up to this time.
        unreplicated_until: Ticks,
        /// Newest layout version for which the sender has received all of its records.
        synced_version: u64,
    },
    /// Replies to [`Message::RenewLease`].
    LeaseRenewed {
        /// Current time of the sender's clock, which the next renewal echoes.
        time: Ticks,
        /// Newest layout version for which the sender has received all of its records.
        synced_version: u64,
    },
    /// Requests that the receiver merge and persist records.
    Write {
        /// The records to merge.
        records: Vec<Record>,
    },
    /// Replies to [`Message::Write`] once the records are persisted.
    WriteAcknowledged {
        /// The written records of idempotency keys, in their state after the merge.
        merged: Vec<Record>,
        /// Records last touched up to this time may be missing at the sender.
        low_watermark: Ticks,
        /// Whether some member may be serving without a quorum, as far as the sender knows.
        partitioned: bool,
    },
    /// Requests records by key.
    Read {
        /// Keys of the requested records.
        keys: Vec<RecordKey>,
    },
    /// Replies to [`Message::Read`].
    ReadReply {
        /// One reply for each key, in the order of the request.
        replies: Vec<RecordReply>,
    },
    /// Requests the nodes of the Merkle tree over the shared records whose hashes differ.
    CompareHashes {
        /// Branch whose buckets are compared; `None` compares all branches.
        branch: Option<u16>,
        /// Hashes of these nodes at the sender.
        hashes: Vec<u64>,
    },
    /// Replies to [`Message::CompareHashes`].
    DifferingNodes {
        /// Indices of the differing nodes among the hashes of the request.
        nodes: Vec<u16>,
    },
    /// Requests the shared records of a bucket.
    FetchBucket {
        /// Index of the bucket.
        bucket: u16,
        /// Requests only records with a greater key.
        after: Option<RecordKey>,
    },
    /// Requests records that a newer layout has reassigned to the sender.
    FetchReassigned {
        /// Index of the first bucket.
        from_bucket: u16,
        /// Requests only records of the first bucket with a greater key.
        after: Option<RecordKey>,
    },
    /// Replies to [`Message::FetchBucket`] and [`Message::FetchReassigned`].
    RecordBatch {
        /// The requested records that fit this batch.
        records: Vec<Record>,
        /// Start of the next batch; `None` after the last one.
        next: Option<BatchPosition>,
        /// Records last touched up to this time may be missing from the batch.
        low_watermark: Ticks,
    },
    /// Requests the layouts in force.
    QueryLayouts,
    /// Replies to [`Message::QueryLayouts`].
    Layouts {
        /// Layouts in force, oldest first.
        layouts: Vec<Layout>,
    },
    /// Replies that a request was rejected.
    Rejected {
        /// Why the request was rejected.
        reason: RejectReason,
    },
    /// Announces that the sender's incarnation shuts down and serves nothing more.
    Leaving {
        /// Latest time of the receiver's clock that the sender has received; 0 if it has received none.
        echoed_time: Ticks,
    },
}

impl Envelope {
    /// Whether the message and its sender are within their bounds.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.message.is_valid()
            && !self.sender.is_empty()
            && self.sender.len() <= leverpoint_membership::member_info::MAX_TEXT_BYTES
            && self.storage_id != 0
    }
}

impl Message {
    fn is_valid(&self) -> bool {
        match self {
            Message::Write { records }
            | Message::WriteAcknowledged {
                merged: records, ..
            }
            | Message::RecordBatch { records, .. } => {
                records.len() <= MAX_RECORDS && records.iter().all(Record::is_valid)
            }
            Message::Read { keys } => keys.len() <= MAX_RECORDS,
            Message::ReadReply { replies } => {
                replies.len() <= MAX_RECORDS && replies.iter().all(RecordReply::is_valid)
            }
            Message::CompareHashes { branch, hashes } => {
                hashes.len() == TREE_FANOUT && branch.is_none_or(is_node_index)
            }
            Message::DifferingNodes { nodes } => {
                nodes.len() <= TREE_FANOUT && nodes.iter().copied().all(is_node_index)
            }
            Message::Layouts { layouts } => {
                let ascending = |pair: &[Layout]| pair[0].version < pair[1].version;
                layouts.len() <= MAX_LAYOUTS
                    && layouts.iter().all(Layout::is_valid)
                    && layouts.windows(2).all(ascending)
            }
            Message::RenewLease {
                echoed_time,
                unreplicated_until,
                ..
            } => *echoed_time >= 0 && *unreplicated_until >= 0,
            Message::LeaseRenewed { time, .. } | Message::Leaving { echoed_time: time } => {
                *time >= 0
            }
            _ => true,
        }
    }
}

impl RecordReply {
    fn is_valid(&self) -> bool {
        self.record.as_ref().is_none_or(Record::is_valid) && self.low_watermark >= 0
    }
}

fn is_node_index(node: u16) -> bool {
    usize::from(node) < TREE_FANOUT
}
