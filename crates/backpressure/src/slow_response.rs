//! Detector of server responses that cannot be complete in time.
//!
//! It judges the response alone; whether the request is retried is decided by `leverpoint-routing`.

use crate::Ticks;
use crate::throughput::ThroughputMeter;

/// Longest time from the first byte after which a response's rate is judged, in ticks.
const MAX_SETTLING_TIME: Ticks = 3_000;
/// The rate is judged after this part of the attempt's timeout.
const SETTLING_FRACTION: Ticks = 8;
/// Checks within the settling time.
const CHECKS: Ticks = 3;
/// Bytes of the shortest possible response.
const MIN_RESPONSE: usize = 62;

/// Throughput of one response against its deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowResponseDetector {
    meter: ThroughputMeter,
    earliest: Ticks,
}

impl SlowResponseDetector {
    /// For an attempt with this timeout.
    pub fn new(wait: Ticks) -> SlowResponseDetector {
        SlowResponseDetector {
            meter: ThroughputMeter::default(),
            earliest: (wait / SETTLING_FRACTION).clamp(CHECKS, MAX_SETTLING_TIME),
        }
    }

    /// Time between two checks.
    pub fn check_interval(&self) -> Ticks {
        self.earliest / CHECKS
    }

    /// Takes in `bytes` of the response.
    pub fn on_bytes_received(&mut self, now: Ticks, bytes: usize) {
        self.meter.on_bytes_received(now, bytes);
    }

    /// Whether any byte has come.
    pub fn has_started(&self) -> bool {
        self.meter.moved_total() > 0
    }

    /// Excludes time in which the gateway did not read.
    pub fn exclude_wait(&mut self, span: Ticks) {
        self.meter.exclude_wait(span);
    }

    /// Whether the response cannot be complete by `until` at the better of its two rates, or nothing has come for half
    /// of the time left. `missing` is what the current message lacks, 0 where its length is unknown.
    pub fn cannot_finish(&self, now: Ticks, missing: usize, until: Ticks) -> bool {
        let left = (until - now).max(0);
        if !self.has_started() || self.meter.age(now) < self.earliest {
            return false;
        }
        let still = self.meter.idle_for(now);
        if still > 0 {
            return still >= self.earliest && still >= left / 2;
        }
        let rate = self.meter.rate(now).max(self.meter.mean(now));
        let missing = missing.max(MIN_RESPONSE.saturating_sub(self.meter.moved_total())) as u64;
        missing * 10_000 > rate * left as u64
    }
}
