//! Reported and believed replication positions.

use leverpoint_routing::api::{MILLISECOND, Ticks};
use leverpoint_routing::replica_position::ReplicaPosition;

const NOW: Ticks = 100_000 * MILLISECOND;
const SECOND: Ticks = 1000 * MILLISECOND;

#[test]
fn replica_without_reports_is_believed_to_be_current() {
    assert_eq!(ReplicaPosition::default().believed(None, NOW), NOW);
}

#[test]
fn believed_lag_is_kept_for_two_seconds_and_halves_then() {
    let mut position = ReplicaPosition::default();
    position.on_report(Some(NOW - 4 * SECOND));
    let believed_lag = |elapsed: Ticks| {
        let now = NOW + elapsed;
        now - position.believed(Some(NOW), now)
    };
    assert_eq!(believed_lag(0), 4 * SECOND);
    assert_eq!(believed_lag(2 * SECOND - 1), 4 * SECOND);
    assert_eq!(believed_lag(2 * SECOND), 2 * SECOND);
    assert_eq!(believed_lag(4 * SECOND), SECOND);
}

#[test]
fn believed_position_is_never_before_the_reported_one() {
    let mut position = ReplicaPosition::default();
    position.on_report(Some(NOW));
    position.on_report(Some(NOW - SECOND));
    assert_eq!(position.believed(Some(NOW), NOW + SECOND), NOW + SECOND);
    assert_eq!(position.believed(Some(NOW - SECOND), NOW - SECOND), NOW);
}

#[test]
fn replica_whose_hold_expired_is_stale_for_five_seconds() {
    let mut position = ReplicaPosition::default();
    position.on_hold_expired(NOW);
    assert!(position.is_stale(NOW + 5 * SECOND - 1) && !position.is_stale(NOW + 5 * SECOND));
}
