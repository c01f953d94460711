//! Rate limit on accepting connections: a burst at once, then a fixed rate, and less while accepting delays other work.
//!
//! No connection is rejected: one that comes too early waits in the kernel's queue.

use crate::Ticks;

/// Connections accepted at once before the rate applies.
const BURST: i64 = 32;

/// Timer granularity, in ticks: a timer that fires this late is no sign of load.
const TIMER_GRANULARITY: Ticks = 15;
/// Multiple of a timer's delay that is added to the wait before the next accept, so that accepting takes a fifth of the
/// time.
const DELAY_FACTOR: Ticks = 4;
/// Longest wait between two accepts while timers are late, in ticks.
const MAX_DELAY: Ticks = 500;

/// Token bucket of accepted connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRateLimiter {
    /// Time at which all connections accepted so far would have arrived at the rate, in millionths of a tick.
    scheduled_until: i128,
}

impl ArrivalRateLimiter {
    /// Records an accepted connection and returns the wait before the next accept, in ticks.
    ///
    /// `timer_delay` is how much longer than requested the wait before this accept took.
    pub fn on_accepted(&mut self, now: Ticks, per_second: u32, timer_delay: Ticks) -> Ticks {
        let (now, interval) = (
            i128::from(now) * 1_000_000,
            10_000 * 1_000_000 / i128::from(per_second.max(1)),
        );
        self.scheduled_until = self.scheduled_until.max(now) + interval;
        let ahead = self.scheduled_until - now - interval * i128::from(BURST);
        let wait = (ahead.max(0) / 1_000_000) as Ticks;
        if wait > 0 && timer_delay > TIMER_GRANULARITY {
            (wait + DELAY_FACTOR * timer_delay).min(MAX_DELAY)
        } else {
            wait
        }
    }
}
