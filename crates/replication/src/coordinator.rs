//! Coordinator of this member's own writes and reads: passes replies, layout changes and ticks on to the write and read
//! coordinators, which share the outbound queues.

use std::collections::BTreeSet;

use crate::Ticks;
use crate::member_state::MemberState;
use crate::message::Message;
use crate::outbound_queue::{Batch, OperationId, OutboundQueues};
use crate::pending_write::WriteOutcome;
use crate::placement::ReplicaId;
use crate::read_coordinator::{ReadCoordinator, ReadRequest};
use crate::record::{Record, RecordKey};
use crate::status::QueueSizes;
use crate::write_coordinator::{WriteCoordinator, WriteRequest};

/// The member's state and queues, lent to a write or read coordinator for one call.
pub(crate) struct Context<'a> {
    pub(crate) state: &'a mut MemberState,
    pub(crate) queues: &'a mut OutboundQueues,
    pub(crate) now: Ticks,
}

/// The writes and reads of this member. Both take their operation ids from one sequence.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    writes: WriteCoordinator,
    reads: ReadCoordinator,
    queues: OutboundQueues,
    last_operation: OperationId,
}

impl Coordinator {
    pub(crate) fn queue_sizes(&self) -> QueueSizes {
        QueueSizes {
            pending: self.writes.len() + self.reads.len(),
            open_writes: self.writes.open_len(),
            hinted: self.queues.hinted(),
            queued: self.queues.queued(),
        }
    }

    fn next_operation(&mut self) -> OperationId {
        self.last_operation += 1;
        self.last_operation
    }

    /// Starts a write: queues its records for their replicas. A [`crate::Completion`] follows.
    pub(crate) fn begin_write(
        &mut self,
        state: &mut MemberState,
        now: Ticks,
        request: WriteRequest,
    ) {
        let id = self.next_operation();
        let ctx = &mut Context {
            state,
            queues: &mut self.queues,
            now,
        };
        self.writes.begin(ctx, id, request);
    }

    /// Ends a write with its outcome, and a read of the same ticket if one is pending.
    pub(crate) fn finish_write(
        &mut self,
        state: &mut MemberState,
        now: Ticks,
        ticket: u64,
        outcome: WriteOutcome,
    ) {
        let ctx = &mut Context {
            state,
            queues: &mut self.queues,
            now,
        };
        self.reads.cancel(ticket);
        self.writes.finish(ctx, ticket, outcome);
    }

    /// Starts a read at a quorum of replicas. A [`crate::Completion`] follows.
    pub(crate) fn begin_read(&mut self, state: &mut MemberState, now: Ticks, request: ReadRequest) {
        let id = self.next_operation();
        let ctx = &mut Context {
            state,
            queues: &mut self.queues,
            now,
        };
        self.reads.begin(ctx, id, request);
    }

    /// Sends a record to its replicas in all layouts in force, without a completion.
    pub(crate) fn publish(&mut self, state: &mut MemberState, now: Ticks, record: &Record) {
        self.queues.publish(state, now, record);
    }

    /// Counts this member as a replica that has persisted the record of one of its own operations.
    pub(crate) fn on_persisted_locally(
        &mut self,
        state: &mut MemberState,
        now: Ticks,
        id: OperationId,
        key: RecordKey,
    ) {
        let ctx = &mut Context {
            state,
            queues: &mut self.queues,
            now,
        };
        self.writes.on_persisted_locally(ctx, id, key);
    }

    /// Clears the writes that have waited until the storage is marked as degraded.
    pub(crate) fn clear_awaiting_marker(&mut self, state: &mut MemberState, now: Ticks) {
        let ctx = &mut Context {
            state,
            queues: &mut self.queues,
            now,
        };
        self.writes.clear_awaiting_marker(ctx);
    }

    /// Handles a replica's reply. Returns false if it answers no request of the outbound queues.
    pub(crate) fn on_reply(
        &mut self,
        state: &mut MemberState,
        now: Ticks,
        replica: &ReplicaId,
        request_id: u32,
        message: &Message,
    ) -> bool {
        let Some(batch) = self.queues.take_answered(now, &replica.name, request_id) else {
            return false;
        };
        let ctx = &mut Context {
            state,
            queues: &mut self.queues,
            now,
        };
        match (message, batch) {
            (
                Message::WriteAcknowledged {
                    merged,
                    low_watermark,
                    partitioned,
                },
                Batch::Writes(batch),
            ) => {
                let lost_until = if *partitioned { now } else { *low_watermark };
                self.writes
                    .on_batch_acknowledged(ctx, replica, &batch, merged, lost_until);
            }
            (Message::ReadReply { replies }, Batch::Reads(batch)) => {
                for (queued, reply) in batch.iter().zip(replies) {
                    self.reads
                        .on_reply(ctx, queued.operation, replica, Some(reply.clone()));
                }
            }
            // A reply of the other kind completes nothing; the operations time out.
            (Message::WriteAcknowledged { .. } | Message::ReadReply { .. }, _) => {}
            (_, batch) => self.on_batch_failed(state, now, &replica.name, batch),
        }
        self.queues.flush(state, now);
        true
    }

    /// Fails the operations of a request that a replica has rejected or not answered in time; records become hints.
    fn on_batch_failed(&mut self, state: &mut MemberState, now: Ticks, name: &str, batch: Batch) {
        let ctx = &mut Context {
            state,
            queues: &mut self.queues,
            now,
        };
        match batch {
            Batch::Writes(batch) => {
                for queued in batch {
                    let key = queued.record.key;
                    ctx.queues.store_hint(ctx.state, name, &queued.record);
                    for replica in ctx.state.layout_history.replicas_named(key, name) {
                        self.writes
                            .on_rejected(ctx, queued.operation, key, &replica);
                    }
                }
            }
            Batch::Reads(batch) => {
                for queued in batch {
                    for replica in ctx.state.layout_history.replicas_named(queued.key, name) {
                        self.reads.on_reply(ctx, queued.operation, &replica, None);
                    }
                }
            }
        }
    }

    /// Sends the hints stored for a replica that is in touch again.
    pub(crate) fn on_peer_in_touch(&mut self, state: &mut MemberState, now: Ticks, name: &str) {
        self.queues.send_hints(state, now, name);
    }

    fn operations(&self) -> Vec<OperationId> {
        let operations = self.writes.operations().chain(self.reads.operations());
        let mut operations: Vec<OperationId> = operations.collect();
        operations.sort_unstable();
        operations
    }

    /// Adapts to a change of the layouts in force: pending writes also need a quorum of the newest, pending reads are
    /// restarted.
    pub(crate) fn on_layout_changed(&mut self, state: &mut MemberState, now: Ticks) {
        let newest = state.layout_history.layouts().count().saturating_sub(1);
        for id in self.operations() {
            if let Some(request) = self.reads.take_for_restart(now, id) {
                self.begin_read(state, now, request);
                continue;
            }
            let ctx = &mut Context {
                state,
                queues: &mut self.queues,
                now,
            };
            self.writes.on_layout_added(ctx, id, newest);
        }
        let members: BTreeSet<String> = state
            .layout_history
            .layouts()
            .flat_map(|layout| layout.holders.iter().map(|holder| holder.name.clone()))
            .collect();
        self.queues.retain_members(&members);
    }

    /// When [`Coordinator::tick`] is due next; none while no operation has a deadline.
    pub(crate) fn next_deadline(&self) -> Option<Ticks> {
        let writes = self.writes.next_deadline();
        writes.into_iter().chain(self.reads.next_deadline()).min()
    }

    /// Sends slow operations to further replicas, fails requests that have timed out and sends hints that are due.
    pub(crate) fn tick(&mut self, state: &mut MemberState, now: Ticks) {
        self.reads.set_last_tick(now);
        for id in self.operations() {
            let ctx = &mut Context {
                state,
                queues: &mut self.queues,
                now,
            };
            self.writes.tick(ctx, id);
            self.reads.tick(ctx, id);
        }
        for (name, request_id) in self.queues.timed_out(now, state.leases.length()) {
            if let Some(batch) = self.queues.take_failed(&name, request_id) {
                self.on_batch_failed(state, now, &name, batch);
            }
        }
        self.queues.send_due_hints(state, now);
        self.queues.flush(state, now);
        let ctx = &mut Context {
            state,
            queues: &mut self.queues,
            now,
        };
        self.writes.check_quorum_restored(ctx);
    }
}
