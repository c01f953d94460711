//! Selects the client connections to evict when descriptors run short or the gateway shuts down.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use leverpoint_runtime::Instant;
use tokio::sync::Notify;

use crate::client_connections::{ClientConnections, SlowEviction};

/// Progress of a client connection, which decides how early it is evicted.
#[derive(Clone, Copy, PartialEq)]
pub enum ClientActivity {
    /// It was accepted, but its startup packet has not been received.
    Connected,
    /// Its startup packet was received, but no complete message.
    StartupReceived,
    /// At least one complete message was received.
    MessageReceived,
    /// It has read enough of its answers to count as proven, see [`ClientConnection::is_proven`].
    ///
    /// [`ClientConnection::is_proven`]: crate::client_connections::ClientConnection::is_proven
    Proven,
}

/// Evicts client connections without an open request, either all of them or one at a time.
///
/// Connections that have sent no message are evicted first, then slow ones, then unproven ones and finally proven ones.
/// Among connections of the same kind the one that has been idle longest comes first.
pub struct ConnectionEviction {
    evicting_all: Cell<bool>,
    /// Connections without a message.
    silent: EvictionQueue,
    /// Idle connections that are not proven.
    unproven: EvictionQueue,
    /// Idle connections that are proven.
    proven: EvictionQueue,
    connections: Rc<ClientConnections>,
    /// Largest number of connections, idle ones and those with an open request.
    max_connections: usize,
}

/// Connections that may be evicted, ordered by when they became idle and then by a sequence number.
#[derive(Default)]
struct EvictionQueue {
    queue: RefCell<BTreeMap<(Instant, u64), Rc<Notify>>>,
    next_sequence: Cell<u64>,
}

/// An entry of an eviction queue; removed when dropped.
struct QueueEntry<'a>(&'a EvictionQueue, (Instant, u64));

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.0.queue.borrow_mut().remove(&self.1);
    }
}

impl EvictionQueue {
    /// Waits until the entry that this call adds is evicted.
    async fn evicted(&self, since: Instant) {
        let entry = QueueEntry(
            self,
            (
                since,
                self.next_sequence.replace(self.next_sequence.get() + 1),
            ),
        );
        let notice = Rc::new(Notify::new());
        self.queue.borrow_mut().insert(entry.1, notice.clone());
        notice.notified().await;
    }

    fn len(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Evicts the connection that has been idle longest; returns whether there was one.
    fn evict_first(&self) -> bool {
        self.queue
            .borrow_mut()
            .pop_first()
            .inspect(|(_, first)| first.notify_one())
            .is_some()
    }
}

impl ConnectionEviction {
    /// Creates an eviction that keeps the connections below a sixth of `descriptors`.
    ///
    /// The platform allows clients a third of the descriptors. Half of that is kept free for new connections,
    /// which idle ones would otherwise block.
    pub fn new(descriptors: usize, connections: Rc<ClientConnections>) -> Rc<Self> {
        let [silent, unproven, proven] = Default::default();
        Rc::new(ConnectionEviction {
            evicting_all: Cell::new(false),
            silent,
            unproven,
            proven,
            connections,
            max_connections: descriptors / 6,
        })
    }

    /// Handles a connection that becomes idle: evicts one if there are too many. `open_requests` counts the connections
    /// with an open request, which may not be evicted.
    pub fn on_idle(&self, open_requests: usize) {
        if self.unproven.len() + self.proven.len() + open_requests >= self.max_connections {
            self.evict_slow_or_idle();
        }
    }

    /// Waits until the connection that calls this is evicted; it has been idle `since` then. Dropping the future keeps
    /// the connection from being evicted.
    pub async fn requested(&self, activity: ClientActivity, since: Instant) {
        let queue = match activity {
            ClientActivity::Connected | ClientActivity::StartupReceived => &self.silent,
            ClientActivity::MessageReceived => &self.unproven,
            ClientActivity::Proven => &self.proven,
        };
        while !self.evicting_all.get() {
            queue.evicted(since).await;
            if !self.evicting_all.get() {
                return;
            }
        }
        if activity == ClientActivity::Connected {
            // The first request may be in flight. The timeout of the startup packet bounds the wait for it.
            std::future::pending().await
        }
    }

    /// Evicts all connections, including those that become idle later.
    pub fn evict_all(&self) {
        self.evicting_all.set(true);
        for queue in [&self.silent, &self.unproven, &self.proven] {
            while queue.evict_first() {}
        }
    }

    /// Whether [`Self::evict_all`] was called.
    pub fn is_evicting_all(&self) -> bool {
        self.evicting_all.get()
    }

    /// Evicts one connection; returns whether there was one.
    pub(crate) fn evict_one(&self) -> bool {
        self.silent.evict_first() || self.evict_slow_or_idle()
    }

    /// Evicts a slow connection if there is one, else the idle one that [`ClientConnections`] permits.
    fn evict_slow_or_idle(&self) -> bool {
        match self.connections.evict_one() {
            SlowEviction::Evicted => true,
            SlowEviction::IdleInstead => self.unproven.evict_first() || self.proven.evict_first(),
            SlowEviction::UnprovenInstead => self.unproven.evict_first(),
        }
    }
}
