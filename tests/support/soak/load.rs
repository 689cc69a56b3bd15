//! Callers of a run. They reuse their connections until these are closed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::StreamExt;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::task::JoinSet;

use super::{
    BLUE_KEY, Run, SECOND_KEY,
    check::{BUDGET_TOKENS, CallRecord, Kind, MAX_TURN_TOKENS, TOKENS_PER_EVENT},
    plan::has_crashing_requests,
};
use crate::platform::{HOST, KEY};

const CALL_INTERVAL: Duration = Duration::from_millis(30);
/// Between two attempts of a crashing request.
const CRASH_INTERVAL: Duration = Duration::from_millis(1_000);
const DEADLINE_MS: u64 = 3_000;
/// Attempts to continue the last kept turn once the run is over.
const LAST_ATTEMPTS: u32 = 40;

/// Starts the callers; they stop once the run is over.
pub(super) fn start(run: &Arc<Run>, seed: u64) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    let count = if has_crashing_requests(seed) { 16 } else { 14 };
    for number in 0..count {
        let rng = SmallRng::seed_from_u64(seed.wrapping_mul(100) + number);
        let client = reqwest::Client::builder().timeout(Duration::from_secs(6)).build();
        let client = client.expect("failed to build the HTTP client");
        let mut caller =
            Caller { run: run.clone(), rng, client, name: format!("c{number}"), calls: 0 };
        callers.spawn(async move {
            match number {
                0..=2 => caller.plain(KEY).await,
                3 => caller.plain(SECOND_KEY).await,
                // Together they exceed the team's rate.
                4..=5 | 11..=13 => caller.plain(BLUE_KEY).await,
                // Callers 6 and 7 share their programs.
                6..=8 => caller.budgeted(number / 2).await,
                9..=10 => caller.kept().await,
                14 => caller.crashing("/safe/crash").await,
                _ => caller.crashing("/once/crash").await,
            }
        });
    }
    callers
}

/// Whether a call at a front succeeds.
pub(super) async fn serves(run: &Run, front: u8) -> bool {
    let url = format!("http://{}/safe/named", run.fleet.front_address(front));
    let id = format!("last-{front}-{}", rand::random::<u32>());
    let sent = run.client.post(url).header("host", HOST).header("request-id", id);
    let sent = sent.header("deadline-ms", DEADLINE_MS).header("api-key", KEY).send().await;
    sent.is_ok_and(|answer| answer.status() == 200)
}

struct Caller {
    run: Arc<Run>,
    rng: SmallRng,
    client: reqwest::Client,
    name: String,
    calls: u32,
}

impl Caller {
    async fn plain(&mut self, key: &'static str) {
        while !self.run.is_over() {
            let (kind, path) = if self.rng.random_bool(0.5) {
                (Kind::Safe, "/safe/named")
            } else {
                (Kind::Once, "/once/named")
            };
            self.call(kind, key, path, &[], "in").await;
        }
    }

    /// Repeats a request that crashes every server that runs it.
    async fn crashing(&mut self, path: &'static str) {
        while !self.run.is_over() {
            self.call(Kind::Crashing { path }, KEY, path, &[], "in").await;
            tokio::time::sleep(CRASH_INTERVAL).await;
        }
    }

    async fn budgeted(&mut self, shared: u64) {
        let count = format!("5,{MAX_TURN_TOKENS}");
        for number in 0.. {
            // Continues with a new program once the budget is spent, or after a bounded number of
            // turns.
            for _ in 0..2 * BUDGET_TOKENS / MAX_TURN_TOKENS + 4 {
                if self.run.is_over() {
                    return;
                }
                let program = format!("budget-{shared}-{number}");
                let events =
                    self.rng.random_range(1..=(MAX_TURN_TOKENS / TOKENS_PER_EVENT) as usize);
                let path = format!("/stream/paced/events/{events}");
                let kind = Kind::Budgeted { program: program.clone(), events };
                let headers = [
                    ("program-id", program),
                    ("token-count", count.clone()),
                    ("token-budget", BUDGET_TOKENS.to_string()),
                ];
                if self.call(kind, KEY, &path, &headers, "in").await.status == 402 {
                    break;
                }
            }
        }
    }

    /// Runs a chain of kept turns. The last one must still be available once the run is over.
    async fn kept(&mut self) {
        let (mut previous, mut transcript) = (None::<String>, String::new());
        let mut attempts = 0;
        while !self.run.is_over() || attempts < LAST_ATTEMPTS {
            let is_last = self.run.is_over();
            attempts += u32::from(is_last);
            let events = self.rng.random_range(1..4);
            let own = format!("in{} ", self.calls);
            let kind = Kind::Kept { events, input: format!("{transcript}{own}") };
            let mut headers = vec![
                // The program id changes after every third call, so that other programs continue
                // the chain.
                ("program-id", format!("kept-{}-{}", self.name, self.calls / 3)),
                ("token-count", format!("5,{MAX_TURN_TOKENS}")),
            ];
            headers.extend(previous.iter().map(|p| ("previous-turn", p.clone())));
            let path = format!("/kept/paced/events/{events}");
            let call = self.call(kind, KEY, &path, &headers, &own).await;
            if call.status != 200 || !call.is_complete {
                continue;
            }
            if is_last {
                return;
            }
            transcript += &own;
            transcript.extend((1..=events).map(|n| format!("out{n}\n")));
            previous = Some(call.id);
        }
        let name = &self.name;
        self.run.record(|h| h.failures.push(format!("{name}: cannot continue a kept turn")));
    }

    async fn call(
        &mut self,
        kind: Kind,
        key: &'static str,
        path: &str,
        headers: &[(&str, String)],
        body: &str,
    ) -> CallRecord {
        self.calls += 1;
        let id = format!("{}-{}", self.name, self.calls);
        let url =
            format!("http://{}{path}", self.run.fleet.front_address(self.rng.random_range(0..2)));
        let mut req = self.client.post(url).header("host", HOST).header("request-id", &id);
        req = req.header("deadline-ms", DEADLINE_MS).header("api-key", key);
        for (name, value) in headers {
            req = req.header(*name, value);
        }
        let sent = Instant::now();
        let mut call = CallRecord {
            id,
            kind,
            key,
            sent,
            status: 0,
            seal: None,
            body: String::new(),
            is_complete: false,
        };
        if let Ok(answer) = req.body(body.to_owned()).send().await {
            call.status = answer.status().as_u16();
            let seal = answer.headers().get("server-seal");
            call.seal = seal.and_then(|s| s.to_str().ok()).map(str::to_owned);
            let mut body = answer.bytes_stream();
            call.is_complete = true;
            while let Some(piece) = body.next().await {
                match piece {
                    Ok(piece) => call.body += &String::from_utf8_lossy(&piece),
                    Err(_) => call.is_complete = false,
                }
            }
        }
        self.run.record(|h| h.calls.push(call.clone()));
        tokio::time::sleep(CALL_INTERVAL).await;
        call
    }
}
