//! Deterministic simulation of leverpoint's network code, as the daemon runs it, on virtual time under injected faults.
//!
//! A scenario and a seed give a script of requests and faults; the seed also decides everything left open during the run,
//! such as the order of ready tasks. The rules are checked while the run goes on: the five for requests after every step,
//! those for fleets at intervals.
//!
//! # Invariants
//!
//! - A seed always gives the same trace, byte for byte.

mod agents;
pub mod checker;
mod clients;
pub mod compare;
pub mod gateway_script;
pub mod member_fleet;
pub mod outcome;
#[cfg(feature = "plants")]
pub mod planted_faults;
pub mod replication_load;
pub mod run;
mod run_context;
pub mod scenarios;
mod servers;
pub mod shrink;
pub mod simulation;
mod wire_stream;
