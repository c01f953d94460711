//! Owns a set of database machines: roles and elections, the log and how far each has applied it, checks that
//! refuse, keyed repeats that are dropped, slots and queues, cold starts that can be pushed over.
//!
//! It must never let an effect happen twice inside a key's window, or answer from a machine that is down.

use std::collections::{BTreeMap, VecDeque};

use crate::Ticks;

/// What a set is made of.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSetConfig {
    /// Commands that a machine works on at once, and that may wait for a slot.
    pub slots: usize,
    pub queue_capacity: usize,
    /// How far a replica applies behind.
    pub replication_lag: Ticks,
    /// A keyed repeat is dropped for so long.
    pub key_retention: Ticks,
    /// An election takes so long once the primary is silent or gone.
    pub election_duration: Ticks,
    /// A machine just started has this part of its slots for so long.
    pub cold_start_capacity: f64,
    pub cold_start_duration: Ticks,
    /// Work beyond this multiple of its part for so long pushes it over.
    pub overload_multiple: f64,
    pub overload_window: Ticks,
    /// What a usual command's work takes.
    pub typical_work: Ticks,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    /// The process is gone: connections are reset, new ones refused.
    Down,
    /// The machine says nothing.
    Silent,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub health: Health,
    pub draining: bool,
    pub started_at: Ticks,
    busy: usize,
    queued: usize,
    /// Applies nothing newer while held up.
    held_at: Option<Ticks>,
    /// What came while it was cold, as far as it counts.
    recent: VecDeque<Ticks>,
    pub crashed_by_overload: bool,
}

/// What a machine says to a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    Row,
    /// It is no primary, or too far behind.
    NotPrimary,
    Behind,
    /// No slot and no place in the queue, or it drains.
    Full,
}

#[derive(Clone, Copy, Debug)]
pub struct Statement<'a> {
    pub is_write: bool,
    pub idempotency_key: Option<&'a str>,
    /// What the read must see; none where it owes nothing.
    pub required_position: Option<Ticks>,
}

pub struct ReplicaSet {
    config: ReplicaSetConfig,
    pub servers: Vec<Server>,
    primary: Option<usize>,
    /// When the primary was lost.
    lost_at: Option<Ticks>,
    /// Every commit, in order.
    commits: Vec<Ticks>,
    keys: BTreeMap<String, Ticks>,
}

impl ReplicaSet {
    pub fn new(config: ReplicaSetConfig, servers: usize) -> ReplicaSet {
        let server = Server {
            health: Health::Up,
            draining: false,
            started_at: 0,
            busy: 0,
            queued: 0,
            held_at: None,
            recent: VecDeque::new(),
            crashed_by_overload: false,
        };
        ReplicaSet {
            config,
            servers: vec![server; servers],
            primary: Some(0),
            lost_at: None,
            commits: Vec::new(),
            keys: BTreeMap::new(),
        }
    }

    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    pub fn is_primary(&self, server: usize) -> bool {
        self.primary == Some(server)
    }

    /// How far a machine has applied the log.
    pub fn applied_position(&self, now: Ticks, server: usize) -> Ticks {
        let m = &self.servers[server];
        if self.is_primary(server) {
            return now;
        }
        let at = (now - self.config.replication_lag).min(m.held_at.unwrap_or(Ticks::MAX));
        at.max(0)
    }

    fn cold(&self, now: Ticks, server: usize) -> bool {
        let started_at = self.servers[server].started_at;
        started_at > 0 && now - started_at < self.config.cold_start_duration
    }

    fn slots(&self, now: Ticks, server: usize) -> usize {
        ((self.config.slots as f64 * self.part(now, server)) as usize).max(1)
    }

    /// The part of its work that a machine can do: from the cold share at its start up to all of it.
    fn part(&self, now: Ticks, server: usize) -> f64 {
        if !self.cold(now, server) {
            return 1.0;
        }
        let age = (now - self.servers[server].started_at) as f64;
        self.config.cold_start_capacity
            + (1.0 - self.config.cold_start_capacity) * age / self.config.cold_start_duration as f64
    }

    /// A statement has come whole: whether it is worked on now (true), waits for a slot, or is turned away.
    pub fn admit(&mut self, now: Ticks, server: usize) -> Result<bool, Reply> {
        let slots = self.slots(now, server);
        let (cold, part) = (self.cold(now, server), self.part(now, server));
        let config = self.config;
        let m = &mut self.servers[server];
        if cold {
            m.recent.push_back(now);
            while m
                .recent
                .front()
                .is_some_and(|at| now - *at > config.overload_window)
            {
                m.recent.pop_front();
            }
            let work = (m.recent.len() as Ticks * config.typical_work) as f64;
            if work
                > config.overload_multiple
                    * part
                    * config.slots as f64
                    * config.overload_window as f64
            {
                m.crashed_by_overload = true;
                m.health = Health::Down;
            }
        }
        if m.draining || (m.busy >= slots && m.queued >= config.queue_capacity) {
            return Err(Reply::Full);
        }
        if m.busy < slots {
            m.busy += 1;
            return Ok(true);
        }
        m.queued += 1;
        Ok(false)
    }

    /// One that waited gets a slot, if there is one.
    pub fn start_queued(&mut self, now: Ticks, server: usize) -> bool {
        let slots = self.slots(now, server);
        let m = &mut self.servers[server];
        if m.busy >= slots || m.queued == 0 {
            return false;
        }
        (m.busy, m.queued) = (m.busy + 1, m.queued - 1);
        true
    }

    /// A statement that has waited is not begun after all.
    pub fn abandon_queued(&mut self, server: usize) {
        let m = &mut self.servers[server];
        m.queued = m.queued.saturating_sub(1);
    }

    /// Its work is done: what it comes to, and the position that it is answered with. An effect happens here.
    pub fn complete(
        &mut self,
        now: Ticks,
        server: usize,
        statement: &Statement<'_>,
    ) -> (Reply, Ticks, bool) {
        let m = &mut self.servers[server];
        m.busy = m.busy.saturating_sub(1);
        let position = self.applied_position(now, server);
        if statement.is_write {
            if !self.is_primary(server) {
                return (Reply::NotPrimary, position, false);
            }
            self.keys
                .retain(|_, at| now - *at < self.config.key_retention);
            if statement
                .idempotency_key
                .is_some_and(|key| self.keys.contains_key(key))
            {
                return (Reply::Row, position, false);
            }
            if let Some(key) = statement.idempotency_key {
                self.keys.insert(key.to_owned(), now);
            }
            self.commits.push(now);
            return (Reply::Row, now, true);
        }
        match statement.required_position {
            Some(required_position) if position < required_position && !self.is_primary(server) => {
                (Reply::Behind, position, false)
            }
            _ => (Reply::Row, position, false),
        }
    }

    /// A replica applies nothing more, or all of it again.
    pub fn pause_replay(&mut self, now: Ticks, server: usize, held: bool) {
        let at = self.applied_position(now, server);
        self.servers[server].held_at = held.then_some(at);
    }

    pub fn set_health(&mut self, now: Ticks, server: usize, health: Health) {
        let was_down = self.servers[server].health == Health::Down;
        let m = &mut self.servers[server];
        m.health = health;
        if health == Health::Up && was_down {
            (m.started_at, m.busy, m.queued, m.held_at) = (now, 0, 0, None);
            m.recent.clear();
        }
        if health != Health::Up && self.primary == Some(server) {
            (self.primary, self.lost_at) = (None, Some(now));
        }
    }

    /// Its process starts again and forgets what it was working on; the machine stays what it is.
    pub fn restart(&mut self, server: usize) {
        let m = &mut self.servers[server];
        (m.busy, m.queued) = (0, 0);
    }

    pub fn drain(&mut self, server: usize, draining: bool) {
        self.servers[server].draining = draining;
    }

    /// An operator's hand: the primary gives its role to another machine that is up.
    pub fn switch_primary(&mut self, to: usize) {
        if self.servers[to].health == Health::Up {
            (self.primary, self.lost_at) = (Some(to), None);
            self.servers[to].held_at = None;
        }
    }

    /// When the next election is over, if one goes on.
    pub fn election_ends_at(&self) -> Option<Ticks> {
        self.lost_at.map(|at| at + self.config.election_duration)
    }

    /// Ends an election that is due: the machine that has applied most becomes primary. Nothing that was
    /// answered is lost, as the log is shipped before a commit is answered.
    pub fn elect(&mut self, now: Ticks) -> Option<usize> {
        if self.election_ends_at().is_none_or(|due| due > now) {
            return None;
        }
        let up = |m: &usize| self.servers[*m].health == Health::Up && !self.servers[*m].draining;
        let most = (0..self.servers.len())
            .filter(up)
            .max_by_key(|m| (self.applied_position(now, *m), std::cmp::Reverse(*m)));
        match most {
            Some(server) => {
                (self.primary, self.lost_at) = (Some(server), None);
                self.servers[server].held_at = None;
            }
            None => self.lost_at = Some(now),
        }
        most
    }
}
