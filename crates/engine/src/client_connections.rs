//! Connections of clients as backpressure sees them: reports what the sockets show and evicts the slow ones.
//!
//! Buffers for messages that are longer than a ring buffer takes by itself are reserved here as well. Which connection
//! counts as slow is decided in the backpressure package.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

pub use leverpoint_backpressure::BufferKind;
use leverpoint_backpressure::{
    Action, Admission, ArrivalRateLimiter, ConnectionState, Connections as Backpressure,
    EvictionCandidate, Limits,
};
use leverpoint_config::settings::{duration_to_ticks, ticks_to_duration};
use leverpoint_routing::api::Ticks;
use leverpoint_runtime::{Instant, WeakStream, now, sleep};
use tokio::sync::Notify;

pub use crate::buffer_reservation::BufferReservation;
use crate::line_limiter::LineLimiter;

/// How often connections with unacknowledged bytes are checked: several times in the shortest grace.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// All connections of clients.
pub struct ClientConnections {
    backpressure: RefCell<Backpressure>,
    started: Instant,
    /// By the index under which backpressure knows them.
    by_index: RefCell<Vec<Weak<ClientConnection>>>,
    /// Notified when buffers of a kind are released.
    released: [Notify; 2],
    /// Notified when a connection has unacknowledged bytes.
    unacknowledged: Notify,
    arrivals: Cell<ArrivalRateLimiter>,
    /// The most bytes that were held at once, those in the kernel among them.
    held_peak: Cell<usize>,
    eviction_lines: LineLimiter,
    log: slog::Logger,
}

/// What has come of the search for a slow connection to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlowEviction {
    /// A slow connection was evicted.
    Evicted,
    /// No connection is slow enough; any idle one may be evicted.
    IdleInstead,
    /// No connection is slow enough; only an idle one that has not proved itself may be evicted.
    UnprovenInstead,
}

/// One client's connection.
pub struct ClientConnection {
    connections: Rc<ClientConnections>,
    id: usize,
    /// Gone once the connection is, and for a client without one.
    stream: WeakStream,
    /// Bytes handed over to be written, in total.
    bytes_queued: Cell<usize>,
    /// Bytes that the kernel has taken, in total.
    pub bytes_written: Cell<usize>,
    /// Reserved bytes of answers that are written but not acknowledged.
    held_bytes: Cell<usize>,
    evicted: Cell<bool>,
    eviction_notice: Notify,
}

impl ClientConnections {
    /// Makes the table of connections for so many request classes and tenants.
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
            held_peak: Cell::new(0),
            eviction_lines: LineLimiter::default(),
            log,
        })
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        *self.backpressure.borrow().limits()
    }

    /// Replaces the limits at once.
    pub fn set_limits(&self, limits: Limits) {
        self.backpressure.borrow_mut().set_limits(limits);
        self.released.iter().for_each(Notify::notify_waiters);
    }

    fn time(&self, at: Instant) -> Ticks {
        duration_to_ticks(at.saturating_duration_since(self.started))
    }

    fn now(&self) -> Ticks {
        self.time(now())
    }

    /// Registers a client's connection.
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

    /// Takes note of an accepted connection, and returns how long to wait before the next; `late` is by how much the last
    /// wait was exceeded.
    pub fn accept_delay(&self, late: Duration) -> Duration {
        let caps = self.limits();
        let mut arrivals = self.arrivals.get();
        let wait = if caps.enabled {
            arrivals.on_accepted(
                self.now(),
                caps.arrivals_per_second,
                duration_to_ticks(late),
            )
        } else {
            0
        };
        self.arrivals.set(arrivals);
        ticks_to_duration(wait)
    }

    /// Evicts a slow connection to make room for another, or says which idle one may be evicted instead.
    pub(crate) fn evict_one(&self) -> SlowEviction {
        let asked = self.backpressure.borrow_mut().eviction_candidate();
        match asked {
            EvictionCandidate::Connection(id) => {
                self.client(id)
                    .inspect(|client| client.evict("room is short"));
                SlowEviction::Evicted
            }
            EvictionCandidate::LongestIdle => SlowEviction::IdleInstead,
            EvictionCandidate::LongestIdleUnproven => SlowEviction::UnprovenInstead,
        }
    }

    /// Checks the connections with unacknowledged bytes, for as long as the gateway runs.
    pub async fn monitor(self: Rc<Self>) {
        loop {
            while self.backpressure.borrow().waiting().is_empty() {
                self.unacknowledged.notified().await;
            }
            sleep(CHECK_INTERVAL).await;
            let waiting = self.backpressure.borrow().waiting().to_vec();
            let mut held = self.held();
            for client in waiting.into_iter().filter_map(|id| self.client(id)) {
                let untaken = client.unacknowledged_bytes();
                held += untaken.saturating_sub(client.held_bytes.get());
                client.on_unacknowledged(untaken);
            }
            self.held_peak.set(self.held_peak.get().max(held));
        }
    }

    fn held(&self) -> usize {
        let backpressure = self.backpressure.borrow();
        backpressure.pool(BufferKind::Request).held()
            + backpressure.pool(BufferKind::Response).held()
    }

    /// Returns the counters of connections as one line of name=count.
    pub fn summary(&self) -> String {
        let backpressure = self.backpressure.borrow();
        let [new, usual, slow, stalled] = backpressure.counts();
        let (let_go, sent_back) = backpressure.totals();
        let pools = [BufferKind::Request, BufferKind::Response].map(|kind| backpressure.pool(kind));
        let peak = self
            .held_peak
            .get()
            .max(pools[0].peak().max(pools[1].peak()));
        format!(
            "peers.new={new} peers.usual={usual} peers.slow={slow} peers.stalled={stalled} peers.untaken={} \
             peers.let_go={let_go} peers.sent_back={sent_back} held.statements={} held.answers={} \
             held.promised={} held.peak={peak}",
            backpressure.waiting().len(),
            pools[0].held(),
            pools[1].held(),
            pools[1].reserved(),
        )
    }

    /// Logs an eviction, as far as the number of lines in a second allows.
    fn log_eviction(&self, client: &ClientConnection, why: &str) {
        let now = self.now();
        let Some(left_out) = self.eviction_lines.admit(now) else {
            return;
        };
        let (rate, held, age) = self.backpressure.borrow().metrics(now, client.id);
        let state = self.backpressure.borrow().state(client.id);
        slog::info!(self.log, "client connection evicted"; "why" => why, "state" => format!("{state:?}"), "bytes_per_s" => rate,
            "held_bytes" => held, "age_ms" => age / 10, "left_out" => left_out);
    }
}

impl ClientConnection {
    /// Whether the connection is known to have ended, though not all that came before may have been read.
    pub fn is_disconnected(&self) -> bool {
        self.stream.peer_closed()
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.connections.limits()
    }

    /// Reserves buffer bytes; waits until so many are free, the caller bounds the wait.
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

    /// Admits the client's next request.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before a retry where there is no capacity for its answer.
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

    /// Takes note that an answer is about to be written, which is owed until then; `class` where it is a row.
    pub fn on_answer_started(&self, class: Option<usize>, bytes: usize, owed_until: Instant) {
        self.bytes_queued.set(self.bytes_queued.get() + bytes);
        let owed_until = self.connections.time(owed_until);
        self.connections
            .backpressure
            .borrow_mut()
            .on_response_started(self.connections.now(), self.id, class, bytes, owed_until);
    }

    /// Takes note that an answer is written; its buffers stay reserved until the client has acknowledged it.
    pub fn on_answer_written(&self, reservations: Vec<BufferReservation>) {
        let reservations = reservations.into_iter();
        let bytes: usize = reservations.map(BufferReservation::into_bytes).sum();
        self.held_bytes.set(self.held_bytes.get() + bytes);
        self.on_unacknowledged(self.unacknowledged_bytes());
    }

    /// Takes note of a message, with which the client may have acknowledged the last answer.
    pub fn on_message(&self) {
        if self.connections.backpressure.borrow().unread(self.id) > 0 {
            self.on_unacknowledged(self.unacknowledged_bytes());
        }
    }

    /// Takes note that an answer could not be written at once.
    pub fn on_write_pending(&self) {
        self.on_unacknowledged(self.unacknowledged_bytes());
    }

    fn on_unacknowledged(&self, untaken: usize) {
        let effect = self
            .connections
            .backpressure
            .borrow_mut()
            .on_response_progress(self.connections.now(), self.id, untaken);
        if untaken == 0 {
            self.release(BufferKind::Response, self.held_bytes.take());
        } else {
            self.connections.unacknowledged.notify_one();
        }
        if effect == Action::Evict {
            self.evict("too slow");
        }
    }

    /// Number of bytes not yet written, or in the kernel and not acknowledged.
    pub fn unacknowledged_bytes(&self) -> usize {
        let unsent = self.bytes_queued.get() - self.bytes_written.get();
        unsent + self.stream.unacknowledged_bytes()
    }

    /// Takes note of received bytes of an incomplete message.
    pub fn on_bytes_received(&self, bytes: usize) {
        self.connections
            .backpressure
            .borrow_mut()
            .came(self.connections.now(), self.id, bytes);
    }

    /// Takes note that a message which came in parts is complete.
    pub fn on_message_complete(&self) {
        self.connections
            .backpressure
            .borrow_mut()
            .on_message_complete(self.id);
    }

    /// Excludes a time from the client's rate, in which it was not read.
    pub fn exclude_wait(&self, waited: Duration) {
        self.connections
            .backpressure
            .borrow_mut()
            .excuse(self.id, duration_to_ticks(waited));
    }

    /// Returns when an incomplete message is to be checked again; none where the client is too slow to complete it.
    pub fn on_partial_message(&self) -> Option<Instant> {
        let next = self
            .connections
            .backpressure
            .borrow_mut()
            .incomplete_message_deadline(self.connections.now(), self.id);
        if next.is_none() {
            self.connections.log_eviction(self, "half a message");
        }
        next.map(|at| self.connections.started + ticks_to_duration(at))
    }

    fn evict(&self, why: &str) {
        if !self.evicted.replace(true) {
            self.connections.log_eviction(self, why);
            self.eviction_notice.notify_one();
        }
    }

    /// Whether the client has proved that it reads its answers.
    pub fn is_proven(&self) -> bool {
        self.connections.backpressure.borrow().state(self.id) == ConnectionState::Proven
    }

    /// Whether the connection is evicted.
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
