//! Reservations of buffer bytes for messages that are longer than a ring buffer takes by itself.

use std::rc::Rc;

use leverpoint_backpressure::BufferKind;
use leverpoint_runtime::failpoint_active;

use crate::client_connections::ClientConnection;

/// Buffer bytes reserved for a client; released when dropped.
pub struct BufferReservation {
    owner: Rc<ClientConnection>,
    kind: BufferKind,
    bytes: usize,
}

impl BufferReservation {
    pub(crate) fn new(owner: Rc<ClientConnection>, kind: BufferKind, bytes: usize) -> Self {
        BufferReservation { owner, kind, bytes }
    }

    /// Adds the bytes of another reservation of the same client and kind.
    pub fn merge(&mut self, mut more: BufferReservation) {
        self.bytes += std::mem::take(&mut more.bytes);
    }

    /// Turns the reservation into a number of bytes that the caller releases.
    pub(crate) fn into_bytes(mut self) -> usize {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        if failpoint_active("claim-kept") {
            // The client's leaving would release it.
            return std::mem::forget(self.owner.clone());
        }
        self.owner.release(self.kind, self.bytes);
    }
}
