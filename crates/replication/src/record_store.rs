//! In-memory store of replicated records, bucketed by key hash. Evicted records are covered by a low watermark.
//!
//! # Invariants
//!
//! No record is dropped before the low watermark covers it, except keys that are past their retention. The store stays
//! within its limits.

use std::collections::BTreeMap;

use crate::Ticks;
use crate::merkle::MerkleTrees;
pub use crate::merkle::{BUCKETS, bucket_index};
use crate::record::{Record, RecordKey, RecordValue};

/// The low watermark rises in steps of ten seconds as records expire: it is persisted each time.
const LOW_WATERMARK_STEP: Ticks = 100_000;
/// The part of the records that is evicted at once where there are too many.
const EVICTED_FRACTION: usize = 10;

/// Bounds of a record store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordStoreLimits {
    /// Records at most.
    pub max_records: usize,
    /// Bytes of all records in memory at most.
    pub max_bytes: usize,
    /// How long a position is retained after it was last touched: by then every replica of the database has it.
    pub position_retention: Ticks,
    /// How long a key is retained after its first attempt: its window, a client's timeout and the clock skew.
    pub key_retention: Ticks,
}

/// The records that a member holds.
#[derive(Debug)]
pub struct RecordStore {
    limits: RecordStoreLimits,
    buckets: Vec<BTreeMap<RecordKey, Record>>,
    len: usize,
    bytes: usize,
    low_watermark: Ticks,
    trees: MerkleTrees,
    next_to_expire: usize,
    evicted: u64,
}

impl RecordStore {
    /// An empty store.
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

    /// The number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes of all records in memory, about.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records evicted for want of room.
    #[must_use]
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// What lies before it may be missing here.
    #[must_use]
    pub fn low_watermark(&self) -> Ticks {
        self.low_watermark
    }

    /// Raises the low watermark; whether it has risen.
    pub fn raise_low_watermark(&mut self, to: Ticks) -> bool {
        let rises = to > self.low_watermark;
        self.low_watermark = self.low_watermark.max(to);
        rises
    }

    /// The record of a key.
    #[must_use]
    pub fn get(&self, key: RecordKey) -> Option<&Record> {
        self.buckets[bucket_index(key)].get(&key)
    }

    /// The records of a bucket, in the order of their keys.
    pub fn bucket_records(&self, bucket: usize) -> impl Iterator<Item = &Record> {
        self.buckets[bucket].values()
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.buckets.iter().flat_map(BTreeMap::values)
    }

    /// Merges a record into the store; whether anything was new.
    pub fn merge(&mut self, record: &Record) -> bool {
        let bucket = bucket_index(record.key);
        let changed = if let Some(held) = self.buckets[bucket].get_mut(&record.key) {
            let before = held.memory_size();
            let changed = held.merge(record);
            self.bytes = (self.bytes + held.memory_size()).saturating_sub(before);
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

    /// Drops a record without raising the low watermark, for a failpoint.
    pub(crate) fn forget(&mut self, key: RecordKey) {
        self.drop_from(bucket_index(key), |record| record.key == key);
    }

    fn drop_from(&mut self, bucket: usize, is_dropped: impl Fn(&Record) -> bool) -> usize {
        let (mut dropped, mut bytes) = (0, 0);
        self.buckets[bucket].retain(|_, record| {
            let drops = is_dropped(record);
            if drops {
                dropped += 1;
                bytes += record.memory_size();
            }
            !drops
        });
        if dropped > 0 {
            self.len -= dropped;
            self.bytes = self.bytes.saturating_sub(bytes);
            self.trees.mark_stale(bucket);
        }
        dropped
    }

    /// Evicts the records that were not touched for longest.
    fn evict(&mut self) {
        let touched = self.iter().map(Record::last_touched);
        let mut touched: Vec<Ticks> = touched.filter(|at| *at < Ticks::MAX).collect();
        if touched.is_empty() {
            return;
        }
        let evicted = touched.len() / EVICTED_FRACTION;
        let (_, until, _) = touched.select_nth_unstable(evicted);
        let until = *until;
        self.raise_low_watermark(until);
        for bucket in 0..BUCKETS {
            let dropped = self.drop_from(bucket, |record| record.last_touched() <= until);
            self.evicted += dropped as u64;
        }
    }

    /// Drops the expired records of the next `buckets` buckets.
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

    /// Whether any hashes are out of date.
    #[must_use]
    pub fn has_stale_hashes(&self) -> bool {
        self.trees.is_stale()
    }

    /// Starts the Merkle trees anew for a layout of so many replicas.
    pub fn reset_hashes(&mut self, replicas: usize) {
        self.trees.reset(replicas);
    }

    /// Rehashes up to `buckets` buckets; `replicas` gives the indices of a record's replicas.
    pub fn rehash(&mut self, buckets: usize, replicas: impl Fn(RecordKey) -> Vec<usize>) {
        for _ in 0..buckets {
            let Some(bucket) = self.trees.pop_stale() else {
                return;
            };
            let records = self.buckets[bucket].values();
            self.trees.rehash(bucket, records, &replicas);
        }
    }

    /// Hashes of the records shared with a replica: of one branch's buckets, or of all branches.
    #[must_use]
    pub fn hashes(&self, replica: usize, branch: Option<usize>) -> Vec<u64> {
        match branch {
            Some(branch) => self.trees.bucket_hashes(replica, branch),
            None => self.trees.branch_hashes(replica),
        }
    }
}
