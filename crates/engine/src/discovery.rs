//! The engine's handling of discovery: endpoint lists, their age and lease, and announcements of primaries.

use std::rc::Rc;
use std::time::Duration;

use leverpoint_config::settings::ticks_to_duration;
use leverpoint_routing::api::{DiscoveryOutcome, EndpointUpdate, PrimaryAnnouncement, Ticks};

use crate::endpoints::EndpointEntry;
use crate::engine::{Engine, EngineEvent};

impl Engine {
    /// Handles primaries recorded at replica holders, each as replica set, server name and time of observation. Entries
    /// that the endpoint list does not confirm are ignored.
    pub fn on_primaries_reported(self: &Rc<Self>, primaries: &[(u16, String, Ticks)]) {
        let announcements = primaries
            .iter()
            .filter_map(|(set, server, at)| self.endpoints.announcement(*set, server, *at))
            .collect();
        self.dispatch(EngineEvent::PrimariesAnnounced(announcements));
    }

    /// Handles an update of the endpoint list; `revision` is 0 if it has none.
    pub fn on_endpoint_list(
        self: &Rc<Self>,
        update: EndpointUpdate,
        revision: u64,
        entries: &[EndpointEntry],
    ) {
        let zones = &self.settings.zone_names;
        let applied = self
            .endpoints
            .apply(update, revision, entries, zones, &self.log);
        self.dispatch(EngineEvent::EndpointList(update, applied.endpoints));
        if update == EndpointUpdate::Failed {
            return;
        }
        self.endpoints.mark_received();
        if update != EndpointUpdate::Restored {
            self.endpoints.mark_answered();
            self.record_drained();
        }
        if let Some(executor) = self.executor() {
            for server in applied.replaced {
                executor.close_idle_connections(server);
            }
        }
    }

    /// Handles the outcome of a call to discovery. A list that the call returned must have been passed to
    /// [`Engine::on_endpoint_list`] before.
    pub fn on_discovery_outcome(self: &Rc<Self>, outcome: DiscoveryOutcome) {
        if outcome == DiscoveryOutcome::Confirmed {
            self.endpoints.mark_confirmed();
        }
        // An agent that pushes its list is called many times a second, and its answers do not affect the lease.
        if !self.settings.routing.endpoint_list.pushed {
            self.dispatch(EngineEvent::Discovery(outcome));
        }
    }

    /// Whether an endpoint list has been received, so that requests can be routed.
    pub fn has_endpoint_list(&self) -> bool {
        self.endpoints.is_received()
    }

    /// Waits until an endpoint list has been received.
    pub async fn endpoint_list_received(&self) {
        self.endpoints.wait_received().await;
    }

    /// Waits until discovery has answered once since the start, with a list or with its confirmation.
    pub async fn discovery_answered(&self) {
        self.endpoints.wait_answered().await;
    }

    /// Returns the time since discovery last confirmed the list, none if it never did, and the time until the list's
    /// lease expires, none if it does not expire.
    pub fn endpoint_list_age(&self) -> (Option<Duration>, Option<Duration>) {
        let lease_end = self.router.borrow().lease().expires_at();
        let remaining = lease_end.map(|end| ticks_to_duration((end - self.clock.now()).max(0)));
        (self.endpoints.since_confirmed(), remaining)
    }

    /// Returns the highest revision of an endpoint list received so far.
    pub fn endpoint_list_revision(&self) -> u64 {
        self.endpoints.revision()
    }

    /// Whether the lease of the endpoint list has expired.
    pub(crate) fn is_endpoint_list_expired(&self) -> bool {
        self.router.borrow().lease().is_expired(self.clock.now())
    }

    /// Records the draining servers of the current list at replica holders, for gateways that start later.
    fn record_drained(&self) {
        if let Some(replicated_state) = self.replicated_state() {
            let drained = self.endpoints.drained();
            replicated_state.record_drained_servers(self.endpoints.revision(), drained);
        }
    }

    /// Records a primary at replica holders: announcements reach other gateways only this way.
    pub(crate) fn announce_primary(&self, announcement: PrimaryAnnouncement) {
        if let Some(replicated_state) = self.replicated_state() {
            let (set, server) = self.endpoints.set_and_name(announcement.server);
            replicated_state.record_primary(set, &server, announcement.at);
        }
    }
}
