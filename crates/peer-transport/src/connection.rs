//! One connection to a peer: its outbound queue, and the socket's frames.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{ErrorKind, IoSlice, IoSliceMut};
use std::rc::Rc;

use bytes::BytesMut;
use leverpoint_runtime::{Instant, Stream, now};
use tokio::sync::Notify;
use tokio_util::codec::LengthDelimitedCodec;

use crate::frame::{self, FrameError, Message, encode_message};

/// Maximum number of frames queued for one peer. The oldest is dropped for a new one, as messages are soon outdated.
const MAX_QUEUED_FRAMES: usize = 128;
/// Size of the buffer of one read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Counters of all connections since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransportCounters {
    /// Frames sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Valid frames received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Connections opened.
    pub opened: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Frames dropped for newer ones or for want of a connection, and connections turned away.
    pub dropped: u64,
    /// Frames that could not be decoded.
    pub malformed: u64,
    /// Frames with an invalid signature.
    pub signature_errors: u64,
    /// Frames that were duplicated, late or replayed.
    pub replayed: u64,
    /// Greetings of another fleet or without a common protocol version.
    pub incompatible: u64,
    /// Messages of an unknown kind.
    pub unknown_kind: u64,
    /// Connections closed because a write took too long.
    pub timed_out: u64,
    /// Peers that could not be connected to.
    pub unreachable: u64,
}

/// The counters as the connections of one process share them.
#[derive(Clone, Default)]
pub(crate) struct SharedCounters(Rc<Cell<TransportCounters>>);

impl SharedCounters {
    pub(crate) fn get(&self) -> TransportCounters {
        self.0.get()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut TransportCounters)) {
        let mut counters = self.0.get();
        change(&mut counters);
        self.0.set(counters);
    }

    pub(crate) fn record(&self, error: FrameError) {
        self.update(|counters| match error {
            FrameError::Malformed => counters.malformed += 1,
            FrameError::Signature(_) => counters.signature_errors += 1,
            FrameError::Replayed => counters.replayed += 1,
            FrameError::UnknownKind => counters.unknown_kind += 1,
            FrameError::Incompatible => counters.incompatible += 1,
        });
    }
}

/// A connection that is open or being opened.
pub struct Connection {
    /// The peer's advertised address, once it has sent its greeting.
    pub(crate) peer: RefCell<String>,
    /// The address that this side has opened the connection for.
    dialled: Option<String>,
    queue: RefCell<VecDeque<Vec<u8>>>,
    pub(crate) wake: Notify,
    pub(crate) is_open: Cell<bool>,
    pub(crate) last_used: Cell<Instant>,
    counters: SharedCounters,
}

impl Connection {
    pub(crate) fn new(dialled: Option<String>, counters: SharedCounters) -> Rc<Connection> {
        Rc::new(Connection {
            peer: RefCell::default(),
            dialled,
            queue: RefCell::default(),
            wake: Notify::new(),
            is_open: Cell::new(false),
            last_used: Cell::new(now()),
            counters,
        })
    }

    /// Queues a message for the peer.
    pub fn send(&self, message: &Message) {
        let Some(encoded) = encode_message(message) else {
            return self.counters.update(|counters| counters.dropped += 1);
        };
        let mut queue = self.queue.borrow_mut();
        if queue.len() >= MAX_QUEUED_FRAMES {
            queue.pop_front();
            self.counters.update(|counters| counters.dropped += 1);
        }
        queue.push_back(encoded);
        self.last_used.set(now());
        self.wake.notify_one();
    }

    pub(crate) fn next_queued(&self) -> Option<Vec<u8>> {
        self.queue.borrow_mut().pop_front()
    }

    pub(crate) fn queue_len(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Whether the connection leads to the member at this address.
    pub(crate) fn leads_to(&self, address: &str) -> bool {
        self.dialled.as_deref() == Some(address) || *self.peer.borrow() == address
    }

    /// Ends the connection's task.
    pub(crate) fn close(&self) {
        self.is_open.set(false);
        self.wake.notify_one();
    }
}

/// Reads frames from a socket.
pub(crate) struct FrameReader {
    pub(crate) stream: Stream,
    received: BytesMut,
    codec: LengthDelimitedCodec,
    counters: SharedCounters,
}

impl FrameReader {
    pub(crate) fn new(stream: Stream, counters: SharedCounters) -> FrameReader {
        FrameReader {
            stream,
            received: BytesMut::new(),
            codec: frame::length_codec(),
            counters,
        }
    }

    /// The next whole frame; `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> Result<Option<BytesMut>, FrameError> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            if let Some(frame) = frame::next_frame(&mut self.codec, &mut self.received)? {
                return Ok(Some(frame));
            }
            if self.stream.readable().await.is_err() {
                return Ok(None);
            }
            match self.stream.try_read(&mut [IoSliceMut::new(&mut buffer)]) {
                Ok(0) => return Ok(None),
                Ok(length) => {
                    self.counters
                        .update(|counters| counters.received_bytes += length as u64);
                    self.received.extend_from_slice(&buffer[..length]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return Ok(None),
            }
        }
    }
}

/// Writes all bytes; `None` if the connection has failed.
pub(crate) async fn write_all(stream: &Stream, mut bytes: &[u8]) -> Option<()> {
    while !bytes.is_empty() {
        match stream.try_write(&[IoSlice::new(bytes)]) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => stream.writable().await.ok()?,
            Err(_) => return None,
        }
    }
    Some(())
}
