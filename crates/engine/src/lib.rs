//! The engine: where client connections and attempts on servers meet.
//!
//! The client side brings requests and waits for their final answers, an executor executes attempts and reports their
//! outcomes, discovery brings endpoint lists; none knows of the others. Nothing here routes or reads a protocol.

#![warn(missing_docs)]

mod attempt;
pub mod attempt_error;
mod attempts;
mod buffer_reservation;
pub mod client_connections;
mod clock;
pub mod descriptor_budget;
mod discovery;
mod endpoints;
pub mod engine;
mod eviction;
mod intake;
mod latch;
mod line_limiter;
pub mod metrics;
mod preparation;
pub mod replicated_state;
mod request;
mod request_table;
pub mod session_consistency;
mod timers;

/// Bytes that each direction of a connection may hold without a reservation.
///
/// Usual messages fit; those of 1,024 connections come to 8 MiB.
pub const UNRESERVED_BYTES: usize = 4 << 10;
