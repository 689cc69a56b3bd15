//! Cache of the histories of turns that this front has kept, so that the next turn of a
//! conversation need not read them from a store.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use poplarspan_policy::Name;

/// Maximum size of all histories together, in bytes.
const MAX_BYTES: usize = 8 << 20;
/// Maximum age of an entry. A conversation without a turn here for this long has probably continued
/// at another front.
const MAX_AGE: Duration = Duration::from_secs(20);

/// Histories, oldest first.
#[derive(Default)]
pub(super) struct HistoryCache {
    entries: VecDeque<Entry>,
    bytes: usize,
}

struct Entry {
    /// Store group that has the turn.
    group: u32,
    team: Name,
    turn: Name,
    history: Bytes,
    at: Duration,
}

impl HistoryCache {
    /// Returns the inputs and outputs up to and including a turn that this front kept in `group`.
    pub(super) fn get(&self, group: u32, team: &Name, turn: &Name) -> Option<Bytes> {
        // Conversations mostly continue from their last turn.
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
