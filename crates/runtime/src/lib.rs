//! Clock, timers, tasks and connections for the network code.
//!
//! In the daemon they are tokio's. Where a simulated runtime is set for the thread, that runtime provides them, so
//! that the same code runs on virtual time.
//!
//! # Invariants
//!
//! - This crate neither interprets the bytes on a connection nor makes decisions.
//! - Code built on it takes time, tasks and connections from this crate only; a simulated runtime has no control over
//!   any others.

mod stream;
mod time;

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use leverpoint_failpoint::failpoint_active;
#[cfg(feature = "plants")]
pub use leverpoint_failpoint::set_failpoint;
pub use stream::{Listener, SimulatedConnection, SimulatedListener, Stream, WeakStream};
pub use time::{Elapsed, Sleep, poll_once, sleep, sleep_until, timeout, timeout_at, yield_now};
pub use tokio::time::Instant;

/// A task for a simulated runtime to run.
pub type Task = Pin<Box<dyn Future<Output = ()>>>;
/// The establishment of a simulated connection.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Rc<dyn SimulatedConnection>>>>>;

/// A runtime that replaces tokio's on one thread and may simulate several processes.
pub trait SimulatedRuntime {
    /// Returns the current virtual time.
    fn now(&self) -> Instant;
    /// Returns the time of day since the Unix epoch, by the clock of the running process.
    fn unix_time(&self) -> Duration;
    /// Starts a timer that wakes `waker` at `at` unless it is cancelled before, and returns its id.
    fn start_timer(&self, at: Instant, waker: &Waker) -> u64;
    /// Cancels a timer; does nothing if it has fired.
    fn cancel_timer(&self, timer: u64);
    /// Spawns a task in the running process.
    fn spawn(&self, task: Task);
    /// Connects from the running process to the listener at `to`.
    fn connect(&self, to: SocketAddr) -> ConnectFuture;
    /// Returns a number that no simulated process can predict.
    fn secure_random_u64(&self) -> u64;
}

thread_local! {
    static SIMULATED_RUNTIME: RefCell<Option<Rc<dyn SimulatedRuntime>>> = const { RefCell::new(None) };
}

/// Sets the simulated runtime of this thread; `None` returns to tokio.
pub fn set_simulated_runtime(runtime: Option<Rc<dyn SimulatedRuntime>>) {
    SIMULATED_RUNTIME.with(|current| *current.borrow_mut() = runtime);
}

fn simulated_runtime() -> Option<Rc<dyn SimulatedRuntime>> {
    SIMULATED_RUNTIME.with(|current| current.borrow().clone())
}

/// Returns the current time of the monotonic clock, which is virtual in a simulated runtime.
pub fn now() -> Instant {
    SIMULATED_RUNTIME.with(|current| match &*current.borrow() {
        None => Instant::now(),
        Some(runtime) => runtime.now(),
    })
}

/// Returns the time elapsed since `then`, or zero if `then` is in the future.
pub fn since(then: Instant) -> Duration {
    now().saturating_duration_since(then)
}

/// Returns the time of day since the Unix epoch; zero if the clock is set before it.
pub fn unix_time() -> Duration {
    match simulated_runtime() {
        None => SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
        Some(runtime) => runtime.unix_time(),
    }
}

/// Returns an unpredictable number from the operating system's random source, or `None` if the source fails.
pub fn secure_random_u64() -> Option<u64> {
    match simulated_runtime() {
        None => getrandom::u64().ok(),
        Some(runtime) => Some(runtime.secure_random_u64()),
    }
}

/// Spawns a detached task on this thread. A panic in it ends that task only.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    match simulated_runtime() {
        None => drop(tokio::task::spawn_local(task)),
        Some(runtime) => runtime.spawn(Box::pin(task)),
    }
}
