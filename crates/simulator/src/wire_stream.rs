//! Buffered reading and writing of a simulated connection, for the simulated clients, servers and agents.
//!
//! # Invariants
//!
//! One read takes at most as many bytes from the connection as its caller allows, so that a slow client leaves the rest
//! unread.

use std::io::{self, ErrorKind, IoSlice, IoSliceMut};

use leverpoint_runtime::Stream;

/// A connection with the bytes that were read from it and not used yet.
pub(crate) struct WireStream {
    pub stream: Stream,
    buffer: Vec<u8>,
}

impl WireStream {
    pub(crate) fn new(stream: Stream) -> WireStream {
        WireStream {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Waits for bytes, reads at most `max_bytes` of them, 4 KiB at a time, and returns how many are buffered.
    ///
    /// Fails with `UnexpectedEof` at the end of the stream.
    pub(crate) async fn read_some(&mut self, max_bytes: usize) -> io::Result<usize> {
        let mut bytes = [0; 4 << 10];
        let max_bytes = max_bytes.min(bytes.len());
        loop {
            self.stream.readable().await?;
            match self
                .stream
                .try_read(&mut [IoSliceMut::new(&mut bytes[..max_bytes])])
            {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.buffer.extend_from_slice(&bytes[..n]);
                    return Ok(self.buffer.len());
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether bytes were read from the connection that no message has used.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether bytes have arrived that no message has used, those not read yet included.
    ///
    /// Fails with the error of the connection, or with `UnexpectedEof` at the end of the stream.
    pub(crate) fn has_input(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 4 << 10];
        match self.stream.try_read(&mut [IoSliceMut::new(&mut bytes)]) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Ok(self.has_unread_bytes())
    }

    fn take_bytes(&mut self, n: usize) -> Vec<u8> {
        self.buffer.drain(..n).collect()
    }

    pub(crate) async fn read_exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            self.read_some(usize::MAX).await?;
        }
        Ok(self.take_bytes(n))
    }

    /// Tag and body of the next PostgreSQL message, read at most `max_read` bytes at a time.
    pub(crate) async fn read_message(&mut self, max_read: usize) -> io::Result<(u8, Vec<u8>)> {
        loop {
            if let Some(head) = self.buffer.first_chunk::<5>() {
                let length = 1 + u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
                if self.buffer.len() >= length {
                    let mut message = self.take_bytes(length);
                    return Ok((message[0], message.split_off(5)));
                }
            }
            self.read_some(max_read).await?;
        }
    }

    /// Text up to and including `end`.
    pub(crate) async fn read_until(&mut self, end: &str) -> io::Result<String> {
        loop {
            if let Some(position) = self
                .buffer
                .windows(end.len())
                .position(|w| w == end.as_bytes())
            {
                return Ok(
                    String::from_utf8_lossy(&self.take_bytes(position + end.len())).into_owned(),
                );
            }
            self.read_some(usize::MAX).await?;
        }
    }

    pub(crate) async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_write(&[IoSlice::new(bytes)]) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
