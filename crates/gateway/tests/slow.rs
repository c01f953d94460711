//! Slow peers beside honest ones, on the program as it is: each hard case is caused, none is waited for by the clock.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use leverpoint_test_support::gateway::{self as stands, Gateway};
use leverpoint_test_support::pace::Pace;
use leverpoint_test_support::server::{
    Server, ServerAction, always_row, next_statement, start_server,
};
use leverpoint_test_support::slow_clients::{
    ClientBehavior, ClientCounters, RequestSpec, SlowClients,
};
use leverpoint_test_support::wire::{insert, query_message, select};

/// Client timeouts near enough that what is past them can be waited for, targets far from both.
const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {"answerSlackMs": 20.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5, "startCapacity": 0.2,
     "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0, 0.0, 0.0],
     "readLevel": ["loose", "loose", "update"], "stamps": true, "tokens": "router"},
    "grades": [
     {"name": "view", "aimMs": 30000.0, "deadlineMs": 60000.0, "semantics": "pure", "worth": 1.0, "lateWorth": 1.0},
     {"name": "short", "aimMs": 900.0, "deadlineMs": 1000.0, "semantics": "pure", "worth": 1.0},
     {"name": "report", "aimMs": 30000.0, "deadlineMs": 60000.0, "semantics": "token", "group": "cell",
      "keyTtlMs": 3000.0, "worth": 3.0, "lateWorth": 0.5}],
    "policyLimits": {"sendCap": 4, "retryAfter": true, "maxRetryAfterMs": 2000.0, "connectTimeoutMs": 250.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "acme", "share": 1.0, "quotaPerS": 100.0}, {"name": "venue", "share": 1.0, "quotaPerS": 100.0}]}"#;

fn gateway(servers: &[(&Server, &str)], limits: (usize, usize), words: &[&str]) -> Gateway {
    stands::start_with_servers(
        Path::new(env!("CARGO_BIN_EXE_leverpoint")),
        servers,
        SETTINGS,
        limits,
        words,
    )
}

fn long_value() -> String {
    "v".repeat(60_000)
}

fn asks(length: usize) -> RequestSpec {
    let (group, tenant, timeout) = ("short".into(), "venue".into(), Duration::from_millis(900));
    RequestSpec {
        request_class: group,
        tenant,
        replica_set: 2,
        value_length: length,
        timeout,
    }
}

fn address(gateway: &Gateway) -> SocketAddr {
    gateway.address.parse().unwrap()
}

/// An honest client's answers to so many reads, as often as it takes where it is sent back: how many were rows.
fn honest(gateway: &Gateway, many: usize) -> usize {
    let mut client = gateway.connect_client();
    (0..many)
        .filter(|_| client.run_statement(&select("view")).starts_with("T D "))
        .count()
}

fn counted(line: &str, name: &str) -> u64 {
    let count = stands::counter_value(line, name).and_then(|count| count.parse().ok());
    count.unwrap_or_else(|| panic!("{name} in {line}"))
}

/// A crowd of so many that never read, beside an honest client that is there before and one that comes later.
fn beside_a_crowd(many: usize, limits: (usize, usize)) {
    let replica = start_server("read-only", always_row(&long_value()));
    let primary = start_server("read-write", always_row("honest"));
    let gateway = gateway(
        &[(&primary, "read-write"), (&replica, "read-only")],
        limits,
        &[],
    );
    let mut first = gateway.connect_client();
    for _ in 0..20 {
        assert_eq!(first.run_statement(&insert("report")), "T D honest C Z");
    }
    let seen = Arc::new(ClientCounters::default());
    let crowd = SlowClients::start(
        address(&gateway),
        &vec![ClientBehavior::NeverReads; many],
        &asks(60_000),
        &seen,
        1 << 20,
    );
    while seen.requests.load(Relaxed) < 2 * many as u64 {
        assert_eq!(first.run_statement(&insert("report")), "T D honest C Z");
    }
    drop(crowd);
    // Whoever of them is still known is let go, and all that was held comes back.
    let mut gateway = gateway;
    let line = gateway.shut_down_for_peers_line(false);
    assert!(counted(&line, "peers.let_go") > 0, "{line}");
    assert_eq!(
        (
            counted(&line, "held.answers"),
            counted(&line, "held.statements")
        ),
        (0, 0),
        "{line}"
    );
    assert_eq!((seen.lost.load(Relaxed), seen.wrong.load(Relaxed)), (0, 0));
}

#[test]
fn two_hundred_clients_that_never_read_harm_no_well_behaved_client() {
    beside_a_crowd(200, (32, 1024));
}

#[test]
fn four_hundred_clients_that_never_read_harm_none_with_few_descriptors() {
    beside_a_crowd(400, (32, 256));
}

#[test]
fn a_read_whose_answer_trickles_or_stalls_is_retried() {
    let mut trace = String::new();
    let paces = [
        (
            "a byte each 50 ms",
            Pace::Trickle(1, Duration::from_millis(50)),
        ),
        ("a stall in the description", Pace::Stall(9)),
        ("a stall in the row", Pace::Stall(30_000)),
    ];
    for (what, pace) in paces {
        let slow = start_server(
            "read-only",
            vec![ServerAction::PacedRow(long_value(), pace)],
        );
        let primary = start_server("read-write", always_row("whole"));
        let gateway = gateway(
            &[(&primary, "read-write"), (&slow, "read-only")],
            (32, 256),
            &[],
        );
        // A time that answers usually take is known, so the dispatch to the slow one is not waited for in full.
        let mut client = gateway.connect_client();
        trace += &format!("{what}: {}", client.run_statement(&select("short")));
        next_statement(&slow);
        trace += &format!(
            "; {}\n",
            gateway.shut_down(&["answered", "dispatched", "ended.Reset", "ended.TimedOut"])
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_write_whose_answer_trickles_has_its_whole_timeout() {
    let pace = Pace::Trickle(8, Duration::from_millis(20));
    let primary = start_server(
        "read-write",
        vec![ServerAction::PacedRow("late".into(), pace)],
    );
    let gateway = gateway(&[(&primary, "read-write")], (32, 256), &[]);
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D late C Z"
    );
    assert_eq!(
        gateway.shut_down(&["answered", "dispatched", "ended.Answered"]),
        "answered=1 dispatched=1 ended.Answered=1 "
    );
}

#[test]
fn a_server_that_is_never_ready_after_its_row_holds_nothing() {
    let primary = start_server(
        "read-write",
        vec![
            ServerAction::PacedRow("row".into(), Pace::NeverReady),
            ServerAction::Row("next".into()),
        ],
    );
    let gateway = gateway(&[(&primary, "read-write")], (32, 256), &[]);
    let mut client = gateway.connect_client();
    assert_eq!(client.run_statement(&insert("report")), "T D row C Z");
    assert_eq!(client.run_statement(&insert("report")), "T D next C Z");
    // The dispatch would have been waited for over a minute; it has ended, and its index is free.
    while counted(&gateway.counters(), "ended.Answered") < 2 {}
    assert_eq!(
        gateway.shut_down(&["answered", "ended.Answered", "servers.opened"]),
        "answered=2 ended.Answered=2 servers.opened=2 "
    );
}

#[test]
fn a_stalled_client_is_evicted_once_its_answers_have_expired() {
    let primary = start_server("read-write", always_row(&long_value()));
    let gateway = gateway(&[(&primary, "read-write")], (32, 256), &[]);
    let seen = Arc::new(ClientCounters::default());
    let habits = [ClientBehavior::PausesReading(
        20_000,
        Duration::from_secs(60),
    )];
    let crowd = SlowClients::start(address(&gateway), &habits, &asks(60_000), &seen, 1 << 20);
    let line = gateway.wait_for_log("event=\"client connection evicted\"");
    assert!(
        line.contains("why=\"too slow\"") && line.contains("state=\"Stalled\""),
        "{line}"
    );
    assert!(honest(&gateway, 20) == 20);
    drop(crowd);
    assert_eq!(seen.lost.load(Relaxed), 0);
}

#[test]
fn clients_that_send_half_a_statement_get_an_error_and_delay_nobody() {
    let primary = start_server("read-write", always_row("honest"));
    let gateway = gateway(&[(&primary, "read-write")], (32, 256), &[]);
    let seen = Arc::new(ClientCounters::default());
    let mut habits = vec![ClientBehavior::SendsHalfStatement; 40];
    habits.extend([ClientBehavior::WritesInPieces(1, Duration::from_millis(50)); 20]);
    let crowd = SlowClients::start(address(&gateway), &habits, &asks(300), &seen, 1 << 20);
    // One more of them, to hear what it is told.
    let mut half = gateway.connect_client();
    half.send(&query_message(&select("view"))[..40]);
    assert_eq!(half.read_response(), "E C08P01 end");
    assert_eq!(honest(&gateway, 50), 50);
    drop(crowd);
    assert_eq!(
        (seen.answered.load(Relaxed), seen.lost.load(Relaxed)),
        (0, 0)
    );
}

#[test]
fn a_long_statement_at_the_least_rate_is_taken_beyond_the_grace() {
    let primary = start_server("read-write", always_row("heard"));
    let gateway = gateway(&[(&primary, "read-write")], (32, 256), &[]);
    let mut client = gateway.connect_client();
    let text = insert("report").replace("\\x9f", &format!("\\x{}", "9f".repeat(32_000)));
    let bytes = query_message(&text);
    for piece in bytes.chunks(bytes.len() / 30) {
        client.send(piece);
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(client.read_response(), "T D heard C Z");
}

#[test]
fn slow_readers_beside_failing_servers_do_not_block_retries() {
    let mut does: Vec<_> = (0..40)
        .map(|n| {
            if n % 2 == 0 {
                ServerAction::Disconnect
            } else {
                ServerAction::Row(long_value())
            }
        })
        .collect();
    does.push(ServerAction::Row(long_value()));
    let failing = start_server("read-only", does);
    let primary = start_server("read-write", always_row("whole"));
    let gateway = gateway(
        &[(&primary, "read-write"), (&failing, "read-only")],
        (32, 256),
        &[],
    );
    let seen = Arc::new(ClientCounters::default());
    let crowd = SlowClients::start(
        address(&gateway),
        &[ClientBehavior::NeverReads; 60],
        &asks(60_000),
        &seen,
        1 << 20,
    );
    assert_eq!(honest(&gateway, 60), 60);
    drop(crowd);
    assert_eq!((seen.lost.load(Relaxed), seen.wrong.load(Relaxed)), (0, 0));
}

#[test]
fn signals_are_handled_with_slow_readers_open() {
    let primary = start_server("read-write", always_row(&long_value()));
    let file = std::env::temp_dir().join(format!("leverpoint-operator-{}.hcl", std::process::id()));
    std::fs::write(&file, "slow {\n  grace = \"2s\"\n}\n").unwrap();
    let path = file.display().to_string();
    let gateway = gateway(
        &[(&primary, "read-write")],
        (32, 256),
        &["--operator", &path],
    );
    let seen = Arc::new(ClientCounters::default());
    let crowd = SlowClients::start(
        address(&gateway),
        &[ClientBehavior::NeverReads; 30],
        &asks(60_000),
        &seen,
        1 << 20,
    );
    let mut trace = String::new();
    for (name, text) in [
        (
            "shorter",
            "slow {\n  grace = \"500ms\"\n  stall = \"300ms\"\n}\n",
        ),
        ("faulty", "slow {\n  grace = 3\n}\n"),
        ("kernel", "slow {\n  kernel = \"16KiB\"\n}\n"),
    ] {
        std::fs::write(&file, text).unwrap();
        gateway.signal("-HUP");
        let line = gateway.wait_for_log("event=\"operator's file");
        trace += &format!(
            "{name}:{}\n",
            line.split_once("event=").unwrap().1.replace(&path, "FILE")
        );
        if name == "shorter" {
            gateway.wait_for_log("event=\"client connection evicted\"");
        }
    }
    // It ends in order, within the longest client timeout of what it has taken.
    drop(crowd);
    trace += &gateway.shut_down(&["failed"]);
    let _ = std::fs::remove_file(&file);
    insta::assert_snapshot!(trace);
}

#[test]
fn a_write_whose_answer_is_never_read_stands_and_is_not_retried() {
    let primary = start_server("read-write", always_row("done"));
    let gateway = gateway(&[(&primary, "read-write")], (32, 256), &[]);
    let mut stream = TcpStream::connect(&gateway.address).unwrap();
    stream
        .write_all(leverpoint_test_support::wire::STARTUP_MESSAGE)
        .unwrap();
    let mut admitted = [0; 64];
    assert!(stream.read(&mut admitted).unwrap() > 0);
    stream.write_all(&query_message(&insert("report"))).unwrap();
    // Heard once; then its client goes without having read a byte of the answer.
    next_statement(&primary);
    while counted(&gateway.counters(), "answered") < 1 {}
    drop(stream);
    assert_eq!(
        gateway.connect_client().run_statement(&insert("report")),
        "T D done C Z"
    );
    next_statement(&primary);
    assert!(primary.statements.try_recv().is_err());
    assert_eq!(
        gateway.shut_down(&["dispatched", "answered"]),
        "dispatched=2 answered=2 "
    );
}

#[test]
fn log_lines_are_json_on_request() {
    let primary = start_server("read-write", always_row("x"));
    let gateway = gateway(&[(&primary, "read-write")], (32, 256), &["--log", "json"]);
    gateway.signal("-USR1");
    let line = gateway.wait_for_log("\"counters\"");
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["msg"], "counters");
    assert!(
        value["all"].as_str().unwrap().contains("answered=0"),
        "{line}"
    );
}
