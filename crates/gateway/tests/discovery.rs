//! How real gateways follow a discovery service that is crowded, refuses, or has been silent: what they have been told,
//! or count as told, and what still goes to servers that drain.

use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use leverpoint_test_support::agent::Agent;
use leverpoint_test_support::discovery::{Capacity, Discovery};
use leverpoint_test_support::gateway::{
    self as stands, Gateway, config, counter_value, free_address,
};
use leverpoint_test_support::manual::{ManualAgent, full_endpoint_list};
use leverpoint_test_support::server::{always_row, start_server};
use leverpoint_test_support::wire::{http_ok, insert, target};

/// The grace after which nothing goes to a server that drains.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// A change counts as told so long after discovery had it, whatever became of the calls.
const COUNTS_AS_TOLD: Duration = Duration::from_secs(6);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_leverpoint"))
}

/// `discovery`: `pushed` or `on_request`.
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

/// A gateway that remembers this list and finds discovery at that address.
fn gateway(discovery: &str, known: &str, mode: &str) -> Gateway {
    let address = free_address();
    let text = config(&address, discovery, known, &settings(mode));
    let agent = Agent {
        address: discovery.to_owned(),
        responses: mpsc::channel().0,
        requests: mpsc::channel().1,
    };
    stands::start(&text, address, agent, program(), &[])
}

/// An agent that was silent answers only calls that begin after its return, and what it has then counts as told at once.
#[test]
fn a_silent_agent_is_polled_again_within_the_drain_grace() {
    let (drains, stays) = (
        start_server("read-write", always_row("drains")),
        start_server("read-write", always_row("stays")),
    );
    let known = full_endpoint_list(
        7,
        &[
            ("s0", &drains.address, "up", "read-write"),
            ("s1", &stays.address, "up", "read-only"),
        ],
    );
    let agent = ManualAgent::new();
    let gateway = gateway(&agent.address, &known, "pushed");
    let now = full_endpoint_list(
        9,
        &[
            ("s0", &drains.address, "draining", "read-only"),
            ("s1", &stays.address, "up", "read-write"),
        ],
    );
    // These calls are never answered: the agent learns and tells nothing. It may be back right after any of them.
    let mut unanswered = vec![agent.next_request()];
    for _ in 0..4 {
        let back = Instant::now();
        unanswered.push(agent.next_request());
        assert!(
            back.elapsed() < DRAIN_GRACE,
            "the next call came {:?} after the return",
            back.elapsed()
        );
    }
    agent.next_request().send(&http_ok(&now));
    // Until a watch from that list on is opened: it has been taken.
    while !agent.next_request().request_line.contains("index=9") {}
    assert_eq!(
        gateway.connect_client().run_statement(&insert("order")),
        "T D stays C Z"
    );
    assert_eq!(drains.statements.try_iter().count(), 0);
}

/// Twelve gateways start in the same moment before a discovery service that needs three seconds to answer one call of
/// each. A server drains meanwhile.
#[test]
fn an_overloaded_discovery_updates_every_gateway_in_time() {
    let (drains, stays) = (
        start_server("read-write", always_row("drains")),
        start_server("read-write", always_row("stays")),
    );
    let lists = |drained: &str, role: &str, other: &str| {
        [
            target("s0", &drains.address, drained, role),
            target("s1", &stays.address, "up", other),
        ]
    };
    let before = lists("up", "read-write", "read-only");
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
    let changed = discovery.set_targets(8, &lists("draining", "read-only", "read-write"));
    thread::sleep((changed + COUNTS_AS_TOLD).saturating_duration_since(Instant::now()));
    let told = addresses
        .iter()
        .filter(|(_, caller)| discovery.first_written_at(*caller, 8).is_some())
        .count();
    let refusals: usize = addresses
        .iter()
        .map(|(_, caller)| discovery.refusals(*caller))
        .sum();
    assert_eq!(
        told,
        gateways.len(),
        "gateways told of the drain in time; {refusals} calls were refused"
    );
    // No gateway goes on asking more than its watch needs.
    let calls: Vec<_> = addresses
        .iter()
        .map(|(_, caller)| discovery.calls(*caller))
        .collect();
    assert!(
        calls.iter().all(|calls| *calls <= 12),
        "calls of each: {calls:?}"
    );
    thread::sleep(
        (changed + COUNTS_AS_TOLD + DRAIN_GRACE).saturating_duration_since(Instant::now()),
    );
    drains.statements.try_iter().for_each(drop);
    for gateway in &gateways {
        assert_eq!(
            gateway.connect_client().run_statement(&insert("order")),
            "T D stays C Z"
        );
    }
    assert_eq!(drains.statements.try_iter().count(), 0);
}

/// Discovery is there and refuses every call: what it may have told counts six seconds later, and the gateway cannot know
/// which server that is.
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
    let refuses = Instant::now();
    discovery.refuse_all(true);
    assert!(discovery.wait_for_refusals(caller, 1, COUNTS_AS_TOLD));
    assert_eq!(client.run_statement(&insert("order")), "T D one C Z");
    thread::sleep(
        (refuses + COUNTS_AS_TOLD + DRAIN_GRACE).saturating_duration_since(Instant::now()),
    );
    one.statements.try_iter().for_each(drop);
    let began = Instant::now();
    let answer = client.run_statement(&insert("order"));
    assert!(answer.starts_with("E C53300"), "{answer}");
    gateway.wait_for_log("endpoint list lease expired");
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "what is given up is answered at once"
    );
    assert_eq!(one.statements.try_iter().count(), 0);
    // A list, and it serves again.
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
