//! Tests of quorum writes and of the quorum reads that have to see them.

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

fn replica_set(n: usize) -> ReplicaSet {
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

/// Guards against a read that misses an acknowledged write, or takes a lost replica for an empty one.
///
/// For 3 and 5 replicas: every set of replicas that acknowledge the write, every set that then loses its storage, and
/// every set that replies to the read.
#[test]
fn read_quorum_sees_every_acknowledged_write_and_counts_no_lost_replica() {
    let writes = SessionWrites {
        position: 77,
        ..SessionWrites::default()
    };
    let record = Record {
        key: RecordKey::Session(1),
        value: RecordValue::Session(writes),
    };
    let (mut exact, mut unreachable) = (0, 0);
    for replica_count in [3usize, 5] {
        let replicas = replica_set(replica_count);
        for acknowledging in 0..1u32 << replica_count {
            let mut write = WriteQuorum::new(replicas.clone(), 100, 200);
            let mut is_acknowledged = false;
            for (_, id) in replicas
                .iter()
                .enumerate()
                .filter(|(n, _)| acknowledging >> n & 1 == 1)
            {
                is_acknowledged |= write.on_acknowledged(id) == WriteQuorumEffect::Acknowledge;
            }
            assert_eq!(
                is_acknowledged,
                acknowledging.count_ones() as usize >= ReplicationFactor::quorum(replica_count)
            );
            for lost in 0..1u32 << replica_count {
                // A replica that has lost its storage replies with a new one, without the record.
                for replying in 0..1u32 << replica_count {
                    let mut read = ReadQuorum::new(vec![replicas.clone()]);
                    let mut status = ReadStatus::Pending;
                    for (n, id) in replicas.iter().enumerate() {
                        let stored = (acknowledging >> n & 1 == 1).then(|| record.clone());
                        let reply = |record| {
                            Some(ReplicaReply {
                                record,
                                low_watermark: 0,
                                partitioned: false,
                            })
                        };
                        status = match (replying >> n & 1 == 1, lost >> n & 1 == 1) {
                            (false, _) => read.on_reply(id, None),
                            (true, true) => {
                                read.on_reply(&replica(&id.name, id.storage_id + 100), reply(None))
                            }
                            (true, false) => read.on_reply(id, reply(stored)),
                        };
                    }
                    match status {
                        ReadStatus::Exact(found, _) => {
                            exact += 1;
                            assert!(
                                !is_acknowledged || found.as_ref() == Some(&record),
                                "{acknowledging:b} {lost:b} {replying:b}"
                            );
                        }
                        ReadStatus::QuorumUnreachable(_) => unreachable += 1,
                        ReadStatus::Pending => panic!("all replicas have replied"),
                    }
                }
            }
        }
    }
    assert!(
        exact > 1_000 && unreachable > 1_000,
        "{exact} {unreachable}"
    );
}

#[test]
fn write_is_abandoned_at_its_deadline_and_needs_a_quorum_of_both_layouts() {
    assert_eq!(
        WriteQuorum::new(replica_set(7), 100, 200)
            .recipients()
            .count(),
        5
    );
    let (old, new) = (
        replica_set(3),
        vec![replica("n0", 1), replica("n8", 80), replica("n9", 90)],
    );
    let mut write = WriteQuorum::new(old.clone(), 100, 200);
    assert_eq!(write.recipients().count(), 3);
    assert_eq!(
        (write.tick(99), write.tick(100)),
        (WriteQuorumEffect::Nothing, WriteQuorumEffect::SendToAll)
    );
    assert_eq!(write.recipients().count(), 3);
    assert_eq!(
        write.on_layout_added(new.clone()),
        WriteQuorumEffect::SendToAll
    );
    assert_eq!(write.recipients().count(), 5);
    // A quorum of the old layout, not of the new; then of both. A replica with another storage id does not count.
    assert_eq!(
        (
            write.on_acknowledged(&old[0]),
            write.on_acknowledged(&old[1])
        ),
        (WriteQuorumEffect::Nothing, WriteQuorumEffect::Nothing)
    );
    assert_eq!(
        write.on_acknowledged(&replica("n8", 81)),
        WriteQuorumEffect::Nothing
    );
    assert_eq!(
        write.on_acknowledged(&new[1]),
        WriteQuorumEffect::Acknowledge
    );
    assert_eq!(
        (write.next_deadline(), write.tick(500)),
        (None, WriteQuorumEffect::Nothing)
    );
    // Abandoned as soon as too few replicas are left for a quorum; otherwise at the deadline.
    let mut write = WriteQuorum::new(old.clone(), 100, 200);
    assert_eq!(write.on_rejected(&old[0]), WriteQuorumEffect::SendToAll);
    assert_eq!(
        write.on_rejected(&old[1]),
        WriteQuorumEffect::ProceedWithoutQuorum
    );
    assert_eq!(
        (write.state(), write.on_acknowledged(&old[2])),
        (WriteQuorumState::Abandoned, WriteQuorumEffect::Nothing)
    );
    let mut write = WriteQuorum::new(old, 100, 200);
    assert_eq!(
        (write.next_deadline(), write.tick(200)),
        (Some(100), WriteQuorumEffect::ProceedWithoutQuorum)
    );
}
