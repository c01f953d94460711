//! PostgreSQL's protocol: messages, the request header in a query's comment, and cancel keys.

pub(crate) mod cancel_keys;
pub mod messages;
pub mod query_comment;
