//! Chat completions with generated filler words.

use std::{
    future::pending,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use poplarspan_policy::route::PrefixChain;
use serde::Deserialize;
use serde_json::{json, value::RawValue};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use super::{
    BLOCK_BYTES, BLOCK_TOKENS, Engine,
    batch::{CallSpec, Rejected},
    run::EngineRun,
};
use crate::{
    lifecycle::Totals,
    server::{ResponseBody, error_response, json_response},
};

const BYTES_PER_TOKEN: u64 = BLOCK_BYTES as u64 / BLOCK_TOKENS;

#[derive(Deserialize)]
struct ChatRequest<'a> {
    #[serde(default)]
    model: String,
    #[serde(default, borrow)]
    messages: Vec<&'a RawValue>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// A parsed request: the prompt and what to generate for it.
struct CompletionPlan {
    id: String,
    model: String,
    chain: PrefixChain,
    prompt_tokens: u64,
    tokens: u64,
    stream: bool,
}

/// A call in the batch. Dropping it removes it from the batch, and counts it as cancelled unless it
/// is complete.
struct Call {
    engine: Arc<Engine>,
    run: Arc<EngineRun>,
    id: u64,
    program: Option<Arc<str>>,
    cancel: CancellationToken,
    start: Option<oneshot::Receiver<()>>,
    complete: bool,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.complete {
            Totals::add(&self.engine.lifecycle.totals.cancelled);
        }
        self.run.lock().remove_call(self.id, Instant::now());
    }
}

/// A running call whose prompt has been processed.
struct Generation {
    call: Call,
    plan: CompletionPlan,
    cached_tokens: u64,
    next_at: Instant,
    generated: u64,
    stage: StreamStage,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamStage {
    Tokens,
    Usage,
    Done,
    End,
}

impl Engine {
    /// Answers `POST /v1/chat/completions`.
    pub(super) async fn chat(
        self: Arc<Self>,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Response<ResponseBody> {
        let run = self.run();
        let plan = match self.plan_completion(&run, body) {
            Ok(plan) => plan,
            Err((status, message)) => return error_response(status, &message),
        };
        let mut call = match self.clone().admit(run, headers) {
            Ok(call) => call,
            Err(Rejected::QueueFull) => return self.queue_full_response(),
            Err(Rejected::Overload) => {
                self.lifecycle.crash();
                return pending().await;
            }
        };
        if call.wait_for_start().await.is_err() {
            return released_response();
        }
        Totals::add(&self.lifecycle.totals.executions);
        if plan.stream {
            return stream_response(call, plan);
        }
        let Ok(mut generation) = Generation::prefill(call, plan).await else {
            return released_response();
        };
        while generation.generated < generation.plan.tokens {
            if generation.next_token().await.is_err() {
                return released_response();
            }
        }
        generation.call.complete = true;
        json_response(StatusCode::OK, &generation.response_body())
    }

    fn plan_completion(
        &self,
        run: &EngineRun,
        body: &[u8],
    ) -> Result<CompletionPlan, (StatusCode, String)> {
        let request: ChatRequest<'_> = serde_json::from_slice(body)
            .map_err(|e| (StatusCode::BAD_REQUEST, format!("not a chat request: {e}")))?;
        let version = run.lock().models.version(&request.model, Instant::now());
        let Some(version) = version else {
            return Err((StatusCode::NOT_FOUND, "the model is not loaded".to_owned()));
        };
        let mut chain = PrefixChain::new(&format!("{}@{version}", request.model), BLOCK_BYTES);
        for message in &request.messages {
            chain.extend(message.get().as_bytes());
        }
        let prompt_bytes: usize = request.messages.iter().map(|m| m.get().len()).sum();
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        Ok(CompletionPlan {
            id: format!("chat-{:016x}", hasher.finish()),
            model: request.model,
            chain,
            prompt_tokens: (prompt_bytes as u64).div_ceil(BYTES_PER_TOKEN),
            tokens: request.max_tokens.unwrap_or(self.cfg.default_tokens),
            stream: request.stream,
        })
    }

    fn admit(self: Arc<Self>, run: Arc<EngineRun>, headers: &HeaderMap) -> Result<Call, Rejected> {
        let header_text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let program: Option<Arc<str>> = header_text("x-program").map(Into::into);
        let spec = CallSpec {
            program: program.clone(),
            claim: header_text("x-claim").and_then(|v| v.parse().ok()),
            priority: header_text("x-priority").and_then(|v| v.parse().ok()).unwrap_or_default(),
        };
        let admitted = run.lock().admit(spec, Instant::now())?;
        Ok(Call {
            engine: self,
            run,
            id: admitted.id,
            program,
            cancel: admitted.cancel,
            start: admitted.start,
            complete: false,
        })
    }

    fn queue_full_response(&self) -> Response<ResponseBody> {
        let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "the queue is full");
        let seconds = self.cfg.retry_after.as_millis().div_ceil(1000);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        response
    }
}

/// Error of a call that a release order cancelled.
#[derive(Debug)]
struct Released;

impl Call {
    /// Waits until a queued call may run.
    async fn wait_for_start(&mut self) -> Result<(), Released> {
        let Some(start) = self.start.take() else { return Ok(()) };
        tokio::select! {
            biased;
            () = self.cancel.cancelled() => Err(Released),
            started = start => started.map_err(|_| Released),
        }
    }

    /// Sleeps until a deadline, which simulates the work of the engine. Fails at once when the call
    /// is released.
    async fn sleep_until(&self, deadline: Instant) -> Result<(), Released> {
        tokio::select! {
            biased;
            () = self.cancel.cancelled() => Err(Released),
            () = sleep_until(deadline) => Ok(()),
        }
    }
}

impl Generation {
    /// Processes the prompt: waits for the uncached tokens and stores its blocks in the cache.
    async fn prefill(call: Call, plan: CompletionPlan) -> Result<Self, Released> {
        let now = Instant::now();
        let (cached_tokens, time) = {
            let state = call.run.lock();
            let cached = state.cache.cached_prefix(plan.chain.blocks()) as u64 * BLOCK_TOKENS;
            let uncached = plan.prompt_tokens.saturating_sub(cached);
            (cached, state.batch.prefill_time(uncached, now))
        };
        call.sleep_until(now + time).await?;
        let now = Instant::now();
        {
            let mut state = call.run.lock();
            // A release order may have arrived since the wait ended. Storing the blocks would then
            // hold memory for a released program.
            if call.cancel.is_cancelled() {
                return Err(Released);
            }
            state.store(plan.chain.blocks(), call.program.as_ref(), now);
        }
        Ok(Self {
            call,
            plan,
            cached_tokens,
            next_at: now,
            generated: 0,
            stage: StreamStage::Tokens,
        })
    }

    /// Generates the next token. Deadlines are computed from the previous deadline, so that the
    /// pace does not depend on the resolution of the timer.
    async fn next_token(&mut self) -> Result<(), Released> {
        let time = self.call.run.lock().batch.token_time(Instant::now());
        self.next_at += time;
        self.call.sleep_until(self.next_at).await?;
        self.generated += 1;
        self.call.engine.lifecycle.totals.tokens.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Returns the next event of a streamed response, or `None` at its end.
    async fn next_event(&mut self) -> Result<Option<String>, Released> {
        if self.stage == StreamStage::Tokens && self.generated == self.plan.tokens {
            self.stage = StreamStage::Usage;
        }
        let event = match self.stage {
            StreamStage::Tokens => {
                self.next_token().await?;
                let delta = json!({"index": 0, "delta": {"content": nth_word(self.generated - 1)}});
                self.chunk_event(json!([delta]), None)
            }
            StreamStage::Usage => {
                self.stage = StreamStage::Done;
                let last = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
                self.chunk_event(json!([last]), Some(self.usage()))
            }
            StreamStage::Done => {
                self.stage = StreamStage::End;
                self.call.complete = true;
                "data: [DONE]\n\n".to_owned()
            }
            StreamStage::End => return Ok(None),
        };
        Ok(Some(event))
    }

    fn chunk_event(&self, choices: serde_json::Value, usage: Option<serde_json::Value>) -> String {
        let mut chunk = json!({
            "id": self.plan.id,
            "object": "chat.completion.chunk",
            "model": self.plan.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage;
        }
        format!("data: {chunk}\n\n")
    }

    fn response_body(&self) -> serde_json::Value {
        let text: String = (0..self.generated).map(nth_word).collect();
        let message = json!({"role": "assistant", "content": text});
        json!({
            "id": self.plan.id,
            "object": "chat.completion",
            "model": self.plan.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self.usage(),
        })
    }

    fn usage(&self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.plan.prompt_tokens,
            "completion_tokens": self.generated,
            "cached_tokens": self.cached_tokens,
        })
    }
}

fn nth_word(n: u64) -> String {
    format!("word{n} ")
}

fn released_response() -> Response<ResponseBody> {
    error_response(StatusCode::CONFLICT, "an order released the program")
}

/// State of a streamed response.
enum StreamState {
    Prefill(Box<(Call, CompletionPlan)>),
    Running(Box<Generation>),
    Ended,
}

/// Streams a response. If the call is released, the connection is aborted, so that the caller does
/// not take a partial response for a complete one.
fn stream_response(call: Call, plan: CompletionPlan) -> Response<ResponseBody> {
    let events = stream::unfold(StreamState::Prefill(Box::new((call, plan))), |state| async move {
        let mut generation = match state {
            StreamState::Prefill(call) => match Generation::prefill(call.0, call.1).await {
                Ok(generation) => Box::new(generation),
                Err(Released) => return Some((Err(aborted_error()), StreamState::Ended)),
            },
            StreamState::Running(generation) => generation,
            StreamState::Ended => return None,
        };
        match generation.next_event().await {
            Ok(Some(event)) => {
                Some((Ok(Frame::data(Bytes::from(event))), StreamState::Running(generation)))
            }
            Ok(None) => None,
            Err(Released) => Some((Err(aborted_error()), StreamState::Ended)),
        }
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn aborted_error() -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::ConnectionAborted, "an order released the program")
}
