//! Messages of PostgreSQL's protocol version 3: framing, and encoding and parsing of the few that the gateway uses.

use leverpoint_engine::UNRESERVED_BYTES;

use crate::io::ring_buffer::RingBuffer;

/// Longest value of a row in bytes.
const MAX_VALUE: usize = 64 << 10;
/// Longest message in bytes: a value as hex text is twice its length, and the rest of a message is far below 8 KiB.
pub const MAX_MESSAGE: usize = (128 + 8) << 10;
/// Longest startup packet in bytes: what a buffer holds without a reservation.
const MAX_STARTUP_PACKET: usize = UNRESERVED_BYTES;

/// Code by which a startup packet asks for TLS.
pub const SSL_REQUEST: i32 = 80_877_103;
/// Code by which a startup packet asks for GSSAPI encryption.
pub const GSSENC_REQUEST: i32 = 80_877_104;
/// Code of a packet that asks for the cancellation of another connection's request.
pub const CANCEL_REQUEST: i32 = 80_877_102;

/// The length of a startup packet is out of range, so that the next packet's start is unknown.
#[derive(Debug, PartialEq)]
pub struct InvalidPacketLength;

/// Result of decoding the next message of a buffer.
#[derive(Debug, PartialEq)]
pub enum DecodeResult {
    /// The message is incomplete; holds its length in bytes, or 0 while that is unknown.
    Incomplete(usize),
    /// A message with its type and body.
    Message(u8, Vec<u8>),
    /// The message is longer than [`MAX_MESSAGE`].
    TooLong,
    /// The length field is below its own size, so that the next message's start is unknown.
    InvalidLength,
}

/// Decodes the next message and consumes it if it is complete.
pub fn decode_message(buffer: &mut RingBuffer) -> DecodeResult {
    let Some([tag, a, b, c, d]) = buffer.peek::<5>(0) else {
        return DecodeResult::Incomplete(0);
    };
    let length = i32::from_be_bytes([a, b, c, d]);
    if length < 4 {
        return DecodeResult::InvalidLength;
    }
    let whole = 1 + length as usize;
    if whole > MAX_MESSAGE {
        return DecodeResult::TooLong;
    }
    if buffer.len() < whole {
        return DecodeResult::Incomplete(whole);
    }
    buffer.skip(5);
    DecodeResult::Message(tag, buffer.take(whole - 5))
}

/// Decodes a startup packet, which has no type byte, into its code and body; none while it is incomplete.
///
/// # Errors
///
/// The packet's length is out of range.
pub fn decode_startup_packet(
    buffer: &mut RingBuffer,
) -> Result<Option<(i32, Vec<u8>)>, InvalidPacketLength> {
    let Some(head) = buffer.peek::<8>(0) else {
        return Ok(None);
    };
    let field =
        |at: usize| i32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let whole = usize::try_from(field(0)).map_err(|_| InvalidPacketLength)?;
    if !(8..=MAX_STARTUP_PACKET).contains(&whole) {
        return Err(InvalidPacketLength);
    }
    if buffer.len() < whole {
        return Ok(None);
    }
    buffer.skip(8);
    Ok(Some((field(4), buffer.take(whole - 8))))
}

/// Appends a message of type `tag`; its body is the concatenation of `body`.
pub fn put_message(out: &mut Vec<u8>, tag: u8, body: &[&[u8]]) {
    let length: usize = 4 + body.iter().map(|part| part.len()).sum::<usize>();
    out.push(tag);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    body.iter().for_each(|part| out.extend_from_slice(part));
}

/// Encodes the messages that admit a client; `key` is its cancel key, `minor` the minor version that it asked for.
pub fn startup_response(minor: i32, key: Option<[u8; 8]>) -> Vec<u8> {
    let mut out = Vec::new();
    if minor > 0 {
        // NegotiateProtocolVersion: the newest minor version supported is 0, and no option is reported as unknown.
        put_message(&mut out, b'v', &[&0i32.to_be_bytes(), &0i32.to_be_bytes()]);
    }
    put_message(&mut out, b'R', &[&0i32.to_be_bytes()]);
    let parameters = [
        ("server_version", "15.0 (leverpoint)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        put_message(
            &mut out,
            b'S',
            &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"],
        );
    }
    key.into_iter()
        .for_each(|key| put_message(&mut out, b'K', &[&key]));
    put_ready_for_query(&mut out);
    out
}

/// Appends a ReadyForQuery with the status of no open transaction.
pub fn put_ready_for_query(out: &mut Vec<u8>) {
    put_message(out, b'Z', &[b"I"]);
}

/// Appends an ErrorResponse with a SQLSTATE; `fatal` if the connection is closed after it.
pub fn put_error_response(
    out: &mut Vec<u8>,
    fatal: bool,
    code: &str,
    text: &str,
    detail: Option<&str>,
) {
    let severity: &[u8] = if fatal { b"FATAL\0" } else { b"ERROR\0" };
    let mut body = vec![
        &b"S"[..],
        severity,
        b"V",
        severity,
        b"C",
        code.as_bytes(),
        b"\0M",
        text.as_bytes(),
    ];
    if let Some(detail) = detail {
        body.extend([&b"\0D"[..], detail.as_bytes()]);
    }
    body.push(b"\0\0");
    put_message(out, b'E', &body);
}

/// Appends a NoticeResponse with a text and a detail.
pub fn put_notice_response(out: &mut Vec<u8>, text: &str, detail: &str) {
    let body = [
        b"SNOTICE\0VNOTICE\0C00000\0M",
        text.as_bytes(),
        b"\0D",
        detail.as_bytes(),
        b"\0\0",
    ];
    put_message(out, b'N', &body);
}

/// Encodes the StartupMessage that the gateway sends to a server.
pub fn startup_message() -> Vec<u8> {
    let parameters = b"user\0svc\0database\0main\0\0";
    let mut out = ((8 + parameters.len()) as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&(3i32 << 16).to_be_bytes());
    out.extend_from_slice(parameters);
    out
}

/// Returns the SQLSTATE, five characters, of an ErrorResponse; none if the body is malformed.
///
/// The body consists of fields, each a letter and a text ended by a zero byte, and one more zero byte at the end.
pub fn sqlstate(body: &[u8]) -> Option<&[u8]> {
    let fields = body.strip_suffix(b"\0\0")?;
    let is_sqlstate =
        |field: &[u8]| field.len() == 6 && field[1..].iter().all(u8::is_ascii_alphanumeric);
    let mut found = None;
    for field in fields.split(|&b| b == 0) {
        match field.first()? {
            b'C' if found.is_none() && is_sqlstate(field) => found = Some(&field[1..]),
            b'C' => return None,
            letter if letter.is_ascii_alphabetic() => {}
            _ => return None,
        }
    }
    found
}

/// Parses a ParameterStatus into name and value.
pub fn parse_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let text = std::str::from_utf8(body).ok()?;
    let mut fields = text.split('\0');
    Some((fields.next()?, fields.next()?))
}

/// Returns whether a RowDescription describes exactly one column, without trailing bytes.
pub fn describes_one_column(body: &[u8]) -> bool {
    // The column's name ended by a zero byte, then its numeric fields, eighteen bytes in all.
    let name_and_rest = body.strip_prefix(&[0, 1]).unwrap_or_default();
    name_and_rest
        .iter()
        .position(|b| *b == 0)
        .is_some_and(|end| name_and_rest.len() == end + 1 + 18)
}

/// Returns whether a DataRow holds exactly one value of at most `MAX_VALUE` bytes, as long as its length field says.
pub fn holds_one_value(body: &[u8]) -> bool {
    let value = body
        .strip_prefix(&[0, 1])
        .and_then(<[u8]>::split_first_chunk::<4>);
    value.is_some_and(|(length, value)| {
        value.len() <= MAX_VALUE && u32::from_be_bytes(*length) as usize == value.len()
    })
}

/// Returns whether a CommandComplete reports one row, inserted if `write`, else selected.
pub fn completes_one_row(body: &[u8], write: bool) -> bool {
    body == if write {
        &b"INSERT 0 1\0"[..]
    } else {
        b"SELECT 1\0"
    }
}
