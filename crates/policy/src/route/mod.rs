//! Selection of an endpoint for a call.
//!
//! The cost of an endpoint, in seconds, is its estimated queue wait, plus the time to prefill the
//! prompt tokens that it has not cached, plus a penalty for another zone. The load is the last
//! report, corrected by this instance's own calls since then ([`Fleet`]); the cached tokens are
//! estimated by a [`PrefixIndex`]. Among endpoints of nearly equal cost the cheaper of two random
//! ones is chosen, so that instances with the same stale report do not all choose the same
//! endpoint. A program stays at its endpoint unless another one is clearly better.
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
