//! Group commit: a thread that commits records in batches, and its bounded queue.
//!
//! # Invariants
//!
//! Appending never blocks. A record that arrives while the queue is full is dropped and counted, and is not reported as
//! accepted.

use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::disk::Disk;
use crate::record_frame::LogRecord;
use crate::segmented_log::SegmentedLog;

/// Most queued records: those of about one second of a busy gateway.
const MAX_QUEUED: usize = 8_192;
/// Most records in one commit.
const MAX_BATCH: usize = 1_024;
const THREAD_NAME: &str = "store";

/// Counters of a group commit, shared with its thread.
#[derive(Debug, Default)]
pub struct CommitStats {
    /// Records committed.
    pub records: AtomicU64,
    /// Commits done, each of one batch of records.
    pub commits: AtomicU64,
    /// Records dropped because the queue was full or the thread had ended.
    pub dropped: AtomicU64,
    /// Set once a commit has failed; nothing is committed after it.
    pub failed: AtomicBool,
    /// The longest commit, in microseconds.
    pub longest_commit_micros: AtomicU64,
}

/// Queues records for a thread that commits them to a log in batches.
pub struct GroupCommit {
    queue: RefCell<Option<SyncSender<LogRecord>>>,
    thread: RefCell<Option<JoinHandle<()>>>,
    /// Counters, updated by the thread.
    pub stats: Arc<CommitStats>,
}

impl GroupCommit {
    /// Starts the thread. It collects the records that arrive within `interval` of the first and commits them together.
    ///
    /// A crash may lose the records of the last `interval` and of one commit.
    pub fn start<D: Disk + Send + 'static>(
        log: SegmentedLog<D>,
        interval: Duration,
    ) -> GroupCommit {
        let (queue, records) = sync_channel(MAX_QUEUED);
        let stats = Arc::new(CommitStats::default());
        let thread_stats = stats.clone();
        let thread = thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || commit_batches(log, &records, interval, &thread_stats));
        GroupCommit {
            queue: RefCell::new(Some(queue)),
            thread: RefCell::new(thread.ok()),
            stats,
        }
    }

    /// Queues a record without blocking. Returns false if it will not be committed: the queue is closed or full, or an
    /// earlier commit has failed.
    pub fn append(&self, record: LogRecord) -> bool {
        let queue = self.queue.borrow();
        let Some(queue) = &*queue else {
            return false;
        };
        if queue.try_send(record).is_err() {
            self.stats.dropped.fetch_add(1, Relaxed);
            return false;
        }
        !self.stats.failed.load(Relaxed)
    }

    /// Commits the queued records and waits for the thread to end. Unless a record was dropped, the last record is a
    /// [`LogRecord::Closed`] with the time `at`, in ticks of 100 µs.
    pub fn close(&self, at: i64) {
        if self.stats.dropped.load(Relaxed) == 0
            && let Some(queue) = &*self.queue.borrow()
        {
            // This fails if the thread has ended; then the log has failed and must not end with `Closed`.
            let _ = queue.send(LogRecord::Closed { at });
        }
        self.queue.replace(None);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn commit_batches<D: Disk>(
    mut log: SegmentedLog<D>,
    records: &Receiver<LogRecord>,
    interval: Duration,
    stats: &CommitStats,
) {
    while let Some(batch) = next_batch(records, interval) {
        let started = Instant::now();
        if log.commit(&batch).is_err() {
            stats.failed.store(true, Relaxed);
            return;
        }
        let micros = started.elapsed().as_micros() as u64;
        stats.longest_commit_micros.fetch_max(micros, Relaxed);
        stats.records.fetch_add(batch.len() as u64, Relaxed);
        stats.commits.fetch_add(1, Relaxed);
    }
}

/// Waits for a record and collects those that follow within `interval`; `None` once the queue is closed and empty.
fn next_batch(records: &Receiver<LogRecord>, interval: Duration) -> Option<Vec<LogRecord>> {
    let mut batch = vec![records.recv().ok()?];
    let deadline = Instant::now() + interval;
    while batch.len() < MAX_BATCH {
        match records.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            Ok(record) => batch.push(record),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
        }
    }
    Some(batch)
}
