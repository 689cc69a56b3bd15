//! Scheduling decisions as pure functions and small state machines.
//!
//! * [`admission`]: programs that may begin, limited by how long turns take.
//! * [`rate`]: rate limits of teams, enforced over all instances.
//! * [`quota`]: rate limits of teams, divided by one allocator among the instances that lease from
//!   it.
//! * [`fair`]: fair queueing between teams and ordering of programs within a team.
//! * [`route`]: endpoint selection, with the baselines round robin and least connections.
//! * [`ramp`]: load of endpoints that have just started.
//! * [`call_limit`]: limits that endpoints name, kept by all instances together.
//! * [`cold_start`]: limit on the calls that start at a cold endpoint per second.
//! * [`retry`]: retry budget.
//! * [`containment`]: requests that crash the endpoints that run them, replicated to all instances.
//! * [`quarantine`]: the same, decided by a leader that all instances lease from.
//! * [`departures`]: endpoints that have announced that they are about to stop.
//! * [`probation`]: endpoints that fail calls, avoided by all instances.
//! * [`links`]: whether an instance has lost its own links to all endpoints.
//! * [`version_split`]: division of calls between two software versions during a rollout.
//! * [`pace`]: slow start of endpoints that have just started or recovered.
//! * [`placement`]: assignment of models to endpoints.
//! * [`rollout`]: moving the calls of a service to another software version.
//!
//! `examples/rate_shares.rs`, `examples/fair_queue.rs` and `examples/route_calls.rs` each use one
//! of them alone; `examples/compare.rs` simulates them together against baselines.
//!
//! # State and failures
//!
//! All state is in memory, belongs to the instance that holds it and is rebuilt after a crash; the
//! module docs say how. Each rate bucket has one owner in the fleet: when the owner fails, its
//! successor waits until every grant of the former owner must have expired.
//!
//! # Units
//!
//! Nothing in this crate reads a clock, opens a socket or spawns a task. Time is an argument: a
//! [`std::time::Duration`] since an arbitrary origin that is the same for all calls on one object
//! (for example the time since the process started); only [`containment`] and [`fair::Priorities`]
//! take wall-clock time, because their records and priorities leave the instance. Randomness is an
//! argument too. A token of [`rate`] admits one request; the cost of a call in [`fair`] is in model
//! tokens, and that of an endpoint in [`route`] in seconds.
//!
//! # Errors
//!
//! A refusal is a value that tells the caller what it may do next, for example
//! [`Admission::Refused`](rate::Admission::Refused) or [`NoRoute`](route::NoRoute). A violated
//! invariant panics in debug builds; in release builds it is logged and counted
//! ([`invariant_violations`]).
//!
//! # Sources
//!
//! [`fair`] is start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queuing", 1996),
//! and orders the programs within a team by least attained service. [`rate::owner_of`] is
//! rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
//! 1998). Routing among endpoints of nearly equal cost uses two random choices (Mitzenmacher, "The
//! Power of Two Choices in Randomized Load Balancing", 2001).
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use poplarspan_policy::fair::{Call, FairQueue, Fcfs, FixedLimit, QueueConfig};
//!
//! let now = Duration::ZERO;
//! let mut queue = FairQueue::new(QueueConfig::default(), Box::new(Fcfs));
//! for (team, number) in [("red", 1), ("red", 2), ("blue", 3)] {
//!     let deadline = Duration::from_secs(60);
//!     let (team, cost) = (team.into(), 100);
//!     let call = Call { team, weight: 1, program: None, cost, deadline, payload: number };
//!     queue.push(call, now).expect("the queue has room");
//! }
//! let mut limit = FixedLimit::new(2);
//! let mut served = Vec::new();
//! while let Some(entry) = queue.pop(&mut limit, now) {
//!     served.push(entry.call.payload);
//! }
//! served.sort();
//! assert_eq!(served, [1, 3], "one call of each team");
//! ```

pub mod admission;
pub mod call_limit;
pub mod cold_start;
pub mod containment;
pub mod departures;
pub mod endpoint_load;
pub mod fair;
mod invariants;
pub mod links;
pub mod pace;
pub mod placement;
pub mod probation;
pub mod quarantine;
pub mod quota;
pub mod ramp;
pub mod rate;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod version_split;

use std::sync::Arc;

pub use invariants::invariant_violations;

/// Name of a team, instance, program or endpoint.
pub type Name = Arc<str>;
