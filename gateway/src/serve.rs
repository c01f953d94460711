//! Owns the running program: the runtime, its bounds, the listening socket, signals and the orderly end.
//!
//! It puts the parts together and lets each go on by itself. It must never read what they say to each other.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use leverpoint::interface::News;
use leverpoint_facts::Fault;
use leverpoint_facts::node::{self, Node};
use leverpoint_facts::operator::{self, Operator};
use leverpoint_pace::Caps;
use leverpoint_pace::caps::Limits;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::counters::{Counters, add};
use crate::descriptors::{Descriptors, Leaving};
use crate::discovery::Whereabouts;
use crate::exchange::Exchange;
use crate::message::LONGEST;
use crate::peers::Peers;
use crate::ring::BASE;
use crate::servers::Servers;
use crate::{clients, discovery};

/// After SIGTERM new connections arrive for 0.4 s at most, and a command counts as taken in time up to 0.7 s.
const TAKES_ON: Duration = Duration::from_millis(550);

pub fn run(node: Node, operator: Operator, log: slog::Logger) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let served = LocalSet::new().block_on(&runtime, serve(node, operator, log));
    runtime.shutdown_background();
    served
}

/// The address may have been held by this gateway's earlier life a moment ago.
fn listen(node: &Node, caps: &Caps) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(node.listen), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    if caps.on {
        // Connections that are accepted take these over; the kernel holds twice as much for each.
        socket.set_send_buffer_size(caps.kernel)?;
        socket.set_recv_buffer_size(caps.kernel)?;
    }
    socket.bind(&node.listen.into())?;
    socket.listen(1024)?;
    TcpListener::from_std(socket.into())
}

async fn serve(mut node: Node, mut operator: Operator, log: slog::Logger) -> io::Result<()> {
    // Before all else: from here on none of them ends the program by itself.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let mut print = signal(SignalKind::user_defined1())?;
    let counters = Rc::new(Counters::new(&node.opened.groups));
    let caps = caps(&node, &operator).map_err(|fault| io::Error::other(fault.to_string()))?;
    let facts = &node.opened.facts;
    let (groups, customers) = (facts.groups.len(), facts.customers.len());
    let peers = Peers::new(caps, groups, customers, facts.seed, log.clone());
    let leaving = Leaving::new(node.limits.sockets, peers.clone());
    let descriptors = Descriptors::new(node.limits.sockets, leaving.clone());
    let (connect_timeout, idle_close) = (node.opened.connect_timeout, node.opened.idle_close);
    let servers =
        Servers::new(descriptors.clone(), peers.clone(), counters.clone(), connect_timeout, idle_close);
    let listener = listen(&node, &caps)?;
    let exchange = Exchange::new(node.opened.clone(), counters.clone(), log.clone());
    exchange.set_carrier(Rc::new(servers.clone()));
    if let Some(known) = node.known.take().and_then(|known| discovery::told(known.get().as_bytes())) {
        exchange.list(News::Remembered, &known.entries);
    }
    slog::info!(log, "serving"; "name" => &node.name, "listen" => node.listen.to_string());
    spawn_local(exchange.clone().keep_time());
    spawn_local(servers.tidy());
    spawn_local(peers.clone().watch());
    let agent = Whereabouts::new(node.discovery);
    spawn_local(discovery::follow(agent.clone(), exchange.clone(), log.clone()));

    let stop = Rc::new(Notify::new());
    let door = Door {
        listener,
        descriptors,
        peers: peers.clone(),
        leaving: leaving.clone(),
        exchange: exchange.clone(),
    };
    let accepting = spawn_local(door.keep(stop.clone(), log.clone()));
    let (printed, printer, tables) = (counters.clone(), log.clone(), exchange.clone());
    let held = peers.clone();
    spawn_local(async move {
        while print.recv().await.is_some() {
            slog::info!(printer, "counters"; "all" => printed.line());
            slog::info!(printer, "tables"; "hold" => format!("{:?}", tables.tables()));
            slog::info!(printer, "peers"; "all" => held.line());
        }
    });
    let (reloads, judged) = (log.clone(), peers.clone());
    spawn_local(async move {
        while reload.recv().await.is_some() {
            reread(&node, &agent, &reloads);
            operator = reread_operator(&node, operator, &judged, &reloads);
        }
    });
    // Asked once; that it is asked again changes nothing.
    terminate.recv().await;
    slog::info!(log, "ending");
    sleep(TAKES_ON).await;
    stop.notify_one();
    let _ = accepting.await;
    leaving.ask_all();
    let last = Instant::now() + exchange.longest_timeout();
    while counters.clients.in_use() > 0 && Instant::now() < last {
        sleep(Duration::from_millis(5)).await;
    }
    slog::info!(log, "counters"; "all" => counters.line());
    slog::info!(log, "peers"; "all" => peers.line());
    slog::info!(log, "ended"; "open" => exchange.open());
    Ok(())
}

/// Another reading of the configuration: discovery's address holds at once, all else needs a restart, and a
/// faulty file changes nothing.
fn reread(node: &Node, agent: &Whereabouts, log: &slog::Logger) {
    let again = match node::again(&node.file, |name| std::env::var(name).ok()) {
        Ok(again) => again,
        Err(fault) => return slog::error!(log, "configuration not taken"; "why" => fault.to_string()),
    };
    let mut waiting = node.changed(&again);
    waiting.retain(|key| key != "discovery");
    let moved = agent.move_to(again.discovery);
    slog::info!(log, "configuration read again"; "discovery" => again.discovery.to_string(),
        "moved" => moved, "needs_restart" => waiting.join(" "));
}

/// The figures for slow peers: what follows from the limits, and above it what the operator says.
pub fn caps(node: &Node, operator: &Operator) -> Result<Caps, Fault> {
    let limits = Limits {
        memory: node.limits.memory_bytes,
        sockets: node.limits.sockets,
        unclaimed: 2 * BASE,
        longest: LONGEST,
        connect: node.opened.connect_timeout,
    };
    operator.caps(Caps::from_limits(&limits), LONGEST)
}

/// Another reading of the operator's file: all of it holds at once but the size of the kernel's buffers, and
/// whether they have one, which is agreed on as a connection comes up.
fn reread_operator(node: &Node, held: Operator, peers: &Peers, log: &slog::Logger) -> Operator {
    let Some(file) = held.file() else { return held };
    let again = operator::from_file(file).and_then(|again| Ok((caps(node, &again)?, again)));
    match again {
        Ok((caps, again)) => {
            let changed = held.changed(&again);
            peers.set_caps(caps);
            let waits = |key: &&String| ["slow.kernel", "slow.caps"].contains(&key.as_str());
            let waiting: Vec<_> = changed.iter().filter(waits).map(String::as_str).collect();
            slog::info!(log, "operator's file read again"; "changed" => changed.join(" "),
                "needs_restart_for_open_connections" => waiting.join(" "));
            again
        }
        Err(fault) => {
            slog::error!(log, "operator's file not taken"; "why" => fault.to_string());
            held
        }
    }
}

/// Takes on the clients that come.
struct Door {
    listener: TcpListener,
    descriptors: Rc<Descriptors>,
    peers: Rc<Peers>,
    leaving: Rc<Leaving>,
    exchange: Rc<Exchange>,
}

impl Door {
    /// Until it is told to stop; what the machine has accepted by then is served as well.
    async fn keep(self, stop: Rc<Notify>, log: slog::Logger) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.notified() => break,
            };
            match accepted {
                Ok((stream, _)) => self.take_on(stream).await,
                Err(e) => {
                    add(&self.exchange.counters.clients.refused);
                    slog::warn!(log, "accepting failed"; "why" => e.to_string());
                    // Out of something that only time gives back: a pause, not a spin.
                    sleep(self.exchange.connect_timeout()).await;
                }
            }
        }
        while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, self.listener.accept()).await {
            self.take_on(stream).await;
        }
    }

    async fn take_on(&self, stream: TcpStream) {
        let (claim, stays) = self.descriptors.claim_for_client().await;
        let (exchange, peers) = (self.exchange.clone(), self.peers.clone());
        spawn_local(clients::serve(stream, exchange, peers, self.leaving.clone(), claim, stays));
    }
}
