//! Choice of an endpoint for a call.
//!
//! The cost of an endpoint is, in seconds, its estimated queue wait, plus the time to prefill the
//! prompt tokens that it has not cached, plus a penalty for another zone. The load is the last
//! report, corrected by this instance's own calls since ([`Fleet`]); what is cached is estimated by
//! a [`PrefixIndex`]. Among endpoints of nearly equal cost the cheaper of two random ones is taken,
//! so that instances with the same stale report do not all choose the same endpoint, and a program
//! stays where it was unless another endpoint is clearly better.
//!
//! Endpoints that are leaving, out of service or in a zone that is taken out are never chosen by
//! any [`Chooser`], the baselines included (I8, I12); nor is one above its ramp's cap (I7).
//!
//! Owner of the state: each instance for itself. After a crash it is rebuilt from load reports,
//! cache events and own dispatches.

mod choose;
mod cost;
mod fleet;
mod prefix;

pub use choose::{Choice, Chooser, LeastConnections, NoRoute, RoundRobin, RouteRequest};
pub use cost::{CostChooser, CostConfig};
pub use fleet::{EndpointId, EndpointSpec, Fleet, LoadReport};
pub use prefix::{CacheChange, CacheEvent, CachedDepths, PrefixChain, PrefixIndex};
