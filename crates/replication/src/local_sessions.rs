//! Progress of the sessions whose writes have begun at this member.
//!
//! When the last open write of a session finishes, all of its writes are reported as finished together, so that a
//! replica that missed an earlier report catches up.

use std::collections::BTreeMap;

use crate::Ticks;

/// Maximum tracked sessions; beyond it the half of the idle sessions that was idle for longest is evicted.
const MAX_SESSIONS: usize = 1 << 16;

/// Open writes and position of one session at this member.
#[derive(Debug)]
struct LocalSession {
    /// Number of the first write since the session is tracked; this entry does not finish earlier ones.
    first_write: u32,
    last_write: u32,
    open_writes: u32,
    position: Ticks,
    touched_at: Ticks,
    /// Time of the first rejection since a quorum last acknowledged a write of the session.
    rejected_since: Option<Ticks>,
}

/// Numbers assigned to a write when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BegunWrite {
    /// Number of the session's first write since this member tracks it.
    pub first_write: u32,
    /// Number of this write, unique within the process.
    pub number: u32,
}

/// State of a session's writes after one of them has finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionProgress {
    /// Number of the session's first write since this member tracks it.
    pub first_write: u32,
    /// Highest known replication position of the session's writes.
    pub position: Ticks,
    /// Number of the last write if no write is open; 0 otherwise.
    pub last_finished: u32,
}

/// Sessions with writes that began at this member, by session number.
#[derive(Debug, Default)]
pub struct LocalSessions {
    sessions: BTreeMap<u64, LocalSession>,
    writes_begun: u32,
}

impl LocalSessions {
    /// Assigns a number to a write of a session and counts the write as open.
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

    /// Counts a write as finished at a replication position; 0 if it was not executed.
    ///
    /// Returns `None` if the session is not tracked any more.
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

    /// Number of a session's first write since this member tracks it; `None` if it is not tracked.
    #[must_use]
    pub fn first_write(&self, session: u64) -> Option<u32> {
        Some(self.sessions.get(&session)?.first_write)
    }

    /// Resets the time of the first rejection: a quorum has acknowledged a write of the session.
    pub fn on_quorum_acknowledged(&mut self, session: u64) {
        if let Some(entry) = self.sessions.get_mut(&session) {
            entry.rejected_since = None;
        }
    }

    /// Records that a write of the session was rejected; returns the time since when all of its writes were rejected.
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
