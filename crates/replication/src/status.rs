//! Counters and status of a member's replicated state, as reported to operators.
//!
//! The `serde` names are part of the printed and transmitted form and must not change.

use serde::{Deserialize, Serialize};

use crate::Ticks;

/// Event counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationCounters {
    /// Writes acknowledged by a quorum.
    #[serde(rename = "promises")]
    pub quorum_writes: u64,
    /// Writes cleared to be sent without a quorum.
    #[serde(rename = "unpromised")]
    pub writes_without_quorum: u64,
    /// Writes rejected because no quorum could be reached.
    #[serde(rename = "turned")]
    pub rejected_writes: u64,
    /// Requests not sent because an earlier attempt under their idempotency key may have been executed.
    #[serde(rename = "unclear")]
    pub unclear_retries: u64,
    /// Retries that were cleared to be sent.
    #[serde(rename = "repeats")]
    pub accepted_retries: u64,
    /// Session reads whose position a quorum has determined.
    #[serde(rename = "exact")]
    pub exact_reads: u64,
    /// Session reads whose position is not known exactly, so that they have to see every write up to the present.
    #[serde(rename = "owed")]
    pub inexact_reads: u64,
    /// Records that any member has written to this replica.
    #[serde(rename = "put")]
    pub records_written: u64,
    /// Rejected requests of other members.
    #[serde(rename = "refused")]
    pub requests_rejected: u64,
    /// Records received by anti-entropy, and records sent to stale replicas by read repair.
    #[serde(rename = "mended")]
    pub records_repaired: u64,
    /// Hints stored for records that could not be delivered to a replica.
    #[serde(rename = "parked")]
    pub hints_stored: u64,
    /// Hints dropped because a hint buffer was full.
    #[serde(rename = "dropped")]
    pub hints_dropped: u64,
    /// Messages sent to other members.
    #[serde(rename = "sent")]
    pub messages_sent: u64,
    /// Valid messages received from other members.
    #[serde(rename = "heard")]
    pub messages_received: u64,
    /// Messages received that exceeded a bound or named this member as their sender.
    #[serde(rename = "unsound")]
    pub invalid_messages: u64,
}

/// Lengths of a member's queues; serialized as an array in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[usize; 4]", into = "[usize; 4]")]
pub struct QueueSizes {
    /// Writes and reads that wait for replies of replicas.
    pub pending: usize,
    /// Writes that have begun and have not finished.
    pub open_writes: usize,
    /// Records buffered as hints for unreachable replicas.
    pub hinted: usize,
    /// Records queued to be sent to reachable replicas.
    pub queued: usize,
}

impl From<[usize; 4]> for QueueSizes {
    fn from([pending, open_writes, hinted, queued]: [usize; 4]) -> QueueSizes {
        QueueSizes {
            pending,
            open_writes,
            hinted,
            queued,
        }
    }
}

impl From<QueueSizes> for [usize; 4] {
    fn from(sizes: QueueSizes) -> [usize; 4] {
        [sizes.pending, sizes.open_writes, sizes.hinted, sizes.queued]
    }
}

/// Status of a member's replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicationStatus {
    /// Version of the newest layout; 0 if there is none.
    #[serde(rename = "version")]
    pub layout_version: u64,
    /// Version of the oldest layout in force; 0 if there is none.
    #[serde(rename = "base")]
    pub oldest_layout_version: u64,
    /// Whether the member knows all layouts in force.
    #[serde(rename = "known")]
    pub layouts_known: bool,
    /// Whether the newest layout lists this member with its current storage id.
    #[serde(rename = "holds")]
    pub is_replica: bool,
    /// Whether this member is in touch with more than half of the newest layout's members, itself included.
    #[serde(rename = "in_touch")]
    pub has_layout_quorum: bool,
    /// Whether this member has received all of its records under the newest layout.
    #[serde(rename = "whole")]
    pub in_sync: bool,
    /// Number of session records.
    #[serde(rename = "positions")]
    pub session_records: usize,
    /// Number of records of idempotency keys.
    #[serde(rename = "keys")]
    pub keyed_requests: usize,
    /// Number of other records: those of primaries and of the endpoint list.
    #[serde(rename = "others")]
    pub other_records: usize,
    /// Approximate size of all records in memory, in bytes.
    #[serde(rename = "bytes")]
    pub record_bytes: usize,
    /// Records last touched up to this time may be missing from this member.
    #[serde(rename = "floor")]
    pub low_watermark: Ticks,
    /// Writes acknowledged up to this time may be lost; 0 if none is.
    #[serde(rename = "lost_until")]
    pub data_lost_until: Ticks,
    /// Lengths of the member's queues.
    #[serde(rename = "sizes")]
    pub queue_sizes: QueueSizes,
    /// Whether a write that was cleared without a quorum is open.
    #[serde(rename = "alone")]
    pub serving_without_quorum: bool,
    /// Other members of the newest layout that may be serving without a quorum, as far as this member knows.
    #[serde(rename = "unseen")]
    pub unaccounted_members: Vec<String>,
    /// Duration of the last repair that brought this member in sync, if there was one.
    #[serde(rename = "repair")]
    pub last_repair: Option<Ticks>,
    /// Event counters since the start of the process.
    #[serde(rename = "counts")]
    pub counters: ReplicationCounters,
}

impl ReplicationCounters {
    /// Formats the counters for the member's metrics line, whose names operators' tools match.
    pub(crate) fn metrics(&self) -> String {
        format!(
            "promises={} unpromised={} turned={} unclear={} repeats={} exact={} owed={} put={} refused={} mended={} \
             dropped={} copies.sent={} copies.heard={}",
            self.quorum_writes,
            self.writes_without_quorum,
            self.rejected_writes,
            self.unclear_retries,
            self.accepted_retries,
            self.exact_reads,
            self.inexact_reads,
            self.records_written,
            self.requests_rejected,
            self.records_repaired,
            self.hints_dropped,
            self.messages_sent,
            self.messages_received,
        )
    }
}
