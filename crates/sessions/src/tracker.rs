//! Tracker of all sessions of one gateway in one epoch: what each read must see, and which positions are persisted for
//! the next epoch.
//!
//! # Invariants
//!
//! A position is forgotten only where the sketch keeps at least as much, and nothing learned from others lowers a
//! requirement.

use fastrand::Rng;

use crate::Ticks;
use crate::clock_skew::ClockSkew;
use crate::position_sketch::PositionSketch;
use crate::replica_wait::ReplicaWait;
use crate::session_index::{SessionEntry, SessionIndex};
use crate::state::{ReadRequirement, SessionEvent, SessionState, next};

/// Configuration of session tracking; times in ticks.
#[derive(Clone, Copy, Debug)]
pub struct SessionConfig {
    /// A session unseen here for this long may have been at another gateway; `None`: it never is while this process
    /// lives.
    pub exclusive_for: Option<Ticks>,
    /// There is no other gateway, also while this process is down.
    pub single_instance: bool,
    /// Bound on the difference of any two clocks.
    pub max_clock_skew: Ticks,
    /// Sessions known exactly at most.
    pub max_sessions: usize,
    /// How long a session is known exactly after it was last seen.
    pub exact_for: Ticks,
    /// Cells of a row in each slice of the sketch.
    pub sketch_width: usize,
}

impl Default for SessionConfig {
    fn default() -> Self {
        SessionConfig {
            exclusive_for: Some(0),
            single_instance: false,
            max_clock_skew: 10,
            max_sessions: 1 << 16,
            exact_for: 600_000,
            sketch_width: 1 << 12,
        }
    }
}

/// Position that one read must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredPosition {
    /// The position.
    pub position: Ticks,
    /// Whether it names what the session has written, and no more for want of knowledge.
    pub exact: bool,
    /// Before this no primary is asked in place of a replica that is about to catch up.
    pub wait_for_replica_until: Ticks,
}

/// Position of a session that is persisted beyond this epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionPosition {
    /// Hash of the session.
    pub session: u64,
    /// Its position.
    pub position: Ticks,
}

/// Counts of reads by requirement, and of other events.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionMetrics {
    /// Reads whose requirement is what the session wrote.
    pub exact_reads: u64,
    /// Reads that must see the current instant.
    pub current_instant_reads: u64,
    /// Reads with a valid token.
    pub token_reads: u64,
    /// Reads whose requirement the replica holders named.
    pub replicated_reads: u64,
    /// Tokens that were no valid ones.
    pub rejected_tokens: u64,
    /// Sessions evicted from the index.
    pub evicted_sessions: u64,
    /// Epochs begun.
    pub epochs: u64,
}

/// Sessions of one gateway.
pub struct SessionTracker {
    config: SessionConfig,
    index: SessionIndex,
    sketch: PositionSketch,
    clock: ClockSkew,
    replica_wait: ReplicaWait,
    random: Rng,
    /// Low watermark of the epoch: every session must see it unless known exactly from before.
    floor: Ticks,
    /// Counts since the start.
    pub metrics: SessionMetrics,
    /// Positions to be persisted, until they are drained.
    records: Vec<SessionPosition>,
    last_sweep: Ticks,
}

/// Positions that wait to be persisted at most; further ones count as lost.
const MAX_PENDING_POSITIONS: usize = 4_096;
/// Slices of the sketch: ten minutes of positions that are no longer exact.
const SKETCH_SLICES: usize = 10;
const SKETCH_SLICE_SPAN: Ticks = 600_000;
/// Sweeps in which the whole index is looked through once.
const SWEEP_CYCLE: usize = 6_000;
const SWEEP_INTERVAL: Ticks = 100;

impl SessionTracker {
    /// Begins an epoch in which nothing is known of any session.
    pub fn new(config: SessionConfig, now: Ticks, seed: u64) -> SessionTracker {
        let clock = ClockSkew::new(config.max_clock_skew);
        SessionTracker {
            index: SessionIndex::new(config.max_sessions, now - config.exact_for),
            sketch: PositionSketch::new(config.sketch_width, SKETCH_SLICES, SKETCH_SLICE_SPAN),
            replica_wait: ReplicaWait::new(),
            random: Rng::with_seed(seed),
            floor: clock.current_instant(now),
            metrics: SessionMetrics {
                epochs: 1,
                ..SessionMetrics::default()
            },
            records: Vec::new(),
            last_sweep: now,
            clock,
            config,
        }
    }

    /// Forgets all that is known, as after a restart.
    pub fn begin_epoch(&mut self, now: Ticks) {
        self.index = SessionIndex::new(self.config.max_sessions, now - self.config.exact_for);
        self.floor = self.floor.max(self.clock.current_instant(now));
        self.metrics.epochs += 1;
    }

    /// Both clocks, now and then: a step of the one of the day ends the epoch. Whether it did.
    pub fn on_clocks_read(&mut self, monotonic: Ticks, wall_clock: Ticks, now: Ticks) -> bool {
        let stepped = self.clock.stepped(monotonic, wall_clock);
        if stepped {
            self.begin_epoch(now);
        }
        stepped
    }

    fn entry(&self, session: u64) -> SessionEntry {
        self.index
            .get(session)
            .unwrap_or_else(|| match self.config.exclusive_for {
                // It was at no other gateway: it must see the epoch's low watermark and what the sketch holds.
                None => SessionEntry {
                    known: SessionState::Tracked,
                    floor: self.floor,
                    wrote: self.sketch.upper_bound(session),
                    seen: 0,
                },
                Some(_) => SessionEntry::default(),
            })
    }

    fn keep(&mut self, session: u64, entry: &SessionEntry) {
        if let Some((left, held)) = self.index.set(session, entry) {
            self.evict(left, &held);
        }
    }

    fn evict(&mut self, session: u64, held: &SessionEntry) {
        self.metrics.evicted_sessions += 1;
        // Also the low watermark: a tracked session must see it.
        self.sketch.record(session, held.wrote.max(held.floor));
    }

    fn gap(&self, entry: &SessionEntry, now: Ticks) -> bool {
        self.config
            .exclusive_for
            .is_some_and(|exclusive_for| now - entry.seen >= exclusive_for)
    }

    /// Whether a read of the session would have to see the current instant, by what is known here alone.
    pub fn requires_current_instant(&self, session: u64, now: Ticks) -> bool {
        let entry = self.entry(session);
        let seen = if self.gap(&entry, now) {
            SessionEvent::ReadAfterGap
        } else {
            SessionEvent::Read
        };
        next(entry.known, seen).1 == ReadRequirement::CurrentInstant
    }

    /// Instant up to which anybody may have written.
    pub fn current_instant(&self, now: Ticks) -> Ticks {
        self.clock.current_instant(now)
    }

    /// A read of a session comes; `carried`: what a token that it carries names, checked; `asked`: what the holders of its
    /// positions say that it owes, asked since it came.
    pub fn on_read(
        &mut self,
        session: u64,
        set: usize,
        now: Ticks,
        target_left: Ticks,
        carried: Option<Ticks>,
        asked: Option<Ticks>,
    ) -> RequiredPosition {
        self.sweep(now);
        self.replica_wait.on_session_read(set, now);
        let mut entry = self.entry(session);
        let instant = self.clock.current_instant(now);
        let seen = match carried {
            // A token from the future is invalid: no write was answered with it.
            Some(token) if token <= instant => SessionEvent::TokenRead,
            Some(_) => {
                self.metrics.rejected_tokens += 1;
                if self.gap(&entry, now) {
                    SessionEvent::ReadAfterGap
                } else {
                    SessionEvent::Read
                }
            }
            None if asked.is_some() => SessionEvent::ReplicatedRead,
            None if self.gap(&entry, now) => SessionEvent::ReadAfterGap,
            None => SessionEvent::Read,
        };
        let (known, owes) = next(entry.known, seen);
        let token = match owes {
            ReadRequirement::CurrentInstant => {
                entry.floor = instant;
                instant
            }
            // The token names all that was answered to the session; a write here may be newer.
            ReadRequirement::Token => carried.unwrap_or(instant).max(entry.wrote),
            ReadRequirement::Replicated => {
                entry.floor = asked.unwrap_or(instant).max(entry.wrote);
                entry.floor
            }
            ReadRequirement::LowWatermark | ReadRequirement::LastWrite | ReadRequirement::None => {
                entry.wrote.max(entry.floor)
            }
        };
        (entry.known, entry.seen) = (known, now);
        self.keep(session, &entry);
        let exact = owes != ReadRequirement::CurrentInstant;
        match owes {
            ReadRequirement::Token => self.metrics.token_reads += 1,
            ReadRequirement::CurrentInstant => self.metrics.current_instant_reads += 1,
            ReadRequirement::Replicated => self.metrics.replicated_reads += 1,
            _ => self.metrics.exact_reads += 1,
        }
        // Replicas have an older position by now, or are late for reasons that waiting does not mend.
        let fresh = now - token <= self.replica_wait.catch_up_time(set) * 2;
        let wait_for_replica_until = if fresh {
            self.replica_wait
                .wait_until(set, now, target_left, &mut self.random)
        } else {
            now
        };
        RequiredPosition {
            position: token,
            exact,
            wait_for_replica_until,
        }
    }

    /// Takes in the arrival of a write.
    pub fn on_write(&mut self, session: u64, now: Ticks) {
        self.sweep(now);
        let mut entry = self.entry(session);
        let seen = if self.gap(&entry, now) {
            SessionEvent::WriteAfterGap
        } else {
            SessionEvent::Write
        };
        (entry.known, _) = next(entry.known, seen);
        entry.seen = now;
        self.keep(session, &entry);
    }

    /// A write was answered; `None` where the answer named no plausible position.
    pub fn on_write_answered(&mut self, session: u64, now: Ticks, position: Option<Ticks>) {
        let Some(position) = position else {
            return self.on_write_uncertain(session, now);
        };
        let mut entry = self.entry(session);
        (entry.known, _) = next(entry.known, SessionEvent::WriteAnswered);
        (entry.wrote, entry.seen) = (entry.wrote.max(position), now);
        self.keep(session, &entry);
        self.clock.on_primary_position(now, position);
        if self.records.len() < MAX_PENDING_POSITIONS {
            self.records.push(SessionPosition { session, position });
        }
    }

    /// A write ended, may have executed, and has no position.
    pub fn on_write_uncertain(&mut self, session: u64, now: Ticks) {
        let mut entry = self.entry(session);
        (entry.known, _) = next(entry.known, SessionEvent::WriteUncertain);
        entry.seen = now;
        self.keep(session, &entry);
    }

    /// A position was learned from another gateway or an earlier epoch.
    pub fn on_position_learned(&mut self, record: &SessionPosition) {
        let mut entry = self.entry(record.session);
        (entry.known, _) = next(entry.known, SessionEvent::PositionLearned);
        entry.wrote = entry.wrote.max(record.position);
        self.keep(record.session, &entry);
    }

    /// What was kept of the epoch before. `whole`: it ended in order, and all of it is here but for what lies up to that
    /// position. Only then, and where there is no other instance, is that all that sessions owe; else it may raise what a
    /// session owes and nothing more.
    pub fn restore(
        &mut self,
        records: impl Iterator<Item = SessionPosition>,
        whole: Option<Ticks>,
    ) {
        if let Some(gone) =
            whole.filter(|_| self.config.single_instance && self.config.exclusive_for.is_none())
        {
            self.floor = gone;
        }
        records.for_each(|record| self.on_position_learned(&record));
    }

    /// Whether an answer from `position` satisfies a read's requirement. A replica ahead of the present is not believed.
    pub fn satisfies(
        &mut self,
        now: Ticks,
        primary: bool,
        position: Option<Ticks>,
        token: Ticks,
    ) -> bool {
        let Some(position) = position else {
            return primary;
        };
        if primary {
            self.clock.on_primary_position(now, position);
            // A primary is at the present; its report is older by the answer's way only.
            return true;
        }
        position >= token && self.clock.is_plausible(now, position)
    }

    /// Outcome of a read of the current instant at a replica, `after` its arrival.
    pub fn on_replica_read(&mut self, set: usize, now: Ticks, after: Ticks, covered: bool) {
        if covered {
            self.replica_wait.on_caught_up(set, now, after);
        } else {
            self.replica_wait.on_not_caught_up(set, now, after);
        }
    }

    /// Takes the positions that are to be persisted.
    pub fn drain_positions(&mut self) -> std::vec::Drain<'_, SessionPosition> {
        self.records.drain(..)
    }

    fn sweep(&mut self, now: Ticks) {
        if now - self.last_sweep < SWEEP_INTERVAL {
            return;
        }
        let looks = ((now - self.last_sweep) / SWEEP_INTERVAL).min(100) as usize;
        self.last_sweep = now;
        let places = (self.config.max_sessions / SWEEP_CYCLE + 1) * looks;
        let (sketch, metrics) = (&mut self.sketch, &mut self.metrics);
        self.index
            .sweep(places, now - self.config.exact_for, |session, held| {
                metrics.evicted_sessions += 1;
                sketch.record(session, held.wrote.max(held.floor));
            });
    }

    /// Sessions known exactly.
    pub fn session_count(&self) -> usize {
        self.index.len()
    }

    /// Bytes taken by the index and the sketch.
    pub fn bytes(&self) -> usize {
        self.index.bytes() + self.sketch.bytes()
    }
}
