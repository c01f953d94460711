//! Upper bound on how far a gateway's clock is behind the servers' clocks, and which replication positions are
//! plausible under it.
//!
//! Replication positions are times, in ticks.
//!
//! # Invariants
//!
//! The current instant is never less than the position of any write that a server may have committed already.

use crate::Ticks;

/// Estimate of the skew between this gateway's clock and the servers'.
#[derive(Clone, Copy, Debug)]
pub struct ClockSkew {
    /// Configured bound on the difference of any two clocks.
    max_skew: Ticks,
    /// How far primaries' positions were ahead of this clock: a decaying maximum.
    primary_lead: Ticks,
    /// Offset of the wall clock from the monotonic clock at the last comparison.
    wall_clock_offset: Option<Ticks>,
}

/// Largest change of the wall clock's offset that counts as ordinary clock synchronization, in ticks.
const MAX_CLOCK_CORRECTION: Ticks = 5_000;
/// The lead shrinks by its excess over each lower report divided by this, so that the effect of one false report fades.
const LEAD_DECAY_DIVISOR: Ticks = 64;

impl ClockSkew {
    /// Starts without an observed lead; `max_skew` bounds the difference of any two clocks.
    pub fn new(max_skew: Ticks) -> ClockSkew {
        ClockSkew {
            max_skew,
            primary_lead: 0,
            wall_clock_offset: None,
        }
    }

    /// Upper bound of the positions of all writes that were committed and answered by now.
    pub fn current_instant(&self, now: Ticks) -> Ticks {
        now + self.max_skew + self.primary_lead
    }

    /// Records the reported position of a primary: it is at the present, so this clock is behind by the position's
    /// lead.
    pub fn on_primary_position(&mut self, now: Ticks, position: Ticks) {
        let lead = (position - now).clamp(0, 10 * MAX_CLOCK_CORRECTION);
        self.primary_lead = if lead >= self.primary_lead {
            lead
        } else {
            self.primary_lead - (self.primary_lead - lead) / LEAD_DECAY_DIVISOR
        };
    }

    /// Whether a replica can have applied all writes up to `position`: no log contains writes from the future.
    pub fn is_plausible(&self, now: Ticks, position: Ticks) -> bool {
        position <= self.current_instant(now)
    }

    /// Compares both clocks; returns whether the wall clock was stepped since the last call.
    pub fn detect_step(&mut self, monotonic: Ticks, wall_clock: Ticks) -> bool {
        let offset = wall_clock - monotonic;
        let previous = self.wall_clock_offset.replace(offset);
        previous.is_some_and(|previous| (offset - previous).abs() > MAX_CLOCK_CORRECTION)
    }
}
