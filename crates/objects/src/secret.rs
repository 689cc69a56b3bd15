//! Key secrets and their digests.

use std::fmt;
use std::io;
use std::str::FromStr;

use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use subtle::ConstantTimeEq;

/// Start of every secret, by which a secret in a file or log is recognised.
pub(crate) const SECRET_PREFIX: &str = "ps_";
/// Random characters after the prefix. 43 characters of 6 bits each hold at least 256 bits.
const SECRET_CHARS: usize = 43;
const BASE64URL_ALPHABET: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const DIGEST_PREFIX: &str = "blake3:";

/// Secret of a key or operator. Only its digest is stored. `Debug` does not show the secret.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// The secret in plain text, to hand it to its owner.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Digest of the secret, which can be published.
    pub fn digest(&self) -> Digest {
        Digest::of_secret(&self.0)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Generates a secret with the operating system's random number generator.
///
/// # Errors
///
/// Returns an error if the operating system cannot provide random bytes.
pub fn generate_secret() -> io::Result<Secret> {
    let mut buf = [0u8; SECRET_CHARS];
    OsRng.try_fill_bytes(&mut buf).map_err(io::Error::other)?;
    let chars = buf.iter().map(|b| char::from(BASE64URL_ALPHABET[usize::from(b & 63)]));
    Ok(Secret(SECRET_PREFIX.chars().chain(chars).collect()))
}

/// Whether `text` has the form of a secret, or of a secret followed by more characters of its
/// alphabet.
pub(crate) fn looks_like_secret(text: &str) -> bool {
    text.strip_prefix(SECRET_PREFIX).is_some_and(|rest| {
        rest.len() >= SECRET_CHARS && rest.bytes().all(|b| BASE64URL_ALPHABET.contains(&b))
    })
}

/// BLAKE3 digest of a secret. `==` compares in constant time; ordering does not.
#[derive(Clone, Copy, Eq, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a secret, such as one presented by a caller.
    pub fn of_secret(secret: &str) -> Self {
        Self(*blake3::hash(secret.as_bytes()).as_bytes())
    }

    /// Creates a digest from the 32 bytes of the BLAKE3 hash.
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The 32 bytes of the BLAKE3 hash.
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

/// The text is not a digest. The error does not contain the text, since it may be a secret.
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
