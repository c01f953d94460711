//! The state that results from the records of a log, as recovered or as committed.

use std::collections::BTreeMap;

use crate::record_frame::{DecodedFrame, LogRecord, decode};

/// The place in a file from which it could not be recovered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornRecord {
    /// Name of the file.
    pub file: String,
    /// Offset of the first torn record, in bytes; 0 if the file could not be read at all.
    pub offset: usize,
}

/// The state that results from the records of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// Replication positions by session, those of [`ALL_SESSIONS`](crate::ALL_SESSIONS) included.
    pub positions: BTreeMap<u64, i64>,
    /// By replica set: the primary's name, and when it was observed.
    pub primaries: BTreeMap<u16, (String, i64)>,
    /// Replicated records by the hashes of their keys, each with the latest time in it; see [`LogRecord::Replicated`].
    pub replicated_records: BTreeMap<u64, (i64, Vec<u8>)>,
    /// All writes acknowledged up to this time are included; 0 if that is not known for any time.
    pub complete_until: i64,
    /// The log ended with a clean shutdown, and nothing is missing.
    pub closed_cleanly: bool,
    /// Torn records, in the order in which the files were read.
    pub torn_records: Vec<TornRecord>,
}

/// How far a file could be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileEnd {
    /// To the end of a snapshot, whose number of records matches its last record.
    CompleteSnapshot,
    /// To the end of the file, or to the end of a snapshot with another number of records.
    EndOfFile,
    /// To a torn record, or not at all.
    Torn,
}

impl RecoveredLog {
    /// Applies one record.
    pub(crate) fn apply(&mut self, record: LogRecord) {
        match record {
            LogRecord::Position { session, position } => {
                let held = self.positions.entry(session).or_insert(position);
                *held = (*held).max(position);
            }
            LogRecord::Primary {
                replica_set,
                server,
                observed_at,
            } => {
                let known = self.primaries.get(&replica_set);
                if known.is_none_or(|(_, known_at)| *known_at <= observed_at) {
                    self.primaries.insert(replica_set, (server, observed_at));
                }
            }
            LogRecord::CompleteUntil { at } => self.complete_until = self.complete_until.max(at),
            LogRecord::Closed { at } => {
                self.complete_until = self.complete_until.max(at);
                self.closed_cleanly = true;
            }
            LogRecord::Replicated {
                key,
                last_touched,
                value,
            } => {
                self.replicated_records.insert(key, (last_touched, value));
            }
            LogRecord::SnapshotEnd { .. } => {}
        }
    }

    /// Applies the records of a file up to the first torn one.
    pub(crate) fn apply_file(&mut self, bytes: &[u8], file: &str, number: u64) -> FileEnd {
        let (mut offset, mut records) = (0, 0);
        loop {
            match decode(&bytes[offset..], number) {
                DecodedFrame::Record(LogRecord::SnapshotEnd { count }, _) => {
                    return if count == records {
                        FileEnd::CompleteSnapshot
                    } else {
                        FileEnd::EndOfFile
                    };
                }
                DecodedFrame::Record(record, len) => {
                    // A record after a clean shutdown was written by a later process that has not shut down cleanly.
                    self.closed_cleanly = false;
                    self.apply(record);
                    offset += len;
                    records += 1;
                }
                DecodedFrame::End => return FileEnd::EndOfFile,
                DecodedFrame::Torn => {
                    self.push_torn(file, offset);
                    return FileEnd::Torn;
                }
            }
        }
    }

    /// Records the place from which a file could not be recovered.
    pub(crate) fn push_torn(&mut self, file: &str, offset: usize) {
        self.torn_records.push(TornRecord {
            file: file.to_owned(),
            offset,
        });
    }

    /// Drops the positions and replicated records that a snapshot leaves out: those more than `retention` (ticks of
    /// 100 µs) older than the newest of their kind that can expire.
    pub(crate) fn drop_expired(&mut self, retention: i64) {
        let newest = self.positions.values().copied().max().unwrap_or(0);
        let oldest = newest - retention;
        self.positions.retain(|_, position| *position >= oldest);
        let touched = self.replicated_records.values().map(|(at, _)| *at);
        let newest = touched.filter(|at| *at < i64::MAX).max().unwrap_or(0);
        let oldest = newest - retention;
        self.replicated_records.retain(|_, (at, _)| *at >= oldest);
    }

    /// The records of a snapshot of this state, without [`LogRecord::SnapshotEnd`].
    pub(crate) fn to_records(&self) -> impl Iterator<Item = LogRecord> {
        let positions = self.positions.iter();
        let positions = positions.map(|(session, position)| LogRecord::Position {
            session: *session,
            position: *position,
        });
        let primaries = self.primaries.iter();
        let primaries = primaries.map(|(set, (server, observed_at))| LogRecord::Primary {
            replica_set: *set,
            server: server.clone(),
            observed_at: *observed_at,
        });
        let replicated = self.replicated_records.iter();
        let replicated = replicated.map(|(key, (last_touched, value))| LogRecord::Replicated {
            key: *key,
            last_touched: *last_touched,
            value: value.clone(),
        });
        let until = LogRecord::CompleteUntil {
            at: self.complete_until,
        };
        positions.chain(primaries).chain(replicated).chain([until])
    }
}
