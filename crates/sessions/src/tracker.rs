//! Tracks all sessions of one gateway: what each read must see, and which positions are persisted for later epochs.
//!
//! # Invariants
//!
//! Within an epoch, each position that leaves the index is recorded in the sketch, and nothing learned from other
//! gateways lowers a requirement.

use fastrand::Rng;

use crate::Ticks;
use crate::clock_skew::ClockSkew;
use crate::position_sketch::PositionSketch;
use crate::replica_wait::ReplicaWait;
use crate::session_index::{SessionEntry, SessionIndex};
use crate::state::{ReadRequirement, SessionEvent, SessionState, next_state};

/// Configuration of session tracking; times in ticks.
#[derive(Clone, Copy, Debug)]
pub struct SessionConfig {
    /// A session that was not seen for this long may have been at another gateway. `None`: sessions use no other
    /// gateway while this process runs.
    pub exclusive_for: Option<Ticks>,
    /// Whether there is no other gateway, not even while this process is down.
    pub single_instance: bool,
    /// Bound on the difference of any two clocks.
    pub max_clock_skew: Ticks,
    /// Maximum number of sessions known exactly.
    pub max_sessions: usize,
    /// How long a session is known exactly after its last event.
    pub exact_for: Ticks,
    /// Number of cells of a row in each slice of the sketch.
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

/// Requirement of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredPosition {
    /// Position that the answering server must have applied.
    pub position: Ticks,
    /// Whether the position follows from the session's own writes and low watermark, rather than being the current
    /// instant for lack of knowledge.
    pub exact: bool,
    /// Time before which the primary is not asked in place of a replica that is about to catch up.
    pub wait_for_replica_until: Ticks,
}

/// Position of a session, in the form that is persisted for later epochs or learned from other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionPosition {
    /// Hash of the session.
    pub session: u64,
    /// Position of a write of the session.
    pub position: Ticks,
}

/// Counters of reads by requirement, and of other events, since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionMetrics {
    /// Reads whose requirement is the session's last write or low watermark.
    pub exact_reads: u64,
    /// Reads that must see the current instant.
    pub current_instant_reads: u64,
    /// Reads with a valid token.
    pub token_reads: u64,
    /// Reads whose requirement is the position from the replica holders.
    pub replicated_reads: u64,
    /// Tokens that were not valid.
    pub rejected_tokens: u64,
    /// Sessions that were evicted from the index or expired in it.
    pub evicted_sessions: u64,
    /// Epochs started, the first one included.
    pub epochs: u64,
}

/// Tracker of the sessions of one gateway.
pub struct SessionTracker {
    config: SessionConfig,
    index: SessionIndex,
    sketch: PositionSketch,
    clock: ClockSkew,
    replica_wait: ReplicaWait,
    random: Rng,
    /// Low watermark of the epoch: sessions without an entry in the index must see it.
    low_watermark: Ticks,
    /// Counters since the start.
    pub metrics: SessionMetrics,
    /// Positions to be persisted, until they are drained.
    pending_positions: Vec<SessionPosition>,
    last_sweep: Ticks,
}

/// Maximum number of positions that wait to be persisted; further ones are dropped, as if they were lost.
const MAX_PENDING_POSITIONS: usize = 4_096;
/// Number of slices of the sketch: together they cover ten minutes.
const SKETCH_SLICES: usize = 10;
/// Span of a slice, in ticks: one minute.
const SKETCH_SLICE_SPAN: Ticks = 600_000;
/// Number of sweep intervals in which the whole index is swept once.
const SWEEP_CYCLE: usize = 6_000;
/// Interval of sweeps, in ticks.
const SWEEP_INTERVAL: Ticks = 100;

impl SessionTracker {
    /// Starts the first epoch, in which all sessions are unknown; `seed` is for the random part of waits.
    pub fn new(config: SessionConfig, now: Ticks, seed: u64) -> SessionTracker {
        let clock = ClockSkew::new(config.max_clock_skew);
        SessionTracker {
            index: SessionIndex::new(config.max_sessions, now - config.exact_for),
            sketch: PositionSketch::new(config.sketch_width, SKETCH_SLICES, SKETCH_SLICE_SPAN),
            replica_wait: ReplicaWait::new(),
            random: Rng::with_seed(seed),
            low_watermark: clock.current_instant(now),
            metrics: SessionMetrics {
                epochs: 1,
                ..SessionMetrics::default()
            },
            pending_positions: Vec::new(),
            last_sweep: now,
            clock,
            config,
        }
    }

    /// Starts a new epoch: discards the index and raises the low watermark to the current instant.
    pub fn begin_epoch(&mut self, now: Ticks) {
        self.index = SessionIndex::new(self.config.max_sessions, now - self.config.exact_for);
        self.low_watermark = self.low_watermark.max(self.clock.current_instant(now));
        self.metrics.epochs += 1;
    }

    /// Compares both clocks, at intervals that the caller chooses; a step of the wall clock ends the epoch.
    ///
    /// Returns whether a new epoch was started.
    pub fn on_clocks_read(&mut self, monotonic: Ticks, wall_clock: Ticks, now: Ticks) -> bool {
        let stepped = self.clock.detect_step(monotonic, wall_clock);
        if stepped {
            self.begin_epoch(now);
        }
        stepped
    }

    fn entry(&self, session: u64) -> SessionEntry {
        self.index
            .get(session)
            .unwrap_or_else(|| match self.config.exclusive_for {
                // The session was at no other gateway: its reads must see the epoch's low watermark and the sketch's
                // bound.
                None => SessionEntry {
                    state: SessionState::Tracked,
                    low_watermark: self.low_watermark,
                    last_write: self.sketch.upper_bound(session),
                    last_seen: 0,
                },
                Some(_) => SessionEntry::default(),
            })
    }

    fn store(&mut self, session: u64, entry: &SessionEntry) {
        if let Some((evicted, evicted_entry)) = self.index.set(session, entry) {
            self.evict(evicted, &evicted_entry);
        }
    }

    fn evict(&mut self, session: u64, entry: &SessionEntry) {
        self.metrics.evicted_sessions += 1;
        // The low watermark is recorded too, as a tracked session must see it.
        self.sketch
            .record(session, entry.last_write.max(entry.low_watermark));
    }

    fn has_gap(&self, entry: &SessionEntry, now: Ticks) -> bool {
        self.config
            .exclusive_for
            .is_some_and(|exclusive_for| now - entry.last_seen >= exclusive_for)
    }

    /// Whether a read of the session must see the current instant by what is known at this gateway alone.
    pub fn requires_current_instant(&self, session: u64, now: Ticks) -> bool {
        let entry = self.entry(session);
        let event = if self.has_gap(&entry, now) {
            SessionEvent::ReadAfterGap
        } else {
            SessionEvent::Read
        };
        next_state(entry.state, event).1 == ReadRequirement::CurrentInstant
    }

    /// Upper bound of the positions of all writes that were committed and answered by now.
    pub fn current_instant(&self, now: Ticks) -> Ticks {
        self.clock.current_instant(now)
    }

    /// Records the arrival of a read at the replica set of index `set`, and returns its requirement.
    ///
    /// `token_position` is the position in the read's verified token. `replicated_position` is the position that the
    /// replica holders returned, who were asked after the read arrived. `objective_left` is the time left to the
    /// latency objective, in ticks.
    pub fn on_read(
        &mut self,
        session: u64,
        set: usize,
        now: Ticks,
        objective_left: Ticks,
        token_position: Option<Ticks>,
        replicated_position: Option<Ticks>,
    ) -> RequiredPosition {
        self.sweep(now);
        self.replica_wait.on_session_read(set, now);
        let mut entry = self.entry(session);
        let instant = self.clock.current_instant(now);
        let event = match token_position {
            // A token from the future is invalid, as no write was answered with it.
            Some(token) if token <= instant => SessionEvent::TokenRead,
            Some(_) => {
                self.metrics.rejected_tokens += 1;
                if self.has_gap(&entry, now) {
                    SessionEvent::ReadAfterGap
                } else {
                    SessionEvent::Read
                }
            }
            None if replicated_position.is_some() => SessionEvent::ReplicatedRead,
            None if self.has_gap(&entry, now) => SessionEvent::ReadAfterGap,
            None => SessionEvent::Read,
        };
        let (state, requirement) = next_state(entry.state, event);
        let required = match requirement {
            ReadRequirement::CurrentInstant => {
                entry.low_watermark = instant;
                instant
            }
            // The token covers all writes answered to the session before; a write at this gateway may be newer.
            ReadRequirement::Token => token_position.unwrap_or(instant).max(entry.last_write),
            ReadRequirement::Replicated => {
                entry.low_watermark = replicated_position.unwrap_or(instant).max(entry.last_write);
                entry.low_watermark
            }
            ReadRequirement::LowWatermark | ReadRequirement::LastWrite | ReadRequirement::None => {
                entry.last_write.max(entry.low_watermark)
            }
        };
        (entry.state, entry.last_seen) = (state, now);
        self.store(session, &entry);
        let exact = requirement != ReadRequirement::CurrentInstant;
        match requirement {
            ReadRequirement::Token => self.metrics.token_reads += 1,
            ReadRequirement::CurrentInstant => self.metrics.current_instant_reads += 1,
            ReadRequirement::Replicated => self.metrics.replicated_reads += 1,
            _ => self.metrics.exact_reads += 1,
        }
        // Replicas have applied an older position by now, or lag for reasons that waiting does not solve.
        let is_recent = now - required <= self.replica_wait.catch_up_time(set) * 2;
        let wait_for_replica_until = if is_recent {
            self.replica_wait
                .wait_until(set, now, objective_left, &mut self.random)
        } else {
            now
        };
        RequiredPosition {
            position: required,
            exact,
            wait_for_replica_until,
        }
    }

    /// Records the arrival of a write.
    pub fn on_write(&mut self, session: u64, now: Ticks) {
        self.sweep(now);
        let mut entry = self.entry(session);
        let event = if self.has_gap(&entry, now) {
            SessionEvent::WriteAfterGap
        } else {
            SessionEvent::Write
        };
        (entry.state, _) = next_state(entry.state, event);
        entry.last_seen = now;
        self.store(session, &entry);
    }

    /// Records the answer of a write; `position` is `None` if the answer reported no plausible position.
    pub fn on_write_answered(&mut self, session: u64, now: Ticks, position: Option<Ticks>) {
        let Some(position) = position else {
            return self.on_write_uncertain(session, now);
        };
        let mut entry = self.entry(session);
        (entry.state, _) = next_state(entry.state, SessionEvent::WriteAnswered);
        (entry.last_write, entry.last_seen) = (entry.last_write.max(position), now);
        self.store(session, &entry);
        self.clock.on_primary_position(now, position);
        if self.pending_positions.len() < MAX_PENDING_POSITIONS {
            self.pending_positions
                .push(SessionPosition { session, position });
        }
    }

    /// Records the end of a write that may have executed, without a position.
    pub fn on_write_uncertain(&mut self, session: u64, now: Ticks) {
        let mut entry = self.entry(session);
        (entry.state, _) = next_state(entry.state, SessionEvent::WriteUncertain);
        entry.last_seen = now;
        self.store(session, &entry);
    }

    /// Records a position from another gateway or an earlier epoch.
    pub fn on_position_learned(&mut self, record: &SessionPosition) {
        let mut entry = self.entry(record.session);
        (entry.state, _) = next_state(entry.state, SessionEvent::PositionLearned);
        entry.last_write = entry.last_write.max(record.position);
        self.store(record.session, &entry);
    }

    /// Restores the positions that were persisted in earlier epochs.
    ///
    /// `complete_above` is given if the last epoch ended in order: then `records` holds all positions above it. Only
    /// then, and if there is no other instance, it becomes the low watermark, and sessions must see no more than their
    /// restored positions beyond it. Otherwise the restored positions only raise requirements.
    pub fn restore(
        &mut self,
        records: impl Iterator<Item = SessionPosition>,
        complete_above: Option<Ticks>,
    ) {
        if let Some(position) = complete_above
            .filter(|_| self.config.single_instance && self.config.exclusive_for.is_none())
        {
            self.low_watermark = position;
        }
        records.for_each(|record| self.on_position_learned(&record));
    }

    /// Whether an answer of a server at `position` covers the position `required` by a read.
    ///
    /// A replica that reports a position in the future covers none.
    pub fn satisfies(
        &mut self,
        now: Ticks,
        primary: bool,
        position: Option<Ticks>,
        required: Ticks,
    ) -> bool {
        let Some(position) = position else {
            return primary;
        };
        if primary {
            self.clock.on_primary_position(now, position);
            // A primary is at the present: its report is older only by the transmission time of the answer.
            return true;
        }
        position >= required && self.clock.is_plausible(now, position)
    }

    /// Records whether a replica had caught up with the instant of a read, `elapsed` ticks after the read's arrival.
    pub fn on_replica_read(&mut self, set: usize, now: Ticks, elapsed: Ticks, caught_up: bool) {
        if caught_up {
            self.replica_wait.on_caught_up(set, now, elapsed);
        } else {
            self.replica_wait.on_not_caught_up(set, now, elapsed);
        }
    }

    /// Removes and returns the positions to be persisted.
    pub fn drain_positions(&mut self) -> std::vec::Drain<'_, SessionPosition> {
        self.pending_positions.drain(..)
    }

    fn sweep(&mut self, now: Ticks) {
        if now - self.last_sweep < SWEEP_INTERVAL {
            return;
        }
        let intervals = ((now - self.last_sweep) / SWEEP_INTERVAL).min(100) as usize;
        self.last_sweep = now;
        let slots = (self.config.max_sessions / SWEEP_CYCLE + 1) * intervals;
        let (sketch, metrics) = (&mut self.sketch, &mut self.metrics);
        self.index
            .sweep(slots, now - self.config.exact_for, |session, entry| {
                metrics.evicted_sessions += 1;
                sketch.record(session, entry.last_write.max(entry.low_watermark));
            });
    }

    /// Number of sessions known exactly.
    pub fn session_count(&self) -> usize {
        self.index.len()
    }

    /// Size of the index and the sketch, in bytes.
    pub fn bytes(&self) -> usize {
        self.index.bytes() + self.sketch.bytes()
    }
}
