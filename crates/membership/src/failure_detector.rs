//! The order in which members are probed, the probe under way, and probes relayed for other members.
//!
//! Members are probed in rounds, in an order shuffled for each, so each is probed within twice as many probe intervals
//! as there are members.

use std::collections::VecDeque;

use fastrand::Rng;

use crate::Ticks;
use crate::membership_table::MemberIndex;

/// Most relayed probes that await an acknowledgement; a further one replaces the oldest.
const MAX_RELAYED_PROBES: usize = 128;

/// A probe that has not been acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingProbe {
    /// Sequence number of the ping.
    pub sequence: u32,
    /// The member probed.
    pub member: MemberIndex,
    /// When the ping was sent.
    pub sent_at: Ticks,
    /// Whether other members have been asked to probe it too.
    pub is_indirect: bool,
}

/// A probe sent on behalf of another member.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    sequence: u32,
    member: MemberIndex,
    requester: MemberIndex,
    requester_sequence: u32,
}

/// Chooses whom to probe and matches acknowledgements to probes.
#[derive(Debug, Default)]
pub struct FailureDetector {
    /// The probe of the current round.
    pub pending: Option<PendingProbe>,
    /// Members still to be probed in this round, in reverse order.
    order: Vec<MemberIndex>,
    relayed: VecDeque<RelayedProbe>,
    last_sequence: u32,
}

impl FailureDetector {
    /// Creates a detector whose first sequence number follows `last_sequence`.
    pub fn new(last_sequence: u32) -> FailureDetector {
        FailureDetector {
            last_sequence,
            ..FailureDetector::default()
        }
    }

    /// Returns the next sequence number, which wraps around.
    pub fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// The next of `candidates` to probe; `None` if there are none. A candidate that joins during a round is first
    /// probed in the next one.
    pub fn next_target(
        &mut self,
        random: &mut Rng,
        candidates: &[MemberIndex],
    ) -> Option<MemberIndex> {
        loop {
            match self.order.pop() {
                Some(member) if candidates.contains(&member) => return Some(member),
                Some(_) => {}
                None if candidates.is_empty() => return None,
                None => {
                    self.order = candidates.to_vec();
                    random.shuffle(&mut self.order);
                }
            }
        }
    }

    /// Handles an acknowledgement, and returns whether it was for the pending probe.
    pub fn on_ack(&mut self, sequence: u32) -> bool {
        let acknowledged = self.pending.take_if(|probe| probe.sequence == sequence);
        acknowledged.is_some()
    }

    /// Registers a probe of `member` on behalf of `requester`, and returns its sequence number.
    pub fn relay(
        &mut self,
        member: MemberIndex,
        requester: MemberIndex,
        requester_sequence: u32,
    ) -> u32 {
        let sequence = self.next_sequence();
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            self.relayed.pop_front();
        }
        self.relayed.push_back(RelayedProbe {
            sequence,
            member,
            requester,
            requester_sequence,
        });
        sequence
    }

    /// Removes the relayed probe that an acknowledgement from `member` answers, and returns its requester with the
    /// requester's sequence number.
    pub fn take_relayed(
        &mut self,
        sequence: u32,
        member: MemberIndex,
    ) -> Option<(MemberIndex, u32)> {
        let matches = |probe: &RelayedProbe| probe.sequence == sequence && probe.member == member;
        let position = self.relayed.iter().position(matches)?;
        let probe = self.relayed.remove(position)?;
        Some((probe.requester, probe.requester_sequence))
    }

    /// Drops all state about a member, since its index may be reused.
    pub fn forget(&mut self, member: MemberIndex) {
        self.pending.take_if(|probe| probe.member == member);
        self.relayed
            .retain(|probe| probe.member != member && probe.requester != member);
        self.order.retain(|other| *other != member);
    }
}
