//! Owns the honest clients: each asks at moments set beforehand, reads at once and comes back when it is told.
//!
//! A command's time counts from the moment it was due, retries included. It must never skip a command that is due.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use fastrand::Rng;
use leverpoint_test_support::client::ResponseOutcome;
use leverpoint_test_support::client::classify_response;
use leverpoint_test_support::values::expected_value;
use leverpoint_test_support::wire::{STARTUP_MESSAGE, query_message};

use crate::measurements::Record;

/// How long an honest client waits for an answer.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Each asks ten commands a second on the mean: a scorekeeping app at a round's close.
const BETWEEN_S: f64 = 0.1;
/// A client that was told no time waits so long.
const COMES_BACK: Duration = Duration::from_millis(50);

/// What honest clients ask: command group, bytes of the answer, how often of twenty.
const ASKS: [(&str, usize, u8); 4] = [
    ("view", 300, 10),
    ("view", 8 << 10, 3),
    ("own", 300, 4),
    ("report", 64, 3),
];

/// Whether what was heard is an error, whole, that says to try again.
fn sent_back(heard: &[u8]) -> bool {
    let length = heard
        .get(1..5)
        .map_or(0, |l| u32::from_be_bytes([l[0], l[1], l[2], l[3]]) as usize);
    heard.len() > length && matches!(classify_response(heard, b""), ResponseOutcome::Throttled(_))
}

/// Clients at work in one period; what they have measured comes when they are asked for it.
pub(crate) struct Honest {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<(Record, Line)>>,
}

/// A client's connection and chance, which go on from period to period.
pub(crate) struct Line {
    to: SocketAddr,
    stream: Option<TcpStream>,
    chance: Rng,
    name: String,
    next: u64,
}

impl Line {
    pub(crate) fn new(to: SocketAddr, name: String, seed: u64) -> Line {
        Line {
            to,
            stream: None,
            chance: Rng::with_seed(seed),
            name,
            next: 0,
        }
    }
}

impl Honest {
    pub(crate) fn start(lines: Vec<Line>, began: Instant, seconds: usize) -> Honest {
        let stop = Arc::new(AtomicBool::new(false));
        let thread = |mut line: Line| {
            let stop = stop.clone();
            let work = move || {
                let mut record = Record::new(seconds);
                line.period(&stop, began, &mut record);
                (record, line)
            };
            thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(work)
                .expect("a thread")
        };
        let threads = lines.into_iter().map(thread).collect();
        Honest { stop, threads }
    }

    /// Ends the period: what was measured, and the clients for the next.
    pub(crate) fn end(self) -> (Record, Vec<Line>) {
        self.stop.store(true, Relaxed);
        let mut all = Record::new(0);
        let lines = self.threads.into_iter().map(|thread| {
            let (record, line) = thread.join().expect("an honest client ends by itself");
            all.join(&record);
            line
        });
        let lines = lines.collect();
        (all, lines)
    }
}

impl Line {
    fn period(&mut self, stop: &AtomicBool, began: Instant, record: &mut Record) {
        let mut due = Instant::now();
        loop {
            due += Duration::from_secs_f64(-BETWEEN_S * (1.0 - self.chance.f64()).ln());
            sleep(due.saturating_duration_since(Instant::now()));
            if stop.load(Relaxed) {
                return;
            }
            self.command(due, began, record);
        }
    }

    /// One command to its end, as often as it is told to come again.
    fn command(&mut self, due: Instant, began: Instant, record: &mut Record) {
        record.asked += 1;
        let mut pick = self.chance.u8(..20);
        let kind = ASKS.iter().position(|(.., often)| {
            let found = pick < *often;
            pick = pick.wrapping_sub(*often);
            found
        });
        let kind = kind.unwrap_or(0);
        let (group, length, _) = &ASKS[kind];
        let ends = due + TIMEOUT;
        self.next += 1;
        let key = format!("{}k{}", self.name, self.next);
        let mut crossed = false;
        loop {
            self.next += 1;
            let id = format!("{}c{}", self.name, self.next);
            let wait = ends.saturating_duration_since(Instant::now()).as_millis();
            if wait == 0 {
                record.failed += 1;
                return;
            }
            let comment =
                |more: &str| format!("/* id={id},c={group},t=honest,d={wait}{more},cluster=2 */");
            let text = if *group == "report" {
                format!(
                    "INSERT INTO records (k, v) VALUES ('s-{}', '\\x9f') RETURNING v {}",
                    self.name,
                    comment(&format!(",k={key}"))
                )
            } else {
                format!(
                    "SELECT v FROM records WHERE k = '{length}-{}' {}",
                    self.name,
                    comment("")
                )
            };
            let mut heard = Vec::new();
            match self.ask(&text, ends, &mut heard) {
                Ok(()) => match classify_response(&heard, &expected_value(&id, *length)) {
                    ResponseOutcome::Answered => {
                        let at_ms = began.elapsed().as_millis() as u64;
                        return record.answered(at_ms, due.elapsed().as_micros() as u64, kind);
                    }
                    ResponseOutcome::Wrong => {
                        record.wrong += 1;
                        return;
                    }
                    ResponseOutcome::Throttled(ms) => {
                        record.throttled += 1;
                        let pause = if ms == 0 {
                            COMES_BACK
                        } else {
                            Duration::from_millis(ms)
                        };
                        sleep(pause.min(ends.saturating_duration_since(Instant::now())));
                    }
                    ResponseOutcome::Failed => {
                        record.failed += 1;
                        return;
                    }
                },
                // An error with which the connection ends is a whole answer.
                Err(_) if heard.starts_with(b"E") && sent_back(&heard) => {
                    self.stream = None;
                    record.throttled += 1;
                    sleep(COMES_BACK.min(ends.saturating_duration_since(Instant::now())));
                }
                Err(e) => {
                    self.stream = None;
                    if Instant::now() >= ends || e.kind() == io::ErrorKind::TimedOut {
                        record.failed += 1;
                        return;
                    }
                    // It may have crossed the connection's end: once more on another, as the protocol says.
                    if !heard.is_empty() || std::mem::replace(&mut crossed, true) {
                        record.lost += 1;
                        return;
                    }
                }
            }
        }
    }

    /// Asks on the connection there is, or on a new one, and reads up to ReadyForQuery.
    fn ask(&mut self, text: &str, ends: Instant, heard: &mut Vec<u8>) -> io::Result<()> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.to, TIMEOUT)?;
            stream.set_nodelay(true)?;
            self.stream = Some(stream);
            self.hear(STARTUP_MESSAGE, ends, heard)?;
            heard.clear();
        }
        self.hear(&query_message(text), ends, heard)
    }

    fn hear(&mut self, says: &[u8], ends: Instant, heard: &mut Vec<u8>) -> io::Result<()> {
        let Some(stream) = &mut self.stream else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        stream.write_all(says)?;
        let mut bytes = [0; 16 << 10];
        while !heard.ends_with(b"Z\0\0\0\x05I") {
            let left = ends.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(left))?;
            match stream.read(&mut bytes) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => heard.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
