//! Ids of writes that may have been executed and whose clients left without an answer, remembered so that none of them runs
//! again.
//!
//! Each request has an id of its own. A client that leaves and sends the same id once more must not cause the same write
//! twice. A client that has its answer knows what became of the write.
//!
//! # Invariants
//!
//! The number of ids is bounded; the oldest are forgotten first.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

use crate::api::{Idempotency, Ticks};

/// Most ids remembered: a quarter of a MiB for their hashes and times.
const MAX_IDS: usize = 16_384;
/// Time for which an id is remembered: far longer than a client waits before it sends a request again.
const RETENTION: Ticks = 60 * 10_000;

/// How a request has ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd {
    /// What executing the request again would do.
    pub idempotency: Idempotency,
    /// Whether any attempt may have executed it.
    pub possibly_executed: bool,
    /// Whether its client disconnected or cancelled it before it had an answer.
    pub client_left: bool,
}

impl RequestEnd {
    /// Whether executing the request again may do harm that its client does not know of.
    fn must_not_run_again(self) -> bool {
        self.client_left && self.possibly_executed && self.idempotency != Idempotency::Idempotent
    }
}

/// Hashes of the ids, with the time at which each write ended.
pub struct ExecutedIds {
    hasher: RandomState,
    by_age: VecDeque<(Ticks, u64)>,
    hashes: HashSet<u64>,
}

impl Default for ExecutedIds {
    fn default() -> ExecutedIds {
        ExecutedIds {
            hasher: RandomState::new(),
            by_age: VecDeque::new(),
            hashes: HashSet::new(),
        }
    }
}

impl ExecutedIds {
    /// Records that a request has ended, and remembers its id if it must not run again.
    pub fn on_request_finished(&mut self, now: Ticks, id: &str, end: RequestEnd) {
        self.expire(now);
        if !end.must_not_run_again() {
            return;
        }
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            self.by_age.push_back((now, hash));
        }
        if self.by_age.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Whether a request with this id must not run again.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&self.hasher.hash_one(id))
    }

    /// Number of ids remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether no id is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    fn expire(&mut self, now: Ticks) {
        while self
            .by_age
            .front()
            .is_some_and(|(ended_at, _)| now - ended_at > RETENTION)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, hash)) = self.by_age.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}
