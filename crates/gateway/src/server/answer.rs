//! Receives a server's answer to a statement.

use std::cell::Cell;
use std::io::{self, ErrorKind};

use leverpoint_engine::attempt_error::{AttemptError, Cause};
use leverpoint_engine::client_connections::{BufferKind, ClientConnections};
use leverpoint_engine::engine::Attempt;

use crate::postgres::messages::{self, DecodeResult};
use crate::server::answer_progress::AnswerProgress;
use crate::server::answer_reader::{Answer, AnswerMessage, AnswerReader, NextStep};
use crate::server::connection::{EMPTY_QUERY, ServerConnection};

impl ServerConnection {
    /// Reads the answer until the server is ready for the next statement.
    ///
    /// A row is passed on as soon as it is complete, see [`Attempt::on_row_complete`], unless it may belong to the
    /// connection's previous statement.
    ///
    /// # Errors
    ///
    /// The answer is invalid, too slow, or cut off before it decided the outcome.
    pub(super) async fn read_answer(
        &mut self,
        attempt: &Attempt,
        client_connections: &ClientConnections,
    ) -> Result<Answer, AttemptError> {
        let previous = self.last_answer.take();
        let metrics = self.metrics.clone();
        let mut reader = AnswerReader::new(attempt, previous, client_connections, &metrics);
        loop {
            let message = match self.next_message(&mut reader.progress).await {
                Ok(message) => message,
                Err(error) => return reader.on_connection_error(&error),
            };
            match reader.on_message(message)? {
                NextStep::Read => {}
                NextStep::SendEmptyQuery => self.send_empty_query(attempt).await?,
                NextStep::Finish => break,
            }
        }
        let (answer, last_answer) = reader.finish(!self.socket.input.is_empty());
        self.last_answer = last_answer;
        Ok(answer)
    }

    /// Sends an empty query behind the attempt's statement, whose answer marks the end of the statement's.
    ///
    /// # Errors
    ///
    /// The connection failed, or its server drains or has gone: nothing more is sent to it.
    async fn send_empty_query(&mut self, attempt: &Attempt) -> Result<(), AttemptError> {
        if !attempt.is_server_unchanged() {
            return Err(attempt.error(Cause::ProtocolViolation));
        }
        let sent = self.socket.write(&[EMPTY_QUERY], &Cell::new(0)).await;
        sent.map_err(|_| attempt.error(Cause::ConnectionBroken))
    }

    /// Reads the next message of an answer, with a buffer reserved if it is long.
    async fn next_message(
        &mut self,
        progress: &mut AnswerProgress<'_>,
    ) -> io::Result<AnswerMessage> {
        let mut reservation = None;
        self.socket.yield_for_message().await;
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
                progress.exclude_wait(waited);
            }
            progress.read_more(&mut self.socket, length).await?;
        }
    }
}
