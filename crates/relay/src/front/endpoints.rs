//! What the front knows of endpoints: load, cached prompts, failures, cold starts.
//!
//! It answers uneven load and shared prompts on calm days, and crashes, restarts and releases on the
//! others. Owner: each front for itself; rebuilt after a restart from the list of endpoints and from
//! answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use poplarspan_node::pool::Pool;
use poplarspan_policy::{
    Name,
    departures::{Departures, Start},
    route::{
        Choice, Chooser, CostChooser, CostConfig, EndpointId, EndpointSpec, Fleet, LoadReport,
        NoRoute, PrefixIndex, RouteRequest,
    },
    starts::{Place, StartGate},
};

use super::schedule::PlacementRequest;
use crate::{ListedEndpoint, Load, PromptPart, Publication, fleet_client::View};

/// Tokens of one block of a prompt in the index of cached prompts.
const BLOCK_TOKENS: u32 = 256;
/// Blocks that the index holds: some 8 million tokens.
const MAX_BLOCKS: usize = 32_768;
/// Prefill speed that is assumed for engines, in tokens a second; of the order of what a large
/// accelerator reads of a mixture-of-experts model.
const PREFILL_PER_SECOND: f64 = 300_000.0;
/// Service time that is assumed until one has been measured, in seconds.
const INITIAL_SERVICE_S: f64 = 0.2;
/// A load report of an answer counts half after this time, which is about that of one answer.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(600);
/// Costs of an endpoint. What a call adds to the time of the others in the batch counts as much as
/// what it waits itself: one more call in a full batch slows each of them by some 3 percent, and all
/// of them wait while its prompt is read. A new connection takes both sides some milliseconds, and
/// costs about as much as one more call in a batch of 16.
const COSTS: CostConfig = CostConfig {
    other_zone_s: 0.006,
    prefill_weight: 6.0,
    occupancy: 0.9,
    max_fill: 2.0,
    group_fill: 1.0,
    near_s: 0.01,
    near: 0.1,
    stay_s: 0.02,
    stay: 0.1,
    connect_s: 0.012,
};
/// First pause after a failure, doubled with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Calls that an endpoint gets at a time after it has failed, until it has answered one.
const PROBE_CALLS: u32 = 1;
/// Longest life of what is known of a conversation's last endpoint.
const CONVERSATION_TTL: Duration = Duration::from_secs(30);
const MAX_CONVERSATIONS: usize = 8_192;
/// A part counts as shared once this many lines have used it.
const MIN_SHARING_CONVERSATIONS: u32 = 8;
/// Parts whose use is remembered; beyond, the one that was used longest ago is forgotten.
const MAX_SHARED_PARTS: usize = 512;

struct EndpointState {
    name: Name,
    service: Name,
    id: EndpointId,
    address: SocketAddr,
    started_ms: Option<u64>,
    /// Until when the endpoint counts as cold.
    cold_until: Duration,
    gate: StartGate,
    failures: u32,
    /// No calls until then, and few until an answer has come.
    paused_until: Option<Duration>,
}

/// A chosen endpoint.
#[derive(Clone, Debug)]
pub(crate) struct ChosenEndpoint {
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
}

/// How a call at an endpoint has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A whole answer has arrived.
    Answered,
    /// The endpoint has refused the call and works.
    Refused,
    /// The caller has gone, or the call was not sent.
    Abandoned,
    /// No connection, a lost one, or an answer that is not the endpoint's.
    Failed,
}

/// Parts of prompts that lines share.
///
/// Each front knows only of the calls it sent itself, but a part that many lines share is cached at
/// every endpoint that has been up for a while, whichever front sent it there. So it says nothing for
/// or against an endpoint.
#[derive(Default)]
struct SharedParts {
    /// Sorted by part.
    parts: Vec<PartUse>,
}

struct PartUse {
    id: u64,
    /// Lines that used the part, as far as they followed one another.
    conversations: u32,
    last_conversation: Option<Name>,
    at: Duration,
}

impl SharedParts {
    /// Takes note of the parts of a conversation's prompt. The last one is the conversation's own.
    fn note(&mut self, want: &PlacementRequest, now: Duration) {
        let shared = want.parts.len().saturating_sub(1);
        for part in &want.parts[..shared] {
            let at = match self.parts.binary_search_by_key(&part.id, |p| p.id) {
                Ok(at) => at,
                Err(at) => {
                    self.make_room();
                    let at = at.min(self.parts.len());
                    let new =
                        PartUse { id: part.id, conversations: 0, last_conversation: None, at: now };
                    self.parts.insert(at, new);
                    self.parts.sort_unstable_by_key(|p| p.id);
                    self.parts.binary_search_by_key(&part.id, |p| p.id).unwrap_or(at)
                }
            };
            let part = &mut self.parts[at];
            part.at = now;
            if part.last_conversation != want.conversation {
                part.last_conversation.clone_from(&want.conversation);
                part.conversations = part.conversations.saturating_add(1);
            }
        }
    }

    /// Number of leading parts that many lines share.
    fn leading(&self, want: &PlacementRequest) -> usize {
        let is_shared = |part: &&PromptPart| {
            let found = self.parts.binary_search_by_key(&part.id, |p| p.id);
            found.is_ok_and(|at| self.parts[at].conversations >= MIN_SHARING_CONVERSATIONS)
        };
        want.parts.iter().take_while(is_shared).count()
    }

    fn make_room(&mut self) {
        if self.parts.len() >= MAX_SHARED_PARTS
            && let Some(oldest) = (0..self.parts.len()).min_by_key(|at| self.parts[*at].at)
        {
            self.parts.remove(oldest);
        }
    }
}

struct LastEndpoint {
    conversation: Name,
    id: EndpointId,
    at: Duration,
}

/// The endpoints of the list in force.
pub(crate) struct Endpoints {
    pool: Arc<Pool>,
    fleet: Fleet,
    prefixes: PrefixIndex,
    chooser: CostChooser,
    // Sorted by name.
    endpoints: Vec<EndpointState>,
    // Sorted by name.
    last_endpoints: Vec<LastEndpoint>,
    shared: SharedParts,
    departures: Departures,
    place: Place,
    directory: u64,
    version: u64,
    zones_out: Vec<Name>,
}

impl Endpoints {
    pub(crate) fn new(zone: Name, pool: Arc<Pool>) -> Self {
        Self {
            pool,
            fleet: Fleet::new(),
            prefixes: PrefixIndex::new(MAX_BLOCKS),
            chooser: CostChooser::new(zone, COSTS),
            endpoints: Vec::new(),
            last_endpoints: Vec::new(),
            shared: SharedParts::default(),
            departures: Departures::default(),
            place: Place { rank: 0, of: 1 },
            directory: 0,
            version: 0,
            zones_out: Vec::new(),
        }
    }

    /// Follows changes of the list, the publication and the zones.
    pub(crate) fn observe(&mut self, view: &View, now: Duration) {
        self.place = view.place;
        let version = view.publication.as_ref().map_or(0, |p| p.version);
        let is_new_list = view.directory.number != self.directory;
        if is_new_list || version != self.version {
            self.directory = view.directory.number;
            self.version = version;
            self.apply_list(view, now);
        }
        if view.zones_out != self.zones_out {
            for zone in view.zones_out.iter().chain(&self.zones_out) {
                self.fleet.set_zone_out(zone, view.zones_out.contains(zone));
            }
            self.zones_out.clone_from(&view.zones_out);
        }
    }

    fn apply_list(&mut self, view: &View, now: Duration) {
        let listed = &view.directory.endpoints;
        let starts: Vec<_> = listed.iter().map(start_of).collect();
        self.departures.follow(&starts);
        let Self { endpoints, fleet, .. } = self;
        endpoints.retain(|k| {
            let stays = listed.iter().any(|e| e.name == k.name && e.address == k.address);
            if !stays {
                fleet.remove(&k.name);
            }
            stays
        });
        let age = now.saturating_sub(view.directory.at);
        for endpoint in listed {
            self.upsert(endpoint, view.publication.as_deref(), age, now);
        }
        for zone in &view.zones_out {
            self.fleet.set_zone_out(zone, true);
        }
    }

    fn upsert(
        &mut self,
        endpoint: &ListedEndpoint,
        publication: Option<&Publication>,
        age: Duration,
        now: Duration,
    ) {
        let service = publication.and_then(|p| p.service(&endpoint.service));
        let engine = service.and_then(|s| s.engine);
        let capacity = engine.map_or(endpoint.slots, |e| e.slots).max(1);
        let id = self.fleet.upsert(EndpointSpec {
            name: endpoint.name.clone(),
            zone: endpoint.zone.clone(),
            groups: vec![endpoint.service.clone()],
            capacity,
            prefill_per_second: engine.map_or(f64::INFINITY, |_| PREFILL_PER_SECOND),
            service_s: INITIAL_SERVICE_S,
            leaving: endpoint.leaving || self.departures.includes(start_of(endpoint)),
        });
        let cold_until = now + endpoint.cold_left.saturating_sub(age);
        match self.endpoints.binary_search_by(|k| k.name.cmp(&endpoint.name)) {
            Ok(at) => {
                let known = &mut self.endpoints[at];
                known.cold_until = known.cold_until.max(cold_until);
                known.started_ms = endpoint.started_ms;
            }
            Err(at) => {
                let blocks = engine.map_or(0, |e| e.cache_tokens / u64::from(BLOCK_TOKENS));
                self.prefixes.declare(id, u32::try_from(blocks).unwrap_or(u32::MAX));
                let known = EndpointState {
                    name: endpoint.name.clone(),
                    service: endpoint.service.clone(),
                    id,
                    address: endpoint.address,
                    started_ms: endpoint.started_ms,
                    cold_until,
                    gate: StartGate::default(),
                    failures: 0,
                    paused_until: None,
                };
                self.endpoints.insert(at, known);
            }
        }
    }

    /// Lets reported loads fade, and tries endpoints again that have failed.
    pub(crate) fn tick(&mut self, now: Duration) {
        self.fleet.fade(LOAD_HALF_LIFE, now);
        for known in &mut self.endpoints {
            if known.paused_until.is_some_and(|until| now >= until) {
                known.paused_until = None;
                self.fleet.set_healthy(known.id, true);
                self.fleet.set_cap(known.id, Some(PROBE_CALLS));
            }
        }
        if self.last_endpoints.len() > MAX_CONVERSATIONS {
            self.last_endpoints.retain(|l| now < l.at + CONVERSATION_TTL / 10);
        }
        self.last_endpoints.retain(|l| now < l.at + CONVERSATION_TTL);
    }

    /// Chooses an endpoint and counts the call there.
    pub(crate) fn place(
        &mut self,
        want: &PlacementRequest,
        tried: &[Name],
        publication: Option<&Publication>,
        now: Duration,
    ) -> Result<ChosenEndpoint, NoRoute> {
        let cold_rate =
            publication.and_then(|p| p.service(&want.service)).map_or(0.0, |s| s.cold_per_second);
        let avoid = self.excluded(want, tried, cold_rate, now);
        self.note_connections(&want.service);
        let (blocks, prompt_tokens) = self.own_blocks(want);
        let request = RouteRequest {
            group: &want.service,
            blocks,
            block_tokens: BLOCK_TOKENS,
            prompt_tokens,
            last: want.conversation.as_ref().and_then(|conversation| self.last_of(conversation)),
            avoid: &avoid,
        };
        let mut rng = rand::rng();
        let choice = self.chooser.choose(&self.fleet, &self.prefixes, &request, &mut rng)?;
        Ok(self.record_dispatch(want, &choice, now))
    }

    fn note_connections(&mut self, service: &Name) {
        let connected = self.pool.connected();
        for known in self.endpoints.iter().filter(|k| k.service == *service) {
            let is_connected = connected.binary_search(&known.address).is_ok();
            self.fleet.set_connected(known.id, is_connected);
        }
    }

    /// Blocks and tokens of a prompt without the leading parts that many lines share.
    fn own_blocks<'a>(&self, want: &'a PlacementRequest) -> (&'a [u64], u32) {
        let leading = &want.parts[..self.shared.leading(want)];
        let tokens: u32 = leading.iter().map(|p| p.tokens).sum();
        let blocks: usize = leading.iter().map(|p| (p.tokens / BLOCK_TOKENS) as usize).sum();
        (&want.blocks[blocks..], want.prompt_tokens - tokens)
    }

    /// Endpoints that must not get the call: those that were tried, and cold ones that have had as
    /// many calls in this second as they bear from this front.
    fn excluded(
        &mut self,
        want: &PlacementRequest,
        tried: &[Name],
        rate: f64,
        now: Duration,
    ) -> Vec<EndpointId> {
        let place = self.place;
        let mut avoid = Vec::new();
        for known in self.endpoints.iter_mut().filter(|k| k.service == want.service) {
            let is_cold = rate > 0.0 && now < known.cold_until;
            let is_tried = tried.contains(&known.name);
            if is_tried || (is_cold && !known.gate.is_open(rate, place, offset(&known.name), now)) {
                avoid.push(known.id);
            }
        }
        avoid
    }

    fn record_dispatch(
        &mut self,
        want: &PlacementRequest,
        choice: &Choice,
        now: Duration,
    ) -> ChosenEndpoint {
        let id = choice.endpoint;
        self.fleet.began(id, now);
        let (blocks, prompt_tokens) = self.own_blocks(want);
        self.prefixes.dispatched(id, blocks, now);
        self.shared.note(want, now);
        let cached = u64::from(choice.cached_blocks) * u64::from(BLOCK_TOKENS);
        let prompt_tokens = u64::from(prompt_tokens);
        metrics::counter!("poplarspan_relay_own_prompt_tokens_total").increment(prompt_tokens);
        metrics::counter!("poplarspan_relay_cached_prompt_tokens_total")
            .increment(cached.min(prompt_tokens));
        if let Some(conversation) = &want.conversation {
            let entry = LastEndpoint { conversation: conversation.clone(), id, at: now };
            match self.last_endpoints.binary_search_by(|l| l.conversation.cmp(conversation)) {
                Ok(at) => self.last_endpoints[at] = entry,
                Err(at) => self.last_endpoints.insert(at, entry),
            }
        }
        let name = self.fleet.spec(id).name.clone();
        let at = self.position(&name).expect("the fleet holds known endpoints");
        let known = &mut self.endpoints[at];
        if now < known.cold_until {
            known.gate.start(now);
        }
        ChosenEndpoint { name, address: known.address }
    }

    fn last_of(&self, conversation: &Name) -> Option<EndpointId> {
        let at = self.last_endpoints.binary_search_by(|l| l.conversation.cmp(conversation)).ok()?;
        Some(self.last_endpoints[at].id)
    }

    /// Takes a call back from its endpoint.
    pub(crate) fn end(&mut self, name: &Name, outcome: Outcome, took: Duration, now: Duration) {
        let Ok(at) = self.position(name) else { return };
        let known = &mut self.endpoints[at];
        let id = known.id;
        self.fleet.ended(id, (outcome == Outcome::Answered).then_some(took), now);
        match outcome {
            Outcome::Answered | Outcome::Refused => {
                if known.failures > 0 {
                    log::info!(endpoint = &**name; "endpoint answers again");
                    known.failures = 0;
                    self.fleet.set_cap(id, None);
                }
            }
            Outcome::Failed => {
                let pause = (MIN_PAUSE * 2u32.pow(known.failures.min(8))).min(MAX_PAUSE);
                known.failures += 1;
                if known.paused_until.is_none() {
                    let failures = known.failures;
                    log::warn!(endpoint = &**name, failures; "endpoint fails; no calls for a while");
                    metrics::counter!("poplarspan_relay_endpoint_failures_total").increment(1);
                }
                known.paused_until = Some(now + pause);
                self.fleet.set_healthy(id, false);
            }
            Outcome::Abandoned => {}
        }
    }

    /// Takes note of the load that an answer reports.
    pub(crate) fn report(&mut self, name: &Name, load: Load, now: Duration) {
        if let Ok(at) = self.position(name) {
            let report = LoadReport { running: load.running, queued: load.waiting, taken: now };
            self.fleet.report(self.endpoints[at].id, &report);
        }
    }

    /// Takes note that an endpoint has said that it is about to stop: it gets no more calls, whatever
    /// the list says, until its next start is known.
    pub(crate) fn note_leaving(&mut self, name: &Name) {
        let Ok(at) = self.position(name) else { return };
        let known = &self.endpoints[at];
        if !self.fleet.spec(known.id).leaving {
            log::info!(endpoint = &**name; "endpoint says that it is leaving");
        }
        self.departures.note(name, known.started_ms);
        self.fleet.set_leaving(known.id);
    }

    /// Whether an endpoint that was chosen may still be sent the call.
    pub(crate) fn may_receive(&self, chosen: &ChosenEndpoint) -> bool {
        self.position(&chosen.name).is_ok_and(|at| {
            let known = &self.endpoints[at];
            known.address == chosen.address && self.fleet.may_receive(known.id)
        })
    }

    /// Calls that the open endpoints of a service run at once.
    pub(crate) fn capacity(&self, service: &str) -> u32 {
        let members = self.fleet.members(service).unwrap_or(&[]);
        let open = members.iter().filter(|id| self.fleet.is_open(**id));
        open.map(|id| self.fleet.spec(*id).capacity).sum()
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|k| (*k.name).cmp(name))
    }
}

fn start_of(endpoint: &ListedEndpoint) -> Start<'_> {
    Start { name: &endpoint.name, started_ms: endpoint.started_ms }
}

/// A number that is the same for an endpoint at all fronts.
fn offset(name: &str) -> u32 {
    let digest = blake3::hash(name.as_bytes());
    u32::from_le_bytes(*digest.as_bytes().first_chunk().expect("a digest has 32 bytes"))
}

/// Splits a prompt into blocks, each named by its part and by all that is before it.
pub(crate) fn blocks(parts: &[PromptPart]) -> Vec<u64> {
    const MIX: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut blocks = Vec::new();
    let mut chain = 0u64;
    let mix = |chain: u64, n: u64| {
        let product = u128::from(chain ^ n.wrapping_add(MIX)) * u128::from(MIX);
        (product as u64) ^ (product >> 64) as u64
    };
    for part in parts {
        for n in 0..u64::from(part.tokens / BLOCK_TOKENS) {
            chain = mix(mix(chain, part.id), n);
            blocks.push(chain);
        }
    }
    blocks
}
