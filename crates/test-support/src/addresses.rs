//! Loopback addresses that no other test uses, neither of this process nor of one that runs beside it.
//!
//! A process that is still running after its test must not reach a test double of a later one, as it would on a port that
//! is used again. So each address has an IP address of its own.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::child_process::lock_spawning;

/// How many addresses were given out.
static ADDRESS_COUNT: AtomicU32 = AtomicU32::new(0);

/// Listens on a free port of a loopback address that no other test uses. The IP address follows from the process id and
/// from the number of calls before this one.
pub(crate) fn bind_listener() -> TcpListener {
    let call_number = ADDRESS_COUNT.fetch_add(1, Ordering::Relaxed);
    let (block, last) = (7 + call_number / 250 % 100, call_number % 250 + 1);
    let ip = format!("127.{block}.{}.{last}", std::process::id() % 250);
    TcpListener::bind((ip, 0)).unwrap()
}

/// Returns an address, `IP:port`, on which nothing listens, as [`bind_listener`] chooses it.
pub fn free_address() -> String {
    let _guard = lock_spawning();
    bind_listener().local_addr().unwrap().to_string()
}
