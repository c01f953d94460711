//! Owns the talk with discovery's agent: the whole list at first, then a watch without a gap, in HTTP/1.1.
//!
//! It tells the exchange what it was told, as what it is. A failed ask leaves the list as it was; nothing
//! here judges a list or keeps one.

use std::cell::Cell;
use std::fmt::{self, Formatter};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use leverpoint::interface::{News, Phase};
use leverpoint_exchange::counters::add;
use leverpoint_exchange::exchange::{Entry, Exchange};
use leverpoint_ground::{Instant, now, plant, since, sleep, timeout_at};
use serde::Deserialize;
use serde::de::{Deserializer, SeqAccess, Visitor};
use serde_json::Value;
use tokio::sync::Notify;

use crate::ring::Link;

/// How long a watch may wait for news, in milliseconds. A change counts as told 6 s after discovery had it, whatever
/// became of the call that should have told it: a watch that has fallen silent is given up and the whole list asked
/// for well within that, with time for one more failure.
const WAIT_MS: u64 = 3_000;
/// The agent is on the gateway's own machine: what has not begun to come by then past its wait does not come.
const PAST_WAIT: Duration = Duration::from_secs(1);
/// A list that has begun may take as long again on a busy core, but no longer.
const WHOLE_WITHIN: Duration = Duration::from_secs(1);
/// After a failure so long is waited: an agent that refuses is not asked in a spin.
const AGAIN: Duration = Duration::from_millis(250);
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
    let mut record = CallRecord::new(log.clone());
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
        let asked_at = now();
        let answer = agent.ask(&path, wait).await;
        match answer.map(|body| told(&body)) {
            // Changes where the whole list was asked for say nothing of what else there is.
            Ok(Some(told)) if told.whole || held.is_some() => {
                add(&exchange.counters.lists);
                record.answered(&told);
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
                let why =
                    failed.err().unwrap_or_else(|| io::Error::new(ErrorKind::InvalidData, "not a list"));
                match why.kind() {
                    ErrorKind::TimedOut => add(&exchange.counters.list_timeouts),
                    ErrorKind::Other => add(&exchange.counters.list_refusals),
                    _ => {}
                }
                record.failed(&path, &why, asked_at, held);
                // What has changed meanwhile is not waited for: the whole list is asked for until one has come,
                // and where a list has to be asked for, once at once.
                if held.take().is_some() {
                    exchange.ask_once.set(true);
                }
                exchange.list(News::Failed, 0, &[]);
                sleep(AGAIN).await;
            }
        }
    }
}

/// So many servers that drain or are gone are named in the log line of a list.
const NAMED_IN_LOG: usize = 16;

/// What the log says of calls to discovery: every list that changes something, the first failure of a row, then each
/// time their number has doubled, and the end of the row.
struct CallRecord {
    log: slog::Logger,
    /// Calls failed since the last answer, and when the first of them was found out.
    failures: u64,
    failing_since: Option<Instant>,
    last_answer: Option<Instant>,
}

impl CallRecord {
    fn new(log: slog::Logger) -> Self {
        CallRecord { log, failures: 0, failing_since: None, last_answer: None }
    }

    fn answered(&mut self, list: &Told) {
        if let Some(began) = self.failing_since.take() {
            slog::info!(self.log, "discovery answers again"; "revision" => list.revision,
                "failed_calls" => self.failures, "failing_ms" => since(began).as_millis());
        }
        self.failures = 0;
        self.last_answer = Some(now());
        let named = |phase: Phase| {
            let of_phase = list.entries.iter().filter(|entry| entry.phase == phase);
            of_phase.take(NAMED_IN_LOG).map(|entry| entry.uid.as_str()).collect::<Vec<_>>().join(" ")
        };
        if !list.entries.is_empty() {
            slog::info!(self.log, "list"; "revision" => list.revision, "whole" => list.whole,
                "entries" => list.entries.len(), "draining" => named(Phase::Draining), "gone" => named(Phase::Gone));
        }
    }

    /// `held`: the revision that the gateway goes by meanwhile.
    fn failed(&mut self, call: &str, why: &io::Error, asked_at: Instant, held: Option<u64>) {
        self.failures += 1;
        self.failing_since.get_or_insert_with(now);
        if self.failures.is_power_of_two() {
            slog::warn!(self.log, "discovery failed"; "why" => why.to_string(), "call" => call,
                "took_ms" => since(asked_at).as_millis(), "failed_calls" => self.failures, "held" => held,
                "list_age_ms" => self.last_answer.map(|at| since(at).as_millis() as u64));
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
    /// The answer's body: begun within `wait`, whole soon after that.
    async fn ask(&mut self, path: &str, wait: Duration) -> io::Result<Vec<u8>> {
        let begun = Cell::new(false);
        let by = now() + wait;
        let mut asking = pin!(self.ask_once_more(path, &begun));
        match timeout_at(by, asking.as_mut()).await {
            Ok(answer) => answer,
            Err(_) if begun.get() => timeout_at(by + WHOLE_WITHIN, asking)
                .await
                .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())),
            Err(_) => Err(ErrorKind::TimedOut.into()),
        }
    }

    async fn ask_once_more(&mut self, path: &str, begun: &Cell<bool>) -> io::Result<Vec<u8>> {
        let ask =
            format!("GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.address);
        // A connection kept from the last ask may have been closed meanwhile: then once more on a new one.
        if let Some(mut link) = self.link.take()
            && link.write(&[ask.as_bytes()], &Cell::new(0)).await.is_ok()
        {
            match self.answer(link, begun).await {
                Err(e) if e.kind() == ErrorKind::UnexpectedEof || e.kind() == ErrorKind::ConnectionReset => {}
                answer => return answer,
            }
        }
        let mut link = Link::connect(self.address, None).await?;
        link.write(&[ask.as_bytes()], &Cell::new(0)).await?;
        self.answer(link, begun).await
    }

    /// Reads an answer whole; keeps the connection where the agent does.
    async fn answer(&mut self, mut link: Link, begun: &Cell<bool>) -> io::Result<Vec<u8>> {
        let head = read_to(&mut link, b"\r\n\r\n").await?.to_ascii_lowercase();
        begun.set(true);
        let mut lines = head.split("\r\n");
        let status = lines.next().unwrap_or_default();
        if !status.starts_with("http/1.") || status.split(' ').nth(1) != Some("200") {
            return Err(io::Error::other(format!("answered {status:.40}")));
        }
        let field = |name: &str| {
            let mut fields = head.split("\r\n").filter_map(|line| line.split_once(':'));
            fields.find(|(n, _)| n.trim() == name).map(|(_, value)| value.trim())
        };
        let chunked = field("transfer-encoding").is_some_and(|v| v.ends_with("chunked"));
        let length = field("content-length");
        // Where nothing tells its length a body runs to the close, whatever else is said of the connection.
        let endless = !chunked && length.is_none();
        let closes = endless || field("connection") == Some("close") || status.starts_with("http/1.0");
        let mut body = Vec::new();
        if chunked {
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
        } else if let Some(length) = length {
            let length = length.parse().map_err(|_| garbled())?;
            read_body(&mut link, &mut body, length).await?;
        } else {
            loop {
                let there = link.input.len();
                read_body(&mut link, &mut body, there).await?;
                match link.read().await {
                    Ok(_) => {}
                    // A reset is no end.
                    Err(e) if e.kind() == ErrorKind::UnexpectedEof => break,
                    Err(e) => return Err(e),
                }
            }
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
