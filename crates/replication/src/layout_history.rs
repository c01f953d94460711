//! The layouts in force: the newest one, and older ones from which records are still being transferred.
//!
//! # Invariants
//!
//! An older layout is dropped only once every member of the newest has all of its records. Records that no member can
//! transfer any more count as lost, not as never written.

use std::collections::{BTreeMap, BTreeSet};

use leverpoint_failpoint::failpoint_active;
use leverpoint_membership::layout::{Layout, ReplicaHolder};

use crate::Ticks;
use crate::message::MAX_LAYOUTS;
use crate::placement::{Placement, ReplicaId, ReplicationFactor};
use crate::record::RecordKey;
use crate::write_quorum::ReplicaSet;

#[derive(Clone, Debug, PartialEq, Eq)]
struct PlacedLayout {
    layout: Layout,
    placement: Placement,
    /// When this member adopted the layout.
    adopted_at: Ticks,
}

/// The layouts in force, and which members have transferred their records to this one under the newest.
#[derive(Clone, Debug)]
pub struct LayoutHistory {
    factor: ReplicationFactor,
    /// Oldest first.
    layouts: Vec<PlacedLayout>,
    /// Versions were skipped, or this member is new: the layouts in force have to be learned from other members.
    incomplete: bool,
    /// Members that have adopted the newest layout and do not know the older ones either.
    unknown_to: BTreeSet<String>,
    /// By member: its storage id when it had transferred all records that were reassigned to this one.
    transferred: BTreeMap<String, u64>,
}

/// Whether a member has all of its records under the newest layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStatus {
    /// It has all of them.
    InSync,
    /// It has all that other members can still transfer; records acknowledged up to this time may be lost.
    InSyncWithLoss(Ticks),
    /// Transfers are pending, or the layouts in force are not known.
    Syncing,
}

impl LayoutHistory {
    /// A history without any layout.
    #[must_use]
    pub fn new(factor: ReplicationFactor) -> LayoutHistory {
        LayoutHistory {
            factor,
            layouts: Vec::new(),
            incomplete: false,
            unknown_to: BTreeSet::new(),
            transferred: BTreeMap::new(),
        }
    }

    /// The newest layout; none before the first.
    #[must_use]
    pub fn newest(&self) -> Option<&Layout> {
        self.layouts.last().map(|placed| &placed.layout)
    }

    /// The version of the newest layout; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.newest().map_or(0, |layout| layout.version)
    }

    /// The version of the oldest layout in force; 0 if there is none.
    #[must_use]
    pub fn oldest_version(&self) -> u64 {
        self.layouts().next().map_or(0, |layout| layout.version)
    }

    /// The members of the newest layout.
    pub(crate) fn newest_holders(&self) -> impl Iterator<Item = &ReplicaHolder> {
        self.newest().into_iter().flat_map(|layout| &layout.holders)
    }

    /// The layouts in force, oldest first.
    pub fn layouts(&self) -> impl Iterator<Item = &Layout> {
        self.layouts.iter().map(|placed| &placed.layout)
    }

    /// Whether it is known which layouts are in force.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.layouts.is_empty() && !self.incomplete && self.layouts.len() <= MAX_LAYOUTS
    }

    /// Adds an agreed layout. Returns false, and changes nothing, if it is not newer than all others.
    pub fn push(&mut self, now: Ticks, layout: &Layout) -> bool {
        if layout.version == 0 || layout.version <= self.version() {
            return false;
        }
        // Versions between the last one known here and this one may be in force too. No layout precedes version 1.
        self.incomplete |= layout.version != self.version() + 1;
        self.layouts.push(PlacedLayout::new(layout, now));
        self.transferred.clear();
        self.unknown_to.clear();
        if self.layouts.len() > MAX_LAYOUTS {
            // More layouts than fit a message. As for a new member, the history is learned from others, or is dropped
            // once all members are in sync.
            self.layouts.remove(0);
            self.incomplete = true;
        }
        true
    }

    /// Adopts the layouts in force from a member with the same newest layout. Returns false, and changes nothing, if
    /// the history is complete or the newest layouts differ.
    pub fn on_history_received(&mut self, layouts: &[Layout]) -> bool {
        let is_same_newest = self.newest().is_some() && self.newest() == layouts.last();
        if !self.incomplete || !is_same_newest {
            return false;
        }
        let newest_adopted_at = self.layouts.last().map_or(0, |placed| placed.adopted_at);
        let adopted_at = |version: u64| {
            let mut known = self.layouts.iter();
            known
                .find(|placed| placed.layout.version == version)
                .map_or(newest_adopted_at, |placed| placed.adopted_at)
        };
        self.layouts = layouts
            .iter()
            .map(|layout| PlacedLayout::new(layout, adopted_at(layout.version)))
            .collect();
        self.incomplete = false;
        true
    }

    /// Records that a member that has adopted the newest layout does not know the older ones either.
    ///
    /// Once that holds for all its members, no older layout is in force anywhere, and they are dropped. Returns whether
    /// that is so.
    pub fn on_history_unknown_to(&mut self, local: &str, name: &str) -> bool {
        if !self.incomplete {
            return false;
        }
        self.unknown_to.insert(name.to_owned());
        let unknown_to_all = self.newest().is_some_and(|layout| {
            let mut holders = layout.holders.iter();
            holders.all(|holder| holder.name == local || self.unknown_to.contains(&holder.name))
        });
        unknown_to_all && self.drop_superseded()
    }

    /// Restores the layouts that an earlier incarnation has persisted, oldest first.
    pub fn restore(&mut self, now: Ticks, layouts: &[Layout]) {
        self.layouts = layouts
            .iter()
            .map(|layout| PlacedLayout::new(layout, now))
            .collect();
        self.incomplete = false;
    }

    /// Drops all layouts but the newest. Returns false if no other was in force and the history was complete.
    pub fn drop_superseded(&mut self) -> bool {
        let older = self.layouts.len().saturating_sub(1);
        if older == 0 && !self.incomplete {
            return false;
        }
        self.layouts.drain(..older);
        self.incomplete = false;
        true
    }

    /// Records that a member, with that storage, has transferred all records that were reassigned to this one.
    pub fn record_transfer(&mut self, name: &str, storage_id: u64) {
        self.transferred.insert(name.to_owned(), storage_id);
    }

    /// Whether a member, with that storage, has transferred all records that were reassigned to this one.
    #[must_use]
    pub fn has_transferred(&self, name: &str, storage_id: u64) -> bool {
        self.transferred.get(name) == Some(&storage_id)
    }

    /// The replicas of a record in each layout in force, oldest first.
    #[must_use]
    pub fn replica_sets(&self, key: RecordKey) -> Vec<ReplicaSet> {
        let in_force = if failpoint_active("old-layout-alone") {
            &self.layouts[..1.min(self.layouts.len())]
        } else {
            &self.layouts[..]
        };
        in_force
            .iter()
            .map(|placed| placed.replicas(key, self.factor))
            .collect()
    }

    /// The replicas of a record in all layouts in force.
    #[must_use]
    pub fn all_replicas(&self, key: RecordKey) -> BTreeSet<ReplicaId> {
        self.replica_sets(key).into_iter().flatten().collect()
    }

    /// The replicas of a record on the member of this name, by all layouts in force: one per storage id.
    #[must_use]
    pub fn replicas_named(&self, key: RecordKey, name: &str) -> BTreeSet<ReplicaId> {
        let mut replicas = self.all_replicas(key);
        replicas.retain(|replica| replica.name == name);
        replicas
    }

    /// The indices of a record's replicas among the holders of the newest layout.
    #[must_use]
    pub fn replica_indices(&self, key: RecordKey) -> Vec<usize> {
        self.layouts.last().map_or(Vec::new(), |newest| {
            newest.placement.replicas(key, self.factor)
        })
    }

    /// The index of a member among the holders of the newest layout.
    #[must_use]
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.newest_holders().position(|holder| holder.name == name)
    }

    /// Whether a replica holds a record under the newest layout but did not under some older one in force.
    pub(crate) fn is_reassigned(&self, key: RecordKey, replica: &ReplicaId) -> bool {
        let has_replica =
            |placed: &PlacedLayout| placed.replicas(key, self.factor).contains(replica);
        self.layouts
            .split_last()
            .is_some_and(|(newest, older)| has_replica(newest) && !older.iter().all(has_replica))
    }

    /// How many replicas of a record may be missing while every quorum still includes one that is not: one less than a
    /// quorum.
    fn tolerated_losses(&self, placed: &PlacedLayout) -> usize {
        let holders = placed.layout.holders.iter();
        let machines: BTreeSet<&String> = holders.map(|holder| &holder.machine).collect();
        ReplicationFactor::quorum(self.factor.get().min(machines.len())) - 1
    }

    /// The members of older layouts that have yet to transfer the records that were reassigned to this one.
    #[must_use]
    pub fn pending_transfers(&self, local: &str) -> Vec<ReplicaId> {
        let older = self
            .layouts
            .split_last()
            .map_or(&[][..], |(_, older)| older);
        let pending: BTreeSet<ReplicaId> = older
            .iter()
            .flat_map(|placed| &placed.layout.holders)
            .filter(|holder| {
                holder.name != local && !self.has_transferred(&holder.name, holder.storage_id)
            })
            .map(replica_id)
            .collect();
        pending.into_iter().collect()
    }

    /// Whether this member, with its storage, has all of its records under the newest layout.
    ///
    /// `expired_after` is how long, from the adoption of the newest layout, a member that it does not name may still
    /// act on an older one.
    #[must_use]
    pub fn sync_status(
        &self,
        now: Ticks,
        local: &str,
        storage_id: u64,
        expired_after: Ticks,
    ) -> SyncStatus {
        let Some((newest, older)) = self.layouts.split_last() else {
            return SyncStatus::Syncing;
        };
        if self.incomplete {
            return SyncStatus::Syncing;
        }
        if failpoint_active("empty-memory-counts") {
            return SyncStatus::InSync;
        }
        let mut lost_until = 0;
        for placed in older {
            let has_handed_over = |holder: &ReplicaHolder| {
                (holder.name == local && holder.storage_id == storage_id)
                    || self.has_transferred(&holder.name, holder.storage_id)
            };
            let holders = placed.layout.holders.iter();
            let missing: Vec<&ReplicaHolder> =
                holders.filter(|holder| !has_handed_over(holder)).collect();
            if missing.len() <= self.tolerated_losses(placed) {
                continue;
            }
            // A member that the newest layout names with that storage may come back and transfer its records.
            let may_return =
                |holder: &&ReplicaHolder| newest.layout.has_holder(&holder.name, holder.storage_id);
            let expired_at = newest.adopted_at + expired_after;
            if missing.iter().any(may_return) || now < expired_at {
                return SyncStatus::Syncing;
            }
            lost_until = lost_until.max(expired_at);
        }
        if lost_until > 0 {
            SyncStatus::InSyncWithLoss(lost_until)
        } else {
            SyncStatus::InSync
        }
    }
}

impl PlacedLayout {
    fn new(layout: &Layout, adopted_at: Ticks) -> PlacedLayout {
        PlacedLayout {
            placement: Placement::new(layout),
            layout: layout.clone(),
            adopted_at,
        }
    }

    fn replicas(&self, key: RecordKey, factor: ReplicationFactor) -> ReplicaSet {
        let indices = self.placement.replicas(key, factor);
        indices
            .into_iter()
            .map(|index| replica_id(&self.layout.holders[index]))
            .collect()
    }
}

fn replica_id(holder: &ReplicaHolder) -> ReplicaId {
    ReplicaId {
        name: holder.name.clone(),
        storage_id: holder.storage_id,
    }
}
