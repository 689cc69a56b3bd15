//! Speed of endpoints relative to each other, from the calls of all fronts.

use std::time::Duration;

use poplarspan_policy::{
    Name,
    endpoint_load::{EndedCalls, EndpointLoads, SlownessChange},
};
use poplarspan_proto::peer;

use crate::{ListedEndpoint, fleet_client::SLOWNESS_STEPS};

/// Maximum number of endpoints in an answer to a heartbeat, and in the metric.
const MAX_CONDITIONS: usize = 64;
/// Slowness from which on an endpoint is logged as slow.
const SLOW: f64 = 1.5;
/// Name of the metric of an endpoint's slowness.
const SLOWNESS_METRIC: &str = "poplarspan_relay_endpoint_slowness";

struct KnownEndpoint {
    name: Name,
    service: Name,
    started_ms: Option<u64>,
}

/// Speed of the endpoints in the list.
#[derive(Default)]
pub(crate) struct MeasuredLoads {
    loads: EndpointLoads,
    /// Number of the list that `known` is from; 0 before the first one.
    directory: u64,
    /// Sorted by name.
    known: Vec<KnownEndpoint>,
    /// Endpoints whose slowness is exported as a metric.
    exported: Vec<Name>,
}

impl MeasuredLoads {
    /// Drops endpoints that have left the list or were started again.
    pub(crate) fn observe_list(&mut self, number: u64, listed: &[ListedEndpoint]) {
        if number == self.directory {
            return;
        }
        let mut known: Vec<_> = listed
            .iter()
            .map(|e| KnownEndpoint {
                name: e.name.clone(),
                service: e.service.clone(),
                started_ms: e.started_ms,
            })
            .collect();
        known.sort_by(|a, b| a.name.cmp(&b.name));
        let before = std::mem::replace(&mut self.known, known);
        self.directory = number;
        let known = &self.known;
        let stays = |name: &Name| {
            let was = before.binary_search_by(|k| k.name.cmp(name)).ok().map(|at| &before[at]);
            let is = known.binary_search_by(|k| k.name.cmp(name)).ok().map(|at| &known[at]);
            let pair = was.zip(is);
            pair.is_some_and(|(a, b)| a.started_ms == b.started_ms && a.service == b.service)
        };
        self.loads.retain(stays);
        for name in self.exported.iter().filter(|name| !stays(name)) {
            metrics::gauge!(SLOWNESS_METRIC, "endpoint" => name.to_string()).set(1.0);
        }
    }

    /// Records the calls that an instance reports, and changes the speeds by them.
    pub(crate) fn note_work(&mut self, work: &[peer::EndpointWork], now: Duration) {
        for row in work.iter().take(MAX_CONDITIONS) {
            let Ok(at) = self.known.binary_search_by(|k| (*k.name).cmp(&row.endpoint)) else {
                continue;
            };
            let KnownEndpoint { name, service, .. } = &self.known[at];
            let ended = EndedCalls { count: row.ended, ratio: f64::from(row.ratio) };
            self.loads.record(name, service, ended, now);
        }
        for change in self.loads.advance(now) {
            self.export(&change);
        }
    }

    /// The endpoints that differ from the median of their service.
    pub(crate) fn conditions(&self) -> peer::EndpointConditions {
        let condition = |(endpoint, slowness): (Name, f64)| peer::EndpointCondition {
            endpoint: endpoint.to_string(),
            slowness: (slowness * SLOWNESS_STEPS).round() as u32,
        };
        let weights = self.loads.weights(MAX_CONDITIONS);
        peer::EndpointConditions { endpoints: weights.into_iter().map(condition).collect() }
    }

    /// Logs and exports a change.
    fn export(&mut self, change: &SlownessChange) {
        let SlownessChange { endpoint, before, slowness, calls } = change;
        let name = &**endpoint;
        match (*before >= SLOW, *slowness >= SLOW) {
            (false, true) => log::info!(endpoint = name, slowness, calls; "endpoint is slow"),
            (true, false) => {
                log::info!(endpoint = name, slowness, calls; "endpoint is no longer slow");
            }
            _ => {}
        }
        if !self.exported.contains(endpoint) {
            if self.exported.len() >= MAX_CONDITIONS {
                return;
            }
            self.exported.push(endpoint.clone());
        }
        metrics::gauge!(SLOWNESS_METRIC, "endpoint" => name.to_owned()).set(*slowness);
    }
}

impl Drop for MeasuredLoads {
    /// Resets the metric: the instance leads no longer.
    fn drop(&mut self) {
        for name in &self.exported {
            metrics::gauge!(SLOWNESS_METRIC, "endpoint" => name.to_string()).set(1.0);
        }
    }
}
