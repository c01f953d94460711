//! The cursor that a client presents to get the next page of a listing: opaque, signed and of bounded length.
//!
//! # Invariants
//!
//! A cursor verifies only for the tenant, the replica set and the query that it was issued for, and only until it
//! expires.

use leverpoint_signing::{Keys, SIGNATURE_OVERHEAD, SignatureError, text_length};

use crate::Ticks;

/// The contents of a cursor. Tenant, replica set and query are not part of it but covered by its signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// Id of the listing, drawn at its first page.
    pub listing: u64,
    /// The latest replication position that a page of the listing has been read at.
    pub latest_position: Ticks,
    /// The timeline of the replica set that the latest page was read on.
    pub timeline: u64,
    /// How many pages have been delivered.
    pub pages_delivered: u32,
    /// Time from which the cursor is no longer accepted.
    pub expires_at: Ticks,
    /// Where the next page begins in the sort order, in the server's encoding; at most [`MAX_RESUME_KEY_LENGTH`]
    /// bytes.
    pub resume_key: Vec<u8>,
}

/// The reason for which a cursor is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CursorError {
    /// It was not issued by a gateway, was changed, or was issued for another tenant, replica set or query.
    Invalid,
    /// It has expired, or the key that signed it is no longer configured.
    Expired,
}

/// Kind byte of a cursor's signature.
const SIGNATURE_KIND: u8 = 2;
/// Length in bytes of all fields but the resume key.
const FIXED_LENGTH: usize = 8 + 8 + 8 + 4 + 8;
/// Maximum length of the resume key in bytes; it holds one or two sort keys, not a page.
pub const MAX_RESUME_KEY_LENGTH: usize = 512;
/// Maximum length of a cursor's text in characters.
pub const MAX_CURSOR_LENGTH: usize = text_length(FIXED_LENGTH + MAX_RESUME_KEY_LENGTH);
/// How far a position may be ahead of the local clock: a minute, more than the clocks of any two hosts differ. A
/// position further ahead cannot come from a server of this cluster.
const MAX_CLOCK_SKEW: Ticks = 600_000;

/// Encodes the tenant, the replica set and the query as the bearer of a cursor's signature.
///
/// The tenant's length is included, so that different triples never have the same encoding.
pub fn bearer(tenant: &str, replica_set: u16, query: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(6 + tenant.len() + query.len());
    bytes.extend(replica_set.to_be_bytes());
    bytes.extend((tenant.len() as u32).to_be_bytes());
    bytes.extend(tenant.as_bytes());
    bytes.extend(query.as_bytes());
    bytes
}

impl Cursor {
    /// Signs the cursor and returns its text. Returns `None` if there is no key or the resume key is too long.
    pub fn sign(&self, keys: &Keys, bearer: &[u8]) -> Option<String> {
        if self.resume_key.len() > MAX_RESUME_KEY_LENGTH {
            return None;
        }
        // The resume key, the only field of variable length, is directly followed by the bearer in the signed bytes.
        // Its length is signed ahead of the bearer, so that neither can be taken for a part of the other.
        let mut payload = Vec::with_capacity(FIXED_LENGTH + self.resume_key.len());
        payload.extend(self.listing.to_be_bytes());
        payload.extend(self.latest_position.to_be_bytes());
        payload.extend(self.timeline.to_be_bytes());
        payload.extend(self.pages_delivered.to_be_bytes());
        payload.extend(self.expires_at.to_be_bytes());
        payload.extend(&self.resume_key);
        keys.sign_text(
            SIGNATURE_KIND,
            &payload,
            &[&(self.resume_key.len() as u32).to_be_bytes(), bearer].concat(),
        )
    }

    /// Verifies the text of a cursor at time `now`, and returns its contents.
    ///
    /// # Errors
    ///
    /// See [`CursorError`].
    pub fn verify(
        keys: &Keys,
        text: &str,
        bearer: &[u8],
        now: Ticks,
    ) -> Result<Cursor, CursorError> {
        if text.len() > MAX_CURSOR_LENGTH {
            return Err(CursorError::Invalid);
        }
        // The length of the text determines that of the resume key; with another length the signature doesn't match.
        let resume_key_length = (text.len() * 3 / 4)
            .checked_sub(SIGNATURE_OVERHEAD + FIXED_LENGTH)
            .ok_or(CursorError::Invalid)?;
        let bearer = [&(resume_key_length as u32).to_be_bytes(), bearer].concat();
        let payload = keys
            .verify_text(
                SIGNATURE_KIND,
                text,
                FIXED_LENGTH + MAX_RESUME_KEY_LENGTH,
                &bearer,
            )
            .map_err(|error| match error {
                SignatureError::UnknownKey => CursorError::Expired,
                SignatureError::Malformed | SignatureError::Forged => CursorError::Invalid,
            })?;
        let cursor = Self::decode(&payload).ok_or(CursorError::Invalid)?;
        if cursor.latest_position > now + MAX_CLOCK_SKEW {
            return Err(CursorError::Invalid);
        }
        if now >= cursor.expires_at {
            return Err(CursorError::Expired);
        }
        Ok(cursor)
    }

    /// Decodes a verified payload; `None` if it is too short.
    fn decode(payload: &[u8]) -> Option<Cursor> {
        let (listing, rest) = payload.split_first_chunk()?;
        let (latest_position, rest) = rest.split_first_chunk()?;
        let (timeline, rest) = rest.split_first_chunk()?;
        let (pages_delivered, rest) = rest.split_first_chunk()?;
        let (expires_at, resume_key) = rest.split_first_chunk()?;
        Some(Cursor {
            listing: u64::from_be_bytes(*listing),
            latest_position: Ticks::from_be_bytes(*latest_position),
            timeline: u64::from_be_bytes(*timeline),
            pages_delivered: u32::from_be_bytes(*pages_delivered),
            expires_at: Ticks::from_be_bytes(*expires_at),
            resume_key: resume_key.to_vec(),
        })
    }
}
