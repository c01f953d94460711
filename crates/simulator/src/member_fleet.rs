//! Simulates a fleet of members, which run the daemon's membership and replication code over the peer transport, under
//! crashes, disk loss, pauses and network partitions. Their views and layouts are checked ten times per simulated second,
//! less often in a large fleet.
//!
//! # Invariants
//!
//! - A member is influenced only through the simulated network, disk and clock, or as an operator would: by an admin
//!   request or a start.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use leverpoint_cluster_model::Ticks;
use leverpoint_membership::config::DEFAULT_CONFIG;
use leverpoint_membership::{
    Incarnation, MemberInfo, MemberStatus, MembershipConfig, MembershipStatus, PersistedState,
};
use leverpoint_peer_transport::membership_runtime::{decode_state, encode_state};
use leverpoint_peer_transport::{
    AdminRequest, AdminResponse, FleetConfig, MemberRuntime, MemberStartup, StateStore,
};
use leverpoint_runtime::{Instant, Listener, set_simulated_runtime, sleep, spawn, unix_time};
use leverpoint_signing::{Key, Keys};
use serde::Deserialize;

use crate::checker::Violation;
use crate::outcome::RunOutcome;
use crate::replication_load::{self, Load, Oracle, SharedDisk};
use crate::simulation::{EventSource, LinkFaults, ProcessId, Role, Simulation};

// The rules for fleets are numbered on from those for requests in `checker`.

/// Rule: there is at most one layout of each version.
pub const LAYOUT_CONFLICT: u8 = 6;
/// Rule: no member acts for, or goes back to, an incarnation or a storage id that has ended.
pub const STALE_INCARNATION: u8 = 7;
/// Rule: a member that takes part is not considered gone for longer than [`FleetRun::convergence_bound`], and a resumed
/// member does not consider others gone because of its own pause.
pub const FALSE_DETECTION: u8 = 8;
/// Rule: without faults all members come to the same view and layout, and joining members are admitted.
pub const VIEWS_DIVERGE: u8 = 9;

/// Lower and upper bound; each seed draws a value between them.
type Range = [f64; 2];

/// A scenario with a fleet of members. The fields are the keys of its HCL file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One-line description, printed by `list`.
    pub about: String,
    /// Number of members.
    pub members: Range,
    /// One seed in this many has 40 to 100 members instead; 0 for none.
    #[serde(default)]
    pub large: u64,
    /// Number of members that may form the first layout.
    pub founders: usize,
    /// Simulated time in which faults begin.
    pub seconds: f64,
    /// Maximum duration of a fault, in seconds.
    #[serde(default = "default_fault_seconds")]
    pub lasts: f64,
    /// Whether a member's disk keeps its contents over restarts.
    #[serde(default = "default_disk")]
    pub disk: bool,
    /// Fraction of messages that are lost.
    #[serde(default)]
    pub lose: f64,
    /// Fraction of messages that are delivered twice.
    #[serde(default)]
    pub double: f64,
    /// Crashes with a later restart. This and the rates up to `removes` are the maximum number of faults per ten members.
    #[serde(default)]
    pub dies: f64,
    /// Crashes with loss of the disk.
    #[serde(default)]
    pub burns: f64,
    /// Members that leave the fleet and start again later.
    #[serde(default)]
    pub leaves: f64,
    /// Processes that are paused and resumed.
    #[serde(default)]
    pub stops: f64,
    /// Second processes that run under the name of a member.
    #[serde(default)]
    pub twins: f64,
    /// Pairs of members that lose all messages in one direction.
    #[serde(default)]
    pub one_way: f64,
    /// Clocks that jump an hour ahead or back.
    #[serde(default)]
    pub clocks: f64,
    /// Requests of an operator to one member to remove another.
    #[serde(default)]
    pub removes: f64,
    /// Whether a disk is lost only while a majority of the layout's holders still runs with its disk.
    #[serde(default)]
    pub half_stays: bool,
    /// The replication factor and the load of clients; without it the fleet does not replicate.
    #[serde(default)]
    pub copies: Option<Load>,
    /// Maximum number of partitions of the fleet into two sides.
    #[serde(default)]
    pub halves: f64,
    /// Maximum number of times that up to half of the members crash within one second.
    #[serde(default)]
    pub half_dies: f64,
    /// Maximum number of times that all members crash, the last one some seconds after the others, and start again.
    #[serde(default)]
    pub die_in_turn: f64,
    /// Probability that the last one to crash of these loses its disk.
    #[serde(default)]
    pub last_burns: f64,
}

fn default_fault_seconds() -> f64 {
    30.0
}

fn default_disk() -> bool {
    true
}

/// A fault or its end. A number is a member's index; a flag says whether the fault begins.
///
/// The order of the variants goes into the digest of a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    MemberCrashes(usize),
    MemberLosesDisk(usize),
    MemberLeaves(usize),
    MemberStarts(usize),
    ProcessPaused(usize, bool),
    /// A second process under the member's name starts, or is killed.
    DuplicateMember(usize, bool),
    /// Messages from the first member to the second are lost.
    OneWayPartition(usize, usize, bool),
    /// The members whose bit is set are cut offset from the others, in both directions.
    Partition(u128, bool),
    /// A member's clock is set to this offset from the true time.
    ClockSteps(usize, Ticks),
    /// An operator asks the first member to remove the second.
    OperatorRemoves(usize, usize),
}

/// The number of members and the faults of one run, in order of time.
#[derive(Clone, Debug)]
pub struct Script {
    pub members: usize,
    pub faults: Vec<(Ticks, Fault)>,
}

impl Scenario {
    /// Generates the script for a seed; the same seed always gives the same script.
    pub fn script(&self, seed: u64) -> Script {
        let mut rng = Rng::with_seed(seed ^ 0x1f1e_e700);
        let is_large = self.large > 0 && seed % self.large == self.large - 1;
        let (low, high) = if is_large {
            (40.0, 100.0)
        } else {
            (self.members[0], self.members[1])
        };
        let members = (low + (high - low) * rng.f64()).round() as usize;
        let end = self.seconds * 1e4;
        let mut faults = Vec::new();
        let tens_of_members = (members as f64 / 10.0).max(0.5);
        let scaled_count =
            |rng: &mut Rng, rate: f64| (rate * tens_of_members * rng.f64()).round() as usize;
        let max_duration = (self.lasts * 1e4) as Ticks;
        let fault_span = |rng: &mut Rng| {
            let at = (end * (0.15 + 0.6 * rng.f64())) as Ticks;
            // From 0.2 s up to, in most scenarios, longer than it takes the others to declare a member gone.
            (at, at + rng.i64(2_000..max_duration))
        };
        let random_member = |rng: &mut Rng| rng.usize(..members);
        for (rate, build_fault) in [
            (self.dies, Fault::MemberCrashes as fn(usize) -> Fault),
            (self.burns, Fault::MemberLosesDisk),
            (self.leaves, Fault::MemberLeaves),
        ] {
            for _ in 0..scaled_count(&mut rng, rate) {
                let ((at, until), index) = (fault_span(&mut rng), random_member(&mut rng));
                faults.extend([
                    (at, build_fault(index)),
                    (until, Fault::MemberStarts(index)),
                ]);
            }
        }
        for (rate, build_fault) in [
            (self.stops, Fault::ProcessPaused as fn(usize, bool) -> Fault),
            (self.twins, Fault::DuplicateMember),
        ] {
            for _ in 0..scaled_count(&mut rng, rate) {
                let ((at, until), index) = (fault_span(&mut rng), random_member(&mut rng));
                faults.extend([
                    (at, build_fault(index, true)),
                    (until, build_fault(index, false)),
                ]);
            }
        }
        for _ in 0..scaled_count(&mut rng, self.one_way) {
            let ((at, until), a, b) = (
                fault_span(&mut rng),
                random_member(&mut rng),
                random_member(&mut rng),
            );
            if a != b {
                faults.extend([
                    (at, Fault::OneWayPartition(a, b, true)),
                    (until, Fault::OneWayPartition(a, b, false)),
                ]);
            }
        }
        for _ in 0..scaled_count(&mut rng, self.clocks) {
            let offset = if rng.bool() { 36_000_000 } else { -36_000_000 };
            faults.push((
                fault_span(&mut rng).0,
                Fault::ClockSteps(random_member(&mut rng), offset),
            ));
        }
        for _ in 0..scaled_count(&mut rng, self.removes) {
            faults.push((
                fault_span(&mut rng).1,
                Fault::OperatorRemoves(random_member(&mut rng), random_member(&mut rng)),
            ));
        }
        let random_count = |rng: &mut Rng, rate: f64| (rate * rng.f64()).round() as usize;
        let random_side = |rng: &mut Rng| {
            let mut all: Vec<usize> = (0..members).collect();
            rng.shuffle(&mut all);
            let in_halves = rng.bool();
            all.truncate(if in_halves {
                members / 2
            } else {
                rng.usize(1..members.max(2))
            });
            all.into_iter().fold(0u128, |set, index| set | 1 << index)
        };
        for _ in 0..random_count(&mut rng, self.halves) {
            let ((at, mut until), set) = (fault_span(&mut rng), random_side(&mut rng));
            // Half of the partitions last longer than it takes to declare a member gone.
            until += if rng.bool() {
                rng.i64(100_000..300_000)
            } else {
                0
            };
            faults.extend([
                (at, Fault::Partition(set, true)),
                (until, Fault::Partition(set, false)),
            ]);
            // Operators on both sides, each of whom sees only the members of one side, remove one of the other side.
            let (one_side, other_side): (Vec<usize>, Vec<usize>) =
                (0..members).partition(|index| set >> index & 1 == 1);
            if self.removes > 0.0 && !one_side.is_empty() && !other_side.is_empty() {
                let (a, b) = (
                    one_side[rng.usize(..one_side.len())],
                    other_side[rng.usize(..other_side.len())],
                );
                let removals = [Fault::OperatorRemoves(a, b), Fault::OperatorRemoves(b, a)];
                faults
                    .extend(removals.map(|fault| (at.max(until - rng.i64(10_000..40_000)), fault)));
            }
        }
        for _ in 0..random_count(&mut rng, self.half_dies) {
            let ((at, until), set) = (fault_span(&mut rng), random_side(&mut rng));
            for index in (0..members)
                .filter(|index| set >> index & 1 == 1)
                .take(members / 2)
            {
                faults.push((at + rng.i64(0..10_000), Fault::MemberCrashes(index)));
                faults.push((until + rng.i64(0..10_000), Fault::MemberStarts(index)));
            }
        }
        for _ in 0..random_count(&mut rng, self.die_in_turn) {
            let (at, last) = (fault_span(&mut rng).0, random_member(&mut rng));
            // Longer than a lease, so that the last one serves without a quorum.
            let last_dies = at + rng.i64(30_000..70_000);
            let restart = last_dies + rng.i64(1_000..10_000);
            for index in 0..members {
                let dies = if index == last {
                    last_dies
                } else {
                    at + rng.i64(0..1_000)
                };
                let crash = if index == last && rng.f64() < self.last_burns {
                    Fault::MemberLosesDisk(index)
                } else {
                    Fault::MemberCrashes(index)
                };
                let starts = restart + rng.i64(0..10_000);
                faults.extend([(dies, crash), (starts, Fault::MemberStarts(index))]);
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        Script { members, faults }
    }
}

/// Range of the one-way network latency between any two members.
const LATENCY: (Ticks, Ticks) = (2, 40);
const MEMBERSHIP_CONFIG: MembershipConfig = DEFAULT_CONFIG;
/// Interval of the checks in a fleet of up to ten members. In a larger one it grows with the number of members, because
/// the cost of a check grows with the number of pairs.
const CHECK_INTERVAL: Ticks = 1_000;
/// Connections of one member: fewer than the members of a large fleet.
const MAX_CONNECTIONS: usize = 48;

/// A member's encoded membership state; it outlives the member's processes.
pub(crate) type StateDisk = Rc<RefCell<Option<Vec<u8>>>>;

/// Writes a member's state to its simulated disk after 1 to 5 ms; a write still open when the process ends is lost.
struct DelayedStore {
    disk: StateDisk,
    sim: Rc<Simulation>,
}

impl StateStore for DelayedStore {
    fn persist(&self, value: Vec<u8>, on_persisted: Box<dyn FnOnce(bool)>) {
        let (disk, write_duration) = (self.disk.clone(), self.sim.rng.borrow_mut().u64(1..6));
        spawn(async move {
            sleep(Duration::from_millis(write_duration)).await;
            *disk.borrow_mut() = Some(value);
            on_persisted(true);
        });
    }
}

/// A process of the fleet. Slots from `members` on hold the second processes of the members of that index modulo `members`.
struct MemberSlot {
    name: String,
    process: ProcessId,
    runtime: Rc<RefCell<Option<Rc<MemberRuntime>>>>,
    disk: StateDisk,
    replication_disk: SharedDisk,
    running: bool,
    paused: bool,
    /// By name: the incarnations that the member knew at the last check.
    known_incarnations: BTreeMap<String, Incarnation>,
    /// When the process was last paused or resumed.
    pause_changed_at: Ticks,
    /// After a pause long enough to be noticed: when the process resumed, and how many failures it had detected itself.
    resumed: Option<(Ticks, u64)>,
    /// At the last check: votes cast, the layout's version, and whether the layout names this member with another storage id.
    vote_state: (u64, u64, bool),
}

/// The state of one run.
struct FleetRun {
    sim: Rc<Simulation>,
    scenario: Scenario,
    members: usize,
    slots: Vec<MemberSlot>,
    one_way: BTreeSet<(usize, usize)>,
    partitions: Vec<u128>,
    /// When a fault last began, ended or was active.
    last_disturbance: Ticks,
    /// By observing slot and observed name: since when the observer's view is wrong.
    wrong_views: BTreeMap<(usize, String), Ticks>,
    /// The digest of the first layout seen of each version.
    layouts: BTreeMap<u64, u64>,
    oracle: Rc<Oracle>,
    violation: Option<Violation>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, (index / 200) as u8, (index % 200) as u8 + 1], 7432))
}

impl FleetRun {
    /// Whether no layout was ever agreed on; only then does an operator ask a founder to create the first one.
    fn is_new(&self) -> bool {
        let has_layout = |slot: &MemberSlot| {
            let runtime = slot.runtime.borrow().clone();
            runtime.is_some_and(|runtime| runtime.with_member(|member| member.layout().version > 0))
        };
        self.layouts.is_empty() && !self.slots.iter().any(has_layout)
    }

    fn start(&mut self, index: usize) {
        let is_bootstrap = index == 0 && self.is_new();
        let slot = &mut self.slots[index];
        if slot.running {
            return;
        }
        let process = slot.process;
        (slot.running, slot.paused, slot.resumed) = (true, false, None);
        (slot.vote_state, slot.known_incarnations) = ((0, 0, false), BTreeMap::new());
        self.sim.start_process(process, Role::Gateway);
        let listener = self.sim.listen(process, address(index));
        let (sim, runtime, disk, name) = (
            self.sim.clone(),
            slot.runtime.clone(),
            slot.disk.clone(),
            slot.name.clone(),
        );
        let (replication_disk, load, oracle) = (
            slot.replication_disk.clone(),
            self.scenario.copies.clone(),
            self.oracle.clone(),
        );
        let (disk_survives, founders) =
            (self.scenario.disk, self.scenario.founders.min(self.members));
        let seeds: Vec<String> = (0..3.min(self.members))
            .map(|s| address(s).to_string())
            .collect();
        let task = async move {
            let stored = disk
                .borrow()
                .as_deref()
                .and_then(decode_state)
                .filter(|_| disk_survives)
                .unwrap_or_default();
            let started_at = unix_time().as_millis() as u64;
            let is_first_start = stored.incarnation.storage_id == 0;
            let storage_id = if is_first_start {
                sim.rng.borrow_mut().u64(1..)
            } else {
                stored.incarnation.storage_id
            };
            let persisted = PersistedState {
                incarnation: Incarnation {
                    number: started_at.max(stored.incarnation.number + 1),
                    storage_id,
                },
                ..stored
            };
            *disk.borrow_mut() = Some(encode_state(&persisted));
            let (nonce_sim, event_sim) = (sim.clone(), sim.clone());
            let (seed, member_name) = (sim.rng.borrow_mut().u64(..), name.clone());
            let store = DelayedStore {
                disk: disk.clone(),
                sim: sim.clone(),
            };
            let startup = MemberStartup {
                info: MemberInfo {
                    name: name.clone(),
                    address: address(index).to_string(),
                    zone: format!("z{}", index % 3),
                    machine: format!("m{index}"),
                    program_version: "sim".into(),
                    incarnation: persisted.incarnation,
                },
                persisted,
                founders: (0..founders).map(|founder| format!("n{founder}")).collect(),
                seeds,
                config: MEMBERSHIP_CONFIG,
                seed,
                fleet: FleetConfig {
                    name: "sim".into(),
                    keys: Keys::new(vec![Key {
                        number: 7,
                        secret: vec![7; 16],
                    }]),
                    ..FleetConfig::default()
                },
                max_connections: MAX_CONNECTIONS,
                nonces: Box::new(move || nonce_sim.rng.borrow_mut().u64(..)),
                store: disk_survives.then(|| Box::new(store) as Box<dyn StateStore>),
                on_event: Box::new(move |event| {
                    event_sim.record(EventSource::Member, (&member_name, index, event), || {
                        format!("{member_name} at {index} {event:?}")
                    });
                }),
            };
            let member = MemberRuntime::start(startup, Listener::Simulated(listener));
            if is_bootstrap {
                member.handle_admin_request(&AdminRequest::Bootstrap);
            }
            if let Some(load) = load {
                replication_load::start(
                    &sim,
                    index,
                    &member,
                    &load,
                    &oracle,
                    &replication_disk,
                    disk_survives && !is_first_start,
                );
            }
            *runtime.borrow_mut() = Some(member);
        };
        self.sim.spawn_in(process, Box::pin(task));
    }

    fn kill(&mut self, index: usize, disk_lost: bool) {
        let slot = &mut self.slots[index];
        if !slot.running {
            return;
        }
        slot.running = false;
        self.sim.kill(slot.process);
        slot.runtime.borrow_mut().take();
        if disk_lost {
            slot.disk.borrow_mut().take();
            *slot.replication_disk.borrow_mut() = replication_load::DiskContents::default();
        }
    }

    /// Whether, without this member, more than half of the members run as holders of the layout with their storage intact.
    fn majority_survives_loss_of(&self, index: usize) -> bool {
        let is_intact_holder = |slot: &MemberSlot| {
            let runtime = slot.runtime.borrow().clone();
            runtime.is_some_and(|runtime| {
                runtime.with_member(|member| {
                    member.layout().version > 0
                        && member
                            .layout()
                            .has_holder(&slot.name, member.local().info.incarnation.storage_id)
                })
            })
        };
        let others = self
            .slots
            .iter()
            .enumerate()
            .filter(|(n, slot)| *n != index && slot.running && is_intact_holder(slot));
        others.count() > self.members / 2
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let separated =
            |set: &u128| (set >> (a % self.members) & 1) != (set >> (b % self.members) & 1);
        self.one_way.contains(&(a, b)) || self.partitions.iter().any(separated)
    }

    /// Sets the state of every link from the partitions in effect and the rates of lost and doubled messages.
    fn update_links(&self) {
        let (lose, double) = (self.scenario.lose, self.scenario.double);
        for (a, from) in self.slots.iter().enumerate() {
            for (b, to) in self.slots.iter().enumerate().filter(|(b, _)| *b != a) {
                self.sim.set_link_faults(
                    from.process,
                    to.process,
                    LinkFaults {
                        blocked: self.is_cut(a, b),
                        loss_rate: lose,
                        duplication_rate: double,
                    },
                );
            }
        }
    }

    fn inject(&mut self, fault: &Fault) {
        self.sim
            .record(EventSource::Fault, fault, || format!("{fault:?}"));
        self.last_disturbance = self.sim.time();
        match fault {
            Fault::MemberCrashes(index) => self.kill(*index, false),
            // A layout does not survive the loss of more than half of its holders at once.
            Fault::MemberLosesDisk(index)
                if self.scenario.half_stays && !self.majority_survives_loss_of(*index) => {}
            Fault::MemberLosesDisk(index) => self.kill(*index, true),
            Fault::MemberStarts(index) => self.start(*index),
            Fault::MemberLeaves(index) => {
                let runtime = self.slots[*index].runtime.borrow().clone();
                if let Some(runtime) = runtime.filter(|_| !self.slots[*index].paused) {
                    let leave = async move { runtime.leave() };
                    self.sim
                        .spawn_in(self.slots[*index].process, Box::pin(leave));
                }
            }
            Fault::ProcessPaused(index, on) => {
                if self.slots[*index].running && self.slots[*index].paused != *on {
                    self.slots[*index].paused = *on;
                    self.sim.set_suspended(self.slots[*index].process, *on);
                    let (now, detections) = (self.sim.time(), self.local_detections(*index));
                    let slot = &mut self.slots[*index];
                    let was_noticeable = now - slot.pause_changed_at
                        > MEMBERSHIP_CONFIG.pause_threshold() + MEMBERSHIP_CONFIG.probe_interval;
                    slot.resumed = detections
                        .filter(|_| !on && was_noticeable)
                        .map(|count| (now, count));
                    slot.pause_changed_at = now;
                }
            }
            Fault::DuplicateMember(index, true) => self.start(self.members + index),
            Fault::DuplicateMember(index, false) => self.kill(self.members + index, true),
            Fault::OneWayPartition(a, b, on) => {
                if *on {
                    self.one_way.insert((*a, *b));
                } else {
                    self.one_way.remove(&(*a, *b));
                }
                self.update_links();
            }
            Fault::Partition(set, on) => {
                match self
                    .partitions
                    .iter()
                    .position(|other| other == set)
                    .filter(|_| !on)
                {
                    Some(at) => drop(self.partitions.swap_remove(at)),
                    None => self.partitions.push(*set),
                }
                self.update_links();
            }
            // With replication, an operator removes only a member known to be down: others rely on the records it holds.
            Fault::OperatorRemoves(_, target)
                if self.scenario.copies.is_some() && self.slots[*target].running => {}
            Fault::OperatorRemoves(index, target) => {
                let runtime = self.slots[*index]
                    .runtime
                    .borrow()
                    .clone()
                    .filter(|_| !self.slots[*index].paused);
                let name = self.slots[*target].name.clone();
                let response = runtime
                    .map(|runtime| runtime.handle_admin_request(&AdminRequest::Remove { name }));
                let done = response
                    .as_ref()
                    .map(|response| *response == AdminResponse::Done);
                self.sim
                    .record(EventSource::Operator, done, || format!("gets {response:?}"));
            }
            Fault::ClockSteps(index, offset) => self
                .sim
                .set_clock_offset(self.slots[*index].process, *offset),
        }
    }

    /// Failures that the member has detected itself, if it runs.
    fn local_detections(&self, index: usize) -> Option<u64> {
        let runtime = self.slots[index].runtime.borrow().clone()?;
        Some(runtime.with_member(|member| member.counters.detected_locally))
    }

    /// Records a violation; only the first one of a run is kept.
    fn report_violation(&mut self, rule: u8, what: String) {
        let at = self.sim.time();
        self.violation.get_or_insert(Violation {
            at,
            rule,
            description: what,
        });
    }

    /// Takes over a violation that the oracle has detected.
    fn check_oracle(&mut self) {
        if let Some((rule, what)) = self.oracle.violation.take() {
            self.report_violation(rule, what);
        }
    }

    /// How long a wrong view may last once no fault is active; three times as long if messages are lost.
    fn convergence_bound(&self) -> Ticks {
        let detection_and_recovery = MEMBERSHIP_CONFIG.detection_bound(self.members)
            + MEMBERSHIP_CONFIG.recovery_bound(self.members);
        if self.scenario.lose > 0.0 {
            3 * detection_and_recovery
        } else {
            detection_and_recovery
        }
    }

    /// Checks each resumed member once the instant at which it resumed is over: a failure that it detected in that instant
    /// stems from the time in which it was paused.
    fn check_resumed_members(&mut self) {
        let now = self.sim.time();
        for index in 0..self.slots.len() {
            let Some((_, before)) = self.slots[index].resumed.take_if(|(at, _)| now > *at) else {
                continue;
            };
            if self
                .local_detections(index)
                .is_some_and(|count| count > before)
            {
                self.report_violation(
                    FALSE_DETECTION,
                    format!(
                        "member {index} suspects others because of the time in which it was paused"
                    ),
                );
            }
        }
    }

    /// Checks the rules for the whole fleet.
    fn check_fleet(&mut self) {
        let now = self.sim.time();
        if !self.one_way.is_empty()
            || !self.partitions.is_empty()
            || self.slots.iter().any(|slot| slot.paused)
        {
            self.last_disturbance = now;
        }
        // By name: the incarnations of the running processes, active or still joining.
        let mut running: BTreeMap<String, Vec<(Incarnation, MembershipStatus)>> = BTreeMap::new();
        let runtimes: Vec<(usize, Rc<MemberRuntime>)> = (0..self.slots.len())
            .filter(|index| self.slots[*index].running)
            .filter_map(|index| {
                self.slots[index]
                    .runtime
                    .borrow()
                    .clone()
                    .map(|runtime| (index, runtime))
            })
            .collect();
        for (index, runtime) in &runtimes {
            let member_state =
                runtime.with_member(|member| (member.local().info.incarnation, member.status()));
            running
                .entry(self.slots[*index].name.clone())
                .or_default()
                .push(member_state);
        }
        for (index, runtime) in &runtimes {
            let (conflicts, layout) = runtime.with_member(|member| {
                (
                    member.counters.layout_conflicts,
                    Some(member.layout()).filter(|l| l.version > 0).cloned(),
                )
            });
            if conflicts > 0 {
                self.report_violation(
                    LAYOUT_CONFLICT,
                    format!("member {index} has received two different layouts of one version"),
                );
            }
            let vote_state = runtime.with_member(|member| {
                let local_info = &member.local().info;
                let storage_differs =
                    member
                        .layout()
                        .holder(&local_info.name)
                        .is_some_and(|holder| {
                            ![0, local_info.incarnation.storage_id].contains(&holder.storage_id)
                        });
                (
                    member.counters.votes_cast,
                    member.layout().version,
                    storage_differs,
                )
            });
            let before = std::mem::replace(&mut self.slots[*index].vote_state, vote_state);
            if before.2 && vote_state.2 && before.1 == vote_state.1 && vote_state.0 > before.0 {
                self.report_violation(
                    STALE_INCARNATION,
                    format!("member {index} votes under a storage id that it has lost"),
                );
            }
            if let Some(layout) = layout {
                let (version, digest) = (layout.version, layout.digest());
                if *self.layouts.entry(version).or_insert(digest) != digest {
                    self.report_violation(
                        LAYOUT_CONFLICT,
                        format!("member {index} uses a layout {version} that differs from one seen before"),
                    );
                }
            }
            self.check_view(now, *index, runtime, &running);
        }
        for (name, processes) in &running {
            let active_count = processes
                .iter()
                .filter(|(_, status)| *status == MembershipStatus::Active)
                .count();
            if active_count > 1 && now - self.last_disturbance > self.convergence_bound() {
                self.report_violation(
                    STALE_INCARNATION,
                    format!("{active_count} processes are active under the name {name}"),
                );
            }
        }
    }

    /// Checks one member's view of the others.
    fn check_view(
        &mut self,
        now: Ticks,
        index: usize,
        runtime: &Rc<MemberRuntime>,
        running: &BTreeMap<String, Vec<(Incarnation, MembershipStatus)>>,
    ) {
        let own_name = self.slots[index].name.clone();
        let status = runtime.status();
        let view: BTreeMap<String, (Incarnation, MemberStatus)> = runtime.with_member(|member| {
            let summary = |entry: &leverpoint_membership::membership_table::MemberEntry| {
                (entry.update.info.incarnation, entry.status())
            };
            member
                .table()
                .entries()
                .map(|(_, entry)| (entry.update.info.name.clone(), summary(entry)))
                .collect()
        });
        for (name, (incarnation, _)) in &view {
            let before = self.slots[index]
                .known_incarnations
                .insert(name.clone(), *incarnation)
                .unwrap_or_default();
            if *incarnation < before {
                self.report_violation(
                    STALE_INCARNATION,
                    format!("member {index} goes back to an ended incarnation of {name}"),
                );
            }
        }
        let bound_passed = now - self.last_disturbance > self.convergence_bound();
        if status != MembershipStatus::Active {
            let is_only_process = running[&own_name].len() == 1;
            let others_active = running
                .values()
                .flatten()
                .any(|(_, status)| *status == MembershipStatus::Active);
            if status == MembershipStatus::Joining
                && bound_passed
                && is_only_process
                && others_active
            {
                self.report_violation(VIEWS_DIVERGE, format!("member {index} is not admitted"));
            }
            self.wrong_views
                .retain(|(observer, _), _| *observer != index);
            return;
        }
        let mut names: BTreeSet<&String> = view.keys().collect();
        names.extend(running.keys());
        for name in names.into_iter().filter(|name| **name != own_name) {
            let processes = running.get(name).map_or(&[][..], Vec::as_slice);
            let viewed = view.get(name);
            let active: Vec<Incarnation> = processes
                .iter()
                .filter(|(_, status)| *status == MembershipStatus::Active)
                .map(|(i, _)| *i)
                .collect();
            let is_wrong = match viewed {
                Some((incarnation, MemberStatus::Alive | MemberStatus::Suspect)) => {
                    !active.contains(incarnation)
                }
                _ => !active.is_empty(),
            };
            let pair = (index, name.clone());
            if !is_wrong {
                self.wrong_views.remove(&pair);
                continue;
            }
            let since = (*self.wrong_views.entry(pair).or_insert(now)).max(self.last_disturbance);
            if now - since > self.convergence_bound() {
                let rule = if active.is_empty() {
                    VIEWS_DIVERGE
                } else {
                    FALSE_DETECTION
                };
                self.report_violation(
                    rule,
                    format!("member {index} sees {name} as {viewed:?}, but its processes are {processes:?}"),
                );
            }
        }
    }

    /// Checks that no task panicked and that all active members have the same layout. Layouts are not compared when
    /// messages are lost or the fleet replicates.
    fn check_final_state(&mut self) {
        if self.violation.is_some() {
            return;
        }
        if self.sim.panics.get() > 0 {
            self.report_violation(0, format!("{} tasks panicked", self.sim.panics.get()));
        }
        let versions: BTreeSet<u64> = self
            .slots
            .iter()
            .filter_map(|slot| slot.runtime.borrow().clone())
            .filter(|runtime| runtime.status() == MembershipStatus::Active)
            .map(|runtime| runtime.with_member(|member| member.layout().version))
            .collect();
        if versions.len() > 1 && self.scenario.lose == 0.0 && self.scenario.copies.is_none() {
            self.report_violation(VIEWS_DIVERGE, format!("layouts {versions:?} at the end"));
        }
    }
}

/// Runs a script until its faults are over and the fleet must have converged, or until a rule breaks.
///
/// `base` is the instant at which virtual time starts; `traced` keeps the text of every event.
pub fn play(
    scenario: &Scenario,
    script: &Script,
    seed: u64,
    base: Instant,
    traced: bool,
) -> RunOutcome {
    let sim = Simulation::new(seed, base, LATENCY, traced);
    set_simulated_runtime(Some(sim.clone()));
    let members = script.members;
    let slot = |index: usize| MemberSlot {
        name: format!("n{}", index % members),
        process: 1 + index,
        runtime: Rc::default(),
        disk: StateDisk::default(),
        replication_disk: SharedDisk::default(),
        running: false,
        paused: false,
        known_incarnations: BTreeMap::new(),
        pause_changed_at: 0,
        resumed: None,
        vote_state: (0, 0, false),
    };
    let has_duplicates = script
        .faults
        .iter()
        .any(|(_, fault)| matches!(fault, Fault::DuplicateMember(..)));
    let mut run = FleetRun {
        sim: sim.clone(),
        scenario: scenario.clone(),
        members,
        slots: (0..if has_duplicates { 2 * members } else { members })
            .map(slot)
            .collect(),
        one_way: BTreeSet::new(),
        partitions: Vec::new(),
        last_disturbance: 0,
        wrong_views: BTreeMap::new(),
        layouts: BTreeMap::new(),
        oracle: Rc::new(Oracle::new(&sim)),
        violation: None,
    };
    sim.start_process(0, Role::Client);
    run.update_links();
    (0..members).for_each(|index| run.start(index));
    script
        .faults
        .iter()
        .enumerate()
        .for_each(|(n, (at, _))| sim.schedule_fault(*at, n, None));
    let last_fault_at = script.faults.last().map_or(0, |(at, _)| *at);
    // Until the views must have converged and then the layout, which changes one holder at a time. Replication is checked
    // all the time.
    let membership_end = run.convergence_bound()
        + MEMBERSHIP_CONFIG.join_delay
        + MEMBERSHIP_CONFIG.probe_interval * 3 * (members as Ticks + 8);
    let end = last_fault_at
        + if scenario.copies.is_some() {
            replication_load::SETTLING_TIME
        } else {
            membership_end
        };
    let (mut last_check, check_interval) =
        (0, CHECK_INTERVAL * (members as Ticks).div_euclid(10).max(1));
    while sim.step(end) {
        for fault in sim.take_due_faults() {
            run.inject(&script.faults[fault].1);
        }
        run.check_resumed_members();
        if sim.time() - last_check >= check_interval {
            last_check = sim.time();
            run.check_fleet();
        }
        run.check_oracle();
        if run.violation.is_some() {
            break;
        }
    }
    run.check_final_state();
    let sent_messages = |slot: &MemberSlot| {
        slot.runtime
            .borrow()
            .as_ref()
            .map_or(0, |runtime| runtime.connections.counters().sent)
    };
    let played = RunOutcome {
        violation: run.violation.clone(),
        steps: sim.steps.get(),
        requests: run.slots.iter().map(sent_messages).sum(),
        benefit: run.oracle.request_counts().0,
        possible_benefit: run.oracle.request_counts().1,
        digest: sim.digest.borrow().digest(),
        trace: sim.take_trace(),
        ..RunOutcome::default()
    };
    (0..run.slots.len())
        .map(|index| run.slots[index].process)
        .filter(|index| sim.is_alive(*index))
        .for_each(|index| sim.kill(index));
    drop(run);
    set_simulated_runtime(None);
    played
}
