//! The states of a listing at a gateway, and the table of its transitions.
//!
//! # Invariants
//!
//! - One request never gets two pages.
//! - A page is delivered only if it continues the one before.

/// State of a listing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListingState {
    /// This gateway has delivered no page of it.
    #[default]
    New,
    /// The page that the client waits for is being read.
    Reading,
    /// The client may request the next page; nothing is being read for it.
    Delivered,
    /// The next page is being read before the client has requested it.
    Prefetching,
    /// The next page has been read and is kept until the client requests it.
    Prefetched,
    /// The last page has been delivered.
    Finished,
    /// Writes shown by its pages were lost in a failover: no further page can continue them.
    Lost,
}

/// An event that concerns a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingEvent {
    /// The client requests the page after the latest one delivered.
    Requested,
    /// A page is requested that was delivered before, by the same client or by another one with the same cursor.
    RequestedAgain,
    /// Another gateway has delivered further pages, so a page prefetched here is no longer the next one.
    Overtaken,
    /// Prefetching the next page is worthwhile and within the limits.
    PrefetchAllowed,
    /// A page was read that continues those before, and there are more.
    PageRead,
    /// The last page was read, and it continues those before.
    LastPageRead,
    /// The page read does not continue those delivered, and none will.
    TimelineLost,
    /// No page could be read; the client may retry.
    ReadFailed,
    /// The client has disconnected.
    ClientDisconnected,
    /// The listing has been idle for longer than it is kept.
    IdleTimeout,
}

/// What the gateway does on an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Do nothing; a request for a page gets the one already being read.
    Nothing,
    /// Read the next page from a server.
    Read,
    /// Read the page that the request's cursor names again, independently of other reads for the listing.
    Reread,
    /// Deliver the page read to the client.
    Deliver,
    /// Keep the prefetched page for the client.
    KeepPrefetched,
    /// Deliver the prefetched page, which then counts as delivered.
    DeliverPrefetched,
    /// Cancel the read, or discard the prefetched page.
    Discard,
    /// Tell the client that no page can continue the listing, and how to start a new one.
    RejectLost,
    /// Remove all state of the listing.
    Remove,
}

use ListingState::{Delivered, Finished, Lost, New, Prefetched, Prefetching, Reading};

/// The transitions: state, event, next state, action.
///
/// A request that arrives while its page is being prefetched takes over that read, so nothing further is read. A page
/// requested again is read again, as reading it has no side effects and delivered pages are not kept. Such a page
/// depends on its own cursor alone and changes no state here, unless it shows that the timeline is lost.
const TRANSITIONS: [(ListingState, ListingEvent, ListingState, Action); 43] = [
    (New, ListingEvent::Requested, Reading, Action::Read),
    (New, ListingEvent::RequestedAgain, Reading, Action::Read),
    (New, ListingEvent::IdleTimeout, New, Action::Remove),
    (New, ListingEvent::ClientDisconnected, New, Action::Remove),
    (Reading, ListingEvent::Requested, Reading, Action::Reread),
    (
        Reading,
        ListingEvent::RequestedAgain,
        Reading,
        Action::Reread,
    ),
    (Reading, ListingEvent::PageRead, Delivered, Action::Deliver),
    (
        Reading,
        ListingEvent::LastPageRead,
        Finished,
        Action::Deliver,
    ),
    (
        Reading,
        ListingEvent::TimelineLost,
        Lost,
        Action::RejectLost,
    ),
    (
        Reading,
        ListingEvent::ReadFailed,
        Delivered,
        Action::Nothing,
    ),
    // The page was not delivered, so the client may present the same cursor again, here or at another gateway.
    (
        Reading,
        ListingEvent::ClientDisconnected,
        Delivered,
        Action::Discard,
    ),
    (Reading, ListingEvent::IdleTimeout, Reading, Action::Nothing),
    (Delivered, ListingEvent::Requested, Reading, Action::Read),
    (
        Delivered,
        ListingEvent::RequestedAgain,
        Delivered,
        Action::Reread,
    ),
    (
        Delivered,
        ListingEvent::PrefetchAllowed,
        Prefetching,
        Action::Read,
    ),
    (
        Delivered,
        ListingEvent::TimelineLost,
        Lost,
        Action::RejectLost,
    ),
    (
        Delivered,
        ListingEvent::ClientDisconnected,
        Delivered,
        Action::Remove,
    ),
    (
        Delivered,
        ListingEvent::IdleTimeout,
        Delivered,
        Action::Remove,
    ),
    (
        Prefetching,
        ListingEvent::Requested,
        Reading,
        Action::Nothing,
    ),
    (
        Prefetching,
        ListingEvent::RequestedAgain,
        Prefetching,
        Action::Reread,
    ),
    (
        Prefetching,
        ListingEvent::PageRead,
        Prefetched,
        Action::KeepPrefetched,
    ),
    (
        Prefetching,
        ListingEvent::LastPageRead,
        Prefetched,
        Action::KeepPrefetched,
    ),
    // Only the prefetched page is discarded: continuity is checked again when the client requests the page.
    (
        Prefetching,
        ListingEvent::TimelineLost,
        Delivered,
        Action::Discard,
    ),
    (
        Prefetching,
        ListingEvent::ReadFailed,
        Delivered,
        Action::Nothing,
    ),
    (
        Prefetching,
        ListingEvent::Overtaken,
        Delivered,
        Action::Discard,
    ),
    (
        Prefetching,
        ListingEvent::ClientDisconnected,
        Delivered,
        Action::Discard,
    ),
    (
        Prefetching,
        ListingEvent::IdleTimeout,
        Delivered,
        Action::Remove,
    ),
    (
        Prefetched,
        ListingEvent::Requested,
        Delivered,
        Action::DeliverPrefetched,
    ),
    // A client that goes back is unlikely to use the prefetched page next; leaving this state discards it.
    (
        Prefetched,
        ListingEvent::RequestedAgain,
        Delivered,
        Action::Reread,
    ),
    (
        Prefetched,
        ListingEvent::Overtaken,
        Delivered,
        Action::Discard,
    ),
    // Shown by a page that was read again.
    (
        Prefetched,
        ListingEvent::TimelineLost,
        Lost,
        Action::RejectLost,
    ),
    (
        Prefetched,
        ListingEvent::ClientDisconnected,
        Delivered,
        Action::Remove,
    ),
    (
        Prefetched,
        ListingEvent::IdleTimeout,
        Delivered,
        Action::Remove,
    ),
    (Finished, ListingEvent::Requested, Finished, Action::Reread),
    (
        Finished,
        ListingEvent::RequestedAgain,
        Finished,
        Action::Reread,
    ),
    (
        Finished,
        ListingEvent::TimelineLost,
        Lost,
        Action::RejectLost,
    ),
    (
        Finished,
        ListingEvent::ClientDisconnected,
        Finished,
        Action::Remove,
    ),
    (
        Finished,
        ListingEvent::IdleTimeout,
        Finished,
        Action::Remove,
    ),
    (Lost, ListingEvent::Requested, Lost, Action::RejectLost),
    (Lost, ListingEvent::RequestedAgain, Lost, Action::RejectLost),
    (Lost, ListingEvent::TimelineLost, Lost, Action::RejectLost),
    (Lost, ListingEvent::ClientDisconnected, Lost, Action::Remove),
    (Lost, ListingEvent::IdleTimeout, Lost, Action::Remove),
];

/// Returns the next state and the action for an event. An event without a transition changes nothing.
pub fn step(state: ListingState, event: ListingEvent) -> (ListingState, Action) {
    let row = TRANSITIONS
        .iter()
        .find(|row| row.0 == state && row.1 == event);
    row.map_or((state, Action::Nothing), |row| (row.2, row.3))
}
