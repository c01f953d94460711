//! Replication positions that sessions must see, remembered for a while.
//!
//! # Invariants
//!
//! A position that is forgotten raises the low watermark of its replica set, so every later read of
//! the set still requires at least that position.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{MILLISECOND, Ticks};

/// How long the position of a session is remembered; longer than replicas usually lag, so they
/// cover the low watermark at no cost.
const RETENTION: Ticks = 30_000 * MILLISECOND;
/// Most writes that are remembered, of all sessions together.
const MAX_WRITES: usize = 50_000;

/// Required position after a write that was answered to its client while its server has not
/// reported the position yet. No replica is known to cover it.
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
    /// Position that a read of this session must cover in the replica set; 0 where any will do, and
    /// [`UNREPORTED`] after a write whose position is pending.
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

    /// Records that a write was answered to its client while its position is pending.
    pub fn on_write_answered(&mut self, session: usize, set: usize) {
        *self.unreported.entry((session, set)).or_default() += 1;
    }

    /// Records that the position of an answered write was reported, or will not be.
    pub fn on_write_reported(&mut self, session: usize, set: usize) {
        if let Some(count) = self.unreported.get_mut(&(session, set)) {
            *count -= 1;
            if *count == 0 {
                self.unreported.remove(&(session, set));
            }
        }
    }

    /// Remembers the position at which a write committed.
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
