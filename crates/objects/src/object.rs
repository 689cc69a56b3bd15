//! The typed objects of a set.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::kind::{Kind, Name};
use crate::secret::Digest;
use crate::units::{self, ByteSize, RequestRate};

/// A team of callers, which has its own rate and its own fair share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Name of the team's rate.
    pub rate: Name,
    /// Name of the budget of each of the team's programs; `None` means no limit.
    pub budget: Option<Name>,
    /// Weight in the fair queue, 1 to 1000.
    pub weight: u32,
}

/// A key with which callers of a team identify themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the key.
    pub name: Name,
    /// Name of the team that the key belongs to.
    pub team: Name,
    /// Digest of the key's secret.
    pub digest: Digest,
}

/// A request rate with the burst that it permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Name of the rate.
    pub name: Name,
    /// Sustained requests per second.
    pub rate: RequestRate,
    /// Requests permitted at once, at least 1.
    pub burst: u32,
}

/// What a route leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Chat completions of a model; the path is matched exactly.
    Chat,
    /// A plain service; the path is a prefix.
    Service,
}

/// Which requests of a route must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NonIdempotent {
    /// No request.
    None,
    /// Every request.
    All,
    /// Requests with one of these methods, in upper case and sorted.
    Methods(Vec<Arc<str>>),
}

/// A path that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Path: exact for chat routes, a prefix of whole segments for service routes.
    pub path: Arc<str>,
    /// What the route leads to.
    pub kind: RouteKind,
    /// Model of a chat route; when absent, the request body names the model.
    pub model: Option<Name>,
    /// Service of a service route.
    pub service: Option<Name>,
    /// Whether the route needs no key.
    pub open: bool,
    /// Which requests must run at most once.
    pub non_idempotent: NonIdempotent,
    /// Longest time that a request may take.
    #[serde(with = "units::duration")]
    pub timeout: Duration,
    /// Largest request body.
    pub max_body: ByteSize,
    /// Most requests that may wait at one instance.
    pub max_queue: u32,
}

impl Route {
    /// Whether a request with this method must run at most once.
    pub fn is_non_idempotent(&self, method: &str) -> bool {
        match &self.non_idempotent {
            NonIdempotent::None => false,
            NonIdempotent::All => true,
            NonIdempotent::Methods(methods) => {
                methods.binary_search_by(|m| m.as_ref().cmp(method)).is_ok()
            }
        }
    }
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Serves {
    /// A model engine with these models, sorted by name.
    Models(Vec<Name>),
    /// A plain service of this name.
    Service(Name),
}

/// A model engine or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: Name,
    /// Name of its zone.
    pub zone: Name,
    /// Address at which it accepts HTTP.
    pub address: SocketAddr,
    /// What it serves.
    pub serves: Serves,
    /// Concurrent requests when warm.
    pub capacity: u32,
    /// Concurrent requests when cold.
    pub cold_capacity: u32,
    /// Time from cold to warm.
    #[serde(with = "units::duration")]
    pub ramp: Duration,
    /// Whether it rejects orders with a stale fencing number.
    pub fencing: bool,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

impl Endpoint {
    /// Whether the endpoint serves the model with this name. Aliases are not resolved.
    pub fn serves_model(&self, model: &str) -> bool {
        match &self.serves {
            Serves::Models(models) => models.binary_search_by(|m| m.as_ref().cmp(model)).is_ok(),
            Serves::Service(_) => false,
        }
    }

    /// Whether the endpoint serves the service with this name.
    pub fn serves_service(&self, service: &str) -> bool {
        matches!(&self.serves, Serves::Service(name) if name.as_ref() == service)
    }
}

/// A model that endpoints serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: Name,
    /// Greatest number of tokens of prompt and answer together.
    pub max_context: u64,
    /// Greatest number of tokens of an answer.
    pub max_output: u64,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Other names by which callers may ask for the model, sorted.
    pub aliases: Vec<Name>,
}

/// Whether a zone takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// The zone takes work.
    In,
    /// The zone takes no new work.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub name: Name,
    /// Whether the zone takes work.
    pub state: ZoneState,
}

/// Limits of a program together with its sub-agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Name of the budget.
    pub name: Name,
    /// Tokens of prompts and answers.
    pub tokens: u64,
    /// Calls.
    pub turns: u32,
    /// Time from the first call to the end of the program.
    #[serde(with = "units::duration")]
    pub lifetime: Duration,
}

/// A person or tool that publishes objects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator.
    pub name: Name,
    /// Digest of the operator's secret.
    pub digest: Digest,
}

/// What all objects have in common.
pub(crate) trait Object:
    'static + Clone + PartialEq + Serialize + for<'de> Deserialize<'de>
{
    const KIND: Kind;

    fn name(&self) -> &Name;

    /// The objects of this kind.
    fn list(objects: &Objects) -> &Arc<Vec<Self>>;

    /// The objects of this kind, to change.
    fn list_mut(objects: &mut Objects) -> &mut Arc<Vec<Self>>;
}

/// All objects, each kind sorted by name. Sets that do not differ in a kind share its vector.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Objects {
    pub(crate) teams: Arc<Vec<Team>>,
    pub(crate) keys: Arc<Vec<Key>>,
    pub(crate) rates: Arc<Vec<Rate>>,
    pub(crate) routes: Arc<Vec<Route>>,
    pub(crate) endpoints: Arc<Vec<Endpoint>>,
    pub(crate) models: Arc<Vec<Model>>,
    pub(crate) zones: Arc<Vec<Zone>>,
    pub(crate) budgets: Arc<Vec<Budget>>,
    pub(crate) operators: Arc<Vec<Operator>>,
}

impl Objects {
    /// Index of the object with this name; of the first one while duplicates are not yet excluded.
    pub(crate) fn position<T: Object>(&self, name: &str) -> Option<usize> {
        let objects = T::list(self);
        let i = objects.partition_point(|object| object.name().as_ref() < name);
        objects.get(i).is_some_and(|object| object.name().as_ref() == name).then_some(i)
    }

    /// The object with this name.
    pub(crate) fn find<T: Object>(&self, name: &str) -> Option<&T> {
        self.position::<T>(name).map(|i| &T::list(self)[i])
    }
}

macro_rules! impl_object {
    ($($ty:ident $field:ident),* $(,)?) => {$(
        impl Object for $ty {
            const KIND: Kind = Kind::$ty;

            fn name(&self) -> &Name {
                &self.name
            }

            fn list(objects: &Objects) -> &Arc<Vec<Self>> {
                &objects.$field
            }

            fn list_mut(objects: &mut Objects) -> &mut Arc<Vec<Self>> {
                &mut objects.$field
            }
        }
    )*};
}

impl_object!(
    Team teams,
    Key keys,
    Rate rates,
    Route routes,
    Endpoint endpoints,
    Model models,
    Zone zones,
    Budget budgets,
    Operator operators,
);

/// Calls a generic function once for each kind of object: `for_each_kind!(f(args))`.
macro_rules! for_each_kind {
    ($f:ident $args:tt) => {
        for_each_kind!(@call $f $args Team Key Rate Route Endpoint Model Zone Budget Operator)
    };
    (@call $f:ident $args:tt $($ty:ident)*) => {
        $($f::<$crate::object::$ty> $args;)*
    };
}

pub(crate) use for_each_kind;
