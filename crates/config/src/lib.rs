//! Reads and checks all configuration, and completes it with defaults.
//!
//! [`settings`] reads the settings object, which both the bench adapter and the gateway receive; [`node`] reads a
//! gateway's own configuration; [`operator`] reads the operator's file, with a module for each of its blocks. Every
//! error names the key and what was expected of it.
//!
//! # Invariants
//!
//! No other package reads a setting by its key.

#![warn(missing_docs)]

mod config_file;
pub mod node;
pub mod operator;
pub mod settings;
mod units;
mod value_path;

pub use operator::{membership, replication};
pub use value_path::{ConfigError, ValuePath};
