//! Rate limit on accepting connections: a burst at once, then a fixed rate, and less while accepting delays other work.
//!
//! No connection is rejected: one that comes too early waits in the kernel's queue.

use crate::Ticks;
use crate::rate_limiter::RateLimiter;

/// Connections accepted at once before the rate applies.
const BURST: u32 = 32;

/// Token bucket of accepted connections.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRateLimiter(RateLimiter);

impl Default for ArrivalRateLimiter {
    fn default() -> ArrivalRateLimiter {
        ArrivalRateLimiter(RateLimiter::new(BURST))
    }
}

impl ArrivalRateLimiter {
    /// Records an accepted connection and returns the wait before the next accept, in ticks.
    ///
    /// `timer_delay` is how much longer than requested the wait before this accept took.
    pub fn on_accepted(&mut self, now: Ticks, per_second: u32, timer_delay: Ticks) -> Ticks {
        self.0.on_event(now, per_second, timer_delay)
    }
}
