//! What this member remembers of the sessions whose writes it has begun.
//!
//! Whoever finishes the last open write of a session reports all of them as finished, also to a replica that missed an
//! earlier report.

use std::collections::BTreeMap;

use crate::Ticks;

/// Sessions remembered; beyond them the half that was idle for longest is forgotten.
const MAX_SESSIONS: usize = 1 << 16;

#[derive(Debug)]
struct LocalSession {
    /// The first write since the session is remembered; earlier ones are not this entry's to finish.
    first_write: u32,
    last_write: u32,
    open_writes: u32,
    position: Ticks,
    touched_at: Ticks,
    /// Since when no write of it could get a quorum, if the last one could not.
    rejected_since: Option<Ticks>,
}

/// A write that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BegunWrite {
    /// The first write of the session that is remembered here.
    pub first_write: u32,
    /// The number of this write, which no other write of this process has.
    pub number: u32,
}

/// What a session's writes have come to when one of them finishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionProgress {
    /// The first write of the session that is remembered here.
    pub first_write: u32,
    /// The highest replication position known of the session's writes.
    pub position: Ticks,
    /// The last write, once none is open; else 0.
    pub last_finished: u32,
}

/// The sessions with writes of this member.
#[derive(Debug, Default)]
pub struct LocalSessions {
    sessions: BTreeMap<u64, LocalSession>,
    writes_begun: u32,
}

impl LocalSessions {
    /// Numbers a write of a session and counts it as open.
    pub fn begin_write(&mut self, now: Ticks, session: u64) -> BegunWrite {
        self.writes_begun += 1;
        let number = self.writes_begun;
        let entry = self.sessions.entry(session).or_insert(LocalSession {
            first_write: number,
            last_write: number,
            open_writes: 0,
            position: 0,
            touched_at: now,
            rejected_since: None,
        });
        entry.last_write = number;
        entry.open_writes += 1;
        entry.touched_at = now;
        let first_write = entry.first_write;
        self.evict_idle();
        BegunWrite {
            first_write,
            number,
        }
    }

    /// Counts a write as finished at a position, 0 where it was not executed.
    pub fn finish_write(
        &mut self,
        now: Ticks,
        session: u64,
        position: Ticks,
    ) -> Option<SessionProgress> {
        let entry = self.sessions.get_mut(&session)?;
        entry.open_writes = entry.open_writes.saturating_sub(1);
        entry.position = entry.position.max(position);
        entry.touched_at = now;
        let all_finished = entry.open_writes == 0;
        Some(SessionProgress {
            first_write: entry.first_write,
            position: entry.position,
            last_finished: if all_finished { entry.last_write } else { 0 },
        })
    }

    /// The first write of a session that is remembered.
    #[must_use]
    pub fn first_write(&self, session: u64) -> Option<u32> {
        Some(self.sessions.get(&session)?.first_write)
    }

    /// A write of the session was acknowledged by a quorum.
    pub fn on_quorum_acknowledged(&mut self, session: u64) {
        if let Some(entry) = self.sessions.get_mut(&session) {
            entry.rejected_since = None;
        }
    }

    /// A write of the session is rejected; since when all of them were.
    pub fn on_rejected(&mut self, now: Ticks, session: u64) -> Ticks {
        let entry = self.sessions.get_mut(&session);
        entry.map_or(now, |entry| *entry.rejected_since.get_or_insert(now))
    }

    fn evict_idle(&mut self) {
        if self.sessions.len() <= MAX_SESSIONS {
            return;
        }
        let idle = self.sessions.values().filter(|s| s.open_writes == 0);
        let mut ages: Vec<Ticks> = idle.map(|s| s.touched_at).collect();
        if ages.is_empty() {
            return;
        }
        let half = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(half);
        let median = *median;
        self.sessions
            .retain(|_, s| s.open_writes > 0 || s.touched_at > median);
    }
}
