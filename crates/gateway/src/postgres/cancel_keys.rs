//! The keys by which a client may cancel its request from another connection, as PostgreSQL's protocol has it.
//!
//! # Invariants
//!
//! A cancel ends the request that is open on the connection with that key, and never a later one: where none is open
//! nothing is remembered. A key is forgotten with its connection.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_runtime::{Instant, now, secure_random_u64};
use tokio::sync::Notify;

/// A request accepted this long after the connection of a cancel had come up was sent after the cancel.
///
/// It is far longer than a turn of the event loop, in which both may have been received.
const SENT_AFTER_CANCEL: Duration = Duration::from_millis(20);

/// The open connections by their keys; no more than there are descriptors for.
#[derive(Default)]
pub(crate) struct CancelKeys {
    connections: RefCell<BTreeMap<u64, Rc<RequestSlot>>>,
}

/// State of the request on a connection.
#[derive(Clone, Copy, PartialEq)]
enum RequestState {
    Idle,
    /// A request is open that was accepted then.
    Open(Instant),
    Cancelled,
}

/// The request of one connection, and who waits for its cancel.
struct RequestSlot {
    state: Cell<RequestState>,
    notify: Notify,
}

/// A connection's key; it is forgotten when dropped.
pub(crate) struct CancelKey {
    keys: Rc<CancelKeys>,
    number: u64,
    slot: Rc<RequestSlot>,
}

/// Guard of a request that is open on the connection.
pub(crate) struct OpenRequest<'a>(&'a CancelKey);

impl CancelKeys {
    /// Creates the key of a new connection, which is unguessable and unique.
    ///
    /// None where the system has no random numbers: the requests of that connection can't be cancelled.
    pub(crate) fn create(self: &Rc<Self>) -> Option<CancelKey> {
        let slot = Rc::new(RequestSlot {
            state: Cell::new(RequestState::Idle),
            notify: Notify::new(),
        });
        let mut connections = self.connections.borrow_mut();
        let mut number = secure_random_u64()?;
        while connections.contains_key(&number) {
            number = secure_random_u64()?;
        }
        connections.insert(number, slot.clone());
        Some(CancelKey {
            keys: self.clone(),
            number,
            slot,
        })
    }

    /// Number of keys.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Cancels the request that is open under the key, for a cancel whose connection came up at `connected`.
    ///
    /// An unknown key changes nothing.
    pub(crate) fn cancel(&self, number: u64, connected: Instant) {
        let slot = self.connections.borrow().get(&number).cloned();
        let Some(slot) = slot else { return };
        if let RequestState::Open(accepted) = slot.state.get()
            && accepted <= connected + SENT_AFTER_CANCEL
        {
            slot.state.set(RequestState::Cancelled);
            slot.notify.notify_waiters();
        }
    }
}

impl CancelKey {
    /// The eight bytes that the protocol carries.
    pub(crate) fn bytes(&self) -> [u8; 8] {
        self.number.to_be_bytes()
    }

    /// Marks a request as open until the returned guard is dropped.
    pub(crate) fn open_request(&self) -> OpenRequest<'_> {
        self.slot.state.set(RequestState::Open(now()));
        OpenRequest(self)
    }
}

impl OpenRequest<'_> {
    /// Waits until the request is cancelled.
    pub(crate) async fn cancelled(&self) {
        let notify = self.0.slot.notify.notified();
        if self.0.slot.state.get() != RequestState::Cancelled {
            notify.await;
        }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.slot.state.set(RequestState::Idle);
    }
}

impl Drop for CancelKey {
    fn drop(&mut self) {
        self.keys.connections.borrow_mut().remove(&self.number);
    }
}
