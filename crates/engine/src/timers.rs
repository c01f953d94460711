//! The router's timers, ordered by expiry.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use leverpoint_routing::api::Ticks;
use leverpoint_runtime::sleep_until;
use tokio::sync::Notify;

use crate::clock::Clock;

/// Timers that have not expired yet, each with the router's key.
#[derive(Default)]
pub(crate) struct Timers {
    queue: RefCell<BinaryHeap<Reverse<(Ticks, u32)>>>,
    changed: Notify,
}

impl Timers {
    /// Adds a timer that expires at `at`. Several timers may have the same key.
    pub(crate) fn set(&self, at: Ticks, key: u32) {
        self.queue.borrow_mut().push(Reverse((at, key)));
        self.changed.notify_one();
    }

    pub(crate) fn len(&self) -> usize {
        self.queue.borrow().len()
    }

    fn next_deadline(&self) -> Option<Ticks> {
        self.queue.borrow().peek().map(|Reverse((at, _))| *at)
    }

    /// Waits until the earliest timer has expired or a timer is added, and returns by how much the wait was too long. May
    /// return early.
    pub(crate) async fn wait(&self, clock: &Clock) -> Ticks {
        let started = clock.now();
        let at = loop {
            match self.next_deadline() {
                Some(at) => break at,
                None => self.changed.notified().await,
            }
        };
        tokio::select! {
            biased;
            _ = sleep_until(clock.instant(at)) => (clock.now() - at.max(started)).max(0),
            _ = self.changed.notified() => 0,
        }
    }

    /// Removes and returns the key of the earliest timer if it has expired by `now`.
    pub(crate) fn pop_expired(&self, now: Ticks) -> Option<u32> {
        if self.next_deadline()? > now {
            return None;
        }
        let Reverse((_, key)) = self.queue.borrow_mut().pop()?;
        Some(key)
    }
}
