//! Parses a client's query: the statement with its quoted key, and the request header in its comment.
//!
//! The names of the header's fields are defined here alone: `id` is the request's id, `c` the request class, `t` the
//! tenant, `d` the client deadline, `k` the idempotency key, `r` a client retry, `cluster` the replica set, `after` the
//! session position.

use std::ops::Range;

use leverpoint_engine::engine::{RequestHeader, RequiredPosition};

/// The text of a read around its key.
const READ_TEMPLATE: [&str; 2] = ["SELECT v FROM records WHERE k = '", "' /* "];
/// The text of a write around its key and its value in hexadecimal digits.
const WRITE_TEMPLATE: [&str; 3] = [
    "INSERT INTO records (k, v) VALUES ('",
    "', '\\x",
    "') RETURNING v /* ",
];
/// Longest key or value of a header field in bytes; the protocol's keys and ids have sixteen digits.
const MAX_VALUE_LENGTH: usize = 1 << 10;

/// Length of a session token in bytes; a replication position has fewer digits.
const TOKEN_LENGTH: usize = leverpoint_sessions::TOKEN_LENGTH;

/// A parsed query of a client.
#[derive(Debug, PartialEq)]
pub enum Query<'a> {
    /// No statement.
    Empty,
    /// `SET`, `RESET` or `DISCARD`; holds the command tag of the answer.
    Session(&'static str),
    /// A request to the databases.
    Request(RequestHeader<'a>),
}

/// The SQLSTATE and the message of the error that a query is answered with.
pub type QueryError = (&'static str, String);

fn query_error<T>(code: &'static str, text: impl Into<String>) -> Result<T, QueryError> {
    Err((code, text.into()))
}

/// Parses the text of a query.
///
/// # Errors
///
/// The query is neither empty, nor a session statement, nor one of the protocol's two statements.
pub fn parse_query(text: &str) -> Result<Query<'_>, QueryError> {
    let body = text.trim_end_matches(|c: char| c.is_whitespace() || c == ';');
    if body.trim_start().is_empty() {
        return Ok(Query::Empty);
    }
    let first = body
        .trim_start()
        .split(|c: char| !c.is_ascii_alphabetic())
        .next()
        .unwrap_or("");
    for command in ["SET", "RESET", "DISCARD"] {
        if first.eq_ignore_ascii_case(command) && !body.contains(';') {
            return Ok(Query::Session(if command == "DISCARD" {
                "DISCARD ALL"
            } else {
                command
            }));
        }
    }
    let write = text.starts_with(WRITE_TEMPLATE[0]);
    if !write && !text.starts_with(READ_TEMPLATE[0]) {
        return query_error(
            "0A000",
            format!("expected one of the two statements in the form, found {first:.20}"),
        );
    }
    let Some((key, comment)) = (if write {
        parse_write(text)
    } else {
        parse_read(text)
    }) else {
        return query_error(
            "42601",
            "expected a key in quotes, for a write a value, and a comment at the end",
        );
    };
    parse_header(text, comment, key, write).map(Query::Request)
}

/// Returns the key of a read and the range of its comment in the text; none if it is malformed.
fn parse_read(text: &str) -> Option<(&str, Range<usize>)> {
    let (key, rest) = text
        .strip_prefix(READ_TEMPLATE[0])?
        .split_once(READ_TEMPLATE[1])?;
    is_plain_value(key).then_some((key, comment_range(text, rest)?))
}

/// Returns the key of a write and the range of its comment in the text; none if it is malformed.
fn parse_write(text: &str) -> Option<(&str, Range<usize>)> {
    let (key, rest) = text
        .strip_prefix(WRITE_TEMPLATE[0])?
        .split_once(WRITE_TEMPLATE[1])?;
    let (value, rest) = rest.split_once(WRITE_TEMPLATE[2])?;
    let is_hex = value.len() % 2 == 0 && value.bytes().all(|b| b.is_ascii_hexdigit());
    (is_plain_value(key) && is_hex).then_some((key, comment_range(text, rest)?))
}

/// Returns whether a key or a value of a header field can stand in a statement without escapes.
fn is_plain_value(value: &str) -> bool {
    let is_plain = |c: char| !c.is_control() && !"'\\/*,=".contains(c);
    (1..=MAX_VALUE_LENGTH).contains(&value.len())
        && value.trim() == value
        && value.chars().all(is_plain)
}

/// Returns the range of the comment's content in `text`, of which `rest` is the end after the comment's start.
fn comment_range(text: &str, rest: &str) -> Option<Range<usize>> {
    rest.ends_with(" */")
        .then_some(text.len() - rest.len()..text.len() - 3)
}

/// Names of the header's fields, in the order of [`HeaderValues::values`].
const FIELD_NAMES: [&str; 8] = ["id", "c", "t", "d", "k", "r", "cluster", "after"];

/// The unparsed values of the header's fields.
struct HeaderValues<'a> {
    /// In the order of [`FIELD_NAMES`]; empty if the field is missing.
    values: [&'a str; FIELD_NAMES.len()],
    /// The range of `d`'s value in the text.
    timeout_range: Range<usize>,
}

/// Parses the request header in the comment at `range` of the text.
fn parse_header<'a>(
    text: &'a str,
    range: Range<usize>,
    key: &'a str,
    write: bool,
) -> Result<RequestHeader<'a>, QueryError> {
    let HeaderValues {
        values,
        timeout_range,
    } = split_header(text, range)?;
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
        return query_error("42601", "expected id, c, d and cluster in the comment");
    }
    let set = parse_replica_set(set)?;
    if !["", "0", "1"].contains(&client_retry) {
        return query_error(
            "22023",
            format!("r: expected 0 or 1, found {client_retry:.30}"),
        );
    }
    Ok(RequestHeader {
        id,
        class,
        tenant: (!tenant.is_empty()).then_some(tenant),
        set,
        timeout_ms: parse_number("d", timeout)?,
        idempotency_key,
        client_retry: client_retry == "1",
        required_position: parse_session_position(after)?,
        session_key: key,
        write,
        timeout_range,
    })
}

/// Splits the comment at `range` of the text into the values of its fields.
fn split_header(text: &str, range: Range<usize>) -> Result<HeaderValues<'_>, QueryError> {
    let mut values = [""; FIELD_NAMES.len()];
    let mut timeout_range = 0..0;
    let mut start = range.start;
    for pair in text[range].split(',') {
        let end = start + pair.len();
        start = end + 1;
        let Some((name, value)) = pair
            .split_once('=')
            .filter(|(_, value)| is_plain_value(value))
        else {
            return query_error(
                "42601",
                format!("expected name=value in the comment, found {pair:.30}"),
            );
        };
        let Some(index) = FIELD_NAMES.iter().position(|n| *n == name) else {
            return query_error(
                "42601",
                format!(
                    "expected one of {}, found {name:.30}",
                    FIELD_NAMES.join(", ")
                ),
            );
        };
        if !std::mem::replace(&mut values[index], value).is_empty() {
            return query_error("42601", format!("{name}: expected once, found twice"));
        }
        if name == "d" {
            timeout_range = end - value.len()..end;
        }
    }
    Ok(HeaderValues {
        values,
        timeout_range,
    })
}

/// Parses a decimal number without sign and exponent; other notations might be read differently by client, gateway and
/// server.
fn parse_number(name: &str, value: &str) -> Result<f64, QueryError> {
    match value.parse::<f64>() {
        // Unix time in milliseconds stays below the bound for centuries.
        Ok(n) if n < 1e13 && value.bytes().all(|b| b.is_ascii_digit() || b == b'.') => Ok(n),
        _ => query_error(
            "22023",
            format!("{name}: expected a number from 0 to 1e13, found {value:.30}"),
        ),
    }
}

/// Parses the number of a replica set.
fn parse_replica_set(text: &str) -> Result<u16, QueryError> {
    let number = text.parse().ok();
    match number.filter(|_| text.bytes().all(|b| b.is_ascii_digit())) {
        Some(number) => Ok(number),
        None => query_error(
            "22023",
            format!("cluster: expected a number, found {text:.30}"),
        ),
    }
}

/// Parses the position that the session must see: none, a session token, or a replication position.
fn parse_session_position(text: &str) -> Result<Option<RequiredPosition<'_>>, QueryError> {
    Ok(match text {
        "" => None,
        token if token.len() == TOKEN_LENGTH => Some(RequiredPosition::Token(token)),
        _ => Some(RequiredPosition::UnixMs(parse_number("after", text)?)),
    })
}
