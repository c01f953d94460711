//! Owns the way between two processes of a fleet: it carries whole frames, and does to each what it is told to.
//!
//! It must never look into a frame, or know who is right: a frame is a length of four bytes and what follows.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use fastrand::Rng;

/// What is done to frames in one direction; parts of all frames, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Nothing comes through, and nothing says so.
    pub partitioned: bool,
    pub loss: f64,
    pub duplication: f64,
    /// Goes out behind the next one.
    pub reorder: f64,
    /// A bit of it is another.
    pub corruption: f64,
    /// Each is held for so long.
    pub delay: Duration,
}

/// One direction between two processes, over whichever connection it goes.
#[derive(Clone, Default)]
pub struct LinkDirection(Arc<Mutex<LinkFaults>>);

impl LinkDirection {
    pub fn set(&self, trouble: LinkFaults) {
        *self.0.lock().unwrap() = trouble;
    }

    pub fn get(&self) -> LinkFaults {
        *self.0.lock().unwrap()
    }
}

/// Longer than any frame of the link.
const LONGEST: usize = 1 << 20;
/// More than this is not waited for by a direction that was held.
const WAITS: Duration = Duration::from_secs(30);

/// Accepts for the process at `to`, whose address may change; `forth` and `back` are the directions.
pub fn start_relay(
    to: Arc<Mutex<SocketAddr>>,
    forth: LinkDirection,
    back: LinkDirection,
    seed: u64,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut chance = Rng::with_seed(seed);
        for stream in listener.incoming().map_while(Result::ok) {
            let at = *to.lock().unwrap();
            let Ok(other) = TcpStream::connect_timeout(&at, Duration::from_secs(2)) else {
                continue;
            };
            let both = [(&stream, &other, &forth), (&other, &stream, &back)];
            for (from, to, way) in both {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                    continue;
                };
                let (way, seed) = (way.clone(), chance.u64(..));
                let carry = move || {
                    let _ = carry(&from, &to, &way, Rng::with_seed(seed));
                    let _ = from.shutdown(std::net::Shutdown::Both);
                    let _ = to.shutdown(std::net::Shutdown::Both);
                };
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(carry);
            }
        }
    });
    address
}

fn carry(
    mut from: &TcpStream,
    mut to: &TcpStream,
    way: &LinkDirection,
    mut chance: Rng,
) -> Option<()> {
    let _ = to.set_nodelay(true);
    let mut behind: Option<Vec<u8>> = None;
    loop {
        let mut head = [0; 4];
        from.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes(head) as usize;
        if length > LONGEST {
            return None;
        }
        let mut frame = vec![0; 4 + length];
        frame[..4].copy_from_slice(&head);
        from.read_exact(&mut frame[4..]).ok()?;
        let came = Instant::now();
        while came.elapsed() < way.get().delay.min(WAITS) {
            sleep(Duration::from_millis(5));
        }
        let trouble = way.get();
        if trouble.partitioned || chance.f64() < trouble.loss {
            continue;
        }
        if chance.f64() < trouble.corruption && length > 0 {
            let at = 4 + chance.usize(..length);
            frame[at] ^= 1 << chance.u8(..8);
        }
        if behind.is_none() && chance.f64() < trouble.reorder {
            behind = Some(frame);
            continue;
        }
        to.write_all(&frame).ok()?;
        if chance.f64() < trouble.duplication {
            to.write_all(&frame).ok()?;
        }
        if let Some(frame) = behind.take() {
            to.write_all(&frame).ok()?;
        }
    }
}
