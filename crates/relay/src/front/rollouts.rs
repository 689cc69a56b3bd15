//! Rollouts as a front sees them: evidence about the versions, and its reports to the leader.
//!
//! Counts are kept in memory and run from the start of the rollout. A front that restarts begins
//! again at zero; the leader keeps what it has reported.

use std::{sync::Arc, time::Duration};

use poplarspan_policy::{
    Name,
    version_split::{CallResult, EvidenceRow, Rule, Side, SplitReport, Stage},
};
use poplarspan_proto::peer;

use super::{
    endpoints::Outcome,
    schedule::{Schedule, Slot},
};

/// A call that needs a software version while it is open; ends when dropped.
pub(crate) struct OpenCall {
    schedule: Arc<Schedule>,
    service: Name,
    software: Name,
}

impl OpenCall {
    pub(crate) fn new(schedule: Arc<Schedule>, service: Name, software: Name) -> Self {
        schedule.with_splits(|splits| splits.call_opened(&service, Some(&software)));
        Self { schedule, service, software }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let Self { service, software, .. } = self;
        self.schedule.with_splits(|splits| splits.call_closed(service, Some(software)));
    }
}

impl Slot {
    /// What the result of the call says about the endpoint's version; `None` if nothing. A cold
    /// endpoint is slow, and a resumed stream is short, whatever the version.
    pub(super) fn evidence(&self, took: Duration, is_cold: bool) -> Option<CallResult> {
        match self.outcome {
            Outcome::Failed => Some(CallResult::Failed),
            Outcome::Answered | Outcome::Abandoned if self.is_server_error => {
                Some(CallResult::Failed)
            }
            Outcome::Answered if self.is_resumed => None,
            Outcome::Answered => Some(CallResult::Answered((!is_cold).then_some(took))),
            // A version that is so slow that its calls run out of time must not go unnoticed.
            Outcome::Late if !is_cold => Some(CallResult::Failed),
            Outcome::Late | Outcome::Unreached | Outcome::Refused | Outcome::Abandoned => None,
        }
    }
}

impl Schedule {
    /// Reports on the running rollouts.
    pub(crate) fn rollout_reports(&self) -> Vec<peer::RolloutReport> {
        self.with_splits(|splits| splits.reports()).into_iter().map(write_report).collect()
    }
}

/// Logs the rollouts that the leader has started, advanced or dropped.
pub(super) fn log_changes(old: &[Rule], new: &[Rule]) {
    for rule in new.iter().filter(|rule| !old.contains(rule)) {
        let (service, version) = (&*rule.service, &*rule.target);
        match &rule.stage {
            Stage::Running { share_ppm } => {
                log::info!(rollout = rule.id, service, version, share_ppm; "share of a rollout");
            }
            Stage::Completed { retired } => {
                let retired = retired.join(",");
                log::info!(
                    rollout = rule.id, service, version, retired = retired.as_str();
                    "rollout completed"
                );
            }
            Stage::Reverted => {
                log::warn!(rollout = rule.id, service, version; "rollout reverted");
            }
        }
    }
    for rule in old.iter().filter(|rule| new.iter().all(|r| r.id != rule.id)) {
        let (service, version) = (&*rule.service, &*rule.target);
        log::info!(rollout = rule.id, service, version; "rollout is no longer kept");
    }
}

/// Counts a call that was sent while a rollout of its service was running.
pub(super) fn note_sent(side: Option<Side>) {
    let version = match side {
        Some(Side::Target) => "target",
        Some(Side::Others) => "others",
        None => return,
    };
    metrics::counter!("poplarspan_relay_rollout_calls_total", "version" => version).increment(1);
}

fn write_report(report: SplitReport) -> peer::RolloutReport {
    let SplitReport { id, share_ppm, old_in_flight, sent, sent_target, evidence } = report;
    let evidence = evidence.into_iter().map(write_evidence).collect();
    peer::RolloutReport { id, share_ppm, old_in_flight, sent, sent_target, evidence }
}

fn write_evidence(row: EvidenceRow) -> peer::RolloutEvidence {
    peer::RolloutEvidence {
        route: row.route.to_string(),
        endpoint: row.endpoint.as_deref().unwrap_or("").to_owned(),
        answered: row.answered,
        duration_ms: u64::try_from(row.duration.as_millis()).unwrap_or(u64::MAX),
        failed: row.failed,
    }
}
