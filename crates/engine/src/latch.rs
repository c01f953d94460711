//! A flag that is set once and that tasks can wait for.

use std::cell::Cell;

use tokio::sync::Notify;

/// A flag that is set at most once and never cleared.
#[derive(Default)]
pub(crate) struct Latch {
    set: Cell<bool>,
    changed: Notify,
}

impl Latch {
    /// Sets the flag and wakes all waiting tasks; has no effect if it is set already.
    pub(crate) fn set(&self) {
        if !self.set.replace(true) {
            self.changed.notify_waiters();
        }
    }

    pub(crate) fn is_set(&self) -> bool {
        self.set.get()
    }

    /// Waits until the flag is set; returns at once if it is.
    pub(crate) async fn wait(&self) {
        let changed = self.changed.notified();
        if !self.set.get() {
            changed.await;
        }
    }
}
