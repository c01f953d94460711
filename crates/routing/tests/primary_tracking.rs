//! Precedence of reports over the endpoint list.

use leverpoint_routing::api::{MILLISECOND, Ticks};
use leverpoint_routing::primary_tracking::KnownPrimary;

const NOW: Ticks = 100_000 * MILLISECOND;

#[test]
fn only_a_different_server_is_a_change() {
    let mut primary = KnownPrimary::default();
    assert!(primary.report(2, NOW));
    assert!(!primary.report(2, NOW + 1));
    assert!(primary.report(3, NOW + 2));
    assert!(primary.is(3) && !primary.is(2));
}

#[test]
fn list_yields_to_reports_for_ten_seconds() {
    let mut primary = KnownPrimary::default();
    assert!(primary.yields_to_list(NOW));
    primary.report(2, NOW);
    assert!(!primary.yields_to_list(NOW + 10_000 * MILLISECOND));
    assert!(primary.yields_to_list(NOW + 10_000 * MILLISECOND + 1));
}

#[test]
fn listed_primary_does_not_count_as_reported() {
    let mut primary = KnownPrimary::default();
    assert!(primary.set_listed(2));
    assert!(primary.yields_to_list(NOW) && primary.is_older_than(NOW));
}

#[test]
fn clearing_the_primary_keeps_the_time_of_its_last_report() {
    let mut primary = KnownPrimary::default();
    primary.report(2, NOW);
    primary.clear();
    assert_eq!(primary.server(), None);
    assert!(!primary.is_older_than(NOW) && primary.is_older_than(NOW + 1));
}
