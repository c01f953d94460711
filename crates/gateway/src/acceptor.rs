//! Accepts client connections.

use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_engine::descriptor_budget::DescriptorBudget;
use leverpoint_engine::metrics::increment;
use leverpoint_runtime::{Instant, Listener, Stream, now, poll_once, since, sleep, spawn, timeout};
use tokio::sync::Notify;

use crate::client::{self, ClientContext};

/// How long accepting waits for a discovery agent that is silent.
///
/// An agent that is there answers at once; clients are not kept waiting for one that is not.
const AGENT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which a connection in the system's queue can be accepted.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(1);
/// Longest time that a connection waits in the system's queue of 1,024.
const MAX_BACKLOG_AGE: Duration = Duration::from_secs(1);

/// Accepts clients and starts a task for each.
pub(crate) struct Acceptor {
    pub(crate) listener: Listener,
    pub(crate) descriptors: Rc<DescriptorBudget>,
    pub(crate) context: Rc<ClientContext>,
    /// The endpoint list was restored and lists are pushed.
    ///
    /// Such a list may name servers that drain by now, and what the agent has counts as known from the first moment:
    /// nothing is accepted before the agent has been asked once.
    pub(crate) restored_list: bool,
}

impl Acceptor {
    /// Accepts until it is notified to stop, and then what the system has accepted by that time.
    pub(crate) async fn run(self, stop: Rc<Notify>, log: slog::Logger) {
        let mut late = Duration::ZERO;
        // The last time known at which no connection waited to be accepted.
        let mut empty = now();
        if self.restored_list {
            tokio::select! {
                biased;
                () = self.context.engine.discovery_answered() => {}
                () = stop.notified() => stop.notify_one(),
                () = sleep(AGENT_TIMEOUT) => {}
            }
        }
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = self.accept(&mut empty) => accepted,
                () = stop.notified() => break,
            };
            match accepted {
                Ok(stream) => self.on_accepted(stream, empty, &mut late).await,
                Err(error) => self.on_accept_error(&error, &log).await,
            }
        }
        // Long enough that the system is asked once more: what it has accepted a moment ago may not be known here.
        while let Ok(Ok(stream)) = timeout(BACKLOG_TIMEOUT, self.accept(&mut empty)).await {
            self.start_client(stream, empty).await;
        }
    }

    /// Starts a client and keeps the rate of arrivals; `late` is by how much the last pause was exceeded.
    async fn on_accepted(&self, stream: Stream, empty: Instant, late: &mut Duration) {
        self.start_client(stream, empty).await;
        let pause = self
            .context
            .client_connections
            .accept_delay(std::mem::take(late));
        if !pause.is_zero() {
            let before = now();
            sleep(pause).await;
            *late = since(before).saturating_sub(pause);
        }
    }

    async fn on_accept_error(&self, error: &io::Error, log: &slog::Logger) {
        increment(&self.context.engine.metrics.clients.refused);
        slog::warn!(log, "accepting failed"; "why" => error.to_string());
        // Out of something that only time gives back: a pause, not a spin.
        sleep(self.context.engine.connect_timeout()).await;
    }

    /// Accepts the next connection, which came after `empty`; that is moved on to the last time at which none waited.
    async fn accept(&self, empty: &mut Instant) -> io::Result<Stream> {
        let mut accept = pin!(self.listener.accept());
        if let Some(accepted) = poll_once(accept.as_mut()).await {
            *empty = now()
                .checked_sub(MAX_BACKLOG_AGE)
                .map_or(*empty, |longest| longest.max(*empty));
            return accepted;
        }
        let accepted = accept.await;
        *empty = now();
        accepted
    }

    async fn start_client(&self, stream: Stream, connected: Instant) {
        let (descriptor, has_capacity) = self.descriptors.acquire_for_client().await;
        spawn(client::serve(
            stream,
            connected,
            self.context.clone(),
            descriptor,
            has_capacity,
        ));
    }
}
