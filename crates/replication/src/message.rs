//! Messages between members, with the bounds that a valid one keeps.
//!
//! Encoded by postcard: neither fields nor variants may be moved.

use leverpoint_membership::layout::Layout;
use serde::{Deserialize, Serialize};

use crate::Ticks;
use crate::record::{Record, RecordKey};

/// Records, keys or replies in one message at most.
pub const MAX_RECORDS: usize = 128;
/// Layouts in force at most.
pub const MAX_LAYOUTS: usize = 16;
/// Children of each node of the Merkle tree, and hashes in one message.
pub const TREE_FANOUT: usize = 64;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's name.
    pub sender: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The number of the durable state that the sender holds.
    pub storage_id: u64,
    /// The newest layout that the sender goes by.
    pub layout_version: u64,
    /// The number of a request, or of the request that this replies to.
    pub request_id: u32,
    /// What is said.
    pub message: Message,
}

/// Why a replica does not do what it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// It goes by another layout.
    LayoutMismatch,
    /// It goes by the same layout, and does not know which older ones are in force.
    LayoutHistoryUnknown,
    /// It is not in touch with more than half of the layout.
    Partitioned,
    /// Too many writes wait for its disk.
    Overloaded,
    /// Its disk has failed.
    DiskFailed,
    /// The layout does not name it with the memory that it has.
    NotAReplica,
}

/// A replica's reply to a read of one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordReply {
    /// The record, if it has one.
    pub record: Option<Record>,
    /// What lies before it may be missing there.
    pub low_watermark: Ticks,
    /// It can't account for a member that may be serving without a quorum.
    pub partitioned: bool,
}

/// Where the next batch of records begins: a bucket, and after which key in it.
pub type BatchPosition = (u16, Option<RecordKey>);

/// A request or a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Renews the sender's lease.
    RenewLease {
        /// The last time that the receiver has sent; 0 while the sender serves without a quorum.
        echoed_time: Ticks,
        /// All that the sender has answered without a quorum lies before it.
        unreplicated_until: Ticks,
        /// The sender has all of its records up to that layout.
        synced_version: u64,
    },
    /// Replies to a renewal.
    LeaseRenewed {
        /// The time of the sender's clock.
        time: Ticks,
        /// The sender has all of its records up to that layout.
        synced_version: u64,
    },
    /// Asks to persist records.
    Write {
        /// The records.
        records: Vec<Record>,
    },
    /// Replies that records are persisted.
    WriteAcknowledged {
        /// Those of idempotency keys, as they are now.
        merged: Vec<Record>,
        /// What lies before it may be missing there.
        low_watermark: Ticks,
        /// The sender can't account for a member that may be serving without a quorum.
        partitioned: bool,
    },
    /// Asks for records.
    Read {
        /// Their keys.
        keys: Vec<RecordKey>,
    },
    /// Replies to a read.
    ReadReply {
        /// In the order of the keys.
        replies: Vec<RecordReply>,
    },
    /// Asks which nodes of the Merkle tree over the shared records differ.
    CompareHashes {
        /// None: all branches; else the buckets of one branch.
        branch: Option<u16>,
        /// The sender's hashes.
        hashes: Vec<u64>,
    },
    /// Replies which nodes differ.
    DifferingNodes {
        /// Their indices among the hashes.
        nodes: Vec<u16>,
    },
    /// Asks for the shared records of a bucket.
    FetchBucket {
        /// The bucket.
        bucket: u16,
        /// Only those behind this key.
        after: Option<RecordKey>,
    },
    /// Asks for records that a newer layout has reassigned to the sender.
    FetchReassigned {
        /// The bucket to begin with.
        from_bucket: u16,
        /// Only those behind this key in that bucket.
        after: Option<RecordKey>,
    },
    /// Replies with records.
    RecordBatch {
        /// The records.
        records: Vec<Record>,
        /// Where the next batch begins, if there are more.
        next: Option<BatchPosition>,
        /// What lies before it may be missing among them.
        low_watermark: Ticks,
    },
    /// Asks which layouts are in force.
    QueryLayouts,
    /// Replies with the layouts in force, oldest first.
    Layouts {
        /// The layouts.
        layouts: Vec<Layout>,
    },
    /// Replies that a request was not done.
    Rejected {
        /// Why.
        reason: RejectReason,
    },
    /// Announces that the sender's incarnation ends and answers nothing more.
    Leaving {
        /// The last time that the receiver has sent.
        echoed_time: Ticks,
    },
}

impl Envelope {
    /// Whether all parts keep their bounds.
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
                hashes.len() == TREE_FANOUT && branch.is_none_or(is_node)
            }
            Message::DifferingNodes { nodes } => {
                nodes.len() <= TREE_FANOUT && nodes.iter().copied().all(is_node)
            }
            Message::Layouts { layouts } => {
                let rises = |pair: &[Layout]| pair[0].version < pair[1].version;
                layouts.len() <= MAX_LAYOUTS
                    && layouts.iter().all(Layout::is_valid)
                    && layouts.windows(2).all(rises)
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

fn is_node(node: u16) -> bool {
    usize::from(node) < TREE_FANOUT
}
