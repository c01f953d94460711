//! Clients that send small or invalid messages at full speed beside well-behaved ones, on real connections.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use leverpoint_test_support::client::Client;
use leverpoint_test_support::flood::{Flood, FloodKind};
use leverpoint_test_support::gateway::{self as gateway_process, Gateway};
use leverpoint_test_support::manual::{ManualConnection, ManualServer};
use leverpoint_test_support::server::{always_row, start_server};
use leverpoint_test_support::settings::Settings;
use leverpoint_test_support::wire::{insert, query_message, select};

/// The client timeout of the well-behaved clients.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(434);
/// How much later than its client timeout an answer may come before its request counts as lost.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Pause of a well-behaved client between an answer and its next request.
const PAUSE: Duration = Duration::from_millis(10);
const CLIENTS: usize = 12;
const REQUESTS_PER_CLIENT: usize = 100;
const FLOODING_CLIENTS: usize = 6;

/// Held by the test whose flood runs.
static FLOOD: Mutex<()> = Mutex::new(());

fn address(gateway: &Gateway) -> SocketAddr {
    gateway.address.parse().unwrap()
}

/// What the well-behaved clients saw.
#[derive(Debug, Default)]
struct Observed {
    answered: usize,
    not_answered: usize,
    /// Requests without an answer within [`CLIENT_TIMEOUT`] and [`LATE_ANSWER_LIMIT`] together; a client stops at its first.
    lost: usize,
    longest: Duration,
    total: Duration,
}

impl Observed {
    fn record(&mut self, answer: &str, took: Duration) {
        match answer.starts_with("T D ") {
            true => self.answered += 1,
            false => self.not_answered += 1,
        }
        self.longest = self.longest.max(took);
        self.total += took;
    }

    fn merge(mut self, other: Observed) -> Observed {
        self.answered += other.answered;
        self.not_answered += other.not_answered;
        self.lost += other.lost;
        self.longest = self.longest.max(other.longest);
        self.total += other.total;
        self
    }
}

/// Sends the requests of one well-behaved client, one after the other.
fn run_client(mut client: Client, number: usize) -> Observed {
    let mut observed = Observed::default();
    let answer_limit = CLIENT_TIMEOUT + LATE_ANSWER_LIMIT;
    client.stream.set_read_timeout(Some(answer_limit)).unwrap();
    for nth in 0..REQUESTS_PER_CLIENT {
        let statement = format!(
            "SELECT v FROM records WHERE k = '7f3a' /* id=a{number:x}b{nth:x},c=view,t=acme,d={},cluster=2 */",
            CLIENT_TIMEOUT.as_millis()
        );
        let sent = Instant::now();
        client.send(&query_message(&statement));
        if client.stream.peek(&mut [0; 1]).is_err() {
            observed.lost += 1;
            return observed;
        }
        let answer = client.read_response();
        observed.record(&answer, sent.elapsed());
        thread::sleep(PAUSE);
    }
    observed
}

/// Runs all well-behaved clients and returns what they saw.
fn run_clients(clients: Vec<Client>) -> Observed {
    let running: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(number, client)| thread::spawn(move || run_client(client, number)))
        .collect();
    running
        .into_iter()
        .map(|client| client.join().unwrap())
        .fold(Observed::default(), Observed::merge)
}

/// Connects a well-behaved client whose first request was answered, so that connections to the servers are open.
fn connect_client(gateway: &Gateway, number: usize) -> Client {
    let mut client = gateway.connect_client();
    let answer = client.run_statement(&select("view"));
    assert!(answer.starts_with("T D "), "client {number}: {answer}");
    client
}

/// Floods a gateway; every well-behaved client must get its answers.
fn check_beside_flood(kind: FloodKind) {
    // One flood at a time: the threads of several would keep each other's servers from the processor.
    let _one_at_a_time = FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let primary = start_server("read-write", always_row("one"));
    let replica = start_server("read-only", always_row("one"));
    let gateway = gateway_process::start_with_servers(
        Path::new(env!("CARGO_BIN_EXE_leverpoint")),
        &[(&primary, "read-write"), (&replica, "read-only")],
        &Settings::usual().to_json(),
        (192, 1024),
        &[],
    );
    let clients = (0..CLIENTS)
        .map(|number| connect_client(&gateway, number))
        .collect();
    let flood = Flood::start(address(&gateway), kind, FLOODING_CLIENTS);
    let observed = run_clients(clients);
    let transferred = flood.transferred();
    drop(flood);
    eprintln!("{kind:?}: {observed:?}, flood {transferred:?}");
    assert_eq!(observed.lost, 0, "{kind:?}: {observed:?}");
    assert_eq!(
        observed.answered,
        CLIENTS * REQUESTS_PER_CLIENT,
        "{kind:?}: {observed:?}"
    );
}

#[test]
fn a_flood_of_empty_queries_delays_no_other_client() {
    check_beside_flood(FloodKind::EmptyQueries);
}

#[test]
fn a_flood_of_queries_without_id_and_timeout_delays_no_other_client() {
    check_beside_flood(FloodKind::NoIdNoTimeout);
}

#[test]
fn a_flood_of_unknown_classes_delays_no_other_client() {
    check_beside_flood(FloodKind::UnknownClasses);
}

#[test]
fn a_flood_of_unknown_tenants_delays_no_other_client() {
    check_beside_flood(FloodKind::UnknownTenants);
}

#[test]
fn a_flood_of_ssl_requests_delays_no_other_client() {
    check_beside_flood(FloodKind::SslRequests);
}

#[test]
fn a_flood_of_syncs_delays_no_other_client() {
    check_beside_flood(FloodKind::Syncs);
}

#[test]
fn a_flood_of_session_statements_delays_no_other_client() {
    check_beside_flood(FloodKind::SessionStatements);
}

#[test]
fn a_flood_of_expired_requests_delays_no_other_client() {
    check_beside_flood(FloodKind::ExpiredReads("view"));
}

#[test]
fn a_flood_of_expired_writes_of_new_sessions_delays_no_other_client() {
    check_beside_flood(FloodKind::ExpiredWritesOfNewSessions("report"));
}

#[test]
fn a_flood_of_extended_messages_delays_no_other_client() {
    check_beside_flood(FloodKind::ExtendedMessages);
}

#[test]
fn a_flood_of_long_invalid_queries_delays_no_other_client() {
    check_beside_flood(FloodKind::LongInvalidQueries);
}

#[test]
fn a_flood_of_short_connections_delays_no_other_client() {
    check_beside_flood(FloodKind::ShortConnections);
}

#[test]
fn a_flood_of_cancel_requests_delays_no_other_client() {
    check_beside_flood(FloodKind::CancelRequests);
}

#[test]
fn a_flood_of_pipelined_reads_of_new_sessions_delays_no_other_client() {
    check_beside_flood(FloodKind::PipelinedReads("view"));
}

/// Answers of a server that never end, of the shortest messages there are, one for each of some requests.
#[test]
fn many_endless_answers_of_the_shortest_messages_delay_no_other_client() {
    let _one_at_a_time = FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let endless = ManualServer::new();
    let replica = start_server("read-only", always_row("one"));
    let gateway = gateway_process::start_with_addresses(
        Path::new(env!("CARGO_BIN_EXE_leverpoint")),
        &[
            (&endless.address, "read-write"),
            (&replica.address, "read-only"),
        ],
        &Settings::usual().to_json(),
        (192, 1024),
        &[],
    );
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| gateway.connect_client()).collect();
    let notices = b"N\0\0\0\x04".repeat(16 << 10);
    let connections: Vec<_> = clients
        .iter_mut()
        .map(|client| {
            client.send(&query_message(&insert("report")));
            let mut connection = endless.accept_ready();
            connection.read_statement().unwrap();
            connection
        })
        .collect();
    let write = |mut connection: ManualConnection| {
        let notices = notices.clone();
        // Writes until the gateway has closed the connection.
        thread::spawn(move || while connection.stream.write_all(&notices).is_ok() {})
    };
    let writers: Vec<_> = connections.into_iter().map(write).collect();
    let mut well_behaved = gateway.connect_client();
    let mut longest = Duration::ZERO;
    while writers.iter().any(|writer| !writer.is_finished()) {
        let sent = Instant::now();
        assert_eq!(well_behaved.run_statement(&select("view")), "T D one C Z");
        longest = longest.max(sent.elapsed());
    }
    eprintln!("longest answer {longest:?}");
    assert!(longest < CLIENT_TIMEOUT, "{longest:?}");
}
