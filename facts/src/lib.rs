//! The one place where configuration is read, checked and given defaults.
//!
//! [`settings`] reads the settings object, which the drill and the gateway are both handed; [`node`] reads
//! what a gateway is told about itself; [`operator`] reads the operator's own file. Every message names the faulty key and what was expected of it.
//! Nothing here decides or holds a tuned value, and nothing outside reads a setting by its wire name.

mod file;
mod key;
pub mod node;
pub mod operator;
pub mod settings;

pub use key::Fault;
