//! Hundreds of clients that together would take more memory than the gateway may use, on real connections.

use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use leverpoint_test_support::client::Client;
use leverpoint_test_support::gateway as gateway_process;
use leverpoint_test_support::server::{always_row, start_server};
use leverpoint_test_support::settings::Settings;
use leverpoint_test_support::wire::{query_message, select};

/// The gateway's limits: memory in MiB, and descriptors.
const LIMITS: (usize, usize) = (32, 1024);
const CLIENTS: usize = 400;
/// Time within which a client that has stopped in the middle of a message gets its error or is closed.
const ERROR_LIMIT: Duration = Duration::from_secs(3);
/// Length of the longest statement in bytes.
const LONG_STATEMENT: usize = 130 << 10;

/// A write whose value takes `length` bytes of hexadecimal digits.
fn long_insert(length: usize) -> Vec<u8> {
    query_message(&format!(
        "INSERT INTO records (k, v) VALUES ('7f3a', '\\x{}') RETURNING v /* id=a,c=report,t=acme,d=400,k=5c,cluster=2 */",
        "0".repeat(length)
    ))
}

/// A read whose comment has thousands of short fields.
fn many_fields(length: usize) -> Vec<u8> {
    query_message(&format!(
        "SELECT v FROM records WHERE k = '7f3a' /* {}id=a,c=view,t=acme,d=400,cluster=2 */",
        "a=1,".repeat(length / 4)
    ))
}

/// Sends `bytes` from many clients at once, as far as the gateway takes them, and waits until each has an answer or is
/// closed. The process must stay within its memory, and a well-behaved client must be served all the time.
fn check_memory(bytes: &[u8]) {
    let server = start_server("read-write", always_row("one"));
    let gateway = gateway_process::start_with_servers(
        Path::new(env!("CARGO_BIN_EXE_leverpoint")),
        &[(&server, "read-write")],
        &Settings {
            client_timeout: 60_000,
            ..Settings::usual()
        }
        .to_json(),
        LIMITS,
        &[],
    );
    let mut well_behaved = gateway.connect_client();
    // Proven by its answers, so that it is kept.
    for _ in 0..20 {
        assert_eq!(well_behaved.run_statement(&select("view")), "T D one C Z");
    }
    let mut clients: Vec<(Client, Instant)> = (0..CLIENTS)
        .map(|_| {
            let mut client = gateway.connect_client();
            client.stream.set_nonblocking(true).unwrap();
            // What the gateway does not take stays unwritten: it stands for a client that has stopped.
            let _ = client.stream.write(bytes);
            (client, Instant::now())
        })
        .collect();
    while !clients.is_empty() {
        clients.retain(|(client, sent)| {
            let waits = client
                .stream
                .peek(&mut [0; 1])
                .is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
            assert!(!waits || sent.elapsed() < ERROR_LIMIT, "no error in time");
            waits
        });
        assert_eq!(well_behaved.run_statement(&select("view")), "T D one C Z");
    }
    let peak = gateway.peak_memory();
    assert!(peak < LIMITS.0 << 20, "{peak} bytes");
}

#[test]
fn clients_that_stop_half_way_through_a_large_request_stay_within_memory() {
    let request = long_insert(LONG_STATEMENT);
    check_memory(&request[..request.len() / 2]);
}

#[test]
fn clients_that_stop_just_before_the_end_of_a_large_request_stay_within_memory() {
    let request = long_insert(LONG_STATEMENT);
    check_memory(&request[..request.len() - 1]);
}

#[test]
fn requests_of_very_many_short_fields_stay_within_memory() {
    check_memory(&many_fields(LONG_STATEMENT));
}
