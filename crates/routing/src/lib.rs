//! leverpoint's routing decisions: which server of a PostgreSQL cluster gets which request, and
//! when.
//!
//! [`router::Router`] takes events and returns actions, named in [`api`]; it does no I/O and reads
//! no clock. A module depends only on modules that are earlier in this list:
//!
//! - self-contained state and its rules: [`request_state`], [`request_queue`], [`retry_policy`],
//!   [`session_positions`], [`tenant_quotas`], [`latency`], [`slow_start`], [`outlier_detection`],
//!   [`primary_tracking`], [`replica_position`], [`recent_outcomes`];
//! - `cluster_state`: the state of all servers, replica sets and request classes;
//! - decisions based on that state: `admission`, `primary_selection`, `replica_selection`,
//!   `rejection`;
//! - updates of that state: `endpoint_list`, `server_feedback`;
//! - [`router`], which coordinates the others.
//!
//! [`endpoint_watch`] schedules the calls to discovery for the endpoint list, [`endpoint_lease`]
//! decides how long a list may be used. Callers map the identifiers of their protocols to indices
//! with [`interning`].

#![warn(missing_docs)]

mod admission;
pub mod api;
mod cluster_state;
pub mod endpoint_lease;
mod endpoint_list;
pub mod endpoint_watch;
pub mod executed_ids;
pub mod interning;
pub mod latency;
pub mod outlier_detection;
mod primary_selection;
pub mod primary_tracking;
pub mod recent_outcomes;
mod rejection;
pub mod replica_position;
mod replica_selection;
pub mod request_queue;
pub mod request_state;
pub mod retry_policy;
pub mod router;
mod server_feedback;
pub mod session_positions;
pub mod slow_start;
pub mod tenant_quotas;
