//! Kinds and names of objects.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of an object: `[a-z0-9][a-z0-9._-]{0,62}`.
pub type Name = Arc<str>;

/// Maximum length of a name in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 63;

/// Kind of an object, in the order in which records are sorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A team of callers.
    Team,
    /// A key of a team.
    Key,
    /// A request rate that teams refer to.
    Rate,
    /// A path that callers may request.
    Route,
    /// A model engine or a service.
    Endpoint,
    /// A model that endpoints serve.
    Model,
    /// An availability zone.
    Zone,
    /// Limits of a program and its sub-agents.
    Budget,
    /// A person or tool that publishes objects.
    Operator,
}

impl Kind {
    /// All kinds, in the order in which records are sorted.
    pub const ALL: [Self; 9] = [
        Self::Team,
        Self::Key,
        Self::Rate,
        Self::Route,
        Self::Endpoint,
        Self::Model,
        Self::Zone,
        Self::Budget,
        Self::Operator,
    ];

    /// The kind as written in files and records.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Team => "team",
            Self::Key => "key",
            Self::Rate => "rate",
            Self::Route => "route",
            Self::Endpoint => "endpoint",
            Self::Model => "model",
            Self::Zone => "zone",
            Self::Budget => "budget",
            Self::Operator => "operator",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text is not the name of an object kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown object kind")]
pub struct UnknownKind;

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == s).ok_or(UnknownKind)
    }
}

/// Whether `name` matches the pattern of [`Name`].
pub(crate) fn is_valid_name(name: &str) -> bool {
    let is_alnum = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    name.len() <= MAX_NAME_BYTES
        && name.as_bytes().first().is_some_and(is_alnum)
        && name.bytes().all(|b| is_alnum(&b) || matches!(b, b'.' | b'_' | b'-'))
}
