//! The daemon's process: the runtime, the listening sockets and signals.

use std::io;
use std::rc::Rc;

use leverpoint_backpressure::Limits;
use leverpoint_config::ConfigError;
use leverpoint_config::node::NodeConfig;
use leverpoint_config::operator::OperatorConfig;
use leverpoint_gateway::gateway::{self, Gateway};
use leverpoint_gateway::membership::{self, MembershipListener};
use leverpoint_runtime::{Listener, spawn};
use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Connections that may wait to be accepted: as many as a fleet has processes, which may all start together.
const BACKLOG: i32 = 1024;

/// The configuration and the operator's file that the gateway is started with.
type Configuration = Result<(NodeConfig, OperatorConfig), ConfigError>;

/// Serves until SIGTERM, with the configuration that `read` returns.
///
/// # Errors
///
/// One line that says why the gateway could not start.
pub(crate) fn run(read: impl FnOnce() -> Configuration, log: slog::Logger) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let served = LocalSet::new().block_on(&runtime, serve(read, log));
    runtime.shutdown_background();
    served
}

/// Binds the address for other members, where the operator's file makes this process one.
fn listen_to_members(
    node: &NodeConfig,
    operator: &OperatorConfig,
) -> io::Result<Option<MembershipListener>> {
    let membership = membership::membership_settings(node, operator)
        .map_err(|fault| io::Error::other(fault.to_string()))?;
    let Some(membership) = membership else {
        return Ok(None);
    };
    let socket = Socket::new(Domain::for_address(membership.listen), Type::STREAM, None)?;
    // An earlier process may have held the address a moment ago.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    let named = |e: io::Error| {
        io::Error::new(
            e.kind(),
            format!("members.listen {}: {e}", membership.listen),
        )
    };
    socket.bind(&membership.listen.into()).map_err(named)?;
    socket.listen(BACKLOG)?;
    Ok(Some(MembershipListener {
        listener: Listener::Tcp(TcpListener::from_std(socket.into())?),
        membership,
    }))
}

/// Binds the address for clients.
fn listen_to_clients(node: &NodeConfig, caps: &Limits) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(node.listen), Type::STREAM, None)?;
    // An earlier process may have held the address a moment ago.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    if caps.enabled {
        // Accepted connections inherit these; the kernel holds twice as much for each.
        socket.set_send_buffer_size(caps.kernel_buffer)?;
        socket.set_recv_buffer_size(caps.kernel_buffer)?;
    }
    socket.bind(&node.listen.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

async fn serve(read: impl FnOnce() -> Configuration, log: slog::Logger) -> Result<(), String> {
    // Before all else, even the configuration: from here on no signal ends the process by itself.
    let failed = |e: io::Error| e.to_string();
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut reload = signal(SignalKind::hangup()).map_err(failed)?;
    let mut metrics = signal(SignalKind::user_defined1()).map_err(failed)?;
    let faulty = |fault: ConfigError| fault.to_string();
    let (node, operator) = read().map_err(faulty)?;
    let caps = gateway::backpressure_limits(&node, &operator).map_err(faulty)?;
    let listener = listen_to_clients(&node, &caps).map_err(failed)?;
    let member = listen_to_members(&node, &operator).map_err(failed)?;
    let started = Gateway::start(node, operator, Listener::Tcp(listener), member, log);
    let gateway = Rc::new(started.map_err(faulty)?);
    let logged = gateway.clone();
    spawn(async move {
        while metrics.recv().await.is_some() {
            logged.log_metrics();
        }
    });
    let reloaded = gateway.clone();
    spawn(async move {
        while reload.recv().await.is_some() {
            reloaded.reload();
        }
    });
    // A second SIGTERM changes nothing.
    terminate.recv().await;
    gateway.shut_down().await;
    Ok(())
}
