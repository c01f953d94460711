//! Placement of records by rendezvous hashing: the replicas of a record are the layout's members with the highest
//! weights for its key, on distinct hosts and, if there are enough zones, in distinct zones.
//!
//! # Invariants
//!
//! Placement depends on the agreed layout only, so that all members with the same layout compute the same replicas.

use leverpoint_membership::layout::Layout;
use xxhash_rust::xxh3::xxh3_64;

use crate::record::RecordKey;

/// The largest replication factor.
const MAX_REPLICAS: usize = 7;

/// Number of replicas of each record: odd, from 1 to 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationFactor(usize);

impl ReplicationFactor {
    /// Three replicas, of which one may be lost.
    pub const DEFAULT: ReplicationFactor = ReplicationFactor(3);

    /// Returns `None` unless `replicas` is an odd number from 1 to 7: an even number costs one replica more than the
    /// odd number below it and tolerates no more losses.
    #[must_use]
    pub fn new(replicas: usize) -> Option<ReplicationFactor> {
        (replicas % 2 == 1 && replicas <= MAX_REPLICAS).then_some(ReplicationFactor(replicas))
    }

    /// Number of replicas.
    #[must_use]
    pub fn get(self) -> usize {
        self.0
    }

    /// Smallest number of `replicas` that makes a quorum: any two quorums have a replica in common.
    #[must_use]
    pub fn quorum(replicas: usize) -> usize {
        replicas / 2 + 1
    }
}

/// A replica as a layout names it: a member, and the durable storage that it had when the layout was agreed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaId {
    /// Member name.
    pub name: String,
    /// Id of the member's durable storage; storage with another id holds none of the records written to this one.
    pub storage_id: u64,
}

/// Member of a layout, reduced to what placement needs.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    /// Hash of the member's name; without its storage id, so that a member that returns with empty storage is assigned
    /// the same records again.
    hash: u64,
    /// Index of the host among the distinct hosts of the layout.
    machine: u16,
    /// Index of the zone among the distinct zones of the layout.
    zone: u16,
}

/// Placement by one layout; computed once per layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    candidates: Vec<Candidate>,
}

impl Placement {
    /// Hashes the member names of a layout and numbers its hosts and zones.
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

    /// Indices of a record's replicas in the layout, by descending preference.
    ///
    /// A host has at most one replica. Zones are visited in the order of their highest weights, one replica per zone
    /// and round, so that the replicas are spread over the zones as evenly as possible.
    #[must_use]
    pub fn replicas(&self, key: RecordKey, factor: ReplicationFactor) -> Vec<usize> {
        let hash = key.hash();
        let candidates = self.candidates.iter().enumerate();
        let mut weighted: Vec<(u64, usize)> = candidates
            .map(|(index, candidate)| (mix_bits(hash ^ candidate.hash), index))
            .collect();
        weighted.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen: Vec<usize> = Vec::with_capacity(factor.get());
        while chosen.len() < factor.get() {
            let is_eligible = |index: &usize| {
                let machine = self.candidates[*index].machine;
                chosen
                    .iter()
                    .all(|other| other != index && self.candidates[*other].machine != machine)
            };
            let replicas_in_zone = |index: usize| {
                let zone = self.candidates[index].zone;
                let in_zone = chosen.iter().filter(|c| self.candidates[**c].zone == zone);
                in_zone.count()
            };
            // Candidates are in descending order of weight and `min_by_key` returns the first minimum: the candidate
            // with the highest weight in the zones with the fewest replicas.
            let eligible = weighted.iter().map(|(_, index)| *index).filter(is_eligible);
            let Some(next) = eligible.min_by_key(|index| replicas_in_zone(*index)) else {
                break;
            };
            chosen.push(next);
        }
        chosen
    }
}

/// Index of a name in `names`; appends the name if it is missing.
fn index_or_push<'a>(names: &mut Vec<&'a str>, name: &'a str) -> u16 {
    let index = names.iter().position(|other| *other == name);
    index.unwrap_or_else(|| {
        names.push(name);
        names.len() - 1
    }) as u16
}

/// Mixes the bits of a number. It is a bijection, so that two members with distinct name hashes never have the same
/// weight for a record.
fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let number = (number ^ (number >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    number ^ (number >> 32)
}

/// Indices of one record's replicas in a layout; see [`Placement::replicas`].
///
/// Prepares a [`Placement`] on each call.
#[must_use]
pub fn replicas(layout: &Layout, key: RecordKey, factor: ReplicationFactor) -> Vec<usize> {
    Placement::new(layout).replicas(key, factor)
}
