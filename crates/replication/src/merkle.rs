//! Merkle trees over the records that two members share: one tree for each replica of the layout, two levels deep.
//!
//! The hash of a bucket is the XOR of its records' digests. The hash of a branch rotates each bucket's hash by its index,
//! so that equal hashes in two buckets do not cancel out.

use std::collections::BTreeSet;

use crate::message::TREE_FANOUT;
use crate::record::{Record, RecordKey};

/// The leaves of the tree.
pub const BUCKETS: usize = TREE_FANOUT * TREE_FANOUT;

/// Bits of a key's hash that are not used for its bucket.
const UNUSED_HASH_BITS: u32 = 52;

/// The bucket of a key.
#[must_use]
pub fn bucket_index(key: RecordKey) -> usize {
    (key.hash() >> UNUSED_HASH_BITS) as usize % BUCKETS
}

/// The hashes of all buckets, for each replica of the newest layout by its index.
#[derive(Debug, Default)]
pub struct MerkleTrees {
    hashes: Vec<Vec<u64>>,
    stale: BTreeSet<usize>,
}

impl MerkleTrees {
    /// Marks a bucket whose records have changed.
    pub fn mark_stale(&mut self, bucket: usize) {
        self.stale.insert(bucket);
    }

    /// Whether any bucket has to be rehashed.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        !self.stale.is_empty()
    }

    /// Starts anew for a layout of so many replicas.
    pub fn reset(&mut self, replicas: usize) {
        self.hashes = vec![vec![0; BUCKETS]; replicas];
        self.stale = (0..BUCKETS).collect();
    }

    /// Takes the next bucket that has to be rehashed.
    pub fn pop_stale(&mut self) -> Option<usize> {
        self.stale.pop_first()
    }

    /// Rehashes a bucket; `replicas` gives the indices of a record's replicas.
    pub fn rehash<'a>(
        &mut self,
        bucket: usize,
        records: impl Iterator<Item = &'a Record>,
        replicas: impl Fn(RecordKey) -> Vec<usize>,
    ) {
        for hashes in &mut self.hashes {
            hashes[bucket] = 0;
        }
        for record in records {
            let digest = record.digest();
            for replica in replicas(record.key) {
                if let Some(hashes) = self.hashes.get_mut(replica) {
                    hashes[bucket] ^= digest;
                }
            }
        }
    }

    /// The hashes of one branch's buckets in the tree of a replica.
    #[must_use]
    pub fn bucket_hashes(&self, replica: usize, branch: usize) -> Vec<u64> {
        self.branch(replica, branch)
            .map_or_else(|| vec![0; TREE_FANOUT], <[u64]>::to_vec)
    }

    /// The hashes of all branches in the tree of a replica.
    #[must_use]
    pub fn branch_hashes(&self, replica: usize) -> Vec<u64> {
        let hash = |branch| self.branch(replica, branch).map_or(0, branch_hash);
        (0..TREE_FANOUT).map(hash).collect()
    }

    fn branch(&self, replica: usize, branch: usize) -> Option<&[u64]> {
        let start = branch * TREE_FANOUT;
        Some(&self.hashes.get(replica)?[start..start + TREE_FANOUT])
    }
}

fn branch_hash(buckets: &[u64]) -> u64 {
    buckets
        .iter()
        .zip(0u32..)
        .fold(0, |hash, (bucket, index)| hash ^ bucket.rotate_left(index))
}
