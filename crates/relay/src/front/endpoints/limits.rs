//! Limits that endpoints name, as a front keeps them.
//!
//! A limit comes from an answer of the endpoint or from the leader, which distributes those that
//! any front has seen. It ends with an answer without it, or when nobody has named it for a while.

use std::time::Duration;

use poplarspan_policy::{
    Name,
    call_limit::{LIMIT_TTL, LIMIT_WINDOW},
};

use super::{Endpoints, offset};
use crate::front::placement::{EndpointFilter, PlacementRequest};

/// Limit that an endpoint has named to this front or to another one.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallLimit {
    pub(super) per_second: f64,
    /// When this front learned of it. Only the answer to a later call shows that it has ended.
    since: Duration,
    /// When it ends unless it is named again.
    pub(super) until: Duration,
    /// Whether the leader is to be told that the endpoint has named it.
    is_unreported: bool,
}

impl Endpoints {
    /// Applies the limits that the leader has distributed. Those that an endpoint has named to this
    /// front stay in force, as the leader may not know of them yet.
    pub(super) fn apply_limits(&mut self, now: Duration) {
        for (name, per_second) in self.limits.clone().iter() {
            if let Ok(at) = self.position(name) {
                self.set_limit(at, *per_second, now);
            }
        }
    }

    /// Sets or extends the limit of the endpoint at this position.
    fn set_limit(&mut self, at: usize, per_second: f64, now: Duration) -> &mut CallLimit {
        let state = &mut self.endpoints[at];
        let until = now + LIMIT_TTL;
        let new = CallLimit { per_second, since: now, until, is_unreported: false };
        let limit = state.limit.get_or_insert(new);
        (limit.per_second, limit.until) = (per_second, until);
        limit
    }

    /// Records the limit that an endpoint names in its answer to a call that was placed at
    /// `placed_at`, or that it names none.
    pub(crate) fn note_limit(
        &mut self,
        name: &Name,
        per_second: Option<f64>,
        placed_at: Duration,
        now: Duration,
    ) {
        let Ok(at) = self.position(name) else { return };
        let known = self.endpoints[at].limit;
        match per_second {
            Some(per_second) => {
                if known.is_none() {
                    log::info!(endpoint = &**name, per_second; "endpoint names a limit");
                    metrics::counter!("poplarspan_relay_endpoint_limits_total").increment(1);
                }
                self.set_limit(at, per_second, now).is_unreported = true;
            }
            None if known.is_some_and(|limit| limit.since < placed_at) => {
                log::info!(endpoint = &**name; "endpoint no longer names a limit");
                self.endpoints[at].limit = None;
                self.unreported_ends.push(name.clone());
            }
            None => {}
        }
    }

    /// Takes the limits that endpoints have named since the last call, and those that have ended.
    pub(crate) fn take_limits(&mut self) -> Vec<(Name, Option<f64>)> {
        let ended = std::mem::take(&mut self.unreported_ends).into_iter().map(|name| (name, None));
        let mut limits: Vec<_> = ended.collect();
        for state in &mut self.endpoints {
            if let Some(limit) = state.limit.as_mut().filter(|limit| limit.is_unreported) {
                limit.is_unreported = false;
                limits.push((state.name.clone(), Some(limit.per_second)));
            }
        }
        limits
    }

    /// How long a call has to wait behind `ahead` others until the limits of its endpoints allow it.
    /// `None` if an available endpoint has no limit, or there is none.
    pub(crate) fn wait_for_limits(
        &mut self,
        placement: &PlacementRequest,
        filter: &EndpointFilter,
        ahead: usize,
        now: Duration,
    ) -> Option<Duration> {
        let sides = self.sides(placement, filter);
        let Self { endpoints, fleet, rank, .. } = self;
        let mut starts = Vec::new();
        let mut is_limited = false;
        for state in endpoints.iter_mut().filter(|k| k.service == placement.service) {
            if fleet.is_available(state.id) && sides.contains(state.side) {
                is_limited = true;
                let rate = state.allowed_rate()?;
                let offset = offset(&state.name);
                starts.extend(state.limiter.next_starts(rate, *rank, offset, now));
            }
        }
        if !is_limited {
            return None;
        }
        starts.sort_unstable();
        let Some(windows) = ahead.checked_div(starts.len()) else { return Some(LIMIT_TTL) };
        let windows = u32::try_from(windows).unwrap_or(u32::MAX);
        let start = starts[ahead % starts.len()] + LIMIT_WINDOW.saturating_mul(windows);
        Some(start.saturating_sub(now))
    }
}
