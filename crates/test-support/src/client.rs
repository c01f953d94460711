//! A PostgreSQL client that sends what a test gives it and renders the server's messages as text, and the
//! classification of a complete response. The client never retries by itself.

use std::io::Write;
use std::net::TcpStream;

use crate::wire::{query_message, read_message};

/// A client's end of a connection.
pub struct Client {
    /// The connection; [`crate::gateway::Gateway::connect`] sets a read timeout on it.
    pub stream: TcpStream,
}

impl Client {
    /// Writes these bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads messages up to ReadyForQuery or the end of the connection, and renders them in one line: an error as `E`
    /// with its SQLSTATE (`C...`) and detail (`D...`), a row as `D` with its value, or with its length where the message
    /// body is longer than 100 bytes, the end of the connection as `end`, any other message as its type byte.
    /// ParameterStatus and Authentication are left out.
    pub fn read_response(&mut self) -> String {
        let mut out = String::new();
        loop {
            let Some((tag, body)) = read_message(&mut self.stream) else {
                return out + "end";
            };
            let fields = || {
                body.split(|b| *b == 0)
                    .map(|f| String::from_utf8_lossy(f).into_owned())
            };
            match tag {
                b'E' => {
                    out += &fields()
                        .filter(|f| f.starts_with(['C', 'D']))
                        .fold("E ".to_owned(), |a, f| a + &f + " ");
                }
                b'D' if body.len() > 100 => out += &format!("D of {} bytes ", body.len() - 6),
                b'D' => out += &format!("D {} ", String::from_utf8_lossy(&body[6..])),
                b'Z' => return out + "Z",
                b'S' | b'R' => {}
                tag => out += &format!("{} ", tag as char),
            }
        }
    }

    /// Sends a Query message and returns its response as [`Client::read_response`] renders it.
    pub fn run_statement(&mut self, text: &str) -> String {
        self.send(&query_message(text));
        self.read_response()
    }
}

/// Returns the detail field of the first NoticeResponse in a response.
pub fn notice_detail(response: &[u8]) -> Option<String> {
    let mut rest = response;
    while let Some((tag, body)) = read_message(&mut rest) {
        if tag == b'N' {
            let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'D'))?;
            return Some(String::from_utf8_lossy(&field[1..]).into_owned());
        }
    }
    None
}

/// Classifies a response, given from its first byte up to ReadyForQuery, for a client that expects `expected` as the
/// row's value.
pub fn classify_response(response: &[u8], expected: &[u8]) -> ResponseOutcome {
    let mut rest = response;
    let mut value = None;
    while let Some((tag, body)) = read_message(&mut rest) {
        match tag {
            b'D' => value = body.get(6..).map(<[u8]>::to_vec),
            b'E' => {
                let field = |tag: u8| {
                    let mut fields = body.split(|b| *b == 0).filter(|f| f.first() == Some(&tag));
                    fields
                        .next()
                        .and_then(|f| std::str::from_utf8(&f[1..]).ok())
                };
                return match field(b'C') {
                    Some("53300" | "57P03") => ResponseOutcome::Throttled(
                        field(b'D').and_then(|ms| ms.parse().ok()).unwrap_or(0),
                    ),
                    _ => ResponseOutcome::Failed,
                };
            }
            _ => {}
        }
    }
    if value.as_deref() == Some(expected) {
        ResponseOutcome::Answered
    } else {
        ResponseOutcome::Wrong
    }
}

/// Classification of a complete response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseOutcome {
    /// A row with the expected value.
    Answered,
    /// A response without an error whose row is missing or holds another value.
    Wrong,
    /// SQLSTATE 53300 or 57P03: the request was refused for overload. Holds the milliseconds after which to retry, 0 where
    /// the error names none.
    Throttled(u64),
    /// Any other error.
    Failed,
}
