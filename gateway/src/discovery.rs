//! Owns the talk with discovery's agent: the whole list at first, then a watch without a gap, in HTTP/1.1.
//!
//! It tells the exchange what it was told, as what it is. A failed ask leaves the list as it was; nothing
//! here judges a list or keeps one.

use std::cell::Cell;
use std::fmt::{self, Formatter};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverpoint::interface::{News, Phase};
use leverpoint_exchange::counters::add;
use leverpoint_exchange::exchange::{Entry, Exchange};
use leverpoint_ground::{plant, sleep, timeout};
use serde::Deserialize;
use serde::de::{Deserializer, SeqAccess, Visitor};
use serde_json::Value;
use tokio::sync::Notify;

use crate::ring::Link;

/// How long a watch may wait for news, in milliseconds: the protocol's own example.
const WAIT_MS: u64 = 20_000;
/// An answer counts as told so long after the wait has ended at the latest.
const PAST_WAIT: Duration = Duration::from_secs(2);
/// A list of ten thousand servers is below this.
const LONGEST: usize = 4 << 20;

/// A list as it came.
#[derive(Debug, PartialEq)]
pub struct Told {
    pub revision: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

/// Reads a list; an entry without what names it is left out.
pub fn told(text: &[u8]) -> Option<Told> {
    let List { rev, all, targets } = serde_json::from_slice(text).ok()?;
    Some(Told { revision: rev, whole: all, entries: targets.0 })
}

#[derive(Deserialize)]
struct List {
    rev: u64,
    all: bool,
    targets: Targets,
}

/// Entries, read one at a time: the tree of a list of ten thousand would take more than the smallest machine has.
struct Targets(Vec<Entry>);

impl<'de> Deserialize<'de> for Targets {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Each;

        impl<'de> Visitor<'de> for Each {
            type Value = Targets;

            fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str("a list of servers")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Targets, A::Error> {
                let mut entries = Vec::new();
                while let Some(value) = seq.next_element::<Value>()? {
                    entries.extend(entry(&value));
                }
                Ok(Targets(entries))
            }
        }

        from.deserialize_seq(Each)
    }
}

fn entry(value: &Value) -> Option<Entry> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    let number = |name: &str| value.get(name).and_then(Value::as_f64).filter(|n| *n >= 0.0);
    Some(Entry {
        uid: text("uid")?.to_owned(),
        endpoint: text("endpoint").and_then(|address| address.parse().ok()),
        zone: text("az").unwrap_or_default().to_owned(),
        set: number("pod_group").unwrap_or(0.0) as u16,
        phase: match text("state") {
            Some("up") => Phase::Ready,
            Some("draining") if !plant("drain-overlooked") => Phase::Draining,
            Some("draining") => Phase::Ready,
            _ => Phase::Gone,
        },
        primary: text("mode") == Some("read-write"),
        size: number("capacity_hint").unwrap_or(1.0),
        started_ms: number("boot_ms").unwrap_or(0.0),
    })
}

/// Where the agent is reached; another configuration may name another address.
pub struct Whereabouts {
    address: Cell<SocketAddr>,
    moved: Notify,
}

impl Whereabouts {
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Whereabouts { address: Cell::new(address), moved: Notify::new() })
    }

    /// Holds at once; whether it is another than before.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        let moved = self.address.replace(address) != address;
        if moved {
            self.moved.notify_one();
        }
        moved
    }
}

/// Follows the list for as long as the gateway runs. An agent elsewhere is asked for the whole list at once,
/// whatever was being waited for; until it has answered the list stands as it is.
pub async fn follow(agent: Rc<Whereabouts>, exchange: Rc<Exchange>, log: slog::Logger) {
    loop {
        tokio::select! {
            biased;
            _ = follow_at(agent.address.get(), &exchange, &log) => {}
            _ = agent.moved.notified() => exchange.ask_once.set(true),
        }
    }
}

async fn follow_at(agent: SocketAddr, exchange: &Rc<Exchange>, log: &slog::Logger) {
    let mut agent = Agent { address: agent, link: None };
    let mut held: Option<u64> = None;
    let mut failing = false;
    loop {
        if !exchange.following.get() && !exchange.ask_once.take() {
            exchange.list_wanted.notified().await;
            continue;
        }
        // From the first whole list on, what has changed since the one that is held.
        let (path, wait) = match held.filter(|_| exchange.following.get()) {
            Some(revision) => {
                let path = format!("/api/targets?index={revision}&wait={WAIT_MS}");
                (path, Duration::from_millis(WAIT_MS) + PAST_WAIT)
            }
            None => ("/api/targets".to_owned(), PAST_WAIT),
        };
        let answer = timeout(wait, agent.ask(&path)).await;
        let answer = answer.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        match answer.map(|body| told(&body)) {
            Ok(Some(told)) => {
                add(&exchange.counters.lists);
                if std::mem::replace(&mut failing, false) {
                    slog::info!(log, "discovery answers again");
                }
                let back = held.is_some_and(|held| told.revision < held);
                if told.whole || !back {
                    let news = if told.whole { News::Whole } else { News::Changes };
                    if told.whole || !told.entries.is_empty() {
                        exchange.list(news, told.revision, &told.entries);
                    }
                    held = Some(told.revision);
                } else {
                    // Changes of a revision before the one held: only the whole list tells what stands.
                    held = None;
                }
            }
            failed => {
                agent.link = None;
                add(&exchange.counters.list_failures);
                if !std::mem::replace(&mut failing, true) {
                    let why = failed.err().map_or("not a list".to_owned(), |e| e.to_string());
                    slog::warn!(log, "discovery failed"; "why" => why);
                }
                exchange.list(News::Failed, 0, &[]);
                sleep(exchange.connect_timeout()).await;
            }
        }
    }
}

struct Agent {
    address: SocketAddr,
    link: Option<Link>,
}

fn garbled() -> io::Error {
    ErrorKind::InvalidData.into()
}

impl Agent {
    async fn ask(&mut self, path: &str) -> io::Result<Vec<u8>> {
        let ask =
            format!("GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.address);
        // A connection kept from the last ask may have been closed meanwhile: then once more on a new one.
        if let Some(mut link) = self.link.take()
            && link.write(&[ask.as_bytes()], &Cell::new(0)).await.is_ok()
        {
            match self.answer(link).await {
                Err(e) if e.kind() == ErrorKind::UnexpectedEof || e.kind() == ErrorKind::ConnectionReset => {}
                answer => return answer,
            }
        }
        let mut link = Link::connect(self.address, None).await?;
        link.write(&[ask.as_bytes()], &Cell::new(0)).await?;
        self.answer(link).await
    }

    /// Reads an answer whole; keeps the connection where the agent does.
    async fn answer(&mut self, mut link: Link) -> io::Result<Vec<u8>> {
        let head = read_to(&mut link, b"\r\n\r\n").await?.to_ascii_lowercase();
        let mut lines = head.split("\r\n");
        let status = lines.next().unwrap_or_default();
        if !status.starts_with("http/1.") || status.split(' ').nth(1) != Some("200") {
            return Err(io::Error::other(format!("answered {status:.40}")));
        }
        let field = |name: &str| {
            let mut fields = head.split("\r\n").filter_map(|line| line.split_once(':'));
            fields.find(|(n, _)| n.trim() == name).map(|(_, value)| value.trim())
        };
        let closes = field("connection") == Some("close") || status.starts_with("http/1.0");
        let mut body = Vec::new();
        if field("transfer-encoding").is_some_and(|v| v.ends_with("chunked")) {
            loop {
                let line = read_to(&mut link, b"\r\n").await?;
                let digits = line.trim_end().split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(digits, 16).map_err(|_| garbled())?;
                read_body(&mut link, &mut body, size).await?;
                let mut end = Vec::new();
                read_body(&mut link, &mut end, 2).await?;
                if end != b"\r\n" {
                    return Err(garbled());
                }
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = field("content-length") {
            let length = length.parse().map_err(|_| garbled())?;
            read_body(&mut link, &mut body, length).await?;
        } else if closes {
            loop {
                let there = link.input.len();
                read_body(&mut link, &mut body, there).await?;
                match link.read().await {
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::UnexpectedEof => break,
                    Err(e) => return Err(e),
                }
            }
        } else {
            return Err(garbled());
        }
        if !closes {
            self.link = Some(link);
        }
        Ok(body)
    }
}

/// The text up to and with the first such end.
async fn read_to<const N: usize>(link: &mut Link, end: &[u8; N]) -> io::Result<String> {
    loop {
        if let Some(at) = (0..link.input.len()).find(|&at| link.input.peek::<N>(at) == Some(*end)) {
            return String::from_utf8(link.input.take(at + N)).map_err(|_| garbled());
        }
        if link.input.space() == 0 {
            return Err(garbled());
        }
        link.read().await?;
    }
}

async fn read_body(link: &mut Link, body: &mut Vec<u8>, length: usize) -> io::Result<()> {
    if length > LONGEST.saturating_sub(body.len()) {
        return Err(garbled());
    }
    let whole = body.len() + length;
    body.reserve_exact(length);
    loop {
        let there = link.input.len().min(whole - body.len());
        body.append(&mut link.input.take(there));
        if body.len() == whole {
            return Ok(());
        }
        link.read().await?;
    }
}
