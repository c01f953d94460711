//! A client: one connection to the gateway, one request at a time.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::wire;

#[derive(Debug, PartialEq)]
pub enum Answer {
    Row(String),
    /// SQLSTATE of the error.
    Error(String),
    /// The connection ended or stayed silent.
    None,
}

pub struct Client {
    stream: Option<TcpStream>,
    address: String,
}

static LAST_ID: AtomicU64 = AtomicU64::new(0x9b1f_0000_0000);

/// A new request id.
pub fn new_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed))
}

impl Client {
    pub fn new(address: &str) -> Client {
        Client {
            stream: None,
            address: address.to_owned(),
        }
    }

    fn connect(&mut self) -> Option<&mut TcpStream> {
        if self.stream.is_none() {
            let mut stream = TcpStream::connect(&self.address).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
            stream.write_all(wire::STARTUP).ok()?;
            while wire::read_message(&mut stream).ok()?.0 != b'Z' {}
            self.stream = Some(stream);
        }
        self.stream.as_mut()
    }

    /// Sends a query and waits for its answer.
    pub fn query(&mut self, text: &str) -> Answer {
        let answer = self.try_query(text);
        if answer.is_none() {
            self.stream = None;
        }
        answer.unwrap_or(Answer::None)
    }

    fn try_query(&mut self, text: &str) -> Option<Answer> {
        let stream = self.connect()?;
        let mut out = Vec::new();
        wire::put_message(&mut out, b'Q', &[text.as_bytes(), b"\0"].concat());
        stream.write_all(&out).ok()?;
        let mut answer = None;
        loop {
            let (tag, body) = wire::read_message(stream).ok()?;
            match tag {
                b'D' => {
                    answer = Some(Answer::Row(
                        String::from_utf8_lossy(&body[6..]).into_owned(),
                    ))
                }
                b'E' => {
                    let fields = body.split(|b| *b == 0);
                    let code = fields
                        .into_iter()
                        .find_map(|f| f.strip_prefix(b"C"))
                        .unwrap_or_default();
                    answer = Some(Answer::Error(String::from_utf8_lossy(code).into_owned()));
                }
                b'I' => answer = Some(Answer::Row(String::new())),
                b'Z' => return answer,
                _ => {}
            }
        }
    }
}
