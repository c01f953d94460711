//! Client connections: admits a client, reads its messages and answers each in turn.
//!
//! # Invariants
//!
//! Requests of one connection are handled in their order, and each gets exactly one answer while the client is there. A
//! connection on which something has been read or can be read is not closed without an answer.

mod pipelining;
mod query;
mod response;
mod startup;

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use leverpoint_engine::client_connections::{
    BufferKind as Held, BufferReservation, ClientConnection, ClientConnections,
};
use leverpoint_engine::descriptor_budget::{ClientActivity, ConnectionEviction, DescriptorPermit};
use leverpoint_engine::engine::Engine;
use leverpoint_engine::metrics::increment;
use leverpoint_runtime::{Instant, Stream, now, since, sleep, sleep_until, timeout};

use crate::client::pipelining::ReadAhead;
use crate::io::connection::BufferedConnection;
use crate::postgres::cancel_keys::{CancelKey, CancelKeys};
use crate::postgres::messages::{self, DecodeResult};

/// Time for a whole startup packet, and later for any message that has begun.
///
/// A client must hear of a bad startup packet within 3 s of connecting; a second of that is kept for a busy core.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Round trip of a usual network: a client admitted less than this ago may already have sent a request.
const ROUND_TRIP: Duration = Duration::from_millis(20);

/// What all client connections share.
pub(crate) struct ClientContext {
    /// Takes the requests.
    pub engine: Rc<Engine>,
    /// Throughput and buffer reservations of the client connections.
    pub client_connections: Rc<ClientConnections>,
    /// Asks connections to close.
    pub eviction: Rc<ConnectionEviction>,
    /// The keys by which clients cancel requests.
    pub cancel_keys: Rc<CancelKeys>,
    /// Bytes that all connections together may still read ahead.
    pub read_ahead_budget: Rc<Cell<usize>>,
}

/// Whether a connection is within the number that may be open.
struct Admission {
    /// Else its first request is rejected, and the connection ends.
    has_capacity: bool,
    /// The client has been told so, and nothing more of it is here.
    rejected: bool,
    /// How long the first request of a client without capacity is waited for.
    linger: Duration,
}

/// One client connection.
struct Client {
    connection: BufferedConnection,
    context: Rc<ClientContext>,
    engine: Rc<Engine>,
    /// The key by which the client may cancel its open request, once it is admitted.
    cancel_key: Option<CancelKey>,
    read_ahead: ReadAhead,
    began: Instant,
    /// The longest client timeout.
    longest_timeout: Duration,
    peer: Rc<ClientConnection>,
    admission: Admission,
    _descriptor: DescriptorPermit,
}

impl Drop for Client {
    fn drop(&mut self) {
        increment(&self.engine.metrics.clients.closed);
    }
}

/// The message that is being read.
struct MessageInProgress {
    /// What the client has shown of itself so far.
    shown: ClientActivity,
    /// Buffer reserved for a long message.
    room: Option<BufferReservation>,
    /// By when the message must be whole, or has kept its rate.
    deadline: Option<Instant>,
}

/// Outcome of waiting for more of a message.
enum ReadOutcome {
    /// More bytes may be there.
    Progress,
    /// The deadline has passed.
    TimedOut,
    /// No buffer could be reserved for the rest of the message.
    NoCapacity,
    /// The connection is evicted as too slow.
    Evicted,
    /// The connection is to close in order.
    Close,
    /// The client has sent no request yet and makes room for others, at once.
    MakeRoom,
}

/// What follows a message.
#[derive(PartialEq)]
enum Next {
    /// The next message is read.
    Continue,
    /// The connection ends.
    Close,
}

/// Serves one client connection to its end; the connection was accepted after `connected`.
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
    let connection = BufferedConnection::of_client(stream, connected);
    let peer = context.client_connections.register(connection.stream());
    let admission = Admission {
        has_capacity,
        rejected: false,
        linger: engine.connect_timeout(),
    };
    let mut client = Client {
        connection,
        engine,
        cancel_key: None,
        read_ahead: ReadAhead::new(context.read_ahead_budget.clone()),
        began: now(),
        longest_timeout,
        peer,
        admission,
        context,
        _descriptor: descriptor,
    };
    // Whatever error ends the connection, it concerns nobody else: an open request is ended through its ticket.
    let _ = client.serve().await;
    if client.peer.is_evicted() {
        // What stands in the kernel for it goes as well.
        client.connection.discard();
    }
}

impl Client {
    async fn serve(&mut self) -> io::Result<()> {
        // What had been sent before the connection was accepted is known from here on to have been received.
        self.read_available()?;
        if self.admit_in_time().await? == Next::Close {
            return Ok(());
        }
        let mut progress = MessageInProgress {
            shown: ClientActivity::StartupReceived,
            room: None,
            deadline: None,
        };
        let mut skipping = false;
        while let Some((tag, body)) = self.next_message(&mut progress).await? {
            let room = progress.room.take();
            let next = self.handle_message(tag, body, room, &mut skipping).await?;
            if next == Next::Close {
                break;
            }
        }
        Ok(())
    }

    /// Reads the next message; none where the connection ends instead.
    async fn next_message(
        &mut self,
        progress: &mut MessageInProgress,
    ) -> io::Result<Option<(u8, Vec<u8>)>> {
        loop {
            let length = match messages::decode_message(&mut self.connection.input) {
                DecodeResult::Message(tag, body) => {
                    self.on_message_complete(progress);
                    return Ok(Some((tag, body)));
                }
                DecodeResult::TooLong => {
                    self.close_with_error("54000", "the message is longer than is taken")
                        .await?;
                    return Ok(None);
                }
                DecodeResult::InvalidLength => {
                    self.close_with_error("08P01", "a message of impossible length")
                        .await?;
                    return Ok(None);
                }
                DecodeResult::Incomplete(length) => length,
            };
            let idle_since = self.on_message_incomplete(progress);
            let outcome = self.read_more(length, progress, idle_since).await?;
            if self.on_read_outcome(outcome, progress).await? == Next::Close {
                return Ok(None);
            }
        }
    }

    /// Notes that the client is idle or has begun a message; returns since when it counts as idle.
    fn on_message_incomplete(&mut self, progress: &mut MessageInProgress) -> Instant {
        let at = now();
        if self.connection.input.is_empty() {
            self.read_ahead.release();
        } else if progress.deadline.is_none() {
            self.peer.on_bytes_received(self.connection.input.len());
            progress.deadline = Some(at + MESSAGE_TIMEOUT);
        }
        if progress.shown == ClientActivity::StartupReceived {
            self.began
        } else {
            at
        }
    }

    fn on_message_complete(&mut self, progress: &mut MessageInProgress) {
        self.peer.on_message();
        progress.shown = if self.peer.is_proven() {
            ClientActivity::Proven
        } else {
            ClientActivity::MessageReceived
        };
        if progress.deadline.take().is_some() {
            self.peer.on_message_complete();
        }
        self.connection.expect_usual();
    }

    async fn on_read_outcome(
        &mut self,
        outcome: ReadOutcome,
        progress: &mut MessageInProgress,
    ) -> io::Result<Next> {
        match outcome {
            ReadOutcome::Progress => return Ok(Next::Continue),
            ReadOutcome::TimedOut => match self.peer.on_partial_message() {
                extended @ Some(_) => {
                    progress.deadline = extended;
                    return Ok(Next::Continue);
                }
                None => {
                    self.close_with_error("08P01", "no whole message in time")
                        .await?;
                }
            },
            ReadOutcome::NoCapacity => {
                self.close_with_error("53300", "no room for the message")
                    .await?;
            }
            ReadOutcome::Evicted => {
                self.close_with_error("08P01", "too slow, and room is short")
                    .await?;
            }
            // Received just in time; a wait for its end is not one of the client's.
            ReadOutcome::Close if self.read_available()? => return Ok(Next::Continue),
            ReadOutcome::Close => self.close_unread().await?,
            // A request may be here or on its way: it is rejected then, rather than cut off.
            ReadOutcome::MakeRoom => {
                if !self.read_available()? && since(self.began) >= ROUND_TRIP {
                    return Ok(Next::Close);
                }
                self.admission.has_capacity = false;
                self.admission.linger = ROUND_TRIP;
                return Ok(Next::Continue);
            }
        }
        Ok(Next::Close)
    }

    /// Waits for more of a message of `length` bytes.
    async fn read_more(
        &mut self,
        length: usize,
        progress: &mut MessageInProgress,
        idle_since: Instant,
    ) -> io::Result<ReadOutcome> {
        let (shown, deadline) = (progress.shown, progress.deadline);
        let eviction = self.context.eviction.clone();
        let Admission {
            has_capacity,
            linger,
            ..
        } = self.admission;
        let idle = self.connection.input.is_empty();
        if idle
            && matches!(
                shown,
                ClientActivity::MessageReceived | ClientActivity::Proven
            )
        {
            eviction.on_idle(self.engine.open_requests());
        }
        let may_leave = has_capacity
            && (idle || (shown == ClientActivity::StartupReceived && !eviction.is_evicting_all()));
        let peer = self.peer.clone();
        tokio::select! {
            biased;
            outcome = self.read_bytes(length, &mut progress.room) => outcome,
            () = peer.evicted() => Ok(ReadOutcome::Evicted),
            () = eviction.requested(shown, idle_since), if may_leave => Ok(match shown {
                // One that has begun a request is heard, unless it is one of too many.
                _ if eviction.is_evicting_all() && !idle => ReadOutcome::Progress,
                ClientActivity::StartupReceived if !eviction.is_evicting_all() => ReadOutcome::MakeRoom,
                _ => ReadOutcome::Close,
            }),
            () = sleep(linger), if !has_capacity => Ok(ReadOutcome::Close),
            () = sleep_until(deadline.unwrap_or_else(now)), if deadline.is_some() => Ok(ReadOutcome::TimedOut),
        }
    }

    /// Reads once, with a buffer reserved where the message is long.
    async fn read_bytes(
        &mut self,
        length: usize,
        room: &mut Option<BufferReservation>,
    ) -> io::Result<ReadOutcome> {
        let before = self.connection.input.len();
        let reserved = self
            .connection
            .expect(length, &self.peer, Held::Request, room);
        match timeout(MESSAGE_TIMEOUT, reserved).await {
            Ok(Duration::ZERO) => {}
            // Nothing was read meanwhile, and not by the client's doing.
            Ok(waited) => self.peer.exclude_wait(waited),
            Err(_) => return Ok(ReadOutcome::NoCapacity),
        }
        let n = self.connection.read().await?;
        if before > 0 {
            self.peer.on_bytes_received(n);
        }
        Ok(ReadOutcome::Progress)
    }

    /// Reads what the operating system has received for this connection; returns whether there was anything.
    fn read_available(&mut self) -> io::Result<bool> {
        loop {
            match self.connection.read_past() {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                read => return read.map(|_| true),
            }
        }
    }

    /// Handles a message; `skipping` is set from an error of the extended protocol to the next Sync.
    async fn handle_message(
        &mut self,
        tag: u8,
        body: Vec<u8>,
        room: Option<BufferReservation>,
        skipping: &mut bool,
    ) -> io::Result<Next> {
        match tag {
            b'X' => return Ok(Next::Close),
            b'S' => {
                *skipping = false;
                self.conclude(Vec::new(), None).await?;
            }
            _ if *skipping => {}
            b'Q' => {
                let received = self.connection.received_at();
                self.handle_query(body, received, room).await?;
                if self.admission.rejected {
                    self.close_unread().await?;
                    return Ok(Next::Close);
                }
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                *skipping = tag != b'F';
                self.refuse("0A000", "only simple queries are taken", tag == b'F')
                    .await?;
            }
            b'd' | b'c' | b'f' => {}
            _ => {
                self.close_with_error("08P01", "a message of unknown type")
                    .await?;
                return Ok(Next::Close);
            }
        }
        Ok(Next::Continue)
    }
}
