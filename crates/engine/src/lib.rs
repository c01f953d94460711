//! Connects the client side, the router, the executor of attempts and discovery.
//!
//! The client side submits requests and awaits their final answers, the executor runs attempts on servers and reports
//! their outcomes, and discovery supplies endpoint lists. Each of them depends on the engine, none on another. Routing
//! decisions are made by `leverpoint-routing`; this crate parses no protocol.

#![warn(missing_docs)]

pub mod answer_matching;
mod attempt;
pub mod attempt_error;
mod attempts;
mod buffer_reservation;
pub mod client_connections;
mod clock;
pub mod descriptor_budget;
pub mod diagnostics;
mod discovery;
mod endpoints;
pub mod engine;
mod eviction;
mod intake;
mod latch;
mod log_line_limiter;
pub mod metrics;
mod preparation;
pub mod replicated_state;
mod request;
mod request_table;
pub mod session_consistency;
pub mod statement_delivery;
mod timers;

/// Bytes that each direction of a connection may buffer without a reservation.
///
/// Typical messages fit. 1,024 connections use at most 8 MiB this way.
pub const UNRESERVED_BYTES: usize = 4 << 10;
