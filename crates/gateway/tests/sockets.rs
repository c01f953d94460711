//! End-to-end tests of the program with simulated database servers, discovery and clients on loopback.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::mpsc;
use std::thread;

use leverpoint_test_support::agent::start_agent;
use leverpoint_test_support::client::Client;
use leverpoint_test_support::gateway::{self as gateway_process, Gateway, config};
use leverpoint_test_support::server::{
    Server, ServerAction, always_row, next_statement, row_on_signal, start_server,
};
use leverpoint_test_support::tcp_table::wait_until_accepted_are_closed;
use leverpoint_test_support::wire::{
    READ_TAG, STARTUP_MESSAGE, WAIT_LIMIT, WRITE_TAG, endpoint_list, http_ok, insert, put_message,
    query_message, row_messages, select, target,
};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_leverpoint"))
}

/// Starts a gateway whose endpoint list holds these servers.
fn gateway(servers: &[(&Server, &str)]) -> Gateway {
    gateway_with(servers, settings(), (192, 1024))
}

fn gateway_with(servers: &[(&Server, &str)], settings: &str, limits: (usize, usize)) -> Gateway {
    gateway_process::start_with_servers(program(), servers, settings, limits, &[])
}

fn settings() -> &'static str {
    r#"{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {"answerSlackMs": 5000.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5, "startCapacity": 0.2,
     "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0, 0.0, 0.0, 0.0],
     "readLevel": ["loose", "own_writes", "update", "update"], "stamps": true, "tokens": "router"},
    "grades": [
     {"name": "view", "aimMs": 30000.0, "deadlineMs": 60000.0, "semantics": "pure", "worth": 1.0, "lateWorth": 1.0},
     {"name": "own", "aimMs": 30000.0, "deadlineMs": 60000.0, "semantics": "pure", "worth": 1.0},
     {"name": "report", "aimMs": 30000.0, "deadlineMs": 60000.0, "semantics": "token", "group": "cell",
      "keyTtlMs": 3000.0, "worth": 3.0, "lateWorth": 0.5},
     {"name": "order", "aimMs": 30000.0, "deadlineMs": 60000.0, "semantics": "side_effect", "worth": 3.0}],
    "policyLimits": {"sendCap": 4, "retryAfter": true, "maxRetryAfterMs": 2000.0, "connectTimeoutMs": 250.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "acme", "share": 1.0, "quotaPerS": 100.0}]}"#
}

/// The same settings with response targets of 0.8 s, for tests that wait until a target has passed.
fn short_target_settings() -> String {
    settings().replace("30000.0", "800.0")
}

#[test]
fn reads_and_writes_go_to_the_servers_of_the_endpoint_list() {
    let (primary, replica) = (
        start_server("read-write", always_row("first")),
        start_server("read-only", always_row("second")),
    );
    let gateway = gateway(&[(&primary, "read-write"), (&replica, "read-only")]);
    let mut client = gateway.connect_client();
    let mut trace = format!("{}\n", client.run_statement(&insert("report")));
    trace += &format!("{}\n", client.run_statement(&select("view")));
    trace += &format!(
        "primary heard {}\nreplica heard {}\n",
        next_statement(&primary),
        next_statement(&replica)
    );
    trace += &gateway.shut_down(&[
        "taken.view",
        "taken.report",
        "answered",
        "dispatched",
        "servers.opened",
    ]);
    insta::assert_snapshot!(trace);
}

#[test]
fn startup_and_session_statements_are_answered_at_once_and_pipelined_requests_in_turn() {
    let primary = start_server("read-write", always_row("x"));
    let gateway = gateway(&[(&primary, "read-write")]);
    let mut stream = TcpStream::connect(&gateway.address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
        .write_all(b"\0\0\0\x08\x04\xd2\x16\x2f\0\0\0\x08\x04\xd2\x16\x30")
        .unwrap();
    let mut tls_refusals = [0; 2];
    stream.read_exact(&mut tls_refusals).unwrap();
    // The startup message and all statements in one write.
    let mut bytes = STARTUP_MESSAGE.to_vec();
    for text in [
        "",
        "SET x = 1",
        "DISCARD ALL",
        &insert("report"),
        "RESET x",
        &insert("report"),
    ] {
        bytes.extend(query_message(text));
    }
    put_message(&mut bytes, b'X', b"");
    stream.write_all(&bytes).unwrap();
    let mut client = Client { stream };
    let mut trace = format!("{}\n", String::from_utf8_lossy(&tls_refusals));
    (0..8).for_each(|_| trace += &format!("{}\n", client.read_response()));
    insta::assert_snapshot!(trace);
}

#[test]
fn a_read_is_retried_after_each_kind_of_failed_attempt() {
    let mut trace = String::new();
    let whole = row_messages("spoilt", READ_TAG);
    let truncated = whole[..40].to_vec();
    let with_byte = |at: usize, byte: u8| {
        let mut bytes = whole.clone();
        bytes[at] = byte;
        ServerAction::BytesThenDisconnect(bytes)
    };
    let (description, value) = (whole[4] as usize + 1, whole.len() - "spoilt".len() - 14);
    let cases = [
        ("too far behind", ServerAction::ErrorCode("72000")),
        ("full", ServerAction::ErrorCode("53300")),
        ("an error", ServerAction::ErrorCode("XX000")),
        ("no more connections", ServerAction::Disconnect),
        ("reset", ServerAction::Disconnect),
        (
            "cut in the row",
            ServerAction::BytesThenDisconnect(truncated),
        ),
        (
            "garbage",
            ServerAction::BytesThenDisconnect(b"no such protocol at all".to_vec()),
        ),
        (
            "an oversized answer",
            ServerAction::BytesThenDisconnect(b"D\x7f\0\0\0".to_vec()),
        ),
        (
            "a completion without a row",
            ServerAction::BytesThenDisconnect(b"C\0\0\0\x0dSELECT 1\0".to_vec()),
        ),
        ("a value shorter than it says", with_byte(value - 1, 200)),
        ("a value longer than it says", with_byte(value - 1, 2)),
        ("a value of less than nothing", with_byte(value - 4, 255)),
        ("two columns", with_byte(6, 2)),
        ("a description of more", with_byte(8, b'v')),
        (
            "two rows",
            ServerAction::BytesThenDisconnect(
                [&whole[..value + 6], &whole[description..]].concat(),
            ),
        ),
        (
            "a write's completion",
            ServerAction::BytesThenDisconnect(row_messages("spoilt", WRITE_TAG)),
        ),
        (
            "a completion of two",
            ServerAction::BytesThenDisconnect(row_messages("spoilt", "SELECT 2")),
        ),
        ("silence", ServerAction::NoResponse),
    ];
    for (name, action) in cases {
        let (primary, replica) = (
            start_server("read-write", always_row("primary's")),
            start_server(name, vec![action]),
        );
        // Short targets, as the test waits out the attempt that gets no response.
        let short_targets = short_target_settings();
        let gateway = gateway_with(
            &[(&primary, "read-write"), (&replica, "read-only")],
            &short_targets,
            (192, 1024),
        );
        trace += &format!(
            "{name}: {} ",
            gateway.connect_client().run_statement(&select("view"))
        );
        let counters = gateway.shut_down(&[
            "ended.Missed",
            "ended.Full",
            "ended.Error",
            "ended.Reset",
            "ended.TimedOut",
            "ended.Answered",
        ]);
        trace += &format!("{}\n", counters.replace("ended.", ""));
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn bytes_behind_an_answer_belong_to_no_other_request() {
    let behind = [
        row_messages("one", WRITE_TAG),
        b"noise".to_vec(),
        vec![b'x'; 40 << 10],
        b"S\0\0\0\x08st\0\xff".to_vec(),
    ];
    let mut actions: Vec<_> = behind
        .into_iter()
        .map(|more| ServerAction::RowThenBytes("one".into(), more))
        .collect();
    // Invalid status parameters: they give no role and no position, and the row still counts.
    let invalid_parameters: [&[u8]; 3] = [
        b"mode\0read-\xff\0",
        b"wal_time\x001e300\0",
        b"stats\0inflight=\0",
    ];
    let mut invalid_status = row_messages("two", WRITE_TAG);
    invalid_parameters
        .iter()
        .for_each(|parameter| put_message(&mut invalid_status, b'S', parameter));
    put_message(&mut invalid_status, b'Z', b"I");
    actions.extend([
        ServerAction::BytesThenDisconnect(invalid_status),
        ServerAction::Row("three".into()),
    ]);
    let primary = start_server("read-write", actions);
    let gateway = gateway(&[(&primary, "read-write")]);
    let mut client = gateway.connect_client();
    let mut trace = String::new();
    (0..5).for_each(|_| trace += &format!("{}\n", client.run_statement(&insert("order"))));
    // The server closes behind its fifth answer. Until the gateway's kernel has received the close, the next statement
    // would be sent on that connection and count as possibly executed.
    wait_until_accepted_are_closed(primary.address.parse().unwrap());
    trace += &format!("{}\n", client.run_statement(&insert("order")));
    trace += &gateway.shut_down(&[
        "answered",
        "ended.Answered",
        "ended.Reset",
        "servers.opened",
    ]);
    insta::assert_snapshot!(trace);
}

#[test]
fn a_possibly_executed_write_fails_and_one_not_executed_is_shed() {
    let mut trace = String::new();
    let closed_server = || {
        // Nothing listens on this address any more.
        let address = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
            .to_string();
        Server {
            address,
            statements: mpsc::channel().1,
        }
    };
    let cases = [
        (
            "reset after the last byte",
            start_server(
                "read-write",
                vec![ServerAction::Disconnect, ServerAction::Row("again".into())],
            ),
        ),
        ("refused before it", closed_server()),
        (
            "turned away by its queue",
            start_server("read-write", vec![ServerAction::ErrorCode("53300")]),
        ),
    ];
    for (name, primary) in cases {
        let short_targets = short_target_settings();
        let gateway = gateway_with(&[(&primary, "read-write")], &short_targets, (192, 1024));
        trace += &format!(
            "{name}: {} ",
            gateway.connect_client().run_statement(&insert("order"))
        );
        trace += &gateway.shut_down(&["throttled", "failed"]);
        trace += &format!("heard {}\n", primary.statements.try_iter().count().min(1));
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_possibly_executed_keyed_request_is_retried_within_its_replica_set() {
    let primary = start_server(
        "read-write",
        vec![ServerAction::Disconnect, ServerAction::Row("kept".into())],
    );
    let gateway = gateway(&[(&primary, "read-write")]);
    let answer = gateway.connect_client().run_statement(&insert("report"));
    assert_eq!(
        (
            answer.as_str(),
            next_statement(&primary) == next_statement(&primary)
        ),
        ("T D kept C Z", true)
    );
}

#[test]
fn a_late_answer_reaches_nobody_and_its_connection_is_closed() {
    let (primary, replica) = (
        start_server("read-write", always_row("in time")),
        start_server("read-only", vec![ServerAction::NoResponse]),
    );
    let gateway = gateway(&[(&primary, "read-write"), (&replica, "read-only")]);
    let mut client = gateway.connect_client();
    assert_eq!(client.run_statement(&select("view")), "T D in time C Z");
    next_statement(&replica);
    assert_eq!(next_statement(&replica), "closed");
    // No bytes are left between the last answer and the next.
    assert_eq!(client.run_statement(""), "I Z");
}

#[test]
fn a_client_disconnect_ends_its_own_request_only() {
    let (release, delayed_row) = row_on_signal("late");
    let primary = start_server(
        "read-write",
        vec![delayed_row, ServerAction::Row("other's".into())],
    );
    let gateway = gateway(&[(&primary, "read-write")]);
    let mut disconnecting = gateway.connect_client();
    disconnecting.send(&query_message(&insert("report")));
    next_statement(&primary);
    let mut other = gateway.connect_client();
    assert_eq!(other.run_statement(&insert("report")), "T D other's C Z");
    drop(disconnecting);
    // Until the gateway has detected the disconnect.
    while !gateway.counters().contains(" gone=1 ") {}
    assert_eq!(other.run_statement(&insert("report")), "T D other's C Z");
    release.send(()).unwrap();
    drop(other);
    insta::assert_snapshot!(gateway.shut_down(&[
        "taken.report",
        "answered",
        "throttled",
        "failed",
        "gone"
    ]));
}

#[test]
fn values_of_64_kib_pass_whole_both_ways() {
    let value = "ab".repeat(32 << 10);
    let primary = start_server("read-write", always_row(&value));
    let gateway = gateway(&[(&primary, "read-write")]);
    let mut client = gateway.connect_client();
    let text = insert("report").replace("9f", &"9f".repeat(64 << 10));
    for _ in 0..3 {
        assert_eq!(client.run_statement(&text), "T D of 65536 bytes C Z");
        assert_eq!(next_statement(&primary), text.replace("d=60000", "d=*"));
    }
}

#[test]
fn a_client_that_does_not_read_delays_nobody_else() {
    let value = "ab".repeat(32 << 10);
    let primary = start_server("read-write", always_row(&value));
    let gateway = gateway(&[(&primary, "read-write")]);
    let (mut slow, mut other) = (gateway.connect_client(), gateway.connect_client());
    // Far more than the kernel buffers of the connection hold in both directions.
    let count = 400;
    let text = query_message(&insert("report"));
    let mut writer = slow.stream.try_clone().unwrap();
    let writer_thread =
        thread::spawn(move || (0..count).for_each(|_| writer.write_all(&text).unwrap()));
    writer_thread.join().unwrap();
    for _ in 0..5 {
        assert_eq!(
            other.run_statement(&insert("report")),
            "T D of 65536 bytes C Z"
        );
    }
    for nth in 0..count {
        assert_eq!(
            slow.read_response(),
            "T D of 65536 bytes C Z",
            "answer {nth}"
        );
    }
}

#[test]
fn endpoint_list_changes_apply_and_a_failed_poll_keeps_the_list() {
    let (one, two) = (
        start_server("read-write", always_row("one")),
        start_server("read-write", always_row("two")),
    );
    // A drain grace so long that no second call is made beside a pending one during this test.
    let short_targets = short_target_settings()
        .replace("60000.0", "2000.0")
        .replace("Ms\": 500.0", "Ms\": 60000.0");
    let gateway = gateway_with(&[(&one, "read-write")], &short_targets, (192, 1024));
    let mut client = gateway.connect_client();
    let mut trace = format!("at first: {}\n", client.run_statement(&insert("report")));
    let changed_list = endpoint_list(8, false, &[target("s0", &two.address, "up", "read-write")]);
    // The next request shows that the last response was read.
    let mut respond = |name: &str, response: String, client: &mut Client| {
        gateway.agent.responses.send(response).unwrap();
        let request = gateway.agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
        let answer = client.run_statement(&insert("report"));
        trace += &format!(
            "{name}: {answer}, asked {}\n",
            request.replace("HTTP/1.1", "").trim()
        );
    };
    respond("moved", http_ok(&changed_list), &mut client);
    respond(
        "500",
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into(),
        &mut client,
    );
    respond("no JSON", http_ok("{\"rev\":9,"), &mut client);
    respond(
        "a wrong length",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n".into(),
        &mut client,
    );
    respond(
        "half an answer",
        "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"rev\":9,cut".into(),
        &mut client,
    );
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let empty_list = endpoint_list(9, false, &[]);
    respond(
        "nothing new, in chunks",
        format!(
            "{chunked}{:x}\r\n{empty_list}\r\n0\r\n\r\n",
            empty_list.len()
        ),
        &mut client,
    );
    respond(
        "changes of an older list",
        http_ok(&endpoint_list(3, false, &[])),
        &mut client,
    );
    let draining_list = endpoint_list(
        10,
        true,
        &[target("s0", &two.address, "draining", "read-write")],
    );
    respond("drains", http_ok(&draining_list), &mut client);
    insta::assert_snapshot!(trace);
}

#[test]
fn a_polled_endpoint_list_is_watched_and_polled_again_after_a_failure() {
    let (one, two) = (
        start_server("read-write", always_row("one")),
        start_server("read-write", always_row("two")),
    );
    let gateway = gateway_with(
        &[(&one, "read-write")],
        &settings().replace("pushed", "on_request"),
        (192, 1024),
    );
    gateway
        .agent
        .responses
        .send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into())
        .unwrap();
    let request = gateway.agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    // Only the changes since the current list, as a full listing costs an overloaded discovery more.
    assert!(
        request.starts_with("GET /api/targets?index=7&"),
        "{request}"
    );
    let changed_list = endpoint_list(8, true, &[target("s0", &two.address, "up", "read-write")]);
    gateway
        .agent
        .responses
        .send(http_ok(&changed_list))
        .unwrap();
    gateway.agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D two C Z"
    );
}

#[test]
fn a_reloaded_configuration_applies_at_once_and_a_faulty_one_changes_nothing() {
    let (one, two) = (
        start_server("read-write", always_row("one")),
        start_server("read-write", always_row("two")),
    );
    let gateway = gateway(&[(&one, "read-write")]);
    let mut client = gateway.connect_client();
    let mut trace = format!("at first: {}\n", client.run_statement(&insert("report")));
    let new_agent = start_agent();
    // The new configuration has no list: the current one stays in use. The environment still names the old address.
    let valid = config(&gateway.address, &new_agent.address, "null", settings());
    let mut reload = |name: &str, text: &str, event: &str| {
        std::fs::write(&gateway.config_path, text).unwrap();
        gateway.signal("-HUP");
        let line = gateway.wait_for_log(event);
        let log_fields = line
            .split_once("event=")
            .unwrap()
            .1
            .replace(&gateway.config_path.display().to_string(), "FILE");
        let log_fields = log_fields.replace(&new_agent.address, "ELSEWHERE");
        trace += &format!(
            "{name}: {log_fields}; {}\n",
            client.run_statement(&insert("report"))
        );
    };
    // Truncated at a given word, not at a length, as the length changes with the addresses.
    let truncate_at = valid.find("semantics").unwrap();
    reload(
        "half written",
        &valid[..truncate_at],
        "configuration rejected",
    );
    reload(
        "a bad key",
        &valid.replace("\"coldMs\": 9000.0", "\"coldMs\": -1"),
        "configuration rejected",
    );
    reload("elsewhere", &valid, "configuration reloaded");
    let changed = valid
        .replace("192", "64")
        .replace("\"worth\": 1.0,", "\"worth\": 2.0,");
    reload("limits too", &changed, "configuration reloaded");
    // The watch on the old address is dropped; a full listing is requested and applied, although its revision is lower.
    assert!(
        new_agent
            .requests
            .recv_timeout(WAIT_LIMIT)
            .unwrap()
            .starts_with("GET /api/targets HTTP")
    );
    new_agent
        .responses
        .send(http_ok(&endpoint_list(
            2,
            true,
            &[target("s9", &two.address, "up", "read-write")],
        )))
        .unwrap();
    assert!(
        new_agent
            .requests
            .recv_timeout(WAIT_LIMIT)
            .unwrap()
            .starts_with("GET /api/targets?index=2&")
    );
    trace += &format!("its list: {}\n", client.run_statement(&insert("report")));
    insta::assert_snapshot!(trace);
}

#[test]
fn a_row_without_a_ready_for_query_is_an_answer() {
    let primary = start_server(
        "read-write",
        vec![
            ServerAction::BytesThenDisconnect(row_messages("all there is", WRITE_TAG)),
            ServerAction::Row("more".into()),
        ],
    );
    let gateway = gateway(&[(&primary, "read-write")]);
    let mut client = gateway.connect_client();
    let mut trace = format!("{}\n", client.run_statement(&insert("order")));
    trace += &format!("{}\n", client.run_statement(&insert("order")));
    trace += &gateway.shut_down(&[
        "answered",
        "ended.Answered",
        "ended.Reset",
        "servers.opened",
    ]);
    insta::assert_snapshot!(trace);
}

#[test]
fn invalid_client_input_gets_an_error_and_the_connection_goes_on_where_possible() {
    let primary = start_server("read-write", always_row("fine"));
    let gateway = gateway(&[(&primary, "read-write")]);
    let mut trace = String::new();
    let mut client = gateway.connect_client();
    let texts = [
        "SELECT 1".to_owned(),
        select("nobody"),
        select("view").replace("acme", "stranger"),
        select("view").replace("cluster=2", "cluster=9"),
        select("view").replace("d=60000", "d=soon"),
        select("report"),
        insert("report").replace(",k=5c", ""),
        "DROP TABLE records".to_owned(),
    ];
    for text in &texts {
        trace += &format!("{:.60}: {}\n", text, client.run_statement(text));
    }
    let long = insert("report").replace("9f", &"9f".repeat(300 << 10));
    trace += &format!(
        "a long one: {}\n",
        gateway.connect_client().run_statement(&long)
    );
    let mut parse = Vec::new();
    put_message(&mut parse, b'P', b"\0SELECT 1\0\0\0");
    put_message(&mut parse, b'D', b"P\0");
    put_message(&mut parse, b'S', b"");
    client.send(&parse);
    trace += &format!("extended query: {}\n", client.read_response());
    trace += &format!("and on: {}\n", client.run_statement(&insert("report")));
    let broken: [(&str, &[u8]); 2] = [("length", b"Q\0\0\0\x01"), ("type", b"!\0\0\0\x04")];
    for (name, bytes) in broken {
        let mut client = gateway.connect_client();
        client.send(bytes);
        trace += &format!("impossible {name}: {}\n", client.read_response());
    }
    for startup in [
        &b"\0\0\0\x09\0\x02\0\0\0"[..],
        b"\0\0\0\x02",
        b"GET / HTTP/1.1\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(&gateway.address).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.write_all(startup).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        trace += &format!(
            "startup {:?}: {}\n",
            startup.escape_ascii().to_string(),
            Client { stream }.read_response()
        );
    }
    trace += &format!("heard {}\n", primary.statements.try_iter().count());
    trace += &gateway.shut_down(&["bad_messages", "answered"]);
    insta::assert_snapshot!(trace);
}

#[test]
fn an_invalid_client_is_refused_at_once_and_reaches_no_server() {
    let (release, delayed_row) = row_on_signal("waited");
    let primary = start_server("read-write", vec![delayed_row]);
    let gateway = gateway(&[(&primary, "read-write")]);
    let (mut well_behaved, mut other) = (gateway.connect_client(), gateway.connect_client());
    let text = insert("report");
    well_behaved.send(&query_message(&text));
    next_statement(&primary);
    let mut trace = format!(
        "the id of an open command: {}\n",
        other.run_statement(&text)
    );
    // Sends at full speed until the gateway closes the connection, and reads the responses.
    let mut flooding = gateway.connect_client();
    let mut writer = flooding.stream.try_clone().unwrap();
    let writer_thread = thread::spawn(move || {
        let _ = writer.write_all(b"Q\x03\x93\x87\0");
        while writer.write_all(&[b'x'; 64 << 10]).is_ok() {}
    });
    trace += &format!("60 MB: {}\n", flooding.read_response());
    writer_thread.join().unwrap();
    release.send(()).unwrap();
    trace += &format!("the honest one: {}\n", well_behaved.read_response());
    release.send(()).unwrap();
    trace += &format!("its id is free again: {}\n", other.run_statement(&text));
    let mut partial = gateway.connect_client();
    partial.send(&query_message(&insert("report"))[..40]);
    trace += &format!("half a command: {}\n", partial.read_response());
    let mut partial_startup = TcpStream::connect(&gateway.address).unwrap();
    partial_startup.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    partial_startup.write_all(&STARTUP_MESSAGE[..9]).unwrap();
    trace += &format!(
        "half a startup: {}\n",
        Client {
            stream: partial_startup
        }
        .read_response()
    );
    trace += &format!("heard besides {}\n", primary.statements.try_iter().count());
    trace += &gateway.shut_down(&["answered", "throttled", "failed", "bad_messages"]);
    insta::assert_snapshot!(trace);
}

#[test]
fn silent_clients_make_room_and_delay_nobody() {
    let primary = start_server("read-write", always_row("served"));
    // Leaves four descriptors for clients.
    let gateway = gateway_with(&[(&primary, "read-write")], settings(), (192, 25));
    let mut well_behaved = gateway.connect_client();
    assert_eq!(
        well_behaved.run_statement(&insert("report")),
        "T D served C Z"
    );
    let silent: Vec<_> = (0..40)
        .map(|_| TcpStream::connect(&gateway.address).unwrap())
        .collect();
    let admitted: Vec<_> = (0..10).map(|_| gateway.connect_client()).collect();
    for _ in 0..3 {
        assert_eq!(
            gateway.connect_client().run_statement(&insert("report")),
            "T D served C Z"
        );
    }
    // A client that has sent a request is evicted only after all that have not.
    assert_eq!(
        well_behaved.run_statement(&insert("report")),
        "T D served C Z"
    );
    drop((silent, admitted));
    assert_eq!(
        gateway.shut_down(&["answered", "throttled", "failed"]),
        "answered=5 throttled=0 failed=0 "
    );
}

#[test]
fn clients_idle_after_one_request_make_room_for_others() {
    let primary = start_server("read-write", always_row("served"));
    // Ten clients may stay idle, far fewer than there are descriptors.
    let gateway = gateway_with(&[(&primary, "read-write")], settings(), (192, 60));
    let mut clients: Vec<_> = (0..15).map(|_| gateway.connect_client()).collect();
    for client in &mut clients {
        assert_eq!(client.run_statement(&insert("report")), "T D served C Z");
    }
    // The clients that were idle longest have been closed; the newest remain.
    let (evicted, remaining) = clients.split_at_mut(5);
    evicted
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_response(), "end"));
    remaining
        .iter_mut()
        .for_each(|client| assert_eq!(client.run_statement(""), "I Z"));
}

#[test]
fn stalled_long_messages_reserve_no_buffer_from_others() {
    let primary = start_server("read-write", always_row("served"));
    let gateway = gateway_with(&[(&primary, "read-write")], settings(), (32, 1024));
    let message = query_message(&insert("report").replace("9f", &"9f".repeat(64 << 10)));
    let mut stalled: Vec<_> = (0..200).map(|_| gateway.connect_client()).collect();
    stalled
        .iter_mut()
        .for_each(|client| client.send(&message[..3000]));
    assert_eq!(
        gateway
            .connect_client()
            .run_statement(&insert("report").replace("9f", &"9f".repeat(64 << 10))),
        "T D served C Z"
    );
}

#[test]
fn sigterm_answers_accepted_requests_and_closes_between_requests() {
    let (release, delayed_row) = row_on_signal("answered all the same");
    let primary = start_server(
        "read-write",
        vec![delayed_row, ServerAction::Row("taken on".into())],
    );
    let mut gateway = gateway(&[(&primary, "read-write")]);
    let (mut busy, mut idle) = (gateway.connect_client(), gateway.connect_client());
    busy.send(&query_message(&insert("report")));
    next_statement(&primary);
    gateway.signal("-TERM");
    gateway.wait_for_log("event=\"ending\"");
    gateway.signal("-TERM");
    let mut late = gateway.connect_client();
    let mut trace = format!(
        "a new connection: {}\n",
        late.run_statement(&insert("report"))
    );
    trace += &format!("an idle one: {}\n", idle.read_response());
    trace += &format!("the new one: {}\n", late.read_response());
    drop((idle, late));
    release.send(()).unwrap();
    trace += &format!(
        "a busy one: {}, then {}\n",
        busy.read_response(),
        busy.read_response()
    );
    drop(busy);
    trace += gateway
        .wait_for_log("event=\"ended\"")
        .split_once("event")
        .unwrap()
        .1;
    assert!(gateway.child.wait().unwrap().success());
    insta::assert_snapshot!(trace);
}

#[test]
fn short_of_descriptors_an_idle_client_is_closed_and_the_excess_is_rejected() {
    let (release, delayed_row) = row_on_signal("waited");
    let primary = start_server("read-write", vec![delayed_row]);
    // Nine descriptors for connections: four for clients, four for servers, one for a connection that is rejected.
    let gateway = gateway_with(&[(&primary, "read-write")], settings(), (192, 25));
    let mut busy: Vec<_> = (0..4).map(|_| gateway.connect_client()).collect();
    for client in &mut busy {
        client.send(&query_message(&insert("report")));
        next_statement(&primary);
    }
    let mut trace = format!(
        "a fifth: {}\n",
        gateway.connect_client().run_statement(&insert("report"))
    );
    release.send(()).unwrap();
    (0..3).for_each(|_| release.send(()).unwrap());
    busy.iter_mut()
        .for_each(|client| trace += &format!("a busy one: {}\n", client.read_response()));
    release.send(()).unwrap();
    trace += &format!(
        "a sixth: {}\n",
        gateway.connect_client().run_statement(&insert("report"))
    );
    // The client that was idle longest has been closed; which one depends on the order of the answers.
    let mut responses: Vec<_> = busy
        .iter_mut()
        .map(|client| client.run_statement(""))
        .collect();
    responses.sort();
    trace += &format!("the four: {responses:?}\n");
    drop(busy);
    trace += &gateway.shut_down(&["answered", "throttled", "clients.refused"]);
    insta::assert_snapshot!(trace);
}

#[test]
fn counters_are_logged_on_sigusr1_and_a_killed_gateway_is_ready_with_its_first_list() {
    let primary = start_server("read-write", always_row("x"));
    let mut gateway = gateway(&[(&primary, "read-write")]);
    let mut client = gateway.connect_client();
    client.run_statement(&insert("report"));
    assert!(gateway.counters().contains(" answered=1 "));
    gateway.child.kill().unwrap();
    gateway.child.wait().unwrap();
    let agent = start_agent();
    let text = config(&gateway.address, &agent.address, "null", settings());
    let gateway = gateway_process::start(&text, gateway.address.clone(), agent, program(), &[]);
    let mut client = gateway.connect_client();
    client.send(&query_message(""));
    assert!(
        gateway
            .agent
            .requests
            .recv_timeout(WAIT_LIMIT)
            .unwrap()
            .starts_with("GET /api/targets HTTP")
    );
    let targets = [target("s0", &primary.address, "up", "read-write")];
    gateway
        .agent
        .responses
        .send(http_ok(&endpoint_list(7, true, &targets)))
        .unwrap();
    assert_eq!(client.read_response(), "I Z");
    assert_eq!(client.run_statement(&insert("report")), "T D x C Z");
}

#[test]
fn a_faulty_configuration_is_reported_in_one_line_that_names_the_key() {
    let valid = config("127.0.0.1:6432", "127.0.0.1:8500", "null", settings());
    let cases = [
        ("fine", valid.clone()),
        ("no JSON", "{".into()),
        ("listen", valid.replace("127.0.0.1:6432", "here")),
        ("seed", valid.replace("8c1f30d27a5be964", "lucky")),
        ("sockets", valid.replace("1024", "\"many\"")),
        ("missing", valid.replace("\"tickMs\": 5.0,", "")),
        ("choice", valid.replace("\"reject\"", "\"maybe\"")),
        ("length", valid.replace("\"loose\", ", "")),
        (
            "span",
            valid.replace("\"coldMs\": 9000.0", "\"coldMs\": -1"),
        ),
        ("me", valid.replace("\"me\": 0", "\"me\": 4")),
    ];
    let mut trace = String::new();
    let run = |command: &mut Command| {
        let out = leverpoint_test_support::gateway::output(command.env_remove("NODE_CONFIG"));
        let output = String::from_utf8_lossy(&out.stdout).into_owned()
            + &String::from_utf8_lossy(&out.stderr);
        format!("{}: {output}", out.status.code().unwrap())
    };
    let leverpoint = || Command::new(env!("CARGO_BIN_EXE_leverpoint"));
    let file = std::env::temp_dir().join(format!("leverpoint-{}-check.json", std::process::id()));
    for (name, text) in cases {
        std::fs::write(&file, text).unwrap();
        trace += &format!("{name}: {}", run(leverpoint().arg("check").arg(&file)));
    }
    std::fs::remove_file(&file).unwrap();
    trace += &format!("no variables: {}", run(leverpoint().arg("serve")));
    trace += &format!(
        "no file: {}",
        run(leverpoint().args(["check", "/nowhere/at/all"]))
    );
    trace += &format!("no such word: {}", run(leverpoint().arg("dance")));
    trace += &format!("version: {}", run(leverpoint().arg("version")));
    insta::assert_snapshot!(trace);
}
