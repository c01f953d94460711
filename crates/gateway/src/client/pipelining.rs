//! Reads pipelined requests ahead while a request is open.
//!
//! The disconnect of a client that has sent further requests is seen only once all that it has sent has been read.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;

use crate::client::Client;
use crate::postgres::messages;

/// Bytes by which the read-ahead of a connection grows at a time.
const READ_AHEAD_STEP: usize = 16 << 10;
/// Most bytes that one connection reads ahead.
const MAX_READ_AHEAD: usize = messages::MAX_MESSAGE;

/// Reservation of read-ahead bytes of one connection; released when dropped.
pub(super) struct ReadAhead {
    /// Bytes that are left to all connections together.
    available: Rc<Cell<usize>>,
    reserved: usize,
}

impl ReadAhead {
    /// Creates an empty reservation that takes its bytes from `available`.
    pub(super) fn new(available: Rc<Cell<usize>>) -> Self {
        ReadAhead {
            available,
            reserved: 0,
        }
    }

    /// Reserves one more step; returns false if the connection, or all of them together, have reached the bound.
    fn grow(&mut self) -> bool {
        let available = self.available.get();
        let has_space = available >= READ_AHEAD_STEP && self.reserved < MAX_READ_AHEAD;
        if has_space {
            self.available.set(available - READ_AHEAD_STEP);
            self.reserved += READ_AHEAD_STEP;
        }
        has_space
    }

    /// Releases the whole reservation.
    pub(super) fn release(&mut self) {
        let bytes = std::mem::take(&mut self.reserved);
        self.available.set(self.available.get() + bytes);
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.release();
    }
}

impl Client {
    /// Waits for `future` and meanwhile reads what the client sends.
    ///
    /// # Errors
    ///
    /// The connection ended before the future completed.
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
