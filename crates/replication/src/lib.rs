//! Replicates the state that a gateway holds to further members, so that the loss of a machine with its disk loses
//! nothing that a quorum has acknowledged.
//!
//! A record is a value with a commutative, associative and idempotent merge ([`record`]). Its replicas follow from the
//! agreed layouts in force ([`placement`], [`layout_history`]). A write is acknowledged once every later read quorum
//! includes a replica that has it ([`write_quorum`]); a read counts a replica only with the storage id by which the
//! layout names it ([`read_quorum`]). Leases show which members may be serving without a quorum. Whether a retry may
//! be sent follows from all known attempts of its idempotency key ([`idempotency`]). [`Replicator`] combines these
//! into the state machine of one member.
//!
//! The package does no I/O and reads no clock: each call is given the time in whole ticks of 100 µs.

#![warn(missing_docs)]

pub mod action;
mod anti_entropy;
pub mod config;
mod coordinator;
mod degraded_mode;
pub mod hinted_handoff;
pub mod idempotency;
pub mod layout_history;
mod lease;
pub mod local_sessions;
mod member_state;
pub mod merkle;
pub mod message;
mod outbound_queue;
mod pending_write;
mod persistence;
pub mod placement;
mod read_coordinator;
pub mod read_quorum;
pub mod record;
pub mod record_store;
mod repair_job;
pub mod replicator;
mod request_handler;
pub mod status;
mod write_coordinator;
pub mod write_quorum;

pub use action::{
    Action, Completion, InexactReadCause, LocalMember, PersistedMetadata, ReplicationEvent,
};
pub use config::ReplicationConfig;
pub use idempotency::{DeduplicationDomain, IdempotencyClaim, IdempotencyDecision};
pub use message::{Envelope, Message, RejectReason};
pub use pending_write::WriteOutcome;
pub use placement::{ReplicaId, ReplicationFactor, replicas};
pub use read_quorum::{ReadQuorum, ReadStatus, ReplicaReply};
pub use record::{
    EndpointSummary, KeyedAttempt, KeyedOutcome, KeyedRequestState, OpenWrites, PrimaryRole,
    Record, RecordKey, RecordValue, SessionWrites,
};
pub use replicator::{RecoveredState, Replicator};
pub use status::{QueueSizes, ReplicationCounters, ReplicationStatus};
pub use write_quorum::{WriteQuorum, WriteQuorumEffect, WriteQuorumState};

/// A point in time since the Unix epoch, or a duration, in whole ticks of 100 µs.
pub type Ticks = i64;
