//! Queue of requests that need a server.

use std::collections::VecDeque;

/// Requests without a server: queued for their first attempt, queued for a retry, or waiting for
/// capacity.
#[derive(Debug, Default)]
pub struct RequestQueue {
    first_attempts: VecDeque<usize>,
    retries: VecDeque<usize>,
    waiting: Vec<usize>,
}

impl RequestQueue {
    /// Queues a request for its first attempt.
    pub fn push_first_attempt(&mut self, request: usize) {
        self.first_attempts.push_back(request);
    }

    /// Queues a request for a retry.
    pub fn push_retry(&mut self, request: usize) {
        self.retries.push_back(request);
    }

    /// Adds a request that waits for capacity, until [`RequestQueue::take_waiting`] removes it.
    pub fn push_waiting(&mut self, request: usize) {
        self.waiting.push(request);
    }

    /// Removes the next request, first attempts before retries.
    #[must_use]
    pub fn pop(&mut self) -> Option<usize> {
        self.first_attempts
            .pop_front()
            .or_else(|| self.retries.pop_front())
    }

    /// Removes all waiting requests.
    #[must_use]
    pub fn take_waiting(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.waiting)
    }

    /// Whether any request waits for capacity.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}
