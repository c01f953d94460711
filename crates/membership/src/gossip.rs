//! The queue of member updates to piggyback on messages.

use std::collections::BTreeMap;

use crate::membership_table::MemberIndex;

/// Most updates in one message: at about a hundred bytes each, a message fits into one packet.
pub const UPDATES_PER_MESSAGE: usize = 8;

/// Members with an update to disseminate, with the number of times that it has been sent.
///
/// There is at most one entry for each member: a newer update replaces the older one.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue(BTreeMap<MemberIndex, u32>);

impl GossipQueue {
    /// Adds the member's current update, counted as not sent yet.
    pub fn enqueue(&mut self, member: MemberIndex) {
        self.0.insert(member, 0);
    }

    /// Removes the member's update, if there is one.
    pub fn remove(&mut self, member: MemberIndex) {
        self.0.remove(&member);
    }

    /// Whether there is nothing to disseminate.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The members whose updates go into the next message, least often sent first.
    ///
    /// Counts each as sent once more and removes those sent `retransmit_limit` times.
    pub fn next_batch(&mut self, retransmit_limit: u32) -> Vec<MemberIndex> {
        let mut batch: Vec<(u32, MemberIndex)> = self
            .0
            .iter()
            .map(|(member, sent)| (*sent, *member))
            .collect();
        batch.sort_unstable();
        batch.truncate(UPDATES_PER_MESSAGE);
        for (sent, member) in &batch {
            if sent + 1 >= retransmit_limit {
                self.0.remove(member);
            } else {
                self.0.insert(*member, sent + 1);
            }
        }
        batch.into_iter().map(|(_, member)| member).collect()
    }
}
