//! Data directories that the released program has written are read by this one, whatever the types are called here.
//!
//! `stored/sessions`: five sessions wrote, the process was killed and restarted, five sessions wrote, and it was killed
//! again; the last record of the log lacks its last bytes. `stored/member`: the data of the same process as a fleet
//! member and as a replica holder.

use std::path::{Path, PathBuf};

use leverpoint_peer_transport::membership_runtime::decode_state;
use leverpoint_replication::{PersistedMetadata, Record};
use leverpoint_storage::{Directory, LogLimits, RecoveredLog, SegmentedLog, snapshot};

/// A temporary copy of a stored data directory, so that opening it does not change the original; removed on drop.
struct StoredCopy(PathBuf);

impl StoredCopy {
    fn new(name: &str) -> StoredCopy {
        let from = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/stored")
            .join(name);
        let to = format!(
            "leverpoint-stored-{}-{}",
            std::process::id(),
            name.replace('/', "-")
        );
        let to = std::env::temp_dir().join(to);
        std::fs::create_dir_all(&to).unwrap();
        for entry in std::fs::read_dir(from).unwrap().map(Result::unwrap) {
            if entry.path().is_file() {
                std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
            }
        }
        StoredCopy(to)
    }

    fn recover_log(&self) -> RecoveredLog {
        SegmentedLog::open(Directory::open(&self.0).unwrap(), LogLimits::default())
            .unwrap()
            .1
    }
}

impl Drop for StoredCopy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn session_positions_are_recovered_up_to_the_torn_record() {
    let log = StoredCopy::new("sessions").recover_log();
    let mut lines: Vec<String> = log
        .positions
        .iter()
        .map(|(session, position)| format!("session {session:016x} at {position}"))
        .collect();
    lines.extend(
        log.torn_records
            .iter()
            .map(|torn| format!("torn {} at {}", torn.file, torn.offset)),
    );
    lines.push(format!(
        "until {}, closed {}",
        log.complete_until, log.closed_cleanly
    ));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn persisted_member_state_is_recovered() {
    let directory = StoredCopy::new("member");
    let snapshot::SnapshotRead::Complete(value) =
        snapshot::read(&mut Directory::open(&directory.0).unwrap()).unwrap()
    else {
        panic!("the member state is not complete");
    };
    let state = decode_state(&value).expect("the member state does not decode");
    let holders = state
        .layout
        .holders
        .iter()
        .map(|holder| holder.name.as_str())
        .collect::<Vec<_>>();
    insta::assert_snapshot!(format!(
        "life {}, memory {:016x}, layout {} of {}, digest {:016x}, round {}, accepted {}",
        state.incarnation.number,
        state.incarnation.storage_id,
        state.layout.version,
        holders.join(" "),
        state.layout.digest(),
        state.acceptor.promised.round,
        state.acceptor.accepted.is_some(),
    ));
}

#[test]
fn persisted_replicated_records_are_recovered() {
    let log = StoredCopy::new("member/copies").recover_log();
    let (meta, records): (Vec<_>, Vec<_>) = log
        .replicated_records
        .iter()
        .partition(|(key, _)| **key == 0);
    let (storage_id, meta): (u64, PersistedMetadata) = postcard::from_bytes(&meta[0].1.1).unwrap();
    let versions: Vec<u64> = meta.layouts.iter().map(|layout| layout.version).collect();
    let mut lines = vec![format!(
        "memory {storage_id:016x}, floor {}, layouts {versions:?}",
        meta.low_watermark
    )];
    for (key, (last_touched, value)) in records {
        let record: Record = postcard::from_bytes(value).unwrap();
        assert_eq!(
            (record.key.hash(), record.last_touched(), record.is_valid()),
            (*key, *last_touched, true)
        );
        lines.push(format!(
            "record {key:016x}, last touched {last_touched}, digest {:016x}",
            record.digest()
        ));
    }
    lines.push(format!("torn {}", log.torn_records.len()));
    insta::assert_snapshot!(lines.join("\n"));
}
