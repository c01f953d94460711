//! Statements that a server takes slowly: a server executes a statement when its last byte has arrived, however early the
//! first one was sent, so what has not arrived in time must never arrive. On real connections, with servers that read only
//! when the test calls for it.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use leverpoint_test_support::client::Client;
use leverpoint_test_support::gateway::{self as gateway_process, Gateway};
use leverpoint_test_support::manual::{ManualConnection, ManualServer};
use leverpoint_test_support::settings::Settings;
use leverpoint_test_support::tcp_table::{TcpSocket, wait_for_socket};
use leverpoint_test_support::wire::{WAIT_LIMIT, insert, query_message, select};

/// Receive buffer of the servers' connections: what does not fit stays with the gateway until the server reads.
const SERVER_RECEIVE_BUFFER: usize = 4 << 10;
/// A value whose statement does not fit into the buffers of both systems: a part of it stays in the gateway itself.
const LONG_VALUE_BYTES: usize = 60 << 10;
/// A value whose statement fits into the send buffer of the gateway's system, but not into the server's receive buffer.
const MEDIUM_VALUE_BYTES: usize = 9 << 10;
/// How long servers drop repeats of a key.
const KEY_WINDOW: Duration = Duration::from_millis(2_000);
/// How long a client pauses behind a long message, so that the gateway can tell that its system holds nothing back: it waits
/// 5 ms for that, and the machine may be busy.
const PAUSE_BEHIND_LONG_MESSAGE: Duration = Duration::from_millis(150);
/// How long after its window's end a request may be answered on a busy machine. An attempt times out later.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// When a server reads again after a client's disconnect: later than an attempt may begin then, which is 0.1 s, and earlier
/// than an attempt times out.
const HANG_AFTER_DISCONNECT: Duration = Duration::from_millis(500);

fn slow_server() -> ManualServer {
    ManualServer::with_receive_buffer(Some(SERVER_RECEIVE_BUFFER))
}

fn gateway(primary: &ManualServer, settings: Settings) -> Gateway {
    let program = Path::new(env!("CARGO_BIN_EXE_leverpoint"));
    gateway_process::start_with_addresses(
        program,
        &[(&primary.address, "read-write")],
        &settings.to_json(),
        (192, 1_024),
        &[],
    )
}

/// Settings with [`KEY_WINDOW`], in which a request has its time far beyond it.
fn short_window() -> Settings {
    Settings {
        key_validity: KEY_WINDOW.as_millis() as u32,
        connect_timeout: 10_000,
        ..Settings::default()
    }
}

/// A keyed write of a value of so many bytes.
fn long_insert(value_bytes: usize) -> String {
    insert("report").replace("\\x9f", &format!("\\x{}", "9f".repeat(value_bytes)))
}

/// Sends a read some time behind the client's write and waits until the gateway has taken it: until then the gateway takes
/// the sender of a long message for one whose close it might not see, and starts no further attempt for it.
fn send_read_behind(client: &mut Client, gateway: &Gateway) {
    thread::sleep(PAUSE_BEHIND_LONG_MESSAGE);
    client.send(&query_message(&select("view")));
    let gateway_address: SocketAddr = gateway.address.parse().unwrap();
    let client_address = client.stream.local_addr().unwrap();
    wait_for_socket(gateway_address, client_address, |socket| {
        !socket.has_unread_bytes()
    });
}

/// Waits until the server's system has received bytes that the server has not read.
fn wait_for_unread_bytes(connection: &ManualConnection) {
    let stream = &connection.stream;
    let (local, remote) = (stream.local_addr().unwrap(), stream.peer_addr().unwrap());
    wait_for_socket(local, remote, TcpSocket::has_unread_bytes);
}

/// Waits until the server's system has received a reset of the connection. Panics after [`WAIT_LIMIT`].
fn wait_for_reset(connection: &ManualConnection) {
    let started_at = Instant::now();
    while connection.stream.take_error().unwrap().is_none() {
        assert!(started_at.elapsed() < WAIT_LIMIT, "no reset received");
        thread::yield_now();
    }
}

/// A first attempt of a keyed write of this length may have run; the next one begins at once, at a server that reads only
/// when the key's window has ended. It must not get the statement then.
fn check_retry_that_is_read_after_its_window(value_bytes: usize) {
    let primary = slow_server();
    let gateway = gateway(&primary, short_window());
    let mut client = gateway.connect_client();
    let began = Instant::now();
    client.send(&query_message(&long_insert(value_bytes)));
    let mut first = primary.accept_ready();
    first.read_statement().expect("the first attempt");
    send_read_behind(&mut client, &gateway);
    first.reset();
    let mut second = primary.accept_ready();
    wait_for_unread_bytes(&second);
    assert!(began.elapsed() < KEY_WINDOW, "the retry came too late");
    let after_window = began + KEY_WINDOW + KEY_WINDOW / 5;
    thread::sleep(after_window.saturating_duration_since(Instant::now()));
    // Only its length is shown where it came after all.
    assert_eq!(second.read_statement().map(|text| text.len()), None);
    assert_eq!(client.read_response(), "E C58000 Z");
}

// Guards against a second effect: a retry begun inside its key's window whose rest was written after it.
#[test]
fn a_keyed_retry_is_not_written_to_its_end_after_its_window() {
    check_retry_that_is_read_after_its_window(LONG_VALUE_BYTES);
}

// Guards against a second effect: a retry written inside its key's window that arrives from the send buffer after it.
#[test]
fn a_keyed_retry_does_not_arrive_from_the_send_buffer_after_its_window() {
    check_retry_that_is_read_after_its_window(MEDIUM_VALUE_BYTES);
}

// Guards against a late effect: an attempt given up by its own timeout whose statement arrives from the send buffer.
#[test]
fn an_attempt_that_timed_out_leaves_no_statement_to_arrive_later() {
    let primary = slow_server();
    let settings = Settings {
        client_timeout: 800,
        latency_objective: 400,
        ..Settings::default()
    };
    let gateway = gateway(&primary, settings);
    let mut client = gateway.connect_client();
    client.send(&query_message(&long_insert(MEDIUM_VALUE_BYTES)));
    let mut connection = primary.accept_ready();
    wait_for_unread_bytes(&connection);
    assert_eq!(client.read_response(), "E C58000 Z");
    assert_eq!(connection.read_statement().map(|text| text.len()), None);
}

// Guards against an answer held back: a request whose window ends while its retry still connects.
#[test]
fn a_keyed_request_is_answered_when_its_window_ends_while_its_retry_connects() {
    let primary = slow_server();
    let settings = Settings {
        connect_timeout: 60_000,
        ..short_window()
    };
    let gateway = gateway(&primary, settings);
    let mut client = gateway.connect_client();
    let began = Instant::now();
    client.send(&query_message(&insert("report")));
    let mut first = primary.accept_ready();
    first.read_statement().expect("the first attempt");
    first.reset();
    // The server never answers the startup of this connection.
    let mut second = primary.accept();
    assert_eq!(client.read_response(), "E C58000 Z");
    let elapsed = began.elapsed();
    assert!(
        elapsed < KEY_WINDOW + ANSWER_LIMIT,
        "answered after {elapsed:?}"
    );
    assert_eq!(second.read_statement(), None);
}

// Guards against a late effect: a write that stands in the send buffer when its client leaves and arrives afterwards.
#[test]
fn a_statement_that_has_not_arrived_when_its_client_leaves_is_withdrawn() {
    let primary = slow_server();
    let gateway = gateway(&primary, Settings::default());
    let mut client = gateway.connect_client();
    let write = long_insert(MEDIUM_VALUE_BYTES).replace("c=report", "c=order");
    client.send(&query_message(&write));
    let mut connection = primary.accept_ready();
    wait_for_unread_bytes(&connection);
    drop(client);
    thread::sleep(HANG_AFTER_DISCONNECT);
    assert_eq!(connection.read_statement().map(|text| text.len()), None);
}

// Guards against a late effect: a statement that stands in the send buffer of a gateway that is killed.
#[test]
fn a_killed_gateway_leaves_no_statement_to_arrive_later() {
    let primary = slow_server();
    let gateway = gateway(&primary, Settings::default());
    let mut client = gateway.connect_client();
    client.send(&query_message(&long_insert(MEDIUM_VALUE_BYTES)));
    let mut connection = primary.accept_ready();
    wait_for_unread_bytes(&connection);
    gateway.signal("-KILL");
    wait_for_reset(&connection);
    assert_eq!(connection.read_statement().map(|text| text.len()), None);
}
