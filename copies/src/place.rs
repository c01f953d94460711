//! Owns where the copies of a record are: the holders of a layout with the highest draws for it, on distinct machines
//! and, where there are enough, in distinct zones.
//!
//! It must never depend on who is seen lately: two members with one layout name the same holders.

use leverpoint_members::layout::{Holder, Layout};
use xxhash_rust::xxh3::Xxh3;

use crate::record::Kind;

/// How many copies there are of each record, and how many of their holders may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copies(usize);

impl Copies {
    /// An odd number from 1 to 7: an even one costs a copy more and survives no more losses.
    pub fn new(many: usize) -> Option<Copies> {
        (many % 2 == 1 && many <= 7).then_some(Copies(many))
    }

    pub fn many(self) -> usize {
        self.0
    }

    /// Of so many holders, how many make a quorum: any two of them share one.
    pub fn quorum(of: usize) -> usize {
        of / 2 + 1
    }
}

/// A holder's draw for a record: the same at all members, and unlike for each two of either.
fn draw(holder: &Holder, kind: Kind) -> u64 {
    let (tag, number) = match kind {
        Kind::Position(session) => (1u8, session),
        Kind::Key(key) => (2, key),
        Kind::Role(set) => (3, u64::from(set)),
    };
    let mut hash = Xxh3::with_seed(number);
    hash.update(&[tag]);
    hash.update(holder.name.as_bytes());
    // Not by its memory: one that comes back empty takes its own part again.
    hash.digest()
}

/// The places in the layout of those who hold a record, the first to be asked first.
///
/// A machine holds one copy at most. Zones are gone through in the order of their best draws, one holder of each,
/// then again: as many zones as there are copies have one each, and fewer share them as evenly as they can.
pub fn holders(layout: &Layout, kind: Kind, copies: Copies) -> Vec<usize> {
    let mut drawn: Vec<(u64, usize)> =
        layout.holders.iter().enumerate().map(|(at, holder)| (draw(holder, kind), at)).collect();
    drawn.sort_unstable_by(|a, b| b.cmp(a));
    let mut chosen: Vec<usize> = Vec::with_capacity(copies.many());
    let zone = |at: usize| layout.holders[at].zone.as_str();
    let machine = |at: usize| layout.holders[at].machine.as_str();
    while chosen.len() < copies.many() {
        let free =
            |at: &usize| !chosen.contains(at) && chosen.iter().all(|other| machine(*other) != machine(*at));
        let in_zone = |at: usize| chosen.iter().filter(|other| zone(**other) == zone(at)).count();
        let candidates = drawn.iter().map(|(_, at)| *at).filter(free);
        // The first of those in the zone that has fewest: `min_by_key` keeps the earliest.
        let Some(next) = candidates.min_by_key(|at| in_zone(*at)) else { break };
        chosen.push(next);
    }
    chosen
}
