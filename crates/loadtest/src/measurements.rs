//! Options, measurements and figures of the experiment with slow peers.
//!
//! # Invariants
//!
//! No latency is dropped from the histogram: one above [`MAX_LATENCY_US`] is counted as that maximum.

use std::path::PathBuf;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Measurements of the well-behaved clients in one period.
#[derive(Clone)]
pub(crate) struct Measurements {
    /// Latencies in microseconds, from the time a request was due, retries included.
    pub latency_us: Histogram<u64>,
    /// Requests that were due.
    pub requests: u64,
    pub answered: u64,
    /// Error responses that asked for a retry; a request may have several.
    pub throttled: u64,
    /// Requests that timed out or were answered with any other error.
    pub failed: u64,
    /// Requests whose connection ended within a response, or twice before one.
    pub lost: u64,
    /// Responses with a missing or unexpected value.
    pub wrong: u64,
    /// Answered requests in each second of the period.
    pub answers_by_second: Vec<u64>,
    /// The requests slower than [`TAIL_THRESHOLD_US`]: time of the response in ms since the start of the period,
    /// latency in microseconds, and index into the request mix.
    pub tail: Vec<(u64, u64, usize)>,
}

/// Requests with a higher latency, in microseconds, are recorded one by one.
const TAIL_THRESHOLD_US: u64 = 8_000;
/// Limit of the requests recorded one by one, per client and period.
const MAX_TAIL: usize = 10_000;

impl Measurements {
    /// Empty measurements of a period of `seconds` seconds.
    pub(crate) fn new(seconds: usize) -> Measurements {
        let latency_us =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid histogram bounds");
        let answers_by_second = vec![0; seconds];
        Measurements {
            latency_us,
            requests: 0,
            answered: 0,
            throttled: 0,
            failed: 0,
            lost: 0,
            wrong: 0,
            answers_by_second,
            tail: Vec::new(),
        }
    }

    /// Records an answered request; `at_ms` counts from the start of the period.
    pub(crate) fn answered(&mut self, at_ms: u64, latency_us: u64, kind: usize) {
        let second = at_ms as usize / 1_000;
        self.answered += 1;
        if latency_us > TAIL_THRESHOLD_US && self.tail.len() < MAX_TAIL {
            self.tail.push((at_ms, latency_us, kind));
        }
        self.latency_us.saturating_record(latency_us.max(1));
        if let Some(count) = self.answers_by_second.get_mut(second) {
            *count += 1;
        }
    }

    /// Adds the measurements of another client or period.
    pub(crate) fn merge(&mut self, other: &Measurements) {
        let _ = self.latency_us.add(&other.latency_us);
        for (sum, addend) in [
            (&mut self.requests, other.requests),
            (&mut self.answered, other.answered),
            (&mut self.throttled, other.throttled),
            (&mut self.failed, other.failed),
            (&mut self.lost, other.lost),
            (&mut self.wrong, other.wrong),
        ] {
            *sum += addend;
        }
        self.tail.extend(&other.tail);
        if self.answers_by_second.len() < other.answers_by_second.len() {
            self.answers_by_second
                .resize(other.answers_by_second.len(), 0);
        }
        self.answers_by_second
            .iter_mut()
            .zip(&other.answers_by_second)
            .for_each(|(sum, addend)| *sum += addend);
    }

    /// Latency at a percentile, 0 to 100, in milliseconds.
    pub(crate) fn percentile_ms(&self, percent: f64) -> f64 {
        self.latency_us.value_at_percentile(percent) as f64 / 1e3
    }

    /// Share of the requests that were answered.
    pub(crate) fn answered_share(&self) -> f64 {
        self.answered as f64 / self.requests.max(1) as f64
    }
}

/// Options of `run slow`.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Number of clients that read slowly.
    pub readers: usize,
    /// Number of clients that write slowly.
    pub writers: usize,
    /// Number of additional replicas that send their responses slowly.
    pub tricklers: usize,
    /// Memory limit of the gateway in MiB.
    pub memory_mb: usize,
    /// Limit of the gateway's file descriptors.
    pub sockets: usize,
    /// Number of pairs of a clean and a slow period.
    pub pairs: usize,
    pub seed: u64,
    /// Periods of 4 s instead of 10 s.
    pub short: bool,
    /// Directory for tables and charts.
    pub out: PathBuf,
    /// Switches the limits on slow peers off.
    pub without_pace: bool,
    /// Starts the gateway without an operator's file, for older versions.
    pub no_operator_file: bool,
    /// The gateway program; by default the one in the directory of this program.
    pub program: Option<PathBuf>,
}

/// Results of a run. Each ratio is the value for the well-behaved clients in slow periods over that in clean periods.
///
/// The Debug form is written to the summary, so the names of the type and its fields must not change.
#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    pub pairs: usize,
    pub answered_ratio: f64,
    pub p50_ratio: f64,
    pub p99_ratio: f64,
    /// Ratio of the answered requests in the worst second.
    pub worst_second_ratio: f64,
    /// Peak resident memory of the gateway in MiB.
    pub peak_rss_mb: f64,
    /// Peak of the bytes that the gateway held for its client connections, from its log.
    pub held_peak_bytes: u64,
    /// Client connections that the gateway evicted, from its log.
    pub let_go: u64,
    /// Lost requests of all clients.
    pub lost: u64,
    /// Wrong responses to any client, and writes that were applied more than once.
    pub wrong: u64,
}
