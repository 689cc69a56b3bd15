//! Origins of streams: which software version began each stream that its caller may resume.
//!
//! What two software versions write does not fit together, and endpoints do not check it. A caller
//! resumes a stream at any front, also after all fronts have restarted, so origins are kept in the
//! replicated state of the stores. A stream whose origin is not known is not resumed.
//!
//! An origin is recorded in the background once the first event arrives, so that no event waits for
//! the stores. A front that ends before the record is committed leaves a stream that cannot be
//! resumed.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use poplarspan_policy::Name;
use poplarspan_proto::peer::{self, request, response};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

use super::{Programs, batches::GroupBatches, stores_unavailable};
use crate::{front::refusal::Refusal, groups::group_of};

/// Maximum number of queued records. Further streams cannot be resumed.
const MAX_UNRECORDED: usize = 4_096;
/// Time in which records are collected into a batch. Short, because a stream cannot be resumed
/// before it is recorded.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);
const MAX_BATCH: usize = 256;
/// How long a record is retried; most streams have ended by then.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);
/// A stream that broke off right after its first event may be resumed before its record is
/// committed, so it is looked up again after this time.
const LOOKUP_PAUSE: Duration = Duration::from_millis(40);
const MAX_LOOKUPS: u32 = 4;

/// Where a stream began.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    pub(crate) service: Name,
    /// Version of the endpoint's software.
    pub(crate) software: Name,
}

/// Records and looks up origins of streams.
pub(crate) struct Origins {
    programs: Arc<Programs>,
    tx: mpsc::Sender<(u32, peer::StreamStart)>,
}

/// Background task that records origins.
pub(crate) struct OriginRecorder {
    programs: Arc<Programs>,
    batches: GroupBatches<peer::StreamStart>,
}

impl Origins {
    pub(crate) fn new(programs: Arc<Programs>) -> (Arc<Self>, OriginRecorder) {
        let (tx, rx) = mpsc::channel(MAX_UNRECORDED);
        let batches = GroupBatches::new(rx, MAX_UNRECORDED, BATCH_INTERVAL, MAX_BATCH);
        let origins = Arc::new(Self { programs: programs.clone(), tx });
        (origins, OriginRecorder { programs, batches })
    }

    /// Queues the record of a stream whose first event has arrived.
    pub(crate) fn record(&self, team: &str, stream: &str, origin: &Origin, keep: Duration) {
        let groups = self.programs.fleet.view().group_leaders.len() as u32;
        let start = peer::StreamStart {
            team: team.to_owned(),
            stream: stream.to_owned(),
            service: origin.service.to_string(),
            software: origin.software.to_string(),
            keep_ms: keep.as_millis() as u64,
        };
        if groups == 0 || self.tx.try_send((group_of(team, stream, groups), start)).is_err() {
            note_unrecorded(1, "no store groups are known, or the queue is full");
        }
    }

    /// Returns where a stream began.
    ///
    /// # Errors
    ///
    /// Refuses the call if the origin is not recorded, or the stores do not answer in time.
    pub(crate) async fn find(
        &self,
        team: &str,
        stream: Option<&Name>,
        deadline: Instant,
    ) -> Result<Origin, Refusal> {
        let Some(stream) = stream else { return Err(unknown_stream()) };
        let groups = self.programs.groups(deadline).await?;
        let group = group_of(team, stream, groups);
        let lookup =
            peer::StreamLookup { team: team.to_owned(), stream: stream.to_string(), group };
        for attempt in 1..=MAX_LOOKUPS {
            let body = || request::Body::StreamLookup(lookup.clone());
            match self.programs.call(group, body, deadline).await {
                Some(response::Body::StreamLookup(peer::StreamLookupResult { start })) => {
                    if let Some(start) = start {
                        let (service, software) = (start.service.into(), start.software.into());
                        return Ok(Origin { service, software });
                    }
                }
                _ => return Err(stores_unavailable("the stores do not answer")),
            }
            if attempt < MAX_LOOKUPS {
                sleep(LOOKUP_PAUSE).await;
            }
        }
        Err(unknown_stream())
    }
}

impl OriginRecorder {
    /// Records origins until the task is cancelled.
    pub(crate) async fn run(self) {
        let Self { programs, batches } = self;
        batches.run(|group, starts| record(programs.clone(), group, starts)).await;
    }
}

async fn record(programs: Arc<Programs>, group: u32, starts: Vec<peer::StreamStart>) {
    let count = starts.len();
    let body = || request::Body::StreamStarts(peer::StreamStarts { starts: starts.clone(), group });
    if programs.call(group, body, Instant::now() + RECORD_TIMEOUT).await.is_none() {
        note_unrecorded(count, "the stores did not answer");
    }
}

fn note_unrecorded(count: usize, cause: &'static str) {
    log::warn!(count, cause; "origins of streams are not recorded; they cannot be resumed");
    metrics::counter!("poplarspan_relay_unrecorded_streams_total").increment(count as u64);
}

/// The refusal for a stream that nobody can resume. It names no time to retry, since the caller can
/// only start the stream anew.
fn unknown_stream() -> Refusal {
    let message = "it is not known which software version began the stream";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "unknown_stream", message)
}
