//! Replication positions that sessions must see, remembered for a while.
//!
//! # Invariants
//!
//! A position that is forgotten raises the low watermark of its replica set, so every later read of
//! the set covers it.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{MILLISECOND, Ticks};

/// How long the position of a session is remembered; longer than replicas usually lag, so the low
/// watermark costs nothing.
const RETENTION: Ticks = 30_000 * MILLISECOND;
/// Most writes that are remembered.
const MAX_WRITES: usize = 50_000;

/// Stands for the position of a write whose client has its answer while its server has not reported
/// the position yet: no replica is known to cover it.
pub const UNREPORTED: Ticks = Ticks::MAX;

/// A write and the position it committed at.
#[derive(Clone, Copy)]
struct CommittedWrite {
    session: usize,
    set: usize,
    position: Ticks,
}

/// Position of the last write of each session.
#[derive(Default)]
pub struct SessionPositions {
    /// By session; 0 where nothing is remembered.
    positions: Vec<Ticks>,
    /// By replica set.
    low_watermarks: Vec<Ticks>,
    /// Oldest first.
    writes: VecDeque<CommittedWrite>,
    /// How many writes of a session are answered and not reported, by session and set.
    unreported: BTreeMap<(usize, usize), u32>,
}

impl SessionPositions {
    /// Position that a read of this session must see in the replica set.
    #[must_use]
    pub fn required_position(&self, session: usize, set: usize) -> Ticks {
        if self.unreported.contains_key(&(session, set)) {
            return UNREPORTED;
        }
        let low_watermark = self.low_watermarks.get(set).copied().unwrap_or(0);
        self.positions
            .get(session)
            .map_or(low_watermark, |&position| position.max(low_watermark))
    }

    /// The client of a write has its answer, and the position follows.
    pub fn on_write_answered(&mut self, session: usize, set: usize) {
        *self.unreported.entry((session, set)).or_default() += 1;
    }

    /// An answered write's position has been reported, or never will be.
    pub fn on_write_reported(&mut self, session: usize, set: usize) {
        if let Some(count) = self.unreported.get_mut(&(session, set)) {
            *count -= 1;
            if *count == 0 {
                self.unreported.remove(&(session, set));
            }
        }
    }

    /// Remembers the position of a write.
    pub fn record_write(&mut self, session: usize, set: usize, position: Ticks) {
        if self.positions.len() <= session {
            self.positions.resize(session + 1, 0);
        }
        self.positions[session] = self.positions[session].max(position);
        self.writes.push_back(CommittedWrite {
            session,
            set,
            position,
        });
    }

    /// Forgets old positions and returns the sessions of which nothing is remembered any more.
    #[must_use]
    pub fn expire(&mut self, now: Ticks) -> Vec<usize> {
        let mut expired = Vec::new();
        while let Some(&write) = self.writes.front()
            && (now - write.position > RETENTION || self.writes.len() > MAX_WRITES)
        {
            self.writes.pop_front();
            if self.positions[write.session] == write.position {
                self.positions[write.session] = 0;
                self.raise_low_watermark(write.set, write.position);
                expired.push(write.session);
            }
        }
        expired
    }

    fn raise_low_watermark(&mut self, set: usize, position: Ticks) {
        if self.low_watermarks.len() <= set {
            self.low_watermarks.resize(set + 1, 0);
        }
        self.low_watermarks[set] = self.low_watermarks[set].max(position);
    }
}
