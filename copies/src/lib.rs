//! Decides where copies of what a gateway holds for others are, when they count as promised, and what a read of them is
//! worth.
//!
//! A record is a value with a merge that minds no order, doubling or delay ([`record`]); its holders follow from the
//! agreed layout alone ([`place`]); a promise is given when every later read quorum meets one that has it ([`promise`]);
//! a read knows a holder that has lost its memory from one that has nothing ([`read`]). No I/O and no clock: each call
//! brings the time in whole tenths of a millisecond.

pub mod place;
pub mod promise;
pub mod read;
pub mod record;

pub use place::{Copies, holders};
pub use promise::{Effect, Promise, State};
pub use read::{Answer, Reading, Worth};
pub use record::{Ended, Fate, Kind, Record, Role, Value};

/// Time, in whole tenths of a millisecond.
pub type Tenths = i64;
