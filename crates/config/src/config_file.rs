//! Reads configuration files. A file is read as a whole, has to be a regular one, and is limited in size.

use std::io::Read;

use crate::value_path::ConfigError;

/// 8 MiB, twice the longest endpoint list that discovery may send.
const MAX_BYTES: u64 = 8 << 20;

/// Reads a regular file; `option` is the option or variable that names it, for errors.
///
/// A pipe or a device is an error, as reading it might block or never end.
pub(crate) fn read(option: &str, path: &str) -> Result<Vec<u8>, ConfigError> {
    let error = |found: &dyn std::fmt::Display| {
        ConfigError::new(format!(
            "{option}: expected a readable file, but {path}: {found}"
        ))
    };
    let metadata = std::fs::metadata(path).map_err(|e| error(&e))?;
    if !metadata.is_file() {
        return Err(error(&"it is no regular file"));
    }
    let mut text = Vec::new();
    let file = std::fs::File::open(path).map_err(|e| error(&e))?;
    file.take(MAX_BYTES + 1)
        .read_to_end(&mut text)
        .map_err(|e| error(&e))?;
    if text.len() as u64 > MAX_BYTES {
        return Err(error(&format!("it is longer than {} MiB", MAX_BYTES >> 20)));
    }
    Ok(text)
}
