//! Outputs of unfinished turns that their callers may resume.
//!
//! A caller may resume a broken stream at any front, also after the one that began it was killed.
//! The turn can then only be kept whole if the events before the break are known, so each event is
//! made durable before it is passed on.
//!
//! An event is stored as a kept turn without input that continues the event before it. The history
//! of an event is then the output up to it, and stores of an older build can keep it too. The keys
//! contain a line feed, which a caller cannot send in the name of a turn.
//!
//! Each attempt of the caller has its own events, because a front that was frozen may still record
//! some for an attempt that its caller has given up. The stores name the latest attempt of a stream.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use poplarspan_policy::Name;
use poplarspan_proto::peer::{self, request, response};
use tokio::time::Instant;

use super::{Programs, stores_unavailable};
use crate::{
    front::{events::Event, refusal::Refusal},
    groups::group_of,
};

/// How long events wait to become durable. Then they are passed on all the same, so that streams do
/// not stall while the stores elect a leader; one that breaks off meanwhile cannot be resumed.
const SYNC_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum size of the events in one call, in bytes. A single event may be larger.
const MAX_BATCH_BYTES: usize = 1 << 20;
const MAX_BATCH: usize = 256;
/// Maximum number of recorded events of an attempt whose caller allows fewer tokens, or has not said
/// how many.
const MIN_EVENT_LIMIT: usize = 64;
/// Maximum size of the recorded events of an attempt, in bytes. A longer stream goes on, but cannot
/// be resumed.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// An attempt of a caller to receive a stream.
pub(crate) struct StreamAttempt {
    pub(crate) team: Name,
    /// Id of the attempt that brought the first event of the stream.
    pub(crate) stream: Name,
    /// Id of this attempt.
    pub(crate) id: Name,
    /// When the caller no longer resumes the stream.
    pub(crate) until: Instant,
    /// Maximum number of tokens in the stream; 0 if the caller has not said.
    pub(crate) max_tokens: u32,
}

/// Makes the events of one attempt durable.
pub(crate) struct OutputRecord {
    programs: Arc<Programs>,
    /// Store group of the stream.
    group: u32,
    attempt: StreamAttempt,
    /// Key of the event that the next one continues.
    last: Option<String>,
    /// Data of events without an id; it is stored with the next event that has one.
    unnamed: BytesMut,
    /// Events that are not known to be durable, oldest first.
    pending: VecDeque<StoredEvent>,
    pending_bytes: usize,
    /// Number and size of the events that may still be recorded. Without a limit, a faulty endpoint
    /// that streams without end would fill the memory of the stores.
    events_left: usize,
    bytes_left: usize,
}

struct StoredEvent {
    key: String,
    previous: Option<String>,
    data: Bytes,
}

impl OutputRecord {
    /// Begins the record of a new stream.
    pub(crate) async fn begin(
        programs: &Arc<Programs>,
        attempt: StreamAttempt,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        let groups = programs.groups(deadline).await?;
        Ok(Self {
            programs: programs.clone(),
            group: group_of(&attempt.team, &attempt.stream, groups),
            // An event has at least one token.
            events_left: MIN_EVENT_LIMIT.max(attempt.max_tokens as usize),
            bytes_left: MAX_RECORD_BYTES,
            attempt,
            last: None,
            unnamed: BytesMut::new(),
            pending: VecDeque::new(),
            pending_bytes: 0,
        })
    }

    /// Begins the record of an attempt that resumes a stream after an event. Returns the output up
    /// to that event as well.
    ///
    /// # Errors
    ///
    /// Refuses the call if that output is not recorded, or the stores do not answer in time.
    pub(crate) async fn resume(
        programs: &Arc<Programs>,
        attempt: StreamAttempt,
        last_event: &str,
        deadline: Instant,
    ) -> Result<(Self, Bytes), Refusal> {
        let mut record = Self::begin(programs, attempt, deadline).await?;
        let StreamAttempt { team, stream, id, .. } = &record.attempt;
        let latest = latest_key(stream);
        let before = programs.history(record.group, team, &latest, 0, deadline).await?;
        let before = before.as_ref().map_or(stream.as_bytes(), |begun| &begun.history);
        let resumed = event_key(&String::from_utf8_lossy(before), last_event);
        let output = programs.history(record.group, team, &resumed, 0, deadline).await?;
        let output = output.ok_or_else(unknown_output)?.history;
        let key = event_key(id, last_event);
        if key != resumed {
            let start =
                StoredEvent { key: key.clone(), previous: Some(resumed), data: Bytes::new() };
            let data = Bytes::copy_from_slice(id.as_bytes());
            let latest = StoredEvent { key: latest, previous: None, data };
            if !record.store([&start, &latest], deadline).await {
                return Err(stores_unavailable("the stores do not answer"));
            }
        }
        record.last = Some(key);
        Ok((record, output))
    }

    /// Adds an event that is about to be passed on.
    pub(crate) fn push(&mut self, event: &Event) {
        let Some(bytes_left) = self.bytes_left.checked_sub(event.raw.len()) else {
            self.events_left = 0;
            return;
        };
        if self.events_left == 0 {
            return;
        }
        self.bytes_left = bytes_left;
        event.write_data(&mut self.unnamed);
        let Some(id) = event.id.as_ref().and_then(|id| std::str::from_utf8(id).ok()) else {
            return;
        };
        let key = event_key(&self.attempt.id, id);
        // An event with the id of the one before cannot be told from it by the caller.
        if self.last.as_ref() != Some(&key) {
            let data = self.unnamed.split().freeze();
            self.pending_bytes += data.len();
            let previous = self.last.replace(key.clone());
            self.events_left -= 1;
            self.pending.push_back(StoredEvent { key, previous, data });
        }
    }

    /// Size of the events that are not known to be durable, in bytes.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.pending_bytes + self.unnamed.len()
    }

    /// Makes the events durable, or gives up after a short time. They are sent again with later ones
    /// then.
    pub(crate) async fn sync(&mut self, deadline: Instant) {
        let until = deadline.min(Instant::now() + SYNC_TIMEOUT);
        while !self.pending.is_empty() {
            let count = self.batch_len();
            if !self.store(self.pending.range(..count), until).await {
                let (id, count) = (&*self.attempt.id, self.pending.len());
                log::warn!(id, count; "events are not recorded; they cannot be resumed after");
                metrics::counter!("poplarspan_relay_unrecorded_events_total")
                    .increment(count as u64);
                return;
            }
            let stored: usize = self.pending.drain(..count).map(|event| event.data.len()).sum();
            self.pending_bytes -= stored;
        }
    }

    /// Number of pending events for the next call; at least 1.
    fn batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = |event: &&StoredEvent| {
            bytes += event.data.len();
            bytes <= MAX_BATCH_BYTES
        };
        self.pending.iter().take(MAX_BATCH).take_while(fits).count().max(1)
    }

    /// Returns whether the events have become durable.
    async fn store<'a>(
        &self,
        events: impl IntoIterator<Item = &'a StoredEvent>,
        deadline: Instant,
    ) -> bool {
        let left = self.attempt.until.saturating_duration_since(Instant::now());
        let end = |event: &StoredEvent| peer::TurnEnd {
            team: self.attempt.team.to_string(),
            kept: Some(peer::KeptTurn {
                turn: event.key.clone(),
                previous: event.previous.clone(),
                input: Bytes::new(),
                output: event.data.clone(),
                retain_ms: left.as_millis() as u64,
            }),
            ..Default::default()
        };
        let ends: Vec<_> = events.into_iter().map(end).collect();
        let group = self.group;
        let body = || request::Body::TurnEnds(peer::TurnEnds { ends: ends.clone(), group });
        let answer = self.programs.call(group, body, deadline).await;
        matches!(answer, Some(response::Body::TurnsEnded(_)))
    }
}

/// Key of an event that an attempt has brought.
fn event_key(attempt: &str, event: &str) -> String {
    format!("{attempt}\n{event}")
}

/// Key under which the id of the latest attempt of a stream is stored. An event's id has no line
/// feed.
fn latest_key(stream: &str) -> String {
    format!("{stream}\n\n")
}

/// The refusal for a stream that nobody can resume. It names no time to retry, since the caller can
/// only start the turn anew.
fn unknown_output() -> Refusal {
    let message = "it is not known what the stream contained up to its last event";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "unknown_output", message)
}
