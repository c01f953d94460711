//! Signatures for session tokens, pagination cursors and frames.
//!
//! A signed payload consists of a kind byte, the key's number in one byte, the payload, and the first half of an
//! HMAC-SHA-256. The HMAC covers the bytes before it and a bearer, which is the identity that the payload is issued for
//! and is not transmitted.
//!
//! The crate does no I/O and reads no clock: whoever reads a payload decides how long it is valid.
//!
//! # Invariants
//!
//! Bytes verify only if a configured key has signed them for the same kind and bearer.

#![warn(missing_docs)]

use data_encoding::BASE64URL_NOPAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A signing key and the number that identifies it in signatures.
#[derive(Clone)]
pub struct Key {
    /// Number of the key, unique among the configured keys.
    pub number: u8,
    /// Secret of the HMAC; never printed by `Debug`.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "key {}", self.number)
    }
}

/// Keys that verify signatures; the first one signs.
#[derive(Clone, Debug, Default)]
pub struct Keys(Vec<Key>);

/// The reason for which signed bytes do not verify.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignatureError {
    /// The bytes are too short, the text is too long or not base64, or the kind is another one.
    Malformed,
    /// The key is not configured: it has been removed, or not been added yet.
    UnknownKey,
    /// The HMAC does not match: the bytes were changed, or were signed for another bearer.
    Forged,
}

/// Length of the truncated HMAC in bytes: half of SHA-256.
const MAC_LENGTH: usize = 16;
/// Length of the kind and the key's number in bytes.
const HEADER_LENGTH: usize = 2;
/// Number of bytes that a signature adds to its payload.
pub const SIGNATURE_OVERHEAD: usize = HEADER_LENGTH + MAC_LENGTH;

/// Returns the length in characters of the signed text for a payload of `payload` bytes.
pub const fn text_length(payload: usize) -> usize {
    ((payload + SIGNATURE_OVERHEAD) * 4).div_ceil(3)
}

impl Keys {
    /// Creates the key set; the first key signs. Only the first sixteen keys are kept.
    ///
    /// If two keys have the same number, the latter never verifies.
    pub fn new(mut keys: Vec<Key>) -> Keys {
        keys.truncate(16);
        Keys(keys)
    }

    /// Returns whether there is no key, so that nothing can be signed or verified.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the HMAC, not finalized, of the signed bytes and the bearer, or `None` if the secret is not usable.
    fn mac(key: &Key, signed: &[u8], bearer: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).ok()?;
        mac.update(signed);
        mac.update(bearer);
        Some(mac)
    }

    /// Signs `payload` for a bearer that is not transmitted. Returns `None` if there is no key.
    ///
    /// The bearer follows the payload in the HMAC without a separator. So that no part of a bearer can be taken for
    /// payload, all payloads of one kind must have the same length, or the length must be signed with them.
    pub fn sign(&self, kind: u8, payload: &[u8], bearer: &[u8]) -> Option<Vec<u8>> {
        let key = self.0.first()?;
        let mut signed = Vec::with_capacity(payload.len() + SIGNATURE_OVERHEAD);
        signed.extend([kind, key.number]);
        signed.extend(payload);
        let mac = Self::mac(key, &signed, bearer)?.finalize().into_bytes();
        signed.extend(&mac[..MAC_LENGTH]);
        Some(signed)
    }

    /// Verifies signed bytes for a bearer, and returns the payload.
    ///
    /// # Errors
    ///
    /// See [`SignatureError`].
    pub fn verify(&self, kind: u8, bytes: &[u8], bearer: &[u8]) -> Result<Vec<u8>, SignatureError> {
        let mac_start = bytes
            .len()
            .checked_sub(MAC_LENGTH)
            .filter(|mac_start| *mac_start >= HEADER_LENGTH)
            .ok_or(SignatureError::Malformed)?;
        let (signed, mac) = bytes.split_at(mac_start);
        if signed[0] != kind {
            return Err(SignatureError::Malformed);
        }
        let key = self
            .0
            .iter()
            .find(|key| key.number == signed[1])
            .ok_or(SignatureError::UnknownKey)?;
        let expected = Self::mac(key, signed, bearer).ok_or(SignatureError::UnknownKey)?;
        expected
            .verify_truncated_left(mac)
            .map_err(|_| SignatureError::Forged)?;
        Ok(signed[HEADER_LENGTH..].to_vec())
    }

    /// Signs like [`Keys::sign`], and returns text in URL-safe base64 without padding.
    pub fn sign_text(&self, kind: u8, payload: &[u8], bearer: &[u8]) -> Option<String> {
        self.sign(kind, payload, bearer)
            .map(|signed| BASE64URL_NOPAD.encode(&signed))
    }

    /// Verifies signed text whose payload has at most `max_payload` bytes, and returns the payload.
    ///
    /// # Errors
    ///
    /// See [`SignatureError`]; a longer text is [`SignatureError::Malformed`].
    pub fn verify_text(
        &self,
        kind: u8,
        text: &str,
        max_payload: usize,
        bearer: &[u8],
    ) -> Result<Vec<u8>, SignatureError> {
        if text.len() > text_length(max_payload) {
            return Err(SignatureError::Malformed);
        }
        let bytes = BASE64URL_NOPAD
            .decode(text.as_bytes())
            .map_err(|_| SignatureError::Malformed)?;
        self.verify(kind, &bytes, bearer)
    }
}
