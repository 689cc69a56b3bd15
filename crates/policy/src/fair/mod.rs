//! Fair queueing between teams, and ordering of programs within a team.
//!
//! Teams are served by start-time fair queueing (Goyal, Vin and Cheng, 1996). Each team has a start
//! tag; a call of estimated cost `c` advances it by `c / weight`, and the backlogged team with the
//! lowest tag is served next. The virtual time is the start tag of the call that was served last. A
//! team that becomes backlogged starts at the virtual time at the earliest, so it neither saves up
//! service while it is idle nor pays for service that it received while others were idle. Over any
//! interval in which two teams are backlogged, their services divided by their weights differ by at
//! most one largest call of each. Costs are in tokens (or any other unit, if all calls use the
//! same).
//!
//! Within a team, a [`ProgramOrder`] gives each call a key when it arrives, and the lowest key is
//! first. Service is counted per root program, so that a program gains nothing by using sub-agents,
//! and calls that are waiting are counted already, so that sub-agents that arrive together are
//! spread out.
//!
//! After the dispatch, [`Priorities`] let the engines order the calls of all instances.
//!
//! The state belongs to the entry instance. When the instance fails, its callers' connections are
//! lost too.

mod order;
mod priority;
mod queue;
mod service;

use std::time::Duration;

pub use order::{Fcfs, Las, LasDeadline, PendingCall, ProgramOrder};
pub use priority::{PRIORITY_LOAD_FACTOR, Priorities, PriorityConfig};
pub use queue::{FairQueue, QueueConfig};

use crate::Name;

/// A call that is to be queued.
#[derive(Clone, Debug)]
pub struct Call<T> {
    /// Team of the call; service is divided fairly between teams.
    pub team: Name,
    /// Weight of the team, at least 1.
    pub weight: u32,
    /// Program path (`root` or `root/child`), or `None` for a call without a program.
    pub program: Option<Name>,
    /// Estimated service in tokens.
    pub cost: u64,
    /// Time at which the caller gives up.
    pub deadline: Duration,
    /// Data of the user of the queue.
    pub payload: T,
}

/// Identifier of a queued call, unique within its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

/// A call that was taken out of the queue.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Identifier of the call.
    pub id: QueueId,
    /// The call.
    pub call: Call<T>,
    /// Time of arrival.
    pub queued_at: Duration,
}

/// Error of [`FairQueue::push`], with the call that was not queued.
#[derive(Debug, thiserror::Error)]
pub enum QueueFull<T> {
    /// The team has reached [`QueueConfig::max_per_team`].
    #[error("the queue of the team is full")]
    Team(Call<T>),
    /// The queue has reached [`QueueConfig::max_total`].
    #[error("the queue is full")]
    Queue(Call<T>),
}

/// Limit on the calls that this instance has in flight at a group of endpoints.
///
/// The queue checks it before it returns a call and records each call that it returns.
pub trait InFlightLimit {
    /// Returns whether one more call can be dispatched.
    fn has_room(&self, now: Duration) -> bool;
    /// Records the dispatch of a call of estimated `cost`.
    fn acquire(&mut self, cost: u64);
    /// Records the end of a call of estimated `cost`.
    fn release(&mut self, cost: u64);
}

/// A constant limit on calls in flight.
#[derive(Clone, Copy, Debug)]
pub struct FixedLimit {
    limit: u32,
    in_flight: u32,
}

impl FixedLimit {
    /// Returns a limit of `limit` calls.
    pub fn new(limit: u32) -> Self {
        Self { limit, in_flight: 0 }
    }

    /// Changes the limit. Calls in flight above it continue.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

impl InFlightLimit for FixedLimit {
    fn has_room(&self, _now: Duration) -> bool {
        self.in_flight < self.limit
    }

    fn acquire(&mut self, _cost: u64) {
        self.in_flight += 1;
    }

    fn release(&mut self, _cost: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// Returns the root of a program path.
pub fn root_program(program: &str) -> &str {
    program.split('/').next().unwrap_or(program)
}
