//! A database server: the primary of a set or a replica of it, which applies the primary's log in order.
//!
//! Positions are Unix times in milliseconds. A primary stands at the present; a replica stands where its log replay is.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::{Record, unix_ms};
use crate::wire;

/// How far a replica is behind when it keeps up.
const USUAL_LAG_MS: f64 = 10.0;

/// A period in which a replica applies the log `factor` times more slowly.
#[derive(Clone, Copy)]
pub struct SlowReplay {
    pub from_ms: f64,
    pub until_ms: f64,
    pub factor: f64,
}

/// Position of a replica at the Unix time `at`, for slow periods that do not overlap. After one it has caught up at once.
pub fn replica_position(slow: &[SlowReplay], at: f64) -> f64 {
    let usual = at - USUAL_LAG_MS;
    slow.iter()
        .find(|period| (period.from_ms..period.until_ms).contains(&at))
        .map_or(usual, |period| {
            period.from_ms - USUAL_LAG_MS + (at - period.from_ms) / period.factor
        })
}

/// The commits of a set, and the idempotency keys that it remembers.
#[derive(Default)]
pub struct Log(Mutex<Commits>);

#[derive(Default)]
struct Commits {
    /// Oldest first: position, key of the row and value.
    rows: Vec<(f64, String, String)>,
    /// By idempotency key: when the write last ran, and how often it has run.
    runs: HashMap<String, (f64, u32)>,
}

/// Time for which a set drops repeats of a keyed write, from when it ran.
pub const REMEMBERS_MS: f64 = 2_000.0;

impl Log {
    /// Runs a write, or drops it as a repeat; returns its position, and how often it has run if it ran now.
    fn commit(&self, mark: &str, key: &str, value: &str) -> (f64, Option<u32>) {
        let mut commits = self.0.lock().unwrap();
        let now = unix_ms();
        let (at, times) = commits.runs.get(mark).copied().unwrap_or_default();
        if times > 0 && now - at < REMEMBERS_MS {
            return (at, None);
        }
        commits.runs.insert(mark.to_owned(), (now, times + 1));
        commits.rows.push((now, key.to_owned(), value.to_owned()));
        (now, Some(times + 1))
    }

    fn read(&self, key: &str, position: f64) -> String {
        let commits = self.0.lock().unwrap();
        let visible = commits
            .rows
            .iter()
            .rev()
            .find(|(at, k, _)| *at <= position && k == key);
        visible.map_or("nothing".to_owned(), |(_, _, value)| value.clone())
    }

    /// How many writes have run more than once.
    pub fn run_twice(&self) -> usize {
        let commits = self.0.lock().unwrap();
        commits
            .runs
            .values()
            .filter(|(_, times)| *times > 1)
            .count()
    }

    /// Whether the write with this idempotency key has run.
    pub fn has_run(&self, mark: &str) -> bool {
        self.0.lock().unwrap().runs.contains_key(mark)
    }
}

pub struct Behaviour {
    pub name: String,
    pub primary: bool,
    pub work: Duration,
    pub slow: Vec<SlowReplay>,
    /// Whether it closes the connection right behind the row of this statement.
    pub closes_behind_row: Box<dyn Fn(&str) -> bool + Send + Sync>,
}

impl Behaviour {
    pub fn sound(name: &str, primary: bool, work_ms: u64) -> Behaviour {
        Behaviour {
            name: name.to_owned(),
            primary,
            work: Duration::from_millis(work_ms),
            slow: Vec::new(),
            closes_behind_row: Box::new(|_| false),
        }
    }
}

/// Starts a server and returns its address.
pub fn start(behaviour: Behaviour, log: &Arc<Log>, record: &Arc<Record>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0")
        .unwrap_or_else(|e| crate::cannot_run(&format!("no address: {e}")));
    let address = listener.local_addr().unwrap().to_string();
    let shared = Arc::new((behaviour, log.clone(), record.clone()));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || {
                let _ = serve(stream, &shared.0, &shared.1, &shared.2);
            });
        }
    });
    address
}

fn serve(
    mut stream: TcpStream,
    own: &Behaviour,
    log: &Log,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    wire::read_startup(&mut stream)?;
    stream.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")?;
    loop {
        let (tag, body) = wire::read_message(&mut stream)?;
        if tag != b'Q' {
            return Ok(());
        }
        let (received_ms, received_unix) = (record.ms(), unix_ms());
        let text = String::from_utf8_lossy(&body)
            .trim_end_matches('\0')
            .to_owned();
        if text.is_empty() {
            let mut out = Vec::new();
            wire::put_message(&mut out, b'I', b"");
            out.extend(wire::status(own.primary, position(own)));
            stream.write_all(&out)?;
            continue;
        }
        let write = text.starts_with("INSERT");
        let (mut out, data, result) = if write && !own.primary {
            (wire::error("25006"), position(own), "25006")
        } else {
            thread::sleep(own.work);
            if write {
                let value = text
                    .split('\'')
                    .nth(3)
                    .unwrap_or_default()
                    .trim_start_matches("\\x");
                let mark = wire::field(&text, "k").unwrap_or_default();
                let (at, times) = log.commit(mark, wire::key(&text), value);
                let result = match times {
                    Some(1) => "ran",
                    Some(_) => "RAN AGAIN",
                    None => "dropped as a repeat",
                };
                (wire::row(value.as_bytes(), true), at, result)
            } else {
                let at = position(own);
                let value = log.read(wire::key(&text), at);
                (wire::row(value.as_bytes(), false), at, "ran")
            }
        };
        let executed = !result.starts_with(['5', '2']);
        record.line(&format!(
            "{} received id={} c={} k={} at {received_ms:.1}, {result}, data {:.0} ms old when it was received",
            own.name,
            wire::field(&text, "id").unwrap_or_default(),
            wire::field(&text, "c").unwrap_or_default(),
            wire::field(&text, "k").unwrap_or("-"),
            (received_unix - data).max(0.0),
        ));
        if executed && (own.closes_behind_row)(&text) {
            record.line(&format!(
                "{} closes the connection behind that row",
                own.name
            ));
            stream.write_all(&out)?;
            return stream.shutdown(Shutdown::Both);
        }
        // Of a write the position is its commit.
        let reported = if write && executed {
            data
        } else {
            position(own)
        };
        out.extend(wire::status(own.primary, reported));
        stream.write_all(&out)?;
    }
}

fn position(own: &Behaviour) -> f64 {
    let now = unix_ms();
    if own.primary {
        now
    } else {
        replica_position(&own.slow, now)
    }
}
