//! Anti-entropy: two members whose layouts or membership tables differ exchange them.

use leverpoint_failpoint::failpoint_active;

use super::Member;
use crate::Ticks;
use crate::action::MembershipEvent;
use crate::member_info::MemberUpdate;
use crate::membership_table::MemberIndex;
use crate::message::{Body, Envelope, UPDATES_PER_TABLE_SYNC};

impl Member {
    /// Compares the sender's layout and table digest with this member's own, and requests the layout or sends the table
    /// if they differ.
    pub(super) fn compare_state(&mut self, now: Ticks, member: MemberIndex, envelope: &Envelope) {
        let (own, other) = (self.voting.layout_version, envelope.layout);
        if other.version == own.version && own.version > 0 && other.digest != own.digest {
            self.counters.layout_conflicts += 1;
            self.report(MembershipEvent::LayoutConflict {
                version: own.version,
                from: envelope.sender.info.name.clone(),
            });
        }
        if !matches!(envelope.body, Body::Ping { .. } | Body::Ack { .. }) {
            return;
        }
        if other.version > own.version {
            self.send(member, Body::LayoutRequest);
        }
        let differs = envelope.table_digest != self.table.digest(&self.local.update);
        if differs && self.may_sync_table(now) && !failpoint_active("views-apart") {
            self.last_table_sync = now;
            self.send_table(member);
        }
    }

    /// Whether a table may be sent: at most one in a probe interval, and none while queued gossip may still remove the
    /// difference.
    fn may_sync_table(&self, now: Ticks) -> bool {
        self.gossip.is_empty() && now - self.last_table_sync >= self.config.probe_interval
    }

    fn send_table(&mut self, member: MemberIndex) {
        let all: Vec<MemberUpdate> = self
            .table
            .entries()
            .map(|(_, entry)| entry.update.clone())
            .collect();
        for part in all.chunks(UPDATES_PER_TABLE_SYNC) {
            let updates = part.to_vec();
            self.send(member, Body::TableSync { updates });
        }
    }
}
