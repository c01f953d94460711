//! Reads the messages of a client, within the limits on time and buffers.

use std::io;
use std::time::Duration;

use leverpoint_engine::client_connections::{BufferKind as ReservationKind, BufferReservation};
use leverpoint_engine::descriptor_budget::ClientActivity;
use leverpoint_engine::diagnostics::CloseReason;
use leverpoint_runtime::{Instant, now, since, sleep, sleep_until, timeout};

use crate::client::{Admission, Client, MESSAGE_TIMEOUT, NextStep};
use crate::postgres::messages::{self, DecodeResult};

/// Longest total wait for a buffer for one message.
///
/// A client that stops within a message is owed its error within 3 s: this wait and the stall timeout of a second.
const MAX_BUFFER_WAIT: Duration = Duration::from_millis(1_500);

/// Round trip time of a usual network: a client accepted less than this ago may have a request under way.
const ROUND_TRIP: Duration = Duration::from_millis(20);

/// The message that is being read.
pub(super) struct MessageInProgress {
    /// What the client has done so far.
    activity: ClientActivity,
    /// Buffer reserved for a long message.
    reservation: Option<BufferReservation>,
    /// How long a buffer has been waited for.
    buffer_wait: Duration,
    /// When the message must be complete, or received at the required rate; none before its first byte.
    deadline: Option<Instant>,
}

impl MessageInProgress {
    /// Returns the state of a client whose startup packet was received, and no message yet.
    pub(super) fn after_startup() -> Self {
        MessageInProgress {
            activity: ClientActivity::StartupReceived,
            reservation: None,
            buffer_wait: Duration::ZERO,
            deadline: None,
        }
    }

    /// Takes the buffer reservation of the message that was read last.
    pub(super) fn take_reservation(&mut self) -> Option<BufferReservation> {
        self.reservation.take()
    }
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

impl Client {
    /// Reads the next message; none if the connection ends instead.
    ///
    /// # Errors
    ///
    /// The connection failed or was closed by the client.
    pub(super) async fn next_message(
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
}
