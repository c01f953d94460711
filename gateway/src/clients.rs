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
use crate::descriptors::{Claim, Leaving, Shown};
use crate::exchange::{Exchange, Final};
use crate::message::{self, Read};
use crate::ring::{Link, Memory, Room};
use crate::statement::{self, Kind};

/// In this time a client has to say its startup packet whole, and later any message that it has begun: a bad
/// one is owed an error or a close within 3 s of connecting, and a second is kept for a busy core.
const SHOWN_WITHIN: Duration = Duration::from_secs(2);

struct Client {
    link: Link,
    exchange: Rc<Exchange>,
    /// The longest that a client may take to take an answer.
    patience: Duration,
    memory: Rc<Memory>,
    /// Else there is no room for one more, and its first command is sent back untouched.
    stays: bool,
    _claim: Claim,
}

/// What a wait for more of a message has come to.
enum Came {
    Bytes,
    Nothing,
    /// It is to leave in order.
    Leave,
    /// It has never asked anything and makes room for others, at once.
    MakeRoom,
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
        let began = Instant::now();
        let admitted = tokio::select! {
            biased;
            admitted = timeout_at(began + SHOWN_WITHIN, self.admit()) => admitted,
            _ = leaving.asked(Shown::Nothing, began) => return Ok(()),
        };
        let Ok(admitted) = admitted else {
            return self.part("08P01", "no startup packet in time").await;
        };
        if !admitted? {
            return Ok(());
        }
        let mut shown = Shown::Startup;
        let mut skipping = false;
        let mut room = None;
        // By when the message that is being read must be whole.
        let mut due = None;
        loop {
            let (tag, body) = match message::next(&mut self.link.input) {
                Read::Message(tag, body) => (tag, body),
                Read::Long => return self.part("54000", "the message is longer than is taken").await,
                Read::Broken => return self.part("08P01", "a message of impossible length").await,
                Read::Short(length) => {
                    if !self.link.input.is_empty() {
                        due = due.or(Some(Instant::now() + SHOWN_WITHIN));
                    }
                    let since = if shown == Shown::Startup { began } else { Instant::now() };
                    match self.more(length, &mut room, due, leaving, (shown, since)).await? {
                        Came::Bytes => continue,
                        Came::Nothing => return self.part("08P01", "no whole message in time").await,
                        Came::Leave => return self.leave().await,
                        Came::MakeRoom => return Ok(()),
                    }
                }
            };
            (due, shown) = (None, Shown::Message);
            self.link.expect_usual();
            let room = room.take();
            match tag {
                b'X' => return Ok(()),
                b'S' => {
                    skipping = false;
                    self.conclude(Vec::new()).await?;
                }
                _ if skipping => {}
                b'Q' => {
                    self.query(body, room).await?;
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

    /// Waits for more of a message of that length.
    async fn more(
        &mut self,
        length: usize,
        room: &mut Option<Room>,
        due: Option<Instant>,
        leaving: &Leaving,
        (shown, since): (Shown, Instant),
    ) -> io::Result<Came> {
        let lingers = self.exchange.connect_timeout();
        let idle = self.link.input.is_empty();
        if idle && shown == Shown::Message {
            leaving.one_more_idle(self.exchange.open());
        }
        let may_leave = self.stays && (idle || (shown == Shown::Startup && !leaving.all()));
        let bytes = async {
            self.link.expect(length, &self.memory, room).await;
            self.link.read().await
        };
        tokio::select! {
            biased;
            read = bytes => read.map(|_| Came::Bytes),
            _ = leaving.asked(shown, since), if may_leave => Ok(match shown {
                // One that has begun to ask something is heard, unless it is one of too many.
                _ if leaving.all() && !idle => Came::Bytes,
                Shown::Startup if !leaving.all() => Came::MakeRoom,
                _ => Came::Leave,
            }),
            _ = sleep(lingers), if !self.stays => Ok(Came::Leave),
            _ = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => Ok(Came::Nothing),
        }
    }

    /// Answers the startup packets; false where the connection ends with them.
    async fn admit(&mut self) -> io::Result<bool> {
        loop {
            let (code, _) = match message::startup(&mut self.link.input) {
                Ok(Some(packet)) => packet,
                Ok(None) => {
                    self.link.read().await?;
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
        let until = ticket.until;
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

    /// Ends the connection so that nothing the client has said is answered by a reset, up to a bound.
    async fn leave(&mut self) -> io::Result<()> {
        within(self.exchange.connect_timeout(), self.link.finish(message::LONGEST)).await
    }
}
