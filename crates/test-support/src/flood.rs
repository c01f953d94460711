//! Clients that send small messages which lead to no request, as fast as the gateway reads them.
//!
//! # Invariants
//!
//! Every byte of the gateway's answers is read and discarded, so a flooding client is never a slow reader.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use socket2::SockRef;

use crate::wire::{STARTUP_MESSAGE, query_message};

/// SSLRequest, a startup packet that asks for TLS.
const SSL_REQUEST: &[u8] = b"\0\0\0\x08\x04\xd2\x16\x2f";
/// CancelRequest with a key that belongs to no connection.
const CANCEL_REQUEST: &[u8] = b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0";
/// Length in bytes of the messages that are written at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Size of the kernel's send buffer in bytes.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// What a flooding client sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FloodKind {
    /// Queries without a statement.
    EmptyQueries,
    /// Reads whose comment has neither an id nor a client timeout.
    NoIdNoTimeout,
    /// Reads of request classes that are not configured, each of another name.
    UnknownClasses,
    /// Reads of configured classes by tenants that are not configured, each of another name.
    UnknownTenants,
    /// SSLRequest packets on a connection that is not started.
    SslRequests,
    /// Sync messages of the extended protocol.
    Syncs,
    /// `SET` statements.
    SessionStatements,
    /// Well-formed reads of this class whose client timeout has passed already.
    ExpiredReads(&'static str),
    /// Messages of the extended protocol, which is not spoken.
    ExtendedMessages,
    /// Queries of 60 KiB that are no statement of the protocol.
    LongInvalidQueries,
    /// Well-formed reads of this class, sent without waiting for their answers, each of a session of its own.
    PipelinedReads(&'static str),
    /// Connections that send some empty queries and close unread, each after the other.
    ShortConnections,
    /// Connections that ask for the cancellation of a request that does not exist, each after the other.
    CancelRequests,
    /// Well-formed writes of this class, each of a session of its own, whose client timeout has passed already.
    ExpiredWritesOfNewSessions(&'static str),
}

impl FloodKind {
    /// All kinds; those with requests are of the class `class`, and of `write_class` where they write.
    pub fn all(class: &'static str, write_class: &'static str) -> [FloodKind; 14] {
        [
            FloodKind::EmptyQueries,
            FloodKind::NoIdNoTimeout,
            FloodKind::UnknownClasses,
            FloodKind::UnknownTenants,
            FloodKind::SslRequests,
            FloodKind::Syncs,
            FloodKind::SessionStatements,
            FloodKind::ExtendedMessages,
            FloodKind::LongInvalidQueries,
            FloodKind::ShortConnections,
            FloodKind::CancelRequests,
            FloodKind::ExpiredReads(class),
            FloodKind::PipelinedReads(class),
            FloodKind::ExpiredWritesOfNewSessions(write_class),
        ]
    }

    /// Returns the bytes that open a connection of this kind.
    fn opening(self) -> &'static [u8] {
        match self {
            FloodKind::SslRequests | FloodKind::CancelRequests => b"",
            _ => STARTUP_MESSAGE,
        }
    }

    /// Whether a connection of this kind is closed once its first messages are sent.
    fn closes_at_once(self) -> bool {
        matches!(
            self,
            FloodKind::ShortConnections | FloodKind::CancelRequests
        )
    }

    /// Returns message `number` of a client whose messages all have `name` in their ids.
    fn message(self, name: &str, number: u64) -> Vec<u8> {
        let read = |comment: &str| {
            query_message(&format!(
                "SELECT v FROM records WHERE k = '7f3a' /* {comment} */"
            ))
        };
        match self {
            FloodKind::EmptyQueries => query_message(""),
            FloodKind::NoIdNoTimeout => read("c=view,t=acme,cluster=2"),
            FloodKind::UnknownClasses => read(&format!(
                "id={name}{number:x},c=class{name}{number:x},t=acme,d=400,cluster=2"
            )),
            FloodKind::UnknownTenants => read(&format!(
                "id={name}{number:x},c=view,t=tenant{name}{number:x},d=400,cluster=2"
            )),
            FloodKind::SslRequests => SSL_REQUEST.to_vec(),
            FloodKind::Syncs => b"S\0\0\0\x04".to_vec(),
            FloodKind::SessionStatements => query_message("SET search_path = main"),
            FloodKind::ExtendedMessages => b"P\0\0\0\x08\0\0\0\0".to_vec(),
            FloodKind::LongInvalidQueries => query_message(&"x".repeat(60 << 10)),
            FloodKind::PipelinedReads(class) => query_message(&format!(
                "SELECT v FROM records WHERE k = 'session{name}{number:x}' \
                 /* id={name}{number:x},c={class},t=acme,d=300,cluster=2 */"
            )),
            FloodKind::ShortConnections => query_message("").repeat(8),
            FloodKind::CancelRequests => CANCEL_REQUEST.to_vec(),
            FloodKind::ExpiredReads(class) => read(&format!(
                "id={name}{number:x},c={class},t=acme,d=0,cluster=2"
            )),
            FloodKind::ExpiredWritesOfNewSessions(class) => query_message(&format!(
                "INSERT INTO records (k, v) VALUES ('session{name}{number:x}', '\\x9f') RETURNING v \
                 /* id={name}{number:x},c={class},t=acme,d=0,k={name}{number:x},cluster=2 */"
            )),
        }
    }

    /// Returns messages from `first` on, [`CHUNK_BYTES`] of them, and the number of the next one.
    fn chunk(self, name: &str, first: u64) -> (Vec<u8>, u64) {
        let (mut bytes, mut number) = (Vec::new(), first);
        while bytes.len() < CHUNK_BYTES {
            bytes.extend(self.message(name, number));
            number += 1;
        }
        (bytes, number)
    }
}

/// State that the threads of a flood share.
#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    sent_bytes: AtomicU64,
    answer_bytes: AtomicU64,
    /// Connections made, by client.
    connections: Mutex<Vec<Option<TcpStream>>>,
}

/// Running flooding clients, one connection each. A client whose connection has ended opens another one. Dropping the
/// flood ends them.
pub struct Flood {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts `count` clients of this kind.
    pub fn start(to: SocketAddr, kind: FloodKind, count: usize) -> Flood {
        let shared = Arc::new(Shared::default());
        shared
            .connections
            .lock()
            .unwrap()
            .resize_with(count, || None);
        let start_client = |client: usize| {
            let shared = shared.clone();
            thread::spawn(move || {
                let mut next = 0;
                while !shared.stop.load(Relaxed) {
                    // A connection that fails is replaced by the next one.
                    let _ = shared.run_connection(to, kind, client, &mut next);
                }
            })
        };
        Flood {
            threads: (0..count).map(start_client).collect(),
            shared,
        }
    }

    /// Returns how many bytes the clients have written and how many bytes of answers they have read.
    pub fn transferred(&self) -> (u64, u64) {
        (
            self.shared.sent_bytes.load(Relaxed),
            self.shared.answer_bytes.load(Relaxed),
        )
    }
}

impl Shared {
    /// Sends on one connection until it ends; `next` is the number of the client's next message.
    fn run_connection(
        self: &Arc<Self>,
        to: SocketAddr,
        kind: FloodKind,
        client: usize,
        next: &mut u64,
    ) -> io::Result<()> {
        let mut writer = TcpStream::connect(to)?;
        // Otherwise the kernel takes megabytes at once, and building them keeps the test's own threads busy.
        SockRef::from(&writer).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        self.connections.lock().unwrap()[client] = Some(writer.try_clone()?);
        let (shared, mut reader) = (self.clone(), writer.try_clone()?);
        if kind.closes_at_once() {
            let bytes = [kind.opening(), &kind.message("", 0)].concat();
            self.sent_bytes.fetch_add(bytes.len() as u64, Relaxed);
            return writer.write_all(&bytes);
        }
        let reading = thread::spawn(move || {
            let mut buffer = vec![0; CHUNK_BYTES];
            while let Ok(n @ 1..) = reader.read(&mut buffer) {
                shared.answer_bytes.fetch_add(n as u64, Relaxed);
            }
        });
        let mut chunk = kind.opening().to_vec();
        let name = format!("f{client:x}x");
        let mut written = Ok(());
        while written.is_ok() && !self.stop.load(Relaxed) {
            written = writer.write_all(&chunk);
            self.sent_bytes.fetch_add(chunk.len() as u64, Relaxed);
            (chunk, *next) = kind.chunk(&name, *next);
        }
        // The other side may have closed it already.
        let _ = writer.shutdown(Shutdown::Both);
        // A reader that panicked has printed why.
        let _ = reading.join();
        written
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.shared.stop.store(true, Relaxed);
        for connection in self.shared.connections.lock().unwrap().iter().flatten() {
            // The other side may have closed it already.
            let _ = connection.shutdown(Shutdown::Both);
        }
        for thread in self.threads.drain(..) {
            // A client that panicked has printed why; the test judges the answers of the other clients.
            let _ = thread.join();
        }
    }
}
