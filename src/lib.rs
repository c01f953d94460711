//! leverpoint: a read and write splitter for database clusters.
//!
//! Every decision is made in [`decide`]; what goes in and comes out is named in [`interface`]; callers map
//! the ids of their protocols by [`indices`].

pub mod decide;
pub mod indices;
pub mod interface;
