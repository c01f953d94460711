//! Replication positions of the servers, as reported and as estimated between reports.

use crate::api::{MILLISECOND, Ticks};

/// How long a replica gets no reads with a required position after it has rejected one at the end
/// of its hold.
const STALE_PERIOD: Ticks = 5000 * MILLISECOND;
/// Time without a report after which a replica is assumed to have made up half of its lag.
const LAG_HALF_LIFE: Ticks = 2000 * MILLISECOND;
/// Limit of the halvings of a lag, as a shift by 64 bits or more overflows.
const MAX_HALVINGS: i64 = 40;

/// What is known of a server's replication position.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaPosition {
    pub(crate) reported: Option<Ticks>,
    stale_until: Ticks,
}

impl ReplicaPosition {
    /// Records a reported position, if it is newer than the last one.
    pub fn on_report(&mut self, position: Option<Ticks>) {
        self.reported = self.reported.max(position);
    }

    /// Records that the replica has held a read back for its full hold and rejected it.
    pub fn on_hold_expired(&mut self, now: Ticks) {
        self.stale_until = now + STALE_PERIOD;
    }

    /// Records that the server has restarted.
    pub fn on_restart(&mut self) {
        self.stale_until = 0;
    }

    /// Whether the replica gets no reads with a required position, as a hold has expired lately.
    #[must_use]
    pub fn is_stale(&self, now: Ticks) -> bool {
        self.stale_until > now
    }

    /// Estimate of the current position: the last reported lag, halved for every half-life since
    /// the report at `reported_at`; `now` where there is no report.
    ///
    /// As the estimated lag shrinks, a replica that may have caught up is tried again.
    #[must_use]
    pub fn believed(&self, reported_at: Option<Ticks>, now: Ticks) -> Ticks {
        let (Some(position), Some(at)) = (self.reported, reported_at) else {
            return now;
        };
        let lag = (at - position).max(0);
        let halvings = ((now - at) / LAG_HALF_LIFE).min(MAX_HALVINGS);
        (now - (lag >> halvings)).max(position)
    }
}
