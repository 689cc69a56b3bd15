//! Starts fleets of real processes on loopback, and breaks them.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod calls;
pub mod network;
pub mod objects;
pub mod process;
pub mod raw;

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use network::Network;
use objects::ObjectFile;
use process::{Process, free_port, run};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Longest wait for a state that is expected to come; no test asserts how long it took.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);

/// One instance of a fleet.
pub struct Member {
    pub name: String,
    pub zone: String,
    pub entry: SocketAddr,
    pub peer: SocketAddr,
    pub advertised: SocketAddr,
    pub probe: SocketAddr,
    pub replica: Option<u64>,
    pub process: Option<Process>,
}

/// A fleet of processes in a temporary folder, ended when dropped.
pub struct Fleet {
    pub members: Vec<Member>,
    pub stand_ins: Vec<StandIn>,
    pub objects: ObjectFile,
    pub network: Network,
    pub client: reqwest::Client,
    generation: u64,
    folder: TempDir,
}

/// A stand-in endpoint.
pub struct StandIn {
    pub name: String,
    pub address: SocketAddr,
    kind: &'static str,
    flags: Vec<String>,
    pub process: Option<Process>,
}

impl Fleet {
    /// Starts `replicas` control replicas and `entries` entry instances, waits for a leader, and
    /// publishes an object set with one engine and one service.
    pub async fn start(replicas: u64, entries: u64) -> Self {
        let mut fleet = Self::prepare(replicas, entries).await;
        fleet.add_stand_in("engine-1", "engine", &["--token-interval", "2ms"]);
        fleet.add_stand_in("orders-1", "service", &[]);
        fleet.start_all().await;
        fleet.publish_and_wait().await;
        fleet.check_stand_ins();
        fleet
    }

    /// Makes folders, certificates and addresses, but starts nothing.
    pub async fn prepare(replicas: u64, entries: u64) -> Self {
        let folder = tempfile::tempdir().expect("temporary folder");
        run(&["certs", "--out", &path(&folder, "tls")]).success();
        let network = Network::new();
        let mut members = Vec::new();
        for i in 1..=replicas + entries {
            let peer = free_port();
            members.push(Member {
                name: format!("instance-{i}"),
                zone: format!("zone-{}", (i - 1) % 3 + 1),
                entry: free_port(),
                peer,
                advertised: network.relay(i as usize - 1, peer).await,
                probe: free_port(),
                replica: (i <= replicas).then_some(i),
                process: None,
            });
        }
        let client = reqwest::Client::builder().no_proxy().build().expect("client");
        let objects = ObjectFile::new();
        let stand_ins = Vec::new();
        let fleet = Self { members, stand_ins, objects, network, client, generation: 0, folder };
        for replica in 1..=replicas {
            fleet.init_replica(replica, Some(replicas));
        }
        fleet
    }

    /// Makes the data folder of a replica; without `voters` it joins an existing fleet.
    pub fn init_replica(&self, replica: u64, voters: Option<u64>) {
        let folder = self.data_folder(replica);
        let folder = folder.to_str().expect("plain path");
        let number = replica.to_string();
        let mut args = vec!["init", "--data-dir", folder, "--replica", &number];
        let list = voters.map(|v| (1..=v).map(|n| n.to_string()).collect::<Vec<_>>().join(","));
        match &list {
            Some(list) => args.extend(["--voters", list]),
            None => args.push("--join"),
        }
        run(&args).success();
    }

    pub fn data_folder(&self, replica: u64) -> PathBuf {
        self.folder.path().join(format!("data-{replica}"))
    }

    /// Starts a stand-in and adds it to the object file.
    pub fn add_stand_in(&mut self, name: &str, kind: &'static str, flags: &[&str]) {
        let address = free_port();
        let flags = flags.iter().map(|f| (*f).to_owned()).collect();
        let stand_in = StandIn { name: name.to_owned(), address, kind, flags, process: None };
        self.stand_ins.push(stand_in);
        self.objects.add_endpoint(name, kind, address);
        self.start_stand_in(self.stand_ins.len() - 1);
    }

    pub fn start_stand_in(&mut self, i: usize) {
        let stand_in = &mut self.stand_ins[i];
        let address = stand_in.address.to_string();
        let mut args = vec!["endpoint", "--kind", stand_in.kind, "--address", &address];
        args.extend(stand_in.flags.iter().map(String::as_str));
        stand_in.process = Some(Process::start(&args, &self.folder.path().join(&stand_in.name)));
    }

    /// Checks that no stand-in has ended by itself, for instance because of a bad flag.
    pub fn check_stand_ins(&mut self) {
        for stand_in in &mut self.stand_ins {
            let ended = stand_in.process.as_mut().is_some_and(Process::has_ended);
            assert!(!ended, "stand-in {} has ended", stand_in.name);
        }
    }

    pub async fn start_all(&mut self) {
        for i in 0..self.members.len() {
            self.start_member(i);
        }
        self.wait_for_leader().await;
    }

    /// Starts instance `i`, for the first time or again.
    pub fn start_member(&mut self, i: usize) {
        let replicas: Vec<String> = self
            .members
            .iter()
            .filter_map(|m| Some(format!("{}@{}", m.replica?, m.advertised)))
            .collect();
        let seeds: Vec<String> = self
            .members
            .iter()
            .filter(|m| m.replica.is_some())
            .map(|m| m.advertised.to_string())
            .collect();
        let (replicas, seeds) = (replicas.join(","), seeds.join(","));
        let member = &self.members[i];
        let (entry, peer) = (member.entry.to_string(), member.peer.to_string());
        let (advertised, probe) = (member.advertised.to_string(), member.probe.to_string());
        let folder = member.replica.map(|r| self.data_folder(r));
        let mut args = vec!["serve", "--name", &member.name, "--zone", &member.zone];
        args.extend(["--entry-address", &entry, "--peer-address", &peer]);
        args.extend(["--advertise-address", &advertised, "--probe-address", &probe]);
        args.extend(["--drain-grace", "100ms", "--drain-timeout", "30s", "--seeds", &seeds]);
        if let Some(folder) = &folder {
            args.extend(["--data-dir", folder.to_str().expect("plain path")]);
            args.extend(["--replicas", &replicas]);
        }
        let tls = self.tls("instance");
        args.extend(tls.iter().map(String::as_str));
        let log = self.folder.path().join(&member.name);
        self.members[i].process = Some(Process::start(&args, &log));
    }

    fn tls(&self, who: &str) -> Vec<String> {
        let file = |name: &str| path(&self.folder, &format!("tls/{name}"));
        let flags = ["--tls-authority", "--tls-certificate", "--tls-key"];
        let files =
            [file("authority.pem"), file(&format!("{who}.pem")), file(&format!("{who}.key"))];
        flags.iter().map(|f| (*f).to_owned()).zip(files).flat_map(|(f, v)| [f, v]).collect()
    }

    /// Runs an operator's command through instance `i`.
    pub fn operate(&self, i: usize, args: &[&str]) -> process::Outcome {
        let key = self.folder.path().join("operator-key");
        std::fs::write(&key, self.objects.operator_key()).expect("key file");
        let control = self.members[i].peer.to_string();
        let mut all = args.to_vec();
        all.extend(["--control", &control, "--timeout", "30s"]);
        all.extend(["--operator-key-file", key.to_str().expect("plain path")]);
        let tls = self.tls("operator");
        all.extend(tls.iter().map(String::as_str));
        run(&all)
    }

    /// Publishes the object file through instance `i`, expecting `generation`.
    pub fn publish(&self, i: usize, generation: u64, request: &str) -> process::Outcome {
        let file = self.folder.path().join(format!("objects-{request}.toml"));
        std::fs::write(&file, self.objects.text()).expect("object file");
        let generation = generation.to_string();
        let file = file.to_str().expect("plain path");
        self.operate(
            i,
            &["publish", file, "--expect-generation", &generation, "--request-id", request],
        )
    }

    /// Publishes the object file as the next generation and waits until it is in force.
    pub async fn publish_and_wait(&mut self) {
        let request = format!("request-{}", self.generation);
        let live = self.live().next().expect("an instance runs");
        self.publish(live, self.generation, &request).success();
        self.generation += 1;
        for i in self.live().collect::<Vec<_>>() {
            self.wait_ready(i).await;
        }
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Running instances.
    pub fn live(&self) -> impl Iterator<Item = usize> {
        let running = |(i, m): (usize, &Member)| m.process.as_ref().map(|_| i);
        self.members.iter().enumerate().filter_map(running)
    }

    /// What `status` says, through instance `i`.
    pub fn status(&self, i: usize) -> serde_json::Value {
        let outcome = self.operate(i, &["status", "--json"]);
        serde_json::from_str(&outcome.stdout).unwrap_or(serde_json::Value::Null)
    }

    /// Index of the instance that leads a group, through instance `i`.
    pub fn leader(&self, i: usize, group: u64) -> Option<usize> {
        let status = self.status(i);
        let replicas = status["replicas"].as_array()?;
        let led = replicas.iter().find(|r| r["group"] == group && r["role"] == "leader")?;
        let replica = led["replica"].as_u64()?;
        self.members.iter().position(|m| m.replica == Some(replica))
    }

    pub async fn wait_for_leader(&self) {
        let live = self.live().next().expect("an instance runs");
        eventually("a leader", async || !self.status(live)["replicas"].is_null()).await;
    }

    pub async fn wait_ready(&self, i: usize) {
        let url = format!("http://{}/readyz", self.members[i].probe);
        eventually("readiness", async || {
            self.client.get(&url).send().await.is_ok_and(|r| r.status().is_success())
        })
        .await;
    }

    /// Kills instance `i` without warning.
    pub fn kill(&mut self, i: usize) {
        self.members[i].process.take().expect("the instance runs").kill();
    }

    /// Starts a chat call at instance `i`.
    pub fn chat(&self, i: usize, content: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/chat/completions", self.members[i].entry);
        let body = serde_json::json!({
            "model": "chat-model", "max_tokens": 4,
            "messages": [{"role": "user", "content": content}],
        });
        self.client.post(url).bearer_auth(self.objects.team_key()).json(&body)
    }

    /// Starts a non-idempotent call at instance `i`.
    pub fn order(&self, i: usize, key: &str, body: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/orders", self.members[i].entry);
        let request = self.client.post(url).bearer_auth(self.objects.team_key());
        request.header("idempotency-key", key).body(body.to_owned())
    }

    /// How often the stand-in service ran the request with an idempotency key.
    pub async fn executions(&self, stand_in: usize, key: &str) -> u64 {
        let url = format!("http://{}/executions", self.stand_ins[stand_in].address);
        let list: serde_json::Value =
            self.client.get(url).send().await.expect("answer").json().await.expect("JSON");
        let list = list.as_array().expect("a list");
        list.iter().find(|e| e["key"] == key).map_or(0, |e| e["executions"].as_u64().unwrap_or(0))
    }

    /// What all processes have logged, for the report of a failure.
    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(&self.members[i].name)).unwrap_or_default()
    }
}

fn path(folder: &TempDir, name: &str) -> String {
    folder.path().join(name).to_str().expect("plain path").to_owned()
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < until, "{what} did not come within {PATIENCE:?}");
        sleep(POLL).await;
    }
}
