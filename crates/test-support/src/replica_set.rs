//! Owns a set of database servers on sockets: the emulator's model of one, with real time and connections before it,
//! and for each server a pace and a health that can be changed while it serves.
//!
//! It must never decide what a set would: what a statement comes to is the model's word.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use leverpoint_cluster_model::Ticks;
use leverpoint_cluster_model::replica_set::{
    Health, ReplicaSet as Model, ReplicaSetConfig, Reply, Statement,
};

use crate::pace::{Pace, write_paced};
use crate::values::{expected_value, value_length};
use crate::wire::{
    READ_TAG, WRITE_TAG, endpoint_list, put_message, read_message, row_messages_from_bytes, target,
    unix_ms,
};

/// A set with no lag, no queue that binds and no cold start, whose keyed repeats are dropped for three seconds.
pub const IDEAL_SET: ReplicaSetConfig = ReplicaSetConfig {
    slots: 1_000,
    queue_capacity: 1_000,
    replication_lag: 0,
    key_retention: 30_000,
    election_duration: 8_000,
    cold_start_capacity: 1.0,
    cold_start_duration: 0,
    overload_multiple: 1e9,
    overload_window: 10_000,
    typical_work: 40,
};

/// What all members of a set share.
pub struct ReplicaSet {
    state: Mutex<State>,
    began: Instant,
    began_ms: u128,
}

struct State {
    model: Model,
    /// By session: the position of its last write, as the members themselves know it.
    wrote: BTreeMap<String, Ticks>,
    /// Keys that ran, and how often one ran again.
    keys: BTreeMap<String, Ticks>,
    twice: u64,
    runs: u64,
    /// By id, until it is asked for: how the newest row of a session's read was made.
    reads: BTreeMap<String, ReadOrigin>,
}

/// How a row of a session's read was made.
#[derive(Clone, Copy, Debug)]
pub struct ReadOrigin {
    /// The state it was made from, as a position.
    pub position: Ticks,
    pub by_primary: bool,
    /// By the primary, though a replica had what the session has written.
    pub needless: bool,
}

pub struct ReplicaSetMember {
    pub address: String,
    pub primary: bool,
    pace: Arc<Mutex<Pace>>,
}

impl ReplicaSet {
    pub fn new(build: ReplicaSetConfig, machines: usize) -> Arc<ReplicaSet> {
        let state = State {
            model: Model::new(build, machines),
            wrote: BTreeMap::new(),
            keys: BTreeMap::new(),
            twice: 0,
            runs: 0,
            reads: BTreeMap::new(),
        };
        // The model begins an hour into its time, so that no lag reaches back before it.
        let began = Instant::now() - Duration::from_secs(3_600);
        Arc::new(ReplicaSet {
            state: Mutex::new(state),
            began,
            began_ms: unix_ms() - 3_600_000,
        })
    }

    fn now(&self) -> Ticks {
        (self.began.elapsed().as_micros() / 100) as Ticks
    }

    /// Effects that happened twice, and all that happened.
    pub fn effect_counts(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.twice, state.runs)
    }

    /// The position of a session's last write, as the set knows it.
    pub fn last_write_position(&self, session: &str) -> Option<Ticks> {
        self.state.lock().unwrap().wrote.get(session).copied()
    }

    /// How the newest row for that read was made.
    pub fn take_read_origin(&self, id: &str) -> Option<ReadOrigin> {
        self.state.lock().unwrap().reads.remove(id)
    }

    pub fn primary(&self) -> Option<usize> {
        self.state.lock().unwrap().model.primary()
    }

    pub fn switch_over(&self, to: usize) {
        self.state.lock().unwrap().model.switch_primary(to);
    }

    /// A replica applies nothing more, or all of it again.
    pub fn set_replication_paused(&self, member: usize, held: bool) {
        let now = self.now();
        self.state
            .lock()
            .unwrap()
            .model
            .pause_replay(now, member, held);
    }

    pub fn set_health(&self, member: usize, health: Health) {
        let now = self.now();
        self.state
            .lock()
            .unwrap()
            .model
            .set_health(now, member, health);
    }

    /// An election that is due is over; who was elected.
    pub fn elect(&self) -> Option<usize> {
        let now = self.now();
        self.state.lock().unwrap().model.elect(now)
    }

    /// A slot for a statement that has come whole.
    fn begins(&self, member: usize, patience: Duration) -> Result<(), Reply> {
        if self.state.lock().unwrap().model.admit(self.now(), member)? {
            return Ok(());
        }
        let until = Instant::now() + patience;
        while Instant::now() < until {
            sleep(Duration::from_millis(1));
            if self
                .state
                .lock()
                .unwrap()
                .model
                .start_queued(self.now(), member)
            {
                return Ok(());
            }
        }
        self.state.lock().unwrap().model.abandon_queued(member);
        Err(Reply::Full)
    }

    /// The work on a statement is done: what it comes to, whether by the primary, and at which position.
    fn works(&self, member: usize, text: &str) -> (Reply, bool, u128) {
        let write = text.starts_with("INSERT");
        let session = text.split('\'').nth(1).unwrap_or_default();
        let key = comment_value(text, "k");
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        let primary = state.model.is_primary(member);
        let (reply, at, effect) = state.model.complete(
            now,
            member,
            &Statement {
                is_write: write,
                idempotency_key: key,
                required_position: None,
            },
        );
        if effect {
            state.runs += 1;
            if let Some(key) = key
                && state.keys.insert(key.to_owned(), now).is_some()
            {
                state.twice += 1;
            }
            state.wrote.insert(session.to_owned(), at);
        }
        if !write && comment_value(text, "c") == Some("own") && reply == Reply::Row {
            let wrote = state.wrote.get(session).copied().unwrap_or(0);
            let others = (0..state.model.servers.len()).filter(|m| !state.model.is_primary(*m));
            let needless = primary
                && others
                    .into_iter()
                    .any(|m| state.model.applied_position(now, m) >= wrote);
            let id = comment_value(text, "id").unwrap_or_default().to_owned();
            state.reads.insert(
                id,
                ReadOrigin {
                    position: at,
                    by_primary: primary,
                    needless,
                },
            );
        }
        // A commit is told rounded up, as a position is the whole milliseconds that are surely applied.
        let ms = if effect {
            (at as u128).div_ceil(10)
        } else {
            at as u128 / 10
        };
        (reply, primary, self.began_ms + ms)
    }
}

impl ReplicaSetMember {
    pub fn start(set: &Arc<ReplicaSet>, nth: usize, work: Duration) -> ReplicaSetMember {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let pace = Arc::new(Mutex::new(Pace::Whole));
        let (shared, at) = (set.clone(), pace.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (set, pace) = (shared.clone(), at.clone());
                let serve = move || {
                    serve(stream, &set, &pace, nth, work);
                };
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(serve);
            }
        });
        ReplicaSetMember {
            address,
            primary: set.primary() == Some(nth),
            pace,
        }
    }

    /// From the next answer on.
    pub fn set_pace(&self, pace: Pace) {
        *self.pace.lock().unwrap() = pace;
    }
}

/// A set that serves: its members, and the list that names them.
pub fn start_replica_set(
    build: ReplicaSetConfig,
    many: usize,
    work: Duration,
) -> (Arc<ReplicaSet>, Vec<ReplicaSetMember>, String) {
    let set = ReplicaSet::new(build, many);
    let members: Vec<_> = (0..many)
        .map(|n| ReplicaSetMember::start(&set, n, work))
        .collect();
    let mode = |m: &ReplicaSetMember| if m.primary { "read-write" } else { "read-only" };
    let named =
        |(n, m): (usize, &ReplicaSetMember)| target(&format!("s{n}"), &m.address, "up", mode(m));
    let targets: Vec<_> = members.iter().enumerate().map(named).collect();
    (set, members, endpoint_list(7, true, &targets))
}

/// One name's value in a statement's comment.
pub fn comment_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.rsplit_once("/* ")?.1.strip_suffix(" */")?;
    comment
        .split(',')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn serve(
    mut stream: TcpStream,
    set: &ReplicaSet,
    pace: &Mutex<Pace>,
    nth: usize,
    work: Duration,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut rest = vec![0; (u32::from_be_bytes(head) as usize).clamp(4, 1 << 12) - 4];
    stream.read_exact(&mut rest).ok()?;
    stream.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").ok()?;
    loop {
        let (_, body) = read_message(&mut stream)?;
        let text = std::str::from_utf8(&body).ok()?.trim_end_matches('\0');
        let id = comment_value(text, "id")?;
        let patience = comment_value(text, "d")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0);
        let (reply, primary, position) = match set.begins(nth, Duration::from_millis(patience)) {
            Err(reply) => (reply, set.primary() == Some(nth), 0),
            Ok(()) => {
                sleep(work);
                set.works(nth, text)
            }
        };
        let mut out = encode_response(reply, text, id);
        let ends = out.len();
        encode_status(&mut out, primary, (position > 0).then_some(position as f64));
        let at = *pace.lock().unwrap();
        write_paced(&mut stream, &out, ends, at).ok()?;
    }
}

/// What a machine answers a statement with: the row made for it, or the error that turns it away.
pub fn encode_response(reply: Reply, text: &str, id: &str) -> Vec<u8> {
    match reply {
        Reply::Row if text.starts_with("INSERT") => {
            row_messages_from_bytes(&expected_value(id, 64), WRITE_TAG)
        }
        Reply::Row => row_messages_from_bytes(
            &expected_value(
                id,
                value_length(text.split('\'').nth(1).unwrap_or_default()),
            ),
            READ_TAG,
        ),
        refused => refusal(refused),
    }
}

/// What it says of itself behind that: its role, its position as milliseconds of the day, where it has one; then that
/// it is ready.
pub fn encode_status(out: &mut Vec<u8>, primary: bool, position: Option<f64>) {
    let mode = if primary { "read-write" } else { "read-only" };
    put_message(out, b'S', format!("mode\0{mode}\0").as_bytes());
    if let Some(position) = position {
        put_message(out, b'S', format!("wal_time\0{position}\0").as_bytes());
    }
    put_message(out, b'Z', b"I");
}

/// The error with which a machine turns a statement away.
fn refusal(reply: Reply) -> Vec<u8> {
    let code = match reply {
        Reply::NotPrimary => "25006",
        Reply::Behind => "72000",
        _ => "53300",
    };
    let mut out = Vec::new();
    put_message(
        &mut out,
        b'E',
        format!("SERROR\0C{code}\0Mno\0\0").as_bytes(),
    );
    out
}
