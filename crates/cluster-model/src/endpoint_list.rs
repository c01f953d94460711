//! Owns the list of machines as discovery keeps it: revisions, and what has changed since one.
//!
//! It must never tell a change that has not been published.

use crate::Ticks;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Up,
    Draining,
    Removed,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub server: usize,
    pub replica_set: usize,
    pub phase: Phase,
    pub is_primary: bool,
    /// Its last start; 0 when long ago.
    pub started_at: Ticks,
    revision: u64,
}

/// What is published, and what waits to be.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    revision: u64,
    entries: Vec<Entry>,
    /// Changes by when they are published.
    due: Vec<(Ticks, Entry)>,
}

impl EndpointList {
    /// A change that becomes known so much later.
    pub fn schedule_change(
        &mut self,
        at: Ticks,
        server: usize,
        replica_set: usize,
        phase: Phase,
        is_primary: bool,
        started_at: Ticks,
    ) {
        self.due.push((
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

    /// Publishes what is due; whether anything was.
    pub fn publish_due(&mut self, now: Ticks) -> bool {
        let (mut due, later): (Vec<_>, Vec<_>) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = later;
        due.sort_by_key(|(at, entry)| (*at, entry.server));
        let any = !due.is_empty();
        for (_, mut entry) in due {
            self.revision += 1;
            entry.revision = self.revision;
            self.entries.retain(|e| e.server != entry.server);
            self.entries.push(entry);
        }
        self.entries.sort_by_key(|e| e.server);
        any
    }

    pub fn next_publication_at(&self) -> Option<Ticks> {
        self.due.iter().map(|(at, _)| *at).min()
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Entries changed since that revision; all but the removed ones where none is named.
    pub fn changed_since(&self, revision: Option<u64>) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |e| match revision {
            Some(revision) => e.revision > revision,
            None => e.phase != Phase::Removed,
        })
    }
}
