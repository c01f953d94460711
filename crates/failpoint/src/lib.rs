//! Failpoints: deliberate faults that the simulator injects to test that its checker finds them.
//!
//! Without the feature `plants` no fault can be injected, and every query is the constant `false`, which the compiler
//! removes.
//!
//! # Invariants
//!
//! The daemon is never built with the feature.

#[cfg(feature = "plants")]
mod injection {
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<Option<&'static str>> = const { Cell::new(None) };
    }

    /// Injects the named fault into all code that runs on this thread from now on; `None` injects none.
    pub fn set_failpoint(name: Option<&'static str>) {
        ACTIVE.with(|active| active.set(name));
    }

    /// Returns whether the named fault is injected on this thread.
    pub fn failpoint_active(name: &str) -> bool {
        ACTIVE.with(|active| active.get() == Some(name))
    }
}

#[cfg(feature = "plants")]
pub use injection::{failpoint_active, set_failpoint};

/// Returns `false`: without the feature `plants` no fault is injected.
#[cfg(not(feature = "plants"))]
pub const fn failpoint_active(_: &str) -> bool {
    false
}
