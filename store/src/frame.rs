//! Owns how a record stands in a file: kind, length, body, checksum.
//!
//! It must never take a record that was not written whole, or one of another file.

/// What is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// Up to where a session's writes were answered.
    Position { session: u64, position: i64 },
    /// Which server of a set has said that it is the primary, and when.
    Role { set: u16, server: String, at: i64 },
    /// All that was answered up to then is in the log before this.
    Until { at: i64 },
    /// The end of a snapshot, and how many items stand before it.
    End { count: u64 },
    /// The process ended in order: nothing came after.
    Closed { at: i64 },
}

/// A body's longest.
pub const LONGEST: usize = 255;
const HEAD: usize = 2;
const CODE: usize = 4;

/// What stands at the begin of some bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed {
    /// And how many bytes it takes.
    Item(Item, usize),
    /// Nothing more.
    Nothing,
    /// Something that was not written whole, or has changed since.
    Torn,
}

/// A server's name is cut to what a body holds.
fn body(item: &Item) -> (u8, Vec<u8>) {
    match item {
        Item::Position { session, position } => (1, [session.to_be_bytes(), position.to_be_bytes()].concat()),
        Item::Role { set, server, at } => {
            let name = &server.as_bytes()[..server.floor_char_boundary(LONGEST - 10)];
            (2, [&set.to_be_bytes()[..], &at.to_be_bytes(), name].concat())
        }
        Item::Until { at } => (3, at.to_be_bytes().to_vec()),
        Item::End { count } => (4, count.to_be_bytes().to_vec()),
        Item::Closed { at } => (5, at.to_be_bytes().to_vec()),
    }
}

/// The file's own number goes into the code: what is left of another file is none of its records.
fn code(file: u64, head: &[u8]) -> [u8; CODE] {
    let mut code = crc32fast::Hasher::new();
    code.update(&file.to_be_bytes());
    code.update(head);
    code.finalize().to_be_bytes()
}

pub fn put(out: &mut Vec<u8>, file: u64, item: &Item) {
    let (kind, body) = body(item);
    let begins = out.len();
    out.extend([kind, body.len() as u8]);
    out.extend(&body);
    let code = code(file, &out[begins..]);
    out.extend(code);
}

fn item(kind: u8, body: &[u8]) -> Option<Item> {
    let number = |at: usize| body.get(at..at + 8)?.try_into().ok().map(u64::from_be_bytes);
    let signed = |at: usize| number(at).map(|n| n as i64);
    Some(match (kind, body.len()) {
        (1, 16) => Item::Position { session: number(0)?, position: signed(8)? },
        (2, 10..) => {
            let set = u16::from_be_bytes(body[..2].try_into().ok()?);
            let server = std::str::from_utf8(&body[10..]).ok()?.to_owned();
            Item::Role { set, server, at: signed(2)? }
        }
        (3, 8) => Item::Until { at: signed(0)? },
        (4, 8) => Item::End { count: number(0)? },
        (5, 8) => Item::Closed { at: signed(0)? },
        _ => return None,
    })
}

pub fn parse(bytes: &[u8], file: u64) -> Parsed {
    if bytes.is_empty() {
        return Parsed::Nothing;
    }
    let length = HEAD + bytes.get(1).map_or(0, |length| usize::from(*length));
    let (Some(head), Some(said)) = (bytes.get(..length), bytes.get(length..length + CODE)) else {
        return Parsed::Torn;
    };
    if code(file, head) != said {
        return Parsed::Torn;
    }
    item(head[0], &head[HEAD..]).map_or(Parsed::Torn, |item| Parsed::Item(item, length + CODE))
}
