//! What was said before a turn that continues another one.
//!
//! A short history is held in memory. A long one stays in the stores and is read in parts while it is
//! sent to an endpoint, so that neither the memory of a front nor a message between instances grows
//! with the length of conversations.

use std::{cmp::Ordering, io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{
    StreamExt,
    stream::{self, BoxStream},
};
use poplarspan_policy::Name;
use poplarspan_proto::peer::{self, request, response};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout, timeout_at},
};

use super::Programs;

/// Maximum size of a history that is held in memory, and of the parts in which longer histories and
/// turns are read and stored, in bytes. At 30 Mbit/s, the slowest link of a front, a part takes
/// 70 ms.
pub(crate) const PART_BYTES: usize = 256 << 10;
/// Maximum number of long histories and turns that a front moves at the same time, a part of each.
/// All parts together take half of the timeout of a call on the slowest link.
pub(super) const MAX_TRANSFERS: usize = 4;
/// Time after which a transfer no longer keeps others waiting. An endpoint may have stopped reading.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(2);

/// Inputs and outputs of the turns before a turn, oldest first.
#[derive(Clone)]
pub(crate) enum History {
    /// Whole in memory.
    Held(Bytes),
    /// In the stores.
    Stored(Arc<StoredHistory>),
}

/// A history that is read in parts.
pub(crate) struct StoredHistory {
    programs: Arc<Programs>,
    group: u32,
    team: Name,
    /// The last turn of the history.
    turn: Name,
    len: u64,
    /// CRC-32C of the whole.
    checksum: u32,
}

impl Default for History {
    fn default() -> Self {
        Self::Held(Bytes::new())
    }
}

impl History {
    /// The history in a store's response to the beginning of a turn that continues `turn`.
    pub(super) fn begun(
        programs: &Arc<Programs>,
        group: u32,
        team: &Name,
        turn: &Name,
        begun: peer::TurnBegun,
    ) -> Self {
        if begun.history_len == 0 {
            return Self::Held(begun.history);
        }
        Self::Stored(Arc::new(StoredHistory {
            programs: programs.clone(),
            group,
            team: team.clone(),
            turn: turn.clone(),
            len: begun.history_len,
            checksum: begun.history_crc,
        }))
    }

    pub(crate) fn len(&self) -> u64 {
        match self {
            Self::Held(history) => history.len() as u64,
            Self::Stored(history) => history.len,
        }
    }

    /// Reads the history until `deadline`. The last part is only returned if the whole is what the
    /// stores named at the beginning of the turn.
    pub(crate) fn parts(&self, deadline: Instant) -> BoxStream<'static, io::Result<Bytes>> {
        match self {
            Self::Held(history) => stream::iter([Ok(history.clone())]).boxed(),
            Self::Stored(history) => history.parts(deadline),
        }
    }
}

impl StoredHistory {
    /// Length in bytes and CRC-32C.
    pub(crate) fn digest(&self) -> (u64, u32) {
        (self.len, self.checksum)
    }

    /// Waits until few other long histories are sent, at most until `until`.
    pub(crate) async fn begin_transfer(&self, until: Instant) -> Option<Transfer> {
        self.programs.begin_transfer(until).await
    }

    fn parts(self: &Arc<Self>, deadline: Instant) -> BoxStream<'static, io::Result<Bytes>> {
        let reader = Reader { history: self.clone(), at: 0, checksum: 0, deadline };
        // A failure ends the stream.
        let parts = stream::unfold(Some(reader), async |reader| {
            let mut reader = reader.filter(|reader| reader.at < reader.history.len)?;
            let part = reader.next().await;
            let reader = part.is_ok().then_some(reader);
            Some((part, reader))
        });
        parts.boxed()
    }

    async fn read(&self, offset: u64, deadline: Instant) -> io::Result<Bytes> {
        let read = peer::HistoryRead {
            group: self.group,
            team: self.team.to_string(),
            turn: self.turn.to_string(),
            offset,
            max: PART_BYTES as u32,
        };
        let body = || request::Body::HistoryRead(read.clone());
        match self.programs.call(self.group, body, deadline).await {
            Some(response::Body::HistoryPart(peer::HistoryPart { data: Some(part) })) => Ok(part),
            Some(_) => Err(io::Error::other("the history has expired")),
            None => Err(io::Error::other("the stores do not answer")),
        }
    }
}

/// Reads a history from its beginning.
struct Reader {
    history: Arc<StoredHistory>,
    at: u64,
    /// CRC-32C of the parts so far.
    checksum: u32,
    deadline: Instant,
}

impl Reader {
    async fn next(&mut self) -> io::Result<Bytes> {
        let part = self.history.read(self.at, self.deadline).await?;
        self.at += part.len() as u64;
        self.checksum = crc32c::crc32c_append(self.checksum, &part);
        let is_intact = match self.at.cmp(&self.history.len) {
            Ordering::Less => !part.is_empty(),
            Ordering::Equal => self.checksum == self.history.checksum,
            Ordering::Greater => false,
        };
        if !is_intact {
            let (turn, offset) = (&*self.history.turn, self.at);
            log::error!(turn, offset; "the history differs from the one that the turn began with");
            return Err(io::Error::other("the history has changed"));
        }
        Ok(part)
    }
}

/// Permission to move a long history or turn. Others may wait until it is dropped.
pub(crate) struct Transfer {
    _end: oneshot::Sender<()>,
}

impl Programs {
    /// Waits until few other transfers are under way, at most until `until`.
    pub(super) async fn begin_transfer(&self, until: Instant) -> Option<Transfer> {
        let permit = timeout_at(until, self.transfers.clone().acquire_owned()).await.ok()?;
        let permit = permit.expect("the semaphore is never closed");
        let (end, ended) = oneshot::channel();
        tokio::spawn(async move {
            // Either the transfer has ended, or it no longer keeps others waiting.
            let _ = timeout(MAX_TRANSFER_TIME, ended).await;
            drop(permit);
        });
        Some(Transfer { _end: end })
    }
}
