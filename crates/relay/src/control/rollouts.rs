//! The leader's running rollouts: collects the reports of fronts, decides, and tells the fronts
//! which calls may go to the target version.
//!
//! A rollout is completed in two steps. The fronts first stop sending calls to the other versions,
//! and the end is only recorded, and reported to operators, when all live fronts have done so: the
//! platform then stops the other endpoints without draining them.

use std::time::Duration;

use poplarspan_policy::{
    Name,
    rollout::{
        Decision, Evidence, FleetState, FrontReport, Rollout as Policy, RolloutConfig, Verdict,
    },
};
use poplarspan_proto::{
    peer::{self, RolloutStage as PeerStage},
    relay::{self as pb, RolloutStage},
};

use super::suspects::Timestamps;
use crate::{ControlState, ListedEndpoint, RolloutLimits};

/// Maximum number of rows of evidence that are read from a report.
const MAX_EVIDENCE_ROWS: usize = 32;
/// Heartbeats carry shares in millionths.
const PPM: f64 = 1e6;

/// A front as far as a rollout is concerned.
#[derive(Debug)]
struct Front {
    name: Name,
    incarnation: u64,
    /// Share that it reported last, in millionths.
    share_ppm: u32,
    sent: u64,
    /// Calls in its evidence.
    ended: u64,
    /// Open calls at endpoints of other versions, as it reported last.
    old_in_flight: u32,
    /// Whether it was told to send nothing to other versions.
    is_told: bool,
    /// Whether it has sent a heartbeat since, in which the rollout is no longer running.
    has_left_old: bool,
    is_live: bool,
}

impl Front {
    fn new(name: Name, incarnation: u64) -> Self {
        Self {
            name,
            incarnation,
            share_ppm: 0,
            sent: 0,
            ended: 0,
            old_in_flight: 0,
            is_told: false,
            has_left_old: false,
            is_live: true,
        }
    }
}

impl Front {
    /// Whether a report is older than the last one. Heartbeats may overtake each other, and lower
    /// counts would be taken for those of a restarted front, or counted again with the next report.
    fn has_overtaken(&self, report: &peer::RolloutReport) -> bool {
        // A full report leaves rows out, so that the sum of its rows may fall.
        let is_whole = report.evidence.len() < MAX_EVIDENCE_ROWS;
        report.sent < self.sent || (is_whole && ended(report) < self.ended)
    }
}

/// Number of calls in the evidence of a report.
fn ended(report: &peer::RolloutReport) -> u64 {
    let rows = report.evidence.iter().take(MAX_EVIDENCE_ROWS);
    rows.fold(0, |sum, e| sum.saturating_add(e.answered).saturating_add(e.failed))
}

/// How a rollout ends, before the end is recorded.
#[derive(Debug)]
enum End {
    /// Fronts send nothing to the versions `retired`, since `since`.
    Complete {
        retired: Vec<String>,
        since: Duration,
    },
    Revert,
}

#[derive(Debug)]
struct Running {
    id: u64,
    service: Name,
    target: Name,
    policy: Policy,
    /// Share of the calls that may go to the target, in millionths. `None` until the view was full
    /// for the first time: each front then keeps the share that it reports.
    share_ppm: Option<u32>,
    // Sorted by name. Includes lost ones, whose counts stay and which may come back.
    fronts: Vec<Front>,
    end: Option<End>,
}

/// The rollouts that run in one term. Their decisions take effect with the next heartbeats.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// None where rollouts are not offered.
    limits: Option<RolloutLimits>,
    /// Time from the Unix epoch to the origin of the leader's clock, as of the start of the term.
    /// Orders are recorded with the wall clock, which may be set back or forth within a term.
    origin: Duration,
    /// Time in which a front that was not reached has lost its lease.
    lease: Duration,
    // Sorted by id.
    running: Vec<Running>,
}

impl Rollouts {
    /// State at the start of a term. `lease` includes the drift margin.
    pub(crate) fn new(limits: Option<RolloutLimits>, lease: Duration, now: Timestamps) -> Self {
        let origin = Duration::from_millis(now.epoch_ms).saturating_sub(now.monotonic);
        Self { limits, origin, lease, running: Vec::new() }
    }

    /// Follows the rollouts of the control state.
    pub(crate) fn sync(&mut self, control_state: &ControlState) {
        let Some(limits) = self.limits else { return };
        let is_running = |r: &&pb::Rollout| r.stage() == RolloutStage::Running;
        let rollouts = control_state.rollouts();
        self.running.retain(|r| rollouts.iter().filter(is_running).any(|kept| kept.id == r.id));
        for rollout in rollouts.iter().filter(is_running) {
            let Err(at) = self.running.binary_search_by_key(&rollout.id, |r| r.id) else {
                continue;
            };
            log::info!(
                service = rollout.service.as_str(), version = rollout.target.as_str(),
                id = rollout.id, over_ms = rollout.over_ms, started_ms = rollout.started_ms;
                "rollout is running"
            );
            let cfg = RolloutConfig {
                exposure_share: limits.exposure_share,
                exposure_slack: limits.exposure_slack,
                over: Duration::from_millis(rollout.over_ms),
            };
            let running = Running {
                id: rollout.id,
                service: Name::from(&*rollout.service),
                target: Name::from(&*rollout.target),
                policy: Policy::new(cfg, Duration::from_millis(rollout.started_ms)),
                share_ppm: None,
                fronts: Vec::new(),
                end: None,
            };
            self.running.insert(at, running);
        }
    }

    /// Records what a front's heartbeat reports.
    pub(crate) fn record(&mut self, beat: &peer::Beat, now: Duration) {
        let now = self.origin + now;
        for running in &mut self.running {
            running.record(beat, now);
        }
    }

    /// What a front must know of all kept rollouts, in answer to its heartbeat. Each entry has at
    /// most 40 bytes beyond its names; at most 8 rollouts of a service are kept.
    pub(crate) fn allowances(
        &mut self,
        control_state: &ControlState,
        front: &str,
    ) -> Vec<peer::RolloutAllowance> {
        let allowance = |rollout: &pb::Rollout| {
            let (stage, share_ppm) = match rollout.stage() {
                RolloutStage::Completed => (PeerStage::Completed, PPM as u32),
                RolloutStage::Reverted => (PeerStage::Reverted, 0),
                RolloutStage::Running | RolloutStage::Unspecified => (PeerStage::Running, 0),
            };
            let mut allowance = peer::RolloutAllowance {
                id: rollout.id,
                service: rollout.service.clone(),
                target: rollout.target.clone(),
                stage: stage.into(),
                share_ppm,
                retired: rollout.retired.clone(),
            };
            if let Ok(at) = self.running.binary_search_by_key(&rollout.id, |r| r.id) {
                self.running[at].fill(&mut allowance, front);
            }
            allowance
        };
        control_state.rollouts().iter().map(allowance).collect()
    }

    /// Decides about all rollouts. Returns the commands that end rollouts; until such a command is
    /// in the control state, each call returns it again.
    ///
    /// `is_live` tells whether a front holds a lease.
    pub(crate) fn decide(
        &mut self,
        directory: DirectoryView<'_>,
        is_view_full: bool,
        is_live: impl Fn(&str) -> bool,
        now: Duration,
    ) -> Vec<pb::AdvanceRollout> {
        let now = self.origin + now;
        let lease = self.lease;
        let decide = |running: &mut Running| {
            running.note_lost_fronts(&is_live);
            running.decide(directory, is_view_full, now);
            running.finished(lease, now)
        };
        self.running.iter_mut().filter_map(decide).collect()
    }
}

impl Running {
    fn record(&mut self, beat: &peer::Beat, now: Duration) {
        let name = Name::from(&*beat.instance);
        let report = beat.rollouts.iter().find(|r| r.id == self.id);
        let at = match self.fronts.binary_search_by(|f| f.name.cmp(&name)) {
            Ok(at) if self.fronts[at].incarnation == beat.incarnation => at,
            found => {
                let front = Front::new(name.clone(), beat.incarnation);
                match found {
                    Ok(at) => self.fronts[at] = front,
                    Err(at) => self.fronts.insert(at, front),
                }
                // The policy waits for a front that does not know the rollout yet, and counts from
                // zero after a restart.
                self.policy.report(&name, FrontReport::default(), now);
                found.unwrap_or_else(|at| at)
            }
        };
        let front = &mut self.fronts[at];
        front.is_live = true;
        front.has_left_old = front.is_told && report.is_none();
        let Some(report) = report.filter(|r| !front.has_overtaken(r)) else { return };
        (front.share_ppm, front.sent) = (report.share_ppm, report.sent);
        front.ended = ended(report);
        front.old_in_flight = report.old_in_flight;
        self.policy.report(&name, read_report(report), now);
    }

    fn fill(&mut self, allowance: &mut peer::RolloutAllowance, front: &str) {
        let front = self.fronts.binary_search_by(|f| (*f.name).cmp(front));
        let front = front.ok().map(|at| &mut self.fronts[at]);
        allowance.share_ppm = match (&self.end, front) {
            (Some(End::Complete { retired, .. }), front) => {
                allowance.stage = PeerStage::Completed.into();
                allowance.retired.clone_from(retired);
                if let Some(front) = front {
                    front.is_told = true;
                }
                PPM as u32
            }
            // The end must be in the log before fronts take the rollout for reverted: they then
            // forget what they have counted.
            (Some(End::Revert), _) => 0,
            (None, front) => {
                self.share_ppm.unwrap_or_else(|| front.map_or(0, |front| front.share_ppm))
            }
        };
    }

    fn note_lost_fronts(&mut self, is_live: impl Fn(&str) -> bool) {
        for front in self.fronts.iter_mut().filter(|f| f.is_live && !is_live(&f.name)) {
            front.is_live = false;
            self.policy.remove_front(&front.name);
        }
    }

    fn decide(&mut self, directory: DirectoryView<'_>, is_view_full: bool, now: Duration) {
        if self.end.is_some() {
            return;
        }
        let fleet = directory.fleet_state(&self.service, &self.target, is_view_full);
        match self.policy.decide(&fleet, now) {
            Decision::Share(_) if !fleet.is_view_full => {}
            Decision::Share(share) => self.set_share((share.clamp(0.0, 1.0) * PPM) as u32),
            Decision::Complete => {
                let retired = directory.other_versions(&self.service, &self.target);
                log::info!(
                    service = &*self.service, version = &*self.target, id = self.id,
                    retired = retired.join(",").as_str();
                    "rollout: no front sends calls to other versions any more"
                );
                self.end = Some(End::Complete { retired, since: now });
            }
            Decision::Revert(verdict) => {
                self.log_verdict(&verdict);
                self.record_share(0.0);
                self.end = Some(End::Revert);
            }
        }
    }

    fn set_share(&mut self, share_ppm: u32) {
        // Starting at no share is no change.
        if share_ppm == self.share_ppm.replace(share_ppm).unwrap_or(0) {
            return;
        }
        let (sent, sent_target) = self.policy.sent();
        let share = f64::from(share_ppm) / PPM;
        log::info!(
            service = &*self.service, version = &*self.target, id = self.id, share, sent,
            sent_target;
            "rollout: share of the target version changed"
        );
        self.record_share(share);
    }

    fn record_share(&self, share: f64) {
        metrics::gauge!("poplarspan_relay_rollout_share", "service" => self.service.to_string())
            .set(share);
    }

    /// Logs the evidence against the target version.
    fn log_verdict(&self, verdict: &Verdict) {
        let Verdict { route, cause, target, others, window } = verdict;
        let mean_ms = |duration: Duration, calls: u64| duration.as_millis() as u64 / calls.max(1);
        let (sent, sent_target) = self.policy.sent();
        log::warn!(
            service = &*self.service, version = &*self.target, id = self.id,
            route = if route.is_empty() { "all" } else { &**route },
            cause:? = cause,
            window_ms = window.as_millis() as u64,
            target_calls = target.ended(), target_failed = target.failed,
            target_mean_ms = mean_ms(target.duration, target.answered),
            other_calls = others.ended(), other_failed = others.failed,
            other_mean_ms = mean_ms(others.duration, others.answered),
            sent, sent_target;
            "rollout: the target version is worse than the others"
        );
    }

    /// Command that ends the rollout, if nothing keeps it from ending.
    fn finished(&self, lease: Duration, now: Duration) -> Option<pb::AdvanceRollout> {
        let (stage, retired) = match self.end.as_ref()? {
            End::Revert => (RolloutStage::Reverted, Vec::new()),
            End::Complete { retired, since } => {
                // A front that still reports the rollout as running may have calls open.
                let is_expired = now >= *since + lease;
                let has_left =
                    |f: &Front| f.has_left_old || (is_expired && f.is_told && f.old_in_flight == 0);
                if !self.fronts.iter().filter(|f| f.is_live).all(has_left) {
                    return None;
                }
                (RolloutStage::Completed, retired.clone())
            }
        };
        Some(pb::AdvanceRollout { id: self.id, stage: stage.into(), retired })
    }
}

fn read_report(report: &peer::RolloutReport) -> FrontReport {
    let evidence = report.evidence.iter().take(MAX_EVIDENCE_ROWS).map(|e| Evidence {
        route: Name::from(&*e.route),
        endpoint: (!e.endpoint.is_empty()).then(|| Name::from(&*e.endpoint)),
        answered: e.answered,
        duration: Duration::from_millis(e.duration_ms),
        failed: e.failed,
    });
    FrontReport {
        share: f64::from(report.share_ppm) / PPM,
        old_in_flight: report.old_in_flight,
        sent: report.sent,
        sent_target: report.sent_target,
        evidence: evidence.collect(),
    }
}

/// The endpoint list, and how long ago it was read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DirectoryView<'a> {
    /// None until a list was read.
    pub(crate) endpoints: Option<&'a [ListedEndpoint]>,
    pub(crate) age: Duration,
}

impl DirectoryView<'_> {
    fn of_service(&self, service: &str) -> impl Iterator<Item = &ListedEndpoint> {
        self.endpoints.unwrap_or_default().iter().filter(move |e| *e.service == *service)
    }

    /// Slots of a service's endpoints. An endpoint in its cold phase is not ready, except for the
    /// largest one: it may be one that keeps restarting, which must not hold up the others.
    fn fleet_state(&self, service: &str, target: &str, is_view_full: bool) -> FleetState {
        let (mut target_slots, mut largest_cold, mut old_slots) = (0u32, 0, 0u32);
        let mut old_versions_left = false;
        for endpoint in self.of_service(service) {
            let is_target = endpoint.software.as_deref() == Some(target);
            old_versions_left |= !is_target;
            if endpoint.leaving {
                continue;
            }
            if !is_target {
                old_slots = old_slots.saturating_add(endpoint.slots);
            } else if endpoint.cold_left > self.age {
                largest_cold = largest_cold.max(endpoint.slots);
            } else {
                target_slots = target_slots.saturating_add(endpoint.slots);
            }
        }
        FleetState {
            is_view_full: is_view_full && self.endpoints.is_some(),
            target_slots: target_slots.saturating_add(largest_cold),
            old_slots,
            old_versions_left,
        }
    }

    /// Versions of a service's endpoints other than the target, sorted. Endpoints without a version
    /// are listed as the empty one.
    fn other_versions(&self, service: &str, target: &str) -> Vec<String> {
        let versions = self.of_service(service).map(|e| e.software.as_deref().unwrap_or_default());
        let mut others: Vec<_> = versions.filter(|v| *v != target).map(str::to_owned).collect();
        others.sort_unstable();
        others.dedup();
        others
    }
}
