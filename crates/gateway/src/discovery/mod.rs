//! The endpoint list of discovery: its format, the HTTP client, and the watch that keeps the list up to date.

pub mod endpoint_list;
mod http;
pub mod watch;
