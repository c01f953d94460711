//! The state of a write until it has a quorum and until it is finished, and the records that it writes to replicas.

use std::collections::BTreeMap;

use crate::Ticks;
use crate::idempotency::IdempotencyClaim;
use crate::local_sessions::BegunWrite;
use crate::member_state::MemberState;
use crate::record::{
    KeyedAttempt, KeyedOutcome, KeyedRequestState, OpenWrites, Record, RecordKey, RecordValue,
    SessionWrites,
};
use crate::write_quorum::{WriteQuorum, WriteQuorumState};

/// The outcome of a write, as reported by the gateway's engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The database has acknowledged the write at this replication position.
    Acknowledged(Ticks),
    /// The write may have been executed, at a position before this time.
    PossiblyExecuted(Ticks),
    /// The write was not executed, and will not be.
    NotExecuted,
}

/// A write that waits for a quorum of each of its records.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) ticket: u64,
    pub(crate) claim: Option<IdempotencyClaim>,
    pub(crate) quorums: Vec<(RecordKey, WriteQuorum)>,
    /// The merged state of the idempotency key at the replicas that have answered.
    pub(crate) key_state: Option<KeyedRequestState>,
    /// Attempts sent up to this time may be missing at the replicas that have answered.
    pub(crate) keys_lost_until: Ticks,
}

/// Whether a write may be sent to the database, and on which grounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteClearance {
    Pending,
    QuorumAcknowledged,
    WithoutQuorum,
}

/// This member's own attempt under an idempotency key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimedAttempt {
    pub(crate) key: u64,
    pub(crate) attempt_id: u64,
    pub(crate) attempt: KeyedAttempt,
}

/// A write that has begun and is not finished.
#[derive(Debug)]
pub(crate) struct OpenWrite {
    pub(crate) session: u64,
    pub(crate) number: u32,
    pub(crate) begun_at: Ticks,
    pub(crate) clearance: WriteClearance,
    pub(crate) claimed: Option<ClaimedAttempt>,
}

impl PendingWrite {
    pub(crate) fn quorum(&self, key: RecordKey) -> Option<&WriteQuorum> {
        let mut quorums = self.quorums.iter();
        quorums.find(|(k, _)| *k == key).map(|(_, quorum)| quorum)
    }

    pub(crate) fn quorum_mut(&mut self, key: RecordKey) -> Option<&mut WriteQuorum> {
        let mut quorums = self.quorums.iter_mut();
        quorums.find(|(k, _)| *k == key).map(|(_, quorum)| quorum)
    }

    pub(crate) fn is_acknowledged(&self) -> bool {
        self.quorums
            .iter()
            .all(|(_, quorum)| quorum.state() == WriteQuorumState::Acknowledged)
    }

    /// Merges a replica's record of the claimed key; ignored for a write without a claim.
    pub(crate) fn merge_key_state(&mut self, record: &Record) {
        let RecordValue::KeyedRequest(theirs) = &record.value else {
            return;
        };
        if self.claim.is_some() {
            self.key_state
                .get_or_insert_with(KeyedRequestState::default)
                .merge(theirs);
        }
    }
}

impl OpenWrite {
    /// The session record that marks this write as open.
    pub(crate) fn session_record(&self, state: &MemberState, begun: BegunWrite) -> Record {
        let writes = OpenWrites {
            last_begun: begun.number,
            last_finished: 0,
            begun_at: self.begun_at,
        };
        let writer = (state.writer_id(), begun.first_write);
        session_record(self.session, 0, writer, writes)
    }
}

impl ClaimedAttempt {
    pub(crate) fn record(&self) -> Record {
        let state = KeyedRequestState::with_attempt(self.attempt_id, self.attempt);
        Record {
            key: RecordKey::KeyedRequest(self.key),
            value: RecordValue::KeyedRequest(state),
        }
    }

    pub(crate) fn with_outcome(mut self, outcome: WriteOutcome) -> ClaimedAttempt {
        self.attempt.outcome = match outcome {
            WriteOutcome::Acknowledged(_) => KeyedOutcome::Executed,
            WriteOutcome::PossiblyExecuted(_) => KeyedOutcome::PossiblyExecuted,
            WriteOutcome::NotExecuted => KeyedOutcome::NotExecuted,
        };
        self
    }
}

/// The attempt of a claim as it is recorded before it is sent: its outcome is pending.
pub(crate) fn pending_attempt(now: Ticks, claim: &IdempotencyClaim) -> ClaimedAttempt {
    ClaimedAttempt {
        key: claim.key,
        attempt_id: claim.attempt_id,
        attempt: KeyedAttempt {
            replica_set: claim.replica_set,
            first_sent: now,
            deduplicated_until: now + claim.deduplication_window,
            outcome: KeyedOutcome::Pending,
            is_first: !claim.is_retry,
        },
    }
}

/// A session record with the writes of one writer: the hash of its incarnation and its first remembered write.
pub(crate) fn session_record(
    session: u64,
    position: Ticks,
    writer: (u64, u32),
    writes: OpenWrites,
) -> Record {
    Record {
        key: RecordKey::Session(session),
        value: RecordValue::Session(SessionWrites {
            position,
            open_writes: BTreeMap::from([(writer, writes)]),
            overflowed: false,
        }),
    }
}
