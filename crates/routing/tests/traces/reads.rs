//! Selection of servers for reads.

use insta::assert_snapshot;
use leverpoint_routing::api::{AttemptOutcome, EndpointState, EndpointUpdate};

use crate::router_trace::{
    ANY_READ, BOUNDED_READ, KEYED_WRITE, MS, RouterTrace, SESSION, SESSION_READ, default_config,
    endpoint,
};

#[test]
fn session_read_selects_replica_known_to_cover_its_position() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::Answered, Some((true, 0)));
    router.send_request(1, ANY_READ, None);
    router.now += 50 * MS;
    router.finish_attempt(1, 0, AttemptOutcome::Answered, Some((false, 10 * MS)));
    router.send_request(2, SESSION_READ, Some(SESSION));
    assert_snapshot!(router.take_trace());
}

#[test]
fn stale_replica_rejection_is_retried_and_finally_overflows_to_primary() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.finish_attempt(0, 0, AttemptOutcome::Answered, Some((true, 0)));
    router.send_request(1, SESSION_READ, Some(SESSION));
    router.finish_attempt(1, 0, AttemptOutcome::NotCaughtUp, Some((false, 900 * MS)));
    assert_snapshot!(router.take_trace());
}

#[test]
fn single_timeout_does_not_eject_a_replica() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, ANY_READ, None);
    router.now += 2000 * MS;
    router.finish_attempt(0, 0, AttemptOutcome::TimedOut, None);
    router.now += 800 * MS;
    router.send_request(1, ANY_READ, None);
    for request in 2..6 {
        router.send_request(request, ANY_READ, None);
    }
    assert_snapshot!(router.take_trace());
}

#[test]
fn read_without_required_position_selects_most_lagging_replica() {
    let mut router = RouterTrace::with_replica_set(default_config());
    for request in 0..3 {
        router.send_request(request, ANY_READ, None);
    }
    for request in 0..3 {
        let lag = if router.server_of(request) == 2 {
            4000 * MS
        } else {
            10 * MS
        };
        router.finish_attempt(request, 0, AttemptOutcome::Answered, Some((false, lag)));
    }
    for request in 3..6 {
        router.send_request(request, ANY_READ, None);
    }
    router.send_request(6, BOUNDED_READ, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn silent_servers_do_not_count_as_shortage() {
    let mut router = RouterTrace::with_replica_set(default_config());
    // Reads typically take 100 ms; in a shortage they would get at most a quarter of the objective
    // of 400 ms.
    router.elapsed = 100 * MS;
    for request in (0..60).step_by(2) {
        router.send_request(request, ANY_READ, None);
        router.send_request(request + 1, KEYED_WRITE, None);
        router.now += 200 * MS;
        router.finish_attempt(request + 1, 0, AttemptOutcome::Answered, Some((true, 0)));
        // Two of the three replicas are silent.
        let silent = request > 10 && router.server_of(request) != 3;
        let (outcome, report) = if silent {
            (AttemptOutcome::TimedOut, None)
        } else {
            (AttemptOutcome::Answered, Some((false, 0)))
        };
        router.finish_attempt(request, 0, outcome, report);
        router.disconnect_client(request);
    }
    router.take_trace();
    router.client_timeout = 260 * MS;
    router.send_request(60, ANY_READ, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn reads_overflow_to_primary_when_all_replicas_lag() {
    let mut router = RouterTrace::with_replica_set(default_config());
    for request in 0..3 {
        router.send_request(request, BOUNDED_READ, None);
    }
    for request in 0..3 {
        router.finish_attempt(
            request,
            0,
            AttemptOutcome::NotCaughtUp,
            Some((false, 9000 * MS)),
        );
    }
    router.send_request(3, BOUNDED_READ, None);
    router.finish_attempt(3, 0, AttemptOutcome::NotCaughtUp, Some((false, 9000 * MS)));
    assert_snapshot!(router.take_trace());
}

#[test]
fn one_slow_answer_does_not_bar_a_request_class() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.send_request(0, BOUNDED_READ, None);
    router.now += 390 * MS;
    router.finish_attempt(0, 0, AttemptOutcome::Answered, Some((false, 0)));
    router.send_request(1, BOUNDED_READ, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn reads_do_not_overflow_to_primary_after_timeouts() {
    let mut router = RouterTrace::new(default_config());
    router.update_endpoints(
        EndpointUpdate::Restored,
        &[endpoint(0, EndpointState::Ready, true, 0)],
    );
    router.send_request(0, SESSION_READ, None);
    router.now += 400 * MS;
    router.finish_attempt(0, 0, AttemptOutcome::TimedOut, None);
    router.send_request(1, SESSION_READ, None);
    router.send_request(2, KEYED_WRITE, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn reads_do_not_overflow_to_primary_without_spare_connections() {
    let mut router = RouterTrace::new(default_config());
    router.update_endpoints(
        EndpointUpdate::Restored,
        &[endpoint(0, EndpointState::Ready, true, 0)],
    );
    router.send_request(0, KEYED_WRITE, None);
    router.finish_attempt(0, 0, AttemptOutcome::NotConnected, None);
    router.finish_attempt(0, 1, AttemptOutcome::NotConnected, None);
    router.send_request(1, SESSION_READ, None);
    router.send_request(2, KEYED_WRITE, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn waiting_read_selects_replica_believed_to_cover_it_else_primary_after_wait() {
    let mut router = RouterTrace::with_replica_set(default_config());
    // No replica has reported a position: the read waits until `wait_for_replica_until`, then is
    // routed like any other.
    router.required_position = Some(router.now);
    router.wait_for_replica_until = router.now + 40 * MS;
    router.send_request(0, SESSION_READ, Some(SESSION));
    router.advance_ms(60);
    router.finish_attempt(0, 0, AttemptOutcome::Answered, Some((false, 15 * MS)));
    // That replica lags by 15 ms: the next read goes to it as soon as it is believed to cover the
    // position.
    router.required_position = Some(router.now);
    router.wait_for_replica_until = router.now + 60 * MS;
    router.send_request(1, SESSION_READ, Some(SESSION));
    router.advance_ms(60);
    // The replica has not caught up, so the read is retried at the primary.
    router.finish_attempt(1, 0, AttemptOutcome::NotCaughtUp, Some((false, 80 * MS)));
    assert_snapshot!(router.take_trace());
}
