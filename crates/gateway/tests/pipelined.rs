//! Commands sent ahead of the answers before them: each that was taken gets one whole answer in its client's time, by
//! real connections of the real program. docs/races.md has a row for each.

use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use leverpoint_gateway::io::receive_times::ReceiveTimes;
use leverpoint_test_support::client::Client;
use leverpoint_test_support::gateway::{self as stands, Gateway, config, free_address};
use leverpoint_test_support::manual::{ManualAgent, ManualServer, full_endpoint_list};
use leverpoint_test_support::server::{
    ServerAction, always_row, next_statement, row_on_signal, start_server,
};
use leverpoint_test_support::wire::{STARTUP_MESSAGE, deadline_ms, http_ok, insert, query_message};

/// Long enough that what a fault would do shows; what has to happen is waited for as an event.
const SHOWS: Duration = Duration::from_millis(300);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_leverpoint"))
}

/// Settings with a client timeout of one's own, and as long a response target.
fn settings(timeout: u32) -> String {
    let target = timeout;
    format!(
        r#"{{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {{"answerSlackMs": 5000.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5,
     "startCapacity": 0.2, "stopSendingWithinMs": 500.0}},
    "familyInfo": {{"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0, 0.0, 0.0],
     "readLevel": ["loose", "update", "update"], "stamps": true, "tokens": "router"}},
    "grades": [
     {{"name": "view", "aimMs": {target}.0, "deadlineMs": {timeout}.0, "semantics": "pure", "worth": 1.0, "lateWorth": 1.0}},
     {{"name": "report", "aimMs": {target}.0, "deadlineMs": {timeout}.0, "semantics": "token", "group": "cell",
      "keyTtlMs": 3000.0, "worth": 3.0, "lateWorth": 0.5}},
     {{"name": "order", "aimMs": {target}.0, "deadlineMs": {timeout}.0, "semantics": "side_effect", "worth": 3.0}}],
    "policyLimits": {{"sendCap": 4, "retryAfter": true, "maxRetryAfterMs": 2000.0, "connectTimeoutMs": 250.0,
     "idleCloseMs": 15000.0}},
    "tenants": [{{"name": "acme", "share": 1.0, "quotaPerS": 100.0}}]}}"#
    )
}

/// A gateway that has this list from the start, with so many descriptors.
fn gateway(servers: &[(&str, &str)], timeout: u32, sockets: usize) -> Gateway {
    stands::start_with_addresses(program(), servers, &settings(timeout), (192, sockets), &[])
}

#[test]
fn a_pipelined_request_is_sent_with_the_rest_of_its_client_timeout() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], 3_000, 1024);
    let mut client = gateway.connect_client();
    // Of another command group, of which nothing is known yet: it is waited for as long as its client does.
    client.send(
        &[
            query_message(&insert("report")),
            query_message(&insert("order")),
        ]
        .concat(),
    );
    let mut talk = primary.accept_ready();
    let first = talk.read_statement().unwrap();
    thread::sleep(Duration::from_millis(400));
    talk.respond(&first, "one", "read-write");
    assert_eq!(client.read_response(), "T D one C Z");
    let second = talk.answer_next("two", "read-write");
    assert!(deadline_ms(&second) <= 2_600, "{second}");
    assert_eq!(client.read_response(), "T D two C Z");
}

#[test]
fn a_pipelined_request_that_times_out_in_the_queue_is_answered_in_turn_and_never_sent() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], 800, 1024);
    let mut client = gateway.connect_client();
    client.send(
        &[
            query_message(&insert("order")),
            query_message(&insert("order")),
            query_message(&insert("report")),
        ]
        .concat(),
    );
    let mut talk = primary.accept_ready();
    let first = talk.read_statement().unwrap();
    // The first one's client timeout ends it; it may have run. Nothing of the others was sent, so they may come again.
    assert_eq!(client.read_response(), "E C58000 Z", "{first}");
    assert!(client.read_response().starts_with("E C53300"));
    assert!(client.read_response().starts_with("E C53300"));
    assert_eq!(
        talk.read_statement(),
        None,
        "given up with the first, and nothing behind it"
    );
    assert!(
        !primary.connects_within(SHOWS),
        "nothing is sent on elsewhere"
    );
    let counters = gateway.counters();
    assert!(
        counters.contains("taken.order=2 ") && counters.contains("taken.report=1 "),
        "{counters}"
    );
}

#[test]
fn bytes_held_back_behind_a_full_buffer_count_from_when_it_was_full() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], 3_000, 1024);
    let mut client = gateway.connect_client();
    // More than is read ahead and than the system takes beside it, so that the client's own holds back the rest.
    let long = query_message(&format!("VACUUM {}", "a".repeat(120_000)));
    let all = [
        query_message(&insert("report")),
        long.clone(),
        long,
        query_message(&insert("order")),
    ]
    .concat();
    let mut writer = client.stream.try_clone().unwrap();
    let sent = thread::spawn(move || writer.write_all(&all));
    let mut talk = primary.accept_ready();
    let first = talk.read_statement().unwrap();
    thread::sleep(Duration::from_millis(400));
    talk.respond(&first, "one", "read-write");
    assert_eq!(client.read_response(), "T D one C Z");
    for _ in 0..2 {
        let refused = client.read_response();
        assert!(refused.starts_with("E C0A000"), "{refused}");
    }
    let last = talk.answer_next("two", "read-write");
    assert!(deadline_ms(&last) <= 2_600, "{last}");
    assert_eq!(client.read_response(), "T D two C Z");
    sent.join().unwrap().unwrap();
}

#[test]
fn requests_received_while_an_answer_is_written_count_from_their_receipt() {
    for (stands, left) in [(Duration::from_millis(900), true), (Duration::ZERO, false)] {
        let primary = start_server("read-write", always_row(&"ab".repeat(1_000)));
        let gateway = gateway(&[(&primary.address, "read-write")], 1_000, 1024);
        let mut client = gateway.connect_client();
        let whole = "T D of 2000 bytes C Z";
        // It proves itself first, so that it is not sent back for what it has not taken.
        let proven = || {
            gateway.signal("-USR1");
            gateway
                .wait_for_log("event=\"peers\"")
                .contains("peers.usual=1 ")
        };
        while !proven() {
            assert_eq!(client.run_statement(&insert("order")), whole);
            next_statement(&primary);
        }
        // Answers until the systems take no more, as nobody reads; one command stands behind them.
        let mut answered = 0;
        loop {
            client.send(&query_message(&insert("order")));
            if primary.statements.recv_timeout(SHOWS).is_err() {
                break;
            }
            answered += 1;
        }
        thread::sleep(stands);
        client.send(&query_message(&insert("report")));
        thread::sleep(Duration::from_millis(1_200) - stands);
        let answers: Vec<_> = (0..answered + 2).map(|_| client.read_response()).collect();
        assert!(
            answers[..answered].iter().all(|answer| answer == whole),
            "{answers:?}"
        );
        let answers = &answers[answered..];
        assert!(answers[0].starts_with("E C53300"), "{answers:?}");
        // The time of the one before it has passed; its own has not where it came late.
        let last = &answers[1];
        assert!(
            if left {
                last == whole
            } else {
                last.starts_with("E C53300")
            },
            "{answers:?}"
        );
        let statements: Vec<_> = primary.statements.try_iter().collect();
        assert_eq!(statements.len(), usize::from(left), "{statements:?}");
        assert!(
            statements
                .iter()
                .all(|text| text.contains("c=report") && deadline_ms(text) > 250),
            "{statements:?}"
        );
    }
}

#[test]
fn requests_waiting_to_be_accepted_count_from_their_earliest_receipt() {
    let primary = ManualServer::new();
    let agent = ManualAgent::new();
    let known = full_endpoint_list(7, &[("s0", &primary.address, "up", "read-write")]);
    let address = free_address();
    let text = config(&address, &agent.address, &known, &settings(3_000));
    // It remembers a list and asks its agent, which is silent: for a while nobody is accepted.
    let gateway = stands::start(&text, address, agent.as_agent(), program(), &[]);
    let mut stream = gateway.connect();
    stream
        .write_all(&[STARTUP_MESSAGE, &query_message(&insert("order"))].concat())
        .unwrap();
    let mut talk = primary.accept_ready();
    let statement = talk.answer_next("one", "read-write");
    assert!(deadline_ms(&statement) <= 2_700, "{statement}");
    let mut client = Client { stream };
    client.read_response();
    assert_eq!(client.read_response(), "T D one C Z");
}

#[test]
fn requests_behind_a_readiness_check_count_from_their_receipt() {
    let primary = ManualServer::new();
    let agent = ManualAgent::new();
    let address = free_address();
    let text = config(&address, &agent.address, "null", &settings(3_000));
    let gateway = stands::start(&text, address, agent.as_agent(), program(), &[]);
    let mut ask = agent.next_request();
    let mut client = gateway.connect_client();
    client.send(&[query_message(""), query_message(&insert("order"))].concat());
    thread::sleep(Duration::from_millis(400));
    ask.send(&http_ok(&full_endpoint_list(
        7,
        &[("s0", &primary.address, "up", "read-write")],
    )));
    assert_eq!(client.read_response(), "I Z");
    let statement = primary.accept_ready().answer_next("one", "read-write");
    assert!(deadline_ms(&statement) <= 2_600, "{statement}");
    assert_eq!(client.read_response(), "T D one C Z");
}

#[test]
fn each_pipelined_request_of_a_rejected_connection_is_answered() {
    let (go, waits) = row_on_signal("waited");
    let primary = start_server("read-write", vec![waits]);
    // Nine descriptors for connections: four for clients, as many for servers, one for what is sent back.
    let gateway = gateway(&[(&primary.address, "read-write")], 60_000, 25);
    let mut busy: Vec<_> = (0..4).map(|_| gateway.connect_client()).collect();
    for client in &mut busy {
        client.send(&query_message(&insert("report")));
        next_statement(&primary);
    }
    let mut fifth = gateway.connect_client();
    let row = [
        query_message(&insert("report")),
        query_message(""),
        query_message(&insert("order")),
        query_message(&insert("report")),
    ];
    fifth.send(&row.concat());
    let answers: Vec<_> = (0..4).map(|_| fifth.read_response()).collect();
    assert_eq!(answers, ["E C53300 Z", "I Z", "E C53300 Z", "E C53300 end"]);
    // The end told nothing but that, and nobody else heard of it.
    assert_eq!(fifth.read_response(), "end");
    (0..4).for_each(|_| go.send(()).unwrap());
    busy.iter_mut()
        .for_each(|client| assert_eq!(client.read_response(), "T D waited C Z"));
    assert_eq!(primary.statements.try_iter().count(), 0);
}

#[test]
fn pipelined_requests_behind_a_hung_one_are_answered_before_shutdown() {
    let primary = start_server("read-write", vec![ServerAction::NoResponse]);
    let mut gateway = gateway(&[(&primary.address, "read-write")], 60_000, 1024);
    let mut client = gateway.connect_client();
    let row: Vec<u8> = (0..200)
        .flat_map(|_| query_message(&insert("order")))
        .collect();
    client.send(&row);
    next_statement(&primary);
    gateway.signal("-TERM");
    let began = Instant::now();
    assert_eq!(client.read_response(), "E C58000 Z");
    for nth in 1..200 {
        assert_eq!(client.read_response(), "E C53300 Z", "the {nth}.");
    }
    assert!(gateway.child.wait().unwrap().success());
    // The platform's own bound: 3 s and 0.7 s more.
    assert!(began.elapsed() < Duration::from_millis(3_700));
    assert_eq!(
        primary
            .statements
            .try_iter()
            .filter(|text| text != "closed")
            .count(),
        0,
        "nothing else was sent on"
    );
}

/// Sent as the process was about to end, a request behind a hung one was answered as possibly executed.
#[test]
fn a_pipelined_request_that_shutdown_leaves_no_time_for_is_shed_and_never_sent() {
    let primary = start_server("read-write", vec![ServerAction::NoResponse]);
    let mut gateway = gateway(&[(&primary.address, "read-write")], 60_000, 1024);
    let mut client = gateway.connect_client();
    client.send(&[(); 3].map(|()| query_message(&insert("order"))).concat());
    next_statement(&primary);
    // The attempt of the first is given up after 3.5 s, the open requests 3.45 s after the signal.
    thread::sleep(SHOWS);
    gateway.signal("-TERM");
    assert_eq!(client.read_response(), "E C58000 Z");
    for _ in 0..2 {
        let shed = client.read_response();
        assert!(shed.starts_with("E C53300"), "{shed}");
    }
    assert!(gateway.child.wait().unwrap().success());
    let statements: Vec<_> = primary.statements.try_iter().collect();
    assert!(
        statements.iter().all(|text| text == "closed"),
        "{statements:?}"
    );
}

#[test]
fn requests_before_an_invalid_message_are_answered_and_none_behind_it_is_sent() {
    let (go, waits) = row_on_signal("one");
    let primary = start_server("read-write", vec![waits, ServerAction::Row("two".into())]);
    let gateway = gateway(&[(&primary.address, "read-write")], 60_000, 1024);
    let mut client = gateway.connect_client();
    let [first, second, behind] = [(); 3].map(|()| query_message(&insert("order")));
    let unknown = query_message(&insert("order").replace("c=order", "c=none"));
    client.send(&[first, unknown, second, b"?\0\0\0\x04".to_vec(), behind].concat());
    next_statement(&primary);
    go.send(()).unwrap();
    let answers: Vec<_> = (0..4).map(|_| client.read_response()).collect();
    assert_eq!(
        answers,
        ["T D one C Z", "E C22023 Z", "T D two C Z", "E C08P01 end"]
    );
    next_statement(&primary);
    let counters = gateway.counters();
    assert!(counters.contains("taken.order=2 "), "{counters}");
    assert_eq!(primary.statements.try_iter().count(), 0);
    // Nobody else is harmed.
    assert_eq!(
        gateway.connect_client().run_statement(&insert("order")),
        "T D two C Z"
    );
}

#[test]
fn answers_before_an_invalid_message_are_whole_for_a_late_reader() {
    let values = ["ab".repeat(32 << 10), "cd".repeat(26 << 10)];
    let primary = start_server(
        "read-write",
        values
            .iter()
            .map(|value| ServerAction::Row(value.clone()))
            .collect(),
    );
    let gateway = gateway(&[(&primary.address, "read-write")], 60_000, 1024);
    let mut client = gateway.connect_client();
    let much = vec![b'?'; 1 << 20];
    let mut writer = client.stream.try_clone().unwrap();
    let row = [
        query_message(&insert("order")),
        query_message(&insert("order")),
        much,
    ]
    .concat();
    // It may be told of the end before it has said all.
    let sent = thread::spawn(move || drop(writer.write_all(&row)));
    gateway.wait_for_counter("bad_messages=1");
    thread::sleep(2 * Duration::from_millis(400));
    assert_eq!(client.read_response(), "T D of 65536 bytes C Z");
    assert_eq!(client.read_response(), "T D of 53248 bytes C Z");
    drop(client);
    sent.join().unwrap();
}

#[test]
fn with_the_read_ahead_exhausted_a_disconnect_is_seen_and_nothing_stalls() {
    let primary = ManualServer::new();
    let gateway = stands::start_with_addresses(
        program(),
        &[(&primary.address, "read-write")],
        &settings(60_000),
        (32, 1500),
        &[],
    );
    let row = || -> Vec<u8> {
        (0..1_100)
            .flat_map(|_| query_message(&insert("order")))
            .collect()
    };
    // Some that use it up, whose first command hangs, and one more that goes.
    let mut many: Vec<_> = (0..3).map(|_| gateway.connect_client()).collect();
    let mut talks = Vec::new();
    for client in &mut many {
        client.send(&row());
        talks.push(primary.accept_ready());
    }
    let mut goes = gateway.connect_client();
    // More than a ring takes by itself; what stands in its own system can't be known of.
    goes.send(&row()[..8_000]);
    talks.push(primary.accept_ready());
    drop(goes);
    gateway.wait_for_counter("gone=1");
    // Whoever is first answered goes on.
    let statement = talks[0].answer_next("one", "read-write");
    assert_eq!(many[0].read_response(), "T D one C Z", "{statement}");
    assert!(
        talks[0]
            .read_statement()
            .is_some_and(|next| next != statement)
    );
}

#[test]
fn no_byte_is_taken_for_younger_than_it_is_in_however_many_pieces() {
    let began = leverpoint_runtime::now();
    for seed in 0..200 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut receive_times = ReceiveTimes::new(began);
        // When each byte came in truth, and how many of them were taken out.
        let mut came: Vec<leverpoint_runtime::Instant> = Vec::new();
        let (mut taken, mut at, mut worst) = (0, began, Duration::ZERO);
        for _ in 0..1_000 {
            let quiet = Duration::from_millis(chance.u64(0..8));
            at += quiet;
            match chance.u16(0..400) {
                // A wait that ends with something to read, up to far more pieces than are told apart.
                0..360 => {
                    receive_times.on_drained(at, quiet);
                    let bytes = chance.usize(1..40);
                    receive_times.on_read(bytes);
                    came.extend(vec![at; bytes]);
                }
                // The ring is full while more comes, and the client's system holds back more yet.
                360..396 => {
                    receive_times.on_full();
                    let bytes = chance.usize(1..40);
                    came.extend(vec![at; bytes]);
                    at += Duration::from_millis(chance.u64(0..50));
                    receive_times.on_drained(at, Duration::ZERO);
                    receive_times.on_read(bytes);
                }
                _ if taken < came.len() => {
                    taken += chance.usize(1..=came.len() - taken);
                    let told = receive_times.on_taken(came.len() - taken);
                    assert!(told <= came[taken - 1], "seed {seed}");
                    worst = worst.max(came[taken - 1] - told);
                }
                _ => {}
            }
        }
        // Nor for much older, but by what stood behind a full ring or was merged.
        assert!(worst < Duration::from_secs(4), "seed {seed}: {worst:?}");
    }
}
