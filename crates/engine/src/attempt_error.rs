//! Failures of attempts: the cause, and the progress that decides whether the statement may have been executed.

use leverpoint_routing::api::AttemptOutcome;
use leverpoint_runtime::failpoint_active;

/// Progress of an attempt on its connection. It only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection to the server is open yet.
    NotConnected,
    /// A connection is open, but the statement is not completely written.
    NotWritten,
    /// The statement is completely written, so it may have been executed.
    Written,
    /// The first bytes of the server's answer have been received.
    Answering,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection was refused, closed or reset.
    ConnectionBroken,
    /// The answer violates the protocol.
    ProtocolViolation,
    /// The attempt's timeout passed.
    TimedOut,
    /// The statement had not arrived whole when its deduplication window ended, see `statement_delivery`.
    ArrivalTimedOut,
    /// The answer arrives too slowly to be complete by the attempt's deadline.
    TooSlow,
    /// The router cancelled the attempt.
    Cancelled,
    /// The attempt was no longer valid when it was about to start, see `Attempt::may_start`, or its client left before the
    /// statement had arrived.
    NoLongerNeeded,
    /// The server answered that it accepts no more connections.
    ConnectionRejected,
    /// No file descriptor or no address was available for a connection.
    NoConnectionPossible,
}

/// Why and at which point an attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct AttemptError {
    /// The attempt's progress when it failed.
    pub progress: Progress,
    /// The reason of the failure.
    pub cause: Cause,
}

impl AttemptError {
    /// Returns the outcome that is reported to the router.
    #[must_use]
    pub fn outcome(self) -> AttemptOutcome {
        match (self.progress < Progress::Written, self.cause) {
            (
                true,
                Cause::NoConnectionPossible | Cause::NoLongerNeeded | Cause::ArrivalTimedOut,
            ) => AttemptOutcome::NotSent,
            (_, Cause::Cancelled) | (false, Cause::NoLongerNeeded) => AttemptOutcome::Cancelled,
            (true, Cause::ConnectionRejected) => AttemptOutcome::Overloaded,
            (true, _) => AttemptOutcome::NotConnected,
            (false, Cause::TimedOut) if failpoint_active("time-out-never-ran") => {
                AttemptOutcome::NotSent
            }
            (false, Cause::TimedOut | Cause::ArrivalTimedOut) => AttemptOutcome::TimedOut,
            (false, _) if failpoint_active("reset-never-ran") => AttemptOutcome::NotConnected,
            (false, _) => AttemptOutcome::Reset,
        }
    }
}
