//! Moving the calls of a service to endpoints of another software version.
//!
//! The load is a service whose new version may be bad: part of its answers are failures or arrive
//! several times slower, at once, later, only under load, or on one route only. Callers must not
//! pay for that, so a bad version may get only a small part of the calls, while a good one must
//! have all calls by a time limit.
//!
//! A rollout starts as a canary: a small share of the calls, sent to so few of the new endpoints
//! that each carries as much load as in full service. It lasts as long as a good version can still
//! be completed, and then the share grows in steps, each of which must be confirmed by reports that
//! were made under the step before. The versions are compared on the same routes over the same
//! seconds at every step ([`Verdict`]). Weak evidence against the target holds the share, strong
//! evidence reverts the rollout for good.
//!
//! The state belongs to the leader of the control group. The reports of the instances are
//! cumulative, so that a new leader has all evidence once its view is complete, and it resumes from
//! the highest share that a live instance reports. Evidence of instances that stopped or restarted
//! before is lost with the former leader.

mod evidence;
mod verdict;

use std::time::Duration;

use self::evidence::{History, Table};
pub use self::{
    evidence::{Counts, Evidence},
    verdict::{Cause, Verdict},
};
use crate::Name;

/// Shares of the steps of the shift. Each exposes at most some three times the calls of the one
/// before, so that evidence that was too weak at one step is strong at the next.
const SHIFT_STEPS: [f64; 3] = [0.15, 0.4, 1.0];
/// Minimum time that the shift takes, and its minimum part of the time limit: three steps of a
/// second each with views that are half a second late, and two seconds for open streams to end.
const SHIFT_MIN: Duration = Duration::from_secs(5);
const SHIFT_FRACTION: f64 = 0.35;
/// Minimum duration of a step.
const STEP_MIN: Duration = Duration::from_millis(500);
/// Minimum duration of the canary, also if endpoints of the target appear late.
const CANARY_MIN: Duration = Duration::from_secs(1);
/// How long an instance must have reported a share before its counts tell about it: most of the
/// heartbeat interval of 250 ms.
const HELD_MIN: Duration = Duration::from_millis(200);
/// Part of the exposure limit that the canary may use. The rest is for calls that are sent before
/// a decision reaches the instances.
const CANARY_FRACTION: f64 = 0.5;
/// Calls that the canary must be below its limit to be resumed, so that the share does not change
/// with every report.
const RESUME_MARGIN: f64 = 5.0;
/// Part of the old slots that the target must have before the shift.
const MIN_SLOTS_FRACTION: f64 = 0.9;
/// Shares are reported in millionths.
const SHARE_TOLERANCE: f64 = 2e-6;
/// Probability of the evidence without a difference between the versions, below which the rollout
/// is reverted. The versions are compared some 150 times within a rollout (5 routes, 3 windows,
/// 10 independent looks), so at most some hundredth of the good versions is reverted.
const REVERT_BELOW: f64 = 1e-4;
/// The same if the target has had as many calls as a bad version may have.
const EXHAUSTED_REVERT_BELOW: f64 = 2e-3;
/// Probability below which the share does not grow. More evidence at the same share clears a good
/// version within a second or two.
const HOLD_BELOW: f64 = 0.02;

/// How long a step waits for calls that take longer than those of the other versions, so that they
/// can end and count. The wait is bounded because refused calls never end either.
const LAG_WAIT: Duration = Duration::from_secs(1);

/// Limits of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutConfig {
    /// Part of the calls, from 0 to 1, that a bad version may get.
    pub exposure_share: f64,
    /// Calls that a bad version may get in addition.
    pub exposure_slack: u32,
    /// Time in which the rollout is to end.
    pub over: Duration,
}

/// What one instance has seen. All counts are cumulative since the start of the rollout.
///
/// An instance that serves but does not know the rollout yet is reported with the default: it
/// holds the rollout back until it knows the share.
#[derive(Clone, Debug, Default)]
pub struct FrontReport {
    /// Share that the instance applies, from 0 to 1.
    pub share: f64,
    /// Open calls at endpoints of other versions.
    pub old_in_flight: u32,
    /// Calls sent to the service.
    pub sent: u64,
    /// Those of them that were sent to the target version.
    pub sent_target: u64,
    /// Results of the calls.
    pub evidence: Vec<Evidence>,
}

/// What the endpoint list says about the service.
#[derive(Clone, Copy, Debug)]
pub struct FleetState {
    /// Whether every live instance has reported or has lost its lease.
    pub is_view_full: bool,
    /// Slots of the ready endpoints of the target version.
    pub target_slots: u32,
    /// Slots of the ready endpoints of other versions.
    pub old_slots: u32,
    /// Whether endpoints of other versions are listed.
    pub old_versions_left: bool,
}

/// What the leader is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Allow this share of the calls, from 0 to 1.
    Share(f64),
    /// End the rollout: the target has all calls.
    Complete,
    /// End the rollout: the target gets no further calls.
    Revert(Verdict),
}

#[derive(Debug)]
struct Front {
    name: Name,
    is_live: bool,
    last: FrontReport,
    reported: Duration,
    /// Since when it has reported the share that it reported last.
    held_since: Duration,
}

/// A running rollout.
///
/// Times are since an arbitrary origin, before the start of the rollout.
#[derive(Debug)]
pub struct Rollout {
    cfg: RolloutConfig,
    started: Duration,
    /// Sorted by name.
    fronts: Vec<Front>,
    sent: u64,
    sent_target: u64,
    totals: Table,
    history: History,
    /// None until the view was full for the first time.
    share: Option<f64>,
    share_since: Duration,
    /// Whether endpoints of other versions were listed.
    has_seen_old: bool,
    end: Option<Decision>,
}

impl Rollout {
    /// Returns a rollout that was ordered at `started`, which may be before this leader's time.
    pub fn new(cfg: RolloutConfig, started: Duration) -> Self {
        Self {
            cfg,
            started,
            fronts: Vec::new(),
            sent: 0,
            sent_target: 0,
            totals: Table::default(),
            history: History::default(),
            share: None,
            share_since: started,
            has_seen_old: false,
            end: None,
        }
    }

    /// Records the report of an instance. Counts that are lower than before are those of an
    /// instance that has restarted, and add to the earlier ones.
    pub fn report(&mut self, front: &Name, report: FrontReport, now: Duration) {
        let at = match self.fronts.binary_search_by(|f| f.name.cmp(front)) {
            Ok(at) => at,
            Err(at) => {
                let (name, last) = (front.clone(), FrontReport::default());
                let front = Front { name, is_live: true, last, reported: now, held_since: now };
                self.fronts.insert(at, front);
                at
            }
        };
        let front = &mut self.fronts[at];
        if report.sent < front.last.sent || report.sent_target < front.last.sent_target {
            front.last = FrontReport { share: front.last.share, ..FrontReport::default() };
        }
        self.sent += report.sent - front.last.sent;
        self.sent_target += report.sent_target - front.last.sent_target;
        self.totals.add(&front.last.evidence, &report.evidence);
        if !front.is_live || !is_same_share(front.last.share, report.share) {
            front.held_since = now;
        }
        let evidence = evidence::merge(std::mem::take(&mut front.last.evidence), &report.evidence);
        front.last = FrontReport { evidence, ..report };
        (front.is_live, front.reported) = (true, now);
    }

    /// Records that the lease of an instance has expired. Its counts stay.
    pub fn remove_front(&mut self, front: &Name) {
        if let Ok(at) = self.fronts.binary_search_by(|f| f.name.cmp(front)) {
            self.fronts[at].is_live = false;
        }
    }

    /// Returns the calls sent to the service and to the target so far, as reported.
    pub fn sent(&self) -> (u64, u64) {
        (self.sent, self.sent_target)
    }

    /// Decides from the reports so far. Until the view is full, the share is the highest one that
    /// a live instance reports, and each instance is to keep the share that it reports. Once ended,
    /// a rollout stays ended.
    pub fn decide(&mut self, fleet: &FleetState, now: Duration) -> Decision {
        if let Some(end) = &self.end {
            return end.clone();
        }
        if !fleet.is_view_full {
            return Decision::Share(self.share.unwrap_or(self.reported_share()));
        }
        self.has_seen_old |= fleet.old_versions_left;
        self.history.record(&self.totals, now);
        let share = match self.share {
            Some(share) => share,
            None => {
                let share = self.reported_share();
                self.set_share(share, now);
                share
            }
        };
        let finding = self.history.judge(&self.totals, self.sent_target, self.started, now);
        let is_suspected = finding.as_ref().is_some_and(|f| f.probability < HOLD_BELOW);
        let revert_below = if self.is_exhausted() { EXHAUSTED_REVERT_BELOW } else { REVERT_BELOW };
        match finding {
            Some(finding) if finding.probability < revert_below => {
                self.end(Decision::Revert(finding.verdict))
            }
            _ if !is_suspected && share >= 1.0 && self.has_left_old() => {
                self.end(Decision::Complete)
            }
            _ => {
                let next = self.next_share(share, is_suspected, fleet, now);
                self.set_share(next, now);
                Decision::Share(next)
            }
        }
    }

    fn end(&mut self, decision: Decision) -> Decision {
        self.end = Some(decision.clone());
        decision
    }

    fn live_fronts(&self) -> impl Iterator<Item = &Front> {
        self.fronts.iter().filter(|f| f.is_live)
    }

    fn reported_share(&self) -> f64 {
        self.live_fronts().map(|f| f.last.share).fold(0.0, f64::max).clamp(0.0, 1.0)
    }

    fn set_share(&mut self, share: f64, now: Duration) {
        if self.share != Some(share) {
            (self.share, self.share_since) = (Some(share), now);
        }
    }

    /// Number of calls that a bad version may have had so far.
    fn exposure_limit(&self) -> f64 {
        self.cfg.exposure_share * self.sent as f64 + f64::from(self.cfg.exposure_slack)
    }

    fn is_exhausted(&self) -> bool {
        self.sent_target as f64 > self.exposure_limit()
    }

    fn next_share(&self, share: f64, is_suspected: bool, fleet: &FleetState, now: Duration) -> f64 {
        if self.is_everywhere(fleet) {
            return 1.0;
        }
        let canary = CANARY_FRACTION * self.cfg.exposure_share;
        let is_shifting = share > canary + SHARE_TOLERANCE;
        let may_grow = share > 0.0
            && !is_suspected
            && has_slots(fleet)
            && self.is_held(share, now)
            && (is_shifting || now >= self.shift_start())
            && (now >= self.lag_limit() || !self.is_lagging(share));
        if may_grow {
            let next = SHIFT_STEPS.into_iter().find(|s| *s > share + SHARE_TOLERANCE);
            return next.unwrap_or(1.0);
        }
        if is_shifting { share } else { self.canary_share(share, canary, fleet) }
    }

    /// Whether the target was the only version from the start, so that there is nothing to compare it
    /// with. Other endpoints that left the list later do not count: the target would get all calls
    /// before it was judged.
    fn is_everywhere(&self, fleet: &FleetState) -> bool {
        let has_others = self.has_seen_old || self.sent > self.sent_target;
        fleet.target_slots > 0 && !has_others
    }

    fn canary_share(&self, share: f64, canary: f64, fleet: &FleetState) -> f64 {
        let margin = if share > 0.0 { 0.0 } else { RESUME_MARGIN };
        let used = self.sent_target as f64 + margin;
        let has_room = used <= CANARY_FRACTION * self.exposure_limit();
        if fleet.target_slots > 0 && has_room { canary } else { 0.0 }
    }

    fn shift_start(&self) -> Duration {
        let needed = SHIFT_MIN.max(self.cfg.over.mul_f64(SHIFT_FRACTION));
        let start = (self.started + self.cfg.over).saturating_sub(needed);
        start.max(self.share_since + CANARY_MIN)
    }

    /// When a step no longer waits for slow calls.
    fn lag_limit(&self) -> Duration {
        self.shift_start() + LAG_WAIT
    }

    /// Whether more calls of the target are open than its share explains. A slow version shows by
    /// its open calls before it shows by its answers.
    fn is_lagging(&self, share: f64) -> bool {
        let (ended_target, ended_others) = self.totals.ended();
        let open = self.sent_target.saturating_sub(ended_target);
        let open_others = (self.sent - self.sent_target).saturating_sub(ended_others);
        let usual = open_others as f64 * share / (1.0 - share).max(f64::EPSILON);
        verdict::is_more_than_usual(open, usual, HOLD_BELOW)
    }

    /// Whether the reports of all live instances were made under the share.
    fn is_held(&self, share: f64, now: Duration) -> bool {
        now >= self.share_since + STEP_MIN
            && self.live_fronts().all(|f| {
                is_same_share(f.last.share, share) && f.reported >= f.held_since + HELD_MIN
            })
    }

    /// Whether no instance sends calls to other versions, and none is open there.
    fn has_left_old(&self) -> bool {
        self.live_fronts().all(|f| is_same_share(f.last.share, 1.0) && f.last.old_in_flight == 0)
    }
}

fn is_same_share(a: f64, b: f64) -> bool {
    (a - b).abs() <= SHARE_TOLERANCE
}

fn has_slots(fleet: &FleetState) -> bool {
    let needed = MIN_SLOTS_FRACTION * f64::from(fleet.old_slots);
    fleet.target_slots > 0 && f64::from(fleet.target_slots) >= needed
}
