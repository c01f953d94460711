//! A TCP relay between two processes of a fleet that injects faults into whole frames: partition, loss, duplication,
//! reordering, corruption and delay.
//!
//! A frame is a big-endian length of four bytes and as many bytes of payload. The relay doesn't interpret the payload.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::addresses::bind_listener;

/// Faults injected into the frames of one direction. The rates are shares of all frames, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Drops every frame; the connection stays open.
    pub partitioned: bool,
    /// Rate of frames that are dropped.
    pub loss: f64,
    /// Rate of frames that are sent twice.
    pub duplication: f64,
    /// Rate of frames that are sent after the next one.
    pub reorder: f64,
    /// Rate of frames in which one bit of the payload is flipped.
    pub corruption: f64,
    /// Time for which each frame is held back.
    pub delay: Duration,
}

/// Shared handle to the faults of one direction between two processes. They apply to all its connections, open ones
/// included.
#[derive(Clone, Default)]
pub struct LinkDirection(Arc<Mutex<LinkFaults>>);

impl LinkDirection {
    /// Replaces the faults, also for a frame that is held back just now.
    pub fn set(&self, faults: LinkFaults) {
        *self.0.lock().unwrap() = faults;
    }

    /// Returns the faults that apply now.
    pub fn get(&self) -> LinkFaults {
        *self.0.lock().unwrap()
    }
}

/// Longer than any frame of the gateways' peer protocol. A longer one ends the connection.
const MAX_PAYLOAD_BYTES: usize = 1 << 20;
/// Upper bound of `LinkFaults::delay`: a frame is not held back for longer.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// Starts a relay on a free loopback port and returns its address. Each accepted connection is forwarded to the address
/// that `target` holds at that moment. `forward` are the faults towards the target, `backward` those of the way back.
/// `seed` determines the random choices of all its connections.
pub fn start_relay(
    target: Arc<Mutex<SocketAddr>>,
    forward: LinkDirection,
    backward: LinkDirection,
    seed: u64,
) -> SocketAddr {
    let listener = bind_listener();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut random = Rng::with_seed(seed);
        for stream in listener.incoming().map_while(Result::ok) {
            let target_address = *target.lock().unwrap();
            let Ok(target_stream) =
                TcpStream::connect_timeout(&target_address, Duration::from_secs(2))
            else {
                continue;
            };
            let directions = [
                (&stream, &target_stream, &forward),
                (&target_stream, &stream, &backward),
            ];
            for (from, to, direction) in directions {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                    continue;
                };
                let (direction, seed) = (direction.clone(), random.u64(..));
                let forward_all = move || {
                    let _ = forward_frames(&from, &to, &direction, Rng::with_seed(seed));
                    let _ = from.shutdown(std::net::Shutdown::Both);
                    let _ = to.shutdown(std::net::Shutdown::Both);
                };
                let _ = thread::Builder::new()
                    .stack_size(128 << 10)
                    .spawn(forward_all);
            }
        }
    });
    address
}

/// Forwards frames of one connection in one direction until either side closes it or a frame is longer
/// than [`MAX_PAYLOAD_BYTES`].
fn forward_frames(
    mut from: &TcpStream,
    mut to: &TcpStream,
    direction: &LinkDirection,
    mut random: Rng,
) -> Option<()> {
    let _ = to.set_nodelay(true);
    let mut postponed: Option<Vec<u8>> = None;
    loop {
        let mut header = [0; 4];
        from.read_exact(&mut header).ok()?;
        let payload_bytes = u32::from_be_bytes(header) as usize;
        if payload_bytes > MAX_PAYLOAD_BYTES {
            return None;
        }
        let mut frame = vec![0; 4 + payload_bytes];
        frame[..4].copy_from_slice(&header);
        from.read_exact(&mut frame[4..]).ok()?;
        let received_at = Instant::now();
        while received_at.elapsed() < direction.get().delay.min(MAX_DELAY) {
            sleep(Duration::from_millis(5));
        }
        let faults = direction.get();
        if faults.partitioned || random.f64() < faults.loss {
            continue;
        }
        if random.f64() < faults.corruption && payload_bytes > 0 {
            let position = 4 + random.usize(..payload_bytes);
            frame[position] ^= 1 << random.u8(..8);
        }
        if postponed.is_none() && random.f64() < faults.reorder {
            postponed = Some(frame);
            continue;
        }
        to.write_all(&frame).ok()?;
        if random.f64() < faults.duplication {
            to.write_all(&frame).ok()?;
        }
        if let Some(frame) = postponed.take() {
            to.write_all(&frame).ok()?;
        }
    }
}
