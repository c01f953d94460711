//! The engine's handling of attempts: starting them, recording their outcomes and answering requests.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use leverpoint_config::settings::{ceil_ticks, floor_ticks};
use leverpoint_routing::api::{AttemptOutcome, FinishedAttempt, ServerReport, Ticks};
use leverpoint_runtime::failpoint_active;
use tokio::sync::Notify;

use crate::attempt::{Attempt, AttemptKind, AttemptRequest, AttemptServer, ReportedParameters};
use crate::engine::{AttemptReport, Engine};
use crate::metrics::increment;
use crate::replicated_state::WriteOutcome;
use crate::request::FinalAnswer;
use crate::request_table::OpenRequest;

/// How far ahead of this gateway's clock a reported position may lie: more than any clock is off.
const MAX_CLOCK_DIFFERENCE_MS: f64 = 60_000.0;

/// Stands for an address that is not known.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

impl Engine {
    /// Starts an attempt of a request.
    pub(crate) fn start_attempt(
        self: &Rc<Self>,
        request: usize,
        server: usize,
        timeout: Ticks,
        start_by: Ticks,
    ) {
        let mut requests = self.requests.borrow_mut();
        let Some(open) = requests.get_mut(request) else {
            return;
        };
        open.held.attempts_in_flight += 1;
        let (number, cancelled) = open.attempts.start();
        let of = AttemptRequest {
            statement: open.statement.clone(),
            client: open.client.clone(),
            session: open.session,
            over: open.over.clone(),
            start_by,
        };
        drop(requests);
        let kind = AttemptKind::Request { request, number };
        self.execute(kind, server, timeout, Some(of), cancelled);
    }

    /// Starts a probe of a server.
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

    /// Records an attempt's outcome, and returns what the router is told of it; none where the request is gone.
    pub(crate) fn record_finished(
        &self,
        report: &AttemptReport,
        now: Ticks,
    ) -> Option<FinishedAttempt> {
        let mut requests = self.requests.borrow_mut();
        let open = requests.get_mut(report.request)?;
        let answered = report.outcome == AttemptOutcome::Answered;
        open.held.attempts_in_flight -= 1;
        open.attempts.finish(report.number);
        if answered {
            open.mark_over();
        }
        let held = open.held;
        let server_report = self
            .server_report(report.reported, held.write && answered)
            .filter(|_| !(held.write && failpoint_active("token-forgotten")));
        if let (Some(reads), Some(session)) = (&self.session_consistency, &open.session) {
            reads.on_attempt_finished(session, now, report.outcome, server_report);
        }
        open.possibly_executed |= !report.outcome.never_executed();
        let answered_write = if answered && held.write {
            open.write_ticket.take()
        } else {
            None
        };
        self.finish_write(answered_write, now, server_report);
        requests
            .sessions
            .on_attempt_finished(&held, report.outcome, server_report);
        Some(FinishedAttempt {
            request: report.request,
            attempt: report.number,
            server: report.server,
            outcome: report.outcome,
            elapsed: report.elapsed,
            request_finished: held.finished,
            report: server_report,
        })
    }

    /// Marks the request of a disconnected client as over; none where it was over before.
    pub(crate) fn close_disconnected(&self, request: usize) -> Option<()> {
        let mut requests = self.requests.borrow_mut();
        let open = requests.get_mut(request)?;
        if open.held.finished {
            return None;
        }
        open.mark_over();
        open.answer = None;
        self.metrics.on_client_disconnected();
        Some(())
    }

    /// Tells the replica holders of a write what it has come to.
    fn finish_write(&self, ticket: Option<u64>, now: Ticks, report: Option<ServerReport>) {
        let (Some(replicated_state), Some(ticket)) = (self.replicated_state(), ticket) else {
            return;
        };
        let position = report.and_then(|report| report.position);
        let came = position.map_or_else(|| self.possibly_executed(now), WriteOutcome::Acknowledged);
        replicated_state.finish_write(ticket, came);
    }

    /// What replica holders are told of a write that may have been executed by now.
    fn possibly_executed(&self, now: Ticks) -> WriteOutcome {
        let reads = self.session_consistency.as_ref();
        WriteOutcome::PossiblyExecuted(reads.map_or(now, |reads| reads.position_at(now)))
    }

    /// Tells the replica holders of a write before its row goes out, so that they hear of it before the client does.
    pub(crate) fn on_write_answered(&self, kind: AttemptKind, report: Option<ServerReport>) {
        let AttemptKind::Request { request, .. } = kind else {
            return;
        };
        let mut requests = self.requests.borrow_mut();
        let open = requests.get_mut(request).filter(|open| !open.held.finished);
        let ticket = open.and_then(|open| open.write_ticket.take());
        drop(requests);
        self.finish_write(ticket, self.clock.now(), report);
    }

    /// What a server has reported of itself, as far as it can be true; `commit`: behind the row of a write.
    pub(crate) fn server_report(
        &self,
        reported: Option<ReportedParameters>,
        commit: bool,
    ) -> Option<ServerReport> {
        let reported = reported?;
        let rounded = if commit { ceil_ticks } else { floor_ticks };
        // Positions are times of a clock that all machines share, so they lie in the past.
        let latest = self.clock.now() + ceil_ticks(MAX_CLOCK_DIFFERENCE_MS);
        let position = reported.position.map(rounded);
        Some(ServerReport {
            primary: reported.primary?,
            position: position.filter(|at| (0..=latest).contains(at)),
        })
    }

    /// Sends a request its final answer, if it has none yet.
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
        let Some(open) = requests.get_mut(request).filter(|open| !open.held.finished) else {
            return;
        };
        open.mark_over();
        increment(match answer {
            FinalAnswer::Answered(_) => &self.metrics.answered,
            FinalAnswer::Shed(_) => &self.metrics.shed,
            FinalAnswer::Failed => &self.metrics.failed,
        });
        if let Some(client) = open.answer.take() {
            // The client may have disconnected.
            let _ = client.send(answer);
        }
    }

    /// Frees the index of a request that is over and has no attempt outstanding.
    pub(crate) fn recycle(&self, request: usize) {
        let done = self.requests.borrow_mut().remove_done(request);
        if let Some(open) = done {
            self.finish_unanswered_write(&open);
        }
    }

    /// Tells the replica holders of a write that has ended without an answer.
    fn finish_unanswered_write(&self, open: &OpenRequest) {
        let (Some(replicated_state), Some(ticket)) = (self.replicated_state(), open.write_ticket)
        else {
            return;
        };
        let came = if open.possibly_executed {
            self.possibly_executed(self.clock.now())
        } else {
            WriteOutcome::NotExecuted
        };
        replicated_state.finish_write(ticket, came);
    }
}

/// A failpoint: the previous row in place of this one.
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
