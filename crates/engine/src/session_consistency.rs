//! The engine's interface to session tracking, which determines the position that each read must observe.

use std::cell::{Cell, RefCell};

use leverpoint_config::operator::SessionTracking;
use leverpoint_routing::api::{AttemptOutcome, Consistency, ServerReport, Ticks};
use leverpoint_runtime::{failpoint_active, unix_time};
use leverpoint_sessions::{
    Keys, RequiredPosition, SessionPosition, SessionToken, SessionTracker, session_hash,
};

/// Session of a request, as recorded on its arrival.
#[derive(Clone, Copy, Debug)]
pub struct RequestSession {
    /// Hash of the session, see [`SessionConsistency::hash_session`].
    pub hash: u64,
    set: usize,
    arrived_at: Ticks,
    /// Whether the request is a write.
    pub write: bool,
    /// Position that a read must observe; none for a write.
    pub requirement: Option<RequiredPosition>,
}

/// An arriving request with the data that session tracking needs.
pub struct RequestArrival<'a> {
    /// Consistency of its request class.
    pub consistency: Consistency,
    /// Hash of its session, see [`SessionConsistency::hash_session`].
    pub session_hash: u64,
    /// Index of its replica set.
    pub set: usize,
    /// Time of its arrival on the engine's clock.
    pub now: Ticks,
    /// Time from its arrival to its latency objective.
    pub objective_remaining: Ticks,
    /// Its session token, not verified yet.
    pub token: Option<&'a str>,
    /// Position of its session as known to replica holders.
    pub replicated_position: Option<Ticks>,
}

impl RequestArrival<'_> {
    fn request_session(
        &self,
        write: bool,
        requirement: Option<RequiredPosition>,
    ) -> RequestSession {
        RequestSession {
            hash: self.session_hash,
            set: self.set,
            arrived_at: self.now,
            write,
            requirement,
        }
    }
}

/// A function that persists session positions, so that they outlive this process.
pub type Persister = Box<dyn Fn(&mut dyn Iterator<Item = SessionPosition>)>;

/// Tracks the positions that sessions have written, and signs and verifies session tokens.
pub struct SessionConsistency {
    tracker: RefCell<SessionTracker>,
    keys: Keys,
    /// Key of the session hash.
    hash_secret: u64,
    clocks_checked_at: Cell<Ticks>,
    persister: RefCell<Option<Persister>>,
    /// Whether positions are replicated: then a write's position is sent to its replica holders before its answer is
    /// delivered.
    replicated: Cell<bool>,
}

/// How often the wall clock is compared with the monotonic clock, in ticks; 1 s.
const CLOCK_CHECK_INTERVAL: Ticks = 10_000;

impl SessionConsistency {
    /// Creates a tracker without known sessions; `seed` is that of the tracker's random numbers.
    pub fn new(mut tracking: SessionTracking, seed: u64, now: Ticks) -> SessionConsistency {
        if failpoint_active("epoch-forgotten") {
            tracking.config.exclusive_for = None;
        }
        let tracker = RefCell::new(SessionTracker::new(tracking.config, now, seed));
        SessionConsistency {
            tracker,
            keys: tracking.keys,
            hash_secret: tracking.hash_secret,
            clocks_checked_at: Cell::new(now),
            persister: RefCell::new(None),
            replicated: Cell::new(false),
        }
    }

    /// Records that positions are replicated from now on.
    pub fn set_replicated(&self) {
        self.replicated.set(true);
    }

    /// Returns the hash of a session, which is the same at all gateways with the same secret.
    pub fn hash_session(&self, set: u16, key: &str) -> u64 {
        session_hash(self.hash_secret, set, key)
    }

    /// Returns the hash of a tenant's idempotency key, which is the same at all gateways with the same secret.
    pub fn hash_idempotency_key(&self, tenant: &str, key: &str) -> u64 {
        // Session keys never begin with this byte, so no session has the same hash input as an idempotency key.
        session_hash(self.hash_secret, 0, &format!("\u{1}{tenant}\u{1}{key}"))
    }

    /// Whether a read of the session must observe all writes up to now, as far as this gateway knows on its own.
    pub fn requires_current_position(&self, session: u64, now: Ticks) -> bool {
        self.tracker.borrow().requires_current_instant(session, now)
    }

    /// Returns the replication position that covers all writes answered by `now`.
    pub fn position_at(&self, now: Ticks) -> Ticks {
        self.tracker.borrow().current_instant(now)
    }

    /// Sets the function that persists new positions.
    pub fn set_persister(&self, persister: Persister) {
        *self.persister.borrow_mut() = Some(persister);
    }

    /// Restores the records that an earlier process has persisted. `missing_up_to` is none if that process did not shut
    /// down cleanly; otherwise only positions up to it may be missing from `records`.
    pub fn on_recovered(
        &self,
        records: impl Iterator<Item = SessionPosition>,
        missing_up_to: Option<Ticks>,
    ) {
        self.tracker.borrow_mut().restore(records, missing_up_to);
    }

    /// Passes both clocks to the tracker once per interval, as a step of the wall clock ends its epoch.
    fn check_clocks(&self, now: Ticks) {
        if now - self.clocks_checked_at.get() >= CLOCK_CHECK_INTERVAL {
            self.clocks_checked_at.set(now);
            self.tracker.borrow_mut().on_clocks_read(
                now,
                (unix_time().as_micros() / 100) as Ticks,
                now,
            );
        }
    }

    /// Records the arrival of a request; returns its session, or none if its consistency needs no tracking.
    pub fn on_request(&self, arrival: &RequestArrival<'_>) -> Option<RequestSession> {
        self.check_clocks(arrival.now);
        match arrival.consistency {
            Consistency::Write => {
                let mut tracker = self.tracker.borrow_mut();
                tracker.on_write(arrival.session_hash, arrival.now);
                Some(arrival.request_session(true, None))
            }
            Consistency::Session => {
                let requirement = self.read_requirement(arrival);
                Some(arrival.request_session(false, Some(requirement)))
            }
            _ => None,
        }
    }

    /// Returns the position that a read must observe, and counts a token that is not valid.
    fn read_requirement(&self, arrival: &RequestArrival<'_>) -> RequiredPosition {
        let mut tracker = self.tracker.borrow_mut();
        let verified = arrival
            .token
            .and_then(|token| self.verified_position(token, arrival.session_hash));
        if arrival.token.is_some() && verified.is_none() {
            tracker.metrics.rejected_tokens += 1;
        }
        tracker.on_read(
            arrival.session_hash,
            arrival.set,
            arrival.now,
            arrival.objective_remaining,
            verified,
            arrival.replicated_position,
        )
    }

    /// Returns the position in a session token; none if the token is not valid for the session.
    fn verified_position(&self, text: &str, session: u64) -> Option<Ticks> {
        if failpoint_active("token-forged") {
            return Some(1);
        }
        SessionToken::verify(&self.keys, text, session)
    }

    /// Whether a complete row must be held back until the server has reported its role and position.
    pub fn needs_report(&self, session: &RequestSession) -> bool {
        if session.write {
            !self.keys.is_empty() || self.replicated.get()
        } else {
            session.requirement.is_some() && !failpoint_active("uncovered")
        }
    }

    /// Handles a complete row: the position of a write is unknown until the server has reported it.
    pub fn on_row_complete(&self, session: &RequestSession, now: Ticks) {
        if session.write {
            self.tracker
                .borrow_mut()
                .on_write_uncertain(session.hash, now);
        }
    }

    /// Whether a server's report after a row shows that the read has observed its required position.
    pub fn is_covered(
        &self,
        session: &RequestSession,
        now: Ticks,
        report: Option<ServerReport>,
    ) -> bool {
        let Some(requirement) = session.requirement else {
            return true;
        };
        let Some(report) = report else { return false };
        self.tracker.borrow_mut().satisfies(
            now,
            report.primary,
            report.position,
            requirement.position,
        )
    }

    /// Returns a signed session token for a write that was answered at the reported position; none for a read, without
    /// a position or without a signing key.
    pub fn sign_token(
        &self,
        session: &RequestSession,
        report: Option<ServerReport>,
    ) -> Option<String> {
        let position = report?.position?;
        session
            .write
            .then(|| {
                SessionToken {
                    session: session.hash,
                    position,
                }
                .sign(&self.keys)
            })
            .flatten()
    }

    /// Handles the outcome of an attempt, and persists the positions that result from it.
    pub fn on_attempt_finished(
        &self,
        session: &RequestSession,
        now: Ticks,
        outcome: AttemptOutcome,
        report: Option<ServerReport>,
    ) {
        if session.write {
            self.on_write_finished(session, now, outcome, report);
        } else {
            self.on_read_finished(session, now, outcome, report);
        }
        let persister = self.persister.borrow();
        let mut tracker = self.tracker.borrow_mut();
        let mut records = tracker.drain_positions();
        if let Some(persist) = &*persister {
            persist(&mut records);
        }
    }

    fn on_write_finished(
        &self,
        session: &RequestSession,
        now: Ticks,
        outcome: AttemptOutcome,
        report: Option<ServerReport>,
    ) {
        let mut tracker = self.tracker.borrow_mut();
        if outcome == AttemptOutcome::Answered {
            let position = report.and_then(|report| report.position);
            tracker.on_write_answered(session.hash, now, position);
        } else if !outcome.never_executed() {
            tracker.on_write_uncertain(session.hash, now);
        }
    }

    fn on_read_finished(
        &self,
        session: &RequestSession,
        now: Ticks,
        outcome: AttemptOutcome,
        report: Option<ServerReport>,
    ) {
        let answered = outcome == AttemptOutcome::Answered;
        let at_replica = report.is_some_and(|report| !report.primary);
        let estimated = session
            .requirement
            .is_some_and(|requirement| !requirement.exact);
        if (answered || outcome == AttemptOutcome::NotCaughtUp) && at_replica && estimated {
            let elapsed = now - session.arrived_at;
            let mut tracker = self.tracker.borrow_mut();
            tracker.on_replica_read(session.set, now, elapsed, answered);
        }
    }

    /// Returns the counters as one line of `name=count` pairs separated by spaces.
    pub fn summary(&self) -> String {
        let tracker = self.tracker.borrow();
        let metrics = tracker.metrics;
        format!(
            "sessions.known={} sessions.bytes={} reads.exact={} reads.instant={} reads.carried={} reads.asked={} \
             tokens.refused={} sessions.let_go={} epochs={}",
            tracker.session_count(),
            tracker.bytes(),
            metrics.exact_reads,
            metrics.current_instant_reads,
            metrics.token_reads,
            metrics.replicated_reads,
            metrics.rejected_tokens,
            metrics.evicted_sessions,
            metrics.epochs
        )
    }
}
