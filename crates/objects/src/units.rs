//! Values with units: request rates, byte sizes and durations.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// The text is not a value with a unit of the expected kind, or is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidUnit(&'static str);

const RATE_FORMAT: InvalidUnit =
    InvalidUnit("a rate needs the unit requests per second, for example \"50/s\"");
const RATE_TOO_PRECISE: InvalidUnit = InvalidUnit("a rate has at most three decimals");
const RATE_TOO_LARGE: InvalidUnit = InvalidUnit("impossible rate: too large");
const RATE_NOT_POSITIVE: InvalidUnit = InvalidUnit("impossible rate: a rate must be above zero");
const SIZE_FORMAT: InvalidUnit =
    InvalidUnit("a size needs one of the units B, KiB, MiB, GiB, for example \"64KiB\"");
const SIZE_TOO_LARGE: InvalidUnit = InvalidUnit("the size is too large");
const DURATION_FORMAT: InvalidUnit = InvalidUnit("a duration needs a unit, for example \"300ms\"");

/// A rate in requests per second, stored as an integer number of thousandths. Written as `50/s` or
/// `0.25/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate of `milli` thousandths of a request per second.
    pub const fn from_milli_per_second(milli: u64) -> Self {
        Self(milli)
    }

    /// The rate in thousandths of a request per second.
    pub const fn milli_per_second(self) -> u64 {
        self.0
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, milli) = (self.0 / 1000, self.0 % 1000);
        if milli == 0 {
            return write!(f, "{whole}/s");
        }
        let decimals = format!("{milli:03}");
        write!(f, "{whole}.{}/s", decimals.trim_end_matches('0'))
    }
}

impl FromStr for RequestRate {
    type Err = InvalidUnit;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let number = s.strip_suffix("/s").ok_or(RATE_FORMAT)?;
        if number.starts_with('-') {
            return Err(RATE_NOT_POSITIVE);
        }
        let (whole, decimals) = number.split_once('.').unwrap_or((number, "0"));
        if !is_digits(whole) || !is_digits(decimals) {
            return Err(RATE_FORMAT);
        }
        if decimals.len() > 3 {
            return Err(RATE_TOO_PRECISE);
        }
        let whole: u64 = whole.parse().map_err(|_| RATE_TOO_LARGE)?;
        let milli: u64 = format!("{decimals:0<3}").parse().map_err(|_| RATE_FORMAT)?;
        whole.checked_mul(1000).and_then(|w| w.checked_add(milli)).map(Self).ok_or(RATE_TOO_LARGE)
    }
}

/// A size in bytes. Written with one of the units `B`, `KiB`, `MiB` and `GiB`, such as `64KiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Units with their size in bytes, from the largest to the smallest.
    const UNITS: [(&str, u64); 4] =
        [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

    /// Creates a size of `bytes` bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates a size of `mib` mebibytes.
    pub const fn from_mib(mib: u32) -> Self {
        Self((mib as u64) << 20)
    }

    /// The size in bytes.
    pub const fn bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |(_, bytes): &(&str, u64)| self.0 != 0 && self.0.is_multiple_of(*bytes);
        let (unit, bytes) = Self::UNITS.into_iter().find(fits).unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0 / bytes)
    }
}

impl FromStr for ByteSize {
    type Err = InvalidUnit;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let digits = s.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = s.split_at(digits);
        let find = |(name, _): &(&str, u64)| *name == unit;
        let (_, bytes) = Self::UNITS.into_iter().find(find).ok_or(SIZE_FORMAT)?;
        if number.is_empty() {
            return Err(SIZE_FORMAT);
        }
        let number: u64 = number.parse().map_err(|_| SIZE_TOO_LARGE)?;
        number.checked_mul(bytes).map(Self).ok_or(SIZE_TOO_LARGE)
    }
}

fn is_digits(s: &str) -> bool {
    !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit())
}

/// Parses a duration such as `300ms` or `1h 30m`.
///
/// Refuses a bare `0`, which `humantime` accepts, because units are required.
pub(crate) fn parse_duration(s: &str) -> Result<Duration, InvalidUnit> {
    if is_digits(s) {
        return Err(DURATION_FORMAT);
    }
    humantime::parse_duration(s).map_err(|_| DURATION_FORMAT)
}

/// Deserializes a string and parses it.
fn deserialize_text<'de, D, T>(
    deserializer: D,
    parse: fn(&str) -> Result<T, InvalidUnit>,
) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    parse(&text).map_err(de::Error::custom)
}

impl Serialize for RequestRate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestRate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserialize_text(deserializer, Self::from_str)
    }
}

impl Serialize for ByteSize {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ByteSize {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserialize_text(deserializer, Self::from_str)
    }
}

/// Functions for `#[serde(with)]` that write durations as text.
pub(crate) mod duration {
    use super::*;

    pub(crate) fn serialize<S: Serializer>(d: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*d))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
        deserialize_text(d, parse_duration)
    }
}
