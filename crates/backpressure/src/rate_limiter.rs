//! Token bucket of events that may come late but are never rejected: a burst at once, then a fixed rate, and less while
//! the events delay other work.

use crate::Ticks;

/// Timer granularity, in ticks: a timer that fires this late is no sign of load.
const TIMER_GRANULARITY: Ticks = 15;
/// Multiple of a timer's delay that is added to the wait before the next event, so that the events take a fifth of the
/// time.
const DELAY_FACTOR: Ticks = 4;
/// Longest wait between two events while timers are late, in ticks.
const MAX_DELAY: Ticks = 500;

/// Rate limiter of one kind of event.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    /// Events at once before the rate applies.
    burst: u32,
    /// Time at which all events so far would have come at the rate, in millionths of a tick.
    scheduled_until: i128,
}

impl RateLimiter {
    /// Creates a limiter that lets `burst` events pass at once.
    pub fn new(burst: u32) -> RateLimiter {
        RateLimiter {
            burst,
            scheduled_until: 0,
        }
    }

    /// Records an event and returns the wait before the next one, in ticks.
    ///
    /// `timer_delay` is how much longer than requested the wait before this event took.
    pub fn on_event(&mut self, now: Ticks, per_second: u32, timer_delay: Ticks) -> Ticks {
        let (now, interval) = (
            i128::from(now) * 1_000_000,
            10_000 * 1_000_000 / i128::from(per_second.max(1)),
        );
        self.scheduled_until = self.scheduled_until.max(now) + interval;
        let ahead = self.scheduled_until - now - interval * i128::from(self.burst);
        let wait = (ahead.max(0) / 1_000_000) as Ticks;
        if wait > 0 && timer_delay > TIMER_GRANULARITY {
            (wait + DELAY_FACTOR * timer_delay).min(MAX_DELAY.max(wait))
        } else {
            wait
        }
    }
}
