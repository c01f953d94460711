//! The quorum write of one record: a state machine with an explicit transition table, and the counting of replicas.
//!
//! # Invariants
//!
//! A write is acknowledged only once every read quorum of each layout in force includes a replica that has the record.
//! It is abandoned at its deadline at the latest.

use std::collections::BTreeSet;

use crate::Ticks;
use crate::placement::{ReplicaId, ReplicationFactor};

/// The state of a quorum write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteQuorumState {
    /// Sent to a quorum of replicas and one more.
    Sent,
    /// Sent to all replicas, because one is slow or has rejected it, or the layout has changed.
    SentToAll,
    /// A quorum of each layout in force has persisted the record. Final.
    Acknowledged,
    /// No quorum could be reached, or not before the deadline. Final.
    Abandoned,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteQuorumInput {
    /// A replica has acknowledged the record, which makes a quorum.
    QuorumReached,
    /// A replica has acknowledged the record, and more are needed for a quorum.
    BelowQuorum,
    /// A replica has rejected the record, and the others can still reach a quorum.
    ReplicaRejected,
    /// A replica has rejected the record, and the others are too few for a quorum.
    QuorumUnreachable,
    /// No quorum has acknowledged the record by the time after which a replica counts as slow.
    SlowReplica,
    /// The deadline has passed.
    TimedOut,
    /// A newer layout has come into force.
    LayoutChanged,
}

/// The effect of a transition, to be carried out by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteQuorumEffect {
    /// There is nothing to do.
    Nothing,
    /// Send the record to the replicas that it was not sent to yet.
    SendToAll,
    /// Report that a quorum has persisted the record.
    Acknowledge,
    /// Handle the write as one without a quorum.
    ProceedWithoutQuorum,
}

use WriteQuorumEffect::{Nothing, ProceedWithoutQuorum, SendToAll};
use WriteQuorumInput::{
    BelowQuorum, LayoutChanged, QuorumReached, QuorumUnreachable, ReplicaRejected, SlowReplica,
    TimedOut,
};
use WriteQuorumState::{Abandoned, Acknowledged, Sent, SentToAll};

struct Transition {
    state: WriteQuorumState,
    input: WriteQuorumInput,
    next: WriteQuorumState,
    effect: WriteQuorumEffect,
}

const fn entry(
    state: WriteQuorumState,
    input: WriteQuorumInput,
    next: WriteQuorumState,
    effect: WriteQuorumEffect,
) -> Transition {
    Transition {
        state,
        input,
        next,
        effect,
    }
}

/// The transition table. Pairs that are not listed keep the state and have no effect: the states acknowledged and
/// abandoned are final.
const TRANSITIONS: [Transition; 13] = [
    entry(
        Sent,
        QuorumReached,
        Acknowledged,
        WriteQuorumEffect::Acknowledge,
    ),
    entry(
        SentToAll,
        QuorumReached,
        Acknowledged,
        WriteQuorumEffect::Acknowledge,
    ),
    entry(Sent, BelowQuorum, Sent, Nothing),
    entry(SentToAll, BelowQuorum, SentToAll, Nothing),
    entry(Sent, ReplicaRejected, SentToAll, SendToAll),
    entry(SentToAll, ReplicaRejected, SentToAll, Nothing),
    entry(Sent, SlowReplica, SentToAll, SendToAll),
    entry(Sent, LayoutChanged, SentToAll, SendToAll),
    entry(SentToAll, LayoutChanged, SentToAll, SendToAll),
    entry(Sent, QuorumUnreachable, Abandoned, ProceedWithoutQuorum),
    entry(
        SentToAll,
        QuorumUnreachable,
        Abandoned,
        ProceedWithoutQuorum,
    ),
    entry(Sent, TimedOut, Abandoned, ProceedWithoutQuorum),
    entry(SentToAll, TimedOut, Abandoned, ProceedWithoutQuorum),
];

/// Looks up the transition for an input: the next state and its effect.
#[must_use]
pub fn next_state(
    state: WriteQuorumState,
    input: WriteQuorumInput,
) -> (WriteQuorumState, WriteQuorumEffect) {
    TRANSITIONS
        .iter()
        .find(|transition| transition.state == state && transition.input == input)
        .map_or((state, Nothing), |transition| {
            (transition.next, transition.effect)
        })
}

/// The replicas of a record in one layout, in order of preference.
pub type ReplicaSet = Vec<ReplicaId>;

/// A quorum write of one record.
#[derive(Clone, Debug)]
pub struct WriteQuorum {
    state: WriteQuorumState,
    /// The record's replicas in each layout in force, oldest layout first.
    layouts: Vec<ReplicaSet>,
    acknowledged: BTreeSet<ReplicaId>,
    rejected: BTreeSet<ReplicaId>,
    recipients: BTreeSet<ReplicaId>,
    /// When the record is sent to all replicas if no quorum has acknowledged it.
    slow_at: Ticks,
    deadline: Ticks,
}

impl WriteQuorum {
    /// Starts a write under one layout; [`WriteQuorum::recipients`] names the replicas to send it to.
    #[must_use]
    pub fn new(replicas: ReplicaSet, slow_at: Ticks, deadline: Ticks) -> WriteQuorum {
        WriteQuorum::across_layouts(vec![replicas], slow_at, deadline)
    }

    /// Starts a write under all layouts in force. Its first recipients are a quorum of each layout and one more.
    #[must_use]
    pub fn across_layouts(
        layouts: Vec<ReplicaSet>,
        slow_at: Ticks,
        deadline: Ticks,
    ) -> WriteQuorum {
        let recipients = layouts.iter().flat_map(|replicas| {
            // One more than a quorum, so that a single slow replica does not delay the write.
            let initial_count = ReplicationFactor::quorum(replicas.len()) + 1;
            replicas.iter().take(initial_count).cloned()
        });
        let recipients = recipients.collect();
        WriteQuorum {
            state: Sent,
            layouts,
            acknowledged: BTreeSet::new(),
            rejected: BTreeSet::new(),
            recipients,
            slow_at,
            deadline,
        }
    }

    /// Whether a replica has acknowledged or rejected the record.
    #[must_use]
    pub fn has_answered(&self, replica: &ReplicaId) -> bool {
        self.acknowledged.contains(replica) || self.rejected.contains(replica)
    }

    /// The current state.
    #[must_use]
    pub fn state(&self) -> WriteQuorumState {
        self.state
    }

    /// The replicas to which the record has been, or is to be, sent by now.
    pub fn recipients(&self) -> impl Iterator<Item = &ReplicaId> {
        self.recipients.iter()
    }

    fn has_quorum(&self) -> bool {
        let has_quorum_in_layout = |replicas: &ReplicaSet| {
            let acknowledged = replicas.iter().filter(|r| self.acknowledged.contains(r));
            let quorum = ReplicationFactor::quorum(replicas.len());
            !replicas.is_empty() && acknowledged.count() >= quorum
        };
        !self.layouts.is_empty() && self.layouts.iter().all(has_quorum_in_layout)
    }

    fn can_reach_quorum(&self) -> bool {
        let can_reach_in_layout = |replicas: &ReplicaSet| {
            let remaining = replicas.iter().filter(|r| !self.rejected.contains(r));
            remaining.count() >= ReplicationFactor::quorum(replicas.len())
        };
        self.layouts.iter().all(can_reach_in_layout)
    }

    fn transition(&mut self, input: WriteQuorumInput) -> WriteQuorumEffect {
        let (next, effect) = next_state(self.state, input);
        self.state = next;
        if effect == SendToAll {
            self.recipients
                .extend(self.layouts.iter().flatten().cloned());
        }
        effect
    }

    /// Counts a replica that has persisted the record; ignored if no layout in force names it with its storage id.
    pub fn on_acknowledged(&mut self, replica: &ReplicaId) -> WriteQuorumEffect {
        if !self.layouts.iter().flatten().any(|other| other == replica) {
            return Nothing;
        }
        self.rejected.remove(replica);
        self.acknowledged.insert(replica.clone());
        let input = if self.has_quorum() {
            QuorumReached
        } else {
            BelowQuorum
        };
        self.transition(input)
    }

    /// Counts a replica that can't persist the record now: overloaded, leaving, under another layout, or unreachable.
    pub fn on_rejected(&mut self, replica: &ReplicaId) -> WriteQuorumEffect {
        if self.acknowledged.contains(replica) {
            return Nothing;
        }
        self.rejected.insert(replica.clone());
        let input = if self.can_reach_quorum() {
            ReplicaRejected
        } else {
            QuorumUnreachable
        };
        self.transition(input)
    }

    /// Adds a newer layout to those in force: a quorum of its replicas is needed as well.
    pub fn on_layout_added(&mut self, replicas: ReplicaSet) -> WriteQuorumEffect {
        self.layouts.push(replicas);
        self.transition(LayoutChanged)
    }

    /// Abandons the write at its deadline, and has it sent to all replicas once it is slow.
    pub fn tick(&mut self, now: Ticks) -> WriteQuorumEffect {
        if now >= self.deadline {
            self.transition(TimedOut)
        } else if now >= self.slow_at {
            self.transition(SlowReplica)
        } else {
            Nothing
        }
    }

    /// When [`WriteQuorum::tick`] is due next; none once the write is acknowledged or abandoned.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Ticks> {
        match self.state {
            Sent => Some(self.slow_at.min(self.deadline)),
            SentToAll => Some(self.deadline),
            Acknowledged | Abandoned => None,
        }
    }
}
