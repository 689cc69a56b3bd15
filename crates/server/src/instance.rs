//! Startup and ordered shutdown of an instance.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, Result};
use http::HeaderName;
use poplarspan_agreement::{DataDir, Node};
use poplarspan_objects::ObjectSet;
use poplarspan_policy::retry::RetryBudget;
use poplarspan_proto::peer::{self, request, response};
use tokio::{net::TcpListener, sync::Semaphore, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    admission::FleetAdmission,
    config::InstanceConfig,
    control::{self, Control, PROGRAM_GROUPS, ReleaseOrders, ReplicaAddresses, Service, Sweeper},
    crashes::CrashRegistry,
    dispatch::{Pool, PoolConfig, REQUEST_ID_HEADER},
    entry::{EntryHandler, Listener, MEMORY_UNIT_BYTES},
    membership::{
        Directory, HeartbeatTask, Identity, Membership, ObjectFile, discover, new_incarnation,
    },
    peer::{Credentials, PeerClient, PeerServer},
    probes::{self, Readiness},
    programs::{Ledger, PeerLedger},
    schedule::{FairScheduler, LoadPoller, RunProbe},
    supervisor::Supervisor,
};

const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// An instance with a valid configuration that has not been started.
pub struct Instance {
    cfg: InstanceConfig,
}

/// Handle of a running instance.
pub struct Running {
    /// Bound address for callers.
    pub entry_address: SocketAddr,
    /// Peer address as advertised to other instances.
    pub peer_address: SocketAddr,
    /// Bound address for metrics and health checks.
    pub probe_address: SocketAddr,
    drain_grace: Duration,
    draining: Arc<AtomicBool>,
    stop_accepting: CancellationToken,
    stop: CancellationToken,
    listener: JoinHandle<Result<usize>>,
    supervisor: Supervisor,
    lease_release: LeaseRelease,
    client: PeerClient,
    /// The replicated log and the lock on its data folder.
    replica: Option<(Arc<Node>, DataDir)>,
}

/// State that is needed to release the lease at shutdown.
struct LeaseRelease {
    name: poplarspan_objects::Name,
    incarnation: Arc<AtomicU64>,
    directory: Arc<Directory>,
    membership: Arc<Membership>,
    leaving: Arc<AtomicBool>,
}

impl Instance {
    /// Validates the configuration.
    ///
    /// # Errors
    ///
    /// Returns one error that lists all invalid settings.
    pub fn new(cfg: InstanceConfig) -> Result<Self> {
        let problems = cfg.problems();
        if problems.is_empty() {
            return Ok(Self { cfg });
        }
        let list: Vec<String> = problems.iter().map(ToString::to_string).collect();
        anyhow::bail!("{}", list.join("; "))
    }

    /// Opens the sockets and files and starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or an address cannot be bound.
    pub async fn start(self) -> Result<Running> {
        let cfg = self.cfg;
        let metrics = probes::recorder();
        let credentials = Credentials::load(&cfg.tls)?;
        let endpoint = poplarspan_node::peer::listen(&credentials, cfg.peer_address)?;
        let bound_address = endpoint.local_addr()?;
        let peer_address = cfg.advertise_address.unwrap_or(bound_address);
        let client = PeerClient::with_endpoint(endpoint.clone(), &credentials)?;
        let entry_socket = listen(cfg.entry_address).await.context("entry address")?;
        let probe_socket = Arc::new(listen(cfg.probe_address).await.context("probe address")?);

        let object_file = cfg.data_dir.as_deref().map(ObjectFile::new);
        let (generation, objects) = match &object_file {
            Some(object_file) => object_file.load()?,
            None => (0, ObjectSet::default()),
        };
        metrics::gauge!("poplarspan_generation").set(generation as f64);
        let membership = Arc::new(Membership::new(generation, objects));
        let started = start_replica(&cfg, &client, peer_address).await?;
        let control = started.as_ref().map(|s| s.control.clone());
        let mut candidates = cfg.seeds.clone();
        candidates.extend(cfg.replicas.iter().map(|r| r.address));
        if started.is_some() {
            candidates.push(peer_address);
        }
        candidates.sort_unstable();
        candidates.dedup();
        let directory = Arc::new(Directory::new(candidates));
        let draining = Arc::new(AtomicBool::new(false));
        let leaving = Arc::new(AtomicBool::new(false));
        let incarnation = Arc::new(AtomicU64::new(new_incarnation()));
        let pool = Pool::new(PoolConfig::new(HeaderName::from_static(REQUEST_ID_HEADER)));
        let ledger: Arc<dyn Ledger> =
            Arc::new(PeerLedger::new(client.clone(), directory.clone(), membership.clone()));
        let session = incarnation.load(Ordering::Relaxed);
        let admission =
            FleetAdmission::new(cfg.name.clone(), session, membership.clone(), client.clone());

        let scheduler = FairScheduler::new(cfg.name.clone(), cfg.zone.clone(), membership.clone());
        let crashes = CrashRegistry::new(
            cfg.name.clone(),
            membership.clone(),
            client.clone(),
            scheduler.clone(),
            RunProbe::new(pool.clone()),
        );

        let stop = CancellationToken::new();
        let mut supervisor = Supervisor::new(stop.clone());
        let service = Arc::new(Service {
            control: control.clone(),
            directory: directory.clone(),
            client: client.clone(),
            crashes: crashes.clone(),
            rate_owner: admission.clone(),
        });
        let sink = started.as_ref().map(|s| s.sink());
        let server = Arc::new(PeerServer::new(endpoint, service, sink));
        supervisor.start("peer port", move || server.clone().run());
        let identity = Identity {
            name: cfg.name.clone(),
            incarnation: incarnation.clone(),
            zone: cfg.zone.clone(),
            peer_address,
            replica: started.as_ref().map(|s| s.replica),
        };
        let heartbeats = Arc::new(HeartbeatTask {
            identity,
            membership: membership.clone(),
            directory: directory.clone(),
            client: client.clone(),
            object_file,
            draining: draining.clone(),
            leaving: leaving.clone(),
        });
        let (discovery, peer_client, seeds) =
            (directory.clone(), client.clone(), cfg.seeds.clone());
        supervisor.start("discovery", move || {
            discover(discovery.clone(), peer_client.clone(), seeds.clone())
        });
        supervisor.start("heartbeats", move || heartbeats.clone().run());
        if let Some(control) = control {
            start_control(&mut supervisor, control, &ledger, &membership, &pool);
        }
        let queues = scheduler.clone();
        supervisor.start("scheduler", move || queues.clone().run());
        let loads = Arc::new(LoadPoller { scheduler: scheduler.clone(), pool: pool.clone() });
        supervisor.start("load reports", move || loads.clone().run());
        let records = crashes.clone();
        supervisor.start("crash records", move || records.clone().run());
        let rates = admission.clone();
        supervisor.start("rates", move || rates.clone().run());
        let ready = Arc::new(InstanceReadiness {
            membership: membership.clone(),
            draining: draining.clone(),
        });
        let probe_address = probe_socket.local_addr()?;
        supervisor.start("probe port", move || {
            probes::serve(probe_socket.clone(), ready.clone(), metrics.clone())
        });

        let entry = Arc::new(EntryHandler {
            instance: cfg.name.clone(),
            membership: membership.clone(),
            limits: cfg.limits.clone(),
            pool,
            admission,
            scheduler,
            ledger,
            crashes,
            retry_budget: Mutex::new(RetryBudget::new(Default::default())),
            incarnation: incarnation.clone(),
            attempts: AtomicU64::new(1),
            memory: Arc::new(Semaphore::new(cfg.limits.max_held / MEMORY_UNIT_BYTES)),
            draining: draining.clone(),
        });
        let entry_address = entry_socket.local_addr()?;
        let stop_accepting = CancellationToken::new();
        let listener = Listener::new(entry_socket, entry, cfg.limits.clone());
        let listener = tokio::spawn(listener.run(stop_accepting.clone(), cfg.drain_timeout));
        let (entry, peer, probe) =
            (entry_address.to_string(), peer_address.to_string(), probe_address.to_string());
        log::info!(
            instance = &*cfg.name, zone = &*cfg.zone, entry = entry.as_str(),
            peer = peer.as_str(), probe = probe.as_str(); "instance started"
        );
        Ok(Running {
            entry_address,
            peer_address,
            probe_address,
            drain_grace: cfg.drain_grace,
            draining,
            stop_accepting,
            stop,
            listener,
            supervisor,
            lease_release: LeaseRelease {
                name: cfg.name,
                incarnation,
                directory,
                membership,
                leaving,
            },
            client,
            replica: started.map(|s| (s.node, s.dir)),
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

/// Opens the data folder, if one is configured, and starts the replicated log.
async fn start_replica(
    cfg: &InstanceConfig,
    client: &PeerClient,
    peer_address: SocketAddr,
) -> Result<Option<control::ControlReplica>> {
    let Some(path) = &cfg.data_dir else { return Ok(None) };
    let dir = DataDir::open(path)?;
    let replicas = Arc::new(ReplicaAddresses::default());
    for replica in &cfg.replicas {
        replicas.set_configured(replica.replica, replica.address);
    }
    replicas.set_configured(dir.replica().0, peer_address);
    Ok(Some(control::start(dir, client.clone(), replicas, peer_address).await?))
}

fn start_control(
    supervisor: &mut Supervisor,
    control: Arc<Control>,
    ledger: &Arc<dyn Ledger>,
    membership: &Arc<Membership>,
    pool: &Arc<Pool>,
) {
    let sweeper = Arc::new(Sweeper {
        control: control.clone(),
        ledger: ledger.clone(),
        program_groups: PROGRAM_GROUPS,
    });
    let notifier = sweeper.clone();
    supervisor.start("sweeper", move || sweeper.clone().run());
    supervisor.start("telling groups", move || notifier.clone().run_group_notifications());
    let orders =
        Arc::new(ReleaseOrders { control, membership: membership.clone(), pool: pool.clone() });
    supervisor.start("release orders", move || orders.clone().run());
}

struct InstanceReadiness {
    membership: Arc<Membership>,
    draining: Arc<AtomicBool>,
}

impl Readiness for InstanceReadiness {
    fn not_ready(&self) -> Option<&'static str> {
        let snapshot = self.membership.load();
        if self.draining.load(Ordering::Relaxed) {
            Some("shutting down")
        } else if snapshot.generation == 0 {
            Some("no objects yet")
        } else if !snapshot.lease_valid() {
            Some("no lease")
        } else {
            None
        }
    }
}

impl Running {
    /// Waits until the instance has published objects and a valid lease.
    pub async fn ready(&self) {
        // Polls because lease renewals do not notify subscribers of the membership.
        const POLL: Duration = Duration::from_millis(20);
        let ready = InstanceReadiness {
            membership: self.lease_release.membership.clone(),
            draining: self.draining.clone(),
        };
        while ready.not_ready().is_some() {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until the replicated log fails, for instance on a disk error. The log cannot be used
    /// afterwards, so the process should exit. Never returns on an instance without a data folder.
    pub async fn failed(&self) -> anyhow::Error {
        match &self.replica {
            Some((node, _)) => node.failed().await.into(),
            None => std::future::pending().await,
        }
    }

    /// Shuts the instance down gracefully: reports "not ready", stops accepting connections, waits
    /// for open calls, and releases the lease.
    ///
    /// Returns the number of connections that were still open after the drain timeout.
    ///
    /// # Errors
    ///
    /// Fails if the listener task has failed.
    pub async fn shutdown(self) -> Result<usize> {
        log::info!("instance is shutting down");
        self.draining.store(true, Ordering::Relaxed);
        tokio::time::sleep(self.drain_grace).await;
        self.stop_accepting.cancel();
        let open = self.listener.await??;
        if open > 0 {
            log::error!(connections = open; "drain timeout expired; aborting open calls");
        }
        self.lease_release.leaving.store(true, Ordering::Relaxed);
        self.lease_release.membership.drop_lease();
        release_lease(&self.lease_release, &self.client).await;
        if let Some((node, _)) = &self.replica {
            // Transfers its leaderships to other replicas first.
            node.shutdown().await;
        }
        self.stop.cancel();
        self.supervisor.join().await;
        self.client.close().await;
        log::info!("instance stopped");
        Ok(open)
    }
}

async fn release_lease(lease_release: &LeaseRelease, client: &PeerClient) {
    let Some(target) = lease_release.directory.leader() else { return };
    let body = request::Body::Leave(peer::Leave {
        instance: lease_release.name.to_string(),
        incarnation: lease_release.incarnation.load(Ordering::Relaxed),
    });
    match client.call(target, body, LEAVE_TIMEOUT).await {
        Ok(response::Body::Left(_)) => {}
        Ok(_) => log::warn!("unexpected response to the release of the lease"),
        // The lease then expires.
        Err(e) => {
            let error = e.to_string();
            log::warn!(error = error.as_str(); "cannot release the lease; it will expire");
        }
    }
}
