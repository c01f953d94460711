//! The budget of file descriptors shared by client connections and server connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use leverpoint_runtime::yield_now;
use tokio::sync::Notify;

pub use crate::eviction::{ClientActivity, ConnectionEviction};

/// Descriptors used for anything but client and server connections: three standard streams, two that the parent process
/// may leave open, five of the runtime and its signal handling, the listening socket, a connection that is accepted but
/// has no permit yet, and three calls to discovery. These are fifteen; one more is spare.
const OTHER_DESCRIPTORS: usize = 16;

/// Limits the descriptors held by client and server connections together.
///
/// Each side is entitled to half. Server connections may use descriptors that clients leave free; when clients need
/// them, idle server connections are closed. Once clients have used their half, a new client is admitted only by
/// evicting another one. The kernel has already accepted the connection of a client beyond that, and may hold its
/// request, so the request is read and shed rather than left waiting. A sixteenth of the descriptors is reserved for
/// such clients, each of which holds its descriptor only until it has closed its connection. When the reserve is used
/// up, accepting pauses.
pub struct DescriptorBudget {
    free: Cell<usize>,
    /// Descriptors held by client connections.
    clients: Cell<usize>,
    /// Descriptors that clients are entitled to.
    client_share: usize,
    /// Descriptors reserved for clients whose request is shed.
    shed_reserve: usize,
    freed: Notify,
    /// Closes an idle server connection and returns whether there was one.
    close_idle: RefCell<Option<Box<dyn Fn() -> bool>>>,
    eviction: Rc<ConnectionEviction>,
}

/// Permission to use one descriptor; returned to the budget when dropped.
pub struct DescriptorPermit {
    budget: Rc<DescriptorBudget>,
    client: bool,
}

impl DescriptorBudget {
    /// Creates a budget; `descriptors` is the process's limit of open descriptors.
    pub fn new(descriptors: usize, eviction: Rc<ConnectionEviction>) -> Rc<Self> {
        let available = descriptors.saturating_sub(OTHER_DESCRIPTORS);
        let shed_reserve = (available / 16).max(1);
        Rc::new(DescriptorBudget {
            free: Cell::new(available),
            clients: Cell::new(0),
            client_share: available - shed_reserve - (available - shed_reserve) / 2,
            shed_reserve,
            freed: Notify::new(),
            close_idle: RefCell::new(None),
            eviction,
        })
    }

    /// Sets the function that closes an idle server connection and returns whether there was one.
    pub fn set_idle_closer(&self, close: Box<dyn Fn() -> bool>) {
        *self.close_idle.borrow_mut() = Some(close);
    }

    /// Acquires a descriptor if at least `min_free` remain free after that.
    fn try_acquire(self: &Rc<Self>, client: bool, min_free: usize) -> Option<DescriptorPermit> {
        let remaining = self
            .free
            .get()
            .checked_sub(1)
            .filter(|remaining| *remaining >= min_free)?;
        self.free.set(remaining);
        self.clients.set(self.clients.get() + usize::from(client));
        Some(DescriptorPermit {
            budget: self.clone(),
            client,
        })
    }

    fn close_idle(&self) -> bool {
        self.close_idle
            .borrow()
            .as_ref()
            .is_some_and(|close| close())
    }

    /// Acquires a descriptor for a server connection: closes an idle server connection for it, else evicts a client.
    ///
    /// Waits until a descriptor is free, without a limit; callers apply a timeout.
    pub async fn acquire_for_server(self: &Rc<Self>) -> DescriptorPermit {
        loop {
            let freed = self.freed.notified();
            if let Some(permit) = self.try_acquire(false, self.shed_reserve) {
                return permit;
            }
            if !self.close_idle() {
                self.eviction.evict_one();
                freed.await;
            }
        }
    }

    /// Acquires a descriptor for a client, and returns whether the client is admitted; otherwise its request is to be
    /// shed.
    pub async fn acquire_for_client(self: &Rc<Self>) -> (DescriptorPermit, bool) {
        loop {
            let freed = self.freed.notified();
            let within_share = self.clients.get() < self.client_share;
            if within_share && let Some(permit) = self.try_acquire(true, self.shed_reserve) {
                return (permit, true);
            }
            if within_share && self.close_idle() {
                continue;
            }
            // Lets tasks of recently accepted or evicted connections run first, so that the counts reflect them.
            yield_now().await;
            // Uses the reserve: an evicted connection returns its descriptor shortly.
            if let Some(permit) = self.try_acquire(true, 0) {
                return (permit, self.eviction.evict_one());
            }
            freed.await;
        }
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.budget.free.set(self.budget.free.get() + 1);
        self.budget
            .clients
            .set(self.budget.clients.get() - usize::from(self.client));
        self.budget.freed.notify_waiters();
    }
}
