//! Lease of the endpoint list: how long the list may be used while discovery can be reached and
//! refuses a newer one.
//!
//! A change of the list counts as delivered 6 s after discovery had it, whether or not a poll has
//! returned it, and after the drain grace nothing may be sent to a draining server. A gateway
//! without a newer list cannot know which servers are draining, so it then sends nothing until it
//! has one. While discovery is unreachable nothing counts as delivered, and the list stays valid.
//! Where lists are pushed there is no lease, as an agent refuses no calls.
//!
//! No I/O and no clock: times are ticks of 100 µs.

use crate::api::{MILLISECOND, Ticks};

/// Time after which a change counts as delivered, from when discovery had it and could be reached.
const DELIVERED_AFTER: Ticks = 6_000 * MILLISECOND;
/// Time after which the changes that discovery has count as delivered, from when the configuration
/// named another address for it.
const DELIVERED_AFTER_MOVE: Ticks = 4_000 * MILLISECOND;
/// Safety margin: a process may be held up for 0.15 s between reading its clock and writing, and as
/// long again while a connection comes up.
const SAFETY_MARGIN: Ticks = 300 * MILLISECOND;

/// How long the endpoint list may be used.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLease {
    /// Drain grace less the safety margin; `None` where lists are pushed.
    grace: Option<Ticks>,
    /// When the list was last confirmed, or when the process started.
    confirmed_at: Option<Ticks>,
    /// When discovery moved, if it has not confirmed the list since.
    moved_at: Option<Ticks>,
    /// When discovery was last unreachable, before its first refusal since the list was confirmed.
    unreachable_at: Option<Ticks>,
    /// Whether discovery has refused a poll since the list was confirmed.
    refused: bool,
}

impl EndpointLease {
    /// Creates the lease for lists that are pushed or polled; `drain_grace` is how long a draining
    /// server may get new attempts.
    #[must_use]
    pub fn new(pushed: bool, drain_grace: Ticks) -> Self {
        EndpointLease {
            grace: (!pushed).then_some(drain_grace - SAFETY_MARGIN),
            confirmed_at: None,
            moved_at: None,
            unreachable_at: None,
            refused: false,
        }
    }

    /// Records that the process has started, by `now` at the latest.
    pub fn on_process_started(&mut self, now: Ticks) {
        self.confirmed_at.get_or_insert(now);
    }

    /// Records that discovery has confirmed the list.
    pub fn on_confirmed(&mut self, now: Ticks) {
        self.confirmed_at = Some(now);
        self.moved_at = None;
        self.unreachable_at = None;
        self.refused = false;
    }

    /// Records that a new configuration names another address of discovery.
    pub fn on_discovery_moved(&mut self, now: Ticks) {
        self.moved_at.get_or_insert(now);
    }

    /// Records that discovery was unreachable at a time; the changes that it had by then count as
    /// delivered only the full delay after that time.
    pub fn on_unreachable(&mut self, at: Ticks) {
        if !self.refused {
            self.unreachable_at = self.unreachable_at.max(Some(at));
        }
    }

    /// Records that discovery was reached and refused a poll.
    pub fn on_refused(&mut self) {
        self.refused = true;
    }

    /// When the lease expires; `None` while nothing counts as delivered.
    #[must_use]
    pub fn expires_at(&self) -> Option<Ticks> {
        let confirmed_at = self.confirmed_at.filter(|_| self.refused)?;
        let delivered_at = self.reachable_since(confirmed_at) + DELIVERED_AFTER;
        let delivered_after_move_at = self.moved_at.map_or(Ticks::MAX, |moved_at| {
            self.reachable_since(moved_at) + DELIVERED_AFTER_MOVE
        });
        self.grace
            .map(|grace| delivered_at.min(delivered_after_move_at) + grace)
    }

    /// Whether the lease has expired at `now`, so nothing may be sent.
    #[must_use]
    pub fn is_expired(&self, now: Ticks) -> bool {
        self.expires_at().is_some_and(|end| now >= end)
    }

    fn reachable_since(&self, from: Ticks) -> Ticks {
        self.unreachable_at.map_or(from, |at| at.max(from))
    }
}
