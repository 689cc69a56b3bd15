//! Contents of requests and responses, independent of the header names of a protocol.

use std::time::Duration;

use bytes::Bytes;
use poplarspan_policy::Name;

/// API key of a caller. It is never logged and never sent to an endpoint.
#[derive(Clone)]
pub struct Secret(pub Bytes);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

/// Head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Identifies this attempt of the caller. It is sent to the endpoint, which returns it.
    pub id: Name,
    /// Host of the request, without the port.
    pub host: Name,
    /// API key, which identifies the team.
    pub key: Option<Secret>,
    /// How long the caller waits for a response.
    pub time_left: Option<Duration>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// The program that the call belongs to.
    pub program: Option<ProgramHead>,
    /// Key of the object that the call is about. Calls with the same key are faster at the same
    /// endpoint.
    pub affinity: Option<Name>,
    /// Id of the event after which a stream is resumed.
    pub last_event: Option<Name>,
    /// Id of the attempt that brought the first event of the stream that is resumed.
    pub resumes: Option<Name>,
}

/// The parts of a call's head that concern its program.
#[derive(Clone, Debug)]
pub struct ProgramHead {
    /// Identifies the program.
    pub id: Name,
    /// Identifies the conversation within the program: the main one, or that of a sub-agent.
    pub conversation: Option<Name>,
    /// Time until the deadline of the whole program.
    pub time_left: Option<Duration>,
    /// Maximum number of tokens that all turns of the program may generate.
    pub token_budget: Option<u64>,
    /// The kept turn that this one continues.
    pub previous_turn: Option<Name>,
}

/// Part of a prompt that may be shared with other prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What is added to the caller's request before it is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The only endpoint that may run the request.
    pub endpoint: Name,
    /// Team that the caller's key belongs to.
    pub team: Option<Name>,
    /// Time after which the endpoint may abandon the request.
    pub time_left: Duration,
    /// Priority among the requests that wait at a model engine, 0 first; `None` for plain services.
    pub urgency: Option<u8>,
    /// Id of the event after which the stream is resumed, if this is not its first run.
    pub last_event: Option<Name>,
}

/// Head of an endpoint's response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the response came from a different endpoint than the expected one.
    pub is_other_endpoint: bool,
    /// Whether the response carries the seal that only an endpoint can create.
    pub is_sealed: bool,
    /// Whether the body has a content encoding, which endpoints never use.
    pub is_encoded: bool,
    /// Whether the endpoint announces that it is about to stop.
    pub is_leaving: bool,
    /// Load of the endpoint when it made the response.
    pub load: Option<Load>,
    /// Calls per second that the endpoint takes from all instances together, if it names a limit.
    pub call_limit: Option<f64>,
}

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// An endpoint in the platform's endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Identifies this run of the endpoint; a restart gets a new name in most cases.
    pub name: Name,
    /// Service that the endpoint belongs to.
    pub service: Name,
    /// Address that it listens on.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// How much longer the endpoint is in its cold start phase.
    pub cold_left: Duration,
    /// Start time in milliseconds since the Unix epoch, if the list has it.
    pub started_ms: Option<u64>,
    /// Version of its software, if the list has it.
    pub software: Option<Name>,
}

/// A page of the platform's endpoint list.
#[derive(Clone, Debug, Default)]
pub struct ListPage {
    /// Entries that could be parsed.
    pub endpoints: Vec<ListedEndpoint>,
    /// Number of entries that could not be parsed.
    pub unreadable: u32,
    /// Token of the next page; `None` on the last one.
    pub next: Option<String>,
}

/// A request of an operator.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Publish a set of objects.
    Publish,
    /// Return the objects in force.
    Read,
    /// Take a zone out of service, or put it back.
    Zone {
        /// Name of the zone.
        zone: Name,
        /// Whether the zone is to be out of service.
        out: bool,
    },
    /// Drain a store, so that it holds no program data.
    Retire {
        /// Name of the instance.
        instance: Name,
    },
    /// Return whether the draining of an instance has completed.
    RetireStatus {
        /// Name of the instance.
        instance: Name,
    },
    /// Start to move the calls of a service to another software version. The body says which.
    StartRollout,
    /// Return the state of the newest rollout of a service.
    RolloutStatus {
        /// Name of the service.
        service: Name,
    },
}

/// An order to move the calls of a service to endpoints of another software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: Name,
    /// Software version that is to get all calls.
    pub target: Name,
    /// Time in which the rollout is to end.
    pub over: Duration,
}

/// State of a rollout, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Calls are divided between the versions.
    Running,
    /// All calls go to the target version, and nothing runs at the others.
    Completed,
    /// No call goes to the target version.
    Reverted,
}
