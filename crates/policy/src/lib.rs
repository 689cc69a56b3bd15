//! Decisions of the scheduler as pure functions and small state machines.
//!
//! Nothing in this crate reads a clock, opens a socket or spawns a task. Time is an argument: a
//! [`std::time::Duration`] since an arbitrary start that is the same for all calls on one object
//! (for example the elapsed time of the runtime's clock since the process started). Randomness is
//! an argument too. All state belongs to the instance that holds it and is rebuilt after a crash;
//! the module comments say how.
//!
//! * [`rate`]: rate limits of teams, counted over all instances.
//! * [`fair`]: fair queueing between teams and ordering of programs within a team.
//! * [`route`]: choice of an endpoint, with the baselines round robin and least connections.
//! * [`ramp`]: load of endpoints that have just started.
//! * [`retry`]: budget for retries.
//! * [`containment`]: requests that crash the endpoints that run them.
//! * [`placement`]: models on endpoints.

mod check;
pub mod containment;
pub mod fair;
pub mod placement;
pub mod ramp;
pub mod rate;
pub mod retry;
pub mod route;

use std::sync::Arc;

pub use check::violations;

/// Name of a team, instance, program or endpoint.
pub type Name = Arc<str>;
