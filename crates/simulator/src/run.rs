//! Runs the script of a scenario with gateways: starts the processes, applies faults as they fall due, and checks the
//! rules after each step and at the end.
//!
//! # Invariants
//!
//! The code under test sees nothing but the simulation.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use leverpoint_cluster_model::endpoint_list::Phase;
use leverpoint_cluster_model::replica_set::{Health, ReplicaSet};
use leverpoint_runtime::{Instant, set_simulated_runtime, sleep};
use tokio::sync::Notify;

use crate::checker::Checker;
use crate::gateway_script::{Fault, Scenario, Script};
use crate::outcome::RunOutcome;
use crate::run_context::{
    CLIENT_PROCESS, Cluster, DEDUPLICATION_WINDOW, DRAIN_GRACE, MAX_RUN_TIME, NETWORK_LATENCY,
    REPLICA_SET_CONFIG, RunContext, SERVER_START_DELAY, SETTLING_TIME,
};
use crate::simulation::{EventSource, GatewayEvent, ProcessId, Role, Simulation};

impl RunContext {
    /// Changes the health of a server, and records a primary that fails by it.
    fn set_health(&self, server: usize, health: Health) {
        let (set, member) = self.set_and_member(server);
        if self.cluster.replica_sets.borrow()[set].is_primary(member) && health != Health::Up {
            self.cluster
                .was_primary
                .borrow_mut()
                .insert(server, self.now());
        }
        self.cluster.replica_sets.borrow_mut()[set].set_health(self.now(), member, health);
    }

    /// Records a fault and applies it to a server, an agent, a gateway or the endpoint list.
    fn apply_fault(self: &Rc<Self>, fault: Fault) {
        self.sim
            .record(EventSource::Fault, fault, || format!("{fault:?}"));
        let now = self.now();
        match fault {
            Fault::GatewayCrashes(n) => self.kill_gateway(n),
            Fault::GatewayStarts(n) => {
                self.kill_gateway(n);
                self.start_gateway(n);
            }
            Fault::GatewayShutsDown(n) => {
                let gateway = self.gateways.borrow()[n].clone();
                if let Some(gateway) = gateway {
                    let process = self.gateway_process(n);
                    self.sim
                        .spawn_in(process, Box::pin(async move { gateway.shut_down().await }));
                }
            }
            Fault::GatewayReloads(n, on) => {
                self.cluster.agent_at_second_address.borrow_mut()[n] = on;
                let gateway = self.gateways.borrow()[n].clone();
                gateway
                    .into_iter()
                    .for_each(|gateway| gateway.apply_configuration(Ok(self.node_config(n, on))));
            }
            Fault::ServerUnreachable(m, isolated) => {
                self.set_health(m, if isolated { Health::Silent } else { Health::Up });
                self.sim.set_isolated(self.server_process(m), isolated);
            }
            Fault::ServerCrashes(m) => {
                self.set_health(m, Health::Down);
                self.sim.kill(self.server_process(m));
            }
            Fault::ServerStarts(m) => {
                // A server is listed when its process starts, and accepts connections a moment later.
                self.set_health(m, Health::Up);
                self.sim.start_process(self.server_process(m), Role::Server);
                self.publish(now, m, Phase::Up);
                let context = self.clone();
                let start = async move {
                    sleep(SERVER_START_DELAY).await;
                    context.run_server(m).await;
                };
                self.sim.spawn_in(self.server_process(m), Box::pin(start));
            }
            Fault::ServerDrains(m, on) => {
                let (set, member) = self.set_and_member(m);
                self.cluster.replica_sets.borrow_mut()[set].drain(member, on);
                self.publish_after_delay(now, m, if on { Phase::Draining } else { Phase::Up });
            }
            Fault::ReplicaLags(m, on) => {
                let (set, member) = self.set_and_member(m);
                self.cluster.replica_sets.borrow_mut()[set].pause_replay(now, member, on);
            }
            Fault::RepliesCorrupted(m, on) => self.cluster.corrupts_responses.borrow_mut()[m] = on,
            Fault::RepliesRepeated(m, on) => self.cluster.repeats_responses.borrow_mut()[m] = on,
            Fault::ConnectionsReset(m) => {
                // All its connections are reset; the host stays up.
                let process = self.server_process(m);
                if self.sim.is_alive(process) {
                    self.sim.kill(process);
                    let (set, member) = self.set_and_member(m);
                    self.cluster.replica_sets.borrow_mut()[set].restart(member);
                    self.sim.start_process(process, Role::Server);
                    self.sim
                        .spawn_in(process, Box::pin(self.clone().run_server(m)));
                }
            }
            Fault::Switchover(m) => {
                let (set, member) = self.set_and_member(m);
                let old_primary = self.cluster.replica_sets.borrow()[set].primary();
                if let Some(old_primary) = old_primary {
                    let server = set * self.cluster.servers_per_set + old_primary;
                    self.cluster.was_primary.borrow_mut().insert(server, now);
                    self.cluster.replica_sets.borrow_mut()[set].switch_primary(member);
                    self.publish_after_delay(now, server, Phase::Up);
                }
                self.publish_after_delay(now, m, Phase::Up);
            }
            Fault::AgentUnreachable(n, on) => self.set_agent_silent(n, on),
            Fault::ListedAsGone(m, on) => {
                self.publish_after_delay(now, m, if on { Phase::Removed } else { Phase::Up });
            }
            Fault::ClockSteps(n, off) => self.sim.set_clock_offset(self.gateway_process(n), off),
        }
    }

    /// The gateway that a fault reaches as a signal, and the event that it is there; `None` for other faults.
    fn signal_to_gateway(&self, fault: &Fault) -> Option<(ProcessId, GatewayEvent)> {
        match fault {
            Fault::GatewayShutsDown(n) => Some((self.gateway_process(*n), GatewayEvent::Shutdown)),
            Fault::GatewayReloads(n, _) => Some((self.gateway_process(*n), GatewayEvent::Reload)),
            _ => None,
        }
    }

    /// Kills a gateway's process, if it runs, and exempts it from the rules until its next start.
    fn kill_gateway(&self, n: usize) {
        self.checker.borrow_mut().set_gateway_exempt(n, true);
        self.sim.kill(self.gateway_process(n));
        self.gateways.borrow_mut()[n] = None;
    }

    /// Completes elections that are due and publishes changes of the endpoint list that are due.
    fn update_cluster(&self) {
        let now = self.now();
        for set in 0..self.scenario.sets {
            let elected = self.cluster.replica_sets.borrow_mut()[set].elect(now);
            if let Some(member) = elected {
                let server = set * self.cluster.servers_per_set + member;
                self.sim.record(EventSource::ReplicaSet, (set, server), || {
                    format!("{set} elects {server}")
                });
                self.publish_after_delay(now, server, Phase::Up);
            }
        }
        if self.cluster.endpoint_list.borrow_mut().publish_due(now) {
            (0..self.scenario.gateways).for_each(|n| self.update_agent(n));
            self.cluster.list_published.notify_waiters();
        }
    }
}

/// Runs a script to its end, or to the first broken rule.
///
/// `seed` decides everything that the script leaves open. `base` is the instant at which virtual time starts; it has no
/// influence on the outcome. With `traced`, the outcome holds the text of all events.
pub fn run_script(
    scenario: &Scenario,
    script: &Script,
    seed: u64,
    base: Instant,
    traced: bool,
) -> RunOutcome {
    let sim = Simulation::new(seed, base, NETWORK_LATENCY, traced);
    set_simulated_runtime(Some(sim.clone()));
    let server_count = scenario.sets * scenario.machines_a_set;
    let replica_sets = (0..scenario.sets)
        .map(|_| ReplicaSet::new(REPLICA_SET_CONFIG, scenario.machines_a_set))
        .collect();
    let context = Rc::new(RunContext {
        sim: sim.clone(),
        scenario: scenario.clone(),
        seed,
        checker: RefCell::new(Checker::new(
            DEDUPLICATION_WINDOW,
            DRAIN_GRACE,
            NETWORK_LATENCY.1,
        )),
        cluster: Cluster {
            replica_sets: RefCell::new(replica_sets),
            servers_per_set: scenario.machines_a_set,
            endpoint_list: RefCell::default(),
            list_published: Notify::new(),
            corrupts_responses: RefCell::new(vec![false; server_count]),
            repeats_responses: RefCell::new(vec![false; server_count]),
            agent_is_silent: RefCell::new(vec![false; scenario.gateways]),
            agent_silence_count: RefCell::new(vec![0; scenario.gateways]),
            agent_revision: RefCell::new(vec![None; scenario.gateways]),
            agent_at_second_address: RefCell::new(vec![false; scenario.gateways]),
            was_primary: RefCell::default(),
        },
        gateways: RefCell::new(vec![None; scenario.gateways]),
        gateway_incarnations: RefCell::new(vec![0; scenario.gateways]),
        last_writes: RefCell::default(),
        session_tokens: RefCell::default(),
        benefit: Cell::new(0.0),
        possible_benefit: Cell::new(0.0),
        next_id: Cell::new(0),
    });
    for server in 0..server_count {
        let (set, member) = context.set_and_member(server);
        let is_primary = context.cluster.replica_sets.borrow()[set].is_primary(member);
        context.cluster.endpoint_list.borrow_mut().schedule_change(
            0,
            server,
            set,
            Phase::Up,
            is_primary,
            0,
        );
    }
    context.cluster.endpoint_list.borrow_mut().publish_due(0);
    sim.start_process(CLIENT_PROCESS, Role::Client);
    for n in 0..server_count {
        sim.start_process(context.server_process(n), Role::Server);
        sim.spawn_in(
            context.server_process(n),
            Box::pin(context.clone().run_server(n)),
        );
    }
    for n in 0..scenario.gateways {
        sim.start_process(context.agent_process(n), Role::Agent);
        for at_second_address in [false, true] {
            sim.spawn_in(
                context.agent_process(n),
                Box::pin(context.clone().serve_agent(n, at_second_address)),
            );
        }
        context.start_gateway(n);
    }
    for (n, slow) in script.slow_clients.iter().enumerate() {
        let requests = script
            .requests
            .iter()
            .filter(|request| request.client == n)
            .copied()
            .collect();
        sim.spawn_in(
            CLIENT_PROCESS,
            Box::pin(context.clone().run_client(n, requests, *slow)),
        );
    }
    for (n, (at, _)) in script.faults.iter().enumerate() {
        sim.schedule_fault(*at, n, context.signal_to_gateway(&script.faults[n].1));
    }
    // Clients send one request after the other, so the last one may start late. Once all clients have finished, the run
    // goes on until what is open has ended.
    let (mut end, mut last_update) = (MAX_RUN_TIME, -1);
    while sim.step(end) {
        for fault in sim.take_due_faults() {
            context.apply_fault(script.faults[fault].1);
        }
        // Replica sets and endpoint list depend on time, not on steps: one update per millisecond is enough.
        if sim.time() / 10 != last_update {
            last_update = sim.time() / 10;
            context.update_cluster();
            if end == MAX_RUN_TIME && sim.task_count(CLIENT_PROCESS) == 0 {
                end = sim.time() + SETTLING_TIME;
            }
        }
        context.checker.borrow_mut().check_deadlines(sim.time());
        if context.checker.borrow().violation.is_some() {
            break;
        }
    }
    context.check_resources_released();
    let outcome = context.outcome();
    // The remaining tasks are dropped while the simulated runtime is still set, as they may call it.
    (0..=context.server_process(server_count))
        .filter(|p| sim.is_alive(*p))
        .for_each(|p| sim.kill(p));
    context.gateways.borrow_mut().clear();
    set_simulated_runtime(None);
    outcome
}

impl RunContext {
    /// Reports panicked tasks, and what is left at the end of a run: open requests and resources that gateways hold.
    fn check_resources_released(&self) {
        let mut checker = self.checker.borrow_mut();
        let now = self.now();
        if checker.violation.is_some() {
            return;
        }
        if checker.open_requests() > 0 {
            let open = checker.open_requests();
            checker.report_violation(now, 1, format!("{open} requests are open at the end"));
        }
        if self.sim.panics.get() > 0 {
            checker.report_violation(now, 0, format!("{} tasks panicked", self.sim.panics.get()));
        }
        for (n, gateway) in self.gateways.borrow().iter().enumerate() {
            let Some(gateway) = gateway else { continue };
            let tables = gateway.engine.table_sizes();
            let summary = gateway.client_connections.summary();
            let is_nonzero = |name: &str| !summary.contains(&format!("{name}=0"));
            if gateway.engine.open_requests() > 0
                || tables.iter().any(|(t, size)| *t == "open_ids" && *size > 0)
            {
                checker.report_violation(
                    now,
                    0,
                    format!("gateway {n} still has open requests: {tables:?}"),
                );
            }
            let gauges_at_zero = [
                "held.statements",
                "held.answers",
                "held.promised",
                "peers.new",
                "peers.usual",
                "peers.slow",
            ];
            if gauges_at_zero.iter().any(|name| is_nonzero(name))
                || gateway.metrics.clients.in_use() > 0
            {
                checker.report_violation(
                    now,
                    0,
                    format!("gateway {n} still holds resources: {summary}"),
                );
            }
        }
    }

    /// The result of the run; takes the trace.
    fn outcome(&self) -> RunOutcome {
        let checker = self.checker.borrow();
        let collisions = *self.sim.collisions.borrow();
        RunOutcome {
            violation: checker.violation.clone(),
            steps: self.sim.steps.get(),
            requests: checker.sent_requests,
            collisions,
            benefit: self.benefit.get(),
            possible_benefit: self.possible_benefit.get(),
            digest: self.sim.digest.borrow().digest(),
            trace: self.sim.take_trace(),
        }
    }
}
