//! Owns the running program: the runtime, its bounds, the listening socket, signals and the orderly end.
//!
//! It puts the parts together and lets each go on by itself. It must never read what they say to each other.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use leverpoint::interface::News;
use leverpoint_facts::node::{self, Node};
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
use crate::ring::{BASE, Memory};
use crate::servers::Servers;
use crate::{clients, discovery};

/// After SIGTERM new connections arrive for 0.4 s at most, and a command counts as taken in time up to 0.7 s.
const TAKES_ON: Duration = Duration::from_millis(550);

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
    // Before all else: from here on none of them ends the program by itself.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let mut print = signal(SignalKind::user_defined1())?;
    let counters = Rc::new(Counters::new(&node.opened.groups));
    let leaving = Leaving::new(node.limits.sockets);
    let descriptors = Descriptors::new(node.limits.sockets, leaving.clone());
    // What rings may take without a claim, both ways, comes off first; a third each is for statements and for
    // answers, the rest for everything else.
    let rings = node.limits.sockets * 2 * BASE;
    let third = (node.limits.memory_bytes.saturating_sub(rings) / 3).max(LONGEST);
    let statements = Memory::new(third);
    let (connect_timeout, idle_close) = (node.opened.connect_timeout, node.opened.idle_close);
    let servers =
        Servers::new(descriptors.clone(), Memory::new(third), counters.clone(), connect_timeout, idle_close);
    let listener = listen(&node)?;
    let exchange = Exchange::new(node.opened.clone(), counters.clone(), log.clone());
    exchange.set_carrier(Rc::new(servers.clone()));
    if let Some(known) = node.known.as_ref().and_then(discovery::told) {
        exchange.list(News::Remembered, &known.entries);
    }
    slog::info!(log, "serving"; "name" => &node.name, "listen" => node.listen.to_string());
    spawn_local(exchange.clone().keep_time());
    spawn_local(servers.tidy());
    let agent = Whereabouts::new(node.discovery);
    spawn_local(discovery::follow(agent.clone(), exchange.clone(), log.clone()));

    let stop = Rc::new(Notify::new());
    let door =
        Door { listener, descriptors, statements, leaving: leaving.clone(), exchange: exchange.clone() };
    let accepting = spawn_local(door.keep(stop.clone(), log.clone()));
    let (printed, printer, tables) = (counters.clone(), log.clone(), exchange.clone());
    spawn_local(async move {
        while print.recv().await.is_some() {
            slog::info!(printer, "counters"; "all" => printed.line());
            slog::info!(printer, "tables"; "hold" => format!("{:?}", tables.tables()));
        }
    });
    let reloads = log.clone();
    spawn_local(async move {
        while reload.recv().await.is_some() {
            reread(&node, &agent, &reloads);
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

/// Takes on the clients that come.
struct Door {
    listener: TcpListener,
    descriptors: Rc<Descriptors>,
    statements: Rc<Memory>,
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
        let (exchange, statements) = (self.exchange.clone(), self.statements.clone());
        spawn_local(clients::serve(stream, exchange, statements, self.leaving.clone(), claim, stays));
    }
}
