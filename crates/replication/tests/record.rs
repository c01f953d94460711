//! Algebraic properties of the merge of replicated records, and the bound of open writers.

use std::collections::BTreeMap;

use fastrand::Rng;
use leverpoint_replication::{
    EndpointSummary, KeyedAttempt, KeyedOutcome, KeyedRequestState, OpenWrites, PrimaryRole,
    Record, RecordKey, RecordValue, SessionWrites,
};

#[test]
fn merge_is_commutative_associative_and_idempotent() {
    let mut rng = Rng::with_seed(3);
    let mut random_record = |kind: usize| {
        let mut small = || rng.i64(0..6);
        let value = match kind {
            0 => {
                let mut open = BTreeMap::new();
                for _ in 0..small() {
                    let (begun, finished) = (small() as u32, small() as u32);
                    open.insert(
                        (small() as u64 % 4, 1),
                        OpenWrites {
                            last_begun: begun,
                            last_finished: finished,
                            begun_at: small(),
                        },
                    );
                }
                RecordValue::Session(SessionWrites {
                    position: small(),
                    open_writes: open.into_iter().take(2).collect(),
                    overflowed: false,
                })
            }
            1 => {
                // Replica set, first send and window end of an attempt are fixed; replicas differ only in its outcome.
                let outcomes = [
                    KeyedOutcome::Pending,
                    KeyedOutcome::NotExecuted,
                    KeyedOutcome::PossiblyExecuted,
                    KeyedOutcome::Executed,
                ];
                let attempt = |id: i64, known_outcome| KeyedAttempt {
                    replica_set: id as u16 % 2,
                    first_sent: id,
                    deduplicated_until: 9 + id,
                    outcome: known_outcome,
                    is_first: id % 2 == 0,
                };
                let ids = [small(), small(), small()];
                let attempts =
                    ids.map(|id| (id as u64, attempt(id, outcomes[small() as usize % 4])));
                RecordValue::KeyedRequest(KeyedRequestState {
                    attempts: BTreeMap::from(attempts),
                    folded: None,
                })
            }
            2 => RecordValue::Primary(PrimaryRole {
                term: small() as u64,
                observed_at: small(),
                server: format!("s{}", small()),
            }),
            _ => {
                let drained = vec![format!("s{}", small())];
                RecordValue::EndpointList(EndpointSummary {
                    revision: small() as u64,
                    observed_at: small(),
                    drained,
                })
            }
        };
        let record_key = [
            RecordKey::Session(1),
            RecordKey::KeyedRequest(1),
            RecordKey::Primary(1),
            RecordKey::EndpointList,
        ][kind];
        Record {
            key: record_key,
            value,
        }
    };
    for round in 0..3_000 {
        let kind = round % 4;
        let [a, b, c] = [
            random_record(kind),
            random_record(kind),
            random_record(kind),
        ];
        assert!(a.is_valid());
        let merge_all = |records: &[&Record]| {
            let mut merged = records[0].clone();
            for other in &records[1..] {
                merged.merge(other);
            }
            merged
        };
        let expected = merge_all(&[&a, &b, &c]);
        for order in [
            [&a, &c, &b],
            [&b, &a, &c],
            [&b, &c, &a],
            [&c, &a, &b],
            [&c, &b, &a],
        ] {
            assert_eq!(merge_all(&order), expected);
        }
        assert_eq!(merge_all(&[&a, &b, &a, &c, &b]), expected);
        assert_eq!(
            merge_all(&[&merge_all(&[&a, &b]), &merge_all(&[&b, &c])]),
            expected
        );
        assert!(
            !merge_all(&[&expected]).clone().merge(&a),
            "merging a contained record changes the merged one"
        );
    }
}

/// A session record with more writers than its bound may report open writes although there are none, but never the
/// reverse, in whatever order it is merged.
#[test]
fn record_with_too_many_writers_never_hides_an_open_write() {
    let mut rng = Rng::with_seed(8);
    for _ in 0..2_000 {
        let updates: Vec<Record> = (0..12)
            .map(|_| {
                let progress = OpenWrites {
                    last_begun: rng.u32(1..4),
                    last_finished: rng.u32(0..4),
                    begun_at: 5,
                };
                let by_writer = BTreeMap::from([((rng.u64(0..9), 1), progress)]);
                Record {
                    key: RecordKey::Session(1),
                    value: RecordValue::Session(SessionWrites {
                        position: 1,
                        open_writes: by_writer,
                        overflowed: false,
                    }),
                }
            })
            .collect();
        let mut expected: BTreeMap<(u64, u32), (u32, u32)> = BTreeMap::new();
        let mut merged = updates[0].clone();
        for update in &updates {
            merged.merge(update);
            let RecordValue::Session(writes) = &update.value else {
                continue;
            };
            for (writer, progress) in &writes.open_writes {
                let latest = expected.entry(*writer).or_default();
                *latest = (
                    latest.0.max(progress.last_begun),
                    latest.1.max(progress.last_finished),
                );
            }
        }
        let RecordValue::Session(writes) = &merged.value else {
            panic!("expected a session record")
        };
        assert!(merged.is_valid());
        assert!(
            writes.has_open_writes()
                || expected
                    .values()
                    .all(|(last_begun, last_finished)| last_begun <= last_finished),
            "{merged:?} {expected:?}"
        );
    }
}
