//! Durable storage of a gateway: a segmented log with checksums, snapshots and recovery.
//!
//! The log holds session positions, primaries and replicated records. Recovery of a file stops at its first torn
//! record, which is reported. What is not recovered counts as never received, so a damaged log breaks no guarantee.
//! [`Disk`] is a trait, so that tests can inject every fault of a disk. [`GroupCommit`] moves the waiting for the disk
//! to a thread of its own.

#![warn(missing_docs)]

mod disk;
mod group_commit;
mod record_frame;
mod recovered_log;
mod segmented_log;
pub mod snapshot;

pub use disk::{Directory, Disk};
pub use group_commit::{CommitStats, GroupCommit};
pub use record_frame::{DecodedFrame, LogRecord, MAX_BODY_LEN, MAX_REPLICATED_LEN, decode, encode};
pub use recovered_log::{RecoveredLog, TornRecord};
pub use segmented_log::{ALL_SESSIONS, LogLimits, SegmentedLog};
