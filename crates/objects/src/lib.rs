//! The object set: what operators publish, and the rules that a set must satisfy.
//!
//! Operators write TOML files; [`check`] reads them, collects every finding of all files with its
//! position, and returns an [`ObjectSet`] only when there is none. A set travels between instances
//! as [`Record`]s and [`Change`]s, which are checked again where they arrive.
//!
//! The crate holds no state of its own. Group 0 owns the published set; every instance keeps an
//! immutable copy and replaces it as a whole, so the failure of an instance loses nothing.

mod apply;
mod cross;
mod finding;
mod index;
mod kind;
mod local;
mod lost;
mod nearest;
mod object;
mod origin;
mod read;
mod record;
mod secret;
mod set;
mod source;
mod table;
mod units;

pub use crate::finding::{Finding, Findings};
pub use crate::kind::{Kind, Name, UnknownKind};
pub use crate::object::{
    Budget, Endpoint, Key, Model, NonIdempotent, Operator, Rate, Route, RouteKind, Serves, Team,
    Zone, ZoneState,
};
pub use crate::record::{Change, Record};
pub use crate::secret::{Digest, InvalidDigest, Secret, generate_secret};
pub use crate::set::ObjectSet;
pub use crate::source::{Source, check};
pub use crate::units::{ByteSize, InvalidUnit, RequestRate};
