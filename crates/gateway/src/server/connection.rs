//! One connection to a database server.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;

use leverpoint_engine::attempt_error::Progress;
use leverpoint_engine::descriptor_budget::DescriptorPermit;
use leverpoint_engine::engine::Attempt;
use leverpoint_engine::metrics::{Metrics, increment};
use leverpoint_runtime::{Instant, now};

use crate::io::connection::BufferedConnection;
use crate::postgres::messages::{self, DecodeResult};

/// An open connection.
pub(super) struct ServerConnection {
    pub(super) socket: BufferedConnection,
    pub(super) address: SocketAddr,
    pub(super) idle_since: Instant,
    counters: Rc<Metrics>,
    _descriptor: DescriptorPermit,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        increment(&self.counters.servers.closed);
    }
}

impl ServerConnection {
    /// Connects, and waits until the server is ready for a first statement.
    pub(super) async fn open(
        address: SocketAddr,
        kernel_buffer: Option<usize>,
        counters: &Rc<Metrics>,
        descriptor: DescriptorPermit,
    ) -> io::Result<Self> {
        let socket = BufferedConnection::connect(address, kernel_buffer).await?;
        increment(&counters.servers.opened);
        let mut connection = ServerConnection {
            socket,
            address,
            idle_since: now(),
            counters: counters.clone(),
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
        loop {
            match messages::decode_message(&mut self.socket.input) {
                DecodeResult::Message(tag, body) => {
                    self.socket.expect_usual();
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

    /// Writes the statement of an attempt with the time that is left to it; `written` counts the bytes that have left.
    pub(super) async fn write_statement(
        &mut self,
        order: &Attempt,
        written: &Cell<usize>,
    ) -> io::Result<()> {
        // A connection that came up late leaves less.
        let left = order.deadline.saturating_duration_since(now()).as_millis();
        let wait = left.max(1).to_string();
        let head;
        let parts: Vec<&[u8]> = match &order.statement {
            Some(statement) => {
                let (text, at) = (&statement.text, &statement.timeout_range);
                let length = 4 + text.len() - at.len() + wait.len() + 1;
                head = [&b"Q"[..], &(length as u32).to_be_bytes()].concat();
                vec![
                    &head,
                    &text[..at.start],
                    wait.as_bytes(),
                    &text[at.end..],
                    b"\0",
                ]
            }
            None => vec![b"Q\0\0\0\x05\0"],
        };
        order.progress.set(Progress::NotWritten);
        self.socket.write(&parts, written).await
    }

    /// Whether nothing is known to have been received, nor the connection to have ended, while it was idle.
    pub(super) fn is_quiet(&mut self) -> bool {
        matches!(self.socket.read_now(), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// The same, asked of the operating system as well.
    pub(super) fn is_surely_quiet(&mut self) -> bool {
        // In this order: what the runtime knew is cleared with it, or an answer that comes at once would count as
        // there before.
        matches!(self.socket.read_past(), Err(e) if e.kind() == ErrorKind::WouldBlock)
            && self.is_quiet()
    }
}
