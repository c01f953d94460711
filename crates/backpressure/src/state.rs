//! State machine that classifies a client connection by the throughput of its transfers.
//!
//! # Invariants
//!
//! A connection to which an answer is due is never evicted.

use crate::Ticks;
use crate::limits::Limits;
use crate::throughput::ThroughputMeter;

/// Class of a connection by its observed throughput.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionState {
    /// Too little was transferred to tell: the kernel's buffers alone could have taken all of it.
    #[default]
    Unproven,
    /// The client has read at least [`Limits::proof_bytes`] at a good rate.
    Proven,
    /// The client reads or writes below twice the minimum rate.
    Slow,
    /// Nothing was transferred for the stall timeout.
    Stalled,
}

impl ConnectionState {
    /// All states, in the order in which counters by state are indexed.
    pub const ALL: [ConnectionState; 4] = [
        ConnectionState::Unproven,
        ConnectionState::Proven,
        ConnectionState::Slow,
        ConnectionState::Stalled,
    ];
}

/// Assessment of a transfer by its throughput.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferAssessment {
    /// The transfer is complete, and too small or too slow to count as proof.
    DrainedInconclusive,
    /// The transfer is complete, and enough bytes were read at a good rate.
    DrainedFast,
    /// The transfer is still within its grace.
    TooEarly,
    /// The rate is at least twice the minimum rate.
    Good,
    /// The rate is between the minimum rate and twice of it.
    Marginal,
    /// The rate is below the minimum rate.
    BelowMinimum,
    /// Nothing was transferred for the stall timeout.
    Stopped,
}

/// What the gateway does with a connection after an assessment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The connection stays open.
    Keep,
    /// The connection is closed at once, even with bytes pending.
    Evict,
}

use Action::{Evict, Keep};
use ConnectionState::{Proven, Slow, Stalled, Unproven};
use TransferAssessment::{
    BelowMinimum, DrainedFast, DrainedInconclusive, Good, Marginal, Stopped, TooEarly,
};

/// One row of the transition table.
struct Transition {
    /// `None` matches any state.
    state: Option<ConnectionState>,
    assessment: TransferAssessment,
    /// Whether an answer is still due before the client's deadline; `None` matches either.
    answer_due: Option<bool>,
    /// `None` keeps the state.
    next: Option<ConnectionState>,
    action: Action,
}

const fn transition(
    state: Option<ConnectionState>,
    assessment: TransferAssessment,
    answer_due: Option<bool>,
    next: Option<ConnectionState>,
    action: Action,
) -> Transition {
    Transition {
        state,
        assessment,
        answer_due,
        next,
        action,
    }
}

/// The first matching transition applies; without a match the state stays. A connection with an answer due is never
/// evicted, as its request would be lost.
const TRANSITIONS: [Transition; 17] = [
    transition(None, TooEarly, None, None, Keep),
    // Below the minimum rate or stopped.
    transition(None, BelowMinimum, Some(true), Some(Slow), Keep),
    transition(None, BelowMinimum, Some(false), Some(Slow), Evict),
    transition(None, Stopped, Some(true), Some(Stalled), Keep),
    transition(None, Stopped, Some(false), Some(Stalled), Evict),
    // Enough bytes read at a good rate prove a connection; one that was slow has to prove itself twice.
    transition(Some(Unproven), DrainedFast, None, Some(Proven), Keep),
    transition(Some(Slow), DrainedFast, None, Some(Unproven), Keep),
    transition(Some(Stalled), DrainedFast, None, Some(Slow), Keep),
    transition(Some(Stalled), DrainedInconclusive, None, Some(Slow), Keep),
    transition(Some(Stalled), Good, None, Some(Slow), Keep),
    transition(Some(Stalled), Marginal, None, Some(Slow), Keep),
    // Just above the minimum rate an unproven connection becomes slow and a proven one stays proven.
    transition(Some(Unproven), Marginal, None, Some(Slow), Keep),
    transition(Some(Proven), Marginal, None, Some(Proven), Keep),
    transition(Some(Slow), Marginal, None, Some(Slow), Keep),
    transition(None, Good, None, None, Keep),
    transition(None, DrainedInconclusive, None, None, Keep),
    transition(Some(Proven), DrainedFast, None, Some(Proven), Keep),
];

/// Next state after an assessment, and the action to take.
pub fn next_state(
    state: ConnectionState,
    assessment: TransferAssessment,
    answer_due: bool,
) -> (ConnectionState, Action) {
    let applies = |transition: &&Transition| {
        transition.state.is_none_or(|from| from == state)
            && transition.assessment == assessment
            && transition
                .answer_due
                .is_none_or(|required| required == answer_due)
    };
    match TRANSITIONS.iter().find(applies) {
        Some(transition) => (transition.next.unwrap_or(state), transition.action),
        None => (state, Keep),
    }
}

/// Whether a transfer has a good mean rate, at least twice the minimum rate, or is still within the grace.
pub fn has_good_mean_rate(meter: &ThroughputMeter, now: Ticks, limits: &Limits) -> bool {
    meter.mean_rate(now) >= 2 * limits.min_rate || meter.age(now) < limits.grace
}

/// Assesses a transfer by the limits.
///
/// `proof_credit` is the number of bytes drained at a good rate so far. A `small` transfer gets twice the grace, as a
/// lost packet delays it as much as a large one.
pub fn assess(
    meter: &ThroughputMeter,
    now: Ticks,
    limits: &Limits,
    proof_credit: usize,
    small: bool,
) -> TransferAssessment {
    let rate = meter.rate(now);
    if meter.pending() == 0 {
        return if proof_credit >= limits.proof_bytes && has_good_mean_rate(meter, now, limits) {
            DrainedFast
        } else {
            DrainedInconclusive
        };
    }
    let grace = if small {
        2 * limits.grace
    } else {
        limits.grace
    };
    if meter.age(now) < grace {
        TooEarly
    } else if meter.idle_for(now) >= limits.stall_timeout {
        Stopped
    } else if rate < limits.min_rate {
        BelowMinimum
    } else if rate < 2 * limits.min_rate {
        Marginal
    } else {
        Good
    }
}
