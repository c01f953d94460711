//! Throughput of one direction of a connection: bytes that moved, bytes that wait, and since when.
//!
//! The size is fixed and an update touches one cache line.

use crate::Ticks;

/// Length of a window, in ticks: a quarter of a second.
pub const WINDOW: Ticks = 2_500;
/// Windows looked back on: a second, as a mobile network may pause for a few hundred milliseconds.
const WINDOWS: usize = 4;

/// Sliding-window measure of a transfer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ThroughputMeter {
    /// Bytes moved in each of the last windows, indexed by the window's number modulo their count.
    moved: [u32; WINDOWS],
    /// Number of the window that was written last.
    window: i64,
    /// When the wait began.
    since: Ticks,
    /// When a byte moved last, or the wait began.
    progress: Ticks,
    /// All that has moved in this wait.
    taken: u32,
    waiting: u32,
}

impl ThroughputMeter {
    /// `bytes` more wait to move; the first of them begin a wait.
    pub fn add(&mut self, now: Ticks, bytes: usize) {
        if self.waiting == 0 {
            *self = ThroughputMeter {
                since: now,
                progress: now,
                window: now / WINDOW,
                ..ThroughputMeter::default()
            };
        }
        self.waiting = self
            .waiting
            .saturating_add(bytes.min(u32::MAX as usize) as u32);
    }

    /// `bytes` have moved, at most those that wait.
    pub fn moved(&mut self, now: Ticks, bytes: usize) {
        let bytes = bytes.min(self.waiting as usize) as u32;
        if bytes == 0 {
            return;
        }
        self.pass_to(now / WINDOW);
        self.moved[self.window as usize % WINDOWS] += bytes;
        (self.taken, self.waiting) = (self.taken + bytes, self.waiting - bytes);
        self.progress = self.progress.max(now);
    }

    /// `bytes` have come of a message of unknown length: one byte more waits until it is cleared.
    pub fn on_bytes_received(&mut self, now: Ticks, bytes: usize) {
        self.add(now, bytes + usize::from(self.waiting == 0));
        self.moved(now, bytes);
    }

    /// `bytes` still wait; the rest has moved.
    pub fn left(&mut self, now: Ticks, bytes: usize) {
        self.moved(now, (self.waiting as usize).saturating_sub(bytes));
    }

    /// Excludes time in which nothing could move for reasons of the gateway's own.
    pub fn exclude_wait(&mut self, span: Ticks) {
        (self.since, self.progress) = (self.since + span, self.progress + span);
    }

    /// Nothing waits any more.
    pub fn clear(&mut self) {
        self.waiting = 0;
    }

    /// Empties the windows between the last one written and this one.
    fn pass_to(&mut self, window: i64) {
        let passed = (window - self.window).clamp(0, WINDOWS as i64);
        (1..=passed).for_each(|n| self.moved[(self.window + n) as usize % WINDOWS] = 0);
        self.window = self.window.max(window);
    }

    /// Bytes that wait.
    pub fn waiting(&self) -> usize {
        self.waiting as usize
    }

    /// Bytes moved since the wait began.
    pub fn moved_total(&self) -> usize {
        self.taken as usize
    }

    /// How long something has waited.
    pub fn age(&self, now: Ticks) -> Ticks {
        (now - self.since).max(0)
    }

    /// How long nothing has moved.
    pub fn idle_for(&self, now: Ticks) -> Ticks {
        (now - self.progress).max(0)
    }

    /// Bytes a second over the last windows, or since the wait began where that is shorter.
    pub fn rate(&self, now: Ticks) -> u64 {
        let window = now / WINDOW;
        let oldest = window - (WINDOWS as i64 - 1);
        let counted = |n: &i64| *n >= oldest && *n <= self.window && *n >= 0;
        let in_windows = (0..WINDOWS as i64).map(|n| self.window - n).filter(counted);
        let moved: u64 = in_windows
            .map(|n| u64::from(self.moved[n as usize % WINDOWS]))
            .sum();
        let span = (now - oldest * WINDOW).min(self.age(now)).max(1);
        moved * 10_000 / span as u64
    }

    /// Bytes a second since the wait began.
    pub fn mean(&self, now: Ticks) -> u64 {
        u64::from(self.taken) * 10_000 / self.age(now).max(1) as u64
    }
}
