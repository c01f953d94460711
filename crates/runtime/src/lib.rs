//! What the network code stands on: a clock, timers, tasks and connections. In the daemon they are tokio's; where a
//! world is set for the thread they are that world's, so that the same code runs on virtual time.
//!
//! Nothing here knows what is said on a connection or decides anything. Code above it must take time, tasks and
//! connections from here alone, or a world would not see them.

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

pub type Task = Pin<Box<dyn Future<Output = ()>>>;
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Rc<dyn SimulatedConnection>>>>>;

/// Another ground than tokio's: one for each thread at most.
pub trait SimulatedRuntime {
    fn now(&self) -> Instant;
    /// The time of day, as the process that runs just now knows it.
    fn unix_time(&self) -> Duration;
    /// The waker is woken once `at` has come, unless the timer is dropped before.
    fn start_timer(&self, at: Instant, waker: &Waker) -> u64;
    fn cancel_timer(&self, timer: u64);
    /// A task of the process that runs just now.
    fn spawn(&self, task: Task);
    fn connect(&self, to: SocketAddr) -> ConnectFuture;
    /// A number that nobody in the world can guess.
    fn secure_random_u64(&self) -> u64;
}

thread_local! {
    static SIMULATED_RUNTIME: RefCell<Option<Rc<dyn SimulatedRuntime>>> = const { RefCell::new(None) };
}

/// From here on this thread stands on that world, or on tokio again.
pub fn set_simulated_runtime(runtime: Option<Rc<dyn SimulatedRuntime>>) {
    SIMULATED_RUNTIME.with(|w| *w.borrow_mut() = runtime);
}

fn simulated_runtime() -> Option<Rc<dyn SimulatedRuntime>> {
    SIMULATED_RUNTIME.with(|w| w.borrow().clone())
}

pub fn now() -> Instant {
    SIMULATED_RUNTIME.with(|w| match &*w.borrow() {
        None => Instant::now(),
        Some(runtime) => runtime.now(),
    })
}

/// How long ago that was.
pub fn since(then: Instant) -> Duration {
    now().saturating_duration_since(then)
}

pub fn unix_time() -> Duration {
    match simulated_runtime() {
        None => SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
        Some(runtime) => runtime.unix_time(),
    }
}

/// A number that nobody can guess, from the operating system; none where it has none.
pub fn secure_random_u64() -> Option<u64> {
    match simulated_runtime() {
        None => getrandom::u64().ok(),
        Some(runtime) => Some(runtime.secure_random_u64()),
    }
}

/// Starts a task that goes on by itself; what it panics with ends it alone.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    match simulated_runtime() {
        None => drop(tokio::task::spawn_local(task)),
        Some(runtime) => runtime.spawn(Box::pin(task)),
    }
}
