//! Admission control of programs by measured delay.
//!
//! A program counts only as a whole, so turns that slow each other down until most programs are
//! late are worth less than fewer programs that end in time. The [`ProgramLimiter`] of the leader
//! holds a limit on the open turns of all fronts. It shrinks the limit while turns take longer than
//! [`TARGET_SLOWDOWN`] allows, and lets programs begin at the rate at which programs end, corrected
//! by the distance of the open turns from the limit. The [`ProgramGate`] of a front refuses first
//! turns above its allowance. Turns of programs under way are always admitted.
//!
//! If more programs arrive than may begin, the limiter states for each class (team and route) the
//! fraction that may begin. Only the leader sees enough arrivals of a class to tell a team or a kind
//! that sends more than usual from the others. The rate of each front bounds what its fraction
//! admits before the leader has seen a burst.
//!
//! All state is in memory. A new limiter knows no limit until turns are slow, and then takes the
//! open turns that fronts report. A front without answers keeps its rate for [`ANSWER_TIMEOUT`], and
//! then lowers it to a floor. Lost reports lose their counts.

mod fractions;
mod gate;
mod limiter;
mod low_times;

use std::time::Duration;

use crate::Name;

pub use gate::{FirstTurn, ProgramGate};
pub use limiter::{LimiterState, ProgramLimiter, TARGET_SLOWDOWN};

/// Time without an answer of the leader after which a front lowers its rate: four heartbeats.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of classes in a report or an allowance, which bounds their size.
pub const MAX_CLASSES: usize = 64;

/// First turns of a team on a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgramClass {
    /// Name of the team.
    pub team: Name,
    /// Name of the route.
    pub route: Name,
}

/// First turns of one class since the last report.
#[derive(Clone, Debug)]
pub struct ClassArrivals {
    /// Their class.
    pub class: ProgramClass,
    /// Priority of the class; 0 is the most urgent. The leader sets it, since it knows the
    /// publication.
    pub priority: u8,
    /// How many arrived.
    pub arrived: u32,
}

/// Load of a front since its last report.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Open turns of programs, at the time of the report.
    pub active: u32,
    /// First turns that arrived.
    pub begun: u32,
    /// First turns that were refused.
    pub refused: u32,
    /// Turns that ended.
    pub turns: u32,
    /// Sum of their durations.
    pub duration: Duration,
    /// Sum of the durations that they would have had on an idle fleet.
    pub idle: Duration,
    /// First turns that arrived, by class.
    pub arrivals: Vec<ClassArrivals>,
}

/// What a front may admit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allowance {
    /// First turns per second; `None` for no limit.
    pub per_second: Option<f64>,
    /// When a refused program may come back.
    pub retry_after: Duration,
    /// Classes of which only a fraction may begin, sorted, with the fraction.
    pub fractions: Vec<(ProgramClass, f64)>,
}

/// Moving average of a rate per second.
#[derive(Clone, Copy, Debug)]
struct RateAverage {
    per_second: f64,
    /// Time constant, in seconds.
    constant: f64,
    /// Time that the average covers so far, in seconds.
    covered: f64,
}

impl RateAverage {
    fn new(constant: f64) -> Self {
        Self { per_second: 0.0, constant, covered: 0.0 }
    }

    /// Adds `count` events within the last `elapsed` seconds. A young average weighs all of its
    /// time equally.
    fn update(&mut self, count: f64, elapsed: f64) {
        if elapsed <= 0.0 {
            return;
        }
        self.covered = (self.covered + elapsed).min(self.constant);
        let weight = (elapsed / self.covered).min(1.0);
        self.per_second += weight * (count / elapsed - self.per_second);
    }
}
