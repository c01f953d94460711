//! Limits the number of log lines per second.

use std::cell::Cell;

use leverpoint_routing::api::Ticks;

const MAX_LINES_PER_SECOND: u32 = 10;

const TICKS_PER_SECOND: u64 = 10_000;

/// Lines written in the current second, and lines suppressed since the last one written.
#[derive(Clone, Copy, Default)]
struct LineCounts {
    second: u64,
    written: u32,
    suppressed: u32,
}

/// Limits log lines of one kind to [`MAX_LINES_PER_SECOND`].
#[derive(Default)]
pub(crate) struct LogLineLimiter(Cell<LineCounts>);

impl LogLineLimiter {
    /// Returns how many lines have been suppressed since the last one written; none if this one is to be suppressed
    /// too.
    pub(crate) fn admit(&self, now: Ticks) -> Option<u32> {
        let mut counts = self.0.get();
        let second = now as u64 / TICKS_PER_SECOND;
        if second != counts.second {
            counts.second = second;
            counts.written = 0;
        }
        let suppressed = if counts.written == MAX_LINES_PER_SECOND {
            counts.suppressed += 1;
            None
        } else {
            counts.written += 1;
            Some(std::mem::take(&mut counts.suppressed))
        };
        self.0.set(counts);
        suppressed
    }
}
