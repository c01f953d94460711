//! Owns how many pages are out at a set at once, beside the short commands that it answers.
//!
//! A page is long work of little benefit: a crowd of listings at a round's close would stand before every report.
//! What says how many a set bears is how its short commands fare. It must never turn a page away without a time to
//! come back at which there is a turn for it, nor hold one back while nothing else is there.

use crate::Ticks;

/// What is known of a set.
#[derive(Clone, Debug)]
struct Set {
    /// Pages that may be out at once.
    room: f64,
    out: u32,
    /// Benefit of short commands that have ended since `looked`, and of those that had no answer in time.
    ended: f64,
    late: f64,
    looked: Ticks,
    /// Whether a page has found no room since then.
    short: bool,
    /// How long a page usually takes.
    took: Ticks,
    /// The turn that was promised last.
    promised: Ticks,
}

/// Two: one page at a time lets a single slow server stand for the set.
const FIRST: f64 = 2.0;
/// Beyond it a crowd is the module's to judge, command by command.
const MOST: f64 = 64.0;
/// As long as a few commands take, and short beside a round's close.
const LOOK: Ticks = 2_500;
/// Above what a calm set's heavy tails let come late.
const LATE: f64 = 0.05;
/// So much benefit says something.
const ENOUGH: f64 = 8.0;

pub struct Crowd {
    sets: Vec<Set>,
    longest_come_back: Ticks,
}

impl Crowd {
    pub fn new(longest_come_back: Ticks) -> Crowd {
        Crowd {
            sets: Vec::new(),
            longest_come_back,
        }
    }

    fn set(&mut self, set: usize, now: Ticks) -> &mut Set {
        if self.sets.len() <= set {
            let fresh = Set {
                room: FIRST,
                out: 0,
                ended: 0.0,
                late: 0.0,
                looked: now,
                short: false,
                took: 1_000,
                promised: now,
            };
            self.sets.resize(set + 1, fresh);
        }
        &mut self.sets[set]
    }

    /// A short command of that benefit has ended, in time or not.
    pub fn ended(&mut self, set: usize, now: Ticks, benefit: f64, in_time: bool) {
        let s = self.set(set, now);
        s.ended += benefit;
        s.late += if in_time { 0.0 } else { benefit };
        s.look(now);
    }

    /// Whether a page may be read now, whose benefit for its work is that part of the best command's; else when.
    pub fn page(&mut self, set: usize, now: Ticks, rank: f64) -> Result<(), Ticks> {
        let longest = self.longest_come_back;
        let s = self.set(set, now);
        s.look(now);
        // What is worth little leaves half of the room to what is worth more; one page always may.
        let room = (s.room * (0.5 + 0.5 * rank.clamp(0.0, 1.0))).max(1.0);
        if f64::from(s.out) < room {
            s.out += 1;
            return Ok(());
        }
        s.short = true;
        // Turns come as pages end; each that is turned away is promised one of its own.
        let turn = ((s.took as f64 / room) as Ticks).max(1);
        s.promised = s.promised.max(now) + turn;
        Err((s.promised - now).clamp(1, longest))
    }

    /// A page that was read has ended, after so long.
    pub fn page_ended(&mut self, set: usize, now: Ticks, took: Ticks) {
        let s = self.set(set, now);
        s.out = s.out.saturating_sub(1);
        s.took = ((s.took * 7 + took.max(1)) / 8).max(1);
        s.look(now);
    }

    /// Pages that are out, and how many may be.
    pub fn of(&self, set: usize) -> (u32, f64) {
        self.sets.get(set).map_or((0, FIRST), |s| (s.out, s.room))
    }
}

impl Set {
    /// Room grows by one while it is short and short commands are in time, and goes by a third when they are not.
    fn look(&mut self, now: Ticks) {
        if now - self.looked < LOOK {
            return;
        }
        let harmed = self.ended >= ENOUGH && self.late > LATE * self.ended;
        if harmed {
            self.room = (self.room * 2.0 / 3.0).max(1.0);
        } else if self.short {
            self.room = (self.room + 1.0).min(MOST);
        }
        // Half of what was seen goes on, so that a burst is not forgotten between two looks.
        (self.ended, self.late) = (self.ended / 2.0, self.late / 2.0);
        (self.looked, self.short) = (now, false);
    }
}
