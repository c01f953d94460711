//! Race conditions that are forced on real connections: a byte is held back, a connect left pending, a connection reset
//! at a given byte. docs/races.md has a row for each case.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use leverpoint_test_support::client::Client;
use leverpoint_test_support::gateway::{self as gateway_process, Gateway, config, free_address};
use leverpoint_test_support::manual::{
    AgentRequest, ManualAgent, ManualConnection, ManualServer, full_endpoint_list,
};
use leverpoint_test_support::server::{
    Server, ServerAction, always_row, next_statement, row_on_signal, start_server,
};
use leverpoint_test_support::settings::Settings;
use leverpoint_test_support::tcp_table::{TcpSocket, wait_for_socket};
use leverpoint_test_support::wire::{
    READ_TAG, STARTUP_MESSAGE, WAIT_LIMIT, WRITE_TAG, deadline_ms, empty_query_response,
    endpoint_list, http_ok, insert, put_message, query_message, row_messages, select, target,
};

/// How long to watch for an event that must not happen. Events that must happen are awaited, not given a fixed time.
const OBSERVATION_TIME: Duration = Duration::from_millis(300);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_leverpoint"))
}

/// Settings with this connect timeout, validity of keys and client timeout, in milliseconds.
fn settings(connect_timeout: u32, key_validity: u32, client_timeout: u32) -> String {
    Settings {
        connect_timeout,
        key_validity,
        client_timeout,
        ..Settings::default()
    }
    .to_json()
}

fn default_settings() -> String {
    settings(250, 3000, 60_000)
}

/// Settings with a connect timeout of 10 s, so that a connect can stay pending.
fn long_connect_settings() -> String {
    settings(10_000, 3000, 60_000)
}

/// Starts a gateway with these servers, whose agent sends only the responses that the test queues.
fn gateway(servers: &[(&str, &str)], settings: &str) -> Gateway {
    gateway_process::start_with_addresses(program(), servers, settings, (192, 1024), &[])
}

/// Starts a gateway with an agent whose every byte the test sends.
fn gateway_with_manual_agent(known: &str, settings: &str) -> (Gateway, ManualAgent) {
    let agent = ManualAgent::new();
    let address = free_address();
    let text = config(&address, &agent.address, known, settings);
    (
        gateway_process::start(&text, address, agent.as_agent(), program(), &[]),
        agent,
    )
}

/// Waits for the watch that starts from this revision. While calls are unanswered the gateway also requests full
/// listings; any other request fails the test.
fn wait_for_watch(agent: &ManualAgent, revision: u32) -> AgentRequest {
    loop {
        let request = agent.next_request();
        if request
            .request_line
            .starts_with(&format!("GET /api/targets?index={revision}&"))
        {
            return request;
        }
        assert!(
            request.request_line.starts_with("GET /api/targets HTTP"),
            "{}",
            request.request_line
        );
    }
}

/// Connects a client; returns it with its cancel key.
fn connect_with_cancel_key(gateway: &Gateway) -> (Client, [u8; 8]) {
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
    (Client { stream }, key.expect("no cancel key received"))
}

/// Returns how the next read fails within [`OBSERVATION_TIME`]. If the host is suspended meanwhile the read is
/// interrupted and starts again.
fn next_read_error(stream: &mut TcpStream) -> ErrorKind {
    stream.set_read_timeout(Some(OBSERVATION_TIME)).unwrap();
    loop {
        let failure = stream
            .read(&mut [0; 1])
            .expect_err("unexpected input")
            .kind();
        if failure != ErrorKind::Interrupted {
            return failure;
        }
    }
}

/// Sends a cancel request, and waits until the gateway has handled it and closed the connection.
fn send_cancel_request(gateway: &Gateway, key: [u8; 8]) {
    let mut stream = gateway.connect();
    stream
        .write_all(&[&b"\0\0\0\x10\x04\xd2\x16\x2e"[..], &key].concat())
        .unwrap();
    assert_eq!(
        stream.read(&mut [0; 1]).unwrap(),
        0,
        "a cancel request gets no response"
    );
}

/// Completes the startup and asserts that the connection is then closed without a statement.
fn expect_close_without_statement(mut connection: ManualConnection) {
    connection.try_send_ready();
    assert_eq!(connection.read_statement(), None);
}

#[test]
fn a_silent_watch_is_abandoned_for_a_full_listing() {
    let (one, two) = (
        start_server("read-write", always_row("one")),
        start_server("read-write", always_row("two")),
    );
    let known = full_endpoint_list(7, &[("s0", &one.address, "up", "read-write")]);
    let (gateway, agent) = gateway_with_manual_agent(&known, &default_settings());
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
    // The limit of the contract, not a measure of speed: a gateway counts as informed of a change 6 s after discovery
    // has it.
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
    let (_gateway, agent) = gateway_with_manual_agent(&known, &default_settings());
    let mut trace = String::new();
    let mut next_request = |event: &str| {
        let request = agent.next_request();
        trace += &format!(
            "{event}: {}\n",
            request.request_line.split("&wait").next().unwrap()
        );
        request
    };
    next_request("at the start").send(&http_ok(&known));
    next_request("listed").reset();
    next_request("a watch reset").send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    drop(next_request("refused"));
    let mut truncated = next_request("silent");
    truncated.send(&http_ok(&known)[..90]);
    truncated.shut_down_write();
    next_request("truncated").send(&http_ok(&endpoint_list(9, false, &[])));
    next_request("changes only").send(&http_ok(&full_endpoint_list(
        8,
        &[("s0", &one.address, "up", "read-write")],
    )));
    drop(next_request("listed again"));
    insta::assert_snapshot!(trace);
}

#[test]
fn a_response_without_a_length_ends_with_the_close_but_not_with_a_reset() {
    let (one, two) = (
        start_server("read-write", always_row("one")),
        start_server("read-write", always_row("two")),
    );
    let known = full_endpoint_list(7, &[("s0", &one.address, "up", "read-write")]);
    let (gateway, agent) = gateway_with_manual_agent(&known, &default_settings());
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    let changed_list = full_endpoint_list(8, &[("s1", &two.address, "up", "read-write")]);
    // The response is complete, but then reset, so it might have been truncated anywhere.
    let mut whole = agent.next_request();
    whole.send(head);
    whole.send(&changed_list);
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
    // In two parts, followed by a close.
    again.send(head);
    again.send(&changed_list[..40]);
    again.send(&changed_list[40..]);
    again.shut_down_write();
    let watch = wait_for_watch(&agent, 8);
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D two C Z"
    );
    // The same for the response to a watch, truncated by a reset: the list stays, and a full listing is requested.
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
    let (gateway, agent) = gateway_with_manual_agent(&known, &default_settings());
    agent.next_request().send(&http_ok(&known));
    let mut watch = agent.next_request();
    let late_response = http_ok(&full_endpoint_list(
        8,
        &[("s1", &two.address, "up", "read-write")],
    ));
    // Held back in the middle of its body.
    watch.send(&late_response[..late_response.len() - 20]);
    let new_agent = ManualAgent::new();
    std::fs::write(
        &gateway.config_path,
        config(
            &gateway.address,
            &new_agent.address,
            "null",
            &default_settings(),
        ),
    )
    .unwrap();
    gateway.signal("-HUP");
    gateway.wait_for_log("configuration reloaded");
    let mut first = new_agent.next_request();
    watch.send(&late_response[late_response.len() - 20..]);
    assert!(first.request_line.starts_with("GET /api/targets HTTP"));
    let mut client = gateway.connect_client();
    assert_eq!(client.run_statement(&insert("report")), "T D one C Z");
    first.send(&http_ok(&full_endpoint_list(
        2,
        &[("s2", &three.address, "up", "read-write")],
    )));
    assert!(
        new_agent
            .next_request()
            .request_line
            .starts_with("GET /api/targets?index=2&")
    );
    assert_eq!(client.run_statement(&insert("report")), "T D three C Z");
}

#[test]
fn a_restart_with_an_old_endpoint_list_sends_nothing_to_a_draining_server() {
    let (draining, remaining) = (
        start_server("read-write", always_row("drained")),
        start_server("read-write", always_row("stays")),
    );
    let known = full_endpoint_list(
        7,
        &[
            ("s0", &draining.address, "up", "read-write"),
            ("s1", &remaining.address, "up", "read-only"),
        ],
    );
    let (gateway, agent) = gateway_with_manual_agent(&known, &default_settings());
    let mut first = agent.next_request();
    let mut stream = gateway.connect();
    stream
        .write_all(&[STARTUP_MESSAGE, &query_message(&insert("report"))].concat())
        .unwrap();
    // Far shorter than the time for which the gateway waits for its agent.
    assert!(
        draining
            .statements
            .recv_timeout(Duration::from_millis(50))
            .is_err(),
        "nothing may be sent before the agent has responded"
    );
    first.send(&http_ok(&full_endpoint_list(
        9,
        &[
            ("s0", &draining.address, "draining", "read-only"),
            ("s1", &remaining.address, "up", "read-write"),
        ],
    )));
    let mut client = Client { stream };
    client.read_response();
    assert_eq!(client.read_response(), "T D stays C Z");
    assert_eq!(draining.statements.try_iter().count(), 0);
    drop(gateway);
}

#[test]
fn with_discovery_silent_a_restart_is_ready_with_the_restored_endpoint_list() {
    let one = start_server("read-write", always_row("one"));
    let (gateway, agent) = gateway_with_manual_agent(
        &full_endpoint_list(7, &[("s0", &one.address, "up", "read-write")]),
        &default_settings(),
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
fn the_disconnect_of_a_pipelining_client_is_detected_while_its_request_waits() {
    let primary = ManualServer::new();
    let gateway = gateway(
        &[(&primary.address, "read-write")],
        &long_connect_settings(),
    );
    let mut client = gateway.connect_client();
    // Far more than the ring buffer holds, all of it complete requests, behind one whose connect is pending.
    let requests: Vec<u8> = (0..400)
        .flat_map(|_| query_message(&insert("report")))
        .collect();
    client.send(&requests);
    let connection = primary.accept();
    drop(client);
    gateway.wait_for_counter("gone=1");
    expect_close_without_statement(connection);
    assert!(
        !primary.connects_within(OBSERVATION_TIME),
        "no further request is sent"
    );
    assert!(gateway.counters().contains("taken.report=1 "));
}

#[test]
fn requests_behind_one_whose_client_disconnected_are_never_sent() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
    let mut client = gateway.connect_client();
    client.send(
        &[
            query_message(&insert("report")),
            query_message(&insert("order")),
        ]
        .concat(),
    );
    let mut connection = primary.accept_ready();
    connection.read_statement().unwrap();
    // When the program resumes, the kernel already holds both the answer and the client's disconnect.
    gateway.pause();
    connection.respond("INSERT", "late", "read-write");
    let client_address = client.stream.local_addr().unwrap();
    drop(client);
    let gateway_address = gateway.address.parse().unwrap();
    wait_for_socket(
        gateway_address,
        client_address,
        TcpSocket::is_closed_by_peer,
    );
    let (server_side, gateway_side) = (
        connection.stream.local_addr().unwrap(),
        connection.stream.peer_addr().unwrap(),
    );
    wait_for_socket(gateway_side, server_side, TcpSocket::has_unread_bytes);
    gateway.signal("-CONT");
    gateway.wait_for_counter("clients.closed=1");
    assert_eq!(
        next_read_error(&mut connection.stream),
        ErrorKind::WouldBlock,
        "no second statement"
    );
    assert!(!primary.connects_within(OBSERVATION_TIME));
}

#[test]
fn an_attempt_whose_client_disconnects_or_cancels_during_connect_is_not_sent() {
    for cancels in [false, true] {
        let primary = ManualServer::new();
        let gateway = gateway(
            &[(&primary.address, "read-write")],
            &long_connect_settings(),
        );
        let (mut client, key) = connect_with_cancel_key(&gateway);
        client.send(&query_message(&insert("order")));
        let connection = primary.accept();
        if cancels {
            send_cancel_request(&gateway, key);
            assert_eq!(client.read_response(), "E C57014 Z");
        } else {
            drop(client);
        }
        gateway.wait_for_counter("gone=1");
        expect_close_without_statement(connection);
        assert!(gateway.counters().contains("ended.NotSent=1 "));
    }
}

#[test]
fn a_cancel_ends_the_open_request_of_its_connection_and_no_other() {
    let (release, delayed_row) = row_on_signal("late");
    let primary = start_server(
        "read-write",
        vec![
            delayed_row,
            ServerAction::Row("next".into()),
            ServerAction::Row("other's".into()),
        ],
    );
    let gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
    let (mut one, key) = connect_with_cancel_key(&gateway);
    let (mut other, other_key) = connect_with_cancel_key(&gateway);
    let mut trace = String::new();
    // No request is open, so the cancel has no effect, now or later.
    send_cancel_request(&gateway, key);
    one.send(&query_message(&insert("report")));
    next_statement(&primary);
    // Invalid keys, the key of another connection, and a packet that is too short.
    send_cancel_request(&gateway, [0; 8]);
    send_cancel_request(&gateway, key.map(|byte| !byte));
    send_cancel_request(&gateway, other_key);
    let mut short_packet = gateway.connect();
    short_packet
        .write_all(&[&b"\0\0\0\x0c\x04\xd2\x16\x2e"[..], &key[..4]].concat())
        .unwrap();
    assert_eq!(short_packet.read(&mut [0; 1]).unwrap(), 0);
    assert_eq!(next_read_error(&mut one.stream), ErrorKind::WouldBlock);
    one.stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    send_cancel_request(&gateway, key);
    trace += &format!("cancelled: {}\n", one.read_response());
    // The cancel applied to the request before.
    trace += &format!("the next: {}\n", one.run_statement(&insert("report")));
    trace += &format!("another's: {}\n", other.run_statement(&insert("report")));
    release.send(()).unwrap();
    drop(one);
    gateway.wait_for_counter("clients.closed=7");
    send_cancel_request(&gateway, key);
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
    let (release, delayed_row) = row_on_signal("late");
    let primary = start_server(
        "read-write",
        vec![ServerAction::Row("first".into()), delayed_row],
    );
    let gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
    let (mut client, key) = connect_with_cancel_key(&gateway);
    // The cancel connection is opened before, and all but its last byte is sent.
    let mut cancel_connection = gateway.connect();
    let packet = [&b"\0\0\0\x10\x04\xd2\x16\x2e"[..], &key].concat();
    cancel_connection.write_all(&packet[..15]).unwrap();
    gateway.wait_for_counter("clients.opened=2");
    thread::sleep(OBSERVATION_TIME);
    assert_eq!(client.run_statement(&insert("report")), "T D first C Z");
    next_statement(&primary);
    client.send(&query_message(&insert("report")));
    next_statement(&primary);
    cancel_connection.write_all(&packet[15..]).unwrap();
    assert_eq!(cancel_connection.read(&mut [0; 1]).unwrap(), 0);
    release.send(()).unwrap();
    assert_eq!(client.read_response(), "T D late C Z");
}

#[test]
fn a_server_that_drains_during_connect_gets_nothing() {
    let (draining, remaining) = (ManualServer::new(), ManualServer::new());
    let gateway = gateway(
        &[
            (&draining.address, "read-write"),
            (&remaining.address, "read-only"),
        ],
        &long_connect_settings(),
    );
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("report")));
    let mut pending = draining.accept();
    let changes = [
        target("s0", &draining.address, "draining", "read-only"),
        target("s1", &remaining.address, "up", "read-write"),
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
    pending.try_send_ready();
    // The request is sent to the remaining server.
    let mut connection = remaining.accept_ready();
    connection.answer_next("stays", "read-write");
    assert_eq!(client.read_response(), "T D stays C Z");
    assert_eq!(pending.read_statement(), None);
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
    // The statement may have been executed.
    first.reset();
    let mut second = primary.accept();
    // Held back past the key's validity, which began with the first attempt.
    thread::sleep((began + Duration::from_millis(1_200)).saturating_duration_since(Instant::now()));
    second.try_send_ready();
    assert_eq!(second.read_statement(), None);
    assert_eq!(client.read_response(), "E C58000 Z");
}

#[test]
fn a_statement_carries_the_timeout_that_is_left_after_a_slow_connect() {
    let primary = ManualServer::new();
    let short_target_settings = settings(10_000, 30_000, 5_000).replace("30000.0", "2000.0");
    let gateway = gateway(&[(&primary.address, "read-write")], &short_target_settings);
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("order")));
    let mut connection = primary.accept();
    thread::sleep(OBSERVATION_TIME);
    connection.try_send_ready();
    let statement = connection.answer_next("late", "read-write");
    assert_eq!(client.read_response(), "T D late C Z");
    // The same connection again, which is now established.
    client.send(&query_message(&insert("order")));
    let next = connection.answer_next("soon", "read-write");
    assert_eq!(client.read_response(), "T D soon C Z");
    assert!(
        deadline_ms(&statement) + 250 <= deadline_ms(&next).min(5_000),
        "{statement} {next}"
    );
}

#[test]
fn an_attempt_whose_client_timeout_ends_during_connect_is_not_sent() {
    let primary = ManualServer::new();
    let short_target_settings = settings(10_000, 3_000, 800).replace("30000.0", "400.0");
    let gateway = gateway(&[(&primary.address, "read-write")], &short_target_settings);
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("order")));
    let connection = primary.accept();
    // Nothing was sent, so the client may retry it.
    assert!(client.read_response().starts_with("E C53300"));
    expect_close_without_statement(connection);
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
        let (gateway, agent) = gateway_with_manual_agent(&known, &default_settings());
        let mut endless = agent.next_request();
        endless.send(&format!("HTTP/1.1 200 OK\r\n{head}{}", &known[..60]));
        // The response continues a byte at a time until the gateway closes the connection.
        let writer_thread = thread::spawn(move || endless.send_until_closed(b' '));
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
        writer_thread.join().unwrap();
    }
}

#[test]
fn a_connect_that_never_completes_is_abandoned_and_holds_nothing() {
    let (hanging, answering) = (
        ManualServer::new(),
        start_server("read-only", always_row("answers")),
    );
    let gateway = gateway(
        &[
            (&hanging.address, "read-only"),
            (&answering.address, "read-only"),
        ],
        &default_settings(),
    );
    let mut client = gateway.connect_client();
    // The first server is chosen at random; each read is answered in either case.
    for _ in 0..12 {
        assert_eq!(client.run_statement(&select("view")), "T D answers C Z");
    }
    // The pending connections were closed again, and accepting them late changes nothing.
    while hanging.connects_within(Duration::ZERO) {}
    assert_eq!(client.run_statement(&select("view")), "T D answers C Z");
}

#[test]
fn an_idle_connection_with_unexpected_input_or_a_close_is_not_reused() {
    for closed in [false, true] {
        let primary = ManualServer::new();
        let gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
        let mut client = gateway.connect_client();
        client.send(&query_message(&insert("order")));
        let mut connection = primary.accept_ready();
        connection.answer_next("first", "read-write");
        assert_eq!(client.read_response(), "T D first C Z");
        // When the program resumes, the kernel already holds both the client's request and what the server did.
        gateway.pause();
        client.send(&query_message(&insert("order")));
        if closed {
            connection.stream.shutdown(Shutdown::Both).unwrap();
        } else {
            connection.stream.write_all(b"S\0\0\0\x18mode").unwrap();
        }
        gateway.signal("-CONT");
        let mut fresh = primary.accept_ready();
        fresh.answer_next("second", "read-write");
        assert_eq!(client.read_response(), "T D second C Z");
        if !closed {
            assert_eq!(connection.read_statement(), None);
        }
    }
}

#[test]
fn a_reset_before_the_last_byte_is_not_sent_and_one_after_it_possibly_executed() {
    let mut trace = String::new();
    // Longer than both kernel buffers, so that the last byte cannot have been sent.
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
        // The first bytes have arrived, and no more are read.
        cut.stream.read_exact(&mut [0; 64]).unwrap();
        cut.reset();
        let mut whole = primary.accept_ready();
        let statement = whole.read_statement().unwrap();
        assert!(statement.starts_with("INSERT") && statement.len() > 128 << 10);
        // The statement is complete now, so this attempt may have been executed.
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
    let description = &begun[..begun[4] as usize + 1];
    let mut error = Vec::new();
    put_message(&mut error, b'E', b"SERROR\0C25006\0Mno\0\0");
    let mut broken = Vec::new();
    put_message(&mut broken, b'E', b"SERROR\0C53300\0M");
    let mut two_codes = Vec::new();
    put_message(&mut two_codes, b'E', b"SERROR\0C53300\0CXX000\0Mno\0\0");
    let cases = [
        (
            "a miss behind a description",
            [description, &error].concat(),
        ),
        ("cut in the row", begun[..40].to_vec()),
        ("an error without an end", broken),
        ("an error of two codes", two_codes),
        ("an error that is whole", error),
    ];
    for (name, bytes) in cases {
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
fn an_endless_answer_times_out_and_delays_no_other_client() {
    let endless = ManualServer::new();
    let other = start_server("read-write", always_row("fine"));
    let short_target_settings = settings(250, 3000, 60_000).replace("30000.0", "800.0");
    let gateway = gateway(
        &[
            (&other.address, "read-write"),
            (&endless.address, "read-only"),
        ],
        &short_target_settings,
    );
    let mut client = gateway.connect_client();
    client.send(&query_message(&select("view")));
    let mut connection = endless.accept_ready();
    connection.read_statement().unwrap();
    let mut notices = Vec::new();
    (0..500).for_each(|_| put_message(&mut notices, b'N', b"SNOTICE\0Mon and on\0\0"));
    let mut writer = connection.stream.try_clone().unwrap();
    // Writes until the gateway has closed the connection.
    let writer_thread = thread::spawn(move || while writer.write_all(&notices).is_ok() {});
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D fine C Z"
    );
    assert_eq!(client.read_response(), "T D fine C Z");
    writer_thread.join().unwrap();
    assert!(gateway.counters().contains("ended.TimedOut=1 "));
}

/// Guards against a gateway that hangs as a whole, timers included, while one server sends faster than it parses.
#[test]
fn an_endless_answer_of_the_shortest_messages_delays_no_other_client() {
    let endless = ManualServer::new();
    let other = start_server("read-write", always_row("fine"));
    let short_target_settings = settings(250, 3000, 60_000).replace("30000.0", "800.0");
    let gateway = gateway(
        &[
            (&other.address, "read-write"),
            (&endless.address, "read-only"),
        ],
        &short_target_settings,
    );
    let mut client = gateway.connect_client();
    client.send(&query_message(&select("view")));
    let mut connection = endless.accept_ready();
    connection.read_statement().unwrap();
    let notices = b"N\0\0\0\x04".repeat(64 << 10);
    let mut writer = connection.stream.try_clone().unwrap();
    // Writes until the gateway has closed the connection.
    let writer_thread = thread::spawn(move || while writer.write_all(&notices).is_ok() {});
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D fine C Z"
    );
    assert_eq!(client.read_response(), "T D fine C Z");
    writer_thread.join().unwrap();
    assert!(gateway.counters().contains("ended.TimedOut=1 "));
}

#[test]
fn floods_of_disconnecting_clients_leave_nothing_behind() {
    let primary = ManualServer::new();
    let gateway = gateway(
        &[(&primary.address, "read-write")],
        &long_connect_settings(),
    );
    let mut well_behaved = gateway.connect_client();
    for nth in 1..=200 {
        let mut stream = gateway.connect();
        stream
            .write_all(&[STARTUP_MESSAGE, &query_message(&insert("order"))].concat())
            .unwrap();
        // Half of them shut down in order, half are dropped with unread data, which resets the connection.
        if nth % 2 == 0 {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
    gateway.wait_for_counter("clients.closed=200");
    // The attempts that were begun for them have ended without a statement.
    let mut abandoned = 0;
    well_behaved.send(&query_message(&insert("report")));
    loop {
        let mut connection = primary.accept();
        connection.try_send_ready();
        if let Some(statement) = connection.read_statement() {
            assert!(statement.contains("c=report"), "{statement}");
            connection.respond(&statement, "honest", "read-write");
            break;
        }
        abandoned += 1;
        assert!(abandoned <= 200);
    }
    assert_eq!(well_behaved.read_response(), "T D honest C Z");
    let counters = gateway.counters();
    assert_eq!(
        gateway_process::counter_value(&counters, "failed"),
        Some("0")
    );
    drop(well_behaved);
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
    std::fs::write(
        &file,
        config(&address, &agent.address, &known, &default_settings()),
    )
    .unwrap();
    // The program's open of the file blocks until the lease is released.
    let file_lease = leverpoint_test_support::file_lease::FileLease::acquire(&file);
    let mut child = gateway_process::spawn_process(
        Command::new(program())
            .arg("serve")
            .env("NODE_CONFIG", &file)
            .stderr(Stdio::piped()),
    );
    file_lease.wait_for_open();
    for name in ["-HUP", "-USR1", "-TERM", "-HUP", "-TERM"] {
        gateway_process::output(Command::new("kill").args([name, &child.id().to_string()]));
    }
    file_lease.release();
    let mut stderr = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut stderr)
        .unwrap();
    assert!(child.wait().unwrap().success(), "{stderr}");
    let events: Vec<_> = stderr
        .lines()
        .filter_map(|l| l.split("event=\"").nth(1)?.split('"').next())
        .collect();
    assert_eq!(events.last(), Some(&"ended"), "{stderr}");
    assert!(
        events.contains(&"serving") && events.contains(&"configuration reloaded"),
        "{stderr}"
    );
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_left_unread() {
    let primary = start_server("read-write", always_row("one"));
    let mut gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
    let mut idle_client = gateway.connect_client();
    assert_eq!(idle_client.run_statement(&insert("report")), "T D one C Z");
    gateway.signal("-TERM");
    // The gateway has shut down its sending side.
    assert_eq!(idle_client.read_response(), "end");
    idle_client.send(&query_message(&insert("report")));
    let line = gateway.wait_for_log("event=\"counters\"");
    assert!(gateway.child.wait().unwrap().success());
    // Closing a socket with unread data resets the connection; if the request had been read, there would be no reset.
    let socket_error = idle_client.stream.take_error().unwrap().map(|e| e.kind());
    assert_eq!(socket_error, Some(ErrorKind::BrokenPipe));
    assert_eq!(
        gateway_process::counter_value(&line, "taken.report"),
        Some("1")
    );
}

#[test]
fn requests_received_before_the_close_of_an_idle_connection_are_answered() {
    let primary = start_server("read-write", always_row("one"));
    let short_target_settings = default_settings().replace("30000.0", "800.0");
    let mut gateway = gateway(&[(&primary.address, "read-write")], &short_target_settings);
    let mut idle_clients: Vec<_> = (0..8).map(|_| gateway.connect_client()).collect();
    gateway.signal("-TERM");
    gateway.wait_for_log("event=\"ending\"");
    // Paused before it closes them; when it resumes, their time is over and each has a request waiting.
    gateway.pause();
    idle_clients
        .iter_mut()
        .for_each(|client| client.send(&query_message(&insert("report"))));
    // And a connection that is not accepted yet.
    let mut stream = gateway.connect();
    stream
        .write_all(&[STARTUP_MESSAGE, &query_message(&insert("report"))].concat())
        .unwrap();
    thread::sleep(Duration::from_millis(700));
    gateway.signal("-CONT");
    idle_clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_response(), "T D one C Z"));
    let mut late = Client { stream };
    late.read_response();
    assert_eq!(late.read_response(), "T D one C Z");
    drop((idle_clients, late));
    gateway.wait_for_log("event=\"ended\"");
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn an_answer_unread_at_shutdown_is_still_whole() {
    let value = "ab".repeat(32 << 10);
    let primary = start_server("read-write", always_row(&value));
    let mut gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
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
    let mut gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
    let (mut order, mut view) = (gateway.connect_client(), gateway.connect_client());
    order.send(&query_message(&insert("order")));
    view.send(&query_message(&select("view")));
    next_statement(&primary);
    gateway.signal("-TERM");
    let began = Instant::now();
    // The client timeout is a minute, which is longer than the platform's limit for a shutdown.
    assert_eq!(order.read_response(), "E C58000 Z");
    assert!(view.read_response().starts_with("E C53300"));
    assert!(gateway.child.wait().unwrap().success());
    // The platform's limit for a shutdown: 3 s and 0.7 s more.
    assert!(began.elapsed() < Duration::from_millis(3_700));
}

#[test]
fn with_discovery_down_and_descriptors_exhausted_by_idle_clients_requests_still_get_one() {
    let primary = start_server("read-write", always_row("served"));
    let known = full_endpoint_list(7, &[("s0", &primary.address, "up", "read-write")]);
    let agent = ManualAgent::new();
    let address = free_address();
    let text = config(&address, &agent.address, "null", &default_settings()).replace("1024", "40");
    // The same limit is set in the operating system.
    let limiting_script =
        std::env::temp_dir().join(format!("leverpoint-{}-limited.sh", std::process::id()));
    std::fs::write(
        &limiting_script,
        format!(
            "#!/bin/sh\nulimit -n 40\nexec {} \"$@\"\n",
            program().display()
        ),
    )
    .unwrap();
    gateway_process::output(Command::new("chmod").args(["+x", limiting_script.to_str().unwrap()]));
    let gateway = gateway_process::start(&text, address, agent.as_agent(), &limiting_script, &[]);
    std::fs::remove_file(&limiting_script).unwrap();
    let unanswered = agent.next_request();
    let mut idle: Vec<_> = (0..60)
        .map(|nth| {
            let mut stream = gateway.connect();
            // Some send nothing, some only a startup message, some also a readiness check.
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
    drop(unanswered);
    // The gateway keeps polling the agent meanwhile, on new connections.
    for _ in 0..2 {
        assert!(
            agent
                .next_request()
                .request_line
                .starts_with("GET /api/targets HTTP")
        );
    }
    agent.next_request().send(&http_ok(&known));
    assert!(agent.next_request().request_line.contains("index=7"));
    // A new readiness check succeeds and a new client is served, although all idle clients are still connected.
    let mut new_client = gateway.connect_client();
    assert_eq!(new_client.run_statement(""), "I Z");
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
        &default_settings(),
    );
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("report")));
    let mut connection = one.accept_ready();
    let statement = connection.read_statement().unwrap();
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
    connection.respond(&statement, "finishes", "read-write");
    assert_eq!(client.read_response(), "T D finishes C Z");
    assert_eq!(
        connection.read_statement(),
        None,
        "the connection is closed after the answer"
    );
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
    let gateway = gateway(&[(&primary.address, "read-only")], &default_settings());
    let mut client = gateway.connect_client();
    assert_eq!(client.run_statement(&select("view")), "T D last C Z");
    assert_eq!(client.run_statement(&select("view")), "T D more C Z");
}

/// Guards against a session's read that is sent to a replica, without a check of the replica's position, before the
/// position of the session's write is known.
#[test]
fn a_read_behind_a_write_without_a_reported_position_goes_to_the_primary() {
    let primary = ManualServer::new();
    let replica = start_server("read-only", always_row("old"));
    let settings_without_checks = default_settings()
        .replace(r#""guards": "reject""#, r#""guards": "none""#)
        .replace(r#"["loose", "#, r#"["own_writes", "#);
    let servers = [
        (&*primary.address, "read-write"),
        (&*replica.address, "read-only"),
    ];
    let gateway = gateway(&servers, &settings_without_checks);
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("order")));
    let mut connection = primary.accept_ready();
    connection.answer_next("first", "read-write");
    assert_eq!(client.read_response(), "T D first C Z");
    // Another session's read shows that the replica has the first write.
    let other_session_read = select("view").replace("7f3a", "8e4b");
    assert_eq!(
        gateway.connect_client().run_statement(&other_session_read),
        "T D old C Z"
    );
    next_statement(&replica);
    // The row has arrived, the server's status parameters that follow it have not.
    client.send(&query_message(&insert("order")));
    connection.read_statement().unwrap();
    connection
        .stream
        .write_all(&row_messages("second", WRITE_TAG))
        .unwrap();
    assert_eq!(client.read_response(), "T D second C Z");
    client.send(&query_message(&select("view")));
    let mut other = primary.accept_ready();
    assert!(other.answer_next("new", "read-write").starts_with("SELECT"));
    assert_eq!(client.read_response(), "T D new C Z");
    // Now the status never arrives.
    drop(connection);
    client.send(&query_message(&select("view")));
    other.answer_next("served", "read-write");
    assert_eq!(client.read_response(), "T D served C Z");
    assert_eq!(replica.statements.try_iter().count(), 0);
}

/// Guards against a client that is served another request's row, as the server sends that row twice and the copy arrives
/// behind the next statement.
#[test]
fn a_copy_of_an_answer_is_not_served_to_the_next_request() {
    for statement in [select("view"), insert("order")] {
        let primary = ManualServer::new();
        let gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
        let mut client = gateway.connect_client();
        client.send(&query_message(&statement));
        let mut connection = primary.accept_ready();
        connection.answer_next("first", "read-write");
        assert_eq!(client.read_response(), "T D first C Z");
        client.send(&query_message(&statement));
        connection.read_statement().unwrap();
        connection.repeat_answer();
        // The empty query shows that the gateway has received the copy.
        assert_eq!(connection.read_statement().unwrap(), "");
        connection.respond(&statement, "second", "read-write");
        assert_eq!(client.read_response(), "T D second C Z");
        // A server that sends copies gets a new connection.
        client.send(&query_message(&statement));
        let mut fresh = primary.accept_ready();
        fresh.answer_next("third", "read-write");
        assert_eq!(client.read_response(), "T D third C Z");
        assert_eq!(connection.read_statement(), None);
        assert_eq!(
            gateway.shut_down(&["answered", "repeated_answers", "discarded_answers"]),
            "answered=3 repeated_answers=1 discarded_answers=1 "
        );
    }
}

/// Guards against a write that runs twice, as the copy of an earlier rejection is taken for its own and it is sent again.
#[test]
fn a_copy_of_a_rejection_does_not_make_the_next_write_run_twice() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("order")));
    let mut connection = primary.accept_ready();
    connection.answer_next("first", "read-write");
    assert_eq!(client.read_response(), "T D first C Z");
    client.send(&query_message(&insert("order")));
    connection.read_statement().unwrap();
    connection.reject("53300", "read-write");
    // The rejected write is sent again, as it has not run.
    assert!(connection.read_statement().unwrap().starts_with("INSERT"));
    connection.repeat_answer();
    assert_eq!(connection.read_statement().unwrap(), "");
    connection.respond(&insert("order"), "second", "read-write");
    assert_eq!(client.read_response(), "T D second C Z");
    assert_eq!(
        gateway.shut_down(&["dispatched", "ended.Answered", "ended.Full"]),
        "dispatched=3 ended.Answered=2 ended.Full=1 "
    );
}

/// Guards against an answer that is dropped only because the one before was the same.
#[test]
fn an_answer_equal_to_the_one_before_is_delivered_once_an_empty_query_is_answered() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
    let mut client = gateway.connect_client();
    client.send(&query_message(&select("view")));
    let mut connection = primary.accept_ready();
    connection.answer_next("same", "read-write");
    assert_eq!(client.read_response(), "T D same C Z");
    client.send(&query_message(&select("view")));
    connection.read_statement().unwrap();
    connection.repeat_answer();
    assert_eq!(connection.read_statement().unwrap(), "");
    connection
        .stream
        .write_all(&empty_query_response("read-write"))
        .unwrap();
    assert_eq!(client.read_response(), "T D same C Z");
    // The connection is used again.
    client.send(&query_message(&select("view")));
    connection.answer_next("other", "read-write");
    assert_eq!(client.read_response(), "T D other C Z");
    assert_eq!(
        gateway.shut_down(&[
            "answered",
            "repeated_answers",
            "discarded_answers",
            "servers.opened"
        ]),
        "answered=3 repeated_answers=1 discarded_answers=0 servers.opened=1 "
    );
}

/// Guards against an equal answer that is taken for the statement's where the server closes without settling it.
#[test]
fn a_write_with_an_unsettled_equal_answer_counts_as_possibly_executed() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &default_settings());
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("order")));
    let mut connection = primary.accept_ready();
    connection.answer_next("first", "read-write");
    assert_eq!(client.read_response(), "T D first C Z");
    client.send(&query_message(&insert("order")));
    connection.read_statement().unwrap();
    connection.repeat_answer();
    assert_eq!(connection.read_statement().unwrap(), "");
    drop(connection);
    assert_eq!(client.read_response(), "E C58000 Z");
    assert_eq!(
        gateway.shut_down(&["answered", "failed", "ended.Reset"]),
        "answered=1 failed=1 ended.Reset=1 "
    );
}
