//! A connection with buffers, over the runtime's streams.

use std::cell::Cell;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_engine::UNRESERVED_BYTES;
use leverpoint_engine::client_connections::{BufferKind, BufferReservation, ClientConnection};
use leverpoint_runtime::{Instant, Stream, WeakStream, now, poll_once, since, yield_now};

use crate::io::receive_times::ReceiveTimes;
use crate::io::ring_buffer::{MIN_SIZE, RingBuffer};

/// Bytes that a connection reads or writes before others have their turn.
const TURN_BYTES: usize = 64 << 10;

/// A connection with a ring buffer for each direction.
pub(crate) struct BufferedConnection {
    stream: Stream,
    /// What has been read and not taken out.
    pub input: RingBuffer,
    output: RingBuffer,
    /// Bytes moved in this turn.
    turn: usize,
    /// When a client's bytes were received; not recorded for other connections.
    receive_times: Option<ReceiveTimes>,
}

/// Guard of a wait for input: while it is held nothing stands unread on the connection.
struct DrainedGuard<'a> {
    receive_times: &'a mut Option<ReceiveTimes>,
    since: Instant,
}

impl Drop for DrainedGuard<'_> {
    fn drop(&mut self) {
        let at = now();
        if let Some(receive_times) = self.receive_times {
            receive_times.on_drained(at, at.saturating_duration_since(self.since));
        }
    }
}

impl BufferedConnection {
    /// A connection whose receive times are not recorded.
    pub(crate) fn new(stream: Stream) -> Self {
        BufferedConnection {
            stream,
            input: RingBuffer::default(),
            output: RingBuffer::default(),
            turn: 0,
            receive_times: None,
        }
    }

    /// A client's connection, accepted after `since`; its receive times are recorded.
    pub(crate) fn of_client(stream: Stream, since: Instant) -> Self {
        BufferedConnection {
            receive_times: Some(ReceiveTimes::new(since)),
            ..BufferedConnection::new(stream)
        }
    }

    /// The earliest time at which the last byte taken out of the input may have been received.
    pub(crate) fn received_at(&mut self) -> Instant {
        let left = self.input.len();
        self.receive_times
            .as_mut()
            .map_or_else(now, |receive_times| receive_times.on_taken(left))
    }

    /// Connects; `kernel` is what the kernel is asked to keep each way, where that is bounded.
    pub(crate) async fn connect(to: SocketAddr, kernel: Option<usize>) -> io::Result<Self> {
        Ok(BufferedConnection::new(Stream::connect(to, kernel).await?))
    }

    /// The stream, to ask what of it stands in the kernel.
    pub(crate) fn stream(&self) -> WeakStream {
        self.stream.downgrade()
    }

    /// The connection ends with what waits on it, at once, when it is dropped.
    pub(crate) fn discard(&self) {
        self.stream.reset_on_drop();
    }

    /// Lets the input take more of a message of `length`, and returns how long the buffer for that was waited for.
    ///
    /// Buffer for a long message is reserved as its bytes are received, at most as much again as is there: a peer that
    /// announces much and sends nothing takes nothing from others.
    pub(crate) async fn expect(
        &mut self,
        length: usize,
        peer: &Rc<ClientConnection>,
        kind: BufferKind,
        room: &mut Option<BufferReservation>,
    ) -> Duration {
        if self.input.space() > 0 || length <= self.input.bound {
            return Duration::ZERO;
        }
        // More may stand here than the bound, where it was looked ahead.
        let held = self.input.bound.max(self.input.len);
        let bound = (2 * held).min(length);
        let began = now();
        let more = peer.reserve(kind, bound - held).await;
        match room {
            Some(room) => room.merge(more),
            None => *room = Some(more),
        }
        self.input.bound = bound;
        let waited = since(began);
        if !waited.is_zero() {
            // Nothing was read meanwhile.
            self.receive_times
                .iter_mut()
                .for_each(ReceiveTimes::on_full);
        }
        waited
    }

    /// Lets the input take so much more than stands in it.
    pub(crate) fn look_ahead(&mut self, bytes: usize) {
        self.input.bound = self.input.len + bytes;
    }

    /// The message has been taken out; the next one begins with the usual bound.
    pub(crate) fn expect_usual(&mut self) {
        self.input.bound = UNRESERVED_BYTES;
    }

    /// Reads what is known to be there, without waiting; an end of the other side is an error.
    pub(crate) fn read_now(&mut self) -> io::Result<usize> {
        self.read_by(Stream::try_read)
    }

    /// The same, and what came a moment ago as well, of which nobody has been told yet.
    pub(crate) fn read_past(&mut self) -> io::Result<usize> {
        self.read_by(Stream::read_bypassing_readiness)
    }

    fn read_by(
        &mut self,
        read: impl Fn(&Stream, &mut [IoSliceMut<'_>]) -> io::Result<usize>,
    ) -> io::Result<usize> {
        if self.input.space() == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.input.reserve(MIN_SIZE);
        let (front, back) = self.input.free();
        let space = front.len() + back.len();
        let read = read(
            &self.stream,
            &mut [IoSliceMut::new(front), IoSliceMut::new(back)],
        );
        if let Some(receive_times) = &mut self.receive_times {
            if let Ok(n) = read {
                receive_times.on_read(n);
            }
            // Less than was asked for is all there was.
            if !matches!(read, Ok(n) if n == space) {
                receive_times.on_drained(now(), Duration::ZERO);
            }
        }
        match read? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => {
                self.input.len += n;
                Ok(n)
            }
        }
    }

    /// Waits until there is something to read.
    async fn readable(&mut self) -> io::Result<()> {
        if self.receive_times.is_none() {
            return self.stream.readable().await;
        }
        let mut readable = pin!(self.stream.readable());
        match poll_once(readable.as_mut()).await {
            Some(readable) => readable,
            None => {
                let _drained = DrainedGuard {
                    receive_times: &mut self.receive_times,
                    since: now(),
                };
                readable.await
            }
        }
    }

    /// Waits for more input; with a full ring only for the connection's end, whatever is still unread of it.
    /// Safe to drop while it waits.
    pub(crate) async fn read(&mut self) -> io::Result<usize> {
        self.turn().await;
        loop {
            if self.input.space() == 0 {
                self.receive_times
                    .iter_mut()
                    .for_each(ReceiveTimes::on_full);
                self.stream.wait_for_peer_close().await;
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.readable().await?;
            match self.read_now() {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Ok(n) => {
                    self.turn += n;
                    return Ok(n);
                }
                failed => return failed,
            }
        }
    }

    /// Lets others go on once this connection has moved a turn's bytes.
    async fn turn(&mut self) {
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            yield_now().await;
        }
    }

    /// Waits until the other side takes more; what a client says meanwhile is read as far as there is room, so that
    /// it is known when it came.
    async fn writable(&mut self) -> io::Result<()> {
        let stream = self.stream.clone();
        let mut writable = pin!(stream.writable());
        while self.receive_times.is_some() && self.input.space() > 0 {
            tokio::select! {
                biased;
                writable = &mut writable => return writable,
                readable = self.readable() => readable?,
            }
            match self.read_now() {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Ok(_) => {}
                // It says nothing more; whether it still takes its answer the writing tells.
                Err(_) => break,
            }
        }
        if self.input.space() == 0 {
            self.receive_times
                .iter_mut()
                .for_each(ReceiveTimes::on_full);
        }
        writable.await
    }

    /// Writes some of the output, as much as the connection takes now.
    async fn write_some(&mut self) -> io::Result<usize> {
        self.turn().await;
        loop {
            self.writable().await?;
            let (front, back) = self.output.parts();
            match self
                .stream
                .try_write(&[IoSlice::new(front), IoSlice::new(back)])
            {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.turn += n;
                    return Ok(self.output.skip(n));
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Writes all of the parts, one after the other; `wrote` counts what the connection has taken.
    pub(crate) async fn write(&mut self, parts: &[&[u8]], wrote: &Cell<usize>) -> io::Result<()> {
        for part in parts {
            let mut part = *part;
            while !part.is_empty() {
                let n = self.output.push(part);
                part = &part[n..];
                if self.output.space() == 0 {
                    let n = self.write_some().await?;
                    wrote.set(wrote.get() + n);
                }
            }
        }
        while !self.output.is_empty() {
            let n = self.write_some().await?;
            wrote.set(wrote.get() + n);
        }
        Ok(())
    }

    /// Tells the other side that nothing more comes, and waits for its end; what it says from here on is left unread,
    /// so that it can tell that nobody has taken it.
    pub(crate) async fn finish_unread(&mut self) -> io::Result<()> {
        self.stream.shutdown_write()?;
        self.stream.wait_for_peer_close().await;
        Ok(())
    }

    /// Tells the other side that nothing more comes, and waits for its end, passing over what it still says,
    /// up to so much.
    pub(crate) async fn finish(&mut self, most: usize) -> io::Result<()> {
        self.stream.shutdown_write()?;
        let mut passed = 0;
        while passed < most {
            passed += self.input.skip(self.input.len());
            self.read().await?;
        }
        Ok(())
    }
}
