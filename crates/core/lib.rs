//! The coordination parts of Poplarspan, a scheduler for agent programs, for use in other programs.
//!
//! Each part is a crate of its own and can be used alone:
//!
//! | Part | Purpose | Owner of its state | When the owner fails |
//! |---|---|---|---|
//! | [`objects`] | named objects that refer to one another, checked as a whole | none; sets are immutable values | nothing is lost |
//! | [`agreement`] | a replicated log for several groups | the voters of each group | the other voters go on while a majority is left |
//! | [`ledger`] | replicated state machines for objects, membership and programs | the log of the group | another voter goes on with the same state |
//! | [`policy`] | rate shares, fair queueing, routing, ramps, retry budgets | the instance that decides | rebuilt; rate buckets move to a successor |
//! | [`server`] | one whole instance | the instance, for its open calls | they are claimed again or have an unknown outcome |
//! | [`proto`] | the messages between instances | none | nothing is lost |
//!
//! `objects`, `policy`, `agreement` and `ledger` each have runnable examples in the folder
//! `examples` of their crate. The page of each part states its units, its errors and, where there
//! is one, the published algorithm that it implements.
//!
//! # Example
//!
//! A set of objects is checked, and a program of one of its teams is mapped to the group that
//! holds it:
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
