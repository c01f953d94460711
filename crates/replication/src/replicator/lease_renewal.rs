//! Renews this member's leases at the other members, and announces its orderly shutdown.

use super::Replicator;
use crate::Ticks;
use crate::action::Action;
use crate::message::Message;

impl Replicator {
    /// Renews the lease at all other members of the newest layout, and asks them for the layouts in force if unknown.
    pub(super) fn renew_leases(&mut self, now: Ticks) {
        let others = self.state.other_replicas();
        if !self.state.layout_history.is_known() {
            for name in &others {
                let request_id = self.state.next_request_id();
                self.state.send(name, request_id, Message::QueryLayouts);
            }
        }
        for name in &others {
            self.renew_lease(now, name);
        }
    }

    /// Sends a lease renewal to one member. While this member serves without a quorum or has paused its leases, the
    /// renewal echoes no time, and so extends no lease.
    pub(super) fn renew_lease(&mut self, now: Ticks, name: &str) {
        let state = &mut self.state;
        let request_id = state.next_request_id();
        let paused = state.degraded.open_writes > 0 || now < state.degraded.leases_paused_until;
        state.leases.begin_renewal(now, name, request_id);
        let echoed_time = if paused {
            0
        } else {
            state.leases.extend_own_lease(name)
        };
        let message = Message::RenewLease {
            echoed_time,
            unreplicated_until: state.degraded.unreplicated_until(),
            synced_version: state.sync.layout_version,
        };
        state.send(name, request_id, message);
    }

    /// Stops taking part, and announces an orderly shutdown to the other members.
    ///
    /// A member that has answered writes without a quorum, or has one open, announces none: it renews its leases, which
    /// reports the time of those writes.
    pub fn leave(&mut self, now: Ticks) -> Vec<Action> {
        let state = &mut self.state;
        state.participation.active = false;
        // An announced end extends this member's lease, under which all its answers have to be replicated.
        if state.degraded.open_writes > 0 || state.degraded.answered_until != 0 {
            self.renew_leases(now);
            return self.take_actions();
        }
        for name in state.other_replicas() {
            let request_id = state.next_request_id();
            let echoed_time = state.leases.time_to_echo(&name);
            state.send(&name, request_id, Message::Leaving { echoed_time });
        }
        self.take_actions()
    }
}
