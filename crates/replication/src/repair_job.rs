//! A single repair job: comparison with one member by Merkle trees, or transfer of the records that a new layout has
//! reassigned from that member to this one.

use std::collections::VecDeque;

use crate::Ticks;
use crate::member_state::MemberState;
use crate::message::{Message, TREE_FANOUT};
use crate::persistence::PendingCompletion;
use crate::placement::ReplicaId;
use crate::record::{Record, RecordKey};

/// Stage of a repair job.
#[derive(Debug)]
pub(crate) enum RepairStage {
    /// Compares the hashes of all branches.
    Branches,
    /// Compares the hashes of the buckets in the branches that differ.
    Buckets {
        /// Differing branches that are still to be compared.
        branches: VecDeque<u16>,
        /// Buckets found to differ.
        differing: VecDeque<u16>,
    },
    /// Fetches the records of the buckets that differ.
    Records {
        /// Buckets that are still to be fetched.
        buckets: VecDeque<u16>,
        /// Last key received from the first of these buckets.
        after: Option<RecordKey>,
    },
    /// Fetches the records that have been reassigned to this member.
    Reassigned {
        from_bucket: u16,
        /// Last key received from `from_bucket`.
        after: Option<RecordKey>,
    },
}

/// Request that waits for its reply.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) id: u32,
    pub(crate) sent_at: Ticks,
}

/// Comparison with, or transfer from, one member.
#[derive(Debug)]
pub(crate) struct RepairJob {
    pub(crate) peer: ReplicaId,
    pub(crate) layout_version: u64,
    pub(crate) stage: RepairStage,
    /// Request in flight, if there is one.
    pub(crate) request: Option<Request>,
    pub(crate) differing_buckets: usize,
    /// Received records that were new to or changed this member's store.
    pub(crate) new_records: u64,
}

/// Progress of a job after a reply.
pub(crate) enum JobProgress {
    /// Further requests are needed.
    Continues,
    /// All requested records have been received.
    Ended,
    /// The reply does not match the stage, as the peer has another layout or rejects the request; the job is retried
    /// later.
    Unexpected,
}

impl RepairJob {
    pub(crate) fn new(state: &MemberState, peer: ReplicaId, stage: RepairStage) -> RepairJob {
        RepairJob {
            peer,
            layout_version: state.layout_history.version(),
            stage,
            request: None,
            differing_buckets: 0,
            new_records: 0,
        }
    }

    pub(crate) fn is_comparison(&self) -> bool {
        !matches!(self.stage, RepairStage::Reassigned { .. })
    }

    /// Next request of the job; `None` once a comparison is complete.
    pub(crate) fn next_request(&mut self, state: &MemberState) -> Option<Message> {
        let index = state.layout_history.index_of(&self.peer.name);
        let index = index.unwrap_or(usize::MAX);
        let compare_hashes = |branch: Option<u16>| Message::CompareHashes {
            branch,
            hashes: state.store.hashes(index, branch.map(usize::from)),
        };
        if let RepairStage::Buckets {
            branches,
            differing,
        } = &mut self.stage
        {
            if let Some(branch) = branches.front() {
                return Some(compare_hashes(Some(*branch)));
            }
            self.differing_buckets = differing.len();
            self.stage = RepairStage::Records {
                buckets: std::mem::take(differing),
                after: None,
            };
        }
        match &self.stage {
            RepairStage::Branches | RepairStage::Buckets { .. } => Some(compare_hashes(None)),
            RepairStage::Records { buckets, after } => {
                let (bucket, after) = (*buckets.front()?, *after);
                Some(Message::FetchBucket { bucket, after })
            }
            RepairStage::Reassigned { from_bucket, after } => Some(Message::FetchReassigned {
                from_bucket: *from_bucket,
                after: *after,
            }),
        }
    }

    /// Handles the reply to the request in flight.
    pub(crate) fn take_reply(&mut self, state: &mut MemberState, message: &Message) -> JobProgress {
        match (message, &mut self.stage) {
            (Message::DifferingNodes { nodes }, RepairStage::Branches) => {
                self.stage = RepairStage::Buckets {
                    branches: nodes.iter().copied().collect(),
                    differing: VecDeque::new(),
                };
            }
            (
                Message::DifferingNodes { nodes },
                RepairStage::Buckets {
                    branches,
                    differing,
                },
            ) => {
                if let Some(branch) = branches.pop_front() {
                    differing.extend(nodes.iter().map(|node| branch * TREE_FANOUT as u16 + node));
                }
            }
            (
                Message::RecordBatch { records, next, .. },
                RepairStage::Records { buckets, after },
            ) => {
                self.new_records += merge_new(state, records);
                *after = next.as_ref().and_then(|(_, last_key)| *last_key);
                if next.is_none() {
                    buckets.pop_front();
                }
            }
            (Message::RecordBatch { .. }, RepairStage::Reassigned { .. }) => {
                return self.take_reassigned(state, message);
            }
            _ => return JobProgress::Unexpected,
        }
        JobProgress::Continues
    }

    /// Merges a batch of reassigned records; the transfer is complete once the last batch is persisted.
    pub(crate) fn take_reassigned(
        &mut self,
        state: &mut MemberState,
        message: &Message,
    ) -> JobProgress {
        let Message::RecordBatch {
            records,
            next,
            low_watermark,
        } = message
        else {
            return JobProgress::Unexpected;
        };
        merge_new(state, records);
        // The peer can't hand over records that it has evicted.
        if state.store.raise_low_watermark(*low_watermark) {
            state.persist_metadata(None);
        }
        if let Some((from_bucket, after)) = next {
            self.stage = RepairStage::Reassigned {
                from_bucket: *from_bucket,
                after: *after,
            };
            return JobProgress::Continues;
        }
        let received = PendingCompletion::TransferReceived {
            name: self.peer.name.clone(),
            storage_id: self.peer.storage_id,
            layout_version: self.layout_version,
        };
        state.persist_records(Vec::new(), Some(received));
        JobProgress::Ended
    }
}

/// Merges records of another member and persists those that changed the store; returns their number.
pub(crate) fn merge_new(state: &mut MemberState, records: &[Record]) -> u64 {
    let new: Vec<Record> = records
        .iter()
        .filter(|record| state.store.merge(record))
        .cloned()
        .collect();
    let count = new.len() as u64;
    state.counters.records_repaired += count;
    if count > 0 {
        state.persist_records(new, None);
    }
    count
}
