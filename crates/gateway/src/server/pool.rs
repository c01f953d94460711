//! The pool of server connections, and the attempts that run on them.
//!
//! # Invariants
//!
//! A statement of which a byte may have left is never sent again by the pool. The outcome of an attempt is reported as it
//! was, with how far the attempt had come.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_config::settings::ticks_to_duration;
use leverpoint_engine::attempt_error::{AttemptError, Cause, Progress};
use leverpoint_engine::client_connections::ClientConnections;
use leverpoint_engine::descriptor_budget::DescriptorBudget;
use leverpoint_engine::engine::{Attempt, AttemptExecutor};
use leverpoint_engine::metrics::{Metrics, increment};
use leverpoint_routing::api::{AttemptOutcome, Ticks};
use leverpoint_runtime::{failpoint_active, now, since, sleep, sleep_until, spawn, timeout_at};

use crate::server::answer::Answer;
use crate::server::connection::ServerConnection;

/// Connections to all servers.
pub(crate) struct ServerPool {
    /// Idle connections of each server, the one used last at the back.
    idle: RefCell<BTreeMap<usize, VecDeque<ServerConnection>>>,
    descriptors: Rc<DescriptorBudget>,
    peers: Rc<ClientConnections>,
    counters: Rc<Metrics>,
    connect_timeout: Duration,
    /// How long a connection may be idle.
    idle_timeout: Duration,
}

impl ServerPool {
    /// An empty pool; `idle_close` is when servers close idle connections.
    pub(crate) fn new(
        descriptors: Rc<DescriptorBudget>,
        peers: Rc<ClientConnections>,
        counters: Rc<Metrics>,
        connect_timeout: Ticks,
        idle_close: Ticks,
    ) -> Rc<Self> {
        // Closed here before the server does: a statement that crosses its closing would end as a reset, so
        // as long before as a connection may take to come up.
        let idle_timeout = ticks_to_duration((idle_close - connect_timeout).max(idle_close / 2));
        let connect_timeout = ticks_to_duration(connect_timeout);
        let idle = RefCell::default();
        let servers = Rc::new(ServerPool {
            idle,
            descriptors,
            peers,
            counters,
            connect_timeout,
            idle_timeout,
        });
        let pool = Rc::downgrade(&servers);
        let close = move || {
            pool.upgrade()
                .is_some_and(|servers| servers.close_longest_idle())
        };
        servers.descriptors.set_idle_closer(Box::new(close));
        servers
    }

    /// Runs an attempt to its end and reports its outcome.
    async fn run(self: Rc<Self>, order: Attempt) {
        let result = tokio::select! {
            biased;
            result = self.attempt(&order) => result,
            () = sleep_until(order.deadline), if !failpoint_active("dispatch-without-end") => {
                Err(order.error(Cause::TimedOut))
            }
            () = order.cancelled.notified() => Err(order.error(Cause::Cancelled)),
        };
        let result = match result {
            Err(AttemptError {
                progress: Progress::Written,
                cause: Cause::ConnectionBroken,
            }) if failpoint_active("sent-again") => self.attempt(&order).await,
            result => result,
        };
        if result.is_err() {
            order.on_report_missing();
        }
        match result {
            Ok(answer) => order.finish(answer.outcome, Some(answer.said)),
            // The row was whole and is with the client; only the rest is missing.
            Err(_) if order.is_delivered() => order.finish(AttemptOutcome::Answered, None),
            Err(fault) => order.finish(fault.outcome(), None),
        }
    }

    /// Runs the statement on one connection.
    async fn attempt(self: &Rc<Self>, order: &Attempt) -> Result<Answer, AttemptError> {
        let mut connection = tokio::select! {
            biased;
            written = self.write(order) => written?,
            // A statement that is not whole never runs.
            () = order.request_finished() => return Err(order.error(Cause::NoLongerNeeded)),
        };
        order.progress.set(Progress::Written);
        let answer = connection.read_answer(order, &self.peers).await?;
        if answer.reusable {
            connection.idle_since = now();
            self.keep(order, connection);
        }
        Ok(answer)
    }

    /// Keeps a connection idle for the next attempt, unless its server has been removed meanwhile.
    fn keep(&self, order: &Attempt, connection: ServerConnection) {
        if order.is_server_unchanged() {
            self.idle
                .borrow_mut()
                .entry(order.server)
                .or_default()
                .push_back(connection);
        }
    }

    /// Writes the statement to an idle connection or a new one.
    ///
    /// Where an idle connection proves closed before a byte has left, the next one is taken.
    async fn write(&self, order: &Attempt) -> Result<ServerConnection, AttemptError> {
        loop {
            let idle = self.take_idle(order.server, order.address);
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(order).await?,
            };
            // A connection may have taken long to come up.
            if !order.may_start() {
                self.keep(order, connection);
                return Err(order.error(Cause::NoLongerNeeded));
            }
            let written = Cell::new(0);
            match connection.write_statement(order, &written).await {
                // What was there before was sent before the statement was received, so it is no answer to it.
                Ok(()) if reused && !connection.is_quiet() => {
                    order.progress.set(Progress::Written);
                    return Err(order.error(Cause::ProtocolViolation));
                }
                Ok(()) => return Ok(connection),
                Err(_) if reused && written.get() == 0 => {}
                Err(_) => return Err(order.error(Cause::ConnectionBroken)),
            }
        }
    }

    /// Takes the idle connection used last that is surely open.
    fn take_idle(&self, server: usize, address: SocketAddr) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&server)?;
        while let Some(mut connection) = kept.pop_back() {
            let fresh =
                connection.address == address && since(connection.idle_since) < self.idle_timeout;
            if fresh && connection.is_surely_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection.
    async fn connect(&self, order: &Attempt) -> Result<ServerConnection, AttemptError> {
        // Together within one connect time-out, so that a send is never long behind its decision.
        let by = now() + self.connect_timeout;
        let Ok(claim) = timeout_at(by, self.descriptors.acquire_for_server()).await else {
            increment(&self.counters.servers.refused);
            return Err(order.error(Cause::NoConnectionPossible));
        };
        match timeout_at(
            by,
            ServerConnection::open(order.address, self.kernel_buffer(), &self.counters, claim),
        )
        .await
        {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(e)) if e.kind() == ErrorKind::QuotaExceeded => {
                Err(order.error(Cause::ConnectionRejected))
            }
            Ok(Err(_)) => Err(order.error(Cause::ConnectionBroken)),
            Err(_) => Err(order.error(Cause::TimedOut)),
        }
    }

    /// Size of the kernel's buffers of a connection, each way, where they are bounded.
    fn kernel_buffer(&self) -> Option<usize> {
        Some(self.peers.limits())
            .filter(|caps| caps.enabled)
            .map(|caps| caps.kernel_buffer)
    }

    /// Closes the connection that has been idle for longest; returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.values_mut().filter(|kept| !kept.is_empty());
        kept.min_by_key(|kept| kept[0].idle_since)
            .and_then(VecDeque::pop_front)
            .is_some()
    }

    /// Closes connections that have been idle for too long or have ended, forever.
    pub(crate) async fn close_expired(self: Rc<Self>) {
        loop {
            // Often enough that nothing is kept much longer than it is useful.
            sleep(self.idle_timeout / 8).await;
            let mut idle = self.idle.borrow_mut();
            for kept in idle.values_mut() {
                kept.retain_mut(|c| since(c.idle_since) < self.idle_timeout && c.is_quiet());
            }
            idle.retain(|_, kept| !kept.is_empty());
        }
    }
}

impl AttemptExecutor for ServerPool {
    fn execute(self: Rc<Self>, order: Attempt) {
        spawn(self.run(order));
    }

    fn close_idle_connections(&self, server: usize) {
        self.idle.borrow_mut().remove(&server);
    }
}
