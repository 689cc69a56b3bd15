//! Selection of an endpoint for a call.
//!
//! The cost of an endpoint, in seconds, is its estimated queue wait, plus the time to prefill the
//! prompt tokens that it has not cached, plus a penalty for another zone. The load is the last
//! report, corrected by this instance's own calls since then ([`Fleet`]); the cached tokens are
//! estimated by a [`PrefixIndex`]. A program stays at its endpoint unless another one is clearly
//! better.
//!
//! Among endpoints of nearly equal cost, rendezvous hashing chooses one by the call's program. All
//! instances make the same choice without knowing of one another, so after a restart, or when the
//! program's next call arrives at another instance, it returns to the endpoint that has cached its
//! prompts; programs are spread evenly. For a call that belongs to nothing, the cheaper of two
//! random endpoints is chosen. In both cases, instances with the same stale report do not all
//! choose the same endpoint.
//!
//! No [`Chooser`], including the baselines, chooses an endpoint that is leaving, out of service or
//! in a disabled zone (invariants I8 and I12), or one that has reached its ramp's cap (invariant
//! I7).
//!
//! Each instance keeps its own state. After a crash it is rebuilt from load reports, cache events
//! and own dispatches.

mod choose;
mod cost;
mod fleet;
mod prefix;

pub use choose::{Choice, Chooser, LeastConnections, NoRoute, RoundRobin, RouteRequest};
pub use cost::{CostChooser, CostConfig};
pub use fleet::{EndpointId, EndpointSpec, Fleet, LoadReport};
pub use prefix::{CacheChange, CacheEvent, CachedDepths, PrefixChain, PrefixIndex};
