//! Encoding and decoding of the PostgreSQL messages, SQL statements and discovery responses that the test doubles
//! exchange with a gateway.
//!
//! Written from the public protocols, apart from the gateway's own parsers. Nothing here waits, other than for the
//! stream that a message is read from.

use std::cell::Cell;
use std::io::{ErrorKind, Read};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time limit of a test's wait. It is far longer than anything a test waits for, so a wait that reaches it has failed.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// StartupMessage of protocol version 3.0 for the user `svc` and the database `main`.
pub const STARTUP_MESSAGE: &[u8] = b"\0\0\0\x20\0\x03\0\0user\0svc\0database\0main\0\0";

/// Appends a message to `out`: its type byte `tag`, its length and `body`.
pub fn put_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// Returns the wall clock's time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// Returns RowDescription, DataRow and CommandComplete for one row of one text value. `command_tag` is [`READ_TAG`] or
/// [`WRITE_TAG`].
pub fn row_messages(value: &str, command_tag: &str) -> Vec<u8> {
    row_messages_from_bytes(value.as_bytes(), command_tag)
}

/// Like [`row_messages`], for a value that need not be UTF-8.
pub fn row_messages_from_bytes(value: &[u8], command_tag: &str) -> Vec<u8> {
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
    put_message(&mut out, b'C', format!("{command_tag}\0").as_bytes());
    out
}

/// Appends what follows each answer of a server: its role `mode` (`read-write` or `read-only`) and its replication
/// position in milliseconds since the Unix epoch, each in a ParameterStatus message of its own, and ReadyForQuery.
pub fn put_status(out: &mut Vec<u8>, mode: &str, position: u128) {
    put_message(out, b'S', format!("mode\0{mode}\0").as_bytes());
    put_message(out, b'S', format!("wal_time\0{position}\0").as_bytes());
    put_message(out, b'Z', b"I");
}

/// Returns a server's complete answer to an empty query.
pub fn empty_query_response(mode: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'I', b"");
    put_status(&mut out, mode, unix_ms());
    out
}

/// Command tag of a read that returned one row.
pub const READ_TAG: &str = "SELECT 1";
/// Command tag of a write that inserted one row.
pub const WRITE_TAG: &str = "INSERT 0 1";

/// Reads one message and returns its type byte and its body; `None` where the stream ends or fails. Panics where the
/// stream's read timeout passes without a byte.
pub fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    if let Err(e) = stream.read_exact(&mut head) {
        // A read timeout must not be taken for the end of the connection.
        assert!(
            !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            "no message within the read timeout"
        );
        return None;
    }
    let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// Returns a complete HTTP 200 response with this body.
pub fn http_ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns one entry of the discovery service's `targets`, as JSON. The field `later` stands for one that a future
/// version adds, which a gateway has to ignore.
pub fn target(uid: &str, address: &str, state: &str, mode: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","pod_group":2,"state":"{state}","mode":"{mode}","later":1}}"#
    )
}

/// Returns an endpoint list as JSON: revision `rev`, complete or (where `all` is false) only what changed.
pub fn endpoint_list(rev: u32, all: bool, targets: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
}

thread_local! {
    /// The next request id; each thread (so each test) counts by itself.
    static NEXT_ID: Cell<u32> = const { Cell::new(0x9b) };
}

/// Returns the SQL comment that carries a request's metadata: a new id, `request_class`, tenant `acme`, a deadline of
/// 60 s, the idempotency key `5c` and replica set 2.
pub fn request_comment(request_class: &str) -> String {
    format!(
        "/* id={:x},c={request_class},t=acme,d=60000,k=5c,cluster=2 */",
        NEXT_ID.replace(NEXT_ID.get() + 1)
    )
}

/// Returns a read of one record, with the metadata of [`request_comment`].
pub fn select(request_class: &str) -> String {
    format!(
        "SELECT v FROM records WHERE k = '7f3a' {}",
        request_comment(request_class)
    )
}

/// Returns a write of one record, with the metadata of [`request_comment`].
pub fn insert(request_class: &str) -> String {
    format!(
        "INSERT INTO records (k, v) VALUES ('7f3a', '\\x9f') RETURNING v {}",
        request_comment(request_class)
    )
}

/// Returns how long the gateway waits for the server's answer, in milliseconds: the field `d` of the statement's comment.
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

/// Returns a Query message with this SQL text.
pub fn query_message(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'Q', format!("{text}\0").as_bytes());
    out
}
