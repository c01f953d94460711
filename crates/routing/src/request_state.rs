//! State of a request: its phase, its requirements, and its attempts.
//!
//! The state machine is a table of [`Transition`]s, in which [`next`] looks up events.

use crate::api::{AttemptOutcome, Request, Ticks};

/// Phase of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Not yet queued.
    #[default]
    New,
    /// Queued for the selection of a server.
    Queued,
    /// Waiting for capacity.
    Waiting,
    /// An attempt is in flight.
    InFlight,
    /// Answered, rejected or abandoned by its client.
    Finished,
}

/// An event in the life cycle of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The gateway has received it from the client.
    Arrived,
    /// It has reached the head of its queue.
    Dequeued,
    /// An attempt has been started.
    AttemptStarted,
    /// No server has capacity for it.
    NoCapacity,
    /// It cannot be answered in time any more, or may not be attempted again.
    GivenUp,
    /// Its last attempt in flight ended without an answer.
    AttemptFailed,
    /// It has been answered, or its client has disconnected.
    Finished,
}

/// Step that the router takes after a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No step.
    None,
    /// Queue the request for its first attempt.
    QueueFirstAttempt,
    /// Queue the request for a retry.
    QueueRetry,
    /// Select a server and start an attempt there.
    SelectServer,
    /// Keep the request until there may be capacity.
    Wait,
    /// Shed or fail the request.
    Reject,
}

/// A row of the state machine's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Phase in which the event is expected.
    pub from: Phase,
    /// Event that triggers the transition.
    pub event: RequestEvent,
    /// Phase after the transition.
    pub to: Phase,
    /// Step that the caller takes after the transition.
    pub effect: Effect,
}

const fn transition(from: Phase, event: RequestEvent, to: Phase, effect: Effect) -> Transition {
    Transition {
        from,
        event,
        to,
        effect,
    }
}

const TRANSITIONS: [Transition; 10] = {
    use Phase::*;
    use RequestEvent as Event;
    [
        transition(New, Event::Arrived, Queued, Effect::QueueFirstAttempt),
        transition(Queued, Event::Dequeued, Queued, Effect::SelectServer),
        transition(Waiting, Event::Dequeued, Queued, Effect::SelectServer),
        transition(Queued, Event::AttemptStarted, InFlight, Effect::None),
        transition(Queued, Event::NoCapacity, Waiting, Effect::Wait),
        transition(Queued, Event::GivenUp, Finished, Effect::Reject),
        transition(InFlight, Event::AttemptFailed, Queued, Effect::QueueRetry),
        transition(Queued, Event::Finished, Finished, Effect::None),
        transition(Waiting, Event::Finished, Finished, Effect::None),
        transition(InFlight, Event::Finished, Finished, Effect::None),
    ]
};

/// The transition for an event in a phase; `None` where the event is to be ignored.
#[must_use]
pub fn next(phase: Phase, event: RequestEvent) -> Option<Transition> {
    TRANSITIONS
        .into_iter()
        .find(|row| row.from == phase && row.event == event)
}

/// State that the router keeps of a request.
#[derive(Default)]
pub(crate) struct RequestState {
    pub(crate) phase: Phase,
    pub(crate) class: usize,
    pub(crate) set: usize,
    pub(crate) session: Option<usize>,
    /// Replication position that an answer must cover.
    pub(crate) required_position: Option<Ticks>,
    /// Position that the request itself carried, without the one remembered for its session.
    pub(crate) carried_position: Option<Ticks>,
    pub(crate) timing: RequestTiming,
    pub(crate) over_quota: bool,
    pub(crate) client_retry: bool,
    /// Whether the client has received the result row of this write while the server's report is
    /// pending.
    pub(crate) awaits_report: bool,
    /// Random number from 0 to 1 that decides whether a read may overflow to the primary.
    pub(crate) overflow_draw: f64,
    pub(crate) attempts: AttemptHistory,
}

/// When a request arrived, and its deadlines.
#[derive(Clone, Copy, Default)]
pub(crate) struct RequestTiming {
    pub(crate) arrived_at: Ticks,
    /// When the client stops waiting.
    pub(crate) deadline: Ticks,
    /// Before this the request waits for a replica that is about to cover its required position.
    pub(crate) wait_for_replica_until: Ticks,
}

/// Attempts of a request so far, and what their outcomes imply for further ones.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    pub(crate) started: u32,
    /// Whether the next attempt is a retry.
    pub(crate) retrying: bool,
    pub(crate) failed_servers: Vec<usize>,
    /// Whether a server has rejected the request as not caught up.
    pub(crate) rejected_as_stale: bool,
    /// Whether an attempt has reached a server.
    pub(crate) reached_server: bool,
    pub(crate) possibly_executed: Option<PossibleExecution>,
    pub(crate) in_flight: Vec<InFlightAttempt>,
}

/// The first attempt that may have executed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    pub(crate) since: Ticks,
    pub(crate) zone: usize,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    pub(crate) number: u32,
    pub(crate) server: usize,
    pub(crate) started_at: Ticks,
    /// Attempts in flight at the server when this one started.
    pub(crate) concurrency: u32,
}

impl RequestState {
    /// State of a request that arrives at `now`.
    pub(crate) fn new(request: &Request, now: Ticks) -> Self {
        let possibly_executed = request
            .first_attempt_elsewhere
            .map(|since| PossibleExecution { since, zone: 0 });
        RequestState {
            class: request.class,
            set: request.set,
            session: request.session,
            timing: RequestTiming {
                arrived_at: now,
                deadline: request.deadline,
                wait_for_replica_until: request.wait_for_replica_until,
            },
            client_retry: request.client_retry,
            carried_position: request.required_position,
            attempts: AttemptHistory {
                possibly_executed,
                ..AttemptHistory::default()
            },
            ..RequestState::default()
        }
    }
}

impl RequestTiming {
    /// Time left until the latency objective, or until the deadline if that is earlier.
    pub(crate) fn objective_left(&self, latency_objective: Ticks, now: Ticks) -> Ticks {
        self.deadline.min(self.arrived_at + latency_objective) - now
    }
}

impl AttemptHistory {
    /// Records an attempt that starts at `now`, beside `concurrency` others in flight at the
    /// server.
    pub fn start(&mut self, server: usize, concurrency: u32, now: Ticks) {
        self.in_flight.push(InFlightAttempt {
            number: self.started,
            server,
            started_at: now,
            concurrency,
        });
        self.started += 1;
    }

    /// Removes an attempt in flight by its number; `None` if it is not in flight.
    pub fn remove(&mut self, number: u32) -> Option<InFlightAttempt> {
        let index = self.in_flight.iter().position(|a| a.number == number)?;
        Some(self.in_flight.swap_remove(index))
    }

    /// Records how an attempt ended at a server of this zone.
    pub fn record_outcome(
        &mut self,
        attempt: &InFlightAttempt,
        outcome: AttemptOutcome,
        zone: usize,
    ) {
        if !outcome.never_executed() {
            self.possibly_executed.get_or_insert(PossibleExecution {
                since: attempt.started_at,
                zone,
            });
        }
        if outcome != AttemptOutcome::Answered {
            self.failed_servers.push(attempt.server);
        }
        self.rejected_as_stale |= outcome == AttemptOutcome::NotCaughtUp;
        self.reached_server |= !matches!(
            outcome,
            AttemptOutcome::NotConnected | AttemptOutcome::NotSent
        );
    }
}
