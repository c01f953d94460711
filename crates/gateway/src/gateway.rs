//! A running gateway: its parts, and how they are put together.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use leverpoint_backpressure::Limits;
use leverpoint_backpressure::limits::ProcessResources;
use leverpoint_config::ConfigError;
use leverpoint_config::copies::ReplicationSettings;
use leverpoint_config::node::NodeConfig;
use leverpoint_config::operator::OperatorConfig;
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

/// Stops the acceptor and tells when it has stopped.
#[derive(Clone, Default)]
pub(crate) struct AcceptorHandle {
    pub(crate) stop: Rc<Notify>,
    pub(crate) stopped: Rc<Notify>,
}

/// A running gateway.
pub struct Gateway {
    pub(crate) node: NodeConfig,
    pub(crate) operator: RefCell<OperatorConfig>,
    /// Requests and their attempts.
    pub engine: Rc<Engine>,
    /// The client connections as backpressure sees them.
    pub client_connections: Rc<ClientConnections>,
    /// The metrics.
    pub metrics: Rc<Metrics>,
    pub(crate) context: Rc<ClientContext>,
    pub(crate) agent: Rc<DiscoveryAddress>,
    pub(crate) kept: Option<Rc<GroupCommit>>,
    /// This process as a member of a fleet, where it is one.
    pub member: Option<Rc<MemberNode>>,
    /// Replication, where it is on.
    pub replication: Option<Rc<Replication>>,
    pub(crate) acceptor: AcceptorHandle,
    pub(crate) log: slog::Logger,
}

/// The limits for slow clients: derived from the configured limits, overridden by the operator's file.
///
/// # Errors
///
/// The faulty key of the operator's file.
pub fn backpressure_limits(
    node: &NodeConfig,
    operator: &OperatorConfig,
) -> Result<Limits, ConfigError> {
    let resources = ProcessResources {
        memory: node.limits.memory_bytes,
        descriptors: node.limits.sockets,
        unreserved_per_connection: 2 * UNRESERVED_BYTES,
        max_message: MAX_MESSAGE,
        connect_timeout: node.settings.connect_timeout,
    };
    operator.backpressure_limits(Limits::from_resources(&resources), MAX_MESSAGE)
}

/// The configuration of replication; none where it is off.
///
/// # Errors
///
/// The faulty key of the operator's file.
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

/// The memory for answers and statements over this is what connections may read ahead.
const READ_AHEAD_DIVISOR: usize = 8;

/// What client and server connections share.
struct ConnectionResources {
    metrics: Rc<Metrics>,
    client_connections: Rc<ClientConnections>,
    leaving: Rc<ConnectionEviction>,
    descriptors: Rc<DescriptorBudget>,
    servers: Rc<ServerPool>,
}

impl ConnectionResources {
    /// The resources of a gateway of whose descriptors `reserved` are for connections to other members.
    fn new(node: &NodeConfig, limits: Limits, reserved: usize, log: &slog::Logger) -> Self {
        let opened = &node.settings;
        let facts = &opened.routing;
        let metrics = Rc::new(Metrics::new(&opened.classes));
        let (classes, tenants) = (facts.classes.len(), facts.tenants.len());
        let client_connections =
            ClientConnections::new(limits, classes, tenants, facts.seed, log.clone());
        let sockets = node.limits.sockets - reserved;
        let leaving = ConnectionEviction::new(sockets, client_connections.clone());
        let descriptors = DescriptorBudget::new(sockets, leaving.clone());
        let servers = ServerPool::new(
            descriptors.clone(),
            client_connections.clone(),
            metrics.clone(),
            opened.connect_timeout,
            opened.idle_close,
        );
        ConnectionResources {
            metrics,
            client_connections,
            leaving,
            descriptors,
            servers,
        }
    }

    /// What the client connections share.
    fn client_context(&self, engine: Rc<Engine>, limits: &Limits) -> Rc<ClientContext> {
        Rc::new(ClientContext {
            engine,
            client_connections: self.client_connections.clone(),
            eviction: self.leaving.clone(),
            cancel_keys: Rc::default(),
            // Out of the third of the memory that is neither for statements nor for answers.
            read_ahead_budget: Rc::new(Cell::new(limits.total / READ_AHEAD_DIVISOR)),
        })
    }
}

impl Gateway {
    /// Starts a gateway that serves the clients of `listener`.
    ///
    /// # Errors
    ///
    /// The key of the configuration or the operator's file that is at fault.
    pub fn start(
        mut node: NodeConfig,
        operator: OperatorConfig,
        listener: Listener,
        member: Option<membership::MembershipListener>,
        log: slog::Logger,
    ) -> Result<Self, ConfigError> {
        let limits = backpressure_limits(&node, &operator)?;
        let settings = replication_settings(&node, &operator)?.filter(|_| member.is_some());
        // A member whose fleet replicates roles announces the primaries that it hears of.
        node.settings.routing.permissions.gossip |= settings.is_some();

        // Connections of members are bounded by themselves; what is left is for clients and servers.
        let reserved = member
            .as_ref()
            .map_or(0, super::membership::MembershipListener::descriptors);
        let resources = ConnectionResources::new(&node, limits, reserved, &log);
        let follow = operator.session_tracking(node.settings.routing.seed)?;
        let opened = node.settings.clone();
        let metrics = resources.metrics.clone();
        let engine = Engine::new(opened, metrics, follow.clone(), log.clone());
        let kept = follow.and_then(|follow| persistence::start(&follow, &engine, &log));
        engine.set_executor(resources.servers.clone());
        let restored = restore_endpoint_list(&mut node, &engine);
        let (member, replication) = start_member(member, settings.as_ref(), &node.name, &log);
        if let Some(holders) = &replication {
            engine.set_replicated_state(holders.clone());
        }
        slog::info!(log, "serving"; "name" => &node.name, "listen" => node.listen.to_string());
        spawn(engine.clone().run_timers());
        spawn(resources.servers.clone().close_expired());
        spawn(resources.client_connections.clone().monitor());
        let agent = DiscoveryAddress::new(node.discovery);
        spawn(watch::run(agent.clone(), engine.clone(), log.clone()));
        let context = resources.client_context(engine.clone(), &limits);
        let acceptor = Acceptor {
            listener,
            descriptors: resources.descriptors,
            context: context.clone(),
            restored_list: restored.is_some() && node.settings.routing.endpoint_list.pushed,
        };
        let recovery = replication
            .clone()
            .zip(settings)
            .map(|(holders, settings)| {
                let within = ticks_to_duration(settings.startup_wait);
                StartupRecovery { holders, within }
            });
        let acceptor = start_acceptor(acceptor, recovery, restored, log.clone());
        Ok(Gateway {
            node,
            operator: RefCell::new(operator),
            engine,
            client_connections: resources.client_connections,
            metrics: resources.metrics,
            context,
            agent,
            kept,
            member,
            replication,
            acceptor,
            log,
        })
    }

    /// Logs the metrics and the sizes of the tables.
    pub fn log_metrics(&self) {
        slog::info!(self.log, "counters"; "all" => self.metrics.summary());
        slog::info!(self.log, "tables"; "hold" => format!("{:?}", self.engine.table_sizes()),
            "cancel_keys" => self.context.cancel_keys.len());
        let (age, left) = self.engine.endpoint_list_age();
        slog::info!(self.log, "discovery"; "revision" => self.engine.endpoint_list_revision(),
            "list_age_ms" => age.map(|age| age.as_millis() as u64),
            "list_ends_in_ms" => left.map(|left| left.as_millis() as u64));
        slog::info!(self.log, "peers"; "all" => self.client_connections.summary());
        if let Some(ledger) = &self.engine.session_consistency {
            slog::info!(self.log, "sessions"; "all" => ledger.summary());
        }
        if let Some(member) = &self.member {
            slog::info!(self.log, "member"; "all" => member.metrics_line());
        }
        if let Some(replication) = &self.replication {
            slog::info!(self.log, "copies"; "all" => replication.runtime.metrics_line());
        }
    }
}

/// Gives the engine the endpoint list that the configuration remembers.
fn restore_endpoint_list(node: &mut NodeConfig, engine: &Rc<Engine>) -> Option<EndpointList> {
    let known = node.known_endpoints.take()?;
    let list = parse_endpoint_list(known.get().as_bytes())?;
    engine.on_endpoint_list(EndpointUpdate::Restored, list.revision, &list.entries);
    Some(list)
}

/// Starts this process as a member of its fleet, and its replication where `settings` configures it.
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
    let (member, fresh) = membership::start(member, name, log);
    let replication =
        settings.map(|settings| replication::start(&member, settings, disk.as_deref(), fresh, log));
    (Some(member), replication)
}

/// Recovery of drains and primaries from the replica holders, before the first client is accepted.
struct StartupRecovery {
    holders: Rc<Replication>,
    /// Longest time that it may take.
    within: Duration,
}

/// Recovers what the replica holders know, then accepts clients.
fn start_acceptor(
    acceptor: Acceptor,
    recovery: Option<StartupRecovery>,
    restored: Option<EndpointList>,
    log: slog::Logger,
) -> AcceptorHandle {
    let handle = AcceptorHandle::default();
    let AcceptorHandle { stop, stopped } = handle.clone();
    spawn(async move {
        if let Some(StartupRecovery { holders, within }) = recovery {
            let (entries, revision) =
                restored.map_or((Vec::new(), 0), |list| (list.entries, list.revision));
            holders
                .recover(&acceptor.context.engine, &entries, revision, within, &log)
                .await;
        }
        acceptor.run(stop, log).await;
        stopped.notify_one();
    });
    handle
}
