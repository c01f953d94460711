//! A ring buffer of bytes.
//!
//! It grows with its content up to a bound and frees memory above its initial size once it is empty.

use leverpoint_engine::UNRESERVED_BYTES;

/// Initial size in bytes, enough for a few requests or answers of the usual length.
pub(super) const MIN_SIZE: usize = 2 << 10;

/// A first-in, first-out buffer of bytes.
pub struct RingBuffer {
    bytes: Vec<u8>,
    head: usize,
    pub(super) len: usize,
    /// Most bytes that it may hold; raised for a message of known length.
    pub(super) bound: usize,
}

impl Default for RingBuffer {
    fn default() -> Self {
        RingBuffer {
            bytes: Vec::new(),
            head: 0,
            len: 0,
            bound: UNRESERVED_BYTES,
        }
    }
}

impl RingBuffer {
    /// Returns the number of bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no bytes are held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many more bytes the bound allows.
    pub fn space(&self) -> usize {
        self.bound.saturating_sub(self.len)
    }

    /// Allocates for `more` further bytes, as far as the bound allows.
    pub(super) fn reserve(&mut self, more: usize) {
        let needed = (self.len + more).min(self.bound);
        if needed > self.bytes.len() {
            let mut bytes = vec![
                0;
                needed
                    .next_power_of_two()
                    .clamp(MIN_SIZE.min(self.bound), self.bound)
            ];
            self.copy(0, &mut bytes[..self.len]);
            (self.bytes, self.head) = (bytes, 0);
        }
    }

    /// Returns the free space as two slices, in order.
    pub(super) fn free_slices(&mut self) -> (&mut [u8], &mut [u8]) {
        let size = self.bytes.len();
        let end = self.head + self.len;
        if end >= size {
            let start = end - size;
            (&mut self.bytes[start..self.head], &mut [])
        } else {
            let (front, back) = self.bytes.split_at_mut(end);
            (back, &mut front[..self.head])
        }
    }

    /// Returns the content as two slices, in order.
    pub(super) fn as_slices(&self) -> (&[u8], &[u8]) {
        let end = self.head + self.len;
        if end <= self.bytes.len() {
            (&self.bytes[self.head..end], &[])
        } else {
            (
                &self.bytes[self.head..],
                &self.bytes[..end - self.bytes.len()],
            )
        }
    }

    /// Fills `to` with the content from `offset` on.
    ///
    /// # Panics
    ///
    /// If the content ends before `to` is full.
    fn copy(&self, offset: usize, to: &mut [u8]) {
        let (front, back) = self.as_slices();
        let from_front = front.len().saturating_sub(offset).min(to.len());
        to[..from_front].copy_from_slice(&front[offset.min(front.len())..][..from_front]);
        let rest = to.len() - from_front;
        let skipped = offset.saturating_sub(front.len());
        to[from_front..].copy_from_slice(&back[skipped..skipped + rest]);
    }

    /// Copies `N` bytes from `offset` on without consuming them; none if fewer are held.
    pub fn peek<const N: usize>(&self, offset: usize) -> Option<[u8; N]> {
        let mut out = [0; N];
        (self.len >= offset + N).then(|| self.copy(offset, &mut out))?;
        Some(out)
    }

    /// Consumes the next `n` bytes.
    ///
    /// # Panics
    ///
    /// If fewer are held.
    pub fn take(&mut self, n: usize) -> Vec<u8> {
        let mut out = vec![0; n];
        self.copy(0, &mut out);
        self.skip(n);
        out
    }

    /// Consumes up to `n` bytes without returning them; returns how many.
    pub fn skip(&mut self, n: usize) -> usize {
        let n = n.min(self.len);
        self.head = (self.head + n) % self.bytes.len().max(1);
        self.len -= n;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > MIN_SIZE {
                self.bytes = Vec::new();
            }
        }
        n
    }

    /// Appends as many of the bytes as the bound allows; returns how many.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let n = bytes.len().min(self.space());
        if n == 0 {
            return 0;
        }
        self.reserve(n);
        let (front, back) = self.free_slices();
        let in_front = n.min(front.len());
        front[..in_front].copy_from_slice(&bytes[..in_front]);
        back[..n - in_front].copy_from_slice(&bytes[in_front..n]);
        self.len += n;
        n
    }
}
