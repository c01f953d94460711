//! Owns what all parts of one run share: the world, the sets, the list, the checker; and how a gateway starts in it.
//!
//! It must never let the code under test see anything but the world.

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

use crate::checker::{Checker, Effects};
use crate::gateway_script::{RequestClass, Scenario};
use crate::world::{EventSource, Process, Role, Sim, UNIX};

/// A keyed repeat is dropped for so long.
pub(crate) const WINDOW: Ticks = 20_000;
pub(crate) const GRACE: Ticks = 5_000;
/// One way between any two machines.
pub(crate) const LATENCY: (Ticks, Ticks) = (2, 12);
pub(crate) const BUILD: ReplicaSetConfig = ReplicaSetConfig {
    slots: 6,
    queue_capacity: 30,
    replication_lag: 300,
    key_retention: WINDOW,
    election_duration: 8_000,
    cold_start_capacity: 0.17,
    cold_start_duration: 20_000,
    overload_multiple: 1.25,
    overload_window: 5_000,
    typical_work: 150,
};

pub(crate) const SETTINGS: &str = r#"{"balancers": GATEWAYS, "me": ME, "tickMs": 5.0, "zone": ZONE, "zones": [ZONES], "discovery": "pushed",
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

/// The operator's file where sessions are followed.
pub(crate) const FOLLOWS: &str = r#"sessions {
  follow = true
  keys   = ["7:00112233445566778899aabbccddeeff"]
  number = "8c1f30d27a5be964"
}"#;

pub(crate) struct Facts {
    pub(crate) name: &'static str,
    pub(crate) effects: Effects,
    pub(crate) timeout: Ticks,
    pub(crate) target: Ticks,
    pub(crate) benefit: f64,
    pub(crate) late: f64,
    pub(crate) work: (Ticks, Ticks),
}

pub(crate) fn facts(group: RequestClass) -> Facts {
    let of = |name, effects, timeout, target, benefit, late, work| Facts {
        name,
        effects,
        timeout,
        target,
        benefit,
        late,
        work,
    };
    match group {
        RequestClass::Board => of(
            "board",
            Effects::Replayable,
            20_000,
            6_000,
            1.0,
            0.0,
            (100, 300),
        ),
        RequestClass::Own => of(
            "own",
            Effects::Replayable,
            15_000,
            4_000,
            2.0,
            0.0,
            (80, 200),
        ),
        RequestClass::History => of(
            "history",
            Effects::Replayable,
            12_000,
            5_000,
            1.0,
            0.0,
            (100, 300),
        ),
        RequestClass::Report => of("report", Effects::Keyed, 20_000, 3_000, 3.0, 0.3, (50, 150)),
        RequestClass::Order => of(
            "order",
            Effects::Mutating,
            20_000,
            4_000,
            3.0,
            0.0,
            (50, 150),
        ),
    }
}

pub(crate) struct Place {
    pub(crate) sets: RefCell<Vec<ReplicaSet>>,
    pub(crate) a_set: usize,
    pub(crate) list: RefCell<EndpointList>,
    pub(crate) published: Notify,
    pub(crate) spoils: RefCell<Vec<bool>>,
    pub(crate) agent_silent: RefCell<Vec<bool>>,
    /// How often each agent has fallen silent, and the revision that each has learnt last.
    pub(crate) agent_silences: RefCell<Vec<u64>>,
    pub(crate) agent_knows: RefCell<Vec<Option<u64>>>,
    /// Whose configuration names the agent's second address.
    pub(crate) agent_moved: RefCell<Vec<bool>>,
    /// Machines that have been primary, by when a gateway was last sure to hear that they are no longer.
    pub(crate) was_primary: RefCell<BTreeMap<usize, Ticks>>,
}

pub(crate) struct Play {
    pub(crate) sim: Rc<Sim>,
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
    pub(crate) checker: RefCell<Checker>,
    pub(crate) place: Place,
    pub(crate) gateways: RefCell<Vec<Option<Rc<Gateway>>>>,
    pub(crate) lives: RefCell<Vec<u64>>,
    /// By client and set: the position of its last write, and which gateway's life answered it.
    pub(crate) tokens: RefCell<BTreeMap<usize, (Ticks, usize, u64)>>,
    /// By client: the token that came with its last write.
    pub(crate) carried: RefCell<BTreeMap<usize, String>>,
    pub(crate) benefit: Cell<f64>,
    pub(crate) asked: Cell<f64>,
    pub(crate) next_id: Cell<u64>,
}

/// From the start of a machine's process until it serves.
pub(crate) const STARTS: Duration = Duration::from_millis(300);
/// An agent's address that is named no more closes what is open after so long.
pub(crate) const CLOSES: Duration = Duration::from_millis(1_500);
pub(crate) const CLIENTS: Process = 0;
/// A run in which clients still ask after that has gone wrong.
pub(crate) const LONGEST: Ticks = 600_000;
/// Longer than any client timeout, so that all that was begun for clients has ended.
pub(crate) const AFTERWARDS: Ticks = 40_000;

pub(crate) fn address(net: u8, n: usize) -> SocketAddr {
    SocketAddr::from(([10, net, 0, n as u8 + 1], 6432))
}

/// The name of a zone.
pub(crate) fn zone(n: usize) -> char {
    char::from(b'a' + n as u8)
}

impl Play {
    pub(crate) fn gateway_process(&self, n: usize) -> Process {
        1 + n
    }

    pub(crate) fn agent_process(&self, n: usize) -> Process {
        1 + self.scenario.gateways + n
    }

    pub(crate) fn machine_process(&self, n: usize) -> Process {
        1 + 2 * self.scenario.gateways + n
    }

    pub(crate) fn set_of(&self, machine: usize) -> (usize, usize) {
        (machine / self.place.a_set, machine % self.place.a_set)
    }

    pub(crate) fn now(&self) -> Ticks {
        self.sim.time()
    }

    /// The gateway whose address this connection's other side has, and which life of it.
    pub(crate) fn life(&self, gateway: usize) -> u64 {
        self.lives.borrow()[gateway]
    }

    pub(crate) fn publish_role(&self, now: Ticks, machine: usize, phase: Phase) {
        let late = self.sim.chance.borrow_mut().i64(500..5_000);
        self.publish(now + late, machine, phase);
    }

    pub(crate) fn publish(&self, at: Ticks, machine: usize, phase: Phase) {
        let (set, member) = self.set_of(machine);
        let sets = self.place.sets.borrow();
        let started = sets[set].servers[member].started_at;
        let primary = sets[set].is_primary(member);
        self.place
            .list
            .borrow_mut()
            .schedule_change(at, machine, set, phase, primary, started);
    }

    pub(crate) fn start_gateway(self: &Rc<Self>, n: usize) {
        let process = self.gateway_process(n);
        self.sim.begin(process, Role::Gateway);
        self.lives.borrow_mut()[n] += 1;
        self.checker.borrow_mut().excuse(n, false);
        let door = self.sim.listen(process, address(0, n));
        let node = self.node(n, self.place.agent_moved.borrow()[n]);
        let play = self.clone();
        let life = self.life(n);
        let task = async move {
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let operator = if play.scenario.sessions {
                operator::from_text("sim", FOLLOWS).expect("a file of our own")
            } else {
                OperatorConfig::default()
            };
            let gateway = Gateway::start(node, operator, Listener::Simulated(door), None, log);
            play.gateways.borrow_mut()[n] = gateway.ok().map(Rc::new);
            play.sim.record(EventSource::Gateway, (n, life), || {
                format!("{n} life {life} serves")
            });
        };
        self.sim.spawn_in(process, Box::pin(task));
    }

    pub(crate) fn node(&self, n: usize, moved: bool) -> node::NodeConfig {
        node::from_text("sim", self.config(n, moved).as_bytes(), |_, _| None)
            .expect("a configuration of our own")
    }

    pub(crate) fn config(&self, n: usize, moved: bool) -> String {
        let zones: Vec<_> = (0..self.scenario.zones)
            .map(|z| format!("\"{}\"", zone(z)))
            .collect();
        let settings = SETTINGS
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
        let (at, agent) = (address(0, n), address(if moved { 3 } else { 2 }, n));
        let sockets = self.scenario.sockets;
        let known = self.list_text(None);
        let seed = self
            .seed
            .wrapping_mul(31)
            .wrapping_add(n as u64 + 97 * self.life(n));
        format!(
            r#"{{"name":"g{n}","listen":"{at}","discovery":"{agent}","seed":"{seed:x}",
            "limits":{{"memory_mb":64,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        )
    }

    pub(crate) fn list_text(&self, since: Option<u64>) -> String {
        let list = self.place.list.borrow();
        let entries: Vec<_> = list
            .changed_since(since)
            .map(|e| {
                let state = match e.phase {
                    Phase::Up => "up",
                    Phase::Draining => "draining",
                    Phase::Removed => "removed",
                };
                let mode = if e.is_primary { "read-write" } else { "read-only" };
                let boot = if e.started_at > 0 { UNIX.as_millis() as i64 + e.started_at / 10 } else { 0 };
                format!(
                    r#"{{"uid":"m{}","endpoint":"{}","az":"{}","pod_group":{},"state":"{state}","mode":"{mode}","boot_ms":{boot}}}"#,
                    e.server,
                    address(1, e.server),
                    zone(self.scenario.zone(e.server % self.place.a_set)),
                    e.replica_set
                )
            })
            .collect();
        format!(
            r#"{{"rev":{},"all":{},"targets":[{}]}}"#,
            list.revision(),
            since.is_none(),
            entries.join(",")
        )
    }
}
