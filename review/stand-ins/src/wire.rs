//! The messages of PostgreSQL's protocol that the stand-ins use.

use std::io::{self, Read};

pub const STARTUP: &[u8] = b"\x00\x00\x00\x20\x00\x03\x00\x00user\0svc\0database\0main\0\0";

pub fn put_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// Reads one message: its tag and body.
pub fn read_message(from: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..=1 << 20).contains(&length) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - 4];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Reads a startup packet, which has no tag.
pub fn read_startup(from: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut head = [0; 4];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes(head) as usize;
    if !(8..=1 << 12).contains(&length) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - 4];
    from.read_exact(&mut body)?;
    Ok(body)
}

/// The messages of one row with one value, up to CommandComplete.
pub fn row(value: &[u8], write: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let mut description = vec![0, 1];
    description.extend(b"v\0");
    // No table, no column, type bytea, variable length, no modifier, binary.
    description.extend([
        0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1,
    ]);
    put_message(&mut out, b'T', &description);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    put_message(&mut out, b'D', &data);
    let tag: &[u8] = if write {
        b"INSERT 0 1\0"
    } else {
        b"SELECT 1\0"
    };
    put_message(&mut out, b'C', tag);
    out
}

pub fn error(code: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(
        &mut out,
        b'E',
        format!("SERROR\0C{code}\0Mno\0\0").as_bytes(),
    );
    out
}

/// Role and position of a server, and ReadyForQuery.
pub fn status(primary: bool, position_ms: f64) -> Vec<u8> {
    let mut out = Vec::new();
    let mode = if primary { "read-write" } else { "read-only" };
    put_message(&mut out, b'S', format!("mode\0{mode}\0").as_bytes());
    put_message(
        &mut out,
        b'S',
        format!("wal_time\0{position_ms:.3}\0").as_bytes(),
    );
    put_message(&mut out, b'Z', b"I");
    out
}

/// The value of a field in the comment at the end of a statement.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.rsplit_once("/* ")?.1.strip_suffix(" */")?;
    comment
        .split(',')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// The first quoted text of a statement, its key.
pub fn key(text: &str) -> &str {
    text.split('\'').nth(1).unwrap_or_default()
}
