//! This gateway's part in replication: the persisted records, the exchange's access to the replica holders, and what a
//! start recovers from them before the first request.
//!
//! # Invariants
//!
//! A record counts as persisted only once the disk has it. A start waits for replica holders within its bound.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use leverpoint_config::copies::ReplicationSettings;
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

/// Key of the metadata beside the records; no record is numbered 0.
const METADATA_KEY: u64 = 0;

/// Records to persist, and whom to notify whether that has succeeded.
type Batch = (Vec<LogRecord>, oneshot::Sender<bool>);

/// Persists records on a thread of its own, so that the event loop does not wait for the disk.
struct RecordWriter {
    queue: SyncSender<Batch>,
    memory: u64,
}

/// Most batches on their way to the disk.
const QUEUE_LENGTH: usize = 4_096;

/// Bytes of a segment of the log of records.
const SEGMENT_BYTES: usize = 16 << 20;

/// Persists what is received until the queue is closed, as many batches at once as wait.
fn persist_all(mut store: SegmentedLog<Directory>, batches: &Receiver<Batch>) {
    while let Ok((mut items, notify)) = batches.recv() {
        let mut waiting = vec![notify];
        while let Ok((more, notify)) = batches.try_recv() {
            items.extend(more);
            waiting.push(notify);
        }
        let persisted = items.is_empty() || store.commit(&items).is_ok();
        for notify in waiting {
            // Nobody waits any more where the gateway has ended.
            let _ = notify.send(persisted);
        }
    }
}

/// A record as it is persisted.
fn item(record: &Record) -> Option<LogRecord> {
    let value = postcard::to_stdvec(record).ok()?;
    Some(LogRecord::Replicated {
        key: record.key.hash(),
        last_touched: record.last_touched(),
        value,
    })
}

impl ReplicationStore for RecordWriter {
    fn persist(
        &self,
        records: Vec<Record>,
        meta: Option<PersistedMetadata>,
        then: Box<dyn FnOnce(bool)>,
    ) {
        let mut items: Vec<LogRecord> = records.iter().filter_map(item).collect();
        let meta = meta.and_then(|meta| postcard::to_stdvec(&(self.memory, meta)).ok());
        items.extend(meta.map(|value| LogRecord::Replicated {
            key: METADATA_KEY,
            last_touched: Ticks::MAX,
            value,
        }));
        let (notify, persisted) = oneshot::channel();
        if self.queue.try_send((items, notify)).is_err() {
            return then(false);
        }
        spawn(async move { then(persisted.await.unwrap_or(false)) });
    }
}

/// Opens the store and reads the records that an earlier incarnation has persisted; logs what can't be read.
fn open_store(
    path: &str,
    limits: LogLimits,
    memory: u64,
    log: &slog::Logger,
) -> Option<(SegmentedLog<Directory>, RecoveredState)> {
    let opened = Directory::open(format!("{path}/copies"))
        .and_then(|folder| SegmentedLog::open(folder, limits));
    let (store, read) = match opened {
        Ok(opened) => opened,
        Err(e) => {
            slog::error!(log, "replicated records are not persisted"; "disk" => path, "why" => e.to_string());
            return None;
        }
    };
    let meta = read
        .replicated_records
        .get(&METADATA_KEY)
        .and_then(|(_, value)| postcard::from_bytes::<(u64, PersistedMetadata)>(value).ok());
    let whole = read.torn_records.is_empty();
    if !whole {
        slog::error!(log, "replication log file truncated; records may be lost";
            "file" => &read.torn_records[0].file, "at" => read.torn_records[0].offset);
    }
    let meta = meta
        .filter(|(of, _)| whole && *of == memory)
        .map(|(_, meta)| meta);
    let records = read
        .replicated_records
        .iter()
        .filter(|(key, _)| **key != METADATA_KEY);
    let records: Vec<Record> = records
        .filter_map(|(_, (_, value))| postcard::from_bytes(value).ok())
        .collect();
    slog::info!(log, "replicated records recovered"; "many" => records.len(), "whole" => meta.is_some());
    Some((
        store,
        RecoveredState {
            metadata: meta,
            records,
        },
    ))
}

/// Replication as the exchange uses it.
pub struct Replication {
    /// The replicator of this member.
    pub runtime: Rc<ReplicationRuntime>,
    /// The primaries announced last, by replica set.
    roles: RefCell<BTreeMap<u16, PrimaryRole>>,
    /// The drains announced last.
    listed: RefCell<Option<EndpointSummary>>,
    clock_skew: Ticks,
}

/// Opens the member's records and starts the thread that persists them.
///
/// `fresh`: the member's memory is a new one.
fn open_records(
    disk: Option<&str>,
    limits: LogLimits,
    memory: u64,
    fresh: bool,
    log: &slog::Logger,
) -> (Option<RecoveredState>, Option<Box<dyn ReplicationStore>>) {
    let Some((store, left)) = disk.and_then(|path| open_store(path, limits, memory, log)) else {
        // The others take this memory for one that has what it was given, and nothing of it can be read.
        let lost = disk.is_some() && !fresh;
        return (lost.then(RecoveredState::default), None);
    };
    let (queue, batches) = sync_channel(QUEUE_LENGTH);
    let started = thread::Builder::new()
        .name("copies".into())
        .spawn(move || persist_all(store, &batches));
    let writer = started
        .ok()
        .map(|_| Box::new(RecordWriter { queue, memory }) as Box<dyn ReplicationStore>);
    // With a new memory nobody takes this member for a holder that has the records: they are only a help.
    ((!fresh).then_some(left), writer)
}

/// Starts the replication of a member.
///
/// `disk` is the member's folder, which has its memory; `fresh`: that memory is a new one.
pub fn start(
    node: &Rc<MemberRuntime>,
    copying: &ReplicationSettings,
    disk: Option<&str>,
    fresh: bool,
    log: &slog::Logger,
) -> Rc<Replication> {
    let memory = node.with_member(|fellow| fellow.local().info.incarnation.storage_id);
    let limits = LogLimits {
        segment_bytes: SEGMENT_BYTES,
        position_retention: copying.config.limits.position_retention,
        ..LogLimits::default()
    };
    let (kept, keeper) = open_records(disk, limits, memory, fresh, log);
    let event_log = log.clone();
    let says = Box::new(move |event: &ReplicationEvent| log_event(&event_log, event));
    let runtime = ReplicationRuntime::start(node, copying.config, kept, keeper, says);
    Rc::new(Replication {
        runtime,
        roles: RefCell::default(),
        listed: RefCell::default(),
        clock_skew: copying.config.max_clock_skew,
    })
}

/// Logs what has happened to replication.
fn log_event(log: &slog::Logger, event: &ReplicationEvent) {
    match event {
        ReplicationEvent::LayoutsConverged {
            layout_version: version,
        } => {
            slog::info!(log, "replication layout settled"; "layout" => version);
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
            slog::warn!(log, "session reads require the present"; "why" => cause.as_str(),
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
        most: Ticks,
        then: Box<dyn FnOnce(u64, WriteDecision)>,
    ) -> u64 {
        let came = self.runtime.now();
        let window = claim.map(|claim| claim.deduplication_window);
        let clock_skew = self.clock_skew;
        let ends = move |first: Ticks| window.map(|window| first + window - clock_skew);
        let then = move |ticket, go| {
            let leave = match go {
                WriteClearance::QuorumAcknowledged(IdempotencyDecision::FirstAttempt)
                | WriteClearance::WithoutQuorum => WriteDecision::Proceed {
                    first_attempt_at: None,
                    start_by: ends(came),
                },
                WriteClearance::QuorumAcknowledged(IdempotencyDecision::Retry(first)) => {
                    WriteDecision::Proceed {
                        first_attempt_at: Some(first),
                        start_by: ends(first),
                    }
                }
                WriteClearance::QuorumAcknowledged(IdempotencyDecision::OutcomeUnknown) => {
                    WriteDecision::PossiblyExecuted
                }
                WriteClearance::Rejected(wait) => WriteDecision::Shed(wait),
            };
            then(ticket, leave);
        };
        self.runtime
            .request_write(session, claim, most, Box::new(then))
    }

    fn finish_write(&self, ticket: u64, came: WriteOutcome) {
        self.runtime.on_write_finished(ticket, came);
    }

    fn session_position(&self, session: u64, most: Ticks, then: Box<dyn FnOnce(Option<Ticks>)>) {
        self.runtime.request_read(session, most, then);
    }

    fn record_primary(&self, set: u16, server: &str, at: Ticks) {
        let mut roles = self.roles.borrow_mut();
        let before = roles.get(&set);
        if before.is_some_and(|role| role.server == server || role.observed_at > at) {
            return;
        }
        let term = before.map_or(1, |role| role.term + 1);
        let role = PrimaryRole {
            term,
            observed_at: at,
            server: server.to_owned(),
        };
        roles.insert(set, role.clone());
        drop(roles);
        self.runtime.publish(&Record {
            key: RecordKey::Primary(set),
            value: RecordValue::Primary(role),
        });
    }

    fn record_drained_servers(&self, revision: u64, drained: Vec<String>) {
        let before = self.listed.borrow().clone();
        if before.is_some_and(|before| before.revision == revision && before.drained == drained) {
            return;
        }
        let listed = EndpointSummary {
            revision,
            observed_at: self.runtime.now(),
            drained,
        };
        *self.listed.borrow_mut() = Some(listed.clone());
        self.runtime.publish(&Record {
            key: RecordKey::EndpointList,
            value: RecordValue::EndpointList(listed),
        });
    }
}

/// How often a start checks whether replica holders are reachable.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A record is waited for at most this part of the time that a start has left, so that no one record takes it all.
const RECORD_WAIT_DIVISOR: u32 = 2;

impl Replication {
    /// Reads a record from a quorum of its replica holders; from fewer where a quorum does not answer in its part of the
    /// time until `by`.
    async fn read_record(&self, kind: RecordKey, by: Instant) -> Option<Record> {
        let by = now() + by.saturating_duration_since(now()) / RECORD_WAIT_DIVISOR;
        loop {
            let wait = by.saturating_duration_since(now());
            let (record, exact) = self.look_up(kind, wait).await;
            if exact || now() >= by {
                return record;
            }
            // Holders that reject at once are not asked again at once.
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Asks the replica holders for a record, and returns whether a quorum has answered.
    async fn look_up(&self, kind: RecordKey, wait: Duration) -> (Option<Record>, bool) {
        let (send, received) = oneshot::channel();
        let then = Box::new(move |record, exact| {
            // The start may have given up waiting.
            let _ = send.send((record, exact));
        });
        self.runtime.look_up(kind, duration_to_ticks(wait), then);
        received.await.unwrap_or((None, false))
    }

    /// Recovers the drains and primaries that the replica holders know, within that time.
    ///
    /// `known` is the endpoint list that this start has, of `revision`.
    pub async fn recover(
        &self,
        exchange: &Rc<Engine>,
        known: &[EndpointEntry],
        revision: u64,
        within: Duration,
        log: &slog::Logger,
    ) {
        let began = now();
        let by = began + within;
        while !self.runtime.is_ready() && now() < by {
            sleep(READY_POLL_INTERVAL).await;
        }
        if !self.runtime.is_ready() {
            slog::warn!(log, "no replica holders reachable at the start"; "ms" => since(began).as_millis() as u64);
            return;
        }
        let recovered = timeout_at(by, async {
            self.recover_drains(exchange, known, revision, by, log)
                .await;
            self.recover_primaries(exchange, known, by, log).await;
        });
        if recovered.await.is_err() {
            // The rest is learned from discovery and the servers.
            slog::warn!(log, "replica holders late at the start"; "ms" => since(began).as_millis() as u64);
        }
    }

    /// Marks the servers that were drained as draining.
    async fn recover_drains(
        &self,
        exchange: &Rc<Engine>,
        known: &[EndpointEntry],
        revision: u64,
        by: Instant,
        log: &slog::Logger,
    ) {
        if let Some(Record {
            value: RecordValue::EndpointList(listed),
            ..
        }) = self.read_record(RecordKey::EndpointList, by).await
            && listed.revision >= revision
        {
            let drained = |entry: &&EndpointEntry| listed.drained.binary_search(&entry.uid).is_ok();
            let entries: Vec<EndpointEntry> = known
                .iter()
                .filter(drained)
                .map(|entry| EndpointEntry {
                    state: EndpointState::Draining,
                    ..entry.clone()
                })
                .collect();
            slog::info!(log, "draining endpoints recovered"; "revision" => listed.revision, "many" => entries.len());
            if !entries.is_empty() {
                exchange.on_endpoint_list(EndpointUpdate::Changes, listed.revision, &entries);
            }
        }
    }

    /// Tells the exchange the primaries of the listed replica sets.
    async fn recover_primaries(
        &self,
        exchange: &Rc<Engine>,
        known: &[EndpointEntry],
        by: Instant,
        log: &slog::Logger,
    ) {
        let mut sets: Vec<u16> = known.iter().map(|entry| entry.set).collect();
        sets.sort_unstable();
        sets.dedup();
        let mut roles = Vec::new();
        for set in sets {
            if let Some(Record {
                value: RecordValue::Primary(role),
                ..
            }) = self.read_record(RecordKey::Primary(set), by).await
            {
                roles.push((set, role.server.clone(), role.observed_at));
                self.roles.borrow_mut().entry(set).or_insert(role);
            }
        }
        slog::info!(log, "primary roles recovered"; "many" => roles.len());
        exchange.on_primaries_reported(&roles);
    }
}
