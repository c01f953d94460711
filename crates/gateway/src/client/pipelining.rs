//! Reads pipelined requests ahead while a request is open.
//!
//! The disconnect of a client that has sent further requests is seen only once all that it has sent has been read. While it
//! could not be seen, no attempt starts for the client.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_runtime::{now, timeout};

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

/// Without a byte for this long, nothing is held back by the client's system any more: two round trips between data
/// centres.
const QUIET_TIME: Duration = Duration::from_millis(5);
/// Longest wait for such a quiet time before a request is accepted or shed.
const MAX_QUIET_WAIT: Duration = Duration::from_millis(20);
/// Bytes read at once from which on the client's system may have held more back: the smallest buffer of a kernel here.
const HELD_BACK_BYTES: usize = 8 << 10;

impl Client {
    /// Makes space for more input, where the bounds allow; returns whether there is any.
    fn has_input_space(&mut self) -> bool {
        // The bound is reset with each message that is taken out; what was reserved meanwhile still counts.
        self.connection.raise_input_bound(self.read_ahead.reserved);
        if self.connection.input.space() == 0 && self.read_ahead.grow() {
            self.connection.raise_input_bound(self.read_ahead.reserved);
        }
        self.connection.input.space() > 0
    }

    /// Reads what the client has sent, and records since when it could have disconnected unseen behind more.
    ///
    /// # Errors
    ///
    /// The client has disconnected.
    pub(super) async fn look_for_disconnect(&mut self) -> io::Result<()> {
        if !self.connection.may_have_unread_input() {
            return Ok(());
        }
        let unread = self.connection.input.len();
        while self.has_input_space() && self.read_available()? {}
        let read = self.connection.input.len() - unread;
        if self.connection.input.space() == 0 || read >= HELD_BACK_BYTES {
            self.connection.on_reading_paused();
        }
        self.record_held_back();
        if self.registration.may_hide_close() {
            self.read_until_quiet().await?;
            self.record_held_back();
        }
        Ok(())
    }

    /// Tells backpressure since when the client's system may hold bytes back.
    fn record_held_back(&self) {
        self.registration
            .set_held_back_since(self.connection.held_back_since());
    }

    /// Reads on until nothing was received for [`QUIET_TIME`], for [`MAX_QUIET_WAIT`] at most.
    async fn read_until_quiet(&mut self) -> io::Result<()> {
        let give_up_at = now() + MAX_QUIET_WAIT;
        while self.connection.held_back_since().is_some() && now() < give_up_at {
            if !self.has_input_space() {
                return Ok(());
            }
            // A read that was waited for in vain has recorded the quiet time.
            if let Ok(read) = timeout(QUIET_TIME, self.connection.read()).await {
                read?;
            }
        }
        Ok(())
    }

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
            if !self.has_input_space() {
                self.connection.on_reading_paused();
            }
            self.record_held_back();
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                read = self.connection.read() => { read?; }
            }
        }
    }
}
