//! A model of the database cluster behind a gateway: replica sets of database servers, and the endpoint list that
//! discovery publishes about them.
//!
//! Times are whole ticks of 100 µs since the start of the model. The model does no I/O and reads no clock: a caller
//! connects it to connections, real or simulated, and passes the time to each call. Its parameters are its own, from
//! public knowledge of such systems.

pub mod endpoint_list;
pub mod replica_set;

/// A time or a duration in whole ticks of 100 µs.
pub type Ticks = i64;
