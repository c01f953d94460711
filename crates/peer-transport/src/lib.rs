//! Transport between the processes of a fleet: signed and numbered frames, bounded queues, connections opened on
//! demand, and the tasks that run one member and its replication on top of them.
//!
//! What is sent is decided in `leverpoint-membership` and `leverpoint-replication`. This crate decides only whether a
//! received frame is valid: one that is incomplete, not signed for its connection, of another fleet, or not newer than
//! the last one is dropped and counted.

#![warn(missing_docs)]

pub mod admin_client;
mod connection;
pub mod connections;
pub mod frame;
pub mod membership_runtime;
pub mod replication_runtime;
pub mod secure_channel;

pub use connections::{Connections, FleetConfig, TransportCounters};
pub use frame::{AdminRequest, AdminResponse};
pub use membership_runtime::{MemberRuntime, MemberStartup, ReplicationService, StateStore};
pub use replication_runtime::{ReplicationRuntime, ReplicationStore, WriteClearance};
pub use secure_channel::{Direction, SecureChannel};
