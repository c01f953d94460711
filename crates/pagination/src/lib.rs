//! Listings that clients read page by page: which replication position the next page must see, whether a page read
//! may be delivered, when a listing ends, and how many listings a gateway serves.
//!
//! What a listing has shown is recorded in its cursor, which the client presents for the next page. Any gateway can
//! therefore continue it, also after a restart; a gateway's own state of a listing serves only to enforce its limits
//! and to prefetch pages.
//!
//! The server for a page is chosen by the routing module, from the position that the page must see and the server
//! that the previous page was read from. This crate does no I/O and reads no clock: each call gets the time in whole
//! ticks of 100 µs.
//!
//! - [`cursor`]: the signed cursor that a client carries from page to page
//! - [`timeline`]: whether a page is consistent with the pages delivered before it, across failovers
//! - [`listing_state`]: the states of a listing and their transitions
//! - [`listing_table`]: the listings of a gateway, their limits and the removal of idle ones
//! - [`page_limiter`]: the limit of pages read concurrently beside short requests

pub mod cursor;
pub mod listing_state;
pub mod listing_table;
pub mod page_limiter;
pub mod timeline;

pub use cursor::{Cursor, CursorError};
pub use leverpoint_routing::api::Ticks;
pub use listing_state::{Action, ListingEvent, ListingState, step};
pub use listing_table::{ListingCounts, ListingLimits, ListingTable, PageRejection};
pub use page_limiter::PageLimiter;
pub use timeline::{Continuity, ServerReport, TimelineFork, TimelineHistory};
