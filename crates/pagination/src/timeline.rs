//! Checks by the timelines of a replica set whether a page is consistent with the pages delivered before it.
//!
//! A timeline is the history of writes under one primary. A failover starts a new one: the new primary continues from
//! the position up to which it had applied the log, and what the old primary had written beyond that is lost.
//!
//! # Invariants
//!
//! A page is never accepted after pages that showed writes which its timeline has lost.

use std::cmp::Ordering;

use crate::Ticks;

/// The point where a timeline forked from its parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimelineFork {
    /// The parent timeline.
    pub parent: u64,
    /// The last position that both timelines share.
    pub position: Ticks,
}

/// The forks known to a server, newest first. Each timeline has a larger number than its parent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TimelineHistory(Vec<TimelineFork>);

/// Maximum number of forks kept. A timeline older than the forks kept counts as lost, so a listing that lasts over
/// more failovers ends.
pub const MAX_FORKS: usize = 16;

impl TimelineHistory {
    /// Creates a history from forks, newest first; forks beyond [`MAX_FORKS`] are ignored. Returns `None` if the rest
    /// is not ordered by timeline and position, which no correct server reports.
    pub fn new(mut forks: Vec<TimelineFork>) -> Option<TimelineHistory> {
        forks.truncate(MAX_FORKS);
        forks
            .is_sorted_by(|a, b| a.parent > b.parent && a.position >= b.position)
            .then_some(TimelineHistory(forks))
    }

    /// Returns the last position shared with an ancestor `timeline`, or `None` if its fork is not known.
    fn fork_position(&self, timeline: u64) -> Option<Ticks> {
        self.0
            .iter()
            .find(|fork| fork.parent == timeline)
            .map(|fork| fork.position)
    }
}

/// The state that a server reports after a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// The server's current timeline.
    pub timeline: u64,
    /// The forks from which the current timeline descends.
    pub timeline_history: TimelineHistory,
    /// The replication position, rounded down, up to which the server had applied the log when it read the page.
    pub position: Ticks,
}

/// Whether a page continues the pages that a listing has delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// The page may be delivered next.
    Continues,
    /// The server has not applied the required position, or is on an older timeline; another server may do.
    Behind,
    /// Writes shown by delivered pages are not part of the server's timeline, or not known to be: the listing ends.
    Lost,
}

/// Checks a page against the pages delivered before it.
///
/// `timeline` and `position` are those of the cursor, `report` is what the server reported after the page.
pub fn check_continuity(timeline: u64, position: Ticks, report: &ServerReport) -> Continuity {
    let by_position = if report.position >= position {
        Continuity::Continues
    } else {
        Continuity::Behind
    };
    match report.timeline.cmp(&timeline) {
        Ordering::Equal => by_position,
        // The server has not learned of the failover yet, or was partitioned off before it. Its writes beyond the
        // fork are on no other server.
        Ordering::Less => Continuity::Behind,
        Ordering::Greater => match report.timeline_history.fork_position(timeline) {
            Some(fork) if position <= fork => by_position,
            Some(_) => Continuity::Lost,
            // The known forks do not reach back to that timeline, or it is no ancestor. Whether the writes were kept
            // is unknown.
            None => Continuity::Lost,
        },
    }
}
