//! Writes answers to a client and closes its connection.

use std::io::{self, ErrorKind};
use std::pin::pin;
use std::time::Duration;

use leverpoint_config::settings::ticks_to_duration;
use leverpoint_engine::client_connections::BufferReservation;
use leverpoint_engine::metrics::increment;
use leverpoint_routing::api::Ticks;
use leverpoint_runtime::{Instant, failpoint_active, now, poll_once, sleep, timeout};

use crate::client::{Client, MESSAGE_TIMEOUT};
use crate::postgres::messages;

/// How often a closing connection is checked for bytes that the client has not acknowledged.
const ACKNOWLEDGEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An answer that is being delivered, as backpressure sees it.
pub(super) struct Delivery {
    /// When the answer is due at the client.
    deadline: Instant,
    /// Index of the request class; none if the answer is not a row.
    pub(super) class: Option<usize>,
    /// Buffer reservations, held until the client has acknowledged the answer.
    pub(super) reservations: Vec<BufferReservation>,
}

impl Delivery {
    /// Creates the delivery of an answer that is not a row.
    pub(super) fn new(deadline: Instant) -> Self {
        Delivery {
            deadline,
            class: None,
            reservations: Vec::new(),
        }
    }
}

/// Waits for an I/O operation for at most `limit`; a timeout is an error of kind `TimedOut`.
async fn io_timeout<T>(
    limit: Duration,
    future: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    timeout(limit, future)
        .await
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

impl Client {
    /// Writes bytes that answer no request, with [`MESSAGE_TIMEOUT`] as their deadline.
    pub(super) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let deadline = now() + MESSAGE_TIMEOUT;
        self.deliver(bytes, Delivery::new(deadline)).await
    }

    /// Writes an answer.
    ///
    /// # Errors
    ///
    /// The connection failed, was evicted, or did not take the answer in time.
    async fn deliver(&mut self, bytes: &[u8], delivery: Delivery) -> io::Result<()> {
        let registration = &self.registration;
        registration.on_answer_started(delivery.class, bytes.len(), delivery.deadline);
        // Inside the first poll below a yield would end that poll, not the task's turn.
        self.connection.yield_if_due().await;
        let parts = [bytes];
        let mut writing = pin!(self.connection.write(&parts, &registration.bytes_written));
        // Most answers are written at once and need no timeout.
        let is_pending = match poll_once(writing.as_mut()).await {
            Some(written) => written.map(|()| false)?,
            None => true,
        };
        if is_pending {
            registration.on_write_pending();
            let limits = registration.limits();
            // The time that a client at the lowest allowed rate needs for the longest message.
            let longest_write = ticks_to_duration(
                (messages::MAX_MESSAGE as u64 * 10_000 / limits.min_rate.max(1)) as Ticks,
            );
            let write_timeout = self.longest_timeout
                + if limits.enabled {
                    longest_write
                } else {
                    Duration::ZERO
                };
            tokio::select! {
                biased;
                written = io_timeout(write_timeout, writing) => written?,
                () = registration.evicted() => return Err(ErrorKind::TimedOut.into()),
            }
        }
        registration.on_answer_written(delivery.reservations);
        Ok(())
    }

    /// Writes an answer followed by ReadyForQuery; without a delivery it answers no request.
    pub(super) async fn write_with_ready(
        &mut self,
        mut out: Vec<u8>,
        delivery: Option<Delivery>,
    ) -> io::Result<()> {
        messages::put_ready_for_query(&mut out);
        let Some(delivery) = delivery else {
            return self.write(&out).await;
        };
        self.deliver(&out, delivery).await?;
        if failpoint_active("answer-twice") {
            self.write(&out).await?;
        }
        Ok(())
    }

    /// Answers a message with an error, followed by ReadyForQuery if `ready`; the connection stays open.
    pub(super) async fn reject(
        &mut self,
        code: &str,
        message: &str,
        ready: bool,
    ) -> io::Result<()> {
        increment(&self.engine.metrics.rejected_messages);
        let mut out = Vec::new();
        messages::put_error_response(&mut out, false, code, message, None);
        if ready {
            self.write_with_ready(out, None).await
        } else {
            self.write(&out).await
        }
    }

    /// Writes a fatal error and closes the connection.
    pub(super) async fn close_with_error(&mut self, code: &str, message: &str) -> io::Result<()> {
        increment(&self.engine.metrics.rejected_messages);
        let mut out = Vec::new();
        messages::put_error_response(&mut out, true, code, message, None);
        self.write(&out).await?;
        let closed = io_timeout(
            self.engine.connect_timeout(),
            // What the client still sends is read up to a bound: unread input would cause a reset, which could overtake
            // the error.
            self.connection.shutdown_and_drain(messages::MAX_MESSAGE),
        )
        .await;
        self.wait_until_acknowledged().await;
        closed
    }

    /// Closes the connection between requests; a request sent from now on is left unread, as it would not be answered.
    pub(super) async fn close_without_reading(&mut self) -> io::Result<()> {
        let timeout = self.engine.connect_timeout();
        let closed = io_timeout(timeout, self.connection.shutdown_without_reading()).await;
        self.wait_until_acknowledged().await;
        closed
    }

    /// Waits until the client has acknowledged what was written, has disconnected or is evicted.
    ///
    /// If a connection with unread input is closed, the kernel drops output that the client has not acknowledged.
    async fn wait_until_acknowledged(&self) {
        let deadline = now() + self.longest_timeout;
        while self.registration.unacknowledged_bytes() > 0
            && !self.registration.is_disconnected()
            && !self.registration.is_evicted()
            && now() < deadline
        {
            sleep(ACKNOWLEDGEMENT_CHECK_INTERVAL).await;
        }
    }
}
