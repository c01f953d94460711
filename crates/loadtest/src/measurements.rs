//! Owns what honest clients have measured beside slow ones: what was asked for, a histogram and a count a second for each
//! period, the figures.
//!
//! It must never drop a measure silently: what is longer than it can hold counts as the longest.

use std::path::PathBuf;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest span that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// One period's measures.
#[derive(Clone)]
pub(crate) struct Record {
    pub took_us: Histogram<u64>,
    pub asked: u64,
    pub answered: u64,
    pub throttled: u64,
    pub failed: u64,
    pub lost: u64,
    pub wrong: u64,
    /// Answers in each second.
    pub seconds: Vec<u64>,
    /// The longest: when they came, in ms since the period began, how long they took in us, and of which kind.
    pub tail: Vec<(u64, u64, usize)>,
}

/// What takes longer is kept one by one, up to so many.
const TAIL_US: u64 = 8_000;
const TAIL: usize = 10_000;

impl Record {
    pub(crate) fn new(seconds: usize) -> Record {
        let took_us = Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds that hold");
        let seconds = vec![0; seconds];
        Record {
            took_us,
            asked: 0,
            answered: 0,
            throttled: 0,
            failed: 0,
            lost: 0,
            wrong: 0,
            seconds,
            tail: Vec::new(),
        }
    }

    pub(crate) fn answered(&mut self, at_ms: u64, took_us: u64, kind: usize) {
        let second = at_ms as usize / 1_000;
        self.answered += 1;
        if took_us > TAIL_US && self.tail.len() < TAIL {
            self.tail.push((at_ms, took_us, kind));
        }
        self.took_us.saturating_record(took_us.max(1));
        if let Some(count) = self.seconds.get_mut(second) {
            *count += 1;
        }
    }

    pub(crate) fn join(&mut self, other: &Record) {
        let _ = self.took_us.add(&other.took_us);
        for (mine, more) in [
            (&mut self.asked, other.asked),
            (&mut self.answered, other.answered),
            (&mut self.throttled, other.throttled),
            (&mut self.failed, other.failed),
            (&mut self.lost, other.lost),
            (&mut self.wrong, other.wrong),
        ] {
            *mine += more;
        }
        self.tail.extend(&other.tail);
        if self.seconds.len() < other.seconds.len() {
            self.seconds.resize(other.seconds.len(), 0);
        }
        self.seconds
            .iter_mut()
            .zip(&other.seconds)
            .for_each(|(mine, more)| *mine += more);
    }

    pub(crate) fn ms(&self, percent: f64) -> f64 {
        self.took_us.value_at_percentile(percent) as f64 / 1e3
    }

    pub(crate) fn answered_share(&self) -> f64 {
        self.answered as f64 / self.asked.max(1) as f64
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub readers: usize,
    pub writers: usize,
    pub tricklers: usize,
    pub memory_mb: usize,
    pub sockets: usize,
    pub pairs: usize,
    pub seed: u64,
    pub short: bool,
    pub out: PathBuf,
    pub without: bool,
    pub plain: bool,
    pub program: Option<PathBuf>,
}

/// What a run has come to: the honest clients' figures in slow periods over those in clean ones.
#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    pub pairs: usize,
    pub answered_ratio: f64,
    pub p50_ratio: f64,
    pub p99_ratio: f64,
    /// Answers in the worst second.
    pub worst_second_ratio: f64,
    pub peak_rss_mb: f64,
    pub held_peak_bytes: u64,
    pub let_go: u64,
    pub lost: u64,
    pub wrong: u64,
}
