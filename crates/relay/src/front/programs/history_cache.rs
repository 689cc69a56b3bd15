//! HistoryCache of turns that this front has kept, so that the next turn of the same line needs no
//! store.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use poplarspan_policy::Name;

/// Bytes of all histories together.
const MAX_BYTES: usize = 8 << 20;
/// A line that has gone on for this long without the front has probably gone elsewhere.
const MAX_AGE: Duration = Duration::from_secs(20);

/// HistoryCache, the oldest first.
#[derive(Default)]
pub(super) struct HistoryCache {
    entries: VecDeque<Entry>,
    bytes: usize,
}

struct Entry {
    /// Group of stores that keeps the turn.
    group: u32,
    team: Name,
    turn: Name,
    history: Bytes,
    at: Duration,
}

impl HistoryCache {
    /// Inputs and outputs up to and with a turn that was kept here, by a group.
    pub(super) fn get(&self, group: u32, team: &Name, turn: &Name) -> Option<Bytes> {
        // Lines mostly continue from their last turn.
        let found = self
            .entries
            .iter()
            .rev()
            .find(|e| e.turn == *turn && e.team == *team && e.group == group)?;
        Some(found.history.clone())
    }

    /// Adds the history of a turn that has just become durable.
    pub(super) fn put(
        &mut self,
        group: u32,
        team: &Name,
        turn: &Name,
        history: Bytes,
        now: Duration,
    ) {
        self.bytes += history.len();
        let (team, turn) = (team.clone(), turn.clone());
        self.entries.push_back(Entry { group, team, turn, history, at: now });
        while let Some(oldest) =
            self.entries.pop_front_if(|e| self.bytes > MAX_BYTES || now > e.at + MAX_AGE)
        {
            self.bytes -= oldest.history.len();
        }
    }
}
