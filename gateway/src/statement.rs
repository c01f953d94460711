//! Owns the reading of a client's statement: the comment's names and values, and the quoted key.
//!
//! It must never change a byte of what is passed on but the value of `d`, or let through what is not in the
//! form. Command groups, customers and zones are not known here, only their names.

use std::ops::Range;

/// A session's key longer than this is no key; the form's are sixteen digits.
const LONGEST_KEY: usize = 1 << 10;

/// What a statement says of itself.
#[derive(Debug, PartialEq)]
pub struct Said<'a> {
    pub group: &'a str,
    pub customer: Option<&'a str>,
    pub set: u16,
    /// How long the client will wait, in milliseconds.
    pub wait: f64,
    pub keyed: bool,
    pub repeat: bool,
    /// Position that the session must see, in Unix milliseconds.
    pub after: Option<f64>,
    /// The quoted key.
    pub key: &'a str,
    pub write: bool,
    /// Where the value of `d` stands.
    pub wait_at: Range<usize>,
}

/// What a client sends that is no statement in the form, but is answered all the same.
#[derive(Debug, PartialEq)]
pub enum Kind<'a> {
    Empty,
    /// `SET`, `RESET` or `DISCARD`.
    Session(&'static str),
    Command(Said<'a>),
}

/// A SQLSTATE and why.
pub type Wrong = (&'static str, String);

fn wrong<T>(code: &'static str, text: impl Into<String>) -> Result<T, Wrong> {
    Err((code, text.into()))
}

pub fn read(text: &str) -> Result<Kind<'_>, Wrong> {
    let body = text.trim_end_matches(|c: char| c.is_whitespace() || c == ';');
    if body.trim_start().is_empty() {
        return Ok(Kind::Empty);
    }
    let first = body.trim_start().split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("");
    for word in ["SET", "RESET", "DISCARD"] {
        if first.eq_ignore_ascii_case(word) && !body.contains(';') {
            return Ok(Kind::Session(if word == "DISCARD" { "DISCARD ALL" } else { word }));
        }
    }
    let write = first.eq_ignore_ascii_case("INSERT");
    if !write && !first.eq_ignore_ascii_case("SELECT") {
        return wrong("0A000", format!("expected SELECT or INSERT, found {first:.20}"));
    }
    let whole = |open: &usize| body.ends_with("*/") && body.len() >= open + 4;
    let Some(open) = body.rfind("/*").filter(whole) else {
        return wrong("42601", "expected a comment that names the command at the statement's end");
    };
    let key = quoted_key(&body[..open])?;
    comment(body, open + 2..body.len() - 2, key, write).map(Kind::Command)
}

/// The first quoted text of one statement: quotes closed, nothing behind a semicolon, no further comment.
fn quoted_key(sql: &str) -> Result<&str, Wrong> {
    let mut key = None;
    let mut opened = None;
    for (at, byte) in sql.bytes().enumerate() {
        match (byte, opened) {
            (b'\'', None) => opened = Some(at + 1),
            (b'\'', Some(from)) => {
                key = key.or(Some(&sql[from..at]));
                opened = None;
            }
            (b';', None) => return wrong("42601", "expected one statement, found a semicolon inside it"),
            (b'/', None) if sql.as_bytes().get(at + 1) == Some(&b'*') => {
                return wrong("42601", "expected one comment, found a second");
            }
            _ => {}
        }
    }
    match key {
        _ if opened.is_some() => wrong("42601", "expected a closing quote"),
        None => wrong("42601", "expected a quoted key"),
        Some(key) if key.len() > LONGEST_KEY => wrong("54000", "the quoted key is too long"),
        Some(key) => Ok(key),
    }
}

fn comment<'a>(text: &'a str, range: Range<usize>, key: &'a str, write: bool) -> Result<Said<'a>, Wrong> {
    let number = |name: &str, value: &str| match value.parse::<f64>() {
        Ok(n) if n.is_finite() && n >= 0.0 => Ok(n),
        _ => wrong("22023", format!("{name}: expected a number of 0 or more, found {value:.30}")),
    };
    let (mut id, mut group, mut set, mut wait) = (None, None, None, None);
    let (mut customer, mut keyed, mut repeat, mut after) = (None, false, false, None);
    let mut at = range.start;
    for pair in text[range].split(',') {
        let begin = at;
        at += pair.len() + 1;
        let Some((name, value)) = pair.split_once('=') else {
            return wrong("42601", format!("expected name=value in the comment, found {pair:.30}"));
        };
        let value_at = begin + name.len() + 1 + (value.len() - value.trim_start().len());
        let value = value.trim();
        match name.trim() {
            "id" => id = Some(value),
            "c" => group = Some(value),
            "t" => customer = Some(value),
            "d" => wait = Some((number("d", value)?, value_at..value_at + value.len())),
            "k" => keyed = !value.is_empty(),
            "r" => repeat = value == "1",
            "after" => after = Some(number("after", value)?),
            "cluster" => match value.parse() {
                Ok(number) => set = Some(number),
                Err(_) => return wrong("22023", format!("cluster: expected a number, found {value:.30}")),
            },
            _ => {}
        }
    }
    match (id.filter(|id| !id.is_empty()), group, set, wait) {
        (Some(_), Some(group), Some(set), Some((wait, wait_at))) => {
            Ok(Said { group, customer, set, wait, keyed, repeat, after, key, write, wait_at })
        }
        _ => wrong("42601", "expected id, c, d and cluster in the comment"),
    }
}
