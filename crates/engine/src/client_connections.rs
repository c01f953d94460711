//! Client connections under backpressure: reports their progress to `leverpoint-backpressure` and evicts slow ones.
//!
//! Buffers for messages that exceed `UNRESERVED_BYTES` are reserved here as well. Which connections count as slow is
//! decided by `leverpoint-backpressure`.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

pub use leverpoint_backpressure::BufferKind;
use leverpoint_backpressure::{
    Action, Admission, ArrivalRateLimiter, ConnectionState, Connections as Backpressure,
    EvictionCandidate, HandledMessage, Limits, Pace,
};
use leverpoint_config::settings::{duration_to_ticks, ticks_to_duration};
use leverpoint_routing::api::Ticks;
use leverpoint_runtime::{Instant, WeakStream, now, sleep};
use tokio::sync::Notify;

pub use crate::buffer_reservation::BufferReservation;
use crate::log_line_limiter::LogLineLimiter;

/// How often connections with unacknowledged bytes are checked: several times within the shortest grace period.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// All client connections with their shared buffer limits.
pub struct ClientConnections {
    backpressure: RefCell<Backpressure>,
    /// Origin of the times passed to backpressure.
    started: Instant,
    /// Connections by the index that backpressure uses for them.
    by_index: RefCell<Vec<Weak<ClientConnection>>>,
    /// Notified when buffers are released, by [`BufferKind`].
    released: [Notify; 2],
    /// Notified when a connection has unacknowledged bytes.
    unacknowledged: Notify,
    arrivals: Cell<ArrivalRateLimiter>,
    /// Most bytes ever buffered at once, including those in kernel buffers.
    peak_held_bytes: Cell<usize>,
    eviction_log_limiter: LogLineLimiter,
    log: slog::Logger,
}

/// Result of the search for a slow connection to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlowEviction {
    /// A slow connection was evicted.
    Evicted,
    /// No connection is slow enough; any idle connection may be evicted.
    IdleInstead,
    /// No connection is slow enough; only an idle connection that is not proven may be evicted.
    UnprovenInstead,
}

/// What a connection does before it handles its next message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessagePause {
    /// It goes on.
    None,
    /// It lets other tasks run first.
    Yield,
    /// It waits for this time.
    Wait(Duration),
}

/// A client connection, registered with backpressure until dropped.
pub struct ClientConnection {
    connections: Rc<ClientConnections>,
    id: usize,
    /// Does not keep the connection open. Empty for a client without one, as in tests.
    stream: WeakStream,
    /// Total bytes queued for writing.
    bytes_queued: Cell<usize>,
    /// Total bytes that the kernel has accepted.
    pub bytes_written: Cell<usize>,
    /// Reserved bytes of answers that are written but not acknowledged by the client.
    held_bytes: Cell<usize>,
    evicted: Cell<bool>,
    eviction_notice: Notify,
}

impl ClientConnections {
    /// Creates an empty table. `classes` and `tenants` are the numbers of request classes and tenants; `seed` varies
    /// the advice on when to retry.
    pub fn new(
        limits: Limits,
        classes: usize,
        tenants: usize,
        seed: u64,
        log: slog::Logger,
    ) -> Rc<Self> {
        Rc::new(ClientConnections {
            backpressure: RefCell::new(Backpressure::new(
                limits,
                classes,
                tenants,
                crate::UNRESERVED_BYTES,
                seed,
            )),
            started: now(),
            by_index: RefCell::default(),
            released: Default::default(),
            unacknowledged: Notify::new(),
            arrivals: Cell::default(),
            peak_held_bytes: Cell::new(0),
            eviction_log_limiter: LogLineLimiter::default(),
            log,
        })
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        *self.backpressure.borrow().limits()
    }

    /// Replaces the limits with immediate effect. Buffers that exceed the new limits stay reserved until released.
    pub fn set_limits(&self, limits: Limits) {
        self.backpressure.borrow_mut().set_limits(limits);
        self.released.iter().for_each(Notify::notify_waiters);
    }

    /// Converts an instant to ticks since the creation of this table.
    fn time(&self, at: Instant) -> Ticks {
        duration_to_ticks(at.saturating_duration_since(self.started))
    }

    fn now(&self) -> Ticks {
        self.time(now())
    }

    /// Registers a client connection, which is deregistered when the returned value is dropped.
    pub fn register(self: &Rc<Self>, stream: WeakStream) -> Rc<ClientConnection> {
        let id = self.backpressure.borrow_mut().open();
        let client = Rc::new(ClientConnection {
            connections: self.clone(),
            id,
            stream,
            bytes_queued: Cell::new(0),
            bytes_written: Cell::new(0),
            held_bytes: Cell::new(0),
            evicted: Cell::new(false),
            eviction_notice: Notify::new(),
        });
        let mut by_index = self.by_index.borrow_mut();
        if by_index.len() <= id {
            by_index.resize(id + 1, Weak::new());
        }
        by_index[id] = Rc::downgrade(&client);
        client
    }

    fn client(&self, id: usize) -> Option<Rc<ClientConnection>> {
        self.by_index.borrow().get(id)?.upgrade()
    }

    /// Records an accepted connection and returns how long to wait before the next is accepted. `late` is how much
    /// longer than returned the previous wait took.
    pub fn accept_delay(&self, late: Duration) -> Duration {
        let limits = self.limits();
        let mut arrivals = self.arrivals.get();
        let wait = if limits.enabled {
            arrivals.on_accepted(
                self.now(),
                limits.arrivals_per_second,
                duration_to_ticks(late),
            )
        } else {
            0
        };
        self.arrivals.set(arrivals);
        ticks_to_duration(wait)
    }

    /// Evicts a slow connection if there is one; otherwise returns which idle ones may be evicted instead.
    pub(crate) fn evict_one(&self) -> SlowEviction {
        let candidate = self.backpressure.borrow_mut().eviction_candidate();
        match candidate {
            EvictionCandidate::Connection(id) => {
                self.client(id)
                    .inspect(|client| client.evict("out of connection capacity"));
                SlowEviction::Evicted
            }
            EvictionCandidate::LongestIdle => SlowEviction::IdleInstead,
            EvictionCandidate::LongestIdleUnproven => SlowEviction::UnprovenInstead,
        }
    }

    /// Checks the connections with unacknowledged bytes periodically; never returns.
    pub async fn monitor(self: Rc<Self>) {
        loop {
            while self.backpressure.borrow().unread_connections().is_empty() {
                self.unacknowledged.notified().await;
            }
            sleep(CHECK_INTERVAL).await;
            let waiting = self.backpressure.borrow().unread_connections().to_vec();
            let mut held_bytes = self.pool_bytes();
            for client in waiting.into_iter().filter_map(|id| self.client(id)) {
                let unacknowledged = client.unacknowledged_bytes();
                held_bytes += unacknowledged.saturating_sub(client.held_bytes.get());
                client.on_unacknowledged(unacknowledged);
            }
            self.peak_held_bytes
                .set(self.peak_held_bytes.get().max(held_bytes));
        }
    }

    /// Returns the bytes held in both buffer pools.
    fn pool_bytes(&self) -> usize {
        let backpressure = self.backpressure.borrow();
        backpressure.pool(BufferKind::Request).held()
            + backpressure.pool(BufferKind::Response).held()
    }

    /// Returns the counters of connections and buffers as one line of `name=count` pairs separated by spaces.
    pub fn summary(&self) -> String {
        let backpressure = self.backpressure.borrow();
        let [unproven, proven, slow, stalled] = backpressure.counts_by_state();
        let (evicted, shed) = backpressure.evicted_and_shed();
        let pools = [BufferKind::Request, BufferKind::Response].map(|kind| backpressure.pool(kind));
        let peak = self
            .peak_held_bytes
            .get()
            .max(pools[0].peak().max(pools[1].peak()));
        format!(
            "peers.new={unproven} peers.usual={proven} peers.slow={slow} peers.stalled={stalled} peers.untaken={} \
             peers.let_go={evicted} peers.sent_back={shed} held.statements={} held.answers={} \
             held.promised={} held.peak={peak} messages.turns={}",
            backpressure.unread_connections().len(),
            pools[0].held(),
            pools[1].held(),
            pools[1].reserved(),
            backpressure.message_turns(),
        )
    }

    /// Logs an eviction, unless too many were logged in the same second.
    fn log_eviction(&self, client: &ClientConnection, reason: &str) {
        let now = self.now();
        let Some(suppressed) = self.eviction_log_limiter.admit(now) else {
            return;
        };
        let (rate, held, age) = self.backpressure.borrow().metrics(now, client.id);
        let state = self.backpressure.borrow().state(client.id);
        slog::info!(self.log, "client connection evicted"; "why" => reason, "state" => format!("{state:?}"), "bytes_per_s" => rate,
            "held_bytes" => held, "age_ms" => age / 10, "left_out" => suppressed);
    }
}

impl ClientConnection {
    /// Whether the client is known to have closed or reset the connection. Data received before that may still be
    /// unread.
    pub fn is_disconnected(&self) -> bool {
        self.stream.peer_closed()
    }

    /// Records since when the client's system may hold bytes back; none if all that was sent has been read.
    pub fn set_held_back_since(&self, since: Option<Instant>) {
        let since = since.map(|since| self.connections.time(since));
        self.connections
            .backpressure
            .borrow_mut()
            .set_held_back_since(self.id, since);
    }

    /// Whether the client may have closed the connection too long ago for an attempt to start, unseen behind bytes that
    /// its system holds back.
    pub fn may_hide_close(&self) -> bool {
        let now = self.connections.now();
        self.connections
            .backpressure
            .borrow()
            .may_hide_close(now, self.id)
    }

    /// Whether an attempt may start for this client: it is not known to have disconnected, and it could not have done so
    /// unseen.
    pub fn is_surely_connected(&self) -> bool {
        !self.is_disconnected() && !self.may_hide_close()
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.connections.limits()
    }

    /// Reserves buffer bytes. Waits until enough are free, without a limit; callers apply a timeout.
    pub async fn reserve(self: &Rc<Self>, kind: BufferKind, bytes: usize) -> BufferReservation {
        loop {
            let released = self.connections.released[kind as usize].notified();
            if self
                .connections
                .backpressure
                .borrow_mut()
                .claim(kind, self.id, bytes)
            {
                return BufferReservation::new(self.clone(), kind, bytes);
            }
            released.await;
        }
    }

    pub(crate) fn release(&self, kind: BufferKind, bytes: usize) {
        if bytes > 0 {
            self.connections
                .backpressure
                .borrow_mut()
                .release(kind, self.id, bytes);
            self.connections.released[kind as usize].notify_waiters();
        }
    }

    /// Admits the client's next request and reserves capacity for its answer, which is due until `answer_deadline`.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before a retry if there is no capacity for the answer.
    pub fn admit(
        &self,
        class: usize,
        tenant: usize,
        answer_deadline: Instant,
    ) -> Result<(), Ticks> {
        let answer_deadline = self.connections.time(answer_deadline);
        match self.connections.backpressure.borrow_mut().admit(
            self.connections.now(),
            self.id,
            class,
            tenant,
            answer_deadline,
        ) {
            Admission::Admit => Ok(()),
            Admission::Shed(retry_after) => Err(retry_after),
        }
    }

    /// Records that an answer of `bytes` is about to be written, which is due until `due_until`. `class` is the request
    /// class if the answer contains a row.
    pub fn on_answer_started(&self, class: Option<usize>, bytes: usize, due_until: Instant) {
        self.bytes_queued.set(self.bytes_queued.get() + bytes);
        let due_until = self.connections.time(due_until);
        self.connections
            .backpressure
            .borrow_mut()
            .on_response_started(self.connections.now(), self.id, class, bytes, due_until);
    }

    /// Records that an answer is written. Its buffers stay reserved until the client has acknowledged it.
    pub fn on_answer_written(&self, reservations: Vec<BufferReservation>) {
        let reservations = reservations.into_iter();
        let bytes: usize = reservations.map(BufferReservation::into_bytes).sum();
        self.held_bytes.set(self.held_bytes.get() + bytes);
        self.on_unacknowledged(self.unacknowledged_bytes());
    }

    /// Handles a message: the client may have acknowledged the previous answer along with it.
    pub fn on_message(&self) {
        if self.connections.backpressure.borrow().unread(self.id) > 0 {
            self.on_unacknowledged(self.unacknowledged_bytes());
        }
    }

    /// Records that an answer could not be written at once.
    pub fn on_write_pending(&self) {
        self.on_unacknowledged(self.unacknowledged_bytes());
    }

    /// Records a handled message, and returns what the connection does before its next one. `late` is how much longer
    /// than asked its last wait took.
    pub fn on_message_handled(&self, message: HandledMessage, late: Duration) -> MessagePause {
        let pace = self
            .connections
            .backpressure
            .borrow_mut()
            .on_message_handled(
                self.connections.now(),
                self.id,
                message,
                duration_to_ticks(late),
            );
        match pace {
            Pace::Continue => MessagePause::None,
            Pace::Yield => MessagePause::Yield,
            Pace::Wait(wait) => MessagePause::Wait(ticks_to_duration(wait)),
        }
    }

    /// Reports to backpressure how many bytes are unacknowledged; releases buffers or evicts the connection
    /// accordingly.
    fn on_unacknowledged(&self, unacknowledged: usize) {
        let effect = self
            .connections
            .backpressure
            .borrow_mut()
            .on_response_progress(self.connections.now(), self.id, unacknowledged);
        if unacknowledged == 0 {
            self.release(BufferKind::Response, self.held_bytes.take());
        } else {
            self.connections.unacknowledged.notify_one();
        }
        if effect == Action::Evict {
            self.evict("too slow");
        }
    }

    /// Returns the number of bytes that are not written yet, or are in the kernel's send buffer and not acknowledged.
    pub fn unacknowledged_bytes(&self) -> usize {
        let unsent = self.bytes_queued.get() - self.bytes_written.get();
        unsent + self.stream.unacknowledged_bytes()
    }

    /// Records that bytes of an incomplete message were received.
    pub fn on_bytes_received(&self, bytes: usize) {
        self.connections
            .backpressure
            .borrow_mut()
            .on_bytes_received(self.connections.now(), self.id, bytes);
    }

    /// Records that a message received in several parts is complete.
    pub fn on_message_complete(&self) {
        self.connections
            .backpressure
            .borrow_mut()
            .on_message_complete(self.id);
    }

    /// Excludes `waited`, during which the gateway did not read, from the client's measured rate.
    pub fn exclude_wait(&self, waited: Duration) {
        self.connections
            .backpressure
            .borrow_mut()
            .exclude_wait(self.id, duration_to_ticks(waited));
    }

    /// Checks the rate of an incomplete message. Returns when to check it again; none if the client is too slow and is
    /// to be disconnected.
    pub fn on_partial_message(&self) -> Option<Instant> {
        let next = self
            .connections
            .backpressure
            .borrow_mut()
            .incomplete_message_deadline(self.connections.now(), self.id);
        if next.is_none() {
            self.connections
                .log_eviction(self, "incomplete message too slow");
        }
        next.map(|at| self.connections.started + ticks_to_duration(at))
    }

    /// Notifies the connection's task that it is to close the connection.
    fn evict(&self, reason: &str) {
        if !self.evicted.replace(true) {
            self.connections.log_eviction(self, reason);
            self.eviction_notice.notify_one();
        }
    }

    /// Whether backpressure has proof that the client reads its answers.
    pub fn is_proven(&self) -> bool {
        self.connections.backpressure.borrow().state(self.id) == ConnectionState::Proven
    }

    /// Whether the connection was evicted.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        while !self.evicted.get() {
            self.eviction_notice.notified().await;
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.connections.backpressure.borrow_mut().close(self.id);
        self.connections
            .released
            .iter()
            .for_each(Notify::notify_waiters);
    }
}
