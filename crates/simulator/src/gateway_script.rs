//! Owns scenarios, as HCL with ranges, and the script that a seed makes of one: who asks what when, what fails when.
//!
//! A script is data: dropping parts of it leaves the rest as it was. It must never depend on how a run goes.

use fastrand::Rng;
use leverpoint_cluster_model::Ticks;
use serde::Deserialize;

/// Lowest and highest; a seed takes one between.
type Range = [f64; 2];

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub about: String,
    pub gateways: usize,
    pub sets: usize,
    pub machines_a_set: usize,
    pub clients: usize,
    pub commands: Range,
    pub seconds: f64,
    /// Whether members check how far they have applied: "refuse" or "none".
    #[serde(default = "refuse")]
    pub check: String,
    /// Sessions are followed over all gateways; a client moves to another one before so many of its commands.
    #[serde(default)]
    pub sessions: bool,
    #[serde(default)]
    pub roams: f64,
    /// A gateway's descriptors.
    #[serde(default = "descriptors")]
    pub sockets: usize,
    /// Gateways, and the members of each set, stand in so many zones in turn.
    #[serde(default = "one")]
    pub zones: usize,
    #[serde(default)]
    pub fails: Fails,
}

fn descriptors() -> usize {
    256
}

fn one() -> usize {
    1
}

fn refuse() -> String {
    "refuse".into()
}

/// Shares of what there is, each with when it may happen in parts of the time, and for how long in seconds.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fails {
    /// Gateways that die and return; machines that go silent, die, drain, lag, spoil their answers.
    pub gateways_die: f64,
    pub gateways_stop: f64,
    /// Gateways whose configuration is replaced, so that discovery is elsewhere, and that get SIGHUP.
    pub gateways_reread: f64,
    pub machines_silent: f64,
    pub machines_die: f64,
    pub machines_drain: f64,
    pub replicas_lag: f64,
    pub machines_spoil: f64,
    pub machines_reset: f64,
    pub hand_overs: f64,
    /// How likely a whole zone falls silent and returns, its machines cold, its gateways new.
    pub zone_lost: f64,
    pub agents_silent: f64,
    pub lists_lie: f64,
    pub clocks_step: f64,
    pub clients_slow: f64,
    pub clients_hang_up: f64,
    /// Part of the silent machines that never come back.
    pub for_good: f64,
    pub lasts: Option<Range>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    GatewayCrashes(usize),
    GatewayStarts(usize),
    /// SIGTERM, then a new start.
    GatewayShutsDown(usize),
    /// SIGHUP; the configuration names the agent's second address, or the first again.
    GatewayReloads(usize, bool),
    ServerUnreachable(usize, bool),
    ServerCrashes(usize),
    ServerStarts(usize),
    ServerDrains(usize, bool),
    ReplicaLags(usize, bool),
    RepliesCorrupted(usize, bool),
    ConnectionsReset(usize),
    Switchover(usize),
    AgentUnreachable(usize, bool),
    /// The list says that a machine that is there has gone, and then that it has not.
    ListedAsGone(usize, bool),
    ClockSteps(usize, Ticks),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    Board,
    Own,
    History,
    Report,
    Order,
}

#[derive(Clone, Copy, Debug)]
pub struct ScriptedRequest {
    pub at: Ticks,
    pub client: usize,
    pub class: RequestClass,
    pub set: usize,
    pub hangs_up: Option<Ticks>,
}

#[derive(Clone, Debug)]
pub struct Script {
    pub faults: Vec<(Ticks, Fault)>,
    pub requests: Vec<ScriptedRequest>,
    pub slow_clients: Vec<bool>,
    pub seconds: f64,
}

fn within(chance: &mut Rng, range: Range) -> f64 {
    range[0] + (range[1] - range[0]) * chance.f64()
}

/// So many of `n`, by chance, without repeats.
fn some(chance: &mut Rng, n: usize, share: f64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..n).collect();
    chance.shuffle(&mut all);
    let many = (n as f64 * share * chance.f64()).round() as usize;
    all.truncate(many);
    all
}

impl Scenario {
    pub fn zone(&self, n: usize) -> usize {
        n % self.zones
    }

    pub fn script(&self, seed: u64) -> Script {
        let mut chance = Rng::with_seed(seed ^ 0x5c71_9700);
        let end = self.seconds * 1e4;
        let machines = self.sets * self.machines_a_set;
        let mut faults = Vec::new();
        let f = &self.fails;
        let lasts = f.lasts.unwrap_or([0.2, 1.5]);
        let mut plan =
            |chance: &mut Rng, n: usize, share: f64, make: &dyn Fn(usize, bool) -> Fault| {
                for which in some(chance, n, share) {
                    // The round closes a quarter into the time; most of what fails does so then.
                    let at = end * within(chance, [0.1, 0.6]);
                    let until = at + 1e4 * within(chance, lasts);
                    faults.push((at as Ticks, make(which, true)));
                    faults.push((until as Ticks, make(which, false)));
                }
            };
        let gateways = self.gateways;
        plan(&mut chance, gateways, f.gateways_die, &|g, on| {
            if on {
                Fault::GatewayCrashes(g)
            } else {
                Fault::GatewayStarts(g)
            }
        });
        plan(&mut chance, gateways, f.gateways_stop, &|g, on| {
            if on {
                Fault::GatewayShutsDown(g)
            } else {
                Fault::GatewayStarts(g)
            }
        });
        plan(
            &mut chance,
            gateways,
            f.gateways_reread,
            &Fault::GatewayReloads,
        );
        plan(
            &mut chance,
            machines,
            f.machines_silent,
            &Fault::ServerUnreachable,
        );
        let for_good = f.for_good;
        plan(&mut chance, machines, f.machines_die, &|m, on| {
            if on {
                Fault::ServerCrashes(m)
            } else {
                Fault::ServerStarts(m)
            }
        });
        plan(
            &mut chance,
            machines,
            f.machines_drain,
            &Fault::ServerDrains,
        );
        plan(&mut chance, machines, f.replicas_lag, &Fault::ReplicaLags);
        plan(
            &mut chance,
            machines,
            f.machines_spoil,
            &Fault::RepliesCorrupted,
        );
        plan(&mut chance, machines, f.machines_reset, &|m, _| {
            Fault::ConnectionsReset(m)
        });
        plan(&mut chance, machines, f.hand_overs, &|m, _| {
            Fault::Switchover(m)
        });
        plan(
            &mut chance,
            gateways,
            f.agents_silent,
            &Fault::AgentUnreachable,
        );
        plan(&mut chance, machines, f.lists_lie, &Fault::ListedAsGone);
        plan(&mut chance, gateways, f.clocks_step, &|g, on| {
            Fault::ClockSteps(g, if on { 20_000 } else { 0 })
        });
        faults.retain(|(_, fault)| {
            !matches!(fault, Fault::ServerUnreachable(_, false)) || chance.f64() >= for_good
        });
        if f.zone_lost > 0.0 && chance.f64() < f.zone_lost {
            let lost = chance.usize(..self.zones);
            let at = (end * within(&mut chance, [0.15, 0.3])) as Ticks;
            let until = at + (1e4 * within(&mut chance, lasts)) as Ticks;
            for m in (0..machines).filter(|m| self.zone(m % self.machines_a_set) == lost) {
                // One after the other, some hundred milliseconds apart, as machines start.
                let until = until + chance.i64(0..5_000);
                let (dies, heard) = (Fault::ServerCrashes(m), Fault::ServerUnreachable(m, false));
                let back = [
                    (until, dies),
                    (until + 1, heard),
                    (until + 2, Fault::ServerStarts(m)),
                ];
                faults.extend(
                    [(at, Fault::ServerUnreachable(m, true))]
                        .into_iter()
                        .chain(back),
                );
            }
            for g in (0..gateways).filter(|g| self.zone(*g) == lost) {
                faults.extend([
                    (at, Fault::GatewayCrashes(g)),
                    (until, Fault::GatewayStarts(g)),
                ]);
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        let many = within(&mut chance, self.commands) as usize;
        let slow = some(&mut chance, self.clients, f.clients_slow);
        let mut requests: Vec<ScriptedRequest> = (0..many)
            .map(|_| {
                // Every table reports at the close, then everyone reloads.
                let close = chance.u8(..2) == 0;
                let (class, part) = match chance.u8(..20) {
                    0..=6 if close => (RequestClass::Report, [0.2, 0.3]),
                    _ if close => (RequestClass::Board, [0.3, 0.4]),
                    0..=4 => (RequestClass::Board, [0.0, 0.85]),
                    5..=8 => (RequestClass::Own, [0.0, 0.85]),
                    9..=12 => (RequestClass::History, [0.0, 0.85]),
                    13..=17 => (RequestClass::Report, [0.0, 0.85]),
                    _ => (RequestClass::Order, [0.0, 0.85]),
                };
                let client = chance.usize(..self.clients);
                let hangs_up = (chance.f64() < f.clients_hang_up).then(|| chance.i64(1..3_000));
                let at = (end * within(&mut chance, part)) as Ticks;
                ScriptedRequest {
                    at,
                    client,
                    class,
                    set: client % self.sets,
                    hangs_up,
                }
            })
            .collect();
        requests.sort_by_key(|request| request.at);
        let slow_clients = (0..self.clients).map(|c| slow.contains(&c)).collect();
        Script {
            faults,
            requests,
            slow_clients,
            seconds: self.seconds,
        }
    }
}

const ALL: [(&str, &str); 13] = [
    ("round-close", include_str!("../scenarios/round-close.hcl")),
    ("calm", include_str!("../scenarios/calm.hcl")),
    ("failover", include_str!("../scenarios/failover.hcl")),
    (
        "rolling-deploy",
        include_str!("../scenarios/rolling-deploy.hcl"),
    ),
    ("partition", include_str!("../scenarios/partition.hcl")),
    ("lists-lie", include_str!("../scenarios/lists-lie.hcl")),
    ("slow-peers", include_str!("../scenarios/slow-peers.hcl")),
    ("garbage", include_str!("../scenarios/garbage.hcl")),
    ("sessions", include_str!("../scenarios/sessions.hcl")),
    ("crowd", include_str!("../scenarios/crowd.hcl")),
    ("reread", include_str!("../scenarios/reread.hcl")),
    (
        "zone-returns",
        include_str!("../scenarios/zone-returns.hcl"),
    ),
    ("cold-start", include_str!("../scenarios/cold-start.hcl")),
];

pub fn built_in_scenarios() -> impl Iterator<Item = (&'static str, Scenario)> {
    ALL.iter()
        .map(|(name, text)| (*name, hcl::from_str(text).expect("a scenario of our own")))
}

/// One of our own by its name, or one from a file.
pub fn load_scenario(name: &str) -> Result<Scenario, String> {
    match ALL.iter().find(|(n, _)| *n == name) {
        Some((_, text)) => hcl::from_str(text).map_err(|e| format!("{name}: {e}")),
        None => {
            let text = std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?;
            hcl::from_str(&text).map_err(|e| format!("{name}: {e}"))
        }
    }
}
