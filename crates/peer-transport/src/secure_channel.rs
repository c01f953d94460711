//! One direction of a connection: frames that are signed for it and numbered.

use bytes::Bytes;
use leverpoint_signing::Keys;

use crate::frame::{FrameError, HELLO_SIGNATURE_KIND, Message, decode_message, delimit};

/// Kind of the signatures of messages, in the numbering of `leverpoint-signing`.
const MESSAGE_SIGNATURE_KIND: u8 = 0x11;

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that opened the connection.
    FromOpener,
    /// From the side that accepted the connection.
    FromAcceptor,
}

impl Direction {
    /// The opposite direction.
    pub(crate) fn reversed(self) -> Direction {
        match self {
            Direction::FromOpener => Direction::FromAcceptor,
            Direction::FromAcceptor => Direction::FromOpener,
        }
    }
}

/// Signs and numbers the frames of one direction of one connection, or verifies them.
///
/// The signature covers the nonces of both sides and the direction, so that a frame is valid on its own connection
/// alone. Numbers only rise, so that a duplicated, late or replayed frame is rejected.
#[derive(Clone, Debug)]
pub struct SecureChannel {
    associated_data: [u8; 17],
    last_number: u64,
}

impl SecureChannel {
    /// Creates one direction of the connection with these nonces.
    pub fn new(opener_nonce: u64, acceptor_nonce: u64, direction: Direction) -> SecureChannel {
        let mut associated_data = [u8::from(direction == Direction::FromOpener); 17];
        associated_data[..8].copy_from_slice(&opener_nonce.to_le_bytes());
        associated_data[8..16].copy_from_slice(&acceptor_nonce.to_le_bytes());
        SecureChannel {
            associated_data,
            last_number: 0,
        }
    }

    /// Encodes an encoded message as the next frame; `None` without a key to sign with.
    pub fn encode(&mut self, keys: &Keys, message: &[u8]) -> Option<Bytes> {
        self.last_number += 1;
        let mut numbered = self.last_number.to_le_bytes().to_vec();
        numbered.extend(message);
        delimit(keys.sign(MESSAGE_SIGNATURE_KIND, &numbered, &self.associated_data)?)
    }

    /// Verifies and decodes a received frame.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the frame is not a new message on this connection.
    pub fn decode(&mut self, keys: &Keys, frame: &[u8]) -> Result<Message, FrameError> {
        let is_hello = frame.first() == Some(&HELLO_SIGNATURE_KIND)
            && keys.verify(HELLO_SIGNATURE_KIND, frame, b"").is_ok();
        if is_hello {
            return Err(FrameError::Replayed);
        }
        let numbered = keys
            .verify(MESSAGE_SIGNATURE_KIND, frame, &self.associated_data)
            .map_err(FrameError::Signature)?;
        let (number, message) = numbered
            .split_first_chunk::<8>()
            .ok_or(FrameError::Malformed)?;
        let number = u64::from_le_bytes(*number);
        if number <= self.last_number {
            return Err(FrameError::Replayed);
        }
        self.last_number = number;
        decode_message(message)
    }
}
