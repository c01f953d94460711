//! Clients that disconnect with requests still unread or under way, on real connections.

use std::io::Write;
use std::net::Shutdown;
use std::path::Path;
use std::thread;
use std::time::Duration;

use leverpoint_test_support::client::Client;
use leverpoint_test_support::gateway::{self as gateway_process, Gateway};
use leverpoint_test_support::manual::ManualServer;
use leverpoint_test_support::settings::Settings;
use leverpoint_test_support::wire::{insert, query_message};

/// How long to watch for an event that must not happen.
const OBSERVATION_TIME: Duration = Duration::from_millis(300);
/// An attempt that begins later than this after its client closed counts as a lost request.
const DISCONNECT_LIMIT: Duration = Duration::from_millis(100);

fn gateway(primary: &ManualServer) -> Gateway {
    gateway_process::start_with_addresses(
        Path::new(env!("CARGO_BIN_EXE_leverpoint")),
        &[(&primary.address, "read-write")],
        &Settings::default().to_json(),
        (192, 1024),
        &[],
    )
}

/// Writes as many whole requests as the systems of both sides and the gateway take without waiting.
fn fill_with_requests(client: &mut Client) -> usize {
    client.stream.set_nonblocking(true).unwrap();
    let (mut written, mut idle_rounds) = (0, 0);
    let mut unwritten = Vec::new();
    // The gateway reads ahead in the meantime; the kernel's buffers grow as it does.
    while idle_rounds < 20 {
        if unwritten.is_empty() {
            unwritten = query_message(&insert("order"));
        }
        match client.stream.write(&unwritten) {
            Ok(bytes) => {
                unwritten.drain(..bytes);
                written += bytes;
                idle_rounds = 0;
            }
            Err(_) => {
                idle_rounds += 1;
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
    written
}

#[test]
fn a_disconnect_behind_more_than_is_read_ahead_lets_no_further_request_start() {
    let primary = ManualServer::new();
    let gateway = gateway(&primary);
    let mut client = gateway.connect_client();
    client.send(&query_message(&insert("order")));
    let mut connection = primary.accept_ready();
    let first = connection.read_statement().unwrap();
    let written = fill_with_requests(&mut client);
    assert!(written > 200_000, "{written} bytes written");
    // The close stands behind all that is unread. One direction alone is closed, as a full close is answered with a reset,
    // which loopback delivers at once and a network only after a round trip.
    client.stream.shutdown(Shutdown::Write).unwrap();
    thread::sleep(DISCONNECT_LIMIT);
    connection.respond(&first, "late", "read-write");
    connection
        .stream
        .set_read_timeout(Some(OBSERVATION_TIME))
        .unwrap();
    let next = connection.stream.peek(&mut [0; 1]);
    assert!(
        matches!(next, Err(_) | Ok(0)),
        "a statement of the client that has gone"
    );
    assert!(!primary.connects_within(OBSERVATION_TIME));
    drop(client);
    gateway.wait_for_counter("clients.closed=1");
}

#[test]
fn a_write_whose_client_left_does_not_run_again_under_its_id() {
    let primary = ManualServer::new();
    let gateway = gateway(&primary);
    let write = query_message(&insert("order"));
    let mut client = gateway.connect_client();
    client.send(&write);
    let mut connection = primary.accept_ready();
    let first = connection.read_statement().unwrap();
    drop(client);
    gateway.wait_for_counter("gone=1");
    connection.respond(&first, "one", "read-write");
    gateway.wait_for_counter("ended.Answered=1");
    let mut again = gateway.connect_client();
    again.send(&write);
    assert_eq!(again.read_response(), "E C42710 Z");
    assert!(!primary.connects_within(OBSERVATION_TIME));
}
