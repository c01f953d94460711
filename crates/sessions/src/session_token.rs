//! Session token that a client may pass from one request to the next: a signed, opaque replication position of fixed
//! length.
//!
//! A token of another session, or signed by an unknown key, is ignored and never causes an error.

use leverpoint_signing::{Keys, text_length};

use crate::Ticks;

/// A session and the position that its reads must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionToken {
    /// Hash of the session.
    pub session: u64,
    /// Position that the session's reads must see.
    pub position: Ticks,
}

/// Kind byte in the signed text, which distinguishes tokens from other signed texts.
const TOKEN_KIND: u8 = 1;
/// Length of the payload, the position, in bytes; the session is covered by the signature but not part of the token.
const PAYLOAD_LENGTH: usize = 8;
/// Length of a token in its text form, in bytes.
pub const TOKEN_LENGTH: usize = text_length(PAYLOAD_LENGTH);

impl SessionToken {
    /// Signs the token and returns its text form; `None` if there is no key.
    pub fn sign(&self, keys: &Keys) -> Option<String> {
        keys.sign_text(
            TOKEN_KIND,
            &self.position.to_be_bytes(),
            &self.session.to_be_bytes(),
        )
    }

    /// Returns the position in the token `text`; `None` if it is not a valid token of this session.
    pub fn verify(keys: &Keys, text: &str, session: u64) -> Option<Ticks> {
        let payload = keys
            .verify_text(TOKEN_KIND, text, PAYLOAD_LENGTH, &session.to_be_bytes())
            .ok()?;
        let position = Ticks::from_be_bytes(payload.try_into().ok()?);
        (position > 0).then_some(position)
    }
}
