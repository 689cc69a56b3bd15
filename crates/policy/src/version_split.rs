//! Division of a service's calls between two software versions during a rollout, as one instance
//! enforces it.
//!
//! The leader sets the share of the calls that go to the target version; see
//! [`VersionSplits::update`]. Each call has a position that depends on its key and on the target
//! version only, so that a program that has moved to the target stays there while the share grows.
//!
//! The state is in memory. After a restart the rules come with the lease, and the counts start at
//! zero.

use std::time::Duration;

use crate::Name;

/// Share of all calls, in millionths.
pub const FULL_SHARE_PPM: u32 = 1_000_000;
/// Minimum number of endpoints of the target that are used, so that the failure of one of them
/// does not look like a failure of the version.
const MIN_USED_ENDPOINTS: usize = 3;
/// Maximum number of evidence rows in a report: a row is about 100 bytes, and a report goes with
/// every heartbeat.
pub const MAX_REPORTED_ROWS: usize = 32;
/// Number of evidence rows from which on no row is added for an endpoint of the target. Endpoints
/// that come and go add rows.
const MAX_ROWS: usize = 1_024;

/// Stage of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Calls are divided between the versions.
    Running {
        /// Share of the calls that may go to the target version, in millionths.
        share_ppm: u32,
    },
    /// The retired versions get no calls.
    Completed {
        /// Versions that the target has replaced. The empty one stands for endpoints without a
        /// version.
        retired: Vec<Name>,
    },
    /// The target version gets no calls.
    Reverted,
}

/// What the leader has decided about a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Number of the rollout. Later rollouts have higher numbers.
    pub id: u64,
    /// Service.
    pub service: Name,
    /// Version that is to serve all calls in the end.
    pub target: Name,
    /// Stage.
    pub stage: Stage,
}

/// Versions of a service on one side of the division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The target version of the running rollout.
    Target,
    /// All other versions that get calls.
    Others,
}

/// Properties of a call that determine the side it goes to.
#[derive(Clone, Copy, Debug)]
pub struct SplitCall<'a> {
    /// Service.
    pub service: &'a str,
    /// Program, conversation or request that the call belongs to.
    pub key: &'a str,
    /// Version that began the stream which the call resumes.
    pub software: Option<&'a Name>,
    /// Whether an endpoint has failed the call.
    pub has_failed: bool,
}

/// Endpoints that a call may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sides {
    /// All endpoints of the service: it has no rollout.
    Any,
    /// The endpoints of one side, and of the other one if these take no calls.
    Of(Side, Option<Side>),
    /// None: the version that the call needs gets no more calls.
    Gone,
}

impl Sides {
    /// Whether the call may go to endpoints of this side. `None` stands for endpoints that get no
    /// calls.
    pub fn contains(&self, side: Option<Side>) -> bool {
        match self {
            Self::Any => true,
            Self::Of(first, second) => side.is_some_and(|s| s == *first || Some(s) == *second),
            Self::Gone => false,
        }
    }
}

/// Result of a call as evidence about the version that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The answer is complete and no server error. Without a duration if it does not show how fast
    /// the version is, as that of a cold endpoint.
    Answered(Option<Duration>),
    /// The answer was a server error, broke off, or did not arrive in time.
    Failed,
}

/// Results of the calls of one route, at one endpoint of the target version or at all endpoints of
/// other versions. All counts run from the start of the rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceRow {
    /// Route.
    pub route: Name,
    /// Endpoint of the target version, or `None` for all endpoints of other versions.
    pub endpoint: Option<Name>,
    /// Calls with a complete answer that is no failure.
    pub answered: u64,
    /// Sum of their durations.
    pub duration: Duration,
    /// Calls that failed.
    pub failed: u64,
}

/// What an instance reports about a running rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitReport {
    /// Number of the rollout.
    pub id: u64,
    /// Share that the instance enforces, in millionths.
    pub share_ppm: u32,
    /// Open calls at endpoints of other versions.
    pub old_in_flight: u32,
    /// Calls sent to the service since the rollout began.
    pub sent: u64,
    /// Those of them that were sent to the target version.
    pub sent_target: u64,
    /// At most [`MAX_REPORTED_ROWS`] rows.
    pub evidence: Vec<EvidenceRow>,
}

struct Rollout {
    rule: Rule,
    /// Set once the instance has reported that all calls go to the target and none is open
    /// elsewhere. From then on the endpoints of other versions may stop at any time.
    is_sealed: bool,
    /// Whether the service has had endpoints of other versions.
    has_others: bool,
    sent: u64,
    sent_target: u64,
    // Sorted by route and endpoint.
    rows: Vec<EvidenceRow>,
}

impl Rollout {
    fn new(rule: Rule) -> Self {
        let (sent, sent_target, rows) = (0, 0, Vec::new());
        Self { rule, is_sealed: false, has_others: false, sent, sent_target, rows }
    }

    /// Share in millionths; `None` if the rollout has ended.
    fn share_ppm(&self) -> Option<u32> {
        let Stage::Running { share_ppm } = self.rule.stage else { return None };
        Some(if self.is_sealed { FULL_SHARE_PPM } else { share_ppm })
    }

    fn row(&mut self, route: &Name, endpoint: Option<&Name>) -> Option<&mut EvidenceRow> {
        let key = (route, endpoint);
        let found = self.rows.binary_search_by(|r| (&r.route, r.endpoint.as_ref()).cmp(&key));
        match found {
            Ok(at) => Some(&mut self.rows[at]),
            // There is one row of the other versions for each route, which the target needs for
            // comparison.
            Err(_) if endpoint.is_some() && self.rows.len() >= MAX_ROWS => None,
            Err(at) => {
                let (route, endpoint) = (route.clone(), endpoint.cloned());
                let duration = Duration::ZERO;
                let row = EvidenceRow { route, endpoint, answered: 0, duration, failed: 0 };
                self.rows.insert(at, row);
                Some(&mut self.rows[at])
            }
        }
    }

    /// The rows with the most failures, then the most calls. Half of them are reserved for the
    /// other versions, because the target is only judged in comparison with these.
    fn reported_rows(&self) -> Vec<EvidenceRow> {
        let mut rows = self.rows.clone();
        rows.sort_by_key(|r| std::cmp::Reverse((r.failed, r.answered)));
        let (mut target, mut others): (Vec<_>, Vec<_>) =
            rows.into_iter().partition(|r| r.endpoint.is_some());
        let spare = (MAX_REPORTED_ROWS / 2).saturating_sub(target.len());
        others.truncate(MAX_REPORTED_ROWS / 2 + spare);
        target.truncate(MAX_REPORTED_ROWS - others.len());
        others.append(&mut target);
        others
    }
}

/// The rollouts that an instance knows, and its counts of calls.
#[derive(Default)]
pub struct VersionSplits {
    // Sorted by id.
    rollouts: Vec<Rollout>,
    /// Open calls of each service and version, sorted. Counted whether or not there is a rollout,
    /// because calls that are open at its start must have ended before it completes.
    open: Vec<((Name, Option<Name>), u32)>,
}

impl VersionSplits {
    /// Replaces the rules. A late message never brings back a reverted version, nor the versions
    /// that a completed rollout has retired.
    pub fn update(&mut self, mut rules: Vec<Rule>) {
        rules.sort_by_key(|r| r.id);
        let mut known = std::mem::take(&mut self.rollouts);
        for rule in rules {
            let at = known.iter().position(|r| r.rule.id == rule.id);
            let mut rollout = match at {
                Some(at) => known.swap_remove(at),
                None => Rollout::new(rule.clone()),
            };
            if rollout.rule.stage != Stage::Reverted {
                rollout.rule = rule;
            }
            match &rollout.rule.stage {
                Stage::Running { .. } => {}
                // The leader sends this before the end is recorded. Its successor may take the
                // rollout for running, and needs the counts.
                Stage::Completed { .. } => rollout.is_sealed = true,
                Stage::Reverted => rollout.rows.clear(),
            }
            self.rollouts.push(rollout);
        }
    }

    /// Records the versions of a service's listed endpoints.
    pub fn note_versions<'a>(
        &mut self,
        service: &str,
        versions: impl Iterator<Item = Option<&'a Name>> + Clone,
    ) {
        for at in 0..self.rollouts.len() {
            let rule = &self.rollouts[at].rule;
            if *rule.service == *service && !self.rollouts[at].has_others {
                let is_other = |v| self.side(service, v) == Some(Side::Others);
                self.rollouts[at].has_others = versions.clone().any(is_other);
            }
        }
    }

    /// Whether a service has a rollout, running or ended.
    pub fn has_rollout(&self, service: &str) -> bool {
        self.rollouts.iter().any(|r| *r.rule.service == *service)
    }

    /// The side of a version, or `None` if it gets no calls. The newest rollout that names the
    /// version decides.
    pub fn side(&self, service: &str, software: Option<&Name>) -> Option<Side> {
        let software = software.map_or("", |version| version);
        for rollout in self.rollouts.iter().rev().filter(|r| *r.rule.service == *service) {
            let is_target = *rollout.rule.target == *software;
            match &rollout.rule.stage {
                Stage::Running { .. } if is_target => return Some(Side::Target),
                Stage::Completed { .. } if is_target => return Some(Side::Others),
                Stage::Completed { retired } if is_retired(retired, software) => return None,
                Stage::Reverted if is_target => return None,
                _ => {}
            }
        }
        Some(Side::Others)
    }

    /// The endpoints that a call may go to.
    pub fn sides(&self, call: &SplitCall<'_>) -> Sides {
        let running = self.running(call.service);
        if running.is_none() && !self.has_rollout(call.service) {
            return Sides::Any;
        }
        if let Some(software) = call.software {
            let is_sealed = running.is_some_and(|r| r.is_sealed);
            return match self.side(call.service, Some(software)) {
                None => Sides::Gone,
                Some(Side::Others) if is_sealed => Sides::Gone,
                Some(side) => Sides::Of(side, None),
            };
        }
        let Some(running) = running else { return Sides::Of(Side::Others, None) };
        // A service whose endpoints all have the target version has nothing to divide.
        let share_ppm = match running.has_others {
            true => running.share_ppm().unwrap_or_default(),
            false => FULL_SHARE_PPM,
        };
        if share_ppm >= FULL_SHARE_PPM {
            Sides::Of(Side::Target, None)
        } else if !call.has_failed && position_ppm(call.key, &running.rule.target) < share_ppm {
            Sides::Of(Side::Target, Some(Side::Others))
        } else {
            Sides::Of(Side::Others, None)
        }
    }

    /// The target's endpoints that are used, of those that take calls. Each of them gets about as
    /// many calls as in full service, because some versions are bad only under load.
    pub fn used_endpoints<'a>(&self, service: &str, mut names: Vec<&'a Name>) -> Vec<&'a Name> {
        let running = self.running(service).filter(|r| r.has_others);
        let share_ppm = running.and_then(Rollout::share_ppm).unwrap_or(FULL_SHARE_PPM);
        let part = (names.len() as u64 * u64::from(share_ppm)).div_ceil(FULL_SHARE_PPM.into());
        names.sort_by_cached_key(|name| hash(&[name]));
        names.truncate((part as usize).max(MIN_USED_ENDPOINTS));
        names
    }

    /// Records that a call occupies an endpoint of this version, or waits to resume its stream.
    pub fn call_opened(&mut self, service: &Name, software: Option<&Name>) {
        let key = (service.clone(), software.cloned());
        match self.open.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(at) => self.open[at].1 += 1,
            Err(at) => self.open.insert(at, (key, 1)),
        }
    }

    /// Records that a call no longer occupies an endpoint of this version.
    pub fn call_closed(&mut self, service: &Name, software: Option<&Name>) {
        let key = (service.clone(), software.cloned());
        let Ok(at) = self.open.binary_search_by(|(k, _)| k.cmp(&key)) else { return };
        self.open[at].1 -= 1;
        if self.open[at].1 == 0 {
            self.open.remove(at);
        }
    }

    /// Records that a call was sent to an endpoint of this version. Returns the side that it counts
    /// for; `None` without a running rollout.
    pub fn call_sent(&mut self, service: &str, software: Option<&Name>) -> Option<Side> {
        let rollout = self.running_mut(service)?;
        rollout.sent += 1;
        if software == Some(&rollout.rule.target) {
            rollout.sent_target += 1;
            return Some(Side::Target);
        }
        Some(Side::Others)
    }

    /// Records the result of a call at an endpoint of this version.
    pub fn call_ended(
        &mut self,
        service: &str,
        route: &Name,
        endpoint: &Name,
        software: Option<&Name>,
        result: CallResult,
    ) {
        let Some(rollout) = self.running_mut(service) else { return };
        let is_target = software == Some(&rollout.rule.target);
        // At a cold endpoint of the other versions an answer without its duration would lower the
        // mean duration that the target is compared with.
        if !is_target && result == CallResult::Answered(None) {
            return;
        }
        let Some(row) = rollout.row(route, Some(endpoint).filter(|_| is_target)) else { return };
        match result {
            CallResult::Answered(took) => {
                row.answered += 1;
                row.duration += took.unwrap_or_default();
            }
            CallResult::Failed => row.failed += 1,
        }
    }

    /// Reports on the running rollouts, and on completed ones while calls are open at endpoints of
    /// retired versions. A report that all calls go to the target and none is open
    /// elsewhere is binding: no call goes to another version from then on, unless the rollout is
    /// reverted.
    pub fn reports(&mut self) -> Vec<SplitReport> {
        let Self { rollouts, open } = self;
        let mut reports = Vec::new();
        for rollout in rollouts {
            let Rule { id, service, target, stage } = &rollout.rule;
            let is_old = |version: &str| match stage {
                Stage::Running { .. } => version != &**target,
                Stage::Completed { retired } => is_retired(retired, version),
                Stage::Reverted => false,
            };
            let of_service = open.iter().filter(|((s, _), _)| s == service);
            let old = of_service.filter(|((_, v), _)| is_old(v.as_deref().unwrap_or("")));
            let old_in_flight = old.map(|(_, count)| count).sum();
            let share_ppm = match rollout.share_ppm() {
                Some(share_ppm) => share_ppm,
                None if old_in_flight > 0 => FULL_SHARE_PPM,
                None => continue,
            };
            let evidence = rollout.reported_rows();
            let (id, sent, sent_target) = (*id, rollout.sent, rollout.sent_target);
            rollout.is_sealed |= share_ppm >= FULL_SHARE_PPM && old_in_flight == 0;
            let report = SplitReport { id, share_ppm, old_in_flight, sent, sent_target, evidence };
            reports.push(report);
        }
        reports
    }

    fn running(&self, service: &str) -> Option<&Rollout> {
        let running = |r: &&Rollout| *r.rule.service == *service && r.share_ppm().is_some();
        self.rollouts.iter().rfind(running)
    }

    fn running_mut(&mut self, service: &str) -> Option<&mut Rollout> {
        let running = |r: &&mut Rollout| *r.rule.service == *service && r.share_ppm().is_some();
        self.rollouts.iter_mut().rfind(running)
    }
}

fn is_retired(retired: &[Name], software: &str) -> bool {
    retired.iter().any(|version| **version == *software)
}

/// Position of a key between 0 and [`FULL_SHARE_PPM`], the same at all instances. Other targets
/// move other programs first.
fn position_ppm(key: &str, target: &str) -> u32 {
    let scaled = u128::from(hash(&[key, target])) * u128::from(FULL_SHARE_PPM);
    u32::try_from(scaled >> u64::BITS).unwrap_or(FULL_SHARE_PPM)
}

fn hash(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes()).update(&[0]);
    }
    u64::from_le_bytes(*hasher.finalize().as_bytes().first_chunk().expect("32 bytes"))
}
