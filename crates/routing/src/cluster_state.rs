//! What this gateway knows of the servers, the replica sets and the request classes.

use crate::api::{EndpointState, MILLISECOND, ReplicaCheck, RoutingConfig, Ticks};
use crate::latency::{ClassLatency, RoleLatency, ServerLatency};
use crate::outlier_detection::ServerHealth;
use crate::primary_tracking::{KnownPrimary, Role, RoleReports};
use crate::recent_outcomes::RecentOutcomes;
use crate::replica_position::ReplicaPosition;
use crate::retry_policy::RetryPolicy;
use crate::slow_start::{WarmThroughput, WarmingServer, WarmupBudget, warming_capacity};

const THROUGHPUT_DECAY_INTERVAL: Ticks = 1000 * MILLISECOND;
const SET_DECAY_INTERVAL: Ticks = 2500 * MILLISECOND;
/// Interval at which servers and sets are checked for decay, so not every event visits all of them;
/// a quarter of the shortest interval at which servers decay.
const DECAY_CHECK_INTERVAL: Ticks = 125 * MILLISECOND;

/// State on which the routing decisions are based.
pub(crate) struct ClusterState {
    pub(crate) config: RoutingConfig,
    pub(crate) now: Ticks,
    pub(crate) classes: Vec<ClassLatency>,
    pub(crate) servers: Vec<Server>,
    pub(crate) sets: Vec<ReplicaSet>,
    pub(crate) recent_outcomes: RecentOutcomes,
    pub(crate) warm_throughput: WarmThroughput,
    /// Highest priority weight per tick of all classes.
    pub(crate) max_weight_per_tick: f64,
    /// When all requests are ended; `None` while the gateway does not shut down.
    pub(crate) shutdown_at: Option<Ticks>,
    throughput_decayed_at: Ticks,
    decay_checked_at: Ticks,
}

/// State of a server, by the endpoint list, its reports and its attempts.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) endpoint: ServerEndpoint,
    pub(crate) role: RoleReports,
    pub(crate) position: ReplicaPosition,
    pub(crate) health: ServerHealth,
    pub(crate) latency: ServerLatency,
    pub(crate) warmup: WarmupBudget,
}

/// State of a server according to the endpoint list.
#[derive(Default)]
pub(crate) struct ServerEndpoint {
    /// Whether the server has been listed since its index was assigned.
    pub(crate) known: bool,
    pub(crate) set: usize,
    pub(crate) zone: usize,
    pub(crate) state: EndpointState,
    pub(crate) ever_draining: bool,
    pub(crate) size: f64,
    pub(crate) started_at: Ticks,
    pub(crate) listed_primary: bool,
}

/// Members of a replica set, its primary, and the latencies of its servers by role.
#[derive(Default)]
pub(crate) struct ReplicaSet {
    pub(crate) members: Vec<usize>,
    pub(crate) primary: KnownPrimary,
    primary_latency: RoleLatency,
    replica_latency: RoleLatency,
    decayed_at: Ticks,
}

impl ReplicaSet {
    pub(crate) fn role(&self, server: usize) -> Role {
        if self.primary.is(server) {
            Role::Primary
        } else {
            Role::Replica
        }
    }

    pub(crate) fn role_latency(&self, role: Role) -> &RoleLatency {
        match role {
            Role::Primary => &self.primary_latency,
            Role::Replica => &self.replica_latency,
        }
    }

    pub(crate) fn role_latency_mut(&mut self, role: Role) -> &mut RoleLatency {
        match role {
            Role::Primary => &mut self.primary_latency,
            Role::Replica => &mut self.replica_latency,
        }
    }

    fn decay(&mut self, now: Ticks) {
        if now - self.decayed_at >= SET_DECAY_INTERVAL {
            self.decayed_at = now;
            self.primary_latency.decay();
            self.replica_latency.decay();
        }
    }
}

impl ClusterState {
    pub(crate) fn new(config: RoutingConfig) -> Self {
        ClusterState {
            now: 0,
            classes: config
                .classes
                .iter()
                .cloned()
                .map(ClassLatency::new)
                .collect(),
            servers: Vec::new(),
            sets: Vec::new(),
            recent_outcomes: RecentOutcomes::default(),
            warm_throughput: WarmThroughput::default(),
            max_weight_per_tick: f64::MIN_POSITIVE,
            shutdown_at: None,
            throughput_decayed_at: 0,
            decay_checked_at: 0,
            config,
        }
    }

    /// Returns the replica set with this index, and adds it if it is not known yet.
    pub(crate) fn set_mut(&mut self, set: usize) -> &mut ReplicaSet {
        if self.sets.len() <= set {
            self.sets.resize_with(set + 1, ReplicaSet::default);
        }
        &mut self.sets[set]
    }

    /// Returns the server if the endpoint list allows attempts to it.
    pub(crate) fn usable(&self, server: usize) -> Option<&Server> {
        let state = &self.servers[server];
        let endpoint = &state.endpoint;
        let unlisted_allowed = endpoint.state == EndpointState::Gone
            && !endpoint.ever_draining
            && self.config.protection.only_draining_excludes;
        (endpoint.state == EndpointState::Ready || unlisted_allowed).then_some(state)
    }

    /// The replica set that a server belongs to.
    pub(crate) fn set_of(&self, server: usize) -> &ReplicaSet {
        &self.sets[self.servers[server].endpoint.set]
    }

    /// Fraction of its capacity that a server has while it warms up; `None` once it is warm.
    pub(crate) fn warming_capacity(&self, server: &Server) -> Option<f64> {
        warming_capacity(
            &self.config.protection,
            server.endpoint.started_at,
            self.now,
        )
    }

    /// Balance of the work budget of a server that warms up; `None` once it is warm.
    pub(crate) fn warmup_balance(&self, server: usize) -> Option<f64> {
        let state = &self.servers[server];
        let capacity = self.warming_capacity(state)?;
        Some(state.warmup.balance(
            &self.config.protection,
            &self.warm_throughput,
            WarmingServer {
                size: state.endpoint.size,
                capacity,
            },
            self.now,
        ))
    }

    /// Whether a server's work budget allows an attempt.
    pub(crate) fn warmup_allows(&self, server: usize) -> bool {
        self.warmup_balance(server)
            .is_none_or(|balance| balance >= 0.0)
    }

    /// How long an answer of this class is likely to take at a server.
    pub(crate) fn expected_latency(&self, class: usize, server: usize) -> Ticks {
        let set = self.set_of(server);
        self.servers[server].latency.expected(
            self.classes[class].typical(),
            set.role_latency(set.role(server)),
            self.now,
        )
    }

    /// Retry policy that follows from the idempotency of a request class.
    pub(crate) fn retry_policy(&self, class: usize) -> RetryPolicy {
        let idempotency = self.classes[class].config.idempotency;
        RetryPolicy::new(idempotency, self.config.batch_interval)
    }

    /// How long a replica holds back a read whose required position it has not reached.
    pub(crate) fn replica_hold(&self) -> Ticks {
        match self.config.replica_check {
            ReplicaCheck::Hold(hold) => hold,
            ReplicaCheck::None | ReplicaCheck::Reject => 0,
        }
    }

    /// Interval at which waiting requests are tried again: far below any latency objective, and
    /// long enough to cost little.
    pub(crate) fn retry_interval(&self) -> Ticks {
        self.config.batch_interval.max(10 * MILLISECOND)
    }

    /// Whether the throughput decayed at the current time, as it does once a second.
    pub(crate) fn has_just_decayed(&self) -> bool {
        self.throughput_decayed_at == self.now
    }

    /// Returns whether the throughput is due to decay, and if so records that it has decayed now.
    pub(crate) fn take_throughput_decay(&mut self) -> bool {
        let due = self.now - self.throughput_decayed_at >= THROUGHPUT_DECAY_INTERVAL;
        if due {
            self.throughput_decayed_at = self.now;
        }
        due
    }

    /// Decays the throughput and the shares of late attempts.
    pub(crate) fn decay_throughput(&mut self) {
        self.warm_throughput.decay();
        self.recent_outcomes.decay();
        self.refresh_totals();
    }

    /// Decays the measurements of those servers and sets whose interval has passed.
    pub(crate) fn decay_measurements(&mut self) {
        let now = self.now;
        if now - self.decay_checked_at < DECAY_CHECK_INTERVAL {
            return;
        }
        self.decay_checked_at = now;
        self.sets.iter_mut().for_each(|set| set.decay(now));
        for server in &mut self.servers {
            if server.latency.decay(now) {
                server.health.decay();
            }
        }
    }

    /// Recomputes the size of the warm servers and the highest priority weight.
    pub(crate) fn refresh_totals(&mut self) {
        let usable = (0..self.servers.len()).filter_map(|server| self.usable(server));
        let warm_size = usable
            .filter(|server| self.warming_capacity(server).is_none())
            .map(|server| server.endpoint.size)
            .sum();
        self.warm_throughput.set_total_size(warm_size);
        self.max_weight_per_tick = self
            .classes
            .iter()
            .map(ClassLatency::weight_per_tick)
            .fold(f64::MIN_POSITIVE, f64::max);
    }
}
