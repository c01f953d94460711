//! Retries, and requests that are given up.

use insta::assert_snapshot;
use leverpoint_routing::api::{
    AttemptOutcome, DeduplicationScope, EndpointState, EndpointUpdate, Idempotency,
};

use crate::router_trace::{
    ANY_READ, KEYED_WRITE, MS, PLAIN_WRITE, RouterTrace, SESSION, default_config, endpoint,
};

#[test]
fn keyed_write_is_retried_only_within_its_deduplication_window() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.now += 300 * MS;
    router.finish_attempt(0, 0, AttemptOutcome::Error, Some((true, 0)));
    router.now += 1300 * MS;
    router.finish_attempt(0, 1, AttemptOutcome::Error, Some((true, 0)));
    assert_snapshot!(router.take_trace());
}

#[test]
fn non_idempotent_write_is_not_retried_after_ambiguous_outcome() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, PLAIN_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::Overloaded, None);
    router.finish_attempt(0, 1, AttemptOutcome::Reset, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn waiting_write_is_rejected_before_client_deadline() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.update_endpoints(
        EndpointUpdate::Changes,
        &(0..4)
            .map(|s| endpoint(s, EndpointState::Gone, false, 0))
            .collect::<Vec<_>>(),
    );
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.advance_ms(2100);
    assert_snapshot!(router.take_trace());
}

#[test]
fn write_in_partitioned_zone_is_shed_near_half_of_its_deadline() {
    let mut router = RouterTrace::new(default_config());
    // The servers alternate between zone 0, which is this gateway's, and zone 1, where the primary
    // is.
    router.update_endpoints(
        EndpointUpdate::Restored,
        &(0..4)
            .map(|s| endpoint(s, EndpointState::Ready, s == 1, 0))
            .collect::<Vec<_>>(),
    );
    (0..9).for_each(|request| router.send_request(request, ANY_READ, None));
    for request in (0..9)
        .filter(|&request| router.server_of(request) == 3)
        .collect::<Vec<_>>()
    {
        router.finish_attempt(request, 0, AttemptOutcome::NotConnected, None);
    }
    router.send_request(9, KEYED_WRITE, Some(SESSION));
    (0..3)
        .for_each(|attempt| router.finish_attempt(9, attempt, AttemptOutcome::NotConnected, None));
    router.finish_attempt(9, 3, AttemptOutcome::NotCaughtUp, Some((false, 0)));
    router.update_endpoints(
        EndpointUpdate::Changes,
        &[0, 2].map(|s| endpoint(s, EndpointState::Draining, false, 0)),
    );
    router.send_request(10, KEYED_WRITE, Some(SESSION));
    (0..2)
        .for_each(|attempt| router.finish_attempt(10, attempt, AttemptOutcome::NotConnected, None));
    router.advance_ms(2100);
    assert_snapshot!(router.take_trace());
}

#[test]
fn possibly_executed_keyed_write_stays_in_its_deduplication_zone() {
    let mut config = default_config();
    config.classes[KEYED_WRITE].idempotency = Idempotency::IdempotentByKey {
        window: 1500 * MS,
        scope: DeduplicationScope::Zone,
    };
    let mut router = RouterTrace::with_replica_set(config);
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::Reset, None);
    router.advance_ms(1600);
    assert_snapshot!(router.take_trace());
}

#[test]
fn client_retry_finds_no_capacity_in_shortage_where_first_request_does() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.elapsed = 80 * MS;
    for request in 0..60 {
        router.send_request(request, ANY_READ, None);
    }
    router.now += 100 * MS;
    for request in 0..54 {
        router.finish_attempt(
            request,
            0,
            if request % 4 == 0 {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::Answered
            },
            Some((false, 0)),
        );
    }
    router.take_trace();
    router.client_retry = true;
    router.send_request(60, ANY_READ, None);
    router.client_retry = false;
    router.send_request(61, ANY_READ, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn request_with_too_short_deadline_is_shed_at_once() {
    let mut router = RouterTrace::with_replica_set(default_config());
    // The typical latency is 100 ms.
    router.client_timeout = 60 * MS;
    router.send_request(0, ANY_READ, None);
    router.client_timeout = 40 * MS;
    router.send_request(1, ANY_READ, None);
    router.send_request(2, KEYED_WRITE, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn client_retry_without_capacity_is_shed_before_half_of_its_deadline() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, ANY_READ, None);
    (0..4).for_each(|attempt| router.finish_attempt(0, attempt, AttemptOutcome::Overloaded, None));
    router.client_timeout = 600 * MS;
    router.send_request(1, ANY_READ, None);
    router.client_retry = true;
    router.send_request(2, ANY_READ, None);
    router.advance_ms(400);
    assert_snapshot!(router.take_trace());
}

/// Guards against starting attempts that cannot end before the gateway's shutdown: their requests
/// failed as possibly executed.
#[test]
fn request_without_time_before_shutdown_is_shed_and_not_attempted() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, PLAIN_WRITE, None);
    router.shut_down_in(300 * MS);
    // The typical latency is 100 ms.
    router.advance_ms(200);
    router.send_request(1, PLAIN_WRITE, None);
    router.advance_ms(50);
    router.finish_attempt(0, 0, AttemptOutcome::TimedOut, None);
    router.send_request(2, PLAIN_WRITE, None);
    router.send_request(3, ANY_READ, None);
    assert_snapshot!(router.take_trace());
}

/// Guards against sending a write to a hung primary during the shutdown, which has left an earlier
/// write unanswered: it could only be failed as possibly executed.
#[test]
fn write_during_shutdown_waits_for_an_unresponsive_primary_to_respond() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, PLAIN_WRITE, None);
    router.send_request(1, PLAIN_WRITE, None);
    router.shut_down_in(1500 * MS);
    router.advance_ms(400);
    router.finish_attempt(0, 0, AttemptOutcome::TimedOut, None);
    router.send_request(2, PLAIN_WRITE, None);
    router.advance_ms(100);
    router.finish_attempt(1, 0, AttemptOutcome::Answered, Some((true, 0)));
    router.advance_ms(10);
    assert_snapshot!(router.take_trace());
}
