//! A quorum read of one record: the replies of its replicas, and what they come to together.
//!
//! # Invariants
//!
//! A replica counts only with the memory that a layout names it with: a memory that was lost is not an empty one.

use std::collections::{BTreeMap, BTreeSet};

use crate::Ticks;
use crate::placement::{ReplicaId, ReplicationFactor};
use crate::record::Record;
use crate::write_quorum::ReplicaSet;

/// What one replica says of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReply {
    /// The record, if it has one.
    pub record: Option<Record>,
    /// What was acknowledged up to then may have been evicted there, or lost.
    pub low_watermark: Ticks,
    /// It can't account for a member that may be serving without a quorum: its record is merged, and it counts in no
    /// quorum.
    pub partitioned: bool,
}

/// What the replies come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// A quorum has not replied yet, and may.
    Pending,
    /// All that was acknowledged is in the record, or lies before the low watermark.
    Exact(Option<Record>, Ticks),
    /// A quorum can't be had; this much is known.
    QuorumUnreachable(Option<Record>),
}

/// The reply of a member; none where it can't be asked.
#[derive(Clone, Debug)]
struct MemberReply {
    memory: u64,
    reply: Option<ReplicaReply>,
}

/// A read under way.
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

    /// Takes in what a replica says; none where it can't be asked.
    pub fn on_reply(&mut self, replica: &ReplicaId, reply: Option<ReplicaReply>) -> ReadStatus {
        let mut replicas = self.layouts.iter().flatten();
        if replicas.any(|other| other.name == replica.name) {
            // A later reply knows no less than an earlier one.
            let memory = replica.storage_id;
            self.replies
                .insert(replica.name.clone(), MemberReply { memory, reply });
        }
        self.status()
    }

    /// All replies as one record.
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

    /// The members that have replied with less than the merged record.
    pub fn stale_replicas<'a>(&'a self, merged: &'a Record) -> impl Iterator<Item = &'a String> {
        let is_stale = move |reply: &ReplicaReply| reply.record.as_ref() != Some(merged);
        let stale = self
            .replies
            .iter()
            .filter(move |(_, member)| member.reply.as_ref().is_some_and(is_stale));
        stale.map(|(name, _)| name)
    }

    /// Whether a replica has replied that it can't account for a member.
    #[must_use]
    pub fn has_partitioned_reply(&self) -> bool {
        let mut replies = self.replies.values().filter_map(|r| r.reply.as_ref());
        replies.any(|reply| reply.partitioned)
    }

    /// The replicas that have not replied, by name.
    #[must_use]
    pub fn missing_replies(&self) -> Vec<String> {
        let names = self.layouts.iter().flatten().map(|replica| &replica.name);
        let missing: BTreeSet<&String> = names
            .filter(|name| !self.replies.contains_key(*name))
            .collect();
        missing.into_iter().cloned().collect()
    }

    /// What the replies come to by now.
    #[must_use]
    pub fn status(&self) -> ReadStatus {
        let (mut is_quorum, mut may_be_quorum) = (!self.layouts.is_empty(), true);
        let mut low_watermark = 0;
        for replicas in &self.layouts {
            let quorum = ReplicationFactor::quorum(replicas.len());
            let counted: Vec<&ReplicaReply> = replicas
                .iter()
                .filter_map(|replica| self.counted_reply(replica))
                .collect();
            let open = replicas
                .iter()
                .filter(|replica| !self.replies.contains_key(&replica.name))
                .count();
            is_quorum &= counted.len() >= quorum && !replicas.is_empty();
            may_be_quorum &= counted.len() + open >= quorum;
            for reply in counted {
                low_watermark = low_watermark.max(reply.low_watermark);
            }
        }
        match (is_quorum, may_be_quorum) {
            (true, _) => ReadStatus::Exact(self.merged(), low_watermark),
            (false, true) => ReadStatus::Pending,
            (false, false) => ReadStatus::QuorumUnreachable(self.merged()),
        }
    }

    /// The reply of a replica, where it counts in a quorum.
    fn counted_reply(&self, replica: &ReplicaId) -> Option<&ReplicaReply> {
        let member = self.replies.get(&replica.name)?;
        let same_memory = member.memory == replica.storage_id
            || leverpoint_failpoint::failpoint_active("empty-memory-counts");
        let reply = member.reply.as_ref().filter(|_| same_memory);
        reply.filter(|reply| !reply.partitioned)
    }
}
