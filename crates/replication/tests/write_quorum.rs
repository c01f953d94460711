//! Quorum writes and the reads that meet them.

use leverpoint_replication::write_quorum::{ReplicaSet, WriteQuorumInput, next_state};
use leverpoint_replication::{
    ReadQuorum, ReadStatus, Record, RecordKey, RecordValue, ReplicaId, ReplicaReply,
    ReplicationFactor, SessionWrites, WriteQuorum, WriteQuorumEffect, WriteQuorumState,
};

fn replica(name: &str, storage_id: u64) -> ReplicaId {
    ReplicaId {
        name: name.to_owned(),
        storage_id,
    }
}

fn named(n: usize) -> ReplicaSet {
    (0..n)
        .map(|n| replica(&format!("n{n}"), n as u64 + 1))
        .collect()
}

#[test]
fn transitions_are_complete() {
    let inputs = [
        WriteQuorumInput::QuorumReached,
        WriteQuorumInput::BelowQuorum,
        WriteQuorumInput::ReplicaRejected,
        WriteQuorumInput::QuorumUnreachable,
        WriteQuorumInput::SlowReplica,
        WriteQuorumInput::TimedOut,
        WriteQuorumInput::LayoutChanged,
    ];
    let mut out = String::new();
    for state in [
        WriteQuorumState::Sent,
        WriteQuorumState::SentToAll,
        WriteQuorumState::Acknowledged,
        WriteQuorumState::Abandoned,
    ] {
        for input in inputs {
            let (next, effect) = next_state(state, input);
            out += &format!("{state:?} {input:?} -> {next:?} {effect:?}\n");
        }
    }
    insta::assert_snapshot!(out);
}

/// Every way of telling holders, losing some and reading at the rest, for 3 and 5 copies.
#[test]
fn read_quorum_meets_every_acknowledged_write_and_never_guesses_lost_ones() {
    let wrote = SessionWrites {
        position: 77,
        ..SessionWrites::default()
    };
    let record = Record {
        key: RecordKey::Session(1),
        value: RecordValue::Session(wrote),
    };
    let (mut exact, mut owed) = (0, 0);
    for many in [3usize, 5] {
        let all = named(many);
        for have in 0..1u32 << many {
            let mut promise = WriteQuorum::new(all.clone(), 100, 200);
            let mut promised = false;
            for (_, who) in all.iter().enumerate().filter(|(n, _)| have >> n & 1 == 1) {
                promised |= promise.on_acknowledged(who) == WriteQuorumEffect::Acknowledge;
            }
            assert_eq!(
                promised,
                have.count_ones() as usize >= ReplicationFactor::quorum(many)
            );
            for lost in 0..1u32 << many {
                // Those that lost their memory are back, empty and learning; the others answer or are not reached.
                for reached in 0..1u32 << many {
                    let mut reading = ReadQuorum::new(vec![all.clone()]);
                    let mut worth = ReadStatus::Pending;
                    for (n, who) in all.iter().enumerate() {
                        let held = (have >> n & 1 == 1).then(|| record.clone());
                        let says = |record| {
                            Some(ReplicaReply {
                                record,
                                low_watermark: 0,
                                partitioned: false,
                            })
                        };
                        worth = match (reached >> n & 1 == 1, lost >> n & 1 == 1) {
                            (false, _) => reading.on_reply(who, None),
                            (true, true) => reading
                                .on_reply(&replica(&who.name, who.storage_id + 100), says(None)),
                            (true, false) => reading.on_reply(who, says(held)),
                        };
                    }
                    match worth {
                        ReadStatus::Exact(found, _) => {
                            exact += 1;
                            assert!(
                                !promised || found.as_ref() == Some(&record),
                                "{have:b} {lost:b} {reached:b}"
                            );
                        }
                        ReadStatus::QuorumUnreachable(_) => owed += 1,
                        ReadStatus::Pending => panic!("all have been heard"),
                    }
                }
            }
        }
    }
    assert!(exact > 1_000 && owed > 1_000, "{exact} {owed}");
}

#[test]
fn write_is_abandoned_at_its_deadline_and_needs_a_quorum_of_both_layouts() {
    assert_eq!(WriteQuorum::new(named(7), 100, 200).recipients().count(), 5);
    let (old, new) = (
        named(3),
        vec![replica("n0", 1), replica("n8", 80), replica("n9", 90)],
    );
    let mut promise = WriteQuorum::new(old.clone(), 100, 200);
    assert_eq!(promise.recipients().count(), 3);
    assert_eq!(
        (promise.tick(99), promise.tick(100)),
        (WriteQuorumEffect::Nothing, WriteQuorumEffect::SendToAll)
    );
    assert_eq!(promise.recipients().count(), 3);
    assert_eq!(
        promise.on_layout_added(new.clone()),
        WriteQuorumEffect::SendToAll
    );
    assert_eq!(promise.recipients().count(), 5);
    // Enough of the old, not of the new; then of both. One with another memory than its layout's is nobody.
    assert_eq!(
        (
            promise.on_acknowledged(&old[0]),
            promise.on_acknowledged(&old[1])
        ),
        (WriteQuorumEffect::Nothing, WriteQuorumEffect::Nothing)
    );
    assert_eq!(
        promise.on_acknowledged(&replica("n8", 81)),
        WriteQuorumEffect::Nothing
    );
    assert_eq!(
        promise.on_acknowledged(&new[1]),
        WriteQuorumEffect::Acknowledge
    );
    assert_eq!(
        (promise.next_deadline(), promise.tick(500)),
        (None, WriteQuorumEffect::Nothing)
    );
    // Too few are left: without the promise, at once. And at its time.
    let mut promise = WriteQuorum::new(old.clone(), 100, 200);
    assert_eq!(promise.on_rejected(&old[0]), WriteQuorumEffect::SendToAll);
    assert_eq!(
        promise.on_rejected(&old[1]),
        WriteQuorumEffect::ProceedWithoutQuorum
    );
    assert_eq!(
        (promise.state(), promise.on_acknowledged(&old[2])),
        (WriteQuorumState::Abandoned, WriteQuorumEffect::Nothing)
    );
    let mut promise = WriteQuorum::new(old, 100, 200);
    assert_eq!(
        (promise.next_deadline(), promise.tick(200)),
        (Some(100), WriteQuorumEffect::ProceedWithoutQuorum)
    );
}
