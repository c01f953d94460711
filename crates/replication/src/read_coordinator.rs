//! Coordinates this member's reads of records: which replicas to query, when a quorum has replied, and which
//! replication position a session's read requires.

use std::collections::{BTreeMap, BTreeSet};

use crate::Ticks;
use crate::action::{Action, Completion, InexactReadCause, ReplicationEvent};
use crate::coordinator::Context;
use crate::message::RecordReply;
use crate::outbound_queue::{Delivery, OperationId};
use crate::placement::{ReplicaId, ReplicationFactor};
use crate::read_quorum::{ReadQuorum, ReadStatus, ReplicaReply};
use crate::record::{OpenWrites, Record, RecordKey, RecordValue, SessionWrites};
use crate::request_handler;
use crate::write_quorum::ReplicaSet;

/// The parameters of a read of one record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadRequest {
    pub(crate) ticket: u64,
    pub(crate) key: RecordKey,
    pub(crate) timeout: Ticks,
}

#[derive(Debug)]
struct PendingRead {
    ticket: u64,
    key: RecordKey,
    quorum: ReadQuorum,
    queried: BTreeSet<String>,
    /// When the replicas not queried yet are queried as well.
    slow_at: Ticks,
    deadline: Ticks,
}

/// The reads of this member that wait for replicas.
#[derive(Debug, Default)]
pub(crate) struct ReadCoordinator {
    pending: BTreeMap<OperationId, PendingRead>,
    last_tick: Ticks,
    /// When an inexact session read was last reported; at most one is reported per lease.
    inexact_reported_at: Option<Ticks>,
}

impl ReadCoordinator {
    /// The number of reads waiting for replicas.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// The ids of the waiting reads, ascending.
    pub(crate) fn operations(&self) -> impl Iterator<Item = OperationId> {
        self.pending.keys().copied()
    }

    /// The next time at which a read becomes slow or reaches its deadline.
    pub(crate) fn next_deadline(&self) -> Option<Ticks> {
        let deadline = |read: &PendingRead| {
            if read.slow_at > self.last_tick {
                read.slow_at
            } else {
                read.deadline
            }
        };
        self.pending.values().map(deadline).min()
    }

    /// Starts a read at a quorum of each layout in force.
    pub(crate) fn begin(&mut self, ctx: &mut Context<'_>, id: OperationId, request: ReadRequest) {
        let layouts = ctx.state.layout_history.replica_sets(request.key);
        let read = PendingRead {
            ticket: request.ticket,
            key: request.key,
            quorum: ReadQuorum::new(layouts.clone()),
            queried: BTreeSet::new(),
            slow_at: ctx.now + ctx.queues.slow_after(),
            deadline: ctx.now + request.timeout,
        };
        self.pending.insert(id, read);
        if !ctx.state.layout_history.is_known() {
            return self.finish(ctx, id);
        }
        let mut initial = BTreeSet::new();
        for replicas in &layouts {
            initial.extend(preferred_quorum(ctx, replicas));
        }
        self.query(ctx, id, request.key, initial);
    }

    /// Removes a read and returns the request that restarts it under another layout, with the time that it has left.
    pub(crate) fn take_for_restart(&mut self, now: Ticks, id: OperationId) -> Option<ReadRequest> {
        let read = self.pending.remove(&id)?;
        Some(ReadRequest {
            ticket: read.ticket,
            key: read.key,
            timeout: read.deadline - now,
        })
    }

    /// Removes the read of a ticket, if one is waiting.
    pub(crate) fn cancel(&mut self, ticket: u64) {
        self.pending.retain(|_, read| read.ticket != ticket);
    }

    /// Handles a replica's reply, none if the replica can't be queried.
    pub(crate) fn on_reply(
        &mut self,
        ctx: &mut Context<'_>,
        id: OperationId,
        replica: &ReplicaId,
        reply: Option<RecordReply>,
    ) {
        let Some(read) = self.pending.get_mut(&id) else {
            return;
        };
        let reply = reply.map(|reply| ReplicaReply {
            record: reply.record,
            low_watermark: reply.low_watermark,
            partitioned: reply.partitioned,
        });
        let not_counted = reply.as_ref().is_none_or(|reply| reply.partitioned);
        match read.quorum.on_reply(replica, reply) {
            ReadStatus::Pending if not_counted => self.query_all(ctx, id),
            ReadStatus::Pending => {}
            ReadStatus::Exact(..) | ReadStatus::QuorumUnreachable(_) => self.finish(ctx, id),
        }
    }

    /// Queries the remaining replicas of a slow read, and finishes one whose deadline has passed.
    pub(crate) fn tick(&mut self, ctx: &mut Context<'_>, id: OperationId) {
        match self.pending.get(&id) {
            Some(read) if ctx.now >= read.deadline => self.finish(ctx, id),
            Some(read) if ctx.now >= read.slow_at => self.query_all(ctx, id),
            _ => {}
        }
    }

    /// Records the time of a tick. Reads that are slow by then have been sent to all replicas by that tick.
    pub(crate) fn set_last_tick(&mut self, now: Ticks) {
        self.last_tick = now;
    }

    fn query_all(&mut self, ctx: &mut Context<'_>, id: OperationId) {
        let Some(read) = self.pending.get(&id) else {
            return;
        };
        let key = read.key;
        let replicas = ctx.state.layout_history.all_replicas(key);
        self.query(ctx, id, key, replicas);
    }

    fn query(
        &mut self,
        ctx: &mut Context<'_>,
        id: OperationId,
        key: RecordKey,
        replicas: BTreeSet<ReplicaId>,
    ) {
        for replica in replicas {
            let Some(read) = self.pending.get_mut(&id) else {
                return;
            };
            if !read.queried.insert(replica.name.clone()) {
                continue;
            }
            if ctx.state.is_local(&replica) {
                let reply = local_reply(ctx, key);
                self.on_reply(ctx, id, &replica, reply);
                continue;
            }
            let delivery = ctx.queues.offer_read(ctx.state, ctx.now, key, id, &replica);
            if delivery == Delivery::Rejected {
                self.on_reply(ctx, id, &replica, None);
            }
        }
        ctx.queues.flush(ctx.state, ctx.now);
    }

    fn finish(&mut self, ctx: &mut Context<'_>, id: OperationId) {
        let Some(read) = self.pending.remove(&id) else {
            return;
        };
        let status = read.quorum.status();
        if let ReadStatus::Exact(Some(record), _) = &status {
            repair_stale_replicas(ctx, &read, record);
        }
        let ticket = read.ticket;
        let completion = if matches!(read.key, RecordKey::Session(_)) {
            if !matches!(status, ReadStatus::Exact(..)) {
                self.report_inexact(ctx, &read.quorum, &status);
            }
            let position = session_position(ctx, status);
            Completion::SessionPosition { ticket, position }
        } else {
            let (record, exact) = match status {
                ReadStatus::Exact(record, _) => (record, true),
                _ => (read.quorum.merged(), false),
            };
            Completion::RecordRead {
                ticket,
                record,
                exact,
            }
        };
        ctx.state.actions.push(Action::Complete(completion));
    }

    /// Reports why a session's read has no exact position and so requires a server that is current by now.
    fn report_inexact(&mut self, ctx: &mut Context<'_>, quorum: &ReadQuorum, status: &ReadStatus) {
        let now = ctx.now;
        let interval = ctx.state.leases.length();
        if self
            .inexact_reported_at
            .is_some_and(|at| now - at < interval)
        {
            return;
        }
        self.inexact_reported_at = Some(now);
        let event = ReplicationEvent::ReadInexact(inexact_cause(ctx, quorum, status));
        ctx.state.actions.push(Action::Notify(event));
    }
}

/// Why the replies make no quorum.
fn inexact_cause(ctx: &Context<'_>, quorum: &ReadQuorum, status: &ReadStatus) -> InexactReadCause {
    if !ctx.state.layout_history.is_known() {
        return InexactReadCause::LayoutsUnknown;
    }
    if quorum.has_partitioned_reply() {
        let unaccounted = ctx.state.unaccounted_members(ctx.now);
        return InexactReadCause::MembersUnaccounted(unaccounted.map(str::to_owned).collect());
    }
    if *status == ReadStatus::Pending {
        return InexactReadCause::RepliesLate(quorum.missing_replies());
    }
    InexactReadCause::ReplicasUnreachable
}

/// A quorum of these replicas: this member first, then those in touch, then the others.
fn preferred_quorum(ctx: &Context<'_>, replicas: &ReplicaSet) -> Vec<ReplicaId> {
    let (state, now) = (&*ctx.state, ctx.now);
    let version = state.layout_history.version();
    let mut ordered: Vec<&ReplicaId> = replicas.iter().collect();
    ordered.sort_by_key(|replica| {
        let local = state.is_local(replica);
        let in_touch = local || state.leases.in_touch(now, &replica.name, version);
        (!local, !in_touch)
    });
    let quorum = ReplicationFactor::quorum(replicas.len());
    ordered.into_iter().take(quorum).cloned().collect()
}

/// This member's own reply; none if it does not act as a replica now.
fn local_reply(ctx: &Context<'_>, key: RecordKey) -> Option<RecordReply> {
    let version = ctx.state.layout_history.version();
    let is_active = ctx.state.reject_reason(ctx.now, version).is_none();
    is_active.then(|| request_handler::record_reply(ctx.state, ctx.now, &ctx.state.local.name, key))
}

/// Read repair: sends the merged record to the replicas that have replied with another one.
fn repair_stale_replicas(ctx: &mut Context<'_>, read: &PendingRead, record: &Record) {
    if !matches!(read.key, RecordKey::Session(_) | RecordKey::KeyedRequest(_)) {
        return;
    }
    let stale: Vec<&String> = read.quorum.stale_replicas(record).collect();
    let mut replicas = ctx.state.layout_history.all_replicas(read.key);
    replicas.retain(|replica| stale.contains(&&replica.name));
    ctx.state.counters.records_repaired += replicas.len() as u64;
    ctx.queues
        .send_record(ctx.state, ctx.now, record, &replicas);
}

/// The replication position that a session's read requires; none if it is not known exactly.
fn session_position(ctx: &mut Context<'_>, status: ReadStatus) -> Option<Ticks> {
    let position = match status {
        ReadStatus::Exact(record, low_watermark) => {
            required_position(ctx, record.as_ref(), low_watermark)
        }
        _ => None,
    };
    let position = position.map(|position| position.max(ctx.state.degraded.answered_until));
    ctx.state.counters.exact_reads += u64::from(position.is_some());
    ctx.state.counters.inexact_reads += u64::from(position.is_none());
    position
}

/// The position that a session's record requires; none while a write may be acknowledged whose position it lacks.
fn required_position(
    ctx: &mut Context<'_>,
    record: Option<&Record>,
    low_watermark: Ticks,
) -> Option<Ticks> {
    let Some(Record {
        key,
        value: RecordValue::Session(writes),
    }) = record
    else {
        return Some(low_watermark);
    };
    if !writes.has_open_writes() {
        return Some(low_watermark.max(writes.position));
    }
    let (state, now) = (&*ctx.state, ctx.now);
    let has_ended = |(writer, open): (&(u64, u32), &OpenWrites)| {
        !open.is_open() || state.has_write_ended(now, writer.0, open.begun_at)
    };
    if !writes.overflowed && writes.open_writes.iter().all(has_ended) {
        close_ended_writes(ctx, *key, writes);
    }
    None
}

/// Closes writes whose gateway has ended or whose time is up: if they were executed, then at a position before now.
fn close_ended_writes(ctx: &mut Context<'_>, key: RecordKey, writes: &SessionWrites) {
    let open = writes.open_writes.iter().filter(|(_, open)| open.is_open());
    let closed = open.map(|(writer, open)| {
        let closed = OpenWrites {
            last_finished: open.last_begun,
            ..*open
        };
        (*writer, closed)
    });
    let value = RecordValue::Session(SessionWrites {
        position: ctx.now + ctx.state.config.max_clock_skew,
        open_writes: closed.collect(),
        overflowed: false,
    });
    ctx.queues
        .publish(ctx.state, ctx.now, &Record { key, value });
}
