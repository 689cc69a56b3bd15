//! The objects that operators publish: routes, services, teams and limits, validated as one set.

use std::time::Duration;

use poplarspan_policy::{Name, rate::Limit};

use crate::Secret;

/// A set of objects, as an operator sent it.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    /// Version of the set; the highest one is in force.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services in any order.
    pub services: Vec<Service>,
    /// Teams in any order; `None` if calls need no key.
    pub teams: Option<Vec<Team>>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// How often the calls on a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the caller.
    Once,
    /// Answered with a stream of events.
    Stream {
        /// Whether another endpoint may resume the stream.
        resumable: bool,
    },
}

/// Maps matching calls to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that the route matches.
    pub host: Name,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: Name,
    /// How often the calls may run.
    pub kind: RouteKind,
    /// Maximum time until the caller gets a response.
    pub timeout: Duration,
    /// Time within which a response has its full value to the caller.
    pub target: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights. At least one weight is not zero.
    pub split: Vec<(Name, u32)>,
    /// Maximum number of endpoints that one call may run at.
    pub max_endpoints: u32,
    /// How long turns are kept; `None` if callers send the whole prompt each time.
    pub retain: Option<Duration>,
    /// Whether calls need no key.
    pub open: bool,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// How long an endpoint counts as cold after its start.
    pub cold: Duration,
    /// Calls per second that a cold endpoint can serve.
    pub cold_per_second: f64,
    /// Engine properties; `None` for plain services.
    pub engine: Option<Engine>,
}

/// Properties of a model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub cache_tokens: u64,
    /// Tokens that one event of a stream stands for.
    pub tokens_per_event: u32,
}

/// A team and its keys.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// API keys of the team. Empty in a [`Publication`], which only keeps digests.
    pub keys: Vec<Secret>,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
    /// Rate limit over all instances; `None` for no limit.
    pub limit: Option<Limit>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Time in which a request head must arrive.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head: 16 * 1024,
            max_body: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Errors in a set of objects, each with its place in the document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.join("\n"))]
pub struct ValidationErrors(pub Vec<String>);

/// BLAKE3 digest of an API key.
type KeyDigest = [u8; 32];

/// A validated set of objects with its indexes.
#[derive(Debug)]
pub struct Publication {
    /// Version of the set.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    // Sorted by host, then longest prefix first.
    routes: Vec<Route>,
    // Sorted by name.
    services: Vec<Service>,
    // Sorted by name.
    teams: Vec<Team>,
    // Sorted by digest; the second field is an index into `teams`.
    keys: Vec<(KeyDigest, usize)>,
    needs_keys: bool,
}

impl Publication {
    /// Validates a set of objects and builds the indexes.
    ///
    /// # Errors
    ///
    /// Returns all errors of the set.
    pub fn new(objects: Objects) -> Result<Self, ValidationErrors> {
        let Objects { version, mut routes, mut services, teams, limits } = objects;
        let needs_keys = teams.is_some();
        let mut teams = teams.unwrap_or_default();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        teams.sort_by(|a, b| a.name.cmp(&b.name));
        routes.sort_by(|a, b| {
            a.host
                .cmp(&b.host)
                .then(b.prefix.len().cmp(&a.prefix.len()))
                .then(a.prefix.cmp(&b.prefix))
        });
        let mut keys = key_index(&teams);
        let mut findings = Vec::new();
        check_names(&services, &teams, &mut findings);
        check_routes(&routes, &services, &mut findings);
        for pair in keys.windows(2).filter(|p| p[0].0 == p[1].0) {
            let (one, other) = (&teams[pair[0].1].name, &teams[pair[1].1].name);
            findings.push(format!("teams {one} and {other}: share a key"));
        }
        if !findings.is_empty() {
            return Err(ValidationErrors(findings));
        }
        keys.dedup();
        // Only the digests of the keys are kept.
        for team in &mut teams {
            team.keys.clear();
        }
        Ok(Self { version, limits, routes, services, teams, keys, needs_keys })
    }

    /// Finds the route of a call: the one with the host of the call and the longest matching
    /// prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self.routes.partition_point(|r| *r.host < *host);
        let of_host = self.routes[from..].iter().take_while(|r| *r.host == *host);
        of_host.into_iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Priority of the route with this name.
    pub(crate) fn route_priority(&self, name: &str) -> Option<u8> {
        self.routes.iter().find(|r| *r.name == *name).map(|r| r.priority)
    }

    /// Finds the team that a key belongs to.
    pub fn team_of(&self, key: &Secret) -> Option<&Team> {
        let digest = *blake3::hash(&key.0).as_bytes();
        let at = self.keys.binary_search_by(|(d, _)| d.cmp(&digest)).ok()?;
        Some(&self.teams[self.keys[at].1])
    }

    /// Whether calls need a key. Calls on open routes never do.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// All teams, sorted by name.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Finds a team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let at = self.teams.binary_search_by(|t| (*t.name).cmp(name)).ok()?;
        Some(&self.teams[at])
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|s| (*s.name).cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// All services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }
}

impl Route {
    /// Whether a call may run at a second endpoint after one that may have run it.
    pub(crate) fn may_run_again(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Stream { resumable } => resumable,
            RouteKind::Once => false,
        }
    }

    /// Whether calls of the route may go to the service.
    pub(crate) fn has_service(&self, service: &str) -> bool {
        self.split.iter().any(|(name, _)| **name == *service)
    }

    /// Picks the service of a call by weight. Calls with the same `hash` go to the same service.
    pub fn service(&self, hash: u64) -> &Name {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut at = hash % total.max(1);
        for (service, weight) in &self.split {
            if at < u64::from(*weight) {
                return service;
            }
            at -= u64::from(*weight);
        }
        &self.split[0].0
    }
}

fn key_index(teams: &[Team]) -> Vec<(KeyDigest, usize)> {
    let of_team = |(at, team): (usize, &Team)| {
        team.keys.iter().map(move |k| (*blake3::hash(&k.0).as_bytes(), at)).collect::<Vec<_>>()
    };
    let mut keys: Vec<_> = teams.iter().enumerate().flat_map(of_team).collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}

fn check_names(services: &[Service], teams: &[Team], findings: &mut Vec<String>) {
    for pair in services.windows(2).filter(|p| p[0].name == p[1].name) {
        findings.push(format!("service {}: defined twice", pair[0].name));
    }
    for pair in teams.windows(2).filter(|p| p[0].name == p[1].name) {
        findings.push(format!("team {}: defined twice", pair[0].name));
    }
}

fn check_routes(routes: &[Route], services: &[Service], findings: &mut Vec<String>) {
    for route in routes {
        let name = &route.name;
        for (service, _) in &route.split {
            if services.binary_search_by(|s| s.name.cmp(service)).is_err() {
                findings.push(format!("route {name}: unknown service {service}"));
            }
        }
        if route.split.iter().all(|(_, weight)| *weight == 0) {
            findings.push(format!("route {name}: its weights sum up to zero"));
        }
        if route.timeout.is_zero() {
            findings.push(format!("route {name}: its timeout is zero"));
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            findings.push(format!("route {name}: its prefix must begin and end with a slash"));
        }
    }
    for pair in routes.windows(2) {
        if pair[0].host == pair[1].host && pair[0].prefix == pair[1].prefix {
            let (one, other) = (&pair[0].name, &pair[1].name);
            findings.push(format!("routes {one} and {other}: same host and prefix"));
        }
    }
}
