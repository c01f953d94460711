//! Outgoing messages: what every message carries, and the gossip piggybacked on it.

use super::Member;
use crate::action::{Action, Destination};
use crate::member_info::MemberUpdate;
use crate::member_status::MemberStatus;
use crate::membership_table::MemberIndex;
use crate::message::{Body, Envelope};

impl Member {
    /// Builds a message, with gossip if its kind carries gossip.
    pub(super) fn envelope(&mut self, recipient: Option<MemberIndex>, body: Body) -> Envelope {
        let updates = if body.carries_gossip() {
            self.gossip_for(recipient)
        } else {
            Vec::new()
        };
        Envelope {
            sender: self.local.update.clone(),
            layout: self.voting.layout_version,
            table_digest: self.table.digest(&self.local.update),
            updates,
            body,
        }
    }

    /// Updates to piggyback. If the recipient is not seen as alive, the update about it comes first, so that it can
    /// refute.
    fn gossip_for(&mut self, recipient: Option<MemberIndex>) -> Vec<MemberUpdate> {
        let about_recipient = recipient
            .and_then(|member| self.table.get(member))
            .filter(|entry| entry.status() != MemberStatus::Alive);
        let mut updates: Vec<MemberUpdate> = about_recipient
            .map(|entry| entry.update.clone())
            .into_iter()
            .collect();
        let limit = self.config.retransmit_limit(self.known_members());
        for member in self.gossip.next_batch(limit) {
            if Some(member) != recipient
                && let Some(entry) = self.table.get(member)
            {
                updates.push(entry.update.clone());
            }
        }
        updates
    }

    /// Name and address of a known member.
    pub(super) fn destination(&self, member: MemberIndex) -> Option<Destination> {
        let info = &self.table.get(member)?.update.info;
        Some(Destination {
            name: Some(info.name.clone()),
            address: info.address.clone(),
        })
    }

    /// Sends a message to a known member; does nothing if the member has been forgotten.
    pub(super) fn send(&mut self, member: MemberIndex, body: Body) {
        let Some(to) = self.destination(member) else {
            return;
        };
        let envelope = Box::new(self.envelope(Some(member), body));
        self.actions.push(Action::Send { to, envelope });
    }

    /// Sends a message to the process at this address, whatever its name.
    pub(super) fn send_to_address(&mut self, address: String, body: Body) {
        let envelope = Box::new(self.envelope(None, body));
        let to = Destination {
            name: None,
            address,
        };
        self.actions.push(Action::Send { to, envelope });
    }
}
