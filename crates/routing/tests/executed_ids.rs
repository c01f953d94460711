//! Ids of writes that may have been executed and whose clients left.

use leverpoint_routing::api::Idempotency;
use leverpoint_routing::executed_ids::{ExecutedIds, RequestEnd};

const SECOND: i64 = 10_000;

/// The end of a write that may have been executed and whose client left.
const UNKNOWN: RequestEnd = RequestEnd {
    idempotency: Idempotency::NonIdempotent,
    possibly_executed: true,
    client_left: true,
};

#[test]
fn only_writes_of_unknown_outcome_are_remembered() {
    let mut ids = ExecutedIds::default();
    let read = RequestEnd {
        idempotency: Idempotency::Idempotent,
        ..UNKNOWN
    };
    let never_sent = RequestEnd {
        possibly_executed: false,
        ..UNKNOWN
    };
    let answered = RequestEnd {
        client_left: false,
        ..UNKNOWN
    };
    let ends = [
        ("read", read),
        ("never sent", never_sent),
        ("answered", answered),
        ("unknown", UNKNOWN),
    ];
    for (id, end) in ends {
        ids.on_request_finished(0, id, end);
    }
    let remembered = ends.map(|(id, _)| ids.contains(id));
    assert_eq!(remembered, [false, false, false, true]);
}

#[test]
fn ids_are_forgotten_by_age_and_beyond_a_bound() {
    let mut ids = ExecutedIds::default();
    for nth in 0..20_000 {
        ids.on_request_finished(nth, &nth.to_string(), UNKNOWN);
    }
    assert_eq!(ids.len(), 16_384);
    assert!(!ids.contains("3615") && ids.contains("3616"));
    // Any request that ends lets go of those that are too old.
    let answered = RequestEnd {
        client_left: false,
        ..UNKNOWN
    };
    ids.on_request_finished(20_000 + 60 * SECOND, "later", answered);
    assert!(ids.is_empty() && !ids.contains("19999"));
}
