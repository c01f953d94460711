//! Reading ahead while a request is open.
//!
//! The end of a client that has sent requests ahead is seen only once all that it has sent has been read.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;

use crate::client::Client;
use crate::postgres::messages;

/// Bytes by which the read-ahead of a connection grows.
const READ_AHEAD_STEP: usize = 16 << 10;
/// Most bytes that one connection reads ahead.
const MAX_READ_AHEAD: usize = messages::MAX_MESSAGE;

/// Reservation of read-ahead bytes, taken from what all connections share; released when dropped.
pub(super) struct ReadAhead {
    available: Rc<Cell<usize>>,
    bytes: usize,
}

impl ReadAhead {
    /// An empty reservation.
    pub(super) fn new(available: Rc<Cell<usize>>) -> Self {
        ReadAhead {
            available,
            bytes: 0,
        }
    }

    /// Reserves one more step, unless the connection or all of them together have reached their bound.
    fn grow(&mut self) -> bool {
        let available = self.available.get();
        let grows = available >= READ_AHEAD_STEP && self.bytes < MAX_READ_AHEAD;
        if grows {
            self.available.set(available - READ_AHEAD_STEP);
            self.bytes += READ_AHEAD_STEP;
        }
        grows
    }

    /// Gives the whole reservation back.
    pub(super) fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.available.set(self.available.get() + bytes);
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.release();
    }
}

impl Client {
    /// Waits for `future` and reads meanwhile what the client sends ahead; the client's end ends the wait.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub(super) async fn read_ahead_until<F: Future>(
        &mut self,
        mut future: Pin<&mut F>,
    ) -> io::Result<F::Output> {
        loop {
            if self.connection.input.space() == 0 && self.read_ahead.grow() {
                self.connection.extend_input_bound(READ_AHEAD_STEP);
            }
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                read = self.connection.read() => { read?; }
            }
        }
    }
}
