//! The format of frames: their length, the greeting, and the kinds of messages.
//!
//! Bodies are encoded with postcard, so the order of fields and variants is part of the wire format.

use std::fmt;

use bytes::{Bytes, BytesMut};
use leverpoint_membership::member_info::MAX_TEXT_BYTES;
use leverpoint_membership::{Envelope, MemberSummary, MembershipStatus, Ticks, message};
use leverpoint_replication::ReplicationStatus;
use leverpoint_signing::{Keys, SIGNATURE_OVERHEAD, SignatureError};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The lowest and the highest version of the protocol that this program speaks.
///
/// Within a version a newer program may add kinds of messages, which an older one counts and ignores, and fields at the
/// end of a message, which an older one does not read.
pub const PROTOCOL_VERSIONS: (u8, u8) = (1, 1);

/// The longest frame in bytes.
pub const MAX_FRAME_BYTES: usize = message::MAX_ENVELOPE_BYTES + 64 + SIGNATURE_OVERHEAD;

/// Kind of the signatures of greetings, in the numbering of `leverpoint-signing`.
pub(crate) const HELLO_SIGNATURE_KIND: u8 = 0x10;

/// Bytes of a frame's number, ahead of the message.
const FRAME_NUMBER_BYTES: usize = 8;

/// The greeting: the first frame in each direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Lowest protocol version spoken.
    pub min_version: u8,
    /// Highest protocol version spoken.
    pub max_version: u8,
    /// Name of the fleet.
    pub fleet: String,
    /// The sender's advertised address; empty for an admin client.
    pub address: String,
    /// Drawn at random for each connection, so that frames of one are not valid on another.
    pub nonce: u64,
}

/// A request of an operator's command to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminRequest {
    /// The members that it knows.
    Members,
    /// Removal of a holder that will not return, from the layout.
    Remove {
        /// The holder's name.
        name: String,
    },
    /// The state of replication.
    Replication,
    /// The progress of anti-entropy repair.
    AntiEntropy {
        /// Whether to start over.
        restart: bool,
    },
    /// The first layout of a new fleet.
    Bootstrap,
}

/// A member's response to an [`AdminRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminResponse {
    /// The members known.
    Members {
        /// The member's own status, as [`status_name`] spells it.
        status: String,
        /// Version of its layout.
        layout_version: u64,
        /// Number of holders of the layout.
        holders: u32,
        /// All members by name.
        members: Vec<MemberSummary>,
    },
    /// The request is carried out.
    Done,
    /// The request is refused.
    Refused {
        /// Why, as shown to the operator.
        reason: String,
    },
    /// The state of replication.
    Replication(Box<ReplicationStatus>),
    /// The progress of anti-entropy repair.
    AntiEntropy {
        /// Each peer compared: its name, the age of the comparison, buckets that differed, records received.
        peers: Vec<(String, Ticks, u64, u64)>,
        /// Peers not compared yet.
        remaining: u64,
    },
}

/// A message of any protocol that shares the connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A message of the membership protocol.
    Membership(Box<Envelope>),
    /// An operator's request.
    AdminRequest(AdminRequest),
    /// The response to an operator's request.
    AdminResponse(AdminResponse),
    /// A message of the replication protocol.
    Replication(Box<leverpoint_replication::Envelope>),
}

/// Why a received frame is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It is too long or cannot be decoded.
    Malformed,
    /// It is not signed for this connection with a known key.
    Signature(SignatureError),
    /// Its number is not above the last one: it is duplicated, late or replayed.
    Replayed,
    /// The kind of its message is not known.
    UnknownKind,
    /// The peer belongs to another fleet, or speaks no common protocol version.
    Incompatible,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FrameError::Malformed => "frame is too long or cannot be decoded",
            FrameError::Signature(_) => "frame is not signed for this connection with a known key",
            FrameError::Replayed => "frame is duplicated, late or replayed",
            FrameError::UnknownKind => "kind of the message is not known",
            FrameError::Incompatible => "peer belongs to another fleet or protocol version",
        })
    }
}

impl std::error::Error for FrameError {}

/// The codec for the length in front of each frame.
pub fn length_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Puts its length in front of a frame; `None` if it is too long.
pub(crate) fn delimit(frame: Vec<u8>) -> Option<Bytes> {
    let mut delimited = BytesMut::new();
    length_codec()
        .encode(Bytes::from(frame), &mut delimited)
        .ok()?;
    Some(delimited.freeze())
}

/// Takes the next whole frame out of `received`; `None` while it is incomplete.
///
/// # Errors
///
/// [`FrameError::Malformed`] if the frame is too long. The connection is of no further use then.
pub fn next_frame(
    codec: &mut LengthDelimitedCodec,
    received: &mut BytesMut,
) -> Result<Option<BytesMut>, FrameError> {
    codec.decode(received).map_err(|_| FrameError::Malformed)
}

/// Signs and encodes a greeting; `None` without a key to sign with.
pub fn encode_hello(keys: &Keys, hello: &Hello) -> Option<Bytes> {
    let encoded = postcard::to_stdvec(hello).ok()?;
    delimit(keys.sign(HELLO_SIGNATURE_KIND, &encoded, b"")?)
}

/// Verifies and decodes the greeting of a peer.
///
/// # Errors
///
/// [`FrameError`] if it is not signed, cannot be decoded, or the peer does not belong to `fleet`.
pub fn decode_hello(keys: &Keys, frame: &[u8], fleet: &str) -> Result<Hello, FrameError> {
    let encoded = keys
        .verify(HELLO_SIGNATURE_KIND, frame, b"")
        .map_err(FrameError::Signature)?;
    let (hello, _) =
        postcard::take_from_bytes::<Hello>(&encoded).map_err(|_| FrameError::Malformed)?;
    let (min_version, max_version) = PROTOCOL_VERSIONS;
    let has_common_version = hello.min_version <= max_version && hello.max_version >= min_version;
    let has_valid_address = hello.address.len() <= MAX_TEXT_BYTES;
    if hello.fleet != fleet || !has_common_version || !has_valid_address {
        return Err(FrameError::Incompatible);
    }
    Ok(hello)
}

/// Encodes a message: its kind in one byte, then the body. `None` if it does not fit a frame.
pub fn encode_message(message: &Message) -> Option<Vec<u8>> {
    let (kind, body) = match message {
        Message::Membership(envelope) => (1, postcard::to_stdvec(envelope)),
        Message::AdminRequest(request) => (2, postcard::to_stdvec(request)),
        Message::AdminResponse(response) => (3, postcard::to_stdvec(response)),
        Message::Replication(envelope) => (4, postcard::to_stdvec(envelope)),
    };
    let mut encoded = body.ok()?;
    encoded.insert(0, kind);
    let frame_bytes = encoded.len() + FRAME_NUMBER_BYTES + SIGNATURE_OVERHEAD;
    (frame_bytes <= MAX_FRAME_BYTES).then_some(encoded)
}

/// Decodes what [`encode_message`] has encoded.
pub(crate) fn decode_message(encoded: &[u8]) -> Result<Message, FrameError> {
    let (kind, body) = encoded.split_first().ok_or(FrameError::Malformed)?;
    match kind {
        1 => decode_body(body).map(|envelope| Message::Membership(Box::new(envelope))),
        2 => decode_body(body).map(Message::AdminRequest),
        3 => decode_body(body).map(Message::AdminResponse),
        4 => decode_body(body).map(|envelope| Message::Replication(Box::new(envelope))),
        _ => Err(FrameError::UnknownKind),
    }
}

/// Decodes a body, ignoring fields added by a newer program at its end.
fn decode_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, FrameError> {
    let (value, _) = postcard::take_from_bytes(body).map_err(|_| FrameError::Malformed)?;
    Ok(value)
}

/// The name of a member's own status as operators see it and as [`AdminResponse::Members`] has it.
pub fn status_name(status: MembershipStatus) -> String {
    let name = match status {
        MembershipStatus::Joining => "joining",
        MembershipStatus::Active => "in",
        MembershipStatus::Left => "left",
        MembershipStatus::Superseded => "ended",
    };
    name.to_owned()
}
