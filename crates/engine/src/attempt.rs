//! An attempt of a request on one server, and the interface of the component that executes it.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;

use leverpoint_routing::api::{AttemptOutcome, Ticks};
use leverpoint_runtime::{Instant, now, since, sleep, sleep_until};
use tokio::sync::Notify;

use crate::attempt_error::{AttemptError, Cause, Progress};
use crate::client_connections::ClientConnection;
use crate::diagnostics::{WithdrawnStatement, WrittenStatement};
use crate::engine::{AttemptReport, Engine, EngineEvent};
use crate::request::{FinalAnswer, Row, Statement};
use crate::request_table::EndSignals;
use crate::session_consistency::{RequestSession, SessionConsistency};
use crate::statement_delivery::{ARRIVAL_GRACE, Delivery};

/// Executes attempts on servers.
///
/// Implementations must not call the engine before their method returns.
pub trait AttemptExecutor {
    /// Starts an attempt without waiting for it. Its outcome is reported through [`Attempt::finish`], or when it is
    /// dropped.
    fn execute(self: Rc<Self>, attempt: Attempt);
    /// Closes the idle connections to a server that is draining or gone, or has moved or restarted.
    fn close_idle_connections(&self, server: usize);
}

/// Role and position that a server has reported of itself after a row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedParameters {
    /// Whether it is the primary of its replica set; none if it reported no valid role.
    pub primary: Option<bool>,
    /// Its replication position, in Unix milliseconds; none if it reported no finite number.
    pub position: Option<f64>,
}

impl ReportedParameters {
    /// Records a parameter, given as name and value on the wire. All but `mode` and `wal_time` are ignored.
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

/// Whether an attempt belongs to a request or probes a server.
#[derive(Clone, Copy)]
pub(crate) enum AttemptKind {
    /// An attempt of a request; `number` counts the request's attempts from 0.
    Request { request: usize, number: u32 },
    /// A probe of a server, which sends no statement.
    Probe,
}

/// The parts of a request that an attempt needs.
pub(crate) struct AttemptRequest {
    pub(crate) statement: Rc<Statement>,
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) session: Option<RequestSession>,
    pub(crate) end_signals: Rc<EndSignals>,
    /// Latest time at which the statement's last byte may arrive.
    pub(crate) arrive_by: Ticks,
}

/// The server of an attempt, as listed when the router chose it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptServer {
    /// Index of the server.
    pub index: usize,
    /// Its address.
    pub address: SocketAddr,
    /// How often the server had been replaced by then, see `Endpoints::replacements`.
    pub(crate) replacements: u64,
}

/// Start and limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    started_at: Ticks,
    /// Longest duration of the attempt.
    pub timeout: Ticks,
    /// When the attempt times out: `timeout` after it was created.
    pub deadline: Instant,
    /// Latest time at which the statement's last byte may arrive, if that is before the deadline.
    arrive_by: Option<Instant>,
}

/// One attempt of a request, or a probe.
///
/// # Invariants
///
/// Its outcome is reported exactly once, at the latest when it is dropped.
pub struct Attempt {
    engine: Rc<Engine>,
    kind: AttemptKind,
    finished: bool,
    /// The server that gets the statement.
    pub server: AttemptServer,
    /// When the attempt was started, and its limits.
    pub times: AttemptTimes,
    /// The statement; none for a probe.
    pub statement: Option<Rc<Statement>>,
    /// The client on whose behalf buffers for the answer are reserved; none for a probe.
    pub client: Option<Rc<ClientConnection>>,
    /// Signals of the request's end; never set for a probe.
    end_signals: Rc<EndSignals>,
    /// Notified when the router cancels the attempt.
    pub cancelled: Rc<Notify>,
    /// Progress of the attempt, which decides whether a failed statement may have been executed.
    pub progress: Cell<Progress>,
    /// When the row was delivered to the client.
    delivered_at: Cell<Option<Ticks>>,
    /// Session of the request; none if sessions are not tracked for it.
    session: Option<RequestSession>,
    /// A complete row that is held back until the server has reported its role and position.
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
        let arrive_by = request
            .map(|r| clock.instant(r.arrive_by))
            .filter(|arrive_by| *arrive_by < deadline);
        let times = AttemptTimes {
            started_at,
            timeout,
            deadline,
            arrive_by,
        };
        Attempt {
            kind,
            finished: false,
            server,
            times,
            statement: request.map(|r| r.statement.clone()),
            client: request.map(|r| r.client.clone()),
            end_signals: request.map(|r| r.end_signals.clone()).unwrap_or_default(),
            cancelled,
            progress: Cell::new(Progress::NotConnected),
            delivered_at: Cell::new(None),
            session: request.and_then(|r| r.session),
            held_row: RefCell::new(None),
            engine,
        }
    }

    /// Returns session tracking and this attempt's session; none if sessions are not tracked for it.
    fn tracked_session(&self) -> Option<(&SessionConsistency, &RequestSession)> {
        self.engine
            .session_consistency
            .as_ref()
            .zip(self.session.as_ref())
    }

    /// Handles a complete row: delivers it at once, or holds it back until the server's report where that decides
    /// whether the row is recent enough for its session, or which session token accompanies it.
    pub fn on_row_complete(&self, row: Row) {
        if let Some((sessions, session)) = self.tracked_session() {
            sessions.on_row_complete(session, self.engine.clock.now());
            if sessions.needs_report(session) {
                self.held_row.replace(Some(row));
                return;
            }
        }
        self.deliver(row);
    }

    /// Handles the server's complete report after a row: delivers a row that was held back if it is recent enough for
    /// its session, and returns the outcome of the attempt.
    #[must_use]
    pub fn on_report_complete(&self, reported: ReportedParameters) -> AttemptOutcome {
        let Some(mut row) = self.held_row.take() else {
            return AttemptOutcome::Answered;
        };
        if let Some((sessions, session)) = self.tracked_session() {
            let report = self.engine.server_report(Some(reported), session.write);
            if !sessions.is_covered(session, self.engine.clock.now(), report) {
                return AttemptOutcome::NotCaughtUp;
            }
            if session.write {
                self.engine.on_write_answered(self.kind, report);
            }
            row.session_token = sessions.sign_token(session, report);
        }
        self.deliver(row);
        AttemptOutcome::Answered
    }

    /// Handles a report that will never come: a write's row is delivered nevertheless, while that of a read is dropped,
    /// as its position is unknown.
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
        if self
            .statement
            .as_ref()
            .is_some_and(|statement| statement.write)
        {
            // The router learns of the answer before the client's next request can arrive.
            self.engine.dispatch(EngineEvent::WriteAnswered(request));
        }
    }

    /// Whether the row was delivered to the client.
    pub fn is_delivered(&self) -> bool {
        self.delivered_at.get().is_some()
    }

    /// Whether the attempt may still start, to be checked right before its first byte is sent: its request is open and
    /// the client connected, the server's listing is unchanged, the endpoint list's lease is valid, and the time
    /// by which the statement must arrive has not passed.
    pub fn may_start(&self) -> bool {
        !self.end_signals.finished.is_set()
            && now() <= self.times.arrive_by.unwrap_or(self.times.deadline)
            && self
                .client
                .as_ref()
                .is_none_or(|client| client.is_surely_connected())
            && self.is_server_unchanged()
            && !self.engine.is_endpoint_list_expired()
    }

    /// Waits until the statement must have arrived whole; never returns where the attempt's own deadline comes first.
    pub async fn arrival_deadline(&self) {
        match self.times.arrive_by {
            Some(arrive_by) => sleep_until(arrive_by).await,
            None => pending().await,
        }
    }

    /// Waits until the statement must be withdrawn unless it has arrived whole, and returns why: the time by which it must
    /// have arrived has come, or its client has left.
    pub async fn withdrawal_due(&self) -> Cause {
        tokio::select! {
            biased;
            () = self.arrival_deadline() => Cause::ArrivalTimedOut,
            () = self.end_signals.client_left.wait() => {
                sleep(ARRIVAL_GRACE).await;
                Cause::NoLongerNeeded
            }
        }
    }

    /// How far the statement has come, where `unacknowledged_bytes` of what was written are not acknowledged.
    pub fn delivery(&self, unacknowledged_bytes: usize) -> Delivery {
        Delivery::new(self.progress.get(), unacknowledged_bytes)
    }

    /// Logs that the statement is withdrawn from its server, as it has not arrived whole in time, and returns the error
    /// with which the attempt ends.
    pub fn on_withdrawn(&self, cause: Cause) -> AttemptError {
        let error = self.error(cause);
        if let AttemptKind::Request { request, number } = self.kind {
            let withdrawn = WithdrawnStatement {
                server: self.server.index,
                attempt: number,
                progress: error.progress,
            };
            self.engine.on_statement_withdrawn(request, &withdrawn);
        }
        error
    }

    /// Whether the server has not drained, moved, restarted or gone since the router chose it.
    pub fn is_server_unchanged(&self) -> bool {
        self.engine.endpoints.replacements(self.server.index) == Some(self.server.replacements)
    }

    /// Records that the statement, whose first byte was written at `begun_at`, was written whole.
    pub fn on_statement_written(&self, begun_at: Instant) {
        self.progress.set(Progress::Written);
        let (AttemptKind::Request { request, number }, Some(statement)) =
            (self.kind, &self.statement)
        else {
            return;
        };
        let written = WrittenStatement {
            server: self.server.index,
            attempt: number,
            bytes: statement.text.len(),
            took: since(begun_at),
        };
        self.engine.on_statement_written(request, &written);
    }

    /// Logs that the server has sent an earlier statement's answer a second time, which was taken for no other.
    pub fn on_copy_discarded(&self) {
        let engine = &self.engine;
        if let Some(suppressed) = engine.discarded_answer_limiter.admit(engine.clock.now()) {
            slog::warn!(engine.log, "copy of an answer discarded"; "server" => self.server.index, "address" => self.server.address.to_string(),
                "suppressed" => suppressed);
        }
    }

    /// Waits until the request is finished, so that it needs no attempt any more.
    pub async fn request_finished(&self) {
        self.end_signals.finished.wait().await;
    }

    /// Creates an error from a cause and the attempt's present progress.
    pub fn error(&self, cause: Cause) -> AttemptError {
        AttemptError {
            progress: self.progress.get(),
            cause,
        }
    }

    /// Reports the attempt's outcome, along with what the server has reported of itself.
    pub fn finish(mut self, outcome: AttemptOutcome, reported: Option<ReportedParameters>) {
        self.report(outcome, reported);
    }

    pub(crate) fn report(&mut self, outcome: AttemptOutcome, reported: Option<ReportedParameters>) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let engine = &self.engine;
        // The time that the server's report takes after the row does not count as response time.
        let ended_at = self.delivered_at.get();
        let elapsed = ended_at.unwrap_or_else(|| engine.clock.now()) - self.times.started_at;
        engine.metrics.on_attempt_finished(outcome);
        let event = match self.kind {
            AttemptKind::Request { request, number } => {
                EngineEvent::AttemptFinished(AttemptReport {
                    request,
                    number,
                    server: self.server.index,
                    outcome,
                    elapsed,
                    reported,
                })
            }
            AttemptKind::Probe => EngineEvent::ProbeFinished {
                server: self.server.index,
                ok: outcome == AttemptOutcome::Answered,
                reported,
            },
        };
        engine.dispatch(event);
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
