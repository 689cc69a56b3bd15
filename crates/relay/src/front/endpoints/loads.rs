//! Speed of endpoints, as a front reports it to the control leader and learns it from there.

use std::time::Duration;

use poplarspan_policy::{
    Name,
    endpoint_load::{EndedCalls, ObservedCalls, faded},
};
use poplarspan_proto::peer;

use super::Endpoints;
use crate::fleet_client::Slowness;

/// Maximum number of endpoints in a report, some 2 KB.
const MAX_REPORTED: usize = 64;
/// Part of a call's duration that does not depend on its tokens, as a number of generated tokens.
const BASE_TOKENS: f64 = 16.0;

/// What a front has seen of the speed of endpoints, and what the leader has told it.
#[derive(Default)]
pub(super) struct SpeedState {
    observed: ObservedCalls,
    told: Slowness,
    /// Whether an endpoint of the fleet may have a slowness other than 1.
    is_applied: bool,
}

/// A call that an endpoint answered.
pub(crate) struct AnsweredCall<'a> {
    pub(crate) route: &'a Name,
    pub(crate) endpoint: &'a Name,
    /// Estimated cost of the whole call in tokens.
    pub(crate) cost: u64,
    pub(crate) took: Duration,
}

impl Endpoints {
    /// Takes over what the leader has told.
    pub(super) fn observe_slowness(&mut self, told: &Slowness, is_new_list: bool, now: Duration) {
        let is_changed = told.endpoints != self.speed.told.endpoints;
        self.speed.told = told.clone();
        if is_new_list {
            let Self { endpoints, speed, .. } = self;
            let position = |name: &Name| endpoints.binary_search_by(|k| k.name.cmp(name));
            speed.observed.retain(|name| position(name).is_ok());
        }
        if is_changed || is_new_list {
            self.apply_slowness(now);
        }
    }

    /// Sets the slowness of all endpoints by the age of what the leader has told.
    pub(super) fn apply_slowness(&mut self, now: Duration) {
        let Self { endpoints, speed, fleet, .. } = self;
        let told = &speed.told;
        if told.endpoints.is_empty() && !speed.is_applied {
            return;
        }
        let age = now.saturating_sub(told.at);
        for state in endpoints {
            let found = told.endpoints.binary_search_by(|(name, _)| name.cmp(&state.name));
            let slowness = found.map_or(1.0, |at| faded(told.endpoints[at].1, age));
            fleet.set_slowness(state.id, slowness);
        }
        speed.is_applied = !told.endpoints.is_empty();
    }

    /// Records how long an endpoint took for a call.
    pub(crate) fn note_speed(&mut self, call: &AnsweredCall<'_>) {
        let work = call.cost as f64 + BASE_TOKENS;
        self.speed.observed.record(call.route, call.endpoint, work, call.took);
    }

    /// Takes the calls that ended since the last call, for the endpoints with the most of them.
    pub(crate) fn take_work(&mut self) -> Vec<peer::EndpointWork> {
        let row = |(endpoint, ended): (Name, EndedCalls)| peer::EndpointWork {
            endpoint: endpoint.to_string(),
            ended: ended.count,
            ratio: ended.ratio as f32,
        };
        self.speed.observed.take(MAX_REPORTED).into_iter().map(row).collect()
    }
}
