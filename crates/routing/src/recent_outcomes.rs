//! Recent outcomes of attempts, and the shortage of capacity that they indicate.

use crate::primary_tracking::Role;

/// Late attempts, and attempts in all, that are added to the counts as a prior.
const PRIOR_LATE: f64 = 4.0;
const PRIOR_FINISHED: f64 = 40.0;
/// Linear function from the share of late attempts to the shortage: from 0 at 4 % to 1 at 10 %.
const SHORTAGE_SLOPE: f64 = 16.0;
const SHORTAGE_OFFSET: f64 = 0.6;
/// Factor on the counts at every decay, once a second.
const OUTCOME_DECAY: f64 = 0.8;

/// Counts of attempts, which decay over time.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCount {
    finished: f64,
    /// Those of them that timed out, were rejected as overload or got no connection.
    late: f64,
}

impl OutcomeCount {
    fn decay(&mut self) {
        self.finished *= OUTCOME_DECAY;
        self.late *= OUTCOME_DECAY;
    }
}

/// Counts of recent attempts, at primaries and at replicas.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentOutcomes {
    primaries: OutcomeCount,
    replicas: OutcomeCount,
}

impl RecentOutcomes {
    fn count_mut(&mut self, role: Role) -> &mut OutcomeCount {
        match role {
            Role::Primary => &mut self.primaries,
            Role::Replica => &mut self.replicas,
        }
    }

    /// Counts an attempt that has ended; a negative weight takes back an earlier one.
    pub fn record(&mut self, role: Role, late: bool, weight: f64) {
        let count = self.count_mut(role);
        count.finished = (count.finished + weight).max(0.0);
        count.late = (count.late + if late { weight } else { 0.0 }).max(0.0);
    }

    /// Records late attempts that had not been counted yet.
    pub fn record_late(&mut self, role: Role, weight: f64) {
        let count = self.count_mut(role);
        count.finished += weight;
        count.late += weight;
    }

    /// Decays the counts; called once a second.
    pub fn decay(&mut self) {
        self.primaries.decay();
        self.replicas.decay();
    }

    /// Share of the attempts at primaries that ended in time, with `prior` more assumed that did.
    #[must_use]
    pub fn primary_in_time(&self, prior: f64) -> f64 {
        1.0 - self.primaries.late / (self.primaries.finished + prior)
    }

    /// Shortage of capacity, from 0 to 1. A shortage is assumed until enough attempts have ended in
    /// time.
    #[must_use]
    pub fn shortage(&self) -> f64 {
        let finished = self.primaries.finished + self.replicas.finished;
        let late = self.primaries.late + self.replicas.late;
        let late_share = (late + PRIOR_LATE) / (finished + PRIOR_FINISHED);
        (late_share * SHORTAGE_SLOPE - SHORTAGE_OFFSET).clamp(0.0, 1.0)
    }
}
