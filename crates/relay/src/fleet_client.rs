//! Client of the control group: keeps an instance's lease and its view of the fleet.
//!
//! Each instance has its own client. The lease runs from the time of the request, on a clock that
//! includes time spent suspended. When the control leader is lost, the instance continues under its
//! lease until a successor answers. The version of the publication never decreases while the
//! process runs.

mod heartbeat;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures::future::BoxFuture;
use poplarspan_agreement::{Clock, ReplicaId};
use poplarspan_node::PeerClient;
use poplarspan_policy::{
    Name,
    cold_start::InstanceRank,
    containment::Fingerprint,
    version_split::{Rule, Stage},
};
use poplarspan_proto::peer;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    ListedEndpoint, Protocol, Publication, Settings, control, control_state::read_fingerprint,
};

/// Instances that are asked in parallel while no leader is known.
const PARALLEL_CANDIDATES: usize = 3;
/// An instance that failed to answer a heartbeat is skipped for this long, even if others still
/// name it as the leader.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(1_000);

/// Maximum drift between the clocks of two machines while a publication comes into force.
const DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// An instance's view of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// `None` until the first publication has arrived.
    pub(crate) publication: Option<Arc<Publication>>,
    pub(crate) directory: Arc<Directory>,
    /// Sorted.
    pub(crate) zones_out: Vec<Name>,
    pub(crate) rank: InstanceRank,
    /// Peer addresses of the stores.
    pub(crate) stores: Vec<SocketAddr>,
    /// The stores in the order in which groups take their initial voters.
    pub(crate) store_ring: Vec<ReplicaId>,
    /// Known leader of each store group. Empty until the groups are formed.
    pub(crate) group_leaders: Vec<Option<SocketAddr>>,
    /// Replicas of stores that are being drained.
    pub(crate) retiring: Vec<u64>,
    pub(crate) quarantine_list: Arc<QuarantineList>,
    /// Endpoints on probation, because calls failed there at any front; sorted.
    pub(crate) probation: Vec<Name>,
    /// Endpoints that name a limit, sorted, and the limits in calls per second.
    pub(crate) limits: Arc<[(Name, f64)]>,
    /// What the leader has decided about rollouts; sorted by id. Holds as long as the lease.
    pub(crate) rollouts: Arc<[Rule]>,
    /// Endpoints that have just started, sorted, and the calls per second that all
    /// fronts together may send them.
    pub(crate) paces: Arc<[(Name, f64)]>,
    pub(crate) slowness: Slowness,
    /// Peer addresses of fronts that reach endpoints. Only known while the instance's own links are
    /// cut.
    pub(crate) detours: Vec<SocketAddr>,
}

/// Steps per unit of the slowness in [`peer::EndpointCondition`].
pub(crate) const SLOWNESS_STEPS: f64 = 8.0;

/// Speed of endpoints relative to the median of their service, as the leader has last told it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Slowness {
    /// Endpoints that differ from the median; sorted.
    pub(crate) endpoints: Arc<[(Name, f64)]>,
    /// When the leader was asked.
    pub(crate) at: Duration,
}

/// Requests that are quarantined because endpoints terminated while running them.
#[derive(Debug, Default)]
pub(crate) struct QuarantineList {
    /// List number, as in [`peer::Quarantine`].
    number: u64,
    /// Requests that only run on trial; sorted.
    pub(crate) suspects: Vec<Fingerprint>,
    /// Requests that are refused; sorted.
    pub(crate) refused: Vec<Fingerprint>,
}

impl QuarantineList {
    /// All quarantined requests. A new leader treats them as suspects unless its replicated state
    /// already blocks them.
    pub(crate) fn all(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.suspects.iter().chain(&self.refused).copied()
    }

    fn read(list: &peer::Quarantine) -> Self {
        let read = |list: &[Bytes]| list.iter().filter_map(|b| read_fingerprint(b)).collect();
        let (suspects, refused) = (read(&list.suspects), read(&list.refused));
        Self { number: list.number, suspects, refused }
    }
}

/// The list of endpoints.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    pub(crate) number: u64,
    pub(crate) endpoints: Vec<ListedEndpoint>,
    /// When the list arrived, by the instance's clock. Durations in the entries count from this
    /// time.
    pub(crate) at: Duration,
}

/// Data that an instance adds to its heartbeats and takes from the answers.
pub(crate) trait HeartbeatReport: Send + Sync {
    /// Adds the instance's data to a heartbeat.
    fn fill<'a>(&'a self, beat: &'a mut peer::Beat) -> BoxFuture<'a, ()>;

    /// Applies the rate shares in an answer.
    fn apply_shares(&self, shares: &[peer::TeamShare]);

    /// Applies the allowance of programs in an answer. Only fronts have one.
    fn apply_programs(&self, _allowance: Option<&peer::ProgramAllowance>) {}
}

/// An instance's client of the control group.
pub(crate) struct FleetClient {
    settings: Arc<Settings>,
    protocol: Arc<dyn Protocol>,
    client: PeerClient,
    clock: Arc<dyn Clock>,
    incarnation: u64,
    duty: peer::Duty,
    view: ArcSwap<View>,
    changed: watch::Sender<u64>,
    /// End of the lease, in microseconds of `clock`.
    lease_until_us: AtomicU64,
    /// When the last answered heartbeat was sent, in microseconds of `clock`. The view contains
    /// everything that was acknowledged before.
    confirmed_at_us: AtomicU64,
    /// When the process ends; set once it is shutting down.
    ends_at: Mutex<Option<Instant>>,
    search: Mutex<LeaderSearch>,
    /// Triggers a heartbeat for changes that the leader should learn of immediately.
    wake_heartbeat: Notify,
}

/// State of the search for the control leader.
#[derive(Default)]
struct LeaderSearch {
    leader: Option<SocketAddr>,
    /// The instance that answered the last heartbeat as the leader.
    answered: Option<SocketAddr>,
    control_replicas: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    next_candidate: usize,
    /// An instance that has just failed to answer, and when it may be asked again.
    unresponsive: Option<(SocketAddr, Instant)>,
}

impl LeaderSearch {
    fn is_unresponsive(&self, address: SocketAddr) -> bool {
        self.unresponsive.is_some_and(|(lost, until)| lost == address && Instant::now() < until)
    }
}

impl FleetClient {
    pub(crate) fn new(
        settings: Arc<Settings>,
        protocol: Arc<dyn Protocol>,
        client: PeerClient,
        clock: Arc<dyn Clock>,
        duty: peer::Duty,
    ) -> Arc<Self> {
        let view = View {
            publication: None,
            directory: Arc::default(),
            zones_out: Vec::new(),
            rank: InstanceRank { rank: 0, count: 1 },
            stores: Vec::new(),
            store_ring: Vec::new(),
            group_leaders: Vec::new(),
            retiring: Vec::new(),
            quarantine_list: Arc::default(),
            probation: Vec::new(),
            limits: Arc::default(),
            rollouts: Arc::default(),
            paces: Arc::default(),
            slowness: Slowness::default(),
            detours: Vec::new(),
        };
        let search =
            LeaderSearch { seeds: settings.control_peer_addresses(), ..LeaderSearch::default() };
        Arc::new(Self {
            settings,
            protocol,
            client,
            clock,
            incarnation: rand::random(),
            duty,
            view: ArcSwap::from_pointee(view),
            changed: watch::Sender::new(0),
            lease_until_us: AtomicU64::new(0),
            confirmed_at_us: AtomicU64::new(0),
            ends_at: Mutex::default(),
            search: Mutex::new(search),
            wake_heartbeat: Notify::new(),
        })
    }

    /// Returns the current view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver that is notified of each change of the view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Time left on the lease, or `None` if it has expired.
    pub(crate) fn lease_left(&self) -> Option<Duration> {
        let until = Duration::from_micros(self.lease_until_us.load(Ordering::Acquire));
        until.checked_sub(self.clock.now()).filter(|left| !left.is_zero())
    }

    /// Whether every publication that must be in force by now is in the view.
    pub(crate) fn is_view_current(&self) -> bool {
        let confirmed_at = Duration::from_micros(self.confirmed_at_us.load(Ordering::Acquire));
        let age = self.clock.now().saturating_sub(confirmed_at);
        age + DRIFT_MARGIN < self.settings.time_limits.publication
    }

    /// Marks the instance as shutting down; the process ends at `ends_at`.
    pub(crate) fn set_draining(&self, ends_at: Instant) {
        *self.ends_at.lock().expect("no panic while locked") = Some(ends_at);
    }

    /// When the instance ends, if it is shutting down.
    pub(crate) fn ends_at(&self) -> Option<Instant> {
        *self.ends_at.lock().expect("no panic while locked")
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.ends_at().is_some()
    }

    /// Sends the next heartbeat immediately.
    pub(crate) fn send_heartbeat_now(&self) {
        self.wake_heartbeat.notify_one();
    }

    /// Whether a heartbeat goes to any instance other than the leader that answered the last one.
    fn asks_other_instances(&self, candidates: &[SocketAddr]) -> bool {
        let search = self.search.lock().expect("no panic while locked");
        search.answered.is_none_or(|answered| candidates != [answered])
    }

    /// Replaces the seeds after the settings were reloaded.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.search.lock().expect("no panic while locked").seeds = seeds;
    }

    /// Peer address of the control leader, if it is known.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.search.lock().expect("no panic while locked").leader
    }

    /// The addresses to ask: the leader if it is known, otherwise several candidates in parallel,
    /// so that an unresponsive one causes no delay.
    fn candidates(&self) -> Vec<SocketAddr> {
        let mut search = self.search.lock().expect("no panic while locked");
        if let Some(leader) = search.leader {
            return vec![leader];
        }
        search.next_candidate = search.next_candidate.wrapping_add(1);
        let mut all: Vec<_> =
            search.control_replicas.iter().chain(&search.seeds).copied().collect();
        all.sort_unstable();
        all.dedup();
        all.retain(|address| !search.is_unresponsive(*address));
        let first = search.next_candidate.wrapping_mul(PARALLEL_CANDIDATES) % all.len().max(1);
        all.iter().cycle().skip(first).take(PARALLEL_CANDIDATES.min(all.len())).copied().collect()
    }

    fn leader_found(&self, address: SocketAddr) {
        let mut search = self.search.lock().expect("no panic while locked");
        search.answered = Some(address);
        if search.leader.replace(address) != Some(address) {
            let leader = address.to_string();
            log::info!(leader = leader.as_str(); "found the control leader");
        }
    }

    fn leader_lost(&self, address: SocketAddr, hint: Option<SocketAddr>, has_answered: bool) {
        let mut search = self.search.lock().expect("no panic while locked");
        if search.leader == Some(address) {
            let leader = address.to_string();
            log::warn!(leader = leader.as_str(); "lost the control leader");
            metrics::counter!("poplarspan_relay_leader_losses_total").increment(1);
        }
        if !has_answered {
            search.unresponsive = Some((address, Instant::now() + UNRESPONSIVE_PAUSE));
        }
        let hint = hint.filter(|hint| *hint != address && !search.is_unresponsive(*hint));
        if hint.is_some() || search.leader == Some(address) {
            search.leader = hint;
        }
    }

    fn apply(&self, answer: peer::BeatAnswer, asked_at: Duration) {
        let old = self.view();
        let publication = self.next_publication(&old, answer.publication);
        let directory = answer.directory.map(|d| Arc::new(read_directory(d, self.clock.now())));
        let names = |list: Vec<String>| list.into_iter().map(Name::from).collect::<Vec<_>>();
        let addresses = |list: Vec<String>| -> Vec<SocketAddr> {
            list.iter().filter_map(|a| a.parse().ok()).collect()
        };
        let control_replicas = addresses(answer.cores);
        if !control_replicas.is_empty() {
            self.search.lock().expect("no panic while locked").control_replicas = control_replicas;
        }
        let stores = addresses(answer.stores);
        let leader = |place: u32| stores.get((place as usize).checked_sub(1)?).copied();
        let group_leaders = answer.group_leaders.into_iter().map(leader).collect();
        let view = View {
            publication,
            directory: directory.unwrap_or_else(|| old.directory.clone()),
            zones_out: names(answer.zones_out),
            rank: InstanceRank { rank: answer.rank, count: answer.fronts.max(1) },
            stores,
            store_ring: answer.store_ring.into_iter().map(ReplicaId).collect(),
            group_leaders,
            retiring: answer.retiring,
            quarantine_list: answer.quarantine.map_or_else(
                || old.quarantine_list.clone(),
                |q| Arc::new(QuarantineList::read(&q)),
            ),
            probation: names(answer.probation),
            limits: read_limits(answer.limits),
            rollouts: read_rollouts(answer.rollouts, &old.rollouts),
            paces: read_limits(answer.paces),
            slowness: match answer.conditions {
                Some(conditions) => read_conditions(conditions, asked_at),
                None => old.slowness.clone(),
            },
            detours: addresses(answer.detours),
        };
        if view.zones_out != old.zones_out {
            let zones = view.zones_out.join(",");
            log::info!(zones = zones.as_str(); "zones out of service changed");
        }
        self.view.store(Arc::new(view));
        let length =
            Duration::from_millis(answer.lease_ms).min(control::lease_length(&self.settings));
        let until = asked_at + length;
        if self.lease_left().is_none() {
            log::info!("lease acquired");
        }
        self.lease_until_us.fetch_max(until.as_micros() as u64, Ordering::AcqRel);
        self.confirmed_at_us.fetch_max(asked_at.as_micros() as u64, Ordering::AcqRel);
        self.changed.send_modify(|n| *n += 1);
    }

    fn next_publication(
        &self,
        old: &View,
        published: Option<peer::Published>,
    ) -> Option<Arc<Publication>> {
        let current = old.publication.clone();
        let held_version = current.as_ref().map_or(0, |p| p.version);
        let Some(published) = published.filter(|p| p.version > held_version) else {
            return current;
        };
        let version = published.version;
        match control::read_publication(&*self.protocol, version, &published.body) {
            Ok(publication) => {
                log::info!(version, before = held_version; "new publication in force");
                Some(Arc::new(publication))
            }
            Err(error) => {
                log::error!(version, error = error.as_str(); "cannot parse the publication");
                current
            }
        }
    }
}

fn read_limits(limits: Vec<peer::EndpointLimit>) -> Arc<[(Name, f64)]> {
    let limit = |l: peer::EndpointLimit| Some((Name::from(l.endpoint), l.per_second?));
    limits.into_iter().filter_map(limit).collect()
}

fn read_conditions(conditions: peer::EndpointConditions, at: Duration) -> Slowness {
    let slowness = |c: peer::EndpointCondition| {
        (Name::from(c.endpoint), f64::from(c.slowness) / SLOWNESS_STEPS)
    };
    Slowness { endpoints: conditions.endpoints.into_iter().map(slowness).collect(), at }
}

/// Returns `old` itself if nothing has changed.
fn read_rollouts(rollouts: Vec<peer::RolloutAllowance>, old: &Arc<[Rule]>) -> Arc<[Rule]> {
    let read = |r: peer::RolloutAllowance| {
        let stage = match r.stage() {
            peer::RolloutStage::Running => Stage::Running { share_ppm: r.share_ppm },
            peer::RolloutStage::Completed => {
                Stage::Completed { retired: r.retired.into_iter().map(Name::from).collect() }
            }
            peer::RolloutStage::Reverted => Stage::Reverted,
            // A stage of a newer build. A target that may get no calls is the safe reading.
            peer::RolloutStage::Unspecified => Stage::Running { share_ppm: 0 },
        };
        Rule { id: r.id, service: r.service.into(), target: r.target.into(), stage }
    };
    let mut rules: Vec<_> = rollouts.into_iter().map(read).collect();
    rules.sort_by_key(|r| r.id);
    if rules == **old { old.clone() } else { rules.into() }
}

fn read_directory(directory: peer::Directory, at: Duration) -> Directory {
    let endpoint = |e: peer::DirectoryEntry| {
        Some(ListedEndpoint {
            name: e.name.into(),
            service: e.service.into(),
            address: e.address.parse().ok()?,
            zone: e.zone.into(),
            slots: e.slots,
            leaving: e.leaving,
            cold_left: Duration::from_millis(e.cold_left_ms),
            started_ms: e.started_ms,
            software: e.software.map(Into::into),
        })
    };
    let endpoints = directory.endpoints.into_iter().filter_map(endpoint).collect();
    Directory { number: directory.number, endpoints, at }
}
