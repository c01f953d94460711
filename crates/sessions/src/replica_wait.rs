//! How long a read that must see the current instant waits for a replica, and how many such reads go to the primary of
//! their replica set instead.
//!
//! # Invariants
//!
//! A read never waits longer than a fixed fraction of the time left to its latency objective.

use fastrand::Rng;

use crate::Ticks;

/// Estimates for one replica set.
#[derive(Clone, Copy, Debug)]
struct SetEstimate {
    /// Time that the replicas recently needed to catch up with an instant: a decaying maximum.
    catch_up_time: Ticks,
    /// Tokens of reads that the primary may serve in place of the replicas.
    primary_budget: f64,
    budget_refilled_at: Ticks,
    /// Session reads a second, as an exponentially decaying average.
    rate: f64,
    rate_updated_at: Ticks,
}

/// Initial estimate of the catch-up time, in ticks: replication within a data centre and one timer interval.
const INITIAL_CATCH_UP: Ticks = 200;
/// Fraction of the time left to the latency objective that a read may wait.
const MAX_WAIT_FRACTION: f64 = 0.4;
/// Fraction of a set's session reads that may go to its primary in place of a replica that is about to catch up.
const PRIMARY_READ_SHARE: f64 = 0.1;
/// Lower bound of the rate of such reads, for sets with few reads.
const MIN_PRIMARY_READS_PER_SECOND: f64 = 2.0;
const TICKS_PER_SECOND: f64 = 10_000.0;

/// Estimates of the wait for replicas, by replica set.
pub struct ReplicaWait {
    sets: Vec<SetEstimate>,
}

impl Default for ReplicaWait {
    fn default() -> Self {
        ReplicaWait::new()
    }
}

impl ReplicaWait {
    /// Starts without any replica set; sets are added when they are first used.
    pub fn new() -> ReplicaWait {
        ReplicaWait { sets: Vec::new() }
    }

    fn estimate(&mut self, set: usize, now: Ticks) -> &mut SetEstimate {
        if self.sets.len() <= set {
            let initial_estimate = SetEstimate {
                catch_up_time: INITIAL_CATCH_UP,
                primary_budget: MIN_PRIMARY_READS_PER_SECOND,
                budget_refilled_at: now,
                rate: 0.0,
                rate_updated_at: now,
            };
            self.sets.resize(set + 1, initial_estimate);
        }
        &mut self.sets[set]
    }

    /// Records the arrival of a session read.
    pub fn on_session_read(&mut self, set: usize, now: Ticks) {
        let estimate = self.estimate(set, now);
        let elapsed_seconds = (now - estimate.rate_updated_at).max(0) as f64 / TICKS_PER_SECOND;
        estimate.rate = estimate.rate * (-elapsed_seconds).exp() + 1.0;
        estimate.rate_updated_at = now;
        estimate.primary_budget = (estimate.primary_budget
            + (now - estimate.budget_refilled_at).max(0) as f64 / TICKS_PER_SECOND
                * (estimate.rate * PRIMARY_READ_SHARE).max(MIN_PRIMARY_READS_PER_SECOND))
        .min((estimate.rate * PRIMARY_READ_SHARE).max(MIN_PRIMARY_READS_PER_SECOND));
        estimate.budget_refilled_at = now;
    }

    /// Time until which a read that must see the current instant waits for a replica.
    ///
    /// Waits are randomized, so that reads that arrive together do not reach the primary together. If replicas need
    /// longer to catch up than a read may wait, the reads within the primary's budget do not wait and go to it at once.
    pub fn wait_until(
        &mut self,
        set: usize,
        now: Ticks,
        objective_left: Ticks,
        random: &mut Rng,
    ) -> Ticks {
        let max_wait = (objective_left as f64 * MAX_WAIT_FRACTION) as Ticks;
        let estimate = self.estimate(set, now);
        let jitter = 0.75 + 0.5 * random.f64();
        // Twice the estimate, as a wait that ends just before the replica has caught up is useless.
        let desired_wait = (estimate.catch_up_time as f64 * 2.0 * jitter) as Ticks;
        if desired_wait > max_wait && estimate.primary_budget >= 1.0 {
            estimate.primary_budget -= 1.0;
            return now;
        }
        now + desired_wait
            .min((max_wait as f64 * jitter / 1.25) as Ticks)
            .max(0)
    }

    /// Records that a replica had caught up with the instant of a read `elapsed` ticks after the read's arrival.
    pub fn on_caught_up(&mut self, set: usize, now: Ticks, elapsed: Ticks) {
        let estimate = self.estimate(set, now);
        // Rises at once and falls by an eighth of the difference: too short a wait costs the primary a read, too long a
        // wait only time.
        estimate.catch_up_time = if elapsed > estimate.catch_up_time {
            elapsed
        } else {
            estimate.catch_up_time - (estimate.catch_up_time - elapsed) / 8
        };
    }

    /// Records that a replica had not caught up `elapsed` ticks after the read's arrival.
    pub fn on_not_caught_up(&mut self, set: usize, now: Ticks, elapsed: Ticks) {
        let estimate = self.estimate(set, now);
        estimate.catch_up_time = estimate.catch_up_time.max((elapsed * 3 / 2).min(20_000));
    }

    /// Estimated catch-up time of a set's replicas, in ticks.
    pub fn catch_up_time(&self, set: usize) -> Ticks {
        self.sets
            .get(set)
            .map_or(INITIAL_CATCH_UP, |estimate| estimate.catch_up_time)
    }
}
