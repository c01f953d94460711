//! Outlier detection: ejects servers that do not respond or that answer many requests with errors.
//!
//! An ejected server gets no attempts for a window, then one at a time until it responds. A server
//! that only stalled for a moment therefore loses its share of traffic for the window.

use crate::api::{AttemptOutcome, MILLISECOND, Ticks};
use crate::latency::HOLD_MARGIN;

const SILENCE_EJECTION: Ticks = 5000 * MILLISECOND;
const FAILURE_EJECTION: Ticks = 1000 * MILLISECOND;
/// Attempts in a row without a response before a server counts as silent.
const SILENT_ATTEMPTS: u32 = 3;
/// Time beyond a replica's hold for which a server must leave attempts unanswered before time-outs
/// make it count as silent.
const MIN_SILENCE: Ticks = HOLD_MARGIN / 2;
/// Errors before a server counts as failing.
const MIN_ERRORS: u32 = 3;
/// A server counts as failing with more than one error per this number of answers.
const ANSWERS_PER_ERROR: u32 = 2;
/// Time for which a server that rejected a request for lack of capacity counts as full.
const OVERLOAD_PERIOD: Ticks = 200 * MILLISECOND;
/// Time-outs in a row after which a server may be gone rather than slow.
const UNCONFIRMED_TIMEOUTS: u32 = 2;

/// Why a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Several attempts in a row got no response.
    Silent,
    /// Too many answers were errors.
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

/// Health of a server, by the outcomes of its attempts.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    last_response: Ticks,
    ejected_until: Ticks,
    /// Whether it gets one attempt at a time: it was ejected and has not responded since the window
    /// passed.
    on_probation: bool,
    silent: bool,
    /// When the first attempt since the last response was started.
    unanswered_since: Option<Ticks>,
    /// Attempts since the last response that ended without one.
    unanswered_attempts: u32,
    /// Those of them that count as late if the server turns out not to be gone.
    unconfirmed_timeouts: u32,
    errors: u32,
    answers: u32,
    overloaded_until: Ticks,
}

impl ServerHealth {
    /// Health of a server that is first listed at `now`.
    #[must_use]
    pub fn new(now: Ticks) -> Self {
        ServerHealth {
            last_response: now,
            ..ServerHealth::default()
        }
    }

    /// Time of the last response, or of the first listing if there was none.
    #[must_use]
    pub fn last_response(&self) -> Ticks {
        self.last_response
    }

    /// Whether the server is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Ticks) -> bool {
        self.ejected_until > now
    }

    /// Whether the server gets one attempt at a time, as it was ejected and is not readmitted yet.
    #[must_use]
    pub fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Whether the server was ejected as silent and has not responded since.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Whether the server has rejected a request for lack of capacity a moment ago.
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

    /// Records that the server has restarted, which ends its ejection.
    pub fn on_restart(&mut self) {
        self.ejected_until = 0;
        self.on_probation = false;
        self.unconfirmed_timeouts = 0;
    }

    /// Records that an attempt has been started.
    pub fn on_attempt_started(&mut self, now: Ticks) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Counts an answer for [`ServerHealth::is_failing`].
    pub fn on_answer(&mut self) {
        self.answers += 1;
    }

    /// Counts an error for [`ServerHealth::is_failing`].
    pub fn on_error(&mut self) {
        self.errors += 1;
    }

    /// Records a rejection for lack of capacity.
    pub fn on_overload(&mut self, now: Ticks) {
        self.overloaded_until = now + OVERLOAD_PERIOD;
    }

    /// Records a response of any kind. Returns how many earlier time-outs are now to be counted as
    /// late attempts, as the server is not gone.
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

    /// Returns the weight of an attempt in the shares of late attempts.
    ///
    /// A server that does not respond may be gone, which is no shortage where other servers are
    /// idle. A second unanswered attempt in a row therefore takes back the first, later ones have
    /// no weight, and all are counted once the server responds. The cost is that where few attempts
    /// are made, a server that is merely busy is recognized later.
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
    /// A single unanswered attempt is no proof, as an answer may be lost, connections may be
    /// scarce, and a busy server may still be working.
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

    /// Halves the counts of errors and answers.
    pub fn decay(&mut self) {
        self.errors /= 2;
        self.answers /= 2;
    }
}
