//! Handles messages of other members: lease replies and layout histories here, replies by the coordinator or
//! anti-entropy, requests by the request handler.

use leverpoint_membership::layout::Layout;

use super::Replicator;
use crate::Ticks;
use crate::message::{Envelope, Message, RejectReason};
use crate::placement::ReplicaId;
use crate::request_handler;

impl Replicator {
    /// Passes a valid message on to its handler.
    pub(super) fn dispatch(&mut self, now: Ticks, envelope: &Envelope) {
        let same_layout = envelope.layout_version == self.state.layout_history.version();
        match &envelope.message {
            Message::LeaseRenewed {
                time,
                synced_version,
            } => self.on_lease_renewed(now, envelope, *time, *synced_version),
            Message::Layouts { layouts } if same_layout => self.on_layouts_received(layouts),
            Message::Layouts { .. } => {}
            Message::Rejected {
                reason: RejectReason::LayoutHistoryUnknown,
            } => {
                if same_layout {
                    self.on_history_unknown_to(now, &envelope.sender);
                }
            }
            Message::WriteAcknowledged { .. }
            | Message::ReadReply { .. }
            | Message::DifferingNodes { .. }
            | Message::RecordBatch { .. }
            | Message::Rejected { .. } => self.on_reply(now, envelope),
            _ => request_handler::handle(&mut self.state, now, envelope),
        }
    }

    fn on_reply(&mut self, now: Ticks, envelope: &Envelope) {
        let replica = ReplicaId {
            name: envelope.sender.clone(),
            storage_id: envelope.storage_id,
        };
        let (id, message) = (envelope.request_id, &envelope.message);
        let state = &mut self.state;
        if !self.coordinator.on_reply(state, now, &replica, id, message) {
            self.anti_entropy
                .on_reply(state, now, &replica, id, message);
        }
    }

    fn on_lease_renewed(
        &mut self,
        now: Ticks,
        envelope: &Envelope,
        time: Ticks,
        synced_version: u64,
    ) {
        let (state, name) = (&mut self.state, &envelope.sender);
        let version = state.layout_history.version();
        let was_in_touch = state.leases.in_touch(now, name, version);
        state.leases.on_renewal_answered(now, envelope, time);
        state.leases.on_synced(name, synced_version);
        if state.is_replica() && state.has_layout_quorum(now) {
            state.participation.has_met_quorum = true;
        }
        if !was_in_touch && state.leases.in_touch(now, name, version) {
            self.coordinator.on_peer_in_touch(state, now, name);
            if !state.layout_history.is_known() {
                let request_id = state.next_request_id();
                state.send(name, request_id, Message::QueryLayouts);
            }
        }
        self.drop_superseded_layouts(now);
    }

    fn on_layouts_received(&mut self, layouts: &[Layout]) {
        let state = &mut self.state;
        if state.layout_history.on_history_received(layouts) {
            self.anti_entropy.on_layout_changed(state);
            state.persist_metadata(None);
        }
    }

    fn on_history_unknown_to(&mut self, now: Ticks, name: &str) {
        let state = &mut self.state;
        let local = &state.local.name;
        if state.layout_history.on_history_unknown_to(local, name) {
            // No member knows an older layout, so no quorum has acknowledged anything under one.
            let until = now + state.config.max_clock_skew;
            state.store.raise_low_watermark(until);
            state.persist_metadata(None);
            self.anti_entropy.on_layout_changed(state);
        }
    }
}
