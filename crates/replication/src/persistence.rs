//! Completions that wait for the disk: replies and state changes that are due only once records are persisted.

use std::collections::VecDeque;

use crate::Ticks;
use crate::message::Message;
use crate::outbound_queue::OperationId;
use crate::record::RecordKey;

/// Maximum number of waiting completions; a replica at this bound rejects writes.
const MAX_WAITING: usize = 4_096;

/// Step that is due once the persist action it depends on is done.
#[derive(Debug)]
pub(crate) enum PendingCompletion {
    /// Sends a reply to another member.
    Reply {
        to: String,
        request_id: u32,
        message: Message,
    },
    /// Counts this member's acknowledgement of a record of its own operation.
    LocalWrite {
        operation: OperationId,
        key: RecordKey,
    },
    /// Marks the transfer of reassigned records from a member under a layout as complete.
    TransferReceived {
        name: String,
        storage_id: u64,
        layout_version: u64,
    },
    /// Marks this member as in sync with a layout: it has received all of its records.
    InSync { layout_version: u64 },
    /// Clears the writes that wait until the storage is marked as degraded.
    DegradedMarked,
    /// Renews the lease of a member whose renewal has raised the low watermark.
    LeaseRenewed {
        to: String,
        request_id: u32,
        renewal: LeaseRenewal,
    },
}

/// Contents of a lease renewal by another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseRenewal {
    /// Time of this member's clock that the renewal echoes; 0 while the other member serves without a quorum.
    pub(crate) echoed_time: Ticks,
    /// Newest layout version for which the other member has received all of its records.
    pub(crate) synced_version: u64,
}

/// Sequence numbers of persist actions, and the completions that wait for them.
#[derive(Debug, Default)]
pub(crate) struct PersistenceQueue {
    last_sequence: u64,
    /// Completions in order of the sequence number that they wait for.
    waiting: VecDeque<(u64, PendingCompletion)>,
    persisted_low_watermark: Ticks,
    failed: bool,
}

impl PersistenceQueue {
    /// Whether the disk has failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Whether another completion may be enqueued.
    pub(crate) fn has_capacity(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }

    /// Assigns the next sequence number to a persist action; `completion` waits for it.
    pub(crate) fn enqueue(&mut self, completion: Option<PendingCompletion>) -> u64 {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.waiting
            .extend(completion.map(|completion| (sequence, completion)));
        sequence
    }

    /// Records the low watermark that the next persist action writes; returns whether it has risen.
    pub(crate) fn advance_low_watermark(&mut self, low_watermark: Ticks) -> bool {
        let risen = low_watermark > self.persisted_low_watermark;
        self.persisted_low_watermark = low_watermark;
        risen
    }

    /// Removes and returns the completions that waited for persist actions up to `sequence`, in order.
    pub(crate) fn take_persisted(&mut self, sequence: u64) -> Vec<PendingCompletion> {
        let mut completions = Vec::new();
        while let Some((_, completion)) = self
            .waiting
            .pop_front_if(|(waits_for, _)| *waits_for <= sequence)
        {
            completions.push(completion);
        }
        completions
    }

    /// Marks the disk as failed and drops all waiting completions; returns whether this is the first failure.
    pub(crate) fn fail(&mut self) -> bool {
        self.waiting.clear();
        !std::mem::replace(&mut self.failed, true)
    }
}
