//! Relays streamed responses event by event.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::{header, response};
use http_body_util::BodyExt;
use poplarspan_policy::Name;
use tokio::time::timeout_at;

use super::{
    Front,
    admission::TurnTimer,
    attempt::{Attempts, StartedResponse},
    body::{ResponseBody, TruncatedBody, streamed},
    endpoints::{ChosenEndpoint, Outcome},
    events::EventReader,
    handler::CallRecord,
    memory::MemoryReservation,
    programs::{OpenTurn, origins::Origin},
    recording::TurnRecording,
};

/// Maximum size of an event and of a trailing incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A stream that is being relayed to a caller. Dropping it cancels the call at the endpoint.
pub(crate) struct StreamRelay {
    pub(crate) attempts: Attempts,
    pub(crate) response: Option<StartedResponse>,
    pub(crate) reader: EventReader,
    pub(crate) last_event: Option<Name>,
    pub(crate) events: u64,
    /// The endpoint that the first event passed on came from.
    pub(crate) began_at: Option<ChosenEndpoint>,
    pub(crate) tokens_per_event: u64,
    pub(crate) turn: Option<OpenTurn>,
    pub(crate) recording: Option<TurnRecording>,
    pub(crate) timer: Option<TurnTimer>,
    pub(crate) record: CallRecord,
    pub(crate) is_done: bool,
    /// Memory reserved for the incomplete event and the recorded output.
    pub(crate) reservation: MemoryReservation,
}

/// Result of reading from the endpoint.
enum ReadOutcome {
    Bytes(Bytes),
    End,
    Broken(String),
    Late,
}

impl StreamRelay {
    /// Returns the body of the response to the caller.
    pub(crate) fn into_body(self) -> ResponseBody {
        // Boxed because the state is large and mostly lives between two chunks.
        streamed(stream::unfold(Box::new(self), |mut relay| async move {
            let chunk = relay.next_chunk().await?;
            Some((chunk, relay))
        }))
    }

    /// Returns the next chunk for the caller, made of all events that have arrived completely.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        if self.is_done {
            return None;
        }
        loop {
            let chunk = self.take_events();
            if !chunk.is_empty() {
                if let Some(recording) = &mut self.recording {
                    recording.sync(self.attempts.call.deadline).await;
                }
                return Some(Ok(chunk));
            }
            match self.read().await {
                ReadOutcome::Bytes(bytes) => {
                    self.attempts.front.links.note_heard();
                    let kept = self.recording.as_ref().map_or(0, TurnRecording::len);
                    let needed_bytes = kept + self.reader.pending() + bytes.len();
                    if let Err(e) = self.reservation.resize(needed_bytes) {
                        if let Err(cut) = self.resume_elsewhere(&e.to_string()).await {
                            return Some(Err(cut));
                        }
                        continue;
                    }
                    self.reader.push(&bytes);
                }
                ReadOutcome::End => return self.end().await,
                ReadOutcome::Broken(cause) => {
                    if let Err(cut) = self.resume_elsewhere(&cause).await {
                        return Some(Err(cut));
                    }
                }
                ReadOutcome::Late => {
                    self.is_done = true;
                    if let Some(response) = self.response.take() {
                        drop((response.body, response.reuse));
                        response.slot.finish(Outcome::Late);
                    }
                    self.record.finish("late");
                    return Some(Err(TruncatedBody("deadline exceeded")));
                }
            }
        }
    }

    async fn read(&mut self) -> ReadOutcome {
        let deadline = self.attempts.call.deadline;
        let Some(response) = &mut self.response else {
            return ReadOutcome::Broken("no response".to_owned());
        };
        loop {
            return match timeout_at(deadline, response.body.frame()).await {
                Err(_) => ReadOutcome::Late,
                Ok(None) => ReadOutcome::End,
                Ok(Some(Err(e))) => ReadOutcome::Broken(e.to_string()),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(_) if self.reader.pending() > MAX_EVENT_BYTES => {
                        ReadOutcome::Broken("event exceeds the size limit".to_owned())
                    }
                    Ok(bytes) => ReadOutcome::Bytes(bytes),
                    Err(_) => continue,
                },
            };
        }
    }

    /// Takes the complete events as one chunk.
    fn take_events(&mut self) -> Bytes {
        let Some(first) = self.reader.next_event() else { return Bytes::new() };
        if self.began_at.is_none() {
            self.began_at = self.response.as_ref().map(|r| r.slot.endpoint.clone());
            self.record.note_response();
            self.record_origin();
        }
        let mut chunk: Option<BytesMut> = None;
        let mut event = first;
        let raw = event.raw.clone();
        loop {
            self.note(&event);
            match self.reader.next_event() {
                None => break,
                Some(next) => {
                    chunk
                        .get_or_insert_with(|| BytesMut::from(&raw[..]))
                        .extend_from_slice(&next.raw);
                    event = next;
                }
            }
        }
        chunk.map_or(raw, BytesMut::freeze)
    }

    /// Records where the stream began, if its caller may resume it. One that the caller resumes has
    /// its record already.
    fn record_origin(&self) {
        let call = &self.attempts.call;
        let software = self.began_at.as_ref().and_then(|e| e.software.clone());
        let Some(software) = software.filter(|_| call.head.last_event.is_none()) else { return };
        if !call.route.may_run_again() {
            return;
        }
        let origin = Origin { service: call.placement.service.clone(), software };
        let keep = call.head.time_left.unwrap_or_default().max(call.route.timeout);
        let team = call.team.as_deref().unwrap_or("");
        self.attempts.front.origins.record(team, &call.head.id, &origin, keep);
    }

    fn note(&mut self, event: &super::events::Event) {
        if let Some(id) = &event.id
            && let Ok(id) = std::str::from_utf8(id)
        {
            self.last_event = Some(id.into());
        }
        if event.has_data() {
            self.events += 1;
            if let Some(turn) = &mut self.turn {
                turn.used += self.tokens_per_event;
            }
        }
        if let Some(recording) = &mut self.recording {
            recording.push(event);
        }
    }

    /// Whether the response is a series of events. One without a content type is taken for a series
    /// if it has contained an event, or if nothing but the end of the connection marks its end.
    fn is_event_stream(&self) -> bool {
        let Some(response) = &self.response else { return false };
        match response.parts.headers.get(header::CONTENT_TYPE) {
            Some(kind) => kind.as_bytes().starts_with(b"text/event-stream"),
            None => self.events > 0 || !has_end(&response.parts),
        }
    }

    /// Handles the end of the endpoint's response. A kept turn is made durable before the caller
    /// sees the end of the stream.
    async fn end(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        if self.reader.is_within_event() && self.is_event_stream() {
            return match self.resume_elsewhere("stream ended within an event").await {
                Ok(()) => Box::pin(self.next_chunk()).await,
                Err(cut) => Some(Err(cut)),
            };
        }
        self.is_done = true;
        if let Some(response) = self.response.take() {
            response.reuse.release();
            response.slot.finish(Outcome::Answered);
        }
        self.attempts.answered();
        if let Some(mut timer) = self.timer.take() {
            timer.complete();
        }
        let rest = self.reader.take_rest();
        if let (Some(recording), Some(turn)) = (self.recording.take(), &mut self.turn) {
            let call = &self.attempts.call;
            let (kept, record) = recording.finish(call.route.retain.unwrap_or_default());
            if let Err(refusal) = turn.keep(kept, call.deadline).await {
                self.record.finish(refusal.code);
                return Some(Err(TruncatedBody("the turn could not be kept")));
            }
            // The caller may lose the end of the stream, and resume it after the last event.
            if let Some(mut record) = record {
                record.sync(call.deadline).await;
            }
        }
        self.record.finish("whole");
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Resumes the stream at another endpoint after the last complete event, if the route allows
    /// it and an endpoint of the software version that began it is left.
    async fn resume_elsewhere(&mut self, cause: &str) -> Result<(), TruncatedBody> {
        let id = self.attempts.call.head.id.clone();
        let events = self.events;
        let software = self.began_at.as_ref().and_then(|e| e.software.clone());
        let began = software.as_deref().unwrap_or("");
        log::warn!(id = &*id, cause, events, software = began; "stream interrupted");
        metrics::counter!("poplarspan_relay_broken_streams_total").increment(1);
        self.reader.clear();
        if let Some(response) = self.response.take() {
            // Closes the connection first, so that the endpoint stops before another one resumes
            // the stream.
            drop((response.body, response.reuse));
            self.attempts.failed(response.slot, cause);
        }
        let is_known = self.began_at.is_none() || software.is_some();
        if !self.attempts.may_retry() || !is_known {
            self.is_done = true;
            self.record.finish("broken");
            return Err(TruncatedBody("the endpoint failed"));
        }
        // What two software versions write does not fit together.
        if let Some(software) = &software {
            self.attempts.restrict_to(software.clone());
        }
        let last_event = self.last_event.clone();
        match self.attempts.next(last_event.as_ref()).await {
            Ok(response) if response.parts.status.is_success() => {
                let endpoint = &response.slot.endpoint;
                let software = endpoint.software.as_deref().unwrap_or("");
                log::info!(
                    id = &*id, endpoint = &*endpoint.name, software, began;
                    "stream resumed at another endpoint"
                );
                self.response = Some(response);
                Ok(())
            }
            Ok(_) | Err(_) => {
                self.is_done = true;
                self.record.finish("not_resumed");
                Err(TruncatedBody("no other endpoint could resume the stream"))
            }
        }
    }
}

/// Whether the end of a response is marked by its framing, not only by the end of the connection.
fn has_end(head: &response::Parts) -> bool {
    head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Number of tokens that an event of a service stands for.
pub(crate) fn tokens_per_event(front: &Arc<Front>, service: &str) -> u64 {
    let view = front.fleet.view();
    let engine = view.publication.as_ref().and_then(|p| p.service(service)?.engine);
    engine.map_or(1, |e| u64::from(e.tokens_per_event))
}
