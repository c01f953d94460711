//! leverpoint: a read and write splitter for database clusters.
//!
//! Every decision is made in [`decide`]; what goes in and comes out is named in [`interface`].

pub mod decide;
pub mod interface;
