//! The times at which a client's bytes were received.
//!
//! A request's client timeout runs from the receipt of its last byte, however long earlier requests then delay it.
//!
//! # Invariants
//!
//! A byte's recorded time is never later than its receipt. Bytes received shortly after each other may share the time of
//! the first.

use std::collections::VecDeque;
use std::time::Duration;

use leverpoint_runtime::Instant;

/// Two round trips between data centres.
///
/// Once there is space again, bytes that the client's kernel held back while the buffers here were full begin to arrive
/// within this time.
const TWO_ROUND_TRIPS: Duration = Duration::from_millis(5);

/// Most pieces that are recorded; above it, neighbouring pieces are merged.
///
/// It is more than clients usually have in flight at once.
const MAX_PIECES: usize = 64;

/// The earliest receive times of the bytes that were read and not yet consumed.
pub struct ReceiveTimes {
    /// Bytes read in total.
    total: u64,
    /// The end of each piece, as an offset into all bytes read, and the earliest time at which it was received.
    pieces: VecDeque<(u64, Instant)>,
    /// The last time at which nothing was unread: bytes read afterwards were received after it.
    drained_at: Instant,
    /// The buffer has been full since then, so the client's kernel may be holding back bytes that were already sent.
    full: bool,
}

impl ReceiveTimes {
    /// Creates the record of a connection on which nothing was received before `start`.
    pub fn new(start: Instant) -> Self {
        ReceiveTimes {
            total: 0,
            pieces: VecDeque::new(),
            drained_at: start,
            full: false,
        }
    }

    /// Records that nothing is unread at `at`, and that nothing was for the `idle` time before.
    pub fn on_drained(&mut self, at: Instant, idle: Duration) {
        if !self.full || idle >= TWO_ROUND_TRIPS {
            (self.drained_at, self.full) = (at, false);
        }
    }

    /// Records that the buffer is full.
    pub fn on_full(&mut self) {
        self.full = true;
    }

    /// Since when the client's kernel may be holding back bytes that were already sent; none if it is not.
    pub fn held_back_since(&self) -> Option<Instant> {
        self.full.then_some(self.drained_at)
    }

    /// Records that `bytes` bytes were read.
    pub fn on_read(&mut self, bytes: usize) {
        self.total += bytes as u64;
        match self.pieces.back_mut() {
            Some((end, at)) if *at == self.drained_at => *end = self.total,
            _ => self.pieces.push_back((self.total, self.drained_at)),
        }
        if self.pieces.len() > MAX_PIECES {
            // Of each pair, the merged piece has the end of the later one and the time of the earlier one.
            let pairs = std::mem::take(&mut self.pieces)
                .into_iter()
                .collect::<Vec<_>>();
            self.pieces = pairs
                .chunks(2)
                .map(|pair| (pair[pair.len() - 1].0, pair[0].1))
                .collect();
        }
    }

    /// Records that all but the last `remaining` bytes read were consumed; returns the time of the last consumed byte.
    pub fn on_taken(&mut self, remaining: usize) -> Instant {
        let end = self.total - remaining as u64;
        while self.pieces.len() > 1 && self.pieces[0].0 < end {
            self.pieces.pop_front();
        }
        let at = self.pieces.front().map_or(self.drained_at, |(_, at)| *at);
        if remaining == 0 {
            self.pieces = VecDeque::new();
        }
        at
    }
}
