//! What was said before a turn that continues another one.
//!
//! A short history is held in memory. Of a long one, only the first part is: the rest is read from
//! the stores while it is sent to an endpoint, so that the memory of a front does not grow with the
//! length of conversations, and no message between instances does either.

use std::{io, sync::Arc};

use bytes::Bytes;
use futures::{Stream, stream};
use poplarspan_policy::Name;
use poplarspan_proto::peer::{self, request, response};
use tokio::time::Instant;

use super::Programs;

/// Maximum size of the parts in which long histories and turns are read and stored, in bytes. At
/// 30 Mbit/s, the slowest link of a front, a part takes 70 ms.
pub(crate) const PART_BYTES: usize = 256 << 10;
/// Maximum number of parts that a front reads and stores at the same time, in memory and on its
/// link. Further ones wait, so that all of them arrive within the timeout of a call.
pub(super) const MAX_TRANSFERS: usize = 4;

/// Inputs and outputs of the turns before a turn, oldest first.
#[derive(Clone, Default)]
pub(crate) struct History {
    /// The whole history, or its first part.
    start: Bytes,
    /// Where the rest is; `None` if the history is held.
    source: Option<Arc<Source>>,
}

struct Source {
    programs: Arc<Programs>,
    group: u32,
    team: Name,
    /// The last turn of the history.
    turn: Name,
    len: u64,
    checksum: u32,
}

impl History {
    /// A history that is whole in memory.
    pub(super) fn held(history: Bytes) -> Self {
        Self { start: history, source: None }
    }

    /// The history in a store's response to the beginning of a turn.
    pub(super) fn begun(
        programs: &Arc<Programs>,
        group: u32,
        team: &Name,
        turn: &Name,
        begun: peer::TurnBegun,
    ) -> Self {
        let source = (begun.history_len > 0).then(|| Source {
            programs: programs.clone(),
            group,
            team: team.clone(),
            turn: turn.clone(),
            len: begun.history_len,
            checksum: begun.history_crc,
        });
        Self { start: begun.history, source: source.map(Arc::new) }
    }

    pub(crate) fn len(&self) -> u64 {
        self.source.as_ref().map_or(self.start.len() as u64, |source| source.len)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The history, if it is whole in memory.
    pub(crate) fn as_held(&self) -> Option<&Bytes> {
        self.source.is_none().then_some(&self.start)
    }

    /// CRC-32C of a history that is not held.
    pub(crate) fn checksum(&self) -> Option<u32> {
        self.source.as_ref().map(|source| source.checksum)
    }

    /// Reads the history until `deadline`. The last part is only returned if the whole is what the
    /// stores named at the beginning of the turn.
    pub(crate) fn parts(
        &self,
        deadline: Instant,
    ) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        let reader =
            Reader { history: self.clone(), at: 0, checksum: 0, deadline, is_failed: false };
        stream::unfold(reader, |mut reader| async move {
            let part = reader.next().await?;
            Some((part, reader))
        })
    }
}

/// Reads a history from its beginning.
struct Reader {
    history: History,
    at: u64,
    /// CRC-32C of the parts so far.
    checksum: u32,
    deadline: Instant,
    is_failed: bool,
}

impl Reader {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.at == self.history.len() || self.is_failed {
            return None;
        }
        let part = self.read().await;
        self.is_failed = part.is_err();
        Some(part)
    }

    async fn read(&mut self) -> io::Result<Bytes> {
        let Some(source) = self.history.source.clone() else {
            self.at = self.history.len();
            return Ok(self.history.start.clone());
        };
        let part = if self.at == 0 {
            self.history.start.clone()
        } else {
            source.read(self.at, self.deadline).await?
        };
        self.at += part.len() as u64;
        self.checksum = crc32c::crc32c_append(self.checksum, &part);
        let is_intact = match self.at.cmp(&source.len) {
            std::cmp::Ordering::Less => !part.is_empty(),
            std::cmp::Ordering::Equal => self.checksum == source.checksum,
            std::cmp::Ordering::Greater => false,
        };
        if !is_intact {
            let (turn, offset) = (&*source.turn, self.at);
            log::error!(turn, offset; "the history differs from the one that the turn began with");
            return Err(io::Error::other("the history has changed"));
        }
        Ok(part)
    }
}

impl Source {
    async fn read(&self, offset: u64, deadline: Instant) -> io::Result<Bytes> {
        let read = peer::HistoryRead {
            group: self.group,
            team: self.team.to_string(),
            turn: self.turn.to_string(),
            offset,
            max: PART_BYTES as u32,
        };
        let body = || request::Body::HistoryRead(read.clone());
        match self.programs.transfer(self.group, body, deadline).await {
            Some(response::Body::HistoryPart(peer::HistoryPart { data: Some(part) })) => Ok(part),
            Some(_) => Err(io::Error::other("the history has expired")),
            None => Err(io::Error::other("the stores do not answer")),
        }
    }
}
