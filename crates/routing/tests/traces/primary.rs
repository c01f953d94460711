//! Failover: how the primary of a replica set is detected, and when it becomes unknown.

use insta::assert_snapshot;
use leverpoint_routing::api::{AttemptOutcome, EndpointState, EndpointUpdate};

use crate::router_trace::{
    KEYED_WRITE, PLAIN_WRITE, RouterTrace, SESSION, default_config, endpoint,
};

#[test]
fn failover_is_detected_by_rejected_writes() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::NotCaughtUp, Some((false, 0)));
    router.finish_attempt(0, 1, AttemptOutcome::NotCaughtUp, Some((false, 0)));
    router.finish_attempt(0, 2, AttemptOutcome::Answered, Some((true, 0)));
    router.send_request(1, KEYED_WRITE, Some(SESSION));
    assert_snapshot!(router.take_trace());
}

#[test]
fn primary_missing_from_full_list_becomes_unknown() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::Answered, Some((true, 0)));
    router.update_endpoints(
        EndpointUpdate::Full,
        &[
            endpoint(1, EndpointState::Ready, false, 0),
            endpoint(2, EndpointState::Ready, false, 0),
        ],
    );
    router.send_request(1, KEYED_WRITE, Some(SESSION));
    assert_snapshot!(router.take_trace());
}

#[test]
fn reported_primary_takes_precedence_over_late_list() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::NotCaughtUp, Some((false, 0)));
    router.finish_attempt(0, 1, AttemptOutcome::Answered, Some((true, 0)));
    router.update_endpoints(
        EndpointUpdate::Changes,
        &[endpoint(0, EndpointState::Ready, false, 0)],
    );
    router.update_endpoints(
        EndpointUpdate::Changes,
        &[endpoint(0, EndpointState::Ready, true, 0)],
    );
    router.send_request(1, KEYED_WRITE, Some(SESSION));
    assert_snapshot!(router.take_trace());
}

#[test]
fn empty_list_keeps_primary_where_only_draining_excludes() {
    let mut config = default_config();
    config.protection.only_draining_excludes = true;
    let mut router = RouterTrace::with_replica_set(config);
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::Answered, Some((true, 0)));
    router.update_endpoints(EndpointUpdate::Full, &[]);
    router.send_request(1, KEYED_WRITE, Some(SESSION));
    assert_snapshot!(router.take_trace());
}

#[test]
fn announced_primary_is_accepted_unless_a_report_is_newer() {
    let mut config = default_config();
    config.permissions.gossip = true;
    let mut router = RouterTrace::with_replica_set(config);
    router.announce_primary(2);
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::NotCaughtUp, Some((false, 0)));
    router.announce_primary(2);
    router.finish_attempt(0, 1, AttemptOutcome::Answered, Some((true, 0)));
    assert_snapshot!(router.take_trace());
}

#[test]
fn primary_is_ejected_only_after_three_attempts_without_response() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::Reset, None);
    router.finish_attempt(0, 1, AttemptOutcome::NotConnected, None);
    router.finish_attempt(0, 2, AttemptOutcome::Reset, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn primary_search_continues_past_half_of_attempts_once_set_is_idle() {
    let mut config = default_config();
    config.permissions.max_attempts = 6;
    let mut router = RouterTrace::with_replica_set(config);
    router.send_request(0, PLAIN_WRITE, Some(SESSION));
    // No member is the primary, and half of the attempts are used up.
    for attempt in 0..3 {
        router.advance_ms(20);
        router.finish_attempt(0, attempt, AttemptOutcome::NotCaughtUp, Some((false, 0)));
    }
    router.advance_ms(520);
    // The last member to be tried has become the primary.
    router.finish_attempt(0, 3, AttemptOutcome::Answered, Some((true, 0)));
    assert_snapshot!(router.take_trace());
}
