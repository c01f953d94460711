//! Bound on how far a gateway's clock may be behind the servers' clocks, and which positions are plausible.
//!
//! Replication positions are times here.
//!
//! # Invariants
//!
//! The current instant is never less than what some server may have committed already.

use crate::Ticks;

/// Estimate of the skew between this gateway's clock and the servers'.
#[derive(Clone, Copy, Debug)]
pub struct ClockSkew {
    /// Configured bound on the difference of any two clocks.
    error: Ticks,
    /// How far a primary's position has been ahead of this clock.
    primary_lead: Ticks,
    /// Offset of the wall clock from the monotonic one when last read.
    wall_clock_offset: Option<Ticks>,
}

/// Largest correction of the wall clock that counts as ordinary synchronization, in ticks.
const MAX_CLOCK_CORRECTION: Ticks = 5_000;
/// The lead decays by this fraction of itself with each report that shows less, so that one false report fades.
const SKEW_DECAY: Ticks = 64;

impl ClockSkew {
    /// Starts with no observed lead; `error` bounds the difference of any two clocks.
    pub fn new(error: Ticks) -> ClockSkew {
        ClockSkew {
            error,
            primary_lead: 0,
            wall_clock_offset: None,
        }
    }

    /// Instant up to which anything may have been committed and answered, now.
    pub fn current_instant(&self, now: Ticks) -> Ticks {
        now + self.error + self.primary_lead
    }

    /// Takes in the position of a primary, which is at the present: its lead is what this clock is behind.
    pub fn on_primary_position(&mut self, now: Ticks, position: Ticks) {
        let shown = (position - now).clamp(0, 10 * MAX_CLOCK_CORRECTION);
        self.primary_lead = if shown >= self.primary_lead {
            shown
        } else {
            self.primary_lead - (self.primary_lead - shown) / SKEW_DECAY
        };
    }

    /// Whether a replica can have applied up to `position`: no log reaches past the present.
    pub fn is_plausible(&self, now: Ticks, position: Ticks) -> bool {
        position <= self.current_instant(now)
    }

    /// Compares both clocks; returns whether the wall clock has stepped since the last call.
    pub fn stepped(&mut self, monotonic: Ticks, wall_clock: Ticks) -> bool {
        let off = wall_clock - monotonic;
        let before = self.wall_clock_offset.replace(off);
        before.is_some_and(|before| (off - before).abs() > MAX_CLOCK_CORRECTION)
    }
}
