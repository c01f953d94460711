//! Idempotency keys: decides whether an attempt may be sent, given all known attempts under its key.
//!
//! # Invariants
//!
//! A retry is sent only to servers that recognize it, and only within the deduplication window of the first attempt. A
//! key whose records may be lost does not count as a new one if the client declares a retry.

use crate::Ticks;
use crate::record::KeyedRequestState;

/// The servers that recognize a retry as such, as far as another gateway can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationDomain {
    /// All servers.
    Global,
    /// The servers of the replica set that had the first attempt.
    ReplicaSet,
    /// The servers of one zone. Records do not name zones, so another gateway can't tell which servers these are.
    Zone,
}

/// An attempt to send a request under an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyClaim {
    /// The hash of tenant and key.
    pub key: u64,
    /// Unique among all attempts.
    pub attempt_id: u64,
    /// The replica set to which the attempt is to be sent.
    pub replica_set: u16,
    /// Which servers recognize a retry.
    pub deduplication: DeduplicationDomain,
    /// How long these servers recognize a retry after the attempt was sent.
    pub deduplication_window: Ticks,
    /// Whether the client has declared the request a retry.
    pub is_retry: bool,
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IdempotencyDecision {
    /// It may be sent: no other attempt is known that can have been executed.
    FirstAttempt,
    /// It may be sent to its replica set as a retry of a request that was first sent at this time.
    Retry(Ticks),
    /// It may not be sent: an earlier attempt may have been executed, and servers may not recognize the retry.
    OutcomeUnknown,
}

/// Decides whether an attempt may be sent.
///
/// `state` is the merged record of the key, which may include this attempt. `key_loss` holds the time up to which
/// records of keys may have been lost, and how long a key is retained.
#[must_use]
pub fn decide(
    claim: &IdempotencyClaim,
    state: Option<&KeyedRequestState>,
    now: Ticks,
    max_clock_skew: Ticks,
    key_loss: (Ticks, Ticks),
) -> IdempotencyDecision {
    let others = state.and_then(|state| state.other_attempts(claim.attempt_id));
    let (lost_until, retention) = key_loss;
    let knows_first = others.is_some_and(|(first, _)| first.is_first);
    let may_be_lost = lost_until > (now - retention).max(0);
    if may_be_lost && !knows_first && (claim.is_retry || others.is_some()) {
        // The record of an attempt before all known ones may have been lost.
        return IdempotencyDecision::OutcomeUnknown;
    }
    let Some((first, single_set)) = others else {
        return IdempotencyDecision::FirstAttempt;
    };
    let recognized = match claim.deduplication {
        DeduplicationDomain::Global => true,
        DeduplicationDomain::ReplicaSet => single_set && first.replica_set == claim.replica_set,
        DeduplicationDomain::Zone => false,
    };
    if recognized && now + max_clock_skew < first.deduplicated_until {
        IdempotencyDecision::Retry(first.first_sent)
    } else {
        IdempotencyDecision::OutcomeUnknown
    }
}
