//! A limit on the number of log lines in a second.

use std::cell::Cell;

use leverpoint_routing::api::Ticks;

const MAX_LINES_PER_SECOND: u32 = 10;

const TICKS_PER_SECOND: u64 = 10_000;

/// How many lines were written in a second, and how many were left out since the last one.
#[derive(Clone, Copy, Default)]
struct Lines {
    second: u64,
    written: u32,
    left_out: u32,
}

/// Limits the log lines of one kind.
#[derive(Default)]
pub(crate) struct LogLineLimiter(Cell<Lines>);

impl LogLineLimiter {
    /// Returns how many lines were left out before this one; none where this one is to be left out as well.
    pub(crate) fn admit(&self, now: Ticks) -> Option<u32> {
        let mut lines = self.0.get();
        let second = now as u64 / TICKS_PER_SECOND;
        if second != lines.second {
            lines.second = second;
            lines.written = 0;
        }
        let left_out = if lines.written == MAX_LINES_PER_SECOND {
            lines.left_out += 1;
            None
        } else {
            lines.written += 1;
            Some(std::mem::take(&mut lines.left_out))
        };
        self.0.set(lines);
        left_out
    }
}
