//! Paces that the control leader sets for endpoints that have just started, as a front
//! keeps them.
//!
//! A pace is enforced like a limit that the endpoint names. While an endpoint of a service has one,
//! the front reports the results of all endpoints of the service: the leader compares them.

use std::{sync::Arc, time::Duration};

use poplarspan_policy::Name;
use poplarspan_proto::peer;

use super::{EndpointState, Endpoints, Outcome};

/// An answer that takes this many times as long as usual counts as a failure. Of exponentially
/// distributed durations, one in four hundred does, well below the failures that halve a pace.
const SLOW_FACTOR: f64 = 6.0;
/// Weight of a new duration in the mean of an endpoint.
const DURATION_WEIGHT: f64 = 0.1;
/// Maximum number of endpoints in a report, some 2 KB.
const MAX_REPORTED: usize = 64;

/// Pace of an endpoint, and what this front has seen of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PaceState {
    /// Calls per second of all fronts together, if the leader limits them.
    pub(super) per_second: Option<f64>,
    /// Whether an endpoint of the service has a pace.
    is_reported: bool,
    answered: u32,
    failed: u32,
    /// Mean duration of its answers without a pace, in seconds.
    usual_s: Option<f64>,
}

impl EndpointState {
    /// Calls per second that the endpoint takes from all fronts together, if they are limited.
    pub(super) fn allowed_rate(&self) -> Option<f64> {
        let named = self.limit.map(|limit| limit.per_second);
        match (named, self.pace.per_second) {
            (Some(named), Some(pace)) => Some(named.min(pace)),
            (named, pace) => named.or(pace),
        }
    }
}

impl Endpoints {
    /// Applies the paces that the leader has distributed.
    pub(super) fn apply_paces(&mut self, paces: &Arc<[(Name, f64)]>) {
        let pace_of = |name: &Name| {
            let at = paces.binary_search_by(|(paced, _)| paced.cmp(name)).ok()?;
            Some(paces[at].1)
        };
        let mut services: Vec<Name> = Vec::new();
        for state in &mut self.endpoints {
            state.pace.per_second = pace_of(&state.name);
            if state.pace.per_second.is_some() && !services.contains(&state.service) {
                services.push(state.service.clone());
            }
        }
        for state in &mut self.endpoints {
            state.pace.is_reported = services.contains(&state.service);
            if !state.pace.is_reported {
                (state.pace.answered, state.pace.failed) = (0, 0);
            }
        }
    }

    /// Records the result of a call at the endpoint at this position.
    pub(super) fn note_pace_result(&mut self, at: usize, outcome: Outcome, took: Duration) {
        let took = took.as_secs_f64();
        let state = &self.endpoints[at];
        let is_failed = match outcome {
            Outcome::Answered => {
                let usual = self.usual_s(&state.service);
                usual.is_some_and(|usual| took > SLOW_FACTOR * usual)
            }
            Outcome::Refused | Outcome::Unreached | Outcome::Failed => true,
            Outcome::Abandoned | Outcome::Late => return,
        };
        let pace = &mut self.endpoints[at].pace;
        if pace.is_reported {
            pace.answered += u32::from(!is_failed);
            pace.failed += u32::from(is_failed);
        }
        if outcome == Outcome::Answered && pace.per_second.is_none() {
            let usual = pace.usual_s.get_or_insert(took);
            *usual += DURATION_WEIGHT * (took - *usual);
        }
    }

    /// Mean duration of answers of the service's endpoints without a pace, in seconds.
    fn usual_s(&self, service: &Name) -> Option<f64> {
        let peers = self.endpoints.iter().filter(|k| k.service == *service);
        let known = peers.filter(|k| k.pace.per_second.is_none()).filter_map(|k| k.pace.usual_s);
        let (sum, count) = known.fold((0.0, 0), |(sum, n), usual| (sum + usual, n + 1));
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Takes whether a call has been sent to an endpoint since the last call of this function.
    pub(crate) fn take_sends_calls(&mut self) -> bool {
        std::mem::take(&mut self.sends_calls)
    }

    /// Takes the results since the last call of endpoints whose service has a pace. Endpoints with
    /// a pace come first.
    pub(crate) fn take_paced(&mut self) -> Vec<peer::PacedResults> {
        let mut reported: Vec<_> = self
            .endpoints
            .iter_mut()
            .filter(|k| k.pace.answered > 0 || k.pace.failed > 0)
            .collect();
        reported.sort_by_key(|k| k.pace.per_second.is_none());
        let take = |state: &mut EndpointState| peer::PacedResults {
            endpoint: state.name.to_string(),
            answered: std::mem::take(&mut state.pace.answered),
            failed: std::mem::take(&mut state.pace.failed),
        };
        reported.into_iter().take(MAX_REPORTED).map(take).collect()
    }
}
