//! Client connections: admits a client, reads its messages and answers its requests in order.
//!
//! # Invariants
//!
//! The requests of a connection are handled in their order, and each gets exactly one answer while the client is
//! connected. A connection that has input, read or unread, is not closed without an answer.

mod pacing;
mod pipelining;
mod query;
mod reading;
mod response;
mod startup;

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use leverpoint_backpressure::{HandledMessage, MessageEffect};
use leverpoint_engine::client_connections::{
    BufferReservation, ClientConnection, ClientConnections,
};
use leverpoint_engine::descriptor_budget::{ConnectionEviction, DescriptorPermit};
use leverpoint_engine::diagnostics::{CloseReason, ClosedClient};
use leverpoint_engine::engine::Engine;
use leverpoint_engine::metrics::increment;
use leverpoint_runtime::{Instant, Stream, now, since};

use crate::client::pacing::MessagePacing;
use crate::client::pipelining::ReadAhead;
use crate::client::reading::MessageInProgress;
use crate::io::connection::BufferedConnection;
use crate::postgres::cancel_keys::{CancelKey, CancelKeys};

/// Time in which a startup packet, and later any message whose first byte was received, has to be complete.
///
/// A client must get the error for a bad startup packet within 3 s of connecting; one second of that is left for a busy
/// core.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// State that all client connections share.
pub(crate) struct ClientContext {
    /// Routes and answers the requests.
    pub engine: Rc<Engine>,
    /// Throughput and buffer reservations of the client connections.
    pub client_connections: Rc<ClientConnections>,
    /// Selects connections to close when descriptors run short, and all of them at shutdown.
    pub eviction: Rc<ConnectionEviction>,
    /// The cancel keys of all connections.
    pub cancel_keys: Rc<CancelKeys>,
    /// Further bytes that all connections together may read ahead.
    pub read_ahead_budget: Rc<Cell<usize>>,
}

/// Whether a connection is within the number that may be open, and how it is rejected otherwise.
struct Admission {
    /// If not, the connection's requests are rejected, and it is closed.
    has_capacity: bool,
    /// The client's last request received was rejected; the connection is to be closed.
    rejected: bool,
    /// How long a request is awaited from a client without capacity.
    request_timeout: Duration,
}

/// One client connection.
struct Client {
    connection: BufferedConnection,
    context: Rc<ClientContext>,
    engine: Rc<Engine>,
    /// The key by which the client can cancel its open request; none before it is admitted.
    cancel_key: Option<CancelKey>,
    read_ahead: ReadAhead,
    accepted_at: Instant,
    /// The longest client timeout of all request classes.
    longest_timeout: Duration,
    /// The connection as backpressure sees it.
    registration: Rc<ClientConnection>,
    admission: Admission,
    pacing: MessagePacing,
    /// Messages received after the startup.
    messages: u64,
    /// Why the connection ends, as far as the gateway has decided it.
    close_reason: CloseReason,
    _descriptor: DescriptorPermit,
}

impl Drop for Client {
    fn drop(&mut self) {
        increment(&self.engine.metrics.clients.closed);
        let reason = if self.registration.is_evicted() {
            CloseReason::Slow
        } else {
            self.close_reason
        };
        self.engine.on_client_closed(&ClosedClient {
            reason,
            messages: self.messages,
            open_for: since(self.accepted_at),
        });
    }
}

/// What to do after a message.
#[derive(PartialEq)]
enum NextStep {
    /// Read the next message.
    Continue,
    /// Drop the connection, which has been closed where necessary.
    Close,
}

/// Serves one client connection to its end.
///
/// The client connected after `connected`. Without `has_capacity` its requests are rejected.
pub(crate) async fn serve(
    stream: Stream,
    connected: Instant,
    context: Rc<ClientContext>,
    descriptor: DescriptorPermit,
    has_capacity: bool,
) {
    let engine = context.engine.clone();
    increment(&engine.metrics.clients.opened);
    let longest_timeout = engine.longest_timeout();
    let connection = BufferedConnection::for_client(stream, connected);
    let registration = context.client_connections.register(connection.stream());
    let admission = Admission {
        has_capacity,
        rejected: false,
        request_timeout: engine.connect_timeout(),
    };
    let mut client = Client {
        connection,
        engine,
        cancel_key: None,
        read_ahead: ReadAhead::new(context.read_ahead_budget.clone()),
        accepted_at: now(),
        longest_timeout,
        registration,
        admission,
        pacing: MessagePacing::default(),
        messages: 0,
        close_reason: CloseReason::Client,
        context,
        _descriptor: descriptor,
    };
    // An error concerns this connection alone; dropping its `PendingRequest` tells the engine of the disconnect.
    let _ = client.serve().await;
    if client.registration.is_evicted() {
        // A reset frees the kernel's buffers of the connection as well.
        client.connection.set_reset_on_drop(true);
    }
}

impl Client {
    async fn serve(&mut self) -> io::Result<()> {
        // Records the receive time of what was sent before the connection was accepted.
        self.read_available()?;
        if self.admit_within_timeout().await? == NextStep::Close {
            return Ok(());
        }
        let mut progress = MessageInProgress::after_startup();
        let mut skip_until_sync = false;
        while let Some((tag, body)) = self.next_message(&mut progress).await? {
            let (length, reservation) = (body.len(), progress.take_reservation());
            let handled = self
                .handle_message(tag, body, reservation, &mut skip_until_sync)
                .await?;
            let Some(effect) = handled else {
                break;
            };
            self.pause_after_message(HandledMessage { effect, length })
                .await;
        }
        Ok(())
    }

    /// Reads once what the operating system has received for this connection; returns whether there was anything.
    fn read_available(&mut self) -> io::Result<bool> {
        loop {
            match self.connection.try_read_direct() {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                read => return read.map(|_| true),
            }
        }
    }

    /// Ends the connection's turn where it is due.
    async fn pause_after_message(&mut self, message: HandledMessage) {
        let is_shutting_down = self.context.eviction.is_evicting_all();
        let has_paused = self
            .pacing
            .after_message(&self.registration, message, is_shutting_down)
            .await;
        if has_paused {
            self.connection.on_reading_paused();
        }
    }

    /// Handles a message, and returns what it led to; none if the connection is to be dropped, closed where necessary.
    ///
    /// `skip_until_sync` is set after an error of the extended protocol, whose messages are then ignored until a Sync.
    async fn handle_message(
        &mut self,
        tag: u8,
        body: Vec<u8>,
        reservation: Option<BufferReservation>,
        skip_until_sync: &mut bool,
    ) -> io::Result<Option<MessageEffect>> {
        match tag {
            b'X' => return Ok(None),
            b'S' => {
                *skip_until_sync = false;
                self.write_with_ready(Vec::new(), None).await?;
            }
            _ if *skip_until_sync => {}
            b'Q' => {
                let received = self.connection.received_at();
                let effect = self.handle_query(body, received, reservation).await?;
                if self.admission.rejected {
                    self.close_reason = CloseReason::Capacity;
                    self.close_without_reading().await?;
                    return Ok(None);
                }
                return Ok(Some(effect));
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                *skip_until_sync = tag != b'F';
                self.reject("0A000", "only simple queries are taken", tag == b'F')
                    .await?;
            }
            b'd' | b'c' | b'f' => {}
            _ => {
                self.close_reason = CloseReason::Invalid;
                self.close_with_error("08P01", "a message of unknown type")
                    .await?;
                return Ok(None);
            }
        }
        Ok(Some(MessageEffect::NoRequest))
    }
}
