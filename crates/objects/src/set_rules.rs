//! Rules that concern several objects.

use std::sync::Arc;

use crate::index::{Index, indexes_of};
use crate::kind::Kind;
use crate::nearest::nearest;
use crate::object::{
    Budget, Model, Object, Objects, Rate, Route, RouteKind, Serves, Team, Zone, ZoneState,
    for_each_kind,
};
use crate::object_rules::{ObjectRules, check_name};
use crate::unparsed::UnparsedNames;

/// Maximum number of suggestions per check. Each one searches all names, so only the first findings
/// get a suggestion.
const MAX_SUGGESTIONS: usize = 32;

/// An object, or the field or array element of one, that an issue is about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Location {
    pub(crate) kind: Kind,
    /// Index of the object among those of its kind.
    pub(crate) index: usize,
    pub(crate) field: &'static str,
    /// Index of the element if the field is an array.
    pub(crate) element: Option<usize>,
}

impl Location {
    fn object(kind: Kind, index: usize) -> Self {
        Self { kind, index, field: "name", element: None }
    }

    pub(crate) fn field(self, field: &'static str) -> Self {
        Self { field, element: None, ..self }
    }

    pub(crate) fn element(self, element: usize) -> Self {
        Self { element: Some(element), ..self }
    }
}

/// A violation of a rule, before its position in a file is known.
#[derive(Debug)]
pub(crate) struct Issue {
    pub(crate) at: Location,
    pub(crate) message: String,
    /// The earlier definition that this one conflicts with, if any.
    pub(crate) earlier: Option<Location>,
}

/// The kinds to check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scope([bool; Kind::ALL.len()]);

impl Scope {
    pub(crate) const ALL: Self = Self([true; Kind::ALL.len()]);
    pub(crate) const NONE: Self = Self([false; Kind::ALL.len()]);

    pub(crate) fn add(&mut self, kind: Kind) {
        self.0[kind as usize] = true;
    }

    /// Adds the kinds whose objects may refer to an object of this kind.
    pub(crate) fn add_referrers(&mut self, kind: Kind) {
        let referrers: &[Kind] = match kind {
            Kind::Team => &[Kind::Key],
            Kind::Rate | Kind::Budget => &[Kind::Team],
            Kind::Zone => &[Kind::Endpoint],
            Kind::Model => &[Kind::Endpoint, Kind::Route],
            Kind::Endpoint => &[Kind::Route],
            Kind::Key | Kind::Route | Kind::Operator => &[],
        };
        for referrer in referrers {
            self.add(*referrer);
        }
    }

    fn has(self, kind: Kind) -> bool {
        self.0[kind as usize]
    }
}

/// Checks the kinds in `scope`. The objects must be sorted by name but may contain duplicates.
pub(crate) fn verify(
    objects: &Objects,
    index: &Index,
    unparsed: &UnparsedNames,
    scope: Scope,
) -> Vec<Issue> {
    let issues = Vec::new();
    let mut cx = Checker { objects, index, unparsed, issues, suggestions_left: MAX_SUGGESTIONS };
    for_each_kind!(check_kind(scope, &mut cx));
    if scope.has(Kind::Team) {
        cx.check_teams();
    }
    if scope.has(Kind::Key) {
        cx.check_keys();
    }
    if scope.has(Kind::Operator) {
        cx.check_unique_digests(Kind::Operator, &index.operator_digests);
    }
    if scope.has(Kind::Endpoint) {
        cx.check_endpoints();
    }
    if scope.has(Kind::Route) {
        cx.check_routes();
    }
    if scope.has(Kind::Model) {
        cx.check_aliases();
    }
    if scope.has(Kind::Zone) {
        cx.check_zones();
    }
    cx.issues
}

/// Checks each object of one kind by itself, and reports duplicate names.
fn check_kind<T: ObjectRules>(scope: Scope, cx: &mut Checker<'_>) {
    if !scope.has(T::KIND) {
        return;
    }
    let objects = T::list(cx.objects);
    let mut first = 0;
    for (i, object) in objects.iter().enumerate() {
        let at = Location::object(T::KIND, i);
        check_name(object.name(), at, cx);
        object.check_object(at, cx);
        if objects[first].name() != object.name() {
            first = i;
        } else if first != i {
            let message = format!("duplicate {} `{}`", T::KIND, object.name());
            cx.report_conflict(at, Location::object(T::KIND, first), message);
        }
    }
}

/// Collects the issues of a set.
pub(crate) struct Checker<'a> {
    objects: &'a Objects,
    index: &'a Index,
    unparsed: &'a UnparsedNames,
    issues: Vec<Issue>,
    suggestions_left: usize,
}

impl<'a> Checker<'a> {
    pub(crate) fn report(&mut self, at: Location, message: String) {
        self.issues.push(Issue { at, message, earlier: None });
    }

    fn report_conflict(&mut self, at: Location, earlier: Location, message: String) {
        self.issues.push(Issue { at, message, earlier: Some(earlier) });
    }

    /// Returns a suggestion among `candidates` to append to a message, or an empty string.
    fn hint(&mut self, name: &str, candidates: impl IntoIterator<Item = &'a str>) -> String {
        let Some(left) = self.suggestions_left.checked_sub(1) else {
            return String::new();
        };
        self.suggestions_left = left;
        let near = nearest(name, candidates);
        near.map(|near| format!("; did you mean `{near}`?")).unwrap_or_default()
    }

    /// Reports a reference to an object that does not exist.
    fn check_reference<T: Object>(&mut self, name: &str, at: Location) {
        if self.objects.position::<T>(name).is_none() && !self.unparsed.has_name(name) {
            let names = T::list(self.objects).iter().map(|object| object.name().as_ref());
            let hint = self.hint(name, names);
            self.report(at, format!("unknown {} {name:?}{hint}", T::KIND));
        }
    }

    /// Reports a reference to a model that does not exist, or that uses an alias instead of the
    /// name.
    fn check_model(&mut self, name: &str, at: Location) {
        let alias = indexes_of(&self.index.model_aliases, name).next();
        match alias.map(|i| &self.objects.models[i]) {
            Some(model) if self.objects.position::<Model>(name).is_none() => {
                let message = format!("unknown model {name:?}; it is an alias of `{}`", model.name);
                self.report(at, message);
            }
            _ => self.check_reference::<Model>(name, at),
        }
    }

    fn check_teams(&mut self) {
        for (i, team) in self.objects.teams.iter().enumerate() {
            let at = Location::object(Kind::Team, i);
            self.check_reference::<Rate>(&team.rate, at.field("rate"));
            if let Some(budget) = &team.budget {
                self.check_reference::<Budget>(budget, at.field("budget"));
            }
        }
    }

    fn check_keys(&mut self) {
        for (i, key) in self.objects.keys.iter().enumerate() {
            self.check_reference::<Team>(&key.team, Location::object(Kind::Key, i).field("team"));
        }
        self.check_unique_digests(Kind::Key, &self.index.key_digests);
    }

    fn check_unique_digests(&mut self, kind: Kind, digests: &[(crate::Digest, u32)]) {
        for pair in digests.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
            let at = |i: u32| Location::object(kind, i as usize).field("digest");
            let message = format!("another {kind} has the same digest");
            self.report_conflict(at(pair[1].1), at(pair[0].1), message);
        }
    }

    fn check_endpoints(&mut self) {
        let mut addresses = Vec::with_capacity(self.objects.endpoints.len());
        for (i, endpoint) in self.objects.endpoints.iter().enumerate() {
            let at = Location::object(Kind::Endpoint, i);
            self.check_reference::<Zone>(&endpoint.zone, at.field("zone"));
            if let Serves::Models(models) = &endpoint.serves {
                for (j, model) in models.iter().enumerate() {
                    self.check_model(model, at.field("models").element(j));
                }
            }
            addresses.push((endpoint.address, i));
        }
        addresses.sort_unstable();
        for pair in addresses.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
            let at = |i| Location::object(Kind::Endpoint, i).field("address");
            let name = &self.objects.endpoints[pair[0].1].name;
            let message = format!("endpoint `{name}` has the same address {}", pair[0].0);
            self.report_conflict(at(pair[1].1), at(pair[0].1), message);
        }
    }

    fn check_routes(&mut self) {
        for (i, route) in self.objects.routes.iter().enumerate() {
            self.check_route_is_served(route, Location::object(Kind::Route, i));
        }
        for pair in self.index.route_paths.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
            let at = |i: u32| Location::object(Kind::Route, i as usize).field("path");
            let earlier = &self.objects.routes[pair[0].1 as usize];
            let message = format!("the path overlaps with route `{}`", earlier.name);
            self.report_conflict(at(pair[1].1), at(pair[0].1), message);
        }
    }

    /// Reports a route that no endpoint serves. Endpoints that are leaving or in a zone that is out
    /// count as serving, so that operators can always take the last endpoint or zone of a route out
    /// of service.
    fn check_route_is_served(&mut self, route: &Route, at: Location) {
        let (objects, index) = (self.objects, self.index);
        let is_unparsed = |name: &str| self.unparsed.has_service(name);
        match (route.kind, &route.model, &route.service) {
            (RouteKind::Chat, Some(model), _) => {
                let at = at.field("model");
                let exists = objects.position::<Model>(model).is_some() && !is_unparsed(model);
                self.check_model(model, at);
                if exists && indexes_of(&index.endpoint_models, model).len() == 0 {
                    self.report(at, format!("no endpoint serves model `{model}` of this route"));
                }
            }
            (RouteKind::Chat, None, _) if index.endpoint_models.is_empty() => {
                self.report(at.field("kind"), "no endpoint serves a model for this route".into());
            }
            (RouteKind::Service, _, Some(service))
                if indexes_of(&index.endpoint_services, service).len() == 0
                    && !is_unparsed(service) =>
            {
                let hint = self.hint(service, index.endpoint_services.iter().map(|(s, _)| &**s));
                let message = format!("no endpoint serves service {service:?} of this route{hint}");
                self.report(at.field("service"), message);
            }
            _ => {}
        }
    }

    fn check_aliases(&mut self) {
        let at = |i: usize, alias: &Arc<str>| {
            let element = self.objects.models[i].aliases.iter().position(|a| a == alias);
            Location { element, ..Location::object(Kind::Model, i).field("aliases") }
        };
        let mut issues = Vec::new();
        for (alias, i) in self.index.model_aliases.iter() {
            if let Some(named) = self.objects.position::<Model>(alias) {
                let message = format!("alias `{alias}` is the name of a model");
                issues.push((
                    at(*i as usize, alias),
                    Location::object(Kind::Model, named),
                    message,
                ));
            }
        }
        for pair in self.index.model_aliases.windows(2) {
            let [(a, i), (b, j)] = pair else { continue };
            if a == b && i != j {
                let message =
                    format!("model `{}` has the same alias", self.objects.models[*i as usize].name);
                issues.push((at(*j as usize, b), at(*i as usize, a), message));
            }
        }
        for (at, earlier, message) in issues {
            self.report_conflict(at, earlier, message);
        }
    }

    fn check_zones(&mut self) {
        let zones = &self.objects.zones;
        if !zones.is_empty() && zones.iter().all(|zone| zone.state == ZoneState::Out) {
            let at = Location::object(Kind::Zone, 0).field("state");
            self.report(at, "every zone is out; at least one must be in".into());
        }
    }
}
