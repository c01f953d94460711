//! Test doubles for what a gateway connects to (database servers, the discovery agent, clients that read or write at
//! several rates), and helpers that run the gateway program itself. Tests, the load test and the simulator use them.
//!
//! The doubles are written from the public protocols, apart from the gateway's own parsers. The only verdict they give
//! is whether a row holds the value expected for its request ([`values`]).
//!
//! # Invariants
//!
//! - Sockets are opened on loopback addresses only.
//! - Every wait of a test is bounded, in most cases by [`wire::WAIT_LIMIT`].

mod addresses;
pub mod agent;
pub mod child_process;
pub mod client;
pub mod discovery;
pub mod file_lease;
pub mod fleet;
pub mod flood;
pub mod gateway;
pub mod manual;
pub mod pace;
pub mod relay;
pub mod replica_set;
pub mod server;
pub mod settings;
pub mod slow_clients;
pub mod tcp_table;
pub mod values;
pub mod wire;
