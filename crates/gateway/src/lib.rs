//! The network side of a gateway: the PostgreSQL protocol towards clients and servers, HTTP/1.1 towards discovery,
//! fleet membership and replication, and the startup, reload and shutdown of them all.
//!
//! All I/O, timers and tasks go through `leverpoint-runtime`, so the daemon and the simulator run the same code.

#![warn(missing_docs)]

mod acceptor;
mod client;
pub mod discovery;
pub mod gateway;
pub mod io;
pub mod membership;
pub mod persistence;
pub mod postgres;
mod reload;
pub mod replication;
mod server;
mod shutdown;
