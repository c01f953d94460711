//! A discovery service of fixed capacity, shared by several gateways, each at an address of its own.
//!
//! Written from the published protocol: new calls wait in one queue, a call that would wait too long is refused with 503,
//! refusing costs something too, and a call whose caller has gone is worked off all the same. A watch that continues
//! within 200 ms of its last answer costs nothing. It never judges a caller; it records what it has written to whom.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::{endpoint_list, http_ok};

/// The next call of a watch continues it when it comes this soon after the last answer.
const WATCH_CONTINUES: Duration = Duration::from_millis(200);

/// What calls cost, and how long one may wait in the queue before it is refused instead.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    pub call_cost: Duration,
    pub refusal_cost: Duration,
    pub max_queue_wait: Duration,
}

/// One gateway's dealings with the service.
#[derive(Clone, Debug, Default)]
struct Caller {
    calls: usize,
    refusals: usize,
    last_answer: Option<Instant>,
    /// Revision written last and when that revision was written first.
    told: Option<(u32, Instant)>,
}

struct State {
    capacity: Capacity,
    revision: u32,
    targets: Vec<String>,
    busy_until: Instant,
    refuses_all: bool,
    callers: Vec<Caller>,
}

/// The service; its threads end with the test's process.
#[derive(Clone)]
pub struct Discovery {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// What a call asks for: all, or what is newer than a revision within a wait.
enum Call {
    Whole,
    Watch { since: u32, wait: Duration },
}

fn call_of(line: &str) -> Call {
    let value = |name: &str| {
        let (_, rest) = line.split_once(name)?;
        rest.split(['&', ' ']).next()?.parse::<u64>().ok()
    };
    match value("index=") {
        Some(since) => Call::Watch {
            since: since as u32,
            wait: Duration::from_millis(value("wait=").unwrap_or(0)),
        },
        None => Call::Whole,
    }
}

impl Discovery {
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

    /// An address for one more gateway, and the gateway's number here.
    pub fn add_gateway(&self) -> (String, usize) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
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

    /// From now on the list is this one; when that was.
    pub fn set_targets(&self, revision: u32, targets: &[String]) -> Instant {
        let mut state = self.state();
        (state.revision, state.targets) = (revision, targets.to_vec());
        self.shared.1.notify_all();
        Instant::now()
    }

    /// From now on every new call is refused, or none for that alone; watches that are open get no further answer.
    pub fn refuse_all(&self, refuses: bool) {
        self.state().refuses_all = refuses;
        self.shared.1.notify_all();
    }

    /// When this gateway was first written that revision.
    pub fn first_written_at(&self, caller: usize, revision: u32) -> Option<Instant> {
        let told = self.state().callers[caller].told;
        told.filter(|(to, _)| *to >= revision).map(|(_, at)| at)
    }

    pub fn calls(&self, caller: usize) -> usize {
        self.state().callers[caller].calls
    }

    pub fn refusals(&self, caller: usize) -> usize {
        self.state().callers[caller].refusals
    }

    /// Waits until that gateway has been refused so often; whether it was within that time.
    pub fn wait_for_refusals(&self, caller: usize, refusals: usize, within: Duration) -> bool {
        let waits = |state: &mut State| state.callers[caller].refusals < refusals;
        !self
            .shared
            .1
            .wait_timeout_while(self.state(), within, waits)
            .unwrap()
            .1
            .timed_out()
    }

    fn serve(&self, caller: usize, mut stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?)
            .lines()
            .map_while(Result::ok);
        while let Some(line) = lines.next() {
            lines
                .by_ref()
                .take_while(|line| !line.is_empty())
                .for_each(drop);
            let call = call_of(&line);
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
            if written.is_ok() && record.told.is_none_or(|(before, _)| before < revision) {
                record.told = Some((revision, Instant::now()));
            }
            self.shared.1.notify_all();
        }
        Some(())
    }

    /// Waits for the call's turn; whether it has one.
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
        let begins = state.busy_until.max(now);
        if state.refuses_all || begins - now > state.capacity.max_queue_wait {
            state.busy_until = begins + state.capacity.refusal_cost;
            state.callers[caller].refusals += 1;
            self.shared.1.notify_all();
            return false;
        }
        state.busy_until = begins + state.capacity.call_cost;
        let turn = state.busy_until;
        drop(state);
        thread::sleep(turn.saturating_duration_since(Instant::now()));
        true
    }

    /// None where the service has begun to refuse meanwhile: the connection ends.
    fn answer(&self, call: &Call) -> Option<(u32, String)> {
        let mut state = self.state();
        if let Call::Watch { since, wait } = *call {
            let nothing = |state: &mut State| state.revision <= since && !state.refuses_all;
            let waited = self
                .shared
                .1
                .wait_timeout_while(state, wait, nothing)
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
