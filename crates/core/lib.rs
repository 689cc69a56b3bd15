//! The libraries of Poplarspan, a scheduler for agent programs, for use in other programs.
//!
//! Each module is a crate that can be used on its own:
//!
//! | Crate | Purpose | State is held by | When the holder fails |
//! |---|---|---|---|
//! | [`objects`] | parses named objects and validates them as one set | no one; sets are immutable values | nothing is lost |
//! | [`agreement`] | replicated log for several groups | the voters of each group | the group continues while a majority of its voters is available |
//! | [`ledger`] | replicated state machines for objects, membership and programs | the log of the group | another voter continues with the same state |
//! | [`policy`] | rate shares, fair queueing, routing, ramps, retry budgets | the instance that makes the decision | the state is rebuilt; rate buckets move to a successor |
//! | [`server`] | a complete instance | the instance, for its open calls | open calls are claimed again or have an unknown outcome |
//! | [`proto`] | messages between instances | no one | nothing is lost |
//!
//! [`relay`] and [`platform`] implement a second kind of fleet, which forwards calls between
//! callers and endpoints of the users' platform.
//!
//! `objects`, `policy`, `agreement` and `ledger` each have runnable examples in the folder
//! `examples` of their crate. The documentation of each crate states its units, its errors and the
//! published algorithm that it implements, if any.
//!
//! # Example
//!
//! Checks a set of objects, and finds the group that stores a program of one of its teams:
//!
//! ```
//! use poplarspan::{ledger, objects};
//!
//! let text = r#"
//! format = 1
//!
//! [[rate]]
//! name = "small"
//! rate = "5/s"
//! burst = 10
//!
//! [[team]]
//! name = "red"
//! rate = "small"
//! "#;
//! let set = objects::check(&[objects::Source::new("teams.toml", text)])?;
//! let team = set.team("red").expect("checked above");
//! let group = ledger::group_of_program(&team.name, "trip/hotel", 2);
//! assert_eq!(group, ledger::group_of_program(&team.name, "trip", 2), "sub-agents share the group");
//! # Ok::<(), objects::Findings>(())
//! ```

pub use poplarspan_agreement as agreement;
pub use poplarspan_ledger as ledger;
pub use poplarspan_objects as objects;
pub use poplarspan_platform as platform;
pub use poplarspan_policy as policy;
pub use poplarspan_proto as proto;
pub use poplarspan_relay as relay;
pub use poplarspan_server as server;
