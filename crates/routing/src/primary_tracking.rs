//! Tracks which server is the primary of each replica set.
//!
//! The primary is the member that was last named primary by an answer, a gossiped announcement or
//! the endpoint list. The list lags behind, so it counts only where there is no recent report.

use crate::api::{MILLISECOND, Ticks};

/// Time without reports after which the endpoint list may name another primary; longer than the
/// list lags behind.
const REPORT_PRECEDENCE: Ticks = 10_000 * MILLISECOND;

/// Role of a server in its replica set, as far as this gateway knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The known primary of its set.
    Primary,
    /// Any other member, also while the primary is unknown.
    Replica,
}

/// What this gateway knows of the primary of a replica set.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownPrimary {
    server: Option<usize>,
    /// When a server (not the list) last reported to be the primary.
    reported_at: Option<Ticks>,
}

impl KnownPrimary {
    /// The primary, if it is known.
    #[must_use]
    pub fn server(&self) -> Option<usize> {
        self.server
    }

    /// Whether this server is the known primary.
    #[must_use]
    pub fn is(&self, server: usize) -> bool {
        self.server == Some(server)
    }

    /// Records that a server reported to be the primary; returns whether that is a change.
    pub fn report(&mut self, server: usize, at: Ticks) -> bool {
        self.reported_at = Some(at);
        self.server.replace(server) != Some(server)
    }

    /// Records a primary that the endpoint list names; returns whether that is a change.
    pub fn set_listed(&mut self, server: usize) -> bool {
        self.server.replace(server) != Some(server)
    }

    /// Records that the primary is unknown.
    pub fn clear(&mut self) {
        self.server = None;
    }

    /// Whether no report is recent enough to take precedence over the endpoint list.
    #[must_use]
    pub fn yields_to_list(&self, now: Ticks) -> bool {
        self.reported_at
            .is_none_or(|at| now - at > REPORT_PRECEDENCE)
    }

    /// Whether a report made at this time is newer than the last one.
    #[must_use]
    pub fn is_older_than(&self, at: Ticks) -> bool {
        self.reported_at < Some(at)
    }
}

/// When a server last reported its role, and when it was last tried in the search for a primary.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoleReports {
    pub(crate) reported_at: Option<Ticks>,
    pub(crate) tried_at: Option<Ticks>,
}

impl RoleReports {
    /// When it last reported or was tried.
    pub(crate) fn last_contact(&self) -> Option<Ticks> {
        self.reported_at.max(self.tried_at)
    }
}
