//! Rates at which a test server writes its answers: at once, in small pieces, or stalled partway.
//!
//! # Invariants
//!
//! A stalled writer returns as soon as the peer closes its connection.

use std::io::{self, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

/// How a server writes an answer, which is a row followed by the server's status (role, replication position,
/// ReadyForQuery).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// The whole answer at once.
    Whole,
    /// Pieces of this many bytes, with a pause after each.
    Trickle(usize, Duration),
    /// This many bytes of the answer, then nothing until the peer closes the connection.
    Stall(usize),
    /// The whole row, then nothing until the peer closes the connection: ReadyForQuery is never sent.
    NeverReady,
}

/// Writes `bytes` to `stream` at the given pace. `row_end` is the offset at which the row ends and the server's status
/// begins.
///
/// # Errors
///
/// Returns the error of a failed write, and `BrokenPipe` once the peer of a stalled writer has closed the connection or
/// sent something.
pub fn write_paced(
    stream: &mut TcpStream,
    bytes: &[u8],
    row_end: usize,
    pace: Pace,
) -> io::Result<()> {
    let stall_at = match pace {
        Pace::Whole => return stream.write_all(bytes),
        Pace::Trickle(at_a_time, pause) => {
            for piece in bytes.chunks(at_a_time) {
                stream.write_all(piece)?;
                sleep(pause);
            }
            return Ok(());
        }
        Pace::Stall(after) => after.min(bytes.len()),
        Pace::NeverReady => row_end,
    };
    stream.write_all(&bytes[..stall_at])?;
    // The peer sends nothing before it has the whole answer, so this read returns when the connection is closed.
    let _ = io::Read::read(stream, &mut [0; 1]);
    Err(io::ErrorKind::BrokenPipe.into())
}
