//! The coordination parts of Poplarspan, a scheduler for agent programs, for use in other programs.
//!
//! Each part can be used alone:
//!
//! - [`objects`]: a set of named objects that refer to one another, checked as a whole.
//! - [`agreement`]: a replicated log for several groups.
//! - [`ledger`]: the replicated state machines for objects, membership and programs.
//! - [`policy`]: rate shares, fair queueing, routing, ramps, retry budgets.
//! - [`server`]: one whole instance.

pub use poplarspan_agreement as agreement;
pub use poplarspan_ledger as ledger;
pub use poplarspan_objects as objects;
pub use poplarspan_policy as policy;
pub use poplarspan_proto as proto;
pub use poplarspan_server as server;
