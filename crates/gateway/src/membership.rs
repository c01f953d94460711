//! This process as a member of a fleet: its incarnation, its persisted state and its log lines.
//!
//! # Invariants
//!
//! A member votes only with state that it is sure of: what its folder does not give back whole counts as lost.

use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use leverpoint_config::ConfigError;
use leverpoint_config::members::MembershipSettings;
use leverpoint_config::node::NodeConfig;
use leverpoint_config::operator::OperatorConfig;
use leverpoint_membership::MembershipEvent;
use leverpoint_membership::{Incarnation, MemberInfo, MemberStatus, PersistedState};
use leverpoint_peer_transport::membership_runtime::{decode_state, encode_state};
use leverpoint_peer_transport::{FleetConfig, MemberStartup, StateStore};
use leverpoint_runtime::{Listener, secure_random_u64, spawn, unix_time};
use leverpoint_storage::{Directory, snapshot};
use tokio::sync::oneshot;

/// A membership, and the listener for other members.
pub struct MembershipListener {
    /// The membership as configured.
    pub membership: MembershipSettings,
    /// Accepts the connections of other members.
    pub listener: Listener,
}

impl MembershipListener {
    /// DescriptorBudget that membership may use: its connections, one that is being accepted, and the listening socket.
    pub fn descriptors(&self) -> usize {
        self.membership.max_connections + 2
    }
}

/// The membership that the operator's file configures, in the zone of the configuration.
///
/// # Errors
///
/// The faulty key of the operator's file.
pub fn membership_settings(
    node: &NodeConfig,
    operator: &OperatorConfig,
) -> Result<Option<MembershipSettings>, ConfigError> {
    let facts = &node.settings.routing;
    let zone = node
        .settings
        .zones
        .get(facts.zone)
        .map_or("", String::as_str);
    operator.membership(&node.name, zone, node.limits.sockets)
}

/// The fleet's name, keys and addresses, as the connections between members check them.
pub fn fleet_identity(membership: &MembershipSettings) -> FleetConfig {
    FleetConfig {
        name: membership.fleet.clone(),
        keys: membership.keys.clone(),
        address_overrides: membership.address_overrides.clone(),
    }
}

/// A source of unguessable numbers, from the operating system.
pub fn random_numbers() -> Box<dyn FnMut() -> u64> {
    // Where the system has none the clock stands in: two connections of one nanosecond would share a number.
    Box::new(|| secure_random_u64().unwrap_or_else(|| unix_time().as_nanos() as u64))
}

/// Reads the state that an earlier incarnation has persisted.
fn read_state(folder: &mut Directory, log: &slog::Logger) -> Option<PersistedState> {
    match snapshot::read(folder) {
        Ok(snapshot::SnapshotRead::Complete(value)) => {
            let kept = decode_state(&value);
            if kept.is_none() {
                slog::error!(
                    log,
                    "member state is of another program; its storage is lost"
                );
            }
            kept
        }
        Ok(snapshot::SnapshotRead::Missing) => None,
        Ok(snapshot::SnapshotRead::Corrupt) => {
            slog::error!(log, "member state is corrupt; its storage is lost");
            None
        }
        Err(e) => {
            slog::error!(log, "member state can't be read; its storage is lost"; "why" => e.to_string());
            None
        }
    }
}

/// State to persist, and whom to notify whether that has succeeded.
type PersistRequest = (Vec<u8>, oneshot::Sender<bool>);

/// Persists the member's state on a thread of its own, so that the event loop does not wait for the disk.
struct StateWriter {
    queue: SyncSender<PersistRequest>,
}

/// Most states on their way to the disk.
const QUEUE_LENGTH: usize = 128;

/// Persists what is received until the queue is closed.
fn persist_all(mut folder: Directory, requests: &Receiver<PersistRequest>) {
    let mut failed = false;
    while let Ok((mut value, notify)) = requests.recv() {
        let mut waiting = vec![notify];
        // The newest stands for those before it.
        while let Ok((newer, notify)) = requests.try_recv() {
            value = newer;
            waiting.push(notify);
        }
        // After a failure nobody knows what the disk has.
        failed |= snapshot::write(&mut folder, &value).is_err();
        for notify in waiting {
            // Nobody waits any more where the member has ended.
            let _ = notify.send(!failed);
        }
    }
}

impl StateStore for StateWriter {
    fn persist(&self, value: Vec<u8>, then: Box<dyn FnOnce(bool)>) {
        let (notify, persisted) = oneshot::channel();
        if self.queue.try_send((value, notify)).is_err() {
            return then(false);
        }
        spawn(async move { then(persisted.await.unwrap_or(false)) });
    }
}

/// A new incarnation whose memory nobody else has; a memory is never 0.
fn new_incarnation(number: u64, random_numbers: &mut dyn FnMut() -> u64) -> Incarnation {
    Incarnation {
        number,
        storage_id: random_numbers().max(1),
    }
}

/// The state that a member starts with, and what persists its changes.
struct StartState {
    kept: PersistedState,
    keeper: Option<Box<dyn StateStore>>,
    /// The memory is a new one.
    fresh: bool,
}

/// Opens the member's folder.
fn open_folder(path: &str, log: &slog::Logger) -> Option<Directory> {
    match Directory::open(path) {
        Ok(folder) => Some(folder),
        Err(e) => {
            slog::error!(log, "member state is not persisted"; "disk" => path, "why" => e.to_string());
            None
        }
    }
}

/// Recovers the state of an earlier incarnation from the folder, and persists the new incarnation there.
fn recover_state(
    folder: Option<Directory>,
    random_numbers: &mut dyn FnMut() -> u64,
    log: &slog::Logger,
) -> StartState {
    let life = unix_time().as_millis() as u64;
    let mut state = StartState {
        kept: PersistedState {
            incarnation: new_incarnation(life, random_numbers),
            ..PersistedState::default()
        },
        keeper: None,
        fresh: true,
    };
    let Some(mut folder) = folder else {
        return state;
    };
    if let Some(before) = read_state(&mut folder, log) {
        let Incarnation {
            number: last,
            storage_id,
        } = before.incarnation;
        state.fresh = false;
        state.kept = PersistedState {
            incarnation: Incarnation {
                number: life.max(last + 1),
                storage_id,
            },
            ..before
        };
    }
    // Before anybody hears of this incarnation, so that no later one takes its number again.
    match snapshot::write(&mut folder, &encode_state(&state.kept)) {
        Ok(()) => state.keeper = start_writer(folder),
        Err(e) => {
            slog::error!(log, "member state is not persisted"; "why" => e.to_string());
            state.kept = PersistedState {
                incarnation: new_incarnation(life, random_numbers),
                ..PersistedState::default()
            };
            state.fresh = true;
        }
    }
    state
}

/// Starts the thread that persists the member's state.
fn start_writer(folder: Directory) -> Option<Box<dyn StateStore>> {
    let (queue, requests) = sync_channel(QUEUE_LENGTH);
    let started = thread::Builder::new()
        .name("member".into())
        .spawn(move || persist_all(folder, &requests));
    started
        .ok()
        .map(|_| Box::new(StateWriter { queue }) as Box<dyn StateStore>)
}

/// Starts this process as a member; returns whether its memory is a new one.
///
/// Without a folder, or with one that fails, the memory ends with the process.
pub fn start(
    member: MembershipListener,
    name: &str,
    log: &slog::Logger,
) -> (Rc<leverpoint_peer_transport::MemberRuntime>, bool) {
    let MembershipListener {
        membership,
        listener,
    } = member;
    let mut random_numbers = random_numbers();
    let folder = membership.disk.as_ref();
    let folder = folder.and_then(|path| open_folder(path, log));
    let StartState {
        kept,
        keeper,
        fresh,
    } = recover_state(folder, &mut *random_numbers, log);
    let card = MemberInfo {
        name: name.to_owned(),
        address: membership.address.clone(),
        zone: membership.zone.clone(),
        machine: membership.machine.clone(),
        program_version: env!("CARGO_PKG_VERSION").to_owned(),
        incarnation: kept.incarnation,
    };
    slog::info!(log, "member started"; "name" => name, "address" => &card.address, "fleet" => &membership.fleet,
        "life" => kept.incarnation.number, "memory" => format!("{:016x}", kept.incarnation.storage_id),
        "layout" => kept.layout.version);
    let event_log = log.clone();
    let start = MemberStartup {
        info: card,
        persisted: kept,
        founders: membership.founders.clone(),
        seeds: membership.seeds.clone(),
        config: membership.config,
        seed: random_numbers(),
        fleet: fleet_identity(&membership),
        max_connections: membership.max_connections,
        nonces: random_numbers,
        store: keeper,
        on_event: Box::new(move |event| log_event(&event_log, event)),
    };
    (
        leverpoint_peer_transport::MemberRuntime::start(start, listener),
        fresh,
    )
}

/// Logs what has happened to the membership.
fn log_event(log: &slog::Logger, event: &MembershipEvent) {
    match event {
        MembershipEvent::Admitted => slog::info!(log, "member admitted"),
        MembershipEvent::StatusChanged {
            name,
            incarnation,
            previous: before,
            status: seen,
        } => {
            let before = before.map_or("unknown".to_owned(), |seen| status_name(seen).to_owned());
            slog::info!(log, "member status changed"; "who" => name, "life" => incarnation.number, "before" => before,
                "seen" => status_name(*seen));
        }
        MembershipEvent::NameInUse { by } => {
            slog::error!(log, "member name already in use"; "by" => by);
        }
        MembershipEvent::Superseded { by } => {
            slog::error!(log, "superseded by a newer incarnation; no longer a member";
                "life" => by.number);
        }
        MembershipEvent::IncarnationRaised { to } => {
            slog::warn!(log, "incarnation raised above an earlier one"; "life" => to);
        }
        MembershipEvent::LayoutChanged { version, holders } => {
            slog::info!(log, "layout changed"; "version" => version, "holders" => holders);
        }
        MembershipEvent::LayoutConflict { version, from } => {
            slog::error!(log, "conflicting layouts of one version"; "version" => version, "from" => from);
        }
        MembershipEvent::Paused { duration: span } => {
            slog::warn!(log, "member was paused"; "ms" => span / 10);
        }
        MembershipEvent::BootstrapMissing => {
            slog::warn!(
                log,
                "no layout known; a new fleet needs `leverpoint members --bootstrap` once"
            );
        }
        MembershipEvent::PersistenceFailed => {
            slog::error!(log, "member disk failed; no longer voting");
        }
    }
}

/// The name of a member's status in logs and on the command line.
pub fn status_name(seen: MemberStatus) -> &'static str {
    match seen {
        MemberStatus::Alive => "here",
        MemberStatus::Suspect => "doubted",
        MemberStatus::Dead => "gone",
        MemberStatus::Left => "left",
    }
}
