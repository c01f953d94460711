//! Owns a client that says what it is told to and prints what it hears.
//!
//! It must never send anything again by itself.

use std::io::Write;
use std::net::TcpStream;

use crate::wire::{query_message, read_message};

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// What comes up to ReadyForQuery, or to the end, in one line.
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

    pub fn run_statement(&mut self, text: &str) -> String {
        self.send(&query_message(text));
        self.read_response()
    }
}

/// The detail of the notice before an answer.
pub fn notice_detail(heard: &[u8]) -> Option<String> {
    let mut rest = heard;
    while let Some((tag, body)) = read_message(&mut rest) {
        if tag == b'N' {
            let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'D'))?;
            return Some(String::from_utf8_lossy(&field[1..]).into_owned());
        }
    }
    None
}

/// What an answer, from its first byte up to ReadyForQuery, is to the client that is owed this value.
pub fn classify_response(heard: &[u8], owed: &[u8]) -> ResponseOutcome {
    let mut rest = heard;
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
    if value.as_deref() == Some(owed) {
        ResponseOutcome::Answered
    } else {
        ResponseOutcome::Wrong
    }
}

/// What a whole answer is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseOutcome {
    Answered,
    /// A row with a value that was not made for this command.
    Wrong,
    /// With the milliseconds to come back in, 0 where none are said.
    Throttled(u64),
    Failed,
}
