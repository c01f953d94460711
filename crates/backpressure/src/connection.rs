//! What is known of one client connection, and the judgements that need nothing else.

use crate::Ticks;
use crate::buffer_pool::BufferShare;
use crate::limits::Limits;
use crate::message_pacing::MessageAllowance;
use crate::state::ConnectionState;
use crate::throughput::ThroughputMeter;

/// Time after which an attempt must not start for a client whose close could not be seen, in ticks. An attempt that begins
/// over 0.1 s after its client's close is a lost request; the rest is left for a held-up process and the network.
const MAX_UNSEEN_CLOSE: Ticks = 500;

/// Time after its deadline within which an answer still counts as given, in ticks; later it counts as lost.
const LATE_ANSWER_GRACE: Ticks = 5_000;

/// A client connection, as the table of all connections keeps it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connection {
    pub(crate) state: ConnectionState,
    pub(crate) tenant: usize,
    /// Class of the last admitted request.
    pub(crate) class: usize,
    /// Throughput of outgoing responses.
    pub(crate) outgoing: ThroughputMeter,
    /// Throughput of incoming requests.
    pub(crate) incoming: ThroughputMeter,
    /// Time in which the gateway did not read the message that is being received, for lack of buffer.
    pub(crate) incoming_wait: Ticks,
    /// Buffer bytes by [`BufferKind`](crate::connections::BufferKind).
    pub(crate) shares: [BufferShare; 2],
    /// Bytes drained at a good rate since the connection was last proven or fell below a good rate.
    pub(crate) proof_credit: usize,
    /// Whether the outgoing bytes include a row.
    pub(crate) sends_row: bool,
    /// Estimated size of the connection's responses, in bytes; `None` before the first of them.
    pub(crate) own_estimate: Option<usize>,
    /// Time until which a complete, final answer is due to the client.
    pub(crate) answer_due_until: Ticks,
    /// Since when the client's system may hold bytes back, so that a close behind them is not seen.
    pub(crate) held_back_since: Option<Ticks>,
    /// Allowance for messages that lead to no request.
    pub(crate) messages: MessageAllowance,
    /// Index of the connection in `unread_connections`.
    pub(crate) unread_index: Option<usize>,
}

impl Connection {
    /// Time of the next check of an incomplete message within its grace; `None` if the gateway has waited for a buffer,
    /// the grace has passed with that wait, and the client has sent nothing for the stall timeout.
    pub(crate) fn stopped_after_wait_at(
        &self,
        limits: &Limits,
        now: Ticks,
        grace_ends: Ticks,
    ) -> Option<Ticks> {
        if self.incoming_wait == 0 || self.incoming.pending() == 0 {
            return Some(grace_ends);
        }
        let stopped_at = now - self.incoming.idle_for(now) + limits.stall_timeout;
        let with_wait = grace_ends - self.incoming_wait;
        let check_at = stopped_at.max(with_wait).min(grace_ends);
        (now < check_at).then_some(check_at)
    }

    /// Whether an answer that the client has not read by now counts as lost, so that the connection may be evicted for
    /// another one.
    pub(crate) fn is_answer_lost(&self, now: Ticks) -> bool {
        now >= self.answer_due_until + LATE_ANSWER_GRACE
    }

    /// Whether the client may have closed the connection too long ago for an attempt to start, unseen behind bytes that
    /// its system holds back.
    pub(crate) fn may_hide_close(&self, now: Ticks) -> bool {
        self.held_back_since
            .is_some_and(|since| now - since > MAX_UNSEEN_CLOSE)
    }
}
