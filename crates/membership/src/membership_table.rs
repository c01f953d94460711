//! What one member knows of the others: the newest update about each, by name.
//!
//! # Invariants
//!
//! An update about an earlier incarnation never replaces one about a later incarnation, and the table never exceeds
//! its maximum size.

use std::cell::Cell;
use std::collections::BTreeMap;

use leverpoint_failpoint::failpoint_active;

use crate::Ticks;
use crate::member_info::{Incarnation, MemberUpdate};
use crate::member_status::{MemberStatus, StatusEffect, StatusInput, next_status};

/// Index of a member's entry in a [`MembershipTable`]. It may be reused once the member has been forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberIndex(pub usize);

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The newest update.
    pub update: MemberUpdate,
    /// When the status last changed.
    pub status_since: Ticks,
    /// When a message from the member itself was last received.
    pub last_message_at: Option<Ticks>,
}

impl MemberEntry {
    /// The status in the newest update.
    pub fn status(&self) -> MemberStatus {
        self.update.status
    }

    /// Whether the member is alive or suspect.
    pub fn is_participating(&self) -> bool {
        self.status() <= MemberStatus::Suspect
    }
}

/// The outcome of an update or observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The status of this member has not changed.
    Unchanged(MemberIndex),
    /// The status has changed, or the member was not known before.
    Changed {
        /// Index of the member.
        member: MemberIndex,
        /// Its status before; `None` if it was not known.
        previous: Option<MemberStatus>,
        /// What follows from the change.
        effect: StatusEffect,
    },
    /// The update is about an incarnation of this member that has ended.
    EndedIncarnation(MemberIndex),
    /// A process at another address, with other storage, uses the name of this member, which is participating.
    NameConflict(MemberIndex),
    /// The member is not known, and there is no room for it or no use in adding it.
    Rejected,
}

/// Where an update comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// The member that the update is about.
    Subject,
    /// Gossip of another member.
    Gossip,
    /// Another member's whole table, which includes members that are dead or have left.
    TableSync,
}

/// All other members that are known, by index and by name.
#[derive(Debug, Default)]
pub struct MembershipTable {
    entries: Vec<Option<MemberEntry>>,
    index: BTreeMap<String, MemberIndex>,
    max_members: usize,
    /// Cached digest of the participants; `None` after a change.
    participants_digest: Cell<Option<u64>>,
}

impl MembershipTable {
    /// Creates an empty table for up to `max_members`.
    pub fn new(max_members: usize) -> MembershipTable {
        MembershipTable {
            max_members,
            ..MembershipTable::default()
        }
    }

    /// The entry at an index.
    pub fn get(&self, member: MemberIndex) -> Option<&MemberEntry> {
        self.entries.get(member.0)?.as_ref()
    }

    /// The entry of a name, with its index.
    pub fn find(&self, name: &str) -> Option<(MemberIndex, &MemberEntry)> {
        let member = *self.index.get(name)?;
        self.get(member).map(|entry| (member, entry))
    }

    /// All entries with their indices, by name.
    pub fn entries(&self) -> impl Iterator<Item = (MemberIndex, &MemberEntry)> {
        self.index
            .values()
            .filter_map(|member| self.get(*member).map(|entry| (*member, entry)))
    }

    /// Indices of the members that are alive or suspect, by name.
    pub fn participants(&self) -> Vec<MemberIndex> {
        self.indices(MemberEntry::is_participating)
    }

    fn indices(&self, matches: impl Fn(&MemberEntry) -> bool) -> Vec<MemberIndex> {
        self.entries()
            .filter(|(_, entry)| matches(entry))
            .map(|(member, _)| member)
            .collect()
    }

    /// Number of members known.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// A digest of the participants including `local`; members with equal tables compute equal digests.
    pub fn digest(&self, local: &MemberUpdate) -> u64 {
        let others = self.participants_digest.get().unwrap_or_else(|| {
            let participants = self.entries().filter(|(_, entry)| entry.is_participating());
            participants.fold(0, |digest, (_, entry)| digest ^ hash(&entry.update))
        });
        self.participants_digest.set(Some(others));
        others ^ hash(local)
    }

    /// Applies an update. `on_evicted` receives the index of a member that had to make room.
    pub fn apply(
        &mut self,
        now: Ticks,
        update: &MemberUpdate,
        source: UpdateSource,
        on_evicted: &mut impl FnMut(MemberIndex),
    ) -> ApplyOutcome {
        let outcome = match self.index.get(&update.info.name).copied() {
            Some(member) => self.apply_to(now, member, update, source),
            None => self.add(now, update, source, on_evicted),
        };
        if matches!(outcome, ApplyOutcome::Changed { .. }) {
            self.participants_digest.set(None);
        }
        outcome
    }

    fn add(
        &mut self,
        now: Ticks,
        update: &MemberUpdate,
        source: UpdateSource,
        on_evicted: &mut impl FnMut(MemberIndex),
    ) -> ApplyOutcome {
        // Gossip about an unknown dead member would otherwise circulate for ever.
        if update.status >= MemberStatus::Dead && source != UpdateSource::TableSync {
            return ApplyOutcome::Rejected;
        }
        let Some(member) = self.free_index(on_evicted) else {
            return ApplyOutcome::Rejected;
        };
        self.entries[member.0] = Some(new_entry(now, update.clone(), source));
        self.index.insert(update.info.name.clone(), member);
        let effect = match update.status {
            MemberStatus::Alive => StatusEffect::Gossip,
            MemberStatus::Suspect => StatusEffect::GossipAndSuspect,
            MemberStatus::Dead | MemberStatus::Left => StatusEffect::Nothing,
        };
        ApplyOutcome::Changed {
            member,
            previous: None,
            effect,
        }
    }

    fn apply_to(
        &mut self,
        now: Ticks,
        member: MemberIndex,
        update: &MemberUpdate,
        source: UpdateSource,
    ) -> ApplyOutcome {
        let Some(entry) = self.entries[member.0].as_mut() else {
            return ApplyOutcome::Rejected;
        };
        let (known, updated) = (entry.update.info.incarnation, update.info.incarnation);
        if updated < known && !failpoint_active("old-life-believed") {
            return ApplyOutcome::EndedIncarnation(member);
        }
        if updated != known {
            return self.replace_incarnation(now, member, update, source);
        }
        if source == UpdateSource::Subject {
            entry.last_message_at = Some(now);
        }
        let known_order = (entry.update.refutation_count, entry.status());
        if (update.refutation_count, update.status) <= known_order {
            return ApplyOutcome::Unchanged(member);
        }
        let input = match update.status {
            MemberStatus::Alive => StatusInput::ReportedAlive,
            MemberStatus::Suspect => StatusInput::ReportedSuspect,
            MemberStatus::Dead => StatusInput::ReportedDead,
            MemberStatus::Left => StatusInput::ReportedLeft,
        };
        let outcome = self.observe(now, member, input);
        if matches!(outcome, ApplyOutcome::Changed { .. })
            && let Some(entry) = self.entries[member.0].as_mut()
        {
            let count = &mut entry.update.refutation_count;
            *count = update.refutation_count.max(*count);
        }
        outcome
    }

    fn replace_incarnation(
        &mut self,
        now: Ticks,
        member: MemberIndex,
        update: &MemberUpdate,
        source: UpdateSource,
    ) -> ApplyOutcome {
        let Some(entry) = self.entries[member.0].as_mut() else {
            return ApplyOutcome::Rejected;
        };
        let (known, info) = (&entry.update.info, &update.info);
        let has_other_address = info.address != known.address;
        let has_other_storage = info.incarnation.storage_id != known.incarnation.storage_id;
        if source == UpdateSource::Subject
            && has_other_address
            && has_other_storage
            && entry.is_participating()
        {
            return ApplyOutcome::NameConflict(member);
        }
        let previous = entry.status();
        let (next, effect) = next_status(previous, StatusInput::NewIncarnation);
        let update = MemberUpdate {
            status: next.max(update.status),
            ..update.clone()
        };
        *entry = new_entry(now, update, source);
        ApplyOutcome::Changed {
            member,
            previous: Some(previous),
            effect,
        }
    }

    /// Applies what this member has observed itself.
    pub fn observe(&mut self, now: Ticks, member: MemberIndex, input: StatusInput) -> ApplyOutcome {
        let Some(entry) = self.entries.get_mut(member.0).and_then(Option::as_mut) else {
            return ApplyOutcome::Rejected;
        };
        let previous = entry.status();
        let (next, effect) = next_status(previous, input);
        if effect == StatusEffect::Nothing {
            return ApplyOutcome::Unchanged(member);
        }
        entry.update.status = next;
        entry.status_since = now;
        self.participants_digest.set(None);
        ApplyOutcome::Changed {
            member,
            previous: Some(previous),
            effect,
        }
    }

    /// Members that have been suspect since `at` or earlier.
    pub fn suspects_since(&self, at: Ticks) -> Vec<MemberIndex> {
        self.indices(|entry| entry.status() == MemberStatus::Suspect && entry.status_since <= at)
    }

    /// Extends all suspicions by a span in which this process did not run.
    pub fn extend_suspicions(&mut self, now: Ticks, span: Ticks) {
        for entry in self.entries.iter_mut().flatten() {
            if entry.status() == MemberStatus::Suspect {
                entry.status_since = (entry.status_since + span).min(now);
            }
        }
    }

    /// A free index. A full table evicts the member that has been dead, or has left, for longest.
    fn free_index(&mut self, on_evicted: &mut impl FnMut(MemberIndex)) -> Option<MemberIndex> {
        if self.index.len() >= self.max_members {
            let departed = self
                .entries()
                .filter(|(_, entry)| !entry.is_participating());
            let (oldest, _) = departed.min_by_key(|(_, entry)| entry.status_since)?;
            self.forget(oldest);
            on_evicted(oldest);
        }
        if let Some(free) = self.entries.iter().position(Option::is_none) {
            return Some(MemberIndex(free));
        }
        self.entries.push(None);
        Some(MemberIndex(self.entries.len() - 1))
    }

    /// Removes a member. Its index may be reused.
    pub fn forget(&mut self, member: MemberIndex) {
        if let Some(entry) = self.entries.get_mut(member.0).and_then(Option::take) {
            self.index.remove(&entry.update.info.name);
            self.participants_digest.set(None);
        }
    }

    /// Members that have been dead, or have left, since `at` or earlier.
    pub fn departed_since(&self, at: Ticks) -> Vec<MemberIndex> {
        self.indices(|entry| !entry.is_participating() && entry.status_since <= at)
    }
}

fn new_entry(now: Ticks, update: MemberUpdate, source: UpdateSource) -> MemberEntry {
    MemberEntry {
        update,
        status_since: now,
        last_message_at: (source == UpdateSource::Subject).then_some(now),
    }
}

fn hash(update: &MemberUpdate) -> u64 {
    let Incarnation { number, storage_id } = update.info.incarnation;
    let count = u64::from(update.refutation_count);
    let seed = number ^ storage_id.rotate_left(32) ^ count.rotate_left(16);
    xxhash_rust::xxh3::xxh3_64_with_seed(update.info.name.as_bytes(), seed)
}
