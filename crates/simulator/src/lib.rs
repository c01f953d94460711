//! leverpoint's network code, as the daemon runs it, on virtual time: a seed makes a script of a scenario and decides
//! all that is open while it is played; the five rules are checked after every step.
//!
//! One seed always gives the same trace, to the byte.

mod agents;
pub mod checker;
mod clients;
pub mod compare;
mod course;
pub mod gateway_script;
mod machines;
pub mod member_fleet;
pub mod outcome;
#[cfg(feature = "plants")]
pub mod planted_faults;
pub mod play;
pub mod replication_load;
pub mod scenarios;
pub mod shrink;
mod talk;
pub mod world;
