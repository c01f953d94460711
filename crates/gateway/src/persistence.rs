//! Persistence of session positions: recovers them at the start and persists new ones.
//!
//! The event loop never waits for the disk. If no disk is configured, or it fails, the gateway starts without the
//! positions and treats every session as unknown.

use std::rc::Rc;

use leverpoint_config::operator::SessionTracking;
use leverpoint_engine::engine::Engine;
use leverpoint_sessions::SessionPosition;
use leverpoint_storage::{
    ALL_SESSIONS, Directory, GroupCommit, LogLimits, LogRecord, SegmentedLog,
};

/// Recovers the persisted positions and starts the thread that persists new ones.
///
/// Returns `None` if persistence is not configured or the disk fails; a failure is logged.
pub fn start(
    session_tracking: &SessionTracking,
    engine: &Engine,
    log: &slog::Logger,
) -> Option<Rc<GroupCommit>> {
    let (path, commit_interval) = session_tracking.disk.as_ref()?;
    let session_consistency = engine.session_consistency.as_ref()?;
    let opened = Directory::open(path)
        .and_then(|directory| SegmentedLog::open(directory, LogLimits::default()));
    let (segmented_log, recovered) = match opened {
        Ok(opened) => opened,
        Err(e) => {
            slog::error!(log, "session positions are not persisted"; "disk" => path, "why" => e.to_string());
            return None;
        }
    };
    for torn_record in &recovered.torn_records {
        slog::warn!(log, "session log file truncated"; "file" => &torn_record.file, "at" => torn_record.offset);
    }
    slog::info!(log, "session positions recovered"; "many" => recovered.positions.len(),
        "whole" => recovered.closed_cleanly);
    let records = recovered
        .positions
        .iter()
        .map(|(session, position)| SessionPosition {
            session: *session,
            position: *position,
        });
    let low_watermark = recovered.positions.get(&ALL_SESSIONS).copied().unwrap_or(0);
    session_consistency.on_recovered(
        records.filter(|record| record.session != ALL_SESSIONS),
        recovered.closed_cleanly.then_some(low_watermark),
    );
    let writer = Rc::new(GroupCommit::start(segmented_log, *commit_interval));
    let queue = writer.clone();
    session_consistency.set_persister(Box::new(move |records| {
        records.for_each(|record| {
            queue.append(LogRecord::Position {
                session: record.session,
                position: record.position,
            });
        });
    }));
    Some(writer)
}
