//! Accepts client connections at the rate that backpressure allows, and starts a task for each.

use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_engine::descriptor_budget::DescriptorBudget;
use leverpoint_engine::metrics::increment;
use leverpoint_runtime::{Instant, Listener, Stream, now, poll_once, since, sleep, spawn, timeout};
use tokio::sync::Notify;

use crate::client::{self, ClientContext};

/// How long the first accept waits for the discovery agent to answer.
///
/// A running agent answers at once; clients must not wait long for one that is down.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which a connection that already waits in the kernel's accept queue is accepted.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1);
/// Longest time that a connection waits in the kernel's accept queue of 1,024.
const MAX_BACKLOG_AGE: Duration = Duration::from_secs(1);

/// The listening socket, and what a client connection is started with.
pub(crate) struct Acceptor {
    pub(crate) listener: Listener,
    pub(crate) descriptors: Rc<DescriptorBudget>,
    pub(crate) context: Rc<ClientContext>,
    /// Whether to poll the discovery agent once before the first client is accepted.
    ///
    /// Set where the endpoint list was restored and lists are pushed: a restored list may name servers that drain by
    /// now, and with pushed lists the gateway counts as knowing the agent's list from the first request on.
    pub(crate) wait_for_discovery: bool,
}

impl Acceptor {
    /// Accepts until `stop` is notified, and then the connections that are still in the kernel's accept queue.
    pub(crate) async fn run(self, stop: Rc<Notify>, log: slog::Logger) {
        let mut overshoot = Duration::ZERO;
        // The last time known at which the kernel's accept queue was empty.
        let mut empty_at = now();
        if self.wait_for_discovery {
            tokio::select! {
                biased;
                () = self.context.engine.discovery_answered() => {}
                () = stop.notified() => stop.notify_one(),
                () = sleep(DISCOVERY_TIMEOUT) => {}
            }
        }
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = self.accept(&mut empty_at) => accepted,
                () = stop.notified() => break,
            };
            match accepted {
                Ok(stream) => self.on_accepted(stream, empty_at, &mut overshoot).await,
                Err(error) => self.on_accept_error(&error, &log).await,
            }
        }
        // The timeout lets the runtime poll the kernel once more: it may not yet have reported the newest connections.
        while let Ok(Ok(stream)) = timeout(LAST_ACCEPT_TIMEOUT, self.accept(&mut empty_at)).await {
            self.start_client(stream, empty_at).await;
        }
    }

    /// Starts a client, then pauses as backpressure asks; `overshoot` is how much longer the last pause took than
    /// asked.
    async fn on_accepted(&self, stream: Stream, empty_at: Instant, overshoot: &mut Duration) {
        self.start_client(stream, empty_at).await;
        let pause = self
            .context
            .client_connections
            .accept_delay(std::mem::take(overshoot));
        if !pause.is_zero() {
            let paused_at = now();
            sleep(pause).await;
            *overshoot = since(paused_at).saturating_sub(pause);
        }
    }

    async fn on_accept_error(&self, error: &io::Error, log: &slog::Logger) {
        increment(&self.context.engine.metrics.clients.refused);
        slog::warn!(log, "accepting failed"; "why" => error.to_string());
        // The process or the kernel is out of a resource that only becomes free with time: pause instead of spinning.
        sleep(self.context.engine.connect_timeout()).await;
    }

    /// Accepts the next connection, and advances `empty_at` to the last time known before which none waited.
    async fn accept(&self, empty_at: &mut Instant) -> io::Result<Stream> {
        let mut accept = pin!(self.listener.accept());
        if let Some(accepted) = poll_once(accept.as_mut()).await {
            *empty_at = now()
                .checked_sub(MAX_BACKLOG_AGE)
                .map_or(*empty_at, |earliest| earliest.max(*empty_at));
            return accepted;
        }
        let accepted = accept.await;
        *empty_at = now();
        accepted
    }

    /// Starts the task of a client that connected after `connected_after`, once there is a descriptor for it.
    async fn start_client(&self, stream: Stream, connected_after: Instant) {
        let (descriptor, has_capacity) = self.descriptors.acquire_for_client().await;
        spawn(client::serve(
            stream,
            connected_after,
            self.context.clone(),
            descriptor,
            has_capacity,
        ));
    }
}
