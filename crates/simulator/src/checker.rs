//! Checks the five rules of the gateway against a history of requests, dispatches, executions and responses.
//!
//! 1. Every request gets exactly one final response by its deadline; the value of an answer was produced for it.
//! 2. A request that must not run twice is not dispatched again once it may have been executed, or once its client was
//!    told that it was throttled, and it is not throttled once it may have been executed; a request with an idempotency
//!    key is dispatched again only within its deduplication window.
//! 3. No request is dispatched to a server later than the grace period after its gateway learned that the server is
//!    draining or removed.
//! 4. No server is overloaded during its cold start.
//! 5. A read sees data that is at least as recent as its request class and its session require.
//!
//! Rule 0 stands for failures of the run itself: panicked tasks and resources that are still held at its end.
//!
//! The checker has no I/O and no clock: the simulated clients, servers and agents report each event with its time.
//!
//! # Invariants
//!
//! Nothing here comes from the code under test, which could otherwise hide its own faults.

use std::collections::{BTreeMap, BTreeSet};

use leverpoint_cluster_model::Ticks;
use leverpoint_test_support::values::expected_value;

/// Added to every time limit, in ticks, as events take time to cross the network.
const DEADLINE_SLACK: Ticks = 500;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Servers drop a retry with the same key within the deduplication window.
    IdempotentByKey,
    NonIdempotent,
}

/// Whether a dispatched request was executed, as its server knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It is queued, is being executed or was executed.
    MayHaveExecuted,
    NeverExecuted,
}

/// The final response to a request, as its client classified it. The digest covers these by their order here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalResponse {
    Answered,
    Throttled,
    Failed,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Time since the start of the run.
    pub at: Ticks,
    /// From 1 to 5, in the order of the module's documentation, or 0 for a failure of the run itself. Scenarios of
    /// members count their own rules on from there.
    pub rule: u8,
    pub description: String,
}

#[derive(Clone, Debug)]
struct SentRequest {
    idempotency: Idempotency,
    gateway: usize,
    deadline: Ticks,
    value_length: usize,
    final_response: Option<FinalResponse>,
    /// Server, time of arrival there, and execution status.
    dispatches: Vec<(usize, Ticks, ExecutionStatus)>,
    executions: u32,
    /// The position that a read has to reach.
    required_position: Option<Ticks>,
    /// The position of the session's last acknowledged write through any gateway, if sessions are followed.
    session_write_position: Option<Ticks>,
    /// The newest position that a server produced a row of this request at.
    newest_read: Ticks,
}

/// Records the history of a run and keeps the first violation of a rule.
pub struct Checker {
    deduplication_window: Ticks,
    drain_grace: Ticks,
    /// Longest one-way network latency.
    max_latency: Ticks,
    requests: BTreeMap<String, SentRequest>,
    /// Requests without a final response, by their deadline plus the allowance for the network.
    due: BTreeSet<(Ticks, String)>,
    /// By gateway and server: when the gateway's agent learned that the server takes no new requests.
    draining_since: BTreeMap<(usize, usize), Ticks>,
    /// Gateways whose missing or cut responses are no violation, as they were killed and have not started again.
    exempt_gateways: BTreeSet<usize>,
    /// The first one found; later ones are dropped.
    pub violation: Option<Violation>,
    pub sent_requests: u64,
    pub dispatch_count: u64,
}

impl Checker {
    pub fn new(deduplication_window: Ticks, drain_grace: Ticks, max_latency: Ticks) -> Checker {
        Checker {
            deduplication_window,
            drain_grace,
            max_latency,
            requests: BTreeMap::new(),
            due: BTreeSet::new(),
            draining_since: BTreeMap::new(),
            exempt_gateways: BTreeSet::new(),
            violation: None,
            sent_requests: 0,
            dispatch_count: 0,
        }
    }

    /// Keeps a violation unless there is an earlier one.
    pub fn report_violation(&mut self, at: Ticks, rule: u8, description: String) {
        self.violation.get_or_insert(Violation {
            at,
            rule,
            description,
        });
    }

    /// A client has written the last byte of a request, to be answered by `deadline` with `value_length` bytes.
    #[allow(clippy::too_many_arguments)]
    pub fn on_request_sent(
        &mut self,
        now: Ticks,
        id: &str,
        gateway: usize,
        idempotency: Idempotency,
        deadline: Ticks,
        value_length: usize,
        required_position: Option<Ticks>,
    ) {
        self.sent_requests += 1;
        self.due.insert((
            deadline + DEADLINE_SLACK + 2 * self.max_latency,
            id.to_owned(),
        ));
        let request = SentRequest {
            idempotency,
            gateway,
            deadline,
            value_length,
            final_response: None,
            dispatches: Vec::new(),
            executions: 0,
            required_position,
            session_write_position: None,
            newest_read: 0,
        };
        if self.requests.insert(id.to_owned(), request).is_some() {
            self.report_violation(now, 1, format!("{id} was used for two requests"));
        }
    }

    /// Sets the position of the last write that the read's session got an acknowledgement for, through any gateway.
    /// Called only in scenarios where sessions are followed.
    pub fn set_session_write_position(&mut self, id: &str, session_write_position: Option<Ticks>) {
        if let Some(request) = self.requests.get_mut(id) {
            request.session_write_position = session_write_position;
        }
    }

    /// The position that a read has to reach, for the server's own check.
    pub fn required_position(&self, id: &str) -> Option<Ticks> {
        self.requests.get(id)?.required_position
    }

    /// A final response has arrived. `value` is the value of its row, empty if there is none.
    pub fn on_response(&mut self, now: Ticks, id: &str, response: FinalResponse, value: &[u8]) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        self.due.remove(&(
            request.deadline + DEADLINE_SLACK + 2 * self.max_latency,
            id.to_owned(),
        ));
        let is_duplicate = request.final_response.replace(response).is_some();
        let may_have_executed = request
            .dispatches
            .iter()
            .any(|(.., status)| *status == ExecutionStatus::MayHaveExecuted);
        let throttled_after_execution = response == FinalResponse::Throttled
            && request.idempotency == Idempotency::NonIdempotent
            && may_have_executed;
        let is_wrong_value = response == FinalResponse::Answered
            && value != expected_value(id, request.value_length);
        let never_executed = response == FinalResponse::Answered && !may_have_executed;
        let lag = request
            .session_write_position
            .filter(|wrote| response == FinalResponse::Answered && request.newest_read < *wrote);
        let lag = lag.map(|wrote| wrote - request.newest_read);
        if is_duplicate {
            self.report_violation(now, 1, format!("{id} was answered twice"));
        }
        if is_wrong_value || never_executed {
            self.report_violation(
                now,
                1,
                format!("{id} was answered with a value that was not produced for it"),
            );
        }
        if let Some(lag) = lag {
            self.report_violation(
                now,
                5,
                format!(
                    "{id} read data {} ms older than its session's last write",
                    lag / 10
                ),
            );
        }
        if throttled_after_execution {
            self.report_violation(
                now,
                2,
                format!("{id} may have been executed and was throttled"),
            );
        }
    }

    /// Bytes have arrived on a connection without an open request.
    pub fn on_unsolicited_bytes(&mut self, now: Ticks, gateway: usize) {
        self.report_violation(
            now,
            1,
            format!("gateway {gateway} sent bytes that answer no request"),
        );
    }

    /// The connection closed before the response was complete.
    ///
    /// It is a violation if part of the response had arrived (`response_begun`), the deadline has not passed and the
    /// gateway is not exempt.
    pub fn on_connection_lost(&mut self, now: Ticks, id: &str, response_begun: bool) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        self.due.remove(&(
            request.deadline + DEADLINE_SLACK + 2 * self.max_latency,
            id.to_owned(),
        ));
        let truncated = response_begun
            && now < request.deadline
            && !self.exempt_gateways.contains(&request.gateway);
        if truncated {
            self.report_violation(
                now,
                1,
                format!("{id} lost its connection in the middle of its response"),
            );
        }
    }

    /// No response is expected any more: the client has closed its connection.
    pub fn on_request_abandoned(&mut self, id: &str) {
        if let Some(request) = self.requests.get(id) {
            self.due.remove(&(
                request.deadline + DEADLINE_SLACK + 2 * self.max_latency,
                id.to_owned(),
            ));
        }
    }

    /// Exempts a killed gateway from rules 1 and 3, or ends the exemption when it starts again.
    ///
    /// Exempting a gateway also forgets its open requests and the drains that were announced to it.
    pub fn set_gateway_exempt(&mut self, gateway: usize, exempt: bool) {
        if exempt {
            self.exempt_gateways.insert(gateway);
            let requests = &self.requests;
            self.due.retain(|(_, id)| requests[id].gateway != gateway);
            self.draining_since.retain(|(g, _), _| *g != gateway);
        } else {
            self.exempt_gateways.remove(&gateway);
        }
    }

    /// A gateway's agent has learned the phase of a server; `is_up` if new requests may go there.
    pub fn on_phase_announced(&mut self, now: Ticks, gateway: usize, server: usize, is_up: bool) {
        if is_up {
            self.draining_since.remove(&(gateway, server));
        } else {
            self.draining_since.entry((gateway, server)).or_insert(now);
        }
    }

    /// A complete statement has arrived at a server, over a connection of that gateway.
    pub fn on_dispatch(&mut self, now: Ticks, id: &str, gateway: usize, server: usize) {
        self.dispatch_count += 1;
        if let Some(since) = self.draining_since.get(&(gateway, server))
            && now - self.max_latency * 2 > since + self.drain_grace + DEADLINE_SLACK
        {
            let description = format!(
                "{id} was dispatched to server {server} {} ms after its drain was announced",
                (now - since) / 10
            );
            self.report_violation(now, 3, description);
        }
        let window = self.deduplication_window + DEADLINE_SLACK;
        let Some(request) = self.requests.get_mut(id) else {
            return self.report_violation(
                now,
                1,
                format!("{id} was dispatched but never sent by a client"),
            );
        };
        let possible_executions = request
            .dispatches
            .iter()
            .filter(|(.., status)| *status == ExecutionStatus::MayHaveExecuted);
        let earliest = possible_executions.map(|(_, at, _)| *at).min();
        let was_throttled = request.final_response == Some(FinalResponse::Throttled)
            && request.idempotency == Idempotency::NonIdempotent;
        request
            .dispatches
            .push((server, now, ExecutionStatus::MayHaveExecuted));
        let window_elapsed = earliest.is_some_and(|at| now - at > window);
        match request.idempotency {
            Idempotency::NonIdempotent if earliest.is_some() => {
                self.report_violation(
                    now,
                    2,
                    format!("{id} may have been executed and was dispatched again"),
                );
            }
            Idempotency::IdempotentByKey if window_elapsed => {
                self.report_violation(
                    now,
                    2,
                    format!("{id} was dispatched again after its deduplication window"),
                );
            }
            _ if was_throttled => {
                self.report_violation(
                    now,
                    2,
                    format!("{id} was throttled and dispatched to a server"),
                );
            }
            _ => {}
        }
    }

    /// The server has finished with the last dispatch of the request to it. `effect`: a write took effect.
    pub fn on_execution_finished(
        &mut self,
        now: Ticks,
        id: &str,
        server: usize,
        status: ExecutionStatus,
        effect: bool,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(dispatch) = request
            .dispatches
            .iter_mut()
            .rev()
            .find(|(dispatched_to, ..)| *dispatched_to == server)
        {
            dispatch.2 = status;
        }
        request.executions += u32::from(effect);
        if request.executions > 1 && request.idempotency != Idempotency::Idempotent {
            self.report_violation(now, 2, format!("{id} took effect twice"));
        }
    }

    /// A server has produced a row for the request from data of that position. `exempt`: the server's position is not
    /// held against the request, as it is or has been a primary.
    pub fn on_read(&mut self, now: Ticks, id: &str, position: Ticks, exempt: bool) {
        if let Some(request) = self.requests.get_mut(id) {
            request.newest_read = request.newest_read.max(position);
        }
        let required_position = self
            .requests
            .get(id)
            .and_then(|request| request.required_position);
        if let Some(required_position) =
            required_position.filter(|required_position| position < *required_position && !exempt)
        {
            self.report_violation(
                now,
                5,
                format!(
                    "{id} read data {} ms older than required",
                    (required_position - position) / 10
                ),
            );
        }
    }

    /// A server has crashed from overload during its cold start.
    pub fn on_cold_crash(&mut self, now: Ticks, server: usize) {
        self.report_violation(
            now,
            4,
            format!("server {server} was overloaded during its cold start"),
        );
    }

    /// Reports requests whose final response is overdue. Called after each step of the simulation.
    pub fn check_deadlines(&mut self, now: Ticks) {
        while let Some((at, _)) = self.due.first().filter(|(at, _)| *at < now) {
            let at = *at;
            let Some((_, id)) = self.due.pop_first() else {
                return;
            };
            self.report_violation(at, 1, format!("{id} has no final response"));
        }
    }

    /// Requests without a final response.
    pub fn open_requests(&self) -> usize {
        self.due.len()
    }
}
