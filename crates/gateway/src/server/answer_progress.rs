//! Timing of an answer that is being received: its deadlines, and whether it arrives fast enough.

use std::io::{self, ErrorKind};
use std::time::Duration;

use leverpoint_backpressure::SlowResponseDetector;
use leverpoint_config::settings::{duration_to_ticks, ticks_to_duration};
use leverpoint_engine::engine::Attempt;
use leverpoint_routing::api::Ticks;
use leverpoint_runtime::{Instant, now, timeout_at};

use crate::io::connection::BufferedConnection;

/// State of an answer that is being received.
pub(super) struct AnswerProgress<'a> {
    pub(super) attempt: &'a Attempt,
    /// Whether the answer is abandoned as soon as it can't be complete by its deadline.
    rate_checked: bool,
    /// The answer was abandoned for that reason.
    pub(super) too_slow: bool,
    slow_detector: SlowResponseDetector,
    started: Instant,
    /// When the next message must be complete.
    deadline: Instant,
}

impl<'a> AnswerProgress<'a> {
    /// Starts to receive an answer; `rate_checked` says whether it is abandoned once it can't be complete in time.
    pub(super) fn new(attempt: &'a Attempt, rate_checked: bool) -> Self {
        AnswerProgress {
            attempt,
            rate_checked,
            too_slow: false,
            slow_detector: SlowResponseDetector::new(attempt.times.timeout),
            started: now(),
            deadline: attempt.times.deadline,
        }
    }

    /// Records that a complete answer is withheld: the next one may take as long as the first.
    pub(super) fn on_answer_withheld(&mut self) {
        self.slow_detector = SlowResponseDetector::new(self.attempt.times.timeout);
    }

    /// Excludes a span in which the gateway did not read from the answer's rate.
    pub(super) fn exclude_wait(&mut self, span: Duration) {
        self.slow_detector.exclude_wait(duration_to_ticks(span));
    }

    /// Returns the ticks from the start of the answer to `at`.
    fn ticks(&self, at: Instant) -> Ticks {
        duration_to_ticks(at.saturating_duration_since(self.started))
    }

    /// Records that the row is complete: only reported parameters and ReadyForQuery are still to come.
    pub(super) fn on_row_complete(&mut self, ready_timeout: Duration) {
        self.rate_checked = false;
        self.deadline = self.deadline.min(now() + ready_timeout);
    }

    /// Reads more of a message of `length` bytes, 0 if the length is unknown.
    ///
    /// # Errors
    ///
    /// The connection failed, or the answer can't be complete by its deadline.
    pub(super) async fn read_more(
        &mut self,
        socket: &mut BufferedConnection,
        length: usize,
    ) -> io::Result<()> {
        let before = socket.input.len();
        // Until the first byte, only the attempt's own timeout applies.
        if before == 0 && !self.slow_detector.has_started() {
            socket.read().await?;
        } else if !self.rate_checked {
            let read = timeout_at(self.deadline, socket.read()).await;
            read.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
        } else {
            // Bytes that have been received are read without a timer.
            match socket.read_received().await {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let next_check = now() + ticks_to_duration(self.slow_detector.check_interval());
                    timeout_at(next_check, socket.read())
                        .await
                        .unwrap_or(Ok(0))?;
                }
                read => {
                    read?;
                }
            }
        }
        if self.rate_checked {
            self.check_rate(socket.input.len(), before, length)?;
        }
        Ok(())
    }

    /// Checks whether a message of `length` bytes can be complete by the attempt's deadline.
    ///
    /// `before` and `received` are the numbers of its bytes before and after the last read.
    ///
    /// # Errors
    ///
    /// `TimedOut` if it can't.
    fn check_rate(&mut self, received: usize, before: usize, length: usize) -> io::Result<()> {
        let now = self.ticks(now());
        if received > before {
            self.slow_detector.on_bytes_received(now, received - before);
        }
        let missing = length.saturating_sub(received);
        let deadline = self.ticks(self.attempt.times.deadline);
        if self.slow_detector.cannot_finish(now, missing, deadline) {
            self.too_slow = true;
            return Err(ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}
