//! Tests of the decision whether an attempt under an idempotency key may be sent.

use leverpoint_replication::idempotency::decide;
use leverpoint_replication::{
    DeduplicationDomain, IdempotencyClaim, IdempotencyDecision, KeyedAttempt, KeyedOutcome,
    KeyedRequestState, Record, RecordKey, RecordValue,
};

#[test]
fn retry_is_sent_only_to_the_first_replica_set_and_within_its_window() {
    let attempt = |set, first_sent_at, outcome_so_far| KeyedAttempt {
        replica_set: set,
        first_sent: first_sent_at,
        deduplicated_until: first_sent_at + 20_000,
        outcome: outcome_so_far,
        is_first: false,
    };
    let claim = |set, retry| IdempotencyClaim {
        key: 9,
        attempt_id: 7,
        replica_set: set,
        deduplication: DeduplicationDomain::ReplicaSet,
        deduplication_window: 20_000,
        is_retry: retry,
    };
    let mut record = Record {
        key: RecordKey::KeyedRequest(9),
        value: RecordValue::KeyedRequest(KeyedRequestState::with_attempt(
            1,
            attempt(2, 500, KeyedOutcome::PossiblyExecuted),
        )),
    };
    record.merge(&Record {
        key: RecordKey::KeyedRequest(9),
        value: RecordValue::KeyedRequest(KeyedRequestState::with_attempt(
            7,
            attempt(2, 900, KeyedOutcome::Pending),
        )),
    });
    let decide_on = |record: &Record, claim: &IdempotencyClaim, now, lost_until| {
        let RecordValue::KeyedRequest(state) = &record.value else {
            panic!("expected KeyedRequest")
        };
        decide(claim, Some(state), now, 10, (lost_until, 60_000))
    };
    assert_eq!(
        decide_on(&record, &claim(2, true), 20_000, 0),
        IdempotencyDecision::Retry(500)
    );
    assert_eq!(
        decide_on(&record, &claim(3, true), 20_000, 0),
        IdempotencyDecision::OutcomeUnknown,
        "another replica set than the first attempt"
    );
    assert_eq!(
        decide_on(&record, &claim(2, true), 20_495, 0),
        IdempotencyDecision::OutcomeUnknown,
        "the deduplication window may have ended by the clock of another machine"
    );
    assert_eq!(
        decide_on(&record, &claim(2, true), 20_000, 10_000),
        IdempotencyDecision::OutcomeUnknown,
        "the record of an earlier attempt may be lost"
    );
    assert_eq!(
        decide_on(&record, &claim(2, true), 80_000, 10_000),
        IdempotencyDecision::OutcomeUnknown
    );
    // No attempt precedes one that the client did not declare a retry.
    let mut with_first = record.clone();
    let first_attempt = KeyedAttempt {
        is_first: true,
        ..attempt(2, 400, KeyedOutcome::Pending)
    };
    with_first.merge(&Record {
        key: RecordKey::KeyedRequest(9),
        value: RecordValue::KeyedRequest(KeyedRequestState::with_attempt(2, first_attempt)),
    });
    assert_eq!(
        decide_on(&with_first, &claim(2, true), 20_000, 10_000),
        IdempotencyDecision::Retry(400)
    );
    for domain in [DeduplicationDomain::Zone, DeduplicationDomain::Global] {
        let claim = IdempotencyClaim {
            deduplication: domain,
            ..claim(3, true)
        };
        let is_recognized = domain == DeduplicationDomain::Global;
        assert_eq!(
            decide_on(&record, &claim, 20_000, 0),
            if is_recognized {
                IdempotencyDecision::Retry(500)
            } else {
                IdempotencyDecision::OutcomeUnknown
            }
        );
    }
    // An attempt that was not executed does not restrict others; one executed earlier at another replica set does.
    let RecordValue::KeyedRequest(state) = &mut record.value else {
        panic!("expected KeyedRequest")
    };
    state
        .attempts
        .insert(1, attempt(2, 500, KeyedOutcome::NotExecuted));
    assert_eq!(
        decide_on(&record, &claim(2, true), 20_000, 0),
        IdempotencyDecision::FirstAttempt
    );
    record.merge(&Record {
        key: RecordKey::KeyedRequest(9),
        value: RecordValue::KeyedRequest(KeyedRequestState::with_attempt(
            3,
            attempt(3, 100, KeyedOutcome::Executed),
        )),
    });
    assert_eq!(
        decide_on(&record, &claim(2, true), 20_000, 0),
        IdempotencyDecision::OutcomeUnknown
    );
    // No attempt is known: a new key may be sent, a declared retry only if no record of its key can be lost.
    assert_eq!(
        decide(&claim(2, true), None, 90_000, 10, (20_000, 60_000)),
        IdempotencyDecision::FirstAttempt
    );
    assert_eq!(
        decide(&claim(2, true), None, 70_000, 10, (20_000, 60_000)),
        IdempotencyDecision::OutcomeUnknown
    );
    assert_eq!(
        decide(&claim(2, false), None, 70_000, 10, (20_000, 60_000)),
        IdempotencyDecision::FirstAttempt
    );
}
