//! Replication positions of the servers, as reported and as believed between reports.

use crate::api::{MILLISECOND, Ticks};

/// How long a replica gets no reads with a required position after it has held one in vain.
const STALE_PERIOD: Ticks = 5000 * MILLISECOND;
/// Time without a report after which half of a replica's lag is taken to be made up.
const LAG_HALF_LIFE: Ticks = 2000 * MILLISECOND;
const MAX_HALVINGS: i64 = 40;

/// What is known of a server's replication position.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaPosition {
    pub(crate) reported: Option<Ticks>,
    stale_until: Ticks,
}

impl ReplicaPosition {
    /// Takes over a reported position, if it is newer.
    pub fn on_report(&mut self, position: Option<Ticks>) {
        self.reported = self.reported.max(position);
    }

    /// Records that the replica has held a read in vain.
    pub fn on_hold_expired(&mut self, now: Ticks) {
        self.stale_until = now + STALE_PERIOD;
    }

    /// Records that the server was started anew.
    pub fn on_restart(&mut self) {
        self.stale_until = 0;
    }

    /// Whether the replica gets no reads with a required position.
    #[must_use]
    pub fn is_stale(&self, now: Ticks) -> bool {
        self.stale_until > now
    }

    /// Position that the server is taken to have now: its last reported lag, halved for every
    /// half-life since.
    ///
    /// `reported_at` is when it last reported. A replica that may have caught up is therefore tried
    /// again.
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
