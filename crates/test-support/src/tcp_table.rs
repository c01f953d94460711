//! The kernel's table of TCP sockets (`/proc/net/tcp`), with which a test waits until the kernel has delivered what a peer
//! has sent, whether or not the process that owns the socket runs.

use std::net::{SocketAddr, SocketAddrV4};
use std::thread;
use std::time::Instant;

use crate::wire::WAIT_LIMIT;

/// Numbers of states in the table, as in the kernel's `tcp_states.h`.
mod state {
    /// The peer has acknowledged this side's close and has not closed its own side.
    pub(super) const FIN_WAIT2: u8 = 5;
    /// Both sides have closed.
    pub(super) const TIME_WAIT: u8 = 6;
    /// The peer has closed, the owner has not.
    pub(super) const CLOSE_WAIT: u8 = 8;
    /// Waits for connections.
    pub(super) const LISTEN: u8 = 10;
}

/// One socket, as the kernel has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpSocket {
    /// Number of its state, see [`state`].
    state: u8,
    /// Bytes that the owner has not read yet.
    unread_bytes: usize,
}

impl TcpSocket {
    /// Returns whether the kernel has received the peer's close.
    pub fn is_closed_by_peer(&self) -> bool {
        self.state == state::CLOSE_WAIT
    }

    /// Returns whether there are bytes that the owner has not read yet.
    pub fn has_unread_bytes(&self) -> bool {
        self.unread_bytes > 0
    }
}

/// Formats an address as the table has it: the IP address in the host's byte order, both numbers in hexadecimal.
fn table_address(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// A line of the table: the local and the remote address as the table has them, and the socket.
struct Entry<'a> {
    local: &'a str,
    remote: &'a str,
    socket: TcpSocket,
}

/// Parses a line of the table; `None` for the heading.
fn parse_entry(line: &str) -> Option<Entry<'_>> {
    let mut fields = line.split_whitespace().skip(1);
    let (local, remote) = (fields.next()?, fields.next()?);
    let state = u8::from_str_radix(fields.next()?, 16).ok()?;
    let (_, unread) = fields.next()?.split_once(':')?;
    let unread_bytes = usize::from_str_radix(unread, 16).ok()?;
    Some(Entry {
        local,
        remote,
        socket: TcpSocket {
            state,
            unread_bytes,
        },
    })
}

/// Returns the address of the table's format; panics for one of IPv6, which has a table of its own.
fn ipv4_table_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("not an IPv4 address: {address}");
    };
    table_address(address)
}

/// Reads the table until `check` accepts it; panics after [`WAIT_LIMIT`] with the last reason why it did not.
fn wait_for_table(check: impl Fn(&[Entry<'_>]) -> Result<(), String>) {
    let started_at = Instant::now();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let entries: Vec<Entry<'_>> = table.lines().filter_map(parse_entry).collect();
        let Err(reason) = check(&entries) else {
            return;
        };
        assert!(started_at.elapsed() < WAIT_LIMIT, "{reason}");
        thread::yield_now();
    }
}

/// Waits until the socket of `local`, connected to `remote`, satisfies `condition`. Panics after [`WAIT_LIMIT`].
pub fn wait_for_socket(
    local: SocketAddr,
    remote: SocketAddr,
    condition: impl Fn(&TcpSocket) -> bool,
) {
    let (local_text, remote_text) = (ipv4_table_address(local), ipv4_table_address(remote));
    wait_for_table(|entries| {
        let mut matching = entries
            .iter()
            .filter(|entry| entry.local == local_text && entry.remote == remote_text);
        match matching.next() {
            Some(entry) if condition(&entry.socket) => Ok(()),
            other => Err(format!(
                "{local} connected to {remote}: {:?}",
                other.map(|entry| entry.socket)
            )),
        }
    });
}

/// Waits until all connections that were accepted at `listener` are closed on this side, and their peers' kernel has
/// received the close. Panics after [`WAIT_LIMIT`].
pub fn wait_until_accepted_are_closed(listener: SocketAddr) {
    let local = ipv4_table_address(listener);
    let is_closed =
        |socket: &TcpSocket| matches!(socket.state, state::FIN_WAIT2 | state::TIME_WAIT);
    wait_for_table(|entries| {
        let mut open = entries.iter().filter(|entry| {
            entry.local == local && entry.socket.state != state::LISTEN && !is_closed(&entry.socket)
        });
        match open.next() {
            None => Ok(()),
            Some(entry) => Err(format!("accepted at {listener}: {:?}", entry.socket)),
        }
    });
}
