//! Owns the values that servers make, one for each command, and tells whether a value is that one.
//!
//! It must never accept a value that differs in a single byte.

/// The value made for a command: its id, then noise that follows from it, `length` bytes in all.
pub fn expected_value(id: &str, length: usize) -> Vec<u8> {
    let seed = id.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    let mut noise = fastrand::Rng::with_seed(seed);
    let mut value = id.as_bytes().to_vec();
    value.push(b':');
    value.resize(length.max(value.len()), 0);
    let from = id.len() + 1;
    noise.fill(&mut value[from..]);
    value
}

/// How long a read's value is to be stands in its key, in front of a dash.
pub fn value_length(key: &str) -> usize {
    key.split('-')
        .next()
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0)
}
