//! The engine's clock: Unix time in ticks, monotonic since the clock's creation.

use std::time::Duration;

use leverpoint_config::settings::ticks_to_duration;
use leverpoint_routing::api::Ticks;
use leverpoint_runtime::{Instant, now, since, unix_time};

const NANOS_PER_TICK: u128 = 100_000;

/// Unix time that is read once and advanced by the monotonic clock, so that steps of the wall clock don't affect it.
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

    /// Returns the current time, rounded up so that a client's remaining time is never overestimated.
    pub(crate) fn now(&self) -> Ticks {
        let elapsed = self.unix_at_start + since(self.started);
        elapsed.as_nanos().div_ceil(NANOS_PER_TICK) as Ticks
    }

    /// Converts an instant to ticks, rounded down; instants before the clock's creation count as its creation.
    pub(crate) fn at(&self, instant: Instant) -> Ticks {
        let elapsed = self.unix_at_start + instant.saturating_duration_since(self.started);
        (elapsed.as_nanos() / NANOS_PER_TICK) as Ticks
    }

    /// Converts ticks to an instant; times before the clock's creation count as its creation.
    pub(crate) fn instant(&self, at: Ticks) -> Instant {
        self.started + ticks_to_duration(at).saturating_sub(self.unix_at_start)
    }
}
