//! The program as it is, between stand-ins for database servers, discovery and clients on loopback.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::mpsc;
use std::thread;

use leverpoint_test_support::agent::start_agent;
use leverpoint_test_support::client::Client;
use leverpoint_test_support::gateway::{self as stands, Gateway, config};
use leverpoint_test_support::server::{
    Server, ServerAction, always_row, next_statement, row_on_signal, start_server,
};
use leverpoint_test_support::wire::{
    READ_TAG, STARTUP_MESSAGE, WAIT_LIMIT, WRITE_TAG, endpoint_list, http_ok, insert, put_message,
    query_message, row_messages, select, target,
};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_leverpoint"))
}

/// A gateway that has these servers on its list.
fn gateway(servers: &[(&Server, &str)]) -> Gateway {
    gateway_with(servers, settings(), (192, 1024))
}

fn gateway_with(servers: &[(&Server, &str)], settings: &str, limits: (usize, usize)) -> Gateway {
    stands::start_with_servers(program(), servers, settings, limits, &[])
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

/// The same with near targets, for what is waited for.
fn near() -> String {
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
    let mut no = [0; 2];
    stream.read_exact(&mut no).unwrap();
    // The startup message and all that follows in one piece.
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
    let mut trace = format!("{}\n", String::from_utf8_lossy(&no));
    (0..8).for_each(|_| trace += &format!("{}\n", client.read_response()));
    insta::assert_snapshot!(trace);
}

#[test]
fn a_read_is_retried_after_each_kind_of_failed_attempt() {
    let mut trace = String::new();
    let whole = row_messages("spoilt", READ_TAG);
    let cut = whole[..40].to_vec();
    let spoilt = |at: usize, byte: u8| {
        let mut bytes = whole.clone();
        bytes[at] = byte;
        ServerAction::BytesThenDisconnect(bytes)
    };
    let (description, value) = (whole[4] as usize + 1, whole.len() - "spoilt".len() - 14);
    let ends = [
        ("too far behind", ServerAction::ErrorCode("72000")),
        ("full", ServerAction::ErrorCode("53300")),
        ("an error", ServerAction::ErrorCode("XX000")),
        ("no more connections", ServerAction::Disconnect),
        ("reset", ServerAction::Disconnect),
        ("cut in the row", ServerAction::BytesThenDisconnect(cut)),
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
        ("a value shorter than it says", spoilt(value - 1, 200)),
        ("a value longer than it says", spoilt(value - 1, 2)),
        ("a value of less than nothing", spoilt(value - 4, 255)),
        ("two columns", spoilt(6, 2)),
        ("a description of more", spoilt(8, b'v')),
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
    for (name, end) in ends {
        let (primary, replica) = (
            start_server("read-write", always_row("primary's")),
            start_server(name, vec![end]),
        );
        // Near targets, as silence is waited for.
        let near = near();
        let gateway = gateway_with(
            &[(&primary, "read-write"), (&replica, "read-only")],
            &near,
            (192, 1024),
        );
        trace += &format!(
            "{name}: {} ",
            gateway.connect_client().run_statement(&select("view"))
        );
        let counted = gateway.shut_down(&[
            "ended.Missed",
            "ended.Full",
            "ended.Error",
            "ended.Reset",
            "ended.TimedOut",
            "ended.Answered",
        ]);
        trace += &format!("{}\n", counted.replace("ended.", ""));
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
    let mut does: Vec<_> = behind
        .into_iter()
        .map(|more| ServerAction::RowThenBytes("one".into(), more))
        .collect();
    // Its own words are no role and no position: the row counts all the same.
    let wrong: [&[u8]; 3] = [
        b"mode\0read-\xff\0",
        b"wal_time\x001e300\0",
        b"stats\0inflight=\0",
    ];
    let mut odd = row_messages("two", WRITE_TAG);
    wrong
        .iter()
        .for_each(|word| put_message(&mut odd, b'S', word));
    put_message(&mut odd, b'Z', b"I");
    does.extend([
        ServerAction::BytesThenDisconnect(odd),
        ServerAction::Row("three".into()),
    ]);
    let primary = start_server("read-write", does);
    let gateway = gateway(&[(&primary, "read-write")]);
    let mut client = gateway.connect_client();
    let mut trace = String::new();
    (0..6).for_each(|_| trace += &format!("{}\n", client.run_statement(&insert("order"))));
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
    let gone = || {
        // Nobody listens there any more.
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
        ("refused before it", gone()),
        (
            "turned away by its queue",
            start_server("read-write", vec![ServerAction::ErrorCode("53300")]),
        ),
    ];
    for (name, primary) in cases {
        let near = near();
        let gateway = gateway_with(&[(&primary, "read-write")], &near, (192, 1024));
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
    // Nothing stands between the last answer and the next.
    assert_eq!(client.run_statement(""), "I Z");
}

#[test]
fn a_client_disconnect_ends_its_own_request_only() {
    let (go, waits) = row_on_signal("late");
    let primary = start_server(
        "read-write",
        vec![waits, ServerAction::Row("other's".into())],
    );
    let gateway = gateway(&[(&primary, "read-write")]);
    let mut gone = gateway.connect_client();
    gone.send(&query_message(&insert("report")));
    next_statement(&primary);
    let mut other = gateway.connect_client();
    assert_eq!(other.run_statement(&insert("report")), "T D other's C Z");
    drop(gone);
    // Until its going has been met.
    while !gateway.counters().contains(" gone=1 ") {}
    assert_eq!(other.run_statement(&insert("report")), "T D other's C Z");
    go.send(()).unwrap();
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
    // Far more than the system keeps for a connection both ways.
    let many = 400;
    let text = query_message(&insert("report"));
    let mut ahead = slow.stream.try_clone().unwrap();
    let sends = thread::spawn(move || (0..many).for_each(|_| ahead.write_all(&text).unwrap()));
    sends.join().unwrap();
    for _ in 0..5 {
        assert_eq!(
            other.run_statement(&insert("report")),
            "T D of 65536 bytes C Z"
        );
    }
    for nth in 0..many {
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
    // A grace by which no call comes beside another within the steps of this test.
    let near = near()
        .replace("60000.0", "2000.0")
        .replace("Ms\": 500.0", "Ms\": 60000.0");
    let gateway = gateway_with(&[(&one, "read-write")], &near, (192, 1024));
    let mut client = gateway.connect_client();
    let mut trace = format!("at first: {}\n", client.run_statement(&insert("report")));
    let moved = endpoint_list(8, false, &[target("s0", &two.address, "up", "read-write")]);
    // The next ask shows that the last answer was read.
    let mut tell = |name: &str, word: String, client: &mut Client| {
        gateway.agent.responses.send(word).unwrap();
        let asked = gateway.agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
        let answer = client.run_statement(&insert("report"));
        trace += &format!(
            "{name}: {answer}, asked {}\n",
            asked.replace("HTTP/1.1", "").trim()
        );
    };
    tell("moved", http_ok(&moved), &mut client);
    tell(
        "500",
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into(),
        &mut client,
    );
    tell("no JSON", http_ok("{\"rev\":9,"), &mut client);
    tell(
        "a wrong length",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n".into(),
        &mut client,
    );
    tell(
        "half an answer",
        "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"rev\":9,cut".into(),
        &mut client,
    );
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let nothing = endpoint_list(9, false, &[]);
    tell(
        "nothing new, in chunks",
        format!("{chunked}{:x}\r\n{nothing}\r\n0\r\n\r\n", nothing.len()),
        &mut client,
    );
    tell(
        "changes of an older list",
        http_ok(&endpoint_list(3, false, &[])),
        &mut client,
    );
    let drains = endpoint_list(
        10,
        true,
        &[target("s0", &two.address, "draining", "read-write")],
    );
    tell("drains", http_ok(&drains), &mut client);
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
    let asked = gateway.agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    // What has changed since the list that is held, as the whole one costs a crowded discovery more.
    assert!(asked.starts_with("GET /api/targets?index=7&"), "{asked}");
    let moved = endpoint_list(8, true, &[target("s0", &two.address, "up", "read-write")]);
    gateway.agent.responses.send(http_ok(&moved)).unwrap();
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
    let elsewhere = start_agent();
    // No list of its own: what is held goes on deciding. The environment still names the old address.
    let fine = config(&gateway.address, &elsewhere.address, "null", settings());
    let mut reload = |name: &str, text: &str, event: &str| {
        std::fs::write(&gateway.config_path, text).unwrap();
        gateway.signal("-HUP");
        let line = gateway.wait_for_log(event);
        let told = line
            .split_once("event=")
            .unwrap()
            .1
            .replace(&gateway.config_path.display().to_string(), "FILE");
        let told = told.replace(&elsewhere.address, "ELSEWHERE");
        trace += &format!(
            "{name}: {told}; {}\n",
            client.run_statement(&insert("report"))
        );
    };
    // Cut at a place of the text, not of its length, which changes with the addresses.
    let half = fine.find("semantics").unwrap();
    reload("half written", &fine[..half], "configuration rejected");
    reload(
        "a bad key",
        &fine.replace("\"coldMs\": 9000.0", "\"coldMs\": -1"),
        "configuration rejected",
    );
    reload("elsewhere", &fine, "configuration reloaded");
    let changed = fine
        .replace("192", "64")
        .replace("\"worth\": 1.0,", "\"worth\": 2.0,");
    reload("limits too", &changed, "configuration reloaded");
    // The watch on the old address is dropped, the whole list asked for and taken, though its number is lower.
    assert!(
        elsewhere
            .requests
            .recv_timeout(WAIT_LIMIT)
            .unwrap()
            .starts_with("GET /api/targets HTTP")
    );
    elsewhere
        .responses
        .send(http_ok(&endpoint_list(
            2,
            true,
            &[target("s9", &two.address, "up", "read-write")],
        )))
        .unwrap();
    assert!(
        elsewhere
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
    let (go, waits) = row_on_signal("waited");
    let primary = start_server("read-write", vec![waits]);
    let gateway = gateway(&[(&primary, "read-write")]);
    let (mut honest, mut other) = (gateway.connect_client(), gateway.connect_client());
    let text = insert("report");
    honest.send(&query_message(&text));
    next_statement(&primary);
    let mut trace = format!(
        "the id of an open command: {}\n",
        other.run_statement(&text)
    );
    // Sends at full speed until it is stopped, and reads what it is sent.
    let mut floods = gateway.connect_client();
    let mut sends = floods.stream.try_clone().unwrap();
    let sender = thread::spawn(move || {
        let _ = sends.write_all(b"Q\x03\x93\x87\0");
        while sends.write_all(&[b'x'; 64 << 10]).is_ok() {}
    });
    trace += &format!("60 MB: {}\n", floods.read_response());
    sender.join().unwrap();
    go.send(()).unwrap();
    trace += &format!("the honest one: {}\n", honest.read_response());
    go.send(()).unwrap();
    trace += &format!("its id is free again: {}\n", other.run_statement(&text));
    let mut stops = gateway.connect_client();
    stops.send(&query_message(&insert("report"))[..40]);
    trace += &format!("half a command: {}\n", stops.read_response());
    let mut silent = TcpStream::connect(&gateway.address).unwrap();
    silent.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    silent.write_all(&STARTUP_MESSAGE[..9]).unwrap();
    trace += &format!(
        "half a startup: {}\n",
        Client { stream: silent }.read_response()
    );
    trace += &format!("heard besides {}\n", primary.statements.try_iter().count());
    trace += &gateway.shut_down(&["answered", "throttled", "failed", "bad_messages"]);
    insta::assert_snapshot!(trace);
}

#[test]
fn silent_clients_make_room_and_delay_nobody() {
    let primary = start_server("read-write", always_row("served"));
    // Four descriptors for clients.
    let gateway = gateway_with(&[(&primary, "read-write")], settings(), (192, 25));
    let mut honest = gateway.connect_client();
    assert_eq!(honest.run_statement(&insert("report")), "T D served C Z");
    let crowd: Vec<_> = (0..40)
        .map(|_| TcpStream::connect(&gateway.address).unwrap())
        .collect();
    let admitted: Vec<_> = (0..10).map(|_| gateway.connect_client()).collect();
    for _ in 0..3 {
        assert_eq!(
            gateway.connect_client().run_statement(&insert("report")),
            "T D served C Z"
        );
    }
    // One that has asked something goes after all that have not.
    assert_eq!(honest.run_statement(&insert("report")), "T D served C Z");
    drop((crowd, admitted));
    assert_eq!(
        gateway.shut_down(&["answered", "throttled", "failed"]),
        "answered=5 throttled=0 failed=0 "
    );
}

#[test]
fn clients_idle_after_one_request_make_room_for_others() {
    let primary = start_server("read-write", always_row("served"));
    // Ten that may stay, far fewer than have a descriptor.
    let gateway = gateway_with(&[(&primary, "read-write")], settings(), (192, 60));
    let mut stay: Vec<_> = (0..15).map(|_| gateway.connect_client()).collect();
    for client in &mut stay {
        assert_eq!(client.run_statement(&insert("report")), "T D served C Z");
    }
    // The longest idle have left; the newest are there.
    let (left, here) = stay.split_at_mut(5);
    left.iter_mut()
        .for_each(|client| assert_eq!(client.read_response(), "end"));
    here.iter_mut()
        .for_each(|client| assert_eq!(client.run_statement(""), "I Z"));
}

#[test]
fn stalled_long_messages_reserve_no_buffer_from_others() {
    let primary = start_server("read-write", always_row("served"));
    let gateway = gateway_with(&[(&primary, "read-write")], settings(), (32, 1024));
    let whole = query_message(&insert("report").replace("9f", &"9f".repeat(64 << 10)));
    let mut stop: Vec<_> = (0..200).map(|_| gateway.connect_client()).collect();
    stop.iter_mut()
        .for_each(|client| client.send(&whole[..3000]));
    assert_eq!(
        gateway
            .connect_client()
            .run_statement(&insert("report").replace("9f", &"9f".repeat(64 << 10))),
        "T D served C Z"
    );
}

#[test]
fn sigterm_answers_accepted_requests_and_closes_between_requests() {
    let (go, waits) = row_on_signal("answered all the same");
    let primary = start_server(
        "read-write",
        vec![waits, ServerAction::Row("taken on".into())],
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
    go.send(()).unwrap();
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
    let (go, waits) = row_on_signal("waited");
    let primary = start_server("read-write", vec![waits]);
    // Nine descriptors for connections: four for clients, as many for servers, one for what is sent back.
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
    go.send(()).unwrap();
    (0..3).for_each(|_| go.send(()).unwrap());
    busy.iter_mut()
        .for_each(|client| trace += &format!("a busy one: {}\n", client.read_response()));
    go.send(()).unwrap();
    trace += &format!(
        "a sixth: {}\n",
        gateway.connect_client().run_statement(&insert("report"))
    );
    // The one that was idle for longest has gone; which it is depends on who was answered first.
    let mut left: Vec<_> = busy
        .iter_mut()
        .map(|client| client.run_statement(""))
        .collect();
    left.sort();
    trace += &format!("the four: {left:?}\n");
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
    let gateway = stands::start(&text, gateway.address.clone(), agent, program(), &[]);
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
    let fine = config("127.0.0.1:6432", "127.0.0.1:8500", "null", settings());
    let cases = [
        ("fine", fine.clone()),
        ("no JSON", "{".into()),
        ("listen", fine.replace("127.0.0.1:6432", "here")),
        ("seed", fine.replace("8c1f30d27a5be964", "lucky")),
        ("sockets", fine.replace("1024", "\"many\"")),
        ("missing", fine.replace("\"tickMs\": 5.0,", "")),
        ("choice", fine.replace("\"reject\"", "\"maybe\"")),
        ("length", fine.replace("\"loose\", ", "")),
        ("span", fine.replace("\"coldMs\": 9000.0", "\"coldMs\": -1")),
        ("me", fine.replace("\"me\": 0", "\"me\": 4")),
    ];
    let mut trace = String::new();
    let run = |command: &mut Command| {
        let out = leverpoint_test_support::gateway::output(command.env_remove("NODE_CONFIG"));
        let said = String::from_utf8_lossy(&out.stdout).into_owned()
            + &String::from_utf8_lossy(&out.stderr);
        format!("{}: {said}", out.status.code().unwrap())
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
