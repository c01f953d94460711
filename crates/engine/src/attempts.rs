//! The engine's handling of attempts: starts them, records their outcomes and delivers final answers.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use leverpoint_config::settings::{ceil_ticks, floor_ticks};
use leverpoint_routing::api::{AttemptOutcome, FinishedAttempt, ServerReport, Ticks};
use leverpoint_runtime::failpoint_active;
use tokio::sync::Notify;

use crate::attempt::{Attempt, AttemptKind, AttemptRequest, AttemptServer, ReportedParameters};
use crate::diagnostics::{WithdrawnStatement, WrittenStatement};
use crate::engine::{AttemptReport, Engine};
use crate::metrics::increment;
use crate::replicated_state::WriteOutcome;
use crate::request::FinalAnswer;
use crate::request_table::OpenRequest;

/// Largest plausible lead of a reported position over this gateway's clock, in milliseconds. It exceeds the skew of any
/// clock.
const MAX_CLOCK_DIFFERENCE_MS: f64 = 60_000.0;

/// Placeholder for an unknown address; an attempt with it is never executed.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

impl Engine {
    /// Starts an attempt of a request, unless the request is gone. Its statement must arrive whole by `arrive_by`.
    pub(crate) fn start_attempt(
        self: &Rc<Self>,
        request: usize,
        server: usize,
        timeout: Ticks,
        arrive_by: Ticks,
    ) {
        let mut requests = self.requests.borrow_mut();
        let Some(open) = requests.get_mut(request) else {
            return;
        };
        open.usage.attempts_in_flight += 1;
        let (number, cancelled) = open.attempts.start();
        let attempt_request = AttemptRequest {
            statement: open.statement.clone(),
            client: open.client.clone(),
            session: open.session,
            end_signals: open.end_signals.clone(),
            arrive_by,
        };
        drop(requests);
        let kind = AttemptKind::Request { request, number };
        self.execute(kind, server, timeout, Some(attempt_request), cancelled);
    }

    /// Starts a probe of a server, which may take as long as opening a connection.
    pub(crate) fn start_probe(self: &Rc<Self>, server: usize) {
        let timeout = self.settings.connect_timeout;
        self.execute(AttemptKind::Probe, server, timeout, None, Rc::default());
    }

    fn execute(
        self: &Rc<Self>,
        kind: AttemptKind,
        server: usize,
        timeout: Ticks,
        request: Option<AttemptRequest>,
        cancelled: Rc<Notify>,
    ) {
        let address = self.endpoints.address(server);
        let server = AttemptServer {
            index: server,
            address: address.unwrap_or(UNKNOWN_ADDRESS),
            replacements: self.endpoints.replacements(server).unwrap_or_default(),
        };
        let mut attempt = Attempt::new(self.clone(), kind, server, timeout, request, cancelled);
        self.metrics.on_attempt_started();
        match (address, self.executor()) {
            (Some(_), Some(executor)) => executor.execute(attempt),
            _ => attempt.report(AttemptOutcome::NotSent, None),
        }
    }

    /// Records an attempt's outcome and returns it for the router; none if the request is gone.
    pub(crate) fn record_finished(
        &self,
        report: &AttemptReport,
        now: Ticks,
    ) -> Option<FinishedAttempt> {
        let mut requests = self.requests.borrow_mut();
        let open = requests.get_mut(report.request)?;
        let answered = report.outcome == AttemptOutcome::Answered;
        open.usage.attempts_in_flight -= 1;
        open.attempts.finish(report.number);
        self.diagnostics
            .on_attempt_finished(&self.log, now, open, report);
        if answered {
            open.mark_finished();
        }
        let usage = open.usage;
        let server_report = self
            .server_report(report.reported, usage.write && answered)
            .filter(|_| !(usage.write && failpoint_active("token-forgotten")));
        if let (Some(sessions), Some(session)) = (&self.session_consistency, &open.session) {
            sessions.on_attempt_finished(session, now, report.outcome, server_report);
        }
        open.possibly_executed |= !report.outcome.never_executed();
        let answered_write = if answered && usage.write {
            open.write_ticket.take()
        } else {
            None
        };
        self.finish_write(answered_write, now, server_report);
        requests
            .sessions
            .on_attempt_finished(&usage, report.outcome, server_report);
        Some(FinishedAttempt {
            request: report.request,
            attempt: report.number,
            server: report.server,
            outcome: report.outcome,
            elapsed: report.elapsed,
            request_finished: usage.finished,
            report: server_report,
        })
    }

    /// Records that the statement of a request's attempt was written whole.
    pub(crate) fn on_statement_written(&self, request: usize, written: &WrittenStatement) {
        let mut requests = self.requests.borrow_mut();
        if let Some(open) = requests.get_mut(request) {
            self.diagnostics
                .on_statement_written(&self.log, self.clock.now(), open, written);
        }
    }

    /// Records that the statement of a request's attempt is withdrawn from its server.
    pub(crate) fn on_statement_withdrawn(&self, request: usize, withdrawn: &WithdrawnStatement) {
        let mut requests = self.requests.borrow_mut();
        if let Some(open) = requests.get_mut(request) {
            self.diagnostics
                .on_statement_withdrawn(&self.log, self.clock.now(), open, withdrawn);
        }
    }

    /// Marks the request of a disconnected client as finished; returns none if it was finished already.
    pub(crate) fn close_disconnected(&self, request: usize) -> Option<()> {
        let mut requests = self.requests.borrow_mut();
        let open = requests.get_mut(request)?;
        if open.usage.finished {
            return None;
        }
        open.mark_finished();
        open.end_signals.client_left.set();
        open.answer_sender = None;
        self.metrics.on_client_disconnected();
        Some(())
    }

    /// Reports the outcome of an answered write to its replica holders.
    fn finish_write(&self, ticket: Option<u64>, now: Ticks, report: Option<ServerReport>) {
        let (Some(replicated_state), Some(ticket)) = (self.replicated_state(), ticket) else {
            return;
        };
        let position = report.and_then(|report| report.position);
        let outcome =
            position.map_or_else(|| self.possibly_executed(now), WriteOutcome::Acknowledged);
        replicated_state.finish_write(ticket, outcome);
    }

    /// Returns the outcome of a write that may have been executed, with a position that covers all its effects up to
    /// now.
    fn possibly_executed(&self, now: Ticks) -> WriteOutcome {
        let sessions = self.session_consistency.as_ref();
        WriteOutcome::PossiblyExecuted(sessions.map_or(now, |sessions| sessions.position_at(now)))
    }

    /// Reports the outcome of a write to its replica holders before its row is delivered, so that they learn of it
    /// before the client does.
    pub(crate) fn on_write_answered(&self, kind: AttemptKind, report: Option<ServerReport>) {
        let AttemptKind::Request { request, .. } = kind else {
            return;
        };
        let mut requests = self.requests.borrow_mut();
        let open = requests
            .get_mut(request)
            .filter(|open| !open.usage.finished);
        let ticket = open.and_then(|open| open.write_ticket.take());
        drop(requests);
        self.finish_write(ticket, self.clock.now(), report);
    }

    /// Validates what a server has reported of itself. `commit` tells that it was reported after the row of a write:
    /// its position is then rounded up rather than down. Implausible positions are dropped, and so is a report without
    /// a role.
    pub(crate) fn server_report(
        &self,
        reported: Option<ReportedParameters>,
        commit: bool,
    ) -> Option<ServerReport> {
        let reported = reported?;
        let round = if commit { ceil_ticks } else { floor_ticks };
        // Positions are times on a clock that all hosts share, so they can't be in the future.
        let latest = self.clock.now() + ceil_ticks(MAX_CLOCK_DIFFERENCE_MS);
        let position = reported.position.map(round);
        Some(ServerReport {
            primary: reported.primary?,
            position: position.filter(|at| (0..=latest).contains(at)),
        })
    }

    /// Sends a request's final answer to its client, unless the request is finished.
    pub(crate) fn deliver(&self, request: usize, answer: FinalAnswer) {
        if failpoint_active("wait-without-end") && !matches!(answer, FinalAnswer::Answered(_)) {
            return;
        }
        let answer = if failpoint_active("other-value") {
            previous_row_instead(answer)
        } else {
            answer
        };
        let mut requests = self.requests.borrow_mut();
        let Some(open) = requests
            .get_mut(request)
            .filter(|open| !open.usage.finished)
        else {
            return;
        };
        open.mark_finished();
        self.diagnostics
            .on_unanswered(&self.log, self.clock.now(), open, &answer);
        increment(match answer {
            FinalAnswer::Answered(_) => &self.metrics.answered,
            FinalAnswer::Shed(_) => &self.metrics.shed,
            FinalAnswer::Failed => &self.metrics.failed,
        });
        if let Some(sender) = open.answer_sender.take() {
            // The client may have disconnected.
            let _ = sender.send(answer);
        }
    }

    /// Frees the index of a request that is finished and has no outstanding attempt.
    pub(crate) fn recycle_index(&self, request: usize) {
        let now = self.clock.now();
        let removed = self.requests.borrow_mut().remove_releasable(now, request);
        if let Some(open) = removed {
            self.finish_unanswered_write(&open);
        }
    }

    /// Reports to its replica holders that a write has ended without an answer.
    fn finish_unanswered_write(&self, open: &OpenRequest) {
        let (Some(replicated_state), Some(ticket)) = (self.replicated_state(), open.write_ticket)
        else {
            return;
        };
        let outcome = if open.possibly_executed {
            self.possibly_executed(self.clock.now())
        } else {
            WriteOutcome::NotExecuted
        };
        replicated_state.finish_write(ticket, outcome);
    }
}

/// Fault `other-value`: replaces a row by the previous one.
fn previous_row_instead(answer: FinalAnswer) -> FinalAnswer {
    thread_local! {
        static PREVIOUS: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
    }
    let FinalAnswer::Answered(mut row) = answer else {
        return answer;
    };
    let previous = PREVIOUS.with(|previous| previous.replace(row.messages.clone()));
    if !previous.is_empty() {
        row.messages = previous;
    }
    FinalAnswer::Answered(row)
}
