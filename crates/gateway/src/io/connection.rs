//! A stream of the runtime with a buffer for each direction.

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

/// Work of a connection, in bytes read or written, after which it yields to other tasks.
const YIELD_THRESHOLD: usize = 64 << 10;
/// Bytes that count for each message of a server, however short it is: parsing it takes as long as copying so many.
const MESSAGE_WORK: usize = 1 << 10;

/// A connection with a ring buffer for each direction.
pub(crate) struct BufferedConnection {
    stream: Stream,
    /// Bytes read and not yet consumed.
    pub input: RingBuffer,
    output: RingBuffer,
    /// Bytes read or written since the task last yielded, and what counts for messages.
    work_since_yield: usize,
    /// Receive times of a client's bytes; none for other connections.
    receive_times: Option<ReceiveTimes>,
    /// Whether the last read has taken all that there was.
    has_read_all: bool,
}

/// Guard of a wait for input: while it is held, the connection has no unread bytes.
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
    /// Creates a connection whose receive times are not recorded.
    pub(crate) fn new(stream: Stream) -> Self {
        BufferedConnection {
            stream,
            input: RingBuffer::default(),
            output: RingBuffer::default(),
            work_since_yield: 0,
            receive_times: None,
            has_read_all: false,
        }
    }

    /// Creates the connection of a client, accepted after `accepted_after`; its receive times are recorded.
    pub(crate) fn for_client(stream: Stream, accepted_after: Instant) -> Self {
        BufferedConnection {
            receive_times: Some(ReceiveTimes::new(accepted_after)),
            ..BufferedConnection::new(stream)
        }
    }

    /// Returns the earliest time at which the last byte consumed from the input may have been received.
    pub(crate) fn received_at(&mut self) -> Instant {
        let remaining = self.input.len();
        self.receive_times
            .as_mut()
            .map_or_else(now, |receive_times| receive_times.on_taken(remaining))
    }

    /// Connects to `address`; `kernel_buffer` bounds the kernel's buffer of each direction, in bytes.
    pub(crate) async fn connect(
        address: SocketAddr,
        kernel_buffer: Option<usize>,
    ) -> io::Result<Self> {
        Ok(BufferedConnection::new(
            Stream::connect(address, kernel_buffer).await?,
        ))
    }

    /// Returns a weak reference to the stream, through which its unacknowledged bytes can be read.
    pub(crate) fn stream(&self) -> WeakStream {
        self.stream.downgrade()
    }

    /// Returns how many of the bytes written the peer has not acknowledged; 0 if that is unknown.
    pub(crate) fn unacknowledged_bytes(&self) -> usize {
        self.stream.unacknowledged_bytes()
    }

    /// Sets whether the connection ends with a reset, which discards unsent bytes, when it is dropped or the process ends.
    pub(crate) fn set_reset_on_drop(&self, reset: bool) {
        self.stream.set_reset_on_drop(reset);
    }

    /// Raises the input's bound for a message of `length` bytes; returns how long the reservation was waited for.
    ///
    /// A long message's buffer is reserved in steps that at most double it as bytes are received: a peer that announces
    /// a long message and sends nothing takes no memory from others.
    pub(crate) async fn reserve_input(
        &mut self,
        length: usize,
        client: &Rc<ClientConnection>,
        kind: BufferKind,
        reservation: &mut Option<BufferReservation>,
    ) -> Duration {
        if self.input.space() > 0 || length <= self.input.bound {
            return Duration::ZERO;
        }
        // The input may be above its bound after it was extended for reading ahead.
        let reserved = self.input.bound.max(self.input.len);
        let bound = (2 * reserved).min(length);
        let started = now();
        let added = client.reserve(kind, bound - reserved).await;
        match reservation {
            Some(reservation) => reservation.merge(added),
            None => *reservation = Some(added),
        }
        self.input.bound = bound;
        let waited = since(started);
        if !waited.is_zero() {
            // Nothing was read while the reservation was waited for.
            self.receive_times
                .iter_mut()
                .for_each(ReceiveTimes::on_full);
        }
        waited
    }

    /// Lets the input hold `read_ahead` bytes beside what needs no reservation.
    pub(crate) fn raise_input_bound(&mut self, read_ahead: usize) {
        self.input.bound = self.input.bound.max(UNRESERVED_BYTES + read_ahead);
    }

    /// Resets the input's bound to what needs no reservation, after a message was consumed.
    pub(crate) fn reset_input_bound(&mut self) {
        self.input.bound = UNRESERVED_BYTES;
    }

    /// Reads without waiting what the runtime has reported as readable.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if there is nothing to read or no space, `UnexpectedEof` if the other side has closed.
    pub(crate) fn try_read(&mut self) -> io::Result<usize> {
        self.try_read_with(Stream::try_read)
    }

    /// Like [`Self::try_read`], but also reads bytes for which the runtime has not reported readiness yet.
    pub(crate) fn try_read_direct(&mut self) -> io::Result<usize> {
        self.try_read_with(Stream::read_bypassing_readiness)
    }

    fn try_read_with(
        &mut self,
        read: impl Fn(&Stream, &mut [IoSliceMut<'_>]) -> io::Result<usize>,
    ) -> io::Result<usize> {
        if self.input.space() == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        self.input.reserve(MIN_SIZE);
        let (front, back) = self.input.free_slices();
        let space = front.len() + back.len();
        let read = read(
            &self.stream,
            &mut [IoSliceMut::new(front), IoSliceMut::new(back)],
        );
        // A read shorter than the space has taken all there was.
        self.has_read_all = !matches!(read, Ok(n) if n == space);
        if let Some(receive_times) = &mut self.receive_times {
            if let Ok(n) = read {
                receive_times.on_read(n);
            }
            if self.has_read_all {
                receive_times.on_drained(now(), Duration::ZERO);
            }
        }
        match read? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            n => {
                self.input.len += n;
                self.work_since_yield += n;
                Ok(n)
            }
        }
    }

    /// Records that the connection was not read for a while, so that the other side may hold bytes back.
    pub(crate) fn on_reading_paused(&mut self) {
        self.receive_times
            .iter_mut()
            .for_each(ReceiveTimes::on_full);
    }

    /// Since when bytes that were sent may be on the other side, held back while the buffers here were full; none if none
    /// are.
    pub(crate) fn held_back_since(&self) -> Option<Instant> {
        self.receive_times
            .as_ref()
            .and_then(ReceiveTimes::held_back_since)
    }

    /// Whether more may have been received than was read so far.
    pub(crate) fn may_have_unread_input(&self) -> bool {
        !self.input.is_empty() || !self.has_read_all || self.held_back_since().is_some()
    }

    /// Waits until the connection is readable, and records for a client how long it had nothing to read.
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

    /// Waits for more input; with a full buffer, only for the end of the connection, whatever is still unread.
    ///
    /// Cancel safe: dropping the future loses no bytes.
    pub(crate) async fn read(&mut self) -> io::Result<usize> {
        self.yield_if_due().await;
        loop {
            if self.input.space() == 0 {
                self.receive_times
                    .iter_mut()
                    .for_each(ReceiveTimes::on_full);
                self.stream.wait_for_peer_close().await;
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.readable().await?;
            match self.try_read() {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                read => return read,
            }
        }
    }

    /// Like [`Self::try_read`], but yields to other tasks first if the connection has transferred much since it last did.
    ///
    /// A loop that reads what has been received goes on for as long as the other side sends faster than the gateway
    /// processes: without yielding it would hold up every timer and connection.
    pub(crate) async fn read_received(&mut self) -> io::Result<usize> {
        self.yield_if_due().await;
        self.try_read()
    }

    /// Yields to other tasks if it is due, and counts one more message that is taken out of the input.
    ///
    /// The number of messages bounds a turn as well as their bytes: 64 KiB hold thousands of the shortest ones.
    pub(crate) async fn yield_for_message(&mut self) {
        self.yield_if_due().await;
        self.work_since_yield += MESSAGE_WORK;
    }

    /// Yields to other tasks once [`YIELD_THRESHOLD`] bytes have been read or written.
    pub(crate) async fn yield_if_due(&mut self) {
        if self.work_since_yield >= YIELD_THRESHOLD {
            self.work_since_yield = 0;
            yield_now().await;
        }
    }

    /// Waits until the connection is writable.
    ///
    /// Meanwhile a client's input is read as far as there is space, so that its receive times are recorded.
    async fn writable(&mut self) -> io::Result<()> {
        let stream = self.stream.clone();
        let mut writable = pin!(stream.writable());
        while self.receive_times.is_some() && self.input.space() > 0 {
            tokio::select! {
                biased;
                writable = &mut writable => return writable,
                readable = self.readable() => readable?,
            }
            match self.try_read() {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Ok(_) => {}
                // The client sends nothing more; whether it still reads its answer shows when writing.
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

    /// Writes as much of the output as the kernel accepts at once; returns the number of bytes.
    async fn write_some(&mut self) -> io::Result<usize> {
        self.yield_if_due().await;
        loop {
            self.writable().await?;
            let (front, back) = self.output.as_slices();
            match self
                .stream
                .try_write(&[IoSlice::new(front), IoSlice::new(back)])
            {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.work_since_yield += n;
                    return Ok(self.output.skip(n));
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Writes all parts in order; adds to `written` the bytes that the kernel has accepted.
    pub(crate) async fn write(&mut self, parts: &[&[u8]], written: &Cell<usize>) -> io::Result<()> {
        for part in parts {
            let mut part = *part;
            while !part.is_empty() {
                let n = self.output.push(part);
                part = &part[n..];
                if self.output.space() == 0 {
                    let n = self.write_some().await?;
                    written.set(written.get() + n);
                }
            }
        }
        while !self.output.is_empty() {
            let n = self.write_some().await?;
            written.set(written.get() + n);
        }
        Ok(())
    }

    /// Shuts down the write side and waits until the other side closes.
    ///
    /// What it still sends is left unread, so that the close resets the connection and the other side learns that the
    /// bytes were not processed.
    pub(crate) async fn shutdown_without_reading(&mut self) -> io::Result<()> {
        self.stream.shutdown_write()?;
        self.stream.wait_for_peer_close().await;
        Ok(())
    }

    /// Shuts down the write side, then reads and discards up to `max_bytes` until the other side closes.
    pub(crate) async fn shutdown_and_drain(&mut self, max_bytes: usize) -> io::Result<()> {
        self.stream.shutdown_write()?;
        let mut discarded = 0;
        while discarded < max_bytes {
            discarded += self.input.skip(self.input.len());
            self.read().await?;
        }
        Ok(())
    }
}
