//! Schedules the calls to discovery for the endpoint list: when to begin which call, how long to
//! wait for each, and how its answer affects the next.
//!
//! Where lists are pushed, an agent on the gateway's own host answers at once and at no cost, but
//! never answers calls that it received while it was silent. Further calls therefore begin beside
//! those in flight, well within the drain grace. Where lists are polled, discovery is one service
//! for the whole fleet, each new call waits in its queue, and a refused call costs it something as
//! well. There one call is in flight at a time, it asks for changes since the held revision, and
//! calls after failures back off with jitter, so gateways that failed together do not call
//! together.
//!
//! No I/O and no clock: times are ticks of 100 µs on a monotonic clock of the caller's.

mod call;

pub use call::{AnswerUse, Call, Failure, FailureEvidence, ListAnswer, WatchAction};

use crate::api::{MILLISECOND, Ticks};

/// How long a watch of a shared discovery waits for a change. A change counts as delivered 6 s
/// after discovery had it, so a silent discovery must be noticed well before.
const WATCH_WAIT: Ticks = 2_000 * MILLISECOND;
/// How long the first call of a watch waits for a change; it may have been queued before.
const FIRST_WATCH_WAIT: Ticks = 500 * MILLISECOND;
/// Time past its wait within which a continued watch is answered; discovery does not queue it.
const CONTINUED_WATCH_MARGIN: Ticks = 500 * MILLISECOND;
/// Time that a new call to a shared discovery may be queued; the protocol's own queue is 2 s long.
const QUEUE_TIMEOUT: Ticks = 2_500 * MILLISECOND;
/// The same after a call was left unanswered.
const LONG_QUEUE_TIMEOUT: Ticks = 5_000 * MILLISECOND;
/// Time within which an answer is complete, from its first bytes.
const BODY_TIMEOUT: Ticks = 2_000 * MILLISECOND;
/// A new call refused sooner than this was refused by discovery itself; a later refusal comes from
/// a proxy that has waited for an answer from discovery and got none.
const DIRECT_REFUSAL_LIMIT: Ticks = 500 * MILLISECOND;
/// Least time between the starts of two calls if the first brought nothing newer; discovery may
/// answer watches at once.
const MIN_CALL_INTERVAL: Ticks = 20 * MILLISECOND;
/// Time after a failure past which the next one starts a new run of failures.
const FAILURE_RUN_GAP: Ticks = 1_000 * MILLISECOND;
/// Most calls to an agent in flight.
const MAX_CALLS_IN_FLIGHT: usize = 3;
/// Time past its wait for which a call to an agent stays open, so the answer of a slow agent is
/// used.
const AGENT_TIMEOUT: Ticks = 4_000 * MILLISECOND;
/// The wait of an agent's watch, and the delay before the next call beside an unanswered one, are
/// the drain grace divided by this. An agent may become silent and respond again within the grace,
/// and the changes it has received count as delivered at once: two such delays and the time to
/// connect and read a list stay well below the grace.
const GRACE_DIVISOR: Ticks = 4;
const MIN_AGENT_INTERVAL: Ticks = 50 * MILLISECOND;
const MAX_AGENT_INTERVAL: Ticks = 1_000 * MILLISECOND;
/// Mean delay before a shared discovery is called again after the first failure of a run; it
/// doubles for each of the next.
const INITIAL_BACKOFF: Ticks = 500 * MILLISECOND;
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

#[derive(Clone, Copy)]
struct CallInFlight {
    id: u64,
    call: Call,
    /// Whether it continues a watch, so discovery does not queue it.
    continues_watch: bool,
    started_at: Ticks,
    /// When the first bytes of its answer came.
    answer_started_at: Option<Ticks>,
    /// When the last bytes of its answer came.
    last_progress_at: Ticks,
}

/// Schedule of one gateway's calls to discovery.
pub struct EndpointWatch {
    pushed: bool,
    agent_interval: Ticks,
    rng: fastrand::Rng,
    /// Revision of the list in use; `None` until discovery at its current address has returned one.
    held_revision: Option<u64>,
    /// Whether the last answer was that of a watch, which the next call continues.
    watching: bool,
    failures: FailureRun,
    /// No call begins before this time.
    not_before: Ticks,
    /// Calls in flight, oldest first.
    in_flight: Vec<CallInFlight>,
    last_id: u64,
}

/// Calls that failed in a row.
#[derive(Clone, Copy, Default)]
struct FailureRun {
    len: u32,
    /// Whether the last one was a new call that was left unanswered.
    last_unanswered: bool,
    /// When a call last failed; kept when a list ends the run.
    last_at: Option<Ticks>,
}

impl EndpointWatch {
    /// Creates a schedule that begins with a call at once.
    ///
    /// `persisted_revision` is the revision of a list persisted by an earlier process;
    /// `drain_grace` is how long a server may get new attempts after the gateway learnt that it
    /// drains.
    #[must_use]
    pub fn new(
        pushed: bool,
        drain_grace: Ticks,
        persisted_revision: Option<u64>,
        seed: u64,
    ) -> Self {
        EndpointWatch {
            pushed,
            agent_interval: (drain_grace / GRACE_DIVISOR)
                .clamp(MIN_AGENT_INTERVAL, MAX_AGENT_INTERVAL),
            rng: fastrand::Rng::with_seed(seed),
            // An agent gives its full list at no cost; a shared service is asked for changes.
            held_revision: persisted_revision.filter(|_| !pushed),
            watching: false,
            failures: FailureRun::default(),
            not_before: 0,
            in_flight: Vec::new(),
            last_id: 0,
        }
    }

    /// Revision of the list in use.
    #[must_use]
    pub fn held_revision(&self) -> Option<u64> {
        self.held_revision
    }

    /// Records that discovery has moved; the caller drops all calls in flight.
    ///
    /// A shared service is asked for changes even so, as all gateways move within seconds. If its
    /// revisions are older, its first answer shows that.
    pub fn on_discovery_moved(&mut self) {
        self.in_flight.clear();
        self.held_revision = self.held_revision.filter(|_| !self.pushed);
        self.watching = false;
        self.failures = FailureRun::default();
        self.not_before = 0;
    }

    /// The caller's next step at `now`.
    pub fn next_action(&mut self, now: Ticks) -> WatchAction {
        if let Some(id) = self.abandon_timed_out(now) {
            return WatchAction::Abandon { id };
        }
        let Some(newest) = self.in_flight.last().copied() else {
            return if now < self.not_before {
                WatchAction::Wait {
                    until: self.not_before,
                }
            } else {
                self.begin(now)
            };
        };
        let first_timeout = self
            .in_flight
            .iter()
            .map(|call| self.timeout_at(call))
            .min()
            .unwrap_or(newest.started_at);
        if !self.pushed {
            return WatchAction::Wait {
                until: first_timeout,
            };
        }
        let overdue_at = self.overdue_at(&newest).max(self.not_before);
        if now < overdue_at {
            return WatchAction::Wait {
                until: overdue_at.min(first_timeout),
            };
        }
        if self.in_flight.len() >= MAX_CALLS_IN_FLIGHT {
            // The oldest call stays, for an agent that is slow rather than silent.
            let second = self.in_flight.remove(1);
            return WatchAction::Abandon { id: second.id };
        }
        self.watching = false;
        self.begin_call(now, Call::Full)
    }

    /// Records that bytes of a call's answer have come, by `now` at the latest.
    pub fn on_answer_progress(&mut self, id: u64, now: Ticks) {
        if let Some(call) = self.in_flight.iter_mut().find(|call| call.id == id) {
            call.answer_started_at.get_or_insert(now);
            call.last_progress_at = call.last_progress_at.max(now);
        }
    }

    /// Records that a call was answered with a list. If the list is used, the caller drops all
    /// other calls.
    pub fn on_answered(&mut self, id: u64, now: Ticks, answer: ListAnswer) -> AnswerUse {
        let Some(call) = self.in_flight.iter().find(|call| call.id == id).copied() else {
            return AnswerUse::Ignore;
        };
        let follows_held = match call.call {
            Call::Watch { since, .. } => {
                answer.revision >= since && Some(since) == self.held_revision
            }
            // Changes in answer to a call for the full list leave the rest of the list unknown.
            Call::Full => false,
        };
        if !answer.full && !follows_held {
            self.in_flight.retain(|other| other.id != id);
            self.held_revision = None;
            self.watching = false;
            if call.call == Call::Full {
                self.record_failure(now, false);
            }
            return AnswerUse::Ignore;
        }
        self.in_flight.clear();
        let newer = self.held_revision.is_none_or(|held| answer.revision > held);
        self.held_revision = Some(answer.revision);
        self.watching = matches!(call.call, Call::Watch { .. });
        self.failures.len = 0;
        self.failures.last_unanswered = false;
        // Another change may follow a newer list at once.
        self.not_before = if newer {
            now
        } else {
            call.started_at + MIN_CALL_INTERVAL
        };
        AnswerUse::Use
    }

    /// Records that a call ended without a list; returns what that shows of discovery.
    pub fn on_failed(&mut self, id: u64, now: Ticks, failure: Failure) -> FailureEvidence {
        let Some(index) = self.in_flight.iter().position(|call| call.id == id) else {
            return FailureEvidence::None;
        };
        let call = self.in_flight.remove(index);
        self.record_failure(now, false);
        let ago = now - call.started_at;
        match failure {
            // Any proxy on the path may have ended an open watch.
            Failure::Refused if call.continues_watch => FailureEvidence::None,
            Failure::Refused if ago < DIRECT_REFUSAL_LIMIT => FailureEvidence::Refused,
            Failure::Refused | Failure::Unreachable => FailureEvidence::Unreachable { ago },
            Failure::Broken => FailureEvidence::None,
        }
    }

    fn abandon_timed_out(&mut self, now: Ticks) -> Option<u64> {
        let index = self
            .in_flight
            .iter()
            .position(|call| now >= self.timeout_at(call))?;
        let call = self.in_flight.remove(index);
        if self.in_flight.is_empty() {
            self.record_failure(now, !call.continues_watch);
        }
        Some(call.id)
    }

    fn record_failure(&mut self, now: Ticks, unanswered: bool) {
        self.watching = false;
        self.failures.last_unanswered = unanswered;
        let starts_run = self
            .failures
            .last_at
            .replace(now)
            .is_none_or(|last_at| now - last_at >= FAILURE_RUN_GAP);
        self.failures.len = self.failures.len.saturating_add(1);
        if self.pushed {
            self.held_revision = None;
            // Changes that an agent has count as delivered at once, so it is called again at once
            // after a first failure.
            self.not_before = if starts_run {
                now
            } else {
                now + self.jittered(self.agent_interval)
            };
            return;
        }
        let doublings = (self.failures.len - 1).min(MAX_BACKOFF_DOUBLINGS);
        self.not_before = now + self.jittered(INITIAL_BACKOFF << doublings);
    }

    /// A random delay of half to one and a half times the mean.
    fn jittered(&mut self, mean: Ticks) -> Ticks {
        mean / 2 + self.rng.i64(0..=mean)
    }

    fn begin(&mut self, now: Ticks) -> WatchAction {
        let wait = match (self.pushed, self.watching) {
            (true, _) => self.agent_interval,
            (false, true) => WATCH_WAIT,
            (false, false) => FIRST_WATCH_WAIT,
        };
        let call = self
            .held_revision
            .map_or(Call::Full, |since| Call::Watch { since, wait });
        self.begin_call(now, call)
    }

    fn begin_call(&mut self, now: Ticks, call: Call) -> WatchAction {
        self.last_id += 1;
        let id = self.last_id;
        self.in_flight.push(CallInFlight {
            id,
            call,
            continues_watch: self.watching,
            started_at: now,
            answer_started_at: None,
            last_progress_at: now,
        });
        WatchAction::Begin { id, call }
    }

    /// When a call is given up.
    fn timeout_at(&self, call: &CallInFlight) -> Ticks {
        if let Some(answer_started_at) = call.answer_started_at {
            return answer_started_at + BODY_TIMEOUT;
        }
        let timeout = match (self.pushed, call.continues_watch) {
            (true, _) => AGENT_TIMEOUT,
            (false, true) => CONTINUED_WATCH_MARGIN,
            (false, false) if self.failures.last_unanswered => LONG_QUEUE_TIMEOUT,
            (false, false) => QUEUE_TIMEOUT,
        };
        call.started_at + call.call.wait() + timeout
    }

    /// When a responsive agent would have answered a call.
    fn overdue_at(&self, call: &CallInFlight) -> Ticks {
        let due_at = if call.answer_started_at.is_some() {
            call.last_progress_at
        } else {
            call.started_at + call.call.wait()
        };
        due_at + self.agent_interval
    }
}
