//! Shares of late attempts, and the shortage that they indicate.

use leverpoint_routing::primary_tracking::Role;
use leverpoint_routing::recent_outcomes::RecentOutcomes;

#[test]
fn shortage_is_presumed_until_attempts_have_ended_in_time() {
    let mut outcomes = RecentOutcomes::default();
    assert_eq!(outcomes.shortage(), 1.0);
    (0..40).for_each(|_| outcomes.record(Role::Replica, false, 1.0));
    assert!((outcomes.shortage() - 0.2).abs() < 1e-9);
    (0..40).for_each(|_| outcomes.record(Role::Primary, false, 1.0));
    assert_eq!(outcomes.shortage(), 0.0);
}

#[test]
fn late_attempts_at_replicas_do_not_lower_the_share_of_primaries() {
    let mut outcomes = RecentOutcomes::default();
    outcomes.record(Role::Replica, true, 1.0);
    assert_eq!(outcomes.primary_in_time(4.0), 1.0);
    outcomes.record(Role::Primary, true, 1.0);
    assert_eq!(outcomes.primary_in_time(4.0), 0.8);
    outcomes.record(Role::Primary, true, -1.0);
    assert_eq!(outcomes.primary_in_time(4.0), 1.0);
}
