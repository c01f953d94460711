//! Types of the values in the operator's file: times, sizes, rates, keys and numbers.
//!
//! Each type has a pattern in the schema. The file is checked against the schema before a value is read, so that
//! parsing a value does not report errors.

use data_encoding::HEXLOWER;
use leverpoint_backpressure::Ticks;
use leverpoint_sessions::Key;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Defines the type of a number that is followed by its unit.
macro_rules! unit {
    ($name:ident, $number:ty, $pattern:literal, $expected:literal, $units:expr) => {
        #[derive(Debug, Clone, Deserialize, Serialize, JsonSchema)]
        #[schemars(transparent, inline, extend("pattern" = $pattern, "x-expected" = $expected))]
        pub(crate) struct $name(String);

        impl $name {
            /// Returns the value in the base unit: bytes a second, bytes, or ticks.
            pub(crate) fn value(&self) -> $number {
                let unit_start = self
                    .0
                    .find(|c: char| !c.is_ascii_digit())
                    .unwrap_or(self.0.len());
                let (number, unit) = self.0.split_at(unit_start);
                let units: &[(&str, $number)] = $units;
                let scale = units
                    .iter()
                    .find(|(name, _)| *name == unit)
                    .map_or(1, |(_, scale)| *scale);
                number.parse::<$number>().unwrap_or_default() * scale
            }
        }
    };
}

unit!(
    ByteRate,
    u64,
    "^[1-9][0-9]{0,5}(B|KiB|MiB)/s$",
    "a rate like \"8KiB/s\", in B/s, KiB/s or MiB/s",
    &[("B/s", 1), ("KiB/s", 1 << 10), ("MiB/s", 1 << 20)]
);
unit!(
    ByteSize,
    usize,
    "^[1-9][0-9]{0,5}(B|KiB|MiB)$",
    "a size like \"128KiB\", in B, KiB or MiB",
    &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)]
);
/// A signing key: its number, and its bytes in hexadecimal digits.
#[derive(Clone, Deserialize, Serialize, JsonSchema)]
#[schemars(transparent, inline, extend("pattern" = "^([0-9]|[1-9][0-9]|1[0-9]{2}|2[0-4][0-9]|25[0-5]):([0-9a-f]{2}){16,64}$",
    "x-expected" = "a key like \"1:\" and 32 to 128 hexadecimal digits"))]
pub(crate) struct Secret(String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a key")
    }
}

/// Sixteen hexadecimal digits.
#[derive(Clone, Deserialize, Serialize, JsonSchema)]
#[schemars(transparent, inline, extend("pattern" = "^[0-9a-f]{16}$", "x-expected" = "sixteen hexadecimal digits"))]
pub(crate) struct HexNumber(String);

impl HexNumber {
    /// Returns the number; `None` only if the text does not match the pattern.
    pub(crate) fn value(&self) -> Option<u64> {
        u64::from_str_radix(&self.0, 16).ok()
    }
}

impl std::fmt::Debug for HexNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a number")
    }
}

unit!(
    TimeSpan,
    Ticks,
    "^[1-9][0-9]{0,5}(ms|s|m)$",
    "a time like \"250ms\", in ms, s or m",
    &[("ms", 10), ("s", 10_000), ("m", 600_000)]
);

impl TimeSpan {
    /// Returns the value in ticks, or `default` if none is stated.
    pub(crate) fn value_or(stated: Option<&Self>, default: Ticks) -> Ticks {
        stated.map_or(default, TimeSpan::value)
    }
}

/// Returns the signing keys in their order; `None` if two have the same number.
pub(crate) fn signing_keys(stated: &[Secret]) -> Option<Vec<Key>> {
    let mut keys: Vec<Key> = Vec::new();
    for Secret(text) in stated {
        let (number, hex) = text.split_once(':').unwrap_or_default();
        let number = number.parse().unwrap_or_default();
        if keys.iter().any(|key| key.number == number) {
            return None;
        }
        keys.push(Key {
            number,
            secret: HEXLOWER.decode(hex.as_bytes()).unwrap_or_default(),
        });
    }
    Some(keys)
}
