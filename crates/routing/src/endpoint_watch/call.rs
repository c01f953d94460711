//! Calls to discovery, their outcomes, and the steps that the caller takes.

use crate::api::Ticks;

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks for the full list.
    Full,
    /// Asks for the changes since a revision.
    Watch {
        /// Revision since which changes are asked for.
        since: u64,
        /// How long discovery waits for a change before it answers.
        wait: Ticks,
    },
}

impl Call {
    /// How long discovery may wait for a change before it answers.
    pub(super) fn wait(self) -> Ticks {
        match self {
            Call::Full => 0,
            Call::Watch { wait, .. } => wait,
        }
    }
}

/// The caller's next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Begin a call.
    Begin {
        /// Identifier of the call.
        id: u64,
        /// The request to send.
        call: Call,
    },
    /// Stop waiting for a call and close its connection.
    Abandon {
        /// Identifier of the call.
        id: u64,
    },
    /// Do nothing, unless a call ends before.
    Wait {
        /// When to ask again.
        until: Ticks,
    },
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was answered with a refusal.
    Refused,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the answer was not a valid list.
    Broken,
}

/// What a failed call shows about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureEvidence {
    /// It was reached and refused the call.
    Refused,
    /// It could not be reached while the call was in flight.
    Unreachable {
        /// Time since the call began.
        ago: Ticks,
    },
    /// Neither: the failure does not show whether it could be reached.
    None,
}

/// Properties of a returned list that the schedule depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListAnswer {
    /// Revision of the list.
    pub revision: u64,
    /// Whether it is the full list rather than changes.
    pub full: bool,
}

/// Whether an answer is to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerUse {
    /// Apply the list.
    Use,
    /// Drop it: it does not follow the held revision, so the full list is called for.
    Ignore,
}
