//! Cancel keys: a CancelRequest of PostgreSQL's protocol names by them the connection whose request is to be cancelled.
//!
//! # Invariants
//!
//! A cancel ends the request that is open on the connection with that key, never a later one: if none is open, the
//! cancel has no effect. A key is removed when its connection ends.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_runtime::{Instant, now, secure_random_u64};
use tokio::sync::Notify;

/// Longest time from the accept of a cancel's connection to the accept of a request that the cancel may still end.
///
/// A request accepted later was sent after the cancel. The time is far longer than an iteration of the event loop, in
/// which both may have been received.
const MAX_REQUEST_DELAY: Duration = Duration::from_millis(20);

/// The open connections by their keys; the number of descriptors bounds them.
#[derive(Default)]
pub(crate) struct CancelKeys {
    connections: RefCell<BTreeMap<u64, Rc<RequestSlot>>>,
}

/// State of the request on a connection.
#[derive(Clone, Copy, PartialEq)]
enum RequestState {
    Idle,
    /// A request is open; holds when it was accepted.
    Open(Instant),
    Cancelled,
}

/// The request of one connection, and the notification of its cancel.
struct RequestSlot {
    state: Cell<RequestState>,
    notify: Notify,
}

/// The key of one connection; removed from the table when dropped.
pub(crate) struct CancelKey {
    keys: Rc<CancelKeys>,
    number: u64,
    slot: Rc<RequestSlot>,
}

/// Guard of an open request; the connection counts as idle again when it is dropped.
pub(crate) struct OpenRequest<'a>(&'a CancelKey);

impl CancelKeys {
    /// Creates an unguessable, unique key for a new connection.
    ///
    /// None if the system provides no random numbers: the requests of that connection can't be cancelled then.
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

    /// Returns the number of connections with a key.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Cancels the request that is open on the connection with key `number`; an unknown key has no effect.
    ///
    /// `connected` is the time at which the cancel's own connection was accepted.
    pub(crate) fn cancel(&self, number: u64, connected: Instant) {
        let slot = self.connections.borrow().get(&number).cloned();
        let Some(slot) = slot else { return };
        if let RequestState::Open(accepted) = slot.state.get()
            && accepted <= connected + MAX_REQUEST_DELAY
        {
            slot.state.set(RequestState::Cancelled);
            slot.notify.notify_waiters();
        }
    }
}

impl CancelKey {
    /// Returns the key as the eight bytes of BackendKeyData.
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
