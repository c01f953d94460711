//! Scenarios with gateways, read from HCL, and the script that a seed generates from one: which client sends which
//! request when, and which faults are injected when.
//!
//! # Invariants
//!
//! - A script is plain data. Removing entries from it leaves the others unchanged, which shrinking relies on.
//! - A script is complete before the run begins and does not depend on how the run goes.

use fastrand::Rng;
use leverpoint_cluster_model::Ticks;
use serde::Deserialize;

/// Lower and upper bound; each seed draws a value between them.
type Range = [f64; 2];

/// A scenario with gateways, clients, discovery agents and database servers. The fields are the keys of its HCL file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One-line description, printed by `list`.
    pub about: String,
    pub gateways: usize,
    /// Number of replica sets.
    pub sets: usize,
    /// Database servers in each replica set.
    pub machines_a_set: usize,
    pub clients: usize,
    /// Number of requests of all clients together.
    pub commands: Range,
    /// Simulated time in which requests are sent and faults begin.
    pub seconds: f64,
    /// Whether a server rejects a read whose required replication position it has not applied yet: "refuse", or
    /// "none" for no check.
    #[serde(default = "default_check")]
    pub check: String,
    /// Whether sessions are tracked across all gateways.
    #[serde(default)]
    pub sessions: bool,
    /// Fraction of its requests before which a client switches to another gateway.
    #[serde(default)]
    pub roams: f64,
    /// File descriptors available to each gateway.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Number of zones; gateways, and the servers of each set, are assigned to them round-robin.
    #[serde(default = "default_zones")]
    pub zones: usize,
    #[serde(default)]
    pub fails: FaultRates,
}

fn default_sockets() -> usize {
    256
}

fn default_zones() -> usize {
    1
}

fn default_check() -> String {
    "refuse".into()
}

/// Fault rates. For most faults a rate is the largest fraction of the gateways or servers that a script may select;
/// a selected one fails between 10 % and 60 % of the run.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultRates {
    /// Gateways that crash and start again.
    pub gateways_die: f64,
    /// Gateways that get SIGTERM and start again.
    pub gateways_stop: f64,
    /// Gateways whose configuration is replaced by one with another discovery address and that get SIGHUP.
    pub gateways_reread: f64,
    /// Servers that are cut off from the network; their connections are reset when they are reachable again.
    pub machines_silent: f64,
    pub machines_die: f64,
    pub machines_drain: f64,
    /// Servers that pause replay.
    pub replicas_lag: f64,
    /// Servers that send corrupted replies.
    pub machines_spoil: f64,
    /// Servers that send some of their replies twice.
    pub machines_repeat: f64,
    /// Servers that lose all their connections at once.
    pub machines_reset: f64,
    /// Servers to which the primary role of their replica set is switched over.
    pub hand_overs: f64,
    /// Probability that one whole zone becomes unreachable and returns with restarted gateways and cold servers.
    pub zone_lost: f64,
    /// Discovery agents that receive no updates and answer no calls.
    pub agents_silent: f64,
    /// Servers that endpoint lists report as gone although they are running.
    pub lists_lie: f64,
    /// Gateways whose clock jumps two seconds ahead and later returns to the true time.
    pub clocks_step: f64,
    /// Clients that read 64 bytes at a time.
    pub clients_slow: f64,
    /// Probability that a client closes its connection within 300 ms of a request.
    pub clients_hang_up: f64,
    /// Probability that a server that was cut off never becomes reachable again.
    pub for_good: f64,
    /// Duration of a fault in seconds, [0.2, 1.5] by default.
    pub lasts: Option<Range>,
}

/// A fault or its end. A number is the index of a gateway, its agent or a server; a flag says whether the fault begins.
///
/// The order of the variants goes into the digest of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    GatewayCrashes(usize),
    GatewayStarts(usize),
    /// SIGTERM; a start follows later.
    GatewayShutsDown(usize),
    /// SIGHUP with a configuration that names the agent's second address (`true`) or its first.
    GatewayReloads(usize, bool),
    ServerUnreachable(usize, bool),
    ServerCrashes(usize),
    ServerStarts(usize),
    ServerDrains(usize, bool),
    ReplicaLags(usize, bool),
    RepliesCorrupted(usize, bool),
    /// All connections of a server break; the server itself goes on.
    ConnectionsReset(usize),
    /// The primary role of the server's replica set moves to it.
    Switchover(usize),
    AgentUnreachable(usize, bool),
    /// The endpoint list reports a running server as gone, and later as present again.
    ListedAsGone(usize, bool),
    /// A gateway's clock is set to this offset from the true time.
    ClockSteps(usize, Ticks),
    RepliesRepeated(usize, bool),
}

/// The request classes that clients of the simulator use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Reads the leaderboard; replayable.
    Board,
    /// Reads the client's own entries; replayable.
    Own,
    /// Reads past results; replayable.
    History,
    /// Writes with an idempotency key.
    Report,
    /// Writes without an idempotency key, so it may not be retried once it may have run.
    Order,
}

/// One request of a script.
#[derive(Clone, Copy, Debug)]
pub struct ScriptedRequest {
    /// When the client is to send it; later if its previous request is still open.
    pub at: Ticks,
    pub client: usize,
    pub class: RequestClass,
    pub set: usize,
    /// After this time the client closes the connection.
    pub hangs_up: Option<Ticks>,
}

/// The faults and requests of one run, each in order of time.
#[derive(Clone, Debug)]
pub struct Script {
    pub faults: Vec<(Ticks, Fault)>,
    pub requests: Vec<ScriptedRequest>,
    /// By client: whether it reads slowly.
    pub slow_clients: Vec<bool>,
    pub seconds: f64,
}

fn sample(rng: &mut Rng, range: Range) -> f64 {
    range[0] + (range[1] - range[0]) * rng.f64()
}

/// A random subset of the indices below `n`, at most the fraction `share` of them.
fn random_subset(rng: &mut Rng, n: usize, share: f64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..n).collect();
    rng.shuffle(&mut all);
    let count = (n as f64 * share * rng.f64()).round() as usize;
    all.truncate(count);
    all
}

impl Scenario {
    /// The zone of a gateway, or of a server by its index in its replica set.
    pub fn zone(&self, n: usize) -> usize {
        n % self.zones
    }

    /// Generates the script for a seed; the same seed always gives the same script.
    pub fn script(&self, seed: u64) -> Script {
        let mut rng = Rng::with_seed(seed ^ 0x5c71_9700);
        let end = self.seconds * 1e4;
        let server_count = self.sets * self.machines_a_set;
        let mut faults = Vec::new();
        let rates = &self.fails;
        let duration = rates.lasts.unwrap_or([0.2, 1.5]);
        let mut schedule =
            |rng: &mut Rng, n: usize, share: f64, build_fault: &dyn Fn(usize, bool) -> Fault| {
                for target in random_subset(rng, n, share) {
                    // The round closes a quarter into the run; the window puts most faults near that time.
                    let at = end * sample(rng, [0.1, 0.6]);
                    let until = at + 1e4 * sample(rng, duration);
                    faults.push((at as Ticks, build_fault(target, true)));
                    faults.push((until as Ticks, build_fault(target, false)));
                }
            };
        let gateways = self.gateways;
        schedule(&mut rng, gateways, rates.gateways_die, &|g, on| {
            if on {
                Fault::GatewayCrashes(g)
            } else {
                Fault::GatewayStarts(g)
            }
        });
        schedule(&mut rng, gateways, rates.gateways_stop, &|g, on| {
            if on {
                Fault::GatewayShutsDown(g)
            } else {
                Fault::GatewayStarts(g)
            }
        });
        schedule(
            &mut rng,
            gateways,
            rates.gateways_reread,
            &Fault::GatewayReloads,
        );
        schedule(
            &mut rng,
            server_count,
            rates.machines_silent,
            &Fault::ServerUnreachable,
        );
        let for_good = rates.for_good;
        schedule(&mut rng, server_count, rates.machines_die, &|m, on| {
            if on {
                Fault::ServerCrashes(m)
            } else {
                Fault::ServerStarts(m)
            }
        });
        schedule(
            &mut rng,
            server_count,
            rates.machines_drain,
            &Fault::ServerDrains,
        );
        schedule(
            &mut rng,
            server_count,
            rates.replicas_lag,
            &Fault::ReplicaLags,
        );
        schedule(
            &mut rng,
            server_count,
            rates.machines_spoil,
            &Fault::RepliesCorrupted,
        );
        schedule(&mut rng, server_count, rates.machines_reset, &|m, _| {
            Fault::ConnectionsReset(m)
        });
        schedule(&mut rng, server_count, rates.hand_overs, &|m, _| {
            Fault::Switchover(m)
        });
        schedule(
            &mut rng,
            gateways,
            rates.agents_silent,
            &Fault::AgentUnreachable,
        );
        schedule(
            &mut rng,
            server_count,
            rates.lists_lie,
            &Fault::ListedAsGone,
        );
        schedule(&mut rng, gateways, rates.clocks_step, &|g, on| {
            Fault::ClockSteps(g, if on { 20_000 } else { 0 })
        });
        // Drawn only where it is used, so that the scripts of other scenarios stay the same.
        if rates.machines_repeat > 0.0 {
            schedule(
                &mut rng,
                server_count,
                rates.machines_repeat,
                &Fault::RepliesRepeated,
            );
        }
        faults.retain(|(_, fault)| {
            !matches!(fault, Fault::ServerUnreachable(_, false)) || rng.f64() >= for_good
        });
        if rates.zone_lost > 0.0 && rng.f64() < rates.zone_lost {
            let lost_zone = rng.usize(..self.zones);
            let at = (end * sample(&mut rng, [0.15, 0.3])) as Ticks;
            let until = at + (1e4 * sample(&mut rng, duration)) as Ticks;
            for m in (0..server_count).filter(|m| self.zone(m % self.machines_a_set) == lost_zone) {
                // Servers of a zone do not start at the same instant: spread over up to 500 ms.
                let until = until + rng.i64(0..5_000);
                let (crash, reachable) =
                    (Fault::ServerCrashes(m), Fault::ServerUnreachable(m, false));
                let recovery = [
                    (until, crash),
                    (until + 1, reachable),
                    (until + 2, Fault::ServerStarts(m)),
                ];
                faults.extend(
                    [(at, Fault::ServerUnreachable(m, true))]
                        .into_iter()
                        .chain(recovery),
                );
            }
            for g in (0..gateways).filter(|g| self.zone(*g) == lost_zone) {
                faults.extend([
                    (at, Fault::GatewayCrashes(g)),
                    (until, Fault::GatewayStarts(g)),
                ]);
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        let request_count = sample(&mut rng, self.commands) as usize;
        let slow_indices = random_subset(&mut rng, self.clients, rates.clients_slow);
        let mut requests: Vec<ScriptedRequest> = (0..request_count)
            .map(|_| {
                // Half of the requests belong to the close of a round: reports first, then reads of the leaderboard.
                let round_close = rng.u8(..2) == 0;
                let (class, window) = match rng.u8(..20) {
                    0..=6 if round_close => (RequestClass::Report, [0.2, 0.3]),
                    _ if round_close => (RequestClass::Board, [0.3, 0.4]),
                    0..=4 => (RequestClass::Board, [0.0, 0.85]),
                    5..=8 => (RequestClass::Own, [0.0, 0.85]),
                    9..=12 => (RequestClass::History, [0.0, 0.85]),
                    13..=17 => (RequestClass::Report, [0.0, 0.85]),
                    _ => (RequestClass::Order, [0.0, 0.85]),
                };
                let client = rng.usize(..self.clients);
                let hangs_up = (rng.f64() < rates.clients_hang_up).then(|| rng.i64(1..3_000));
                let at = (end * sample(&mut rng, window)) as Ticks;
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
        let slow_clients = (0..self.clients)
            .map(|c| slow_indices.contains(&c))
            .collect();
        Script {
            faults,
            requests,
            slow_clients,
            seconds: self.seconds,
        }
    }
}

const BUILT_IN: [(&str, &str); 13] = [
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

/// The scenarios compiled into the program, by name.
pub fn built_in_scenarios() -> impl Iterator<Item = (&'static str, Scenario)> {
    BUILT_IN.iter().map(|(name, text)| {
        (
            *name,
            hcl::from_str(text).expect("a built-in scenario is valid"),
        )
    })
}

/// A built-in scenario by its name, or one from the HCL file at that path.
///
/// # Errors
///
/// When the file cannot be read or is not a valid scenario.
pub fn load_scenario(name: &str) -> Result<Scenario, String> {
    match BUILT_IN.iter().find(|(n, _)| *n == name) {
        Some((_, text)) => hcl::from_str(text).map_err(|e| format!("{name}: {e}")),
        None => {
            let text = std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?;
            hcl::from_str(&text).map_err(|e| format!("{name}: {e}"))
        }
    }
}
