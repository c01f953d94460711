//! The daemon process: the async runtime, the listening sockets and the signal handlers.

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

/// Length of the kernel's accept queue: as many connections as a fleet has processes, which may all start together.
const BACKLOG: i32 = 1024;

/// The configuration and the operator's file, or the error that prevents the start.
type Configuration = Result<(NodeConfig, OperatorConfig), ConfigError>;

/// Serves until SIGTERM, with the configuration that `read` returns.
///
/// `read` is called after the signal handlers are installed.
///
/// # Errors
///
/// Returns a line of text that says why the gateway could not start.
pub(crate) fn run(read: impl FnOnce() -> Configuration, log: slog::Logger) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let result = LocalSet::new().block_on(&runtime, serve(read, log));
    runtime.shutdown_background();
    result
}

/// Binds the address for other members; none where the operator's file configures no membership.
fn listen_to_members(
    node: &NodeConfig,
    operator: &OperatorConfig,
) -> io::Result<Option<MembershipListener>> {
    let membership = membership::membership_settings(node, operator)
        .map_err(|error| io::Error::other(error.to_string()))?;
    let Some(membership) = membership else {
        return Ok(None);
    };
    let socket = Socket::new(Domain::for_address(membership.listen), Type::STREAM, None)?;
    // Connections of an earlier process may still be in TIME_WAIT on this address.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    let with_address = |e: io::Error| {
        io::Error::new(
            e.kind(),
            format!("members.listen {}: {e}", membership.listen),
        )
    };
    socket
        .bind(&membership.listen.into())
        .map_err(with_address)?;
    socket.listen(BACKLOG)?;
    Ok(Some(MembershipListener {
        listener: Listener::Tcp(TcpListener::from_std(socket.into())?),
        membership,
    }))
}

/// Binds the address for clients, with the socket buffer sizes of `limits`.
fn listen_to_clients(node: &NodeConfig, limits: &Limits) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(node.listen), Type::STREAM, None)?;
    // Connections of an earlier process may still be in TIME_WAIT on this address.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    if limits.enabled {
        // Accepted sockets inherit these sizes; the kernel reserves twice as much for each.
        socket.set_send_buffer_size(limits.kernel_buffer)?;
        socket.set_recv_buffer_size(limits.kernel_buffer)?;
    }
    socket.bind(&node.listen.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

async fn serve(read: impl FnOnce() -> Configuration, log: slog::Logger) -> Result<(), String> {
    // Installed before anything else, even before the configuration is read: from here on no signal terminates the
    // process by its default action.
    let io_error = |e: io::Error| e.to_string();
    let mut sigterm = signal(SignalKind::terminate()).map_err(io_error)?;
    let mut sighup = signal(SignalKind::hangup()).map_err(io_error)?;
    let mut sigusr1 = signal(SignalKind::user_defined1()).map_err(io_error)?;
    let config_error = |error: ConfigError| error.to_string();
    let (node, operator) = read().map_err(config_error)?;
    let limits = gateway::backpressure_limits(&node, &operator).map_err(config_error)?;
    let listener = listen_to_clients(&node, &limits).map_err(io_error)?;
    let member_listener = listen_to_members(&node, &operator).map_err(io_error)?;
    let started = Gateway::start(
        node,
        operator,
        Listener::Tcp(listener),
        member_listener,
        log,
    );
    let gateway = Rc::new(started.map_err(config_error)?);
    let gateway_for_metrics = gateway.clone();
    spawn(async move {
        while sigusr1.recv().await.is_some() {
            gateway_for_metrics.log_metrics();
        }
    });
    let gateway_for_reload = gateway.clone();
    spawn(async move {
        while sighup.recv().await.is_some() {
            gateway_for_reload.reload();
        }
    });
    // A second SIGTERM has no effect: nobody receives it.
    sigterm.recv().await;
    gateway.shut_down().await;
    Ok(())
}
