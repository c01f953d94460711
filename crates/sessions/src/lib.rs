//! Read-your-writes consistency for sessions: which replication position a session's read must see, and how long it may
//! wait for a replica.
//!
//! A gateway discards its knowledge of sessions when an epoch ends, at a restart or a step of the wall clock, and that
//! of one session when it may have been at another gateway. An unknown session counts as having written up to the
//! current instant, so that missing knowledge only ever raises a requirement. The crate performs no I/O and reads no
//! clock; the server that is asked is chosen by `leverpoint-routing`.

#![warn(missing_docs)]

mod clock_skew;
mod position_sketch;
mod replica_wait;
mod session_index;
mod session_token;
mod state;
mod tracker;

pub use clock_skew::ClockSkew;
pub use leverpoint_routing::api::Ticks;
pub use leverpoint_signing::{Key, Keys};
pub use position_sketch::PositionSketch;
pub use replica_wait::ReplicaWait;
pub use session_index::{SessionEntry, SessionIndex};
pub use session_token::{SessionToken, TOKEN_LENGTH};
pub use state::{ReadRequirement, SessionEvent, SessionState, next_state};
pub use tracker::{
    RequiredPosition, SessionConfig, SessionMetrics, SessionPosition, SessionTracker,
};

/// Hash of a session by its replica set and key, never 0.
///
/// `secret` keeps clients from choosing keys whose hashes collide.
pub fn session_hash(secret: u64, set: u16, key: &str) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::with_seed(secret);
    hash.update(&set.to_le_bytes());
    hash.update(key.as_bytes());
    // 0 marks a free slot of the index.
    hash.digest().max(1)
}
