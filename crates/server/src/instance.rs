//! Puts the parts of an instance together, runs them, and takes them down in order.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, Result};
use poplarspan_ledger::{Catalog, Ledger as ProgramLedger};
use poplarspan_objects::ObjectSet;
use poplarspan_proto::peer::{self, request, response};
use tokio::{net::TcpListener, sync::Semaphore, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    admission::LocalAdmission,
    config::InstanceConfig,
    control::{Control, LocalGroup, ProgramGroup, ReleaseOrders, Service, Sweeper},
    dispatch::Pool,
    entry::{Entry, HELD_UNIT_BYTES, Listener},
    membership::{Directory, Heartbeats, Identity, Membership, SavedObjects, new_incarnation},
    peer::{Credentials, PeerClient, PeerServer},
    programs::{Ledger, PeerLedger},
    schedule::LocalScheduler,
    supervisor::Supervisor,
    telemetry::{self, Readiness},
};

/// Program groups of a fleet that has none yet.
const PROGRAM_GROUPS: u32 = 2;
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// An instance that is ready to run.
pub struct Instance {
    cfg: InstanceConfig,
}

/// A running instance.
pub struct Running {
    /// Where callers connect.
    pub entry_address: SocketAddr,
    /// Where other instances and operators connect.
    pub peer_address: SocketAddr,
    /// Where metrics and health are served.
    pub probe_address: SocketAddr,
    drain_grace: Duration,
    draining: Arc<AtomicBool>,
    stop_accepting: CancellationToken,
    stop: CancellationToken,
    listener: JoinHandle<Result<usize>>,
    supervisor: Supervisor,
    leave: Leave,
    client: PeerClient,
}

/// What handing the lease back needs.
struct Leave {
    name: poplarspan_objects::Name,
    incarnation: Arc<AtomicU64>,
    directory: Arc<Directory>,
    membership: Arc<Membership>,
}

impl Instance {
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Names every setting that cannot work.
    pub fn new(cfg: InstanceConfig) -> Result<Self> {
        let problems = cfg.problems();
        if problems.is_empty() {
            return Ok(Self { cfg });
        }
        let list: Vec<String> = problems.iter().map(ToString::to_string).collect();
        anyhow::bail!("{}", list.join("; "))
    }

    /// Opens the sockets and files, and starts every task.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or an address cannot be used.
    pub async fn start(self) -> Result<Running> {
        let cfg = self.cfg;
        let metrics = telemetry::recorder();
        let credentials = Credentials::load(&cfg.tls)?;
        let endpoint = quinn::Endpoint::server(credentials.server_config()?, cfg.peer_address)
            .with_context(|| format!("cannot listen on peer address {}", cfg.peer_address))?;
        let peer_address = endpoint.local_addr()?;
        let client = PeerClient::with_endpoint(endpoint.clone(), &credentials)?;
        let entry_socket = listen(cfg.entry_address).await.context("entry address")?;
        let probe_socket = Arc::new(listen(cfg.probe_address).await.context("probe address")?);

        let saved = cfg.data_dir.as_deref().map(SavedObjects::new);
        let (generation, objects) = match &saved {
            Some(saved) => saved.load()?,
            None => (0, ObjectSet::default()),
        };
        let membership = Arc::new(Membership::new(generation, objects));
        let control = cfg.data_dir.is_some().then(|| local_control(peer_address));
        let mut candidates = cfg.seeds.clone();
        if control.is_some() {
            candidates.push(peer_address);
        }
        let directory = Arc::new(Directory::new(candidates));
        let draining = Arc::new(AtomicBool::new(false));
        let incarnation = Arc::new(AtomicU64::new(new_incarnation()));
        let pool = Pool::new();
        let ledger: Arc<dyn Ledger> =
            Arc::new(PeerLedger::new(client.clone(), directory.clone(), membership.clone()));
        let admission = Arc::new(LocalAdmission::new(membership.clone()));

        let stop = CancellationToken::new();
        let mut supervisor = Supervisor::new(stop.clone());
        let service = Arc::new(Service {
            control: control.clone(),
            directory: directory.clone(),
            rate_owner: admission.clone(),
        });
        let server = Arc::new(PeerServer::new(endpoint, service, None));
        supervisor.start("peer port", move || server.clone().run());
        let identity = Identity {
            name: cfg.name.clone(),
            incarnation: incarnation.clone(),
            zone: cfg.zone.clone(),
            peer_address,
        };
        let heartbeats = Arc::new(Heartbeats {
            identity,
            membership: membership.clone(),
            directory: directory.clone(),
            client: client.clone(),
            saved,
            draining: draining.clone(),
        });
        supervisor.start("heartbeats", move || heartbeats.clone().run());
        if let Some(control) = control {
            start_control(&mut supervisor, control, &ledger, &membership, &pool);
        }
        let ready = Arc::new(Ready { membership: membership.clone(), draining: draining.clone() });
        let probe_address = probe_socket.local_addr()?;
        supervisor.start("probe port", move || {
            telemetry::serve(probe_socket.clone(), ready.clone(), metrics.clone())
        });

        let entry = Arc::new(Entry {
            instance: cfg.name.clone(),
            membership: membership.clone(),
            limits: cfg.limits.clone(),
            pool,
            admission,
            scheduler: LocalScheduler::new(membership.clone()),
            ledger,
            incarnation: incarnation.clone(),
            attempts: AtomicU64::new(1),
            held: Arc::new(Semaphore::new(cfg.limits.max_held / HELD_UNIT_BYTES)),
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
            leave: Leave { name: cfg.name, incarnation, directory, membership },
            client,
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

fn local_control(address: SocketAddr) -> Arc<Control> {
    let catalog = Arc::new(Mutex::new(Catalog::new()));
    let programs = (0..PROGRAM_GROUPS)
        .map(|_| {
            let state = Arc::new(Mutex::new(ProgramLedger::new()));
            ProgramGroup { log: Arc::new(LocalGroup::new(state.clone())), state }
        })
        .collect();
    let log = Arc::new(LocalGroup::new(catalog.clone()));
    Arc::new(Control::new(log, catalog, programs, vec![(1, address)]))
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
    supervisor.start("sweeper", move || sweeper.clone().run());
    let orders =
        Arc::new(ReleaseOrders { control, membership: membership.clone(), pool: pool.clone() });
    supervisor.start("release orders", move || orders.clone().run());
}

struct Ready {
    membership: Arc<Membership>,
    draining: Arc<AtomicBool>,
}

impl Readiness for Ready {
    fn not_ready(&self) -> Option<&'static str> {
        let known = self.membership.load();
        if self.draining.load(Ordering::Relaxed) {
            Some("shutting down")
        } else if known.generation == 0 {
            Some("no objects yet")
        } else if !known.lease_valid() {
            Some("no lease")
        } else {
            None
        }
    }
}

impl Running {
    /// Takes the instance down without cutting a call: not ready, then no longer accepting, then
    /// draining, then handing the lease back.
    ///
    /// Returns the number of connections that were still open when the time for draining was over.
    ///
    /// # Errors
    ///
    /// Fails when the accepting task had failed.
    pub async fn shutdown(self) -> Result<usize> {
        log::info!("shutting down");
        self.draining.store(true, Ordering::Relaxed);
        tokio::time::sleep(self.drain_grace).await;
        self.stop_accepting.cancel();
        let cut = self.listener.await??;
        if cut > 0 {
            log::error!(connections = cut; "drain timeout: calls were cut");
        }
        self.leave.membership.release();
        hand_back(&self.leave, &self.client).await;
        self.stop.cancel();
        self.supervisor.join().await;
        self.client.close().await;
        log::info!("stopped");
        Ok(cut)
    }
}

async fn hand_back(leave: &Leave, client: &PeerClient) {
    let Some(target) = leave.directory.leader() else { return };
    let body = request::Body::Leave(peer::Leave {
        instance: leave.name.to_string(),
        incarnation: leave.incarnation.load(Ordering::Relaxed),
    });
    match client.call(target, body, LEAVE_TIMEOUT).await {
        Ok(response::Body::Left(_)) => {}
        Ok(_) => log::warn!("unexpected answer to the return of the lease"),
        // The lease then runs out by itself.
        Err(e) => {
            let error = e.to_string();
            log::warn!(error = error.as_str(); "cannot hand the lease back");
        }
    }
}
