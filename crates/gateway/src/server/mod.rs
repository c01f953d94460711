//! Connections to database servers, each of which runs one attempt at a time.

mod answer;
mod answer_progress;
mod answer_reader;
mod connection;
mod pool;

pub(crate) use pool::ServerPool;
