//! Compares the log with the embedded store redb: commits of batches of positions, and recovery.

use std::time::Instant;

use leverpoint_storage::{Directory, LogLimits, LogRecord, SegmentedLog};
use redb::{Database, ReadableTable, TableDefinition};

const POSITIONS: TableDefinition<'_, u64, i64> = TableDefinition::new("positions");
/// Commits of one run.
const COMMITS: u64 = 400;
/// Positions in one commit.
const BATCH: u64 = 64;

/// Total size of the files in a directory, in MiB.
fn size_mib(path: &std::path::Path) -> f64 {
    let files = std::fs::read_dir(path).into_iter().flatten().flatten();
    files
        .filter_map(|file| file.metadata().ok())
        .map(|metadata| metadata.len())
        .sum::<u64>() as f64
        / 1_048_576.0
}

fn main() {
    let base = std::env::temp_dir().join(format!("leverpoint-bench-{}", std::process::id()));
    let (log_path, redb_path) = (base.join("log"), base.join("redb"));
    std::fs::create_dir_all(&redb_path).expect("a directory");
    let session_hash = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    {
        let (mut log, _) = SegmentedLog::open(
            Directory::open(&log_path).expect("a directory"),
            LogLimits::default(),
        )
        .expect("new");
        let started = Instant::now();
        for commit in 0..COMMITS {
            let records: Vec<_> = (0..BATCH)
                .map(|n| LogRecord::Position {
                    session: session_hash(commit * BATCH + n),
                    position: n as i64,
                })
                .collect();
            log.commit(&records).expect("committed");
        }
        let elapsed = started.elapsed();
        println!(
            "log: {:.0} us a commit of {BATCH}, {:.1} MiB",
            elapsed.as_micros() as f64 / COMMITS as f64,
            size_mib(&log_path)
        );
    }
    let started = Instant::now();
    let (_, recovered) = SegmentedLog::open(
        Directory::open(&log_path).expect("a directory"),
        LogLimits::default(),
    )
    .expect("there");
    println!(
        "log: {} read back in {:.1} ms",
        recovered.positions.len(),
        started.elapsed().as_secs_f64() * 1e3
    );
    {
        let database = Database::create(redb_path.join("db")).expect("new");
        let started = Instant::now();
        for commit in 0..COMMITS {
            let transaction = database.begin_write().expect("a transaction");
            {
                let mut table = transaction.open_table(POSITIONS).expect("a table");
                for n in 0..BATCH {
                    table
                        .insert(session_hash(commit * BATCH + n), n as i64)
                        .expect("inserted");
                }
            }
            transaction.commit().expect("inserted");
        }
        let elapsed = started.elapsed();
        println!(
            "redb: {:.0} us a commit of {BATCH}, {:.1} MiB",
            elapsed.as_micros() as f64 / COMMITS as f64,
            size_mib(&redb_path)
        );
    }
    let started = Instant::now();
    let database = Database::open(redb_path.join("db")).expect("there");
    let transaction = database.begin_read().expect("a transaction");
    let count = transaction
        .open_table(POSITIONS)
        .expect("a table")
        .iter()
        .expect("rows")
        .count();
    println!(
        "redb: {count} read back in {:.1} ms",
        started.elapsed().as_secs_f64() * 1e3
    );
    let _ = std::fs::remove_dir_all(&base);
}
