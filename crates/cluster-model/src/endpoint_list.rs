//! The endpoint list as discovery publishes it: its revisions, and which entries have changed since a given revision.
//!
//! # Invariants
//!
//! A change is not visible to readers before it has been published.

use crate::Ticks;

/// Lifecycle phase of a server as published in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The server takes requests.
    Up,
    /// The server finishes its work and takes no new requests.
    Draining,
    /// The server has left the cluster; only readers that hold an older revision still get this entry.
    Removed,
}

/// State of one server as published.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Index of the server in the whole cluster.
    pub server: usize,
    /// Index of the replica set that the server belongs to.
    pub replica_set: usize,
    /// Lifecycle phase of the server.
    pub phase: Phase,
    /// Whether the server is the primary of its replica set.
    pub is_primary: bool,
    /// Time of the last start; 0 if the server has run since before the model began.
    pub started_at: Ticks,
    /// Revision of the list in which the entry last changed.
    revision: u64,
}

/// The published entries, and the changes that are scheduled for publication.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    revision: u64,
    entries: Vec<Entry>,
    /// Changes that have not been published yet, each with its time of publication.
    scheduled: Vec<(Ticks, Entry)>,
}

impl EndpointList {
    /// Schedules a change of a server's entry, to be published once the time is `at`.
    pub fn schedule_change(
        &mut self,
        at: Ticks,
        server: usize,
        replica_set: usize,
        phase: Phase,
        is_primary: bool,
        started_at: Ticks,
    ) {
        self.scheduled.push((
            at,
            Entry {
                server,
                replica_set,
                phase,
                is_primary,
                started_at,
                revision: 0,
            },
        ));
    }

    /// Publishes all changes that are due at `now`, and returns whether there were any.
    pub fn publish_due(&mut self, now: Ticks) -> bool {
        let (mut due, later): (Vec<_>, Vec<_>) =
            self.scheduled.drain(..).partition(|(at, _)| *at <= now);
        self.scheduled = later;
        due.sort_by_key(|(at, entry)| (*at, entry.server));
        let has_due = !due.is_empty();
        for (_, mut entry) in due {
            self.revision += 1;
            entry.revision = self.revision;
            self.entries.retain(|e| e.server != entry.server);
            self.entries.push(entry);
        }
        self.entries.sort_by_key(|e| e.server);
        has_due
    }

    /// Returns when the next scheduled change is due, or `None` if none is scheduled.
    pub fn next_publication_at(&self) -> Option<Ticks> {
        self.scheduled.iter().map(|(at, _)| *at).min()
    }

    /// Returns the latest published revision; 0 before the first publication.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entries that have changed since `revision`, or all entries except removed servers for `None`.
    pub fn changed_since(&self, revision: Option<u64>) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |e| match revision {
            Some(revision) => e.revision > revision,
            None => e.phase != Phase::Removed,
        })
    }
}
