//! Owns clients that read or write slowly, by the hundred, and counts what becomes of them.
//!
//! They come back a moment after they were let go, and when they are told to after they were sent back. What they were owed and did not get is counted as lost only
//! where the gateway ended it itself before their client timeout. They must never read faster than they are to.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::client::{ResponseOutcome, classify_response};
use crate::values::expected_value;
use crate::wire::{STARTUP_MESSAGE, query_message};

/// How one of them behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientBehavior {
    /// Asks and never reads.
    NeverReads,
    /// Reads so many bytes a second.
    ReadsAtRate(usize),
    /// Reads well up to so many bytes, then not for so long, then well.
    PausesReading(usize, Duration),
    /// Says half a statement and no more.
    SendsHalfStatement,
    /// Says its statement so many bytes at a time, with a pause before each next.
    WritesInPieces(usize, Duration),
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    pub request_class: String,
    pub tenant: String,
    pub replica_set: u16,
    /// Bytes of the answer.
    pub value_length: usize,
    /// The client timeout.
    pub timeout: Duration,
}

/// What became of a crowd's commands and connections.
#[derive(Debug, Default)]
pub struct ClientCounters {
    pub connected: AtomicU64,
    pub requests: AtomicU64,
    pub answered: AtomicU64,
    pub throttled: AtomicU64,
    pub failed: AtomicU64,
    /// The connection ended, in the middle of an answer or before it, after the client timeout.
    pub ended_after_timeout: AtomicU64,
    /// The connection ended before anything was said on it to that command, which may go again on another.
    pub ended_before_response: AtomicU64,
    /// The connection ended within the client timeout in the middle of an answer.
    pub lost: AtomicU64,
    pub wrong: AtomicU64,
}

pub fn increment(count: &AtomicU64) {
    count.fetch_add(1, Relaxed);
}

/// A crowd at work; it ends when it is dropped.
pub struct SlowClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// How long one waits before it comes back.
const COMES_BACK: Duration = Duration::from_millis(50);
/// How often one that does nothing looks whether it is to stop.
const LOOK: Duration = Duration::from_millis(100);
/// Most that its kernel takes for one, in bytes: a phone's buffer is larger, and hides it for as long.
const BUFFER: usize = 2 << 10;

impl SlowClients {
    /// One client for each habit, all coming in the same moment.
    pub fn start(
        to: SocketAddr,
        habits: &[ClientBehavior],
        asks: &RequestSpec,
        seen: &Arc<ClientCounters>,
        first: u64,
    ) -> SlowClients {
        let stop = Arc::new(AtomicBool::new(false));
        let member = |(n, habit): (usize, &ClientBehavior)| {
            let member = Member {
                to,
                habit: *habit,
                asks: asks.clone(),
                seen: seen.clone(),
                stop: stop.clone(),
                name: format!("{:x}", first + n as u64),
                next: 0,
            };
            thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || member.run())
                .ok()
        };
        let threads = habits.iter().enumerate().filter_map(member).collect();
        SlowClients { stop, threads }
    }
}

impl Drop for SlowClients {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

struct Member {
    to: SocketAddr,
    habit: ClientBehavior,
    asks: RequestSpec,
    seen: Arc<ClientCounters>,
    stop: Arc<AtomicBool>,
    name: String,
    next: u64,
}

fn slow_connection(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.set_recv_buffer_size(BUFFER)?;
    socket.connect_timeout(&to.into(), Duration::from_secs(2))?;
    socket.set_read_timeout(Some(LOOK))?;
    socket.set_write_timeout(Some(LOOK))?;
    Ok(socket.into())
}

impl Member {
    fn run(mut self) {
        while !self.stop.load(Relaxed) {
            if let Ok(mut stream) = slow_connection(self.to) {
                increment(&self.seen.connected);
                let _ = self.talk(&mut stream);
            }
            sleep(COMES_BACK);
        }
    }

    fn stopped(&self) -> io::Result<()> {
        if self.stop.load(Relaxed) {
            Err(io::ErrorKind::Interrupted.into())
        } else {
            Ok(())
        }
    }

    /// Reads what comes now, up to so much; 0 bytes after a look in which nothing came.
    fn some(&self, stream: &mut TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
        self.stopped()?;
        match stream.read(bytes) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                Ok(0)
            }
            read => read,
        }
    }

    /// Commands one after the other on one connection, until it ends.
    fn talk(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(STARTUP_MESSAGE)?;
        let mut admitted = Vec::new();
        let mut bytes = [0; 512];
        while !admitted.ends_with(b"Z\0\0\0\x05I") {
            let n = self.some(stream, &mut bytes)?;
            admitted.extend_from_slice(&bytes[..n]);
        }
        loop {
            self.next += 1;
            let id = format!("{}c{}", self.name, self.next);
            let (asks, wait) = (&self.asks, self.asks.timeout.as_millis());
            let text = format!(
                "SELECT v FROM records WHERE k = '{}-{}' /* id={id},c={},t={},d={wait},cluster={} */",
                asks.value_length, self.name, asks.request_class, asks.tenant, asks.replica_set
            );
            let bytes = query_message(&text);
            match self.habit {
                ClientBehavior::SendsHalfStatement => {
                    stream.write_all(&bytes[..bytes.len() / 2])?;
                    self.hold_on(stream)?;
                }
                ClientBehavior::WritesInPieces(at_a_time, pause) => {
                    for piece in bytes.chunks(at_a_time) {
                        self.stopped()?;
                        stream.write_all(piece)?;
                        sleep(pause);
                    }
                }
                _ => stream.write_all(&bytes)?,
            }
            increment(&self.seen.requests);
            let sent = Instant::now();
            let mut heard = Vec::new();
            let told = match self.hear(stream, &mut heard) {
                Ok(()) => self.judge(&id, &heard),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => return Err(e),
                Err(e) => {
                    let seen = &self.seen;
                    increment(if sent.elapsed() >= self.asks.timeout {
                        &seen.ended_after_timeout
                    } else if heard.is_empty() {
                        &seen.ended_before_response
                    } else if heard[0] == b'E' {
                        // Sent back with an error, whole or cut by what follows it.
                        &seen.throttled
                    } else {
                        &seen.lost
                    });
                    return Err(e);
                }
            };
            // One that is sent back comes when it was told to, else a moment later.
            let until = Instant::now() + told.max(COMES_BACK);
            while Instant::now() < until {
                self.stopped()?;
                sleep(LOOK.min(until.saturating_duration_since(Instant::now())));
            }
        }
    }

    /// Waits, without a word, for the connection's end.
    fn hold_on(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut bytes = [0; 64];
        loop {
            self.some(stream, &mut bytes)?;
        }
    }

    /// Reads an answer up to ReadyForQuery, as its habit is.
    fn hear(&self, stream: &mut TcpStream, heard: &mut Vec<u8>) -> io::Result<()> {
        let mut bytes = [0; 1 << 10];
        let mut stopped = false;
        while !heard.ends_with(b"Z\0\0\0\x05I") {
            match self.habit {
                ClientBehavior::NeverReads => {
                    // An end without a word, a reset, can be told without reading.
                    self.stopped()?;
                    sleep(LOOK);
                    if let Some(e) = stream.take_error()? {
                        return Err(e);
                    }
                }
                ClientBehavior::ReadsAtRate(rate) => {
                    let at_a_time = rate.div_ceil(10).min(bytes.len());
                    let n = self.some(stream, &mut bytes[..at_a_time])?;
                    heard.extend_from_slice(&bytes[..n]);
                    self.stopped()?;
                    sleep(Duration::from_secs_f64(n as f64 / rate as f64));
                }
                ClientBehavior::PausesReading(after, span) if heard.len() >= after && !stopped => {
                    stopped = true;
                    let until = Instant::now() + span;
                    while Instant::now() < until {
                        self.stopped()?;
                        sleep(LOOK);
                    }
                }
                _ => {
                    let n = self.some(stream, &mut bytes)?;
                    heard.extend_from_slice(&bytes[..n]);
                }
            }
        }
        Ok(())
    }

    /// Counts an answer; after how long to come again, where it says so.
    fn judge(&self, id: &str, heard: &[u8]) -> Duration {
        let seen = &self.seen;
        match classify_response(heard, &expected_value(id, self.asks.value_length)) {
            ResponseOutcome::Answered => increment(&seen.answered),
            ResponseOutcome::Wrong => increment(&seen.wrong),
            ResponseOutcome::Throttled(ms) => {
                increment(&seen.throttled);
                return Duration::from_millis(ms);
            }
            ResponseOutcome::Failed => increment(&seen.failed),
        }
        Duration::ZERO
    }
}
