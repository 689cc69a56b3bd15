//! Results of calls, summed over all instances, and how they grew.

use std::{
    collections::VecDeque,
    ops::{Add, AddAssign},
    time::Duration,
};

use super::verdict::{self, Finding};
use crate::Name;

/// Time between two snapshots, the heartbeat interval.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(250);
/// Windows over which the versions are compared, besides the whole rollout. A version that turns
/// bad late is seen in the short one, one that fails a few calls in the long one.
const WINDOWS: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_secs(4)];
/// Ended calls, and at least four fifths of those sent, that show that the target has one endpoint.
const MIN_SINGLE: u64 = 8;
/// Maximum number of rows, against reports that name ever new routes.
const MAX_ROWS: usize = 4_096;

/// Results of the calls of one route at one endpoint of the target version, or at all endpoints of
/// other versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Route of the calls.
    pub route: Name,
    /// None for all endpoints of other versions.
    pub endpoint: Option<Name>,
    /// Calls with a complete answer that is no failure.
    pub answered: u64,
    /// Sum of their durations, without those of answers of a cold endpoint.
    pub duration: Duration,
    /// Calls that failed.
    pub failed: u64,
}

/// Number of calls by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls with a complete answer that is no failure.
    pub answered: u64,
    /// Those of them whose duration counts: not those of a cold endpoint.
    pub timed: u64,
    /// Sum of their durations.
    pub duration: Duration,
    /// Calls that failed.
    pub failed: u64,
}

impl Counts {
    /// Returns the number of calls that ended.
    pub fn ended(&self) -> u64 {
        self.answered + self.failed
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            answered: self.answered.saturating_sub(earlier.answered),
            timed: self.timed.saturating_sub(earlier.timed),
            duration: self.duration.saturating_sub(earlier.duration),
            failed: self.failed.saturating_sub(earlier.failed),
        }
    }
}

impl Add for Counts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            answered: self.answered.saturating_add(other.answered),
            timed: self.timed.saturating_add(other.timed),
            duration: self.duration.saturating_add(other.duration),
            failed: self.failed.saturating_add(other.failed),
        }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) route: Name,
    pub(super) endpoint: Option<Name>,
    pub(super) counts: Counts,
}

/// Results by route and endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    /// Sorted by route and endpoint.
    rows: Vec<Row>,
}

impl Table {
    /// Adds what an instance reports now beyond what it reported before.
    pub(super) fn add(&mut self, before: &[Evidence], now: &[Evidence]) {
        for e in now {
            let counts = increase(before.iter().find(|b| is_same_row(b, e)), e);
            match self.position(&e.route, e.endpoint.as_ref()) {
                Ok(at) => self.rows[at].counts += counts,
                Err(_) if self.rows.len() >= MAX_ROWS => {}
                Err(at) => {
                    let (route, endpoint) = (e.route.clone(), e.endpoint.clone());
                    self.rows.insert(at, Row { route, endpoint, counts });
                }
            }
        }
    }

    /// Returns the number of calls that ended at the target and at other versions.
    pub(super) fn ended(&self) -> (u64, u64) {
        let sum = |of_target: bool| {
            let rows = self.rows.iter().filter(|r| r.endpoint.is_some() == of_target);
            rows.map(|r| r.counts.ended()).sum()
        };
        (sum(true), sum(false))
    }

    /// Whether the target has had calls at one endpoint only. `None` if that is not known yet:
    /// calls at an endpoint that fails all of them end before the calls at others do.
    fn is_single(&self, sent_target: u64) -> Option<bool> {
        let mut of_target = self.rows.iter().filter(|r| r.endpoint.is_some()).peekable();
        let first = of_target.peek().and_then(|r| r.endpoint.clone());
        let (mut ended, mut is_single) = (0, true);
        for row in of_target {
            ended += row.counts.ended();
            is_single &= row.endpoint == first;
        }
        let is_known = !is_single || (ended >= MIN_SINGLE && 5 * ended >= 4 * sent_target);
        is_known.then_some(is_single)
    }

    /// Returns what was added since `earlier`, sorted by route.
    fn since(&self, earlier: &Self) -> Vec<Row> {
        let difference = |row: &Row| {
            let before = earlier.position(&row.route, row.endpoint.as_ref());
            let before = before.map(|at| earlier.rows[at].counts).unwrap_or_default();
            Row { counts: row.counts.since(&before), ..row.clone() }
        };
        self.rows.iter().map(difference).filter(|r| r.counts != Counts::default()).collect()
    }

    fn position(&self, route: &Name, endpoint: Option<&Name>) -> Result<usize, usize> {
        self.rows.binary_search_by(|r| (&r.route, r.endpoint.as_ref()).cmp(&(route, endpoint)))
    }
}

/// Returns what a row counts beyond the earlier one. The durations of answers of a cold endpoint are
/// left out, so answers that add no duration are not timed. A report holds the answers of 250 ms,
/// so hardly any row has answers of both kinds.
fn increase(earlier: Option<&Evidence>, now: &Evidence) -> Counts {
    let answered = now.answered.saturating_sub(earlier.map_or(0, |e| e.answered));
    let duration = now.duration.saturating_sub(earlier.map_or(Duration::ZERO, |e| e.duration));
    let timed = if duration.is_zero() { 0 } else { answered };
    let failed = now.failed.saturating_sub(earlier.map_or(0, |e| e.failed));
    Counts { answered, timed, duration, failed }
}

fn is_same_row(a: &Evidence, b: &Evidence) -> bool {
    a.route == b.route && a.endpoint == b.endpoint
}

/// Returns the newest known results of an instance: a report leaves rows out if there are many. Rows
/// are cumulative, so lower counts are those of an older report.
pub(super) fn merge(mut before: Vec<Evidence>, now: &[Evidence]) -> Vec<Evidence> {
    for e in now {
        match before.iter().position(|b| is_same_row(b, e)) {
            Some(at) => {
                let known = &mut before[at];
                known.answered = known.answered.max(e.answered);
                known.duration = known.duration.max(e.duration);
                known.failed = known.failed.max(e.failed);
            }
            None if before.len() < MAX_ROWS => before.push(e.clone()),
            None => {}
        }
    }
    before
}

/// Earlier results, as far back as the longest window.
#[derive(Debug, Default)]
pub(super) struct History {
    /// Oldest first. At most one is older than the longest window.
    snapshots: VecDeque<(Duration, Table)>,
}

impl History {
    pub(super) fn record(&mut self, totals: &Table, now: Duration) {
        if self.snapshots.back().is_some_and(|(at, _)| now < *at + SNAPSHOT_INTERVAL) {
            return;
        }
        self.snapshots.push_back((now, totals.clone()));
        let longest = WINDOWS[WINDOWS.len() - 1];
        while self.snapshots.get(1).is_some_and(|(at, _)| now >= *at + longest) {
            self.snapshots.pop_front();
        }
    }

    /// Returns the strongest evidence against the target version, to which `sent_target` calls were
    /// sent so far.
    pub(super) fn judge(
        &self,
        totals: &Table,
        sent_target: u64,
        started: Duration,
        now: Duration,
    ) -> Option<Finding> {
        let is_single = totals.is_single(sent_target)?;
        let whole = verdict::judge(&totals.rows, is_single, now.saturating_sub(started));
        let windows = WINDOWS.into_iter().filter_map(|window| {
            let (at, earlier) = self.snapshots.iter().rfind(|(at, _)| now >= *at + window)?;
            verdict::judge(&totals.since(earlier), is_single, now.saturating_sub(*at))
        });
        windows.chain(whole).min_by(|a, b| a.probability.total_cmp(&b.probability))
    }
}
