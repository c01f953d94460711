//! The engine's clock: Unix time in ticks, monotonic from the moment it was made.

use std::time::Duration;

use leverpoint_config::settings::ticks_to_duration;
use leverpoint_routing::api::Ticks;
use leverpoint_runtime::{Instant, now, since, unix_time};

const NANOS_PER_TICK: u128 = 100_000;

/// Unix time, read once and carried forward by the monotonic clock.
pub(crate) struct Clock {
    started: Instant,
    unix_at_start: Duration,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Clock {
            started: now(),
            unix_at_start: unix_time(),
        }
    }

    /// Returns the present time, rounded up so that a client's remaining time is never overestimated.
    pub(crate) fn now(&self) -> Ticks {
        let elapsed = self.unix_at_start + since(self.started);
        elapsed.as_nanos().div_ceil(NANOS_PER_TICK) as Ticks
    }

    /// Returns the time of an instant, rounded down.
    pub(crate) fn at(&self, instant: Instant) -> Ticks {
        let elapsed = self.unix_at_start + instant.saturating_duration_since(self.started);
        (elapsed.as_nanos() / NANOS_PER_TICK) as Ticks
    }

    /// Returns the instant of a time; times before the start map to the start.
    pub(crate) fn instant(&self, at: Ticks) -> Instant {
        self.started + ticks_to_duration(at).saturating_sub(self.unix_at_start)
    }
}
