//! Keeps turns, so that later ones can continue them.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http::StatusCode;
use poplarspan_policy::Name;
use poplarspan_proto::peer::{self, request, response};
use tokio::time::Instant;

use super::{
    OpenTurn,
    history::{History, PART_BYTES},
};
use crate::front::refusal::Refusal;

/// A turn to be kept.
pub(crate) struct KeptTurn {
    pub(crate) previous: Option<Name>,
    /// Inputs and outputs of the turns before it.
    pub(crate) history: History,
    pub(crate) input: Bytes,
    pub(crate) output: Bytes,
    pub(crate) retain: Duration,
}

impl KeptTurn {
    /// Bytes of the turn itself.
    fn len(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

impl OpenTurn {
    /// Keeps the turn and returns once it is durable.
    ///
    /// Fails if the stores do not answer in time. The turn may have been kept nevertheless.
    pub(crate) async fn keep(&mut self, kept: KeptTurn, deadline: Instant) -> Result<(), Refusal> {
        let mut is_kept = Some(false);
        if !self.continues_other_group {
            is_kept = self.store(&kept, false, deadline).await;
        }
        // The group does not have the previous turns, or they have expired while this turn ran. Their
        // history is stored before this turn's input.
        if is_kept == Some(false) {
            let (turn, bytes) = (&*self.name.turn, kept.history.len());
            log::info!(turn, bytes; "turn is kept with the history before it");
            is_kept = self.store(&kept, true, deadline).await;
        }
        if is_kept != Some(true) {
            let message = "the turn could not be kept in time";
            return Err(Refusal::new(StatusCode::BAD_GATEWAY, "not_kept", message));
        }
        if let History::Held(history) = &kept.history
            && history.len() + kept.len() <= PART_BYTES
        {
            let combined = concat(&[history, &kept.input, &kept.output]);
            let (name, programs) = (&self.name, &self.programs);
            let now = programs.clock.now();
            programs.history_cache().put(self.group, &name.team, &name.turn, combined, now);
        }
        Ok(())
    }

    /// Stores the turn and settles its reservation. Returns whether the turn can be continued, or
    /// `None` if the stores do not answer in time.
    ///
    /// If `with_history` is set, the history is stored as well, instead of a link to the previous
    /// turn.
    async fn store(
        &mut self,
        kept: &KeptTurn,
        with_history: bool,
        deadline: Instant,
    ) -> Option<bool> {
        let bytes = kept.len() as u64 + if with_history { kept.history.len() } else { 0 };
        let _transfer = match bytes > PART_BYTES as u64 {
            true => Some(self.programs.begin_transfer(deadline).await?),
            false => None,
        };
        let previous = kept.previous.as_ref().filter(|_| !with_history);
        let previous = previous.map(|p| p.to_string());
        let mut chain = EntryChain { turn: self, kept, previous, ahead: 0, deadline };
        let (mut input, mut output) = (kept.input.clone(), kept.output.clone());
        match &kept.history {
            _ if !with_history => {}
            History::Held(history) if bytes <= PART_BYTES as u64 => {
                input = concat(&[history, &input]);
            }
            history => {
                let mut parts = history.parts(deadline);
                while let Some(part) = parts.next().await {
                    if !chain.push(part.ok()?).await? {
                        return Some(false);
                    }
                }
            }
        }
        while input.len() + output.len() > PART_BYTES {
            let rest = if input.is_empty() { &mut output } else { &mut input };
            let part = rest.split_to(PART_BYTES.min(rest.len()));
            if !chain.push(part).await? {
                return Some(false);
            }
        }
        let is_complete = chain.finish(input, output).await?;
        self.is_reserved = false;
        Some(is_complete)
    }
}

/// The entries that a turn is stored as, each of which continues the one before it. An entry is one
/// command of the replicated log, which delays those behind it, so it has at most [`PART_BYTES`].
struct EntryChain<'a> {
    turn: &'a OpenTurn,
    kept: &'a KeptTurn,
    /// Name of the entry or turn that the next entry continues.
    previous: Option<String>,
    /// Number of entries before the turn's own.
    ahead: usize,
    deadline: Instant,
}

impl EntryChain<'_> {
    /// Stores an entry ahead of the turn's own. Returns whether it can be continued.
    async fn push(&mut self, part: Bytes) -> Option<bool> {
        // Callers cannot send a line feed in the name of a turn.
        let name = format!("{}\n\n{}", self.turn.name.turn, self.ahead);
        self.ahead += 1;
        let previous = self.previous.replace(name.clone());
        let team = self.turn.name.team.to_string();
        let end = peer::TurnEnd { team, ..Default::default() };
        self.send(end, name, previous, part, Bytes::new()).await
    }

    /// Stores the turn's own entry and settles its reservation. Returns whether the turn can be
    /// continued.
    async fn finish(self, input: Bytes, output: Bytes) -> Option<bool> {
        let (end, name) = (self.turn.end(), self.turn.name.turn.to_string());
        self.send(end, name, self.previous.clone(), input, output).await
    }

    async fn send(
        &self,
        mut end: peer::TurnEnd,
        turn: String,
        previous: Option<String>,
        input: Bytes,
        output: Bytes,
    ) -> Option<bool> {
        let OpenTurn { programs, group, .. } = self.turn;
        let retain_ms = self.kept.retain.as_millis() as u64;
        end.kept = Some(peer::KeptTurn { turn, previous, input, output, retain_ms });
        let group = *group;
        let body = || request::Body::TurnEnds(peer::TurnEnds { ends: vec![end.clone()], group });
        match programs.call(group, body, self.deadline).await? {
            response::Body::TurnsEnded(ended) => Some(ended.incomplete.is_empty()),
            _ => None,
        }
    }
}

fn concat(parts: &[&Bytes]) -> Bytes {
    let mut combined = BytesMut::with_capacity(parts.iter().map(|p| p.len()).sum());
    for part in parts {
        combined.extend_from_slice(part);
    }
    combined.freeze()
}
