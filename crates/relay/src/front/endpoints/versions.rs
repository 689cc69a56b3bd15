//! Software versions of endpoints, and the endpoints that a call may go to during a rollout.
//!
//! The two sides of a rollout are separate groups of the [`Fleet`](super::Fleet), so that neither
//! the load nor the free capacity of one side counts for calls that go to the other.

use std::{sync::Arc, time::Duration};

use poplarspan_policy::{
    Name,
    route::{EndpointSpec, NoRoute},
    version_split::{Side, Sides},
};

use super::{ChosenEndpoint, EndpointState, Endpoints};
use crate::{
    Publication,
    fleet_client::View,
    front::{
        placement::{EndpointFilter, PlacementRequest},
        rollouts,
    },
};

impl Endpoints {
    /// Applies changes of the rollouts, or of the endpoints that they divide.
    pub(super) fn observe_rollouts(&mut self, view: &View, are_endpoints_changed: bool) {
        let are_rules_changed = !Arc::ptr_eq(&view.rollouts, &self.rollouts);
        if are_rules_changed {
            rollouts::log_changes(&self.rollouts, &view.rollouts);
            self.rollouts = view.rollouts.clone();
            self.splits.update(self.rollouts.to_vec());
        }
        if are_rules_changed || are_endpoints_changed {
            self.refresh_sides();
        }
    }

    /// Assigns each endpoint to its side.
    pub(super) fn refresh_sides(&mut self) {
        for rule in self.rollouts.iter() {
            let of_service = self.endpoints.iter().filter(|k| k.service == rule.service);
            self.splits.note_versions(&rule.service, of_service.map(|k| k.software.as_ref()));
        }
        let mut sides: Vec<_> = (self.endpoints.iter())
            .map(|k| self.splits.side(&k.service, k.software.as_ref()))
            .collect();
        for rule in self.rollouts.iter() {
            let is_candidate = |k: &EndpointState, side: Option<Side>| {
                k.service == rule.service
                    && side == Some(Side::Target)
                    && self.fleet.accepts_calls(k.id)
            };
            let both = self.endpoints.iter().zip(&sides);
            let candidates = both.filter(|(k, side)| is_candidate(k, **side)).map(|(k, _)| &k.name);
            let used = self.splits.used_endpoints(&rule.service, candidates.collect());
            for (state, side) in self.endpoints.iter().zip(&mut sides) {
                if is_candidate(state, *side) && !used.contains(&&state.name) {
                    *side = None;
                }
            }
        }
        let mut specs = Vec::new();
        for (state, side) in self.endpoints.iter_mut().zip(sides) {
            state.side = side;
            let mut groups = vec![state.service.clone()];
            if self.splits.has_rollout(&state.service) {
                groups.extend(side.map(|side| side_group(&state.service, side)));
            }
            let spec = self.fleet.spec(state.id);
            if spec.groups != groups {
                specs.push(EndpointSpec { groups, ..spec.clone() });
            }
        }
        for spec in specs {
            self.fleet.upsert(spec);
        }
    }

    /// The endpoints that a call may go to.
    pub(super) fn sides(&self, placement: &PlacementRequest, filter: &EndpointFilter) -> Sides {
        self.splits.sides(&placement.split_call(filter))
    }

    /// The groups of endpoints that a call may go to, in order.
    pub(super) fn groups(
        &self,
        service: &Name,
        sides: Sides,
    ) -> impl Iterator<Item = Name> + use<> {
        let groups = match sides {
            Sides::Any => [Some(service.clone()), None],
            Sides::Of(first, second) => {
                [Some(side_group(service, first)), second.map(|s| side_group(service, s))]
            }
            Sides::Gone => [None, None],
        };
        groups.into_iter().flatten()
    }

    /// Chooses an endpoint of the target version for a call that may also go to other versions.
    /// Calls that wait for these must not hold it up.
    pub(crate) fn place_at_target(
        &mut self,
        placement: &PlacementRequest,
        filter: &EndpointFilter,
        publication: Option<&Publication>,
        now: Duration,
    ) -> Result<ChosenEndpoint, NoRoute> {
        match self.sides(placement, filter) {
            Sides::Of(Side::Target, Some(_)) => {
                let sides = Sides::Of(Side::Target, None);
                self.place_at(placement, filter, sides, publication, now)
            }
            _ => Err(NoRoute::Full),
        }
    }

    /// Whether the call may still be sent to the chosen endpoint.
    pub(crate) fn may_receive(
        &self,
        chosen: &ChosenEndpoint,
        placement: &PlacementRequest,
        filter: &EndpointFilter,
    ) -> bool {
        self.position(&chosen.name).is_ok_and(|at| {
            let state = &self.endpoints[at];
            state.address == chosen.address
                && state.software == chosen.software
                && self.fleet.accepts_calls(state.id)
                && self.sides(placement, filter).contains(state.side)
        })
    }

    /// Whether an endpoint of the service has the filter's software version and stays, even if it
    /// takes no calls at the moment.
    pub(crate) fn has_software(
        &self,
        placement: &PlacementRequest,
        filter: &EndpointFilter,
    ) -> bool {
        self.fitting(placement, filter).any(|k| !self.fleet.spec(k.id).leaving)
    }

    /// Whether the filter allows an endpoint of the service that stays, even if it takes no calls at
    /// the moment.
    pub(crate) fn has_candidate(
        &self,
        placement: &PlacementRequest,
        filter: &EndpointFilter,
    ) -> bool {
        let mut fitting = self.fitting(placement, filter);
        fitting.any(|k| !filter.tried.contains(&k.name) && !self.fleet.spec(k.id).leaving)
    }

    /// Whether an endpoint takes calls that the call may go to. For a call that resumes a stream, it
    /// must not have been tried.
    pub(crate) fn has_available(
        &self,
        placement: &PlacementRequest,
        filter: &EndpointFilter,
    ) -> bool {
        let is_resumed = filter.software.is_some();
        let mut fitting = self.fitting(placement, filter);
        fitting.any(|k| {
            self.fleet.is_available(k.id) && !(is_resumed && filter.tried.contains(&k.name))
        })
    }

    /// Whether the calls of a service are divided between versions.
    pub(crate) fn is_divided(&self, service: &str) -> bool {
        self.splits.has_rollout(service)
    }

    /// The endpoints whose software version may run the call.
    fn fitting<'a>(
        &'a self,
        placement: &'a PlacementRequest,
        filter: &'a EndpointFilter,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let sides = self.sides(placement, filter);
        let fits = move |k: &&EndpointState| {
            k.service == placement.service
                && sides.contains(k.side)
                && filter.fits(k.software.as_ref())
        };
        self.endpoints.iter().filter(fits)
    }
}

/// Name of the group of a service's endpoints on one side. No service has a line break in its name.
fn side_group(service: &str, side: Side) -> Name {
    match side {
        Side::Target => format!("{service}\ntarget").into(),
        Side::Others => format!("{service}\nothers").into(),
    }
}
