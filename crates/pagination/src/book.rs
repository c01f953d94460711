//! Owns the listings that a gateway has heard of, and what bounds them: how many a customer has open, how fast one is
//! read, when one that was left goes.
//!
//! It must never keep a listing that nobody has asked of for longer than its time, or turn away without a time to
//! come back that holds.

use std::collections::{BTreeMap, BTreeSet};

use crate::Ticks;
use crate::cursor::Cursor;
use crate::listing_state::{Action, ListingEvent, ListingState, step};
use crate::timeline::Continuity;

/// What bounds listings at a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caps {
    /// Of all customers, and of one.
    pub listings: usize,
    pub a_customer: usize,
    /// A listing is read this fast in the long run, after a first few pages.
    pub pages_a_second: f64,
    pub bytes_a_second: f64,
    /// One of whose client nothing was heard for so long is forgotten; its cursor still holds.
    pub quiet: Ticks,
    /// Bytes of pages read ahead, of all listings.
    pub ahead: usize,
    /// No time to come back is longer.
    pub longest_come_back: Ticks,
}

/// A reader who looks at each page asks for one in some seconds; a program that copies a list takes what is allowed.
/// Four pages at once are a screen and what is scrolled to.
const BURST: f64 = 4.0;
/// Two pages asked for one after the other are a habit.
const HABIT: u32 = 2;
const SECOND: f64 = 10_000.0;

impl Caps {
    fn burst_bytes(&self) -> f64 {
        self.bytes_a_second * BURST / self.pages_a_second.max(0.01)
    }
}

/// Why a page is not read now, and when it may be asked for again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// The customer has too many listings open, or all have.
    Many(Ticks),
    /// The listing is read faster than it may be.
    Fast(Ticks),
    /// No page can follow what it has shown.
    Gone,
}

/// How a page that may be read is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    pub effect: Action,
    /// The server that gave the page before, as the module knows it.
    pub before: Option<usize>,
}

/// What has come of a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Came {
    /// Pages shown with it.
    pub pages: u32,
    pub bytes: usize,
    pub last: bool,
    pub server: usize,
    pub follows: Continuity,
    /// It was read beside what the listing itself goes on with.
    pub aside: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub began: u64,
    pub pages: u64,
    pub turned: u64,
    pub ahead: u64,
    /// Read ahead and shown, and read ahead in vain.
    pub ahead_shown: u64,
    pub ahead_vain: u64,
    pub gone: u64,
    pub left: u64,
}

struct Entry {
    state: ListingState,
    customer: usize,
    /// Pages shown, as its client's cursor says.
    pages: u32,
    /// What may be read at once, in pages and bytes; below nothing after a long page.
    spare_pages: f64,
    spare_bytes: f64,
    filled: Ticks,
    heard: Ticks,
    /// Pages asked for one after the other, and the usual time between.
    in_turn: u32,
    between: Ticks,
    before: Option<usize>,
    kept: usize,
}

pub struct Book {
    caps: Caps,
    entries: BTreeMap<u64, Entry>,
    /// When each was last heard of, the longest ago first.
    heard: BTreeSet<(Ticks, u64)>,
    open: BTreeMap<usize, usize>,
    kept: usize,
    pub counts: Counts,
}

impl Book {
    pub fn new(caps: Caps) -> Book {
        Book {
            caps,
            entries: BTreeMap::new(),
            heard: BTreeSet::new(),
            open: BTreeMap::new(),
            kept: 0,
            counts: Counts::default(),
        }
    }

    /// A listing's client asks for its first page, or for the one that its cursor names.
    pub fn asks(
        &mut self,
        now: Ticks,
        listing: u64,
        customer: usize,
        pages: u32,
    ) -> Result<Plan, Turned> {
        self.sweep(now);
        let admitted = self
            .enter(now, listing, customer, pages)
            .and_then(|()| self.pace(now, listing));
        if let Err(why) = admitted {
            self.counts.turned += 1;
            return Err(why);
        }
        let Some(entry) = self.entries.get_mut(&listing) else {
            return Err(Turned::Gone);
        };
        let event = if pages < entry.pages {
            ListingEvent::RequestedAgain
        } else {
            ListingEvent::Requested
        };
        if pages > entry.pages {
            // Another gateway has shown pages meanwhile: what was read ahead here is no longer next.
            entry.pages = pages;
            self.move_on(listing, ListingEvent::Overtaken);
        }
        self.hear(now, listing, event);
        let effect = self.move_on(listing, event);
        let before = self.entries.get(&listing).and_then(|entry| entry.before);
        match effect {
            Action::RejectLost => Err(Turned::Gone),
            effect => Ok(Plan { effect, before }),
        }
    }

    /// Room for a listing that is not known here: it begins, or was begun elsewhere or before a restart.
    fn enter(
        &mut self,
        now: Ticks,
        listing: u64,
        customer: usize,
        pages: u32,
    ) -> Result<(), Turned> {
        if self.entries.contains_key(&listing) {
            return Ok(());
        }
        let open = self.open.get(&customer).copied().unwrap_or(0);
        if open >= self.caps.a_customer || self.entries.len() >= self.caps.listings {
            // Until the one that was quiet for longest goes, of this customer where that is what is short.
            let own = open >= self.caps.a_customer;
            let mut quiet = self
                .heard
                .iter()
                .filter(|(_, l)| !own || self.entries[l].customer == customer);
            let until = quiet.next().map_or(now, |(at, _)| at + self.caps.quiet);
            return Err(Turned::Many(self.later(until - now)));
        }
        let entry = Entry {
            state: if pages > 0 {
                ListingState::Delivered
            } else {
                ListingState::New
            },
            customer,
            pages,
            spare_pages: BURST,
            spare_bytes: self.caps.burst_bytes(),
            filled: now,
            heard: now,
            in_turn: 0,
            between: 0,
            before: None,
            kept: 0,
        };
        self.entries.insert(listing, entry);
        self.heard.insert((now, listing));
        *self.open.entry(customer).or_default() += 1;
        self.counts.began += u64::from(pages == 0);
        Ok(())
    }

    /// A page and its bytes are taken when it comes; until what was taken too much is made up for, none is read.
    fn pace(&mut self, now: Ticks, listing: u64) -> Result<(), Turned> {
        let caps = self.caps;
        let Some(entry) = self.entries.get_mut(&listing) else {
            return Ok(());
        };
        let past = (now - entry.filled).max(0) as f64 / SECOND;
        entry.filled = now;
        entry.spare_pages = (entry.spare_pages + past * caps.pages_a_second).min(BURST);
        entry.spare_bytes =
            (entry.spare_bytes + past * caps.bytes_a_second).min(caps.burst_bytes());
        let pages = (1.0 - entry.spare_pages) / caps.pages_a_second.max(0.01);
        let bytes = (0.0 - entry.spare_bytes) / caps.bytes_a_second.max(1.0);
        let missing = pages.max(bytes);
        if missing > 0.0 {
            return Err(Turned::Fast(self.later((missing * SECOND).ceil() as Ticks)));
        }
        entry.spare_pages -= 1.0;
        Ok(())
    }

    fn later(&self, span: Ticks) -> Ticks {
        span.clamp(1, self.caps.longest_come_back)
    }

    fn hear(&mut self, now: Ticks, listing: u64, event: ListingEvent) {
        let Some(entry) = self.entries.get_mut(&listing) else {
            return;
        };
        if event == ListingEvent::Requested {
            let between = now - entry.heard;
            entry.between = if entry.in_turn <= 1 {
                between
            } else {
                (entry.between * 3 + between) / 4
            };
            entry.in_turn += 1;
        } else {
            entry.in_turn = 0;
        }
        self.touch(now, listing);
    }

    /// Something was heard of it now.
    fn touch(&mut self, now: Ticks, listing: u64) {
        let Some(entry) = self.entries.get_mut(&listing) else {
            return;
        };
        self.heard.remove(&(entry.heard, listing));
        entry.heard = entry.heard.max(now);
        self.heard.insert((entry.heard, listing));
    }

    /// What has come of a page that was to be read: what becomes of it.
    pub fn came(&mut self, now: Ticks, listing: u64, came: &Came) -> Action {
        let Some(entry) = self.entries.get_mut(&listing) else {
            // Forgotten meanwhile; its client, if there is one, has the page by its cursor alone.
            return if came.follows == Continuity::Lost {
                Action::RejectLost
            } else {
                Action::Deliver
            };
        };
        if came.follows == Continuity::Continues {
            entry.spare_bytes -= came.bytes as f64;
            entry.before = Some(came.server);
            self.counts.pages += 1;
        }
        let effect = match (came.follows, came.aside) {
            (Continuity::Lost, _) => self.move_on(listing, ListingEvent::TimelineLost),
            (Continuity::Continues, true) => Action::Deliver,
            // Behind is a miss, which the command goes on from; here nobody else had it either.
            (Continuity::Behind, true) => Action::Nothing,
            (Continuity::Behind, false) => self.move_on(listing, ListingEvent::ReadFailed),
            (Continuity::Continues, false) => {
                let event = if came.last {
                    ListingEvent::LastPageRead
                } else {
                    ListingEvent::PageRead
                };
                self.move_on(listing, event)
            }
        };
        let Some(entry) = self.entries.get_mut(&listing) else {
            return effect;
        };
        match effect {
            Action::Deliver if !came.aside => entry.pages = entry.pages.max(came.pages),
            Action::KeepPrefetched => {
                entry.kept = came.bytes;
                self.kept += came.bytes;
                self.counts.ahead += 1;
            }
            _ => {}
        }
        // A page that takes long is no silence of its client.
        self.touch(now, listing);
        effect
    }

    /// Its page was not to be had.
    pub fn no_page(&mut self, listing: u64) -> Action {
        self.move_on(listing, ListingEvent::ReadFailed)
    }

    /// The client has gone while its page was read.
    pub fn hung_up(&mut self, listing: u64) -> Action {
        self.move_on(listing, ListingEvent::ClientDisconnected)
    }

    /// Whether the next page of a listing is read ahead, from the server that gave the one before.
    ///
    /// Only where that spares the primary a read: a replica has just covered the listing and may not when the client
    /// comes, which it does by habit before long; and only while there is room and no short command waits.
    pub fn spare(
        &mut self,
        listing: u64,
        replica: bool,
        short_waits: bool,
        usual_page: usize,
    ) -> Action {
        let Some(entry) = self.entries.get(&listing) else {
            return Action::Nothing;
        };
        let habit = entry.in_turn >= HABIT && entry.between * 2 < self.caps.quiet;
        let room = self.kept + usual_page <= self.caps.ahead;
        let pays = entry.spare_pages >= 1.0 && entry.spare_bytes >= usual_page as f64;
        if !(replica && habit && room && pays) || short_waits {
            return Action::Nothing;
        }
        self.move_on(listing, ListingEvent::PrefetchAllowed)
    }

    fn move_on(&mut self, listing: u64, event: ListingEvent) -> Action {
        let Some(entry) = self.entries.get_mut(&listing) else {
            return Action::Nothing;
        };
        let (before, kept) = (entry.state, entry.kept);
        let (state, effect) = step(entry.state, event);
        entry.state = state;
        if before == ListingState::Prefetched && state != ListingState::Prefetched {
            self.kept -= kept;
            entry.kept = 0;
            let shown = effect == Action::DeliverPrefetched;
            *(if shown {
                &mut self.counts.ahead_shown
            } else {
                &mut self.counts.ahead_vain
            }) += 1;
            entry.pages += u32::from(shown);
        }
        match effect {
            Action::RejectLost => self.counts.gone += 1,
            Action::Remove => self.forget(listing),
            _ => {}
        }
        effect
    }

    fn forget(&mut self, listing: u64) {
        let Some(entry) = self.entries.remove(&listing) else {
            return;
        };
        self.heard.remove(&(entry.heard, listing));
        self.kept -= entry.kept;
        if let Some(open) = self.open.get_mut(&entry.customer) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&entry.customer);
            }
        }
    }

    /// Forgets what was quiet for too long; what is read ahead for those goes as well. Returns them.
    pub fn sweep(&mut self, now: Ticks) -> Vec<u64> {
        let mut left = Vec::new();
        while let Some(&(at, listing)) = self.heard.first()
            && now - at >= self.caps.quiet
        {
            if self.move_on(listing, ListingEvent::IdleTimeout) == Action::Nothing {
                // A page is being read for its client: it is there.
                self.touch(now, listing);
                continue;
            }
            self.counts.left += 1;
            left.push(listing);
        }
        left
    }

    pub fn state(&self, listing: u64) -> Option<ListingState> {
        self.entries.get(&listing).map(|entry| entry.state)
    }

    /// Listings and bytes held.
    pub fn holds(&self) -> (usize, usize) {
        (self.entries.len(), self.kept)
    }
}

/// The cursor to go on with behind a page that was read in that word.
pub fn next(cursor: &Cursor, report: &crate::ServerReport, place: Vec<u8>) -> Cursor {
    Cursor {
        latest_position: cursor.latest_position.max(report.position),
        timeline: report.timeline,
        pages_delivered: cursor.pages_delivered.saturating_add(1),
        resume_key: place,
        ..cursor.clone()
    }
}
