//! Binary frames of log records: kind, length, body, checksum, with all integers in big-endian order.
//!
//! The checksum includes the file number, so that bytes left over from another file are not decoded as records.

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogRecord {
    /// The replication position up to which a session's writes have been acknowledged.
    Position {
        /// Hash of the session, or [`ALL_SESSIONS`](crate::ALL_SESSIONS).
        session: u64,
        /// The replication position, in ticks of 100 µs.
        position: i64,
    },
    /// The primary of a replica set.
    Primary {
        /// Number of the replica set.
        replica_set: u16,
        /// Name of the primary; truncated if it does not fit into a body of [`MAX_BODY_LEN`].
        server: String,
        /// When it was observed to be the primary, in ticks of 100 µs.
        observed_at: i64,
    },
    /// All writes acknowledged up to a time precede this record.
    CompleteUntil {
        /// The time, in ticks of 100 µs.
        at: i64,
    },
    /// The last record of a complete snapshot.
    SnapshotEnd {
        /// Number of records before it in the snapshot.
        count: u64,
    },
    /// The process was shut down cleanly: no record of it follows.
    Closed {
        /// Time of the shutdown, in ticks of 100 µs; all writes acknowledged up to it precede this record.
        at: i64,
    },
    /// The current value of a replicated record, which replaces an earlier one with the same key.
    Replicated {
        /// Hash of the record's key.
        key: u64,
        /// The latest time in the record, from which its age counts, in ticks of 100 µs; `i64::MAX` if it never
        /// expires.
        last_touched: i64,
        /// The encoded record, opaque to the log.
        value: Vec<u8>,
    },
}

/// The longest body of a record other than [`LogRecord::Replicated`], in bytes: its length field has one byte.
pub const MAX_BODY_LEN: usize = 255;
/// The longest body of a replicated record, in bytes: a list of 1,024 names of 64 bytes takes 66 KiB.
pub const MAX_REPLICATED_LEN: usize = 1 << 17;

const HEADER_LEN: usize = 2;
/// The length field of a replicated record has four bytes.
const REPLICATED_HEADER_LEN: usize = 5;
const CHECKSUM_LEN: usize = 4;
/// Bytes of a primary's body before the server's name.
const PRIMARY_PREFIX_LEN: usize = 10;
/// Bytes of a replicated record's body before its value.
const REPLICATED_PREFIX_LEN: usize = 16;

mod kind {
    pub(super) const POSITION: u8 = 1;
    pub(super) const PRIMARY: u8 = 2;
    pub(super) const COMPLETE_UNTIL: u8 = 3;
    pub(super) const SNAPSHOT_END: u8 = 4;
    pub(super) const CLOSED: u8 = 5;
    pub(super) const REPLICATED: u8 = 6;
}

/// What the first bytes of a buffer decode to.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodedFrame {
    /// A record, and the length of its frame in bytes.
    Record(LogRecord, usize),
    /// The buffer is empty.
    End,
    /// An incomplete or corrupt frame, or one of another file.
    Torn,
}

/// Appends the frame of a record to `out`, for the file with the number `file`.
///
/// A server's name is truncated to what fits into a body of [`MAX_BODY_LEN`].
pub fn encode(out: &mut Vec<u8>, file: u64, record: &LogRecord) {
    let (kind, body) = encode_body(record);
    let start = out.len();
    out.push(kind);
    if kind == kind::REPLICATED {
        out.extend((body.len() as u32).to_be_bytes());
    } else {
        out.push(body.len() as u8);
    }
    out.extend(&body);
    let checksum = checksum(file, &out[start..]);
    out.extend(checksum);
}

fn encode_body(record: &LogRecord) -> (u8, Vec<u8>) {
    match record {
        LogRecord::Position { session, position } => (
            kind::POSITION,
            [session.to_be_bytes(), position.to_be_bytes()].concat(),
        ),
        LogRecord::Primary {
            replica_set,
            server,
            observed_at,
        } => {
            let name_len = server.floor_char_boundary(MAX_BODY_LEN - PRIMARY_PREFIX_LEN);
            let name = &server.as_bytes()[..name_len];
            let prefix = (replica_set.to_be_bytes(), observed_at.to_be_bytes());
            (kind::PRIMARY, [&prefix.0[..], &prefix.1, name].concat())
        }
        LogRecord::CompleteUntil { at } => (kind::COMPLETE_UNTIL, at.to_be_bytes().to_vec()),
        LogRecord::SnapshotEnd { count } => (kind::SNAPSHOT_END, count.to_be_bytes().to_vec()),
        LogRecord::Closed { at } => (kind::CLOSED, at.to_be_bytes().to_vec()),
        LogRecord::Replicated {
            key,
            last_touched,
            value,
        } => {
            let prefix = [key.to_be_bytes(), last_touched.to_be_bytes()].concat();
            (kind::REPLICATED, [&prefix[..], value].concat())
        }
    }
}

fn checksum(file: u64, frame: &[u8]) -> [u8; CHECKSUM_LEN] {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&file.to_be_bytes());
    checksum.update(frame);
    checksum.finalize().to_be_bytes()
}

/// Decodes the record at the start of `bytes`, which are from the file with the number `file`.
#[must_use]
pub fn decode(bytes: &[u8], file: u64) -> DecodedFrame {
    if bytes.is_empty() {
        return DecodedFrame::End;
    }
    decode_frame(bytes, file).map_or(DecodedFrame::Torn, |(record, len)| {
        DecodedFrame::Record(record, len)
    })
}

fn decode_frame(bytes: &[u8], file: u64) -> Option<(LogRecord, usize)> {
    let (header_len, body_len) = if bytes[0] == kind::REPLICATED {
        let len = bytes.get(1..REPLICATED_HEADER_LEN)?.try_into().ok()?;
        (REPLICATED_HEADER_LEN, u32::from_be_bytes(len) as usize)
    } else {
        (HEADER_LEN, usize::from(*bytes.get(1)?))
    };
    if body_len > MAX_REPLICATED_LEN {
        return None;
    }
    let len = header_len + body_len;
    let frame = bytes.get(..len)?;
    let stored = bytes.get(len..len + CHECKSUM_LEN)?;
    if checksum(file, frame) != stored {
        return None;
    }
    let record = decode_body(frame[0], &frame[header_len..])?;
    Some((record, len + CHECKSUM_LEN))
}

fn decode_body(kind: u8, body: &[u8]) -> Option<LogRecord> {
    let unsigned = |at: usize| {
        let bytes = body.get(at..at + 8)?.try_into().ok()?;
        Some(u64::from_be_bytes(bytes))
    };
    let signed = |at: usize| unsigned(at).map(|number| number as i64);
    Some(match (kind, body.len()) {
        (kind::POSITION, 16) => LogRecord::Position {
            session: unsigned(0)?,
            position: signed(8)?,
        },
        (kind::PRIMARY, PRIMARY_PREFIX_LEN..) => LogRecord::Primary {
            replica_set: u16::from_be_bytes(body[..2].try_into().ok()?),
            server: std::str::from_utf8(&body[PRIMARY_PREFIX_LEN..])
                .ok()?
                .to_owned(),
            observed_at: signed(2)?,
        },
        (kind::COMPLETE_UNTIL, 8) => LogRecord::CompleteUntil { at: signed(0)? },
        (kind::SNAPSHOT_END, 8) => LogRecord::SnapshotEnd {
            count: unsigned(0)?,
        },
        (kind::CLOSED, 8) => LogRecord::Closed { at: signed(0)? },
        (kind::REPLICATED, REPLICATED_PREFIX_LEN..) => LogRecord::Replicated {
            key: unsigned(0)?,
            last_touched: signed(8)?,
            value: body[REPLICATED_PREFIX_LEN..].to_vec(),
        },
        _ => return None,
    })
}
