//! A member's own identity: its admission, its refutations, and conflicts over its name.

use leverpoint_failpoint::failpoint_active;

use super::Member;
use crate::action::{MembershipEvent, MembershipStatus};
use crate::member_info::{MemberInfo, MemberUpdate};
use crate::member_status::MemberStatus;
use crate::membership_table::MemberIndex;
use crate::message::{Body, Envelope};

/// A member's update about itself, and its own state in the fleet.
#[derive(Debug)]
pub(super) struct LocalMember {
    pub(super) update: MemberUpdate,
    pub(super) status: MembershipStatus,
    name_conflict_reported: bool,
}

impl LocalMember {
    pub(super) fn new(info: MemberInfo) -> LocalMember {
        LocalMember {
            update: MemberUpdate {
                info,
                refutation_count: 0,
                status: MemberStatus::Alive,
            },
            status: MembershipStatus::Joining,
            name_conflict_reported: false,
        }
    }

    /// Whether the member sends and processes no messages any more.
    pub(super) fn is_silent(&self) -> bool {
        matches!(
            self.status,
            MembershipStatus::Superseded | MembershipStatus::Left
        )
    }
}

impl Member {
    /// Handles a message from another process that uses this member's name.
    ///
    /// An active member keeps its name, whatever the incarnation of the other process, and sends it its own update. It
    /// is superseded only by an update that a third member has accepted.
    pub(super) fn on_message_with_own_name(&mut self, update: &MemberUpdate) {
        let own = &self.local.update;
        let same_incarnation = update.info.incarnation == own.info.incarnation;
        if self.local.status != MembershipStatus::Active || same_incarnation {
            return self.on_update_about_self(update);
        }
        self.counters.name_conflicts += 1;
        let updates = vec![own.clone()];
        self.send_to_address(update.info.address.clone(), Body::TableSync { updates });
    }

    /// Sends a process that uses another member's name the newest update about that member.
    pub(super) fn send_known_update(&mut self, member: MemberIndex, sender: &MemberInfo) {
        let Some(update) = self.table.get(member).map(|entry| entry.update.clone()) else {
            return;
        };
        let updates = vec![update];
        self.send_to_address(sender.address.clone(), Body::TableSync { updates });
    }

    /// Makes a joining member active when another member sends it a message, unless that message has an update about a
    /// different incarnation of its name.
    pub(super) fn check_admission(&mut self, envelope: &Envelope) {
        let own = &self.local.update.info;
        let disputes = |update: &MemberUpdate| {
            update.info.name == own.name && update.info.incarnation != own.incarnation
        };
        let disputed = match &envelope.body {
            Body::TableSync { updates } => updates.iter().any(disputes),
            _ => envelope.updates.iter().any(disputes),
        };
        if self.local.status == MembershipStatus::Joining && !disputed {
            self.local.status = MembershipStatus::Active;
            self.report(MembershipEvent::Admitted);
        }
    }

    /// Handles an update about this member's own name: refutes it, gives the name up to a newer incarnation, or raises
    /// its incarnation above an ended one.
    pub(super) fn on_update_about_self(&mut self, update: &MemberUpdate) {
        let own = self.local.update.info.incarnation;
        let other = update.info.incarnation;
        if other == own {
            return self.refute(update);
        }
        // No other process can be running at this member's own address.
        let has_other_address = update.info.address != self.local.update.info.address;
        let is_running = update.status <= MemberStatus::Suspect && has_other_address;
        let joining = self.local.status == MembershipStatus::Joining;
        if is_running && joining && other.storage_id != own.storage_id {
            // The running process keeps the name until it is dead or has left, whichever incarnation is newer.
            self.report_name_conflict(update);
        } else if other > own && is_running && !failpoint_active("ended-goes-on") {
            self.local.status = MembershipStatus::Superseded;
            self.voting.abort();
            self.report(MembershipEvent::Superseded { by: other });
        } else if other > own {
            // The clock of an ended incarnation was ahead of this one's.
            let raised = other.number + 1;
            self.local.update.info.incarnation.number = raised;
            self.local.update.refutation_count = 0;
            self.report(MembershipEvent::IncarnationRaised { to: raised });
            self.persist();
        }
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let own = &mut self.local.update;
        if update.status != MemberStatus::Alive
            && update.refutation_count >= own.refutation_count
            && !failpoint_active("not-contradicted")
        {
            own.refutation_count = update.refutation_count + 1;
            self.counters.refuted += 1;
        }
    }

    fn report_name_conflict(&mut self, update: &MemberUpdate) {
        if !self.local.name_conflict_reported {
            self.local.name_conflict_reported = true;
            let by = update.info.address.clone();
            self.report(MembershipEvent::NameInUse { by });
        }
    }
}
