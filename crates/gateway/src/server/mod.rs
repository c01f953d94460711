//! Connections to database servers, each of which runs one attempt at a time.

mod answer;
mod connection;
mod pool;

pub(crate) use pool::ServerPool;
