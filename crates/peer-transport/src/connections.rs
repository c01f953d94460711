//! The connections to other members: opened on demand, greeted, and bounded in number.
//!
//! # Invariants
//!
//! No peer's connection waits for another's, and nothing from a frame is used before the frame is verified.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_membership::Destination;
use leverpoint_runtime::{Listener, Stream, now, since, sleep, spawn, timeout};
use leverpoint_signing::Keys;

pub use crate::connection::{Connection, TransportCounters};
use crate::connection::{FrameReader, SharedCounters, write_all};
use crate::frame::{FrameError, Hello, Message, PROTOCOL_VERSIONS, decode_hello, encode_hello};
use crate::secure_channel::{Direction, SecureChannel};

/// The fleet that a process belongs to, and how its members authenticate. Reloaded on SIGHUP.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// Name of the fleet.
    pub name: String,
    /// Keys that sign and verify frames.
    pub keys: Keys,
    /// Addresses by member name, where a member is not reached at the address that it advertises.
    pub address_overrides: BTreeMap<String, String>,
}

/// Time limit of connecting, of the handshake, and of each write.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an unused connection is closed. It is above a minute, as in large fleets a peer is probed about
/// once a minute.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of connections with an unfinished handshake; further ones are not accepted.
const MAX_PENDING_HANDSHAKES: usize = 32;

/// Receives each message with the connection that it came on, over which a response can be sent.
pub type MessageHandler = Box<dyn Fn(&Rc<Connection>, Message)>;

/// All connections of one process.
pub struct Connections {
    /// The process's advertised address; empty for an admin client.
    address: String,
    fleet: RefCell<FleetConfig>,
    connections: RefCell<Vec<Rc<Connection>>>,
    max_connections: usize,
    pending_handshakes: Cell<usize>,
    handler: RefCell<Option<MessageHandler>>,
    counters: SharedCounters,
    nonces: RefCell<Box<dyn FnMut() -> u64>>,
}

impl Connections {
    /// Creates a set of up to `max_connections`. `nonces` draws numbers that cannot be guessed.
    pub fn new(
        address: String,
        fleet: FleetConfig,
        max_connections: usize,
        nonces: Box<dyn FnMut() -> u64>,
    ) -> Rc<Connections> {
        Rc::new(Connections {
            address,
            fleet: RefCell::new(fleet),
            connections: RefCell::default(),
            max_connections,
            pending_handshakes: Cell::new(0),
            handler: RefCell::new(None),
            counters: SharedCounters::default(),
            nonces: RefCell::new(nonces),
        })
    }

    /// Sets the receiver of messages.
    pub fn set_message_handler(&self, handler: MessageHandler) {
        *self.handler.borrow_mut() = Some(handler);
    }

    /// The counters since the start.
    pub fn counters(&self) -> TransportCounters {
        self.counters.get()
    }

    /// Number of connections, those being opened included.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Replaces the fleet's configuration. Open connections stay open and use the new keys.
    pub fn set_fleet(&self, fleet: FleetConfig) {
        *self.fleet.borrow_mut() = fleet;
    }

    fn keys(&self) -> Keys {
        self.fleet.borrow().keys.clone()
    }

    fn hello(&self) -> Hello {
        Hello {
            min_version: PROTOCOL_VERSIONS.0,
            max_version: PROTOCOL_VERSIONS.1,
            fleet: self.fleet.borrow().name.clone(),
            address: self.address.clone(),
            nonce: (self.nonces.borrow_mut())(),
        }
    }

    /// Queues a message for a member, on an existing connection or on a new one.
    pub fn send(self: &Rc<Self>, to: &Destination, message: &Message) {
        if let Some(connection) = self.find(&to.address) {
            return connection.send(message);
        }
        let Ok(address) = self.resolve(to).parse::<SocketAddr>() else {
            return self.counters.update(|counters| counters.unreachable += 1);
        };
        if !self.make_room() {
            return self.counters.update(|counters| counters.dropped += 1);
        }
        let connection = self.add(Some(to.address.clone()));
        connection.send(message);
        spawn(self.clone().open(connection, address));
    }

    /// A connection to this address, preferably an open one.
    fn find(&self, address: &str) -> Option<Rc<Connection>> {
        let connections = self.connections.borrow();
        let mut matching = connections.iter().filter(|c| c.leads_to(address));
        let open = matching.clone().find(|c| c.is_open.get());
        open.or_else(|| matching.next()).cloned()
    }

    fn resolve(&self, to: &Destination) -> String {
        let fleet = self.fleet.borrow();
        let name = to.name.as_ref();
        let address = name.and_then(|name| fleet.address_overrides.get(name));
        address.unwrap_or(&to.address).clone()
    }

    async fn open(self: Rc<Self>, connection: Rc<Connection>, address: SocketAddr) {
        match timeout(CONNECTION_TIMEOUT, Stream::connect(address, None)).await {
            Ok(Ok(stream)) => {
                self.counters.update(|counters| counters.opened += 1);
                self.run(&connection, stream, Direction::FromOpener).await;
            }
            _ => self.counters.update(|counters| counters.unreachable += 1),
        }
        self.remove(&connection);
    }

    fn add(&self, dialled: Option<String>) -> Rc<Connection> {
        let connection = Connection::new(dialled, self.counters.clone());
        self.connections.borrow_mut().push(connection.clone());
        connection
    }

    /// Makes room for another connection by closing the one idle for longest, and returns whether there is room.
    fn make_room(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        if connections.len() < self.max_connections {
            return true;
        }
        let oldest = connections
            .iter()
            .enumerate()
            .filter(|(_, c)| c.is_open.get() && c.queue_len() == 0)
            .min_by_key(|(_, c)| c.last_used.get())
            .map(|(position, _)| position);
        // Its task ends later, but its place is free at once for the message about to be sent.
        oldest
            .map(|position| connections.remove(position).close())
            .is_some()
    }

    fn remove(&self, connection: &Rc<Connection>) {
        connection.is_open.set(false);
        let unsent = connection.queue_len() as u64;
        self.counters.update(|counters| counters.dropped += unsent);
        self.connections
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, connection));
    }

    /// Accepts connections until the task is dropped.
    pub async fn accept(self: Rc<Self>, listener: Listener) {
        loop {
            match listener.accept().await {
                Ok(stream) => self.on_accepted(stream),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    fn on_accepted(self: &Rc<Self>, stream: Stream) {
        if self.pending_handshakes.get() >= MAX_PENDING_HANDSHAKES || !self.make_room() {
            return self.counters.update(|counters| counters.dropped += 1);
        }
        let connections = self.clone();
        spawn(async move {
            let connection = connections.add(None);
            connections
                .counters
                .update(|counters| counters.accepted += 1);
            connections
                .run(&connection, stream, Direction::FromAcceptor)
                .await;
            connections.remove(&connection);
        });
    }

    /// Runs a connection until it ends. `outbound` is the direction in which this side sends.
    async fn run(&self, connection: &Rc<Connection>, stream: Stream, outbound: Direction) {
        let mut reader = FrameReader::new(stream.clone(), self.counters.clone());
        self.pending_handshakes
            .set(self.pending_handshakes.get() + 1);
        let handshake = timeout(CONNECTION_TIMEOUT, self.handshake(&mut reader, outbound)).await;
        self.pending_handshakes
            .set(self.pending_handshakes.get() - 1);
        let (hello, own_nonce) = match handshake {
            Ok(Ok(Some(greeted))) => greeted,
            Ok(Err(error)) => return self.counters.record(error),
            _ => return,
        };
        *connection.peer.borrow_mut() = hello.address.clone();
        connection.is_open.set(true);
        let channel = |direction| match outbound {
            Direction::FromOpener => SecureChannel::new(own_nonce, hello.nonce, direction),
            Direction::FromAcceptor => SecureChannel::new(hello.nonce, own_nonce, direction),
        };
        // Whichever side ends first ends the connection.
        tokio::select! {
            biased;
            () = self.receive(connection, reader, channel(outbound.reversed())) => {}
            () = self.transmit(connection, &stream, channel(outbound)) => {}
        }
    }

    /// Exchanges greetings, the opener's first. Returns the peer's greeting and this side's nonce.
    async fn handshake(
        &self,
        reader: &mut FrameReader,
        outbound: Direction,
    ) -> Result<Option<(Hello, u64)>, FrameError> {
        let is_opener = outbound == Direction::FromOpener;
        let fleet = self.fleet.borrow().name.clone();
        let own = self.hello();
        let Some(greeting) = encode_hello(&self.keys(), &own) else {
            return Ok(None);
        };
        if is_opener && write_all(&reader.stream, &greeting).await.is_none() {
            return Ok(None);
        }
        let Some(frame) = reader.next().await? else {
            return Ok(None);
        };
        let hello = decode_hello(&self.keys(), &frame, &fleet)?;
        if !is_opener && write_all(&reader.stream, &greeting).await.is_none() {
            return Ok(None);
        }
        Ok(Some((hello, own.nonce)))
    }

    async fn receive(
        &self,
        connection: &Rc<Connection>,
        mut reader: FrameReader,
        mut channel: SecureChannel,
    ) {
        loop {
            let frame = match reader.next().await {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(error) => return self.counters.record(error),
            };
            match channel.decode(&self.keys(), &frame) {
                Ok(message) => self.on_message(connection, message),
                Err(error) => {
                    self.counters.record(error);
                    // Late frames and unknown kinds are harmless; any other error ends the connection.
                    if !matches!(error, FrameError::Replayed | FrameError::UnknownKind) {
                        return;
                    }
                }
            }
        }
    }

    fn on_message(&self, connection: &Rc<Connection>, message: Message) {
        connection.last_used.set(now());
        self.counters.update(|counters| counters.received += 1);
        if let Some(handler) = &*self.handler.borrow() {
            handler(connection, message);
        }
    }

    async fn transmit(&self, connection: &Connection, stream: &Stream, mut channel: SecureChannel) {
        while connection.is_open.get() {
            let Some(message) = connection.next_queued() else {
                let woken = timeout(IDLE_TIMEOUT, connection.wake.notified()).await;
                if woken.is_err() && since(connection.last_used.get()) >= IDLE_TIMEOUT {
                    return;
                }
                continue;
            };
            let Some(frame) = channel.encode(&self.keys(), &message) else {
                return;
            };
            match timeout(CONNECTION_TIMEOUT, write_all(stream, &frame)).await {
                Ok(Some(())) => self.counters.update(|counters| {
                    counters.sent += 1;
                    counters.sent_bytes += frame.len() as u64;
                }),
                Ok(None) => return,
                Err(_) => return self.counters.update(|counters| counters.timed_out += 1),
            }
        }
    }
}
