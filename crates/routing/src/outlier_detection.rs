//! Outlier detection: ejects servers that are silent or that fail many requests.
//!
//! An ejected server gets no attempts for a window, then one at a time until it responds. A server
//! that only stalled for a moment therefore loses its share of traffic for the window.

use crate::api::{AttemptOutcome, MILLISECOND, Ticks};
use crate::latency::HOLD_MARGIN;

const SILENCE_EJECTION: Ticks = 5000 * MILLISECOND;
const FAILURE_EJECTION: Ticks = 1000 * MILLISECOND;
/// Attempts in a row without a response before a server counts as silent.
const SILENT_ATTEMPTS: u32 = 3;
/// Time past a replica's hold over which time-outs must stretch before a server counts as silent.
const MIN_SILENCE: Ticks = HOLD_MARGIN / 2;
/// Errors before a server counts as failing.
const MIN_ERRORS: u32 = 3;
/// A server counts as failing with more than one error for so many answers.
const ANSWERS_PER_ERROR: u32 = 2;
/// Time for which a server that rejected a request for lack of capacity counts as full.
const OVERLOAD_PERIOD: Ticks = 200 * MILLISECOND;
/// Time-outs in a row after which a server may be gone rather than slow.
const UNCONFIRMED_TIMEOUTS: u32 = 2;

/// Why a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Nothing has been heard from it over several attempts.
    Silent,
    /// It answers with errors.
    Failing,
}

impl EjectionReason {
    fn window(self) -> Ticks {
        match self {
            EjectionReason::Silent => SILENCE_EJECTION,
            EjectionReason::Failing => FAILURE_EJECTION,
        }
    }

    /// The reason as it is logged.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            EjectionReason::Silent => "silent",
            EjectionReason::Failing => "failing",
        }
    }
}

/// What is known of the health of a server.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    last_response: Ticks,
    ejected_until: Ticks,
    /// It has been ejected and has not responded since the window passed: one attempt at a time.
    on_probation: bool,
    silent: bool,
    /// When the first attempt since the last response was started.
    unanswered_since: Option<Ticks>,
    /// Attempts since the last response that ended without one.
    unanswered_attempts: u32,
    /// Those of them that count as late, unless the server is gone.
    unconfirmed_timeouts: u32,
    errors: u32,
    answers: u32,
    overloaded_until: Ticks,
}

impl ServerHealth {
    /// A server that is first seen now.
    #[must_use]
    pub fn new(now: Ticks) -> Self {
        ServerHealth {
            last_response: now,
            ..ServerHealth::default()
        }
    }

    /// Time of the last response.
    #[must_use]
    pub fn last_response(&self) -> Ticks {
        self.last_response
    }

    /// Whether the server is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Ticks) -> bool {
        self.ejected_until > now
    }

    /// Whether the server gets one attempt at a time.
    #[must_use]
    pub fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Whether the server counts as silent.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Whether the server has rejected a request a moment ago for lack of capacity.
    #[must_use]
    pub fn is_overloaded(&self, now: Ticks) -> bool {
        self.overloaded_until > now
    }

    /// Whether the server may be gone: it left at least two attempts in a row without a response.
    #[must_use]
    pub fn may_be_gone(&self) -> bool {
        self.unconfirmed_timeouts >= UNCONFIRMED_TIMEOUTS
    }

    /// Whether an attempt has ended without a response, and the server has not responded since.
    #[must_use]
    pub fn is_unresponsive(&self) -> bool {
        self.unanswered_attempts > 0
    }

    /// Records that the server was started anew.
    pub fn on_restart(&mut self) {
        self.ejected_until = 0;
        self.on_probation = false;
        self.unconfirmed_timeouts = 0;
    }

    /// Records that an attempt has been started.
    pub fn on_attempt_started(&mut self, now: Ticks) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records an answer.
    pub fn on_answer(&mut self) {
        self.answers += 1;
    }

    /// Records an error.
    pub fn on_error(&mut self) {
        self.errors += 1;
    }

    /// Records a rejection for lack of capacity.
    pub fn on_overload(&mut self, now: Ticks) {
        self.overloaded_until = now + OVERLOAD_PERIOD;
    }

    /// Records a response of any kind and returns how many late attempts count after all, as the
    /// server is not gone.
    pub fn on_response(&mut self, now: Ticks) -> f64 {
        self.last_response = now;
        let confirmed_timeouts = if self.silent || !self.may_be_gone() {
            0.0
        } else {
            f64::from(self.unconfirmed_timeouts)
        };
        self.unanswered_since = None;
        self.unanswered_attempts = 0;
        self.unconfirmed_timeouts = 0;
        if self.silent || self.ejected_until <= now {
            self.silent = false;
            self.on_probation = false;
            self.ejected_until = now;
        }
        confirmed_timeouts
    }

    /// Returns for how much an attempt counts in the shares of late attempts.
    ///
    /// A server that does not respond may be gone, which is no shortage where others idle: a second
    /// attempt in a row takes the first back, and all count once the server responds. That a server
    /// is merely busy is therefore learned later where few attempts are made.
    pub fn shortage_weight(&mut self, outcome: AttemptOutcome, unanswered: bool) -> f64 {
        let unconfirmed = unanswered
            && !matches!(
                outcome,
                AttemptOutcome::Answered | AttemptOutcome::Overloaded
            );
        if !unconfirmed {
            return 1.0;
        }
        self.unconfirmed_timeouts += 1;
        match self.unconfirmed_timeouts {
            UNCONFIRMED_TIMEOUTS => -1.0,
            0..UNCONFIRMED_TIMEOUTS => 1.0,
            _ => 0.0,
        }
    }

    /// Records an attempt without a response and returns whether the server counts as silent.
    ///
    /// Single answers may be lost, connections may be short and servers be busy while they go on
    /// working.
    #[must_use]
    pub fn on_unanswered(&mut self, outcome: AttemptOutcome, hold: Ticks, now: Ticks) -> bool {
        self.unanswered_attempts += 1;
        let long_silence = self
            .unanswered_since
            .is_some_and(|since| now - since >= hold + MIN_SILENCE);
        self.unanswered_attempts >= SILENT_ATTEMPTS
            && (long_silence || outcome != AttemptOutcome::TimedOut)
    }

    /// Whether the server answers too many requests with errors.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.errors >= MIN_ERRORS && self.errors * ANSWERS_PER_ERROR > self.answers
    }

    /// Ejects the server and returns whether it was not ejected before.
    pub fn eject(&mut self, reason: EjectionReason, now: Ticks) -> bool {
        let newly_ejected = !(self.on_probation && self.is_ejected(now));
        self.ejected_until = self.ejected_until.max(now + reason.window());
        self.on_probation = true;
        self.silent |= reason == EjectionReason::Silent;
        newly_ejected
    }

    /// Lets the counts of errors and answers fade.
    pub fn decay(&mut self) {
        self.errors /= 2;
        self.answers /= 2;
    }
}
