//! Whole fleets of replicators, message by message: quorum writes, leases, partitions, repair.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use leverpoint_membership::layout::{Layout, ReplicaHolder};
use leverpoint_replication::message::Message;
use leverpoint_replication::{
    Action, Completion, DeduplicationDomain, Envelope, IdempotencyClaim, IdempotencyDecision,
    LocalMember, Record, RecordValue, RecoveredState, ReplicationConfig, Replicator, Ticks,
    WriteOutcome,
};

const BEGAN: Ticks = 17_000_000_000_000;

/// Members by number; messages are delivered at once unless the link is cut, the receiver is gone, or they are held back.
struct Fleet {
    now: Ticks,
    members: BTreeMap<usize, Replicator>,
    cut: BTreeSet<(usize, usize)>,
    /// What goes on these ways is not carried until it is let go.
    held: BTreeSet<(usize, usize)>,
    late: Vec<(usize, usize, Envelope)>,
    line: VecDeque<(usize, usize, Envelope)>,
    done: BTreeMap<(usize, u64), Completion>,
    /// Members whose disks keep nothing more.
    broken: BTreeSet<usize>,
    kept: BTreeMap<
        usize,
        (
            Option<leverpoint_replication::PersistedMetadata>,
            BTreeMap<leverpoint_replication::RecordKey, Record>,
        ),
    >,
    tickets: u64,
}

fn layout(version: u64, of: &[(usize, u64)]) -> Layout {
    let holder = |(n, memory): &(usize, u64)| ReplicaHolder {
        name: format!("n{n}"),
        storage_id: *memory,
        machine: format!("m{n}"),
        zone: String::new(),
    };
    Layout {
        version,
        holders: of.iter().map(holder).collect(),
    }
}

fn me(n: usize, life: u64, storage_id: u64) -> LocalMember {
    LocalMember {
        name: format!("n{n}"),
        incarnation: life,
        storage_id,
    }
}

fn claim(key: u64, number: u64, set: u16, repeat: bool) -> Option<IdempotencyClaim> {
    Some(IdempotencyClaim {
        key,
        attempt_id: number,
        replica_set: set,
        deduplication: DeduplicationDomain::ReplicaSet,
        deduplication_window: 30_000,
        is_retry: repeat,
    })
}

impl Fleet {
    /// So many that have founded version 1, in touch for some leases, long enough ago that no key can be from before.
    fn new(many: usize) -> Fleet {
        let mut fleet = Fleet {
            now: BEGAN,
            members: BTreeMap::new(),
            cut: BTreeSet::new(),
            held: BTreeSet::new(),
            late: Vec::new(),
            line: VecDeque::new(),
            done: BTreeMap::new(),
            broken: BTreeSet::new(),
            kept: BTreeMap::new(),
            tickets: 0,
        };
        for n in 0..many {
            fleet.members.insert(
                n,
                Replicator::new(
                    BEGAN,
                    me(n, 1, n as u64 + 1),
                    ReplicationConfig::default(),
                    None,
                ),
            );
        }
        let all: Vec<(usize, u64)> = (0..many).map(|n| (n, n as u64 + 1)).collect();
        fleet.agree_on(&layout(1, &all));
        fleet.advance(700_000);
        fleet
    }

    fn agree_on(&mut self, layout: &Layout) {
        let all: Vec<usize> = self.members.keys().copied().collect();
        for n in all {
            self.take_layout(n, layout);
        }
        self.deliver_all();
    }

    fn take_layout(&mut self, n: usize, layout: &Layout) {
        let Some(member) = self.members.get_mut(&n) else {
            return;
        };
        member.set_participating(true);
        let all = member.on_layout_changed(self.now, layout);
        self.carry_out(n, all);
    }

    fn carry_out(&mut self, n: usize, all: Vec<Action>) {
        for one in all {
            match one {
                Action::Send { to, envelope } => {
                    let to: usize = to[1..].parse().unwrap();
                    if self.held.contains(&(n, to)) {
                        self.late.push((n, to, *envelope));
                    } else {
                        self.line.push_back((n, to, *envelope));
                    }
                }
                Action::Persist {
                    sequence: number,
                    records,
                    metadata: meta,
                } => {
                    let kept = self.kept.entry(n).or_default();
                    kept.1
                        .extend(records.into_iter().map(|record| (record.key, record)));
                    kept.0 = meta.or(kept.0.take());
                    let now = self.now;
                    let Some(member) = self.members.get_mut(&n) else {
                        return;
                    };
                    let all = if self.broken.contains(&n) {
                        member.on_persist_failed()
                    } else {
                        member.on_persisted(now, number)
                    };
                    self.carry_out(n, all);
                }
                Action::Complete(done) => {
                    assert!(
                        self.done.insert((n, done.ticket()), done).is_none(),
                        "told twice"
                    );
                }
                Action::Notify(_) => {}
            }
        }
    }

    fn deliver_all(&mut self) {
        while let Some((from, to, envelope)) = self.line.pop_front() {
            if self.cut.contains(&(from, to)) {
                continue;
            }
            let now = self.now;
            let Some(member) = self.members.get_mut(&to) else {
                continue;
            };
            let all = member.on_message(now, &envelope);
            self.carry_out(to, all);
        }
    }

    /// Time goes on, in steps of ten milliseconds.
    fn advance(&mut self, span: Ticks) {
        let until = self.now + span;
        while self.now < until {
            self.now += 100;
            let all: Vec<usize> = self.members.keys().copied().collect();
            for n in all {
                let now = self.now;
                let Some(member) = self
                    .members
                    .get_mut(&n)
                    .filter(|member| member.next_deadline() <= now)
                else {
                    continue;
                };
                let all = member.tick(now);
                self.carry_out(n, all);
            }
            self.deliver_all();
        }
    }

    fn partition(&mut self, n: usize) {
        for other in 0..9 {
            self.cut.extend([(n, other), (other, n)]);
        }
    }

    fn begin_write(&mut self, n: usize, session: u64, claim: Option<IdempotencyClaim>) -> u64 {
        self.tickets += 1;
        let (now, ticket) = (self.now, self.tickets);
        let all = self
            .members
            .get_mut(&n)
            .unwrap()
            .begin_write(now, ticket, session, claim, 10_000);
        self.carry_out(n, all);
        self.deliver_all();
        ticket
    }

    /// Whether a write may go by now, once its wait is over at the latest.
    fn completion(&mut self, n: usize, ticket: u64) -> Completion {
        if !self.done.contains_key(&(n, ticket)) {
            self.advance(600);
        }
        self.done.remove(&(n, ticket)).expect("within its wait")
    }

    fn finish_write(&mut self, n: usize, ticket: u64, came: WriteOutcome) {
        let now = self.now;
        let all = self
            .members
            .get_mut(&n)
            .unwrap()
            .finish_write(now, ticket, came);
        self.carry_out(n, all);
        self.deliver_all();
    }

    fn write_session(&mut self, n: usize, session: u64) -> Ticks {
        let ticket = self.begin_write(n, session, None);
        let go = self.completion(n, ticket);
        assert_eq!(
            go,
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
        self.tickets += 1;
        let (now, ticket) = (self.now, self.tickets);
        let all = self
            .members
            .get_mut(&n)
            .unwrap()
            .read_session(now, ticket, session, 10_000);
        self.carry_out(n, all);
        self.deliver_all();
        match self.completion(n, ticket) {
            Completion::SessionPosition { position: at, .. } => at,
            other => panic!("{other:?}"),
        }
    }

    fn floor(&self, n: usize) -> Ticks {
        self.members[&n].status(self.now).low_watermark
    }
}

#[test]
fn read_sees_open_writes_their_positions_and_absence() {
    let mut fleet = Fleet::new(5);
    assert_eq!(
        fleet.required_position(2, 7),
        Some(fleet.floor(2)),
        "nobody has written"
    );
    let ticket = fleet.begin_write(0, 7, None);
    assert!(matches!(
        fleet.completion(0, ticket),
        Completion::QuorumAcknowledged { .. }
    ));
    assert_eq!(
        fleet.required_position(2, 7),
        None,
        "it may be answered at any moment"
    );
    let at = fleet.now;
    fleet.finish_write(0, ticket, WriteOutcome::Acknowledged(at));
    assert_eq!(fleet.required_position(2, 7), Some(at));
    // Two at once: the end of the one does not end the other, and the last says what both have come to.
    let (one, other) = (fleet.begin_write(1, 7, None), fleet.begin_write(1, 7, None));
    fleet.finish_write(1, one, WriteOutcome::Acknowledged(at + 50));
    assert_eq!(fleet.required_position(2, 7), None);
    fleet.finish_write(1, other, WriteOutcome::NotExecuted);
    assert_eq!(fleet.required_position(2, 7), Some(at + 50));
    // A gateway that is gone with a write open: the instant is owed, once, when its next life is there.
    let open = fleet.begin_write(3, 7, None);
    assert!(matches!(
        fleet.completion(3, open),
        Completion::QuorumAcknowledged { .. }
    ));
    let next = Replicator::new(
        fleet.now,
        me(3, 2, 4),
        ReplicationConfig::default(),
        Some(RecoveredState::default()),
    );
    fleet.members.insert(3, next);
    let all: Vec<(usize, u64)> = (0..5).map(|n| (n, n as u64 + 1)).collect();
    fleet.take_layout(3, &layout(1, &all));
    fleet.advance(30_000);
    assert_eq!(fleet.required_position(2, 7), None);
    assert!(
        fleet
            .required_position(1, 7)
            .is_some_and(|owes| owes >= at + 50 && owes <= fleet.now + 10)
    );
}

#[test]
fn partitioned_member_serves_without_quorum_only_once_its_leases_expired() {
    let mut fleet = Fleet::new(5);
    fleet.write_session(0, 7);
    fleet.partition(0);
    // The others still take it for one that promises: it turns writes away, and says for how long.
    let ticket = fleet.begin_write(0, 7, claim(1, 1, 2, false));
    let Completion::Rejected {
        retry_after: wait, ..
    } = fleet.completion(0, ticket)
    else {
        panic!("turned")
    };
    assert!(wait > 0);
    assert!(fleet.required_position(2, 7).is_some());
    fleet.advance(30_000);
    let ticket = fleet.begin_write(0, 7, claim(2, 2, 2, false));
    assert_eq!(
        fleet.completion(0, ticket),
        Completion::WithoutQuorum { ticket }
    );
    assert_eq!(
        fleet.required_position(2, 7),
        None,
        "it may have answered anything"
    );
    let at = fleet.now;
    fleet.finish_write(0, ticket, WriteOutcome::Acknowledged(at));
    assert_eq!(fleet.required_position(0, 7), None);
    // A repeat of what nobody can know of is ended, there and here; a new key goes.
    let repeat = fleet.begin_write(2, 7, claim(2, 3, 2, true));
    assert_eq!(
        fleet.completion(2, repeat),
        Completion::QuorumAcknowledged {
            ticket: repeat,
            decision: IdempotencyDecision::OutcomeUnknown
        }
    );
    fleet.finish_write(2, repeat, WriteOutcome::NotExecuted);
    let repeat = fleet.begin_write(0, 7, claim(9, 4, 2, true));
    assert_eq!(
        fleet.completion(0, repeat),
        Completion::QuorumAcknowledged {
            ticket: repeat,
            decision: IdempotencyDecision::OutcomeUnknown
        }
    );
    let new = fleet.begin_write(2, 8, claim(5, 5, 2, false));
    assert_eq!(
        fleet.completion(2, new),
        Completion::QuorumAcknowledged {
            ticket: new,
            decision: IdempotencyDecision::FirstAttempt
        }
    );
    fleet.finish_write(2, new, WriteOutcome::NotExecuted);
    fleet.cut.clear();
    fleet.advance(30_000);
    assert!(
        (1..5).all(|n| fleet.floor(n) >= at),
        "handed over before it counts again"
    );
    assert!(fleet.required_position(2, 7).is_some_and(|owes| owes >= at));
}

/// A word that was on its way for long must not renew what has ended meanwhile.
#[test]
fn lease_runs_from_the_echoed_time_however_late_the_renewal_arrives() {
    let mut fleet = Fleet::new(3);
    for other in [1, 2] {
        fleet.held.insert((0, other));
    }
    fleet.advance(10_000);
    let late = std::mem::take(&mut fleet.late);
    assert!(late.iter().any(
        |(.., e)| matches!(e.message, Message::RenewLease { echoed_time: echo, .. } if echo > 0)
    ));
    fleet.held.clear();
    fleet.partition(0);
    fleet.advance(30_000);
    let ticket = fleet.begin_write(0, 7, None);
    assert_eq!(
        fleet.completion(0, ticket),
        Completion::WithoutQuorum { ticket }
    );
    // Now they come, all at once, over a connection that was slow.
    fleet.line.extend(late);
    fleet.cut.retain(|(from, _)| *from != 0);
    fleet.deliver_all();
    fleet.partition(0);
    assert_eq!(
        fleet.required_position(1, 7),
        None,
        "it still may have answered anything"
    );
}

#[test]
fn retry_through_any_member_goes_to_its_replica_set_within_its_window() {
    let mut fleet = Fleet::new(5);
    let first = fleet.begin_write(0, 7, claim(1, 1, 2, false));
    let began = fleet.now;
    assert!(matches!(
        fleet.completion(0, first),
        Completion::QuorumAcknowledged {
            decision: IdempotencyDecision::FirstAttempt,
            ..
        }
    ));
    // Its gateway is gone with all it knew.
    fleet.members.remove(&0);
    let asks = |fleet: &mut Fleet, n, number, set| {
        let ticket = fleet.begin_write(n, 7, claim(1, number, set, true));
        let Completion::QuorumAcknowledged {
            decision: verdict, ..
        } = fleet.completion(n, ticket)
        else {
            panic!("promised")
        };
        fleet.finish_write(n, ticket, WriteOutcome::NotExecuted);
        verdict
    };
    assert_eq!(asks(&mut fleet, 1, 2, 2), IdempotencyDecision::Retry(began));
    assert_eq!(
        asks(&mut fleet, 2, 3, 3),
        IdempotencyDecision::OutcomeUnknown
    );
    fleet.advance(30_000);
    assert_eq!(
        asks(&mut fleet, 3, 4, 2),
        IdempotencyDecision::OutcomeUnknown,
        "its window is over"
    );
    // One that surely never ran binds nobody.
    let never = fleet.begin_write(1, 8, claim(6, 9, 2, false));
    assert!(matches!(
        fleet.completion(1, never),
        Completion::QuorumAcknowledged { .. }
    ));
    fleet.finish_write(1, never, WriteOutcome::NotExecuted);
    let again = fleet.begin_write(2, 8, claim(6, 10, 3, false));
    assert_eq!(
        fleet.completion(2, again),
        Completion::QuorumAcknowledged {
            ticket: again,
            decision: IdempotencyDecision::FirstAttempt
        }
    );
}

#[test]
fn replaced_replica_is_repaired_and_a_failed_disk_rejects_writes() {
    let mut fleet = Fleet::new(5);
    let mut truth = BTreeMap::new();
    for session in 0..2_000 {
        truth.insert(session, fleet.write_session(session as usize % 5, session));
    }
    let held = fleet.members[&4].status(fleet.now).session_records;
    assert!((800..1_600).contains(&held), "three fifths of them: {held}");
    // Its machine burns; the layout votes its memory out, and the new one in.
    fleet.members.insert(
        4,
        Replicator::new(fleet.now, me(4, 2, 99), ReplicationConfig::default(), None),
    );
    let four: Vec<(usize, u64)> = (0..4).map(|n| (n, n as u64 + 1)).collect();
    let five: Vec<(usize, u64)> = four.iter().copied().chain([(4, 99)]).collect();
    fleet.agree_on(&layout(2, &four));
    fleet.agree_on(&layout(3, &five));
    for session in (0..2_000).step_by(97) {
        let owes = fleet.required_position(session as usize % 4, session);
        assert!(
            owes.is_none_or(|owes| owes >= truth[&session]),
            "session {session}"
        );
    }
    fleet.advance(100_000);
    let shown = fleet.members[&4].status(fleet.now);
    assert_eq!(
        (
            shown.layout_version,
            shown.oldest_layout_version,
            shown.in_sync,
            shown.session_records
        ),
        (3, 3, true, held)
    );
    for session in (0..2_000).step_by(97) {
        assert_eq!(
            fleet.required_position(4, session),
            Some(truth[&session].max(fleet.floor(4)))
        );
    }
    // What differs between two holders is found by comparing, and brought.
    let all: Vec<Record> = fleet.kept[&4].1.values().take(3).cloned().collect();
    assert!(
        all.iter()
            .all(|record| matches!(record.value, RecordValue::Session(_)))
    );
    fleet.members.get_mut(&0).unwrap().start_comparison();
    fleet.advance(100_000);
    let (compared, left) = fleet.members[&0].comparisons();
    assert_eq!((compared.len(), left), (4, 0));
    assert!(
        compared.iter().all(|(_, _, differ, _)| *differ == 0),
        "{compared:?}"
    );
    // A disk that keeps nothing any more: others promise without it.
    fleet.broken.insert(1);
    for session in 3_000..3_040 {
        let at = fleet.write_session(0, session);
        assert!(
            fleet
                .required_position(2, session)
                .is_some_and(|owes| owes >= at)
        );
    }
}

/// A program that knows nothing of copies takes part as a member: it is asked in vain and never accounted for.
#[test]
fn member_without_replication_is_never_accounted_for() {
    let mut fleet = Fleet::new(3);
    let at = fleet.write_session(0, 7);
    fleet.members.remove(&2);
    let all: Vec<(usize, u64)> = vec![(0, 1), (1, 2), (2, 3), (3, 4)];
    fleet.members.insert(
        3,
        Replicator::new(fleet.now, me(3, 1, 4), ReplicationConfig::default(), None),
    );
    fleet.agree_on(&layout(2, &all));
    fleet.advance(60_000);
    // The others promise to each other, and read at the instant, as the older one may answer anything.
    let ticket = fleet.begin_write(3, 7, None);
    assert!(matches!(
        fleet.completion(3, ticket),
        Completion::QuorumAcknowledged { .. } | Completion::WithoutQuorum { .. }
    ));
    fleet.finish_write(3, ticket, WriteOutcome::Acknowledged(at + 10));
    assert_eq!(fleet.required_position(1, 7), None);
}

#[test]
fn invalid_messages_and_ended_incarnations_are_dropped() {
    let mut fleet = Fleet::new(3);
    let before = fleet.members[&0].counters();
    let envelope = |name: &str, life, body| Envelope {
        sender: name.into(),
        incarnation: life,
        storage_id: 2,
        layout_version: 1,
        request_id: 1,
        message: body,
    };
    let now = fleet.now;
    let bad = [
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
    for said in &bad {
        assert!(
            fleet
                .members
                .get_mut(&0)
                .unwrap()
                .on_message(now, said)
                .is_empty(),
            "{said:?}"
        );
    }
    assert_eq!(
        fleet.members[&0].counters().invalid_messages,
        before.invalid_messages + bad.len() as u64
    );
    // A later life speaks, then an earlier one of the same name.
    fleet
        .members
        .get_mut(&0)
        .unwrap()
        .on_message(now, &envelope("n1", 9, Message::QueryLayouts));
    assert!(
        fleet
            .members
            .get_mut(&0)
            .unwrap()
            .on_message(now, &envelope("n1", 8, Message::QueryLayouts))
            .is_empty()
    );
}
