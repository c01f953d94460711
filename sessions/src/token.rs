//! Owns the token that a client may carry for its session: a position, signed, opaque, of one length.
//!
//! It must never take a token for a session it was not made for, or one whose key is not held; such a one is no token,
//! and never an error.

use data_encoding::BASE64URL_NOPAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::Tenths;

/// A key and the number that tokens name it by.
#[derive(Clone)]
pub struct Key {
    pub number: u8,
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "key {}", self.number)
    }
}

/// Keys that tokens are checked with; the first signs.
#[derive(Clone, Debug, Default)]
pub struct Keys(Vec<Key>);

/// What a token says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub session: u64,
    pub position: Tenths,
}

const VERSION: u8 = 1;
/// Version, key, position; then the part of the code that is kept. The session is signed and not said.
const SAID: usize = 10;
/// Half of a SHA-256 code: nobody tries 2^64 tokens at a gateway.
const CODE: usize = 16;
/// As text.
pub const LENGTH: usize = (SAID + CODE) * 4 / 3 + 1;

impl Keys {
    /// At most sixteen, each number once.
    pub fn new(mut keys: Vec<Key>) -> Keys {
        keys.truncate(16);
        Keys(keys)
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn code(key: &Key, said: &[u8], session: u64) -> Option<Hmac<Sha256>> {
        let mut code = Hmac::<Sha256>::new_from_slice(&key.secret).ok()?;
        code.update(said);
        code.update(&session.to_be_bytes());
        Some(code)
    }

    /// The text of a token; none where there is no key.
    pub fn sign(&self, token: &Token) -> Option<String> {
        let key = self.0.first()?;
        let mut said = vec![VERSION, key.number];
        said.extend(token.position.to_be_bytes());
        let code = Self::code(key, &said, token.session)?.finalize().into_bytes();
        said.extend(&code[..CODE]);
        Some(BASE64URL_NOPAD.encode(&said))
    }

    /// What a token names for that session; none where it is none.
    pub fn read(&self, text: &str, session: u64) -> Option<Tenths> {
        if text.len() != LENGTH {
            return None;
        }
        let bytes = BASE64URL_NOPAD.decode(text.as_bytes()).ok()?;
        let (said, code) = bytes.split_at_checked(SAID)?;
        let key = self.0.iter().find(|key| said[0] == VERSION && key.number == said[1])?;
        Self::code(key, said, session)?.verify_truncated_left(code).ok()?;
        if code.len() != CODE {
            return None;
        }
        let position = Tenths::from_be_bytes(said[2..].try_into().ok()?);
        (position > 0).then_some(position)
    }
}
