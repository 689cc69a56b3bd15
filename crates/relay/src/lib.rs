//! A relay fleet: instances that forward calls of agent programs to endpoints, control replicas that
//! keep what operators publish, and stores that keep programs and their turns.
//!
//! The protocols of callers, endpoints and operators are behind [`Protocol`]; this crate knows calls,
//! teams, programs, endpoints and zones only.
//!
//! # Owners and failures
//!
//! * What operators publish belongs to a replicated log on the control replicas, and survives any
//!   minority of them. Its leader also owns, in memory, the list of endpoints, the shares of each
//!   team's rate, the list of live instances and the suspects among requests; a successor rebuilds
//!   them from the next reports.
//! * Budgets and kept turns belong to replicated logs on the stores, one for each group of programs.
//! * A front owns the calls in flight, its queues and its connections, which are lost with it. It
//!   serves calls only under a lease from the leader of the control replicas, which is counted from
//!   when the front asked for it and includes time for which the machine was suspended.
//!
//! # Units and errors
//!
//! Times are [`Duration`](std::time::Duration)s, sizes are in bytes, lengths of prompts in tokens.
//! An answer of this crate's own with the status 429 or 503 means that the call has not run and
//! never will; 502 and 504 mean that it is not known.

mod call;
mod control;
mod control_state;
mod fleet_client;
mod front;
mod groups;
mod protocol;
mod publication;
mod readiness;
mod replica;
mod run;
mod settings;
mod store;
mod turns;

pub use call::{
    CallHead, Forward, ListPage, ListedEndpoint, Load, OperatorRequest, ProgramHead, PromptPart,
    ResponseHead, Secret,
};
pub use control_state::{BlockedRequest, ControlState};
pub use front::events::{Event, EventReader};
pub use groups::{group_count, group_of, initial_voters, preferred_leader};
pub use poplarspan_policy::rate::Limit;
pub use protocol::{DecodeError, Protocol};
pub use publication::{
    CallerLimits, Engine, Objects, Publication, Route, RouteKind, Service, Team, ValidationErrors,
};
pub use replica::{
    membership::{Members, MembershipChange},
    replica_id,
};
pub use run::{Relay, RunningInstance};
pub use settings::{Bounds, InstanceRole, Settings};
pub use turns::Turns;

/// Time of day in milliseconds. It only decides when what is kept expires, with a margin for clocks
/// that differ.
fn now_ms() -> u64 {
    let elapsed = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
