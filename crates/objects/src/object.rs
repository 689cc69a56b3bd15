//! The object types of a set.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::kind::{Kind, Name};
use crate::secret::Digest;
use crate::units::{self, ByteSize, RequestRate};

/// A team of callers. Each team has its own rate limit and its own share in the fair queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Name of the rate that limits the team.
    pub rate: Name,
    /// Name of the budget that applies to each program of the team; `None` means no limit.
    pub budget: Option<Name>,
    /// Weight in the fair queue, from 1 to 1000.
    pub weight: u32,
}

/// An API key that authenticates callers of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the key.
    pub name: Name,
    /// Name of the team whose callers use the key.
    pub team: Name,
    /// Digest of the key's secret.
    pub digest: Digest,
}

/// A request rate limit with its burst.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Name of the rate.
    pub name: Name,
    /// Sustained requests per second.
    pub rate: RequestRate,
    /// Maximum number of requests at once, at least 1.
    pub burst: u32,
}

/// What kind of target a route has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Chat completions of a model. The path is matched exactly.
    Chat,
    /// A service. The path is a prefix.
    Service,
}

/// Which requests of a route are not idempotent and must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NonIdempotent {
    /// No request.
    None,
    /// Every request.
    All,
    /// Requests with one of these HTTP methods, in upper case and sorted.
    Methods(Vec<Arc<str>>),
}

/// A path that callers may request, and the target that serves it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Path; the exact path of a chat route, or a prefix of whole segments for a service route.
    pub path: Arc<str>,
    /// Kind of the target.
    pub kind: RouteKind,
    /// Model of a chat route. If `None`, the request body names the model.
    pub model: Option<Name>,
    /// Service of a service route; `None` for a chat route.
    pub service: Option<Name>,
    /// Whether callers need no key.
    pub open: bool,
    /// Which requests must run at most once.
    pub non_idempotent: NonIdempotent,
    /// Maximum time that a request may take, from 1 ms to 24 hours.
    #[serde(with = "units::duration")]
    pub timeout: Duration,
    /// Maximum size of a request body, from 1 byte to 1 GiB.
    pub max_body: ByteSize,
    /// Maximum number of requests that may wait at one instance.
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
    /// A model engine that serves these models, sorted by name.
    Models(Vec<Name>),
    /// A service with this name.
    Service(Name),
}

/// A model engine or a service to which requests are sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: Name,
    /// Name of the endpoint's zone.
    pub zone: Name,
    /// Address on which the endpoint accepts HTTP requests.
    pub address: SocketAddr,
    /// The models or the service that the endpoint serves.
    pub serves: Serves,
    /// Maximum number of concurrent requests when the endpoint is warm.
    pub capacity: u32,
    /// Maximum number of concurrent requests when the endpoint is cold, at least 1 and at most
    /// `capacity`.
    pub cold_capacity: u32,
    /// Time that a cold endpoint takes to become warm.
    #[serde(with = "units::duration")]
    pub ramp: Duration,
    /// Whether the endpoint checks fencing tokens and rejects stale ones.
    pub fencing: bool,
    /// Whether the endpoint is being taken out of service and gets no new requests.
    pub leaving: bool,
}

impl Endpoint {
    /// Whether the endpoint serves the model with this name. Does not resolve aliases.
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
    /// Maximum number of tokens of prompt and answer together.
    pub max_context: u64,
    /// Maximum number of tokens of an answer, at most `max_context`.
    pub max_output: u64,
    /// Version of the model weights.
    pub version: Arc<str>,
    /// Other names that callers may use for the model, sorted.
    pub aliases: Vec<Name>,
}

/// Whether a zone gets new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// The zone gets new requests.
    In,
    /// The zone is out of service and gets no new requests.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub name: Name,
    /// Whether the zone gets new requests.
    pub state: ZoneState,
}

/// Limits of a program together with its sub-agents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Name of the budget.
    pub name: Name,
    /// Maximum number of tokens of prompts and answers.
    pub tokens: u64,
    /// Maximum number of calls.
    pub turns: u32,
    /// Maximum time from the first call to the end of the program.
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

/// Common interface of all object types.
pub(crate) trait Object:
    'static + Clone + PartialEq + Serialize + for<'de> Deserialize<'de>
{
    const KIND: Kind;

    fn name(&self) -> &Name;

    /// All objects of this kind.
    fn list(objects: &Objects) -> &Arc<Vec<Self>>;

    /// Mutable access to all objects of this kind.
    fn list_mut(objects: &mut Objects) -> &mut Arc<Vec<Self>>;
}

/// All objects, each kind sorted by name. Sets with the same objects of a kind can share the vector.
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
    /// Index of the object with this name, or of the first one in a set that may still contain
    /// duplicates.
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

/// Calls a generic function once for each kind of object, in the order of kinds:
/// `for_each_kind!(f(args))`.
macro_rules! for_each_kind {
    ($f:ident $args:tt) => {
        for_each_kind!(@call $f $args Team Key Rate Route Endpoint Model Zone Budget Operator)
    };
    (@call $f:ident $args:tt $($ty:ident)*) => {
        $($f::<$crate::object::$ty> $args;)*
    };
}

pub(crate) use for_each_kind;
