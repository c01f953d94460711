//! Limits how many pages are read concurrently from a replica set, beside the short requests that it serves.
//!
//! A page takes long and has little benefit. Without a limit, many listings at once would delay all short requests,
//! most of all at a load peak. The limit adapts to how many of the short requests are answered in time.
//!
//! # Invariants
//!
//! - A rejected page gets a time after which to retry, at which a slot for it is expected.
//! - A page is always admitted if no other page is being read.

use crate::Ticks;

/// State of the limit of one replica set.
#[derive(Clone, Debug)]
struct ReplicaSetState {
    /// Number of pages that may be read concurrently.
    limit: f64,
    /// Number of pages being read.
    in_flight: u32,
    /// Benefit of the short requests that ended since `adjusted_at`, plus half of the value before.
    benefit: f64,
    /// The part of it from requests that were not answered in time.
    late_benefit: f64,
    /// When the limit was last adjusted.
    adjusted_at: Ticks,
    /// Whether the limit has rejected a page since then.
    limit_reached: bool,
    /// Moving average of the time that reading a page takes.
    page_duration: Ticks,
    /// The latest time for a retry that a rejection carried.
    last_retry_at: Ticks,
}

/// Initial limit. With one page at a time, a single slow server would hold up all listings of the replica set.
const INITIAL_LIMIT: f64 = 2.0;
/// Maximum limit. Of more pages the routing module decides request by request.
const MAX_LIMIT: f64 = 64.0;
/// Time between adjustments of the limit: 250 ms, the time of a few requests, and short compared with a load peak.
const ADJUSTMENT_INTERVAL: Ticks = 2_500;
/// Share of late benefit above which the limit decreases. The tail latency of a replica set without overload makes a
/// smaller share late.
const LATE_SHARE: f64 = 0.05;
/// Minimum benefit since the last adjustment for the share of late benefit to be significant.
const MIN_BENEFIT: f64 = 8.0;

/// Concurrency limits for pages, one for each replica set.
pub struct PageLimiter {
    replica_sets: Vec<ReplicaSetState>,
    max_retry_after: Ticks,
}

impl PageLimiter {
    /// Creates a limiter whose rejections ask for a retry within `max_retry_after`.
    pub fn new(max_retry_after: Ticks) -> PageLimiter {
        PageLimiter {
            replica_sets: Vec::new(),
            max_retry_after,
        }
    }

    /// Returns the state of a replica set, which is created on first use.
    fn replica_set(&mut self, replica_set: usize, now: Ticks) -> &mut ReplicaSetState {
        if self.replica_sets.len() <= replica_set {
            let initial = ReplicaSetState {
                limit: INITIAL_LIMIT,
                in_flight: 0,
                benefit: 0.0,
                late_benefit: 0.0,
                adjusted_at: now,
                limit_reached: false,
                page_duration: 1_000,
                last_retry_at: now,
            };
            self.replica_sets.resize(replica_set + 1, initial);
        }
        &mut self.replica_sets[replica_set]
    }

    /// Records the end of a short request with its benefit, and whether it was answered in time.
    pub fn on_request_ended(
        &mut self,
        replica_set: usize,
        now: Ticks,
        benefit: f64,
        in_time: bool,
    ) {
        let state = self.replica_set(replica_set, now);
        state.benefit += benefit;
        state.late_benefit += if in_time { 0.0 } else { benefit };
        state.adjust(now);
    }

    /// Starts reading a page if the limit allows it.
    ///
    /// `rank` is the ratio, 0 to 1, of the page's benefit per work to that of the best request.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before a retry.
    pub fn try_start_page(
        &mut self,
        replica_set: usize,
        now: Ticks,
        rank: f64,
    ) -> Result<(), Ticks> {
        let max_retry_after = self.max_retry_after;
        let state = self.replica_set(replica_set, now);
        state.adjust(now);
        // Pages of the lowest rank may use half of the limit and leave the rest to pages of higher rank; one page is
        // always admitted.
        let limit = (state.limit * (0.5 + 0.5 * rank.clamp(0.0, 1.0))).max(1.0);
        if f64::from(state.in_flight) < limit {
            state.in_flight += 1;
            return Ok(());
        }
        state.limit_reached = true;
        // Slots become free as pages end; the retries of rejected pages are spread so that each finds a free slot.
        let interval = ((state.page_duration as f64 / limit) as Ticks).max(1);
        state.last_retry_at = state.last_retry_at.max(now) + interval;
        Err((state.last_retry_at - now).clamp(1, max_retry_after))
    }

    /// Records that reading a page has ended after `duration`, successfully or not.
    pub fn on_page_ended(&mut self, replica_set: usize, now: Ticks, duration: Ticks) {
        let state = self.replica_set(replica_set, now);
        state.in_flight = state.in_flight.saturating_sub(1);
        state.page_duration = ((state.page_duration * 7 + duration.max(1)) / 8).max(1);
        state.adjust(now);
    }

    /// Returns the number of pages being read and the limit.
    pub fn usage(&self, replica_set: usize) -> (u32, f64) {
        self.replica_sets
            .get(replica_set)
            .map_or((0, INITIAL_LIMIT), |state| (state.in_flight, state.limit))
    }
}

impl ReplicaSetState {
    /// Adjusts the limit if it is time: it decreases by a third if too much benefit was late, and otherwise increases
    /// by one if the limit was reached.
    fn adjust(&mut self, now: Ticks) {
        if now - self.adjusted_at < ADJUSTMENT_INTERVAL {
            return;
        }
        let is_overloaded =
            self.benefit >= MIN_BENEFIT && self.late_benefit > LATE_SHARE * self.benefit;
        if is_overloaded {
            self.limit = (self.limit * 2.0 / 3.0).max(1.0);
        } else if self.limit_reached {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
        // Half of the benefit is carried over, so that a burst still counts at the next adjustment.
        (self.benefit, self.late_benefit) = (self.benefit / 2.0, self.late_benefit / 2.0);
        (self.adjusted_at, self.limit_reached) = (now, false);
    }
}
