//! Guards against orders for rollouts that are acknowledged and then lost, answered untruthfully or
//! carried out twice, and against a control leader that ends a rollout too early or forgets it.

#[path = "support/platform.rs"]
mod platform;

use std::time::Duration;

use platform::{KEY, RelayFleet, config, eventually};
use poplarspan_node::{Credentials, PeerClient};
use poplarspan_proto::peer::{self, RolloutStage, request, response};
use reqwest::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

const ORDERS: &str = "/-/rollouts";
/// Time after which an operator tries another replica.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time within which an order must be acknowledged (`ackMs`).
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two heartbeats of an instance.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Longer than the time until the view of a new control leader is complete (3.1 s).
const VIEW_TIME: Duration = Duration::from_secs(4);

fn order(target: &str, over_s: f64) -> String {
    json!({"service": "s", "target": target, "overS": over_s}).to_string()
}

/// Sends a request to one replica, again after a response that says that it cannot be decided now
/// (503, for instance during an election). Returns the status and body.
async fn send(
    fleet: &RelayFleet,
    replica: u8,
    method: Method,
    path: &str,
    body: &str,
) -> (u16, String) {
    let url = format!("http://{}{path}", fleet.control_address(replica));
    let until = Instant::now() + ACK_TIMEOUT;
    loop {
        let req = fleet.client.request(method.clone(), &url).timeout(REQUEST_TIMEOUT);
        let answer = match req.body(body.to_owned()).send().await {
            Ok(answer) => Ok((answer.status().as_u16(), answer.text().await)),
            Err(e) => Err(e),
        };
        match answer {
            Ok((status, Ok(text))) if status < 500 => return (status, text),
            undecided => {
                assert!(Instant::now() < until, "{method} {path} at {replica}: {undecided:?}");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn post(fleet: &RelayFleet, replica: u8, body: &str) -> u16 {
    send(fleet, replica, Method::POST, ORDERS, body).await.0
}

/// Sends an order to the replicas in turn until one decides; returns the status.
async fn post_anywhere(fleet: &RelayFleet, body: &str) -> u16 {
    let since = Instant::now();
    let (status, _) = fleet.operator_request("POST", ORDERS, body.to_owned()).await;
    assert!(since.elapsed() < ACK_TIMEOUT, "decided after {:?}", since.elapsed());
    status
}

/// State of the rollout of service `s`.
async fn state(fleet: &RelayFleet) -> (String, String) {
    let (status, body) = fleet.operator_request("GET", "/-/rollouts/s", String::new()).await;
    assert_eq!(status, 200, "{body}");
    let body: Value = serde_json::from_str(&body).expect("not JSON");
    let field = |name: &str| body[name].as_str().expect("not a string").to_owned();
    (field("state"), field("target"))
}

async fn assert_state(fleet: &RelayFleet, state_name: &str, target: &str) {
    assert_eq!(state(fleet).await, (state_name.to_owned(), target.to_owned()));
}

/// Replica that leads, as its log says; the last one that began to.
fn leader(fleet: &RelayFleet) -> u8 {
    let last_term = |replica: u8| {
        let log = std::fs::read_to_string(fleet.log_of(&format!("core-{}", 10 + replica))).ok()?;
        let line = log.lines().rfind(|line| line.contains("leads the control group"))?;
        let line: Value = serde_json::from_str(line).expect("log line is not JSON");
        Some((line["term"].as_u64().expect("no term"), replica))
    };
    (0..3).filter_map(last_term).max().expect("no replica has become leader").1
}

async fn start() -> (RelayFleet, tempfile::TempDir) {
    let logs = tempfile::tempdir().expect("failed to create a temporary folder");
    (RelayFleet::start_rollouts(&config(3, &[KEY]), logs.path()).await, logs)
}

#[tokio::test(flavor = "multi_thread")]
async fn acked_by_each() {
    let (fleet, _logs) = start().await;
    for replica in 0..3 {
        let (status, _) = send(&fleet, replica, Method::GET, "/-/rollouts/s", "").await;
        assert_eq!(status, 404, "there is no rollout yet");
    }
    for replica in 0..3 {
        assert_eq!(post(&fleet, replica, &order("v2", 3_600.0)).await, 200, "{replica}");
        assert_eq!(post(&fleet, replica, &order("v2", 12.5)).await, 200, "a resend");
        assert_eq!(post(&fleet, replica, &order("v3", 3_600.0)).await, 409, "{replica}");
        let answer = send(&fleet, replica, Method::GET, "/-/rollouts/s", "").await;
        let body = r#"{"state":"running","target":"v2"}"#.to_owned();
        assert_eq!(answer, (200, body), "{replica}");
    }
    let (status, _) = send(&fleet, 0, Method::GET, "/-/rollouts/nowhere", "").await;
    assert_eq!(status, 404);
}

/// Guards against invalid orders that change something.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input() {
    let (fleet, _logs) = start().await;
    let long = "v".repeat(129);
    let invalid = [
        (json!({"service": "nowhere", "target": "v2", "overS": 12}), "service"),
        (json!({"service": "s", "target": "", "overS": 12}), "target"),
        (json!({"service": "s", "target": long, "overS": 12}), "target"),
        (json!({"service": "s", "target": "v2"}), "overS"),
        (json!({"service": "s", "target": "v2", "overS": "soon"}), "rollout"),
        (json!({"service": "s", "target": "v2", "overS": 0}), "overS"),
        (json!({"service": "s", "target": "v2", "overS": -1.5}), "overS"),
        (json!({"service": "s", "target": "v2", "overS": 86_401}), "overS"),
    ];
    for (n, (body, field)) in invalid.iter().enumerate() {
        let answer = send(&fleet, n as u8 % 3, Method::POST, ORDERS, &body.to_string()).await;
        let (status, text) = answer;
        assert_eq!(status, 400, "{body}");
        assert!(text.contains(field), "no {field} in the answer to {body}: {text}");
    }
    assert_eq!(post(&fleet, 0, "{").await, 400);
    let (status, _) = fleet.operator_request("GET", "/-/rollouts/s", String::new()).await;
    assert_eq!(status, 404, "an invalid order has started a rollout");
}

/// Of concurrent orders with different targets exactly one is acknowledged, and it is in force.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    let (fleet, _logs) = start().await;
    let orders = ["v2", "v3", "v4"].map(|target| order(target, 3_600.0));
    let sends = orders.iter().zip(0..).map(|(order, replica)| post(&fleet, replica, order));
    let answers = futures::future::join_all(sends).await;
    let winners: Vec<usize> = (0..3).filter(|n| answers[*n] == 200).collect();
    assert_eq!(winners.len(), 1, "{answers:?}");
    let others = answers.iter().filter(|status| **status == 409).count();
    assert_eq!(others, 2, "{answers:?}");
    assert_state(&fleet, "running", ["v2", "v3", "v4"][winners[0]]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_after_ack() {
    let (mut fleet, _logs) = start().await;
    let lead = leader(&fleet);
    let through = (lead + 1) % 3;
    assert_eq!(post(&fleet, through, &order("v2", 3_600.0)).await, 200);
    fleet.control_replicas[usize::from(lead)].kill();
    assert_eq!(post_anywhere(&fleet, &order("v3", 3_600.0)).await, 409);
    assert_eq!(post_anywhere(&fleet, &order("v2", 3_600.0)).await, 200);
    assert_state(&fleet, "running", "v2").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_replicas_killed() {
    let (mut fleet, _logs) = start().await;
    assert_eq!(post(&fleet, 0, &order("v2", 3_600.0)).await, 200);
    for replica in &mut fleet.control_replicas {
        replica.kill();
    }
    for replica in &mut fleet.control_replicas {
        replica.restart();
    }
    assert_state(&fleet, "running", "v2").await;
    assert_eq!(post_anywhere(&fleet, &order("v3", 3_600.0)).await, 409);
}

/// Without the settings for rollouts, the requests are unknown as before.
#[tokio::test(flavor = "multi_thread")]
async fn not_offered() {
    let fleet = RelayFleet::start(&config(3, &[KEY])).await;
    for replica in 0..3 {
        assert_eq!(post(&fleet, replica, &order("v2", 12.0)).await, 404);
        let answer = send(&fleet, replica, Method::GET, "/-/rollouts/s", "").await;
        assert_eq!(answer.0, 404);
    }
}

/// A front that sends heartbeats and no calls.
struct SimulatedFront {
    client: PeerClient,
    control_replicas: Vec<std::net::SocketAddr>,
    /// The only rollout, as the last answer told it.
    allowance: peer::RolloutAllowance,
}

impl SimulatedFront {
    /// Takes the place of the fleet's fronts.
    async fn replace_fronts(fleet: &mut RelayFleet) -> Self {
        for front in &mut fleet.fronts {
            front.kill();
        }
        let credentials = Credentials::load(&fleet.tls_files()).expect("cannot read the TLS files");
        let client = PeerClient::new(&credentials, fleet.spare_address());
        Self {
            client: client.expect("cannot open a socket"),
            control_replicas: (0..3).map(|n| fleet.peer_address(n)).collect(),
            allowance: peer::RolloutAllowance::default(),
        }
    }

    /// Sends one heartbeat to all replicas after a pause. Returns whether the leader answered.
    async fn beat(&mut self, report: Option<peer::RolloutReport>) -> bool {
        sleep(HEARTBEAT_INTERVAL).await;
        let beat = peer::Beat {
            instance: "front-simulated".to_owned(),
            incarnation: 7,
            zone: "z1".to_owned(),
            peer_address: "127.0.0.1:1".to_owned(),
            duty: peer::Duty::Front.into(),
            rollouts: report.into_iter().collect(),
            ..peer::Beat::default()
        };
        let calls = self.control_replicas.iter().map(|replica| {
            self.client.call(*replica, request::Body::Beat(beat.clone()), HEARTBEAT_INTERVAL)
        });
        for answer in futures::future::join_all(calls).await {
            if let Ok(response::Body::Beat(answer)) = answer {
                self.allowance = answer.rollouts.into_iter().last().unwrap_or_default();
                return true;
            }
        }
        false
    }

    /// Report of a front that follows its allowance.
    fn report(&self, old_in_flight: u32) -> peer::RolloutReport {
        let (id, share_ppm) = (self.allowance.id, self.allowance.share_ppm);
        peer::RolloutReport { id, share_ppm, old_in_flight, ..peer::RolloutReport::default() }
    }

    /// Follows its allowances until `holds`, and returns all shares on the way.
    async fn follow(&mut self, mut holds: impl FnMut(&peer::RolloutAllowance) -> bool) -> Vec<u32> {
        let mut shares = Vec::new();
        let until = Instant::now() + Duration::from_secs(40);
        while !holds(&self.allowance) {
            assert!(Instant::now() < until, "{:?} after the shares {shares:?}", self.allowance);
            let report = (self.allowance.id != 0).then(|| self.report(0));
            if self.beat(report).await {
                shares.push(self.allowance.share_ppm);
            }
        }
        shares.dedup();
        shares
    }
}

/// Guards against a rollout that is reported as completed while a front may still send calls to the
/// old endpoints, or has some open there: the platform then stops them at once.
#[tokio::test(flavor = "multi_thread")]
async fn completed_after_fronts() {
    let (mut fleet, _logs) = start().await;
    fleet.servers.set_software(1, Some("v2"));
    fleet.servers.set_software(2, Some("v2"));
    let mut front = SimulatedFront::replace_fronts(&mut fleet).await;
    assert_eq!(post(&fleet, 0, &order("v2", 6.0)).await, 200);
    let shares = front.follow(|a| a.stage() == RolloutStage::Completed).await;
    assert!(shares.is_sorted() && shares.len() > 3, "not in steps: {shares:?}");
    assert_eq!(front.allowance.retired, ["v1"]);
    // Calls at the old endpoint, which began after the last report, are still open.
    for _ in 0..20 {
        let report = front.report(1);
        front.beat(Some(report)).await;
        assert_state(&fleet, "running", "v2").await;
    }
    front.beat(None).await;
    let has_completed = async || state(&fleet).await == ("completed".to_owned(), "v2".to_owned());
    eventually("the rollout has completed", has_completed).await;
    front.beat(None).await;
    assert_eq!(front.allowance.stage(), RolloutStage::Completed);
    assert_eq!(front.allowance.retired, ["v1"]);
}

/// Guards against a rollout that never ends, because a front does not stop reporting it: after one
/// lease, every front that serves has been told to send nothing to the old endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn completed_after_lease() {
    let (mut fleet, _logs) = start().await;
    fleet.servers.set_software(1, Some("v2"));
    fleet.servers.set_software(2, Some("v2"));
    let mut front = SimulatedFront::replace_fronts(&mut fleet).await;
    assert_eq!(post(&fleet, 0, &order("v2", 6.0)).await, 200);
    front.follow(|a| a.stage() == RolloutStage::Completed).await;
    let since = Instant::now();
    while state(&fleet).await.0 == "running" {
        assert!(since.elapsed() < 3 * VIEW_TIME, "the rollout does not end");
        let report = front.report(0);
        front.beat(Some(report)).await;
    }
    assert!(since.elapsed() > VIEW_TIME / 2, "ended after {:?}", since.elapsed());
    assert_state(&fleet, "completed", "v2").await;
}

/// Guards against a new leader that starts the rollout over while its view is incomplete, or that
/// moves the programs of the fronts back to the other version.
#[tokio::test(flavor = "multi_thread")]
async fn share_survives_leader() {
    let (mut fleet, _logs) = start().await;
    fleet.servers.set_software(1, Some("v2"));
    let mut front = SimulatedFront::replace_fronts(&mut fleet).await;
    assert_eq!(post(&fleet, 0, &order("v2", 3_600.0)).await, 200);
    front.follow(|a| a.share_ppm > 0).await;
    let canary = front.allowance.share_ppm;
    let lead = leader(&fleet);
    fleet.control_replicas[usize::from(lead)].kill();
    let mut answers = 0;
    let since = Instant::now();
    while since.elapsed() < VIEW_TIME + ACK_TIMEOUT {
        let report = front.report(0);
        answers += u32::from(front.beat(Some(report)).await);
        assert_eq!(front.allowance.share_ppm, canary, "after {answers} answers");
    }
    assert!(answers > 10, "only {answers} answers");
    assert_state(&fleet, "running", "v2").await;
}

/// Evidence of route `safe`.
fn results(endpoint: &str, answered: u64, failed: u64) -> peer::RolloutEvidence {
    peer::RolloutEvidence {
        route: "safe".to_owned(),
        endpoint: endpoint.to_owned(),
        answered,
        duration_ms: answered * 20,
        failed,
    }
}

/// Guards against counts that are added twice, because a heartbeat overtook another or the lease of
/// the front expired: the calls to the target would seem to exceed the limit of the canary.
#[tokio::test(flavor = "multi_thread")]
async fn overtaken_reports() {
    let (mut fleet, _logs) = start().await;
    fleet.servers.set_software(1, Some("v2"));
    let mut front = SimulatedFront::replace_fronts(&mut fleet).await;
    assert_eq!(post(&fleet, 0, &order("v2", 3_600.0)).await, 200);
    front.follow(|a| a.share_ppm > 0).await;
    let canary = front.allowance.share_ppm;
    let mut answers = 0;
    for round in 0..3 {
        for (sent, sent_target, failed) in [(100, 24, 1), (100, 24, 0), (90, 22, 0)].repeat(4) {
            let evidence = vec![
                results("", 76, 0),
                results("server-1", 11, failed),
                results("server-2", 11, failed),
            ];
            let report = peer::RolloutReport { sent, sent_target, evidence, ..front.report(0) };
            answers += u32::from(front.beat(Some(report)).await);
            assert_eq!(front.allowance.share_ppm, canary, "in round {round}");
        }
        sleep(VIEW_TIME).await;
    }
    assert!(answers > 18, "only {answers} answers");
    assert_state(&fleet, "running", "v2").await;
}

/// Evidence against the target reverts the rollout, the log says why, and a resent order does not
/// start it again.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version() {
    let (mut fleet, _logs) = start().await;
    fleet.servers.set_software(1, Some("v2"));
    fleet.servers.set_software(2, Some("v2"));
    let mut front = SimulatedFront::replace_fronts(&mut fleet).await;
    assert_eq!(post(&fleet, 0, &order("v2", 3_600.0)).await, 200);
    front.follow(|a| a.share_ppm > 0).await;
    for n in 1.. {
        assert!(n < 100, "not reverted: {:?}", front.allowance);
        let report = peer::RolloutReport {
            sent: 120 * n,
            sent_target: 6 * n,
            evidence: vec![
                results("", 114 * n, 0),
                results("server-1", n, 2 * n),
                results("server-2", n, 2 * n),
            ],
            ..front.report(3)
        };
        let is_over = front.allowance.stage() == RolloutStage::Reverted;
        front.beat((!is_over).then_some(report)).await;
        if is_over {
            break;
        }
    }
    assert_eq!(front.allowance.share_ppm, 0);
    assert_state(&fleet, "reverted", "v2").await;
    let log = std::fs::read_to_string(fleet.log_of(&format!("core-{}", 10 + leader(&fleet))));
    let log = log.expect("cannot read the log");
    let verdict = log.lines().find(|line| line.contains("target version is worse"));
    let verdict: Value = serde_json::from_str(verdict.expect("no verdict")).expect("not JSON");
    assert_eq!(verdict["route"], "safe", "{verdict}");
    assert!(verdict["target_failed"].as_u64() > Some(0), "{verdict}");
    assert_eq!(verdict["other_failed"], 0, "{verdict}");
    assert_eq!(post_anywhere(&fleet, &order("v2", 3_600.0)).await, 200);
    assert_state(&fleet, "reverted", "v2").await;
}
