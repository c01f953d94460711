//! A single value that is replaced as a whole: a reader finds the newest one that was synced, or none.
//!
//! It has nothing to do with the snapshots of a [`SegmentedLog`](crate::SegmentedLog).

use std::io;

use crate::disk::Disk;

const FILE: &str = "note";
/// The file to which a new value is written before it replaces [`FILE`].
const NEXT_FILE: &str = "note.new";
const CHECKSUM_LEN: usize = 4;

/// The result of reading the value.
#[derive(Debug, PartialEq, Eq)]
pub enum SnapshotRead {
    /// The value, with a matching checksum.
    Complete(Vec<u8>),
    /// There is no file: no value was ever written, or its directory is lost.
    Missing,
    /// The file is too short or its checksum does not match.
    Corrupt,
}

/// Replaces the value atomically, and returns once the new one is durable.
///
/// # Errors
///
/// The disk has failed; the previous value remains.
pub fn write(disk: &mut impl Disk, value: &[u8]) -> io::Result<()> {
    match disk.remove(NEXT_FILE) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let checksum = crc32fast::hash(value).to_be_bytes();
    disk.append(NEXT_FILE, &[&checksum[..], value].concat())?;
    disk.sync(NEXT_FILE)?;
    disk.rename(NEXT_FILE, FILE)
}

/// Reads the newest value that was written.
///
/// # Errors
///
/// The disk can't be read. A missing or corrupt file is no error.
pub fn read(disk: &mut impl Disk) -> io::Result<SnapshotRead> {
    let bytes = match disk.read(FILE) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(SnapshotRead::Missing),
        Err(error) => return Err(error),
    };
    let complete = bytes
        .split_at_checked(CHECKSUM_LEN)
        .filter(|(checksum, value)| crc32fast::hash(value).to_be_bytes() == *checksum);
    Ok(complete.map_or(SnapshotRead::Corrupt, |(_, value)| {
        SnapshotRead::Complete(value.to_vec())
    }))
}
