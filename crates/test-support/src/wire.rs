//! Owns the few bytes of PostgreSQL's protocol and of discovery's answers that stand-ins say and hear.
//!
//! Written from the public protocol, apart from the gateway's own parsers. It must never wait on its own account.

use std::cell::Cell;
use std::io::{ErrorKind, Read};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Far longer than anything here takes; a wait that reaches it has failed.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

pub const STARTUP_MESSAGE: &[u8] = b"\0\0\0\x20\0\x03\0\0user\0svc\0database\0main\0\0";

pub fn put_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

pub fn row_messages(value: &str, done: &str) -> Vec<u8> {
    row_messages_from_bytes(value.as_bytes(), done)
}

/// A row of one value, and what was done.
pub fn row_messages_from_bytes(value: &[u8], done: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(
        &mut out,
        b'T',
        b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01",
    );
    put_message(
        &mut out,
        b'D',
        &[&b"\0\x01"[..], &(value.len() as u32).to_be_bytes(), value].concat(),
    );
    put_message(&mut out, b'C', format!("{done}\0").as_bytes());
    out
}

pub const READ_TAG: &str = "SELECT 1";
pub const WRITE_TAG: &str = "INSERT 0 1";

pub fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    if let Err(e) = stream.read_exact(&mut head) {
        // A wait that came to nothing is no end of the connection.
        assert!(
            !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            "nothing came"
        );
        return None;
    }
    let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

pub fn http_ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn target(uid: &str, address: &str, state: &str, mode: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","pod_group":2,"state":"{state}","mode":"{mode}","later":1}}"#
    )
}

pub fn endpoint_list(rev: u32, all: bool, targets: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
}

thread_local! {
    /// Ids of a test's commands, each a new one.
    static IDS: Cell<u32> = const { Cell::new(0x9b) };
}

pub fn request_comment(group: &str) -> String {
    format!(
        "/* id={:x},c={group},t=acme,d=60000,k=5c,cluster=2 */",
        IDS.replace(IDS.get() + 1)
    )
}

pub fn select(group: &str) -> String {
    format!(
        "SELECT v FROM records WHERE k = '7f3a' {}",
        request_comment(group)
    )
}

pub fn insert(group: &str) -> String {
    format!(
        "INSERT INTO records (k, v) VALUES ('7f3a', '\\x9f') RETURNING v {}",
        request_comment(group)
    )
}

/// How long the gateway waits, as a server hears it, in milliseconds.
pub fn deadline_ms(statement: &str) -> u64 {
    statement
        .split(",d=")
        .nth(1)
        .unwrap()
        .split(',')
        .next()
        .unwrap()
        .parse()
        .unwrap()
}

pub fn query_message(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'Q', format!("{text}\0").as_bytes());
    out
}
