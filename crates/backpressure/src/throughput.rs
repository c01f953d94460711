//! Throughput of one direction of a connection: bytes transferred, bytes pending, and the times of both.
//!
//! The size is fixed and an update touches one cache line.

use crate::Ticks;

/// Length of a window, in ticks: a quarter of a second.
pub const WINDOW: Ticks = 2_500;
/// Number of windows in the moving average: one second, as a mobile network may pause for a few hundred milliseconds.
const WINDOWS: usize = 4;

/// Sliding-window meter of a transfer.
///
/// A transfer starts with the first bytes that are added while none are pending.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ThroughputMeter {
    /// Bytes transferred in each of the last windows, indexed by the window's number modulo their count.
    window_bytes: [u32; WINDOWS],
    /// Number of the window that was written last.
    last_window: i64,
    /// When the transfer started.
    started_at: Ticks,
    /// When a byte was transferred last, or the transfer started.
    last_progress_at: Ticks,
    /// Bytes transferred since the transfer started.
    transferred: u32,
    pending: u32,
}

impl ThroughputMeter {
    /// Adds pending bytes; starts a transfer if none were pending.
    pub fn add_pending(&mut self, now: Ticks, bytes: usize) {
        if self.pending == 0 {
            *self = ThroughputMeter {
                started_at: now,
                last_progress_at: now,
                last_window: now / WINDOW,
                ..ThroughputMeter::default()
            };
        }
        self.pending = self
            .pending
            .saturating_add(bytes.min(u32::MAX as usize) as u32);
    }

    /// Records that `bytes` of the pending bytes were transferred; any excess over the pending bytes is ignored.
    pub fn record_transferred(&mut self, now: Ticks, bytes: usize) {
        let bytes = bytes.min(self.pending as usize) as u32;
        if bytes == 0 {
            return;
        }
        self.advance_to(now / WINDOW);
        self.window_bytes[self.last_window as usize % WINDOWS] += bytes;
        (self.transferred, self.pending) = (self.transferred + bytes, self.pending - bytes);
        self.last_progress_at = self.last_progress_at.max(now);
    }

    /// Records received bytes of a message of unknown length: one more byte stays pending until the meter is cleared.
    pub fn on_bytes_received(&mut self, now: Ticks, bytes: usize) {
        self.add_pending(now, bytes + usize::from(self.pending == 0));
        self.record_transferred(now, bytes);
    }

    /// Records as transferred all pending bytes but `bytes`.
    pub fn set_pending(&mut self, now: Ticks, bytes: usize) {
        self.record_transferred(now, (self.pending as usize).saturating_sub(bytes));
    }

    /// Excludes a span in which the gateway itself prevented any transfer.
    pub fn exclude_wait(&mut self, span: Ticks) {
        (self.started_at, self.last_progress_at) =
            (self.started_at + span, self.last_progress_at + span);
    }

    /// Ends the transfer: no bytes are pending.
    pub fn clear(&mut self) {
        self.pending = 0;
    }

    /// Empties the windows between the last one written and this one.
    fn advance_to(&mut self, window: i64) {
        let passed = (window - self.last_window).clamp(0, WINDOWS as i64);
        (1..=passed).for_each(|n| self.window_bytes[(self.last_window + n) as usize % WINDOWS] = 0);
        self.last_window = self.last_window.max(window);
    }

    /// Number of pending bytes.
    pub fn pending(&self) -> usize {
        self.pending as usize
    }

    /// Bytes transferred since the transfer started.
    pub fn transferred(&self) -> usize {
        self.transferred as usize
    }

    /// Time since the transfer started.
    pub fn age(&self, now: Ticks) -> Ticks {
        (now - self.started_at).max(0)
    }

    /// Time since a byte was transferred last, or since the transfer started.
    pub fn idle_for(&self, now: Ticks) -> Ticks {
        (now - self.last_progress_at).max(0)
    }

    /// Bytes a second over the last windows, or since the transfer started where that is shorter.
    pub fn rate(&self, now: Ticks) -> u64 {
        let window = now / WINDOW;
        let oldest = window - (WINDOWS as i64 - 1);
        let is_recent = |n: &i64| *n >= oldest && *n <= self.last_window && *n >= 0;
        let recent_windows = (0..WINDOWS as i64)
            .map(|n| self.last_window - n)
            .filter(is_recent);
        let recent_bytes: u64 = recent_windows
            .map(|n| u64::from(self.window_bytes[n as usize % WINDOWS]))
            .sum();
        let span = (now - oldest * WINDOW).min(self.age(now)).max(1);
        recent_bytes * 10_000 / span as u64
    }

    /// Bytes a second since the transfer started.
    pub fn mean_rate(&self, now: Ticks) -> u64 {
        u64::from(self.transferred) * 10_000 / self.age(now).max(1) as u64
    }
}
