//! The layout: a versioned set of replica holders, the size of its quorum, and the changes allowed between versions.
//!
//! # Invariants
//!
//! Two neighbouring versions differ by one holder, so that any two of their quorums intersect. A member that has lost
//! its storage is not the holder of its name: holders are identified by name and storage.

use std::collections::BTreeSet;

use leverpoint_failpoint::failpoint_active;
use serde::{Deserialize, Serialize};

use crate::member_info::MemberInfo;

/// A member that holds replicas, with the storage that it had when it was added.
///
/// Field order is part of the wire and stored formats.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaHolder {
    /// The member's name.
    pub name: String,
    /// Its storage; 0 in version 0, where any storage matches.
    pub storage_id: u64,
    /// The machine that it runs on; empty in version 0.
    pub machine: String,
    /// The availability zone that it runs in; empty in version 0.
    pub zone: String,
}

/// Most holders of a layout, so that a vote on it fits into one message.
pub const MAX_HOLDERS: usize = 1_024;

/// A version of the layout. Version 0 consists of the configured founders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// One more than the version that this layout replaces.
    pub version: u64,
    /// The holders, sorted by name, each once.
    pub holders: Vec<ReplicaHolder>,
}

impl From<&MemberInfo> for ReplicaHolder {
    fn from(info: &MemberInfo) -> ReplicaHolder {
        ReplicaHolder {
            name: info.name.clone(),
            storage_id: info.incarnation.storage_id,
            machine: info.machine.clone(),
            zone: info.zone.clone(),
        }
    }
}

impl Layout {
    /// Creates version 0, whose holders are the founders of these names.
    pub fn from_founders(names: &[String]) -> Layout {
        let names: BTreeSet<&String> = names.iter().collect();
        let holder = |name: &String| ReplicaHolder {
            name: name.clone(),
            storage_id: 0,
            machine: String::new(),
            zone: String::new(),
        };
        Layout {
            version: 0,
            holders: names.into_iter().map(holder).collect(),
        }
    }

    /// Whether the holders are sorted, unique, within the maximum, and have storage in all versions but 0.
    pub fn is_valid(&self) -> bool {
        self.holders.len() <= MAX_HOLDERS
            && self
                .holders
                .windows(2)
                .all(|pair| pair[0].name < pair[1].name)
            && self
                .holders
                .iter()
                .all(|h| (h.storage_id == 0) == (self.version == 0))
            && (self.version == 0 || !self.holders.is_empty())
    }

    /// Finds the holder with this name, whatever its storage.
    pub fn holder(&self, name: &str) -> Option<&ReplicaHolder> {
        self.holders.iter().find(|holder| holder.name == name)
    }

    /// Whether the member of this name, with this storage, is a holder.
    pub fn has_holder(&self, name: &str, storage_id: u64) -> bool {
        let accepts_any_storage =
            |h: &ReplicaHolder| h.storage_id == 0 || failpoint_active("empty-memory-votes");
        self.holder(name)
            .is_some_and(|h| h.storage_id == storage_id || accepts_any_storage(h))
    }

    /// Size of a quorum: more than half, or all of version 0, whose storage is not known yet.
    pub fn quorum(&self) -> usize {
        if self.version > 0 && failpoint_active("quorum-halved") {
            return (self.holders.len() / 2).max(1);
        }
        if self.version == 0 {
            self.holders.len().max(1)
        } else {
            self.holders.len() / 2 + 1
        }
    }

    /// Whether `next` may replace this layout: it has one holder more or fewer, or after version 0 the same names with
    /// their storage.
    pub fn permits_successor(&self, next: &Layout) -> bool {
        if next.version != self.version + 1 || !next.is_valid() {
            return false;
        }
        if self.version == 0 {
            let names = |l: &Layout| l.holders.iter().map(|h| h.name.clone()).collect::<Vec<_>>();
            return names(self) == names(next);
        }
        let (old, new): (BTreeSet<_>, BTreeSet<_>) =
            (self.holders.iter().collect(), next.holders.iter().collect());
        old.symmetric_difference(&new).count() == 1
    }

    /// The next version, with this holder added.
    pub fn with_holder(&self, holder: ReplicaHolder) -> Layout {
        let mut holders = self.holders.clone();
        let at = holders.partition_point(|h| h.name < holder.name);
        holders.insert(at, holder);
        Layout {
            version: self.version + 1,
            holders,
        }
    }

    /// The next version without the holder of this name.
    pub fn without_holder(&self, name: &str) -> Layout {
        let holders = self
            .holders
            .iter()
            .filter(|h| h.name != name)
            .cloned()
            .collect();
        Layout {
            version: self.version + 1,
            holders,
        }
    }

    /// A digest that distinguishes layouts of the same version.
    pub fn digest(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3::with_seed(self.version);
        for h in &self.holders {
            for text in [&h.name, &h.machine, &h.zone] {
                hash.update(&(text.len() as u64).to_le_bytes());
                hash.update(text.as_bytes());
            }
            hash.update(&h.storage_id.to_le_bytes());
        }
        hash.digest()
    }
}
