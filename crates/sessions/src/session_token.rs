//! Session token that a client may carry: a signed, opaque replication position of fixed length.
//!
//! A token of another session, or signed by an unknown key, counts as no token and is never an error.

use leverpoint_signing::{Keys, text_length};

use crate::Ticks;

/// A session and the position that it must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionToken {
    /// Hash of the session.
    pub session: u64,
    /// Position that the session must see.
    pub position: Ticks,
}

/// Kind byte of the signature.
const TOKEN_KIND: u8 = 1;
/// Bytes of the payload, the position; the session is signed and not transmitted.
const PAYLOAD_LENGTH: usize = 8;
/// Length of a token as text, in bytes.
pub const TOKEN_LENGTH: usize = text_length(PAYLOAD_LENGTH);

impl SessionToken {
    /// Signs the token; `None` where there is no key.
    pub fn sign(&self, keys: &Keys) -> Option<String> {
        keys.sign_text(
            TOKEN_KIND,
            &self.position.to_be_bytes(),
            &self.session.to_be_bytes(),
        )
    }

    /// Position that `text` names for that session; `None` where it is no valid token.
    pub fn verify(keys: &Keys, text: &str, session: u64) -> Option<Ticks> {
        let said = keys
            .verify_text(TOKEN_KIND, text, PAYLOAD_LENGTH, &session.to_be_bytes())
            .ok()?;
        let position = Ticks::from_be_bytes(said.try_into().ok()?);
        (position > 0).then_some(position)
    }
}
