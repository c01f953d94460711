//! This gateway's part in replication: persists the records that it holds, gives the engine access to the replica
//! holders, and recovers drains and primaries from them before the first request.
//!
//! # Invariants
//!
//! A record counts as persisted only once the disk has it. Recovery at a start ends by its timeout, whether or not the
//! replica holders have answered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use leverpoint_config::replication::ReplicationSettings;
use leverpoint_config::settings::duration_to_ticks;
use leverpoint_engine::engine::{EndpointEntry, Engine};
use leverpoint_engine::replicated_state::{ReplicatedState, WriteDecision};
use leverpoint_peer_transport::{
    MemberRuntime, ReplicationRuntime, ReplicationStore, WriteClearance,
};
use leverpoint_replication::{
    EndpointSummary, IdempotencyClaim, IdempotencyDecision, PersistedMetadata, PrimaryRole, Record,
    RecordKey, RecordValue, RecoveredState, ReplicationEvent, Ticks, WriteOutcome,
};
use leverpoint_routing::api::{EndpointState, EndpointUpdate};
use leverpoint_runtime::{Instant, now, since, sleep, spawn, timeout_at};
use leverpoint_storage::{Directory, LogLimits, LogRecord, SegmentedLog};
use tokio::sync::oneshot;

/// Key under which the log holds the metadata; no record has the key 0.
const METADATA_KEY: u64 = 0;

/// Records to persist, and the sender that reports whether that has succeeded.
type Batch = (Vec<LogRecord>, oneshot::Sender<bool>);

/// Persists records on a thread of its own, so that the event loop does not wait for the disk.
struct RecordWriter {
    queue: SyncSender<Batch>,
    /// Written beside the metadata, which is valid only with this storage id.
    storage_id: u64,
}

/// Maximum number of batches queued for the writer thread.
const QUEUE_LENGTH: usize = 4_096;

/// Size of a segment of the record log.
const SEGMENT_BYTES: usize = 16 << 20;

/// Persists the received batches until the queue is closed, all queued ones in one commit; runs on the writer thread.
fn persist_all(mut store: SegmentedLog<Directory>, batches: &Receiver<Batch>) {
    while let Ok((mut log_records, sender)) = batches.recv() {
        let mut senders = vec![sender];
        while let Ok((batch, sender)) = batches.try_recv() {
            log_records.extend(batch);
            senders.push(sender);
        }
        let persisted = log_records.is_empty() || store.commit(&log_records).is_ok();
        for sender in senders {
            // The receiver is gone if the gateway has ended.
            let _ = sender.send(persisted);
        }
    }
}

/// Encodes a record for the log; `None` if it cannot be serialized.
fn log_record(record: &Record) -> Option<LogRecord> {
    let value = postcard::to_stdvec(record).ok()?;
    Some(LogRecord::Replicated {
        key: record.key.hash(),
        last_touched: record.last_touched(),
        value,
    })
}

/// Encodes the metadata for the log; `None` if it cannot be serialized.
///
/// What earlier programs did not record follows behind the rest, where they do not read it.
fn encode_metadata(storage_id: u64, metadata: &PersistedMetadata) -> Option<Vec<u8>> {
    let mut value = postcard::to_stdvec(&(storage_id, metadata)).ok()?;
    value.extend(postcard::to_stdvec(&metadata.unreplicated_until).ok()?);
    Some(value)
}

/// Decodes storage id and metadata from the log.
fn decode_metadata(value: &[u8]) -> Option<(u64, PersistedMetadata)> {
    let ((storage_id, mut metadata), rest) =
        postcard::take_from_bytes::<(u64, PersistedMetadata)>(value).ok()?;
    // An earlier program's value ends here, so that is unknown.
    metadata.unreplicated_until = postcard::from_bytes(rest).unwrap_or_default();
    Some((storage_id, metadata))
}

impl ReplicationStore for RecordWriter {
    fn persist(
        &self,
        records: Vec<Record>,
        metadata: Option<PersistedMetadata>,
        on_persisted: Box<dyn FnOnce(bool)>,
    ) {
        let mut log_records: Vec<LogRecord> = records.iter().filter_map(log_record).collect();
        let metadata = metadata.and_then(|metadata| encode_metadata(self.storage_id, &metadata));
        log_records.extend(metadata.map(|value| LogRecord::Replicated {
            key: METADATA_KEY,
            last_touched: Ticks::MAX,
            value,
        }));
        let (sender, persisted) = oneshot::channel();
        if self.queue.try_send((log_records, sender)).is_err() {
            return on_persisted(false);
        }
        spawn(async move { on_persisted(persisted.await.unwrap_or(false)) });
    }
}

/// Opens the record log and reads what an earlier incarnation has persisted; logs failures.
///
/// The metadata is returned only if no record was torn and it was written with the same storage id.
fn open_store(
    path: &str,
    limits: LogLimits,
    storage_id: u64,
    log: &slog::Logger,
) -> Option<(SegmentedLog<Directory>, RecoveredState)> {
    let opened = Directory::open(format!("{path}/copies"))
        .and_then(|directory| SegmentedLog::open(directory, limits));
    let (store, read) = match opened {
        Ok(opened) => opened,
        Err(e) => {
            slog::error!(log, "replicated records are not persisted"; "disk" => path, "why" => e.to_string());
            return None;
        }
    };
    let stored_metadata = read
        .replicated_records
        .get(&METADATA_KEY)
        .and_then(|(_, value)| decode_metadata(value));
    let is_complete = read.torn_records.is_empty();
    if !is_complete {
        slog::error!(log, "replication log file truncated; records may be lost";
            "file" => &read.torn_records[0].file, "at" => read.torn_records[0].offset);
    }
    let stored_metadata = stored_metadata
        .filter(|(owner, _)| is_complete && *owner == storage_id)
        .map(|(_, metadata)| metadata);
    let records = read
        .replicated_records
        .iter()
        .filter(|(key, _)| **key != METADATA_KEY);
    let records: Vec<Record> = records
        .filter_map(|(_, (_, value))| postcard::from_bytes(value).ok())
        .collect();
    slog::info!(log, "replicated records recovered"; "many" => records.len(), "whole" => stored_metadata.is_some());
    Some((
        store,
        RecoveredState {
            metadata: stored_metadata,
            records,
        },
    ))
}

/// Implements the engine's [`ReplicatedState`] on the replicator of this member.
pub struct Replication {
    /// Runs the replication protocol with the other members.
    pub runtime: Rc<ReplicationRuntime>,
    /// The primaries published last, by replica set: an unchanged one is not published again.
    primaries: RefCell<BTreeMap<u16, PrimaryRole>>,
    /// The endpoint summary published last: an unchanged one is not published again.
    published_summary: RefCell<Option<EndpointSummary>>,
    /// Largest difference between the clocks of two members.
    clock_skew: Ticks,
}

/// Opens the member's record log and starts the thread that writes it.
///
/// `is_new_storage`: the member's storage id is new, so no other member counts on its records.
fn open_records(
    disk: Option<&str>,
    limits: LogLimits,
    storage_id: u64,
    is_new_storage: bool,
    log: &slog::Logger,
) -> (Option<RecoveredState>, Option<Box<dyn ReplicationStore>>) {
    let Some((log_store, recovered)) =
        disk.and_then(|path| open_store(path, limits, storage_id, log))
    else {
        // Other members assume that this storage id has the records it acknowledged, but none of them can be read.
        let lost = disk.is_some() && !is_new_storage;
        return (lost.then(RecoveredState::default), None);
    };
    let (queue, batches) = sync_channel(QUEUE_LENGTH);
    let started = thread::Builder::new()
        .name("copies".into())
        .spawn(move || persist_all(log_store, &batches));
    let writer = started
        .ok()
        .map(|_| Box::new(RecordWriter { queue, storage_id }) as Box<dyn ReplicationStore>);
    // With a new storage id no other member assumes that this one has any records, so the recovered ones are not
    // needed.
    ((!is_new_storage).then_some(recovered), writer)
}

/// Starts replication on a member.
///
/// `disk` is the member's directory, which also holds its storage id; `is_new_storage`: that id is new.
pub fn start(
    member: &Rc<MemberRuntime>,
    settings: &ReplicationSettings,
    disk: Option<&str>,
    is_new_storage: bool,
    log: &slog::Logger,
) -> Rc<Replication> {
    let storage_id = member.with_member(|state| state.local().info.incarnation.storage_id);
    let limits = LogLimits {
        segment_bytes: SEGMENT_BYTES,
        position_retention: settings.config.limits.position_retention,
        ..LogLimits::default()
    };
    let (recovered, store) = open_records(disk, limits, storage_id, is_new_storage, log);
    let event_log = log.clone();
    let on_event = Box::new(move |event: &ReplicationEvent| log_event(&event_log, event));
    let runtime = ReplicationRuntime::start(member, settings.config, recovered, store, on_event);
    Rc::new(Replication {
        runtime,
        primaries: RefCell::default(),
        published_summary: RefCell::default(),
        clock_skew: settings.config.max_clock_skew,
    })
}

/// Logs a replication event, at the level of its consequences for the operator.
fn log_event(log: &slog::Logger, event: &ReplicationEvent) {
    match event {
        ReplicationEvent::LayoutsConverged {
            layout_version: converged_version,
        } => {
            slog::info!(log, "replication layout settled"; "layout" => converged_version);
        }
        ReplicationEvent::DataLost { until } => {
            slog::error!(log, "replicated records lost beyond the quorum"; "until" => until / 10);
        }
        ReplicationEvent::QuorumLost => slog::warn!(
            log,
            "too few replica holders reachable; writes proceed without a quorum"
        ),
        ReplicationEvent::QuorumRestored => slog::info!(log, "replica holders reachable again"),
        ReplicationEvent::ReadInexact(cause) => {
            slog::warn!(log, "session positions not known exactly; session reads require the current position";
                "why" => cause.as_str(),
                "members" => cause.members().join(" "));
        }
        ReplicationEvent::DiskFailed => {
            slog::error!(log, "replication disk failed; no longer a replica holder");
        }
    }
}

impl ReplicatedState for Replication {
    fn begin_write(
        &self,
        session: u64,
        claim: Option<IdempotencyClaim>,
        max_wait: Ticks,
        on_decision: Box<dyn FnOnce(u64, WriteDecision)>,
    ) -> u64 {
        let arrived_at = self.runtime.now();
        let window = claim.map(|claim| claim.deduplication_window);
        let clock_skew = self.clock_skew;
        // A retry must arrive within the deduplication window, even if the first attempt was timed by a clock that is
        // ahead.
        let latest_arrival = move |first: Ticks| window.map(|window| first + window - clock_skew);
        let on_clearance = move |ticket, clearance| {
            let decision = match clearance {
                WriteClearance::QuorumAcknowledged(IdempotencyDecision::FirstAttempt)
                | WriteClearance::WithoutQuorum => WriteDecision::Proceed {
                    first_attempt_at: None,
                    arrive_by: latest_arrival(arrived_at),
                },
                WriteClearance::QuorumAcknowledged(IdempotencyDecision::Retry(first)) => {
                    WriteDecision::Proceed {
                        first_attempt_at: Some(first),
                        arrive_by: latest_arrival(first),
                    }
                }
                WriteClearance::QuorumAcknowledged(IdempotencyDecision::OutcomeUnknown) => {
                    WriteDecision::PossiblyExecuted
                }
                WriteClearance::Rejected(wait) => WriteDecision::Shed(wait),
            };
            on_decision(ticket, decision);
        };
        self.runtime
            .request_write(session, claim, max_wait, Box::new(on_clearance))
    }

    fn finish_write(&self, ticket: u64, outcome: WriteOutcome) {
        self.runtime.on_write_finished(ticket, outcome);
    }

    fn session_position(
        &self,
        session: u64,
        max_wait: Ticks,
        on_position: Box<dyn FnOnce(Option<Ticks>)>,
    ) {
        self.runtime.request_read(session, max_wait, on_position);
    }

    fn record_primary(&self, set: u16, server: &str, reported_at: Ticks) {
        let mut primaries = self.primaries.borrow_mut();
        let previous = primaries.get(&set);
        if previous.is_some_and(|role| role.server == server || role.observed_at > reported_at) {
            return;
        }
        let term = previous.map_or(1, |role| role.term + 1);
        let role = PrimaryRole {
            term,
            observed_at: reported_at,
            server: server.to_owned(),
        };
        primaries.insert(set, role.clone());
        drop(primaries);
        self.runtime.publish(&Record {
            key: RecordKey::Primary(set),
            value: RecordValue::Primary(role),
        });
    }

    fn record_drained_servers(&self, revision: u64, drained: Vec<String>) {
        let previous = self.published_summary.borrow().clone();
        if previous
            .is_some_and(|previous| previous.revision == revision && previous.drained == drained)
        {
            return;
        }
        let summary = EndpointSummary {
            revision,
            observed_at: self.runtime.now(),
            drained,
        };
        *self.published_summary.borrow_mut() = Some(summary.clone());
        self.runtime.publish(&Record {
            key: RecordKey::EndpointList,
            value: RecordValue::EndpointList(summary),
        });
    }
}

/// Interval at which a starting gateway checks whether replica holders are reachable.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The wait for a record is at most the remaining time divided by this, so that no single record uses it all.
const RECORD_WAIT_DIVISOR: u32 = 2;

impl Replication {
    /// Reads a record from a quorum of its replica holders. If no quorum answers in the record's part of the time until
    /// `recovery_deadline`, returns what fewer holders have answered.
    async fn read_record(&self, key: RecordKey, recovery_deadline: Instant) -> Option<Record> {
        let record_deadline =
            now() + recovery_deadline.saturating_duration_since(now()) / RECORD_WAIT_DIVISOR;
        loop {
            let wait = record_deadline.saturating_duration_since(now());
            let (record, has_quorum) = self.read_once(key, wait).await;
            if has_quorum || now() >= record_deadline {
                return record;
            }
            // Holders that reject immediately are not queried again without a pause.
            sleep(HOLDER_POLL_INTERVAL).await;
        }
    }

    /// Queries the replica holders for a record once, and returns whether a quorum has answered.
    async fn read_once(&self, key: RecordKey, wait: Duration) -> (Option<Record>, bool) {
        let (send, received) = oneshot::channel();
        let on_record = Box::new(move |record, has_quorum| {
            // The receiver is gone if the recovery has timed out.
            let _ = send.send((record, has_quorum));
        });
        self.runtime
            .look_up(key, duration_to_ticks(wait), on_record);
        received.await.unwrap_or((None, false))
    }

    /// Recovers the drains and primaries that the replica holders know, and gives them to the engine; returns after
    /// `timeout` at the latest.
    ///
    /// `known_endpoints` is the endpoint list that this gateway starts with, and `revision` that list's revision.
    pub async fn recover(
        &self,
        engine: &Rc<Engine>,
        known_endpoints: &[EndpointEntry],
        revision: u64,
        timeout: Duration,
        log: &slog::Logger,
    ) {
        let started_at = now();
        let recovery_deadline = started_at + timeout;
        while !self.runtime.is_ready() && now() < recovery_deadline {
            sleep(HOLDER_POLL_INTERVAL).await;
        }
        if !self.runtime.is_ready() {
            slog::warn!(log, "no replica holders reachable at the start"; "ms" => since(started_at).as_millis() as u64);
            return;
        }
        let recovered = timeout_at(recovery_deadline, async {
            self.recover_drains(engine, known_endpoints, revision, recovery_deadline, log)
                .await;
            self.recover_primaries(engine, known_endpoints, recovery_deadline, log)
                .await;
        });
        if recovered.await.is_err() {
            // What is missing is learned from discovery and the servers.
            slog::warn!(log, "replica holders late at the start"; "ms" => since(started_at).as_millis() as u64);
        }
    }

    /// Marks the servers that other members know to be drained as draining, unless this start's list is newer.
    async fn recover_drains(
        &self,
        engine: &Rc<Engine>,
        known_endpoints: &[EndpointEntry],
        revision: u64,
        recovery_deadline: Instant,
        log: &slog::Logger,
    ) {
        if let Some(Record {
            value: RecordValue::EndpointList(summary),
            ..
        }) = self
            .read_record(RecordKey::EndpointList, recovery_deadline)
            .await
            && summary.revision >= revision
        {
            let is_drained =
                |entry: &&EndpointEntry| summary.drained.binary_search(&entry.uid).is_ok();
            let entries: Vec<EndpointEntry> = known_endpoints
                .iter()
                .filter(is_drained)
                .map(|entry| EndpointEntry {
                    state: EndpointState::Draining,
                    ..entry.clone()
                })
                .collect();
            slog::info!(log, "draining endpoints recovered"; "revision" => summary.revision, "many" => entries.len());
            if !entries.is_empty() {
                engine.on_endpoint_list(EndpointUpdate::Changes, summary.revision, &entries);
            }
        }
    }

    /// Gives the engine the primaries of all replica sets of `known_endpoints`.
    async fn recover_primaries(
        &self,
        engine: &Rc<Engine>,
        known_endpoints: &[EndpointEntry],
        recovery_deadline: Instant,
        log: &slog::Logger,
    ) {
        let mut sets: Vec<u16> = known_endpoints.iter().map(|entry| entry.set).collect();
        sets.sort_unstable();
        sets.dedup();
        let mut primaries = Vec::new();
        for set in sets {
            if let Some(Record {
                value: RecordValue::Primary(role),
                ..
            }) = self
                .read_record(RecordKey::Primary(set), recovery_deadline)
                .await
            {
                primaries.push((set, role.server.clone(), role.observed_at));
                self.primaries.borrow_mut().entry(set).or_insert(role);
            }
        }
        slog::info!(log, "primary roles recovered"; "many" => primaries.len());
        engine.on_primaries_reported(&primaries);
    }
}
