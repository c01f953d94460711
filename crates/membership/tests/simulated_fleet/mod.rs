//! A fleet of members on virtual time, with a network that blocks and loses messages.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use leverpoint_membership::config::DEFAULT_CONFIG;
use leverpoint_membership::{
    Action, Destination, Envelope, Incarnation, Member, MemberInfo, MemberStatus, MemberSummary,
    MembershipConfig, PersistedState, Ticks,
};

/// The default parameters, with a smaller membership table.
pub(crate) const CONFIG: MembershipConfig = MembershipConfig {
    max_members: 64,
    ..DEFAULT_CONFIG
};

/// Describes a member in zone `a` on a machine of its own.
pub(crate) fn member_info(name: &str, address: &str) -> MemberInfo {
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
    /// Running processes, paused ones included, by address.
    pub processes: BTreeMap<String, Member>,
    /// The state that each process has persisted, by address; it outlives the process.
    pub disks: BTreeMap<String, PersistedState>,
    /// Addresses of processes that neither run nor receive messages.
    pub paused: BTreeSet<String>,
    /// Links, each as sender and receiver address, that drop all messages.
    pub blocked_links: BTreeSet<(String, String)>,
    /// Share of the messages that is lost, from 0 to 1.
    pub loss_rate: f64,
    /// Whether requests to persist are completed; otherwise they stay pending.
    pub persist_completes: bool,
    pub random: Rng,
    /// Messages by delivery time and number, each with sender, receiver and content.
    pub in_flight: BTreeMap<(Ticks, u64), (String, String, Envelope)>,
    pub messages_sent: u64,
    pub founders: Vec<String>,
    /// Events in order of time: milliseconds, address, event.
    pub reports: Vec<String>,
}

impl Fleet {
    pub(crate) fn new(founders: &[&str]) -> Fleet {
        Fleet {
            now: 0,
            processes: BTreeMap::new(),
            disks: BTreeMap::new(),
            paused: BTreeSet::new(),
            blocked_links: BTreeSet::new(),
            loss_rate: 0.0,
            persist_completes: true,
            random: Rng::with_seed(7),
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            founders: founders.iter().map(|name| (*name).to_owned()).collect(),
            reports: Vec::new(),
        }
    }

    /// Starts a process with the storage of its address, or with new storage if there is none.
    ///
    /// Its incarnation number is `number`, or one above the persisted one if that is higher.
    pub(crate) fn start(&mut self, name: &str, address: &str, number: u64) {
        let mut persisted = self.disks.get(address).cloned().unwrap_or_default();
        if persisted.incarnation.storage_id == 0 {
            persisted.incarnation.storage_id = self.random.u64(1..);
        }
        persisted.incarnation.number = number.max(persisted.incarnation.number + 1);
        self.disks.insert(address.into(), persisted.clone());
        let seed = self.random.u64(..);
        let mut member = Member::new(
            self.now,
            member_info(name, address),
            persisted,
            &self.founders,
            CONFIG,
            seed,
        );
        member.set_seeds(&["p0".into(), "p1".into()]);
        self.processes.insert(address.into(), member);
    }

    /// Carries out the actions of the process at `sender`.
    pub(crate) fn perform_actions(&mut self, sender: &str, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    to: Destination { address, .. },
                    envelope,
                } => {
                    self.messages_sent += 1;
                    let lost = self.random.f64() < self.loss_rate;
                    if !lost
                        && !self
                            .blocked_links
                            .contains(&(sender.to_owned(), address.clone()))
                    {
                        let delivery_key = (self.now + self.random.i64(5..20), self.messages_sent);
                        self.in_flight
                            .insert(delivery_key, (sender.to_owned(), address, *envelope));
                    }
                }
                Action::Persist { sequence, state } => {
                    self.disks.insert(sender.to_owned(), *state);
                    if self.persist_completes {
                        let further_actions = self
                            .processes
                            .get_mut(sender)
                            .unwrap()
                            .on_persisted(self.now, sequence);
                        self.perform_actions(sender, further_actions);
                    }
                }
                Action::Report(event) => self
                    .reports
                    .push(format!("{} {sender} {event:?}", self.now / 10)),
            }
        }
    }

    /// Runs the fleet up to the time `end`: delivers messages and calls `tick` at each deadline.
    pub(crate) fn run_until(&mut self, end: Ticks) {
        loop {
            let is_running = |(address, _): &(&String, &Member)| !self.paused.contains(*address);
            let next_deadline = self
                .processes
                .iter()
                .filter(is_running)
                .map(|(address, member)| (member.next_deadline(), address.clone()))
                .min();
            let next_delivery = self
                .in_flight
                .first_key_value()
                .map(|((delivered_at, _), _)| *delivered_at);
            let (Some((next_deadline, address)), next_delivery) =
                (next_deadline, next_delivery.unwrap_or(Ticks::MAX))
            else {
                return;
            };
            if next_deadline.min(next_delivery) > end {
                break;
            }
            self.now = self.now.max(next_deadline.min(next_delivery));
            if next_delivery <= next_deadline {
                let (_, (_, to, envelope)) = self.in_flight.pop_first().unwrap();
                if self.paused.contains(&to) {
                    continue;
                }
                if let Some(member) = self.processes.get_mut(&to) {
                    let actions = member.on_message(self.now, &envelope);
                    self.perform_actions(&to, actions);
                }
            } else {
                let actions = self.processes.get_mut(&address).unwrap().tick(self.now);
                self.perform_actions(&address, actions);
            }
        }
        self.now = end;
    }

    pub(crate) fn run_seconds(&mut self, seconds: i64) {
        self.run_until(self.now + seconds * 10_000);
    }

    /// Blocks all links between two groups of addresses, in both directions.
    pub(crate) fn block_both_ways(&mut self, one: &[&str], other: &[&str]) {
        for first in one {
            for second in other {
                self.blocked_links
                    .insert(((*first).into(), (*second).into()));
                self.blocked_links
                    .insert(((*second).into(), (*first).into()));
            }
        }
    }

    /// One line for each process: its status, its layout version and the members that it knows, holders marked by `+`.
    pub(crate) fn describe(&self) -> String {
        let describe_process = |(address, member): (&String, &Member)| {
            let describe_member = |summary: MemberSummary| {
                format!(
                    "{}{} {:?}",
                    summary.info.name,
                    if summary.in_layout { "+" } else { "" },
                    summary.status
                )
            };
            let summaries: Vec<_> = member
                .summaries(self.now)
                .into_iter()
                .filter(|summary| !summary.is_self)
                .map(describe_member)
                .collect();
            format!(
                "{address} {:?} v{}: {}\n",
                member.status(),
                member.layout().version,
                summaries.join(", ")
            )
        };
        self.processes.iter().map(describe_process).collect()
    }

    /// The status of the member `name` as the process at `address` sees it.
    pub(crate) fn status_seen_by(&self, address: &str, name: &str) -> Option<MemberStatus> {
        self.processes[address]
            .table()
            .find(name)
            .map(|(_, entry)| entry.status())
    }

    /// Number of reported events whose line contains `text`.
    pub(crate) fn count_reports(&self, text: &str) -> usize {
        self.reports
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }
}

/// Starts the members `n0`, `n1`, ... at the addresses `p0`, `p1`, ..., the first of them founders, and requests the
/// bootstrap at `p0` if there are founders.
pub(crate) fn start_fleet(members: usize, founders: usize) -> Fleet {
    let names: Vec<String> = (0..members).map(|n| format!("n{n}")).collect();
    let founder_names: Vec<&str> = names.iter().take(founders).map(String::as_str).collect();
    let mut fleet = Fleet::new(&founder_names);
    for (n, name) in names.iter().enumerate() {
        fleet.start(name, &format!("p{n}"), 100);
    }
    if founders > 0 {
        fleet.processes.get_mut("p0").unwrap().bootstrap().unwrap();
    }
    fleet
}
