//! Owns the connections of clients: admits them, reads their statements and writes each its answer.
//!
//! Commands of a connection are taken in turn, so its answers come in their order. It must never answer a
//! command twice, leave one without an answer while the client is there, or close a connection that has
//! something read or readable on it. Servers are not known here.

use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::counters::add;
use crate::exchange::{Exchange, Final};
use crate::message::{self, Read};
use crate::ring::{Link, Memory, Room};
use crate::serve::{Claim, Leaving};
use crate::statement::{self, Kind};

struct Client {
    link: Link,
    exchange: Rc<Exchange>,
    /// The longest that a client may take to say a message that it has begun, or to take an answer.
    patience: Duration,
    memory: Rc<Memory>,
    /// Else there is no room for one more, and its first command is sent back untouched.
    stays: bool,
    _claim: Claim,
}

impl Drop for Client {
    fn drop(&mut self) {
        add(&self.exchange.counters.clients.closed);
    }
}

/// Serves one connection to its end.
pub async fn serve(
    stream: TcpStream,
    exchange: Rc<Exchange>,
    memory: Rc<Memory>,
    leaving: Rc<Leaving>,
    claim: Claim,
    stays: bool,
) {
    add(&exchange.counters.clients.opened);
    let patience = exchange.longest_timeout();
    let link = Link::new(stream);
    let mut client = Client { link, exchange, patience, memory, stays, _claim: claim };
    // However it ends, it ends here; what was out for it is told to the exchange by its ticket.
    let _ = client.serve(&leaving).await;
}

/// What comes of it in that time; a time-out is an error like the others.
async fn within<T>(span: Duration, future: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(span, future).await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

impl Client {
    async fn serve(&mut self, leaving: &Leaving) -> io::Result<()> {
        if !self.admit().await? {
            return Ok(());
        }
        let lingers = self.exchange.connect_timeout();
        let mut skipping = false;
        let mut room = None;
        // When the message that is being read was begun.
        let mut begun = None;
        loop {
            let (tag, body) = match message::next(&mut self.link.input) {
                Read::Message(tag, body) => {
                    begun = None;
                    self.link.expect_usual();
                    (tag, body)
                }
                Read::Long(tag, whole) => {
                    begun = None;
                    self.pass_over(whole).await?;
                    self.refuse("54000", "the message is longer than is taken", tag == b'Q').await?;
                    skipping |= tag != b'Q';
                    continue;
                }
                Read::Broken => return self.part("08P01", "a message of impossible length").await,
                Read::Short(0) if self.link.input.is_empty() => {
                    tokio::select! {
                        biased;
                        read = self.link.read() => { read?; }
                        _ = leaving.asked(), if self.stays => return self.leave().await,
                        _ = sleep(lingers), if !self.stays => return self.leave().await,
                    }
                    continue;
                }
                Read::Short(length) => {
                    let more = async {
                        room = self.link.expect(length, &self.memory).await.or(room.take());
                        self.link.read().await
                    };
                    let by = *begun.get_or_insert_with(Instant::now) + self.patience;
                    match timeout_at(by, more).await {
                        Ok(read) => read?,
                        Err(_) => return self.part("08P01", "a message begun and not gone on with").await,
                    };
                    continue;
                }
            };
            match tag {
                b'X' => return Ok(()),
                b'S' => {
                    skipping = false;
                    self.conclude(Vec::new()).await?;
                }
                _ if skipping => {}
                b'Q' => {
                    self.query(body, room.take()).await?;
                    if !self.stays {
                        return self.leave().await;
                    }
                }
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                    skipping = tag != b'F';
                    self.refuse("0A000", "only simple queries are taken", tag == b'F').await?;
                }
                b'd' | b'c' | b'f' => {}
                _ => return self.part("08P01", "a message of unknown type").await,
            }
        }
    }

    /// Answers the startup packets; false where the connection ends with them.
    async fn admit(&mut self) -> io::Result<bool> {
        loop {
            let (code, _) = match message::startup(&mut self.link.input) {
                Ok(Some(packet)) => packet,
                Ok(None) => {
                    within(self.patience, self.link.read()).await?;
                    continue;
                }
                Err(()) => {
                    self.part("08P01", "a startup packet of impossible length").await?;
                    return Ok(false);
                }
            };
            match code {
                message::SSL | message::GSSENC => self.write(b"N").await?,
                message::CANCEL => return Ok(false),
                code if code >> 16 == 3 => {
                    self.write(&message::admitted(code & 0xffff)).await?;
                    return Ok(true);
                }
                _ => {
                    self.part("0A000", "only version 3 of the protocol is spoken").await?;
                    return Ok(false);
                }
            }
        }
    }

    async fn query(&mut self, mut body: Vec<u8>, _room: Option<Room>) -> io::Result<()> {
        if body.pop() != Some(0) || body.contains(&0) {
            return self.refuse("08P01", "a query must end with its only zero byte", true).await;
        }
        let Ok(text) = std::str::from_utf8(&body) else {
            return self.refuse("22021", "a query must be UTF-8", true).await;
        };
        let mut out = Vec::new();
        let said = match statement::read(text) {
            Ok(Kind::Empty) => {
                // A front asks in this way whether to send clients here.
                if timeout(self.patience, self.exchange.ready()).await.is_err() {
                    return self.refuse("57P03", "no list of servers yet", true).await;
                }
                message::put(&mut out, b'I', &[]);
                return self.conclude(out).await;
            }
            Ok(Kind::Session(word)) => {
                message::put(&mut out, b'C', &[word.as_bytes(), b"\0"]);
                return self.conclude(out).await;
            }
            Ok(Kind::Command(said)) => said,
            Err((code, why)) => return self.refuse(code, &why, true).await,
        };
        if !self.stays {
            add(&self.exchange.counters.clients.refused);
            message::error(&mut out, true, "53300", "too many connections", None);
            return self.write(&out).await;
        }
        let ticket = match self.exchange.arrived(&said, text) {
            Ok(ticket) => ticket,
            Err((code, why)) => return self.refuse(code, &why, true).await,
        };
        drop(body);
        let until = ticket.until.into();
        tokio::pin!(ticket);
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut ticket => break answer,
                _ = sleep_until(until) => break Final::Failed,
                // What comes meanwhile waits in the ring; an end of the connection ends the command.
                read = self.link.read() => { read?; }
            }
        };
        let mut rooms = Vec::new();
        match answer {
            Final::Answered(row) => {
                out = row.messages;
                rooms = row.rooms;
            }
            Final::Throttled(0) => message::error(&mut out, false, "53300", "throttled", None),
            Final::Throttled(ms) => {
                message::error(&mut out, false, "53300", "throttled", Some(&ms.to_string()));
            }
            Final::Failed => message::error(&mut out, false, "58000", "no server has answered", None),
        }
        let wrote = self.conclude(out).await;
        drop(rooms);
        wrote
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        within(self.patience, self.link.write(&[bytes], &mut 0)).await
    }

    /// Writes what is said and that the next message may come.
    async fn conclude(&mut self, mut out: Vec<u8>) -> io::Result<()> {
        message::ready(&mut out);
        self.write(&out).await
    }

    /// An error after which the connection goes on.
    async fn refuse(&mut self, code: &str, why: &str, ready: bool) -> io::Result<()> {
        add(&self.exchange.counters.bad_messages);
        let mut out = Vec::new();
        message::error(&mut out, false, code, why, None);
        if ready { self.conclude(out).await } else { self.write(&out).await }
    }

    /// An error with which the connection ends.
    async fn part(&mut self, code: &str, why: &str) -> io::Result<()> {
        add(&self.exchange.counters.bad_messages);
        let mut out = Vec::new();
        message::error(&mut out, true, code, why, None);
        self.write(&out).await?;
        self.leave().await
    }

    async fn pass_over(&mut self, mut bytes: usize) -> io::Result<()> {
        loop {
            bytes -= self.link.input.skip(bytes);
            if bytes == 0 {
                return Ok(());
            }
            within(self.patience, self.link.read()).await?;
        }
    }

    /// Ends the connection so that nothing the client has said is answered by a reset.
    async fn leave(&mut self) -> io::Result<()> {
        within(self.exchange.connect_timeout(), self.link.finish()).await
    }
}
