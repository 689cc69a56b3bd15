//! Callers that keep sending calls during faults, and checks of what was acknowledged to them.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use reqwest::{Client, RequestBuilder, Response};
use tokio::{task::JoinSet, time::sleep};

use super::{Fleet, eventually};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_DELAY: Duration = Duration::from_millis(50);
const TURNS_PER_PROGRAM: u32 = 30;

/// Status and error fields of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallOutcome {
    pub status: u16,
    pub code: String,
    pub ran: String,
}

impl CallOutcome {
    pub fn is(&self, code: &str, ran: &str) -> bool {
        self.code == code && self.ran == ran
    }
}

/// Sends a call. The status is 0 if there is no JSON response within [`CALL_TIMEOUT`].
pub async fn send_call(call: RequestBuilder) -> CallOutcome {
    match call.timeout(CALL_TIMEOUT).send().await {
        Ok(response) => parse_response(response).await,
        Err(_) => CallOutcome::default(),
    }
}

async fn parse_response(response: Response) -> CallOutcome {
    let status = response.status().as_u16();
    let Ok(body) = response.json::<serde_json::Value>().await else {
        return CallOutcome::default();
    };
    let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    CallOutcome { status, code: text("code"), ran: text("ran") }
}

/// Calls that were acknowledged to callers.
#[derive(Default)]
struct Acknowledged {
    /// Programs with their number of completed turns.
    turns: Mutex<Vec<(String, u32)>>,
    /// Idempotency keys of all orders, and whether a success was received.
    orders: Mutex<Vec<(String, bool)>>,
}

/// Callers that run programs and orders at random instances until they are stopped.
pub struct Traffic {
    acknowledged: Arc<Acknowledged>,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    tasks: JoinSet<()>,
}

struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
    key: String,
    rng: StdRng,
    acknowledged: Arc<Acknowledged>,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
}

impl Traffic {
    /// Starts `callers` callers of programs and as many callers of orders.
    pub fn start(fleet: &Fleet, callers: u64) -> Self {
        let acknowledged = Arc::<Acknowledged>::default();
        let stop = Arc::<AtomicBool>::default();
        let answered = Arc::<AtomicUsize>::default();
        let mut tasks = JoinSet::new();
        for n in 0..callers {
            let caller = || Caller {
                client: fleet.client.clone(),
                entries: fleet.members.iter().map(|m| m.entry).collect(),
                key: fleet.objects.team_key().to_owned(),
                rng: StdRng::seed_from_u64(n),
                acknowledged: acknowledged.clone(),
                stop: stop.clone(),
                answered: answered.clone(),
            };
            tasks.spawn(caller().run_programs(n));
            tasks.spawn(caller().run_orders(n));
        }
        Self { acknowledged, stop, answered, tasks }
    }

    /// Waits until calls that begin after this call have succeeded.
    pub async fn wait_for_progress(&self) {
        let target = self.answered.load(Ordering::Relaxed) + 4 * self.tasks.len();
        let what = "further successful calls";
        eventually(what, async || self.answered.load(Ordering::Relaxed) >= target).await;
    }

    /// Stops the callers and checks what was acknowledged: each completed turn is in the history
    /// once and in order, each completed order ran once, and no order ran twice.
    pub async fn stop_and_check(mut self, fleet: &Fleet, mock_endpoint: usize) {
        self.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("caller panicked");
        }
        let turns = std::mem::take(&mut *self.acknowledged.turns.lock().expect("lock is poisoned"));
        assert!(!turns.is_empty(), "no turn was completed");
        for (program, answered) in turns {
            let history = fleet.history(&program).await;
            let expected: Vec<(u64, String)> = (1..=answered.max(history.len() as u32))
                .map(|turn| (u64::from(turn), content(&program, turn)))
                .collect();
            assert_eq!(history, expected, "{program}: {answered} turns were completed");
        }
        let orders =
            std::mem::take(&mut *self.acknowledged.orders.lock().expect("lock is poisoned"));
        let executions = fleet.all_executions(mock_endpoint).await;
        for (key, answered) in orders {
            let ran = executions.iter().find(|(k, _)| *k == key).map_or(0, |(_, n)| *n);
            let allowed = if answered { 1..=1 } else { 0..=1 };
            assert!(allowed.contains(&ran), "{key} ran {ran} times; completed: {answered}");
        }
    }
}

fn content(program: &str, turn: u32) -> String {
    format!("{program}, question {turn}")
}

impl Caller {
    async fn run_programs(mut self, caller: u64) {
        for n in 0.. {
            let program = format!("program-{caller}-{n}");
            for turn in 1..=TURNS_PER_PROGRAM {
                let body = serde_json::json!({
                    "model": "chat-model", "max_tokens": 2,
                    "messages": [{"role": "user", "content": content(&program, turn)}],
                });
                loop {
                    if self.stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let call = self.call("/v1/chat/completions").json(&body);
                    let call = call.header("x-poplarspan-program", &program);
                    let outcome = send_call(call.header("x-poplarspan-turn", turn)).await;
                    if outcome.status == 200 {
                        break;
                    }
                    sleep(RETRY_DELAY).await;
                }
                self.record_turn(&program, turn);
            }
        }
    }

    fn record_turn(&self, program: &str, turn: u32) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        let mut turns = self.acknowledged.turns.lock().expect("lock is poisoned");
        match turns.iter_mut().find(|(p, _)| p == program) {
            Some(known) => known.1 = turn,
            None => turns.push((program.to_owned(), turn)),
        }
    }

    async fn run_orders(mut self, caller: u64) {
        for n in 0.. {
            let key = format!("order-{caller}-{n}");
            let mut outcome = CallOutcome::default();
            while outcome.status != 200 && outcome.code != "outcome_unknown" {
                if self.stop.load(Ordering::Relaxed) {
                    break;
                }
                let call = self.call("/orders").header("idempotency-key", &key).body("{}");
                outcome = send_call(call).await;
                if outcome.status != 200 {
                    sleep(RETRY_DELAY).await;
                }
            }
            let answered = outcome.status == 200;
            self.acknowledged.orders.lock().expect("lock is poisoned").push((key, answered));
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            self.answered.fetch_add(usize::from(answered), Ordering::Relaxed);
        }
    }

    fn call(&mut self, path: &str) -> RequestBuilder {
        let entry = self.entries[self.rng.random_range(0..self.entries.len())];
        self.client.post(format!("http://{entry}{path}")).bearer_auth(&self.key)
    }
}
