//! A stand-in of the users' platform for a relay fleet: machines on loopback addresses of their own,
//! the list of servers, an operator and callers. Its servers are in `servers.rs`.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    convert::Infallible,
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
use serde_json::{Value, json};
use tokio::net::TcpListener;

use self::{
    proxy::Link,
    servers::{SERVERS, Servers, server_name},
};

#[path = "faulty.rs"]
pub mod faulty;
#[path = "proxy.rs"]
pub mod proxy;
#[path = "servers.rs"]
pub mod servers;

const PROGRAM: &str = env!("CARGO_BIN_EXE_poplarspan");
const PEER_PORT: u16 = 7780;
const CONTROL_PORT: u16 = 8367;
const FRONT_PORT: u16 = 8368;
const READY_PORT: u16 = 8369;
const SERVER_PORT: u16 = 8080;
/// Long enough for a busy machine; no test waits for it to pass.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Fleets of one process whose addresses differ.
const MAX_FLEETS: u8 = 60;

pub const HOST: &str = "calls.example";
pub const KEY: &str = "key-of-red";

/// A machine with one process of the fleet.
pub struct Machine {
    settings: PathBuf,
    tls: PathBuf,
    data: Option<PathBuf>,
    /// Where its output goes, if it is kept.
    log: Option<PathBuf>,
    is_stopping: bool,
    child: Option<Child>,
}

impl Machine {
    fn start(&mut self) {
        let file = |name: &str| self.tls.join(name).display().to_string();
        let output = self.log.as_ref().map_or_else(Stdio::null, |path| {
            let log = std::fs::File::options().create(true).append(true).open(path);
            log.expect("a log file").into()
        });
        let child = Command::new(PROGRAM)
            .arg("node")
            .arg("--settings")
            .arg(&self.settings)
            .args(["--tls-authority", &file("authority.pem")])
            .args(["--tls-certificate", &file("instance.pem")])
            .args(["--tls-key", &file("instance.key")])
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
        self.is_stopping = false;
    }

    /// Sends the process a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let pid = Pid::from_raw(i32::try_from(child.id()).expect("a pid"));
        // Fails only when it has ended by itself.
        let _ = kill(pid, signal);
    }

    /// Memory that the process uses now, in MiB.
    pub fn memory_mib(&self) -> u64 {
        let child = self.child.as_ref().expect("it runs");
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.expect("a running process");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("its memory");
        let kib: u64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("KiB");
        kib >> 10
    }

    /// How the process has ended, if it has without being asked to.
    pub fn take_unexpected_exit(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut().filter(|_| !self.is_stopping)?;
        let status = child.try_wait().expect("a process of ours")?;
        self.child = None;
        Some(status)
    }

    /// Asks the process to end, without waiting for it.
    pub fn request_stop(&mut self) {
        self.signal(Signal::SIGTERM);
        self.is_stopping = true;
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns once the process has ended. One that was not asked to end goes on.
    pub async fn wait_stopped(&mut self) {
        while let Some(child) = self.child.as_mut().filter(|_| self.is_stopping) {
            if child.try_wait().expect("a process of ours").is_some() {
                self.child = None;
            } else {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("it runs");
        child.kill().expect("it runs");
        child.wait().expect("it ends");
    }

    /// Asks the process to end, and returns whether it reports success.
    pub async fn terminate(&mut self) -> bool {
        let mut child = self.child.take().expect("it runs");
        let pid = Pid::from_raw(i32::try_from(child.id()).expect("a pid"));
        kill(pid, Signal::SIGTERM).expect("it runs");
        let ended = tokio::task::spawn_blocking(move || child.wait().expect("it ends"));
        ended.await.expect("no panic").success()
    }

    /// Starts the process again, with what is on its disk.
    pub fn restart(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("settings");
        let text = text.replace("bootstrap = true", "bootstrap = false");
        std::fs::write(&self.settings, text).expect("settings");
        self.start();
    }

    /// Loses the disk.
    pub fn wipe(&mut self) {
        let data = self.data.as_ref().expect("a machine with a disk");
        std::fs::remove_dir_all(data).expect("the disk");
        std::fs::create_dir(data).expect("an empty disk");
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only when it has ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A fleet with three control replicas, three stores and two fronts before three servers.
pub struct RelayFleet {
    pub control_replicas: Vec<Machine>,
    pub stores: Vec<Machine>,
    pub fronts: Vec<Machine>,
    pub servers: Servers,
    subnet: [u8; 3],
    /// Links to the fronts and to the servers, if callers and fronts are to use such.
    pub links: Vec<Arc<Link>>,
    logs: Option<PathBuf>,
    pub client: reqwest::Client,
    _dir: tempfile::TempDir,
}

/// Addresses of one test: other tests, also in other processes, have others.
fn unique_subnet() -> [u8; 3] {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    // A long run takes the addresses of fleets that have ended again.
    let fleet = NEXT.fetch_add(1, Ordering::Relaxed) % MAX_FLEETS;
    [127, 64 + (pid % 128) as u8, ((pid / 128) % 4) as u8 * MAX_FLEETS + fleet]
}

impl RelayFleet {
    fn ip(&self, machine: u8) -> Ipv4Addr {
        let [a, b, c] = self.subnet;
        Ipv4Addr::new(a, b, c, machine)
    }

    /// Starts everything, and returns when the fronts are ready.
    pub async fn start(config: &Value) -> Self {
        Self::start_with(config, 3, false, None).await
    }

    /// Starts everything, with so many stores.
    pub async fn start_stores(config: &Value, stores: u8) -> Self {
        Self::start_with(config, stores, false, None).await
    }

    /// Starts everything with links that can be disturbed, two groups of stores, and the output of
    /// the processes kept in a folder.
    pub async fn start_linked(config: &Value, logs: &Path) -> Self {
        Self::start_with(config, 4, true, Some(logs.to_owned())).await
    }

    async fn start_with(config: &Value, stores: u8, linked: bool, logs: Option<PathBuf>) -> Self {
        let dir = tempfile::tempdir().expect("temporary folder");
        let tls = dir.path().join("tls");
        let made = Command::new(PROGRAM).args(["certs", "--out"]).arg(&tls).output();
        assert!(made.expect("the program runs").status.success());
        let mut fleet = Self {
            control_replicas: Vec::new(),
            stores: Vec::new(),
            fronts: Vec::new(),
            servers: Servers::default(),
            subnet: unique_subnet(),
            links: Vec::new(),
            logs,
            client: reqwest::Client::builder().pool_max_idle_per_host(0).build().expect("a client"),
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

    /// Where callers find a front.
    pub fn front_address(&self, front: u8) -> SocketAddr {
        let first = if self.links.is_empty() { 30 } else { 40 };
        SocketAddr::from((self.ip(first + front), FRONT_PORT))
    }

    /// File with the output of a machine's process, if it is kept.
    pub fn log_of(&self, machine: &str) -> PathBuf {
        self.logs.as_ref().expect("logs are kept").join(format!("{machine}.log"))
    }

    /// Where operators find a control replica.
    pub fn control_address(&self, replica: u8) -> SocketAddr {
        SocketAddr::from((self.ip(10 + replica), CONTROL_PORT))
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
            std::fs::create_dir(data).expect("a disk");
            format!("dataDir = \"{}\"\n", data.display())
        });
        let text = format!(
            "node = \"{name}\"\nserves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"z1\"\n\
             portRange = [{PEER_PORT}, {last}]\nseeds = [{seeds}]\nbootstrap = true\n{data_line}\
             [zones]\nz1 = \"r\"\nz2 = \"r\"\n[listen]\n{listen}\n\
             [faultTolerance]\nmachines = 1\n[bounds]\nrevokeMs = 5000\ngraceS = 8\n\
             [cloud]\naddress = \"{list}\"\n",
            last = PEER_PORT + 15,
            seeds = seeds.join(", "),
            list = SocketAddr::from((self.ip(1), SERVER_PORT)),
        );
        let settings = root.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("settings");
        let log = self.logs.as_ref().map(|logs| logs.join(format!("{name}.log")));
        Machine { settings, tls: tls.to_owned(), data, log, is_stopping: false, child: None }
    }

    async fn start_servers(&self) {
        for server in 0..SERVERS {
            let address = SocketAddr::from((self.ip(2 + server as u8), SERVER_PORT));
            tokio::spawn(self.servers.clone().serve(server, address));
        }
        let first = if self.links.is_empty() { 2 } else { 50 };
        let mut list: Vec<Value> = (0..3u8)
            .map(|n| {
                json!({"id": server_name(n.into()), "service": "s",
                    "address": format!("{}:{SERVER_PORT}", self.ip(first + n)), "zone": "z1",
                    "slots": 8, "state": "ready", "coldLeftMs": 0})
            })
            .collect();
        // An entry of another writer.
        list.push(json!({"id": 7, "service": "s", "state": "sleeping"}));
        let page = json!({"instances": list, "nextToken": null}).to_string();
        let socket = TcpListener::bind((self.ip(1), SERVER_PORT)).await.expect("an address");
        tokio::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                let page = page.clone();
                let service = service_fn(move |_req: Request<Incoming>| {
                    let page = page.clone();
                    async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(page)))) }
                });
                tokio::spawn(async move {
                    // A reader that leaves needs no report.
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
    }

    /// Sends an order to one replica after another until one answers it; returns the status.
    pub async fn operator_request(&self, method: &str, path: &str, body: String) -> (u16, String) {
        let method: reqwest::Method = method.parse().expect("a method");
        let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
        for turn in 0u8.. {
            assert!(tokio::time::Instant::now() < until, "no replica answers {path}");
            let url = format!("http://{}:{CONTROL_PORT}{path}", self.ip(10 + turn % 3));
            let sent = self.client.request(method.clone(), url).body(body.clone()).send().await;
            match sent {
                Ok(answer) if !answer.status().is_server_error() => {
                    let status = answer.status().as_u16();
                    return (status, answer.text().await.expect("a whole answer"));
                }
                Ok(_) | Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        unreachable!("the loop ends by a return")
    }

    pub async fn publish(&self, config: &Value) -> u16 {
        self.operator_request("PUT", "/-/config", config.to_string()).await.0
    }

    async fn wait_ready(&self, front: u8) {
        let url = format!("http://{}:{READY_PORT}/-/ready", self.ip(30 + front));
        let is_ready = async || {
            self.client.get(&url).send().await.is_ok_and(|answer| answer.status().is_success())
        };
        eventually("a front becomes ready", is_ready).await;
    }

    /// Makes a call with its id.
    pub async fn call(&self, front: u8, path: &str, id: &str, call: Call<'_>) -> Answer {
        let url = format!("http://{}{path}", self.front_address(front));
        let mut req = self
            .client
            .post(url)
            .header("host", HOST)
            .header("request-id", id)
            .header("deadline-ms", "20000")
            .body(call.body.to_owned());
        if let Some(key) = call.key {
            req = req.header("api-key", key);
        }
        for (name, value) in call.headers {
            req = req.header(*name, *value);
        }
        let answer = match req.send().await {
            Ok(answer) => answer,
            Err(e) => return Answer { status: 0, headers: Default::default(), body: Err(e) },
        };
        let (status, headers) = (answer.status().as_u16(), answer.headers().clone());
        Answer { status, headers, body: answer.text().await }
    }
}

/// What a caller sends beside the path and the id.
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

/// What a caller gets.
pub struct Answer {
    pub status: u16,
    pub headers: reqwest::header::HeaderMap,
    /// An error if the answer was cut short.
    pub body: Result<String, reqwest::Error>,
}

impl Answer {
    pub fn text(&self) -> &str {
        self.body.as_deref().expect("a whole answer")
    }
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < until, "in vain: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A config with a route of each kind: `/safe/`, `/once/`, `/stream/` and `/kept/`.
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
