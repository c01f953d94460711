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
pub use stream::{Accept, Listener, Pipe, Stream, WeakStream};
pub use time::{Elapsed, Sleep, poll_once, sleep, sleep_until, timeout, timeout_at, yield_now};
pub use tokio::time::Instant;

pub type Task = Pin<Box<dyn Future<Output = ()>>>;
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Rc<dyn Pipe>>>>>;

/// Another ground than tokio's: one for each thread at most.
pub trait World {
    fn now(&self) -> Instant;
    /// The time of day, as the process that runs just now knows it.
    fn unix(&self) -> Duration;
    /// The waker is woken once `at` has come, unless the timer is dropped before.
    fn timer(&self, at: Instant, waker: &Waker) -> u64;
    fn drop_timer(&self, timer: u64);
    /// A task of the process that runs just now.
    fn spawn(&self, task: Task);
    fn connect(&self, to: SocketAddr) -> Connecting;
    /// A number that nobody in the world can guess.
    fn unguessable(&self) -> u64;
}

thread_local! {
    static WORLD: RefCell<Option<Rc<dyn World>>> = const { RefCell::new(None) };
}

/// From here on this thread stands on that world, or on tokio again.
pub fn set_world(world: Option<Rc<dyn World>>) {
    WORLD.with(|w| *w.borrow_mut() = world);
}

fn world() -> Option<Rc<dyn World>> {
    WORLD.with(|w| w.borrow().clone())
}

pub fn now() -> Instant {
    WORLD.with(|w| match &*w.borrow() {
        None => Instant::now(),
        Some(world) => world.now(),
    })
}

/// How long ago that was.
pub fn since(then: Instant) -> Duration {
    now().saturating_duration_since(then)
}

pub fn unix() -> Duration {
    match world() {
        None => SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
        Some(world) => world.unix(),
    }
}

/// A number that nobody can guess, from the operating system; none where it has none.
pub fn unguessable() -> Option<u64> {
    match world() {
        None => getrandom::u64().ok(),
        Some(world) => Some(world.unguessable()),
    }
}

/// Starts a task that goes on by itself; what it panics with ends it alone.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    match world() {
        None => drop(tokio::task::spawn_local(task)),
        Some(world) => world.spawn(Box::pin(task)),
    }
}
