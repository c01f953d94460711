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
use leverpoint_test_support::held::{Ask, Held, HeldAgent, Talk, listed};
use leverpoint_test_support::server::{Does, Server, heard, rows, server, waits};
use leverpoint_test_support::wire::{
    LONG, READ, STARTUP, WRITTEN, http, insert, list, put, query, row, select, target, wait_of,
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
    stands::gateway_at(program(), servers, settings, (192, 1024), &[])
}

/// A gateway before an agent whose each byte the test gives.
fn held_gateway(known: &str, settings: &str) -> (Gateway, HeldAgent) {
    let held = HeldAgent::new();
    let address = free_address();
    let text = config(&address, &held.address, known, settings);
    (
        stands::start(&text, address, held.agent(), program(), &[]),
        held,
    )
}

/// The watch that follows the list of that revision. While calls are unanswered further ones for the whole list come
/// beside them, and nothing else does.
fn watch_from(agent: &HeldAgent, revision: u32) -> Ask {
    loop {
        let ask = agent.asked();
        if ask
            .line
            .starts_with(&format!("GET /api/targets?index={revision}&"))
        {
            return ask;
        }
        assert!(
            ask.line.starts_with("GET /api/targets HTTP"),
            "{}",
            ask.line
        );
    }
}

/// A client with its key to cancel by.
fn keyed(gateway: &Gateway) -> (Client, [u8; 8]) {
    let mut stream = gateway.connect();
    stream.write_all(STARTUP).unwrap();
    let mut key = None;
    while let Some((tag, body)) = leverpoint_test_support::wire::message(&mut stream) {
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
fn hears_nothing(mut talk: Talk) {
    talk.comes_up();
    assert_eq!(talk.statement(), None);
}

#[test]
fn a_silent_watch_is_abandoned_for_a_full_listing() {
    let (one, two) = (
        server("read-write", rows("one")),
        server("read-write", rows("two")),
    );
    let known = listed(7, &[("s0", &one.address, "up", "read-write")]);
    let (gateway, agent) = held_gateway(&known, &usual());
    agent.asked().says(&http(&known));
    let silent = agent.asked();
    assert!(
        silent.line.starts_with("GET /api/targets?index=7&wait="),
        "{}",
        silent.line
    );
    let began = Instant::now();
    let mut whole = agent.asked();
    assert!(
        whole.line.starts_with("GET /api/targets HTTP"),
        "{}",
        whole.line
    );
    // The term's own bound, not a speed: a change counts as told 6 s after discovery had it.
    assert!(began.elapsed() < Duration::from_secs(6));
    whole.says(&http(&listed(
        8,
        &[("s1", &two.address, "up", "read-write")],
    )));
    assert!(agent.asked().line.starts_with("GET /api/targets?index=8&"));
    assert_eq!(gateway.client().ask(&insert("report")), "T D two C Z");
}

#[test]
fn after_each_failed_poll_a_full_listing_is_requested_until_it_arrives() {
    let one = server("read-write", rows("one"));
    let known = listed(7, &[("s0", &one.address, "up", "read-write")]);
    let (_gateway, agent) = held_gateway(&known, &usual());
    let mut trace = String::new();
    let mut next = |what: &str| {
        let ask = agent.asked();
        trace += &format!("{what}: {}\n", ask.line.split("&wait").next().unwrap());
        ask
    };
    next("at the start").says(&http(&known));
    next("listed").resets();
    next("a watch reset").says("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    drop(next("refused"));
    let mut truncated = next("silent");
    truncated.says(&http(&known)[..90]);
    truncated.ends();
    next("truncated").says(&http(&list(9, false, &[])));
    next("changes only").says(&http(&listed(
        8,
        &[("s0", &one.address, "up", "read-write")],
    )));
    drop(next("listed again"));
    insta::assert_snapshot!(trace);
}

#[test]
fn a_response_without_a_length_ends_with_the_close_but_not_with_a_reset() {
    let (one, two) = (
        server("read-write", rows("one")),
        server("read-write", rows("two")),
    );
    let known = listed(7, &[("s0", &one.address, "up", "read-write")]);
    let (gateway, agent) = held_gateway(&known, &usual());
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    let moved = listed(8, &[("s1", &two.address, "up", "read-write")]);
    // Whole, but reset: it may have been cut anywhere.
    let mut whole = agent.asked();
    whole.says(head);
    whole.says(&moved);
    whole.resets();
    let mut again = agent.asked();
    assert_eq!(gateway.client().ask(&insert("report")), "T D one C Z");
    assert!(
        again.line.starts_with("GET /api/targets HTTP"),
        "{}",
        again.line
    );
    // In two parts with the close behind them.
    again.says(head);
    again.says(&moved[..40]);
    again.says(&moved[40..]);
    again.ends();
    let watch = watch_from(&agent, 8);
    assert_eq!(gateway.client().ask(&insert("report")), "T D two C Z");
    // A watch's answer likewise, cut by a reset: the list stands, the whole one is asked for.
    let mut watch = watch;
    watch.says(head);
    watch.says("{\"rev\":9,\"all\":true,");
    watch.resets();
    assert!(agent.asked().line.starts_with("GET /api/targets HTTP"));
    assert_eq!(gateway.client().ask(&insert("report")), "T D two C Z");
}

#[test]
fn a_response_of_the_old_discovery_address_is_ignored_and_an_older_list_of_the_new_one_is_taken() {
    let [one, two, three] = ["one", "two", "three"].map(|name| server("read-write", rows(name)));
    let known = listed(7, &[("s0", &one.address, "up", "read-write")]);
    let (gateway, agent) = held_gateway(&known, &usual());
    agent.asked().says(&http(&known));
    let mut watch = agent.asked();
    let late = http(&listed(8, &[("s1", &two.address, "up", "read-write")]));
    // Held in the middle of its body.
    watch.says(&late[..late.len() - 20]);
    let elsewhere = HeldAgent::new();
    std::fs::write(
        &gateway.file,
        config(&gateway.address, &elsewhere.address, "null", &usual()),
    )
    .unwrap();
    gateway.signal("-HUP");
    gateway.logged("configuration reloaded");
    let mut first = elsewhere.asked();
    watch.says(&late[late.len() - 20..]);
    assert!(first.line.starts_with("GET /api/targets HTTP"));
    let mut client = gateway.client();
    assert_eq!(client.ask(&insert("report")), "T D one C Z");
    first.says(&http(&listed(
        2,
        &[("s2", &three.address, "up", "read-write")],
    )));
    assert!(
        elsewhere
            .asked()
            .line
            .starts_with("GET /api/targets?index=2&")
    );
    assert_eq!(client.ask(&insert("report")), "T D three C Z");
}

#[test]
fn a_restart_with_an_old_endpoint_list_sends_nothing_to_a_draining_server() {
    let (drains, stays) = (
        server("read-write", rows("drained")),
        server("read-write", rows("stays")),
    );
    let known = listed(
        7,
        &[
            ("s0", &drains.address, "up", "read-write"),
            ("s1", &stays.address, "up", "read-only"),
        ],
    );
    let (gateway, agent) = held_gateway(&known, &usual());
    let mut first = agent.asked();
    let mut stream = gateway.connect();
    stream
        .write_all(&[STARTUP, &query(&insert("report"))].concat())
        .unwrap();
    // Far shorter than an agent is waited for.
    assert!(
        drains
            .heard
            .recv_timeout(Duration::from_millis(50))
            .is_err(),
        "nothing before the agent was asked"
    );
    first.says(&http(&listed(
        9,
        &[
            ("s0", &drains.address, "draining", "read-only"),
            ("s1", &stays.address, "up", "read-write"),
        ],
    )));
    let mut client = Client { stream };
    client.answer();
    assert_eq!(client.answer(), "T D stays C Z");
    assert_eq!(drains.heard.try_iter().count(), 0);
    drop(gateway);
}

#[test]
fn with_discovery_silent_a_restart_is_ready_with_the_restored_endpoint_list() {
    let one = server("read-write", rows("one"));
    let (gateway, agent) = held_gateway(
        &listed(7, &[("s0", &one.address, "up", "read-write")]),
        &usual(),
    );
    let _silent = agent.asked();
    let mut client = gateway.client();
    assert_eq!(
        (client.ask(""), client.ask(&insert("report"))),
        ("I Z".into(), "T D one C Z".into())
    );
}

#[test]
fn the_disconnect_of_a_pipelining_client_is_seen_while_its_request_waits() {
    let primary = Held::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &patient());
    let mut client = gateway.client();
    // Far more than a ring takes, all of it whole commands, behind one whose connection hangs.
    let many: Vec<u8> = (0..400).flat_map(|_| query(&insert("report"))).collect();
    client.send(&many);
    let talk = primary.dialled();
    drop(client);
    gateway.until_counted("gone=1");
    hears_nothing(talk);
    assert!(
        !primary.dialled_within(SHOWS),
        "nothing of the rest is sent on"
    );
    assert!(gateway.counters().contains("taken.report=1 "));
}

#[test]
fn requests_behind_one_whose_client_disconnected_are_never_sent() {
    let primary = Held::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let mut client = gateway.client();
    client.send(&[query(&insert("report")), query(&insert("order"))].concat());
    let mut talk = primary.up();
    talk.statement().unwrap();
    // Its answer and its client's end both stand in the system as the program goes on.
    gateway.stop();
    talk.answers("INSERT", "late", "read-write");
    drop(client);
    gateway.signal("-CONT");
    gateway.until_counted("clients.closed=1");
    assert_eq!(
        next_read_within_shows(&mut talk.stream),
        ErrorKind::WouldBlock,
        "no second statement"
    );
    assert!(!primary.dialled_within(SHOWS));
}

#[test]
fn an_attempt_whose_client_disconnects_or_cancels_during_connect_is_not_sent() {
    for cancels in [false, true] {
        let primary = Held::new();
        let gateway = gateway(&[(&primary.address, "read-write")], &patient());
        let (mut client, key) = keyed(&gateway);
        client.send(&query(&insert("order")));
        let talk = primary.dialled();
        if cancels {
            cancel(&gateway, key);
            assert_eq!(client.answer(), "E C57014 Z");
        } else {
            drop(client);
        }
        gateway.until_counted("gone=1");
        hears_nothing(talk);
        assert!(gateway.counters().contains("ended.NotSent=1 "));
    }
}

#[test]
fn a_cancel_ends_the_open_request_of_its_connection_and_no_other() {
    let (go, held) = waits("late");
    let primary = server(
        "read-write",
        vec![held, Does::Row("next".into()), Does::Row("other's".into())],
    );
    let gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let (mut one, key) = keyed(&gateway);
    let (mut other, others) = keyed(&gateway);
    let mut trace = String::new();
    // Nothing is open: nothing is remembered.
    cancel(&gateway, key);
    one.send(&query(&insert("report")));
    heard(&primary);
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
    one.stream.set_read_timeout(Some(LONG)).unwrap();
    cancel(&gateway, key);
    trace += &format!("cancelled: {}\n", one.answer());
    // The cancel was for the one before.
    trace += &format!("the next: {}\n", one.ask(&insert("report")));
    trace += &format!("another's: {}\n", other.ask(&insert("report")));
    go.send(()).unwrap();
    drop(one);
    gateway.until_counted("clients.closed=7");
    cancel(&gateway, key);
    trace += &format!(
        "after the key's connection: {}\n",
        other.ask(&insert("report"))
    );
    drop(other);
    trace += &gateway.end(&["taken.report", "answered", "gone"]);
    insta::assert_snapshot!(trace);
}

#[test]
fn a_late_cancel_does_not_end_the_next_request() {
    let (go, held) = waits("late");
    let primary = server("read-write", vec![Does::Row("first".into()), held]);
    let gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let (mut client, key) = keyed(&gateway);
    // Its connection comes up before, all but its last byte stands.
    let mut late = gateway.connect();
    let packet = [&b"\0\0\0\x10\x04\xd2\x16\x2e"[..], &key].concat();
    late.write_all(&packet[..15]).unwrap();
    gateway.until_counted("clients.opened=2");
    thread::sleep(SHOWS);
    assert_eq!(client.ask(&insert("report")), "T D first C Z");
    heard(&primary);
    client.send(&query(&insert("report")));
    heard(&primary);
    late.write_all(&packet[15..]).unwrap();
    assert_eq!(late.read(&mut [0; 1]).unwrap(), 0);
    go.send(()).unwrap();
    assert_eq!(client.answer(), "T D late C Z");
}

#[test]
fn a_server_that_drains_during_connect_gets_nothing() {
    let (drains, stays) = (Held::new(), Held::new());
    let gateway = gateway(
        &[
            (&drains.address, "read-write"),
            (&stays.address, "read-only"),
        ],
        &patient(),
    );
    let mut client = gateway.client();
    client.send(&query(&insert("report")));
    let mut hangs = drains.dialled();
    let changes = [
        target("s0", &drains.address, "draining", "read-only"),
        target("s1", &stays.address, "up", "read-write"),
    ];
    gateway
        .agent
        .say
        .send(http(&list(8, false, &changes)))
        .unwrap();
    assert!(
        gateway
            .agent
            .asked
            .recv_timeout(LONG)
            .unwrap()
            .contains("index=8")
    );
    hangs.comes_up();
    // The command goes on to the one that stays.
    let mut talk = stays.up();
    talk.serves("stays", "read-write");
    assert_eq!(client.answer(), "T D stays C Z");
    assert_eq!(hangs.statement(), None);
}

#[test]
fn a_keyed_request_whose_window_ends_during_connect_is_not_retried() {
    let primary = Held::new();
    let gateway = gateway(
        &[(&primary.address, "read-write")],
        &settings(10_000, 1_000, 60_000),
    );
    let mut client = gateway.client();
    let began = Instant::now();
    client.send(&query(&insert("report")));
    let mut first = primary.up();
    first.statement().unwrap();
    // It may have run.
    first.resets();
    let mut second = primary.dialled();
    // Held past the window, which began with the first dispatch.
    thread::sleep((began + Duration::from_millis(1_200)).saturating_duration_since(Instant::now()));
    second.comes_up();
    assert_eq!(second.statement(), None);
    assert_eq!(client.answer(), "E C58000 Z");
}

#[test]
fn the_server_is_told_the_wait_that_a_late_connection_leaves() {
    let primary = Held::new();
    let near = settings(10_000, 30_000, 5_000).replace("30000.0", "2000.0");
    let gateway = gateway(&[(&primary.address, "read-write")], &near);
    let mut client = gateway.client();
    client.send(&query(&insert("order")));
    let mut talk = primary.dialled();
    thread::sleep(SHOWS);
    talk.comes_up();
    let statement = talk.serves("late", "read-write");
    assert_eq!(client.answer(), "T D late C Z");
    // The same connection again, which is up.
    client.send(&query(&insert("order")));
    let next = talk.serves("soon", "read-write");
    assert_eq!(client.answer(), "T D soon C Z");
    assert!(
        wait_of(&statement) + 250 <= wait_of(&next).min(5_000),
        "{statement} {next}"
    );
}

#[test]
fn an_attempt_whose_client_timeout_ends_during_connect_is_not_sent() {
    let primary = Held::new();
    let near = settings(10_000, 3_000, 800).replace("30000.0", "400.0");
    let gateway = gateway(&[(&primary.address, "read-write")], &near);
    let mut client = gateway.client();
    client.send(&query(&insert("order")));
    let talk = primary.dialled();
    // Nothing was sent: it may come again.
    assert!(client.answer().starts_with("E C53300"));
    hears_nothing(talk);
}

#[test]
fn an_endless_endpoint_list_is_abandoned_and_the_current_one_stays() {
    let one = server("read-write", rows("one"));
    let known = listed(7, &[("s0", &one.address, "up", "read-write")]);
    for head in [
        "Content-Length: 4000000\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nffff\r\n",
        "\r\n",
    ] {
        let (gateway, agent) = held_gateway(&known, &usual());
        let mut endless = agent.asked();
        endless.says(&format!("HTTP/1.1 200 OK\r\n{head}{}", &known[..60]));
        // It goes on and on, a byte now and then, until nobody hears it.
        let says = thread::spawn(move || endless.goes_on(b' '));
        let again = agent.asked();
        assert!(
            again.line.starts_with("GET /api/targets HTTP"),
            "{}",
            again.line
        );
        assert_eq!(gateway.client().ask(&insert("report")), "T D one C Z");
        says.join().unwrap();
    }
}

#[test]
fn a_connect_that_never_completes_is_abandoned_and_holds_nothing() {
    let (hangs, answers) = (Held::new(), server("read-only", rows("answers")));
    let gateway = gateway(
        &[
            (&hangs.address, "read-only"),
            (&answers.address, "read-only"),
        ],
        &usual(),
    );
    let mut client = gateway.client();
    // By chance the one or the other is asked first: each read is answered all the same.
    for _ in 0..12 {
        assert_eq!(client.ask(&select("view")), "T D answers C Z");
    }
    // What it began was closed again, and a late word changes nothing.
    while hangs.dialled_within(Duration::ZERO) {}
    assert_eq!(client.ask(&select("view")), "T D answers C Z");
}

#[test]
fn an_idle_connection_with_unexpected_input_or_a_close_is_not_reused() {
    for closed in [false, true] {
        let primary = Held::new();
        let gateway = gateway(&[(&primary.address, "read-write")], &usual());
        let mut client = gateway.client();
        client.send(&query(&insert("order")));
        let mut talk = primary.up();
        talk.serves("first", "read-write");
        assert_eq!(client.answer(), "T D first C Z");
        // Both stand in the system as the program goes on: the client's command and what the server did.
        gateway.stop();
        client.send(&query(&insert("order")));
        if closed {
            talk.stream.shutdown(Shutdown::Both).unwrap();
        } else {
            talk.stream.write_all(b"S\0\0\0\x18mode").unwrap();
        }
        gateway.signal("-CONT");
        let mut fresh = primary.up();
        fresh.serves("second", "read-write");
        assert_eq!(client.answer(), "T D second C Z");
        if !closed {
            assert_eq!(talk.statement(), None);
        }
    }
}

#[test]
fn a_reset_before_the_last_byte_is_not_sent_and_one_after_it_possibly_executed() {
    let mut trace = String::new();
    // Longer than both systems keep, so that its last byte can't have gone out.
    let long = |group: &str| insert(group).replace("9f", &"9f".repeat(64 << 10));
    for group in ["order", "report"] {
        let primary = Held::with_buffer(Some(4 << 10));
        let gateway = gateway(
            &[(&primary.address, "read-write")],
            &settings(250, 30_000, 60_000),
        );
        let mut client = gateway.client();
        client.send(&query(&long(group)));
        let mut cut = primary.up();
        // Its first bytes are there, and no more are read.
        cut.stream.read_exact(&mut [0; 64]).unwrap();
        cut.resets();
        let mut whole = primary.up();
        let statement = whole.statement().unwrap();
        assert!(statement.starts_with("INSERT") && statement.len() > 128 << 10);
        // Whole now: this one may have run.
        whole.resets();
        if group == "report" {
            let mut again = primary.up();
            again.serves("kept", "read-write");
        }
        trace += &format!("{group}: {} ", client.answer());
        trace += &format!(
            "{}\n",
            gateway.end(&["ended.NotConnected", "ended.Reset", "ended.Answered"])
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_statement_whose_answer_has_begun_counts_as_executed() {
    let mut trace = String::new();
    let begun = row("begun", WRITTEN);
    let described = &begun[..begun[4] as usize + 1];
    let mut error = Vec::new();
    put(&mut error, b'E', b"SERROR\0C25006\0Mno\0\0");
    let mut broken = Vec::new();
    put(&mut broken, b'E', b"SERROR\0C53300\0M");
    let mut twice = Vec::new();
    put(&mut twice, b'E', b"SERROR\0C53300\0CXX000\0Mno\0\0");
    let ends = [
        ("a miss behind a description", [described, &error].concat()),
        ("cut in the row", begun[..40].to_vec()),
        ("an error without an end", broken),
        ("an error of two codes", twice),
        ("an error that is whole", error),
    ];
    for (name, bytes) in ends {
        let primary = server(
            "read-write",
            vec![Does::Bytes(bytes), Does::Row("again".into())],
        );
        let gateway = gateway(
            &[(&primary.address, "read-write")],
            &settings(250, 3000, 2000).replace("30000.0", "300.0"),
        );
        trace += &format!("{name}: {} ", gateway.client().ask(&insert("order")));
        trace += &format!(
            "{}\n",
            gateway.end(&["ended.Missed", "ended.Full", "ended.Error", "ended.Reset"])
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn an_endless_answer_is_no_row_and_delays_nobody() {
    let endless = Held::new();
    let other = server("read-write", rows("fine"));
    let near = settings(250, 3000, 60_000).replace("30000.0", "800.0");
    let gateway = gateway(
        &[
            (&other.address, "read-write"),
            (&endless.address, "read-only"),
        ],
        &near,
    );
    let mut client = gateway.client();
    client.send(&query(&select("view")));
    let mut talk = endless.up();
    talk.statement().unwrap();
    let mut words = Vec::new();
    (0..500).for_each(|_| put(&mut words, b'N', b"SNOTICE\0Mon and on\0\0"));
    let mut says = talk.stream.try_clone().unwrap();
    // Until the gateway has closed.
    let says = thread::spawn(move || while says.write_all(&words).is_ok() {});
    assert_eq!(gateway.client().ask(&insert("report")), "T D fine C Z");
    assert_eq!(client.answer(), "T D fine C Z");
    says.join().unwrap();
    assert!(gateway.counters().contains("ended.TimedOut=1 "));
}

#[test]
fn floods_of_disconnecting_clients_leave_nothing_behind() {
    let primary = Held::new();
    let gateway = gateway(&[(&primary.address, "read-write")], &patient());
    let mut honest = gateway.client();
    for nth in 1..=200 {
        let mut stream = gateway.connect();
        stream
            .write_all(&[STARTUP, &query(&insert("order"))].concat())
            .unwrap();
        // Half of them end in order, half are cut off over what they have not read.
        if nth % 2 == 0 {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
    gateway.until_counted("clients.closed=200");
    // Whatever was begun for them has been let go without a statement.
    let mut begun = 0;
    honest.send(&query(&insert("report")));
    loop {
        let mut talk = primary.dialled();
        talk.comes_up();
        if let Some(statement) = talk.statement() {
            assert!(statement.contains("c=report"), "{statement}");
            talk.answers(&statement, "honest", "read-write");
            break;
        }
        begun += 1;
        assert!(begun <= 200);
    }
    assert_eq!(honest.answer(), "T D honest C Z");
    let gone = gateway.counters();
    assert_eq!(stands::counted(&gone, "failed"), Some("0"));
    drop(honest);
    gateway.until_counted("clients.closed=201");
    gateway.signal("-USR1");
    let tables = gateway.logged("event=\"tables\"");
    assert!(
        tables.contains("\\\"open_ids\\\", 0") && tables.contains("cancel_keys=\"0\""),
        "{tables}"
    );
}

#[test]
fn signals_before_the_configuration_is_read_are_handled_in_order() {
    let primary = server("read-write", rows("one"));
    let agent = leverpoint_test_support::agent::agent();
    let address = free_address();
    let known = listed(7, &[("s0", &primary.address, "up", "read-write")]);
    let file = std::env::temp_dir().join(format!("leverpoint-{}-early.json", std::process::id()));
    std::fs::write(&file, config(&address, &agent.address, &known, &usual())).unwrap();
    // Whoever opens the file waits until the lease on it is given up.
    let lease = leverpoint_test_support::lease::Lease::take(&file);
    let mut child = stands::begin(
        Command::new(program())
            .arg("serve")
            .env("NODE_CONFIG", &file)
            .stderr(Stdio::piped()),
    );
    lease.waited_for();
    for name in ["-HUP", "-USR1", "-TERM", "-HUP", "-TERM"] {
        stands::output(Command::new("kill").args([name, &child.id().to_string()]));
    }
    lease.give_up();
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
    let primary = server("read-write", rows("one"));
    let mut gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let mut rests = gateway.client();
    assert_eq!(rests.ask(&insert("report")), "T D one C Z");
    gateway.signal("-TERM");
    // The gateway has said that nothing more comes.
    assert_eq!(rests.answer(), "end");
    rests.send(&query(&insert("report")));
    let line = gateway.logged("event=\"counters\"");
    assert!(gateway.child.wait().unwrap().success());
    // A close over what nobody has read is a reset; had it been read, there would be none.
    let told = rests.stream.take_error().unwrap().map(|e| e.kind());
    assert_eq!(told, Some(ErrorKind::BrokenPipe));
    assert_eq!(stands::counted(&line, "taken.report"), Some("1"));
}

#[test]
fn requests_received_before_the_close_of_an_idle_connection_are_answered() {
    let primary = server("read-write", rows("one"));
    let near = usual().replace("30000.0", "800.0");
    let mut gateway = gateway(&[(&primary.address, "read-write")], &near);
    let mut rest: Vec<_> = (0..8).map(|_| gateway.client()).collect();
    gateway.signal("-TERM");
    gateway.logged("event=\"ending\"");
    // Stopped before it ends them; as it goes on its time is over and a command stands on each.
    gateway.stop();
    rest.iter_mut()
        .for_each(|client| client.send(&query(&insert("report"))));
    // And one that nobody has accepted yet.
    let mut stream = gateway.connect();
    stream
        .write_all(&[STARTUP, &query(&insert("report"))].concat())
        .unwrap();
    thread::sleep(Duration::from_millis(700));
    gateway.signal("-CONT");
    rest.iter_mut()
        .for_each(|client| assert_eq!(client.answer(), "T D one C Z"));
    let mut late = Client { stream };
    late.answer();
    assert_eq!(late.answer(), "T D one C Z");
    drop((rest, late));
    gateway.logged("event=\"ended\"");
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn an_answer_unread_at_shutdown_is_still_whole() {
    let value = "ab".repeat(32 << 10);
    let primary = server("read-write", rows(&value));
    let mut gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let mut client = gateway.client();
    client.send(&query(&insert("report")));
    heard(&primary);
    gateway.until_counted("answered=1");
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
    assert_eq!(client.answer(), "T D of 65536 bytes C Z");
}

#[test]
fn with_hung_servers_each_client_is_answered_and_shutdown_is_in_time() {
    let primary = server("read-write", vec![Does::Silence]);
    let mut gateway = gateway(&[(&primary.address, "read-write")], &usual());
    let (mut order, mut view) = (gateway.client(), gateway.client());
    order.send(&query(&insert("order")));
    view.send(&query(&select("view")));
    heard(&primary);
    gateway.signal("-TERM");
    let began = Instant::now();
    // Their clients would wait for a minute, which the platform does not.
    assert_eq!(order.answer(), "E C58000 Z");
    assert!(view.answer().starts_with("E C53300"));
    assert!(gateway.child.wait().unwrap().success());
    // The platform's own bound: 3 s and 0.7 s more.
    assert!(began.elapsed() < Duration::from_millis(3_700));
}

#[test]
fn with_discovery_down_and_descriptors_exhausted_by_idle_clients_requests_still_get_one() {
    let primary = server("read-write", rows("served"));
    let known = listed(7, &[("s0", &primary.address, "up", "read-write")]);
    let held = HeldAgent::new();
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
    let gateway = stands::start(&text, address, held.agent(), &limited, &[]);
    std::fs::remove_file(&limited).unwrap();
    let silent = held.asked();
    let mut idle: Vec<_> = (0..60)
        .map(|nth| {
            let mut stream = gateway.connect();
            // Some say nothing, some only that they come, some ask whether it is ready.
            match nth % 3 {
                0 => {}
                1 => stream.write_all(STARTUP).unwrap(),
                _ => stream.write_all(&[STARTUP, &query("")].concat()).unwrap(),
            }
            stream
        })
        .collect();
    drop(silent);
    // The agent is asked again and again all the while, on connections of its own.
    for _ in 0..2 {
        assert!(held.asked().line.starts_with("GET /api/targets HTTP"));
    }
    held.asked().says(&http(&known));
    assert!(held.asked().line.contains("index=7"));
    // A new front finds it ready and a new client is served, though all those are still there.
    let mut fresh = gateway.client();
    assert_eq!(fresh.ask(""), "I Z");
    assert_eq!(gateway.client().ask(&insert("report")), "T D served C Z");
    assert!(
        !gateway
            .said
            .borrow()
            .iter()
            .any(|line| line.contains("accepting failed"))
    );
    idle.clear();
}

#[test]
fn the_idle_connection_of_a_drained_server_is_closed() {
    let (one, two) = (Held::new(), Held::new());
    let gateway = gateway(
        &[(&one.address, "read-write"), (&two.address, "read-only")],
        &usual(),
    );
    let mut client = gateway.client();
    client.send(&query(&insert("report")));
    let mut talk = one.up();
    let statement = talk.statement().unwrap();
    let changes = [
        target("s0", &one.address, "draining", "read-only"),
        target("s1", &two.address, "up", "read-write"),
    ];
    gateway
        .agent
        .say
        .send(http(&list(8, false, &changes)))
        .unwrap();
    assert!(
        gateway
            .agent
            .asked
            .recv_timeout(LONG)
            .unwrap()
            .contains("index=8")
    );
    talk.answers(&statement, "finishes", "read-write");
    assert_eq!(client.answer(), "T D finishes C Z");
    assert_eq!(talk.statement(), None, "closed once it has answered");
}

#[test]
fn a_row_is_whole_from_a_server_that_closes_right_after_it() {
    let primary: Server = server(
        "read-only",
        vec![Does::Bytes(row("last", READ)), Does::Row("more".into())],
    );
    let gateway = gateway(&[(&primary.address, "read-only")], &usual());
    let mut client = gateway.client();
    assert_eq!(client.ask(&select("view")), "T D last C Z");
    assert_eq!(client.ask(&select("view")), "T D more C Z");
}

/// A session's read went to a replica without a check of its own before the position of its write was known.
#[test]
fn a_read_behind_a_write_without_a_reported_position_goes_to_the_primary() {
    let primary = Held::new();
    let replica = server("read-only", rows("old"));
    let unchecked = usual()
        .replace(r#""guards": "reject""#, r#""guards": "none""#)
        .replace(r#"["loose", "#, r#"["own_writes", "#);
    let servers = [
        (&*primary.address, "read-write"),
        (&*replica.address, "read-only"),
    ];
    let gateway = gateway(&servers, &unchecked);
    let mut client = gateway.client();
    client.send(&query(&insert("order")));
    let mut talk = primary.up();
    talk.serves("first", "read-write");
    assert_eq!(client.answer(), "T D first C Z");
    // Another session's read shows that the replica has the first write.
    let elsewhere = select("view").replace("7f3a", "8e4b");
    assert_eq!(gateway.client().ask(&elsewhere), "T D old C Z");
    heard(&replica);
    // The row is here, what the server says of itself behind it is not.
    client.send(&query(&insert("order")));
    talk.statement().unwrap();
    talk.stream.write_all(&row("second", WRITTEN)).unwrap();
    assert_eq!(client.answer(), "T D second C Z");
    client.send(&query(&select("view")));
    let mut other = primary.up();
    assert!(other.serves("new", "read-write").starts_with("SELECT"));
    assert_eq!(client.answer(), "T D new C Z");
    // And now it never comes.
    drop(talk);
    client.send(&query(&select("view")));
    other.serves("served", "read-write");
    assert_eq!(client.answer(), "T D served C Z");
    assert_eq!(replica.heard.try_iter().count(), 0);
}
