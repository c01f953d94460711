//! The pool of server connections, which runs the attempts.
//!
//! # Invariants
//!
//! The pool never sends a statement again of which a byte may have been sent. A failed attempt is reported with the
//! progress that it had made, as that decides whether the statement may have been executed.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::pending;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_config::settings::ticks_to_duration;
use leverpoint_engine::attempt_error::{AttemptError, Cause, Progress};
use leverpoint_engine::client_connections::ClientConnections;
use leverpoint_engine::descriptor_budget::DescriptorBudget;
use leverpoint_engine::engine::{Attempt, AttemptExecutor, AttemptServer};
use leverpoint_engine::metrics::{Metrics, increment};
use leverpoint_routing::api::{AttemptOutcome, Ticks};
use leverpoint_runtime::{
    WeakStream, failpoint_active, now, since, sleep, sleep_until, spawn, timeout_at,
};

use crate::server::answer_reader::Answer;
use crate::server::connection::ServerConnection;

/// Pool of the connections to all servers.
pub(crate) struct ServerPool {
    /// Idle connections by the server's index, the most recently used at the back.
    idle: RefCell<BTreeMap<usize, VecDeque<ServerConnection>>>,
    descriptors: Rc<DescriptorBudget>,
    client_connections: Rc<ClientConnections>,
    metrics: Rc<Metrics>,
    connect_timeout: Duration,
    /// How long a connection may be idle before it is closed.
    idle_timeout: Duration,
}

impl ServerPool {
    /// Creates an empty pool; `idle_close` is the idle time after which servers close a connection.
    pub(crate) fn new(
        descriptors: Rc<DescriptorBudget>,
        client_connections: Rc<ClientConnections>,
        metrics: Rc<Metrics>,
        connect_timeout: Ticks,
        idle_close: Ticks,
    ) -> Rc<Self> {
        // The gateway closes idle connections before the server does, as a statement sent while the server closes would
        // end in a reset. The margin is the longest time that connecting takes.
        let idle_timeout = ticks_to_duration((idle_close - connect_timeout).max(idle_close / 2));
        let connect_timeout = ticks_to_duration(connect_timeout);
        let idle = RefCell::default();
        let pool = Rc::new(ServerPool {
            idle,
            descriptors,
            client_connections,
            metrics,
            connect_timeout,
            idle_timeout,
        });
        let weak_pool = Rc::downgrade(&pool);
        let close = move || {
            weak_pool
                .upgrade()
                .is_some_and(|pool| pool.close_longest_idle())
        };
        pool.descriptors.set_idle_closer(Box::new(close));
        pool
    }

    /// Runs an attempt until it ends, times out or is cancelled, and reports its outcome.
    async fn run(self: Rc<Self>, attempt: Attempt) {
        let result = tokio::select! {
            biased;
            result = self.run_on_connection(&attempt) => result,
            () = sleep_until(attempt.times.deadline), if !failpoint_active("dispatch-without-end") => {
                Err(attempt.error(Cause::TimedOut))
            }
            () = attempt.cancelled.notified() => Err(attempt.error(Cause::Cancelled)),
        };
        let result = match result {
            Err(AttemptError {
                progress: Progress::Written,
                cause: Cause::ConnectionBroken,
            }) if failpoint_active("sent-again") => self.run_on_connection(&attempt).await,
            result => result,
        };
        if result.is_err() {
            attempt.on_report_missing();
        }
        match result {
            Ok(answer) => attempt.finish(answer.outcome, Some(answer.reported)),
            // The row was complete and is delivered; only what follows it is missing.
            Err(_) if attempt.is_delivered() => attempt.finish(AttemptOutcome::Answered, None),
            Err(error) => attempt.finish(error.outcome(), None),
        }
    }

    /// Sends the statement on one connection and reads its answer.
    async fn run_on_connection(self: &Rc<Self>, attempt: &Attempt) -> Result<Answer, AttemptError> {
        let mut connection = tokio::select! {
            biased;
            // First, as the server may have begun to read again at the same moment.
            () = attempt.arrival_deadline() => return Err(attempt.on_withdrawn(Cause::ArrivalTimedOut)),
            written = self.send_statement(attempt) => written?,
            // The server does not execute a statement that was sent incompletely.
            () = attempt.request_finished() => return Err(attempt.error(Cause::NoLongerNeeded)),
        };
        let stream = connection.socket.stream();
        let answer = tokio::select! {
            biased;
            answer = connection.read_answer(attempt, &self.client_connections) => answer?,
            error = withdrawal(attempt, &stream) => return Err(error),
        };
        if answer.reusable {
            connection.idle_since = now();
            self.keep_idle(attempt, connection);
        }
        Ok(answer)
    }

    /// Keeps a connection for later attempts, unless its server has been replaced or removed since.
    fn keep_idle(&self, attempt: &Attempt, connection: ServerConnection) {
        if attempt.is_server_unchanged() {
            self.idle
                .borrow_mut()
                .entry(attempt.server.index)
                .or_default()
                .push_back(connection);
        }
    }

    /// Sends the statement on an idle connection or a new one, and returns the connection.
    ///
    /// If an idle connection fails before a byte was sent, another one is used.
    async fn send_statement(&self, attempt: &Attempt) -> Result<ServerConnection, AttemptError> {
        loop {
            let idle = self.take_idle(&attempt.server);
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(attempt).await?,
            };
            // Connecting may have taken long.
            if !attempt.may_start() {
                self.keep_idle(attempt, connection);
                return Err(attempt.error(Cause::NoLongerNeeded));
            }
            let (written, begun_at) = (Cell::new(0), now());
            match connection.write_statement(attempt, &written).await {
                // Bytes received this early were sent before the server received the statement: they are no answer to it.
                Ok(()) if reused && !connection.has_no_input() => {
                    attempt.on_statement_written(begun_at);
                    return Err(attempt.error(Cause::ProtocolViolation));
                }
                Ok(()) => {
                    attempt.on_statement_written(begun_at);
                    return Ok(connection);
                }
                Err(_) if reused && written.get() == 0 => {}
                Err(_) => return Err(attempt.error(Cause::ConnectionBroken)),
            }
        }
    }

    /// Takes the most recently used idle connection that is still open, and closes those that are not.
    fn take_idle(&self, server: &AttemptServer) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server.index)?;
        while let Some(mut connection) = connections.pop_back() {
            let is_current = connection.address == server.address
                && since(connection.idle_since) < self.idle_timeout;
            if is_current && connection.has_no_input_in_kernel() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection to the attempt's server.
    async fn connect(&self, attempt: &Attempt) -> Result<ServerConnection, AttemptError> {
        // One timeout covers both steps, so that the statement is sent soon after the router's decision.
        let deadline = now() + self.connect_timeout;
        let Ok(descriptor) = timeout_at(deadline, self.descriptors.acquire_for_server()).await
        else {
            increment(&self.metrics.servers.refused);
            return Err(attempt.error(Cause::NoConnectionPossible));
        };
        match timeout_at(
            deadline,
            ServerConnection::open(
                attempt.server.address,
                self.kernel_buffer(),
                &self.metrics,
                descriptor,
            ),
        )
        .await
        {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(e)) if e.kind() == ErrorKind::QuotaExceeded => {
                Err(attempt.error(Cause::ConnectionRejected))
            }
            Ok(Err(_)) => Err(attempt.error(Cause::ConnectionBroken)),
            Err(_) => Err(attempt.error(Cause::TimedOut)),
        }
    }

    /// Returns the size in bytes of the kernel's buffer of each direction; none if it is not bounded.
    fn kernel_buffer(&self) -> Option<usize> {
        Some(self.client_connections.limits())
            .filter(|limits| limits.enabled)
            .map(|limits| limits.kernel_buffer)
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let non_empty = idle
            .values_mut()
            .filter(|connections| !connections.is_empty());
        non_empty
            .min_by_key(|connections| connections[0].idle_since)
            .and_then(VecDeque::pop_front)
            .is_some()
    }

    /// Closes idle connections that have expired or ended, at regular intervals; never returns.
    pub(crate) async fn close_expired(self: Rc<Self>) {
        loop {
            // An eighth of the timeout, so that a connection is kept little longer than it can be used.
            sleep(self.idle_timeout / 8).await;
            let mut idle = self.idle.borrow_mut();
            for connections in idle.values_mut() {
                connections
                    .retain_mut(|c| since(c.idle_since) < self.idle_timeout && c.has_no_input());
            }
            idle.retain(|_, connections| !connections.is_empty());
        }
    }
}

/// Waits until the statement, which was written to `stream`, has to be withdrawn as it has not arrived whole in time;
/// never returns if it has.
async fn withdrawal(attempt: &Attempt, stream: &WeakStream) -> AttemptError {
    let cause = attempt.withdrawal_due().await;
    if attempt
        .delivery(stream.unacknowledged_bytes())
        .must_be_withdrawn()
    {
        return attempt.on_withdrawn(cause);
    }
    pending().await
}

impl AttemptExecutor for ServerPool {
    fn execute(self: Rc<Self>, attempt: Attempt) {
        spawn(self.run(attempt));
    }

    fn close_idle_connections(&self, server: usize) {
        self.idle.borrow_mut().remove(&server);
    }
}
