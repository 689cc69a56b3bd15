//! Runs fleets of real processes on loopback and injects faults.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

pub mod calls;
pub mod network;
pub mod objects;
pub mod operator;
pub mod process;
pub mod publisher;
pub mod raw;
pub mod traffic;
pub mod watch;

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use network::Network;
use objects::ObjectFile;
use operator::Operator;
use process::{Process, free_port, run};
use tempfile::TempDir;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time::{Instant, sleep},
};

/// Upper bound on waits for an expected state. No test asserts how long a wait took.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const LOG_LINES_SHOWN: usize = 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits the fleets that run at once, so that heartbeats are not delayed on a busy machine.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(3);

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

/// A fleet of processes in a temporary folder. Dropping it kills the processes.
pub struct Fleet {
    pub members: Vec<Member>,
    pub mock_endpoints: Vec<MockEndpoint>,
    pub objects: ObjectFile,
    pub network: Network,
    pub client: reqwest::Client,
    generation: u64,
    /// Number of the next input file for an operator's command.
    files: Arc<AtomicU64>,
    folder: TempDir,
    _permit: SemaphorePermit<'static>,
}

/// A process that serves as a mock endpoint.
pub struct MockEndpoint {
    pub name: String,
    pub address: SocketAddr,
    kind: &'static str,
    flags: Vec<String>,
    pub process: Option<Process>,
}

impl Fleet {
    /// Starts `replicas` control replicas, `entries` entry instances, one engine and one service,
    /// and publishes an object set with them.
    pub async fn start(replicas: u64, entries: u64) -> Self {
        let mut fleet = Self::prepare(replicas, entries).await;
        fleet.add_mock_endpoint("engine-1", "engine", &["--token-interval", "2ms"]);
        fleet.add_mock_endpoint("orders-1", "service", &[]);
        fleet.start_all().await;
        fleet.publish_and_wait().await;
        fleet.check_mock_endpoints();
        fleet
    }

    /// Creates folders and certificates and chooses addresses, but starts no process.
    pub async fn prepare(replicas: u64, entries: u64) -> Self {
        let permit = FLEET_PERMITS.acquire().await.expect("semaphore is closed");
        let folder = tempfile::tempdir().expect("failed to create a temporary folder");
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
                advertised: network.add_proxy(i as usize - 1, peer).await,
                probe: free_port(),
                replica: (i <= replicas).then_some(i),
                process: None,
            });
        }
        let client =
            reqwest::Client::builder().no_proxy().build().expect("failed to build the HTTP client");
        let objects = ObjectFile::new();
        let mock_endpoints = Vec::new();
        let fleet = Self {
            members,
            mock_endpoints,
            objects,
            network,
            client,
            generation: 0,
            files: Arc::default(),
            folder,
            _permit: permit,
        };
        for replica in 1..=replicas {
            fleet.init_replica(replica, Some(replicas));
        }
        fleet
    }

    /// Creates the data folder of a replica. The voters are 1 to `voters`; without `voters` the
    /// replica joins an existing fleet.
    pub fn init_replica(&self, replica: u64, voters: Option<u64>) {
        let folder = self.data_folder(replica);
        let folder = folder.to_str().expect("path is not UTF-8");
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

    /// Starts a mock endpoint and adds it to the object file.
    pub fn add_mock_endpoint(&mut self, name: &str, kind: &'static str, flags: &[&str]) {
        let address = free_port();
        let flags = flags.iter().map(|f| (*f).to_owned()).collect();
        let mock_endpoint =
            MockEndpoint { name: name.to_owned(), address, kind, flags, process: None };
        self.mock_endpoints.push(mock_endpoint);
        self.objects.add_endpoint(name, kind, address);
        self.start_mock_endpoint(self.mock_endpoints.len() - 1);
    }

    pub fn start_mock_endpoint(&mut self, i: usize) {
        let mock_endpoint = &mut self.mock_endpoints[i];
        let address = mock_endpoint.address.to_string();
        let mut args = vec!["endpoint", "--kind", mock_endpoint.kind, "--address", &address];
        args.extend(mock_endpoint.flags.iter().map(String::as_str));
        mock_endpoint.process =
            Some(Process::start(&args, &self.folder.path().join(&mock_endpoint.name)));
    }

    /// Checks that no mock endpoint has exited, for instance because of an invalid flag.
    pub fn check_mock_endpoints(&mut self) {
        for mock_endpoint in &mut self.mock_endpoints {
            let ended = mock_endpoint.process.as_mut().is_some_and(Process::has_ended);
            assert!(!ended, "mock endpoint {} has exited", mock_endpoint.name);
        }
    }

    pub async fn start_all(&mut self) {
        for i in 0..self.members.len() {
            self.start_member(i);
        }
        self.wait_for_leader().await;
    }

    /// Adds a control replica that joins the fleet, without starting it. Returns its index.
    pub async fn add_replica(&mut self, replica: u64, zone: &str) -> usize {
        let (i, peer) = (self.members.len(), free_port());
        self.members.push(Member {
            name: format!("instance-{}", i + 1),
            zone: zone.to_owned(),
            entry: free_port(),
            peer,
            advertised: self.network.add_proxy(i, peer).await,
            probe: free_port(),
            replica: Some(replica),
            process: None,
        });
        self.init_replica(replica, None);
        i
    }

    /// Starts or restarts instance `i`.
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
            args.extend(["--data-dir", folder.to_str().expect("path is not UTF-8")]);
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

    /// Returns the operator whose key is in the object file.
    pub fn operator(&self) -> Operator {
        Operator {
            folder: self.folder.path().to_owned(),
            tls: self.tls("operator"),
            key: self.objects.operator_key().to_owned(),
            control: self.members.iter().map(|m| m.peer).collect(),
            timeout: "30s",
            files: self.files.clone(),
        }
    }

    /// Runs an operator command that connects to instance `i`.
    pub fn operate(&self, i: usize, args: &[&str]) -> process::CommandOutput {
        self.operator().run(i, args)
    }

    /// Publishes the object file through instance `i` with `generation` as the expected generation.
    pub fn publish(&self, i: usize, generation: u64, request: &str) -> process::CommandOutput {
        self.operator().publish(i, &self.objects.text(), generation, request, &[])
    }

    /// Publishes the object file as the next generation and waits until every running instance is
    /// ready.
    pub async fn publish_and_wait(&mut self) {
        let request = format!("request-{}", self.generation);
        let live = self.live().next().expect("no instance is running");
        self.publish(live, self.generation, &request).success();
        self.generation += 1;
        for i in self.live().collect::<Vec<_>>() {
            self.wait_ready(i).await;
        }
    }

    /// Publishes the object file as the next generation through a running instance, without
    /// blocking the runtime. The command returns once the generation is in force.
    pub async fn publish_and_wait_in_force(&mut self) {
        let operator = self.operator();
        let (text, generation) = (self.objects.text(), self.generation);
        let i = self.live().next().expect("no instance is running");
        let request = format!("request-{generation}");
        let publish = move || operator.publish(i, &text, generation, &request, &[]).success();
        tokio::task::spawn_blocking(publish).await.expect("publication failed");
        self.generation += 1;
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Sets the generation that was reached by publications outside of this type.
    pub fn set_published_generation(&mut self, generation: u64) {
        self.generation = generation;
    }

    /// Indices of the running instances.
    pub fn live(&self) -> impl Iterator<Item = usize> {
        let running = |(i, m): (usize, &Member)| m.process.as_ref().map(|_| i);
        self.members.iter().enumerate().filter_map(running)
    }

    /// Output of `status --json` through instance `i`, or null if the command fails.
    pub fn status(&self, i: usize) -> serde_json::Value {
        self.operator().status(i)
    }

    /// Index of the instance that leads a group, according to instance `i`.
    pub fn leader(&self, i: usize, group: u64) -> Option<usize> {
        let status = self.status(i);
        let replicas = status["replicas"].as_array()?;
        let led = replicas.iter().find(|r| r["group"] == group && r["role"] == "leader")?;
        let replica = led["replica"].as_u64()?;
        self.members.iter().position(|m| m.replica == Some(replica))
    }

    /// Waits until a group has a leader and returns its index.
    pub async fn wait_group_leader(&self, i: usize, group: u64) -> usize {
        let mut leader = None;
        eventually("a leader of the group", async || {
            leader = self.leader(i, group).filter(|l| self.members[*l].process.is_some());
            leader.is_some()
        })
        .await;
        leader.expect("leader was just found")
    }

    pub async fn wait_for_leader(&self) {
        let live = self.live().next().expect("no instance is running");
        eventually("a leader", async || !self.status(live)["replicas"].is_null()).await;
    }

    pub async fn wait_ready(&self, i: usize) {
        let url = format!("http://{}/readyz", self.members[i].probe);
        eventually("readiness", async || {
            self.client.get(&url).send().await.is_ok_and(|r| r.status().is_success())
        })
        .await;
    }

    /// Sends SIGKILL to instance `i` and waits for its exit.
    pub fn kill(&mut self, i: usize) {
        self.members[i].process.take().expect("instance is not running").kill();
    }

    /// Builds a chat request to instance `i`.
    pub fn chat(&self, i: usize, content: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/chat/completions", self.members[i].entry);
        let body = serde_json::json!({
            "model": "chat-model", "max_tokens": 4,
            "messages": [{"role": "user", "content": content}],
        });
        self.client.post(url).bearer_auth(self.objects.team_key()).json(&body)
    }

    /// Builds a request to instance `i` that must run at most once.
    pub fn order(&self, i: usize, key: &str, body: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/orders", self.members[i].entry);
        let request = self.client.post(url).bearer_auth(self.objects.team_key());
        request.header("idempotency-key", key).body(body.to_owned())
    }

    /// Number of times that the mock service ran the request with an idempotency key.
    pub async fn executions(&self, mock_endpoint: usize, key: &str) -> u64 {
        let all = self.all_executions(mock_endpoint).await;
        all.iter().find(|(k, _)| k == key).map_or(0, |(_, n)| *n)
    }

    /// Number of times that the mock service ran each request, by idempotency key. Requests without
    /// a key are left out.
    pub async fn all_executions(&self, mock_endpoint: usize) -> Vec<(String, u64)> {
        let list = self.query_mock_endpoint(mock_endpoint, "/executions").await;
        let read =
            |e: &serde_json::Value| Some((e["key"].as_str()?.into(), e["executions"].as_u64()?));
        let all = list.as_array().expect("not a list").iter().filter_map(read);
        all.filter(|(key, _): &(String, u64)| !key.is_empty()).collect()
    }

    /// Sends a `GET` to one of the mock endpoint's own paths and returns its JSON response.
    pub async fn query_mock_endpoint(&self, mock_endpoint: usize, path: &str) -> serde_json::Value {
        let url = format!("http://{}{path}", self.mock_endpoints[mock_endpoint].address);
        self.client
            .get(url)
            .send()
            .await
            .expect("no response")
            .json()
            .await
            .expect("not valid JSON")
    }

    /// Turns of a program of the first team, with the contents of their prompts. Retries until a
    /// running instance responds.
    pub async fn history(&self, program: &str) -> Vec<(u64, String)> {
        let mut turns = Vec::new();
        eventually("a history", async || {
            for i in self.live() {
                let url = format!("http://{}/v1/programs/{program}/history", self.members[i].entry);
                let call = self.client.get(url).bearer_auth(self.objects.team_key());
                let Ok(answer) = call.timeout(CALL_TIMEOUT).send().await else { continue };
                let Ok(page) = answer.json::<serde_json::Value>().await else { continue };
                if let Some(list) = page["turns"].as_array() {
                    turns = list.iter().map(parse_turn).collect();
                    return true;
                }
            }
            false
        })
        .await;
        turns
    }

    /// Generation in force at instance `i` according to its metrics; None if it does not respond.
    pub async fn generation_at(&self, i: usize) -> Option<u64> {
        generation_of(&self.client, self.members[i].probe).await
    }

    /// Waits until at least this generation is in force at instance `i`.
    pub async fn wait_generation(&self, i: usize, generation: u64) {
        eventually("a generation", async || {
            self.generation_at(i).await.is_some_and(|g| g >= generation)
        })
        .await;
    }

    /// Log of instance `i`.
    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(&self.members[i].name)).unwrap_or_default()
    }
}

/// Prints the end of every log when a test fails.
impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for i in 0..self.members.len() {
                let log = self.log(i);
                let lines: Vec<&str> = log.lines().collect();
                let last = lines.len().saturating_sub(LOG_LINES_SHOWN);
                println!("--- {}\n{}", self.members[i].name, lines[last..].join("\n"));
            }
        }
    }
}

/// Generation in force at the instance with this probe address.
pub async fn generation_of(client: &reqwest::Client, probe: SocketAddr) -> Option<u64> {
    let call = client.get(format!("http://{probe}/metrics")).timeout(CALL_TIMEOUT);
    let text = call.send().await.ok()?.text().await.ok()?;
    text.lines().find_map(|l| l.strip_prefix("poplarspan_generation ")?.parse().ok())
}

fn parse_turn(turn: &serde_json::Value) -> (u64, String) {
    let number = turn["turn"].as_u64().expect("not a number");
    let request = turn["request"].as_str().expect("no request body");
    let request: serde_json::Value = serde_json::from_str(request).expect("not valid JSON");
    let content = request["messages"][0]["content"].as_str().expect("no prompt");
    (number, content.to_owned())
}

fn path(folder: &TempDir, name: &str) -> String {
    folder.path().join(name).to_str().expect("path is not UTF-8").to_owned()
}

/// Polls a condition until it holds. Panics after [`WAIT_TIMEOUT`].
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < until, "timed out after {WAIT_TIMEOUT:?} waiting for {what}");
        sleep(POLL_INTERVAL).await;
    }
}
