//! Owns the running program: the runtime, its bounds, the listening socket, signals and the orderly end.
//!
//! It puts the parts together and lets each go on by itself. It must never read what they say to each other.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use leverpoint::interface::News;
use leverpoint_facts::node::Node;
use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

use crate::counters::Counters;
use crate::exchange::Exchange;
use crate::servers::Servers;
use crate::{clients, discovery};

/// Descriptors beside connections of clients and servers: standard streams, the listening socket, the runtime's
/// own, the signals' and the agent's, with some to spare.
const OTHER_DESCRIPTORS: usize = 24;
/// After SIGTERM new connections arrive for 0.4 s at most, and a command counts as taken in time up to 0.7 s.
const TAKES_ON: Duration = Duration::from_millis(550);

/// The descriptors that connections may hold, over both sides.
pub struct Descriptors {
    left: Cell<usize>,
    /// Somebody waits for one.
    pub short: Notify,
    freed: Notify,
}

/// A descriptor that is held.
pub struct Claim(Rc<Descriptors>);

impl Descriptors {
    pub fn new(sockets: usize) -> Rc<Self> {
        let left = Cell::new(sockets.saturating_sub(OTHER_DESCRIPTORS));
        Rc::new(Descriptors { left, short: Notify::new(), freed: Notify::new() })
    }

    pub fn claim(self: &Rc<Self>) -> Option<Claim> {
        let left = self.left.get().checked_sub(1)?;
        self.left.set(left);
        Some(Claim(self.clone()))
    }

    async fn wait(self: &Rc<Self>) -> Claim {
        loop {
            if let Some(claim) = self.claim() {
                return claim;
            }
            self.short.notify_one();
            self.freed.notified().await;
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.0.left.set(self.0.left.get() + 1);
        self.0.freed.notify_one();
    }
}

/// Whether connections of clients are to end once nothing of theirs is open.
#[derive(Default)]
pub struct Ending {
    begun: Cell<bool>,
    changed: Notify,
}

impl Ending {
    pub async fn closing(&self) {
        let changed = self.changed.notified();
        if !self.begun.get() {
            changed.await;
        }
    }

    fn begin(&self) {
        self.begun.set(true);
        self.changed.notify_waiters();
    }
}

pub fn run(node: Node, log: slog::Logger) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let served = LocalSet::new().block_on(&runtime, serve(node, log));
    runtime.shutdown_background();
    served
}

/// The address may have been held by this gateway's earlier life a moment ago.
fn listen(node: &Node) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(node.listen), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&node.listen.into())?;
    socket.listen(1024)?;
    TcpListener::from_std(socket.into())
}

async fn serve(node: Node, log: slog::Logger) -> io::Result<()> {
    let counters = Rc::new(Counters::new(&node.opened.groups));
    let descriptors = Descriptors::new(node.limits.sockets);
    let (connect_timeout, idle_close) = (node.opened.connect_timeout, node.opened.idle_close);
    let servers = Servers::new(descriptors.clone(), counters.clone(), connect_timeout, idle_close);
    let listener = listen(&node)?;
    let exchange = Exchange::new(node.opened, counters.clone(), log.clone());
    exchange.set_carrier(Rc::new(servers.clone()));
    if let Some(known) = node.known.as_ref().and_then(discovery::told) {
        exchange.list(News::Remembered, &known.entries);
    }
    let mut terminate = signal(SignalKind::terminate())?;
    let mut print = signal(SignalKind::user_defined1())?;
    slog::info!(log, "serving"; "name" => &node.name, "listen" => node.listen.to_string());
    spawn_local(exchange.clone().keep_time());
    spawn_local(servers.tidy());
    spawn_local(discovery::follow(node.discovery, exchange.clone(), log.clone()));

    let ending = Rc::new(Ending::default());
    let ends_at: RefCell<Option<Instant>> = RefCell::new(None);
    loop {
        let ends = *ends_at.borrow();
        let patience = ends.unwrap_or_else(|| Instant::now() + Duration::from_secs(3600));
        tokio::select! {
            biased;
            _ = terminate.recv() => {
                if ends.is_none() {
                    slog::info!(log, "ending");
                    *ends_at.borrow_mut() = Some(Instant::now() + TAKES_ON);
                }
            }
            _ = print.recv() => slog::info!(log, "counters"; "all" => counters.line()),
            _ = sleep_until(patience), if ends.is_some() => break,
            accepted = accept(&listener, &descriptors) => match accepted {
                Ok((stream, claim)) => {
                    spawn_local(clients::serve(stream, exchange.clone(), ending.clone(), claim));
                }
                Err(e) => slog::warn!(log, "accepting failed"; "why" => e.to_string()),
            },
        }
    }
    // What the machine has accepted already is served as well.
    while let Ok(Ok((stream, claim))) =
        tokio::time::timeout(Duration::ZERO, accept(&listener, &descriptors)).await
    {
        spawn_local(clients::serve(stream, exchange.clone(), ending.clone(), claim));
    }
    drop(listener);
    ending.begin();
    let last = Instant::now() + exchange.longest_timeout();
    while counters.clients.in_use() > 0 && Instant::now() < last {
        sleep_until(Instant::now() + Duration::from_millis(5)).await;
    }
    slog::info!(log, "counters"; "all" => counters.line());
    slog::info!(log, "ended"; "open" => exchange.open());
    Ok(())
}

/// The next connection, once there is a descriptor for it.
async fn accept(
    listener: &TcpListener,
    descriptors: &Rc<Descriptors>,
) -> io::Result<(tokio::net::TcpStream, Claim)> {
    let claim = descriptors.wait().await;
    let (stream, _) = listener.accept().await?;
    Ok((stream, claim))
}
