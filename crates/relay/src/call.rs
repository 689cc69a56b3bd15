//! What requests and answers say, independent of the names that a protocol gives it.

use std::time::Duration;

use bytes::Bytes;
use poplarspan_policy::Name;

/// Secret that a caller presents. Never logged, and never sent to an endpoint.
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
    /// Names this attempt of the caller; sent to the endpoint, which repeats it.
    pub id: Name,
    /// Host that the caller addressed, without a port.
    pub host: Name,
    /// Key of a team.
    pub key: Option<Secret>,
    /// For how long the caller waits.
    pub time_left: Option<Duration>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated.
    pub max_output_tokens: u32,
    /// The program that the call belongs to.
    pub program: Option<ProgramHead>,
    /// Object that the call is about; calls about the same one are served faster together.
    pub affinity: Option<Name>,
    /// Event after which a stream goes on.
    pub last_event: Option<Name>,
}

/// What a call says of its program.
#[derive(Clone, Debug)]
pub struct ProgramHead {
    /// Names the program.
    pub id: Name,
    /// Names the line of turns within the program: the main one, or a sub-agent's.
    pub conversation: Option<Name>,
    /// Time until the whole program should have ended.
    pub time_left: Option<Duration>,
    /// Tokens that all turns of the program may generate.
    pub token_budget: Option<u64>,
    /// Kept turn that this one continues.
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

/// What a request to an endpoint says beyond the caller's request.
#[derive(Clone, Debug)]
pub struct Forward {
    /// Endpoint that alone may run it.
    pub endpoint: Name,
    /// Team of the caller's key.
    pub team: Option<Name>,
    /// Time after which the endpoint may stop.
    pub time_left: Duration,
    /// Order among the requests that wait at a model engine, 0 first; none for plain services.
    pub urgency: Option<u8>,
    /// Event after which the stream goes on, when this is not its first run.
    pub last_event: Option<Name>,
}

/// Head of an endpoint's answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Whether the endpoint states that it has not run the request.
    pub not_run: bool,
    /// Whether another endpoint than the expected one has answered.
    pub is_other_endpoint: bool,
    /// Whether the answer carries the mark that only an endpoint can put on it.
    pub is_sealed: bool,
    /// Whether the body is encoded, which endpoints do not do.
    pub is_encoded: bool,
    /// Whether the endpoint says that it is about to stop.
    pub is_leaving: bool,
    /// Load when the answer was made.
    pub load: Option<Load>,
}

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// An endpoint in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Names this start of the endpoint.
    pub name: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// For how long it stays cold.
    pub cold_left: Duration,
    /// Time of its start in milliseconds since 1970, if the list says it.
    pub started_ms: Option<u64>,
}

/// A page of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct ListPage {
    /// Entries that name an endpoint.
    pub endpoints: Vec<ListedEndpoint>,
    /// Entries that could not be read.
    pub unreadable: u32,
    /// Token of the next page.
    pub next: Option<String>,
}

/// What an operator asks for.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Publish a set of objects.
    Publish,
    /// Return the objects in force.
    Read,
    /// Take a zone out, or back in.
    Zone {
        /// The zone.
        zone: Name,
        /// Whether it is to be out.
        out: bool,
    },
    /// Empty an instance that stores programs.
    Retire {
        /// The instance.
        instance: Name,
    },
    /// Return how far the emptying of an instance is.
    RetireStatus {
        /// The instance.
        instance: Name,
    },
}
