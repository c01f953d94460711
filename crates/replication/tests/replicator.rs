//! Tests of clusters of replicators that exchange messages: quorum writes, leases, partitions, repair.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use leverpoint_membership::layout::{Layout, ReplicaHolder};
use leverpoint_replication::message::Message;
use leverpoint_replication::{
    Action, Completion, DeduplicationDomain, Envelope, IdempotencyClaim, IdempotencyDecision,
    LocalMember, Record, RecordValue, RecoveredState, ReplicationConfig, Replicator, Ticks,
    WriteOutcome,
};

const START: Ticks = 17_000_000_000_000;

/// Members by number. A message is delivered at once, unless its link is cut or held or its receiver is gone.
struct Cluster {
    now: Ticks,
    members: BTreeMap<usize, Replicator>,
    cut_links: BTreeSet<(usize, usize)>,
    /// Links, as sender and receiver, whose messages are put into `held_messages` instead.
    held_links: BTreeSet<(usize, usize)>,
    held_messages: Vec<(usize, usize, Envelope)>,
    in_transit: VecDeque<(usize, usize, Envelope)>,
    completions: BTreeMap<(usize, u64), Completion>,
    /// Members whose disks have failed.
    failed_disks: BTreeSet<usize>,
    persisted: BTreeMap<
        usize,
        (
            Option<leverpoint_replication::PersistedMetadata>,
            BTreeMap<leverpoint_replication::RecordKey, Record>,
        ),
    >,
    last_ticket: u64,
}

fn layout(version: u64, holders: &[(usize, u64)]) -> Layout {
    let holder = |(n, storage_id): &(usize, u64)| ReplicaHolder {
        name: format!("n{n}"),
        storage_id: *storage_id,
        machine: format!("m{n}"),
        zone: String::new(),
    };
    Layout {
        version,
        holders: holders.iter().map(holder).collect(),
    }
}

fn local_member(n: usize, number: u64, storage_id: u64) -> LocalMember {
    LocalMember {
        name: format!("n{n}"),
        incarnation: number,
        storage_id,
    }
}

fn claim(key: u64, attempt: u64, set: u16, retry: bool) -> Option<IdempotencyClaim> {
    Some(IdempotencyClaim {
        key,
        attempt_id: attempt,
        replica_set: set,
        deduplication: DeduplicationDomain::ReplicaSet,
        deduplication_window: 30_000,
        is_retry: retry,
    })
}

impl Cluster {
    /// A cluster under layout version 1 after 70 s: every lease is established, and every idempotency key that can have
    /// been used before the layout is expired.
    fn new(count: usize) -> Cluster {
        let mut cluster = Cluster {
            now: START,
            members: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            held_links: BTreeSet::new(),
            held_messages: Vec::new(),
            in_transit: VecDeque::new(),
            completions: BTreeMap::new(),
            failed_disks: BTreeSet::new(),
            persisted: BTreeMap::new(),
            last_ticket: 0,
        };
        for n in 0..count {
            cluster.members.insert(
                n,
                Replicator::new(
                    START,
                    local_member(n, 1, n as u64 + 1),
                    ReplicationConfig::default(),
                    None,
                ),
            );
        }
        let holders: Vec<(usize, u64)> = (0..count).map(|n| (n, n as u64 + 1)).collect();
        cluster.adopt_layout_everywhere(&layout(1, &holders));
        cluster.advance(700_000);
        cluster
    }

    fn adopt_layout_everywhere(&mut self, layout: &Layout) {
        let members: Vec<usize> = self.members.keys().copied().collect();
        for n in members {
            self.adopt_layout(n, layout);
        }
        self.deliver_all();
    }

    fn adopt_layout(&mut self, n: usize, layout: &Layout) {
        let Some(member) = self.members.get_mut(&n) else {
            return;
        };
        member.set_participating(true);
        let actions = member.on_layout_changed(self.now, layout);
        self.perform(n, actions);
    }

    fn perform(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, envelope } => {
                    let to: usize = to[1..].parse().unwrap();
                    if self.held_links.contains(&(n, to)) {
                        self.held_messages.push((n, to, *envelope));
                    } else {
                        self.in_transit.push_back((n, to, *envelope));
                    }
                }
                Action::Persist {
                    sequence: persist_sequence,
                    records,
                    metadata: new_metadata,
                } => {
                    let storage = self.persisted.entry(n).or_default();
                    storage
                        .1
                        .extend(records.into_iter().map(|record| (record.key, record)));
                    storage.0 = new_metadata.or(storage.0.take());
                    let now = self.now;
                    let Some(member) = self.members.get_mut(&n) else {
                        return;
                    };
                    let actions = if self.failed_disks.contains(&n) {
                        member.on_persist_failed(now)
                    } else {
                        member.on_persisted(now, persist_sequence)
                    };
                    self.perform(n, actions);
                }
                Action::Complete(completion) => {
                    assert!(
                        self.completions
                            .insert((n, completion.ticket()), completion)
                            .is_none(),
                        "completed twice"
                    );
                }
                Action::Notify(_) => {}
            }
        }
    }

    fn deliver_all(&mut self) {
        while let Some((from, to, envelope)) = self.in_transit.pop_front() {
            if self.cut_links.contains(&(from, to)) {
                continue;
            }
            let now = self.now;
            let Some(member) = self.members.get_mut(&to) else {
                continue;
            };
            let actions = member.on_message(now, &envelope);
            self.perform(to, actions);
        }
    }

    /// Advances the time in steps of 10 ms, runs ticks that are due and delivers messages.
    fn advance(&mut self, span: Ticks) {
        let until = self.now + span;
        while self.now < until {
            self.now += 100;
            let members: Vec<usize> = self.members.keys().copied().collect();
            for n in members {
                let now = self.now;
                let Some(member) = self
                    .members
                    .get_mut(&n)
                    .filter(|member| member.next_deadline() <= now)
                else {
                    continue;
                };
                let actions = member.tick(now);
                self.perform(n, actions);
            }
            self.deliver_all();
        }
    }

    fn partition(&mut self, n: usize) {
        for other in 0..9 {
            self.cut_links.extend([(n, other), (other, n)]);
        }
    }

    fn begin_write(&mut self, n: usize, session: u64, claim: Option<IdempotencyClaim>) -> u64 {
        self.last_ticket += 1;
        let (now, ticket) = (self.now, self.last_ticket);
        let actions = self
            .members
            .get_mut(&n)
            .unwrap()
            .begin_write(now, ticket, session, claim, 10_000);
        self.perform(n, actions);
        self.deliver_all();
        ticket
    }

    /// Takes the completion of a ticket, waiting for longer than the quorum timeout if it is not there yet.
    fn completion(&mut self, n: usize, ticket: u64) -> Completion {
        if !self.completions.contains_key(&(n, ticket)) {
            self.advance(600);
        }
        self.completions
            .remove(&(n, ticket))
            .expect("completed within the quorum timeout")
    }

    fn finish_write(&mut self, n: usize, ticket: u64, outcome: WriteOutcome) {
        let now = self.now;
        let actions = self
            .members
            .get_mut(&n)
            .unwrap()
            .finish_write(now, ticket, outcome);
        self.perform(n, actions);
        self.deliver_all();
    }

    fn write_session(&mut self, n: usize, session: u64) -> Ticks {
        let ticket = self.begin_write(n, session, None);
        let completion = self.completion(n, ticket);
        assert_eq!(
            completion,
            Completion::QuorumAcknowledged {
                ticket,
                decision: IdempotencyDecision::FirstAttempt
            }
        );
        let at = self.now;
        self.finish_write(n, ticket, WriteOutcome::Acknowledged(at));
        at
    }

    fn required_position(&mut self, n: usize, session: u64) -> Option<Ticks> {
        self.last_ticket += 1;
        let (now, ticket) = (self.now, self.last_ticket);
        let actions = self
            .members
            .get_mut(&n)
            .unwrap()
            .read_session(now, ticket, session, 10_000);
        self.perform(n, actions);
        self.deliver_all();
        match self.completion(n, ticket) {
            Completion::SessionPosition {
                position: required, ..
            } => required,
            other => panic!("{other:?}"),
        }
    }

    fn low_watermark(&self, n: usize) -> Ticks {
        self.members[&n].status(self.now).low_watermark
    }
}

#[test]
fn session_read_sees_open_writes_and_the_positions_of_finished_ones() {
    let mut cluster = Cluster::new(5);
    assert_eq!(
        cluster.required_position(2, 7),
        Some(cluster.low_watermark(2)),
        "no write has begun"
    );
    let ticket = cluster.begin_write(0, 7, None);
    assert!(matches!(
        cluster.completion(0, ticket),
        Completion::QuorumAcknowledged { .. }
    ));
    assert_eq!(
        cluster.required_position(2, 7),
        None,
        "the open write may be acknowledged at any time"
    );
    let at = cluster.now;
    cluster.finish_write(0, ticket, WriteOutcome::Acknowledged(at));
    assert_eq!(cluster.required_position(2, 7), Some(at));
    // Two concurrent writes: the first to finish leaves the other open, the last reports the position of both.
    let (first, second) = (
        cluster.begin_write(1, 7, None),
        cluster.begin_write(1, 7, None),
    );
    cluster.finish_write(1, first, WriteOutcome::Acknowledged(at + 50));
    assert_eq!(cluster.required_position(2, 7), None);
    cluster.finish_write(1, second, WriteOutcome::NotExecuted);
    assert_eq!(cluster.required_position(2, 7), Some(at + 50));
    // A gateway that restarts with a write open: one read is inexact, the next requires a position as of the restart.
    let open = cluster.begin_write(3, 7, None);
    assert!(matches!(
        cluster.completion(3, open),
        Completion::QuorumAcknowledged { .. }
    ));
    let restarted = Replicator::new(
        cluster.now,
        local_member(3, 2, 4),
        ReplicationConfig::default(),
        Some(RecoveredState::default()),
    );
    cluster.members.insert(3, restarted);
    let holders: Vec<(usize, u64)> = (0..5).map(|n| (n, n as u64 + 1)).collect();
    cluster.adopt_layout(3, &layout(1, &holders));
    cluster.advance(30_000);
    assert_eq!(cluster.required_position(2, 7), None);
    assert!(
        cluster
            .required_position(1, 7)
            .is_some_and(|position| position >= at + 50 && position <= cluster.now + 10)
    );
}

#[test]
fn partitioned_member_serves_without_quorum_only_once_its_leases_expired() {
    let mut cluster = Cluster::new(5);
    cluster.write_session(0, 7);
    cluster.partition(0);
    // Its leases at the others have not expired: it rejects writes, with the time after which to retry.
    let ticket = cluster.begin_write(0, 7, claim(1, 1, 2, false));
    let Completion::Rejected {
        retry_after: wait, ..
    } = cluster.completion(0, ticket)
    else {
        panic!("expected Rejected")
    };
    assert!(wait > 0);
    assert!(cluster.required_position(2, 7).is_some());
    cluster.advance(30_000);
    let ticket = cluster.begin_write(0, 7, claim(2, 2, 2, false));
    assert_eq!(
        cluster.completion(0, ticket),
        Completion::WithoutQuorum { ticket }
    );
    assert_eq!(
        cluster.required_position(2, 7),
        None,
        "the partitioned member may have acknowledged any write"
    );
    let at = cluster.now;
    cluster.finish_write(0, ticket, WriteOutcome::Acknowledged(at));
    assert_eq!(cluster.required_position(0, 7), None);
    // A retry whose first attempt the member can't know of is not sent, on either side; a new key is.
    let retry = cluster.begin_write(2, 7, claim(2, 3, 2, true));
    assert_eq!(
        cluster.completion(2, retry),
        Completion::QuorumAcknowledged {
            ticket: retry,
            decision: IdempotencyDecision::OutcomeUnknown
        }
    );
    cluster.finish_write(2, retry, WriteOutcome::NotExecuted);
    let retry = cluster.begin_write(0, 7, claim(9, 4, 2, true));
    assert_eq!(
        cluster.completion(0, retry),
        Completion::QuorumAcknowledged {
            ticket: retry,
            decision: IdempotencyDecision::OutcomeUnknown
        }
    );
    let new = cluster.begin_write(2, 8, claim(5, 5, 2, false));
    assert_eq!(
        cluster.completion(2, new),
        Completion::QuorumAcknowledged {
            ticket: new,
            decision: IdempotencyDecision::FirstAttempt
        }
    );
    cluster.finish_write(2, new, WriteOutcome::NotExecuted);
    cluster.cut_links.clear();
    cluster.advance(30_000);
    assert!(
        (1..5).all(|n| cluster.low_watermark(n) >= at),
        "the write without a quorum is reported before its lease is renewed"
    );
    assert!(
        cluster
            .required_position(2, 7)
            .is_some_and(|position| position >= at)
    );
}

/// Guards against a renewal that was delayed on a slow connection and extends a lease that has expired meanwhile.
#[test]
fn lease_runs_from_the_echoed_time_however_late_the_renewal_arrives() {
    let mut cluster = Cluster::new(3);
    for other in [1, 2] {
        cluster.held_links.insert((0, other));
    }
    cluster.advance(10_000);
    let delayed_messages = std::mem::take(&mut cluster.held_messages);
    assert!(delayed_messages.iter().any(
        |(.., e)| matches!(e.message, Message::RenewLease { echoed_time: echoed, .. } if echoed > 0)
    ));
    cluster.held_links.clear();
    cluster.partition(0);
    cluster.advance(30_000);
    let ticket = cluster.begin_write(0, 7, None);
    assert_eq!(
        cluster.completion(0, ticket),
        Completion::WithoutQuorum { ticket }
    );
    // The delayed messages arrive all at once, after the leases have expired.
    cluster.in_transit.extend(delayed_messages);
    cluster.cut_links.retain(|(from, _)| *from != 0);
    cluster.deliver_all();
    cluster.partition(0);
    assert_eq!(
        cluster.required_position(1, 7),
        None,
        "the partitioned member may still have acknowledged any write"
    );
}

#[test]
fn retry_through_any_member_goes_to_its_replica_set_within_its_window() {
    let mut cluster = Cluster::new(5);
    let first = cluster.begin_write(0, 7, claim(1, 1, 2, false));
    let first_sent = cluster.now;
    assert!(matches!(
        cluster.completion(0, first),
        Completion::QuorumAcknowledged {
            decision: IdempotencyDecision::FirstAttempt,
            ..
        }
    ));
    // The gateway of the first attempt is lost with its state.
    cluster.members.remove(&0);
    let retry = |cluster: &mut Cluster, n, attempt, set| {
        let ticket = cluster.begin_write(n, 7, claim(1, attempt, set, true));
        let Completion::QuorumAcknowledged {
            decision: retry_decision,
            ..
        } = cluster.completion(n, ticket)
        else {
            panic!("expected QuorumAcknowledged")
        };
        cluster.finish_write(n, ticket, WriteOutcome::NotExecuted);
        retry_decision
    };
    assert_eq!(
        retry(&mut cluster, 1, 2, 2),
        IdempotencyDecision::Retry(first_sent)
    );
    assert_eq!(
        retry(&mut cluster, 2, 3, 3),
        IdempotencyDecision::OutcomeUnknown
    );
    cluster.advance(30_000);
    assert_eq!(
        retry(&mut cluster, 3, 4, 2),
        IdempotencyDecision::OutcomeUnknown,
        "the deduplication window has ended"
    );
    // An attempt that was not executed does not restrict later ones.
    let not_executed = cluster.begin_write(1, 8, claim(6, 9, 2, false));
    assert!(matches!(
        cluster.completion(1, not_executed),
        Completion::QuorumAcknowledged { .. }
    ));
    cluster.finish_write(1, not_executed, WriteOutcome::NotExecuted);
    let next = cluster.begin_write(2, 8, claim(6, 10, 3, false));
    assert_eq!(
        cluster.completion(2, next),
        Completion::QuorumAcknowledged {
            ticket: next,
            decision: IdempotencyDecision::FirstAttempt
        }
    );
}

#[test]
fn replaced_replica_is_repaired_and_a_failed_disk_leaves_quorums() {
    let mut cluster = Cluster::new(5);
    let mut acknowledged = BTreeMap::new();
    for session in 0..2_000 {
        acknowledged.insert(
            session,
            cluster.write_session(session as usize % 5, session),
        );
    }
    let session_records = cluster.members[&4].status(cluster.now).session_records;
    assert!(
        (800..1_600).contains(&session_records),
        "about three fifths of the sessions: {session_records}"
    );
    // The machine is lost with its disk: one layout removes the old storage, the next adds the new one.
    cluster.members.insert(
        4,
        Replicator::new(
            cluster.now,
            local_member(4, 2, 99),
            ReplicationConfig::default(),
            None,
        ),
    );
    let four_holders: Vec<(usize, u64)> = (0..4).map(|n| (n, n as u64 + 1)).collect();
    let five_holders: Vec<(usize, u64)> = four_holders.iter().copied().chain([(4, 99)]).collect();
    cluster.adopt_layout_everywhere(&layout(2, &four_holders));
    cluster.adopt_layout_everywhere(&layout(3, &five_holders));
    for session in (0..2_000).step_by(97) {
        let position = cluster.required_position(session as usize % 4, session);
        assert!(
            position.is_none_or(|position| position >= acknowledged[&session]),
            "session {session}"
        );
    }
    cluster.advance(100_000);
    let status = cluster.members[&4].status(cluster.now);
    assert_eq!(
        (
            status.layout_version,
            status.oldest_layout_version,
            status.in_sync,
            status.session_records
        ),
        (3, 3, true, session_records)
    );
    for session in (0..2_000).step_by(97) {
        assert_eq!(
            cluster.required_position(4, session),
            Some(acknowledged[&session].max(cluster.low_watermark(4)))
        );
    }
    // A comparison with all other replicas finds no differences after the repair.
    let records: Vec<Record> = cluster.persisted[&4].1.values().take(3).cloned().collect();
    assert!(
        records
            .iter()
            .all(|record| matches!(record.value, RecordValue::Session(_)))
    );
    cluster.members.get_mut(&0).unwrap().start_comparison();
    cluster.advance(100_000);
    let (comparisons, remaining) = cluster.members[&0].comparisons();
    assert_eq!((comparisons.len(), remaining), (4, 0));
    assert!(
        comparisons
            .iter()
            .all(|(_, _, differing_buckets, _)| *differing_buckets == 0),
        "{comparisons:?}"
    );
    // One disk has failed: the other replicas make the quorums.
    cluster.failed_disks.insert(1);
    for session in 3_000..3_040 {
        let at = cluster.write_session(0, session);
        assert!(
            cluster
                .required_position(2, session)
                .is_some_and(|position| position >= at)
        );
    }
}

/// A member that runs a version without replication answers no message: its lease never becomes valid at the others.
#[test]
fn member_without_replication_is_never_accounted_for() {
    let mut cluster = Cluster::new(3);
    let at = cluster.write_session(0, 7);
    cluster.members.remove(&2);
    let holders: Vec<(usize, u64)> = vec![(0, 1), (1, 2), (2, 3), (3, 4)];
    cluster.members.insert(
        3,
        Replicator::new(
            cluster.now,
            local_member(3, 1, 4),
            ReplicationConfig::default(),
            None,
        ),
    );
    cluster.adopt_layout_everywhere(&layout(2, &holders));
    cluster.advance(60_000);
    // The others acknowledge writes without it; their reads are inexact, as it may acknowledge any write.
    let ticket = cluster.begin_write(3, 7, None);
    assert!(matches!(
        cluster.completion(3, ticket),
        Completion::QuorumAcknowledged { .. } | Completion::WithoutQuorum { .. }
    ));
    cluster.finish_write(3, ticket, WriteOutcome::Acknowledged(at + 10));
    assert_eq!(cluster.required_position(1, 7), None);
}

#[test]
fn invalid_messages_and_messages_of_ended_incarnations_are_dropped() {
    let mut cluster = Cluster::new(3);
    let counters_before = cluster.members[&0].counters();
    let envelope = |name: &str, number, body| Envelope {
        sender: name.into(),
        incarnation: number,
        storage_id: 2,
        layout_version: 1,
        request_id: 1,
        message: body,
    };
    let now = cluster.now;
    let invalid_envelopes = [
        envelope("", 1, Message::QueryLayouts),
        envelope("n0", 1, Message::QueryLayouts),
        envelope(
            "n1",
            1,
            Message::CompareHashes {
                branch: None,
                hashes: vec![0; 3],
            },
        ),
        envelope(
            "n1",
            1,
            Message::RenewLease {
                echoed_time: -1,
                unreplicated_until: 0,
                synced_version: 0,
            },
        ),
        envelope(
            "n1",
            1,
            Message::Read {
                keys: vec![leverpoint_replication::RecordKey::EndpointList; 999],
            },
        ),
    ];
    for invalid in &invalid_envelopes {
        assert!(
            cluster
                .members
                .get_mut(&0)
                .unwrap()
                .on_message(now, invalid)
                .is_empty(),
            "{invalid:?}"
        );
    }
    assert_eq!(
        cluster.members[&0].counters().invalid_messages,
        counters_before.invalid_messages + invalid_envelopes.len() as u64
    );
    // A message of a newer incarnation, then one of an ended incarnation of the same member.
    cluster
        .members
        .get_mut(&0)
        .unwrap()
        .on_message(now, &envelope("n1", 9, Message::QueryLayouts));
    assert!(
        cluster
            .members
            .get_mut(&0)
            .unwrap()
            .on_message(now, &envelope("n1", 8, Message::QueryLayouts))
            .is_empty()
    );
}

/// Members 0 and 1 have died, and member 2 has then begun a keyed write without a quorum and died with it open.
fn cluster_whose_last_member_answered_without_quorum() -> Cluster {
    let mut cluster = Cluster::new(3);
    cluster.members.remove(&0);
    cluster.members.remove(&1);
    // Longer than a lease with its drift margin.
    cluster.advance(30_000);
    let ticket = cluster.begin_write(2, 7, claim(5, 1, 0, false));
    assert_eq!(
        cluster.completion(2, ticket),
        Completion::WithoutQuorum { ticket }
    );
    cluster.members.remove(&2);
    cluster
}

/// Starts a member again from what its storage holds, or with new storage of this id.
fn restart(cluster: &mut Cluster, n: usize, new_storage_id: Option<u64>) {
    let recovered = new_storage_id.is_none().then(|| {
        let (metadata, records) = cluster.persisted.entry(n).or_default().clone();
        RecoveredState {
            metadata,
            records: records.into_values().collect(),
        }
    });
    let storage_id = new_storage_id.unwrap_or(n as u64 + 1);
    let member = Replicator::new(
        cluster.now,
        local_member(n, 2, storage_id),
        ReplicationConfig::default(),
        recovered,
    );
    cluster.members.insert(n, member);
}

/// Guards against a key that runs again: members that start anew take a repeat for a first attempt, although another one
/// has answered without a quorum while they were away.
#[test]
fn a_retry_is_unclear_after_members_died_one_behind_the_other() {
    for lost_storage in [None, Some(9)] {
        let mut cluster = cluster_whose_last_member_answered_without_quorum();
        cluster.advance(5_000);
        restart(&mut cluster, 0, None);
        restart(&mut cluster, 1, None);
        restart(&mut cluster, 2, lost_storage);
        cluster.adopt_layout_everywhere(&layout(1, &[(0, 1), (1, 2), (2, 3)]));
        cluster.advance(20_000);
        let retry = cluster.begin_write(0, 7, claim(5, 2, 0, true));
        assert_eq!(
            cluster.completion(0, retry),
            Completion::QuorumAcknowledged {
                ticket: retry,
                decision: IdempotencyDecision::OutcomeUnknown
            }
        );
        let first_attempt = cluster.begin_write(1, 8, claim(6, 3, 0, false));
        assert_eq!(
            cluster.completion(1, first_attempt),
            Completion::QuorumAcknowledged {
                ticket: first_attempt,
                decision: IdempotencyDecision::FirstAttempt
            }
        );
    }
}

/// Guards against a session's read that misses its write, answered without a quorum by a member that died since.
#[test]
fn session_reads_are_inexact_after_members_died_one_behind_the_other() {
    let mut cluster = cluster_whose_last_member_answered_without_quorum();
    let died_at = cluster.now;
    for n in 0..3 {
        restart(&mut cluster, n, None);
    }
    cluster.adopt_layout_everywhere(&layout(1, &[(0, 1), (1, 2), (2, 3)]));
    cluster.advance(20_000);
    let required = cluster.required_position(0, 7);
    assert!(
        required.is_none_or(|position| position >= died_at),
        "{required:?}"
    );
}

#[test]
fn members_that_die_at_once_lose_nothing() {
    let mut cluster = Cluster::new(3);
    let at = cluster.write_session(0, 7);
    let ticket = cluster.begin_write(0, 7, claim(5, 1, 0, false));
    assert!(matches!(
        cluster.completion(0, ticket),
        Completion::QuorumAcknowledged { .. }
    ));
    cluster.finish_write(0, ticket, WriteOutcome::Acknowledged(at + 10));
    let low_watermark = cluster.low_watermark(1);
    for n in 0..3 {
        cluster.members.remove(&n);
    }
    cluster.advance(5_000);
    for n in 0..3 {
        restart(&mut cluster, n, None);
    }
    cluster.adopt_layout_everywhere(&layout(1, &[(0, 1), (1, 2), (2, 3)]));
    cluster.advance(20_000);
    assert_eq!(cluster.low_watermark(1), low_watermark);
    assert_eq!(cluster.required_position(1, 7), Some(at + 10));
}

/// Guards against a storage that claims to have all when nothing says so: one that an earlier program has written.
#[test]
fn a_storage_that_does_not_say_whether_it_served_without_a_quorum_counts_as_not_whole() {
    let mut cluster = Cluster::new(3);
    cluster.write_session(0, 7);
    for n in 0..3 {
        cluster.members.remove(&n);
    }
    cluster
        .persisted
        .get_mut(&2)
        .unwrap()
        .0
        .as_mut()
        .unwrap()
        .unreplicated_until = None;
    let started_at = cluster.now;
    for n in 0..3 {
        restart(&mut cluster, n, None);
    }
    cluster.adopt_layout_everywhere(&layout(1, &[(0, 1), (1, 2), (2, 3)]));
    cluster.advance(20_000);
    assert!((0..3).all(|n| cluster.low_watermark(n) >= started_at));
}
