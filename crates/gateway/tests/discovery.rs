//! Gateways with a discovery service that is overloaded, refuses calls or does not answer.
//!
//! The tests check which endpoint lists the gateways receive in time, and what is still sent to draining servers.

use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use leverpoint_test_support::agent::Agent;
use leverpoint_test_support::discovery::{Capacity, Discovery};
use leverpoint_test_support::gateway::{
    self as gateway_process, Gateway, config, counter_value, free_address,
};
use leverpoint_test_support::manual::{ManualAgent, full_endpoint_list};
use leverpoint_test_support::server::{always_row, start_server};
use leverpoint_test_support::wire::{http_ok, insert, target};

/// The time after which nothing may be sent to a draining server.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The time after a change reached discovery from which every gateway counts as informed, whatever became of its calls.
const COUNTS_AS_INFORMED_AFTER: Duration = Duration::from_secs(6);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_leverpoint"))
}

/// Settings with the discovery mode `pushed` or `on_request`.
fn settings(discovery: &str) -> String {
    format!(
        r#"{{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "{discovery}",
    "contract": {{"answerSlackMs": 5000.0, "askEveryMs": 10000.0, "coldMs": 9000.0, "fallMs": 1500.0,
     "fallMultiple": 2.5, "startCapacity": 0.2, "stopSendingWithinMs": 500.0}},
    "familyInfo": {{"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0, 0.0],
     "readLevel": ["loose", "update"], "stamps": true, "tokens": "router"}},
    "grades": [
     {{"name": "view", "aimMs": 2000.0, "deadlineMs": 2000.0, "semantics": "pure", "worth": 1.0, "lateWorth": 1.0}},
     {{"name": "order", "aimMs": 2000.0, "deadlineMs": 2000.0, "semantics": "side_effect", "worth": 3.0}}],
    "policyLimits": {{"sendCap": 4, "retryAfter": true, "maxRetryAfterMs": 2000.0, "connectTimeoutMs": 250.0,
     "idleCloseMs": 15000.0}},
    "tenants": [{{"name": "acme", "share": 1.0, "quotaPerS": 100.0}}]}}"#
    )
}

/// Starts a gateway with a stored endpoint list and the address of its discovery service.
fn gateway(discovery_address: &str, known: &str, discovery_mode: &str) -> Gateway {
    let address = free_address();
    let text = config(
        &address,
        discovery_address,
        known,
        &settings(discovery_mode),
    );
    let agent = Agent {
        address: discovery_address.to_owned(),
        responses: mpsc::channel().0,
        requests: mpsc::channel().1,
    };
    gateway_process::start(&text, address, agent, program(), &[])
}

/// An agent that did not answer for a while answers only calls that begin after its return, and the gateway counts as
/// informed of its list from then on.
#[test]
fn a_silent_agent_is_polled_again_within_the_drain_grace() {
    let (draining, remaining) = (
        start_server("read-write", always_row("drains")),
        start_server("read-write", always_row("stays")),
    );
    let known = full_endpoint_list(
        7,
        &[
            ("s0", &draining.address, "up", "read-write"),
            ("s1", &remaining.address, "up", "read-only"),
        ],
    );
    let agent = ManualAgent::new();
    let gateway = gateway(&agent.address, &known, "pushed");
    let current_list = full_endpoint_list(
        9,
        &[
            ("s0", &draining.address, "draining", "read-only"),
            ("s1", &remaining.address, "up", "read-write"),
        ],
    );
    // These calls are never answered. The agent may return right after any of them.
    let mut unanswered = vec![agent.next_request()];
    for _ in 0..4 {
        let returned_at = Instant::now();
        unanswered.push(agent.next_request());
        assert!(
            returned_at.elapsed() < DRAIN_GRACE,
            "the next call came {:?} after the return",
            returned_at.elapsed()
        );
    }
    agent.next_request().send(&http_ok(&current_list));
    // A watch that starts from the new list shows that the gateway has applied it.
    while !agent.next_request().request_line.contains("index=9") {}
    assert_eq!(
        gateway.connect_client().run_statement(&insert("order")),
        "T D stays C Z"
    );
    assert_eq!(draining.statements.try_iter().count(), 0);
}

/// Twelve gateways start at the same time with a discovery service that needs three seconds to answer one call of each.
/// Meanwhile a server starts to drain.
#[test]
fn an_overloaded_discovery_updates_every_gateway_in_time() {
    let (draining, remaining) = (
        start_server("read-write", always_row("drains")),
        start_server("read-write", always_row("stays")),
    );
    let endpoint_entries = |state: &str, mode: &str, other_mode: &str| {
        [
            target("s0", &draining.address, state, mode),
            target("s1", &remaining.address, "up", other_mode),
        ]
    };
    let before = endpoint_entries("up", "read-write", "read-only");
    let capacity = Capacity {
        call_cost: Duration::from_millis(250),
        refusal_cost: Duration::from_millis(10),
        max_queue_wait: Duration::from_secs(2),
    };
    let discovery = Discovery::new(capacity, 7, &before);
    let known = leverpoint_test_support::wire::endpoint_list(7, true, &before);
    let addresses: Vec<_> = (0..12).map(|_| discovery.add_gateway()).collect();
    let starts = addresses.iter().map(|(address, _)| {
        let (address, known) = (address.clone(), known.clone());
        thread::spawn(move || gateway(&address, &known, "on_request"))
    });
    let starts: Vec<_> = starts.collect();
    let gateways: Vec<_> = starts
        .into_iter()
        .map(|start| start.join().unwrap())
        .collect();
    let changed =
        discovery.set_targets(8, &endpoint_entries("draining", "read-only", "read-write"));
    thread::sleep((changed + COUNTS_AS_INFORMED_AFTER).saturating_duration_since(Instant::now()));
    let informed = addresses
        .iter()
        .filter(|(_, caller)| discovery.first_written_at(*caller, 8).is_some())
        .count();
    let refusals: usize = addresses
        .iter()
        .map(|(_, caller)| discovery.refusals(*caller))
        .sum();
    assert_eq!(
        informed,
        gateways.len(),
        "gateways informed of the drain in time; {refusals} calls were refused"
    );
    // No gateway makes more calls than its watch needs.
    let calls: Vec<_> = addresses
        .iter()
        .map(|(_, caller)| discovery.calls(*caller))
        .collect();
    assert!(
        calls.iter().all(|calls| *calls <= 12),
        "calls per gateway: {calls:?}"
    );
    thread::sleep(
        (changed + COUNTS_AS_INFORMED_AFTER + DRAIN_GRACE)
            .saturating_duration_since(Instant::now()),
    );
    draining.statements.try_iter().for_each(drop);
    for gateway in &gateways {
        assert_eq!(
            gateway.connect_client().run_statement(&insert("order")),
            "T D stays C Z"
        );
    }
    assert_eq!(draining.statements.try_iter().count(), 0);
}

/// Discovery is reachable and refuses every call. Six seconds later the gateway counts as informed of every change, and
/// it cannot know which server may be draining.
#[test]
fn a_gateway_refused_by_discovery_sheds_every_request_once_its_endpoint_list_lease_expires() {
    let one = start_server("read-write", always_row("one"));
    let targets = [target("s0", &one.address, "up", "read-write")];
    let capacity = Capacity {
        call_cost: Duration::from_millis(1),
        refusal_cost: Duration::from_millis(1),
        max_queue_wait: Duration::from_secs(2),
    };
    let discovery = Discovery::new(capacity, 7, &targets);
    let (address, caller) = discovery.add_gateway();
    let gateway = gateway(
        &address,
        &leverpoint_test_support::wire::endpoint_list(7, true, &targets),
        "on_request",
    );
    let mut client = gateway.connect_client();
    assert_eq!(client.run_statement(&insert("order")), "T D one C Z");
    let refused_since = Instant::now();
    discovery.refuse_all(true);
    assert!(discovery.wait_for_refusals(caller, 1, COUNTS_AS_INFORMED_AFTER));
    assert_eq!(client.run_statement(&insert("order")), "T D one C Z");
    thread::sleep(
        (refused_since + COUNTS_AS_INFORMED_AFTER + DRAIN_GRACE)
            .saturating_duration_since(Instant::now()),
    );
    one.statements.try_iter().for_each(drop);
    let began = Instant::now();
    let answer = client.run_statement(&insert("order"));
    assert!(answer.starts_with("E C53300"), "{answer}");
    gateway.wait_for_log("endpoint list lease expired");
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "a shed request is answered at once"
    );
    assert_eq!(one.statements.try_iter().count(), 0);
    // With a new endpoint list it serves again.
    gateway.signal("-USR1");
    let state = gateway.wait_for_log("event=\"discovery\"");
    assert_eq!(
        counter_value(&state, "list_ends_in_ms"),
        Some("0"),
        "{state}"
    );
    discovery.refuse_all(false);
    gateway.wait_for_log("discovery answers again");
    gateway.wait_for_log("endpoint list lease renewed");
    assert_eq!(client.run_statement(&insert("order")), "T D one C Z");
}
