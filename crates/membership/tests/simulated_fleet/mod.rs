//! A fleet of members on virtual time, with a network that blocks and loses messages.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use leverpoint_membership::config::DEFAULT_CONFIG;
use leverpoint_membership::{
    Action, Destination, Envelope, Incarnation, Member, MemberInfo, MemberStatus, MemberSummary,
    MembershipConfig, PersistedState, Ticks,
};

/// Parameters of the simulated fleet.
pub(crate) const CONFIG: MembershipConfig = MembershipConfig {
    max_members: 64,
    ..DEFAULT_CONFIG
};

pub(crate) fn info(name: &str, address: &str) -> MemberInfo {
    MemberInfo {
        name: name.into(),
        address: address.into(),
        zone: "a".into(),
        machine: name.into(),
        program_version: "1".into(),
        incarnation: Incarnation::default(),
    }
}

/// Processes by address, with their storage, on a network that blocks and loses messages.
pub(crate) struct Fleet {
    pub now: Ticks,
    pub processes: BTreeMap<String, Member>,
    pub disks: BTreeMap<String, PersistedState>,
    pub paused: BTreeSet<String>,
    /// Blocked links: sender, receiver.
    pub cut: BTreeSet<(String, String)>,
    pub loss: f64,
    pub persists: bool,
    pub random: Rng,
    pub in_flight: BTreeMap<(Ticks, u64), (String, String, Envelope)>,
    pub sent: u64,
    pub founders: Vec<String>,
    pub reports: Vec<String>,
}

impl Fleet {
    pub(crate) fn new(founders: &[&str]) -> Fleet {
        Fleet {
            now: 0,
            processes: BTreeMap::new(),
            disks: BTreeMap::new(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            persists: true,
            random: Rng::with_seed(7),
            in_flight: BTreeMap::new(),
            sent: 0,
            founders: founders.iter().map(|f| (*f).to_owned()).collect(),
            reports: Vec::new(),
        }
    }

    /// Starts a process with the storage of its address.
    pub(crate) fn start(&mut self, name: &str, at: &str, number: u64) {
        let mut kept = self.disks.get(at).cloned().unwrap_or_default();
        if kept.incarnation.storage_id == 0 {
            kept.incarnation.storage_id = self.random.u64(1..);
        }
        kept.incarnation.number = number.max(kept.incarnation.number + 1);
        self.disks.insert(at.into(), kept.clone());
        let seed = self.random.u64(..);
        let mut member = Member::new(self.now, info(name, at), kept, &self.founders, CONFIG, seed);
        member.set_seeds(&["p0".into(), "p1".into()]);
        self.processes.insert(at.into(), member);
    }

    pub(crate) fn perform(&mut self, at: &str, all: Vec<Action>) {
        for one in all {
            match one {
                Action::Send {
                    to: Destination { address, .. },
                    envelope,
                } => {
                    self.sent += 1;
                    let lost = self.random.f64() < self.loss;
                    if !lost && !self.cut.contains(&(at.to_owned(), address.clone())) {
                        let next_deadline = (self.now + self.random.i64(5..20), self.sent);
                        self.in_flight
                            .insert(next_deadline, (at.to_owned(), address, *envelope));
                    }
                }
                Action::Persist { sequence, state } => {
                    self.disks.insert(at.to_owned(), *state);
                    if self.persists {
                        let more = self
                            .processes
                            .get_mut(at)
                            .unwrap()
                            .on_persisted(self.now, sequence);
                        self.perform(at, more);
                    }
                }
                Action::Report(event) => self
                    .reports
                    .push(format!("{} {at} {event:?}", self.now / 10)),
            }
        }
    }

    pub(crate) fn until(&mut self, end: Ticks) {
        loop {
            let awake = |(at, _): &(&String, &Member)| !self.paused.contains(*at);
            let next_deadline = self
                .processes
                .iter()
                .filter(awake)
                .map(|(at, member)| (member.next_deadline(), at.clone()))
                .min();
            let next = self.in_flight.first_key_value().map(|((at, _), _)| *at);
            let (Some((next_deadline, at)), next) = (next_deadline, next.unwrap_or(Ticks::MAX))
            else {
                return;
            };
            if next_deadline.min(next) > end {
                break;
            }
            self.now = self.now.max(next_deadline.min(next));
            if next <= next_deadline {
                let (_, (_, to, envelope)) = self.in_flight.pop_first().unwrap();
                if self.paused.contains(&to) {
                    continue;
                }
                if let Some(member) = self.processes.get_mut(&to) {
                    let all = member.on_message(self.now, &envelope);
                    self.perform(&to, all);
                }
            } else {
                let all = self.processes.get_mut(&at).unwrap().tick(self.now);
                self.perform(&at, all);
            }
        }
        self.now = end;
    }

    pub(crate) fn run(&mut self, seconds: i64) {
        self.until(self.now + seconds * 10_000);
    }

    pub(crate) fn cut_both(&mut self, one: &[&str], other: &[&str]) {
        for a in one {
            for b in other {
                self.cut.insert(((*a).into(), (*b).into()));
                self.cut.insert(((*b).into(), (*a).into()));
            }
        }
    }

    /// Each process with its layout version and the members that it knows.
    pub(crate) fn summaries(&self) -> String {
        let one = |(at, member): (&String, &Member)| {
            let status = |l: MemberSummary| {
                format!(
                    "{}{} {:?}",
                    l.info.name,
                    if l.in_layout { "+" } else { "" },
                    l.status
                )
            };
            let summaries: Vec<_> = member
                .summaries(self.now)
                .into_iter()
                .filter(|l| !l.is_self)
                .map(status)
                .collect();
            format!(
                "{at} {:?} v{}: {}\n",
                member.status(),
                member.layout().version,
                summaries.join(", ")
            )
        };
        self.processes.iter().map(one).collect()
    }

    pub(crate) fn status(&self, at: &str, name: &str) -> Option<MemberStatus> {
        self.processes[at]
            .table()
            .find(name)
            .map(|(_, entry)| entry.status())
    }

    pub(crate) fn reports_of(&self, what: &str) -> usize {
        self.reports
            .iter()
            .filter(|line| line.contains(what))
            .count()
    }
}

pub(crate) fn fleet(many: usize, founders: usize) -> Fleet {
    let names: Vec<String> = (0..many).map(|n| format!("n{n}")).collect();
    let first: Vec<&str> = names.iter().take(founders).map(String::as_str).collect();
    let mut fleet = Fleet::new(&first);
    for (n, name) in names.iter().enumerate() {
        fleet.start(name, &format!("p{n}"), 100);
    }
    if founders > 0 {
        fleet.processes.get_mut("p0").unwrap().bootstrap().unwrap();
    }
    fleet
}
