//! Membership of a fleet of gateways: failure detection and gossip in the manner of SWIM, and agreement on a layout by
//! single-decree Paxos.
//!
//! Three kinds of knowledge are kept apart:
//!
//! - *member status*: each member's own estimate of who is alive, quick to change ([`failure_detector`], [`gossip`],
//!   [`membership_table`])
//! - *layout*: a numbered version with its holders, changed by agreement alone and never by a status ([`layout`],
//!   [`consensus`])
//! - *incarnation*: which process uses a name, and with which storage ([`member_info`])
//!
//! The crate does no I/O and reads no clock: each call passes in the time, random numbers follow from a seed, and each
//! call returns the [`Action`]s to carry out.

#![warn(missing_docs)]

pub mod action;
pub mod config;
pub mod consensus;
pub mod failure_detector;
pub mod gossip;
pub mod layout;
pub mod member;
pub mod member_info;
pub mod member_status;
pub mod membership_table;
pub mod message;

pub use action::{
    Action, Destination, MemberSummary, MembershipCounters, MembershipEvent, MembershipStatus,
    PersistedState,
};
pub use config::MembershipConfig;
pub use layout::{Layout, ReplicaHolder};
pub use member::Member;
pub use member_info::{Incarnation, MemberInfo, MemberUpdate};
pub use member_status::MemberStatus;
pub use message::{Body, Envelope};

/// A point or span of monotonic time, in units of 100 µs.
pub type Ticks = i64;
