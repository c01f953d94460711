//! A discovery service of fixed capacity that several gateways share, each at an address of its own.
//!
//! Written from the published protocol: new calls wait in one queue, a call that would wait too long is refused with 503,
//! refusing takes capacity too, and a call whose caller has disconnected is worked off all the same. A watch that continues
//! within 200 ms of its last answer costs nothing. The service records what it has written to which gateway.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::addresses::bind_listener;
use crate::wire::{endpoint_list, http_ok};

/// A watch's next call continues the watch, and costs nothing, when it comes within this time of the last answer.
const WATCH_CONTINUES: Duration = Duration::from_millis(200);

/// Capacity of the service, which works on one call at a time.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Time that a call takes.
    pub call_cost: Duration,
    /// Time that a refusal takes.
    pub refusal_cost: Duration,
    /// A call that would wait longer than this in the queue is refused.
    pub max_queue_wait: Duration,
}

/// The calls and answers of one gateway.
#[derive(Clone, Debug, Default)]
struct Caller {
    calls: usize,
    refusals: usize,
    last_answer: Option<Instant>,
    /// The newest revision written to the gateway, and when it was written first.
    written: Option<(u32, Instant)>,
}

struct State {
    capacity: Capacity,
    revision: u32,
    targets: Vec<String>,
    busy_until: Instant,
    refuses_all: bool,
    callers: Vec<Caller>,
}

/// Handle to the running service; its threads run until the test's process ends.
#[derive(Clone)]
pub struct Discovery {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// What a call requests.
enum Call {
    /// The whole list.
    FullList,
    /// The list once it is newer than revision `since`, or an empty answer after `wait`.
    Watch { since: u32, wait: Duration },
}

/// Parses a request line: one with the parameter `index` is a watch.
fn parse_call(line: &str) -> Call {
    let value = |name: &str| {
        let (_, rest) = line.split_once(name)?;
        rest.split(['&', ' ']).next()?.parse::<u64>().ok()
    };
    match value("index=") {
        Some(since) => Call::Watch {
            since: since as u32,
            wait: Duration::from_millis(value("wait=").unwrap_or(0)),
        },
        None => Call::FullList,
    }
}

impl Discovery {
    /// Creates a service whose list holds these targets.
    pub fn new(capacity: Capacity, revision: u32, targets: &[String]) -> Discovery {
        let state = State {
            capacity,
            revision,
            targets: targets.to_vec(),
            busy_until: Instant::now(),
            refuses_all: false,
            callers: Vec::new(),
        };
        Discovery {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Starts serving one more gateway; returns the address for it and its index as a caller.
    pub fn add_gateway(&self) -> (String, usize) {
        let listener = bind_listener();
        let address = listener.local_addr().unwrap().to_string();
        let caller = {
            let mut state = self.state();
            state.callers.push(Caller::default());
            state.callers.len() - 1
        };
        let service = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let service = service.clone();
                thread::spawn(move || service.serve(caller, stream));
            }
        });
        (address, caller)
    }

    /// Replaces the list, which answers waiting watches, and returns the time of the change.
    pub fn set_targets(&self, revision: u32, targets: &[String]) -> Instant {
        let mut state = self.state();
        (state.revision, state.targets) = (revision, targets.to_vec());
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Switches the refusal of all new calls on or off. Switching it on ends the connections of open watches unanswered.
    pub fn refuse_all(&self, refuses: bool) {
        self.state().refuses_all = refuses;
        self.shared.1.notify_all();
    }

    /// Returns when the newest revision written to this gateway was first written; `None` while that one is older than
    /// `revision`.
    pub fn first_written_at(&self, caller: usize, revision: u32) -> Option<Instant> {
        let written = self.state().callers[caller].written;
        written
            .filter(|(newest, _)| *newest >= revision)
            .map(|(_, at)| at)
    }

    /// Returns the number of calls of this gateway, refused ones included.
    pub fn calls(&self, caller: usize) -> usize {
        self.state().callers[caller].calls
    }

    /// Returns the number of refused calls of this gateway.
    pub fn refusals(&self, caller: usize) -> usize {
        self.state().callers[caller].refusals
    }

    /// Waits until at least `refusals` calls of this gateway have been refused; returns whether that came about within the
    /// time `within`.
    pub fn wait_for_refusals(&self, caller: usize, refusals: usize, within: Duration) -> bool {
        let too_few = |state: &mut State| state.callers[caller].refusals < refusals;
        !self
            .shared
            .1
            .wait_timeout_while(self.state(), within, too_few)
            .unwrap()
            .1
            .timed_out()
    }

    /// Answers the calls of one connection.
    fn serve(&self, caller: usize, mut stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?)
            .lines()
            .map_while(Result::ok);
        while let Some(line) = lines.next() {
            lines
                .by_ref()
                .take_while(|line| !line.is_empty())
                .for_each(drop);
            let call = parse_call(&line);
            if !self.admit(caller, &call) {
                return stream
                    .write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    .ok();
            }
            let (revision, text) = self.answer(&call)?;
            let written = stream.write_all(http_ok(&text).as_bytes());
            let mut state = self.state();
            let record = &mut state.callers[caller];
            record.last_answer = Some(Instant::now());
            if written.is_ok() && record.written.is_none_or(|(before, _)| before < revision) {
                record.written = Some((revision, Instant::now()));
            }
            self.shared.1.notify_all();
        }
        Some(())
    }

    /// Waits for the call's turn in the queue; returns whether it is answered rather than refused.
    fn admit(&self, caller: usize, call: &Call) -> bool {
        let mut state = self.state();
        let now = Instant::now();
        let record = &mut state.callers[caller];
        record.calls += 1;
        let continues = matches!(call, Call::Watch { .. })
            && record
                .last_answer
                .is_some_and(|at| now.duration_since(at) < WATCH_CONTINUES);
        if continues && !state.refuses_all {
            return true;
        }
        let starts_at = state.busy_until.max(now);
        if state.refuses_all || starts_at - now > state.capacity.max_queue_wait {
            state.busy_until = starts_at + state.capacity.refusal_cost;
            state.callers[caller].refusals += 1;
            self.shared.1.notify_all();
            return false;
        }
        state.busy_until = starts_at + state.capacity.call_cost;
        let done_at = state.busy_until;
        drop(state);
        thread::sleep(done_at.saturating_duration_since(Instant::now()));
        true
    }

    /// Returns the revision and the text of a call's answer. Returns `None`, which ends the connection, where a watch finds
    /// that the service refuses all calls.
    fn answer(&self, call: &Call) -> Option<(u32, String)> {
        let mut state = self.state();
        if let Call::Watch { since, wait } = *call {
            let unchanged = |state: &mut State| state.revision <= since && !state.refuses_all;
            let waited = self
                .shared
                .1
                .wait_timeout_while(state, wait, unchanged)
                .unwrap();
            state = waited.0;
            if state.refuses_all {
                return None;
            }
            if waited.1.timed_out() {
                return Some((since, endpoint_list(since, false, &[])));
            }
        }
        Some((
            state.revision,
            endpoint_list(state.revision, true, &state.targets),
        ))
    }
}
