//! Updates of the endpoint list, and servers that drain, warm up or are gone.

use insta::assert_snapshot;
use leverpoint_routing::api::{AttemptOutcome, DiscoveryOutcome, EndpointState, EndpointUpdate};

use crate::router_trace::{
    ANY_READ, KEYED_WRITE, MS, RouterTrace, SESSION, default_config, endpoint,
};

#[test]
fn draining_server_gets_no_attempts() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.update_endpoints(
        EndpointUpdate::Changes,
        &[
            endpoint(0, EndpointState::Draining, true, 0),
            endpoint(1, EndpointState::Gone, false, 0),
        ],
    );
    router.send_request(0, KEYED_WRITE, Some(SESSION));
    router.send_request(1, ANY_READ, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn warming_server_gets_its_share_of_warm_throughput() {
    let mut router = RouterTrace::new(default_config());
    let started = router.now - 1000 * MS;
    router.update_endpoints(
        EndpointUpdate::Full,
        &[
            endpoint(0, EndpointState::Ready, true, 0),
            endpoint(1, EndpointState::Ready, false, started),
        ],
    );
    for request in 0..3 {
        router.send_request(request, ANY_READ, None);
    }
    router.now += 2000 * MS;
    for request in 0..3 {
        router.finish_attempt(
            request,
            0,
            AttemptOutcome::Answered,
            Some((router.server_of(request) == 0, 0)),
        );
    }
    router.now += 2000 * MS;
    for request in 3..7 {
        router.send_request(request, ANY_READ, None);
    }
    assert_snapshot!(router.take_trace());
}

#[test]
fn waiting_request_follows_endpoint_list_update() {
    let mut router = RouterTrace::with_replica_set(default_config());
    router.update_endpoints(
        EndpointUpdate::Changes,
        &(0..4)
            .map(|s| endpoint(s, EndpointState::Gone, false, 0))
            .collect::<Vec<_>>(),
    );
    router.send_request(0, ANY_READ, None);
    router.advance_ms(50);
    router.update_endpoints(
        EndpointUpdate::Changes,
        &[
            endpoint(1, EndpointState::Draining, false, 0),
            endpoint(2, EndpointState::Ready, false, 0),
        ],
    );
    assert_snapshot!(router.take_trace());
}

#[test]
fn gateway_without_throughput_sends_nothing_to_warming_servers() {
    let mut router = RouterTrace::new(default_config());
    let start = router.now;
    router.update_endpoints(
        EndpointUpdate::Restored,
        &[
            endpoint(0, EndpointState::Ready, false, start),
            endpoint(1, EndpointState::Ready, false, start),
        ],
    );
    router.send_request(0, ANY_READ, None);
    router.advance_ms(1000);
    assert_snapshot!(router.take_trace());
}

#[test]
fn gone_server_is_released_after_retention_and_its_index_reused() {
    let mut router = RouterTrace::new(default_config());
    router.update_endpoints(
        EndpointUpdate::Restored,
        &[
            endpoint(0, EndpointState::Ready, true, 0),
            endpoint(1, EndpointState::Ready, false, 0),
        ],
    );
    router.send_request(0, ANY_READ, None);
    router.update_endpoints(
        EndpointUpdate::Changes,
        &[endpoint(1, EndpointState::Gone, false, 0)],
    );
    // It is not released while it has an attempt in flight.
    router.advance_ms(31_000);
    router.finish_attempt(0, 0, AttemptOutcome::Reset, None);
    router.advance_ms(31_000);
    router.update_endpoints(
        EndpointUpdate::Changes,
        &[endpoint(1, EndpointState::Ready, false, 0)],
    );
    router.send_request(1, ANY_READ, None);
    assert_snapshot!(router.take_trace());
}

#[test]
fn requests_are_shed_while_endpoint_lease_is_expired() {
    let mut config = default_config();
    config.endpoint_list.pushed = false;
    let mut router = RouterTrace::with_replica_set(config);
    router.finish_discovery_call(DiscoveryOutcome::Confirmed);
    router.finish_discovery_call(DiscoveryOutcome::Refused);
    router.send_request(0, ANY_READ, None);
    router.advance_ms(6_100);
    router.send_request(1, ANY_READ, None);
    router.advance_ms(100);
    router.send_request(2, ANY_READ, None);
    router.send_request(3, KEYED_WRITE, None);
    router.finish_discovery_call(DiscoveryOutcome::Confirmed);
    router.send_request(4, ANY_READ, None);
    assert_snapshot!(router.take_trace());
}
