//! Latency measurements, and the expected latencies and timeouts that are derived from them.

use crate::api::{Consistency, MILLISECOND, RequestClass, Ticks};

const BUCKETS: usize = 16;
/// Weight of one sample, with which a single sample is forgotten after five halvings.
const SAMPLE_WEIGHT: u32 = 16;

/// Samples that the histogram of a request class holds.
const CLASS_SAMPLES: u32 = 256;
/// Samples of the typical latency that a class starts with, so one slow answer does not leave the
/// class without capacity.
const INITIAL_TYPICAL_SAMPLES: u32 = 7;
/// Samples that the histogram of a server or a role holds: enough for a mean, few enough to follow
/// a stall within a second.
const SERVER_SAMPLES: u32 = 12;
/// Weight of a server's samples up to which they count as few, and decay more slowly.
const FEW_SAMPLES_WEIGHT: u32 = 32;
const SERVER_DECAY_INTERVAL: Ticks = 500 * MILLISECOND;
const SLOW_DECAY_INTERVAL: Ticks = 2500 * MILLISECOND;

/// Relative latency of a server at the typical latency, in percent.
const USUAL_RELATIVE_LATENCY: i64 = 100;
/// Number of samples for which the prior of a mean relative latency counts.
const PRIOR_SAMPLES: i64 = 2;
/// Relative latency recorded for a rejection by an overloaded server, in percent of its class's
/// objective.
const OVERLOAD_PERCENT: i64 = 200;
/// Unit of concurrency histograms: they hold hundredths of an attempt.
const CONCURRENCY_UNIT: i64 = 100;
/// Added to the mean of a concurrency histogram, which does not include the measured attempt: the
/// lowest bucket has a mean of 33, which makes 100 for one attempt.
const CONCURRENCY_OFFSET: i64 = 67;
/// Limits of a server's slowdown, in percent, that scales the effect of concurrency above the
/// usual: half of it where the server is not slow.
const MIN_SLOWDOWN: i64 = 30;
const MAX_SLOWDOWN: i64 = 60;

/// Cost of an attempt beside its latency: a handshake or a rejection.
const ATTEMPT_OVERHEAD: Ticks = 10 * MILLISECOND;
/// Time past a replica's hold after which it counts as silent.
pub(crate) const HOLD_MARGIN: Ticks = 2000 * MILLISECOND;
const TIMEOUT_PERCENTILE: u32 = 95;

/// Histogram with few coarse buckets, whose bounds grow by half from each to the next. Old values
/// lose weight by halving.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    buckets: [u32; BUCKETS],
    weight: u32,
}

impl Histogram {
    /// Upper bounds of the buckets, in ticks or percent.
    const UPPER_BOUNDS: [i64; BUCKETS] = [
        40, 60, 90, 135, 200, 300, 450, 680, 1020, 1530, 2300, 3450, 5180, 7770, 11_650, 17_500,
    ];

    /// Records a value; halves the histogram once it holds more than `max_samples`.
    pub fn record(&mut self, value: i64, max_samples: u32) {
        let bucket = Self::UPPER_BOUNDS
            .iter()
            .position(|&bound| value <= bound)
            .unwrap_or(BUCKETS - 1);
        self.buckets[bucket] += SAMPLE_WEIGHT;
        self.weight += SAMPLE_WEIGHT;
        if self.weight > SAMPLE_WEIGHT * max_samples {
            self.halve();
        }
    }

    /// Halves the weight of all recorded values.
    pub fn halve(&mut self) {
        self.buckets.iter_mut().for_each(|weight| *weight /= 2);
        self.weight = self.buckets.iter().sum();
    }

    /// Upper bound of the bucket that holds the percentile `percent`; `None` without values.
    #[must_use]
    pub fn quantile(&self, percent: u32) -> Option<i64> {
        let mut remaining = (self.weight * percent).div_ceil(100);
        for (&weight, bound) in self.buckets.iter().zip(Self::UPPER_BOUNDS) {
            if weight > 0 && weight >= remaining {
                return Some(bound);
            }
            remaining -= weight.min(remaining);
        }
        None
    }

    /// Mean of the values and of `prior_samples` more that equal `prior`; `prior` without values.
    #[must_use]
    pub fn mean(&self, prior: i64, prior_samples: i64) -> i64 {
        // The middle of a bucket is five sixths of its upper bound.
        let sum: i64 = self
            .buckets
            .iter()
            .zip(Self::UPPER_BOUNDS)
            .map(|(&weight, bound)| i64::from(weight) * bound * 5 / 6)
            .sum();
        if self.weight == 0 {
            return prior;
        }
        let prior_weight = prior_samples * i64::from(SAMPLE_WEIGHT);
        (sum + prior * prior_weight) / (i64::from(self.weight) + prior_weight)
    }
}

/// Time that a request has left.
#[derive(Clone, Copy, Debug)]
pub struct TimeLeft {
    /// Until its latency objective; negative once that has passed.
    pub to_objective: Ticks,
    /// Until its client deadline.
    pub to_deadline: Ticks,
}

/// Configuration of a request class and the latencies of its answers.
pub struct ClassLatency {
    pub(crate) config: RequestClass,
    latencies: Histogram,
    typical: Ticks,
}

impl ClassLatency {
    /// State of a class without answers, whose typical latency is assumed to be a quarter of its
    /// objective.
    #[must_use]
    pub fn new(config: RequestClass) -> Self {
        let typical = (config.latency_objective / 4).max(MILLISECOND);
        let mut latencies = Histogram::default();
        for _ in 0..INITIAL_TYPICAL_SAMPLES {
            latencies.record(typical, CLASS_SAMPLES);
        }
        // One sample at the objective keeps timeouts long until the latencies are known.
        latencies.record(config.latency_objective, CLASS_SAMPLES);
        ClassLatency {
            config,
            latencies,
            typical,
        }
    }

    /// Records the latency of an answer.
    pub fn record(&mut self, latency: Ticks) {
        self.latencies.record(latency, CLASS_SAMPLES);
        self.typical = self
            .latencies
            .quantile(50)
            .unwrap_or(self.typical)
            .max(MILLISECOND);
    }

    /// Median latency of the class's answers, at least a millisecond.
    #[must_use]
    pub fn typical(&self) -> Ticks {
        self.typical
    }

    /// Whether only the primary may answer.
    pub(crate) fn primary_only(&self) -> bool {
        matches!(
            self.config.consistency,
            Consistency::Write | Consistency::Fresh
        )
    }

    /// Priority weight per tick of work.
    pub(crate) fn weight_per_tick(&self) -> f64 {
        self.config.priority_weight / self.typical as f64
    }

    /// Cost of an attempt, in ticks of work.
    pub(crate) fn attempt_cost(&self) -> f64 {
        (self.typical + ATTEMPT_OVERHEAD) as f64
    }

    /// How long to wait for the answer of an attempt, where replicas hold reads for up to `hold`.
    ///
    /// Twice the 95th percentile of the latencies, but at least half and at most all of the time to
    /// the objective; at most the replica's hold and a margin.
    #[must_use]
    pub fn attempt_timeout(&self, left: TimeLeft, hold: Ticks) -> Ticks {
        let available = if left.to_objective > 0 {
            left.to_objective
        } else {
            left.to_deadline
        };
        let twice_p95 = self
            .latencies
            .quantile(TIMEOUT_PERCENTILE)
            .unwrap_or(self.config.latency_objective / 2)
            * 2;
        let timeout = twice_p95.clamp(available / 2, available.max(1));
        timeout
            .min(hold + HOLD_MARGIN.max(twice_p95))
            .min(left.to_deadline)
            .max(1)
    }
}

/// Relative latencies of the servers of one role in a replica set, in percent of the typical
/// latency.
#[derive(Default)]
pub(crate) struct RoleLatency {
    relative: Histogram,
}

impl RoleLatency {
    fn mean(&self) -> i64 {
        self.relative.mean(USUAL_RELATIVE_LATENCY, PRIOR_SAMPLES)
    }

    pub(crate) fn decay(&mut self) {
        self.relative.halve();
    }
}

/// Load and latency of a server.
#[derive(Default)]
pub(crate) struct ServerLatency {
    pub(crate) in_flight: u32,
    /// Since when an answer is overdue: twice the typical latency after the last attempt started,
    /// or since the last response of the server if that is later.
    overdue_since: Option<Ticks>,
    /// Relative latencies, in percent of the typical latency.
    relative: Histogram,
    /// Concurrency at which answers were given, in hundredths.
    concurrency: Histogram,
    decayed_at: Ticks,
}

impl ServerLatency {
    /// State of a server that is first listed at `now`.
    pub(crate) fn new(now: Ticks) -> Self {
        ServerLatency {
            decayed_at: now,
            ..ServerLatency::default()
        }
    }

    pub(crate) fn on_attempt_started(&mut self, typical: Ticks, now: Ticks) {
        self.overdue_since = self.overdue_since.max(Some(now + 2 * typical));
        self.in_flight += 1;
    }

    pub(crate) fn on_attempt_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.overdue_since = self.overdue_since.filter(|_| self.in_flight > 0);
    }

    pub(crate) fn on_response(&mut self, now: Ticks) {
        self.overdue_since = self
            .overdue_since
            .max(Some(now))
            .filter(|_| self.in_flight > 0);
    }

    /// Records the time of an answer, or the time after which an attempt timed out.
    pub(crate) fn record(&mut self, elapsed: Ticks, typical: Ticks, role: &mut RoleLatency) {
        let relative = elapsed * 100 / typical;
        self.relative.record(relative, SERVER_SAMPLES);
        role.relative.record(relative, SERVER_SAMPLES);
    }

    /// Records how many attempts were in flight beside one that was answered.
    pub(crate) fn record_concurrency(&mut self, attempts: u32) {
        self.concurrency
            .record(i64::from(attempts) * CONCURRENCY_UNIT, SERVER_SAMPLES);
    }

    /// Records a rejection for lack of capacity as twice the latency objective.
    pub(crate) fn record_overload(&mut self, latency_objective: Ticks, typical: Ticks) {
        self.relative.record(
            latency_objective * OVERLOAD_PERCENT / typical,
            SERVER_SAMPLES,
        );
    }

    /// Mean relative latency, in percent.
    pub(crate) fn mean_relative(&self) -> i64 {
        self.relative.mean(USUAL_RELATIVE_LATENCY, PRIOR_SAMPLES)
    }

    /// How long an answer of a request with this typical latency is likely to take.
    pub(crate) fn expected(&self, typical: Ticks, role: &RoleLatency, now: Ticks) -> Ticks {
        let relative = self.relative.mean(role.mean(), PRIOR_SAMPLES);
        let concurrency = i64::from(self.in_flight + 1) * CONCURRENCY_UNIT;
        let usual_concurrency =
            self.concurrency.mean(concurrency - CONCURRENCY_OFFSET, 0) + CONCURRENCY_OFFSET;
        // With fewer attempts in flight than usual, a server's deviation from the typical latency
        // shrinks in proportion.
        let relative = if concurrency < usual_concurrency {
            USUAL_RELATIVE_LATENCY
                + (relative - USUAL_RELATIVE_LATENCY) * concurrency / usual_concurrency
        } else {
            relative
        };
        // With more in flight than usual, the latency of a slow server grows in proportion, and
        // that of one that is not slow by half of that, as it has idle cores.
        let slowdown = (relative - USUAL_RELATIVE_LATENCY).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        let excess = (concurrency - usual_concurrency).max(0) * slowdown / MAX_SLOWDOWN;
        let latency = typical * relative / 100 * (usual_concurrency + excess) / usual_concurrency;
        latency.max(self.overdue_since.map_or(0, |since| now - since))
    }

    /// Decays the measurements if that is due, and returns whether it was. Few samples decay more
    /// slowly, as few new ones replace them.
    pub(crate) fn decay(&mut self, now: Ticks) -> bool {
        let interval = if self.relative.weight > FEW_SAMPLES_WEIGHT {
            SERVER_DECAY_INTERVAL
        } else {
            SLOW_DECAY_INTERVAL
        };
        let due = now - self.decayed_at >= interval;
        if due {
            self.decayed_at = now;
            self.relative.halve();
            self.concurrency.halve();
        }
        due
    }
}
