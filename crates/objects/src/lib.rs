//! The object set: the configuration objects that operators publish, and the rules that a set must
//! satisfy.
//!
//! Operators write TOML files. [`check`] reads them and returns an [`ObjectSet`], or all findings of
//! all files with their positions. Sets are sent between instances as [`Record`]s and [`Change`]s,
//! which the receiver checks again. See `examples/check_objects.rs`.
//!
//! # State and failures
//!
//! The crate has no state of its own. The published set is stored in group 0. Every instance keeps
//! an immutable copy, which it replaces as a whole, so the failure of an instance loses nothing.
//!
//! # Units and errors
//!
//! Values in files carry their unit: durations such as `"300ms"`, rates such as `"50/s"`
//! ([`RequestRate`]) and sizes such as `"64KiB"` ([`ByteSize`]). Plain integers are weights and
//! counts, such as tokens, requests or turns. All errors of a set are reported together as
//! [`Findings`]. Lines and columns count from 1. A set never contains the secrets of keys, only
//! their BLAKE3 digests.
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
