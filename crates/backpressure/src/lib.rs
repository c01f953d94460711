//! Backpressure on slow clients and servers: which connections are slow, how many bytes are buffered for each, and
//! which are evicted first.
//!
//! The gateway reports the bytes transferred and pending on each connection and the deadline of the answer that is due,
//! and acts on the returned decisions. The crate performs no I/O and reads no clock: each call passes the time, in
//! ticks of 100 µs, and random numbers come from the given seed. Retries and outcomes of requests are decided by
//! `leverpoint-routing`.
//!
//! - [`throughput`]: throughput of one direction of a connection
//! - [`state`]: state machine that classifies a connection by its throughput
//! - [`limits`]: limits, and their defaults by the resources of the process
//! - [`buffer_pool`]: accounting of buffer bytes, and the limits on them
//! - [`eviction_order`]: order in which connections are evicted
//! - [`response_size`]: expected size of the next response
//! - [`slow_response`]: whether a server's response can still be complete in time
//! - [`arrival_rate`]: rate limit on accepting connections
//! - [`message_pacing`]: turns of connections that send messages without a request
//! - [`rate_limiter`]: token bucket that both are based on
//! - [`connections`]: all client connections, on top of the other modules

#![warn(missing_docs)]

pub mod arrival_rate;
pub mod buffer_pool;
mod connection;
pub mod connections;
pub mod eviction_order;
pub mod limits;
pub mod message_pacing;
pub mod rate_limiter;
pub mod response_size;
pub mod slow_response;
pub mod state;
pub mod throughput;

pub use arrival_rate::ArrivalRateLimiter;
pub use connections::{Admission, BufferKind, Connections, EvictionCandidate};
pub use leverpoint_routing::api::Ticks;
pub use limits::Limits;
pub use message_pacing::{HandledMessage, MessageEffect, Pace};
pub use slow_response::SlowResponseDetector;
pub use state::{Action, ConnectionState};
