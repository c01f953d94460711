//! One attempt of a request on one server, from the router's decision to its outcome.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use leverpoint_routing::api::{AttemptOutcome, Ticks};
use leverpoint_runtime::{Instant, now};
use tokio::sync::Notify;

use crate::attempt_error::{AttemptError, Cause, Progress};
use crate::client_connections::ClientConnection;
use crate::engine::{AttemptReport, Engine, EngineEvent};
use crate::latch::Latch;
use crate::request::{FinalAnswer, Row, Statement};
use crate::session_consistency::{RequestSession, SessionConsistency};

/// Executes attempts on servers.
///
/// An implementation must not call the engine back before its methods return.
pub trait AttemptExecutor {
    /// Starts an attempt; the attempt reports its own outcome.
    fn execute(self: Rc<Self>, attempt: Attempt);
    /// Closes the idle connections to a server that drains, is gone, has moved or has restarted.
    fn close_idle_connections(&self, server: usize);
}

/// What a server has reported of itself behind a row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedParameters {
    /// Whether it is the primary of its replica set.
    pub primary: Option<bool>,
    /// Its replication position, in Unix milliseconds.
    pub position: Option<f64>,
}

impl ReportedParameters {
    /// Records one parameter by its name on the wire; others than role and position are ignored.
    pub fn record(&mut self, parameter: Option<(&str, &str)>) {
        match parameter {
            Some(("mode", "read-write")) => self.primary = Some(true),
            Some(("mode", "read-only")) => self.primary = Some(false),
            Some(("wal_time", at)) => {
                self.position = at.parse().ok().filter(|at: &f64| at.is_finite());
            }
            _ => {}
        }
    }
}

/// What an attempt is for.
#[derive(Clone, Copy)]
pub(crate) enum AttemptKind {
    /// The `number`th attempt of a request.
    Request { request: usize, number: u32 },
    /// A probe of the server, without a statement.
    Probe,
}

/// The request that an attempt belongs to, as far as the attempt needs it.
pub(crate) struct AttemptRequest {
    pub(crate) statement: Rc<Statement>,
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) session: Option<RequestSession>,
    pub(crate) over: Rc<Latch>,
    /// After this the attempt must not start.
    pub(crate) start_by: Ticks,
}

/// The server of an attempt, as it was when the attempt was decided.
pub(crate) struct AttemptServer {
    pub(crate) index: usize,
    pub(crate) address: SocketAddr,
    /// How often the server had been replaced by then.
    pub(crate) replacements: u64,
}

/// One attempt of a request, or a probe.
///
/// # Invariants
///
/// It finishes exactly once, at the latest when it is dropped.
pub struct Attempt {
    engine: Rc<Engine>,
    kind: AttemptKind,
    started_at: Ticks,
    finished: bool,
    /// Index of the server.
    pub server: usize,
    /// Address of the server.
    pub address: SocketAddr,
    /// The statement; none for a probe.
    pub statement: Option<Rc<Statement>>,
    /// The client whose buffers the answer is reserved from; none for a probe.
    pub client: Option<Rc<ClientConnection>>,
    /// How long the attempt may take.
    pub timeout: Ticks,
    /// When the attempt times out.
    pub deadline: Instant,
    /// After this the attempt must not start.
    start_by: Instant,
    /// How often the server had been replaced when this was decided.
    server_replacements: u64,
    request_over: Rc<Latch>,
    /// Notified when the router cancels the attempt.
    pub cancelled: Rc<Notify>,
    /// How far the attempt has come.
    pub progress: Cell<Progress>,
    /// When the row was complete.
    delivered_at: Cell<Option<Ticks>>,
    /// The session whose read or write it is, where sessions are tracked.
    session: Option<RequestSession>,
    /// A complete row that waits for the server's report.
    held_row: RefCell<Option<Row>>,
}

impl Attempt {
    pub(crate) fn new(
        engine: Rc<Engine>,
        kind: AttemptKind,
        server: AttemptServer,
        timeout: Ticks,
        request: Option<AttemptRequest>,
        cancelled: Rc<Notify>,
    ) -> Self {
        let clock = &engine.clock;
        let started_at = clock.now();
        let deadline = clock.instant(started_at + timeout);
        let request = request.as_ref();
        let start_by = request.map_or(deadline, |r| deadline.min(clock.instant(r.start_by)));
        Attempt {
            kind,
            started_at,
            finished: false,
            server: server.index,
            address: server.address,
            statement: request.map(|r| r.statement.clone()),
            client: request.map(|r| r.client.clone()),
            timeout,
            deadline,
            start_by,
            server_replacements: server.replacements,
            request_over: request.map(|r| r.over.clone()).unwrap_or_default(),
            cancelled,
            progress: Cell::new(Progress::NotConnected),
            delivered_at: Cell::new(None),
            session: request.and_then(|r| r.session),
            held_row: RefCell::new(None),
            engine,
        }
    }

    /// The sessions' reads and this attempt's session, where sessions are tracked.
    fn tracked_session(&self) -> Option<(&SessionConsistency, &RequestSession)> {
        self.engine
            .session_consistency
            .as_ref()
            .zip(self.session.as_ref())
    }

    /// Takes a complete row. It goes to the client at once, unless the server's report decides whether the row covers
    /// what its session must see, or which session token goes with it.
    pub fn on_row_complete(&self, row: Row) {
        if let Some((reads, session)) = self.tracked_session() {
            reads.on_row_complete(session, self.engine.clock.now());
            if reads.needs_report(session) {
                self.held_row.replace(Some(row));
                return;
            }
        }
        self.deliver(row);
    }

    /// Takes the server's complete report behind a row, and returns the outcome of the attempt.
    #[must_use]
    pub fn on_report_complete(&self, reported: ReportedParameters) -> AttemptOutcome {
        let Some(mut row) = self.held_row.take() else {
            return AttemptOutcome::Answered;
        };
        if let Some((reads, session)) = self.tracked_session() {
            let report = self.engine.server_report(Some(reported), session.write);
            if !reads.is_covered(session, self.engine.clock.now(), report) {
                return AttemptOutcome::NotCaughtUp;
            }
            if session.write {
                self.engine.on_write_answered(self.kind, report);
            }
            row.session_token = reads.sign_token(session, report);
        }
        self.deliver(row);
        AttemptOutcome::Answered
    }

    /// Handles that no report comes any more: a write's row is its answer all the same, a read whose position is not
    /// known has none.
    pub fn on_report_missing(&self) {
        if self.session.is_some_and(|session| session.write)
            && let Some(row) = self.held_row.take()
        {
            self.deliver(row);
        }
    }

    fn deliver(&self, row: Row) {
        self.delivered_at.set(Some(self.engine.clock.now()));
        let AttemptKind::Request { request, .. } = self.kind else {
            return;
        };
        self.engine.deliver(request, FinalAnswer::Answered(row));
        if self.statement.as_ref().is_some_and(|text| text.write) {
            // Before the client can send its next request.
            self.engine.take(EngineEvent::WriteAnswered(request));
        }
    }

    /// Whether the row is with the client.
    pub fn is_delivered(&self) -> bool {
        self.delivered_at.get().is_some()
    }

    /// Whether the decision still holds as the first byte is about to go out: the request is open and its client
    /// connected, the server is listed as it was, the endpoint list is valid, and it is not too late to start.
    pub fn may_start(&self) -> bool {
        !self.request_over.is_set()
            && now() <= self.start_by
            && !self
                .client
                .as_ref()
                .is_some_and(|client| client.is_disconnected())
            && self.is_server_unchanged()
            && !self.engine.is_endpoint_list_expired()
    }

    /// Whether the server has not drained, moved, restarted or gone since the attempt was decided.
    pub fn is_server_unchanged(&self) -> bool {
        self.engine.endpoints.replacements(self.server) == Some(self.server_replacements)
    }

    /// Waits until the request needs no attempt any more.
    pub async fn request_finished(&self) {
        self.request_over.wait().await;
    }

    /// Makes an error of a cause and the attempt's progress.
    pub fn error(&self, cause: Cause) -> AttemptError {
        AttemptError {
            progress: self.progress.get(),
            cause,
        }
    }

    /// Finishes the attempt with its outcome and what the server has reported.
    pub fn finish(mut self, outcome: AttemptOutcome, reported: Option<ReportedParameters>) {
        self.report(outcome, reported);
    }

    pub(crate) fn report(&mut self, outcome: AttemptOutcome, reported: Option<ReportedParameters>) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let engine = &self.engine;
        // What a server reports behind the row is no part of the answer's time.
        let ended_at = self.delivered_at.get();
        let elapsed = ended_at.unwrap_or_else(|| engine.clock.now()) - self.started_at;
        engine.metrics.on_attempt_finished(outcome);
        let event = match self.kind {
            AttemptKind::Request { request, number } => {
                EngineEvent::AttemptFinished(AttemptReport {
                    request,
                    number,
                    server: self.server,
                    outcome,
                    elapsed,
                    reported,
                })
            }
            AttemptKind::Probe => EngineEvent::ProbeFinished {
                server: self.server,
                ok: outcome == AttemptOutcome::Answered,
                reported,
            },
        };
        engine.take(event);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.on_report_missing();
        let outcome = if self.is_delivered() {
            AttemptOutcome::Answered
        } else {
            self.error(Cause::ConnectionBroken).outcome()
        };
        self.report(outcome, None);
    }
}
