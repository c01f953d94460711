//! Paces messages that lead to no request, so that a few clients cannot keep the gateway from all others.
//!
//! An empty query, a session statement or an invalid message costs the gateway work and its client next to nothing. Each
//! connection has an allowance for such messages, which grows with time and with its requests. Beyond it the connection
//! handles them in batches, each of which waits for a turn. Turns are spaced for all connections together, and further
//! apart while the gateway's timers are late.
//!
//! Work is counted in units: a message is one, and each 4 KiB of a longer one are another.

use crate::Ticks;
use crate::rate_limiter::RateLimiter;

/// Units without a request that a connection may have handled at once.
const BURST: i64 = 16;
/// Units without a request that a connection handles in one turn once its allowance is used up.
const BATCH: i64 = 16;
/// Time after which a connection may have another unit without a request handled.
const REFILL_INTERVAL: Ticks = 100;
/// Units without a request that each request allows: connection pools reset a session around each.
const EARNED_BY_REQUEST: i64 = 4;
/// Turns of all connections together in a second. A turn of usual messages takes a tenth of their interval of 1 ms.
const TURNS_PER_SECOND: u32 = 1_000;
/// Turns that are granted without spacing.
const TURN_BURST: u32 = 1;

/// Units of one turn of a connection, after which other tasks run.
const UNITS_PER_TURN: i64 = 16;
/// Units of a request beside those of its message: it is checked, routed and answered.
const REQUEST_UNITS: i64 = 3;
/// Bytes of a message that take one unit of work.
const BYTES_PER_UNIT: usize = 4 << 10;

/// What a client's message led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEffect {
    /// A request was accepted or shed.
    Request,
    /// The gateway answered, ignored or rejected the message by itself.
    NoRequest,
}

/// A message that was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandledMessage {
    /// What it led to.
    pub effect: MessageEffect,
    /// Its length in bytes.
    pub length: usize,
}

impl HandledMessage {
    fn units(self) -> i64 {
        1 + (self.length / BYTES_PER_UNIT) as i64
    }
}

/// What a connection does before it handles its next message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// It goes on.
    Continue,
    /// It lets other tasks run first.
    Yield,
    /// It waits for this time, in ticks.
    Wait(Ticks),
}

/// Allowance of one connection for messages without a request, and the work of its current turn.
#[derive(Clone, Copy, Debug)]
pub struct MessageAllowance {
    /// Units left; negative for those that wait for a turn.
    available: i64,
    /// Time up to which the allowance was refilled.
    refilled_at: Ticks,
    units_in_turn: i64,
}

impl Default for MessageAllowance {
    fn default() -> MessageAllowance {
        MessageAllowance {
            available: BURST,
            refilled_at: 0,
            units_in_turn: 0,
        }
    }
}

impl MessageAllowance {
    fn add(&mut self, units: i64) {
        self.available = (self.available + units).min(BURST);
    }

    fn refill(&mut self, now: Ticks) {
        let earned = (now - self.refilled_at).max(0) / REFILL_INTERVAL;
        self.refilled_at += earned * REFILL_INTERVAL;
        self.add(earned.min(BURST));
    }

    /// Adds the work of a message; returns whether the turn is over.
    fn add_work(&mut self, units: i64) -> bool {
        self.units_in_turn += units;
        let is_over = self.units_in_turn >= UNITS_PER_TURN;
        if is_over {
            self.units_in_turn = 0;
        }
        is_over
    }
}

/// The turns of all connections.
#[derive(Clone, Copy, Debug)]
pub struct MessagePacer {
    turns: RateLimiter,
    taken: u64,
}

impl Default for MessagePacer {
    fn default() -> MessagePacer {
        MessagePacer {
            turns: RateLimiter::new(TURN_BURST),
            taken: 0,
        }
    }
}

impl MessagePacer {
    /// Records a message that a connection has handled, and returns what it does before the next one.
    ///
    /// `timer_delay` is how much longer than asked the connection's last wait took.
    pub fn on_message(
        &mut self,
        now: Ticks,
        allowance: &mut MessageAllowance,
        message: HandledMessage,
        timer_delay: Ticks,
    ) -> Pace {
        let units = message.units();
        match message.effect {
            MessageEffect::Request => {
                allowance.add(EARNED_BY_REQUEST);
                match allowance.add_work(REQUEST_UNITS + units) {
                    true => Pace::Yield,
                    false => Pace::Continue,
                }
            }
            MessageEffect::NoRequest => {
                self.on_message_without_request(now, allowance, units, timer_delay)
            }
        }
    }

    fn on_message_without_request(
        &mut self,
        now: Ticks,
        allowance: &mut MessageAllowance,
        units: i64,
        timer_delay: Ticks,
    ) -> Pace {
        allowance.refill(now);
        allowance.available -= units;
        let mut pace = match allowance.add_work(units) {
            true => Pace::Yield,
            false => Pace::Continue,
        };
        // A long message takes several turns.
        while allowance.available < 0 {
            allowance.available += BATCH;
            allowance.units_in_turn = 0;
            self.taken += 1;
            pace = match self.turns.on_event(now, TURNS_PER_SECOND, timer_delay) {
                0 => Pace::Yield,
                wait => Pace::Wait(wait),
            };
        }
        pace
    }

    /// Number of turns that connections beyond their allowance have taken.
    pub fn turns(&self) -> u64 {
        self.taken
    }
}
