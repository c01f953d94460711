//! Assembles the parts of a gateway, starts their tasks and logs their metrics.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use leverpoint_backpressure::Limits;
use leverpoint_backpressure::limits::ProcessResources;
use leverpoint_config::ConfigError;
use leverpoint_config::node::NodeConfig;
use leverpoint_config::operator::OperatorConfig;
use leverpoint_config::replication::ReplicationSettings;
use leverpoint_config::settings::ticks_to_duration;
use leverpoint_engine::UNRESERVED_BYTES;
use leverpoint_engine::client_connections::ClientConnections;
use leverpoint_engine::descriptor_budget::{ConnectionEviction, DescriptorBudget};
use leverpoint_engine::engine::Engine;
use leverpoint_engine::metrics::Metrics;
use leverpoint_peer_transport::MemberRuntime as MemberNode;
use leverpoint_routing::api::{EndpointUpdate, Idempotency, RequestClass};
use leverpoint_runtime::{Listener, spawn};
use leverpoint_storage::GroupCommit;
use tokio::sync::Notify;

use crate::acceptor::Acceptor;
use crate::client::ClientContext;
use crate::discovery::endpoint_list::{EndpointList, parse_endpoint_list};
use crate::discovery::watch::{self, DiscoveryAddress};
use crate::membership;
use crate::persistence;
use crate::postgres::messages::MAX_MESSAGE;
use crate::replication::{self, Replication};
use crate::server::ServerPool;

/// Stops the acceptor task and waits for its end.
#[derive(Clone, Default)]
pub(crate) struct AcceptorHandle {
    /// Notified by the gateway: accept no further connections.
    pub(crate) stop: Rc<Notify>,
    /// Notified by the acceptor once it has accepted its last connection.
    pub(crate) stopped: Rc<Notify>,
}

/// A running gateway: handles to the parts whose tasks [`Gateway::start`] has started.
pub struct Gateway {
    pub(crate) node: NodeConfig,
    /// The operator's file that was applied last.
    pub(crate) operator: RefCell<OperatorConfig>,
    /// Routes requests and keeps track of their attempts.
    pub engine: Rc<Engine>,
    /// Throughput and buffer reservations of the client connections, for backpressure.
    pub client_connections: Rc<ClientConnections>,
    /// Counters of requests and connections, shared with the engine.
    pub metrics: Rc<Metrics>,
    pub(crate) context: Rc<ClientContext>,
    pub(crate) discovery_address: Rc<DiscoveryAddress>,
    /// Persists session positions; none where that is not configured or the disk failed at the start.
    pub(crate) position_writer: Option<Rc<GroupCommit>>,
    /// The membership protocol; none where the operator's file configures no fleet.
    pub member: Option<Rc<MemberNode>>,
    /// Replication of gateway state; none where it is not configured.
    pub replication: Option<Rc<Replication>>,
    pub(crate) acceptor: AcceptorHandle,
    pub(crate) log: slog::Logger,
}

/// Returns the limits on slow clients: derived from the configured memory and descriptors, overridden by the operator's
/// file.
///
/// # Errors
///
/// Names the key of the operator's file whose value is invalid.
pub fn backpressure_limits(
    node: &NodeConfig,
    operator: &OperatorConfig,
) -> Result<Limits, ConfigError> {
    let resources = ProcessResources {
        memory: node.limits.memory_bytes,
        descriptors: node.limits.descriptors,
        unreserved_per_connection: 2 * UNRESERVED_BYTES,
        max_message: MAX_MESSAGE,
        connect_timeout: node.settings.connect_timeout,
    };
    operator.backpressure_limits(Limits::from_resources(&resources), MAX_MESSAGE)
}

/// Returns the configuration of replication; none where it is off.
///
/// The longest client timeout or deduplication window of all request classes bounds how long records have to be kept.
///
/// # Errors
///
/// Names the key of the operator's file whose value is invalid.
pub fn replication_settings(
    node: &NodeConfig,
    operator: &OperatorConfig,
) -> Result<Option<ReplicationSettings>, ConfigError> {
    let classes = &node.settings.routing.classes;
    let window = |class: &RequestClass| match class.idempotency {
        Idempotency::IdempotentByKey { window, .. } => window,
        _ => 0,
    };
    operator.replication(
        classes
            .iter()
            .map(|class| class.timeout.max(window(class)))
            .max()
            .unwrap_or(0),
    )
}

/// `Limits::total`, the bytes held for all connections, divided by this is what all connections may read ahead.
const READ_AHEAD_DIVISOR: usize = 8;

/// The metrics, budgets and pools that client and server connections share.
struct ConnectionResources {
    metrics: Rc<Metrics>,
    client_connections: Rc<ClientConnections>,
    eviction: Rc<ConnectionEviction>,
    descriptors: Rc<DescriptorBudget>,
    servers: Rc<ServerPool>,
}

impl ConnectionResources {
    /// Creates the resources; `member_descriptors` of the process's descriptors are reserved for the membership
    /// protocol.
    fn new(
        node: &NodeConfig,
        limits: Limits,
        member_descriptors: usize,
        log: &slog::Logger,
    ) -> Self {
        let node_settings = &node.settings;
        let routing = &node_settings.routing;
        let metrics = Rc::new(Metrics::new(&node_settings.class_names));
        let (classes, tenants) = (routing.classes.len(), routing.tenants.len());
        let client_connections =
            ClientConnections::new(limits, classes, tenants, routing.seed, log.clone());
        let sockets = node.limits.descriptors - member_descriptors;
        let eviction = ConnectionEviction::new(sockets, client_connections.clone());
        let descriptors = DescriptorBudget::new(sockets, eviction.clone());
        let servers = ServerPool::new(
            descriptors.clone(),
            client_connections.clone(),
            metrics.clone(),
            node_settings.connect_timeout,
            node_settings.server_idle_timeout,
        );
        ConnectionResources {
            metrics,
            client_connections,
            eviction,
            descriptors,
            servers,
        }
    }

    /// Returns the context that every client connection is served with.
    fn client_context(&self, engine: Rc<Engine>, limits: &Limits) -> Rc<ClientContext> {
        Rc::new(ClientContext {
            engine,
            client_connections: self.client_connections.clone(),
            eviction: self.eviction.clone(),
            cancel_keys: Rc::default(),
            // Taken from the third of the memory that is reserved neither for statements nor for answers.
            read_ahead_budget: Rc::new(Cell::new(limits.total / READ_AHEAD_DIVISOR)),
        })
    }
}

impl Gateway {
    /// Starts the tasks of a gateway that serves the clients of `listener`.
    ///
    /// `member` is the listener for other members of the fleet; without it the gateway neither joins one nor
    /// replicates.
    ///
    /// # Errors
    ///
    /// Names the key of the configuration or of the operator's file whose value is invalid.
    pub fn start(
        mut node: NodeConfig,
        operator: OperatorConfig,
        listener: Listener,
        member: Option<membership::MembershipListener>,
        log: slog::Logger,
    ) -> Result<Self, ConfigError> {
        let limits = backpressure_limits(&node, &operator)?;
        let settings = replication_settings(&node, &operator)?.filter(|_| member.is_some());
        // Where the fleet replicates primaries, each member announces those that servers report to it.
        node.settings.routing.permissions.gossip |= settings.is_some();

        // Connections to members have their own bound; the remaining descriptors are for clients and servers.
        let member_descriptors = member
            .as_ref()
            .map_or(0, super::membership::MembershipListener::descriptors);
        let resources = ConnectionResources::new(&node, limits, member_descriptors, &log);
        let session_tracking = operator.session_tracking(node.settings.routing.seed)?;
        let node_settings = node.settings.clone();
        let metrics = resources.metrics.clone();
        let engine = Engine::new(
            node_settings,
            metrics,
            session_tracking.clone(),
            log.clone(),
        );
        let position_writer =
            session_tracking.and_then(|tracking| persistence::start(&tracking, &engine, &log));
        engine.set_executor(resources.servers.clone());
        let restored = restore_endpoint_list(&mut node, &engine);
        let (member, replication) = start_member(member, settings.as_ref(), &node.name, &log);
        if let Some(replicated_state) = &replication {
            engine.set_replicated_state(replicated_state.clone());
        }
        slog::info!(log, "serving"; "name" => &node.name, "listen" => node.listen.to_string());
        spawn(engine.clone().run_timers());
        spawn(resources.servers.clone().close_expired());
        spawn(resources.client_connections.clone().monitor());
        let discovery_address = DiscoveryAddress::new(node.discovery);
        spawn(watch::run(
            discovery_address.clone(),
            engine.clone(),
            log.clone(),
        ));
        let context = resources.client_context(engine.clone(), &limits);
        let acceptor = Acceptor {
            listener,
            descriptors: resources.descriptors,
            context: context.clone(),
            wait_for_discovery: restored.is_some() && node.settings.routing.endpoint_list.pushed,
        };
        let recovery = replication
            .clone()
            .zip(settings)
            .map(|(replicated_state, settings)| {
                let timeout = ticks_to_duration(settings.startup_wait);
                StartupRecovery {
                    replicated_state,
                    timeout,
                }
            });
        let acceptor = start_acceptor(acceptor, recovery, restored, log.clone());
        Ok(Gateway {
            node,
            operator: RefCell::new(operator),
            engine,
            client_connections: resources.client_connections,
            metrics: resources.metrics,
            context,
            discovery_address,
            position_writer,
            member,
            replication,
            acceptor,
            log,
        })
    }

    /// Logs all metrics, the sizes of the tables and the age of the endpoint list, a line for each part.
    pub fn log_metrics(&self) {
        slog::info!(self.log, "counters"; "all" => self.metrics.summary());
        slog::info!(self.log, "trouble"; "all" => self.engine.diagnostics.summary());
        slog::info!(self.log, "tables"; "hold" => format!("{:?}", self.engine.table_sizes()),
            "cancel_keys" => self.context.cancel_keys.len());
        let (age, remaining) = self.engine.endpoint_list_age();
        slog::info!(self.log, "discovery"; "revision" => self.engine.endpoint_list_revision(),
            "list_age_ms" => age.map(|age| age.as_millis() as u64),
            "list_ends_in_ms" => remaining.map(|remaining| remaining.as_millis() as u64));
        slog::info!(self.log, "peers"; "all" => self.client_connections.summary());
        if let Some(session_consistency) = &self.engine.session_consistency {
            slog::info!(self.log, "sessions"; "all" => session_consistency.summary());
        }
        if let Some(member) = &self.member {
            slog::info!(self.log, "member"; "all" => member.metrics_line());
        }
        if let Some(replication) = &self.replication {
            slog::info!(self.log, "copies"; "all" => replication.runtime.metrics_line());
        }
    }
}

/// Gives the engine the last known endpoint list from the configuration; none where it has no valid one.
fn restore_endpoint_list(node: &mut NodeConfig, engine: &Rc<Engine>) -> Option<EndpointList> {
    let known = node.known_endpoints.take()?;
    let list = parse_endpoint_list(known.get().as_bytes())?;
    engine.on_endpoint_list(EndpointUpdate::Restored, list.revision, &list.entries);
    Some(list)
}

/// Starts this process as a member of its fleet, and its replication if `settings` are given.
fn start_member(
    member: Option<membership::MembershipListener>,
    settings: Option<&ReplicationSettings>,
    name: &str,
    log: &slog::Logger,
) -> (Option<Rc<MemberNode>>, Option<Rc<Replication>>) {
    let Some(member) = member else {
        return (None, None);
    };
    let disk = member.membership.disk.clone();
    let (member_runtime, is_new_storage) = membership::start(member, name, log);
    let replication = settings.map(|settings| {
        replication::start(
            &member_runtime,
            settings,
            disk.as_deref(),
            is_new_storage,
            log,
        )
    });
    (Some(member_runtime), replication)
}

/// Recovery of drains and primaries from the replica holders, before the first client is accepted.
struct StartupRecovery {
    replicated_state: Rc<Replication>,
    /// After this, clients are accepted with what has been recovered so far.
    timeout: Duration,
}

/// Starts the task that recovers drains and primaries from the replica holders and then accepts clients.
fn start_acceptor(
    acceptor: Acceptor,
    recovery: Option<StartupRecovery>,
    restored: Option<EndpointList>,
    log: slog::Logger,
) -> AcceptorHandle {
    let handle = AcceptorHandle::default();
    let AcceptorHandle { stop, stopped } = handle.clone();
    spawn(async move {
        if let Some(StartupRecovery {
            replicated_state,
            timeout,
        }) = recovery
        {
            let (entries, revision) =
                restored.map_or((Vec::new(), 0), |list| (list.entries, list.revision));
            replicated_state
                .recover(&acceptor.context.engine, &entries, revision, timeout, &log)
                .await;
        }
        acceptor.run(stop, log).await;
        stopped.notify_one();
    });
    handle
}
