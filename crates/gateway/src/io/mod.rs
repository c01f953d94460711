//! Buffered connections: ring buffers for both directions and the times at which bytes were received.

pub(crate) mod connection;
pub mod receive_times;
pub mod ring_buffer;
