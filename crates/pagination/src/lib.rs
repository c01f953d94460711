//! Decides the life of a listing: what its next page must see, whether a page that has come may be shown, when it
//! ends, and how much of it a gateway takes on.
//!
//! What a listing has seen travels in its cursor, so any gateway goes on with it, restarted or not; what a gateway
//! remembers of it is only what bounds its use here. Which server is asked stays with the decision module: it is told
//! the position that the page must see, and which server had the page before. No I/O and no clock: each call brings
//! the time in whole ticks of 100 µs.
//!
//! - [`cursor`]: what a client carries from one page to the next
//! - [`timeline`]: whether a page is consistent with the pages delivered before it, across failovers
//! - [`listing_state`]: the states of a listing and their transitions
//! - [`book`]: the listings of a gateway, their limits, when one that is abandoned goes
//! - [`crowd`]: how many pages are out at once beside short commands

pub mod book;
pub mod crowd;
pub mod cursor;
pub mod listing_state;
pub mod timeline;

pub use book::{Book, Caps, Counts, Turned};
pub use crowd::Crowd;
pub use cursor::{Cursor, CursorError};
pub use leverpoint_routing::api::Ticks;
pub use listing_state::{Action, ListingEvent, ListingState, step};
pub use timeline::{Continuity, ServerReport, TimelineFork, TimelineHistory};
