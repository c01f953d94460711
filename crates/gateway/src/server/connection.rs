//! One connection to a database server.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;

use leverpoint_engine::answer_matching::AnswerDigest;
use leverpoint_engine::attempt_error::Progress;
use leverpoint_engine::descriptor_budget::DescriptorPermit;
use leverpoint_engine::engine::Attempt;
use leverpoint_engine::metrics::{Metrics, increment};
use leverpoint_runtime::{Instant, now};

use crate::io::connection::BufferedConnection;
use crate::postgres::messages::{self, DecodeResult};

/// The message of a query without a statement; the server answers it at once and executes nothing.
pub(super) const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";

/// An open connection, ready for statements.
pub(super) struct ServerConnection {
    pub(super) socket: BufferedConnection,
    pub(super) address: SocketAddr,
    /// When the connection was opened or its last answer was complete.
    pub(super) idle_since: Instant,
    /// The answer to the last statement, if a copy of it may still arrive.
    pub(super) last_answer: Option<AnswerDigest>,
    pub(super) metrics: Rc<Metrics>,
    _descriptor: DescriptorPermit,
}

impl Drop for ServerConnection {
    /// Closes the connection in order if all that was written has arrived. Otherwise it is reset: the attempt has ended,
    /// so the rest of its statement must never arrive.
    fn drop(&mut self) {
        if self.socket.unacknowledged_bytes() == 0 {
            self.socket.set_reset_on_drop(false);
        }
        increment(&self.metrics.servers.closed);
    }
}

impl ServerConnection {
    /// Connects and waits until the server is ready for a first statement.
    ///
    /// `kernel_buffer` bounds the kernel's buffer of each direction, in bytes.
    ///
    /// # Errors
    ///
    /// `QuotaExceeded` if the server accepts no more connections, `PermissionDenied` if it asks for authentication,
    /// `InvalidData` if it violates the protocol, or the error of the connection.
    pub(super) async fn open(
        address: SocketAddr,
        kernel_buffer: Option<usize>,
        metrics: &Rc<Metrics>,
        descriptor: DescriptorPermit,
    ) -> io::Result<Self> {
        let socket = BufferedConnection::connect(address, kernel_buffer).await?;
        // Also where the process ends without dropping the connection.
        socket.set_reset_on_drop(true);
        increment(&metrics.servers.opened);
        let mut connection = ServerConnection {
            socket,
            address,
            idle_since: now(),
            last_answer: None,
            metrics: metrics.clone(),
            _descriptor: descriptor,
        };
        connection
            .socket
            .write(&[&messages::startup_message()], &Cell::new(0))
            .await?;
        loop {
            match connection.next_startup_message().await? {
                (b'Z', _) if connection.socket.input.is_empty() => return Ok(connection),
                (b'E', body) if messages::sqlstate(&body) == Some(b"53300") => {
                    return Err(ErrorKind::QuotaExceeded.into());
                }
                (b'R', body) if body != [0; 4] => return Err(ErrorKind::PermissionDenied.into()),
                (b'R' | b'S' | b'K' | b'N' | b'v', _) => {}
                _ => return Err(ErrorKind::InvalidData.into()),
            }
        }
    }

    async fn next_startup_message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        self.socket.yield_for_message().await;
        loop {
            match messages::decode_message(&mut self.socket.input) {
                DecodeResult::Message(tag, body) => {
                    self.socket.reset_input_bound();
                    return Ok((tag, body));
                }
                DecodeResult::TooLong | DecodeResult::InvalidLength => {
                    return Err(ErrorKind::InvalidData.into());
                }
                DecodeResult::Incomplete(_) => {
                    self.socket.read().await?;
                }
            }
        }
    }

    /// Writes the statement of an attempt, with the attempt's remaining time as its timeout; a probe is an empty query.
    ///
    /// `written` counts the bytes that the kernel has accepted.
    pub(super) async fn write_statement(
        &mut self,
        attempt: &Attempt,
        written: &Cell<usize>,
    ) -> io::Result<()> {
        // Opening the connection may have taken part of the attempt's timeout.
        let remaining_ms = attempt
            .times
            .deadline
            .saturating_duration_since(now())
            .as_millis();
        let timeout_text = remaining_ms.max(1).to_string();
        let header;
        let parts: Vec<&[u8]> = match &attempt.statement {
            Some(statement) => {
                let (text, range) = (&statement.text, &statement.timeout_range);
                let length = 4 + text.len() - range.len() + timeout_text.len() + 1;
                header = [&b"Q"[..], &(length as u32).to_be_bytes()].concat();
                vec![
                    &header,
                    &text[..range.start],
                    timeout_text.as_bytes(),
                    &text[range.end..],
                    b"\0",
                ]
            }
            None => vec![EMPTY_QUERY],
        };
        attempt.progress.set(Progress::NotWritten);
        self.socket.write(&parts, written).await
    }

    /// Returns whether the runtime has reported neither received bytes nor an end of the connection.
    pub(super) fn has_no_input(&mut self) -> bool {
        matches!(self.socket.try_read(), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Like [`Self::has_no_input`], but also reads directly from the operating system.
    pub(super) fn has_no_input_in_kernel(&mut self) -> bool {
        // The runtime's readiness is read last, which clears it: else an answer that is received at once would count as
        // received before the statement.
        matches!(self.socket.try_read_direct(), Err(e) if e.kind() == ErrorKind::WouldBlock)
            && self.has_no_input()
    }
}
