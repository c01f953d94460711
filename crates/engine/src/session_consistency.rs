//! The engine's access to session tracking: reports writes to it, and asks it what a read must see.

use std::cell::{Cell, RefCell};

use leverpoint_config::operator::SessionTracking;
use leverpoint_routing::api::{AttemptOutcome, Consistency, ServerReport, Ticks};
use leverpoint_runtime::{failpoint_active, unix_time};
use leverpoint_sessions::{
    Keys, RequiredPosition, SessionPosition, SessionToken, SessionTracker, session_hash,
};

/// The session of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestSession {
    /// Number of the session.
    pub session: u64,
    set: usize,
    arrived_at: Ticks,
    /// Whether the request writes.
    pub write: bool,
    /// What a read must see.
    pub requirement: Option<RequiredPosition>,
}

/// A request as session tracking needs it.
pub struct RequestArrival<'a> {
    /// What its class demands.
    pub consistency: Consistency,
    /// Number of its session.
    pub session: u64,
    /// Index of its replica set.
    pub set: usize,
    /// The present time.
    pub now: Ticks,
    /// Time left to its latency objective.
    pub objective_left: Ticks,
    /// Its session token.
    pub token: Option<&'a str>,
    /// The position that replica holders have of its session.
    pub replicated_position: Option<Ticks>,
}

impl RequestArrival<'_> {
    fn request_session(
        &self,
        write: bool,
        requirement: Option<RequiredPosition>,
    ) -> RequestSession {
        RequestSession {
            session: self.session,
            set: self.set,
            arrived_at: self.now,
            write,
            requirement,
        }
    }
}

/// Persists records beyond the lifetime of this process.
pub type Persister = Box<dyn Fn(&mut dyn Iterator<Item = SessionPosition>)>;

/// What the sessions' reads must see.
pub struct SessionConsistency {
    book: RefCell<SessionTracker>,
    keys: Keys,
    secret: u64,
    clocks_checked_at: Cell<Ticks>,
    persister: RefCell<Option<Persister>>,
    /// Whether positions are replicated: then a write's position goes to its holders before its answer goes out.
    replicated: Cell<bool>,
}

/// How often the two clocks are compared.
const CLOCK_CHECK_INTERVAL: Ticks = 10_000;

impl SessionConsistency {
    /// Starts the tracking of sessions.
    pub fn new(mut tracking: SessionTracking, seed: u64, now: Ticks) -> SessionConsistency {
        if failpoint_active("epoch-forgotten") {
            tracking.config.exclusive_for = None;
        }
        let book = RefCell::new(SessionTracker::new(tracking.config, now, seed));
        SessionConsistency {
            book,
            keys: tracking.keys,
            secret: tracking.hash_secret,
            clocks_checked_at: Cell::new(now),
            persister: RefCell::new(None),
            replicated: Cell::new(false),
        }
    }

    /// Notes that positions are replicated from now on.
    pub fn set_replicated(&self) {
        self.replicated.set(true);
    }

    /// Returns the number of a session, the same at all gateways that share the secret.
    pub fn session_number(&self, set: u16, key: &str) -> u64 {
        session_hash(self.secret, set, key)
    }

    /// Returns the number of an idempotency key of a tenant, the same at all gateways that share the secret.
    pub fn idempotency_number(&self, tenant: &str, key: &str) -> u64 {
        // Session texts never begin with this byte, so the two kinds of numbers never collide by construction.
        session_hash(self.secret, 0, &format!("\u{1}{tenant}\u{1}{key}"))
    }

    /// Whether a read must see everything up to now, by what is known at this gateway alone.
    pub fn needs_position(&self, session: u64, now: Ticks) -> bool {
        self.book.borrow().requires_current_instant(session, now)
    }

    /// Returns the replication position that covers all writes answered by `now`.
    pub fn position_at(&self, now: Ticks) -> Ticks {
        self.book.borrow().instant(now)
    }

    /// Sets what persists records.
    pub fn set_persister(&self, persister: Persister) {
        *self.persister.borrow_mut() = Some(persister);
    }

    /// Takes the records that an earlier process has persisted; `whole`: until when they are complete.
    pub fn on_recovered(
        &self,
        records: impl Iterator<Item = SessionPosition>,
        whole: Option<Ticks>,
    ) {
        self.book.borrow_mut().restore(records, whole);
    }

    fn check_clocks(&self, now: Ticks) {
        if now - self.clocks_checked_at.get() >= CLOCK_CHECK_INTERVAL {
            self.clocks_checked_at.set(now);
            self.book.borrow_mut().on_clocks_read(
                now,
                (unix_time().as_micros() / 100) as Ticks,
                now,
            );
        }
    }

    /// Takes a request; returns its session where the request is tracked.
    pub fn on_request(&self, arrival: &RequestArrival<'_>) -> Option<RequestSession> {
        self.check_clocks(arrival.now);
        match arrival.consistency {
            Consistency::Write => {
                let mut book = self.book.borrow_mut();
                book.on_write(arrival.session, arrival.now);
                Some(arrival.request_session(true, None))
            }
            Consistency::Session => {
                let requirement = self.read_requirement(arrival);
                Some(arrival.request_session(false, Some(requirement)))
            }
            _ => None,
        }
    }

    /// What a read must see.
    fn read_requirement(&self, arrival: &RequestArrival<'_>) -> RequiredPosition {
        let mut book = self.book.borrow_mut();
        let verified = arrival
            .token
            .and_then(|token| self.verified_position(token, arrival.session));
        if arrival.token.is_some() && verified.is_none() {
            book.counts.refused_tokens += 1;
        }
        book.on_read(
            arrival.session,
            arrival.set,
            arrival.now,
            arrival.objective_left,
            verified,
            arrival.replicated_position,
        )
    }

    /// The position that a session token proves; none where the token is not valid for the session.
    fn verified_position(&self, text: &str, session: u64) -> Option<Ticks> {
        if failpoint_active("token-forged") {
            return Some(1);
        }
        SessionToken::read(&self.keys, text, session)
    }

    /// Whether a complete row waits until the server has reported its role and position.
    pub fn needs_report(&self, session: &RequestSession) -> bool {
        if session.write {
            !self.keys.is_empty() || self.replicated.get()
        } else {
            session.requirement.is_some() && !failpoint_active("uncovered")
        }
    }

    /// Takes note of a complete row: a write's position is unknown until the server has reported it.
    pub fn on_row_complete(&self, session: &RequestSession, now: Ticks) {
        if session.write {
            self.book
                .borrow_mut()
                .on_write_uncertain(session.session, now);
        }
    }

    /// Whether a server's report behind a row covers what the read must see.
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
        self.book
            .borrow_mut()
            .satisfies(now, report.primary, report.position, requirement.position)
    }

    /// Returns the session token of a write that was answered at the reported position.
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
                    session: session.session,
                    position,
                }
                .sign(&self.keys)
            })
            .flatten()
    }

    /// Takes the outcome of an attempt.
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
        let mut book = self.book.borrow_mut();
        let mut records = book.drain_positions();
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
        let mut book = self.book.borrow_mut();
        if outcome == AttemptOutcome::Answered {
            let position = report.and_then(|report| report.position);
            book.on_write_answered(session.session, now, position);
        } else if !outcome.never_executed() {
            book.on_write_uncertain(session.session, now);
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
            let mut book = self.book.borrow_mut();
            book.on_replica_read(session.set, now, elapsed, answered);
        }
    }

    /// Returns the counters as one line of name=count.
    pub fn summary(&self) -> String {
        let book = self.book.borrow();
        let c = book.counts;
        format!(
            "sessions.known={} sessions.bytes={} reads.exact={} reads.instant={} reads.carried={} reads.asked={} \
             tokens.refused={} sessions.let_go={} epochs={}",
            book.sessions(),
            book.bytes(),
            c.exact,
            c.instant,
            c.carried,
            c.asked,
            c.refused_tokens,
            c.evicted,
            c.epochs
        )
    }
}
