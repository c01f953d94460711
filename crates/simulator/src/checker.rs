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
pub enum Idempotency {
    Idempotent,
    IdempotentByKey,
    NonIdempotent,
}

/// What a dispatch has come to, as its machine knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It runs or waits to, or has run.
    MayHaveExecuted,
    NeverExecuted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalResponse {
    Answered,
    Throttled,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub at: Ticks,
    pub rule: u8,
    pub description: String,
}

#[derive(Clone, Debug)]
struct Command {
    effects: Idempotency,
    gateway: usize,
    ends: Ticks,
    length: usize,
    last: Option<FinalResponse>,
    /// Machine, when it came, what it came to.
    dispatches: Vec<(usize, Ticks, ExecutionStatus)>,
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
    pub violation: Option<Violation>,
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
            violation: None,
            taken: 0,
            dispatched: 0,
        }
    }

    pub fn report_violation(&mut self, at: Ticks, rule: u8, description: String) {
        self.violation.get_or_insert(Violation {
            at,
            rule,
            description,
        });
    }

    /// A client has written a command's last byte.
    #[allow(clippy::too_many_arguments)]
    pub fn on_request_sent(
        &mut self,
        now: Ticks,
        id: &str,
        gateway: usize,
        effects: Idempotency,
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
            self.report_violation(now, 1, format!("{id} was sent twice under one id"));
        }
    }

    /// Where sessions are followed: what a read's session has been told it wrote, through any gateway.
    pub fn set_session_write_position(&mut self, id: &str, history: Option<Ticks>) {
        if let Some(command) = self.commands.get_mut(id) {
            command.history = history;
        }
    }

    /// What a command's read must see, for the machine's own check.
    pub fn required_position(&self, id: &str) -> Option<Ticks> {
        self.commands.get(id)?.owed
    }

    /// A final answer has come; the value where it is a row.
    pub fn on_response(&mut self, now: Ticks, id: &str, how: FinalResponse, value: &[u8]) {
        let Some(command) = self.commands.get_mut(id) else {
            return;
        };
        self.due
            .remove(&(command.ends + SLACK + 2 * self.latency, id.to_owned()));
        let again = command.last.replace(how).is_some();
        let ran = command
            .dispatches
            .iter()
            .any(|(.., outcome)| *outcome == ExecutionStatus::MayHaveExecuted);
        let throttled =
            how == FinalResponse::Throttled && command.effects == Idempotency::NonIdempotent && ran;
        let wrong = how == FinalResponse::Answered && value != expected_value(id, command.length);
        let unmade = how == FinalResponse::Answered && !ran;
        let missing = command
            .history
            .filter(|wrote| how == FinalResponse::Answered && command.newest < *wrote);
        let missing = missing.map(|wrote| wrote - command.newest);
        if again {
            self.report_violation(now, 1, format!("{id} was answered twice"));
        }
        if wrong || unmade {
            self.report_violation(
                now,
                1,
                format!("{id} was answered with what was not made for it"),
            );
        }
        if let Some(by) = missing {
            self.report_violation(
                now,
                5,
                format!("{id} lacks its session's write by {} ms", by / 10),
            );
        }
        if throttled {
            self.report_violation(now, 2, format!("{id} may have run and was throttled"));
        }
    }

    /// Bytes have come that belong to no command.
    pub fn on_unsolicited_bytes(&mut self, now: Ticks, gateway: usize) {
        self.report_violation(
            now,
            1,
            format!("gateway {gateway} said something nobody had asked"),
        );
    }

    /// The connection ended before the answer was whole; whether that is the gateway's doing and within the
    /// command's time is judged here. `begun`: some of the answer had come.
    pub fn on_connection_lost(&mut self, now: Ticks, id: &str, begun: bool) {
        let Some(command) = self.commands.get_mut(id) else {
            return;
        };
        self.due
            .remove(&(command.ends + SLACK + 2 * self.latency, id.to_owned()));
        let lost = begun && now < command.ends && !self.excused.contains(&command.gateway);
        if lost {
            self.report_violation(
                now,
                1,
                format!("{id} was cut off in the middle of its answer"),
            );
        }
    }

    /// Its client has gone, or its gateway is not answerable any more.
    pub fn on_request_abandoned(&mut self, id: &str) {
        if let Some(command) = self.commands.get(id) {
            self.due
                .remove(&(command.ends + SLACK + 2 * self.latency, id.to_owned()));
        }
    }

    pub fn set_gateway_exempt(&mut self, gateway: usize, excused: bool) {
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
    pub fn on_phase_announced(&mut self, now: Ticks, gateway: usize, machine: usize, wanted: bool) {
        if wanted {
            self.barred.remove(&(gateway, machine));
        } else {
            self.barred.entry((gateway, machine)).or_insert(now);
        }
    }

    /// A statement has come whole to a machine, over a connection of that gateway.
    pub fn on_dispatch(&mut self, now: Ticks, id: &str, gateway: usize, machine: usize) {
        self.dispatched += 1;
        if let Some(since) = self.barred.get(&(gateway, machine))
            && now - self.latency * 2 > since + self.grace + SLACK
        {
            let what = format!(
                "{id} went to machine {machine} {} ms after its drain was told",
                (now - since) / 10
            );
            self.report_violation(now, 3, what);
        }
        let window = self.window + SLACK;
        let Some(command) = self.commands.get_mut(id) else {
            return self.report_violation(now, 1, format!("{id} was sent by nobody"));
        };
        let ran = command
            .dispatches
            .iter()
            .filter(|(.., outcome)| *outcome == ExecutionStatus::MayHaveExecuted);
        let earliest = ran.map(|(_, at, _)| *at).min();
        let throttled = command.last == Some(FinalResponse::Throttled)
            && command.effects == Idempotency::NonIdempotent;
        command
            .dispatches
            .push((machine, now, ExecutionStatus::MayHaveExecuted));
        let late = earliest.is_some_and(|at| now - at > window);
        match command.effects {
            Idempotency::NonIdempotent if earliest.is_some() => {
                self.report_violation(now, 2, format!("{id} may have run and was sent again"));
            }
            Idempotency::IdempotentByKey if late => {
                self.report_violation(
                    now,
                    2,
                    format!("{id} was sent again after its key's window"),
                );
            }
            _ if throttled => {
                self.report_violation(now, 2, format!("{id} was throttled and came to a machine"));
            }
            _ => {}
        }
    }

    /// What the last dispatch of it to a machine has come to.
    pub fn on_execution_finished(
        &mut self,
        now: Ticks,
        id: &str,
        machine: usize,
        outcome: ExecutionStatus,
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
        if command.effects_had > 1 && command.effects != Idempotency::Idempotent {
            self.report_violation(now, 2, format!("{id} had its effect twice"));
        }
    }

    /// A row is made from data of that age for a command that may owe more.
    pub fn on_read(&mut self, now: Ticks, id: &str, position: Ticks, excused: bool) {
        if let Some(command) = self.commands.get_mut(id) {
            command.newest = command.newest.max(position);
        }
        let owed = self.commands.get(id).and_then(|c| c.owed);
        if let Some(owed) = owed.filter(|owed| position < *owed && !excused) {
            self.report_violation(
                now,
                5,
                format!(
                    "{id} read data {} ms older than it may",
                    (owed - position) / 10
                ),
            );
        }
    }

    pub fn on_cold_crash(&mut self, now: Ticks, machine: usize) {
        self.report_violation(
            now,
            4,
            format!("machine {machine} was pushed over while it was cold"),
        );
    }

    /// After each step: whether an answer is overdue.
    pub fn check_deadlines(&mut self, now: Ticks) {
        while let Some((at, _)) = self.due.first().filter(|(at, _)| *at < now) {
            let at = *at;
            let Some((_, id)) = self.due.pop_first() else {
                return;
            };
            self.report_violation(at, 1, format!("{id} has no final answer"));
        }
    }

    pub fn open_requests(&self) -> usize {
        self.due.len()
    }
}
