//! Persistence of session positions: recovers them at the start and persists new ones.
//!
//! The event loop never waits for the disk. Without one, or where it fails, the gateway starts without the positions,
//! and sessions count as never met.

use std::rc::Rc;

use leverpoint_config::operator::SessionTracking;
use leverpoint_engine::engine::Engine;
use leverpoint_sessions::SessionPosition;
use leverpoint_storage::{
    ALL_SESSIONS, Directory, GroupCommit, LogLimits, LogRecord, SegmentedLog,
};

/// Recovers the persisted positions and starts to persist new ones; none where that is not configured or the disk
/// fails.
pub fn start(
    follow: &SessionTracking,
    exchange: &Engine,
    log: &slog::Logger,
) -> Option<Rc<GroupCommit>> {
    let (path, loses) = follow.disk.as_ref()?;
    let ledger = exchange.session_consistency.as_ref()?;
    let opened =
        Directory::open(path).and_then(|folder| SegmentedLog::open(folder, LogLimits::default()));
    let (store, read) = match opened {
        Ok(opened) => opened,
        Err(e) => {
            slog::error!(log, "session positions are not persisted"; "disk" => path, "why" => e.to_string());
            return None;
        }
    };
    for torn in &read.torn_records {
        slog::warn!(log, "session log file truncated"; "file" => &torn.file, "at" => torn.offset);
    }
    slog::info!(log, "session positions recovered"; "many" => read.positions.len(), "whole" => read.closed_cleanly);
    let records = read
        .positions
        .iter()
        .map(|(session, position)| SessionPosition {
            session: *session,
            position: *position,
        });
    let low_watermark = read.positions.get(&ALL_SESSIONS).copied().unwrap_or(0);
    ledger.on_recovered(
        records.filter(|record| record.session != ALL_SESSIONS),
        read.closed_cleanly.then_some(low_watermark),
    );
    let writer = Rc::new(GroupCommit::start(store, *loses));
    let queue = writer.clone();
    ledger.set_persister(Box::new(move |records| {
        records.for_each(|record| {
            queue.append(LogRecord::Position {
                session: record.session,
                position: record.position,
            });
        });
    }));
    Some(writer)
}
