//! Pipelined requests on real connections: each accepted request gets exactly one complete answer within its client
//! timeout. docs/races.md has a row for each case.

use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use leverpoint_gateway::io::receive_times::ReceiveTimes;
use leverpoint_test_support::client::Client;
use leverpoint_test_support::gateway::{self as gateway_process, Gateway, config, free_address};
use leverpoint_test_support::manual::{ManualAgent, ManualServer, full_endpoint_list};
use leverpoint_test_support::server::{
    ServerAction, always_row, next_statement, row_on_signal, start_server,
};
use leverpoint_test_support::settings::Settings;
use leverpoint_test_support::wire::{STARTUP_MESSAGE, deadline_ms, http_ok, insert, query_message};

/// How long to watch for an event that must not happen. Events that must happen are awaited, not given a fixed time.
const OBSERVATION_TIME: Duration = Duration::from_millis(300);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_leverpoint"))
}

/// Settings with this client timeout in milliseconds, which is also the latency objective.
fn settings(timeout: u32) -> String {
    Settings {
        client_timeout: timeout,
        latency_objective: timeout,
        ..Settings::default()
    }
    .to_json()
}

/// Starts a gateway with these servers, this client timeout in milliseconds and a limit on descriptors.
fn gateway(servers: &[(&str, &str)], timeout: u32, sockets: usize) -> Gateway {
    gateway_process::start_with_addresses(
        program(),
        servers,
        &settings(timeout),
        (192, sockets),
        &[],
    )
}

#[test]
fn a_pipelined_request_is_sent_with_the_rest_of_its_client_timeout() {
    let primary = ManualServer::new();
    let gateway = gateway(&[(&primary.address, "read-write")], 3_000, 1024);
    let mut client = gateway.connect_client();
    // The second is of another request class, which has no history yet: the gateway waits for it up to the client
    // timeout.
    client.send(
        &[
            query_message(&insert("report")),
            query_message(&insert("order")),
        ]
        .concat(),
    );
    let mut connection = primary.accept_ready();
    let first = connection.read_statement().unwrap();
    thread::sleep(Duration::from_millis(400));
    connection.respond(&first, "one", "read-write");
    assert_eq!(client.read_response(), "T D one C Z");
    let second = connection.answer_next("two", "read-write");
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
    let mut connection = primary.accept_ready();
    let first = connection.read_statement().unwrap();
    // The first fails at its client timeout, as possibly executed. The others were not sent, so the client may retry
    // them.
    assert_eq!(client.read_response(), "E C58000 Z", "{first}");
    assert!(client.read_response().starts_with("E C53300"));
    assert!(client.read_response().starts_with("E C53300"));
    assert_eq!(
        connection.read_statement(),
        None,
        "abandoned with the first, and nothing sent behind it"
    );
    assert!(
        !primary.connects_within(OBSERVATION_TIME),
        "nothing is sent on another connection"
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
    // More than the gateway reads ahead plus its kernel's buffer, so that the rest stays in the client's send buffer.
    let long = query_message(&format!("VACUUM {}", "a".repeat(120_000)));
    let pipeline = [
        query_message(&insert("report")),
        long.clone(),
        long,
        query_message(&insert("order")),
    ]
    .concat();
    let mut writer = client.stream.try_clone().unwrap();
    let writer_thread = thread::spawn(move || writer.write_all(&pipeline));
    let mut connection = primary.accept_ready();
    let first = connection.read_statement().unwrap();
    thread::sleep(Duration::from_millis(400));
    connection.respond(&first, "one", "read-write");
    assert_eq!(client.read_response(), "T D one C Z");
    for _ in 0..2 {
        let refused = client.read_response();
        assert!(refused.starts_with("E C0A000"), "{refused}");
    }
    let last = connection.answer_next("two", "read-write");
    assert!(deadline_ms(&last) <= 2_600, "{last}");
    assert_eq!(client.read_response(), "T D two C Z");
    writer_thread.join().unwrap().unwrap();
}

#[test]
fn requests_received_while_an_answer_is_written_count_from_their_receipt() {
    for (stall, in_time) in [(Duration::from_millis(900), true), (Duration::ZERO, false)] {
        let primary = start_server("read-write", always_row(&"ab".repeat(1_000)));
        let gateway = gateway(&[(&primary.address, "read-write")], 1_000, 1024);
        let mut client = gateway.connect_client();
        let whole = "T D of 2000 bytes C Z";
        // The client first reads enough answers to count as a usual one, so that it is not rejected for its unread
        // answers.
        let is_usual = || {
            gateway.signal("-USR1");
            gateway
                .wait_for_log("event=\"peers\"")
                .contains("peers.usual=1 ")
        };
        while !is_usual() {
            assert_eq!(client.run_statement(&insert("order")), whole);
            next_statement(&primary);
        }
        // Nobody reads, so answers are sent until the kernel buffers are full; one request then waits behind them.
        let mut answered = 0;
        loop {
            client.send(&query_message(&insert("order")));
            if primary.statements.recv_timeout(OBSERVATION_TIME).is_err() {
                break;
            }
            answered += 1;
        }
        thread::sleep(stall);
        client.send(&query_message(&insert("report")));
        thread::sleep(Duration::from_millis(1_200) - stall);
        let answers: Vec<_> = (0..answered + 2).map(|_| client.read_response()).collect();
        assert!(
            answers[..answered].iter().all(|answer| answer == whole),
            "{answers:?}"
        );
        let answers = &answers[answered..];
        assert!(answers[0].starts_with("E C53300"), "{answers:?}");
        // The client timeout of the request before it has passed; its own has not if it was sent late.
        let last = &answers[1];
        assert!(
            if in_time {
                last == whole
            } else {
                last.starts_with("E C53300")
            },
            "{answers:?}"
        );
        let statements: Vec<_> = primary.statements.try_iter().collect();
        assert_eq!(statements.len(), usize::from(in_time), "{statements:?}");
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
    // The gateway has a stored endpoint list and polls an agent that does not respond: for a while it accepts no
    // connection.
    let gateway = gateway_process::start(&text, address, agent.as_agent(), program(), &[]);
    let mut stream = gateway.connect();
    stream
        .write_all(&[STARTUP_MESSAGE, &query_message(&insert("order"))].concat())
        .unwrap();
    let mut connection = primary.accept_ready();
    let statement = connection.answer_next("one", "read-write");
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
    let gateway = gateway_process::start(&text, address, agent.as_agent(), program(), &[]);
    let mut request = agent.next_request();
    let mut client = gateway.connect_client();
    client.send(&[query_message(""), query_message(&insert("order"))].concat());
    thread::sleep(Duration::from_millis(400));
    request.send(&http_ok(&full_endpoint_list(
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
    let (release, delayed_row) = row_on_signal("waited");
    let primary = start_server("read-write", vec![delayed_row]);
    // Nine descriptors for connections: four for clients, four for servers, one for a connection that is rejected.
    let gateway = gateway(&[(&primary.address, "read-write")], 60_000, 25);
    let mut busy: Vec<_> = (0..4).map(|_| gateway.connect_client()).collect();
    for client in &mut busy {
        client.send(&query_message(&insert("report")));
        next_statement(&primary);
    }
    let mut fifth = gateway.connect_client();
    let pipeline = [
        query_message(&insert("report")),
        query_message(""),
        query_message(&insert("order")),
        query_message(&insert("report")),
    ];
    fifth.send(&pipeline.concat());
    let answers: Vec<_> = (0..4).map(|_| fifth.read_response()).collect();
    assert_eq!(answers, ["E C53300 Z", "I Z", "E C53300 Z", "E C53300 end"]);
    // Nothing follows the last rejection, and no other client or server receives anything.
    assert_eq!(fifth.read_response(), "end");
    (0..4).for_each(|_| release.send(()).unwrap());
    busy.iter_mut()
        .for_each(|client| assert_eq!(client.read_response(), "T D waited C Z"));
    assert_eq!(primary.statements.try_iter().count(), 0);
}

#[test]
fn pipelined_requests_behind_a_hung_one_are_answered_before_shutdown() {
    let primary = start_server("read-write", vec![ServerAction::NoResponse]);
    let mut gateway = gateway(&[(&primary.address, "read-write")], 60_000, 1024);
    let mut client = gateway.connect_client();
    let pipeline: Vec<u8> = (0..200)
        .flat_map(|_| query_message(&insert("order")))
        .collect();
    client.send(&pipeline);
    next_statement(&primary);
    gateway.signal("-TERM");
    let began = Instant::now();
    assert_eq!(client.read_response(), "E C58000 Z");
    for nth in 1..200 {
        assert_eq!(client.read_response(), "E C53300 Z", "request {nth}");
    }
    assert!(gateway.child.wait().unwrap().success());
    // The platform's limit for a shutdown: 3 s and 0.7 s more.
    assert!(began.elapsed() < Duration::from_millis(3_700));
    assert_eq!(
        primary
            .statements
            .try_iter()
            .filter(|text| text != "closed")
            .count(),
        0,
        "nothing else was sent to the server"
    );
}

/// Guards against a queued request that is sent just before the process ends, and is then answered as possibly
/// executed.
#[test]
fn a_pipelined_request_that_shutdown_leaves_no_time_for_is_shed_and_never_sent() {
    let primary = start_server("read-write", vec![ServerAction::NoResponse]);
    let mut gateway = gateway(&[(&primary.address, "read-write")], 60_000, 1024);
    let mut client = gateway.connect_client();
    client.send(&[(); 3].map(|()| query_message(&insert("order"))).concat());
    next_statement(&primary);
    // The attempt of the first request is abandoned after 3.5 s, the open requests 3.45 s after the signal.
    thread::sleep(OBSERVATION_TIME);
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
    let (release, delayed_row) = row_on_signal("one");
    let primary = start_server(
        "read-write",
        vec![delayed_row, ServerAction::Row("two".into())],
    );
    let gateway = gateway(&[(&primary.address, "read-write")], 60_000, 1024);
    let mut client = gateway.connect_client();
    let [first, second, behind] = [(); 3].map(|()| query_message(&insert("order")));
    let unknown = query_message(&insert("order").replace("c=order", "c=none"));
    client.send(&[first, unknown, second, b"?\0\0\0\x04".to_vec(), behind].concat());
    next_statement(&primary);
    release.send(()).unwrap();
    let answers: Vec<_> = (0..4).map(|_| client.read_response()).collect();
    assert_eq!(
        answers,
        ["T D one C Z", "E C22023 Z", "T D two C Z", "E C08P01 end"]
    );
    next_statement(&primary);
    let counters = gateway.counters();
    assert!(counters.contains("taken.order=2 "), "{counters}");
    assert_eq!(primary.statements.try_iter().count(), 0);
    // Other clients are not affected.
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
    let invalid = vec![b'?'; 1 << 20];
    let mut writer = client.stream.try_clone().unwrap();
    let pipeline = [
        query_message(&insert("order")),
        query_message(&insert("order")),
        invalid,
    ]
    .concat();
    // The gateway may close the connection before everything is written.
    let writer_thread = thread::spawn(move || drop(writer.write_all(&pipeline)));
    gateway.wait_for_counter("bad_messages=1");
    thread::sleep(2 * Duration::from_millis(400));
    assert_eq!(client.read_response(), "T D of 65536 bytes C Z");
    assert_eq!(client.read_response(), "T D of 53248 bytes C Z");
    drop(client);
    writer_thread.join().unwrap();
}

#[test]
fn with_the_read_ahead_exhausted_a_disconnect_is_detected_and_nothing_stalls() {
    let primary = ManualServer::new();
    let gateway = gateway_process::start_with_addresses(
        program(),
        &[(&primary.address, "read-write")],
        &settings(60_000),
        (32, 1500),
        &[],
    );
    let pipeline = || -> Vec<u8> {
        (0..1_100)
            .flat_map(|_| query_message(&insert("order")))
            .collect()
    };
    // Three clients exhaust the read-ahead while their first request hangs; one more client disconnects.
    let mut clients: Vec<_> = (0..3).map(|_| gateway.connect_client()).collect();
    let mut connections = Vec::new();
    for client in &mut clients {
        client.send(&pipeline());
        connections.push(primary.accept_ready());
    }
    let mut disconnecting = gateway.connect_client();
    // More than the ring buffer holds without a reservation, but little enough that nothing stays in the client's send
    // buffer, of which the gateway cannot know.
    disconnecting.send(&pipeline()[..8_000]);
    connections.push(primary.accept_ready());
    drop(disconnecting);
    gateway.wait_for_counter("gone=1");
    // The client that gets an answer first continues with its next request.
    let statement = connections[0].answer_next("one", "read-write");
    assert_eq!(clients[0].read_response(), "T D one C Z", "{statement}");
    assert!(
        connections[0]
            .read_statement()
            .is_some_and(|next| next != statement)
    );
}

#[test]
fn no_byte_is_reported_as_received_later_than_it_was_in_any_number_of_pieces() {
    let start = leverpoint_runtime::now();
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut receive_times = ReceiveTimes::new(start);
        // When each byte was really received, and how many bytes were taken out.
        let mut received_at: Vec<leverpoint_runtime::Instant> = Vec::new();
        let (mut taken, mut now, mut max_error) = (0, start, Duration::ZERO);
        for _ in 0..1_000 {
            let idle = Duration::from_millis(rng.u64(0..8));
            now += idle;
            match rng.u16(0..400) {
                // A wait that ends with readable bytes; there are far more pieces than are recorded separately.
                0..360 => {
                    receive_times.on_drained(now, idle);
                    let bytes = rng.usize(1..40);
                    receive_times.on_read(bytes);
                    received_at.extend(vec![now; bytes]);
                }
                // The ring buffer is full while more is received, and the client's send buffer holds further bytes.
                360..396 => {
                    receive_times.on_full();
                    let bytes = rng.usize(1..40);
                    received_at.extend(vec![now; bytes]);
                    now += Duration::from_millis(rng.u64(0..50));
                    receive_times.on_drained(now, Duration::ZERO);
                    receive_times.on_read(bytes);
                }
                _ if taken < received_at.len() => {
                    taken += rng.usize(1..=received_at.len() - taken);
                    let reported = receive_times.on_taken(received_at.len() - taken);
                    assert!(reported <= received_at[taken - 1], "seed {seed}");
                    max_error = max_error.max(received_at[taken - 1] - reported);
                }
                _ => {}
            }
        }
        // A reported time is earlier than the true one only for bytes behind a full ring buffer and for merged pieces.
        assert!(
            max_error < Duration::from_secs(4),
            "seed {seed}: {max_error:?}"
        );
    }
}
