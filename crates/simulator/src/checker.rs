//! Owns what passed, as far as the five rules ask for it, and says which rule broke.
//!
//! It knows every value made, every effect and every dispatch in its place in time; it has no I/O and no clock. It
//! must never learn anything from the code that it checks.

use std::collections::{BTreeMap, BTreeSet};

use leverpoint_cluster_model::Ticks;
use leverpoint_test_support::values::expected_value;

/// A time limit on a network is so much longer than its letter.
const SLACK: Ticks = 500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effects {
    Replayable,
    Keyed,
    Mutating,
}

/// What a dispatch has come to, as its machine knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It runs or waits to, or has run.
    MayHave,
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Final {
    Answered,
    Throttled,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub at: Ticks,
    pub rule: u8,
    pub what: String,
}

#[derive(Clone, Debug)]
struct Command {
    effects: Effects,
    gateway: usize,
    ends: Ticks,
    length: usize,
    last: Option<Final>,
    /// Machine, when it came, what it came to.
    dispatches: Vec<(usize, Ticks, Outcome)>,
    effects_had: u32,
    /// What a read must see.
    owed: Option<Ticks>,
    /// What its session has written, wherever, and the newest state that a row of it was made from.
    history: Option<Ticks>,
    newest: Ticks,
}

pub struct Checker {
    window: Ticks,
    grace: Ticks,
    latency: Ticks,
    commands: BTreeMap<String, Command>,
    /// Commands without a final answer, by when it is due at the latest.
    due: BTreeSet<(Ticks, String)>,
    /// By gateway and machine: since when it is told that nothing new may go there.
    barred: BTreeMap<(usize, usize), Ticks>,
    /// Gateways that are not answerable just now: killed, or cut off.
    excused: BTreeSet<usize>,
    pub broken: Option<Broken>,
    pub taken: u64,
    pub dispatched: u64,
}

impl Checker {
    pub fn new(window: Ticks, grace: Ticks, latency: Ticks) -> Checker {
        Checker {
            window,
            grace,
            latency,
            commands: BTreeMap::new(),
            due: BTreeSet::new(),
            barred: BTreeMap::new(),
            excused: BTreeSet::new(),
            broken: None,
            taken: 0,
            dispatched: 0,
        }
    }

    pub fn breaks(&mut self, at: Ticks, rule: u8, what: String) {
        self.broken.get_or_insert(Broken { at, rule, what });
    }

    /// A client has written a command's last byte.
    #[allow(clippy::too_many_arguments)]
    pub fn sent(
        &mut self,
        now: Ticks,
        id: &str,
        gateway: usize,
        effects: Effects,
        ends: Ticks,
        length: usize,
        owed: Option<Ticks>,
    ) {
        self.taken += 1;
        self.due
            .insert((ends + SLACK + 2 * self.latency, id.to_owned()));
        let command = Command {
            effects,
            gateway,
            ends,
            length,
            last: None,
            dispatches: Vec::new(),
            effects_had: 0,
            owed,
            history: None,
            newest: 0,
        };
        if self.commands.insert(id.to_owned(), command).is_some() {
            self.breaks(now, 1, format!("{id} was sent twice under one id"));
        }
    }

    /// Where sessions are followed: what a read's session has been told it wrote, through any gateway.
    pub fn follows(&mut self, id: &str, history: Option<Ticks>) {
        if let Some(command) = self.commands.get_mut(id) {
            command.history = history;
        }
    }

    /// What a command's read must see, for the machine's own check.
    pub fn owed(&self, id: &str) -> Option<Ticks> {
        self.commands.get(id)?.owed
    }

    /// A final answer has come; the value where it is a row.
    pub fn answered(&mut self, now: Ticks, id: &str, how: Final, value: &[u8]) {
        let Some(command) = self.commands.get_mut(id) else {
            return;
        };
        self.due
            .remove(&(command.ends + SLACK + 2 * self.latency, id.to_owned()));
        let again = command.last.replace(how).is_some();
        let ran = command
            .dispatches
            .iter()
            .any(|(.., outcome)| *outcome == Outcome::MayHave);
        let throttled = how == Final::Throttled && command.effects == Effects::Mutating && ran;
        let wrong = how == Final::Answered && value != expected_value(id, command.length);
        let unmade = how == Final::Answered && !ran;
        let missing = command
            .history
            .filter(|wrote| how == Final::Answered && command.newest < *wrote);
        let missing = missing.map(|wrote| wrote - command.newest);
        if again {
            self.breaks(now, 1, format!("{id} was answered twice"));
        }
        if wrong || unmade {
            self.breaks(
                now,
                1,
                format!("{id} was answered with what was not made for it"),
            );
        }
        if let Some(by) = missing {
            self.breaks(
                now,
                5,
                format!("{id} lacks its session's write by {} ms", by / 10),
            );
        }
        if throttled {
            self.breaks(now, 2, format!("{id} may have run and was throttled"));
        }
    }

    /// Bytes have come that belong to no command.
    pub fn unasked(&mut self, now: Ticks, gateway: usize) {
        self.breaks(
            now,
            1,
            format!("gateway {gateway} said something nobody had asked"),
        );
    }

    /// The connection ended before the answer was whole; whether that is the gateway's doing and within the
    /// command's time is judged here. `begun`: some of the answer had come.
    pub fn cut(&mut self, now: Ticks, id: &str, begun: bool) {
        let Some(command) = self.commands.get_mut(id) else {
            return;
        };
        self.due
            .remove(&(command.ends + SLACK + 2 * self.latency, id.to_owned()));
        let lost = begun && now < command.ends && !self.excused.contains(&command.gateway);
        if lost {
            self.breaks(
                now,
                1,
                format!("{id} was cut off in the middle of its answer"),
            );
        }
    }

    /// Its client has gone, or its gateway is not answerable any more.
    pub fn released(&mut self, id: &str) {
        if let Some(command) = self.commands.get(id) {
            self.due
                .remove(&(command.ends + SLACK + 2 * self.latency, id.to_owned()));
        }
    }

    pub fn excuse(&mut self, gateway: usize, excused: bool) {
        if excused {
            self.excused.insert(gateway);
            let commands = &self.commands;
            self.due.retain(|(_, id)| commands[id].gateway != gateway);
            self.barred.retain(|(g, _), _| *g != gateway);
        } else {
            self.excused.remove(&gateway);
        }
    }

    /// A gateway has been told of a machine's phase.
    pub fn told(&mut self, now: Ticks, gateway: usize, machine: usize, wanted: bool) {
        if wanted {
            self.barred.remove(&(gateway, machine));
        } else {
            self.barred.entry((gateway, machine)).or_insert(now);
        }
    }

    /// A statement has come whole to a machine, over a connection of that gateway.
    pub fn came(&mut self, now: Ticks, id: &str, gateway: usize, machine: usize) {
        self.dispatched += 1;
        if let Some(since) = self.barred.get(&(gateway, machine))
            && now - self.latency * 2 > since + self.grace + SLACK
        {
            let what = format!(
                "{id} went to machine {machine} {} ms after its drain was told",
                (now - since) / 10
            );
            self.breaks(now, 3, what);
        }
        let window = self.window + SLACK;
        let Some(command) = self.commands.get_mut(id) else {
            return self.breaks(now, 1, format!("{id} was sent by nobody"));
        };
        let ran = command
            .dispatches
            .iter()
            .filter(|(.., outcome)| *outcome == Outcome::MayHave);
        let earliest = ran.map(|(_, at, _)| *at).min();
        let throttled =
            command.last == Some(Final::Throttled) && command.effects == Effects::Mutating;
        command.dispatches.push((machine, now, Outcome::MayHave));
        let late = earliest.is_some_and(|at| now - at > window);
        match command.effects {
            Effects::Mutating if earliest.is_some() => {
                self.breaks(now, 2, format!("{id} may have run and was sent again"));
            }
            Effects::Keyed if late => {
                self.breaks(
                    now,
                    2,
                    format!("{id} was sent again after its key's window"),
                );
            }
            _ if throttled => {
                self.breaks(now, 2, format!("{id} was throttled and came to a machine"));
            }
            _ => {}
        }
    }

    /// What the last dispatch of it to a machine has come to.
    pub fn came_to(
        &mut self,
        now: Ticks,
        id: &str,
        machine: usize,
        outcome: Outcome,
        effect: bool,
    ) {
        let Some(command) = self.commands.get_mut(id) else {
            return;
        };
        if let Some(last) = command
            .dispatches
            .iter_mut()
            .rev()
            .find(|(m, ..)| *m == machine)
        {
            last.2 = outcome;
        }
        command.effects_had += u32::from(effect);
        if command.effects_had > 1 && command.effects != Effects::Replayable {
            self.breaks(now, 2, format!("{id} had its effect twice"));
        }
    }

    /// A row is made from data of that age for a command that may owe more.
    pub fn read(&mut self, now: Ticks, id: &str, position: Ticks, excused: bool) {
        if let Some(command) = self.commands.get_mut(id) {
            command.newest = command.newest.max(position);
        }
        let owed = self.commands.get(id).and_then(|c| c.owed);
        if let Some(owed) = owed.filter(|owed| position < *owed && !excused) {
            self.breaks(
                now,
                5,
                format!(
                    "{id} read data {} ms older than it may",
                    (owed - position) / 10
                ),
            );
        }
    }

    pub fn fell(&mut self, now: Ticks, machine: usize) {
        self.breaks(
            now,
            4,
            format!("machine {machine} was pushed over while it was cold"),
        );
    }

    /// After each step: whether an answer is overdue.
    pub fn step(&mut self, now: Ticks) {
        while let Some((at, _)) = self.due.first().filter(|(at, _)| *at < now) {
            let at = *at;
            let Some((_, id)) = self.due.pop_first() else {
                return;
            };
            self.breaks(at, 1, format!("{id} has no final answer"));
        }
    }

    pub fn open(&self) -> usize {
        self.due.len()
    }
}
