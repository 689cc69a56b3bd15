//! Chat completions with made-up words.

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
    batch::{CallSpec, Refused},
    run::EngineRun,
};
use crate::{
    life::Totals,
    server::{AnswerBody, json, refuse},
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

/// What is generated for a request.
struct Plan {
    id: String,
    model: String,
    chain: PrefixChain,
    prompt_tokens: u64,
    tokens: u64,
    stream: bool,
}

/// A call in the batch. Dropping it takes it out.
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
            Totals::add(&self.engine.life.totals.cancelled);
        }
        self.run.lock().leave(self.id, Instant::now());
    }
}

/// A running call, between two tokens.
struct Generation {
    call: Call,
    plan: Plan,
    cached_tokens: u64,
    next_at: Instant,
    generated: u64,
    step: Step,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
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
    ) -> Response<AnswerBody> {
        let run = self.run();
        let plan = match self.plan(&run, body) {
            Ok(plan) => plan,
            Err((status, message)) => return refuse(status, &message),
        };
        let mut call = match self.clone().enter(run, headers) {
            Ok(call) => call,
            Err(Refused::Busy) => return self.busy(),
            Err(Refused::Crash) => {
                self.life.crash();
                return pending().await;
            }
        };
        if call.wait().await.is_err() {
            return released();
        }
        Totals::add(&self.life.totals.executions);
        if plan.stream {
            return stream_answer(call, plan);
        }
        let Ok(mut generation) = Generation::begin(call, plan).await else { return released() };
        while generation.generated < generation.plan.tokens {
            if generation.token().await.is_err() {
                return released();
            }
        }
        generation.call.complete = true;
        json(StatusCode::OK, &generation.whole())
    }

    fn plan(&self, run: &EngineRun, body: &[u8]) -> Result<Plan, (StatusCode, String)> {
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
        Ok(Plan {
            id: format!("chat-{:016x}", hasher.finish()),
            model: request.model,
            chain,
            prompt_tokens: (prompt_bytes as u64).div_ceil(BYTES_PER_TOKEN),
            tokens: request.max_tokens.unwrap_or(self.cfg.default_tokens),
            stream: request.stream,
        })
    }

    fn enter(self: Arc<Self>, run: Arc<EngineRun>, headers: &HeaderMap) -> Result<Call, Refused> {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let program: Option<Arc<str>> = text("x-program").map(Into::into);
        let spec = CallSpec {
            program: program.clone(),
            claim: text("x-claim").and_then(|v| v.parse().ok()),
            priority: text("x-priority").and_then(|v| v.parse().ok()).unwrap_or_default(),
        };
        let admitted = run.lock().enter(spec, Instant::now())?;
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

    fn busy(&self) -> Response<AnswerBody> {
        let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, "the queue is full");
        let seconds = self.cfg.retry_after.as_millis().div_ceil(1000);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        response
    }
}

/// The call was cancelled by a release order.
#[derive(Debug)]
struct Released;

impl Call {
    /// Waits for a place in the batch.
    async fn wait(&mut self) -> Result<(), Released> {
        let Some(start) = self.start.take() else { return Ok(()) };
        tokio::select! {
            biased;
            () = self.cancel.cancelled() => Err(Released),
            started = start => started.map_err(|_| Released),
        }
    }

    /// Waits while the engine works for this call.
    async fn work(&self, until: Instant) -> Result<(), Released> {
        tokio::select! {
            biased;
            () = self.cancel.cancelled() => Err(Released),
            () = sleep_until(until) => Ok(()),
        }
    }
}

impl Generation {
    /// Processes the prompt.
    async fn begin(call: Call, plan: Plan) -> Result<Self, Released> {
        let now = Instant::now();
        let (cached_tokens, time) = {
            let state = call.run.lock();
            let cached = state.cache.cached(plan.chain.blocks()) as u64 * BLOCK_TOKENS;
            let uncached = plan.prompt_tokens.saturating_sub(cached);
            (cached, state.batch.prefill_time(uncached, now))
        };
        call.work(now + time).await?;
        let now = Instant::now();
        {
            let mut state = call.run.lock();
            // An order that came meanwhile must not be followed by a new hold.
            if call.cancel.is_cancelled() {
                return Err(Released);
            }
            state.store(plan.chain.blocks(), call.program.as_ref(), now);
        }
        Ok(Self { call, plan, cached_tokens, next_at: now, generated: 0, step: Step::Tokens })
    }

    /// Generates the next token. Times add up from the start, so that the pace does not depend on
    /// the resolution of the timer.
    async fn token(&mut self) -> Result<(), Released> {
        let time = self.call.run.lock().batch.token_time(Instant::now());
        self.next_at += time;
        self.call.work(self.next_at).await?;
        self.generated += 1;
        self.call.engine.life.totals.tokens.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Next event of a streamed answer.
    async fn event(&mut self) -> Result<Option<String>, Released> {
        if self.step == Step::Tokens && self.generated == self.plan.tokens {
            self.step = Step::Usage;
        }
        let event = match self.step {
            Step::Tokens => {
                self.token().await?;
                let delta = json!({"index": 0, "delta": {"content": word(self.generated - 1)}});
                self.chunk(json!([delta]), None)
            }
            Step::Usage => {
                self.step = Step::Done;
                let last = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
                self.chunk(json!([last]), Some(self.usage()))
            }
            Step::Done => {
                self.step = Step::End;
                self.call.complete = true;
                "data: [DONE]\n\n".to_owned()
            }
            Step::End => return Ok(None),
        };
        Ok(Some(event))
    }

    fn chunk(&self, choices: serde_json::Value, usage: Option<serde_json::Value>) -> String {
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

    fn whole(&self) -> serde_json::Value {
        let text: String = (0..self.generated).map(word).collect();
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

fn word(n: u64) -> String {
    format!("word{n} ")
}

fn released() -> Response<AnswerBody> {
    refuse(StatusCode::CONFLICT, "an order released the program")
}

/// A streamed answer, before or after its prompt is processed.
enum Streaming {
    Prefill(Box<(Call, Plan)>),
    Running(Box<Generation>),
    Ended,
}

/// Streams an answer. A released call breaks the connection, so that its caller cannot take what
/// has arrived for the whole answer.
fn stream_answer(call: Call, plan: Plan) -> Response<AnswerBody> {
    let events =
        stream::unfold(Streaming::Prefill(Box::new((call, plan))), |streaming| async move {
            let mut generation = match streaming {
                Streaming::Prefill(call) => match Generation::begin(call.0, call.1).await {
                    Ok(generation) => Box::new(generation),
                    Err(Released) => return Some((Err(aborted()), Streaming::Ended)),
                },
                Streaming::Running(generation) => generation,
                Streaming::Ended => return None,
            };
            match generation.event().await {
                Ok(Some(event)) => {
                    Some((Ok(Frame::data(Bytes::from(event))), Streaming::Running(generation)))
                }
                Ok(None) => None,
                Err(Released) => Some((Err(aborted()), Streaming::Ended)),
            }
        });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn aborted() -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::ConnectionAborted, "an order released the program")
}
