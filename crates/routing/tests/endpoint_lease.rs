//! When the lease of the endpoint list expires. `traces/endpoints.rs` tests what happens to
//! requests then.

use leverpoint_routing::api::Ticks;
use leverpoint_routing::endpoint_lease::EndpointLease;

const MS: Ticks = 10;

#[test]
fn lease_expires_some_time_after_discovery_refuses() {
    let mut lease = EndpointLease::new(false, 400 * MS);
    lease.on_process_started(1_000 * MS);
    assert_eq!(
        lease.expires_at(),
        None,
        "a silent discovery does not expire the lease"
    );
    lease.on_refused();
    assert_eq!(
        lease.expires_at(),
        Some(7_100 * MS),
        "6 s and the grace, less 0.3 s"
    );
    assert!(!lease.is_expired(7_100 * MS - 1) && lease.is_expired(7_100 * MS));
    lease.on_confirmed(5_000 * MS);
    assert_eq!(lease.expires_at(), None);
    lease.on_refused();
    assert_eq!(lease.expires_at(), Some(11_100 * MS));
}

#[test]
fn lease_expires_sooner_after_discovery_moved() {
    let mut lease = EndpointLease::new(false, 400 * MS);
    lease.on_confirmed(5_000 * MS);
    lease.on_discovery_moved(5_500 * MS);
    lease.on_discovery_moved(8_000 * MS);
    lease.on_refused();
    assert_eq!(
        lease.expires_at(),
        Some(9_600 * MS),
        "4 s after the first move that was not followed by a list"
    );
    lease.on_confirmed(9_000 * MS);
    lease.on_refused();
    assert_eq!(lease.expires_at(), Some(15_100 * MS));
}

#[test]
fn pushed_list_has_no_lease() {
    let mut lease = EndpointLease::new(true, 400 * MS);
    lease.on_confirmed(5_000 * MS);
    lease.on_refused();
    assert_eq!(lease.expires_at(), None);
}

#[test]
fn unreachable_discovery_extends_the_lease() {
    let mut lease = EndpointLease::new(false, 400 * MS);
    lease.on_confirmed(1_000 * MS);
    lease.on_unreachable(2_000 * MS);
    lease.on_unreachable(5_000 * MS);
    assert_eq!(lease.expires_at(), None);
    lease.on_refused();
    assert_eq!(lease.expires_at(), Some(11_100 * MS));
    // After the first refusal later outages do not count.
    lease.on_unreachable(9_000 * MS);
    assert_eq!(lease.expires_at(), Some(11_100 * MS));
    lease.on_discovery_moved(4_000 * MS);
    assert_eq!(lease.expires_at(), Some(9_100 * MS));
}
