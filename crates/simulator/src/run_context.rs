//! State that all parts of one run share: the simulation, replica sets, endpoint list and checker; and the start of a
//! gateway within it.
//!
//! # Invariants
//!
//! The code under test sees nothing of this but what reaches it through the simulated runtime.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_cluster_model::Ticks;
use leverpoint_cluster_model::endpoint_list::{EndpointList, Phase};
use leverpoint_cluster_model::replica_set::{ReplicaSet, ReplicaSetConfig};
use leverpoint_config::node;
use leverpoint_config::operator::{self, OperatorConfig};
use leverpoint_gateway::gateway::Gateway;
use leverpoint_runtime::Listener;
use tokio::sync::Notify;

use crate::checker::{Checker, Idempotency};
use crate::gateway_script::{RequestClass, Scenario};
use crate::simulation::{EventSource, ProcessId, Role, START_UNIX_TIME, Simulation};

/// How long servers drop a retry with the same idempotency key; `keyTtlMs` in the settings.
pub(crate) const DEDUPLICATION_WINDOW: Ticks = 20_000;
/// How long a gateway may still send to a server after the drain was announced; `stopSendingWithinMs` in the settings.
pub(crate) const DRAIN_GRACE: Ticks = 5_000;
/// Shortest and longest latency of one direction between any two processes.
pub(crate) const NETWORK_LATENCY: (Ticks, Ticks) = (2, 12);
/// The emulated replica sets. Capacity and duration of a cold start, and the overload limits, are those that the
/// settings tell the gateway.
pub(crate) const REPLICA_SET_CONFIG: ReplicaSetConfig = ReplicaSetConfig {
    slots: 6,
    queue_capacity: 30,
    replication_lag: 300,
    key_retention: DEDUPLICATION_WINDOW,
    election_duration: 8_000,
    cold_start_capacity: 0.17,
    cold_start_duration: 20_000,
    overload_multiple: 1.25,
    overload_window: 5_000,
    typical_work: 150,
};

/// Settings of a gateway; the words in capitals are replaced for each one.
pub(crate) const ROUTING_SETTINGS: &str = r#"{"balancers": GATEWAYS, "me": ME, "tickMs": 5.0, "zone": ZONE, "zones": [ZONES], "discovery": "pushed",
    "contract": {"answerSlackMs": 20.0, "coldMs": 2000.0, "fallMs": 500.0, "fallMultiple": 1.25, "startCapacity": 0.17,
     "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "CHECK", "listRole": "delayed", "oldestDataMs": [3000.0, 0.0, 0.0, 0.0, 0.0],
     "readLevel": ["recent", "own_writes", "loose", "update", "update"], "stamps": true, "tokens": "router"},
    "grades": [
     {"name": "board", "aimMs": 600.0, "deadlineMs": 2000.0, "semantics": "pure", "worth": 1.0},
     {"name": "own", "aimMs": 400.0, "deadlineMs": 1500.0, "semantics": "pure", "worth": 2.0},
     {"name": "history", "aimMs": 500.0, "deadlineMs": 1200.0, "semantics": "pure", "worth": 1.0},
     {"name": "report", "aimMs": 300.0, "deadlineMs": 2000.0, "semantics": "token", "group": "cell",
      "keyTtlMs": 2000.0, "worth": 3.0, "lateWorth": 0.3},
     {"name": "order", "aimMs": 400.0, "deadlineMs": 2000.0, "semantics": "side_effect", "worth": 3.0}],
    "policyLimits": {"sendCap": 6, "retryAfter": true, "maxRetryAfterMs": 1000.0, "connectTimeoutMs": 250.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "club", "share": 1.0, "quotaPerS": 1000.0}]}"#;

/// The operator's configuration file in scenarios where sessions are followed.
pub(crate) const OPERATOR_CONFIG_WITH_SESSIONS: &str = r#"sessions {
  follow = true
  keys   = ["7:00112233445566778899aabbccddeeff"]
  number = "8c1f30d27a5be964"
}"#;

/// How the clients and servers of a run treat a request class.
pub(crate) struct ClassProfile {
    /// Its name in the settings and in the comment of a statement.
    pub(crate) name: &'static str,
    /// Whether a second execution has a second effect.
    pub(crate) effects: Idempotency,
    /// From the first attempt to the deadline.
    pub(crate) timeout: Ticks,
    /// Response time within which an answer brings its full benefit.
    pub(crate) target: Ticks,
    pub(crate) benefit: f64,
    /// Part of the benefit that an answer after the target still brings.
    pub(crate) late_factor: f64,
    /// Shortest and longest execution on a server.
    pub(crate) execution_time: (Ticks, Ticks),
}

/// The profile of a request class, in agreement with the settings of the gateways.
pub(crate) fn class_profile(class: RequestClass) -> ClassProfile {
    let profile =
        |name, effects, timeout, target, benefit, late_factor, execution_time| ClassProfile {
            name,
            effects,
            timeout,
            target,
            benefit,
            late_factor,
            execution_time,
        };
    match class {
        RequestClass::Board => profile(
            "board",
            Idempotency::Idempotent,
            20_000,
            6_000,
            1.0,
            0.0,
            (100, 300),
        ),
        RequestClass::Own => profile(
            "own",
            Idempotency::Idempotent,
            15_000,
            4_000,
            2.0,
            0.0,
            (80, 200),
        ),
        RequestClass::History => profile(
            "history",
            Idempotency::Idempotent,
            12_000,
            5_000,
            1.0,
            0.0,
            (100, 300),
        ),
        RequestClass::Report => profile(
            "report",
            Idempotency::IdempotentByKey,
            20_000,
            3_000,
            3.0,
            0.3,
            (50, 150),
        ),
        RequestClass::Order => profile(
            "order",
            Idempotency::NonIdempotent,
            20_000,
            4_000,
            3.0,
            0.0,
            (50, 150),
        ),
    }
}

/// The emulated database cluster and its discovery agents. Lists go by server or by gateway.
pub(crate) struct Cluster {
    pub(crate) replica_sets: RefCell<Vec<ReplicaSet>>,
    pub(crate) servers_per_set: usize,
    pub(crate) endpoint_list: RefCell<EndpointList>,
    /// Notified after each new revision of the endpoint list.
    pub(crate) list_published: Notify,
    /// By server: whether it corrupts the framing of about half of its responses.
    pub(crate) corrupts_responses: RefCell<Vec<bool>>,
    /// By server: whether it sends about a quarter of its responses twice.
    pub(crate) repeats_responses: RefCell<Vec<bool>>,
    /// By gateway: whether its agent learns and answers nothing at present.
    pub(crate) agent_is_silent: RefCell<Vec<bool>>,
    /// By gateway: how often its agent has become silent.
    pub(crate) agent_silence_count: RefCell<Vec<u64>>,
    /// By gateway: the revision that its agent learned last.
    pub(crate) agent_revision: RefCell<Vec<Option<u64>>>,
    /// By gateway: whether its configuration names the agent's second address.
    pub(crate) agent_at_second_address: RefCell<Vec<bool>>,
    /// Servers that were primary until they failed or handed over, with the time; gateways may learn of it later.
    pub(crate) was_primary: RefCell<BTreeMap<usize, Ticks>>,
}

/// Everything that the clients, agents, servers and faults of one run share.
pub(crate) struct RunContext {
    pub(crate) sim: Rc<Simulation>,
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
    pub(crate) checker: RefCell<Checker>,
    pub(crate) cluster: Cluster,
    /// None for a gateway that was killed or has not started yet.
    pub(crate) gateways: RefCell<Vec<Option<Rc<Gateway>>>>,
    /// By gateway: how often it has been started.
    pub(crate) gateway_incarnations: RefCell<Vec<u64>>,
    /// By client: the lowest position that its last acknowledged write can have, with the gateway and its incarnation
    /// that acknowledged the write.
    pub(crate) last_writes: RefCell<BTreeMap<usize, (Ticks, usize, u64)>>,
    /// By client: the session token that came with the answer to its last write.
    pub(crate) session_tokens: RefCell<BTreeMap<usize, String>>,
    /// Sum over all answers so far, and what it would be if every request had been answered in time.
    pub(crate) benefit: Cell<f64>,
    pub(crate) possible_benefit: Cell<f64>,
    /// Number of the next request, unique in the run.
    pub(crate) next_id: Cell<u64>,
}

/// From the start of a server's process until it accepts connections.
pub(crate) const SERVER_START_DELAY: Duration = Duration::from_millis(300);
/// How long connections to an agent stay open after its address was removed from the gateway's configuration.
pub(crate) const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// The process that all clients run in.
pub(crate) const CLIENT_PROCESS: ProcessId = 0;
/// End of a run whose clients have not finished by then; that only happens through a fault.
pub(crate) const MAX_RUN_TIME: Ticks = 600_000;
/// How long a run goes on after its clients have finished. Longer than any client timeout, so that all work that was
/// started for clients has ended.
pub(crate) const SETTLING_TIME: Ticks = 40_000;

/// Address of the n-th process of a kind. The subnet tells the kind: 0 for gateways, 1 for servers, 2 and 3 for the
/// first and second address of agents.
pub(crate) fn address(subnet: u8, n: usize) -> SocketAddr {
    SocketAddr::from(([10, subnet, 0, n as u8 + 1], 6432))
}

/// Zones are named "a", "b" and so on.
pub(crate) fn zone_name(n: usize) -> char {
    char::from(b'a' + n as u8)
}

impl RunContext {
    pub(crate) fn gateway_process(&self, n: usize) -> ProcessId {
        1 + n
    }

    pub(crate) fn agent_process(&self, n: usize) -> ProcessId {
        1 + self.scenario.gateways + n
    }

    pub(crate) fn server_process(&self, n: usize) -> ProcessId {
        1 + 2 * self.scenario.gateways + n
    }

    /// The replica set of a server, and its index as a member of that set.
    pub(crate) fn set_and_member(&self, server: usize) -> (usize, usize) {
        (
            server / self.cluster.servers_per_set,
            server % self.cluster.servers_per_set,
        )
    }

    pub(crate) fn now(&self) -> Ticks {
        self.sim.time()
    }

    /// How often the gateway has been started; tells its present process from earlier ones at the same address.
    pub(crate) fn incarnation(&self, gateway: usize) -> u64 {
        self.gateway_incarnations.borrow()[gateway]
    }

    /// Publishes a server's phase and role 50 to 500 ms from now, the delay of discovery.
    pub(crate) fn publish_after_delay(&self, now: Ticks, server: usize, phase: Phase) {
        let delay = self.sim.rng.borrow_mut().i64(500..5_000);
        self.publish(now + delay, server, phase);
    }

    /// Schedules the publication of a server's phase and of the role that it has now.
    pub(crate) fn publish(&self, at: Ticks, server: usize, phase: Phase) {
        let (set, member) = self.set_and_member(server);
        let replica_sets = self.cluster.replica_sets.borrow();
        let started_at = replica_sets[set].servers[member].started_at;
        let primary = replica_sets[set].is_primary(member);
        self.cluster
            .endpoint_list
            .borrow_mut()
            .schedule_change(at, server, set, phase, primary, started_at);
    }

    /// Starts a new process of the gateway, with the endpoints that are published now as its initially known ones.
    pub(crate) fn start_gateway(self: &Rc<Self>, n: usize) {
        let process = self.gateway_process(n);
        self.sim.start_process(process, Role::Gateway);
        self.gateway_incarnations.borrow_mut()[n] += 1;
        self.checker.borrow_mut().set_gateway_exempt(n, false);
        let listen_queue = self.sim.listen(process, address(0, n));
        let node = self.node_config(n, self.cluster.agent_at_second_address.borrow()[n]);
        let context = self.clone();
        let incarnation = self.incarnation(n);
        let task = async move {
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let operator = if context.scenario.sessions {
                operator::from_text("sim", OPERATOR_CONFIG_WITH_SESSIONS)
                    .expect("built-in operator configuration is valid")
            } else {
                OperatorConfig::default()
            };
            let gateway =
                Gateway::start(node, operator, Listener::Simulated(listen_queue), None, log);
            context.gateways.borrow_mut()[n] = gateway.ok().map(Rc::new);
            context
                .sim
                .record(EventSource::Gateway, (n, incarnation), || {
                    format!("{n} life {incarnation} serves")
                });
        };
        self.sim.spawn_in(process, Box::pin(task));
    }

    /// The parsed configuration of a gateway; see [`RunContext::node_config_text`].
    pub(crate) fn node_config(&self, n: usize, at_second_address: bool) -> node::NodeConfig {
        node::from_text(
            "sim",
            self.node_config_text(n, at_second_address).as_bytes(),
            |_, _| None,
        )
        .expect("built-in node configuration is valid")
    }

    /// The configuration of a gateway as JSON. `at_second_address`: discovery is at the agent's second address.
    pub(crate) fn node_config_text(&self, n: usize, at_second_address: bool) -> String {
        let zones: Vec<_> = (0..self.scenario.zones)
            .map(|z| format!("\"{}\"", zone_name(z)))
            .collect();
        let settings = ROUTING_SETTINGS
            .replace("GATEWAYS", &self.scenario.gateways.to_string())
            .replace("ME", &n.to_string())
            .replace("ZONES", &zones.join(","))
            .replace("ZONE", &self.scenario.zone(n).to_string())
            .replace(
                "CHECK",
                if self.scenario.check == "none" {
                    "none"
                } else {
                    "reject"
                },
            );
        let (listen_address, agent_address) = (
            address(0, n),
            address(if at_second_address { 3 } else { 2 }, n),
        );
        let socket_limit = self.scenario.sockets;
        let known_endpoints = self.endpoint_list_text(None);
        let seed = self
            .seed
            .wrapping_mul(31)
            .wrapping_add(n as u64 + 97 * self.incarnation(n));
        format!(
            r#"{{"name":"g{n}","listen":"{listen_address}","discovery":"{agent_address}","seed":"{seed:x}",
            "limits":{{"memory_mb":64,"sockets":{socket_limit}}},"known":{known_endpoints},"settings":{settings}}}"#
        )
    }

    /// The discovery response: entries changed since the known revision, or all of them if there is none.
    pub(crate) fn endpoint_list_text(&self, known_revision: Option<u64>) -> String {
        let list = self.cluster.endpoint_list.borrow();
        let entries: Vec<_> = list
            .changed_since(known_revision)
            .map(|e| {
                let state = match e.phase {
                    Phase::Up => "up",
                    Phase::Draining => "draining",
                    Phase::Removed => "removed",
                };
                let mode = if e.is_primary { "read-write" } else { "read-only" };
                let boot = if e.started_at > 0 { START_UNIX_TIME.as_millis() as i64 + e.started_at / 10 } else { 0 };
                format!(
                    r#"{{"uid":"m{}","endpoint":"{}","az":"{}","pod_group":{},"state":"{state}","mode":"{mode}","boot_ms":{boot}}}"#,
                    e.server,
                    address(1, e.server),
                    zone_name(self.scenario.zone(e.server % self.cluster.servers_per_set)),
                    e.replica_set
                )
            })
            .collect();
        format!(
            r#"{{"rev":{},"all":{},"targets":[{}]}}"#,
            list.revision(),
            known_revision.is_none(),
            entries.join(",")
        )
    }
}
