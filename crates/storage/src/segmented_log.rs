//! A log in segments with snapshots, and its recovery after a crash.
//!
//! # Invariants
//!
//! No recovered position is higher than the committed one. Nothing behind a torn record of a file is recovered.

use std::io;

use crate::disk::Disk;
use crate::record_frame::{LogRecord, encode};
use crate::recovered_log::{FileEnd, RecoveredLog};

/// Bounds of a log.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Size in bytes above which a segment is closed and a snapshot replaces it and all files before it.
    pub segment_bytes: usize,
    /// Most positions held; the lowest are evicted first.
    pub max_positions: usize,
    /// Positions and replicated records that are older than this, in ticks of 100 µs, than the newest are left out of
    /// snapshots: every replica has caught up with such positions.
    pub position_retention: i64,
}

impl Default for LogLimits {
    fn default() -> Self {
        LogLimits {
            segment_bytes: 4 << 20,
            max_positions: 1 << 17,
            position_retention: 36_000_000,
        }
    }
}

/// Reserved number that no session has. Any session may have written up to the position stored under it, which replaces
/// evicted positions.
pub const ALL_SESSIONS: u64 = 0;

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snap-";
/// Name of a snapshot while it is being written.
const NEXT_SNAPSHOT: &str = "next";
/// Hexadecimal digits of a file number in a file name.
const NUMBER_DIGITS: usize = 16;
/// One in this many positions is evicted at once when there are too many.
const EVICTED_FRACTION: usize = 10;
/// Length of the frame of a position, in bytes.
const POSITION_FRAME_LEN: usize = 22;

/// A log on a disk, with the state that results from its records.
pub struct SegmentedLog<D: Disk> {
    disk: D,
    limits: LogLimits,
    state: RecoveredLog,
    /// Number of the segment that is appended to.
    segment: u64,
    segment_len: usize,
    last_snapshot_len: usize,
    /// Set once a write has failed: the disk may have a part of it, so nothing is written after it.
    failed: bool,
}

impl<D: Disk> SegmentedLog<D> {
    /// Recovers the log and starts a new segment. Segments of an earlier process are never appended to.
    ///
    /// # Errors
    ///
    /// The disk can't be listed or written. A file that can't be read is reported as torn instead.
    pub fn open(mut disk: D, limits: LogLimits) -> io::Result<(SegmentedLog<D>, RecoveredLog)> {
        let names = disk.list()?;
        let snapshots = file_numbers(&names, SNAPSHOT_PREFIX);
        let segments = file_numbers(&names, LOG_PREFIX);
        let (mut recovered, snapshot) = read_newest_snapshot(&mut disk, &snapshots);
        let complete = replay_segments(&mut disk, &mut recovered, &segments, snapshot);
        recovered.closed_cleanly &= complete && recovered.torn_records.is_empty();
        if !recovered.torn_records.is_empty() && snapshot == 0 {
            recovered.complete_until = 0;
        }
        let last = segments.last().max(snapshots.last());
        let mut log = SegmentedLog {
            disk,
            limits,
            state: RecoveredLog {
                torn_records: Vec::new(),
                closed_cleanly: false,
                ..recovered.clone()
            },
            segment: last.copied().unwrap_or(0) + 1,
            segment_len: 0,
            last_snapshot_len: 0,
            failed: false,
        };
        // A snapshot of the recovered state replaces the old files, torn ones included.
        log.compact()?;
        Ok((log, recovered))
    }

    /// Appends and syncs records. A crash after that loses none of them.
    ///
    /// # Errors
    ///
    /// The disk has failed, now or in an earlier commit.
    pub fn commit(&mut self, records: &[LogRecord]) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("an earlier write to the log has failed"));
        }
        let mut bytes = Vec::with_capacity(records.len() * POSITION_FRAME_LEN);
        for record in records {
            encode(&mut bytes, self.segment, record);
        }
        let file = file_name(LOG_PREFIX, self.segment);
        let written = self
            .disk
            .append(&file, &bytes)
            .and_then(|()| self.disk.sync(&file));
        if let Err(error) = written {
            // The append may have been written in part; a record after it could not be recovered.
            self.failed = true;
            return Err(error);
        }
        for record in records {
            self.state.apply(record.clone());
        }
        self.segment_len += bytes.len();
        while self.state.positions.len() > self.limits.max_positions {
            self.evict_lowest_positions();
        }
        // Also longer than the last snapshot: a snapshot then takes no more bytes than the records written since.
        if self.segment_len > self.limits.segment_bytes.max(self.last_snapshot_len) {
            self.compact()?;
        }
        Ok(())
    }

    /// Evicts the lowest tenth of the positions, and raises that of [`ALL_SESSIONS`] to the highest one evicted.
    fn evict_lowest_positions(&mut self) {
        let mut positions: Vec<i64> = self.state.positions.values().copied().collect();
        let evicted = positions.len() / EVICTED_FRACTION;
        let (_, highest, _) = positions.select_nth_unstable(evicted);
        let highest = *highest;
        self.state
            .positions
            .retain(|_, position| *position > highest);
        self.state.apply(LogRecord::Position {
            session: ALL_SESSIONS,
            position: highest,
        });
    }

    /// Writes a snapshot of the state and starts a new segment.
    ///
    /// The files that the snapshot replaces are removed once it has its final name on disk.
    fn compact(&mut self) -> io::Result<()> {
        let number = self.segment + 1;
        self.state.drop_expired(self.limits.position_retention);
        let (mut bytes, mut count) = (Vec::new(), 0);
        for record in self.state.to_records() {
            encode(&mut bytes, number, &record);
            count += 1;
        }
        encode(&mut bytes, number, &LogRecord::SnapshotEnd { count });
        if let Err(error) = self.write_snapshot(number, &bytes) {
            self.failed = true;
            return Err(error);
        }
        self.segment = number;
        self.segment_len = 0;
        self.last_snapshot_len = bytes.len();
        for name in self.disk.list()? {
            let old =
                file_number(&name, LOG_PREFIX).or_else(|| file_number(&name, SNAPSHOT_PREFIX));
            if old.is_some_and(|old| old < number) {
                // A file that can't be removed does not change what is recovered.
                let _ = self.disk.remove(&name);
            }
        }
        Ok(())
    }

    fn write_snapshot(&mut self, number: u64, bytes: &[u8]) -> io::Result<()> {
        if self.disk.list()?.iter().any(|name| name == NEXT_SNAPSHOT) {
            self.disk.remove(NEXT_SNAPSHOT)?;
        }
        self.disk.append(NEXT_SNAPSHOT, bytes)?;
        self.disk.sync(NEXT_SNAPSHOT)?;
        let name = file_name(SNAPSHOT_PREFIX, number);
        self.disk.rename(NEXT_SNAPSHOT, &name)
    }

    /// Returns the disk, without writing to it.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// The state and number of the newest complete snapshot; an empty state and 0 if there is none.
///
/// A snapshot is renamed to its final name only after it has been synced, so an incomplete one was damaged by the disk.
fn read_newest_snapshot<D: Disk>(disk: &mut D, snapshots: &[u64]) -> (RecoveredLog, u64) {
    let mut torn_records = Vec::new();
    for number in snapshots.iter().rev() {
        let mut recovered = RecoveredLog {
            torn_records: std::mem::take(&mut torn_records),
            ..RecoveredLog::default()
        };
        let file = file_name(SNAPSHOT_PREFIX, *number);
        if read_file(disk, &mut recovered, &file, *number) == FileEnd::CompleteSnapshot {
            return (recovered, *number);
        }
        torn_records = recovered.torn_records;
    }
    let recovered = RecoveredLog {
        torn_records,
        ..RecoveredLog::default()
    };
    (recovered, 0)
}

/// Applies the segments that follow a snapshot, and returns whether none of them is missing or torn.
///
/// A segment raises [`RecoveredLog::complete_until`] only if no segment before it is missing or torn.
fn replay_segments<D: Disk>(
    disk: &mut D,
    recovered: &mut RecoveredLog,
    segments: &[u64],
    snapshot: u64,
) -> bool {
    // Each segment follows a snapshot of the same number; without that, the log is not complete up to any time.
    let mut complete = recovered.torn_records.is_empty() && snapshot > 0;
    let mut next = snapshot;
    for number in segments.iter().filter(|number| **number >= snapshot) {
        let complete_until = recovered.complete_until;
        complete &= *number == next;
        next = number + 1;
        let file = file_name(LOG_PREFIX, *number);
        let end = read_file(disk, recovered, &file, *number);
        if !complete {
            recovered.complete_until = complete_until;
        }
        complete &= end != FileEnd::Torn;
    }
    complete
}

fn read_file<D: Disk>(
    disk: &mut D,
    recovered: &mut RecoveredLog,
    file: &str,
    number: u64,
) -> FileEnd {
    if let Ok(bytes) = disk.read(file) {
        return recovered.apply_file(&bytes, file, number);
    }
    recovered.push_torn(file, 0);
    FileEnd::Torn
}

/// The numbers of the files with this name prefix, in ascending order.
fn file_numbers(names: &[String], prefix: &str) -> Vec<u64> {
    let numbers = names.iter().filter_map(|name| file_number(name, prefix));
    let mut numbers: Vec<u64> = numbers.collect();
    numbers.sort_unstable();
    numbers
}

fn file_number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    if digits.len() != NUMBER_DIGITS {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

fn file_name(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:016x}")
}
