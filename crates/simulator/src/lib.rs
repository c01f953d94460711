//! leverpoint's network code, as the daemon runs it, on virtual time: a seed makes a script of a scenario and decides
//! all that is open while it is played; the five rules are checked after every step.
//!
//! One seed always gives the same trace, to the byte.

mod agents;
pub mod checker;
mod clients;
pub mod compare;
pub mod copies;
pub mod fleet;
pub mod outcome;
#[cfg(feature = "plants")]
pub mod plants;
pub mod run;
mod run_context;
pub mod scene;
pub mod script;
mod servers;
pub mod shrink;
pub mod simulation;
mod wire_stream;
