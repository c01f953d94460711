//! Reading a server's answer to a statement.
//!
//! An answer goes on to the client whole or not at all.

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

/// Least time that a server has to become ready after a whole row.
///
/// Until then the request's index and the connection are held.
const MIN_READY_TIMEOUT: Duration = Duration::from_millis(10);

/// The answer to an attempt.
pub(super) struct Answer {
    pub(super) outcome: AttemptOutcome,
    pub(super) said: ReportedParameters,
    /// Whether the connection may be used again.
    pub(super) reusable: bool,
}

/// A message of an answer, with the buffer reserved for a long one.
struct AnswerMessage {
    tag: u8,
    body: Vec<u8>,
    room: Option<BufferReservation>,
}

/// Progress of an answer that is being received.
struct AnswerProgress<'a> {
    order: &'a Attempt,
    /// Whether the answer is given up as soon as it can't be whole in time.
    judged: bool,
    /// It can't meet its deadline.
    hopeless: bool,
    trickle: SlowResponseDetector,
    began: Instant,
    /// By when the next message must be there.
    deadline: Instant,
}

impl AnswerProgress<'_> {
    fn ticks(&self, at: Instant) -> Ticks {
        duration_to_ticks(at.saturating_duration_since(self.began))
    }

    /// The row is whole: only the server's report and that it is ready are missing.
    fn on_row_complete(&mut self, ready_timeout: Duration) {
        self.judged = false;
        self.deadline = self.deadline.min(now() + ready_timeout);
    }

    /// Reads more of a message of `length` bytes, 0 where that is not known.
    ///
    /// # Errors
    ///
    /// The connection has failed, or the answer can't meet its deadline.
    async fn read_more(
        &mut self,
        socket: &mut BufferedConnection,
        length: usize,
    ) -> io::Result<()> {
        let before = socket.input.len();
        // Nothing has been received: the attempt's own timeout covers that.
        if before == 0 && !self.trickle.has_started() {
            socket.read().await?;
        } else if !self.judged {
            let read = timeout_at(self.deadline, socket.read()).await;
            read.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
        } else {
            // What is there already needs no timer.
            match socket.read_now() {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let look = now() + ticks_to_duration(self.trickle.check_interval());
                    timeout_at(look, socket.read()).await.unwrap_or(Ok(0))?;
                }
                read => {
                    read?;
                }
            }
        }
        if self.judged {
            self.check_rate(socket.input.len(), before, length)?;
        }
        Ok(())
    }

    /// Fails where a message of `length` bytes, of which `received` are there, can't be whole in time.
    fn check_rate(&mut self, received: usize, before: usize, length: usize) -> io::Result<()> {
        let now = self.ticks(now());
        if received > before {
            self.trickle.on_bytes_received(now, received - before);
        }
        let missing = length.saturating_sub(received);
        let deadline = self.ticks(self.order.deadline);
        if self.trickle.cannot_finish(now, missing, deadline) {
            self.hopeless = true;
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
    said: ReportedParameters,
    /// Known once the row or an error is whole.
    outcome: Option<AttemptOutcome>,
}

impl AnswerParts {
    /// Takes a message other than the CommandComplete of a row and ReadyForQuery.
    fn on_message(&mut self, message: AnswerMessage, order: &Attempt) -> Result<(), AttemptError> {
        let AnswerMessage { tag, body, room } = message;
        match (tag, self.outcome) {
            (b'T', None)
                if self.row.messages.is_empty() && messages::describes_one_column(&body) =>
            {
                order.progress.set(Progress::Answering);
                messages::put_message(&mut self.row.messages, tag, &[&body]);
            }
            (b'D', None)
                if !self.has_row
                    && !self.row.messages.is_empty()
                    && (messages::holds_one_value(&body) || failpoint_active("unchecked")) =>
            {
                self.has_row = true;
                messages::put_message(&mut self.row.messages, tag, &[&body]);
                self.row.reservations.extend(room);
            }
            (b'I', None) if order.statement.is_none() => {
                self.outcome = Some(AttemptOutcome::Answered);
            }
            (b'E', None) => self.outcome = Some(self.error_outcome(&body)),
            (b'S', _) => self.said.record(messages::parse_parameter_status(&body)),
            (b'N', _) => {}
            _ => return Err(order.error(Cause::ProtocolViolation)),
        }
        Ok(())
    }

    /// The outcome that an ErrorResponse stands for.
    fn error_outcome(&self, body: &[u8]) -> AttemptOutcome {
        match messages::sqlstate(body) {
            // A statement whose answer has begun was executed, whatever the server says then.
            _ if !self.row.messages.is_empty() => AttemptOutcome::Error,
            Some(b"25006" | b"72000") => AttemptOutcome::NotCaughtUp,
            Some(b"53300") => AttemptOutcome::Overloaded,
            _ => AttemptOutcome::Error,
        }
    }

    /// The answer of a connection that has failed before the server was ready.
    fn on_connection_error(
        &self,
        error: &io::Error,
        progress: &AnswerProgress<'_>,
    ) -> Result<Answer, AttemptError> {
        let order = progress.order;
        match self.outcome {
            // An error that ends the connection has been said whole all the same.
            Some(outcome) if outcome != AttemptOutcome::Answered => Ok(Answer {
                outcome,
                said: self.said,
                reusable: false,
            }),
            _ if error.kind() == ErrorKind::InvalidData => {
                Err(order.error(Cause::ProtocolViolation))
            }
            _ if progress.hopeless => Err(order.error(Cause::TooSlow)),
            _ => Err(order.error(Cause::ConnectionBroken)),
        }
    }
}

impl ServerConnection {
    /// Reads the answer until the server is ready for the next statement.
    pub(super) async fn read_answer(
        &mut self,
        order: &Attempt,
        peers: &ClientConnections,
    ) -> Result<Answer, AttemptError> {
        let statement = order.statement.as_ref();
        let writes = statement.is_some_and(|statement| statement.write);
        let caps = peers.limits();
        let mut parts = AnswerParts::default();
        let mut progress = AnswerProgress {
            order,
            // A write that is given up early could not be retried; it has its whole time.
            judged: caps.enabled && !writes,
            hopeless: false,
            trickle: SlowResponseDetector::new(order.timeout),
            began: now(),
            deadline: order.deadline,
        };
        loop {
            let message = match self.next_message(&mut progress).await {
                Ok(message) => message,
                Err(error) => return parts.on_connection_error(&error, &progress),
            };
            match (message.tag, parts.outcome) {
                (b'C', None)
                    if parts.has_row && messages::completes_one_row(&message.body, writes) =>
                {
                    messages::put_message(&mut parts.row.messages, message.tag, &[&message.body]);
                    order.on_row_complete(std::mem::take(&mut parts.row));
                    progress.on_row_complete(
                        ticks_to_duration(caps.ready_timeout).max(MIN_READY_TIMEOUT),
                    );
                    parts.outcome = Some(AttemptOutcome::Answered);
                }
                (b'Z', Some(outcome)) if message.body == b"I" => {
                    return Ok(self.ready_answer(order, outcome, parts.said));
                }
                _ => parts.on_message(message, order)?,
            }
        }
    }

    /// The answer of a server that is ready for the next statement.
    fn ready_answer(
        &self,
        order: &Attempt,
        outcome: AttemptOutcome,
        said: ReportedParameters,
    ) -> Answer {
        // What stands behind it already belongs to no statement.
        let reusable = self.socket.input.is_empty() || failpoint_active("leftovers-kept");
        let outcome = if outcome == AttemptOutcome::Answered {
            order.on_report_complete(said)
        } else {
            outcome
        };
        Answer {
            outcome,
            said,
            reusable,
        }
    }

    /// The next message of an answer.
    async fn next_message(
        &mut self,
        progress: &mut AnswerProgress<'_>,
    ) -> io::Result<AnswerMessage> {
        let mut room = None;
        loop {
            let length = match messages::decode_message(&mut self.socket.input) {
                DecodeResult::Message(tag, body) => {
                    self.socket.expect_usual();
                    return Ok(AnswerMessage { tag, body, room });
                }
                DecodeResult::TooLong | DecodeResult::InvalidLength => {
                    return Err(ErrorKind::InvalidData.into());
                }
                DecodeResult::Incomplete(length) => length,
            };
            let order = progress.order;
            if let Some(peer) = &order.client {
                let reserved = self
                    .socket
                    .expect(length, peer, BufferKind::Response, &mut room);
                let waited = reserved.await;
                progress.trickle.exclude_wait(duration_to_ticks(waited));
            }
            progress.read_more(&mut self.socket, length).await?;
        }
    }
}
