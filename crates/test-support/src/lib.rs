//! Stand-ins on loopback for what a gateway meets, written from public protocols: database servers, discovery's
//! agent, clients of several paces, and the real program itself as a test or an experiment starts it.
//!
//! They judge nothing but whether a value is the one made for a command ([`values`]). Nothing here listens or
//! connects anywhere but on loopback, and every wait has an end.

pub mod agent;
pub mod client;
pub mod discovery;
pub mod file_lease;
pub mod fleet;
pub mod gateway;
pub mod manual;
pub mod pace;
pub mod relay;
pub mod replica_set;
pub mod server;
pub mod slow_clients;
pub mod values;
pub mod wire;
