//! A member's status as another sees it, and the transitions between statuses.
//!
//! # Invariants
//!
//! A member that has left becomes alive again only with a new incarnation.

use serde::{Deserialize, Serialize};

/// The status of another member. Of two updates with equal refutation counts, the greater status is the newer one.
///
/// The order of variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It acknowledges probes, as far as known.
    Alive,
    /// It has not acknowledged a probe, and is declared dead unless it refutes the suspicion in time.
    Suspect,
    /// It has not refuted the suspicion in time. It may be alive all the same.
    Dead,
    /// It has announced that it leaves the fleet.
    Left,
}

/// Something observed or reported about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusInput {
    /// It has acknowledged neither the direct nor the indirect probes.
    ProbeFailed,
    /// It has been suspect for the suspicion timeout.
    SuspicionExpired,
    /// A newer update about the same incarnation reports it alive.
    ReportedAlive,
    /// A newer update about the same incarnation reports it suspect.
    ReportedSuspect,
    /// A newer update about the same incarnation reports it dead.
    ReportedDead,
    /// A newer update about the same incarnation reports that it has left.
    ReportedLeft,
    /// A newer incarnation has been accepted.
    NewIncarnation,
}

/// What the member has to do after a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusEffect {
    /// Nothing; the status is unchanged.
    Nothing,
    /// The update is disseminated.
    Gossip,
    /// The update is disseminated and the suspicion timeout starts.
    GossipAndSuspect,
}

use MemberStatus::{Alive, Dead, Left, Suspect};
use StatusEffect::{Gossip, GossipAndSuspect, Nothing};
use StatusInput::{
    NewIncarnation, ProbeFailed, ReportedAlive, ReportedDead, ReportedLeft, ReportedSuspect,
    SuspicionExpired,
};

struct Transition {
    /// The status before; `None` for any.
    from: Option<MemberStatus>,
    input: StatusInput,
    next: MemberStatus,
    effect: StatusEffect,
}

const fn transition(
    from: Option<MemberStatus>,
    input: StatusInput,
    next: MemberStatus,
    effect: StatusEffect,
) -> Transition {
    Transition {
        from,
        input,
        next,
        effect,
    }
}

/// The first matching transition applies; without one, nothing changes.
const TRANSITIONS: [Transition; 13] = [
    // A new incarnation starts alive, whatever the status of the previous one.
    transition(None, NewIncarnation, Alive, Gossip),
    // A member that has left is neither suspected nor revived.
    transition(Some(Left), ReportedAlive, Left, Nothing),
    transition(Some(Left), ReportedSuspect, Left, Nothing),
    transition(Some(Left), ReportedDead, Left, Nothing),
    transition(None, ReportedLeft, Left, Gossip),
    // A silent member is suspected first, so that it can refute.
    transition(Some(Alive), ProbeFailed, Suspect, GossipAndSuspect),
    transition(Some(Alive), ReportedSuspect, Suspect, GossipAndSuspect),
    // A new suspicion after a refutation has the whole timeout again.
    transition(Some(Suspect), ReportedSuspect, Suspect, GossipAndSuspect),
    transition(Some(Suspect), SuspicionExpired, Dead, Gossip),
    // A refutation: only the member itself can raise its refutation count.
    transition(None, ReportedAlive, Alive, Gossip),
    transition(Some(Alive), ReportedDead, Dead, Gossip),
    transition(Some(Suspect), ReportedDead, Dead, Gossip),
    // A newer suspicion of a dead member: other members have received a refutation of its death meanwhile.
    transition(Some(Dead), ReportedSuspect, Suspect, GossipAndSuspect),
];

/// The status after an input, and what follows from it.
pub fn next_status(status: MemberStatus, input: StatusInput) -> (MemberStatus, StatusEffect) {
    let matches = |transition: &&Transition| {
        transition.from.is_none_or(|from| from == status) && transition.input == input
    };
    TRANSITIONS
        .iter()
        .find(matches)
        .map_or((status, Nothing), |found| (found.next, found.effect))
}
