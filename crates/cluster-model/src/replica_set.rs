//! A replica set of database servers: roles and elections, the log and how far each server has applied it, read
//! checks that fail on a stale server, deduplication by idempotency key, execution slots and queues, and cold starts
//! during which overload crashes the server.
//!
//! Servers are identified by their index in the replica set.
//!
//! # Invariants
//!
//! - A write with an idempotency key takes effect at most once within [`ReplicaSetConfig::key_retention`].
//! - A server that is down answers nothing. The model doesn't know connections: its caller resets them and refuses
//!   new ones.
//! - A server that is not up does not become primary.

use std::collections::{BTreeMap, VecDeque};

use crate::Ticks;

/// Capacity and timing of a replica set; the same for each of its servers.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSetConfig {
    /// Number of statements that a server executes concurrently.
    pub slots: usize,
    /// Number of statements that may wait for a slot of a server.
    pub queue_capacity: usize,
    /// How far a replica's applied position is behind the primary.
    pub replication_lag: Ticks,
    /// How long a repeated write with the same idempotency key is deduplicated.
    pub key_retention: Ticks,
    /// Time from the loss of the primary, which went down or silent, to the end of the election.
    pub election_duration: Ticks,
    /// Share of its slots, 0 to 1, that a server has right after a start; it grows linearly to 1.
    pub cold_start_capacity: f64,
    /// Time after a start until the server has all of its slots.
    pub cold_start_duration: Ticks,
    /// A cold server crashes if the work that arrives within the overload window exceeds this multiple of what its
    /// current capacity can execute in that time.
    pub overload_multiple: f64,
    /// Time over which arriving work is compared with the capacity.
    pub overload_window: Ticks,
    /// Assumed execution time of a statement, by which arriving work is estimated.
    pub typical_work: Ticks,
}

/// Reachability of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The server runs and can be reached.
    Up,
    /// The process has ended: connections are reset, new ones are refused.
    Down,
    /// The host sends nothing: connections hang.
    Silent,
}

/// State of one server of a replica set.
#[derive(Clone, Debug)]
pub struct Server {
    /// Whether the server can be reached.
    pub health: Health,
    /// Whether the server rejects new statements because it is being drained.
    pub draining: bool,
    /// Time of the last start; 0 if the server has run since before the model began.
    pub started_at: Ticks,
    executing: usize,
    queued: usize,
    /// Position at which log replay is paused, if it is.
    replay_paused_at: Option<Ticks>,
    /// Arrival times within the overload window, recorded only during a cold start.
    recent_arrivals: VecDeque<Ticks>,
    /// Whether overload during a cold start has ever crashed the server.
    pub crashed_by_overload: bool,
}

/// A server's reply to a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The statement was executed and returned a row.
    Row,
    /// A write was sent to a server that is not the primary.
    NotPrimary,
    /// The server has not applied the position that the read requires.
    Behind,
    /// The server has neither a free slot nor space in its queue, or it is draining.
    Full,
}

/// The properties of a statement that decide its result.
#[derive(Clone, Copy, Debug)]
pub struct Statement<'a> {
    /// Whether the statement writes.
    pub is_write: bool,
    /// Key by which repeats of a write are deduplicated.
    pub idempotency_key: Option<&'a str>,
    /// Position that a read must see; `None` if it may be served at any position.
    pub required_position: Option<Ticks>,
}

/// The servers of a replica set and the state that they share.
pub struct ReplicaSet {
    config: ReplicaSetConfig,
    /// The servers, by index.
    pub servers: Vec<Server>,
    primary: Option<usize>,
    /// When the primary was lost, or when the last election failed; `None` while there is a primary.
    primary_lost_at: Option<Ticks>,
    /// Times of all commits, in order.
    commits: Vec<Ticks>,
    /// Idempotency keys of applied writes and when each was applied.
    applied_keys: BTreeMap<String, Ticks>,
}

impl ReplicaSet {
    /// Creates a replica set whose servers are all up; server 0 is the primary.
    pub fn new(config: ReplicaSetConfig, servers: usize) -> ReplicaSet {
        let server = Server {
            health: Health::Up,
            draining: false,
            started_at: 0,
            executing: 0,
            queued: 0,
            replay_paused_at: None,
            recent_arrivals: VecDeque::new(),
            crashed_by_overload: false,
        };
        ReplicaSet {
            config,
            servers: vec![server; servers],
            primary: Some(0),
            primary_lost_at: None,
            commits: Vec::new(),
            applied_keys: BTreeMap::new(),
        }
    }

    /// Returns the primary, or `None` until the next election has ended.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// Returns whether `server` is the primary.
    pub fn is_primary(&self, server: usize) -> bool {
        self.primary == Some(server)
    }

    /// Returns the position up to which `server` has applied the log; the primary's is always `now`.
    pub fn applied_position(&self, now: Ticks, server: usize) -> Ticks {
        let state = &self.servers[server];
        if self.is_primary(server) {
            return now;
        }
        let position =
            (now - self.config.replication_lag).min(state.replay_paused_at.unwrap_or(Ticks::MAX));
        position.max(0)
    }

    /// Returns whether `server` is still in its cold start.
    fn is_cold(&self, now: Ticks, server: usize) -> bool {
        let started_at = self.servers[server].started_at;
        started_at > 0 && now - started_at < self.config.cold_start_duration
    }

    /// Returns how many slots `server` has now; at least one.
    fn available_slots(&self, now: Ticks, server: usize) -> usize {
        ((self.config.slots as f64 * self.capacity(now, server)) as usize).max(1)
    }

    /// Returns the share of its slots that `server` has now, from [`ReplicaSetConfig::cold_start_capacity`] to 1.
    fn capacity(&self, now: Ticks, server: usize) -> f64 {
        if !self.is_cold(now, server) {
            return 1.0;
        }
        let age = (now - self.servers[server].started_at) as f64;
        self.config.cold_start_capacity
            + (1.0 - self.config.cold_start_capacity) * age / self.config.cold_start_duration as f64
    }

    /// Admits a statement that has been received completely.
    ///
    /// Returns `true` if it gets a slot at once and `false` if it has to wait for one, see [`start_queued`].
    ///
    /// # Errors
    ///
    /// Returns [`Reply::Full`] if the server is draining or its queue is full.
    ///
    /// [`start_queued`]: ReplicaSet::start_queued
    pub fn admit(&mut self, now: Ticks, server: usize) -> Result<bool, Reply> {
        let slots = self.available_slots(now, server);
        let (is_cold, capacity) = (self.is_cold(now, server), self.capacity(now, server));
        let config = self.config;
        let state = &mut self.servers[server];
        if is_cold {
            state.recent_arrivals.push_back(now);
            while state
                .recent_arrivals
                .front()
                .is_some_and(|at| now - *at > config.overload_window)
            {
                state.recent_arrivals.pop_front();
            }
            let work = (state.recent_arrivals.len() as Ticks * config.typical_work) as f64;
            if work
                > config.overload_multiple
                    * capacity
                    * config.slots as f64
                    * config.overload_window as f64
            {
                state.crashed_by_overload = true;
                state.health = Health::Down;
            }
        }
        if state.draining || (state.executing >= slots && state.queued >= config.queue_capacity) {
            return Err(Reply::Full);
        }
        if state.executing < slots {
            state.executing += 1;
            return Ok(true);
        }
        state.queued += 1;
        Ok(false)
    }

    /// Gives a free slot to a queued statement, and returns whether there was both.
    pub fn start_queued(&mut self, now: Ticks, server: usize) -> bool {
        let slots = self.available_slots(now, server);
        let state = &mut self.servers[server];
        if state.executing >= slots || state.queued == 0 {
            return false;
        }
        (state.executing, state.queued) = (state.executing + 1, state.queued - 1);
        true
    }

    /// Removes a statement from the queue without executing it.
    pub fn abandon_queued(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.queued = state.queued.saturating_sub(1);
    }

    /// Ends the execution of a statement and applies its write, if any.
    ///
    /// Returns the reply, the position reported with it, and whether a write took effect.
    pub fn complete(
        &mut self,
        now: Ticks,
        server: usize,
        statement: &Statement<'_>,
    ) -> (Reply, Ticks, bool) {
        let state = &mut self.servers[server];
        state.executing = state.executing.saturating_sub(1);
        let position = self.applied_position(now, server);
        if statement.is_write {
            if !self.is_primary(server) {
                return (Reply::NotPrimary, position, false);
            }
            self.applied_keys
                .retain(|_, at| now - *at < self.config.key_retention);
            if statement
                .idempotency_key
                .is_some_and(|key| self.applied_keys.contains_key(key))
            {
                return (Reply::Row, position, false);
            }
            if let Some(key) = statement.idempotency_key {
                self.applied_keys.insert(key.to_owned(), now);
            }
            self.commits.push(now);
            return (Reply::Row, now, true);
        }
        match statement.required_position {
            Some(required) if position < required && !self.is_primary(server) => {
                (Reply::Behind, position, false)
            }
            _ => (Reply::Row, position, false),
        }
    }

    /// Pauses or resumes log replay on a replica. A resumed replica has caught up at once.
    pub fn pause_replay(&mut self, now: Ticks, server: usize, paused: bool) {
        let position = self.applied_position(now, server);
        self.servers[server].replay_paused_at = paused.then_some(position);
    }

    /// Sets the health of `server`.
    ///
    /// A server that comes up after it was down begins a cold start with no statements. A primary that is no longer
    /// up loses its role, and an election begins.
    pub fn set_health(&mut self, now: Ticks, server: usize, health: Health) {
        let was_down = self.servers[server].health == Health::Down;
        let state = &mut self.servers[server];
        state.health = health;
        if health == Health::Up && was_down {
            (
                state.started_at,
                state.executing,
                state.queued,
                state.replay_paused_at,
            ) = (now, 0, 0, None);
            state.recent_arrivals.clear();
        }
        if health != Health::Up && self.primary == Some(server) {
            (self.primary, self.primary_lost_at) = (None, Some(now));
        }
    }

    /// Drops the statements that `server` executes or has queued, as a restart of its process does. Its role, health
    /// and start time stay.
    pub fn restart(&mut self, server: usize) {
        let state = &mut self.servers[server];
        (state.executing, state.queued) = (0, 0);
    }

    /// Starts or stops draining `server`.
    pub fn drain(&mut self, server: usize, draining: bool) {
        self.servers[server].draining = draining;
    }

    /// Makes `to` the primary at once, as an operator's switchover does; does nothing if `to` is not up.
    pub fn switch_primary(&mut self, to: usize) {
        if self.servers[to].health == Health::Up {
            (self.primary, self.primary_lost_at) = (Some(to), None);
            self.servers[to].replay_paused_at = None;
        }
    }

    /// Returns when the running election ends, or `None` if there is a primary.
    pub fn election_ends_at(&self) -> Option<Ticks> {
        self.primary_lost_at
            .map(|at| at + self.config.election_duration)
    }

    /// Ends an election that is due, and returns the new primary: the server with the highest applied position among
    /// those that are up and not draining, or the one with the lowest index among equals. Without such a server
    /// another election begins.
    ///
    /// No acknowledged write is lost, as the log is shipped before a commit is acknowledged.
    pub fn elect(&mut self, now: Ticks) -> Option<usize> {
        if self.election_ends_at().is_none_or(|due| due > now) {
            return None;
        }
        let eligible =
            |n: &usize| self.servers[*n].health == Health::Up && !self.servers[*n].draining;
        let elected = (0..self.servers.len())
            .filter(eligible)
            .max_by_key(|n| (self.applied_position(now, *n), std::cmp::Reverse(*n)));
        match elected {
            Some(server) => {
                (self.primary, self.primary_lost_at) = (Some(server), None);
                self.servers[server].replay_paused_at = None;
            }
            None => self.primary_lost_at = Some(now),
        }
        elected
    }
}
