//! Detector of server responses that cannot be complete in time.
//!
//! It judges the response alone; whether the request is retried is decided by `leverpoint-routing`.

use crate::Ticks;
use crate::throughput::ThroughputMeter;

/// Upper bound of the settling time, in ticks: the time from the first byte after which a response's rate is judged.
const MAX_SETTLING_TIME: Ticks = 3_000;
/// The settling time is the attempt's timeout divided by this.
const SETTLING_DIVISOR: Ticks = 8;
/// Number of checks within the settling time.
const CHECKS: Ticks = 3;
/// Length of the shortest possible response, in bytes.
const MIN_RESPONSE: usize = 62;

/// Compares the throughput of one response with its deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowResponseDetector {
    meter: ThroughputMeter,
    settling_time: Ticks,
}

impl SlowResponseDetector {
    /// Creates a detector for an attempt with this timeout, in ticks.
    pub fn new(timeout: Ticks) -> SlowResponseDetector {
        SlowResponseDetector {
            meter: ThroughputMeter::default(),
            settling_time: (timeout / SETTLING_DIVISOR).clamp(CHECKS, MAX_SETTLING_TIME),
        }
    }

    /// Time between two checks, in ticks.
    pub fn check_interval(&self) -> Ticks {
        self.settling_time / CHECKS
    }

    /// Records received bytes of the response.
    pub fn on_bytes_received(&mut self, now: Ticks, bytes: usize) {
        self.meter.on_bytes_received(now, bytes);
    }

    /// Whether any byte of the response was received.
    pub fn has_started(&self) -> bool {
        self.meter.transferred() > 0
    }

    /// Excludes a span in which the gateway did not read.
    pub fn exclude_wait(&mut self, span: Ticks) {
        self.meter.exclude_wait(span);
    }

    /// Whether the response cannot be complete by `deadline`.
    ///
    /// That is so if the higher of its recent and mean rates is too low for it, or if nothing was received for half of
    /// the remaining time. `missing` is the number of bytes that the current message lacks, 0 where its length is
    /// unknown.
    pub fn cannot_finish(&self, now: Ticks, missing: usize, deadline: Ticks) -> bool {
        let remaining = (deadline - now).max(0);
        if !self.has_started() || self.meter.age(now) < self.settling_time {
            return false;
        }
        let idle = self.meter.idle_for(now);
        if idle > 0 {
            return idle >= self.settling_time && idle >= remaining / 2;
        }
        let rate = self.meter.rate(now).max(self.meter.mean_rate(now));
        let missing = missing.max(MIN_RESPONSE.saturating_sub(self.meter.transferred())) as u64;
        missing * 10_000 > rate * remaining as u64
    }
}
