//! The engine's interface to replicated gateway state: session positions, idempotency keys, primaries and draining
//! servers.
//!
//! Of a request, replica holders learn only the hashes of its session and key, and when and where it was executed.

pub use leverpoint_replication::{DeduplicationDomain, IdempotencyClaim, WriteOutcome};
use leverpoint_routing::api::Ticks;

/// The decision on a write before it is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDecision {
    /// The write may be routed.
    Proceed {
        /// When a write with the same idempotency key was first attempted through another gateway; none if it was not.
        first_attempt_at: Option<Ticks>,
        /// Latest time at which the write may arrive at a server; none if there is no limit.
        arrive_by: Option<Ticks>,
    },
    /// The write may have been executed through another gateway and must not be attempted again.
    PossiblyExecuted,
    /// The write is shed, with the time to wait before a retry.
    Shed(Ticks),
}

/// State of this gateway that is replicated to other members.
///
/// Implementations may call a callback before the method that takes it returns.
pub trait ReplicatedState {
    /// Registers a write with its replica holders, and calls `on_decision` with the ticket and the decision after
    /// `max_wait` at the latest. Returns the ticket, which is to be passed to [`Self::finish_write`].
    fn begin_write(
        &self,
        session: u64,
        claim: Option<IdempotencyClaim>,
        max_wait: Ticks,
        on_decision: Box<dyn FnOnce(u64, WriteDecision)>,
    ) -> u64;
    /// Reports the outcome of a write to its replica holders.
    fn finish_write(&self, ticket: u64, outcome: WriteOutcome);
    /// Looks up the position of a session's last write at its replica holders, and calls `on_position` with it after
    /// `max_wait` at the latest; with none if it is not known exactly.
    fn session_position(
        &self,
        session: u64,
        max_wait: Ticks,
        on_position: Box<dyn FnOnce(Option<Ticks>)>,
    );
    /// Records that a server has reported itself as the primary of its replica set at the time `at`.
    fn record_primary(&self, set: u16, server: &str, at: Ticks);
    /// Records the names of the servers that drain according to the endpoint list of `revision`. `drained` must be
    /// sorted.
    fn record_drained_servers(&self, revision: u64, drained: Vec<String>);
}
