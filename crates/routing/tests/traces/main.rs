//! Snapshots of traces of routing decisions: the events of a short scenario and the router's
//! actions.

mod endpoints;
mod primary;
mod reads;
mod retries;
mod router_trace;
