//! Puts the messages of a server's answer together and decides what they mean for the attempt; it does no I/O.
//!
//! # Invariants
//!
//! - An answer is passed to the client completely or not at all.
//! - An answer that may belong to the connection's previous statement is passed to nobody, see
//!   [`leverpoint_engine::answer_matching`].

use std::io::{self, ErrorKind};
use std::time::Duration;

use leverpoint_config::settings::ticks_to_duration;
use leverpoint_engine::answer_matching::{AnswerDigest, AnswerMatcher, AnswerUse, OutcomeUse};
use leverpoint_engine::attempt_error::{AttemptError, Cause, Progress};
use leverpoint_engine::client_connections::{BufferReservation, ClientConnections};
use leverpoint_engine::engine::{Attempt, ReportedParameters, Row};
use leverpoint_engine::metrics::{Metrics, increment};
use leverpoint_routing::api::AttemptOutcome;
use leverpoint_runtime::failpoint_active;

use crate::postgres::messages;
use crate::server::answer_progress::AnswerProgress;

/// Least time in which a server has to report that it is ready after a complete row.
///
/// The request's index and the connection stay in use until then.
const MIN_READY_TIMEOUT: Duration = Duration::from_millis(10);

/// The answer to an attempt.
pub(super) struct Answer {
    pub(super) outcome: AttemptOutcome,
    /// The parameters that the server reported with the answer.
    pub(super) reported: ReportedParameters,
    /// Whether the connection can be used for another attempt.
    pub(super) reusable: bool,
}

/// A message of an answer, with the buffer reserved for a long one.
pub(super) struct AnswerMessage {
    pub(super) tag: u8,
    pub(super) body: Vec<u8>,
    pub(super) reservation: Option<BufferReservation>,
}

/// The parts of an answer that have been received.
#[derive(Default)]
struct AnswerParts {
    row: Row,
    has_row: bool,
    reported: ReportedParameters,
    /// Known once the row or an error is complete.
    outcome: Option<AttemptOutcome>,
    /// Whether the outcome is known to belong to the statement.
    is_matched: bool,
}

impl AnswerParts {
    /// Whether no message of a row or an error has been received.
    fn is_empty(&self) -> bool {
        self.outcome.is_none() && self.row.messages.is_empty()
    }

    /// Handles any message that does not complete a row, an error or an answer.
    ///
    /// # Errors
    ///
    /// The message is not allowed here.
    fn on_message(
        &mut self,
        message: AnswerMessage,
        attempt: &Attempt,
    ) -> Result<(), AttemptError> {
        let AnswerMessage {
            tag,
            body,
            reservation,
        } = message;
        match (tag, self.outcome) {
            (b'T', None)
                if attempt.statement.is_some()
                    && self.row.messages.is_empty()
                    && messages::describes_one_column(&body) =>
            {
                attempt.progress.set(Progress::Answering);
                messages::put_message(&mut self.row.messages, tag, &[&body]);
            }
            (b'D', None)
                if !self.has_row
                    && !self.row.messages.is_empty()
                    && (messages::holds_one_value(&body) || failpoint_active("unchecked")) =>
            {
                self.has_row = true;
                messages::put_message(&mut self.row.messages, tag, &[&body]);
                self.row.reservations.extend(reservation);
            }
            (b'I', None) if attempt.statement.is_none() => {
                self.outcome = Some(AttemptOutcome::Answered);
            }
            (b'S', _) => self
                .reported
                .record(messages::parse_parameter_status(&body)),
            (b'N', _) => {}
            _ => return Err(attempt.error(Cause::ProtocolViolation)),
        }
        Ok(())
    }

    /// Returns the outcome that an ErrorResponse stands for.
    fn error_outcome(&self, body: &[u8]) -> AttemptOutcome {
        match messages::sqlstate(body) {
            // A statement whose answer has begun was executed, whatever error the server reports afterwards.
            _ if !self.row.messages.is_empty() => AttemptOutcome::Error,
            Some(b"25006" | b"72000") => AttemptOutcome::NotCaughtUp,
            Some(b"53300") => AttemptOutcome::Overloaded,
            _ => AttemptOutcome::Error,
        }
    }
}

/// What the connection does after a message of an answer.
pub(super) enum NextStep {
    /// Reads the next message.
    Read,
    /// Sends an empty query behind the statement, then reads on.
    SendEmptyQuery,
    /// Ends the attempt: the answer is complete.
    Finish,
}

/// Reads the answer to one attempt's statement from messages.
pub(super) struct AnswerReader<'a> {
    pub(super) progress: AnswerProgress<'a>,
    matcher: AnswerMatcher,
    /// The answer being received.
    parts: AnswerParts,
    /// A complete answer that may belong to the connection's previous statement.
    withheld: Option<AnswerParts>,
    /// Whether `parts` is the answer that was withheld, as the server has answered the empty query behind it.
    is_confirmed: bool,
    ready_timeout: Duration,
    metrics: &'a Metrics,
}

impl<'a> AnswerReader<'a> {
    /// Creates a reader; `previous` is the answer to the statement before on the same connection, if any.
    pub(super) fn new(
        attempt: &'a Attempt,
        previous: Option<AnswerDigest>,
        client_connections: &ClientConnections,
        metrics: &'a Metrics,
    ) -> Self {
        let limits = client_connections.limits();
        // A write is never abandoned early: it could not be retried, so it gets its whole timeout.
        let rate_checked = limits.enabled && !is_write(attempt);
        // The answer to a probe has no content that could be another request's.
        let previous =
            previous.filter(|_| attempt.statement.is_some() && !failpoint_active("copy-taken"));
        AnswerReader {
            progress: AnswerProgress::new(attempt, rate_checked),
            matcher: AnswerMatcher::new(previous),
            parts: AnswerParts::default(),
            withheld: None,
            is_confirmed: false,
            ready_timeout: ticks_to_duration(limits.ready_timeout).max(MIN_READY_TIMEOUT),
            metrics,
        }
    }

    /// Handles the next message.
    ///
    /// # Errors
    ///
    /// The message is not allowed here.
    pub(super) fn on_message(&mut self, message: AnswerMessage) -> Result<NextStep, AttemptError> {
        let attempt = self.progress.attempt;
        self.matcher.on_message(message.tag, &message.body);
        match (message.tag, self.parts.outcome) {
            (b'C', None)
                if self.parts.has_row
                    && messages::completes_one_row(&message.body, is_write(attempt)) =>
            {
                messages::put_message(&mut self.parts.row.messages, message.tag, &[&message.body]);
                self.on_outcome_complete(AttemptOutcome::Answered);
            }
            (b'E', None) => {
                let outcome = self.parts.error_outcome(&message.body);
                self.on_outcome_complete(outcome);
            }
            (b'Z', Some(_)) if message.body == b"I" => return Ok(self.on_answer_complete()),
            (b'I', None) if self.withheld.is_some() && self.parts.is_empty() => {
                return self.on_empty_query_answered();
            }
            // What follows the answer to the empty query is later than the statement's answer.
            (b'S', Some(_)) if self.is_confirmed => {}
            _ => self.parts.on_message(message, attempt)?,
        }
        Ok(NextStep::Read)
    }

    /// Handles a complete row or error.
    fn on_outcome_complete(&mut self, outcome: AttemptOutcome) {
        self.parts.outcome = Some(outcome);
        if self.matcher.on_outcome_complete() == OutcomeUse::Use {
            self.on_matched();
        }
    }

    /// Handles that the answer being received belongs to the statement: passes its row on.
    fn on_matched(&mut self) {
        self.parts.is_matched = true;
        if self.withheld.take().is_some() {
            self.on_copy_discarded();
        }
        if self.parts.outcome == Some(AttemptOutcome::Answered) {
            let row = std::mem::take(&mut self.parts.row);
            self.progress.attempt.on_row_complete(row);
            self.progress.on_row_complete(self.ready_timeout);
        }
    }

    /// Handles a complete answer, ReadyForQuery included.
    fn on_answer_complete(&mut self) -> NextStep {
        match self.matcher.on_answer_complete() {
            AnswerUse::Use => {
                // A probe's answer has no outcome to match.
                if !self.parts.is_matched && self.progress.attempt.statement.is_some() {
                    self.on_matched();
                }
                NextStep::Finish
            }
            AnswerUse::Withhold { send_empty_query } => {
                increment(&self.metrics.repeated_answers);
                self.progress.on_answer_withheld();
                let withheld = std::mem::take(&mut self.parts);
                if self.withheld.replace(withheld).is_some() {
                    self.on_copy_discarded();
                }
                if send_empty_query {
                    NextStep::SendEmptyQuery
                } else {
                    NextStep::Read
                }
            }
        }
    }

    /// Handles the answer to the empty query behind the statement: what was withheld last is the statement's answer.
    ///
    /// # Errors
    ///
    /// No empty query was sent.
    fn on_empty_query_answered(&mut self) -> Result<NextStep, AttemptError> {
        let attempt = self.progress.attempt;
        let withheld = self.withheld.take();
        match withheld.filter(|_| self.matcher.on_empty_query_answered()) {
            Some(withheld) => self.parts = withheld,
            None => return Err(attempt.error(Cause::ProtocolViolation)),
        }
        self.is_confirmed = true;
        self.on_matched();
        Ok(NextStep::Read)
    }

    /// Counts and logs an answer that was sent twice.
    fn on_copy_discarded(&self) {
        increment(&self.metrics.discarded_answers);
        self.progress.attempt.on_copy_discarded();
    }

    /// Returns the complete answer, and what a later statement's answer on the connection is compared with.
    /// `has_unread_input` says whether bytes were received behind it.
    pub(super) fn finish(self, has_unread_input: bool) -> (Answer, Option<AnswerDigest>) {
        // Bytes received after ReadyForQuery belong to no statement.
        let reusable =
            self.matcher.is_in_step() && (!has_unread_input || failpoint_active("leftovers-kept"));
        let last_answer = self.matcher.last_answer();
        (self.into_answer(reusable), last_answer)
    }

    /// Returns the answer of a connection that failed before the server was ready.
    ///
    /// # Errors
    ///
    /// The statement's outcome was not known before.
    pub(super) fn on_connection_error(self, error: &io::Error) -> Result<Answer, AttemptError> {
        let attempt = self.progress.attempt;
        match self.parts.outcome {
            // The server has sent a complete error before it closed the connection.
            Some(outcome) if outcome != AttemptOutcome::Answered && self.parts.is_matched => {
                Ok(self.into_answer(false))
            }
            // All that belongs to the row was received before it was withheld.
            Some(_) if self.is_confirmed => Ok(self.into_answer(false)),
            _ if error.kind() == ErrorKind::InvalidData => {
                Err(attempt.error(Cause::ProtocolViolation))
            }
            _ if self.progress.too_slow => Err(attempt.error(Cause::TooSlow)),
            _ => Err(attempt.error(Cause::ConnectionBroken)),
        }
    }

    /// Returns the answer, whose outcome is known.
    fn into_answer(self, reusable: bool) -> Answer {
        let reported = self.parts.reported;
        let outcome = match self.parts.outcome.unwrap_or(AttemptOutcome::Error) {
            AttemptOutcome::Answered => self.progress.attempt.on_report_complete(reported),
            error => error,
        };
        Answer {
            outcome,
            reported,
            reusable,
        }
    }
}

fn is_write(attempt: &Attempt) -> bool {
    attempt
        .statement
        .as_ref()
        .is_some_and(|statement| statement.write)
}
