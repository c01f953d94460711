//! All client connections of a gateway: the throughput, state and buffer share of each, and what follows from them.
//!
//! The gateway keeps an index for each connection and reports what it sees; it closes connections itself.
//!
//! # Invariants
//!
//! A connection to which an answer is due is never evicted.

use crate::Ticks;
use crate::buffer_pool::{BufferPool, BufferShare};
use crate::eviction_order::{EvictionOrder, EvictionRank};
use crate::limits::Limits;
use crate::response_size::ResponseSizes;
use crate::state::{self, Action, ConnectionState, Reading};
use crate::throughput::ThroughputMeter;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferKind {
    /// A request on its way in.
    Request,
    /// A response on its way out.
    Response,
}

/// Whether a connection's next request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Admit,
    /// It is shed; the client is to retry after this long.
    Shed(Ticks),
}

/// Who is evicted for another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionCandidate {
    /// This connection, at once.
    Connection(usize),
    /// The connection that has been idle for longest.
    LongestIdle,
    /// The same among unproven connections only: there are not many proven ones.
    LongestIdleUnproven,
}

/// Responses drained at a good rate that make a connection a proven one, however short they are.
const SHORT_PROOFS: usize = 16;

#[derive(Clone, Debug, Default)]
struct Connection {
    state: ConnectionState,
    tenant: usize,
    /// Class of its last request.
    class: usize,
    /// Throughput of responses that go out, and of requests that come in.
    out: ThroughputMeter,
    into: ThroughputMeter,
    shares: [BufferShare; 2],
    /// Bytes drained at a good rate since it was last proven or slow.
    credit: usize,
    /// Whether what goes out has a row in it.
    transition: bool,
    /// Estimated size of its responses, once it has had one.
    own_estimate: Option<usize>,
    /// Until then a complete final answer is due to it.
    answer_due_until: Ticks,
    /// Its index in `unread_connections`.
    unread_index: Option<usize>,
}

/// Client connections by index.
pub struct Connections {
    limits: Limits,
    connections: Vec<Connection>,
    free: Vec<usize>,
    pools: [BufferPool; 2],
    order: EvictionOrder,
    sizes: ResponseSizes,
    /// Connections with unread responses, in no order.
    unread_connections: Vec<usize>,
    /// Connections by state.
    counts: [usize; 4],
    random: fastrand::Rng,
    evicted: u64,
    shed: u64,
}

impl Connections {
    /// No connections yet; `unclaimed` bytes of a response need no reservation, `seed` spreads retries.
    pub fn new(
        limits: Limits,
        classes: usize,
        tenants: usize,
        unclaimed: usize,
        seed: u64,
    ) -> Connections {
        let pool = BufferPool::new(tenants);
        Connections {
            limits,
            connections: Vec::new(),
            free: Vec::new(),
            pools: [pool.clone(), pool],
            order: EvictionOrder::default(),
            sizes: ResponseSizes::new(classes, unclaimed),
            unread_connections: Vec::new(),
            counts: [0; 4],
            random: fastrand::Rng::with_seed(seed),
            evicted: 0,
            shed: 0,
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Replaces the limits; what is held stays held.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Adds a connection and returns its index.
    pub fn open(&mut self) -> usize {
        let id = self.free.pop().unwrap_or(self.connections.len());
        if id == self.connections.len() {
            self.connections.push(Connection::default());
        }
        self.counts[ConnectionState::Unproven as usize] += 1;
        id
    }

    /// Removes a connection and releases all that is held for it.
    pub fn close(&mut self, id: usize) {
        self.done(id);
        self.order.remove(id);
        let connection = &mut self.connections[id];
        for (pool, share) in self.pools.iter_mut().zip(&mut connection.shares) {
            let BufferShare { held, reserved } = *share;
            pool.cancel_reservation(connection.state, connection.tenant, share, reserved);
            pool.release(connection.state, connection.tenant, share, held);
        }
        self.counts[connection.state as usize] -= 1;
        *connection = Connection::default();
        self.free.push(id);
    }

    /// Whether a request is admitted; if so, the expected size of its response is reserved.
    pub fn admit(
        &mut self,
        now: Ticks,
        id: usize,
        class: usize,
        tenant: usize,
        ends: Ticks,
    ) -> Admission {
        self.on_state_changed(id, self.connections[id].state, tenant);
        let connection = &mut self.connections[id];
        let pool = &mut self.pools[BufferKind::Response as usize];
        let share = &mut connection.shares[BufferKind::Response as usize];
        // By its own responses where it has had any, so that one with small responses is not judged by its class.
        let likely = self.sizes.expected(connection.own_estimate, class);
        let likely = likely.min(self.limits.per_connection.saturating_sub(share.held));
        if self.limits.enabled && connection.state != ConnectionState::Proven {
            let untaken = connection.out.waiting();
            let too_much = untaken > 0 && untaken + likely > self.limits.per_connection;
            let stands = connection.state == ConnectionState::Stalled && untaken > 0;
            let finds_room = likely == 0
                || pool.can_hold(&self.limits, connection.state, tenant, share, likely, true);
            if too_much || stands || !finds_room {
                self.shed += 1;
                let retry_after = self.limits.retry_after.max(1);
                return Admission::Shed(retry_after + self.random.i64(0..=retry_after));
            }
            pool.reserve(connection.state, tenant, share, likely);
        }
        connection.answer_due_until = connection.answer_due_until.max(ends);
        connection.class = class;
        self.rank(now, id);
        Admission::Admit
    }

    /// Tries to hold `bytes` more for a connection.
    pub fn claim(&mut self, kind: BufferKind, id: usize, bytes: usize) -> bool {
        let (connection, pool) = (&mut self.connections[id], &mut self.pools[kind as usize]);
        let share = &mut connection.shares[kind as usize];
        let granted = pool.can_hold(
            &self.limits,
            connection.state,
            connection.tenant,
            share,
            bytes,
            false,
        );
        if granted {
            pool.hold(connection.state, connection.tenant, share, bytes);
            if kind == BufferKind::Response {
                // Larger responses than usual count before the first of them is complete.
                self.sizes.record_partial(connection.class, share.held);
            }
        }
        granted
    }

    /// Releases `bytes` held for a connection.
    pub fn release(&mut self, kind: BufferKind, id: usize, bytes: usize) {
        let connection = &mut self.connections[id];
        self.pools[kind as usize].release(
            connection.state,
            connection.tenant,
            &mut connection.shares[kind as usize],
            bytes,
        );
    }

    /// A response of `bytes` begins to go out, due until `ends`; `class` is the request's where it has a row.
    pub fn on_response_started(
        &mut self,
        now: Ticks,
        id: usize,
        class: Option<usize>,
        bytes: usize,
        ends: Ticks,
    ) {
        let (connection, pool) = (
            &mut self.connections[id],
            &mut self.pools[BufferKind::Response as usize],
        );
        let share = &mut connection.shares[BufferKind::Response as usize];
        let reserved = share.reserved;
        pool.cancel_reservation(connection.state, connection.tenant, share, reserved);
        if let Some(class) = class {
            self.sizes
                .record(&mut connection.own_estimate, class, bytes);
        }
        connection.transition =
            class.is_some() || (connection.transition && connection.out.waiting() > 0);
        connection.out.add(now, bytes);
        connection.answer_due_until = ends;
    }

    /// The client has read all of its response.
    pub fn on_response_drained(&mut self, now: Ticks, id: usize) -> Action {
        self.on_response_progress(now, id, 0)
    }

    /// `bytes` of the response have not been read yet.
    pub fn on_response_progress(&mut self, now: Ticks, id: usize, bytes: usize) -> Action {
        let connection = &mut self.connections[id];
        if connection.out.waiting() == 0 {
            return Action::Keep;
        }
        connection.out.left(now, bytes);
        let short = connection.out.waiting() <= self.limits.small_message;
        // Errors prove nothing: a client that is shed again and again would be proven by them.
        let worth = if connection.transition {
            connection
                .out
                .moved_total()
                .max(self.limits.proof_bytes.div_ceil(SHORT_PROOFS))
        } else {
            0
        };
        let input = state::reading(
            &connection.out,
            now,
            &self.limits,
            connection.credit + worth,
            short,
        );
        connection.credit = match input {
            Reading::DrainedLittle if state::drained_well(&connection.out, now, &self.limits) => {
                connection.credit + worth
            }
            Reading::TooEarly | Reading::Good | Reading::DrainedLittle => connection.credit,
            Reading::DrainedMuch | Reading::Marginal | Reading::BelowMinimum | Reading::Stopped => {
                0
            }
        };
        let answer_due = now < connection.answer_due_until;
        let effect = self.step(id, input, answer_due);
        match (bytes, self.connections[id].unread_index) {
            (0, _) => self.done(id),
            (_, None) => {
                self.connections[id].unread_index = Some(self.unread_connections.len());
                self.unread_connections.push(id);
            }
            _ => {}
        }
        self.rank(now, id);
        effect
    }

    /// Bytes of an incomplete message have come.
    pub fn on_bytes_received(&mut self, now: Ticks, id: usize, bytes: usize) {
        self.connections[id].into.on_bytes_received(now, bytes);
    }

    /// Excludes time in which the gateway did not read, for lack of buffer.
    pub fn exclude_wait(&mut self, id: usize, span: Ticks) {
        self.connections[id].into.exclude_wait(span);
    }

    /// The message is complete.
    pub fn on_message_complete(&mut self, id: usize) {
        self.connections[id].into.clear();
        if self.order.rank(id) == Some(EvictionRank::IncompleteMessage) {
            self.order.remove(id);
        }
    }

    /// When to check an incomplete message next, never before its grace has passed; `None` if it is to be evicted.
    pub fn incomplete_message_deadline(&mut self, now: Ticks, id: usize) -> Option<Ticks> {
        let connection = &self.connections[id];
        let grace_ends = now - connection.into.age(now) + self.limits.grace;
        if connection.into.waiting() == 0 || now < grace_ends {
            return Some(grace_ends.max(now + 1));
        }
        let input = state::reading(&connection.into, now, &self.limits, 0, false);
        if !self.limits.enabled || self.step(id, input, false) == Action::Evict {
            return None;
        }
        if self.order.rank(id).is_none() {
            self.order.insert(id, EvictionRank::IncompleteMessage);
        }
        Some(now + crate::throughput::WINDOW)
    }

    fn step(&mut self, id: usize, input: Reading, answer_due: bool) -> Action {
        if !self.limits.enabled {
            return Action::Keep;
        }
        let (next, effect) = state::next(self.connections[id].state, input, answer_due);
        self.on_state_changed(id, next, self.connections[id].tenant);
        if effect == Action::Evict {
            self.evicted += 1;
        }
        effect
    }

    /// Moves a connection, with all that is held for it, to a state and tenant.
    fn on_state_changed(&mut self, id: usize, state: ConnectionState, tenant: usize) {
        let connection = &mut self.connections[id];
        let (old, new) = ((connection.state, connection.tenant), (state, tenant));
        if old == new {
            return;
        }
        self.counts[old.0 as usize] -= 1;
        self.counts[state as usize] += 1;
        for (pool, share) in self.pools.iter_mut().zip(&connection.shares) {
            pool.on_state_changed(old, new, share);
        }
        (connection.state, connection.tenant) = new;
    }

    /// Updates its place in the eviction order.
    fn rank(&mut self, now: Ticks, id: usize) {
        let connection = &self.connections[id];
        if connection.out.waiting() > 0 && now >= connection.answer_due_until {
            let rank = match connection.state {
                ConnectionState::Stalled => EvictionRank::StalledPastDeadline,
                ConnectionState::Slow => EvictionRank::SlowPastDeadline,
                ConnectionState::Unproven | ConnectionState::Proven => EvictionRank::PastDeadline,
            };
            self.order.insert(id, rank);
        } else if self.order.rank(id) != Some(EvictionRank::IncompleteMessage) {
            self.order.remove(id);
        }
    }

    /// The client has read everything.
    fn done(&mut self, id: usize) {
        let connection = &mut self.connections[id];
        connection.out.clear();
        if let Some(at) = connection.unread_index.take() {
            self.unread_connections.swap_remove(at);
            if let Some(moved) = self.unread_connections.get(at) {
                self.connections[*moved].unread_index = Some(at);
            }
        }
    }

    /// Who is evicted for one more connection.
    pub fn eviction_candidate(&mut self) -> EvictionCandidate {
        if !self.limits.enabled {
            return EvictionCandidate::LongestIdle;
        }
        if let Some(first) = self.order.first() {
            // Returned once: the gateway closes it now.
            self.order.remove(first);
            self.evicted += 1;
            return EvictionCandidate::Connection(first);
        }
        let proven = self.counts[ConnectionState::Proven as usize];
        if proven > self.limits.protected_connections {
            EvictionCandidate::LongestIdle
        } else {
            EvictionCandidate::LongestIdleUnproven
        }
    }

    /// Connections with unread responses.
    pub fn unread_connections(&self) -> &[usize] {
        &self.unread_connections
    }

    /// Bytes that the client has not read yet.
    pub fn unread(&self, id: usize) -> usize {
        self.connections[id].out.waiting()
    }

    /// State of a connection.
    pub fn state(&self, id: usize) -> ConnectionState {
        self.connections[id].state
    }

    /// Bytes a second, bytes that wait and for how long.
    pub fn metrics(&self, now: Ticks, id: usize) -> (u64, usize, Ticks) {
        let connection = &self.connections[id];
        let meter = if connection.out.waiting() > 0 {
            &connection.out
        } else {
            &connection.into
        };
        let held = connection.out.waiting() + connection.shares[BufferKind::Request as usize].held;
        (meter.rate(now), held, meter.age(now))
    }

    /// Buffers held in one direction.
    pub fn pool(&self, kind: BufferKind) -> &BufferPool {
        &self.pools[kind as usize]
    }

    /// Connections by state, in the order of [`ConnectionState::ALL`].
    pub fn counts_by_state(&self) -> [usize; 4] {
        self.counts
    }

    /// Connections evicted and requests shed so far.
    pub fn evicted_and_shed(&self) -> (u64, u64) {
        (self.evicted, self.shed)
    }
}
