//! Client connections: admits a client, reads its messages and answers its requests in order.
//!
//! # Invariants
//!
//! The requests of a connection are handled in their order, and each gets exactly one answer while the client is
//! connected. A connection that has input, read or unread, is not closed without an answer.

mod pacing;
mod pipelining;
mod query;
mod response;
mod startup;

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use leverpoint_backpressure::{HandledMessage, MessageEffect};
use leverpoint_engine::client_connections::{
    BufferKind as ReservationKind, BufferReservation, ClientConnection, ClientConnections,
};
use leverpoint_engine::descriptor_budget::{ClientActivity, ConnectionEviction, DescriptorPermit};
use leverpoint_engine::diagnostics::{CloseReason, ClosedClient};
use leverpoint_engine::engine::Engine;
use leverpoint_engine::metrics::increment;
use leverpoint_runtime::{Instant, Stream, now, since, sleep, sleep_until, timeout};

use crate::client::pacing::MessagePacing;
use crate::client::pipelining::ReadAhead;
use crate::io::connection::BufferedConnection;
use crate::postgres::cancel_keys::{CancelKey, CancelKeys};
use crate::postgres::messages::{self, DecodeResult};

/// Time in which a startup packet, and later any message whose first byte was received, has to be complete.
///
/// A client must get the error for a bad startup packet within 3 s of connecting; one second of that is left for a busy
/// core.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest total wait for a buffer for one message.
///
/// A client that stops within a message is owed its error within 3 s: this wait and the stall timeout of a second.
const MAX_BUFFER_WAIT: Duration = Duration::from_millis(1_500);

/// Round trip time of a usual network: a client accepted less than this ago may have a request under way.
const ROUND_TRIP: Duration = Duration::from_millis(20);

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

/// The message that is being read.
struct MessageInProgress {
    /// What the client has done so far.
    activity: ClientActivity,
    /// Buffer reserved for a long message.
    reservation: Option<BufferReservation>,
    /// How long a buffer has been waited for.
    buffer_wait: Duration,
    /// When the message must be complete, or received at the required rate; none before its first byte.
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
    /// The connection is to be closed after what was received has been answered.
    Close,
    /// The connection is to be closed at once to free its descriptor; the client has sent no request yet.
    FreeDescriptor,
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
        client.connection.reset_on_drop();
    }
}

impl Client {
    async fn serve(&mut self) -> io::Result<()> {
        // Records the receive time of what was sent before the connection was accepted.
        self.read_available()?;
        if self.admit_within_timeout().await? == NextStep::Close {
            return Ok(());
        }
        let mut progress = MessageInProgress {
            activity: ClientActivity::StartupReceived,
            reservation: None,
            buffer_wait: Duration::ZERO,
            deadline: None,
        };
        let mut skip_until_sync = false;
        while let Some((tag, body)) = self.next_message(&mut progress).await? {
            let (length, reservation) = (body.len(), progress.reservation.take());
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

    /// Reads the next message; none if the connection ends instead.
    ///
    /// # Errors
    ///
    /// The connection failed or was closed by the client.
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
                    self.close_reason = CloseReason::Invalid;
                    self.close_with_error("54000", "the message is longer than is taken")
                        .await?;
                    return Ok(None);
                }
                DecodeResult::InvalidLength => {
                    self.close_reason = CloseReason::Invalid;
                    self.close_with_error("08P01", "a message of impossible length")
                        .await?;
                    return Ok(None);
                }
                DecodeResult::Incomplete(length) => length,
            };
            let idle_since = self.on_message_incomplete(progress);
            let outcome = self.read_more(length, progress, idle_since).await?;
            if self.on_read_outcome(outcome, progress).await? == NextStep::Close {
                return Ok(None);
            }
        }
    }

    /// Records that the client is idle or has begun a message; returns since when it counts as idle.
    fn on_message_incomplete(&mut self, progress: &mut MessageInProgress) -> Instant {
        let at = now();
        if self.connection.input.is_empty() {
            self.read_ahead.release();
        } else if progress.deadline.is_none() {
            self.registration
                .on_bytes_received(self.connection.input.len());
            progress.deadline = Some(at + MESSAGE_TIMEOUT);
        }
        if progress.activity == ClientActivity::StartupReceived {
            self.accepted_at
        } else {
            at
        }
    }

    /// Records that the client has sent a complete message.
    fn on_message_complete(&mut self, progress: &mut MessageInProgress) {
        self.messages += 1;
        self.registration.on_message();
        progress.activity = if self.registration.is_proven() {
            ClientActivity::Proven
        } else {
            ClientActivity::MessageReceived
        };
        progress.buffer_wait = Duration::ZERO;
        if progress.deadline.take().is_some() {
            self.registration.on_message_complete();
        }
        self.connection.reset_input_bound();
    }

    /// Handles the outcome of [`Self::read_more`]: closes the connection unless more is to be read.
    async fn on_read_outcome(
        &mut self,
        outcome: ReadOutcome,
        progress: &mut MessageInProgress,
    ) -> io::Result<NextStep> {
        match outcome {
            ReadOutcome::Progress => return Ok(NextStep::Continue),
            ReadOutcome::TimedOut => match self.registration.on_partial_message() {
                extended @ Some(_) => {
                    progress.deadline = extended;
                    return Ok(NextStep::Continue);
                }
                None => {
                    self.close_reason = CloseReason::Incomplete;
                    self.close_with_error("08P01", "no whole message in time")
                        .await?;
                }
            },
            ReadOutcome::NoCapacity => {
                self.close_reason = CloseReason::Slow;
                self.close_with_error("53300", "no room for the message")
                    .await?;
            }
            ReadOutcome::Evicted => {
                self.close_with_error("08P01", "too slow, and room is short")
                    .await?;
            }
            // Bytes were received just in time: their message is still read and answered, and the wait for its end does
            // not count as idle time of the client.
            ReadOutcome::Close if self.read_available()? => return Ok(NextStep::Continue),
            ReadOutcome::Close => {
                self.close_reason = if self.context.eviction.is_evicting_all() {
                    CloseReason::Shutdown
                } else {
                    CloseReason::Capacity
                };
                self.close_without_reading().await?;
            }
            // If a request was received or may be under way, it is rejected rather than cut off.
            ReadOutcome::FreeDescriptor => {
                self.close_reason = CloseReason::Capacity;
                if !self.read_available()? && since(self.accepted_at) >= ROUND_TRIP {
                    return Ok(NextStep::Close);
                }
                self.admission.has_capacity = false;
                self.admission.request_timeout = ROUND_TRIP;
                return Ok(NextStep::Continue);
            }
        }
        Ok(NextStep::Close)
    }

    /// Waits for more of a message of `length` bytes, 0 if the length is unknown.
    ///
    /// `idle_since` is when the client became idle, which orders evictions.
    async fn read_more(
        &mut self,
        length: usize,
        progress: &mut MessageInProgress,
        idle_since: Instant,
    ) -> io::Result<ReadOutcome> {
        let (activity, deadline) = (progress.activity, progress.deadline);
        let eviction = self.context.eviction.clone();
        let Admission {
            has_capacity,
            request_timeout,
            ..
        } = self.admission;
        let idle = self.connection.input.is_empty();
        if idle
            && matches!(
                activity,
                ClientActivity::MessageReceived | ClientActivity::Proven
            )
        {
            eviction.on_idle(self.engine.open_requests());
        }
        let may_be_evicted = has_capacity
            && (idle
                || (activity == ClientActivity::StartupReceived && !eviction.is_evicting_all()));
        let registration = self.registration.clone();
        tokio::select! {
            biased;
            outcome = self.read_bytes(length, progress) => outcome,
            () = registration.evicted() => Ok(ReadOutcome::Evicted),
            () = eviction.requested(activity, idle_since), if may_be_evicted => Ok(match activity {
                // At shutdown a message that has begun is still read; if there are too many connections, it is rejected.
                _ if eviction.is_evicting_all() && !idle => ReadOutcome::Progress,
                ClientActivity::StartupReceived if !eviction.is_evicting_all() => ReadOutcome::FreeDescriptor,
                _ => ReadOutcome::Close,
            }),
            () = sleep(request_timeout), if !has_capacity => Ok(ReadOutcome::Close),
            () = sleep_until(deadline.unwrap_or_else(now)), if deadline.is_some() => Ok(ReadOutcome::TimedOut),
        }
    }

    /// Reads once, after reserving a buffer for a long message.
    async fn read_bytes(
        &mut self,
        length: usize,
        progress: &mut MessageInProgress,
    ) -> io::Result<ReadOutcome> {
        let before = self.connection.input.len();
        let reserved = self.connection.reserve_input(
            length,
            &self.registration,
            ReservationKind::Request,
            &mut progress.reservation,
        );
        let wait_limit = MAX_BUFFER_WAIT.saturating_sub(progress.buffer_wait);
        match timeout(wait_limit, reserved).await {
            Ok(Duration::ZERO) => {}
            // The gateway did not read in that time, so it does not count for the client's rate.
            Ok(waited) => {
                progress.buffer_wait += waited;
                self.registration.exclude_wait(waited);
            }
            Err(_) => return Ok(ReadOutcome::NoCapacity),
        }
        let n = self.connection.read().await?;
        if before > 0 {
            self.registration.on_bytes_received(n);
        }
        Ok(ReadOutcome::Progress)
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
