//! A model of what a gateway meets: sets of database machines and the list that discovery gives of them.
//!
//! Times are whole ticks of 100 µs since the world began; there is no I/O and no clock. A skin carries it to
//! connections, real or simulated. Its figures are its own, from public knowledge of such systems.

pub mod endpoint_list;
pub mod replica_set;

/// Whole ticks of 100 µs.
pub type Ticks = i64;
