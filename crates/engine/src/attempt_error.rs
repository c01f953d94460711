//! How an attempt fails: its cause, and the progress that decides whether it may have been executed.

use leverpoint_routing::api::AttemptOutcome;
use leverpoint_runtime::failpoint_active;

/// How far an attempt has come; it only ever advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection to the server is open yet.
    NotConnected,
    /// A connection is open, and the statement is not written whole.
    NotWritten,
    /// The statement is written: it may have been executed.
    Written,
    /// The server has begun to answer.
    Answering,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection was refused, ended or broke.
    ConnectionBroken,
    /// The answer violates the protocol.
    ProtocolViolation,
    /// The attempt's timeout passed.
    TimedOut,
    /// The answer came too slowly to be complete before the attempt's deadline.
    TooSlow,
    /// The router cancelled the attempt.
    Cancelled,
    /// The decision no longer held as the attempt was about to start.
    NoLongerNeeded,
    /// The server reported that it accepts no more connections.
    ConnectionRejected,
    /// No descriptor or no address was available to connect with.
    NoConnectionPossible,
}

/// A failure of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptError {
    /// How far the attempt had come.
    pub progress: Progress,
    /// Why it failed.
    pub cause: Cause,
}

impl AttemptError {
    /// Returns the outcome that the router is told.
    #[must_use]
    pub fn outcome(self) -> AttemptOutcome {
        match (self.progress < Progress::Written, self.cause) {
            (true, Cause::NoConnectionPossible | Cause::NoLongerNeeded) => AttemptOutcome::NotSent,
            (_, Cause::Cancelled) => AttemptOutcome::Cancelled,
            (true, Cause::ConnectionRejected) => AttemptOutcome::Overloaded,
            (true, _) => AttemptOutcome::NotConnected,
            (false, Cause::TimedOut) if failpoint_active("time-out-never-ran") => {
                AttemptOutcome::NotSent
            }
            (false, Cause::TimedOut) => AttemptOutcome::TimedOut,
            (false, _) if failpoint_active("reset-never-ran") => AttemptOutcome::NotConnected,
            (false, _) => AttemptOutcome::Reset,
        }
    }
}
