//! Fixed-size open-addressing hash table of the sessions that are known exactly.
//!
//! # Invariants
//!
//! The table never grows and never loses a position: each evicted entry is returned, so that the caller can record it
//! in the sketch.

use crate::Ticks;
use crate::state::SessionState;

/// Entry of one session; times and positions in ticks, 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionEntry {
    /// Knowledge about the session.
    pub state: SessionState,
    /// Position that reads must see from before the session was tracked.
    pub low_watermark: Ticks,
    /// Position of the session's last write.
    pub last_write: Ticks,
    /// Time of the session's last event; the index rounds its offset down to a multiple of 4 ticks.
    pub last_seen: Ticks,
}

/// Entry with times as offsets from the index's base, in ticks: four bytes hold five days.
#[derive(Clone, Copy, Default)]
struct PackedEntry {
    low_watermark: u32,
    last_write: u32,
    /// The lowest two bits hold the state, which rounds the time down by up to three ticks of 100 µs.
    last_seen: u32,
}

/// Hash table with linear probing; a removal shifts back the entries that follow.
pub struct SessionIndex {
    hashes: Vec<u64>,
    entries: Vec<PackedEntry>,
    /// Time from which the entries' offsets count.
    base: Ticks,
    count: usize,
    max_sessions: usize,
    /// Slot at which the next search for an entry to evict or expire continues.
    sweep_cursor: usize,
}

/// Number of entries among which the least recently seen one is evicted when the table is full: enough that it is
/// nearly always among the oldest tenth of all, few enough to take less than a microsecond.
const EVICTION_SAMPLES: usize = 16;
/// Upper bound of offsets: a newer time moves the base first.
const MAX_OFFSET: Ticks = 1 << 31;

fn pack(entry: &SessionEntry, base: Ticks) -> PackedEntry {
    // 0 stands for none. A position before the base becomes the base plus one tick, and a last-seen time before it
    // becomes 0: both only raise a requirement.
    let to_offset = |time: Ticks| {
        if time == 0 {
            0
        } else {
            (time - base).clamp(1, Ticks::from(u32::MAX)) as u32
        }
    };
    let state = entry.state as u32;
    PackedEntry {
        low_watermark: to_offset(entry.low_watermark),
        last_write: to_offset(entry.last_write),
        last_seen: (to_offset(entry.last_seen) & !3) | state,
    }
}

fn unpack(packed: PackedEntry, base: Ticks) -> SessionEntry {
    let state = [
        SessionState::Unknown,
        SessionState::Uncertain,
        SessionState::Tracked,
        SessionState::Wrote,
    ][packed.last_seen as usize & 3];
    let to_time = |offset: u32| {
        if offset == 0 {
            0
        } else {
            base + Ticks::from(offset)
        }
    };
    SessionEntry {
        state,
        low_watermark: to_time(packed.low_watermark),
        last_write: to_time(packed.last_write),
        last_seen: to_time(packed.last_seen & !3),
    }
}

impl SessionIndex {
    /// Creates an empty index for `max_sessions` sessions.
    ///
    /// It has at least an eighth more slots, so that probe sequences stay short.
    pub fn new(max_sessions: usize, base: Ticks) -> SessionIndex {
        let max_sessions = max_sessions.max(EVICTION_SAMPLES);
        let slots = (max_sessions + max_sessions / 8).next_power_of_two();
        SessionIndex {
            hashes: vec![0; slots],
            entries: vec![PackedEntry::default(); slots],
            base,
            count: 0,
            max_sessions,
            sweep_cursor: 0,
        }
    }

    fn mask(&self) -> usize {
        self.hashes.len() - 1
    }

    fn find_slot(&self, hash: u64) -> Result<usize, usize> {
        // Uses higher bits, as the low ones select a cell of the sketch.
        let mut slot = (hash >> 20) as usize & self.mask();
        loop {
            match self.hashes[slot] {
                0 => return Err(slot),
                stored if stored == hash => return Ok(slot),
                _ => slot = (slot + 1) & self.mask(),
            }
        }
    }

    /// Entry of a session by its hash.
    pub fn get(&self, hash: u64) -> Option<SessionEntry> {
        self.find_slot(hash)
            .ok()
            .map(|slot| unpack(self.entries[slot], self.base))
    }

    /// Stores the entry of a session; returns the hash and entry of the session that was evicted for it, if any.
    pub fn set(&mut self, hash: u64, entry: &SessionEntry) -> Option<(u64, SessionEntry)> {
        let newest = entry
            .last_seen
            .max(entry.low_watermark)
            .max(entry.last_write);
        if newest - self.base >= MAX_OFFSET {
            self.rebase(newest - MAX_OFFSET / 2);
        }
        let mut evicted = None;
        let slot = match self.find_slot(hash) {
            Ok(slot) => slot,
            Err(_) if self.count >= self.max_sessions => {
                evicted = self.evict_one();
                self.occupy(hash)
            }
            Err(_) => self.occupy(hash),
        };
        self.entries[slot] = pack(entry, self.base);
        evicted
    }

    fn occupy(&mut self, hash: u64) -> usize {
        let slot = self.find_slot(hash).unwrap_or_else(|free| free);
        self.hashes[slot] = hash;
        self.count += 1;
        slot
    }

    fn evict_one(&mut self) -> Option<(u64, SessionEntry)> {
        let mut oldest: Option<(u32, usize)> = None;
        let mut sampled = 0;
        while sampled < EVICTION_SAMPLES {
            self.sweep_cursor = (self.sweep_cursor + 1) & self.mask();
            if self.hashes[self.sweep_cursor] != 0 {
                sampled += 1;
                let last_seen = self.entries[self.sweep_cursor].last_seen;
                if oldest.is_none_or(|(lowest, _)| last_seen < lowest) {
                    oldest = Some((last_seen, self.sweep_cursor));
                }
            }
        }
        oldest.map(|(_, slot)| self.remove_at(slot))
    }

    fn remove_at(&mut self, slot: usize) -> (u64, SessionEntry) {
        let removed = (self.hashes[slot], unpack(self.entries[slot], self.base));
        let (mask, mut gap, mut next) = (self.mask(), slot, slot);
        // Entries that follow shift back into the gap, unless the gap is before their home slot.
        loop {
            next = (next + 1) & mask;
            let hash = self.hashes[next];
            if hash == 0 {
                break;
            }
            let home = (hash >> 20) as usize & mask;
            if (next.wrapping_sub(home) & mask) >= (next.wrapping_sub(gap) & mask) {
                (self.hashes[gap], self.entries[gap]) = (hash, self.entries[next]);
                gap = next;
            }
        }
        self.hashes[gap] = 0;
        self.count -= 1;
        removed
    }

    /// Removes the entries last seen before `before` from the next `slots` slots, and passes each to `on_expired`.
    pub fn sweep(
        &mut self,
        slots: usize,
        before: Ticks,
        mut on_expired: impl FnMut(u64, SessionEntry),
    ) {
        for _ in 0..slots {
            self.sweep_cursor = (self.sweep_cursor + 1) & self.mask();
            while self.hashes[self.sweep_cursor] != 0
                && unpack(self.entries[self.sweep_cursor], self.base).last_seen < before
            {
                let (hash, entry) = self.remove_at(self.sweep_cursor);
                on_expired(hash, entry);
            }
        }
    }

    /// Moves the base; times before the new base change as in [`pack`], which only raises a requirement.
    fn rebase(&mut self, base: Ticks) {
        for slot in 0..self.hashes.len() {
            if self.hashes[slot] != 0 {
                self.entries[slot] = pack(&unpack(self.entries[slot], self.base), base);
            }
        }
        self.base = base;
    }

    /// Number of sessions in the index.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether the index has no sessions.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Size of the table, in bytes.
    pub fn bytes(&self) -> usize {
        self.hashes.len() * (size_of::<u64>() + size_of::<PackedEntry>())
    }
}
