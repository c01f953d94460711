//! Owns one run: a script's faults, the checker after each step, what it has come to.
//!
//! It must never let the code under test see anything but the world.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use leverpoint_cluster_model::endpoint_list::Phase;
use leverpoint_cluster_model::replica_set::{Health, ReplicaSet};
use leverpoint_runtime::{Instant, set_simulated_runtime, sleep};
use tokio::sync::Notify;

use crate::checker::Checker;
use crate::course::{
    AFTERWARDS, BUILD, CLIENTS, GRACE, LATENCY, LONGEST, Place, Play, STARTS, WINDOW,
};
use crate::gateway_script::{Fault, Scenario, Script};
use crate::outcome::Played;
use crate::world::{EventSource, Meaning, Process, Role, Sim};

impl Play {
    fn health(&self, machine: usize, health: Health) {
        let (set, member) = self.set_of(machine);
        if self.place.sets.borrow()[set].is_primary(member) && health != Health::Up {
            self.place
                .was_primary
                .borrow_mut()
                .insert(machine, self.now());
        }
        self.place.sets.borrow_mut()[set].set_health(self.now(), member, health);
    }

    fn fault(self: &Rc<Self>, fault: Fault) {
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
            Fault::GatewayReloads(n, second) => {
                self.place.agent_moved.borrow_mut()[n] = second;
                let gateway = self.gateways.borrow()[n].clone();
                gateway
                    .into_iter()
                    .for_each(|gateway| gateway.apply_configuration(Ok(self.node(n, second))));
            }
            Fault::ServerUnreachable(m, silent) => {
                self.health(m, if silent { Health::Silent } else { Health::Up });
                self.sim.set_silent(self.machine_process(m), silent);
            }
            Fault::ServerCrashes(m) => {
                self.health(m, Health::Down);
                self.sim.kill(self.machine_process(m));
            }
            Fault::ServerStarts(m) => {
                // A machine is listed as it starts, and serves a moment later.
                self.health(m, Health::Up);
                self.sim.begin(self.machine_process(m), Role::Machine);
                self.publish(now, m, Phase::Up);
                let play = self.clone();
                let starts = async move {
                    sleep(STARTS).await;
                    play.machine(m).await;
                };
                self.sim.spawn_in(self.machine_process(m), Box::pin(starts));
            }
            Fault::ServerDrains(m, on) => {
                let (set, member) = self.set_of(m);
                self.place.sets.borrow_mut()[set].drain(member, on);
                self.publish_role(now, m, if on { Phase::Draining } else { Phase::Up });
            }
            Fault::ReplicaLags(m, on) => {
                let (set, member) = self.set_of(m);
                self.place.sets.borrow_mut()[set].pause_replay(now, member, on);
            }
            Fault::RepliesCorrupted(m, on) => self.place.spoils.borrow_mut()[m] = on,
            Fault::ConnectionsReset(m) => {
                // All its connections break; the machine goes on.
                let process = self.machine_process(m);
                if self.sim.alive(process) {
                    self.sim.kill(process);
                    let (set, member) = self.set_of(m);
                    self.place.sets.borrow_mut()[set].restart(member);
                    self.sim.begin(process, Role::Machine);
                    self.sim
                        .spawn_in(process, Box::pin(self.clone().machine(m)));
                }
            }
            Fault::Switchover(m) => {
                let (set, member) = self.set_of(m);
                let before = self.place.sets.borrow()[set].primary();
                if let Some(before) = before {
                    let machine = set * self.place.a_set + before;
                    self.place.was_primary.borrow_mut().insert(machine, now);
                    self.place.sets.borrow_mut()[set].switch_primary(member);
                    self.publish_role(now, machine, Phase::Up);
                }
                self.publish_role(now, m, Phase::Up);
            }
            Fault::AgentUnreachable(n, on) => self.agent_silent(n, on),
            Fault::ListedAsGone(m, on) => {
                self.publish_role(now, m, if on { Phase::Removed } else { Phase::Up });
            }
            Fault::ClockSteps(n, off) => self.sim.set_clock_off(self.gateway_process(n), off),
        }
    }

    /// Which gateway a fault meets as a signal.
    fn meets(&self, fault: &Fault) -> Option<(Process, Meaning)> {
        match fault {
            Fault::GatewayShutsDown(n) => Some((self.gateway_process(*n), Meaning::Stop)),
            Fault::GatewayReloads(n, _) => Some((self.gateway_process(*n), Meaning::Reread)),
            _ => None,
        }
    }

    fn kill_gateway(&self, n: usize) {
        self.checker.borrow_mut().excuse(n, true);
        self.sim.kill(self.gateway_process(n));
        self.gateways.borrow_mut()[n] = None;
    }

    /// Elections that are due, changes that are published; when to look again is the caller's.
    fn tend(&self) {
        let now = self.now();
        for set in 0..self.scenario.sets {
            let elected = self.place.sets.borrow_mut()[set].elect(now);
            if let Some(member) = elected {
                let machine = set * self.place.a_set + member;
                self.sim.record(EventSource::Set, (set, machine), || {
                    format!("{set} elects {machine}")
                });
                self.publish_role(now, machine, Phase::Up);
            }
        }
        if self.place.list.borrow_mut().publish_due(now) {
            (0..self.scenario.gateways).for_each(|n| self.agent_learns(n));
            self.place.published.notify_waiters();
        }
    }
}

/// Plays a script to its end, or to the first broken rule.
pub fn play(
    scenario: &Scenario,
    script: &Script,
    seed: u64,
    base: Instant,
    traced: bool,
) -> Played {
    let sim = Sim::new(seed, base, LATENCY, traced);
    set_simulated_runtime(Some(sim.clone()));
    let machines = scenario.sets * scenario.machines_a_set;
    let sets = (0..scenario.sets)
        .map(|_| ReplicaSet::new(BUILD, scenario.machines_a_set))
        .collect();
    let play = Rc::new(Play {
        sim: sim.clone(),
        scenario: scenario.clone(),
        seed,
        checker: RefCell::new(Checker::new(WINDOW, GRACE, LATENCY.1)),
        place: Place {
            sets: RefCell::new(sets),
            a_set: scenario.machines_a_set,
            list: RefCell::default(),
            published: Notify::new(),
            spoils: RefCell::new(vec![false; machines]),
            agent_silent: RefCell::new(vec![false; scenario.gateways]),
            agent_silences: RefCell::new(vec![0; scenario.gateways]),
            agent_knows: RefCell::new(vec![None; scenario.gateways]),
            agent_moved: RefCell::new(vec![false; scenario.gateways]),
            was_primary: RefCell::default(),
        },
        gateways: RefCell::new(vec![None; scenario.gateways]),
        lives: RefCell::new(vec![0; scenario.gateways]),
        tokens: RefCell::default(),
        carried: RefCell::default(),
        benefit: Cell::new(0.0),
        asked: Cell::new(0.0),
        next_id: Cell::new(0),
    });
    for machine in 0..machines {
        let (set, member) = play.set_of(machine);
        let primary = play.place.sets.borrow()[set].is_primary(member);
        play.place
            .list
            .borrow_mut()
            .schedule_change(0, machine, set, Phase::Up, primary, 0);
    }
    play.place.list.borrow_mut().publish_due(0);
    sim.begin(CLIENTS, Role::Client);
    for n in 0..machines {
        sim.begin(play.machine_process(n), Role::Machine);
        sim.spawn_in(play.machine_process(n), Box::pin(play.clone().machine(n)));
    }
    for n in 0..scenario.gateways {
        sim.begin(play.agent_process(n), Role::Agent);
        for second in [false, true] {
            sim.spawn_in(
                play.agent_process(n),
                Box::pin(play.clone().agent(n, second)),
            );
        }
        play.start_gateway(n);
    }
    for (n, slow) in script.slow_clients.iter().enumerate() {
        let asks = script
            .requests
            .iter()
            .filter(|ask| ask.client == n)
            .copied()
            .collect();
        sim.spawn_in(CLIENTS, Box::pin(play.clone().client(n, asks, *slow)));
    }
    for (n, (at, _)) in script.faults.iter().enumerate() {
        sim.fault_at(*at, n, play.meets(&script.faults[n].1));
    }
    // Clients ask one thing after the other, so the last may begin late; what is open then ends in order.
    let (mut end, mut looked) = (LONGEST, -1);
    while sim.step(end) {
        for fault in sim.faults() {
            play.fault(script.faults[fault].1);
        }
        // The sets and the list change with time, not with steps.
        if sim.time() / 10 != looked {
            looked = sim.time() / 10;
            play.tend();
            if end == LONGEST && sim.tasks_of(CLIENTS) == 0 {
                end = sim.time() + AFTERWARDS;
            }
        }
        play.checker.borrow_mut().step(sim.time());
        if play.checker.borrow().broken.is_some() {
            break;
        }
    }
    play.settle();
    let played = play.come_to();
    // What is left is dropped while the world still stands.
    (0..=play.machine_process(machines))
        .filter(|p| sim.alive(*p))
        .for_each(|p| sim.kill(p));
    play.gateways.borrow_mut().clear();
    set_simulated_runtime(None);
    played
}

impl Play {
    /// At the end nothing may be left: tables at their size, no claim held, no command open.
    fn settle(&self) {
        let mut checker = self.checker.borrow_mut();
        let now = self.now();
        if checker.broken.is_some() {
            return;
        }
        if checker.open() > 0 {
            let open = checker.open();
            checker.breaks(now, 1, format!("{open} commands open at the end"));
        }
        if self.sim.panics.get() > 0 {
            checker.breaks(now, 0, format!("{} tasks panicked", self.sim.panics.get()));
        }
        for (n, gateway) in self.gateways.borrow().iter().enumerate() {
            let Some(gateway) = gateway else { continue };
            let tables = gateway.engine.table_sizes();
            let line = gateway.client_connections.summary();
            let held = |name: &str| !line.contains(&format!("{name}=0"));
            if gateway.engine.open_requests() > 0
                || tables.iter().any(|(t, size)| *t == "open_ids" && *size > 0)
            {
                checker.breaks(
                    now,
                    0,
                    format!("gateway {n} still has commands open: {tables:?}"),
                );
            }
            let left = [
                "held.statements",
                "held.answers",
                "held.promised",
                "peers.new",
                "peers.usual",
                "peers.slow",
            ];
            if left.iter().any(|name| held(name)) || gateway.metrics.clients.in_use() > 0 {
                checker.breaks(now, 0, format!("gateway {n} still holds: {line}"));
            }
        }
    }

    fn come_to(&self) -> Played {
        let checker = self.checker.borrow();
        let collisions = *self.sim.collisions.borrow();
        Played {
            broken: checker.broken.clone(),
            steps: self.sim.steps.get(),
            commands: checker.taken,
            collisions,
            benefit: self.benefit.get(),
            asked: self.asked.get(),
            digest: self.sim.digest.borrow().digest(),
            trace: self.sim.trace(),
        }
    }
}
