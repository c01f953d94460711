//! Clients that read or write slowly, hundreds at once, and counters of what became of their requests.
//!
//! A client reconnects shortly after its connection has ended, and sends its next request after a throttled one when the
//! error says so. A response that was cut off counts as lost only where the gateway ended the connection before the client
//! timeout.
//!
//! # Invariants
//!
//! A client reads no faster than its [`ClientBehavior`] says.

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

/// How a client reads responses or writes its statements.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientBehavior {
    /// Sends its request and never reads.
    NeverReads,
    /// Reads this many bytes per second.
    ReadsAtRate(usize),
    /// Reads at full speed until it has this many bytes of a response, pauses for this time, then reads on at full speed.
    PausesReading(usize, Duration),
    /// Sends the first half of its statement and nothing more.
    SendsHalfStatement,
    /// Sends its statement in pieces of this many bytes, with a pause after each.
    WritesInPieces(usize, Duration),
}

/// The request that each client repeats.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Request class, field `c` of the comment.
    pub request_class: String,
    /// Tenant, field `t`.
    pub tenant: String,
    /// Replica set, field `cluster`.
    pub replica_set: u16,
    /// Length of the row's value in bytes.
    pub value_length: usize,
    /// The client timeout, field `d`.
    pub timeout: Duration,
}

/// Counters of the clients' connections and of the outcomes of their requests.
#[derive(Debug, Default)]
pub struct ClientCounters {
    /// Connections made.
    pub connected: AtomicU64,
    /// Statements sent whole.
    pub requests: AtomicU64,
    /// Responses with the expected value.
    pub answered: AtomicU64,
    /// Requests refused for overload, and those whose connection ended within an error response.
    pub throttled: AtomicU64,
    /// Responses with any other error.
    pub failed: AtomicU64,
    /// The connection ended before or within a response, after the client timeout.
    pub ended_after_timeout: AtomicU64,
    /// The connection ended before the first byte of a response, within the client timeout; the request may be sent again on
    /// another connection.
    pub ended_before_response: AtomicU64,
    /// The connection ended within a response that was no error, within the client timeout.
    pub lost: AtomicU64,
    /// Responses without the expected value.
    pub wrong: AtomicU64,
}

/// Adds one to a counter.
pub fn increment(count: &AtomicU64) {
    count.fetch_add(1, Relaxed);
}

/// Running clients, a thread each. Dropping it stops them and joins their threads.
pub struct SlowClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Delay before a client reconnects, and before its next request where the error names no longer one.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// How often an idle client checks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Size of the kernel's receive buffer in bytes. It is small because unread bytes in a buffer hide from the gateway that
/// the client reads slowly; a phone's buffer is larger.
const RECEIVE_BUFFER_BYTES: usize = 2 << 10;

impl SlowClients {
    /// Starts one client for each behavior, all at once. `first` is the number of the first client; a client's number in
    /// hexadecimal is its name, with which its request ids and keys begin.
    pub fn start(
        to: SocketAddr,
        behaviors: &[ClientBehavior],
        request: &RequestSpec,
        counters: &Arc<ClientCounters>,
        first: u64,
    ) -> SlowClients {
        let stop = Arc::new(AtomicBool::new(false));
        let start_client = |(n, behavior): (usize, &ClientBehavior)| {
            let client = SlowClient {
                to,
                behavior: *behavior,
                request: request.clone(),
                counters: counters.clone(),
                stop: stop.clone(),
                name: format!("{:x}", first + n as u64),
                request_count: 0,
            };
            thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || client.run())
                .ok()
        };
        let threads = behaviors
            .iter()
            .enumerate()
            .filter_map(start_client)
            .collect();
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

struct SlowClient {
    to: SocketAddr,
    behavior: ClientBehavior,
    request: RequestSpec,
    counters: Arc<ClientCounters>,
    stop: Arc<AtomicBool>,
    name: String,
    request_count: u64,
}

fn slow_connection(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect_timeout(&to.into(), Duration::from_secs(2))?;
    socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
    socket.set_write_timeout(Some(STOP_CHECK_INTERVAL))?;
    Ok(socket.into())
}

impl SlowClient {
    /// Connects again and again until the client has to stop.
    fn run(mut self) {
        while !self.stop.load(Relaxed) {
            if let Ok(mut stream) = slow_connection(self.to) {
                increment(&self.counters.connected);
                let _ = self.send_requests(&mut stream);
            }
            sleep(RECONNECT_DELAY);
        }
    }

    /// Fails with `Interrupted` once the client has to stop.
    fn check_stop(&self) -> io::Result<()> {
        if self.stop.load(Relaxed) {
            Err(io::ErrorKind::Interrupted.into())
        } else {
            Ok(())
        }
    }

    /// Reads what is there, up to the length of `bytes`; returns 0 where nothing comes for [`STOP_CHECK_INTERVAL`].
    fn read_some(&self, stream: &mut TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
        self.check_stop()?;
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

    /// Sends requests one after the other on one connection, until it ends.
    fn send_requests(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(STARTUP_MESSAGE)?;
        let mut startup_response = Vec::new();
        let mut bytes = [0; 512];
        while !startup_response.ends_with(b"Z\0\0\0\x05I") {
            let n = self.read_some(stream, &mut bytes)?;
            startup_response.extend_from_slice(&bytes[..n]);
        }
        loop {
            self.request_count += 1;
            let id = format!("{}c{}", self.name, self.request_count);
            let (request, wait) = (&self.request, self.request.timeout.as_millis());
            let text = format!(
                "SELECT v FROM records WHERE k = '{}-{}' /* id={id},c={},t={},d={wait},cluster={} */",
                request.value_length,
                self.name,
                request.request_class,
                request.tenant,
                request.replica_set
            );
            let bytes = query_message(&text);
            match self.behavior {
                ClientBehavior::SendsHalfStatement => {
                    stream.write_all(&bytes[..bytes.len() / 2])?;
                    self.wait_for_close(stream)?;
                }
                ClientBehavior::WritesInPieces(at_a_time, pause) => {
                    for piece in bytes.chunks(at_a_time) {
                        self.check_stop()?;
                        stream.write_all(piece)?;
                        sleep(pause);
                    }
                }
                _ => stream.write_all(&bytes)?,
            }
            increment(&self.counters.requests);
            let sent = Instant::now();
            let mut response = Vec::new();
            let retry_after = match self.read_response(stream, &mut response) {
                Ok(()) => self.count_response(&id, &response),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => return Err(e),
                Err(e) => {
                    let counters = &self.counters;
                    increment(if sent.elapsed() >= self.request.timeout {
                        &counters.ended_after_timeout
                    } else if response.is_empty() {
                        &counters.ended_before_response
                    } else if response[0] == b'E' {
                        // Throttled: an error response, whole or cut off by the end of the connection.
                        &counters.throttled
                    } else {
                        &counters.lost
                    });
                    return Err(e);
                }
            };
            // A throttled client retries when the error says, any other continues after the usual delay.
            let until = Instant::now() + retry_after.max(RECONNECT_DELAY);
            while Instant::now() < until {
                self.check_stop()?;
                sleep(STOP_CHECK_INTERVAL.min(until.saturating_duration_since(Instant::now())));
            }
        }
    }

    /// Sends nothing and waits for the end of the connection.
    fn wait_for_close(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut bytes = [0; 64];
        loop {
            self.read_some(stream, &mut bytes)?;
        }
    }

    /// Reads a response up to ReadyForQuery, as the client's behavior says.
    fn read_response(&self, stream: &mut TcpStream, response: &mut Vec<u8>) -> io::Result<()> {
        let mut bytes = [0; 1 << 10];
        let mut paused = false;
        while !response.ends_with(b"Z\0\0\0\x05I") {
            match self.behavior {
                ClientBehavior::NeverReads => {
                    // A reset of the connection is noticed without reading.
                    self.check_stop()?;
                    sleep(STOP_CHECK_INTERVAL);
                    if let Some(e) = stream.take_error()? {
                        return Err(e);
                    }
                }
                ClientBehavior::ReadsAtRate(rate) => {
                    let at_a_time = rate.div_ceil(10).min(bytes.len());
                    let n = self.read_some(stream, &mut bytes[..at_a_time])?;
                    response.extend_from_slice(&bytes[..n]);
                    self.check_stop()?;
                    sleep(Duration::from_secs_f64(n as f64 / rate as f64));
                }
                ClientBehavior::PausesReading(after, span)
                    if response.len() >= after && !paused =>
                {
                    paused = true;
                    let until = Instant::now() + span;
                    while Instant::now() < until {
                        self.check_stop()?;
                        sleep(STOP_CHECK_INTERVAL);
                    }
                }
                _ => {
                    let n = self.read_some(stream, &mut bytes)?;
                    response.extend_from_slice(&bytes[..n]);
                }
            }
        }
        Ok(())
    }

    /// Counts a response; returns the delay that a throttling error names, zero otherwise.
    fn count_response(&self, id: &str, response: &[u8]) -> Duration {
        let counters = &self.counters;
        match classify_response(response, &expected_value(id, self.request.value_length)) {
            ResponseOutcome::Answered => increment(&counters.answered),
            ResponseOutcome::Wrong => increment(&counters.wrong),
            ResponseOutcome::Throttled(ms) => {
                increment(&counters.throttled);
                return Duration::from_millis(ms);
            }
            ResponseOutcome::Failed => increment(&counters.failed),
        }
        Duration::ZERO
    }
}
