//! Hinted handoff: buffers records for an unreachable replica, to be sent once it is reachable again.

use std::collections::VecDeque;

use crate::Ticks;
use crate::record::Record;

/// Maximum hints buffered for one replica; anti-entropy repairs the replica for hints that were dropped.
const MAX_HINTS: usize = 4_096;

/// Whether storing a hint has evicted the oldest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum HintStored {
    /// The buffer was not full; no hint was dropped.
    WithinBound,
    /// The buffer was full, and the oldest hint was dropped.
    OldestDropped,
}

/// Bounded queue of the hints for one replica, oldest first.
#[derive(Debug, Default)]
pub struct HintBuffer {
    hints: VecDeque<Record>,
    next_attempt: Ticks,
}

impl HintBuffer {
    /// Appends a record; drops the oldest hint if the buffer is full.
    pub fn store(&mut self, record: Record) -> HintStored {
        self.hints.push_back(record);
        if self.hints.len() > MAX_HINTS {
            self.hints.pop_front();
            return HintStored::OldestDropped;
        }
        HintStored::WithinBound
    }

    /// Number of buffered hints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hints.len()
    }

    /// Whether no hint is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hints.is_empty()
    }

    /// Whether hints are buffered and the time of the next delivery attempt has been reached.
    #[must_use]
    pub fn is_due(&self, now: Ticks) -> bool {
        !self.hints.is_empty() && now >= self.next_attempt
    }

    /// Removes and returns up to `capacity` hints, oldest first; the remaining ones are due again at `next_attempt`.
    pub fn take(&mut self, capacity: usize, next_attempt: Ticks) -> Vec<Record> {
        self.next_attempt = next_attempt;
        let taken = capacity.min(self.hints.len());
        self.hints.drain(..taken).collect()
    }
}
