//! Owns timers: sleeping, and waiting for something no longer than to a time.
//!
//! What is waited for is always asked before the timer, so that what has come in the last instant counts.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use pin_project_lite::pin_project;
use tokio::time::Instant;

use crate::{SimulatedRuntime, now, simulated_runtime};

/// A wait has come to its end before what was waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

pin_project! {
    /// Ready once a time has come.
    #[project = SleepProj]
    pub enum Sleep {
        Tokio { #[pin] sleep: tokio::time::Sleep },
        Simulated { timer: Timer },
    }
}

/// A timer of a world; it ends with its drop.
pub struct Timer {
    runtime: Rc<dyn SimulatedRuntime>,
    at: Instant,
    timer: Option<u64>,
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(timer) = self.timer.take() {
            self.runtime.cancel_timer(timer);
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
                // The waker may be another one than at the last poll.
                if let Some(old) = timer.timer.take() {
                    timer.runtime.cancel_timer(old);
                }
                timer.timer = Some(timer.runtime.start_timer(timer.at, cx.waker()));
                Poll::Pending
            }
        }
    }
}

pub fn sleep_until(at: Instant) -> Sleep {
    match simulated_runtime() {
        None => Sleep::Tokio {
            sleep: tokio::time::sleep_until(at),
        },
        Some(runtime) => Sleep::Simulated {
            timer: Timer {
                runtime,
                at,
                timer: None,
            },
        },
    }
}

pub fn sleep(span: Duration) -> Sleep {
    sleep_until(now() + span)
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

pub fn timeout_at<F: Future>(
    at: Instant,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    Timeout {
        future,
        sleep: sleep_until(at),
    }
}

pub fn timeout<F: Future>(
    span: Duration,
    future: F,
) -> impl Future<Output = Result<F::Output, Elapsed>> {
    timeout_at(now() + span, future)
}

/// Lets all others that are ready go on first.
pub async fn yield_now() {
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

/// What a future has come to without waiting, if anything.
pub async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    poll_fn(|cx| match Pin::new(&mut future).poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
