//! Eviction and expiry of records, and the low watermark that covers them.

use std::collections::BTreeMap;

use fastrand::Rng;
use leverpoint_replication::record_store::{RecordStore, RecordStoreLimits};
use leverpoint_replication::{
    KeyedAttempt, KeyedOutcome, KeyedRequestState, Record, RecordKey, RecordValue, SessionWrites,
};

#[test]
fn low_watermark_covers_evicted_and_expired_records() {
    let limits = RecordStoreLimits {
        max_records: 1_000,
        max_bytes: 1 << 20,
        position_retention: 50_000,
        key_retention: 30_000,
    };
    let mut store = RecordStore::new(limits);
    let session_value = |at| {
        RecordValue::Session(SessionWrites {
            position: at,
            ..SessionWrites::default()
        })
    };
    let keyed_value = |at| {
        RecordValue::KeyedRequest(KeyedRequestState::with_attempt(
            1,
            KeyedAttempt {
                replica_set: 0,
                first_sent: at,
                deduplicated_until: at + 9,
                outcome: KeyedOutcome::Executed,
                is_first: true,
            },
        ))
    };
    let mut rng = Rng::with_seed(5);
    let mut expected = BTreeMap::new();
    for n in 0..20_000u64 {
        let at = n as i64 * 10 + rng.i64(0..500);
        let is_session = rng.bool();
        let (record_key, value) = if is_session {
            (RecordKey::Session(n % 4_000), session_value(at))
        } else {
            (RecordKey::KeyedRequest(n), keyed_value(at))
        };
        store.merge(&Record {
            key: record_key,
            value,
        });
        expected
            .entry(record_key)
            .and_modify(|latest: &mut i64| *latest = at.max(*latest))
            .or_insert(at);
        assert!(store.len() <= 1_000);
    }
    store.expire(250_000, leverpoint_replication::record_store::BUCKETS);
    for (key, at) in expected {
        let stored = store.get(key).map_or(0, Record::last_touched);
        let is_expired_key = matches!(key, RecordKey::KeyedRequest(_)) && at < 250_000 - 30_000;
        assert!(
            stored == at || store.low_watermark() >= at || is_expired_key,
            "{key:?} {at} {stored} {}",
            store.low_watermark()
        );
    }
    assert!(store.evicted() > 0 && !store.is_empty());
}
