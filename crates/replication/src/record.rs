//! Replicated records and their merge.
//!
//! # Invariants
//!
//! The merge is commutative, associative and idempotent: it is the least upper bound of both values. It never replaces
//! the known outcome of a request by an unknown one. Records are encoded by postcard, which is positional: fields and
//! variants must not be reordered, added or removed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::Ticks;

/// Key of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKey {
    /// Writes of a session, by session number.
    Session(u64),
    /// Request with an idempotency key, by the hash of tenant and key.
    KeyedRequest(u64),
    /// Primary of a replica set, by the index of the set.
    Primary(u16),
    /// Drained endpoints of the endpoint list.
    EndpointList,
}

impl RecordKey {
    /// Hash that distributes keys evenly over buckets and replicas.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let (tag, number) = match self {
            RecordKey::Session(session) => (1u8, *session),
            RecordKey::KeyedRequest(key) => (2, *key),
            RecordKey::Primary(set) => (3, u64::from(*set)),
            RecordKey::EndpointList => (4, 0),
        };
        let mut hash = Xxh3::with_seed(number);
        hash.update(&[tag]);
        hash.digest()
    }
}

/// Progress of a session's writes that began at one incarnation of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenWrites {
    /// Number of the last write that has begun.
    pub last_begun: u32,
    /// All writes up to this number have finished, and the session's position covers them.
    pub last_finished: u32,
    /// Start of the last write, by that gateway's clock.
    pub begun_at: Ticks,
}

impl OpenWrites {
    /// Whether a write that has begun may still be open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.last_begun > self.last_finished
    }
}

/// Replication position and open writes of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionWrites {
    /// Highest replication position of the session's answered writes, or a later time.
    pub position: Ticks,
    /// By writer id, and by the number of the first write since that writer tracks the session: a writer that has evicted
    /// a session does not finish its earlier writes.
    pub open_writes: BTreeMap<(u64, u32), OpenWrites>,
    /// Whether more writers had open writes at once than a record holds; reads then have to see every write up to the
    /// present.
    pub overflowed: bool,
}

/// Maximum number of writers whose open writes a record holds.
pub const MAX_OPEN_WRITERS: usize = 4;

impl SessionWrites {
    fn merge(&mut self, other: &SessionWrites) {
        self.position = self.position.max(other.position);
        self.overflowed |= other.overflowed;
        for (writer, theirs) in &other.open_writes {
            let ours = self.open_writes.entry(*writer).or_default();
            ours.last_begun = ours.last_begun.max(theirs.last_begun);
            ours.last_finished = ours.last_finished.max(theirs.last_finished);
            ours.begun_at = ours.begun_at.max(theirs.begun_at);
        }
        self.enforce_bound();
    }

    /// Keeps at most [`MAX_OPEN_WRITERS`] writers; sets `overflowed` if one with open writes is dropped.
    fn enforce_bound(&mut self) {
        if self.open_writes.len() <= MAX_OPEN_WRITERS {
            return;
        }
        // A writer without open writes carries no information; if a stale replica reintroduces it, reads only wait
        // longer.
        self.open_writes.retain(|_, open| open.is_open());
        while self.open_writes.len() > MAX_OPEN_WRITERS {
            self.open_writes.pop_first();
            self.overflowed = true;
        }
    }

    /// Whether a write may have been answered whose position the record does not cover.
    #[must_use]
    pub fn has_open_writes(&self) -> bool {
        self.overflowed || self.open_writes.values().any(OpenWrites::is_open)
    }
}

/// Known outcome of an attempt; in a merge the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum KeyedOutcome {
    /// The attempt may be in progress.
    Pending,
    /// The attempt was not executed and will not be sent.
    NotExecuted,
    /// The attempt may have been executed.
    PossiblyExecuted,
    /// The attempt was executed: a row was returned.
    Executed,
}

/// One attempt of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedAttempt {
    /// Index of the replica set that the attempt was first sent to.
    pub replica_set: u16,
    /// Time when the attempt was first sent, by that gateway's clock.
    pub first_sent: Ticks,
    /// End of the window in which that replica set recognizes a retry.
    pub deduplicated_until: Ticks,
    /// Known outcome.
    pub outcome: KeyedOutcome,
    /// Whether the client did not mark the attempt as a retry, so that no attempt was sent before it.
    pub is_first: bool,
}

impl KeyedAttempt {
    /// Combines two attempts into the one that restricts a retry most.
    fn join(&mut self, other: &KeyedAttempt) {
        // Of two attempts sent at the same time the lower replica set wins, so that the order of merges is irrelevant.
        if (other.first_sent, other.replica_set) < (self.first_sent, self.replica_set) {
            (self.first_sent, self.replica_set, self.is_first) =
                (other.first_sent, other.replica_set, other.is_first);
        }
        self.deduplicated_until = self.deduplicated_until.min(other.deduplicated_until);
        self.outcome = self.outcome.max(other.outcome);
    }
}

/// Attempts known under an idempotency key, of all gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedRequestState {
    /// Attempts by their unique attempt id.
    pub attempts: BTreeMap<u64, KeyedAttempt>,
    /// Attempts beyond [`MAX_ATTEMPTS`], combined into one.
    pub folded: Option<KeyedAttempt>,
}

/// Maximum number of attempts under one key that a record holds separately.
pub const MAX_ATTEMPTS: usize = 4;

impl KeyedRequestState {
    /// Creates the state of a key with one attempt.
    #[must_use]
    pub fn with_attempt(attempt_id: u64, attempt: KeyedAttempt) -> KeyedRequestState {
        KeyedRequestState {
            attempts: BTreeMap::from([(attempt_id, attempt)]),
            folded: None,
        }
    }

    fn fold(&mut self, attempt: &KeyedAttempt) {
        match &mut self.folded {
            Some(folded) => folded.join(attempt),
            None => self.folded = Some(*attempt),
        }
    }

    pub(crate) fn merge(&mut self, other: &KeyedRequestState) {
        for (attempt_id, theirs) in &other.attempts {
            match self.attempts.get_mut(attempt_id) {
                Some(ours) => ours.join(theirs),
                None => drop(self.attempts.insert(*attempt_id, *theirs)),
            }
        }
        if let Some(theirs) = &other.folded {
            self.fold(theirs);
        }
        while self.attempts.len() > MAX_ATTEMPTS {
            // The attempt sent last is folded, so that the result does not depend on the order of merges.
            let last = self
                .attempts
                .iter()
                .max_by_key(|(attempt_id, attempt)| (attempt.first_sent, **attempt_id))
                .map(|(attempt_id, _)| *attempt_id);
            if let Some(attempt) = last.and_then(|attempt_id| self.attempts.remove(&attempt_id)) {
                self.fold(&attempt);
            }
        }
    }

    /// All attempts but this one that may have been executed, combined into one, and whether all of them were first
    /// sent to the same replica set; `None` if there is none.
    #[must_use]
    pub fn other_attempts(&self, attempt_id: u64) -> Option<(KeyedAttempt, bool)> {
        let possibly_executed = self.attempts.iter().filter(|(id, attempt)| {
            **id != attempt_id && attempt.outcome != KeyedOutcome::NotExecuted
        });
        let others: Vec<&KeyedAttempt> = possibly_executed
            .map(|(_, attempt)| attempt)
            .chain(&self.folded)
            .collect();
        let mut joined = **others.first()?;
        others.iter().for_each(|other| joined.join(other));
        Some((
            joined,
            others
                .iter()
                .all(|other| other.replica_set == joined.replica_set),
        ))
    }

    /// Latest end of the attempts' deduplication windows; 0 without attempts.
    fn last_touched(&self) -> Ticks {
        self.attempts
            .values()
            .chain(&self.folded)
            .map(|attempt| attempt.deduplicated_until)
            .max()
            .unwrap_or(0)
    }
}

/// Primary of a replica set, as last observed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PrimaryRole {
    /// Term, which increases with each observed change of the primary.
    pub term: u64,
    /// Time of the observation.
    pub observed_at: Ticks,
    /// Name of the primary server.
    pub server: String,
}

/// Revision and drained servers of the endpoint list, as last received.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointSummary {
    /// Revision of the list.
    pub revision: u64,
    /// Time when the list was received.
    pub observed_at: Ticks,
    /// Names of the drained servers, in ascending order.
    pub drained: Vec<String>,
}

/// Maximum number of drained servers in a record.
pub const MAX_DRAINED: usize = 1_024;
/// Maximum length of a server's name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Value of a record; its variant matches the variant of the [`RecordKey`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordValue {
    /// Position and open writes of a session.
    Session(SessionWrites),
    /// Attempts known under an idempotency key.
    KeyedRequest(KeyedRequestState),
    /// Primary of a replica set, as last observed.
    Primary(PrimaryRole),
    /// Drained endpoints of the endpoint list.
    EndpointList(EndpointSummary),
}

/// Replicated record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key that placement and merge go by.
    pub key: RecordKey,
    /// Value, of the same kind as the key.
    pub value: RecordValue,
}

impl Record {
    /// Whether the value is of the key's kind and within its bounds.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        match (&self.key, &self.value) {
            (RecordKey::Session(_), RecordValue::Session(writes)) => {
                writes.position >= 0
                    && writes.open_writes.len() <= MAX_OPEN_WRITERS
                    && writes.open_writes.values().all(|open| open.begun_at >= 0)
            }
            (RecordKey::KeyedRequest(_), RecordValue::KeyedRequest(state)) => {
                let is_valid_attempt = |attempt: &KeyedAttempt| {
                    attempt.first_sent >= 0 && attempt.deduplicated_until >= attempt.first_sent
                };
                let has_attempts = !state.attempts.is_empty() || state.folded.is_some();
                has_attempts
                    && state.attempts.len() <= MAX_ATTEMPTS
                    && state
                        .attempts
                        .values()
                        .chain(&state.folded)
                        .all(is_valid_attempt)
            }
            (RecordKey::Primary(_), RecordValue::Primary(role)) => {
                role.server.len() <= MAX_NAME_LEN && role.observed_at >= 0
            }
            (RecordKey::EndpointList, RecordValue::EndpointList(summary)) => {
                let ascending = summary.drained.windows(2).all(|pair| pair[0] < pair[1]);
                let within_len = summary
                    .drained
                    .iter()
                    .all(|name| name.len() <= MAX_NAME_LEN);
                ascending
                    && within_len
                    && summary.drained.len() <= MAX_DRAINED
                    && summary.observed_at >= 0
            }
            _ => false,
        }
    }

    /// Merges another replica's version of the same record; returns whether this one has changed.
    ///
    /// A record with another key is ignored.
    pub fn merge(&mut self, other: &Record) -> bool {
        if self.key != other.key {
            return false;
        }
        let before = self.value.clone();
        match (&mut self.value, &other.value) {
            (RecordValue::Session(ours), RecordValue::Session(theirs)) => ours.merge(theirs),
            (RecordValue::KeyedRequest(ours), RecordValue::KeyedRequest(theirs)) => {
                ours.merge(theirs);
            }
            (RecordValue::Primary(ours), RecordValue::Primary(theirs)) if theirs > ours => {
                *ours = theirs.clone();
            }
            (RecordValue::EndpointList(ours), RecordValue::EndpointList(theirs))
                if theirs > ours =>
            {
                *ours = theirs.clone();
            }
            _ => {}
        }
        self.value != before
    }

    /// Time that retention and eviction count from: a session's latest position or begun write, a key's latest end of a
    /// deduplication window. `Ticks::MAX` for records that neither expire nor are evicted.
    #[must_use]
    pub fn last_touched(&self) -> Ticks {
        match &self.value {
            RecordValue::Session(writes) => writes
                .open_writes
                .values()
                .map(|open| open.begun_at)
                .max()
                .unwrap_or(0)
                .max(writes.position),
            RecordValue::KeyedRequest(state) => state.last_touched(),
            RecordValue::Primary(_) | RecordValue::EndpointList(_) => Ticks::MAX,
        }
    }

    /// Hash of the encoded record, by which replicas compare their versions of it.
    #[must_use]
    pub fn digest(&self) -> u64 {
        // Encoding into a `Vec` does not fail for any record.
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// Approximate size in memory, in bytes; accurate enough for the store's limit.
    #[must_use]
    pub fn memory_size(&self) -> usize {
        let heap_bytes = match &self.value {
            RecordValue::Session(writes) => writes.open_writes.len() * 48,
            RecordValue::KeyedRequest(state) => state.attempts.len() * 48,
            RecordValue::Primary(role) => role.server.len(),
            RecordValue::EndpointList(summary) => {
                summary.drained.iter().map(|name| name.len() + 24).sum()
            }
        };
        size_of::<Record>() + heap_bytes
    }
}
