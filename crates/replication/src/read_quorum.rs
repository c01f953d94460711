//! The quorum read of one record: collects the replies of its replicas and merges them into a result.
//!
//! # Invariants
//!
//! A reply counts towards a quorum only if the replica has the storage id by which the layout names it. A replica that
//! has lost its storage does not count as one without the record.

use std::collections::{BTreeMap, BTreeSet};

use crate::Ticks;
use crate::placement::{ReplicaId, ReplicationFactor};
use crate::record::Record;
use crate::write_quorum::ReplicaSet;

/// A replica's reply to the read of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReply {
    /// The replica's record, if it has one.
    pub record: Option<Record>,
    /// Records acknowledged up to this time may have been evicted at the replica, or lost.
    pub low_watermark: Ticks,
    /// The replica can't account for a member, which may be serving without a quorum. The record is merged, but the
    /// reply counts towards no quorum.
    pub partitioned: bool,
}

/// The result of a read by the replies so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// No quorum has replied yet, and one still can.
    Pending,
    /// A quorum has replied: all that was acknowledged is in the merged record, or is older than the low watermark.
    Exact(Option<Record>, Ticks),
    /// No quorum can be reached any more; the merged record of the replies may lack acknowledged writes.
    QuorumUnreachable(Option<Record>),
}

/// The reply of a member; `reply` is none if the member can't be queried.
#[derive(Clone, Debug)]
struct MemberReply {
    storage_id: u64,
    reply: Option<ReplicaReply>,
}

/// A quorum read in progress.
#[derive(Clone, Debug)]
pub struct ReadQuorum {
    layouts: Vec<ReplicaSet>,
    replies: BTreeMap<String, MemberReply>,
}

impl ReadQuorum {
    /// Starts a read at the replicas in each layout in force.
    #[must_use]
    pub fn new(layouts: Vec<ReplicaSet>) -> ReadQuorum {
        ReadQuorum {
            layouts,
            replies: BTreeMap::new(),
        }
    }

    /// Adds a replica's reply, none if it can't be queried, and returns the status that follows.
    pub fn on_reply(&mut self, replica: &ReplicaId, reply: Option<ReplicaReply>) -> ReadStatus {
        let mut replicas = self.layouts.iter().flatten();
        if replicas.any(|other| other.name == replica.name) {
            // Records only grow by merges, so a later reply replaces an earlier one without loss.
            let storage_id = replica.storage_id;
            self.replies
                .insert(replica.name.clone(), MemberReply { storage_id, reply });
        }
        self.status()
    }

    /// The merged record of all replies, including those that count towards no quorum; none if no reply has one.
    #[must_use]
    pub fn merged(&self) -> Option<Record> {
        let replies = self.replies.values().filter_map(|r| r.reply.as_ref());
        let mut records = replies.filter_map(|reply| reply.record.as_ref());
        let mut merged = records.next()?.clone();
        for record in records {
            merged.merge(record);
        }
        Some(merged)
    }

    /// The names of the members whose record differs from the merged one.
    pub fn stale_replicas<'a>(&'a self, merged: &'a Record) -> impl Iterator<Item = &'a String> {
        let is_stale = move |reply: &ReplicaReply| reply.record.as_ref() != Some(merged);
        let stale = self
            .replies
            .iter()
            .filter(move |(_, member)| member.reply.as_ref().is_some_and(is_stale));
        stale.map(|(name, _)| name)
    }

    /// Whether a replica has replied that it can't account for some member.
    #[must_use]
    pub fn has_partitioned_reply(&self) -> bool {
        let mut replies = self.replies.values().filter_map(|r| r.reply.as_ref());
        replies.any(|reply| reply.partitioned)
    }

    /// The names of the replicas that have not replied, in order.
    #[must_use]
    pub fn missing_replies(&self) -> Vec<String> {
        let names = self.layouts.iter().flatten().map(|replica| &replica.name);
        let missing: BTreeSet<&String> = names
            .filter(|name| !self.replies.contains_key(*name))
            .collect();
        missing.into_iter().cloned().collect()
    }

    /// Evaluates the replies so far. A quorum of each layout in force is needed.
    #[must_use]
    pub fn status(&self) -> ReadStatus {
        let (mut has_quorum, mut can_reach_quorum) = (!self.layouts.is_empty(), true);
        let mut low_watermark = 0;
        for replicas in &self.layouts {
            let quorum = ReplicationFactor::quorum(replicas.len());
            let counted: Vec<&ReplicaReply> = replicas
                .iter()
                .filter_map(|replica| self.counted_reply(replica))
                .collect();
            let outstanding = replicas
                .iter()
                .filter(|replica| !self.replies.contains_key(&replica.name))
                .count();
            has_quorum &= counted.len() >= quorum && !replicas.is_empty();
            can_reach_quorum &= counted.len() + outstanding >= quorum;
            for reply in counted {
                low_watermark = low_watermark.max(reply.low_watermark);
            }
        }
        match (has_quorum, can_reach_quorum) {
            (true, _) => ReadStatus::Exact(self.merged(), low_watermark),
            (false, true) => ReadStatus::Pending,
            (false, false) => ReadStatus::QuorumUnreachable(self.merged()),
        }
    }

    /// The reply of a replica if it counts towards a quorum.
    fn counted_reply(&self, replica: &ReplicaId) -> Option<&ReplicaReply> {
        let member = self.replies.get(&replica.name)?;
        let same_storage = member.storage_id == replica.storage_id
            || leverpoint_failpoint::failpoint_active("empty-memory-counts");
        let reply = member.reply.as_ref().filter(|_| same_storage);
        reply.filter(|reply| !reply.partitioned)
    }
}
