//! Reads a server's answer to a statement.
//!
//! # Invariants
//!
//! An answer is passed to the client completely or not at all.

use std::io::{self, ErrorKind};
use std::time::Duration;

use leverpoint_backpressure::SlowResponseDetector;
use leverpoint_config::settings::{duration_to_ticks, ticks_to_duration};
use leverpoint_engine::attempt_error::{AttemptError, Cause, Progress};
use leverpoint_engine::client_connections::{BufferKind, BufferReservation, ClientConnections};
use leverpoint_engine::engine::{Attempt, ReportedParameters, Row};
use leverpoint_routing::api::{AttemptOutcome, Ticks};
use leverpoint_runtime::{Instant, failpoint_active, now, timeout_at};

use crate::io::connection::BufferedConnection;
use crate::postgres::messages::{self, DecodeResult};
use crate::server::connection::ServerConnection;

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
struct AnswerMessage {
    tag: u8,
    body: Vec<u8>,
    reservation: Option<BufferReservation>,
}

/// State of an answer that is being received.
struct AnswerProgress<'a> {
    attempt: &'a Attempt,
    /// Whether the answer is abandoned as soon as it can't be complete by its deadline.
    rate_checked: bool,
    /// The answer was abandoned for that reason.
    too_slow: bool,
    slow_detector: SlowResponseDetector,
    started: Instant,
    /// When the next message must be complete.
    deadline: Instant,
}

impl AnswerProgress<'_> {
    /// Returns the ticks from the start of the answer to `at`.
    fn ticks(&self, at: Instant) -> Ticks {
        duration_to_ticks(at.saturating_duration_since(self.started))
    }

    /// Records that the row is complete: only reported parameters and ReadyForQuery are still to come.
    fn on_row_complete(&mut self, ready_timeout: Duration) {
        self.rate_checked = false;
        self.deadline = self.deadline.min(now() + ready_timeout);
    }

    /// Reads more of a message of `length` bytes, 0 if the length is unknown.
    ///
    /// # Errors
    ///
    /// The connection failed, or the answer can't be complete by its deadline.
    async fn read_more(
        &mut self,
        socket: &mut BufferedConnection,
        length: usize,
    ) -> io::Result<()> {
        let before = socket.input.len();
        // Until the first byte, only the attempt's own timeout applies.
        if before == 0 && !self.slow_detector.has_started() {
            socket.read().await?;
        } else if !self.rate_checked {
            let read = timeout_at(self.deadline, socket.read()).await;
            read.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
        } else {
            // Bytes that have been received are read without a timer.
            match socket.read_received().await {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let next_check = now() + ticks_to_duration(self.slow_detector.check_interval());
                    timeout_at(next_check, socket.read())
                        .await
                        .unwrap_or(Ok(0))?;
                }
                read => {
                    read?;
                }
            }
        }
        if self.rate_checked {
            self.check_rate(socket.input.len(), before, length)?;
        }
        Ok(())
    }

    /// Checks whether a message of `length` bytes can be complete by the attempt's deadline.
    ///
    /// `before` and `received` are the numbers of its bytes before and after the last read.
    ///
    /// # Errors
    ///
    /// `TimedOut` if it can't.
    fn check_rate(&mut self, received: usize, before: usize, length: usize) -> io::Result<()> {
        let now = self.ticks(now());
        if received > before {
            self.slow_detector.on_bytes_received(now, received - before);
        }
        let missing = length.saturating_sub(received);
        let deadline = self.ticks(self.attempt.deadline);
        if self.slow_detector.cannot_finish(now, missing, deadline) {
            self.too_slow = true;
            return Err(ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}

/// The parts of an answer that have been received.
#[derive(Default)]
struct AnswerParts {
    row: Row,
    has_row: bool,
    reported: ReportedParameters,
    /// Known once the row or an error is complete.
    outcome: Option<AttemptOutcome>,
}

impl AnswerParts {
    /// Handles any message but the CommandComplete of a row and ReadyForQuery.
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
                if self.row.messages.is_empty() && messages::describes_one_column(&body) =>
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
            (b'E', None) => self.outcome = Some(self.error_outcome(&body)),
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

    /// Returns the answer of a connection that failed before the server was ready.
    ///
    /// # Errors
    ///
    /// No error of the server was complete before.
    fn on_connection_error(
        &self,
        error: &io::Error,
        progress: &AnswerProgress<'_>,
    ) -> Result<Answer, AttemptError> {
        let attempt = progress.attempt;
        match self.outcome {
            // The server has sent a complete error before it closed the connection.
            Some(outcome) if outcome != AttemptOutcome::Answered => Ok(Answer {
                outcome,
                reported: self.reported,
                reusable: false,
            }),
            _ if error.kind() == ErrorKind::InvalidData => {
                Err(attempt.error(Cause::ProtocolViolation))
            }
            _ if progress.too_slow => Err(attempt.error(Cause::TooSlow)),
            _ => Err(attempt.error(Cause::ConnectionBroken)),
        }
    }
}

impl ServerConnection {
    /// Reads the answer until the server is ready for the next statement.
    ///
    /// A row is passed on as soon as it is complete, see [`Attempt::on_row_complete`].
    ///
    /// # Errors
    ///
    /// The answer is invalid, too slow, or cut off before it decided the outcome.
    pub(super) async fn read_answer(
        &mut self,
        attempt: &Attempt,
        client_connections: &ClientConnections,
    ) -> Result<Answer, AttemptError> {
        let statement = attempt.statement.as_ref();
        let is_write = statement.is_some_and(|statement| statement.write);
        let limits = client_connections.limits();
        let mut parts = AnswerParts::default();
        let mut progress = AnswerProgress {
            attempt,
            // A write is never abandoned early: it could not be retried, so it gets its whole timeout.
            rate_checked: limits.enabled && !is_write,
            too_slow: false,
            slow_detector: SlowResponseDetector::new(attempt.timeout),
            started: now(),
            deadline: attempt.deadline,
        };
        loop {
            let message = match self.next_message(&mut progress).await {
                Ok(message) => message,
                Err(error) => return parts.on_connection_error(&error, &progress),
            };
            match (message.tag, parts.outcome) {
                (b'C', None)
                    if parts.has_row && messages::completes_one_row(&message.body, is_write) =>
                {
                    messages::put_message(&mut parts.row.messages, message.tag, &[&message.body]);
                    attempt.on_row_complete(std::mem::take(&mut parts.row));
                    progress.on_row_complete(
                        ticks_to_duration(limits.ready_timeout).max(MIN_READY_TIMEOUT),
                    );
                    parts.outcome = Some(AttemptOutcome::Answered);
                }
                (b'Z', Some(outcome)) if message.body == b"I" => {
                    return Ok(self.ready_answer(attempt, outcome, parts.reported));
                }
                _ => parts.on_message(message, attempt)?,
            }
        }
    }

    /// Returns the answer once the server is ready for the next statement.
    fn ready_answer(
        &self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        reported: ReportedParameters,
    ) -> Answer {
        // Bytes received after ReadyForQuery belong to no statement.
        let reusable = self.socket.input.is_empty() || failpoint_active("leftovers-kept");
        let outcome = if outcome == AttemptOutcome::Answered {
            attempt.on_report_complete(reported)
        } else {
            outcome
        };
        Answer {
            outcome,
            reported,
            reusable,
        }
    }

    /// Reads the next message of an answer, with a buffer reserved if it is long.
    async fn next_message(
        &mut self,
        progress: &mut AnswerProgress<'_>,
    ) -> io::Result<AnswerMessage> {
        let mut reservation = None;
        loop {
            let length = match messages::decode_message(&mut self.socket.input) {
                DecodeResult::Message(tag, body) => {
                    self.socket.reset_input_bound();
                    return Ok(AnswerMessage {
                        tag,
                        body,
                        reservation,
                    });
                }
                DecodeResult::TooLong | DecodeResult::InvalidLength => {
                    return Err(ErrorKind::InvalidData.into());
                }
                DecodeResult::Incomplete(length) => length,
            };
            let attempt = progress.attempt;
            if let Some(client) = &attempt.client {
                let reserved = self.socket.reserve_input(
                    length,
                    client,
                    BufferKind::Response,
                    &mut reservation,
                );
                let waited = reserved.await;
                progress
                    .slow_detector
                    .exclude_wait(duration_to_ticks(waited));
            }
            progress.read_more(&mut self.socket, length).await?;
        }
    }
}
