//! In-memory store of replicated records, bucketed by key hash, with eviction and expiry.
//!
//! # Invariants
//!
//! The low watermark is raised to cover a record before the record is dropped, except for idempotency keys past their
//! retention. The store stays within its limits.

use std::collections::BTreeMap;

use crate::Ticks;
use crate::merkle::MerkleTrees;
pub use crate::merkle::{BUCKETS, bucket_index};
use crate::record::{Record, RecordKey, RecordValue};

/// Expiry raises the low watermark in steps of 10 s, as each rise is persisted.
const LOW_WATERMARK_STEP: Ticks = 100_000;
/// An eviction drops one record in this many.
const EVICTION_DIVISOR: usize = 10;

/// Bounds of a [`RecordStore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordStoreLimits {
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum approximate size of all records in memory, in bytes.
    pub max_bytes: usize,
    /// Time for which a session's position is retained, counted from [`Record::last_touched`]: by then every replica of
    /// the database has replicated up to it.
    pub position_retention: Ticks,
    /// Time for which an idempotency key is retained, counted from [`Record::last_touched`]: it covers the
    /// deduplication window, the client timeout and the clock skew.
    pub key_retention: Ticks,
}

/// The records of one member, with the Merkle trees over them.
#[derive(Debug)]
pub struct RecordStore {
    limits: RecordStoreLimits,
    buckets: Vec<BTreeMap<RecordKey, Record>>,
    len: usize,
    bytes: usize,
    low_watermark: Ticks,
    trees: MerkleTrees,
    /// Counts buckets searched for expired records; modulo [`BUCKETS`] it is the next one to search.
    next_to_expire: usize,
    evicted: u64,
}

impl RecordStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limits: RecordStoreLimits) -> RecordStore {
        RecordStore {
            limits,
            buckets: vec![BTreeMap::new(); BUCKETS],
            len: 0,
            bytes: 0,
            low_watermark: 0,
            trees: MerkleTrees::default(),
            next_to_expire: 0,
            evicted: 0,
        }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the store has no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Approximate size of all records in memory, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of records evicted because a limit was exceeded.
    #[must_use]
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Time up to which records may be missing, by [`Record::last_touched`].
    #[must_use]
    pub fn low_watermark(&self) -> Ticks {
        self.low_watermark
    }

    /// Raises the low watermark to at least `to`; returns whether it has changed.
    pub fn raise_low_watermark(&mut self, to: Ticks) -> bool {
        let raised = to > self.low_watermark;
        self.low_watermark = self.low_watermark.max(to);
        raised
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: RecordKey) -> Option<&Record> {
        self.buckets[bucket_index(key)].get(&key)
    }

    /// Records of a bucket, in key order.
    pub fn bucket_records(&self, bucket: usize) -> impl Iterator<Item = &Record> {
        self.buckets[bucket].values()
    }

    /// All records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.buckets.iter().flat_map(BTreeMap::values)
    }

    /// Merges a record into the store; returns whether the stored record has changed.
    pub fn merge(&mut self, record: &Record) -> bool {
        let bucket = bucket_index(record.key);
        let changed = if let Some(stored) = self.buckets[bucket].get_mut(&record.key) {
            let before = stored.memory_size();
            let changed = stored.merge(record);
            self.bytes = (self.bytes + stored.memory_size()).saturating_sub(before);
            changed
        } else {
            self.len += 1;
            self.bytes += record.memory_size();
            self.buckets[bucket].insert(record.key, record.clone());
            true
        };
        if changed {
            self.trees.mark_stale(bucket);
        }
        if self.len > self.limits.max_records || self.bytes > self.limits.max_bytes {
            self.evict();
        }
        changed
    }

    /// Drops a record without raising the low watermark; used by a planted fault only.
    pub(crate) fn forget(&mut self, key: RecordKey) {
        self.drop_from(bucket_index(key), |record| record.key == key);
    }

    /// Drops the matching records of a bucket; returns their number.
    fn drop_from(&mut self, bucket: usize, predicate: impl Fn(&Record) -> bool) -> usize {
        let (mut dropped, mut bytes) = (0, 0);
        self.buckets[bucket].retain(|_, record| {
            let matches = predicate(record);
            if matches {
                dropped += 1;
                bytes += record.memory_size();
            }
            !matches
        });
        if dropped > 0 {
            self.len -= dropped;
            self.bytes = self.bytes.saturating_sub(bytes);
            self.trees.mark_stale(bucket);
        }
        dropped
    }

    /// Evicts the least recently touched records and raises the low watermark to cover them.
    fn evict(&mut self) {
        let last_touched = self.iter().map(Record::last_touched);
        let mut touched: Vec<Ticks> = last_touched.filter(|at| *at < Ticks::MAX).collect();
        if touched.is_empty() {
            return;
        }
        let evicted = touched.len() / EVICTION_DIVISOR;
        let (_, until, _) = touched.select_nth_unstable(evicted);
        let until = *until;
        self.raise_low_watermark(until);
        for bucket in 0..BUCKETS {
            let dropped = self.drop_from(bucket, |record| record.last_touched() <= until);
            self.evicted += dropped as u64;
        }
    }

    /// Drops the expired records of the next `buckets` buckets, and raises the low watermark over expired positions.
    pub fn expire(&mut self, now: Ticks, buckets: usize) {
        let limits = self.limits;
        let key_retention = if leverpoint_failpoint::failpoint_active("key-forgotten-early") {
            limits.key_retention / 8
        } else {
            limits.key_retention
        };
        let is_expired = |record: &Record| match &record.value {
            RecordValue::Session(_) => record.last_touched() < now - limits.position_retention,
            RecordValue::KeyedRequest(_) => record.last_touched() < now - key_retention,
            _ => false,
        };
        for _ in 0..buckets {
            let bucket = self.next_to_expire % BUCKETS;
            self.next_to_expire += 1;
            let positions = self.buckets[bucket].values().filter(|record| {
                is_expired(record) && matches!(record.value, RecordValue::Session(_))
            });
            if let Some(last) = positions.map(Record::last_touched).max() {
                self.raise_low_watermark((last / LOW_WATERMARK_STEP + 1) * LOW_WATERMARK_STEP);
            }
            self.drop_from(bucket, is_expired);
        }
    }

    /// Whether the hashes of any bucket are out of date.
    #[must_use]
    pub fn has_stale_hashes(&self) -> bool {
        self.trees.is_stale()
    }

    /// Resets the Merkle trees for a layout of `replicas` holders.
    pub fn reset_hashes(&mut self, replicas: usize) {
        self.trees.reset(replicas);
    }

    /// Rehashes up to `buckets` stale buckets; `replicas` returns the layout indices of a record's replica holders.
    pub fn rehash(&mut self, buckets: usize, replicas: impl Fn(RecordKey) -> Vec<usize>) {
        for _ in 0..buckets {
            let Some(bucket) = self.trees.pop_stale() else {
                return;
            };
            let records = self.buckets[bucket].values();
            self.trees.rehash(bucket, records, &replicas);
        }
    }

    /// Hashes of the records shared with a replica holder: of the buckets of one branch, or of all branches for `None`.
    #[must_use]
    pub fn hashes(&self, replica: usize, branch: Option<usize>) -> Vec<u64> {
        match branch {
            Some(branch) => self.trees.bucket_hashes(replica, branch),
            None => self.trees.branch_hashes(replica),
        }
    }
}
