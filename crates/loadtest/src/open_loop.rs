//! Well-behaved clients that generate an open-loop load: requests are due at random intervals, whatever the response
//! times. Each client reads responses without delay and retries when the gateway tells it to.
//!
//! A client runs one request at a time, so a slow response delays the requests due after it. Latency is therefore
//! counted from the time a request was due, retries included.
//!
//! # Invariants
//!
//! No due request is skipped, except at the end of a period.

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

use crate::measurements::Measurements;

/// How long a client waits for a response, from the time that the request is due, and for a TCP connection.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Mean interval between the requests of one client, in seconds: ten requests a second, the rate of a scorekeeping app
/// at the end of a round.
const MEAN_INTERVAL_S: f64 = 0.1;
/// Delay before a retry if the error names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Request mix: request class, length of the value in bytes, and weight out of 20.
const REQUEST_MIX: [(&str, usize, u8); 4] = [
    ("view", 300, 10),
    ("view", 8 << 10, 3),
    ("own", 300, 4),
    ("report", 64, 3),
];

/// Whether `response` is a complete error response that asks for a retry.
fn is_throttled_response(response: &[u8]) -> bool {
    let length = response
        .get(1..5)
        .map_or(0, |l| u32::from_be_bytes([l[0], l[1], l[2], l[3]]) as usize);
    response.len() > length
        && matches!(
            classify_response(response, b""),
            ResponseOutcome::Throttled(_)
        )
}

/// The running clients of one period, one thread each.
pub(crate) struct OpenLoopClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<(Measurements, OpenLoopClient)>>,
}

/// State of a client, which is kept from period to period.
pub(crate) struct OpenLoopClient {
    address: SocketAddr,
    stream: Option<TcpStream>,
    rng: Rng,
    name: String,
    next_id: u64,
}

impl OpenLoopClient {
    /// A client that connects to `address` with its first request. `name` makes its request IDs unique.
    pub(crate) fn new(address: SocketAddr, name: String, seed: u64) -> OpenLoopClient {
        OpenLoopClient {
            address,
            stream: None,
            rng: Rng::with_seed(seed),
            name,
            next_id: 0,
        }
    }
}

impl OpenLoopClients {
    /// Starts a thread for each client. Times of responses are relative to `started_at`; `seconds` is the length of the
    /// period.
    pub(crate) fn start(
        clients: Vec<OpenLoopClient>,
        started_at: Instant,
        seconds: usize,
    ) -> OpenLoopClients {
        let stop = Arc::new(AtomicBool::new(false));
        let spawn_client = |mut client: OpenLoopClient| {
            let stop = stop.clone();
            let run = move || {
                let mut measurements = Measurements::new(seconds);
                client.run_period(&stop, started_at, &mut measurements);
                (measurements, client)
            };
            thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(run)
                .expect("spawn a client thread")
        };
        let threads = clients.into_iter().map(spawn_client).collect();
        OpenLoopClients { stop, threads }
    }

    /// Ends the period once each client has finished its current request. Returns the combined measurements, and the
    /// clients for the next period.
    pub(crate) fn end(self) -> (Measurements, Vec<OpenLoopClient>) {
        self.stop.store(true, Relaxed);
        let mut all = Measurements::new(0);
        let clients = self.threads.into_iter().map(|thread| {
            let (measurements, client) = thread.join().expect("client thread panicked");
            all.merge(&measurements);
            client
        });
        let clients = clients.collect();
        (all, clients)
    }
}

impl OpenLoopClient {
    /// Runs requests at exponentially distributed intervals until `stop` is set.
    fn run_period(
        &mut self,
        stop: &AtomicBool,
        started_at: Instant,
        measurements: &mut Measurements,
    ) {
        let mut due = Instant::now();
        loop {
            due += Duration::from_secs_f64(-MEAN_INTERVAL_S * (1.0 - self.rng.f64()).ln());
            sleep(due.saturating_duration_since(Instant::now()));
            if stop.load(Relaxed) {
                return;
            }
            self.run_request(due, started_at, measurements);
        }
    }

    /// Runs one request, with retries, until it is answered or fails or [`CLIENT_TIMEOUT`] is over.
    fn run_request(&mut self, due: Instant, started_at: Instant, measurements: &mut Measurements) {
        measurements.requests += 1;
        let mut pick = self.rng.u8(..20);
        let kind = REQUEST_MIX.iter().position(|(.., weight)| {
            let matches_pick = pick < *weight;
            pick = pick.wrapping_sub(*weight);
            matches_pick
        });
        let kind = kind.unwrap_or(0);
        let (request_class, length, _) = &REQUEST_MIX[kind];
        let deadline = due + CLIENT_TIMEOUT;
        self.next_id += 1;
        let idempotency_key = format!("{}k{}", self.name, self.next_id);
        let mut resent = false;
        loop {
            self.next_id += 1;
            let id = format!("{}c{}", self.name, self.next_id);
            let timeout_ms = deadline
                .saturating_duration_since(Instant::now())
                .as_millis();
            if timeout_ms == 0 {
                measurements.failed += 1;
                return;
            }
            let comment = |extra: &str| {
                format!("/* id={id},c={request_class},t=honest,d={timeout_ms}{extra},cluster=2 */")
            };
            let text = if *request_class == "report" {
                format!(
                    "INSERT INTO records (k, v) VALUES ('s-{}', '\\x9f') RETURNING v {}",
                    self.name,
                    comment(&format!(",k={idempotency_key}"))
                )
            } else {
                format!(
                    "SELECT v FROM records WHERE k = '{length}-{}' {}",
                    self.name,
                    comment("")
                )
            };
            let mut response = Vec::new();
            match self.send_query(&text, deadline, &mut response) {
                Ok(()) => match classify_response(&response, &expected_value(&id, *length)) {
                    ResponseOutcome::Answered => {
                        let at_ms = started_at.elapsed().as_millis() as u64;
                        return measurements.answered(
                            at_ms,
                            due.elapsed().as_micros() as u64,
                            kind,
                        );
                    }
                    ResponseOutcome::Wrong => {
                        measurements.wrong += 1;
                        return;
                    }
                    ResponseOutcome::Throttled(ms) => {
                        measurements.throttled += 1;
                        let pause = if ms == 0 {
                            DEFAULT_RETRY_DELAY
                        } else {
                            Duration::from_millis(ms)
                        };
                        sleep(pause.min(deadline.saturating_duration_since(Instant::now())));
                    }
                    ResponseOutcome::Failed => {
                        measurements.failed += 1;
                        return;
                    }
                },
                // An error response after which the gateway closes the connection has no ReadyForQuery.
                Err(_) if response.starts_with(b"E") && is_throttled_response(&response) => {
                    self.stream = None;
                    measurements.throttled += 1;
                    sleep(
                        DEFAULT_RETRY_DELAY.min(deadline.saturating_duration_since(Instant::now())),
                    );
                }
                Err(e) => {
                    self.stream = None;
                    if Instant::now() >= deadline || e.kind() == io::ErrorKind::TimedOut {
                        measurements.failed += 1;
                        return;
                    }
                    // The gateway may have closed the idle connection while the request was under way: the protocol
                    // allows one retry on another connection.
                    if !response.is_empty() || std::mem::replace(&mut resent, true) {
                        measurements.lost += 1;
                        return;
                    }
                }
            }
        }
    }

    /// Sends a query on the open connection, or on a new one, and reads the response up to ReadyForQuery.
    fn send_query(
        &mut self,
        text: &str,
        deadline: Instant,
        response: &mut Vec<u8>,
    ) -> io::Result<()> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, CLIENT_TIMEOUT)?;
            stream.set_nodelay(true)?;
            self.stream = Some(stream);
            self.exchange(STARTUP_MESSAGE, deadline, response)?;
            response.clear();
        }
        self.exchange(&query_message(text), deadline, response)
    }

    /// Writes `message` and appends what is received to `response` up to an idle ReadyForQuery, or until `deadline`.
    fn exchange(
        &mut self,
        message: &[u8],
        deadline: Instant,
        response: &mut Vec<u8>,
    ) -> io::Result<()> {
        let Some(stream) = &mut self.stream else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        stream.write_all(message)?;
        let mut bytes = [0; 16 << 10];
        while !response.ends_with(b"Z\0\0\0\x05I") {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(left))?;
            match stream.read(&mut bytes) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => response.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
