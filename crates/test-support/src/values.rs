//! Row values that follow from a request's id: servers return them, and clients compare every byte, so that a row made
//! for another request, or damaged on the way, is detected.

/// Returns the value for the request `id`: the id, a colon, then pseudo-random bytes seeded with the FNV-1a hash of the
/// id. It has `length` bytes, or as many as the id and the colon take where that is more.
pub fn expected_value(id: &str, length: usize) -> Vec<u8> {
    let seed = id.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    let mut random = fastrand::Rng::with_seed(seed);
    let mut value = id.as_bytes().to_vec();
    value.push(b':');
    value.resize(length.max(value.len()), 0);
    let random_start = id.len() + 1;
    random.fill(&mut value[random_start..]);
    value
}

/// Returns the length in bytes of the value that a read asks for: the decimal number before the first dash of its key,
/// or 0 where there is none.
pub fn value_length(key: &str) -> usize {
    key.split('-')
        .next()
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0)
}
