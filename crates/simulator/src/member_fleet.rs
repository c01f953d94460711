//! Owns one run of a fleet: members as the daemon runs them, over the link as it is, in a world that kills, burns, stops
//! and cuts them; and what must hold of their views and layouts, looked at ten times a second.
//!
//! It must never tell a member anything but through the world.

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

use crate::checker::Broken;
use crate::outcome::Played;
use crate::replication_load::{self, Load, Oracle, SharedDisk};
use crate::world::{EventSource, Process, Role, Sim, Way};

/// A member died, or was called gone, or came back: rules of a fleet, counted on from those of commands.
pub const FORK: u8 = 6;
pub const ENDED: u8 = 7;
pub const FALSE_GONE: u8 = 8;
pub const APART: u8 = 9;

/// Lowest and highest; a seed takes one between.
type Range = [f64; 2];

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub about: String,
    pub members: Range,
    /// In one seed of so many there are up to a hundred of them; 0: never.
    #[serde(default)]
    pub large: u64,
    pub founders: usize,
    pub seconds: f64,
    /// How long a fault lasts at the most, in seconds.
    #[serde(default = "half_a_minute")]
    pub lasts: f64,
    #[serde(default = "lasting")]
    pub disk: bool,
    /// Parts of all messages, all the time.
    #[serde(default)]
    pub lose: f64,
    #[serde(default)]
    pub double: f64,
    /// How often each happens at the most, for each ten members.
    #[serde(default)]
    pub dies: f64,
    #[serde(default)]
    pub burns: f64,
    #[serde(default)]
    pub leaves: f64,
    #[serde(default)]
    pub stops: f64,
    #[serde(default)]
    pub twins: f64,
    #[serde(default)]
    pub one_way: f64,
    #[serde(default)]
    pub clocks: f64,
    /// An operator asks some member to have another removed.
    #[serde(default)]
    pub removes: f64,
    /// Whether more than half of the holders keep their memories at any time.
    #[serde(default)]
    pub half_stays: bool,
    /// What the fleet holds for others, and the load on it.
    #[serde(default)]
    pub copies: Option<Load>,
    /// How often the fleet is cut in two at the most, and how often half of it dies in one second.
    #[serde(default)]
    pub halves: f64,
    #[serde(default)]
    pub half_dies: f64,
}

fn half_a_minute() -> f64 {
    30.0
}

fn lasting() -> bool {
    true
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    Dies(usize),
    Burns(usize),
    Leaves(usize),
    Returns(usize),
    Stops(usize, bool),
    /// A second process of the name begins, and ends.
    Twin(usize, bool),
    OneWay(usize, usize, bool),
    /// Those whose bit is set are cut off from the others.
    Halves(u128, bool),
    Clock(usize, Ticks),
    /// Asked of the first: that the second be removed.
    Removes(usize, usize),
}

#[derive(Clone, Debug)]
pub struct Script {
    pub members: usize,
    pub faults: Vec<(Ticks, Fault)>,
}

impl Scenario {
    pub fn script(&self, seed: u64) -> Script {
        let mut chance = Rng::with_seed(seed ^ 0x1f1e_e700);
        let large = self.large > 0 && seed % self.large == self.large - 1;
        let (low, high) = if large {
            (40.0, 100.0)
        } else {
            (self.members[0], self.members[1])
        };
        let members = (low + (high - low) * chance.f64()).round() as usize;
        let end = self.seconds * 1e4;
        let mut faults = Vec::new();
        let tens = (members as f64 / 10.0).max(0.5);
        let times = |chance: &mut Rng, rate: f64| (rate * tens * chance.f64()).round() as usize;
        let lasts = (self.lasts * 1e4) as Ticks;
        let span = |chance: &mut Rng| {
            let at = (end * (0.15 + 0.6 * chance.f64())) as Ticks;
            // From a moment to longer than it takes to be called gone.
            (at, at + chance.i64(2_000..lasts))
        };
        let one = |chance: &mut Rng| chance.usize(..members);
        for (rate, make) in [
            (self.dies, Fault::Dies as fn(usize) -> Fault),
            (self.burns, Fault::Burns),
            (self.leaves, Fault::Leaves),
        ] {
            for _ in 0..times(&mut chance, rate) {
                let ((at, until), p) = (span(&mut chance), one(&mut chance));
                faults.extend([(at, make(p)), (until, Fault::Returns(p))]);
            }
        }
        for (rate, make) in [
            (self.stops, Fault::Stops as fn(usize, bool) -> Fault),
            (self.twins, Fault::Twin),
        ] {
            for _ in 0..times(&mut chance, rate) {
                let ((at, until), p) = (span(&mut chance), one(&mut chance));
                faults.extend([(at, make(p, true)), (until, make(p, false))]);
            }
        }
        for _ in 0..times(&mut chance, self.one_way) {
            let ((at, until), a, b) = (span(&mut chance), one(&mut chance), one(&mut chance));
            if a != b {
                faults.extend([
                    (at, Fault::OneWay(a, b, true)),
                    (until, Fault::OneWay(a, b, false)),
                ]);
            }
        }
        for _ in 0..times(&mut chance, self.clocks) {
            let off = if chance.bool() {
                36_000_000
            } else {
                -36_000_000
            };
            faults.push((span(&mut chance).0, Fault::Clock(one(&mut chance), off)));
        }
        for _ in 0..times(&mut chance, self.removes) {
            faults.push((
                span(&mut chance).1,
                Fault::Removes(one(&mut chance), one(&mut chance)),
            ));
        }
        let count = |chance: &mut Rng, rate: f64| (rate * chance.f64()).round() as usize;
        let some = |chance: &mut Rng| {
            let mut all: Vec<usize> = (0..members).collect();
            chance.shuffle(&mut all);
            let equal = chance.bool();
            all.truncate(if equal {
                members / 2
            } else {
                chance.usize(1..members.max(2))
            });
            all.into_iter().fold(0u128, |set, p| set | 1 << p)
        };
        for _ in 0..count(&mut chance, self.halves) {
            let ((at, mut until), set) = (span(&mut chance), some(&mut chance));
            // Every second one for longer than it takes to be called gone.
            until += if chance.bool() {
                chance.i64(100_000..300_000)
            } else {
                0
            };
            faults.extend([
                (at, Fault::Halves(set, true)),
                (until, Fault::Halves(set, false)),
            ]);
            // Operators on either side, each of whom sees only his own.
            let (one, other): (Vec<usize>, Vec<usize>) =
                (0..members).partition(|p| set >> p & 1 == 1);
            if self.removes > 0.0 && !one.is_empty() && !other.is_empty() {
                let (a, b) = (
                    one[chance.usize(..one.len())],
                    other[chance.usize(..other.len())],
                );
                let asked = [Fault::Removes(a, b), Fault::Removes(b, a)];
                faults
                    .extend(asked.map(|fault| (at.max(until - chance.i64(10_000..40_000)), fault)));
            }
        }
        for _ in 0..count(&mut chance, self.half_dies) {
            let ((at, until), set) = (span(&mut chance), some(&mut chance));
            for p in (0..members).filter(|p| set >> p & 1 == 1).take(members / 2) {
                faults.push((at + chance.i64(0..10_000), Fault::Dies(p)));
                faults.push((until + chance.i64(0..10_000), Fault::Returns(p)));
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        Script { members, faults }
    }
}

/// One way between any two members.
const LATENCY: (Ticks, Ticks) = (2, 40);
const TERMS: MembershipConfig = DEFAULT_CONFIG;
/// So often it is looked at what holds in a fleet of up to ten, and as much less often as it is larger: a look takes as
/// long as there are pairs.
const LOOKS: Ticks = 1_000;
/// Connections of one member: fewer than there are members in a large fleet.
const LINES: usize = 48;

pub(crate) type Disk = Rc<RefCell<Option<Vec<u8>>>>;

/// A disk that takes a moment; what was not done when its process ends is lost.
struct Slow {
    disk: Disk,
    sim: Rc<Sim>,
}

impl StateStore for Slow {
    fn persist(&self, value: Vec<u8>, then: Box<dyn FnOnce(bool)>) {
        let (disk, takes) = (self.disk.clone(), self.sim.chance.borrow_mut().u64(1..6));
        spawn(async move {
            sleep(Duration::from_millis(takes)).await;
            *disk.borrow_mut() = Some(value);
            then(true);
        });
    }
}

struct Place {
    name: String,
    process: Process,
    node: Rc<RefCell<Option<Rc<MemberRuntime>>>>,
    disk: Disk,
    shelf: SharedDisk,
    runs: bool,
    stopped: bool,
    /// What it holds of others, as seen at the last look.
    believed: BTreeMap<String, Incarnation>,
    /// When it was stopped, and once it goes on: since when, and what it had found out of others by itself.
    still: Ticks,
    woke: Option<(Ticks, u64)>,
    /// At the last look: votes given, the layout's version, and whether that has this name with another memory.
    voted: (u64, u64, bool),
}

struct Run {
    sim: Rc<Sim>,
    scenario: Scenario,
    members: usize,
    places: Vec<Place>,
    one_way: BTreeSet<(usize, usize)>,
    halves: Vec<u128>,
    /// Since when nothing has failed or come back.
    quiet: Ticks,
    /// Pairs that see each other wrongly, since when.
    wrong: BTreeMap<(usize, String), Ticks>,
    layouts: BTreeMap<u64, u64>,
    truth: Rc<Oracle>,
    broken: Option<Broken>,
}

fn address(p: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, (p / 200) as u8, (p % 200) as u8 + 1], 7432))
}

impl Run {
    /// Whether no layout was ever agreed on: only then does an operator ask a founder for the first one.
    fn is_new(&self) -> bool {
        let has_layout = |place: &Place| {
            let node = place.node.borrow().clone();
            node.is_some_and(|node| node.with_member(|f| f.layout().version > 0))
        };
        self.layouts.is_empty() && !self.places.iter().any(has_layout)
    }

    fn start(&mut self, p: usize) {
        let bootstraps = p == 0 && self.is_new();
        let place = &mut self.places[p];
        if place.runs {
            return;
        }
        let process = place.process;
        (place.runs, place.stopped, place.woke) = (true, false, None);
        (place.voted, place.believed) = ((0, 0, false), BTreeMap::new());
        self.sim.begin(process, Role::Gateway);
        let door = self.sim.listen(process, address(p));
        let (sim, node, disk, name) = (
            self.sim.clone(),
            place.node.clone(),
            place.disk.clone(),
            place.name.clone(),
        );
        let (shelf, load, truth) = (
            place.shelf.clone(),
            self.scenario.copies.clone(),
            self.truth.clone(),
        );
        let (lasts, founders) = (self.scenario.disk, self.scenario.founders.min(self.members));
        let seeds: Vec<String> = (0..3.min(self.members))
            .map(|s| address(s).to_string())
            .collect();
        let task = async move {
            let before = disk
                .borrow()
                .as_deref()
                .and_then(decode_state)
                .filter(|_| lasts)
                .unwrap_or_default();
            let life = unix_time().as_millis() as u64;
            let fresh = before.incarnation.storage_id == 0;
            let memory = if fresh {
                sim.chance.borrow_mut().u64(1..)
            } else {
                before.incarnation.storage_id
            };
            let kept = PersistedState {
                incarnation: Incarnation {
                    number: life.max(before.incarnation.number + 1),
                    storage_id: memory,
                },
                ..before
            };
            *disk.borrow_mut() = Some(encode_state(&kept));
            let (marks, says) = (sim.clone(), sim.clone());
            let (seed, who) = (sim.chance.borrow_mut().u64(..), name.clone());
            let keeper = Slow {
                disk: disk.clone(),
                sim: sim.clone(),
            };
            let start = MemberStartup {
                info: MemberInfo {
                    name: name.clone(),
                    address: address(p).to_string(),
                    zone: format!("z{}", p % 3),
                    machine: format!("m{p}"),
                    program_version: "sim".into(),
                    incarnation: kept.incarnation,
                },
                persisted: kept,
                founders: (0..founders).map(|f| format!("n{f}")).collect(),
                seeds,
                config: TERMS,
                seed,
                fleet: FleetConfig {
                    name: "sim".into(),
                    keys: Keys::new(vec![Key {
                        number: 7,
                        secret: vec![7; 16],
                    }]),
                    ..FleetConfig::default()
                },
                max_connections: LINES,
                nonces: Box::new(move || marks.chance.borrow_mut().u64(..)),
                store: lasts.then(|| Box::new(keeper) as Box<dyn StateStore>),
                on_event: Box::new(move |event| {
                    says.record(EventSource::Member, (&who, p, event), || {
                        format!("{who} at {p} {event:?}")
                    });
                }),
            };
            let started = MemberRuntime::start(start, Listener::Simulated(door));
            if bootstraps {
                started.handle_admin_request(&AdminRequest::Bootstrap);
            }
            if let Some(load) = load {
                replication_load::start(&sim, p, &started, &load, &truth, &shelf, lasts && !fresh);
            }
            *node.borrow_mut() = Some(started);
        };
        self.sim.spawn_in(process, Box::pin(task));
    }

    fn kill(&mut self, p: usize, burnt: bool) {
        let place = &mut self.places[p];
        if !place.runs {
            return;
        }
        place.runs = false;
        self.sim.kill(place.process);
        place.node.borrow_mut().take();
        if burnt {
            place.disk.borrow_mut().take();
            *place.shelf.borrow_mut() = replication_load::DiskContents::default();
        }
    }

    /// Whether more than half of the layout's holders are there with their memories, but for that one.
    fn bears_the_loss_of(&self, p: usize) -> bool {
        let holds = |place: &Place| {
            let node = place.node.borrow().clone();
            node.is_some_and(|node| {
                node.with_member(|f| {
                    f.layout().version > 0
                        && f.layout()
                            .has_holder(&place.name, f.local().info.incarnation.storage_id)
                })
            })
        };
        let others = self
            .places
            .iter()
            .enumerate()
            .filter(|(n, place)| *n != p && place.runs && holds(place));
        others.count() > self.members / 2
    }

    fn cut(&self, a: usize, b: usize) -> bool {
        let apart = |set: &u128| (set >> (a % self.members) & 1) != (set >> (b % self.members) & 1);
        self.one_way.contains(&(a, b)) || self.halves.iter().any(apart)
    }

    /// All ways anew, as the cuts are now.
    fn ways(&self) {
        let (lose, double) = (self.scenario.lose, self.scenario.double);
        for (a, from) in self.places.iter().enumerate() {
            for (b, to) in self.places.iter().enumerate().filter(|(b, _)| *b != a) {
                self.sim.set_way(
                    from.process,
                    to.process,
                    Way {
                        cut: self.cut(a, b),
                        lose,
                        double,
                    },
                );
            }
        }
    }

    fn fault(&mut self, fault: &Fault) {
        self.sim
            .record(EventSource::Fault, fault, || format!("{fault:?}"));
        self.quiet = self.sim.time();
        match fault {
            Fault::Dies(p) => self.kill(*p, false),
            // More than half lost at once is beyond what a layout survives.
            Fault::Burns(p) if self.scenario.half_stays && !self.bears_the_loss_of(*p) => {}
            Fault::Burns(p) => self.kill(*p, true),
            Fault::Returns(p) => self.start(*p),
            Fault::Leaves(p) => {
                let node = self.places[*p].node.borrow().clone();
                if let Some(node) = node.filter(|_| !self.places[*p].stopped) {
                    let leaves = async move { node.leave() };
                    self.sim.spawn_in(self.places[*p].process, Box::pin(leaves));
                }
            }
            Fault::Stops(p, on) => {
                if self.places[*p].runs && self.places[*p].stopped != *on {
                    self.places[*p].stopped = *on;
                    self.sim.set_stopped(self.places[*p].process, *on);
                    let (now, found) = (self.sim.time(), self.found(*p));
                    let place = &mut self.places[*p];
                    let long = now - place.still > TERMS.pause_threshold() + TERMS.probe_interval;
                    place.woke = found.filter(|_| !on && long).map(|found| (now, found));
                    place.still = now;
                }
            }
            Fault::Twin(p, true) => self.start(self.members + p),
            Fault::Twin(p, false) => self.kill(self.members + p, true),
            Fault::OneWay(a, b, on) => {
                if *on {
                    self.one_way.insert((*a, *b));
                } else {
                    self.one_way.remove(&(*a, *b));
                }
                self.ways();
            }
            Fault::Halves(set, on) => {
                match self
                    .halves
                    .iter()
                    .position(|other| other == set)
                    .filter(|_| !on)
                {
                    Some(at) => drop(self.halves.swap_remove(at)),
                    None => self.halves.push(*set),
                }
                self.ways();
            }
            // Who holds what others rely on is removed only by an operator who knows that it is off.
            Fault::Removes(_, who) if self.scenario.copies.is_some() && self.places[*who].runs => {}
            Fault::Removes(p, who) => {
                let node = self.places[*p]
                    .node
                    .borrow()
                    .clone()
                    .filter(|_| !self.places[*p].stopped);
                let name = self.places[*who].name.clone();
                let said =
                    node.map(|node| node.handle_admin_request(&AdminRequest::Remove { name }));
                let done = said.as_ref().map(|said| *said == AdminResponse::Done);
                self.sim
                    .record(EventSource::Operator, done, || format!("hears {said:?}"));
            }
            Fault::Clock(p, off) => self.sim.set_clock_off(self.places[*p].process, *off),
        }
    }

    fn found(&self, p: usize) -> Option<u64> {
        let node = self.places[p].node.borrow().clone()?;
        Some(node.with_member(|fellow| fellow.counters.detected_locally))
    }

    fn breaks(&mut self, rule: u8, what: String) {
        let at = self.sim.time();
        self.broken.get_or_insert(Broken { at, rule, what });
    }

    /// What the truth has found.
    fn look_at_truth(&mut self) {
        if let Some((rule, what)) = self.truth.violation.take() {
            self.breaks(rule, what);
        }
    }

    /// How long what is wrong may last once all is quiet.
    fn bound(&self) -> Ticks {
        let both = TERMS.detection_bound(self.members) + TERMS.recovery_bound(self.members);
        if self.scenario.lose > 0.0 {
            3 * both
        } else {
            both
        }
    }

    /// Who has gone on is looked at once the instant in which it did is over: what it has found out in that one stems
    /// from the time in which it stood still.
    fn look_at_woken(&mut self) {
        let now = self.sim.time();
        for p in 0..self.places.len() {
            let Some((_, before)) = self.places[p].woke.take_if(|(at, _)| now > *at) else {
                continue;
            };
            if self.found(p).is_some_and(|found| found > before) {
                self.breaks(
                    FALSE_GONE,
                    format!("member {p} doubts others for the time in which it stood still"),
                );
            }
        }
    }

    /// What must hold, looked at from outside.
    fn look(&mut self) {
        let now = self.sim.time();
        if !self.one_way.is_empty()
            || !self.halves.is_empty()
            || self.places.iter().any(|p| p.stopped)
        {
            self.quiet = now;
        }
        // By name: the incarnations of those who take part and of those who only want to.
        let mut there: BTreeMap<String, Vec<(Incarnation, MembershipStatus)>> = BTreeMap::new();
        let nodes: Vec<(usize, Rc<MemberRuntime>)> = (0..self.places.len())
            .filter(|p| self.places[*p].runs)
            .filter_map(|p| self.places[p].node.borrow().clone().map(|node| (p, node)))
            .collect();
        for (p, node) in &nodes {
            let of = node.with_member(|f| (f.local().info.incarnation, f.status()));
            there
                .entry(self.places[*p].name.clone())
                .or_default()
                .push(of);
        }
        for (p, node) in &nodes {
            let (forks, layout) = node.with_member(|f| {
                (
                    f.counters.layout_conflicts,
                    Some(f.layout()).filter(|l| l.version > 0).cloned(),
                )
            });
            if forks > 0 {
                self.breaks(
                    FORK,
                    format!("member {p} has met two layouts of one version"),
                );
            }
            let voted = node.with_member(|f| {
                let mine = &f.local().info;
                let other = f
                    .layout()
                    .holder(&mine.name)
                    .is_some_and(|h| ![0, mine.incarnation.storage_id].contains(&h.storage_id));
                (f.counters.votes_cast, f.layout().version, other)
            });
            let before = std::mem::replace(&mut self.places[*p].voted, voted);
            if before.2 && voted.2 && before.1 == voted.1 && voted.0 > before.0 {
                self.breaks(
                    ENDED,
                    format!("member {p} votes for a memory that it has lost"),
                );
            }
            if let Some(layout) = layout {
                let (version, digest) = (layout.version, layout.digest());
                if *self.layouts.entry(version).or_insert(digest) != digest {
                    self.breaks(
                        FORK,
                        format!("member {p} goes by another layout {version} than one before"),
                    );
                }
            }
            self.look_at(now, *p, node, &there);
        }
        for (name, of) in &there {
            let many = of
                .iter()
                .filter(|(_, stand)| *stand == MembershipStatus::Active)
                .count();
            if many > 1 && now - self.quiet > self.bound() {
                self.breaks(ENDED, format!("{many} take part under the name {name}"));
            }
        }
    }

    fn look_at(
        &mut self,
        now: Ticks,
        p: usize,
        node: &Rc<MemberRuntime>,
        there: &BTreeMap<String, Vec<(Incarnation, MembershipStatus)>>,
    ) {
        let me = self.places[p].name.clone();
        let stand = node.status();
        let held: BTreeMap<String, (Incarnation, MemberStatus)> = node.with_member(|f| {
            let one = |h: &leverpoint_membership::membership_table::MemberEntry| {
                (h.update.info.incarnation, h.status())
            };
            f.table()
                .entries()
                .map(|(_, h)| (h.update.info.name.clone(), one(h)))
                .collect()
        });
        for (name, (incarnation, _)) in &held {
            let before = self.places[p]
                .believed
                .insert(name.clone(), *incarnation)
                .unwrap_or_default();
            if *incarnation < before {
                self.breaks(
                    ENDED,
                    format!("member {p} believes {name} of an incarnation that has ended"),
                );
            }
        }
        let long = now - self.quiet > self.bound();
        if stand != MembershipStatus::Active {
            let only = there[&me].len() == 1;
            let others = there
                .values()
                .flatten()
                .any(|(_, stand)| *stand == MembershipStatus::Active);
            if stand == MembershipStatus::Joining && long && only && others {
                self.breaks(APART, format!("member {p} is not taken in"));
            }
            self.wrong.retain(|(by, _), _| *by != p);
            return;
        }
        let mut names: BTreeSet<&String> = held.keys().collect();
        names.extend(there.keys());
        for name in names.into_iter().filter(|name| **name != me) {
            let of = there.get(name).map_or(&[][..], Vec::as_slice);
            let seen = held.get(name);
            let takes_part: Vec<Incarnation> = of
                .iter()
                .filter(|(_, stand)| *stand == MembershipStatus::Active)
                .map(|(i, _)| *i)
                .collect();
            let wrong = match seen {
                Some((incarnation, MemberStatus::Alive | MemberStatus::Suspect)) => {
                    !takes_part.contains(incarnation)
                }
                _ => !takes_part.is_empty(),
            };
            let pair = (p, name.clone());
            if !wrong {
                self.wrong.remove(&pair);
                continue;
            }
            let since = (*self.wrong.entry(pair).or_insert(now)).max(self.quiet);
            if now - since > self.bound() {
                let rule = if takes_part.is_empty() {
                    APART
                } else {
                    FALSE_GONE
                };
                self.breaks(
                    rule,
                    format!("member {p} sees {name} as {seen:?}, which is {of:?}"),
                );
            }
        }
    }

    /// At the end all go by one layout.
    fn settle(&mut self) {
        if self.broken.is_some() {
            return;
        }
        if self.sim.panics.get() > 0 {
            self.breaks(0, format!("{} tasks panicked", self.sim.panics.get()));
        }
        let versions: BTreeSet<u64> = self
            .places
            .iter()
            .filter_map(|place| place.node.borrow().clone())
            .filter(|node| node.status() == MembershipStatus::Active)
            .map(|node| node.with_member(|f| f.layout().version))
            .collect();
        if versions.len() > 1 && self.scenario.lose == 0.0 && self.scenario.copies.is_none() {
            self.breaks(APART, format!("layouts {versions:?} at the end"));
        }
    }
}

/// Plays a script to its end and on until all must have met again, or to the first broken rule.
pub fn play(
    scenario: &Scenario,
    script: &Script,
    seed: u64,
    base: Instant,
    traced: bool,
) -> Played {
    let sim = Sim::new(seed, base, LATENCY, traced);
    set_simulated_runtime(Some(sim.clone()));
    let members = script.members;
    let place = |p: usize| Place {
        name: format!("n{}", p % members),
        process: 1 + p,
        node: Rc::default(),
        disk: Disk::default(),
        shelf: SharedDisk::default(),
        runs: false,
        stopped: false,
        believed: BTreeMap::new(),
        still: 0,
        woke: None,
        voted: (0, 0, false),
    };
    let twins = script
        .faults
        .iter()
        .any(|(_, fault)| matches!(fault, Fault::Twin(..)));
    let mut run = Run {
        sim: sim.clone(),
        scenario: scenario.clone(),
        members,
        places: (0..if twins { 2 * members } else { members })
            .map(place)
            .collect(),
        one_way: BTreeSet::new(),
        halves: Vec::new(),
        quiet: 0,
        wrong: BTreeMap::new(),
        layouts: BTreeMap::new(),
        truth: Rc::new(Oracle::new(&sim)),
        broken: None,
    };
    sim.begin(0, Role::Client);
    run.ways();
    (0..members).for_each(|p| run.start(p));
    script
        .faults
        .iter()
        .enumerate()
        .for_each(|(n, (at, _))| sim.fault_at(*at, n, None));
    let last = script.faults.last().map_or(0, |(at, _)| *at);
    // Until all must have met, and then for the layout: one holder after the other. Copies are looked at all the time.
    let meets = run.bound() + TERMS.join_delay + TERMS.probe_interval * 3 * (members as Ticks + 8);
    let end = last
        + if scenario.copies.is_some() {
            replication_load::SETTLING_TIME
        } else {
            meets
        };
    let (mut looked, looks) = (0, LOOKS * (members as Ticks).div_euclid(10).max(1));
    while sim.step(end) {
        for fault in sim.faults() {
            run.fault(&script.faults[fault].1);
        }
        run.look_at_woken();
        if sim.time() - looked >= looks {
            looked = sim.time();
            run.look();
        }
        run.look_at_truth();
        if run.broken.is_some() {
            break;
        }
    }
    run.settle();
    let sent = |place: &Place| {
        place
            .node
            .borrow()
            .as_ref()
            .map_or(0, |node| node.connections.counters().sent)
    };
    let played = Played {
        broken: run.broken.clone(),
        steps: sim.steps.get(),
        commands: run.places.iter().map(sent).sum(),
        benefit: run.truth.request_counts().0,
        asked: run.truth.request_counts().1,
        digest: sim.digest.borrow().digest(),
        trace: sim.trace(),
        ..Played::default()
    };
    (0..run.places.len())
        .map(|p| run.places[p].process)
        .filter(|p| sim.alive(*p))
        .for_each(|p| sim.kill(p));
    drop(run);
    set_simulated_runtime(None);
    played
}
