//! Writing answers to a client, and closing its connection.

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

/// How often a closing connection is polled for answers that the client has not taken yet.
const UNTAKEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What is known of an answer that is being delivered.
pub(super) struct Delivery {
    /// The client's deadline.
    until: Instant,
    /// The request class, where the answer is a row.
    pub(super) class: Option<usize>,
    /// Buffer reservations, held until the client has taken the answer.
    pub(super) rooms: Vec<BufferReservation>,
}

impl Delivery {
    /// The delivery of an answer that is no row.
    pub(super) fn new(until: Instant) -> Self {
        Delivery {
            until,
            class: None,
            rooms: Vec::new(),
        }
    }
}

/// Waits for at most `limit`; a timeout is an error like the others.
async fn within<T>(limit: Duration, future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(limit, future)
        .await
        .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

impl Client {
    /// Writes what belongs to no request.
    pub(super) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let until = now() + MESSAGE_TIMEOUT;
        self.deliver(bytes, Delivery::new(until)).await
    }

    /// Writes an answer; it ends early where the connection is evicted.
    async fn deliver(&mut self, bytes: &[u8], delivery: Delivery) -> io::Result<()> {
        let peer = &self.peer;
        peer.on_answer_started(delivery.class, bytes.len(), delivery.until);
        let parts = [bytes];
        let mut writing = pin!(self.connection.write(&parts, &peer.bytes_written));
        // Most answers are written at once, and nothing of what follows is needed.
        let lingers = match poll_once(writing.as_mut()).await {
            Some(written) => written.map(|()| false)?,
            None => true,
        };
        if lingers {
            peer.on_write_pending();
            let caps = peer.limits();
            // A client that keeps the least rate is done by then.
            let longest = ticks_to_duration(
                (messages::MAX_MESSAGE as u64 * 10_000 / caps.min_rate.max(1)) as Ticks,
            );
            let by = self.longest_timeout
                + if caps.enabled {
                    longest
                } else {
                    Duration::ZERO
                };
            tokio::select! {
                biased;
                written = within(by, writing) => written?,
                () = peer.evicted() => return Err(ErrorKind::TimedOut.into()),
            }
        }
        peer.on_answer_written(delivery.rooms);
        Ok(())
    }

    /// Writes an answer and that the next message may come.
    pub(super) async fn conclude(
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

    /// Writes an error after which the connection goes on.
    pub(super) async fn refuse(&mut self, code: &str, why: &str, ready: bool) -> io::Result<()> {
        increment(&self.engine.metrics.rejected_messages);
        let mut out = Vec::new();
        messages::put_error_response(&mut out, false, code, why, None);
        if ready {
            self.conclude(out, None).await
        } else {
            self.write(&out).await
        }
    }

    /// Writes a fatal error and closes the connection.
    pub(super) async fn close_with_error(&mut self, code: &str, why: &str) -> io::Result<()> {
        increment(&self.engine.metrics.rejected_messages);
        let mut out = Vec::new();
        messages::put_error_response(&mut out, true, code, why, None);
        self.write(&out).await?;
        let closed = within(
            self.engine.connect_timeout(),
            // What the client still sends is read up to a bound, so that no reset overtakes the error.
            self.connection.finish(messages::MAX_MESSAGE),
        )
        .await;
        self.wait_until_taken().await;
        closed
    }

    /// Closes the connection between requests; one that is sent from here on is left unread, as nothing would answer it.
    pub(super) async fn close_unread(&mut self) -> io::Result<()> {
        let timeout = self.engine.connect_timeout();
        let closed = within(timeout, self.connection.finish_unread()).await;
        self.wait_until_taken().await;
        closed
    }

    /// Waits until the client has taken what was written, or is evicted.
    ///
    /// Closing a connection with unread input makes the kernel drop output that the client has not taken.
    async fn wait_until_taken(&self) {
        let by = now() + self.longest_timeout;
        while self.peer.unacknowledged_bytes() > 0
            && !self.peer.is_disconnected()
            && !self.peer.is_evicted()
            && now() < by
        {
            sleep(UNTAKEN_POLL_INTERVAL).await;
        }
    }
}
