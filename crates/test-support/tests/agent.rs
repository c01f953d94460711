//! The discovery agent of the tests answers whichever request is still waited for.

use std::io::{Read, Write};
use std::net::TcpStream;

use leverpoint_test_support::agent::{Agent, start_agent};
use leverpoint_test_support::wire::{WAIT_LIMIT, http_ok};

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

fn read_response(stream: &mut TcpStream, expected: &str) {
    let mut received = vec![0; expected.len()];
    stream.read_exact(&mut received).unwrap();
    assert_eq!(String::from_utf8(received).unwrap(), expected);
}

/// Guards against a list that is written to a call which the gateway has given up, and is never seen by it.
#[test]
fn a_response_goes_to_the_next_request_where_the_first_was_given_up() {
    let agent = start_agent();
    let given_up = send_request(&agent);
    agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    drop(given_up);
    let mut waiting = send_request(&agent);
    let list = http_ok("list");
    agent.responses.send(list.clone()).unwrap();
    read_response(&mut waiting, &list);
    // The request that was answered came in place of the one that was given up.
    waiting.write_all(REQUEST).unwrap();
    agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    assert!(agent.requests.try_recv().is_err());
}

#[test]
fn a_response_goes_to_the_next_request_where_its_connection_was_closed_before_it_was_read() {
    let agent = start_agent();
    let mut unread = send_request(&agent);
    let list = http_ok("list");
    agent.responses.send(list.clone()).unwrap();
    // The response has arrived, and the close of its connection discards it.
    assert!(unread.peek(&mut [0; 1]).unwrap() > 0);
    unread.flush().unwrap();
    drop(unread);
    let mut next = send_request(&agent);
    read_response(&mut next, &list);
    agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    assert!(agent.requests.try_recv().is_err());
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
