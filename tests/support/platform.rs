//! Simulates the users' platform around a relay fleet: machines with their own loopback addresses,
//! the list of servers, an operator and callers. The servers are in `servers.rs`.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::{
    convert::Infallible,
    io::ErrorKind,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use poplarspan_node::TlsFiles;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use self::{
    proxy::Link,
    servers::{SERVERS, Servers, server_name},
};

#[path = "datagrams.rs"]
pub mod datagrams;
#[path = "faulty.rs"]
pub mod faulty;
#[path = "proxy.rs"]
pub mod proxy;
#[path = "servers.rs"]
pub mod servers;

const PROGRAM: &str = env!("CARGO_BIN_EXE_poplarspan");
const PEER_PORT: u16 = 7780;
/// Peer ports of a distant front. At the control replicas' addresses, relays listen on them.
const DISTANT_PEER_PORT: u16 = 7820;
const CONTROL_PORT: u16 = 8367;
const FRONT_PORT: u16 = 8368;
const READY_PORT: u16 = 8369;
const SERVER_PORT: u16 = 8080;
/// Machine and port that nothing in a fleet uses. While they are taken, so is the subnet.
const GUARD: u8 = 250;
const GUARD_PORT: u16 = 7999;
/// Upper bound on waits for an expected state, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of fleets of one process that have distinct addresses.
const MAX_FLEETS: u8 = 60;

/// Settings of a platform that states the limits of cold servers.
const STATED_BOUNDS: &str = "coldExcess = 1.5\n";
/// Settings with which rollouts are offered.
const ROLLOUT_BOUNDS: &str =
    "coldExcess = 1.5\nexposureShare = 0.1\nexposureSlack = 50\nrollbackMs = 5000\nackMs = 5000\n";

pub const HOST: &str = "calls.example";
pub const KEY: &str = "key-of-red";

/// A machine that runs one process of the fleet.
pub struct Machine {
    settings: PathBuf,
    tls: PathBuf,
    data: Option<PathBuf>,
    /// File for the standard output, if it is kept.
    log: Option<PathBuf>,
    is_stopping: bool,
    child: Option<Child>,
}

impl Machine {
    fn start(&mut self) {
        let file = |name: &str| self.tls.join(name).display().to_string();
        let output = self.log.as_ref().map_or_else(Stdio::null, |path| {
            let log = std::fs::File::options().create(true).append(true).open(path);
            log.expect("failed to open the log file").into()
        });
        let child = Command::new(PROGRAM)
            .arg("node")
            .arg("--settings")
            .arg(&self.settings)
            .args(["--tls-authority", &file("authority.pem")])
            .args(["--tls-certificate", &file("instance.pem")])
            .args(["--tls-key", &file("instance.key")])
            // Takes effect only where the settings state no limits of cold servers.
            .arg("--admit-by-delay")
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("failed to start the program");
        self.child = Some(child);
        self.is_stopping = false;
    }

    /// Process id. Panics if the process is not running.
    pub fn pid(&self) -> Pid {
        let child = self.child.as_ref().expect("process is not running");
        Pid::from_raw(i32::try_from(child.id()).expect("pid out of range"))
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let pid = Pid::from_raw(i32::try_from(child.id()).expect("pid out of range"));
        // Fails only if the process has already exited.
        let _ = kill(pid, signal);
    }

    /// Resident memory of the process in MiB.
    pub fn memory_mib(&self) -> u64 {
        self.status_mib("VmRSS:")
    }

    /// Largest resident memory of the process so far, in MiB.
    pub fn peak_memory_mib(&self) -> u64 {
        self.status_mib("VmHWM:")
    }

    fn status_mib(&self, field: &str) -> u64 {
        let child = self.child.as_ref().expect("process is not running");
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.expect("cannot read the process status");
        let line = status.lines().find(|line| line.starts_with(field)).expect("no such line");
        let kib: u64 =
            line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("no size in KiB");
        kib >> 10
    }

    /// Returns the exit status if the process has exited without a request to stop.
    pub fn take_unexpected_exit(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut().filter(|_| !self.is_stopping)?;
        let status = child.try_wait().expect("failed to poll the child process")?;
        self.child = None;
        Some(status)
    }

    /// Sends SIGTERM without waiting for the exit.
    pub fn request_stop(&mut self) {
        self.signal(Signal::SIGTERM);
        self.is_stopping = true;
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Waits for the exit if the process was asked to stop; returns at once otherwise.
    pub async fn wait_stopped(&mut self) {
        while let Some(child) = self.child.as_mut().filter(|_| self.is_stopping) {
            if child.try_wait().expect("failed to poll the child process").is_some() {
                self.child = None;
            } else {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("process is not running");
        child.kill().expect("failed to signal the process");
        child.wait().expect("failed to wait for the process");
    }

    /// Sends SIGTERM, waits for the exit, and returns whether the exit status is success.
    pub async fn terminate(&mut self) -> bool {
        let mut child = self.child.take().expect("process is not running");
        let pid = Pid::from_raw(i32::try_from(child.id()).expect("pid out of range"));
        kill(pid, Signal::SIGTERM).expect("failed to signal the process");
        let ended = tokio::task::spawn_blocking(move || {
            child.wait().expect("failed to wait for the process")
        });
        ended.await.expect("task panicked").success()
    }

    /// Starts the process again on its existing data, without bootstrap.
    pub fn restart(&mut self) {
        let text =
            std::fs::read_to_string(&self.settings).expect("cannot access the settings file");
        let text = text.replace("bootstrap = true", "bootstrap = false");
        std::fs::write(&self.settings, text).expect("cannot access the settings file");
        self.start();
    }

    /// Appends to the settings file, for the next start.
    pub fn add_settings(&self, text: &str) {
        let mut settings =
            std::fs::read_to_string(&self.settings).expect("cannot access the settings file");
        settings.push_str(text);
        std::fs::write(&self.settings, settings).expect("cannot access the settings file");
    }

    /// Size of all files in the data folder, in MiB.
    pub fn data_mib(&self) -> u64 {
        let mut folders = vec![self.data.clone().expect("machine has no data folder")];
        let mut bytes = 0;
        while let Some(folder) = folders.pop() {
            // Files and folders may be removed meanwhile.
            for item in std::fs::read_dir(folder).into_iter().flatten().flatten() {
                match item.metadata() {
                    Ok(data) if data.is_dir() => folders.push(item.path()),
                    Ok(data) => bytes += data.len(),
                    Err(_) => {}
                }
            }
        }
        bytes >> 20
    }

    /// Empties the data folder, as after the loss of a disk.
    pub fn wipe(&mut self) {
        let data = self.data.as_ref().expect("machine has no data folder");
        std::fs::remove_dir_all(data).expect("failed to remove the data folder");
        std::fs::create_dir(data).expect("failed to create the data folder");
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A relay fleet with three control replicas, several stores and two fronts, and three servers
/// behind them.
pub struct RelayFleet {
    pub control_replicas: Vec<Machine>,
    pub stores: Vec<Machine>,
    pub fronts: Vec<Machine>,
    pub servers: Servers,
    subnet: [u8; 3],
    _guard: std::net::TcpListener,
    /// Links to the two fronts and then to the servers; empty if connections are direct.
    pub links: Vec<Arc<Link>>,
    logs: Option<PathBuf>,
    /// Additional lines for the table `bounds` of the settings.
    bounds: &'static str,
    pub client: reqwest::Client,
    _dir: tempfile::TempDir,
}

/// First three bytes of the addresses of one fleet, and a socket that keeps other fleets from using
/// them: processes whose ids are 512 apart would choose the same ones.
fn unique_subnet() -> ([u8; 3], std::net::TcpListener) {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    for _ in 0..MAX_FLEETS {
        // Long runs reuse the addresses of fleets that have stopped.
        let fleet = NEXT.fetch_add(1, Ordering::Relaxed) % MAX_FLEETS;
        let subnet = [127, 64 + (pid % 128) as u8, ((pid / 128) % 4) as u8 * MAX_FLEETS + fleet];
        let [a, b, c] = subnet;
        match std::net::TcpListener::bind((Ipv4Addr::new(a, b, c, GUARD), GUARD_PORT)) {
            Ok(guard) => return (subnet, guard),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {}
            Err(e) => panic!("cannot reserve the addresses of a fleet: {e}"),
        }
    }
    panic!("no addresses are left for a fleet");
}

impl RelayFleet {
    fn ip(&self, machine: u8) -> Ipv4Addr {
        let [a, b, c] = self.subnet;
        Ipv4Addr::new(a, b, c, machine)
    }

    /// Starts all processes, publishes `config` and waits until the fronts are ready.
    pub async fn start(config: &Value) -> Self {
        Self::start_with(config, 3, false, None, STATED_BOUNDS).await
    }

    /// Like [`RelayFleet::start`], on a platform that states no limits of cold servers, so that the
    /// limits of servers are measured.
    pub async fn start_measured(config: &Value) -> Self {
        Self::start_with(config, 3, false, None, "").await
    }

    /// Like [`RelayFleet::start`], with a given number of stores.
    pub async fn start_stores(config: &Value, stores: u8) -> Self {
        Self::start_with(config, stores, false, None, STATED_BOUNDS).await
    }

    /// Like [`RelayFleet::start`], with links that can inject faults, two groups of stores, and the
    /// output of the processes in `logs`.
    pub async fn start_linked(config: &Value, logs: &Path) -> Self {
        Self::start_with(config, 4, true, Some(logs.to_owned()), STATED_BOUNDS).await
    }

    /// Like [`RelayFleet::start_linked`], with settings that offer rollouts.
    pub async fn start_rollouts(config: &Value, logs: &Path) -> Self {
        Self::start_with(config, 4, true, Some(logs.to_owned()), ROLLOUT_BOUNDS).await
    }

    async fn start_with(
        config: &Value,
        stores: u8,
        linked: bool,
        logs: Option<PathBuf>,
        bounds: &'static str,
    ) -> Self {
        let dir = tempfile::tempdir().expect("failed to create a temporary folder");
        let tls = dir.path().join("tls");
        let made = Command::new(PROGRAM).args(["certs", "--out"]).arg(&tls).output();
        assert!(made.expect("failed to run the program").status.success());
        let (subnet, guard) = unique_subnet();
        let mut fleet = Self {
            control_replicas: Vec::new(),
            stores: Vec::new(),
            fronts: Vec::new(),
            servers: Servers::default(),
            subnet,
            _guard: guard,
            links: Vec::new(),
            logs,
            bounds,
            client: reqwest::Client::builder()
                .pool_max_idle_per_host(0)
                .build()
                .expect("failed to build the HTTP client"),
            _dir: dir,
        };
        let root = fleet._dir.path().to_owned();
        if linked {
            fleet.open_links().await;
        }
        fleet.start_servers().await;
        for n in 0..3 {
            let replica = fleet.machine(&root, &tls, "core", 10 + n);
            fleet.control_replicas.push(replica);
        }
        for n in 0..stores {
            let store = fleet.machine(&root, &tls, "storage", 20 + n);
            fleet.stores.push(store);
        }
        for n in 0..2 {
            let front = fleet.machine(&root, &tls, "front", 30 + n);
            fleet.fronts.push(front);
        }
        for machine in
            fleet.control_replicas.iter_mut().chain(&mut fleet.stores).chain(&mut fleet.fronts)
        {
            machine.start();
        }
        assert_eq!(fleet.publish(config).await, 200);
        for front in 0..2 {
            fleet.wait_ready(front).await;
        }
        fleet
    }

    async fn open_links(&mut self) {
        let links = [(40, 30, FRONT_PORT), (41, 31, FRONT_PORT)];
        let links = links.into_iter().chain((0..3).map(|n| (50 + n, 2 + n, SERVER_PORT)));
        for (near, far, port) in links {
            let address = |machine| SocketAddr::from((self.ip(machine), port));
            self.links.push(Link::open(address(near), address(far)).await);
        }
    }

    /// Address at which callers reach a front.
    pub fn front_address(&self, front: u8) -> SocketAddr {
        let first = if self.links.is_empty() { 30 } else { 40 };
        SocketAddr::from((self.ip(first + front), FRONT_PORT))
    }

    /// File with the output of a machine's process. Panics if output is not kept.
    pub fn log_of(&self, machine: &str) -> PathBuf {
        self.logs.as_ref().expect("logs are not kept").join(format!("{machine}.log"))
    }

    /// Address at which operators reach a control replica.
    pub fn control_address(&self, replica: u8) -> SocketAddr {
        SocketAddr::from((self.ip(10 + replica), CONTROL_PORT))
    }

    /// Address at which instances reach a control replica.
    pub fn peer_address(&self, replica: u8) -> SocketAddr {
        SocketAddr::from((self.ip(10 + replica), PEER_PORT))
    }

    /// Address at which instances reach a store.
    pub fn store_address(&self, store: u8) -> SocketAddr {
        SocketAddr::from((self.ip(20 + store), PEER_PORT + 1))
    }

    /// Address of a machine that runs nothing, with a free port.
    pub fn spare_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip(60), 0))
    }

    /// TLS files of the instances.
    pub fn tls_files(&self) -> TlsFiles {
        let tls = self._dir.path().join("tls");
        TlsFiles {
            authority: tls.join("authority.pem"),
            certificate: tls.join("instance.pem"),
            key: tls.join("instance.key"),
        }
    }

    fn machine(&self, root: &Path, tls: &Path, class: &str, number: u8) -> Machine {
        let name = format!("{class}-{number}");
        let ip = self.ip(number);
        let data = (class != "front").then(|| root.join(&name));
        let seeds: Vec<_> =
            (10..13).map(|n| format!("\"{}:{CONTROL_PORT}\"", self.ip(n))).collect();
        let (serves, listen) = match class {
            "front" => {
                ("front", format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\""))
            }
            "core" => ("control", format!("control = \"{ip}:{CONTROL_PORT}\"")),
            _ => ("storage", String::new()),
        };
        let data_line = data.as_ref().map_or_else(String::new, |data| {
            std::fs::create_dir(data).expect("failed to create the data folder");
            format!("dataDir = \"{}\"\n", data.display())
        });
        let text = format!(
            "node = \"{name}\"\nserves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"z1\"\n\
             portRange = [{PEER_PORT}, {last}]\nseeds = [{seeds}]\nbootstrap = true\n{data_line}\
             [zones]\nz1 = \"r\"\nz2 = \"r\"\n[listen]\n{listen}\n\
             [faultTolerance]\nmachines = 1\n\
             [bounds]\nrevokeMs = 5000\ngraceS = 8\nconfigApplyMs = 2500\n{bounds}\
             [cloud]\naddress = \"{list}\"\n",
            bounds = self.bounds,
            last = PEER_PORT + 15,
            seeds = seeds.join(", "),
            list = SocketAddr::from((self.ip(1), SERVER_PORT)),
        );
        let settings = root.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("cannot access the settings file");
        let log = self.logs.as_ref().map(|logs| logs.join(format!("{name}.log")));
        Machine { settings, tls: tls.to_owned(), data, log, is_stopping: false, child: None }
    }

    async fn start_servers(&self) {
        for server in 0..SERVERS {
            let address = SocketAddr::from((self.ip(2 + server as u8), SERVER_PORT));
            tokio::spawn(self.servers.clone().serve(server, address));
        }
        let first = if self.links.is_empty() { 2 } else { 50 };
        let addresses: Vec<_> =
            (0..3u8).map(|n| format!("{}:{SERVER_PORT}", self.ip(first + n))).collect();
        let servers = self.servers.clone();
        let page = Arc::new(move || {
            let entry = |(n, address): (usize, &String)| {
                Some(json!({"id": server_name(n), "service": "s", "address": address,
                    "zone": "z1", "version": servers.software(n)?, "slots": 8, "state": "ready",
                    "coldLeftMs": 0}))
            };
            let mut list: Vec<Value> = addresses.iter().enumerate().filter_map(entry).collect();
            // An entry in another writer's format, which the fleet must skip.
            list.push(json!({"id": 7, "service": "s", "state": "sleeping"}));
            json!({"instances": list, "nextToken": null}).to_string()
        });
        let socket = TcpListener::bind((self.ip(1), SERVER_PORT))
            .await
            .expect("failed to bind the instance list");
        tokio::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                let page = page.clone();
                let service = service_fn(move |_req: Request<Incoming>| {
                    let page = page.clone();
                    async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(page())))) }
                });
                tokio::spawn(async move {
                    // A client may disconnect at any time.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
    }

    /// Sends an operator request to the control replicas in turn until one responds without a
    /// server error; returns status and body.
    pub async fn operator_request(&self, method: &str, path: &str, body: String) -> (u16, String) {
        let method: reqwest::Method = method.parse().expect("invalid method");
        let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
        for turn in 0u8.. {
            assert!(tokio::time::Instant::now() < until, "no control replica responded to {path}");
            let url = format!("http://{}:{CONTROL_PORT}{path}", self.ip(10 + turn % 3));
            let sent = self.client.request(method.clone(), url).body(body.clone()).send().await;
            match sent {
                Ok(answer) if !answer.status().is_server_error() => {
                    let status = answer.status().as_u16();
                    return (status, answer.text().await.expect("incomplete response"));
                }
                Ok(_) | Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        unreachable!("the loop only ends by returning")
    }

    pub async fn publish(&self, config: &Value) -> u16 {
        self.operator_request("PUT", "/-/config", config.to_string()).await.0
    }

    /// Restarts a front whose datagrams to the control replicas, and the answers, arrive after
    /// `delay`. Control replicas that it learns of later are reached directly.
    pub async fn restart_distant(&mut self, front: u8, delay: Duration) {
        for replica in 10..13 {
            let near = SocketAddr::from((self.ip(replica), DISTANT_PEER_PORT));
            let far = SocketAddr::from((self.ip(replica), PEER_PORT));
            datagrams::delay(near, far, delay).await;
        }
        let machine = &mut self.fronts[usize::from(front)];
        machine.kill();
        let text = std::fs::read_to_string(&machine.settings).expect("cannot read the settings");
        let text = text.replace(
            &format!("portRange = [{PEER_PORT}, {}]", PEER_PORT + 15),
            &format!("portRange = [{DISTANT_PEER_PORT}, {}]", DISTANT_PEER_PORT + 15),
        );
        std::fs::write(&machine.settings, text).expect("cannot write the settings");
        machine.restart();
    }

    pub async fn wait_ready(&self, front: u8) {
        let url = format!("http://{}:{READY_PORT}/-/ready", self.ip(30 + front));
        let is_ready = async || {
            self.client.get(&url).send().await.is_ok_and(|answer| answer.status().is_success())
        };
        eventually("a front becomes ready", is_ready).await;
    }

    /// Sends a call with this request id.
    pub async fn call(&self, front: u8, path: &str, id: &str, call: Call<'_>) -> CallResponse {
        let url = format!("http://{}{path}", self.front_address(front));
        let mut req = self
            .client
            .post(url)
            .header("host", HOST)
            .header("request-id", id)
            .body(call.body.to_owned());
        if call.headers.iter().all(|(name, _)| *name != "deadline-ms") {
            req = req.header("deadline-ms", "20000");
        }
        if let Some(key) = call.key {
            req = req.header("api-key", key);
        }
        for (name, value) in call.headers {
            req = req.header(*name, *value);
        }
        let answer = match req.send().await {
            Ok(answer) => answer,
            Err(e) => return CallResponse { status: 0, headers: Default::default(), body: Err(e) },
        };
        let (status, headers) = (answer.status().as_u16(), answer.headers().clone());
        CallResponse { status, headers, body: answer.text().await }
    }
}

/// What a caller sends besides the path and the request id.
#[derive(Clone, Copy)]
pub struct Call<'a> {
    pub key: Option<&'a str>,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self { key: Some(KEY), headers: &[], body: "in" }
    }
}

/// What a caller receives. Without a response the status is 0.
pub struct CallResponse {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    /// The body, or an error if it was cut.
    pub body: Result<String, reqwest::Error>,
}

impl CallResponse {
    pub fn text(&self) -> &str {
        self.body.as_deref().expect("incomplete response")
    }
}

/// Polls a condition until it holds. Panics after [`WAIT_TIMEOUT`].
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < until,
            "timed out after {WAIT_TIMEOUT:?} waiting until {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A config with one route of each kind: `/safe/`, `/once/` (unsafe), `/stream/`, and `/kept/` (a
/// stream with retained turns).
pub fn config(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, is_kept: bool| {
        json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 20_000, "goalMs": 500, "priority": 0, "service": "s", "attempts": 2,
            "retain": is_kept, "retainS": 60.0, "public": false, "canResume": false})
    };
    json!({"version": version,
        "routes": [route("safe", "safe", false), route("once", "unsafe", false),
            route("stream", "stream", false), route("kept", "stream", true)],
        "services": [{"name": "s", "healthPath": "/healthz", "maxConns": 100,
            "coldStartS": 0.0, "coldPerS": 0.0,
            "engine": {"slots": 8, "kvCapacity": 100_000, "tokensPerEvent": 10}}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000},
        "tenants": [{"name": "red", "apiKeys": keys, "ratePerS": 0, "burst": 0}]})
}
