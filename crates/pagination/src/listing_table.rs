//! The listings known to a gateway and their limits: how many a tenant may have open, how fast one may be read, and
//! how long an idle one is kept.
//!
//! # Invariants
//!
//! - A listing that is idle for longer than the idle timeout is removed, unless a page is being read for its client.
//! - A rejection that a retry can overcome carries the time after which the retry is admitted, limited to
//!   [`ListingLimits::max_retry_after`].

use std::collections::{BTreeMap, BTreeSet};

use crate::Ticks;
use crate::cursor::Cursor;
use crate::listing_state::{Action, ListingEvent, ListingState, step};
use crate::timeline::Continuity;

/// The limits of listings at a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListingLimits {
    /// Maximum number of open listings of all tenants.
    pub max_listings: usize,
    /// Maximum number of open listings of one tenant.
    pub max_listings_per_tenant: usize,
    /// Sustained rate in pages per second at which a listing may be read, after a burst of `BURST_PAGES`.
    pub pages_per_second: f64,
    /// Sustained rate in bytes per second, after a burst of as many bytes as the rates give for `BURST_PAGES`.
    pub bytes_per_second: f64,
    /// Time without a request after which a listing is removed. Its cursor stays valid.
    pub idle_timeout: Ticks,
    /// Maximum number of bytes in prefetched pages of all listings; a page larger than expected may exceed it.
    pub max_prefetched_bytes: usize,
    /// Maximum time in a rejection after which the client may retry.
    pub max_retry_after: Ticks,
}

/// Number of pages of a listing that may be read at once: a screen and the pages that a user scrolls to. A user who
/// looks at each page requests one every few seconds; a program that copies the list reads as fast as it may.
const BURST_PAGES: f64 = 4.0;
/// Number of pages that a client must have requested in sequence before the next one is prefetched; it is then
/// expected to go on.
const MIN_SEQUENTIAL_REQUESTS: u32 = 2;
const TICKS_PER_SECOND: f64 = 10_000.0;

impl ListingLimits {
    /// Bytes that `BURST_PAGES` pages have if pages and bytes reach their rates together.
    fn burst_bytes(&self) -> f64 {
        self.bytes_per_second * BURST_PAGES / self.pages_per_second.max(0.01)
    }
}

/// The reason for which a page is not read now, with the time to wait before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageRejection {
    /// The tenant, or all tenants together, have too many listings open.
    TooManyListings(Ticks),
    /// The listing is being read faster than its rates allow.
    TooFast(Ticks),
    /// Writes shown by the listing's pages were lost in a failover; the client has to start a new listing.
    Lost,
}

/// How to serve an admitted request for a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PagePlan {
    /// What to do for the request.
    pub action: Action,
    /// The server that the previous page was read from, by its index in the routing module; `None` if unknown.
    pub previous_server: Option<usize>,
}

/// The result of reading a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageResult {
    /// Number of pages delivered including this one.
    pub pages: u32,
    /// Size of the page in bytes.
    pub bytes: usize,
    /// Whether it is the last page of the listing.
    pub is_last: bool,
    /// The server that it was read from, by its index in the routing module.
    pub server: usize,
    /// Whether it continues the pages delivered before it.
    pub continuity: Continuity,
    /// Whether it was read by [`Action::Reread`], independently of the listing's next page.
    pub is_reread: bool,
}

/// Counters since the start of the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListingCounts {
    /// Listings begun here with their first page.
    pub begun: u64,
    /// Pages read that continued those before.
    pub pages: u64,
    /// Requests rejected by the limits.
    pub rejected: u64,
    /// Pages prefetched.
    pub prefetched: u64,
    /// Prefetched pages that were delivered.
    pub prefetched_delivered: u64,
    /// Prefetched pages that were discarded.
    pub prefetched_discarded: u64,
    /// Requests rejected because writes shown by the listing's pages were lost.
    pub lost: u64,
    /// Listings removed by the idle timeout.
    pub timed_out: u64,
}

struct Entry {
    state: ListingState,
    tenant: usize,
    /// Number of pages delivered, by the client's cursor.
    pages: u32,
    /// Token bucket of pages that may be read at once.
    page_tokens: f64,
    /// Token bucket of bytes that may be read at once; negative after a long page.
    byte_tokens: f64,
    refilled_at: Ticks,
    last_active: Ticks,
    /// Number of pages requested in sequence.
    sequential_requests: u32,
    /// Moving average of the time between these requests.
    usual_interval: Ticks,
    previous_server: Option<usize>,
    prefetched_bytes: usize,
}

/// The listings of a gateway, by id.
pub struct ListingTable {
    limits: ListingLimits,
    entries: BTreeMap<u64, Entry>,
    /// Listings by the time of their last activity, the longest idle first.
    by_last_active: BTreeSet<(Ticks, u64)>,
    open_by_tenant: BTreeMap<usize, usize>,
    prefetched_bytes: usize,
    /// Counters for metrics.
    pub counts: ListingCounts,
}

impl ListingTable {
    /// Creates an empty table.
    pub fn new(limits: ListingLimits) -> ListingTable {
        ListingTable {
            limits,
            entries: BTreeMap::new(),
            by_last_active: BTreeSet::new(),
            open_by_tenant: BTreeMap::new(),
            prefetched_bytes: 0,
            counts: ListingCounts::default(),
        }
    }

    /// Handles a client's request for the first page of a listing (`pages_delivered` is 0) or the page that its
    /// cursor names.
    ///
    /// # Errors
    ///
    /// Returns the reason if the page is not to be read now.
    pub fn request_page(
        &mut self,
        now: Ticks,
        listing: u64,
        tenant: usize,
        pages_delivered: u32,
    ) -> Result<PagePlan, PageRejection> {
        self.remove_idle(now);
        let admitted = self
            .open_listing(now, listing, tenant, pages_delivered)
            .and_then(|()| self.take_tokens(now, listing));
        if let Err(rejection) = admitted {
            self.counts.rejected += 1;
            return Err(rejection);
        }
        let Some(entry) = self.entries.get_mut(&listing) else {
            return Err(PageRejection::Lost);
        };
        let event = if pages_delivered < entry.pages {
            ListingEvent::RequestedAgain
        } else {
            ListingEvent::Requested
        };
        if pages_delivered > entry.pages {
            // Another gateway has delivered pages meanwhile, so a page prefetched here is no longer the next one.
            entry.pages = pages_delivered;
            self.apply(listing, ListingEvent::Overtaken);
        }
        self.record_request(now, listing, event);
        let action = self.apply(listing, event);
        let previous_server = self
            .entries
            .get(&listing)
            .and_then(|entry| entry.previous_server);
        match action {
            Action::RejectLost => Err(PageRejection::Lost),
            action => Ok(PagePlan {
                action,
                previous_server,
            }),
        }
    }

    /// Adds a listing that is not known here: it begins, or was begun at another gateway or before a restart.
    fn open_listing(
        &mut self,
        now: Ticks,
        listing: u64,
        tenant: usize,
        pages_delivered: u32,
    ) -> Result<(), PageRejection> {
        if self.entries.contains_key(&listing) {
            return Ok(());
        }
        let open = self.open_by_tenant.get(&tenant).copied().unwrap_or(0);
        if open >= self.limits.max_listings_per_tenant
            || self.entries.len() >= self.limits.max_listings
        {
            // A retry is admitted when the listing idle for longest is removed; it must be one of this tenant if the
            // tenant's limit is what is reached.
            let is_tenant_limit = open >= self.limits.max_listings_per_tenant;
            let mut idle = self
                .by_last_active
                .iter()
                .filter(|(_, l)| !is_tenant_limit || self.entries[l].tenant == tenant);
            let free_at = idle
                .next()
                .map_or(now, |(at, _)| at + self.limits.idle_timeout);
            return Err(PageRejection::TooManyListings(
                self.retry_after(free_at - now),
            ));
        }
        let entry = Entry {
            state: if pages_delivered > 0 {
                ListingState::Delivered
            } else {
                ListingState::New
            },
            tenant,
            pages: pages_delivered,
            page_tokens: BURST_PAGES,
            byte_tokens: self.limits.burst_bytes(),
            refilled_at: now,
            last_active: now,
            sequential_requests: 0,
            usual_interval: 0,
            previous_server: None,
            prefetched_bytes: 0,
        };
        self.entries.insert(listing, entry);
        self.by_last_active.insert((now, listing));
        *self.open_by_tenant.entry(tenant).or_default() += 1;
        self.counts.begun += u64::from(pages_delivered == 0);
        Ok(())
    }

    /// Takes a page token, and rejects the request if there is none or the byte tokens are overdrawn. Byte tokens are
    /// taken when the page has been read and its size is known.
    fn take_tokens(&mut self, now: Ticks, listing: u64) -> Result<(), PageRejection> {
        let limits = self.limits;
        let Some(entry) = self.entries.get_mut(&listing) else {
            return Ok(());
        };
        let elapsed = (now - entry.refilled_at).max(0) as f64 / TICKS_PER_SECOND;
        entry.refilled_at = now;
        entry.page_tokens =
            (entry.page_tokens + elapsed * limits.pages_per_second).min(BURST_PAGES);
        entry.byte_tokens =
            (entry.byte_tokens + elapsed * limits.bytes_per_second).min(limits.burst_bytes());
        let page_wait = (1.0 - entry.page_tokens) / limits.pages_per_second.max(0.01);
        let byte_wait = (0.0 - entry.byte_tokens) / limits.bytes_per_second.max(1.0);
        let wait = page_wait.max(byte_wait);
        if wait > 0.0 {
            return Err(PageRejection::TooFast(
                self.retry_after((wait * TICKS_PER_SECOND).ceil() as Ticks),
            ));
        }
        entry.page_tokens -= 1.0;
        Ok(())
    }

    /// Limits a time until a retry to the range that a rejection may carry.
    fn retry_after(&self, duration: Ticks) -> Ticks {
        duration.clamp(1, self.limits.max_retry_after)
    }

    /// Updates the sequence of requests by which prefetching is decided.
    fn record_request(&mut self, now: Ticks, listing: u64, event: ListingEvent) {
        let Some(entry) = self.entries.get_mut(&listing) else {
            return;
        };
        if event == ListingEvent::Requested {
            let interval = now - entry.last_active;
            entry.usual_interval = if entry.sequential_requests <= 1 {
                interval
            } else {
                (entry.usual_interval * 3 + interval) / 4
            };
            entry.sequential_requests += 1;
        } else {
            entry.sequential_requests = 0;
        }
        self.touch(now, listing);
    }

    /// Records activity of the listing.
    fn touch(&mut self, now: Ticks, listing: u64) {
        let Some(entry) = self.entries.get_mut(&listing) else {
            return;
        };
        self.by_last_active.remove(&(entry.last_active, listing));
        entry.last_active = entry.last_active.max(now);
        self.by_last_active.insert((entry.last_active, listing));
    }

    /// Handles the result of reading a page, and returns what to do with the page.
    pub fn on_page_read(&mut self, now: Ticks, listing: u64, result: &PageResult) -> Action {
        let Some(entry) = self.entries.get_mut(&listing) else {
            // The listing was removed meanwhile; a client that still waits gets the page by its cursor alone.
            return if result.continuity == Continuity::Lost {
                Action::RejectLost
            } else {
                Action::Deliver
            };
        };
        if result.continuity == Continuity::Continues {
            entry.byte_tokens -= result.bytes as f64;
            entry.previous_server = Some(result.server);
            self.counts.pages += 1;
        }
        let action = match (result.continuity, result.is_reread) {
            (Continuity::Lost, _) => self.apply(listing, ListingEvent::TimelineLost),
            (Continuity::Continues, true) => Action::Deliver,
            // The request tries other servers after a server that is behind; here no other server had the page
            // either.
            (Continuity::Behind, true) => Action::Nothing,
            (Continuity::Behind, false) => self.apply(listing, ListingEvent::ReadFailed),
            (Continuity::Continues, false) => {
                let event = if result.is_last {
                    ListingEvent::LastPageRead
                } else {
                    ListingEvent::PageRead
                };
                self.apply(listing, event)
            }
        };
        let Some(entry) = self.entries.get_mut(&listing) else {
            return action;
        };
        match action {
            Action::Deliver if !result.is_reread => entry.pages = entry.pages.max(result.pages),
            Action::KeepPrefetched => {
                entry.prefetched_bytes = result.bytes;
                self.prefetched_bytes += result.bytes;
                self.counts.prefetched += 1;
            }
            _ => {}
        }
        // The time that reading a page takes doesn't count as idle time of the client.
        self.touch(now, listing);
        action
    }

    /// Handles a failure to read the page.
    pub fn on_read_failed(&mut self, listing: u64) -> Action {
        self.apply(listing, ListingEvent::ReadFailed)
    }

    /// Handles the disconnect of the client while its page was read.
    pub fn on_client_disconnected(&mut self, listing: u64) -> Action {
        self.apply(listing, ListingEvent::ClientDisconnected)
    }

    /// Decides whether to prefetch the next page of a listing, from the server that the previous one was read from.
    ///
    /// Prefetching has to save the primary a read: a replica has just satisfied the listing's required position, but
    /// may not do so when the client, which has requested pages in sequence, requests the next one. A page is
    /// prefetched only within the limits and while no short request waits.
    pub fn try_prefetch(
        &mut self,
        listing: u64,
        is_replica: bool,
        short_requests_wait: bool,
        expected_bytes: usize,
    ) -> Action {
        let Some(entry) = self.entries.get(&listing) else {
            return Action::Nothing;
        };
        let sequential = entry.sequential_requests >= MIN_SEQUENTIAL_REQUESTS
            && entry.usual_interval * 2 < self.limits.idle_timeout;
        let fits = self.prefetched_bytes + expected_bytes <= self.limits.max_prefetched_bytes;
        let has_tokens = entry.page_tokens >= 1.0 && entry.byte_tokens >= expected_bytes as f64;
        if !(is_replica && sequential && fits && has_tokens) || short_requests_wait {
            return Action::Nothing;
        }
        self.apply(listing, ListingEvent::PrefetchAllowed)
    }

    /// Applies an event to a listing's state, and accounts for a prefetched page that this delivers or discards.
    fn apply(&mut self, listing: u64, event: ListingEvent) -> Action {
        let Some(entry) = self.entries.get_mut(&listing) else {
            return Action::Nothing;
        };
        let (old_state, old_bytes) = (entry.state, entry.prefetched_bytes);
        let (state, action) = step(entry.state, event);
        entry.state = state;
        if old_state == ListingState::Prefetched && state != ListingState::Prefetched {
            self.prefetched_bytes -= old_bytes;
            entry.prefetched_bytes = 0;
            let delivered = action == Action::DeliverPrefetched;
            *(if delivered {
                &mut self.counts.prefetched_delivered
            } else {
                &mut self.counts.prefetched_discarded
            }) += 1;
            entry.pages += u32::from(delivered);
        }
        match action {
            Action::RejectLost => self.counts.lost += 1,
            Action::Remove => self.remove(listing),
            _ => {}
        }
        action
    }

    fn remove(&mut self, listing: u64) {
        let Some(entry) = self.entries.remove(&listing) else {
            return;
        };
        self.by_last_active.remove(&(entry.last_active, listing));
        self.prefetched_bytes -= entry.prefetched_bytes;
        if let Some(open) = self.open_by_tenant.get_mut(&entry.tenant) {
            *open -= 1;
            if *open == 0 {
                self.open_by_tenant.remove(&entry.tenant);
            }
        }
    }

    /// Removes the listings that have been idle for too long, with their prefetched pages, and returns their ids.
    pub fn remove_idle(&mut self, now: Ticks) -> Vec<u64> {
        let mut removed = Vec::new();
        while let Some(&(at, listing)) = self.by_last_active.first()
            && now - at >= self.limits.idle_timeout
        {
            if self.apply(listing, ListingEvent::IdleTimeout) == Action::Nothing {
                // A page is being read for the client, so the listing is in use.
                self.touch(now, listing);
                continue;
            }
            self.counts.timed_out += 1;
            removed.push(listing);
        }
        removed
    }

    /// Returns the state of a listing, or `None` if it is not known here.
    pub fn state(&self, listing: u64) -> Option<ListingState> {
        self.entries.get(&listing).map(|entry| entry.state)
    }

    /// Returns the number of listings and the bytes of their prefetched pages.
    pub fn usage(&self) -> (usize, usize) {
        (self.entries.len(), self.prefetched_bytes)
    }
}

/// Returns the cursor for the page after one that was read with `report` and ends at `resume_key`.
pub fn next_cursor(cursor: &Cursor, report: &crate::ServerReport, resume_key: Vec<u8>) -> Cursor {
    Cursor {
        latest_position: cursor.latest_position.max(report.position),
        timeline: report.timeline,
        pages_delivered: cursor.pages_delivered.saturating_add(1),
        resume_key,
        ..cursor.clone()
    }
}
