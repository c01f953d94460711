//! Decides how far a statement has come on its way to a server, and whether the server may still get the rest of it.
//!
//! A server executes a statement when its last byte has arrived, however early the first one was sent. Bytes that the
//! server does not read stand in its own system, in this gateway's, and in the gateway itself, and arrive once it reads
//! again. A statement that must not arrive any more is withdrawn: its connection is reset, upon which this system discards
//! what the other one has not acknowledged.

use std::time::Duration;

use crate::attempt_error::Progress;

/// How long a statement may stay on its way after its client has left.
///
/// An attempt that begins over 0.1 s after its client has disconnected is a lost request. A system may hold an
/// acknowledgement back for 40 ms, so a statement that has arrived is usually acknowledged by then.
pub const ARRIVAL_GRACE: Duration = Duration::from_millis(60);

/// How far a statement has come, as this side can tell. It only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Delivery {
    /// This system has not taken all of it, so it can't arrive whole once it is withdrawn.
    Incomplete,
    /// This system has taken all of it, the server's has not acknowledged all of it: it may or may not have arrived.
    Unacknowledged,
    /// All of it has arrived.
    Complete,
}

impl Delivery {
    /// The delivery of a statement whose attempt has made this progress, where `unacknowledged_bytes` of what was written to
    /// its connection are not acknowledged.
    pub fn new(progress: Progress, unacknowledged_bytes: usize) -> Delivery {
        match progress {
            Progress::NotConnected | Progress::NotWritten => Delivery::Incomplete,
            Progress::Written if unacknowledged_bytes > 0 => Delivery::Unacknowledged,
            Progress::Written | Progress::Answering => Delivery::Complete,
        }
    }

    /// Whether the statement must be withdrawn once the time in which it may arrive is over.
    pub fn must_be_withdrawn(self) -> bool {
        self != Delivery::Complete
    }
}
