//! Owns the judgement of one answer of a server as it comes: whether it can still be whole in time.
//!
//! It says so of the answer alone. Whether the command goes again is the decision module's; it hears the end.

use crate::Tenths;
use crate::meter::Meter;

/// An answer is looked at this often while it is not whole.
pub const LOOK: Tenths = 1_000;
/// Before that nothing is known of its rate: three looks, so that one pause of a busy core is not the whole of it.
const EARLIEST: Tenths = 3 * LOOK;
/// The shortest row there is, from its description to its end: what is missing of an answer is never less.
const SHORTEST: usize = 62;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trickle {
    meter: Meter,
}

impl Trickle {
    /// So many bytes have come.
    pub fn came(&mut self, now: Tenths, bytes: usize) {
        self.meter.came(now, bytes);
    }

    pub fn begun(&self) -> bool {
        self.meter.taken() > 0
    }

    /// Time in which the gateway did not read does not count.
    pub fn excuse(&mut self, span: Tenths) {
        self.meter.excuse(span);
    }

    /// Whether what comes can't be whole by `until` at the better of its two rates, or has stood still for as
    /// long as half of what is left. `missing` is what the message that has begun lacks, 0 where no length is
    /// known yet.
    pub fn hopeless(&self, now: Tenths, missing: usize, until: Tenths) -> bool {
        let left = (until - now).max(0);
        if !self.begun() || self.meter.age(now) < EARLIEST {
            return false;
        }
        let still = self.meter.still(now);
        if still >= EARLIEST && still >= left / 2 {
            return true;
        }
        let rate = self.meter.rate(now).max(self.meter.mean(now));
        let missing = missing.max(SHORTEST.saturating_sub(self.meter.taken())) as u64;
        missing * 10_000 > rate * left as u64
    }
}
