//! Owns a set of database servers that keeps to the rules of one: a primary and replicas, positions, keyed
//! repeats that are dropped for a while, and a pace for each that can be changed while it serves.
//!
//! It must never answer a write from a replica, or run a keyed command twice inside its window.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::pace::{Pace, write_paced};
use crate::values::{length_of, made};
use crate::wire::{READ, WRITTEN, message, put, row_of, unix_ms};

/// Keyed repeats are dropped for so long.
const WINDOW: Duration = Duration::from_secs(3);

/// What all members of a set share.
#[derive(Default)]
pub struct Set {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    committed_ms: u128,
    /// By key, when it ran.
    keys: BTreeMap<String, Instant>,
    /// How often each mutating command ran, by id or, for keyed ones, by key within its window.
    twice: u64,
    runs: u64,
}

pub struct Member {
    pub address: String,
    pub primary: bool,
    pace: Arc<Mutex<Pace>>,
}

impl Set {
    /// Effects that happened twice, and all that happened.
    pub fn effects(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.twice, state.runs)
    }

    /// A write runs unless it repeats one.
    fn write(&self, key: Option<&str>) -> u128 {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        state.keys.retain(|_, at| now - *at < WINDOW * 4);
        state.committed_ms = unix_ms().max(state.committed_ms + 1);
        if let Some(key) = key {
            match state.keys.get(key) {
                Some(at) if now - *at < WINDOW => return state.committed_ms,
                Some(_) => state.twice += 1,
                None => {}
            }
            state.keys.insert(key.to_owned(), now);
        }
        state.runs += 1;
        state.committed_ms
    }
}

impl Member {
    pub fn start(set: &Arc<Set>, primary: bool, work: Duration) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let pace = Arc::new(Mutex::new(Pace::Whole));
        let (set, shared) = (set.clone(), pace.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (set, pace) = (set.clone(), shared.clone());
                let serve = move || {
                    serve(stream, &set, &pace, primary, work);
                };
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(serve);
            }
        });
        Member { address, primary, pace }
    }

    /// From the next answer on.
    pub fn set_pace(&self, pace: Pace) {
        *self.pace.lock().unwrap() = pace;
    }
}

/// One name's value in a statement's comment.
pub fn named<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.rsplit_once("/* ")?.1.strip_suffix(" */")?;
    comment.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn serve(mut stream: TcpStream, set: &Set, pace: &Mutex<Pace>, primary: bool, work: Duration) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut rest = vec![0; (u32::from_be_bytes(head) as usize).clamp(4, 1 << 12) - 4];
    stream.read_exact(&mut rest).ok()?;
    stream.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").ok()?;
    loop {
        let (_, body) = message(&mut stream)?;
        let text = std::str::from_utf8(&body).ok()?.trim_end_matches('\0');
        let id = named(text, "id")?;
        sleep(work);
        let (mut out, mut position) = (Vec::new(), unix_ms());
        if text.starts_with("INSERT") {
            if primary {
                position = set.write(named(text, "k"));
                out = row_of(&made(id, 64), WRITTEN);
            } else {
                put(&mut out, b'E', b"SERROR\0C25006\0Mno\0\0");
            }
        } else {
            let key = text.split('\'').nth(1)?;
            out = row_of(&made(id, length_of(key)), READ);
        }
        let ends = out.len();
        let mode = if primary { "read-write" } else { "read-only" };
        put(&mut out, b'S', format!("mode\0{mode}\0").as_bytes());
        put(&mut out, b'S', format!("wal_time\0{position}\0").as_bytes());
        put(&mut out, b'Z', b"I");
        let at = *pace.lock().unwrap();
        write_paced(&mut stream, &out, ends, at).ok()?;
    }
}
