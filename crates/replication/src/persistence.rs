//! What waits for the disk: replies and steps that may be taken only once records are persisted.

use std::collections::VecDeque;

use crate::Ticks;
use crate::message::Message;
use crate::outbound_queue::OperationId;
use crate::record::RecordKey;

/// Completions that wait at most; a replica that has more to do rejects writes.
const MAX_WAITING: usize = 4_096;

/// A step that is taken once what it stands on is persisted.
#[derive(Debug)]
pub(crate) enum PendingCompletion {
    /// A reply to another member.
    Reply {
        to: String,
        request_id: u32,
        message: Message,
    },
    /// A record of one of this member's own operations.
    LocalWrite {
        operation: OperationId,
        key: RecordKey,
    },
    /// All records that a member had for this one under that layout.
    TransferReceived {
        name: String,
        storage_id: u64,
        layout_version: u64,
    },
    /// All records that are this member's under that layout.
    InSync { layout_version: u64 },
    /// A lease whose renewal came with a higher low watermark.
    LeaseRenewed {
        to: String,
        request_id: u32,
        renewal: LeaseRenewal,
    },
}

/// What a member says of itself when it renews its lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseRenewal {
    /// The time of this member's clock that it echoes; 0 while it serves without a quorum.
    pub(crate) echoed_time: Ticks,
    /// It has all of its records up to that layout.
    pub(crate) synced_version: u64,
}

/// The sequence of persist actions and what waits for each.
#[derive(Debug, Default)]
pub(crate) struct PersistenceQueue {
    last_sequence: u64,
    waiting: VecDeque<(u64, PendingCompletion)>,
    persisted_low_watermark: Ticks,
    failed: bool,
}

impl PersistenceQueue {
    /// Whether the disk has failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Whether another write may wait.
    pub(crate) fn has_capacity(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }

    /// Numbers a persist action; `completion` waits for it.
    pub(crate) fn enqueue(&mut self, completion: Option<PendingCompletion>) -> u64 {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.waiting
            .extend(completion.map(|completion| (sequence, completion)));
        sequence
    }

    /// Notes the low watermark that is persisted next; whether it has risen.
    pub(crate) fn advance_low_watermark(&mut self, low_watermark: Ticks) -> bool {
        let risen = low_watermark > self.persisted_low_watermark;
        self.persisted_low_watermark = low_watermark;
        risen
    }

    /// Takes what waited for actions up to this one, in order.
    pub(crate) fn take_persisted(&mut self, sequence: u64) -> Vec<PendingCompletion> {
        let mut completions = Vec::new();
        while let Some((_, completion)) = self.waiting.pop_front_if(|(n, _)| *n <= sequence) {
            completions.push(completion);
        }
        completions
    }

    /// Nothing is persisted any more: drops what waits. Whether that is news.
    pub(crate) fn fail(&mut self) -> bool {
        self.waiting.clear();
        !std::mem::replace(&mut self.failed, true)
    }
}
