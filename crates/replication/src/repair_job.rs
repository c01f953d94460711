//! One repair: a comparison with a member by a Merkle tree, or the transfer of what was reassigned to this one.

use std::collections::VecDeque;

use crate::Ticks;
use crate::member_state::MemberState;
use crate::message::{Message, TREE_FANOUT};
use crate::persistence::PendingCompletion;
use crate::placement::ReplicaId;
use crate::record::{Record, RecordKey};

/// How far a job is.
#[derive(Debug)]
pub(crate) enum RepairStage {
    /// Compares the hashes of all branches.
    Branches,
    /// Compares the hashes of the buckets of the branches that differ.
    Buckets {
        branches: VecDeque<u16>,
        differing: VecDeque<u16>,
    },
    /// Fetches the records of the buckets that differ.
    Records {
        buckets: VecDeque<u16>,
        after: Option<RecordKey>,
    },
    /// Fetches what has been reassigned to this member.
    Reassigned {
        from_bucket: u16,
        after: Option<RecordKey>,
    },
}

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) id: u32,
    pub(crate) sent_at: Ticks,
}

/// A comparison with or a transfer from one member.
#[derive(Debug)]
pub(crate) struct RepairJob {
    pub(crate) peer: ReplicaId,
    pub(crate) layout_version: u64,
    pub(crate) stage: RepairStage,
    pub(crate) request: Option<Request>,
    pub(crate) differing_buckets: usize,
    pub(crate) new_records: u64,
}

/// What a reply has made of a job.
pub(crate) enum JobProgress {
    Continues,
    /// All that was asked for is here.
    Ended,
    /// The peer goes by another layout, or is out of touch: the job is tried again later.
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

    /// The next request; none once a comparison is done.
    pub(crate) fn next_request(&mut self, state: &MemberState) -> Option<Message> {
        let index = state.layout_history.index_of(&self.peer.name);
        let index = index.unwrap_or(usize::MAX);
        let hashes = |branch: Option<u16>| Message::CompareHashes {
            branch,
            hashes: state.store.hashes(index, branch.map(usize::from)),
        };
        if let RepairStage::Buckets {
            branches,
            differing,
        } = &mut self.stage
        {
            if let Some(branch) = branches.front() {
                return Some(hashes(Some(*branch)));
            }
            self.differing_buckets = differing.len();
            self.stage = RepairStage::Records {
                buckets: std::mem::take(differing),
                after: None,
            };
        }
        match &self.stage {
            RepairStage::Branches | RepairStage::Buckets { .. } => Some(hashes(None)),
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
                    differing.extend(nodes.iter().map(|at| branch * TREE_FANOUT as u16 + at));
                }
            }
            (
                Message::RecordBatch { records, next, .. },
                RepairStage::Records { buckets, after },
            ) => {
                self.new_records += merge_new(state, records);
                *after = next.as_ref().and_then(|(_, last)| *last);
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
        // What the peer has evicted this member can't get from it.
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

/// Merges and persists the records of another member; how many were new here.
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
