//! Log lines on requests in trouble and on a delayed event loop, and counters of why client connections were closed.
//!
//! Every line of a request carries its id. Each kind of line is limited in number; the lines left out are counted in the
//! next one. Nothing here is read for a decision.

use std::cell::Cell;
use std::fmt::Write;
use std::time::Duration;

use leverpoint_routing::api::{AttemptOutcome, Ticks};

use crate::attempt_error::Progress;
use crate::engine::{AttemptReport, TICKS_PER_MS};
use crate::log_line_limiter::LogLineLimiter;
use crate::metrics::increment;
use crate::request::FinalAnswer;
use crate::request_table::OpenRequest;

/// Delay of a timer from which on it is logged: a timer that is later than this delays answers visibly.
const LOGGED_DELAY: Duration = Duration::from_millis(50);

/// Why a client connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset the connection, or it failed.
    Client,
    /// The client sent something that can't be read; it was answered with a fatal error.
    Invalid,
    /// The startup packet or a message was not complete in time.
    Incomplete,
    /// The client reads or writes too slowly, or its buffer was needed.
    Slow,
    /// Its descriptor was needed for another connection, or there are too many connections.
    Capacity,
    /// The gateway shuts down.
    Shutdown,
}

/// All reasons with the names of their counters, in the order of the enum.
const CLOSE_REASONS: [(CloseReason, &str); 6] = [
    (CloseReason::Client, "client"),
    (CloseReason::Invalid, "invalid"),
    (CloseReason::Incomplete, "incomplete"),
    (CloseReason::Slow, "slow"),
    (CloseReason::Capacity, "capacity"),
    (CloseReason::Shutdown, "shutdown"),
];

/// An answer that was written after its client's deadline.
#[derive(Clone, Copy, Debug)]
pub struct LateAnswer<'a> {
    /// The request's id.
    pub id: &'a str,
    /// Index of the request class.
    pub class: usize,
    /// How long the request had waited behind others of its connection when it was accepted.
    pub queued: Duration,
    /// How much later than the client's deadline the answer was ready to be written.
    pub late: Duration,
}

/// A statement that was written whole to a server's connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WrittenStatement {
    /// Index of the server.
    pub(crate) server: usize,
    /// Number of the attempt within its request, from 0.
    pub(crate) attempt: u32,
    /// Length of the statement's text.
    pub(crate) bytes: usize,
    /// Time from its first byte to the last one that this system has taken.
    pub(crate) took: Duration,
}

/// A statement that is withdrawn from its server, as it has not arrived whole in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WithdrawnStatement {
    /// Index of the server.
    pub(crate) server: usize,
    /// Number of the attempt within its request, from 0.
    pub(crate) attempt: u32,
    /// How far the attempt has come.
    pub(crate) progress: Progress,
}

/// Limiters of the log lines, and counters.
#[derive(Default)]
pub struct Diagnostics {
    attempt_limiter: LogLineLimiter,
    statement_limiter: LogLineLimiter,
    unanswered_limiter: LogLineLimiter,
    late_limiter: LogLineLimiter,
    delay_limiter: LogLineLimiter,
    close_limiter: LogLineLimiter,
    closed: [Cell<u64>; CLOSE_REASONS.len()],
    late_answers: Cell<u64>,
    delayed_timers: Cell<u64>,
    longest_delay: Cell<Duration>,
}

fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl Diagnostics {
    /// Records by how much a timer was late.
    pub(crate) fn on_timer(&self, log: &slog::Logger, now: Ticks, delay: Duration) {
        self.longest_delay.set(self.longest_delay.get().max(delay));
        if delay < LOGGED_DELAY {
            return;
        }
        increment(&self.delayed_timers);
        if let Some(left_out) = self.delay_limiter.admit(now) {
            slog::warn!(log, "event loop delayed"; "ms" => as_ms(delay), "left_out" => left_out);
        }
    }

    /// Records the outcome of a request's attempt; logs one without an answer.
    pub(crate) fn on_attempt_finished(
        &self,
        log: &slog::Logger,
        now: Ticks,
        open: &OpenRequest,
        report: &AttemptReport,
    ) {
        if report.outcome == AttemptOutcome::Answered {
            return;
        }
        if let Some(left_out) = self.attempt_limiter.admit(now) {
            slog::info!(log, "attempt failed"; "id" => &*open.id, "server" => report.server,
                "outcome" => format!("{:?}", report.outcome), "attempt" => report.number,
                "ms" => report.elapsed as u64 / TICKS_PER_MS, "request_finished" => open.usage.finished,
                "left_out" => left_out);
        }
    }

    /// Records that a statement was written; logs one whose server took its bytes slowly.
    pub(crate) fn on_statement_written(
        &self,
        log: &slog::Logger,
        now: Ticks,
        open: &OpenRequest,
        written: &WrittenStatement,
    ) {
        if written.took < LOGGED_DELAY {
            return;
        }
        if let Some(left_out) = self.statement_limiter.admit(now) {
            slog::info!(log, "statement written slowly"; "id" => &*open.id, "server" => written.server,
                "attempt" => written.attempt, "bytes" => written.bytes, "ms" => as_ms(written.took), "left_out" => left_out);
        }
    }

    /// Logs a statement that is withdrawn from its server.
    pub(crate) fn on_statement_withdrawn(
        &self,
        log: &slog::Logger,
        now: Ticks,
        open: &OpenRequest,
        withdrawn: &WithdrawnStatement,
    ) {
        if let Some(left_out) = self.statement_limiter.admit(now) {
            slog::info!(log, "statement withdrawn"; "id" => &*open.id, "server" => withdrawn.server,
                "attempt" => withdrawn.attempt, "progress" => format!("{:?}", withdrawn.progress), "left_out" => left_out);
        }
    }

    /// Logs a request that ends without a row.
    pub(crate) fn on_unanswered(
        &self,
        log: &slog::Logger,
        now: Ticks,
        open: &OpenRequest,
        answer: &FinalAnswer,
    ) {
        let (message, retry_after_ms) = match answer {
            FinalAnswer::Answered(_) => return,
            FinalAnswer::Shed(retry_after_ms) => ("request shed", *retry_after_ms),
            FinalAnswer::Failed => ("request failed", 0),
        };
        if let Some(left_out) = self.unanswered_limiter.admit(now) {
            slog::info!(log, "{}", message; "id" => &*open.id, "attempts" => open.attempts.started(),
                "possibly_executed" => open.possibly_executed, "retry_after_ms" => retry_after_ms, "left_out" => left_out);
        }
    }

    /// Logs a request that was shed on arrival, as no buffer for its answer could be reserved or the gateway shuts down.
    pub(crate) fn on_shed_on_arrival(
        &self,
        log: &slog::Logger,
        now: Ticks,
        id: &str,
        retry_after: Ticks,
    ) {
        if let Some(left_out) = self.unanswered_limiter.admit(now) {
            slog::info!(log, "request shed on arrival"; "id" => id,
                "retry_after_ms" => retry_after as u64 / TICKS_PER_MS, "left_out" => left_out);
        }
    }

    /// Records an answer that is written after its client's deadline.
    pub(crate) fn on_late_answer(&self, log: &slog::Logger, now: Ticks, answer: &LateAnswer<'_>) {
        increment(&self.late_answers);
        if let Some(left_out) = self.late_limiter.admit(now) {
            slog::warn!(log, "answer late"; "id" => answer.id, "class" => answer.class, "late_ms" => as_ms(answer.late),
                "queued_ms" => as_ms(answer.queued), "left_out" => left_out);
        }
    }

    /// Records why a client connection was closed; logs it unless the client closed it.
    pub(crate) fn on_client_closed(&self, log: &slog::Logger, now: Ticks, closed: &ClosedClient) {
        increment(&self.closed[closed.reason as usize]);
        if closed.reason == CloseReason::Client {
            return;
        }
        if let Some(left_out) = self.close_limiter.admit(now) {
            slog::info!(log, "client connection closed"; "why" => format!("{:?}", closed.reason),
                "messages" => closed.messages, "open_ms" => as_ms(closed.open_for), "left_out" => left_out);
        }
    }

    /// Returns the counters as `name=count` pairs separated by spaces.
    pub fn summary(&self) -> String {
        let mut out = format!(
            "answers.late={} loop.delayed={} loop.longest_ms={}",
            self.late_answers.get(),
            self.delayed_timers.get(),
            as_ms(self.longest_delay.get())
        );
        for ((_, name), counter) in CLOSE_REASONS.iter().zip(&self.closed) {
            let _ = write!(out, " closed.{name}={}", counter.get());
        }
        out
    }
}

/// A client connection that was closed.
#[derive(Clone, Copy, Debug)]
pub struct ClosedClient {
    /// Why it was closed.
    pub reason: CloseReason,
    /// Messages received on it after its startup.
    pub messages: u64,
    /// How long it was open.
    pub open_for: Duration,
}
