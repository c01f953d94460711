//! Placement of records by rendezvous hashing: the replicas of a record are the layout's members with the highest weights
//! for it, on distinct machines and, where there are enough, in distinct zones.
//!
//! Placement follows from the agreed layout alone: two members with one layout name the same replicas.

use leverpoint_membership::layout::Layout;
use xxhash_rust::xxh3::xxh3_64;

use crate::record::RecordKey;

/// The largest replication factor.
const MAX_REPLICAS: usize = 7;

/// How many replicas a record has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationFactor(usize);

impl ReplicationFactor {
    /// Three: one replica may be lost.
    pub const DEFAULT: ReplicationFactor = ReplicationFactor(3);

    /// An odd number from 1 to 7: an even one costs a replica more and survives no more losses.
    #[must_use]
    pub fn new(replicas: usize) -> Option<ReplicationFactor> {
        (replicas % 2 == 1 && replicas <= MAX_REPLICAS).then_some(ReplicationFactor(replicas))
    }

    /// The number of replicas.
    #[must_use]
    pub fn get(self) -> usize {
        self.0
    }

    /// How many of so many replicas make a quorum: any two quorums share one.
    #[must_use]
    pub fn quorum(replicas: usize) -> usize {
        replicas / 2 + 1
    }
}

/// A replica as a layout names it: a member with the memory that it had then.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaId {
    /// The member's name.
    pub name: String,
    /// The number of the durable state that it holds; another one holds nothing of what was written before.
    pub storage_id: u64,
}

/// A member of a layout as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    /// The hash of its name; not of its memory, so that a member that comes back empty gets its records again.
    hash: u64,
    machine: u16,
    zone: u16,
}

/// What placement needs of a layout; made once a layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    candidates: Vec<Candidate>,
}

impl Placement {
    /// Prepares the placement of a layout.
    #[must_use]
    pub fn new(layout: &Layout) -> Placement {
        let (mut machines, mut zones): (Vec<&str>, Vec<&str>) = (Vec::new(), Vec::new());
        let candidates = layout.holders.iter().map(|holder| Candidate {
            hash: xxh3_64(holder.name.as_bytes()),
            machine: index_or_push(&mut machines, &holder.machine),
            zone: index_or_push(&mut zones, &holder.zone),
        });
        Placement {
            candidates: candidates.collect(),
        }
    }

    /// The indices in the layout of a record's replicas, the one to be asked first in front.
    ///
    /// A machine has one replica at most. Zones are gone through in the order of their best weights, one replica of each,
    /// then again, so that the replicas are spread over the zones as evenly as can be.
    #[must_use]
    pub fn replicas(&self, key: RecordKey, factor: ReplicationFactor) -> Vec<usize> {
        let hash = key.hash();
        let candidates = self.candidates.iter().enumerate();
        let mut weighted: Vec<(u64, usize)> = candidates
            .map(|(index, candidate)| (mix(hash ^ candidate.hash), index))
            .collect();
        weighted.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen: Vec<usize> = Vec::with_capacity(factor.get());
        while chosen.len() < factor.get() {
            let is_free = |index: &usize| {
                let machine = self.candidates[*index].machine;
                chosen
                    .iter()
                    .all(|other| other != index && self.candidates[*other].machine != machine)
            };
            let chosen_in_zone = |index: usize| {
                let zone = self.candidates[index].zone;
                let same = chosen.iter().filter(|c| self.candidates[**c].zone == zone);
                same.count()
            };
            // Of those in the zones with fewest replicas `min_by_key` takes the one with the highest weight.
            let free = weighted.iter().map(|(_, index)| *index).filter(is_free);
            let Some(next) = free.min_by_key(|index| chosen_in_zone(*index)) else {
                break;
            };
            chosen.push(next);
        }
        chosen
    }
}

fn index_or_push<'a>(names: &mut Vec<&'a str>, name: &'a str) -> u16 {
    let index = names.iter().position(|other| *other == name);
    index.unwrap_or_else(|| {
        names.push(name);
        names.len() - 1
    }) as u16
}

/// Spreads a number over all its bits; a bijection, so that two members have the same weight for no record.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let number = (number ^ (number >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    number ^ (number >> 32)
}

/// The indices in a layout of one record's replicas.
#[must_use]
pub fn replicas(layout: &Layout, key: RecordKey, factor: ReplicationFactor) -> Vec<usize> {
    Placement::new(layout).replicas(key, factor)
}
