//! Starts and stops one instance of a relay fleet.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use futures::future::BoxFuture;
use poplarspan_agreement::{Clock, ReplicaId};
use poplarspan_node::{
    BootClock, Credentials, PeerClient, Readiness, Supervisor, TlsFiles,
    peer::{AgreementSink, PeerServer, PeerService},
    probes,
};
use poplarspan_proto::peer;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    ControlState, InstanceRole, Protocol, Settings, TurnState, TurnUsage,
    control::{Control, EndpointListReader, OperatorServer},
    fleet_client::{FleetClient, HeartbeatReport},
    front::{
        Front,
        admission::ProgramAdmission,
        detours::{DetourDial, TunnelService},
        links::Links,
        listener::Listener,
        memory::BodyMemory,
        programs::{Programs, origins::Origins},
        quarantine::Quarantine,
        rates::Rates,
        schedule::Schedule,
    },
    groups,
    replica::{self, GroupStart, MembershipGoals, Replica, ReplicaFolder},
    store::Store,
    turns::COMMAND_RULES,
};

/// Time after SIGTERM until the platform has stopped routing new connections to the instance.
const DEREGISTRATION_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// How often a store looks for a digest that it has not sent yet; they are taken once a minute.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(10);

/// Configuration of an instance that is to be started.
pub struct Relay {
    /// Settings of the instance.
    pub settings: Settings,
    /// Translation of the platform's protocols.
    pub protocol: Arc<dyn Protocol>,
    /// TLS files of the peer port.
    pub tls: TlsFiles,
}

/// A running instance.
pub struct RunningInstance {
    settings: Arc<Settings>,
    fleet: Option<Arc<FleetClient>>,
    listener: Option<Arc<Listener>>,
    tunnels: Option<Arc<TunnelService>>,
    replica: Option<Arc<Replica>>,
    store: Option<Arc<Store>>,
    stop: CancellationToken,
    supervisor: Supervisor,
    endpoint: quinn::Endpoint,
}

struct Startup {
    settings: Arc<Settings>,
    protocol: Arc<dyn Protocol>,
    clock: Arc<dyn Clock>,
    client: PeerClient,
    endpoint: quinn::Endpoint,
    stop: CancellationToken,
    supervisor: Supervisor,
}

impl Relay {
    /// Starts the instance.
    ///
    /// # Errors
    ///
    /// Fails when it cannot listen on an address or use the data folder.
    pub async fn start(self) -> Result<RunningInstance> {
        let Self { settings, protocol, tls } = self;
        let settings = Arc::new(settings);
        let credentials = Credentials::load(&tls)?;
        let address = settings.peer_address();
        let endpoint = poplarspan_node::peer::listen(&credentials, address)?;
        let client = PeerClient::with_endpoint(endpoint.clone(), &credentials)?;
        let stop = CancellationToken::new();
        let parts = Startup {
            settings: settings.clone(),
            protocol,
            clock: Arc::new(BootClock::new()),
            client,
            endpoint,
            supervisor: Supervisor::new(stop.clone()),
            stop,
        };
        let metrics = probes::recorder();
        let running = match settings.role {
            InstanceRole::Control => parts.start_control().await?,
            InstanceRole::Store => parts.start_store().await?,
            InstanceRole::Front => parts.start_front().await?,
        };
        let mut running = running;
        running.serve_metrics(metrics).await?;
        log::info!(
            instance = &*settings.instance, zone = &*settings.zone,
            duty = settings.role.as_str(), founding = settings.is_bootstrap; "instance started"
        );
        Ok(running)
    }
}

impl Startup {
    fn serve_peers(&mut self, service: Arc<dyn PeerService>, sink: Option<Arc<dyn AgreementSink>>) {
        let server = Arc::new(PeerServer::new(self.endpoint.clone(), service, sink));
        self.supervisor.start("peer port", move || server.clone().run());
    }

    fn running(self) -> RunningInstance {
        RunningInstance {
            settings: self.settings,
            fleet: None,
            listener: None,
            tunnels: None,
            replica: None,
            store: None,
            stop: self.stop,
            supervisor: self.supervisor,
            endpoint: self.endpoint,
        }
    }

    async fn folder(&self, is_bootstrap_member: bool) -> Result<ReplicaFolder> {
        let path = self.settings.data_dir.as_ref().context("this role needs a data folder")?;
        ReplicaFolder::open_when_space(path, self.settings.ip, is_bootstrap_member).await
    }

    async fn start_control(mut self) -> Result<RunningInstance> {
        let settings = self.settings.clone();
        let is_bootstrap_member = settings.is_bootstrap && settings.seeds.contains(&settings.ip);
        let folder = self.folder(is_bootstrap_member).await?;
        let initial_voters: Vec<ReplicaId> =
            settings.seeds.iter().map(|ip| replica::bootstrap_id(*ip)).collect();
        let initial_voters = if is_bootstrap_member { initial_voters } else { Vec::new() };
        let group = GroupStart { initial_voters, state: Box::<ControlState>::default(), rules: 0 };
        let (client, clock) = (self.client.clone(), self.clock.clone());
        let replicas = Replica::start(folder, vec![group], &settings, client, clock).await?;
        let replica = replicas.into_iter().next().context("control group has no replica")?;
        let control = Control::new(
            settings.clone(),
            replica.clone(),
            self.protocol.clone(),
            self.clock.clone(),
        );
        self.serve_peers(control.clone(), Some(replica.sink()));
        let membership = replica.clone();
        self.supervisor.start("members", move || membership.clone().run_membership());
        let (joiner, client) = (replica.clone(), self.client.clone());
        self.supervisor.start("joining", move || {
            let (joiner, settings) = (joiner.clone(), settings.clone());
            joiner.run_join(client.clone(), move || settings.control_peer_addresses())
        });
        let forming = control.clone();
        self.supervisor.start("forming the stores", move || forming.clone().run_group_formation());
        let deciding = control.clone();
        self.supervisor.start("rollouts", move || deciding.clone().run_rollouts());
        let reader = control.clone();
        self.supervisor
            .start("list of endpoints", move || EndpointListReader::new(reader.clone()).run());
        if let Some(address) = self.settings.operator_address {
            let socket = listen(address).await?;
            let operators = OperatorServer::new(control);
            let watching = operators.clone();
            self.supervisor.start("suspensions", move || watching.clone().run_watch());
            self.supervisor.start("orders", move || operators.clone().run(socket.clone()));
        }
        Ok(RunningInstance { replica: Some(replica), ..self.running() })
    }

    fn fleet(&self, duty: peer::Duty) -> Arc<FleetClient> {
        let (settings, protocol) = (self.settings.clone(), self.protocol.clone());
        FleetClient::new(settings, protocol, self.client.clone(), self.clock.clone(), duty)
    }

    async fn start_store(mut self) -> Result<RunningInstance> {
        let folder = self.folder(false).await?;
        let id = folder.replica();
        let fleet = self.fleet(peer::Duty::Store);
        let view = fleet.clone();
        let store = Store::new(self.settings.machine_limits, move || {
            let view = view.view();
            groups::per_store(view.group_leaders.len(), view.stores.len())
        });
        self.serve_peers(store.clone(), Some(Arc::new(StoreSink(store.clone()))));
        let report: Arc<dyn HeartbeatReport> = Arc::new(StoreReport { store: store.clone(), id });
        let heartbeats = fleet.clone();
        self.supervisor.start("beats", move || heartbeats.clone().run(report.clone()));
        let member = StoreMember {
            settings: self.settings.clone(),
            fleet: fleet.clone(),
            client: self.client.clone(),
            clock: self.clock.clone(),
            store: store.clone(),
        };
        let stop = self.stop.clone();
        tokio::spawn(async move {
            if let Err(e) = member.run(folder, stop.clone()).await {
                let error = format!("{e:#}");
                log::error!(error = error.as_str(); "store failed");
                stop.cancel();
            }
        });
        Ok(RunningInstance { fleet: Some(fleet), store: Some(store), ..self.running() })
    }

    async fn start_front(mut self) -> Result<RunningInstance> {
        let settings = self.settings.clone();
        let fleet = self.fleet(peer::Duty::Front);
        let (client, clock) = (self.client.clone(), self.clock.clone());
        let (programs, settler) = Programs::new(fleet.clone(), client.clone(), clock.clone());
        let (origins, recorder) = Origins::new(programs.clone());
        let links = Links::new(fleet.clone(), clock.clone());
        let dial = DetourDial::new(links.clone(), fleet.clone(), client.clone());
        let pool = Front::pool(&*self.protocol, Arc::new(dial));
        let schedule = Schedule::new(
            settings.zone.clone(),
            fleet.clone(),
            pool.clone(),
            clock.clone(),
            settings.measures_limits,
        );
        let quarantine =
            Quarantine::new(fleet.clone(), client.clone(), pool.clone(), links.clone());
        let front = Arc::new(Front {
            protocol: self.protocol.clone(),
            fleet: fleet.clone(),
            clock: clock.clone(),
            schedule: schedule.clone(),
            admission: ProgramAdmission::new(settings.admits_by_delay, clock.clone()),
            rates: Rates::new(settings.clone(), fleet.clone(), client, clock),
            programs,
            origins,
            pool: pool.clone(),
            links: links.clone(),
            quarantine: quarantine.clone(),
            memory: BodyMemory::default(),
        });
        let tunnels = TunnelService::new(links.clone(), fleet.clone());
        self.serve_peers(tunnels.clone(), None);
        let (heartbeats, report) = (fleet.clone(), front.clone() as Arc<dyn HeartbeatReport>);
        self.supervisor.start("beats", move || heartbeats.clone().run(report.clone()));
        let (watched, connections) = (schedule.clone(), pool);
        self.supervisor
            .start("links", move || links.clone().run(watched.clone(), connections.clone()));
        self.supervisor.start("schedule", move || schedule.clone().run());
        self.supervisor.start("quarantine", move || quarantine.clone().run());
        let sweeping = front.clone();
        self.supervisor.start("idle connections", move || sweeping.clone().run_sweep());
        // These tasks own their queues, so they are not restarted: if they end, the instance no
        // longer settles turns or records origins of streams.
        tokio::spawn(settler.run());
        tokio::spawn(recorder.run());
        let listener = Listener::new(front.clone());
        let calls = listen(settings.call_address.context("a front needs a call address")?).await?;
        let accepting = listener.clone();
        self.supervisor.start("calls", move || accepting.clone().run(calls.clone()));
        if let Some(address) = settings.readiness_address {
            let socket = listen(address).await?;
            let server = crate::readiness::ReadinessServer::new(front, self.protocol.clone());
            self.supervisor.start("readiness", move || server.clone().run(socket.clone()));
        }
        Ok(RunningInstance {
            fleet: Some(fleet),
            listener: Some(listener),
            tunnels: Some(tunnels),
            ..self.running()
        })
    }
}

impl RunningInstance {
    async fn serve_metrics(&mut self, metrics: probes::Metrics) -> Result<()> {
        let address = SocketAddr::from((self.settings.ip, self.settings.metrics_port));
        let socket = listen(address).await?;
        let readiness: Arc<dyn Readiness> = Arc::new(AlwaysReady);
        self.supervisor.start("metrics", move || {
            probes::serve(socket.clone(), readiness.clone(), metrics.clone())
        });
        Ok(())
    }

    /// Waits until the instance cannot continue, and returns the cause.
    pub async fn failed(&self) -> anyhow::Error {
        match &self.replica {
            Some(replica) => replica.failed().await,
            None => {
                self.stop.cancelled().await;
                anyhow::anyhow!("instance stopped after a failure")
            }
        }
    }

    /// Applies the seeds of reloaded settings. All other changes take effect at the next start.
    pub fn reload(&self, settings: &Settings) {
        if let Some(fleet) = &self.fleet {
            fleet.set_seeds(settings.control_peer_addresses());
        }
        let seeds = settings.seeds.len();
        log::info!(seeds; "settings reloaded");
    }

    /// Shuts down: reports not ready, completes open calls, transfers leadership and stops. Returns
    /// the number of connections that were still open.
    pub async fn shutdown(self) -> usize {
        log::info!(instance = &*self.settings.instance; "instance shutting down");
        let end =
            Instant::now() + self.settings.time_limits.shutdown_grace.saturating_sub(EXIT_MARGIN);
        if let Some(fleet) = &self.fleet {
            fleet.set_draining(end);
            fleet.send_heartbeat_now();
        }
        let mut open = 0;
        if let Some(listener) = &self.listener {
            sleep(DEREGISTRATION_TIME).await;
            listener.close_idle();
            let tunnels = || self.tunnels.as_ref().map_or(0, |tunnels| tunnels.open());
            while listener.open() + tunnels() > 0 && Instant::now() < end {
                sleep(DRAIN_POLL).await;
            }
            open = listener.open();
        }
        let of_store = || self.store.as_ref()?.replicas().into_iter().next();
        let replica = self.replica.or_else(of_store);
        if let Some(replica) = replica {
            replica.shutdown().await;
        }
        self.stop.cancel();
        self.supervisor.join().await;
        self.endpoint.close(0u32.into(), b"done");
        log::info!(open; "instance stopped");
        open
    }
}

async fn listen(address: SocketAddr) -> Result<Arc<TcpListener>> {
    let socket = TcpListener::bind(address).await;
    Ok(Arc::new(socket.with_context(|| format!("cannot listen on {address}"))?))
}

/// Runs the replicas of a store once the groups are formed.
struct StoreMember {
    settings: Arc<Settings>,
    fleet: Arc<FleetClient>,
    client: PeerClient,
    clock: Arc<dyn Clock>,
    store: Arc<Store>,
}

impl StoreMember {
    async fn run(self, folder: ReplicaFolder, stop: CancellationToken) -> Result<()> {
        let groups = self.groups(&folder).await?;
        let (client, clock) = (self.client.clone(), self.clock.clone());
        let replicas = Replica::start(folder, groups, &self.settings, client, clock).await?;
        self.store.set_replicas(replicas.clone());
        let mut supervisor = Supervisor::new(stop);
        for replica in &replicas {
            let membership = replica.clone();
            supervisor.start("members", move || membership.clone().run_membership());
            let (joiner, fleet) = (replica.clone(), self.fleet.clone());
            let client = self.client.clone();
            supervisor.start("joining", move || {
                let (joiner, fleet) = (joiner.clone(), fleet.clone());
                joiner.run_join(client.clone(), move || fleet.view().stores.clone())
            });
        }
        let store = self.store.clone();
        supervisor.start("comparison", move || compare_states(store.clone()));
        let (watched, fleet) = (replicas.clone(), self.fleet.clone());
        supervisor.start("wishes", move || follow_goals(watched.clone(), fleet.clone()));
        let error = replicas.first().context("the store has no groups")?.failed().await;
        // The log also stops when the instance shuts down.
        if self.fleet.is_draining() { Ok(()) } else { Err(error) }
    }

    /// Initial state of the groups. A new folder waits until the control group has chosen the
    /// initial voters.
    async fn groups(&self, folder: &ReplicaFolder) -> Result<Vec<GroupStart>> {
        let start = |initial_voters: Vec<Vec<ReplicaId>>| {
            let usages: Vec<_> =
                initial_voters.iter().map(|_| Arc::<TurnUsage>::default()).collect();
            self.store.set_usage(usages.clone());
            let group = |((group, initial_voters), usage)| {
                let state = TurnState::with_segments(&folder.bodies_folder(), group, usage);
                let state = state.context("cannot open the segments of kept turns")?;
                Ok(GroupStart { initial_voters, state: Box::new(state), rules: COMMAND_RULES })
            };
            (0..).zip(initial_voters).zip(usages).map(group).collect()
        };
        if let Some(groups) = folder.groups()? {
            return start(vec![Vec::new(); groups as usize]);
        }
        let mut changes = self.fleet.subscribe();
        loop {
            let view = self.fleet.view();
            if !view.group_leaders.is_empty() {
                let groups = 0..view.group_leaders.len() as u32;
                let voters = groups.map(|g| groups::initial_voters(&view.store_ring, g));
                return start(voters.collect());
            }
            changes.changed().await?;
        }
    }
}

/// Passes the desired membership from the fleet view to the replicas of a store.
async fn follow_goals(replicas: Vec<Arc<Replica>>, fleet: Arc<FleetClient>) -> Result<()> {
    let mut changes = fleet.subscribe();
    loop {
        changes.changed().await?;
        let view = fleet.view();
        let retiring: Vec<_> = view.retiring.iter().map(|id| ReplicaId(*id)).collect();
        for replica in &replicas {
            let preferred_leader = groups::preferred_leader(&view.store_ring, replica.group());
            replica.set_goals(MembershipGoals { retiring: retiring.clone(), preferred_leader });
        }
    }
}

/// Lets the replicas of the groups that a store leads compare their states.
async fn compare_states(store: Arc<Store>) -> Result<()> {
    let mut sent = Vec::new();
    loop {
        sleep(COMPARISON_INTERVAL).await;
        store.compare_states(&mut sent).await;
    }
}

/// Adds a store's state to its heartbeats.
struct StoreReport {
    store: Arc<Store>,
    id: ReplicaId,
}

impl HeartbeatReport for StoreReport {
    fn fill<'a>(&'a self, beat: &'a mut peer::Beat) -> BoxFuture<'a, ()> {
        Box::pin(async move { beat.store = Some(self.store.state(self.id.0).await) })
    }

    fn apply_shares(&self, _shares: &[peer::TeamShare]) {}
}

/// Delivers messages of the replicated logs to the store's replicas, once they run.
struct StoreSink(Arc<Store>);

impl AgreementSink for StoreSink {
    fn deliver(&self, batch: peer::AgreementBatch) {
        // All groups of a folder share one sink.
        if let Some(replica) = self.0.replicas().first() {
            replica.sink().deliver(batch);
        }
    }
}

/// Readiness of the metrics port, which answers as long as the process runs.
struct AlwaysReady;

impl Readiness for AlwaysReady {
    fn not_ready(&self) -> Option<&'static str> {
        None
    }
}
