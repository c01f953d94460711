//! Runs this process as a member of a fleet: chooses its incarnation, persists its state and logs membership events.
//!
//! # Invariants
//!
//! A member votes only with state that it has recovered in full: state that is missing, corrupt or unreadable counts as
//! lost, and the member starts with a new storage id.

use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use leverpoint_config::ConfigError;
use leverpoint_config::membership::MembershipSettings;
use leverpoint_config::node::NodeConfig;
use leverpoint_config::operator::OperatorConfig;
use leverpoint_membership::MembershipEvent;
use leverpoint_membership::{Incarnation, MemberInfo, MemberStatus, PersistedState};
use leverpoint_peer_transport::membership_runtime::{decode_state, encode_state};
use leverpoint_peer_transport::{FleetConfig, MemberStartup, StateStore};
use leverpoint_runtime::{Listener, secure_random_u64, spawn, unix_time};
use leverpoint_storage::{Directory, snapshot};
use tokio::sync::oneshot;

/// The configuration of the membership, and the socket on which other members connect.
pub struct MembershipListener {
    /// Fleet, addresses, keys and protocol parameters from the operator's file.
    pub membership: MembershipSettings,
    /// Bound to the address `members.listen`.
    pub listener: Listener,
}

impl MembershipListener {
    /// Number of descriptors that membership may use: its connections, one that is being accepted, and the listening
    /// socket.
    pub fn descriptors(&self) -> usize {
        self.membership.max_connections + 2
    }
}

/// Returns the membership that the operator's file configures, in the zone of the configuration; none where it
/// configures none.
///
/// # Errors
///
/// Names the key of the operator's file that is missing or invalid.
pub fn membership_settings(
    node: &NodeConfig,
    operator: &OperatorConfig,
) -> Result<Option<MembershipSettings>, ConfigError> {
    let routing = &node.settings.routing;
    let zone = node
        .settings
        .zone_names
        .get(routing.zone)
        .map_or("", String::as_str);
    operator.membership(&node.name, zone, node.limits.descriptors)
}

/// Returns what connections between members authenticate each other with: the fleet's name, keys and address overrides.
pub fn fleet_identity(membership: &MembershipSettings) -> FleetConfig {
    FleetConfig {
        name: membership.fleet.clone(),
        keys: membership.keys.clone(),
        address_overrides: membership.address_overrides.clone(),
    }
}

/// Returns a source of unpredictable numbers, for nonces and storage ids.
pub fn random_numbers() -> Box<dyn FnMut() -> u64> {
    // If the operating system's source fails, the clock is used instead: two connections opened in the same nanosecond
    // would share a nonce.
    Box::new(|| secure_random_u64().unwrap_or_else(|| unix_time().as_nanos() as u64))
}

/// Reads the state that an earlier incarnation has persisted; logs why if it cannot be used.
fn read_state(directory: &mut Directory, log: &slog::Logger) -> Option<PersistedState> {
    match snapshot::read(directory) {
        Ok(snapshot::SnapshotRead::Complete(value)) => {
            let state = decode_state(&value);
            if state.is_none() {
                slog::error!(
                    log,
                    "member state has an unknown format; its storage is lost"
                );
            }
            state
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

/// Encoded state to persist, and the sender that reports whether that has succeeded.
type PersistRequest = (Vec<u8>, oneshot::Sender<bool>);

/// Persists the member's state on a thread of its own, so that the event loop does not wait for the disk.
struct StateWriter {
    queue: SyncSender<PersistRequest>,
}

/// Maximum number of states queued for the writer thread.
const QUEUE_LENGTH: usize = 128;

/// Persists each received state until the queue is closed; runs on the writer thread.
fn persist_all(mut directory: Directory, requests: &Receiver<PersistRequest>) {
    let mut failed = false;
    while let Ok((mut value, sender)) = requests.recv() {
        let mut senders = vec![sender];
        // Only the newest queued state is written: it replaces those before it.
        while let Ok((newer, sender)) = requests.try_recv() {
            value = newer;
            senders.push(sender);
        }
        // After a failed write the content of the disk is unknown, so all later writes count as failed.
        failed |= snapshot::write(&mut directory, &value).is_err();
        for sender in senders {
            // The receiver is gone if the member has ended.
            let _ = sender.send(!failed);
        }
    }
}

impl StateStore for StateWriter {
    fn persist(&self, value: Vec<u8>, on_persisted: Box<dyn FnOnce(bool)>) {
        let (sender, persisted) = oneshot::channel();
        if self.queue.try_send((value, sender)).is_err() {
            return on_persisted(false);
        }
        spawn(async move { on_persisted(persisted.await.unwrap_or(false)) });
    }
}

/// Returns an incarnation with a new, random storage id, which is never 0.
fn new_incarnation(number: u64, random_numbers: &mut dyn FnMut() -> u64) -> Incarnation {
    Incarnation {
        number,
        storage_id: random_numbers().max(1),
    }
}

/// The state that a member starts with, and the store for its changes.
struct StartState {
    member_state: PersistedState,
    /// `None` if there is no directory, or it failed.
    state_store: Option<Box<dyn StateStore>>,
    /// Whether the storage id is new rather than recovered.
    is_new_storage: bool,
}

/// Opens the directory of the member's state; logs a failure.
fn open_directory(path: &str, log: &slog::Logger) -> Option<Directory> {
    match Directory::open(path) {
        Ok(directory) => Some(directory),
        Err(e) => {
            slog::error!(log, "member state is not persisted"; "disk" => path, "why" => e.to_string());
            None
        }
    }
}

/// Recovers the state of an earlier incarnation from the directory, and persists the new incarnation there.
///
/// Falls back to new storage if there is no directory or it fails.
fn recover_state(
    directory: Option<Directory>,
    random_numbers: &mut dyn FnMut() -> u64,
    log: &slog::Logger,
) -> StartState {
    let incarnation_number = unix_time().as_millis() as u64;
    let mut state = StartState {
        member_state: PersistedState {
            incarnation: new_incarnation(incarnation_number, random_numbers),
            ..PersistedState::default()
        },
        state_store: None,
        is_new_storage: true,
    };
    let Some(mut directory) = directory else {
        return state;
    };
    if let Some(previous_state) = read_state(&mut directory, log) {
        let Incarnation {
            number: previous_number,
            storage_id,
        } = previous_state.incarnation;
        state.is_new_storage = false;
        state.member_state = PersistedState {
            incarnation: Incarnation {
                number: incarnation_number.max(previous_number + 1),
                storage_id,
            },
            ..previous_state
        };
    }
    // Persisted before other members learn of this incarnation, so that no later one can reuse its number.
    match snapshot::write(&mut directory, &encode_state(&state.member_state)) {
        Ok(()) => state.state_store = start_writer(directory),
        Err(e) => {
            slog::error!(log, "member state is not persisted"; "why" => e.to_string());
            state.member_state = PersistedState {
                incarnation: new_incarnation(incarnation_number, random_numbers),
                ..PersistedState::default()
            };
            state.is_new_storage = true;
        }
    }
    state
}

/// Starts the thread that persists the member's state; `None` if it cannot be started.
fn start_writer(directory: Directory) -> Option<Box<dyn StateStore>> {
    let (queue, requests) = sync_channel(QUEUE_LENGTH);
    let started = thread::Builder::new()
        .name("member".into())
        .spawn(move || persist_all(directory, &requests));
    started
        .ok()
        .map(|_| Box::new(StateWriter { queue }) as Box<dyn StateStore>)
}

/// Starts this process as a member; also returns whether its storage id is new.
///
/// Without a directory, or with one that fails, the storage lasts only as long as the process.
pub fn start(
    member_listener: MembershipListener,
    name: &str,
    log: &slog::Logger,
) -> (Rc<leverpoint_peer_transport::MemberRuntime>, bool) {
    let MembershipListener {
        membership,
        listener,
    } = member_listener;
    let mut random_numbers = random_numbers();
    let directory = membership.disk.as_ref();
    let directory = directory.and_then(|path| open_directory(path, log));
    let StartState {
        member_state,
        state_store,
        is_new_storage,
    } = recover_state(directory, &mut *random_numbers, log);
    let member_info = MemberInfo {
        name: name.to_owned(),
        address: membership.address.clone(),
        zone: membership.zone.clone(),
        machine: membership.machine.clone(),
        program_version: env!("CARGO_PKG_VERSION").to_owned(),
        incarnation: member_state.incarnation,
    };
    slog::info!(log, "member started"; "name" => name, "address" => &member_info.address, "fleet" => &membership.fleet,
        "life" => member_state.incarnation.number, "memory" => format!("{:016x}", member_state.incarnation.storage_id),
        "layout" => member_state.layout.version);
    let event_log = log.clone();
    let startup = MemberStartup {
        info: member_info,
        persisted: member_state,
        founders: membership.founders.clone(),
        seeds: membership.seeds.clone(),
        config: membership.config,
        seed: random_numbers(),
        fleet: fleet_identity(&membership),
        max_connections: membership.max_connections,
        nonces: random_numbers,
        store: state_store,
        on_event: Box::new(move |event| log_event(&event_log, event)),
    };
    (
        leverpoint_peer_transport::MemberRuntime::start(startup, listener),
        is_new_storage,
    )
}

/// Logs a membership event, at the level of its consequences for the operator.
fn log_event(log: &slog::Logger, event: &MembershipEvent) {
    match event {
        MembershipEvent::Admitted => slog::info!(log, "member admitted"),
        MembershipEvent::StatusChanged {
            name,
            incarnation,
            previous: old,
            status: new,
        } => {
            let old = old.map_or("unknown".to_owned(), |known| status_name(known).to_owned());
            slog::info!(log, "member status changed"; "who" => name, "life" => incarnation.number, "before" => old,
                "seen" => status_name(*new));
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
        MembershipEvent::Paused { duration: pause } => {
            slog::warn!(log, "member was paused"; "ms" => pause / 10);
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

/// Returns the name of a member's status as logs and the command line print it: `here`, `doubted`, `gone` or `left`.
pub fn status_name(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "here",
        MemberStatus::Suspect => "doubted",
        MemberStatus::Dead => "gone",
        MemberStatus::Left => "left",
    }
}
