//! State machine of a gateway's knowledge about one session, and what the session's reads must see in each state.
//!
//! # Invariants
//!
//! A read is never required to see less than what its session may have written, at any gateway.

/// Knowledge of this gateway about a session, in ascending order of certainty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionState {
    /// Not seen in this epoch: it may have written up to now, at any gateway.
    #[default]
    Unknown,
    /// A write ended without a known outcome: it may have executed, at an unknown position.
    Uncertain,
    /// Tracked without a gap since its low watermark, without a write since then.
    Tracked,
    /// Tracked, and its last write was answered by this gateway.
    Wrote,
}

/// Event that changes what is known about a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// A read so soon after the last event that the session was at no other gateway in between.
    Read,
    /// A read after a gap in which the session may have been at another gateway.
    ReadAfterGap,
    /// A write without such a gap.
    Write,
    /// A write after a gap in which the session may have been at another gateway.
    WriteAfterGap,
    /// The answer of a write, with its position.
    WriteAnswered,
    /// The end of a write that may have executed, without a position.
    WriteUncertain,
    /// A read with a token that names all that the session has written.
    TokenRead,
    /// A read for which the replica holders of the session's positions have answered.
    ReplicatedRead,
    /// A position of the session from another gateway or an earlier epoch; there may be later ones.
    PositionLearned,
}

/// What a read must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequirement {
    /// None, as the event is not a read.
    None,
    /// The low watermark from which the session is tracked.
    LowWatermark,
    /// The session's last write, and its low watermark.
    LastWrite,
    /// All writes of all sessions up to now; that instant becomes the low watermark.
    CurrentInstant,
    /// The token's position, and the session's writes at this gateway.
    Token,
    /// The replica holders' position, and the session's writes at this gateway; that becomes the low watermark.
    Replicated,
}

use SessionState::{Tracked, Uncertain, Unknown, Wrote};

/// State, event, next state, and requirement of the read.
type Transition = (SessionState, SessionEvent, SessionState, ReadRequirement);

const TRANSITIONS: [Transition; 36] = [
    (
        Unknown,
        SessionEvent::Read,
        Tracked,
        ReadRequirement::CurrentInstant,
    ),
    (
        Unknown,
        SessionEvent::ReadAfterGap,
        Tracked,
        ReadRequirement::CurrentInstant,
    ),
    // Earlier writes have lower positions than this one; until it is answered, a concurrent read requires the current
    // instant.
    (Unknown, SessionEvent::Write, Unknown, ReadRequirement::None),
    (
        Unknown,
        SessionEvent::WriteAfterGap,
        Unknown,
        ReadRequirement::None,
    ),
    // A write commits at a higher position than all earlier writes of its session, at any gateway.
    (
        Unknown,
        SessionEvent::WriteAnswered,
        Wrote,
        ReadRequirement::None,
    ),
    (
        Unknown,
        SessionEvent::WriteUncertain,
        Uncertain,
        ReadRequirement::None,
    ),
    // A token is valid only for the read that carries it: the next read may come without one, after a write at another
    // gateway.
    (
        Unknown,
        SessionEvent::TokenRead,
        Unknown,
        ReadRequirement::Token,
    ),
    // A learned position may be outdated: it raises the requirement and never lowers it.
    (
        Unknown,
        SessionEvent::PositionLearned,
        Unknown,
        ReadRequirement::None,
    ),
    // The replica holders answer only if they have the positions of all the session's writes.
    (
        Unknown,
        SessionEvent::ReplicatedRead,
        Tracked,
        ReadRequirement::Replicated,
    ),
    (
        Uncertain,
        SessionEvent::ReplicatedRead,
        Tracked,
        ReadRequirement::Replicated,
    ),
    (
        Tracked,
        SessionEvent::ReplicatedRead,
        Tracked,
        ReadRequirement::Replicated,
    ),
    (
        Wrote,
        SessionEvent::ReplicatedRead,
        Tracked,
        ReadRequirement::Replicated,
    ),
    // The client may have seen the uncertain write at another gateway: the current instant covers it.
    (
        Uncertain,
        SessionEvent::Read,
        Tracked,
        ReadRequirement::CurrentInstant,
    ),
    (
        Uncertain,
        SessionEvent::ReadAfterGap,
        Tracked,
        ReadRequirement::CurrentInstant,
    ),
    (
        Uncertain,
        SessionEvent::Write,
        Uncertain,
        ReadRequirement::None,
    ),
    (
        Uncertain,
        SessionEvent::WriteAfterGap,
        Uncertain,
        ReadRequirement::None,
    ),
    (
        Uncertain,
        SessionEvent::WriteAnswered,
        Wrote,
        ReadRequirement::None,
    ),
    (
        Uncertain,
        SessionEvent::WriteUncertain,
        Uncertain,
        ReadRequirement::None,
    ),
    (
        Uncertain,
        SessionEvent::TokenRead,
        Uncertain,
        ReadRequirement::Token,
    ),
    (
        Uncertain,
        SessionEvent::PositionLearned,
        Uncertain,
        ReadRequirement::None,
    ),
    (
        Tracked,
        SessionEvent::Read,
        Tracked,
        ReadRequirement::LowWatermark,
    ),
    (
        Tracked,
        SessionEvent::ReadAfterGap,
        Tracked,
        ReadRequirement::CurrentInstant,
    ),
    (Tracked, SessionEvent::Write, Tracked, ReadRequirement::None),
    (
        Tracked,
        SessionEvent::WriteAfterGap,
        Unknown,
        ReadRequirement::None,
    ),
    (
        Tracked,
        SessionEvent::WriteAnswered,
        Wrote,
        ReadRequirement::None,
    ),
    (
        Tracked,
        SessionEvent::WriteUncertain,
        Uncertain,
        ReadRequirement::None,
    ),
    (
        Tracked,
        SessionEvent::TokenRead,
        Tracked,
        ReadRequirement::Token,
    ),
    (
        Tracked,
        SessionEvent::PositionLearned,
        Tracked,
        ReadRequirement::None,
    ),
    (Wrote, SessionEvent::Read, Wrote, ReadRequirement::LastWrite),
    (
        Wrote,
        SessionEvent::ReadAfterGap,
        Tracked,
        ReadRequirement::CurrentInstant,
    ),
    (Wrote, SessionEvent::Write, Wrote, ReadRequirement::None),
    (
        Wrote,
        SessionEvent::WriteAfterGap,
        Unknown,
        ReadRequirement::None,
    ),
    (
        Wrote,
        SessionEvent::WriteAnswered,
        Wrote,
        ReadRequirement::None,
    ),
    (
        Wrote,
        SessionEvent::WriteUncertain,
        Uncertain,
        ReadRequirement::None,
    ),
    (
        Wrote,
        SessionEvent::TokenRead,
        Wrote,
        ReadRequirement::Token,
    ),
    (
        Wrote,
        SessionEvent::PositionLearned,
        Wrote,
        ReadRequirement::None,
    ),
];

/// Next state after an event, and what the read must see.
///
/// A state and event without a transition result in an unknown session and the current instant.
pub fn next_state(state: SessionState, event: SessionEvent) -> (SessionState, ReadRequirement) {
    let transition = TRANSITIONS
        .iter()
        .find(|row| row.0 == state && row.1 == event);
    transition.map_or((Unknown, ReadRequirement::CurrentInstant), |row| {
        (row.2, row.3)
    })
}
