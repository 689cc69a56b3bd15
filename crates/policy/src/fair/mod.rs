//! Fair queueing between teams, and ordering of programs within a team.
//!
//! Between teams: start-time fair queueing (Goyal, Vin and Cheng, 1996). Each team has a start tag;
//! a call of estimated cost `c` advances it by `c / weight`, and the backlogged team with the
//! lowest tag is served next. The virtual time is the start tag of the call served last, and a team
//! that becomes backlogged starts at the virtual time at the earliest, so that it neither saves up
//! service while idle nor pays for service it received while others were idle. Over any interval
//! in which two teams are backlogged, their services divided by their weights differ by at most one
//! largest call of each. Costs are in tokens (any unit will do as long as all calls use the same).
//!
//! Within a team: a [`ProgramOrder`], which gives each call a key when it arrives; the lowest key is
//! first. Service is counted per root program, so that a program gains nothing by sub-agents, and
//! calls that are waiting count already, so that sub-agents that arrive together are spread out.
//!
//! Beyond the dispatch: [`Priorities`], by which the engines order the calls of all instances.
//!
//! Owner of the state: the entry instance. When it dies, its callers' connections die with it.

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
    /// Team, the unit of fairness.
    pub team: Name,
    /// Weight of the team, at least 1.
    pub weight: u32,
    /// Program path (`root` or `root/child`), or none for a call without a program.
    pub program: Option<Name>,
    /// Estimated service in tokens.
    pub cost: u64,
    /// When the caller gives up.
    pub deadline: Duration,
    /// What the caller of the queue needs to go on.
    pub payload: T,
}

/// Number of a queued call, unique within its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

/// A call that left the queue.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Its number.
    pub id: QueueId,
    /// The call.
    pub call: Call<T>,
    /// When it arrived.
    pub queued_at: Duration,
}

/// Why a call was not queued.
#[derive(Debug, thiserror::Error)]
pub enum QueueFull<T> {
    /// The team has as many calls waiting as it may.
    #[error("too many calls of the team are waiting")]
    Team(Call<T>),
    /// The queue is full.
    #[error("too many calls are waiting")]
    Queue(Call<T>),
}

/// How many more calls a group of endpoints can take from this instance now.
///
/// The queue asks before it hands out a call and reports each call that it hands out.
pub trait InFlightLimit {
    /// Whether one more call can be dispatched.
    fn has_room(&self, now: Duration) -> bool;
    /// Notes that a call of estimated `cost` is being dispatched.
    fn acquire(&mut self, cost: u64);
    /// Notes that a call of estimated `cost` has ended.
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

    /// Changes the limit; calls in flight above it go on.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Calls in flight.
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

/// Root of a program path.
pub fn root_program(program: &str) -> &str {
    program.split('/').next().unwrap_or(program)
}
