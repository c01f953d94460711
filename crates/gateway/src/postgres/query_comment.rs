//! The statement of a client's query: its quoted key, and the names and values of its comment.
//!
//! Names of the protocol stand here alone: `c` is the request class, `t` the tenant, `d` the client deadline, `k` the
//! idempotency key, `r` a client retry, `cluster` the replica set, `after` the session position.

use std::ops::Range;

use leverpoint_engine::engine::{RequestHeader, RequiredPosition};

/// The parts of a read around its key.
const READ: [&str; 2] = ["SELECT v FROM records WHERE k = '", "' /* "];
/// The parts of a write around its key and its value in hexadecimal digits.
const WRITE: [&str; 3] = [
    "INSERT INTO records (k, v) VALUES ('",
    "', '\\x",
    "') RETURNING v /* ",
];
/// Longest key or id in bytes; the protocol's have sixteen digits.
const MAX_NAME: usize = 1 << 10;

/// Length of a session token; a position has fewer digits.
const TOKEN_LENGTH: usize = leverpoint_sessions::TOKEN_LENGTH;

/// What a client's query asks for.
#[derive(Debug, PartialEq)]
pub enum Query<'a> {
    /// No statement at all.
    Empty,
    /// `SET`, `RESET` or `DISCARD`.
    Session(&'static str),
    /// A request to the databases.
    Request(RequestHeader<'a>),
}

/// The SQLSTATE and the reason for which a query is refused.
pub type Refusal = (&'static str, String);

fn refusal<T>(code: &'static str, text: impl Into<String>) -> Result<T, Refusal> {
    Err((code, text.into()))
}

/// Reads a query.
///
/// # Errors
///
/// The SQLSTATE and the reason, where the query is not in the protocol's form.
pub fn parse_query(text: &str) -> Result<Query<'_>, Refusal> {
    let body = text.trim_end_matches(|c: char| c.is_whitespace() || c == ';');
    if body.trim_start().is_empty() {
        return Ok(Query::Empty);
    }
    let first = body
        .trim_start()
        .split(|c: char| !c.is_ascii_alphabetic())
        .next()
        .unwrap_or("");
    for word in ["SET", "RESET", "DISCARD"] {
        if first.eq_ignore_ascii_case(word) && !body.contains(';') {
            return Ok(Query::Session(if word == "DISCARD" {
                "DISCARD ALL"
            } else {
                word
            }));
        }
    }
    let write = text.starts_with(WRITE[0]);
    if !write && !text.starts_with(READ[0]) {
        return refusal(
            "0A000",
            format!("expected one of the two statements in the form, found {first:.20}"),
        );
    }
    let Some((key, names)) = (if write {
        write_parts(text)
    } else {
        read_parts(text)
    }) else {
        return refusal(
            "42601",
            "expected a key in quotes, for a write a value, and a comment at the end",
        );
    };
    comment(text, names, key, write).map(Query::Request)
}

/// The key of a read, and where its comment stands.
fn read_parts(text: &str) -> Option<(&str, Range<usize>)> {
    let (key, rest) = text.strip_prefix(READ[0])?.split_once(READ[1])?;
    is_name(key).then_some((key, comment_range(text, rest)?))
}

/// The key of a write, and where its comment stands.
fn write_parts(text: &str) -> Option<(&str, Range<usize>)> {
    let (key, rest) = text.strip_prefix(WRITE[0])?.split_once(WRITE[1])?;
    let (value, rest) = rest.split_once(WRITE[2])?;
    let hex = value.len() % 2 == 0 && value.bytes().all(|b| b.is_ascii_hexdigit());
    (is_name(key) && hex).then_some((key, comment_range(text, rest)?))
}

fn is_name(name: &str) -> bool {
    let plain = |c: char| !c.is_control() && !"'\\/*,=".contains(c);
    (1..=MAX_NAME).contains(&name.len()) && name.trim() == name && name.chars().all(plain)
}

/// The inside of the comment that `rest`, the end of the text, consists of.
fn comment_range(text: &str, rest: &str) -> Option<Range<usize>> {
    rest.ends_with(" */")
        .then_some(text.len() - rest.len()..text.len() - 3)
}

/// Names that a comment may have, in the order of [`CommentValues`].
const NAMES: [&str; 8] = ["id", "c", "t", "d", "k", "r", "cluster", "after"];

/// The values of a comment in the order of [`NAMES`]; empty where a name is missing.
struct CommentValues<'a> {
    values: [&'a str; NAMES.len()],
    /// Where the value of `d` stands in the text.
    timeout_range: Range<usize>,
}

/// Reads the comment of a statement.
fn comment<'a>(
    text: &'a str,
    range: Range<usize>,
    key: &'a str,
    write: bool,
) -> Result<RequestHeader<'a>, Refusal> {
    let CommentValues {
        values,
        timeout_range,
    } = comment_values(text, range)?;
    let [
        id,
        class,
        tenant,
        timeout,
        idempotency_key,
        client_retry,
        set,
        after,
    ] = values;
    if [id, class, timeout, set].contains(&"") {
        return refusal("42601", "expected id, c, d and cluster in the comment");
    }
    let set = replica_set(set)?;
    if !["", "0", "1"].contains(&client_retry) {
        return refusal(
            "22023",
            format!("r: expected 0 or 1, found {client_retry:.30}"),
        );
    }
    Ok(RequestHeader {
        id,
        class,
        tenant: (!tenant.is_empty()).then_some(tenant),
        set,
        timeout_ms: number("d", timeout)?,
        idempotency_key,
        client_retry: client_retry == "1",
        required_position: session_position(after)?,
        session_key: key,
        write,
        timeout_range,
    })
}

/// Splits the comment at `range` of the text into its values.
fn comment_values(text: &str, range: Range<usize>) -> Result<CommentValues<'_>, Refusal> {
    let mut values = [""; NAMES.len()];
    let mut timeout_range = 0..0;
    let mut at = range.start;
    for pair in text[range].split(',') {
        let end = at + pair.len();
        at = end + 1;
        let Some((name, value)) = pair.split_once('=').filter(|(_, value)| is_name(value)) else {
            return refusal(
                "42601",
                format!("expected name=value in the comment, found {pair:.30}"),
            );
        };
        let Some(place) = NAMES.iter().position(|n| *n == name) else {
            return refusal(
                "42601",
                format!("expected one of {}, found {name:.30}", NAMES.join(", ")),
            );
        };
        if !std::mem::replace(&mut values[place], value).is_empty() {
            return refusal("42601", format!("{name}: expected once, found twice"));
        }
        if name == "d" {
            timeout_range = end - value.len()..end;
        }
    }
    Ok(CommentValues {
        values,
        timeout_range,
    })
}

/// Reads a number of digits and a fraction; other notations may be read differently at each end.
fn number(name: &str, value: &str) -> Result<f64, Refusal> {
    match value.parse::<f64>() {
        // Unix time in milliseconds stays below the bound for centuries.
        Ok(n) if n < 1e13 && value.bytes().all(|b| b.is_ascii_digit() || b == b'.') => Ok(n),
        _ => refusal(
            "22023",
            format!("{name}: expected a number from 0 to 1e13, found {value:.30}"),
        ),
    }
}

/// Reads the number of a replica set.
fn replica_set(text: &str) -> Result<u16, Refusal> {
    let number = text.parse().ok();
    match number.filter(|_| text.bytes().all(|b| b.is_ascii_digit())) {
        Some(number) => Ok(number),
        None => refusal(
            "22023",
            format!("cluster: expected a number, found {text:.30}"),
        ),
    }
}

/// Reads what the session must see: nothing, a session token, or a replication position.
fn session_position(text: &str) -> Result<Option<RequiredPosition<'_>>, Refusal> {
    Ok(match text {
        "" => None,
        token if token.len() == TOKEN_LENGTH => Some(RequiredPosition::Token(token)),
        _ => Some(RequiredPosition::UnixMs(number("after", text)?)),
    })
}
