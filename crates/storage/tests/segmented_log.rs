//! Recovery of a log after each fault of a disk: no position is higher than the committed one, and the log is never
//! reported as more complete than it is.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use fastrand::Rng;
use leverpoint_storage::{
    DecodedFrame, Directory, Disk, GroupCommit, LogLimits, LogRecord, SegmentedLog, decode, encode,
};

/// A disk in memory that injects faults. A crash keeps all synced bytes of a file, and a given share of the others.
#[derive(Clone, Default)]
struct MemoryDisk {
    /// By name: bytes, and how many of them are synced.
    files: BTreeMap<String, (Vec<u8>, usize)>,
    /// Bytes that can still be appended; unlimited if `None`.
    free_bytes: Option<usize>,
    read_only: bool,
    /// Whether a crash undoes all renames and what followed the first of them.
    lost_renames: bool,
    /// The files before the first rename that a crash undoes.
    before_rename: Option<BTreeMap<String, (Vec<u8>, usize)>>,
    /// Whether reads return only the first half of a file.
    short_reads: bool,
}

impl MemoryDisk {
    /// The disk after a power failure that has kept `unsynced_share` (0 to 1) of each file's unsynced bytes.
    fn crash(mut self, unsynced_share: f64) -> MemoryDisk {
        if let Some(before) = self.before_rename.take() {
            self.files = before;
        }
        for (bytes, synced) in self.files.values_mut() {
            let kept_len = *synced + ((bytes.len() - *synced) as f64 * unsynced_share) as usize;
            bytes.truncate(kept_len);
            *synced = kept_len;
        }
        MemoryDisk {
            files: self.files,
            ..MemoryDisk::default()
        }
    }
}

impl Disk for MemoryDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let (bytes, _) = self.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(bytes[..if self.short_reads {
            bytes.len() / 2
        } else {
            bytes.len()
        }]
            .to_vec())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        let written = self
            .free_bytes
            .map_or(bytes.len(), |free| free.min(bytes.len()));
        self.files
            .entry(name.into())
            .or_default()
            .0
            .extend(&bytes[..written]);
        self.free_bytes = self.free_bytes.map(|free| free - written);
        if written < bytes.len() {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let (bytes, synced) = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        *synced = bytes.len();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.lost_renames && self.before_rename.is_none() {
            self.before_rename = Some(self.files.clone());
        }
        let file = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files
            .remove(name)
            .map(drop)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

const SMALL_LIMITS: LogLimits = LogLimits {
    segment_bytes: 6_000,
    max_positions: 5_000,
    position_retention: i64::MAX / 2,
};

fn position_record(n: u64) -> LogRecord {
    LogRecord::Position {
        session: n % 97,
        position: n as i64 * 10,
    }
}

/// A log after `commits` commits of five positions each, and the position committed last for each session.
fn log_with_commits(
    disk: MemoryDisk,
    commits: u64,
) -> (SegmentedLog<MemoryDisk>, BTreeMap<u64, i64>) {
    let (mut log, _) = SegmentedLog::open(disk, SMALL_LIMITS).unwrap();
    let mut committed = BTreeMap::new();
    for commit in 0..commits {
        let mut records: Vec<LogRecord> = (0..5).map(|n| position_record(commit * 5 + n)).collect();
        records.push(LogRecord::CompleteUntil {
            at: commit as i64 * 50 + 49,
        });
        records.push(LogRecord::Primary {
            replica_set: 3,
            server: format!("s{commit}"),
            observed_at: commit as i64,
        });
        log.commit(&records).unwrap();
        for n in commit * 5..commit * 5 + 5 {
            committed.insert(n % 97, n as i64 * 10);
        }
    }
    (log, committed)
}

/// Checks that no recovered position is higher than the committed one, and that the log is complete up to its
/// `complete_until`.
fn assert_recovered(
    recovered: &leverpoint_storage::RecoveredLog,
    committed: &BTreeMap<u64, i64>,
    commits: u64,
) {
    for (session, position) in &recovered.positions {
        assert!(
            committed
                .get(session)
                .is_some_and(|committed_position| position <= committed_position),
            "{session}"
        );
    }
    for n in 0..commits * 5 {
        if (n as i64 * 10) <= recovered.complete_until
            && n as i64 / 5 * 50 + 49 <= recovered.complete_until
        {
            assert!(
                recovered
                    .positions
                    .get(&(n % 97))
                    .is_some_and(|recovered_position| *recovered_position >= n as i64 * 10),
                "{n} {}",
                recovered.complete_until
            );
        }
    }
}

#[test]
fn commits_are_recovered_across_segments_and_restarts() {
    let (log, committed) = log_with_commits(MemoryDisk::default(), 400);
    let (log, recovered) = SegmentedLog::open(log.into_disk().crash(0.0), SMALL_LIMITS).unwrap();
    assert_eq!(
        (
            &recovered.positions,
            recovered.complete_until,
            recovered.closed_cleanly,
            recovered.torn_records.len()
        ),
        (&committed, 399 * 50 + 49, false, 0)
    );
    assert_eq!(recovered.primaries[&3].0, "s399");
    let mut disk = log.into_disk();
    assert!(disk.list().unwrap().len() <= 2, "{:?}", disk.list());
    for _ in 0..5 {
        let (log, reopened) = SegmentedLog::open(disk, SMALL_LIMITS).unwrap();
        assert_eq!(reopened.positions, committed);
        disk = log.into_disk();
    }
}

#[test]
fn truncated_log_is_recovered_to_its_last_complete_record() {
    let (log, committed) = log_with_commits(MemoryDisk::default(), 330);
    let disk = log.into_disk();
    let log_file = disk
        .files
        .keys()
        .find(|name| name.starts_with("log-"))
        .unwrap()
        .clone();
    let length = disk.files[&log_file].0.len();
    let mut torn = 0;
    for cut in length.saturating_sub(4_096)..=length {
        let mut truncated = disk.clone();
        truncated.files.get_mut(&log_file).unwrap().0.truncate(cut);
        let (log, recovered) = SegmentedLog::open(truncated, SMALL_LIMITS).unwrap();
        assert_recovered(&recovered, &committed, 330);
        torn += usize::from(!recovered.torn_records.is_empty());
        // The log that continues from it is recovered without a torn record.
        let (_, reopened) = SegmentedLog::open(log.into_disk(), SMALL_LIMITS).unwrap();
        assert_eq!(
            (reopened.positions, reopened.torn_records.len()),
            (recovered.positions, 0)
        );
    }
    assert!(torn > 1_000, "{torn}");
}

#[test]
fn flipped_bits_are_detected() {
    let (log, committed) = log_with_commits(MemoryDisk::default(), 330);
    let disk = log.into_disk();
    let mut random = Rng::with_seed(4);
    for name in disk.files.keys() {
        for _ in 0..1_500 {
            let mut flipped = disk.clone();
            let bytes = &mut flipped.files.get_mut(name).unwrap().0;
            let at = random.usize(..bytes.len());
            bytes[at] ^= 1 << random.u8(..8);
            let (_, recovered) = SegmentedLog::open(flipped, SMALL_LIMITS).unwrap();
            assert_recovered(&recovered, &committed, 330);
            assert!(
                !recovered.torn_records.is_empty() && !recovered.closed_cleanly,
                "{name} {at}"
            );
        }
    }
}

#[test]
fn crash_loses_no_synced_commit() {
    let mut random = Rng::with_seed(8);
    for round in 0..200u64 {
        let commits = random.u64(1..300);
        let (log, committed) = log_with_commits(MemoryDisk::default(), commits);
        let mut disk = log.into_disk();
        // Bytes of a commit that had not been synced.
        let log_file = disk
            .files
            .keys()
            .filter(|n| n.starts_with("log-"))
            .max()
            .cloned();
        if let Some(log_file) = log_file {
            disk.append(
                &log_file,
                &random.u64(..).to_be_bytes().repeat(random.usize(1..9)),
            )
            .unwrap();
        }
        let (_, recovered) = SegmentedLog::open(disk.crash(random.f64()), SMALL_LIMITS).unwrap();
        assert_eq!(recovered.positions, committed, "{round}");
        assert_eq!(recovered.complete_until, commits as i64 * 50 - 1);
    }
}

#[test]
fn full_or_read_only_disk_fails_the_log_and_keeps_its_commits() {
    for free_bytes in 0..400 {
        let (log, committed) = log_with_commits(MemoryDisk::default(), 30);
        let mut disk = log.into_disk();
        disk.free_bytes = Some(free_bytes);
        let Ok((mut log, _)) = SegmentedLog::open(disk.clone(), SMALL_LIMITS) else {
            disk.free_bytes = None;
            assert_eq!(
                SegmentedLog::open(disk.crash(1.0), SMALL_LIMITS)
                    .unwrap()
                    .1
                    .positions,
                committed
            );
            continue;
        };
        let failed = (0..40).any(|n| log.commit(&[position_record(150 + n)]).is_err());
        assert!(
            !failed || log.commit(&[position_record(400)]).is_err(),
            "a commit succeeds after a failed one"
        );
        let (_, recovered) = SegmentedLog::open(log.into_disk().crash(1.0), SMALL_LIMITS).unwrap();
        committed
            .iter()
            .for_each(|(session, position)| assert!(recovered.positions[session] >= *position));
    }
    let (log, _) = log_with_commits(MemoryDisk::default(), 3);
    let mut disk = log.into_disk();
    disk.read_only = true;
    assert!(SegmentedLog::open(disk, SMALL_LIMITS).is_err());
}

#[test]
fn lost_rename_or_short_read_claims_nothing_that_is_missing() {
    let (log, _) = log_with_commits(MemoryDisk::default(), 100);
    let mut disk = log.into_disk();
    disk.lost_renames = true;
    let (mut log, _) = SegmentedLog::open(disk, SMALL_LIMITS).unwrap();
    log.commit(&[position_record(500), LogRecord::Closed { at: 9_999 }])
        .unwrap();
    let (_, recovered) = SegmentedLog::open(log.into_disk().crash(1.0), SMALL_LIMITS).unwrap();
    assert!(
        !recovered.closed_cleanly && recovered.complete_until < 9_999,
        "{recovered:?}"
    );
    let (log, committed) = log_with_commits(MemoryDisk::default(), 100);
    let mut disk = log.into_disk();
    disk.short_reads = true;
    let recovered = SegmentedLog::open(disk, SMALL_LIMITS).unwrap().1;
    assert_recovered(&recovered, &committed, 100);
    assert!(!recovered.torn_records.is_empty());
}

#[test]
fn log_is_closed_cleanly_only_by_its_last_record() {
    let (mut log, committed) = log_with_commits(MemoryDisk::default(), 50);
    log.commit(&[LogRecord::Closed { at: 3_000 }]).unwrap();
    let (mut log, recovered) =
        SegmentedLog::open(log.into_disk().crash(0.0), SMALL_LIMITS).unwrap();
    assert_eq!(
        (
            recovered.closed_cleanly,
            recovered.complete_until,
            &recovered.positions
        ),
        (true, 3_000, &committed)
    );
    log.commit(&[position_record(900)]).unwrap();
    assert!(
        !SegmentedLog::open(log.into_disk().crash(0.0), SMALL_LIMITS)
            .unwrap()
            .1
            .closed_cleanly
    );
}

#[test]
fn directory_is_locked_and_group_commit_persists_accepted_records() {
    let path = std::env::temp_dir().join(format!("leverpoint-store-{}", std::process::id()));
    let open = || {
        Directory::open(&path)
            .map(|directory| SegmentedLog::open(directory, LogLimits::default()).unwrap())
    };
    let (log, _) = open().unwrap();
    assert!(open().is_err(), "the directory is opened twice");
    let group_commit = GroupCommit::start(log, Duration::from_millis(1));
    let stats = group_commit.stats.clone();
    assert!((0..3_000).all(|n| group_commit.append(position_record(n))));
    group_commit.close(77);
    assert_eq!(
        (stats.records.load(Relaxed), stats.dropped.load(Relaxed)),
        (3_001, 0)
    );
    let (_, recovered) = open().unwrap();
    std::fs::remove_dir_all(&path).unwrap();
    assert_eq!(
        (
            recovered.closed_cleanly,
            recovered.positions.len(),
            recovered.positions[&0]
        ),
        (true, 97, 2_910 * 10)
    );
}

#[test]
fn random_frames_are_torn_and_never_read_past_their_end() {
    let mut random = Rng::with_seed(6);
    for _ in 0..20_000 {
        let random_bytes: Vec<u8> = (0..random.usize(1..60)).map(|_| random.u8(..)).collect();
        assert!(matches!(decode(&random_bytes, 1), DecodedFrame::Torn));
    }
    let mut out = Vec::new();
    encode(
        &mut out,
        1,
        &LogRecord::Primary {
            replica_set: 1,
            server: "ü".repeat(400),
            observed_at: 5,
        },
    );
    assert!(matches!(
        decode(&out, 1),
        DecodedFrame::Record(LogRecord::Primary { .. }, _)
    ));
    assert_eq!(
        decode(&out, 2),
        DecodedFrame::Torn,
        "a frame of another file"
    );
}

#[test]
fn evicted_positions_count_for_every_session() {
    let limits = LogLimits {
        max_positions: 50,
        ..SMALL_LIMITS
    };
    let (mut log, _) = SegmentedLog::open(MemoryDisk::default(), limits).unwrap();
    for n in 1..2_000u64 {
        log.commit(&[LogRecord::Position {
            session: n,
            position: n as i64,
        }])
        .unwrap();
    }
    let (_, recovered) = SegmentedLog::open(log.into_disk().crash(0.0), limits).unwrap();
    let low_watermark = recovered.positions[&leverpoint_storage::ALL_SESSIONS];
    assert!(
        recovered.positions.len() <= 2 * 50 + 1_000,
        "{}",
        recovered.positions.len()
    );
    (1..2_000u64).for_each(|n| {
        assert!(
            recovered
                .positions
                .get(&n)
                .is_some_and(|position| *position >= n as i64)
                || low_watermark >= n as i64
        );
    });
}

#[test]
fn snapshot_is_the_newest_synced_value_or_none() {
    use leverpoint_storage::snapshot::{self, SnapshotRead};
    let mut disk = MemoryDisk::default();
    assert_eq!(snapshot::read(&mut disk).unwrap(), SnapshotRead::Missing);
    snapshot::write(&mut disk, b"one").unwrap();
    snapshot::write(&mut disk, b"two and longer").unwrap();
    // Power lost during the next write: with the disk full after each number of bytes, and with the rename undone.
    for free_bytes in 0..16 {
        let mut full_disk = MemoryDisk {
            free_bytes: Some(free_bytes),
            ..disk.clone()
        };
        let written = snapshot::write(&mut full_disk, b"three as well").is_ok();
        let mut crashed_disk = full_disk.crash(0.5);
        let expected: &[u8] = if written {
            b"three as well"
        } else {
            b"two and longer"
        };
        assert_eq!(
            snapshot::read(&mut crashed_disk).unwrap(),
            SnapshotRead::Complete(expected.to_vec()),
            "{free_bytes} bytes free"
        );
        snapshot::write(&mut crashed_disk, b"four").unwrap();
        assert_eq!(
            snapshot::read(&mut crashed_disk).unwrap(),
            SnapshotRead::Complete(b"four".to_vec())
        );
    }
    let mut faulty_disk = disk.clone();
    faulty_disk.lost_renames = true;
    snapshot::write(&mut faulty_disk, b"three").unwrap();
    assert_eq!(
        snapshot::read(&mut faulty_disk.crash(0.0)).unwrap(),
        SnapshotRead::Complete(b"two and longer".to_vec())
    );
    // Each bit flipped in turn, and the file truncated to each length.
    let (name, (bytes, _)) = disk
        .files
        .iter()
        .next()
        .map(|(n, b)| (n.clone(), b.clone()))
        .unwrap();
    for bit in 0..bytes.len() * 8 {
        let mut corrupted = disk.clone();
        corrupted.files.get_mut(&name).unwrap().0[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(
            snapshot::read(&mut corrupted).unwrap(),
            SnapshotRead::Corrupt,
            "bit {bit}"
        );
    }
    for length in 0..bytes.len() {
        let mut truncated = disk.clone();
        truncated.files.get_mut(&name).unwrap().0.truncate(length);
        assert_eq!(
            snapshot::read(&mut truncated).unwrap(),
            SnapshotRead::Corrupt,
            "length {length}"
        );
    }
}
