//! Key secrets and their digests.

use std::fmt;
use std::io;
use std::str::FromStr;

use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use subtle::ConstantTimeEq;

pub(crate) const SECRET_PREFIX: &str = "ps_";
/// 43 characters of 6 bits each hold at least 256 bits.
const SECRET_CHARS: usize = 43;
const BASE64URL_ALPHABET: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const DIGEST_PREFIX: &str = "blake3:";

/// Secret of a key, which only its holder knows. `Debug` does not show it.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// The secret in clear, to hand to its holder.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// The digest to publish.
    pub fn digest(&self) -> Digest {
        Digest::of_secret(&self.0)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Generates a secret from the operating system's random source.
///
/// # Errors
///
/// Fails when the operating system has no random bytes to give.
pub fn generate_secret() -> io::Result<Secret> {
    let mut buf = [0u8; SECRET_CHARS];
    OsRng.try_fill_bytes(&mut buf).map_err(io::Error::other)?;
    let chars = buf.iter().map(|b| char::from(BASE64URL_ALPHABET[usize::from(b & 63)]));
    Ok(Secret(SECRET_PREFIX.chars().chain(chars).collect()))
}

/// Whether `text` has the form of a secret, or starts like one and is longer.
pub(crate) fn looks_like_secret(text: &str) -> bool {
    text.strip_prefix(SECRET_PREFIX).is_some_and(|rest| {
        rest.len() >= SECRET_CHARS && rest.bytes().all(|b| BASE64URL_ALPHABET.contains(&b))
    })
}

/// BLAKE3 digest of a secret. Equality is decided in constant time.
#[derive(Clone, Copy, Eq, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digest of the secret that a caller presents.
    pub fn of_secret(secret: &str) -> Self {
        Self(*blake3::hash(secret.as_bytes()).as_bytes())
    }

    /// A digest from its bytes.
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The digest's bytes.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{DIGEST_PREFIX}{}", blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The text is not a digest. The text itself is left out, since it may be a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a digest is written as \"blake3:\" and 64 hexadecimal digits")]
pub struct InvalidDigest;

impl FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let hex = s.strip_prefix(DIGEST_PREFIX).ok_or(InvalidDigest)?;
        let hash = blake3::Hash::from_hex(hex).map_err(|_| InvalidDigest)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
    }
}
