//! Reservations of buffer bytes for messages that exceed `UNRESERVED_BYTES`.

use std::rc::Rc;

use leverpoint_backpressure::BufferKind;
use leverpoint_runtime::failpoint_active;

use crate::client_connections::ClientConnection;

/// Buffer bytes of one direction that are reserved for a client; released when dropped.
pub struct BufferReservation {
    owner: Rc<ClientConnection>,
    kind: BufferKind,
    bytes: usize,
}

impl BufferReservation {
    pub(crate) fn new(owner: Rc<ClientConnection>, kind: BufferKind, bytes: usize) -> Self {
        BufferReservation { owner, kind, bytes }
    }

    /// Takes over the bytes of another reservation, which must be of the same client and kind.
    pub fn merge(&mut self, mut other: BufferReservation) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Consumes the reservation without releasing it; the caller has to release the returned number of bytes.
    pub(crate) fn into_bytes(mut self) -> usize {
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        if failpoint_active("claim-kept") {
            // Leaks the client as well, as its drop would release the bytes.
            return std::mem::forget(self.owner.clone());
        }
        self.owner.release(self.kind, self.bytes);
    }
}
