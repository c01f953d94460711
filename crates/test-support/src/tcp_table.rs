//! The kernel's table of TCP sockets (`/proc/net/tcp`), with which a test waits until the kernel has delivered what a peer
//! has sent, whether or not the process that owns the socket runs.

use std::net::{SocketAddr, SocketAddrV4};
use std::thread;
use std::time::Instant;

use crate::wire::WAIT_LIMIT;

/// Number of the state CLOSE_WAIT in the table: the peer has closed, the owner has not.
const CLOSE_WAIT: u8 = 8;

/// One socket, as the kernel has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpSocket {
    /// Number of its state, as in the kernel's `tcp_states.h`.
    state: u8,
    /// Bytes that the owner has not read yet.
    unread_bytes: usize,
}

impl TcpSocket {
    /// Returns whether the kernel has received the peer's close.
    pub fn is_closed_by_peer(&self) -> bool {
        self.state == CLOSE_WAIT
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

/// Finds the socket with these addresses in the text of the table.
fn find_socket(table: &str, local: SocketAddrV4, remote: SocketAddrV4) -> Option<TcpSocket> {
    let (local, remote) = (table_address(local), table_address(remote));
    table.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        if fields.next()? != local || fields.next()? != remote {
            return None;
        }
        let state = u8::from_str_radix(fields.next()?, 16).ok()?;
        let (_, unread) = fields.next()?.split_once(':')?;
        Some(TcpSocket {
            state,
            unread_bytes: usize::from_str_radix(unread, 16).ok()?,
        })
    })
}

/// Waits until the socket of `local`, connected to `remote`, satisfies `condition`. Panics after [`WAIT_LIMIT`].
pub fn wait_for_socket(
    local: SocketAddr,
    remote: SocketAddr,
    condition: impl Fn(&TcpSocket) -> bool,
) {
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else {
        panic!("not an IPv4 connection: {local} to {remote}");
    };
    let started_at = Instant::now();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let socket = find_socket(&table, local, remote);
        if socket.as_ref().is_some_and(&condition) {
            return;
        }
        assert!(
            started_at.elapsed() < WAIT_LIMIT,
            "socket of {local} connected to {remote}: {socket:?}"
        );
        thread::yield_now();
    }
}
