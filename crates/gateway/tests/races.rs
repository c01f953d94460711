//! The bad order of things, made to happen every time, by real connections of the real program: a byte held, a dial
//! left hanging, a reset at a stated byte. docs/races.md has a row for each.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use leverpoint_test_support::client::Client;
use leverpoint_test_support::gateway::{self as stands, Gateway, config, free_address};
use leverpoint_test_support::manual::{
    AgentRequest, ManualAgent, ManualConnection, ManualServer, full_endpoint_list,
};
use leverpoint_test_support::server::{
    Server, ServerAction, always_row, next_statement, row_on_signal, start_server,
};
use leverpoint_test_support::wire::{
    READ_TAG, STARTUP_MESSAGE, WAIT_LIMIT, WRITE_TAG, deadline_ms, endpoint_list, http_ok, insert,
    put_message, query_message, row_messages, select, target,
};

/// Long enough that what a fault would do shows; what has to happen is waited for as an event.
const SHOWS: Duration = Duration::from_millis(300);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_leverpoint"))
}

/// Settings with a connect time-out, a key's window and a client timeout of one's own.
fn settings(connect: u32, window: u32, timeout: u32) -> String {
    format!(
        r#"{{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {{"answerSlackMs": 5000.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5,
     "startCapacity": 0.2, "stopSendingWithinMs": 500.0}},
    "familyInfo": {{"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0, 0.0, 0.0],
     "readLevel": ["loose", "update", "update"], "stamps": true, "tokens": "router"}},
    "grades": [
     {{"name": "view", "aimMs": 30000.0, "deadlineMs": {timeout}.0, "semantics": "pure", "worth": 1.0, "lateWorth": 1.0}},
     {{"name": "report", "aimMs": 30000.0, "deadlineMs": {timeout}.0, "semantics": "token", "group": "cell",
      "keyTtlMs": {window}.0, "worth": 3.0, "lateWorth": 0.5}},
     {{"name": "order", "aimMs": 30000.0, "deadlineMs": {timeout}.0, "semantics": "side_effect", "worth": 3.0}}],
    "policyLimits": {{"sendCap": 4, "retryAfter": true, "maxRetryAfterMs": 2000.0, "connectTimeoutMs": {connect}.0,
     "idleCloseMs": 15000.0}},
    "tenants": [{{"name": "acme", "share": 1.0, "quotaPerS": 100.0}}]}}"#
    )
}

fn usual() -> String {
    settings(250, 3000, 60_000)
}

/// A long time to come up in, so that a dial may hang.
fn patient() -> String {
    settings(10_000, 3000, 60_000)
}

/// A gateway that has this list from the start, and follows a stand-in that says only what it is told to.
fn gateway(servers: &[(&str, &str)], settings: &str) -> Gateway {
    stands::start_with_addresses(program(), servers, settings, (192, 1024), &[])
}

/// A gateway before an agent whose each byte the test gives.
fn held_gateway(known: &str, settings: &str) -> (Gateway, ManualAgent) {
    let held = ManualAgent::new();
    let address = free_address();
    let text = config(&address, &held.address, known, settings);
    (
        stands::start(&text, address, held.as_agent(), program(), &[]),
        held,
    )
}

/// The watch that follows the list of that revision. While calls are unanswered further ones for the whole list come
/// beside them, and nothing else does.
fn watch_from(agent: &ManualAgent, revision: u32) -> AgentRequest {
    loop {
        let ask = agent.next_request();
        if ask
            .request_line
            .starts_with(&format!("GET /api/targets?index={revision}&"))
        {
            return ask;
        }
        assert!(
            ask.request_line.starts_with("GET /api/targets HTTP"),
            "{}",
            ask.request_line
        );
    }
}

/// A client with its key to cancel by.
fn keyed(gateway: &Gateway) -> (Client, [u8; 8]) {
    let mut stream = gateway.connect();
    stream.write_all(STARTUP_MESSAGE).unwrap();
    let mut key = None;
    while let Some((tag, body)) = leverpoint_test_support::wire::read_message(&mut stream) {
        match tag {
            b'K' => key = body.try_into().ok(),
            b'Z' => break,
            _ => {}
        }
    }
    (Client { stream }, key.expect("a key"))
}

/// How the next read fails. A wait with a time limit is interrupted where the machine is suspended meanwhile: it begins
/// anew then.
fn next_read_within_shows(stream: &mut TcpStream) -> ErrorKind {
    stream.set_read_timeout(Some(SHOWS)).unwrap();
    loop {
        let failure = stream
            .read(&mut [0; 1])
            .expect_err("nothing was to come")
            .kind();
        if failure != ErrorKind::Interrupted {
            return failure;
        }
    }
}

/// Asks to cancel, and waits until that has been heard.
fn cancel(gateway: &Gateway, key: [u8; 8]) {
    let mut stream = gateway.connect();
    stream
        .write_all(&[&b"\0\0\0\x10\x04\xd2\x16\x2e"[..], &key].concat())
        .unwrap();
    assert_eq!(
        stream.read(&mut [0; 1]).unwrap(),
        0,
        "nothing but the close"
    );
}

/// Waits until the connection ends without another statement.
fn hears_nothing(mut talk: ManualConnection) {
    talk.try_send_ready();
    assert_eq!(talk.read_statement(), None);
}

#[test]
fn a_silent_watch_is_abandoned_for_a_full_listing() {
    let (one, two) = (
        start_server("read-write", always_row("one")),
        start_server("read-write", always_row("two")),
    );
    let known = full_endpoint_list(7, &[("s0", &one.address, "up", "read-write")]);
    let (gateway, agent) = held_gateway(&known, &usual());
    agent.next_request().send(&http_ok(&known));
    let silent = agent.next_request();
    assert!(
        silent
            .request_line
            .starts_with("GET /api/targets?index=7&wait="),
        "{}",
        silent.request_line
    );
    let began = Instant::now();
    let mut whole = agent.next_request();
    assert!(
        whole.request_line.starts_with("GET /api/targets HTTP"),
        "{}",
        whole.request_line
    );
    // The term's own bound, not a speed: a change counts as told 6 s after discovery had it.
    assert!(began.elapsed() < Duration::from_secs(6));
    whole.send(&http_ok(&full_endpoint_list(
        8,
        &[("s1", &two.address, "up", "read-write")],
    )));
    assert!(
        agent
            .next_request()
            .request_line
            .starts_with("GET /api/targets?index=8&")
    );
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D two C Z"
    );
}

#[test]
fn after_each_failed_poll_a_full_listing_is_requested_until_it_arrives() {
    let one = start_server("read-write", always_row("one"));
    let known = full_endpoint_list(7, &[("s0", &one.address, "up", "read-write")]);
    let (_gateway, agent) = held_gateway(&known, &usual());
    let mut trace = String::new();
    let mut next = |what: &str| {
        let ask = agent.next_request();
        trace += &format!(
            "{what}: {}\n",
            ask.request_line.split("&wait").next().unwrap()
        );
        ask
    };
    next("at the start").send(&http_ok(&known));
    next("listed").reset();
    next("a watch reset").send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    drop(next("refused"));
    let mut truncated = next("silent");
    truncated.send(&http_ok(&known)[..90]);
    truncated.shut_down_write();
    next("truncated").send(&http_ok(&endpoint_list(9, false, &[])));
    next("changes only").send(&http_ok(&full_endpoint_list(
        8,
        &[("s0", &one.address, "up", "read-write")],
    )));
    drop(next("listed again"));
    insta::assert_snapshot!(trace);
}

#[test]
fn a_response_without_a_length_ends_with_the_close_but_not_with_a_reset() {
    let (one, two) = (
        start_server("read-write", always_row("one")),
        start_server("read-write", always_row("two")),
    );
    let known = full_endpoint_list(7, &[("s0", &one.address, "up", "read-write")]);
    let (gateway, agent) = held_gateway(&known, &usual());
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    let moved = full_endpoint_list(8, &[("s1", &two.address, "up", "read-write")]);
    // Whole, but reset: it may have been cut anywhere.
    let mut whole = agent.next_request();
    whole.send(head);
    whole.send(&moved);
    whole.reset();
    let mut again = agent.next_request();
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D one C Z"
    );
    assert!(
        again.request_line.starts_with("GET /api/targets HTTP"),
        "{}",
        again.request_line
    );
    // In two parts with the close behind them.
    again.send(head);
    again.send(&moved[..40]);
    again.send(&moved[40..]);
    again.shut_down_write();
    let watch = watch_from(&agent, 8);
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D two C Z"
    );
    // A watch's answer likewise, cut by a reset: the list stands, the whole one is asked for.
    let mut watch = watch;
    watch.send(head);
    watch.send("{\"rev\":9,\"all\":true,");
    watch.reset();
    assert!(
        agent
            .next_request()
            .request_line
            .starts_with("GET /api/targets HTTP")
    );
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D two C Z"
    );
}

#[test]
fn a_response_of_the_old_discovery_address_is_ignored_and_an_older_list_of_the_new_one_is_taken() {
    let [one, two, three] =
        ["one", "two", "three"].map(|name| start_server("read-write", always_row(name)));
    let known = full_endpoint_list(7, &[("s0", &one.address, "up", "read-write")]);
    let (gateway, agent) = held_gateway(&known, &usual());
    agent.next_request().send(&http_ok(&known));
    let mut watch = agent.next_request();
    let late = http_ok(&full_endpoint_list(
        8,
        &[("s1", &two.address, "up", "read-write")],
    ));
    // Held in the middle of its body.
    watch.send(&late[..late.len() - 20]);
    let elsewhere = ManualAgent::new();
    std::fs::write(
        &gateway.config_path,
        config(&gateway.address, &elsewhere.address, "null", &usual()),
    )
    .unwrap();
    gateway.signal("-HUP");
    gateway.wait_for_log("configuration reloaded");
    let mut first = elsewhere.next_request();
    watch.send(&late[late.len() - 20..]);
    assert!(first.request_line.starts_with("GET /api/targets HTTP"));
    let mut client = gateway.connect_client();
    assert_eq!(client.run_statement(&insert("report")), "T D one C Z");
    first.send(&http_ok(&full_endpoint_list(
        2,
        &[("s2", &three.address, "up", "read-write")],
    )));
    assert!(
        elsewhere
            .next_request()
            .request_line
            .starts_with("GET /api/targets?index=2&")
    );
    assert_eq!(client.run_statement(&insert("report")), "T D three C Z");
}

#[test]
fn a_restart_with_an_old_endpoint_list_sends_nothing_to_a_draining_server() {
    let (drains, stays) = (
        start_server("read-write", always_row("drained")),
        start_server("read-write", always_row("stays")),
    );
    let known = full_endpoint_list(
        7,
        &[
            ("s0", &drains.address, "up", "read-write"),
            ("s1", &stays.address, "up", "read-only"),
        ],
    );
    let (gateway, agent) = held_gateway(&known, &usual());
    let mut first = agent.next_request();
    let mut stream = gateway.connect();
    stream
        .write_all(&[STARTUP_MESSAGE, &query_message(&insert("report"))].concat())
        .unwrap();
    // Far shorter than an agent is waited for.
    assert!(
        drains
            .statements
            .recv_timeout(Duration::from_millis(50))
            .is_err(),
        "nothing before the agent was asked"
    );
    first.send(&http_ok(&full_endpoint_list(
        9,
        &[
            ("s0", &drains.address, "draining", "read-only"),
            ("s1", &stays.address, "up", "read-write"),
        ],
    )));
    let mut client = Client { stream };
    client.read_response();
    assert_eq!(client.read_response(), "T D stays C Z");
    assert_eq!(drains.statements.try_iter().count(), 0);
    drop(gateway);
}

#[test]
fn with_discovery_silent_a_restart_is_ready_with_the_restored_endpoint_list() {
    let one = start_server("read-write", always_row("one"));
    let (gateway, agent) = held_gateway(
        &full_endpoint_list(7, &[("s0", &one.address, "up", "read-write")]),
        &usual(),
    );
    let _silent = agent.next_request();
    let mut client = gateway.connect_client();
    assert_eq!(
        (
            client.run_statement(""),
            client.run_statement(&insert("report"))
        ),
        ("I Z".into(), "T D one C Z".into())
    );
}

#[test]
fn the_disconnect_of_a_pipelining_client_is_seen_while_its_request_waits() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &patient());
    let mut client = gateway.connect_client();
    // Far more than a ring takes, all of it whole commands, behind one whose connection hangs.
    let many: Vec<u8> = (0..400)
        .flat_map(|_| query_message(&insert("report")))
        .collect();
    client.send(&many);
    let talk = primary.accept();
    drop(client);
    gateway.wait_for_counter("gone=1");
    hears_nothing(talk);
    assert!(
        !primary.connects_within(SHOWS),
        "nothing of the rest is sent on"
    );
    assert!(gateway.counters().contains("taken.report=1 "));
}

#[test]
fn requests_behind_one_whose_client_disconnected_are_never_sent() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let mut client = gateway.connect_client();
    client.send(
        &[
            query_message(&insert("report")),
            query_message(&insert("order")),
        ]
        .concat(),
    );
    let mut talk = primary.accept_ready();
    talk.read_statement().unwrap();
    // Its answer and its client's end both stand in the system as the program goes on.
    gateway.pause();
    talk.respond("INSERT", "late", "read-write");
    drop(client);
    gateway.signal("-CONT");
    gateway.wait_for_counter("clients.closed=1");
    assert_eq!(
        next_read_within_shows(&mut talk.stream),
        ErrorKind::WouldBlock,
        "no second statement"
    );
    assert!(!primary.connects_within(SHOWS));
}

#[test]
fn an_attempt_whose_client_disconnects_or_cancels_during_connect_is_not_sent() {
    for cancels in [false, true] {
        let primary = ManualServer::new();
        let gateway = gateway(&[(&primary.address, "read-write")], &patient());
        let (mut client, key) = keyed(&gateway);
        client.send(&query_message(&insert("order")));
        let talk = primary.accept();
        if cancels {
            cancel(&gateway, key);
            assert_eq!(client.read_response(), "E C57014 Z");
        } else {
            drop(client);
        }
        gateway.wait_for_counter("gone=1");
        hears_nothing(talk);
        assert!(gateway.counters().contains("ended.NotSent=1 "));
    }
}

#[test]
fn a_cancel_ends_the_open_request_of_its_connection_and_no_other() {
    let (go, held) = row_on_signal("late");
    let primary = start_server(
        "read-write",
        vec![
            held,
            ServerAction::Row("next".into()),
            ServerAction::Row("other's".into()),
        ],
    );
    let gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let (mut one, key) = keyed(&gateway);
    let (mut other, others) = keyed(&gateway);
    let mut trace = String::new();
    // Nothing is open: nothing is remembered.
    cancel(&gateway, key);
    one.send(&query_message(&insert("report")));
    next_statement(&primary);
    // Keys that are none, one that is too short and one of another connection.
    cancel(&gateway, [0; 8]);
    cancel(&gateway, key.map(|byte| !byte));
    cancel(&gateway, others);
    let mut short = gateway.connect();
    short
        .write_all(&[&b"\0\0\0\x0c\x04\xd2\x16\x2e"[..], &key[..4]].concat())
        .unwrap();
    assert_eq!(short.read(&mut [0; 1]).unwrap(), 0);
    assert_eq!(
        next_read_within_shows(&mut one.stream),
        ErrorKind::WouldBlock
    );
    one.stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    cancel(&gateway, key);
    trace += &format!("cancelled: {}\n", one.read_response());
    // The cancel was for the one before.
    trace += &format!("the next: {}\n", one.run_statement(&insert("report")));
    trace += &format!("another's: {}\n", other.run_statement(&insert("report")));
    go.send(()).unwrap();
    drop(one);
    gateway.wait_for_counter("clients.closed=7");
    cancel(&gateway, key);
    trace += &format!(
        "after the key's connection: {}\n",
        other.run_statement(&insert("report"))
    );
    drop(other);
    trace += &gateway.shut_down(&["taken.report", "answered", "gone"]);
    insta::assert_snapshot!(trace);
}

#[test]
fn a_late_cancel_does_not_end_the_next_request() {
    let (go, held) = row_on_signal("late");
    let primary = start_server("read-write", vec![ServerAction::Row("first".into()), held]);
    let gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let (mut client, key) = keyed(&gateway);
    // Its connection comes up before, all but its last byte stands.
    let mut late = gateway.connect();
    let packet = [&b"\0\0\0\x10\x04\xd2\x16\x2e"[..], &key].concat();
    late.write_all(&packet[..15]).unwrap();
    gateway.wait_for_counter("clients.opened=2");
    thread::sleep(SHOWS);
    assert_eq!(client.run_statement(&insert("report")), "T D first C Z");
    next_statement(&primary);
    client.send(&query_message(&insert("report")));
    next_statement(&primary);
    late.write_all(&packet[15..]).unwrap();
    assert_eq!(late.read(&mut [0; 1]).unwrap(), 0);
    go.send(()).unwrap();
    assert_eq!(client.read_response(), "T D late C Z");
}

#[test]
fn a_server_that_drains_during_connect_gets_nothing() {
    let (drains, stays) = (ManualServer::new(), ManualServer::new());
    let gateway = gateway(
        &[
            (&drains.address, "read-write"),
            (&stays.address, "read-only"),
        ],
        &patient(),
    );
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("report")));
    let mut hangs = drains.accept();
    let changes = [
        target("s0", &drains.address, "draining", "read-only"),
        target("s1", &stays.address, "up", "read-write"),
    ];
    gateway
        .agent
        .responses
        .send(http_ok(&endpoint_list(8, false, &changes)))
        .unwrap();
    assert!(
        gateway
            .agent
            .requests
            .recv_timeout(WAIT_LIMIT)
            .unwrap()
            .contains("index=8")
    );
    hangs.try_send_ready();
    // The command goes on to the one that stays.
    let mut talk = stays.accept_ready();
    talk.answer_next("stays", "read-write");
    assert_eq!(client.read_response(), "T D stays C Z");
    assert_eq!(hangs.read_statement(), None);
}

#[test]
fn a_keyed_request_whose_window_ends_during_connect_is_not_retried() {
    let primary = ManualServer::new();
    let gateway = gateway(
        &[(&primary.address, "read-write")],
        &settings(10_000, 1_000, 60_000),
    );
    let mut client = gateway.connect_client();
    let began = Instant::now();
    client.send(&query_message(&insert("report")));
    let mut first = primary.accept_ready();
    first.read_statement().unwrap();
    // It may have run.
    first.reset();
    let mut second = primary.accept();
    // Held past the window, which began with the first dispatch.
    thread::sleep((began + Duration::from_millis(1_200)).saturating_duration_since(Instant::now()));
    second.try_send_ready();
    assert_eq!(second.read_statement(), None);
    assert_eq!(client.read_response(), "E C58000 Z");
}

#[test]
fn the_server_is_told_the_wait_that_a_late_connection_leaves() {
    let primary = ManualServer::new();
    let near = settings(10_000, 30_000, 5_000).replace("30000.0", "2000.0");
    let gateway = gateway(&[(&primary.address, "read-write")], &near);
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("order")));
    let mut talk = primary.accept();
    thread::sleep(SHOWS);
    talk.try_send_ready();
    let statement = talk.answer_next("late", "read-write");
    assert_eq!(client.read_response(), "T D late C Z");
    // The same connection again, which is up.
    client.send(&query_message(&insert("order")));
    let next = talk.answer_next("soon", "read-write");
    assert_eq!(client.read_response(), "T D soon C Z");
    assert!(
        deadline_ms(&statement) + 250 <= deadline_ms(&next).min(5_000),
        "{statement} {next}"
    );
}

#[test]
fn an_attempt_whose_client_timeout_ends_during_connect_is_not_sent() {
    let primary = ManualServer::new();
    let near = settings(10_000, 3_000, 800).replace("30000.0", "400.0");
    let gateway = gateway(&[(&primary.address, "read-write")], &near);
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("order")));
    let talk = primary.accept();
    // Nothing was sent: it may come again.
    assert!(client.read_response().starts_with("E C53300"));
    hears_nothing(talk);
}

#[test]
fn an_endless_endpoint_list_is_abandoned_and_the_current_one_stays() {
    let one = start_server("read-write", always_row("one"));
    let known = full_endpoint_list(7, &[("s0", &one.address, "up", "read-write")]);
    for head in [
        "Content-Length: 4000000\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nffff\r\n",
        "\r\n",
    ] {
        let (gateway, agent) = held_gateway(&known, &usual());
        let mut endless = agent.next_request();
        endless.send(&format!("HTTP/1.1 200 OK\r\n{head}{}", &known[..60]));
        // It goes on and on, a byte now and then, until nobody hears it.
        let says = thread::spawn(move || endless.send_until_closed(b' '));
        let again = agent.next_request();
        assert!(
            again.request_line.starts_with("GET /api/targets HTTP"),
            "{}",
            again.request_line
        );
        assert_eq!(
            gateway.connect_client().run_statement(&insert("report")),
            "T D one C Z"
        );
        says.join().unwrap();
    }
}

#[test]
fn a_connect_that_never_completes_is_abandoned_and_holds_nothing() {
    let (hangs, answers) = (
        ManualServer::new(),
        start_server("read-only", always_row("answers")),
    );
    let gateway = gateway(
        &[
            (&hangs.address, "read-only"),
            (&answers.address, "read-only"),
        ],
        &usual(),
    );
    let mut client = gateway.connect_client();
    // By chance the one or the other is asked first: each read is answered all the same.
    for _ in 0..12 {
        assert_eq!(client.run_statement(&select("view")), "T D answers C Z");
    }
    // What it began was closed again, and a late word changes nothing.
    while hangs.connects_within(Duration::ZERO) {}
    assert_eq!(client.run_statement(&select("view")), "T D answers C Z");
}

#[test]
fn an_idle_connection_with_unexpected_input_or_a_close_is_not_reused() {
    for closed in [false, true] {
        let primary = ManualServer::new();
        let gateway = gateway(&[(&primary.address, "read-write")], &usual());
        let mut client = gateway.connect_client();
        client.send(&query_message(&insert("order")));
        let mut talk = primary.accept_ready();
        talk.answer_next("first", "read-write");
        assert_eq!(client.read_response(), "T D first C Z");
        // Both stand in the system as the program goes on: the client's command and what the server did.
        gateway.pause();
        client.send(&query_message(&insert("order")));
        if closed {
            talk.stream.shutdown(Shutdown::Both).unwrap();
        } else {
            talk.stream.write_all(b"S\0\0\0\x18mode").unwrap();
        }
        gateway.signal("-CONT");
        let mut fresh = primary.accept_ready();
        fresh.answer_next("second", "read-write");
        assert_eq!(client.read_response(), "T D second C Z");
        if !closed {
            assert_eq!(talk.read_statement(), None);
        }
    }
}

#[test]
fn a_reset_before_the_last_byte_is_not_sent_and_one_after_it_possibly_executed() {
    let mut trace = String::new();
    // Longer than both systems keep, so that its last byte can't have gone out.
    let long = |group: &str| insert(group).replace("9f", &"9f".repeat(64 << 10));
    for group in ["order", "report"] {
        let primary = ManualServer::with_receive_buffer(Some(4 << 10));
        let gateway = gateway(
            &[(&primary.address, "read-write")],
            &settings(250, 30_000, 60_000),
        );
        let mut client = gateway.connect_client();
        client.send(&query_message(&long(group)));
        let mut cut = primary.accept_ready();
        // Its first bytes are there, and no more are read.
        cut.stream.read_exact(&mut [0; 64]).unwrap();
        cut.reset();
        let mut whole = primary.accept_ready();
        let statement = whole.read_statement().unwrap();
        assert!(statement.starts_with("INSERT") && statement.len() > 128 << 10);
        // Whole now: this one may have run.
        whole.reset();
        if group == "report" {
            let mut again = primary.accept_ready();
            again.answer_next("kept", "read-write");
        }
        trace += &format!("{group}: {} ", client.read_response());
        trace += &format!(
            "{}\n",
            gateway.shut_down(&["ended.NotConnected", "ended.Reset", "ended.Answered"])
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_statement_whose_answer_has_begun_counts_as_executed() {
    let mut trace = String::new();
    let begun = row_messages("begun", WRITE_TAG);
    let described = &begun[..begun[4] as usize + 1];
    let mut error = Vec::new();
    put_message(&mut error, b'E', b"SERROR\0C25006\0Mno\0\0");
    let mut broken = Vec::new();
    put_message(&mut broken, b'E', b"SERROR\0C53300\0M");
    let mut twice = Vec::new();
    put_message(&mut twice, b'E', b"SERROR\0C53300\0CXX000\0Mno\0\0");
    let ends = [
        ("a miss behind a description", [described, &error].concat()),
        ("cut in the row", begun[..40].to_vec()),
        ("an error without an end", broken),
        ("an error of two codes", twice),
        ("an error that is whole", error),
    ];
    for (name, bytes) in ends {
        let primary = start_server(
            "read-write",
            vec![
                ServerAction::BytesThenDisconnect(bytes),
                ServerAction::Row("again".into()),
            ],
        );
        let gateway = gateway(
            &[(&primary.address, "read-write")],
            &settings(250, 3000, 2000).replace("30000.0", "300.0"),
        );
        trace += &format!(
            "{name}: {} ",
            gateway.connect_client().run_statement(&insert("order"))
        );
        trace += &format!(
            "{}\n",
            gateway.shut_down(&["ended.Missed", "ended.Full", "ended.Error", "ended.Reset"])
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn an_endless_answer_is_no_row_and_delays_nobody() {
    let endless = ManualServer::new();
    let other = start_server("read-write", always_row("fine"));
    let near = settings(250, 3000, 60_000).replace("30000.0", "800.0");
    let gateway = gateway(
        &[
            (&other.address, "read-write"),
            (&endless.address, "read-only"),
        ],
        &near,
    );
    let mut client = gateway.connect_client();
    client.send(&query_message(&select("view")));
    let mut talk = endless.accept_ready();
    talk.read_statement().unwrap();
    let mut words = Vec::new();
    (0..500).for_each(|_| put_message(&mut words, b'N', b"SNOTICE\0Mon and on\0\0"));
    let mut says = talk.stream.try_clone().unwrap();
    // Until the gateway has closed.
    let says = thread::spawn(move || while says.write_all(&words).is_ok() {});
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D fine C Z"
    );
    assert_eq!(client.read_response(), "T D fine C Z");
    says.join().unwrap();
    assert!(gateway.counters().contains("ended.TimedOut=1 "));
}

#[test]
fn floods_of_disconnecting_clients_leave_nothing_behind() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &patient());
    let mut honest = gateway.connect_client();
    for nth in 1..=200 {
        let mut stream = gateway.connect();
        stream
            .write_all(&[STARTUP_MESSAGE, &query_message(&insert("order"))].concat())
            .unwrap();
        // Half of them end in order, half are cut off over what they have not read.
        if nth % 2 == 0 {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
    gateway.wait_for_counter("clients.closed=200");
    // Whatever was begun for them has been let go without a statement.
    let mut begun = 0;
    honest.send(&query_message(&insert("report")));
    loop {
        let mut talk = primary.accept();
        talk.try_send_ready();
        if let Some(statement) = talk.read_statement() {
            assert!(statement.contains("c=report"), "{statement}");
            talk.respond(&statement, "honest", "read-write");
            break;
        }
        begun += 1;
        assert!(begun <= 200);
    }
    assert_eq!(honest.read_response(), "T D honest C Z");
    let gone = gateway.counters();
    assert_eq!(stands::counter_value(&gone, "failed"), Some("0"));
    drop(honest);
    gateway.wait_for_counter("clients.closed=201");
    gateway.signal("-USR1");
    let tables = gateway.wait_for_log("event=\"tables\"");
    assert!(
        tables.contains("\\\"open_ids\\\", 0") && tables.contains("cancel_keys=\"0\""),
        "{tables}"
    );
}

#[test]
fn signals_before_the_configuration_is_read_are_handled_in_order() {
    let primary = start_server("read-write", always_row("one"));
    let agent = leverpoint_test_support::agent::start_agent();
    let address = free_address();
    let known = full_endpoint_list(7, &[("s0", &primary.address, "up", "read-write")]);
    let file = std::env::temp_dir().join(format!("leverpoint-{}-early.json", std::process::id()));
    std::fs::write(&file, config(&address, &agent.address, &known, &usual())).unwrap();
    // Whoever opens the file waits until the lease on it is given up.
    let lease = leverpoint_test_support::file_lease::FileLease::acquire(&file);
    let mut child = stands::spawn_process(
        Command::new(program())
            .arg("serve")
            .env("NODE_CONFIG", &file)
            .stderr(Stdio::piped()),
    );
    lease.wait_for_open();
    for name in ["-HUP", "-USR1", "-TERM", "-HUP", "-TERM"] {
        stands::output(Command::new("kill").args([name, &child.id().to_string()]));
    }
    lease.release();
    let mut said = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut said)
        .unwrap();
    assert!(child.wait().unwrap().success(), "{said}");
    let events: Vec<_> = said
        .lines()
        .filter_map(|l| l.split("event=\"").nth(1)?.split('"').next())
        .collect();
    assert_eq!(events.last(), Some(&"ended"), "{said}");
    assert!(
        events.contains(&"serving") && events.contains(&"configuration reloaded"),
        "{said}"
    );
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_left_unread() {
    let primary = start_server("read-write", always_row("one"));
    let mut gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let mut rests = gateway.connect_client();
    assert_eq!(rests.run_statement(&insert("report")), "T D one C Z");
    gateway.signal("-TERM");
    // The gateway has said that nothing more comes.
    assert_eq!(rests.read_response(), "end");
    rests.send(&query_message(&insert("report")));
    let line = gateway.wait_for_log("event=\"counters\"");
    assert!(gateway.child.wait().unwrap().success());
    // A close over what nobody has read is a reset; had it been read, there would be none.
    let told = rests.stream.take_error().unwrap().map(|e| e.kind());
    assert_eq!(told, Some(ErrorKind::BrokenPipe));
    assert_eq!(stands::counter_value(&line, "taken.report"), Some("1"));
}

#[test]
fn requests_received_before_the_close_of_an_idle_connection_are_answered() {
    let primary = start_server("read-write", always_row("one"));
    let near = usual().replace("30000.0", "800.0");
    let mut gateway = gateway(&[(&primary.address, "read-write")], &near);
    let mut rest: Vec<_> = (0..8).map(|_| gateway.connect_client()).collect();
    gateway.signal("-TERM");
    gateway.wait_for_log("event=\"ending\"");
    // Stopped before it ends them; as it goes on its time is over and a command stands on each.
    gateway.pause();
    rest.iter_mut()
        .for_each(|client| client.send(&query_message(&insert("report"))));
    // And one that nobody has accepted yet.
    let mut stream = gateway.connect();
    stream
        .write_all(&[STARTUP_MESSAGE, &query_message(&insert("report"))].concat())
        .unwrap();
    thread::sleep(Duration::from_millis(700));
    gateway.signal("-CONT");
    rest.iter_mut()
        .for_each(|client| assert_eq!(client.read_response(), "T D one C Z"));
    let mut late = Client { stream };
    late.read_response();
    assert_eq!(late.read_response(), "T D one C Z");
    drop((rest, late));
    gateway.wait_for_log("event=\"ended\"");
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn an_answer_unread_at_shutdown_is_still_whole() {
    let value = "ab".repeat(32 << 10);
    let primary = start_server("read-write", always_row(&value));
    let mut gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("report")));
    next_statement(&primary);
    gateway.wait_for_counter("answered=1");
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
    assert_eq!(client.read_response(), "T D of 65536 bytes C Z");
}

#[test]
fn with_hung_servers_each_client_is_answered_and_shutdown_is_in_time() {
    let primary = start_server("read-write", vec![ServerAction::NoResponse]);
    let mut gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let (mut order, mut view) = (gateway.connect_client(), gateway.connect_client());
    order.send(&query_message(&insert("order")));
    view.send(&query_message(&select("view")));
    next_statement(&primary);
    gateway.signal("-TERM");
    let began = Instant::now();
    // Their clients would wait for a minute, which the platform does not.
    assert_eq!(order.read_response(), "E C58000 Z");
    assert!(view.read_response().starts_with("E C53300"));
    assert!(gateway.child.wait().unwrap().success());
    // The platform's own bound: 3 s and 0.7 s more.
    assert!(began.elapsed() < Duration::from_millis(3_700));
}

#[test]
fn with_discovery_down_and_descriptors_exhausted_by_idle_clients_requests_still_get_one() {
    let primary = start_server("read-write", always_row("served"));
    let known = full_endpoint_list(7, &[("s0", &primary.address, "up", "read-write")]);
    let held = ManualAgent::new();
    let address = free_address();
    let text = config(&address, &held.address, "null", &usual()).replace("1024", "40");
    // The limit is the system's as well.
    let limited =
        std::env::temp_dir().join(format!("leverpoint-{}-limited.sh", std::process::id()));
    std::fs::write(
        &limited,
        format!(
            "#!/bin/sh\nulimit -n 40\nexec {} \"$@\"\n",
            program().display()
        ),
    )
    .unwrap();
    stands::output(Command::new("chmod").args(["+x", limited.to_str().unwrap()]));
    let gateway = stands::start(&text, address, held.as_agent(), &limited, &[]);
    std::fs::remove_file(&limited).unwrap();
    let silent = held.next_request();
    let mut idle: Vec<_> = (0..60)
        .map(|nth| {
            let mut stream = gateway.connect();
            // Some say nothing, some only that they come, some ask whether it is ready.
            match nth % 3 {
                0 => {}
                1 => stream.write_all(STARTUP_MESSAGE).unwrap(),
                _ => stream
                    .write_all(&[STARTUP_MESSAGE, &query_message("")].concat())
                    .unwrap(),
            }
            stream
        })
        .collect();
    drop(silent);
    // The agent is asked again and again all the while, on connections of its own.
    for _ in 0..2 {
        assert!(
            held.next_request()
                .request_line
                .starts_with("GET /api/targets HTTP")
        );
    }
    held.next_request().send(&http_ok(&known));
    assert!(held.next_request().request_line.contains("index=7"));
    // A new front finds it ready and a new client is served, though all those are still there.
    let mut fresh = gateway.connect_client();
    assert_eq!(fresh.run_statement(""), "I Z");
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D served C Z"
    );
    assert!(
        !gateway
            .log_lines
            .borrow()
            .iter()
            .any(|line| line.contains("accepting failed"))
    );
    idle.clear();
}

#[test]
fn the_idle_connection_of_a_drained_server_is_closed() {
    let (one, two) = (ManualServer::new(), ManualServer::new());
    let gateway = gateway(
        &[(&one.address, "read-write"), (&two.address, "read-only")],
        &usual(),
    );
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("report")));
    let mut talk = one.accept_ready();
    let statement = talk.read_statement().unwrap();
    let changes = [
        target("s0", &one.address, "draining", "read-only"),
        target("s1", &two.address, "up", "read-write"),
    ];
    gateway
        .agent
        .responses
        .send(http_ok(&endpoint_list(8, false, &changes)))
        .unwrap();
    assert!(
        gateway
            .agent
            .requests
            .recv_timeout(WAIT_LIMIT)
            .unwrap()
            .contains("index=8")
    );
    talk.respond(&statement, "finishes", "read-write");
    assert_eq!(client.read_response(), "T D finishes C Z");
    assert_eq!(talk.read_statement(), None, "closed once it has answered");
}

#[test]
fn a_row_is_whole_from_a_server_that_closes_right_after_it() {
    let primary: Server = start_server(
        "read-only",
        vec![
            ServerAction::BytesThenDisconnect(row_messages("last", READ_TAG)),
            ServerAction::Row("more".into()),
        ],
    );
    let gateway = gateway(&[(&primary.address, "read-only")], &usual());
    let mut client = gateway.connect_client();
    assert_eq!(client.run_statement(&select("view")), "T D last C Z");
    assert_eq!(client.run_statement(&select("view")), "T D more C Z");
}

/// A session's read went to a replica without a check of its own before the position of its write was known.
#[test]
fn a_read_behind_a_write_without_a_reported_position_goes_to_the_primary() {
    let primary = ManualServer::new();
    let replica = start_server("read-only", always_row("old"));
    let unchecked = usual()
        .replace(r#""guards": "reject""#, r#""guards": "none""#)
        .replace(r#"["loose", "#, r#"["own_writes", "#);
    let servers = [
        (&*primary.address, "read-write"),
        (&*replica.address, "read-only"),
    ];
    let gateway = gateway(&servers, &unchecked);
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("order")));
    let mut talk = primary.accept_ready();
    talk.answer_next("first", "read-write");
    assert_eq!(client.read_response(), "T D first C Z");
    // Another session's read shows that the replica has the first write.
    let elsewhere = select("view").replace("7f3a", "8e4b");
    assert_eq!(
        gateway.connect_client().run_statement(&elsewhere),
        "T D old C Z"
    );
    next_statement(&replica);
    // The row is here, what the server says of itself behind it is not.
    client.send(&query_message(&insert("order")));
    talk.read_statement().unwrap();
    talk.stream
        .write_all(&row_messages("second", WRITE_TAG))
        .unwrap();
    assert_eq!(client.read_response(), "T D second C Z");
    client.send(&query_message(&select("view")));
    let mut other = primary.accept_ready();
    assert!(other.answer_next("new", "read-write").starts_with("SELECT"));
    assert_eq!(client.read_response(), "T D new C Z");
    // And now it never comes.
    drop(talk);
    client.send(&query_message(&select("view")));
    other.answer_next("served", "read-write");
    assert_eq!(client.read_response(), "T D served C Z");
    assert_eq!(replica.statements.try_iter().count(), 0);
}
