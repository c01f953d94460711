//! The discovery agent of the tests goes on after a connection that is no request.

use std::io::Write;
use std::net::TcpStream;

use leverpoint_test_support::agent::{Agent, start_agent};
use leverpoint_test_support::wire::WAIT_LIMIT;

const REQUEST: &[u8] = b"GET /api/targets HTTP/1.1\r\nHost: agent\r\n\r\n";

fn connect(agent: &Agent) -> TcpStream {
    let stream = TcpStream::connect(&agent.address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
}

fn send_request(agent: &Agent) -> TcpStream {
    let mut stream = connect(agent);
    stream.write_all(REQUEST).unwrap();
    stream
}

/// Guards against an agent that takes no further connection after a foreign one, as of a process left over from another
/// test that knew a server at its port.
#[test]
fn a_connection_that_ends_within_its_headers_does_not_keep_the_agent_from_the_next() {
    let agent = start_agent();
    for partial in [&b"\0\0\0\x08"[..], &REQUEST[..30]] {
        connect(&agent).write_all(partial).unwrap();
    }
    let _waiting = send_request(&agent);
    let request = agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    assert!(request.starts_with("GET /api/targets"), "{request}");
}
