//! Paces of endpoints that have just started, as the control leader sets them.
//!
//! An endpoint gets a pace when it appears in the list or has a new start time there while calls are
//! served. A new leader takes the first list as it is. One that leaves probation gets none: it has
//! gone on answering calls that may be repeated, and the lowest pace would take most of its load
//! away from it.

use std::{cmp::Ordering, time::Duration};

use poplarspan_policy::{
    Name,
    pace::{PaceChange, Paces},
};
use poplarspan_proto::peer;

use crate::ListedEndpoint;

/// Time over which the calls that an endpoint answers are counted.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Calls are served if a front has reported calls within this time.
const CALLS_TTL: Duration = Duration::from_secs(2);

struct KnownEndpoint {
    name: Name,
    service: Name,
    started_ms: Option<u64>,
    /// Calls answered in the window that is open, and per second in the one before.
    answered: u32,
    per_second: Option<f64>,
}

/// Paces of the endpoints in the list.
#[derive(Default)]
pub(crate) struct EndpointPaces {
    paces: Paces,
    /// Number of the list that `known` is from; 0 before the first one.
    directory: u64,
    /// Sorted by name.
    known: Vec<KnownEndpoint>,
    window_since: Duration,
    /// When a front last reported calls.
    calls_at: Option<Duration>,
}

impl EndpointPaces {
    /// Starts the paces of endpoints that are new in the list, or were started again.
    pub(crate) fn observe_list(&mut self, number: u64, listed: &[ListedEndpoint], now: Duration) {
        if number == self.directory {
            return;
        }
        let is_first = self.directory == 0;
        let is_serving = self.calls_at.is_some_and(|at| now < at + CALLS_TTL);
        let mut started = Vec::new();
        let mut known = Vec::with_capacity(listed.len());
        for endpoint in listed {
            let before = self.position(&endpoint.name).map(|at| &self.known[at]);
            let is_same = before.is_some_and(|k| k.started_ms == endpoint.started_ms);
            if !is_first && !is_same && is_serving && !endpoint.leaving {
                started.push(endpoint.name.clone());
            }
            known.push(KnownEndpoint {
                name: endpoint.name.clone(),
                service: endpoint.service.clone(),
                started_ms: endpoint.started_ms,
                answered: before.filter(|_| is_same).map_or(0, |k| k.answered),
                per_second: before.filter(|_| is_same).and_then(|k| k.per_second),
            });
        }
        known.sort_by(|a, b| a.name.cmp(&b.name));
        (self.directory, self.known) = (number, known);
        for name in started {
            self.start(&name, now);
        }
        let known = &self.known;
        self.paces.retain(|name| known.binary_search_by(|k| (*k.name).cmp(name)).is_ok());
    }

    /// Records the results that an instance reports, and changes the paces by them.
    pub(crate) fn note_results(&mut self, beat: &peer::Beat, now: Duration) {
        // Only teams with a rate report demand. It counts as well, because calls also arrive while
        // there is no endpoint to send them to, and fronts of older builds report nothing else.
        if beat.sends_calls || beat.demand.iter().any(|d| d.per_second > 0.0) {
            self.calls_at = Some(now);
        }
        for results in &beat.paced {
            self.paces.record(&results.endpoint, results.answered, results.failed, now);
            if let Some(at) = self.position(&results.endpoint) {
                let known = &mut self.known[at];
                known.answered = known.answered.saturating_add(results.answered);
            }
        }
        self.update_rates(now);
        let Self { paces, known, .. } = self;
        let paced: Vec<Name> = paces.paces().map(|(name, _)| name.clone()).collect();
        for change in paces.advance(|name| peer_rate(known, &paced, name), now) {
            log_change(&change);
        }
        metrics::gauge!("poplarspan_relay_paced_endpoints").set(paces.paces().count() as f64);
    }

    /// The paces in force, sorted by endpoint.
    pub(crate) fn list(&self) -> Vec<peer::EndpointLimit> {
        let limit = |(endpoint, per_second): (&Name, f64)| peer::EndpointLimit {
            endpoint: endpoint.to_string(),
            per_second: Some(per_second),
        };
        self.paces.paces().map(limit).collect()
    }

    fn start(&mut self, name: &Name, now: Duration) {
        let Some(change) = self.paces.start(name, now) else { return };
        let per_second = change.per_second;
        log::info!(endpoint = &**name, per_second; "pace of an endpoint begins");
        metrics::counter!("poplarspan_relay_pace_changes_total", "change" => "begins").increment(1);
        self.window_since = now;
        for known in &mut self.known {
            (known.answered, known.per_second) = (0, None);
        }
    }

    /// Closes the window in which answers are counted once it is over. Endpoints without reports
    /// have answered nothing, as all endpoints of a service with a pace are reported.
    fn update_rates(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.window_since);
        if elapsed < RATE_WINDOW {
            return;
        }
        self.window_since = now;
        for known in &mut self.known {
            let answered = std::mem::take(&mut known.answered);
            known.per_second = Some(f64::from(answered) / elapsed.as_secs_f64());
        }
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.known.binary_search_by(|k| (*k.name).cmp(name)).ok()
    }
}

/// Mean rate of answers of the other endpoints of the service that have no pace; `None` if there
/// are none, or not for long enough. `paced` is sorted.
fn peer_rate(known: &[KnownEndpoint], paced: &[Name], name: &Name) -> Option<f64> {
    let at = known.binary_search_by(|k| k.name.cmp(name)).ok()?;
    let is_peer = |k: &&KnownEndpoint| {
        k.service == known[at].service && paced.binary_search(&k.name).is_err()
    };
    let rates = known.iter().filter(is_peer).filter_map(|k| k.per_second);
    let (sum, count) = rates.fold((0.0, 0), |(sum, n), rate| (sum + rate, n + 1));
    (count > 0).then(|| sum / f64::from(count))
}

fn log_change(change: &PaceChange) {
    let PaceChange { endpoint, per_second, answered, failed, before } = change;
    let kind = match per_second {
        None => "ends",
        Some(next) => match next.total_cmp(before) {
            Ordering::Greater => "grows",
            Ordering::Less => "shrinks",
            Ordering::Equal => return,
        },
    };
    metrics::counter!("poplarspan_relay_pace_changes_total", "change" => kind).increment(1);
    log::info!(endpoint = &**endpoint, per_second, before, answered, failed; "pace of an endpoint {kind}");
}
