//! Owns the deliberate faults by which the simulator's checker is checked. Without the feature there are none, and
//! what asks for one is compiled away.
//!
//! The daemon must never be built with them.

#[cfg(feature = "plants")]
mod planted {
    use std::cell::Cell;

    thread_local! {
        static PLANTED: Cell<Option<&'static str>> = const { Cell::new(None) };
    }

    /// From here on this thread's code has that fault, or none.
    pub fn set_failpoint(name: Option<&'static str>) {
        PLANTED.with(|planted| planted.set(name));
    }

    pub fn failpoint_active(name: &str) -> bool {
        PLANTED.with(|planted| planted.get() == Some(name))
    }
}

#[cfg(feature = "plants")]
pub use planted::{failpoint_active, set_failpoint};

#[cfg(not(feature = "plants"))]
pub const fn failpoint_active(_: &str) -> bool {
    false
}
