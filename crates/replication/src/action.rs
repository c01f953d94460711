//! What a member of the replicated state asks its runtime to do, and the results it hands back.

use leverpoint_membership::layout::Layout;
use serde::{Deserialize, Serialize};

use crate::Ticks;
use crate::idempotency::IdempotencyDecision;
use crate::message::Envelope;
use crate::record::Record;

/// The member that this process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// Its name in the layout.
    pub name: String,
    /// The incarnation of the process.
    pub incarnation: u64,
    /// The number of the durable state that it holds.
    pub storage_id: u64,
}

/// What outlives the process beside its records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedMetadata {
    /// What lies before it may be missing among the records.
    pub low_watermark: Ticks,
    /// The layouts in force, oldest first.
    pub layouts: Vec<Layout>,
}

/// The result of a write or a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A quorum has the write: it may be sent to the database, unless its key decides otherwise.
    QuorumAcknowledged {
        /// The ticket of the write.
        ticket: u64,
        /// What its idempotency key decides.
        decision: IdempotencyDecision,
    },
    /// The write may be sent; no quorum has it, and no read quorum relies on this member.
    WithoutQuorum {
        /// The ticket of the write.
        ticket: u64,
    },
    /// The write may not be sent yet: others still rely on a quorum that can't be had.
    Rejected {
        /// The ticket of the write.
        ticket: u64,
        /// After how long another attempt may succeed.
        retry_after: Ticks,
    },
    /// The position that a session's read requires.
    SessionPosition {
        /// The ticket of the read.
        ticket: u64,
        /// None where it is not known exactly: the read requires the present.
        position: Option<Ticks>,
    },
    /// A record that was read.
    RecordRead {
        /// The ticket of the read.
        ticket: u64,
        /// What is known of it.
        record: Option<Record>,
        /// Whether a quorum has answered.
        exact: bool,
    },
}

impl Completion {
    /// The ticket of the write or read that it completes.
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

/// Why no quorum of replicas has told the position of a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum InexactReadCause {
    /// The layouts in force are not known.
    LayoutsUnknown,
    /// Replicas can't account for a member, which may be answering without a quorum; those that this member can't
    /// account for either.
    MembersUnaccounted(Vec<String>),
    /// These replicas have not replied within the read's time.
    RepliesLate(Vec<String>),
    /// Too few replicas can be asked.
    ReplicasUnreachable,
}

impl InexactReadCause {
    /// The cause as it is logged.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            InexactReadCause::LayoutsUnknown => "layouts in force unknown",
            InexactReadCause::MembersUnaccounted(_) => "members unaccounted for",
            InexactReadCause::RepliesLate(_) => "replica holders late",
            InexactReadCause::ReplicasUnreachable => "too few replica holders reachable",
        }
    }

    /// The members that the cause is about.
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

/// A change that operators are told of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicationEvent {
    /// Older layouts are superseded; the newest is in force alone.
    LayoutsConverged {
        /// Its version.
        layout_version: u64,
    },
    /// More replicas were lost than the replication factor allows.
    DataLost {
        /// What was acknowledged up to then may be lost.
        until: Ticks,
    },
    /// Too few replicas are in touch: writes are answered without a quorum.
    QuorumLost,
    /// Enough replicas are in touch again.
    QuorumRestored,
    /// The disk persists nothing any more.
    DiskFailed,
    /// A session's read requires the present; reported at most once a lease.
    ReadInexact(InexactReadCause),
}

/// What the runtime is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to a member.
    Send {
        /// The member's name.
        to: String,
        /// The message.
        envelope: Box<Envelope>,
    },
    /// Persists these, then calls `on_persisted` with the sequence number, or `on_persist_failed`.
    Persist {
        /// Rises with each such action.
        sequence: u64,
        /// The records, as they are held.
        records: Vec<Record>,
        /// The metadata, where it has changed.
        metadata: Option<PersistedMetadata>,
    },
    /// Hands a result to whoever waits for it.
    Complete(Completion),
    /// Tells operators of a change.
    Notify(ReplicationEvent),
}
