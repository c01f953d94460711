//! All client connections of a gateway: their throughput, state and buffered bytes, and the decisions on admission and
//! eviction that follow from them.
//!
//! The gateway stores the index of each connection and reports its events; it closes connections itself.
//!
//! # Invariants
//!
//! A connection to which an answer is due is never evicted.

use crate::Ticks;
use crate::buffer_pool::{BufferPool, BufferShare};
use crate::connection::Connection;
use crate::eviction_order::{EvictionOrder, EvictionRank};
use crate::limits::Limits;
use crate::message_pacing::{HandledMessage, MessagePacer, Pace};
use crate::response_size::ResponseSizes;
use crate::state::{self, Action, ConnectionState, TransferAssessment};

/// Purpose for which buffer bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferKind {
    /// A request that is being received.
    Request,
    /// A response that is being sent.
    Response,
}

/// Decision on a connection's next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted.
    Admit,
    /// The request is shed; the client is to retry after this time, in ticks.
    Shed(Ticks),
}

/// Connection to evict in favour of a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionCandidate {
    /// The connection with this index, at once.
    Connection(usize),
    /// The connection that has been idle for longest.
    LongestIdle,
    /// The connection that is not proven and has been idle for longest, as there are few proven ones.
    LongestIdleUnproven,
}

/// Number of responses drained at a good rate that prove a connection, however short they are: each counts for at least
/// this fraction of the proof.
const RESPONSES_TO_PROVE: usize = 16;

/// Client connections of a gateway, by index.
pub struct Connections {
    limits: Limits,
    connections: Vec<Connection>,
    free_ids: Vec<usize>,
    pools: [BufferPool; 2],
    eviction_order: EvictionOrder,
    response_sizes: ResponseSizes,
    message_pacer: MessagePacer,
    /// Indexes of the connections with unread responses, in no order.
    unread_connections: Vec<usize>,
    /// Number of connections by state.
    counts_by_state: [usize; 4],
    random: fastrand::Rng,
    evicted_total: u64,
    shed_total: u64,
}

impl Connections {
    /// Creates an empty table.
    ///
    /// `unreserved` bytes of a response need no reservation. `seed` is for the random part of retry times.
    pub fn new(
        limits: Limits,
        classes: usize,
        tenants: usize,
        unreserved: usize,
        seed: u64,
    ) -> Connections {
        let pool = BufferPool::new(tenants);
        Connections {
            limits,
            connections: Vec::new(),
            free_ids: Vec::new(),
            pools: [pool.clone(), pool],
            eviction_order: EvictionOrder::default(),
            response_sizes: ResponseSizes::new(classes, unreserved),
            message_pacer: MessagePacer::default(),
            unread_connections: Vec::new(),
            counts_by_state: [0; 4],
            random: fastrand::Rng::with_seed(seed),
            evicted_total: 0,
            shed_total: 0,
        }
    }

    /// Current limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Replaces the limits; bytes already held beyond them stay held.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Adds a connection and returns its index.
    pub fn open(&mut self) -> usize {
        let id = self.free_ids.pop().unwrap_or(self.connections.len());
        if id == self.connections.len() {
            self.connections.push(Connection::default());
        }
        self.counts_by_state[ConnectionState::Unproven as usize] += 1;
        id
    }

    /// Removes a connection and releases its held and reserved bytes.
    pub fn close(&mut self, id: usize) {
        self.clear_unread(id);
        self.eviction_order.remove(id);
        let connection = &mut self.connections[id];
        for (pool, share) in self.pools.iter_mut().zip(&mut connection.shares) {
            let BufferShare { held, reserved } = *share;
            pool.cancel_reservation(connection.state, connection.tenant, share, reserved);
            pool.release(connection.state, connection.tenant, share, held);
        }
        self.counts_by_state[connection.state as usize] -= 1;
        *connection = Connection::default();
        self.free_ids.push(id);
    }

    /// Records since when the client's system may hold bytes back; `None` if all that was sent has been read.
    pub fn set_held_back_since(&mut self, id: usize, since: Option<Ticks>) {
        self.connections[id].held_back_since = since;
    }

    /// Whether the client may have closed the connection too long ago for an attempt to start, unseen behind bytes that
    /// its system holds back.
    pub fn may_hide_close(&self, now: Ticks, id: usize) -> bool {
        self.connections[id].may_hide_close(now)
    }

    /// Decides whether a request is admitted.
    ///
    /// One of a client whose disconnect could not be seen is shed, whatever the limits.
    ///
    /// If so, the expected size of its response is reserved where the connection is not proven. `deadline` is the time
    /// until which an answer is due.
    pub fn admit(
        &mut self,
        now: Ticks,
        id: usize,
        class: usize,
        tenant: usize,
        deadline: Ticks,
    ) -> Admission {
        self.on_state_changed(id, self.connections[id].state, tenant);
        if self.may_hide_close(now, id) {
            return self.shed();
        }
        let connection = &mut self.connections[id];
        let pool = &mut self.pools[BufferKind::Response as usize];
        let share = &mut connection.shares[BufferKind::Response as usize];
        // A connection that has had responses is judged by their sizes, not by those of the whole request class.
        let expected = self.response_sizes.expected(connection.own_estimate, class);
        let expected = expected.min(self.limits.per_connection.saturating_sub(share.held));
        if self.limits.enabled && connection.state != ConnectionState::Proven {
            let unread = connection.outgoing.pending();
            let exceeds_limit = unread > 0 && unread + expected > self.limits.per_connection;
            let is_stalled = connection.state == ConnectionState::Stalled && unread > 0;
            let fits_pool = expected == 0
                || pool.can_hold(
                    &self.limits,
                    connection.state,
                    tenant,
                    share,
                    expected,
                    true,
                );
            if exceeds_limit || is_stalled || !fits_pool {
                return self.shed();
            }
            pool.reserve(connection.state, tenant, share, expected);
        }
        connection.answer_due_until = connection.answer_due_until.max(deadline);
        connection.class = class;
        self.update_rank(now, id);
        Admission::Admit
    }

    /// Records a handled message, and returns what the connection does before its next one.
    ///
    /// `timer_delay` is how much longer than asked its last wait took, in ticks.
    pub fn on_message_handled(
        &mut self,
        now: Ticks,
        id: usize,
        message: HandledMessage,
        timer_delay: Ticks,
    ) -> Pace {
        let allowance = &mut self.connections[id].messages;
        let pace = self
            .message_pacer
            .on_message(now, allowance, message, timer_delay);
        match pace {
            // Without limits a turn still ends, so that other tasks run.
            Pace::Wait(_) if !self.limits.enabled => Pace::Yield,
            pace => pace,
        }
    }

    /// Number of turns that connections beyond their allowance of messages have taken.
    pub fn message_turns(&self) -> u64 {
        self.message_pacer.turns()
    }

    /// Sheds a request; the time to retry after varies, so that those shed together do not come back together.
    fn shed(&mut self) -> Admission {
        self.shed_total += 1;
        let retry_after = self.limits.retry_after.max(1);
        Admission::Shed(retry_after + self.random.i64(0..=retry_after))
    }

    /// Tries to hold `bytes` more for a connection; returns whether they are held.
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
                // A growing response raises the estimate of its class before it is complete.
                self.response_sizes
                    .record_partial(connection.class, share.held);
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

    /// Records that a response of `bytes`, due until `deadline`, starts to be sent.
    ///
    /// The connection's reservation is cancelled. `class` is the request class of a response that is a row, `None` for
    /// an error.
    pub fn on_response_started(
        &mut self,
        now: Ticks,
        id: usize,
        class: Option<usize>,
        bytes: usize,
        deadline: Ticks,
    ) {
        let (connection, pool) = (
            &mut self.connections[id],
            &mut self.pools[BufferKind::Response as usize],
        );
        let share = &mut connection.shares[BufferKind::Response as usize];
        let reserved = share.reserved;
        pool.cancel_reservation(connection.state, connection.tenant, share, reserved);
        if let Some(class) = class {
            self.response_sizes
                .record(&mut connection.own_estimate, class, bytes);
        }
        connection.sends_row =
            class.is_some() || (connection.sends_row && connection.outgoing.pending() > 0);
        connection.outgoing.add_pending(now, bytes);
        connection.answer_due_until = deadline;
    }

    /// Records that the client has read all of its responses.
    pub fn on_response_drained(&mut self, now: Ticks, id: usize) -> Action {
        self.on_response_progress(now, id, 0)
    }

    /// Records that all but `bytes` of the responses were read.
    pub fn on_response_progress(&mut self, now: Ticks, id: usize, bytes: usize) -> Action {
        let connection = &mut self.connections[id];
        if connection.outgoing.pending() == 0 {
            return Action::Keep;
        }
        connection.outgoing.set_pending(now, bytes);
        let small = connection.outgoing.pending() <= self.limits.small_message;
        // Errors are no proof: they would prove a client that is shed again and again.
        let earned_credit = if connection.sends_row {
            connection
                .outgoing
                .transferred()
                .max(self.limits.proof_bytes.div_ceil(RESPONSES_TO_PROVE))
        } else {
            0
        };
        let assessment = state::assess(
            &connection.outgoing,
            now,
            &self.limits,
            connection.proof_credit + earned_credit,
            small,
        );
        connection.proof_credit = match assessment {
            TransferAssessment::DrainedInconclusive
                if state::has_good_mean_rate(&connection.outgoing, now, &self.limits) =>
            {
                connection.proof_credit + earned_credit
            }
            TransferAssessment::TooEarly
            | TransferAssessment::Good
            | TransferAssessment::DrainedInconclusive => connection.proof_credit,
            TransferAssessment::DrainedFast
            | TransferAssessment::Marginal
            | TransferAssessment::BelowMinimum
            | TransferAssessment::Stopped => 0,
        };
        let answer_due = now < connection.answer_due_until;
        let action = self.apply_assessment(id, assessment, answer_due);
        match (bytes, self.connections[id].unread_index) {
            (0, _) => self.clear_unread(id),
            (_, None) => {
                self.connections[id].unread_index = Some(self.unread_connections.len());
                self.unread_connections.push(id);
            }
            _ => {}
        }
        self.update_rank(now, id);
        action
    }

    /// Records received bytes of an incomplete message.
    pub fn on_bytes_received(&mut self, now: Ticks, id: usize, bytes: usize) {
        self.connections[id].incoming.on_bytes_received(now, bytes);
    }

    /// Excludes a span in which the gateway did not read from the connection, for lack of buffer.
    pub fn exclude_wait(&mut self, id: usize, span: Ticks) {
        let connection = &mut self.connections[id];
        connection.incoming.exclude_wait(span);
        connection.incoming_wait += span;
    }

    /// Records that the message that is being received is complete.
    pub fn on_message_complete(&mut self, id: usize) {
        let connection = &mut self.connections[id];
        connection.incoming.clear();
        connection.incoming_wait = 0;
        if self.eviction_order.rank(id) == Some(EvictionRank::IncompleteMessage) {
            self.eviction_order.remove(id);
        }
    }

    /// Time of the next check of an incomplete message; `None` if the connection is to be evicted.
    ///
    /// A message is not checked before its grace has passed, in which waits for a buffer do not count. A client that has
    /// stopped gets its error in time all the same: after such a wait it is only asked whether it still sends.
    pub fn incomplete_message_deadline(&mut self, now: Ticks, id: usize) -> Option<Ticks> {
        let connection = &self.connections[id];
        let grace_ends = now - connection.incoming.age(now) + self.limits.grace;
        if connection.incoming.pending() == 0 || now < grace_ends {
            return connection
                .stopped_after_wait_at(&self.limits, now, grace_ends)
                .map(|at| at.max(now + 1));
        }
        let assessment = state::assess(&connection.incoming, now, &self.limits, 0, false);
        if !self.limits.enabled || self.apply_assessment(id, assessment, false) == Action::Evict {
            return None;
        }
        if self.eviction_order.rank(id).is_none() {
            self.eviction_order
                .insert(id, EvictionRank::IncompleteMessage);
        }
        Some(now + crate::throughput::WINDOW)
    }

    fn apply_assessment(
        &mut self,
        id: usize,
        assessment: TransferAssessment,
        answer_due: bool,
    ) -> Action {
        if !self.limits.enabled {
            return Action::Keep;
        }
        let (next, action) = state::next_state(self.connections[id].state, assessment, answer_due);
        self.on_state_changed(id, next, self.connections[id].tenant);
        if action == Action::Evict {
            self.evicted_total += 1;
        }
        action
    }

    /// Moves a connection, with its held and reserved bytes, to a state and tenant.
    fn on_state_changed(&mut self, id: usize, state: ConnectionState, tenant: usize) {
        let connection = &mut self.connections[id];
        let (old, new) = ((connection.state, connection.tenant), (state, tenant));
        if old == new {
            return;
        }
        self.counts_by_state[old.0 as usize] -= 1;
        self.counts_by_state[state as usize] += 1;
        for (pool, share) in self.pools.iter_mut().zip(&connection.shares) {
            pool.on_state_changed(old, new, share);
        }
        (connection.state, connection.tenant) = new;
    }

    /// Updates the rank of a connection in the eviction order.
    fn update_rank(&mut self, now: Ticks, id: usize) {
        let connection = &self.connections[id];
        if connection.outgoing.pending() > 0 && connection.is_answer_lost(now) {
            let rank = match connection.state {
                ConnectionState::Stalled => EvictionRank::StalledPastDeadline,
                ConnectionState::Slow => EvictionRank::SlowPastDeadline,
                ConnectionState::Unproven | ConnectionState::Proven => EvictionRank::PastDeadline,
            };
            self.eviction_order.insert(id, rank);
        } else if self.eviction_order.rank(id) != Some(EvictionRank::IncompleteMessage) {
            self.eviction_order.remove(id);
        }
    }

    /// Clears the unread bytes of a connection.
    fn clear_unread(&mut self, id: usize) {
        let connection = &mut self.connections[id];
        connection.outgoing.clear();
        if let Some(index) = connection.unread_index.take() {
            self.unread_connections.swap_remove(index);
            if let Some(moved) = self.unread_connections.get(index) {
                self.connections[*moved].unread_index = Some(index);
            }
        }
    }

    /// Connection to evict in favour of a new one; a connection that is returned by its index counts as evicted.
    pub fn eviction_candidate(&mut self) -> EvictionCandidate {
        if !self.limits.enabled {
            return EvictionCandidate::LongestIdle;
        }
        if let Some(first) = self.eviction_order.first() {
            // Removed, so that it is returned only once: the gateway closes it now.
            self.eviction_order.remove(first);
            self.evicted_total += 1;
            return EvictionCandidate::Connection(first);
        }
        let proven = self.counts_by_state[ConnectionState::Proven as usize];
        if proven > self.limits.protected_connections {
            EvictionCandidate::LongestIdle
        } else {
            EvictionCandidate::LongestIdleUnproven
        }
    }

    /// Indexes of the connections with unread responses, in no order.
    pub fn unread_connections(&self) -> &[usize] {
        &self.unread_connections
    }

    /// Number of response bytes that the client has not read yet.
    pub fn unread(&self, id: usize) -> usize {
        self.connections[id].outgoing.pending()
    }

    /// State of a connection.
    pub fn state(&self, id: usize) -> ConnectionState {
        self.connections[id].state
    }

    /// Rate in bytes a second, number of pending bytes, and age in ticks of the transfer in progress.
    ///
    /// Refers to the outgoing responses where any are unread, else to the incoming request.
    pub fn metrics(&self, now: Ticks, id: usize) -> (u64, usize, Ticks) {
        let connection = &self.connections[id];
        let meter = if connection.outgoing.pending() > 0 {
            &connection.outgoing
        } else {
            &connection.incoming
        };
        let held =
            connection.outgoing.pending() + connection.shares[BufferKind::Request as usize].held;
        (meter.rate(now), held, meter.age(now))
    }

    /// Buffer bytes held for requests or for responses.
    pub fn pool(&self, kind: BufferKind) -> &BufferPool {
        &self.pools[kind as usize]
    }

    /// Number of connections by state, in the order of [`ConnectionState::ALL`].
    pub fn counts_by_state(&self) -> [usize; 4] {
        self.counts_by_state
    }

    /// Number of connections evicted and of requests shed since the start.
    pub fn evicted_and_shed(&self) -> (u64, u64) {
        (self.evicted_total, self.shed_total)
    }
}
