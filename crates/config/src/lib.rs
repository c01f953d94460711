//! Reading, checking and completion of all configuration.
//!
//! [`settings`] reads the settings object, which the bench adapter and the gateway are both handed; [`node`] reads a
//! gateway's own configuration; [`operator`] reads the operator's file, a module for each of its blocks. Every error names
//! the key and what was expected of it. No setting is read by its wire name outside of this package.

#![warn(missing_docs)]

mod config_file;
pub mod node;
pub mod operator;
pub mod settings;
mod units;
mod value_path;

pub use operator::{membership, replication};
pub use value_path::{ConfigError, ValuePath};
