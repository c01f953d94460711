//! Applies updates of the endpoint list, and tracks whether the list may still be used.

use crate::api::{
    Action, DiscoveryOutcome, Endpoint, EndpointListConfig, EndpointState, EndpointUpdate,
    MILLISECOND, ServerProtection, Ticks,
};
use crate::cluster_state::{ClusterState, Server, ServerEndpoint};
use crate::endpoint_lease::EndpointLease;
use crate::latency::ServerLatency;
use crate::outlier_detection::ServerHealth;

/// Shortest time before the list is watched again after a failure.
const WATCH_RETRY_DELAY: Ticks = 500 * MILLISECOND;
/// Longest random delay added to that, so gateways that failed together do not call together.
const WATCH_RETRY_JITTER: Ticks = 1000 * MILLISECOND;
/// How long a server that is gone is remembered after its last response.
const GONE_RETENTION: Ticks = 30_000 * MILLISECOND;

/// Lease of the endpoint list, and the schedule of the next watch.
pub(crate) struct EndpointListStatus {
    pushed: bool,
    watch_again_at: Option<Ticks>,
    lease: EndpointLease,
    /// Whether the lease had expired at the last [`EndpointListStatus::poll`].
    expired: bool,
}

impl EndpointListStatus {
    pub(crate) fn new(config: &EndpointListConfig, protection: &ServerProtection) -> Self {
        EndpointListStatus {
            pushed: config.pushed,
            watch_again_at: (!config.pushed).then_some(Ticks::MIN),
            lease: EndpointLease::new(config.pushed, protection.drain_grace),
            expired: false,
        }
    }

    pub(crate) fn lease(&self) -> &EndpointLease {
        &self.lease
    }

    pub(crate) fn on_event(&mut self, now: Ticks) {
        self.lease.on_process_started(now);
    }

    pub(crate) fn on_discovery(&mut self, outcome: DiscoveryOutcome, now: Ticks) {
        match outcome {
            DiscoveryOutcome::Confirmed => self.lease.on_confirmed(now),
            DiscoveryOutcome::Refused => self.lease.on_refused(),
            DiscoveryOutcome::Unreachable { ago } => self.lease.on_unreachable(now - ago),
            DiscoveryOutcome::Moved => self.lease.on_discovery_moved(now),
        }
    }

    /// Schedules the next watch after a failed one; a list that is pushed needs none.
    pub(crate) fn on_failure(&mut self, now: Ticks, rng: &mut fastrand::Rng) {
        let delay = WATCH_RETRY_DELAY + rng.i64(0..=WATCH_RETRY_JITTER);
        self.watch_again_at = (!self.pushed).then_some(now + delay);
    }

    /// Whether a watch is scheduled.
    pub(crate) fn is_watch_scheduled(&self) -> bool {
        self.watch_again_at.is_some()
    }

    /// Starts a watch that is due, and logs whether the lease has expired or been renewed.
    pub(crate) fn poll(&mut self, now: Ticks, actions: &mut Vec<Action>) {
        if self.watch_again_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::WatchEndpoints(true));
        }
        let expired = self.lease.is_expired(now);
        if std::mem::replace(&mut self.expired, expired) != expired {
            let message = if expired {
                "endpoint list lease expired: discovery refuses a newer list, no new attempts"
            } else {
                "endpoint list lease renewed"
            };
            actions.push(Action::Log(message.into()));
        }
    }
}

/// Applies an update of the endpoint list to the cluster state.
pub(crate) fn apply(
    cluster: &mut ClusterState,
    update: EndpointUpdate,
    endpoints: &[Endpoint],
    rng: &mut fastrand::Rng,
    actions: &mut Vec<Action>,
) {
    if update != EndpointUpdate::Changes {
        for server in &mut cluster.servers {
            server.endpoint.state = EndpointState::Gone;
        }
    }
    for endpoint in endpoints {
        apply_endpoint(cluster, endpoint, rng, actions);
    }
    forget_unusable_primaries(cluster);
    cluster.refresh_totals();
}

fn apply_endpoint(
    cluster: &mut ClusterState,
    endpoint: &Endpoint,
    rng: &mut fastrand::Rng,
    actions: &mut Vec<Action>,
) {
    add_if_unknown(cluster, endpoint);
    if endpoint.started_at > cluster.servers[endpoint.server].endpoint.started_at {
        restart(cluster, endpoint, rng);
    }
    let listed = &mut cluster.servers[endpoint.server].endpoint;
    listed.state = endpoint.state;
    listed.size = endpoint.size;
    listed.ever_draining |= endpoint.state == EndpointState::Draining;
    let newly_listed = endpoint.primary && !listed.listed_primary;
    listed.listed_primary = endpoint.primary;
    apply_listed_primary(cluster, endpoint, newly_listed, actions);
}

fn add_if_unknown(cluster: &mut ClusterState, endpoint: &Endpoint) {
    let now = cluster.now;
    if cluster.servers.len() <= endpoint.server {
        cluster
            .servers
            .resize_with(endpoint.server + 1, Server::default);
    }
    cluster.set_mut(endpoint.set);
    if cluster.servers[endpoint.server].endpoint.known {
        return;
    }
    cluster.sets[endpoint.set].members.push(endpoint.server);
    cluster.servers[endpoint.server] = Server {
        endpoint: ServerEndpoint {
            known: true,
            set: endpoint.set,
            zone: endpoint.zone,
            ..ServerEndpoint::default()
        },
        health: ServerHealth::new(now),
        latency: ServerLatency::new(now),
        ..Server::default()
    };
}

/// Records that a server has restarted. It warms up from a random debt of up to the mean typical
/// latency of the request classes.
fn restart(cluster: &mut ClusterState, endpoint: &Endpoint, rng: &mut fastrand::Rng) {
    let classes = &cluster.classes;
    let typical_sum: f64 = classes.iter().map(|class| class.typical() as f64).sum();
    let mean_typical = typical_sum / classes.len() as f64;
    let server = &mut cluster.servers[endpoint.server];
    server.endpoint.started_at = endpoint.started_at;
    server.position.on_restart();
    server.health.on_restart();
    server.warmup.restart(mean_typical * rng.f64(), cluster.now);
}

/// Records a primary that the endpoint list names.
///
/// The list is used only where reports of the set's primary are old or missing, and only if no
/// answer has reported the server's role or the list names the server newly.
fn apply_listed_primary(
    cluster: &mut ClusterState,
    endpoint: &Endpoint,
    newly_listed: bool,
    actions: &mut Vec<Action>,
) {
    let never_reported = cluster.servers[endpoint.server].role.reported_at.is_none();
    let set_index = cluster.servers[endpoint.server].endpoint.set;
    let primary = &mut cluster.sets[set_index].primary;
    let accepted = endpoint.primary
        && endpoint.state == EndpointState::Ready
        && primary.yields_to_list(cluster.now)
        && (newly_listed || never_reported);
    if accepted && primary.set_listed(endpoint.server) {
        actions.push(Action::Log(format!(
            "replica set {set_index}: endpoint list names server {} primary",
            endpoint.server
        )));
    }
}

/// Forgets primaries that may get no attempts, as no other member is tried while one is known.
fn forget_unusable_primaries(cluster: &mut ClusterState) {
    for set in 0..cluster.sets.len() {
        let unusable = cluster.sets[set]
            .primary
            .server()
            .is_some_and(|server| cluster.usable(server).is_none());
        if unusable {
            cluster.sets[set].primary.clear();
        }
    }
}

/// Forgets servers that have been gone and silent for a while and have no attempt in flight.
pub(crate) fn forget_gone_servers(cluster: &mut ClusterState, actions: &mut Vec<Action>) {
    for index in 0..cluster.servers.len() {
        let server = &cluster.servers[index];
        let forgotten = server.endpoint.known
            && server.endpoint.state == EndpointState::Gone
            && server.latency.in_flight == 0
            && cluster.now - server.health.last_response() > GONE_RETENTION;
        if !forgotten {
            continue;
        }
        let set = &mut cluster.sets[server.endpoint.set];
        set.members.retain(|&member| member != index);
        if set.primary.is(index) {
            set.primary.clear();
        }
        cluster.servers[index] = Server::default();
        actions.push(Action::ReleaseServer(index));
    }
}
