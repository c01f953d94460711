//! A replica set of database servers on loopback sockets. The cluster model decides what each statement results in; this
//! module adds connections and real time, and lets a test change the health of each server and the pace at which it
//! writes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use leverpoint_cluster_model::Ticks;
use leverpoint_cluster_model::replica_set::{
    Health, ReplicaSet as Model, ReplicaSetConfig, Reply, Statement,
};

use crate::addresses::bind_listener;
use crate::pace::{Pace, write_paced};
use crate::values::{expected_value, value_length};
use crate::wire::{
    READ_TAG, WRITE_TAG, empty_query_response, endpoint_list, put_message, read_message,
    row_messages_from_bytes, target, unix_ms,
};

/// A replica set without replication lag or cold starts and with more slots than tests use, which drops keyed retries for
/// 3 s after the first execution and elects a primary 0.8 s after the loss of one. Times are in ticks of 100 µs.
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

/// State that the members of a replica set share.
pub struct ReplicaSet {
    state: Mutex<State>,
    /// When the model's tick 0 was.
    epoch: Instant,
    /// The same in milliseconds since the Unix epoch.
    epoch_ms: u128,
}

struct State {
    model: Model,
    /// By session: the replication position of its last write.
    last_writes: BTreeMap<String, Ticks>,
    /// Keys of the writes that took effect, and when each last did.
    executed_keys: BTreeMap<String, Ticks>,
    /// Number of keyed writes that took effect again.
    duplicate_effects: u64,
    /// Number of writes that took effect.
    effects: u64,
    /// By request id, until it is taken: the origin of the newest row returned to a session's read.
    read_origins: BTreeMap<String, ReadOrigin>,
}

/// The server and the state from which a session's read was answered.
#[derive(Clone, Copy, Debug)]
pub struct ReadOrigin {
    /// Replication position of the state that was read.
    pub position: Ticks,
    /// The primary answered.
    pub by_primary: bool,
    /// The primary answered although a replica had applied the session's last write.
    pub needless: bool,
}

/// A running server of a replica set.
pub struct ReplicaSetMember {
    /// Its listening address, `IP:port`.
    pub address: String,
    /// Whether it was the primary when it was started.
    pub primary: bool,
    pace: Arc<Mutex<Pace>>,
}

impl ReplicaSet {
    /// Creates the state of a replica set with `members` servers; none is started.
    pub fn new(config: ReplicaSetConfig, members: usize) -> Arc<ReplicaSet> {
        let state = State {
            model: Model::new(config, members),
            last_writes: BTreeMap::new(),
            executed_keys: BTreeMap::new(),
            duplicate_effects: 0,
            effects: 0,
            read_origins: BTreeMap::new(),
        };
        // The model starts at an hour of its own time, so that no replication lag reaches back before tick 0.
        let epoch = Instant::now() - Duration::from_secs(3_600);
        Arc::new(ReplicaSet {
            state: Mutex::new(state),
            epoch,
            epoch_ms: unix_ms() - 3_600_000,
        })
    }

    /// Returns the model's time now.
    fn now(&self) -> Ticks {
        (self.epoch.elapsed().as_micros() / 100) as Ticks
    }

    /// Returns the number of keyed writes that took effect again, and the number of all writes that took effect.
    pub fn effect_counts(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.duplicate_effects, state.effects)
    }

    /// Returns the replication position of a session's last write; `None` where it has written nothing.
    pub fn last_write_position(&self, session: &str) -> Option<Ticks> {
        self.state.lock().unwrap().last_writes.get(session).copied()
    }

    /// Removes and returns the origin of the newest row returned to the read with this request id. Only reads of the class
    /// `own` are recorded.
    pub fn take_read_origin(&self, id: &str) -> Option<ReadOrigin> {
        self.state.lock().unwrap().read_origins.remove(id)
    }

    /// Returns the index of the primary; `None` while there is none.
    pub fn primary(&self) -> Option<usize> {
        self.state.lock().unwrap().model.primary()
    }

    /// Makes the server `to` the primary in place of the present one.
    pub fn switch_over(&self, to: usize) {
        self.state.lock().unwrap().model.switch_primary(to);
    }

    /// Pauses or resumes replication at a replica; a paused one applies nothing newer.
    pub fn set_replication_paused(&self, member: usize, paused: bool) {
        let now = self.now();
        self.state
            .lock()
            .unwrap()
            .model
            .pause_replay(now, member, paused);
    }

    /// Sets a server's health in the model.
    pub fn set_health(&self, member: usize, health: Health) {
        let now = self.now();
        self.state
            .lock()
            .unwrap()
            .model
            .set_health(now, member, health);
    }

    /// Completes an election that is due and returns the index of the new primary; `None` where none was elected.
    pub fn elect(&self) -> Option<usize> {
        let now = self.now();
        self.state.lock().unwrap().model.elect(now)
    }

    /// Waits for a slot in which the server can work on a statement; fails where the server turns it away, or has no slot
    /// within `max_wait`.
    fn acquire_slot(&self, member: usize, max_wait: Duration) -> Result<(), Reply> {
        if self.state.lock().unwrap().model.admit(self.now(), member)? {
            return Ok(());
        }
        let until = Instant::now() + max_wait;
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

    /// Executes a statement; returns its result, whether the server is the primary, and the replication position to report,
    /// in milliseconds since the Unix epoch.
    fn execute(&self, member: usize, text: &str) -> (Reply, bool, u128) {
        let write = text.starts_with("INSERT");
        let session = text.split('\'').nth(1).unwrap_or_default();
        let key = comment_value(text, "k");
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        let primary = state.model.is_primary(member);
        let (reply, position, effect) = state.model.complete(
            now,
            member,
            &Statement {
                is_write: write,
                idempotency_key: key,
                required_position: None,
            },
        );
        if effect {
            state.effects += 1;
            if let Some(key) = key
                && state.executed_keys.insert(key.to_owned(), now).is_some()
            {
                state.duplicate_effects += 1;
            }
            state.last_writes.insert(session.to_owned(), position);
        }
        if !write && comment_value(text, "c") == Some("own") && reply == Reply::Row {
            let last_write = state.last_writes.get(session).copied().unwrap_or(0);
            let replicas = (0..state.model.servers.len()).filter(|m| !state.model.is_primary(*m));
            let needless = primary
                && replicas
                    .into_iter()
                    .any(|m| state.model.applied_position(now, m) >= last_write);
            let id = comment_value(text, "id").unwrap_or_default().to_owned();
            state.read_origins.insert(
                id,
                ReadOrigin {
                    position,
                    by_primary: primary,
                    needless,
                },
            );
        }
        // A commit's position is rounded up and any other one down: a position of N ms means that everything up to N ms has
        // been applied.
        let ms = if effect {
            (position as u128).div_ceil(10)
        } else {
            position as u128 / 10
        };
        (reply, primary, self.epoch_ms + ms)
    }
}

impl ReplicaSetMember {
    /// Starts the server with index `index` of a replica set on a free loopback port. Each statement occupies a slot for
    /// the time `work`.
    pub fn start(set: &Arc<ReplicaSet>, index: usize, work: Duration) -> ReplicaSetMember {
        let listener = bind_listener();
        let address = listener.local_addr().unwrap().to_string();
        let pace = Arc::new(Mutex::new(Pace::Whole));
        let (shared_set, shared_pace) = (set.clone(), pace.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (set, pace) = (shared_set.clone(), shared_pace.clone());
                let serve_connection = move || {
                    serve(stream, &set, &pace, index, work);
                };
                let _ = thread::Builder::new()
                    .stack_size(128 << 10)
                    .spawn(serve_connection);
            }
        });
        ReplicaSetMember {
            address,
            primary: set.primary() == Some(index),
            pace,
        }
    }

    /// Sets the pace at which answers are written, from the next answer on.
    pub fn set_pace(&self, pace: Pace) {
        *self.pace.lock().unwrap() = pace;
    }
}

/// Starts a replica set of `count` servers and returns its state, the servers and a complete endpoint list of them.
pub fn start_replica_set(
    config: ReplicaSetConfig,
    count: usize,
    work: Duration,
) -> (Arc<ReplicaSet>, Vec<ReplicaSetMember>, String) {
    let set = ReplicaSet::new(config, count);
    let members: Vec<_> = (0..count)
        .map(|n| ReplicaSetMember::start(&set, n, work))
        .collect();
    let mode = |m: &ReplicaSetMember| if m.primary { "read-write" } else { "read-only" };
    let entry =
        |(n, m): (usize, &ReplicaSetMember)| target(&format!("s{n}"), &m.address, "up", mode(m));
    let targets: Vec<_> = members.iter().enumerate().map(entry).collect();
    (set, members, endpoint_list(7, true, &targets))
}

/// Returns the value of the field `name` in the comment at the end of a statement; `None` where there is none.
pub fn comment_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.rsplit_once("/* ")?.1.strip_suffix(" */")?;
    comment
        .split(',')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Answers the statements of one connection.
fn serve(
    mut stream: TcpStream,
    set: &ReplicaSet,
    pace: &Mutex<Pace>,
    index: usize,
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
        if text.is_empty() {
            let mode = if set.primary() == Some(index) {
                "read-write"
            } else {
                "read-only"
            };
            stream.write_all(&empty_query_response(mode)).ok()?;
            continue;
        }
        let id = comment_value(text, "id")?;
        let max_wait = comment_value(text, "d")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0);
        let (reply, primary, position) =
            match set.acquire_slot(index, Duration::from_millis(max_wait)) {
                Err(reply) => (reply, set.primary() == Some(index), 0),
                Ok(()) => {
                    sleep(work);
                    set.execute(index, text)
                }
            };
        let mut out = encode_response(reply, text, id);
        let row_end = out.len();
        encode_status(&mut out, primary, (position > 0).then_some(position as f64));
        let current_pace = *pace.lock().unwrap();
        write_paced(&mut stream, &out, row_end, current_pace).ok()?;
    }
}

/// Returns the messages that answer a statement: a row with the value expected for the request `id`, of 64 bytes for a
/// write and of the length in its key for a read, or the error that `reply` stands for.
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
        rejected => error_response(rejected),
    }
}

/// Appends the server's status, which follows each answer: its role, its replication position in milliseconds since the
/// Unix epoch where it has one, and ReadyForQuery.
pub fn encode_status(out: &mut Vec<u8>, primary: bool, position: Option<f64>) {
    let mode = if primary { "read-write" } else { "read-only" };
    put_message(out, b'S', format!("mode\0{mode}\0").as_bytes());
    if let Some(position) = position {
        put_message(out, b'S', format!("wal_time\0{position}\0").as_bytes());
    }
    put_message(out, b'Z', b"I");
}

/// Returns the error with which a server rejects a statement.
fn error_response(reply: Reply) -> Vec<u8> {
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
