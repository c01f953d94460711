//! Sleeping and timeouts, on tokio's timers or those of a simulated runtime.
//!
//! A timeout polls its future before its timer, so that a result that is ready at the deadline counts.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use pin_project_lite::pin_project;
use tokio::time::Instant;

use crate::{SimulatedRuntime, now, simulated_runtime};

/// The error of a wait whose deadline passed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

pin_project! {
    /// A future that is ready at a given time.
    #[project = SleepProj]
    pub enum Sleep {
        Tokio { #[pin] sleep: tokio::time::Sleep },
        Simulated { timer: SimulatedTimer },
    }
}

/// A timer of a simulated runtime; its drop cancels it.
pub struct SimulatedTimer {
    runtime: Rc<dyn SimulatedRuntime>,
    at: Instant,
    /// Id of the running timer; `None` before the first poll.
    id: Option<u64>,
}

impl Drop for SimulatedTimer {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.runtime.cancel_timer(id);
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        match self.project() {
            SleepProj::Tokio { sleep } => sleep.poll(cx),
            SleepProj::Simulated { timer } => {
                if timer.runtime.now() >= timer.at {
                    return Poll::Ready(());
                }
                // The waker may differ from that of the last poll, so the timer is started anew.
                if let Some(old) = timer.id.take() {
                    timer.runtime.cancel_timer(old);
                }
                timer.id = Some(timer.runtime.start_timer(timer.at, cx.waker()));
                Poll::Pending
            }
        }
    }
}

/// Returns a future that is ready at `at`.
pub fn sleep_until(at: Instant) -> Sleep {
    match simulated_runtime() {
        None => Sleep::Tokio {
            sleep: tokio::time::sleep_until(at),
        },
        Some(runtime) => Sleep::Simulated {
            timer: SimulatedTimer {
                runtime,
                at,
                id: None,
            },
        },
    }
}

/// Returns a future that is ready after `duration`.
pub fn sleep(duration: Duration) -> Sleep {
    sleep_until(now() + duration)
}

pin_project! {
    struct Timeout<F> {
        #[pin] future: F,
        #[pin] sleep: Sleep,
    }
}

impl<F: Future> Future for Timeout<F> {
    type Output = Result<F::Output, Elapsed>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        if let Poll::Ready(output) = this.future.poll(cx) {
            return Poll::Ready(Ok(output));
        }
        this.sleep.poll(cx).map(|()| Err(Elapsed))
    }
}

/// Waits for `future` until `at`.
///
/// # Errors
///
/// The future returned yields [`Elapsed`] if `future` is not ready at that time.
pub fn timeout_at<F: Future>(
    at: Instant,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    Timeout {
        future,
        sleep: sleep_until(at),
    }
}

/// Waits for `future` for at most `duration`.
///
/// # Errors
///
/// The future returned yields [`Elapsed`] if `future` is not ready within that time.
pub fn timeout<F: Future>(
    duration: Duration,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    timeout_at(now() + duration, future)
}

/// Yields to the other tasks that are ready, after the runtime has polled its sockets and timers.
///
/// A task that only wakes itself is polled again before the runtime looks at any socket, as long as it has polled fewer
/// than 61 tasks since it last did.
pub async fn yield_now() {
    if simulated_runtime().is_none() {
        return tokio::task::yield_now().await;
    }
    let mut yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Polls a future once, and returns its output if it was ready.
pub async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    poll_fn(|cx| match Pin::new(&mut future).poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
