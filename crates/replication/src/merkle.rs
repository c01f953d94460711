//! Merkle trees over the records that two members share: one tree for each replica holder of the layout, two levels
//! deep.
//!
//! The hash of a bucket is the XOR of its records' digests. The hash of a branch is the XOR of its buckets' hashes,
//! each rotated by the bucket's index, so that equal hashes in two buckets do not cancel out.

use std::collections::BTreeSet;

use crate::message::TREE_FANOUT;
use crate::record::{Record, RecordKey};

/// Number of buckets, the leaves of each tree.
pub const BUCKETS: usize = TREE_FANOUT * TREE_FANOUT;

/// Low bits of a key's hash that do not select its bucket; the upper 12 do.
const UNUSED_HASH_BITS: u32 = 52;

/// Index of the bucket that a key belongs to, below [`BUCKETS`].
#[must_use]
pub fn bucket_index(key: RecordKey) -> usize {
    (key.hash() >> UNUSED_HASH_BITS) as usize % BUCKETS
}

/// Bucket hashes for each replica holder of the newest layout.
#[derive(Debug, Default)]
pub struct MerkleTrees {
    /// By the holder's index in the layout, then by bucket.
    hashes: Vec<Vec<u64>>,
    /// Buckets whose hashes are out of date.
    stale: BTreeSet<usize>,
}

impl MerkleTrees {
    /// Marks a bucket as stale after its records have changed.
    pub fn mark_stale(&mut self, bucket: usize) {
        self.stale.insert(bucket);
    }

    /// Whether the hashes of any bucket are out of date.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        !self.stale.is_empty()
    }

    /// Discards all hashes and marks all buckets as stale, for a layout of `replicas` holders.
    pub fn reset(&mut self, replicas: usize) {
        self.hashes = vec![vec![0; BUCKETS]; replicas];
        self.stale = (0..BUCKETS).collect();
    }

    /// Removes and returns the lowest stale bucket; the caller rehashes it.
    pub fn pop_stale(&mut self) -> Option<usize> {
        self.stale.pop_first()
    }

    /// Recomputes the hashes of a bucket from all of its records.
    ///
    /// `replicas` returns the layout indices of a record's replica holders.
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

    /// Hashes of the buckets of a branch in the tree of one replica holder; zeros for an unknown holder.
    #[must_use]
    pub fn bucket_hashes(&self, replica: usize, branch: usize) -> Vec<u64> {
        self.branch(replica, branch)
            .map_or_else(|| vec![0; TREE_FANOUT], <[u64]>::to_vec)
    }

    /// Hashes of all branches in the tree of one replica holder; zeros for an unknown holder.
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

/// Combines the bucket hashes of a branch.
fn branch_hash(buckets: &[u64]) -> u64 {
    buckets
        .iter()
        .zip(0u32..)
        .fold(0, |hash, (bucket, index)| hash ^ bucket.rotate_left(index))
}
