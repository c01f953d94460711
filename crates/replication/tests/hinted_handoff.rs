//! Bound and redelivery of the hints for an unreachable replica.

use leverpoint_replication::hinted_handoff::{HintBuffer, HintStored};
use leverpoint_replication::{EndpointSummary, Record, RecordKey, RecordValue};

/// An endpoint list record, told apart by its revision.
fn endpoint_list_record(revision: u64) -> Record {
    Record {
        key: RecordKey::EndpointList,
        value: RecordValue::EndpointList(EndpointSummary {
            revision,
            observed_at: 1,
            drained: Vec::new(),
        }),
    }
}

#[test]
fn oldest_hint_is_dropped_beyond_the_bound() {
    let mut hints = HintBuffer::default();
    for revision in 0..4_096 {
        assert_eq!(
            hints.store(endpoint_list_record(revision)),
            HintStored::WithinBound
        );
    }

    let stored = hints.store(endpoint_list_record(4_096));

    assert_eq!(stored, HintStored::OldestDropped);
    assert_eq!(hints.len(), 4_096);
    assert_eq!(hints.take(1, 0), [endpoint_list_record(1)]);
}

#[test]
fn hints_are_due_again_at_the_next_attempt() {
    let mut hints = HintBuffer::default();
    for revision in 0..3 {
        assert_eq!(
            hints.store(endpoint_list_record(revision)),
            HintStored::WithinBound
        );
    }

    let taken = hints.take(2, 500);

    assert_eq!(taken, [endpoint_list_record(0), endpoint_list_record(1)]);
    assert!(!hints.is_due(499) && hints.is_due(500));
    assert_eq!(hints.take(2, 1_000), [endpoint_list_record(2)]);
    assert!(hints.is_empty() && !hints.is_due(1_000));
}
