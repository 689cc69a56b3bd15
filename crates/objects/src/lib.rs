//! The object set: what operators publish, and the rules that a set must satisfy.
//!
//! Operators write TOML files; [`check`] reads them, collects every finding of all files with its
//! position, and returns an [`ObjectSet`] only when there is none. A set travels between instances
//! as [`Record`]s and [`Change`]s, which are checked again where they arrive. See
//! `examples/check_objects.rs`.
//!
//! # Owners and failures
//!
//! The crate holds no state of its own. Group 0 owns the published set; every instance keeps an
//! immutable copy and replaces it as a whole, so the failure of an instance loses nothing.
//!
//! # Units and errors
//!
//! Files state the units: durations such as `"300ms"`, rates such as `"50/s"` ([`RequestRate`]),
//! sizes such as `"64KiB"` ([`ByteSize`]); plain integers count tokens, calls and turns. What is
//! wrong with a set is reported as [`Findings`], all of them together. Lines and columns count
//! from 1. Secrets of keys never are part of a set, only their BLAKE3 digests.
//!
//! # Example
//!
//! ```
//! use poplarspan_objects::{Source, check};
//!
//! let text = r#"
//! format = 1
//!
//! [[team]]
//! name = "red"
//! rate = "small"
//! "#;
//! let findings = check(&[Source::new("teams.toml", text)]).unwrap_err();
//! assert!(findings.to_string().starts_with("teams.toml:6:8: error: unknown rate \"small\""));
//!
//! let rates = "format = 1\n[[rate]]\nname = \"small\"\nrate = \"5/s\"\nburst = 10\n";
//! let set = check(&[Source::new("teams.toml", text), Source::new("rates.toml", rates)])?;
//! assert_eq!(set.rate("small").map(|rate| rate.burst), Some(10));
//! # Ok::<(), poplarspan_objects::Findings>(())
//! ```

mod apply;
mod finding;
mod from_fields;
mod index;
mod kind;
mod nearest;
mod object;
mod object_rules;
mod origin;
mod record;
mod secret;
mod set;
mod set_rules;
mod source;
mod table;
mod units;
mod unparsed;

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
