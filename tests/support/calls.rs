//! Responses as callers receive them, and fleets with chosen mock endpoints.

use std::{
    ops::{Deref, DerefMut},
    sync::LazyLock,
};

use reqwest::{RequestBuilder, StatusCode};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};

use super::{Fleet, WAIT_TIMEOUT, eventually, process::Process};

/// Client that opens a new connection for each request.
static UNPOOLED_CLIENT: LazyLock<reqwest::Client> = LazyLock::new(|| {
    let client = reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0);
    client.build().expect("failed to build the HTTP client")
});

/// A response as its caller received it.
#[derive(Debug)]
pub struct CallResponse {
    pub status: StatusCode,
    pub headers: reqwest::header::HeaderMap,
    /// The body, or an error if it was cut.
    pub body: Result<String, String>,
}

impl CallResponse {
    /// Sends a request and reads the response to its end.
    pub async fn fetch(request: RequestBuilder) -> Self {
        let request = request.timeout(WAIT_TIMEOUT);
        let answer = request.send().await.expect("no response head");
        let (status, headers) = (answer.status(), answer.headers().clone());
        let body = answer.text().await.map_err(|e| e.to_string());
        Self { status, headers, body }
    }

    /// Field of the error object in the body; null if there is none.
    fn field(&self, name: &str) -> Value {
        let body = self.body.as_deref().unwrap_or_default();
        let body: Value = serde_json::from_str(body).unwrap_or_default();
        body["error"][name].clone()
    }

    pub fn code(&self) -> String {
        self.field("code").as_str().unwrap_or_default().to_owned()
    }

    pub fn ran(&self) -> String {
        self.field("ran").as_str().unwrap_or_default().to_owned()
    }

    /// Error code, and whether the call ran: `yes`, `no` or `unknown`.
    pub fn refusal(&self) -> (String, String) {
        (self.code(), self.ran())
    }

    pub fn is_replay(&self) -> bool {
        self.headers.contains_key("x-poplarspan-replay")
    }
}

/// Limits the fleets that one test binary runs at once, for busy machines.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(3);

/// A fleet that holds one of the [`FLEET_PERMITS`].
pub struct CallFleet {
    fleet: Fleet,
    _permit: SemaphorePermit<'static>,
}

impl Deref for CallFleet {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl DerefMut for CallFleet {
    fn deref_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}

impl Fleet {
    /// Starts one control replica, `entries` entry instances, and mock endpoints given as name,
    /// kind and flags.
    pub async fn with_mock_endpoints(
        entries: u64,
        mock_endpoints: &[(&str, &'static str, &[&str])],
    ) -> CallFleet {
        Self::configured(entries, mock_endpoints, |_| {}).await
    }

    /// Like [`Fleet::with_mock_endpoints`], but applies `change` before any process starts.
    pub async fn configured(
        entries: u64,
        mock_endpoints: &[(&str, &'static str, &[&str])],
        change: impl FnOnce(&mut Self),
    ) -> CallFleet {
        let permit = FLEET_PERMITS.acquire().await.expect("semaphore is closed");
        let mut fleet = Self::prepare(1, entries).await;
        change(&mut fleet);
        for (name, kind, flags) in mock_endpoints {
            fleet.add_mock_endpoint(name, kind, flags);
        }
        if mock_endpoints.iter().all(|(_, kind, _)| *kind != "engine") {
            // The object file has a chat route, so at least one endpoint must serve the model.
            fleet.add_mock_endpoint("spare-engine", "engine", &[]);
        }
        fleet.start_all().await;
        fleet.publish_and_wait().await;
        fleet.check_mock_endpoints();
        fleet.warm_up().await;
        CallFleet { fleet, _permit: permit }
    }

    /// Waits until every instance has completed a call of a program. New instances refuse calls
    /// until their rate limits are active and they have found the program groups.
    pub async fn warm_up(&self) {
        for i in self.live() {
            eventually("a successful first call", async || {
                if CallResponse::fetch(self.chat(i, "warm up")).await.status != 200 {
                    return false;
                }
                let call = self.chat(i, "warm up").header("x-poplarspan-program", "warm-up");
                let code = CallResponse::fetch(call).await;
                code.status == 200 || code.code() == "program_ended"
            })
            .await;
        }
        let url = format!("http://{}/v1/programs/warm-up/finish", self.members[0].entry);
        let finish = self.client.post(url).bearer_auth(self.objects.team_key());
        assert_eq!(CallResponse::fetch(finish).await.status, 200);
    }

    /// Builds a chat request; the fields of `more` are added to the body or replace its own.
    pub fn chat_with(&self, i: usize, content: &str, more: Value) -> RequestBuilder {
        let url = format!("http://{}/v1/chat/completions", self.members[i].entry);
        let mut body = json!({
            "model": "chat-model", "max_tokens": 4,
            "messages": [{"role": "user", "content": content}],
        });
        for (name, value) in more.as_object().expect("not an object") {
            body[name] = value.clone();
        }
        self.client.post(url).bearer_auth(self.objects.team_key()).json(&body)
    }

    /// Number of executions under an idempotency key, summed over all running services.
    pub async fn executions_of(&self, key: &str) -> u64 {
        let mut sum = 0;
        for i in 0..self.mock_endpoints.len() {
            if self.mock_endpoints[i].kind == "service" && self.mock_endpoints[i].process.is_some()
            {
                let list =
                    self.try_query_mock_endpoint(i, "/executions").await.expect("not a list");
                let counted = list.as_array().expect("not a list").iter().find(|e| e["key"] == key);
                sum += counted.map_or(0, |e| e["executions"].as_u64().expect("not a count"));
            }
        }
        sum
    }

    /// Sends a `GET` to a mock endpoint over a new connection, since open ones may be stalled. None
    /// if there is no JSON response.
    pub async fn try_query_mock_endpoint(&self, i: usize, path: &str) -> Option<Value> {
        let url = format!("http://{}{path}", self.mock_endpoints[i].address);
        UNPOOLED_CLIENT.get(url).timeout(WAIT_TIMEOUT).send().await.ok()?.json().await.ok()
    }

    /// Sends SIGKILL to a mock endpoint and waits for its exit.
    pub fn kill_mock_endpoint(&mut self, i: usize) {
        self.mock_endpoints[i].process.take().expect("mock endpoint is not running").kill();
    }

    /// Log of a mock endpoint.
    pub fn mock_endpoint_log(&self, i: usize) -> String {
        let path = self.folder.path().join(&self.mock_endpoints[i].name);
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends SIGTERM to an instance and returns its process.
    pub fn terminate(&mut self, i: usize) -> Process {
        let process = self.members[i].process.take().expect("instance is not running");
        process.terminate();
        process
    }
}
