//! Actions that the replication state machine returns to its runtime, and the results they carry.
//!
//! The package does no I/O: [`crate::Replicator`] returns [`Action`]s, and the runtime sends, persists and reports.

use leverpoint_membership::layout::Layout;
use serde::{Deserialize, Serialize};

use crate::Ticks;
use crate::idempotency::IdempotencyDecision;
use crate::message::Envelope;
use crate::record::Record;

/// Identity of the member that runs in this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// Member name, as layouts list it.
    pub name: String,
    /// Incarnation number; a restarted process has a higher one.
    pub incarnation: u64,
    /// Id of the member's durable storage; a member that lost its disk starts with a new id.
    pub storage_id: u64,
}

/// Metadata that is persisted beside the records and restored after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedMetadata {
    /// Records last touched up to this time may be missing from the persisted records.
    pub low_watermark: Ticks,
    /// Layouts in force, oldest first.
    pub layouts: Vec<Layout>,
    /// Writes may have been answered without a quorum up to this time: 0 if there were none, [`Ticks::MAX`] while that goes
    /// on, none if the storage is of a program that did not record it. Kept apart from the other fields, whose form
    /// other programs read.
    #[serde(skip)]
    pub unreplicated_until: Option<Ticks>,
}

/// Result of a write or read that the runtime has begun.
///
/// Each result names the operation by its ticket, a number that the runtime assigns when it begins the operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A quorum has acknowledged the write; it may be sent to the database if `decision` permits it.
    QuorumAcknowledged {
        /// The write, by its ticket.
        ticket: u64,
        /// Decision by the known attempts of the write's idempotency key.
        decision: IdempotencyDecision,
    },
    /// The write may be sent although no quorum has acknowledged it: no read quorum counts on this member to replicate
    /// its writes any more.
    WithoutQuorum {
        /// The write, by its ticket.
        ticket: u64,
    },
    /// The write must not be sent: no quorum can be reached, and read quorums may still count on this member to
    /// replicate its writes.
    Rejected {
        /// The write, by its ticket.
        ticket: u64,
        /// Time after which another attempt may succeed.
        retry_after: Ticks,
    },
    /// Replication position that a session's read requires.
    SessionPosition {
        /// The read, by its ticket.
        ticket: u64,
        /// `None` if it is not known exactly; the read then has to see every write up to the present.
        position: Option<Ticks>,
    },
    /// Result of a read of one record.
    RecordRead {
        /// The read, by its ticket.
        ticket: u64,
        /// Merge of all replies, if any replica has the record.
        record: Option<Record>,
        /// Whether a quorum has replied; otherwise acknowledged writes may be missing from `record`.
        exact: bool,
    },
}

impl Completion {
    /// The completed write or read, by its ticket.
    #[must_use]
    pub fn ticket(&self) -> u64 {
        match self {
            Completion::QuorumAcknowledged { ticket, .. }
            | Completion::WithoutQuorum { ticket }
            | Completion::Rejected { ticket, .. }
            | Completion::SessionPosition { ticket, .. }
            | Completion::RecordRead { ticket, .. } => *ticket,
        }
    }
}

/// Why the position of a session could not be read from a quorum.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum InexactReadCause {
    /// The layouts in force are not known.
    LayoutsUnknown,
    /// Replicas have no valid lease from some member, which may be serving without a quorum. Lists the members that
    /// this member has no valid lease from either.
    MembersUnaccounted(Vec<String>),
    /// These replicas have not replied before the read's deadline.
    RepliesLate(Vec<String>),
    /// Fewer replicas than a quorum are reachable.
    ReplicasUnreachable,
}

impl InexactReadCause {
    /// Text of the cause in log lines.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            InexactReadCause::LayoutsUnknown => "layouts in force unknown",
            InexactReadCause::MembersUnaccounted(_) => "members unaccounted for",
            InexactReadCause::RepliesLate(_) => "replica holders late",
            InexactReadCause::ReplicasUnreachable => "too few replica holders reachable",
        }
    }

    /// Members that the cause names; empty for causes without members.
    #[must_use]
    pub fn members(&self) -> &[String] {
        match self {
            InexactReadCause::MembersUnaccounted(names) | InexactReadCause::RepliesLate(names) => {
                names
            }
            InexactReadCause::LayoutsUnknown | InexactReadCause::ReplicasUnreachable => &[],
        }
    }
}

/// State change that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicationEvent {
    /// Older layouts are superseded; only the newest is in force.
    LayoutsConverged {
        /// Version of the newest layout.
        layout_version: u64,
    },
    /// More replicas were lost than the replication factor allows.
    DataLost {
        /// Writes acknowledged up to this time may be lost.
        until: Ticks,
    },
    /// Too few replicas are reachable; writes are served without a quorum.
    QuorumLost,
    /// Enough replicas are reachable again; writes are acknowledged by a quorum.
    QuorumRestored,
    /// Persisting has failed; the member persists nothing until its process is restarted.
    DiskFailed,
    /// A session's position could not be read exactly; reported at most once per lease duration.
    ReadInexact(InexactReadCause),
}

/// Action that the runtime carries out, in the order returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to another member.
    Send {
        /// Name of the receiving member.
        to: String,
        /// Message with its sender.
        envelope: Box<Envelope>,
    },
    /// Persists records and metadata, then calls [`crate::Replicator::on_persisted`] with the sequence number, or
    /// [`crate::Replicator::on_persist_failed`].
    Persist {
        /// Sequence number, which increases by one with each persist action.
        sequence: u64,
        /// Records, in the merged state that the store holds.
        records: Vec<Record>,
        /// Metadata, if it has changed since the last persist action.
        metadata: Option<PersistedMetadata>,
    },
    /// Delivers the result of a write or read to its caller.
    Complete(Completion),
    /// Reports a state change to operators.
    Notify(ReplicationEvent),
}
