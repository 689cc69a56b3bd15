//! Whether the stores have room for kept turns, as a front knows it.

use std::{sync::Mutex, time::Duration};

use poplarspan_proto::peer::{self, TurnVerdict};
use tokio::time::Instant;

use super::{Programs, Refusal};
use crate::store::budget::NO_ROOM_RETRY_AFTER;

/// How long an answer of a store is used. At 300 turns a second a store's room of some MB lasts for
/// longer, and a front asks less often than it begins turns.
const ANSWER_TTL: Duration = Duration::from_millis(500);
/// How long a call waits for the answer. Without one it goes on, because a change of the leader must
/// not stop calls that need the stores only when they end.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// The last answers of the groups: when each was asked and whether it has room.
#[derive(Default)]
pub(super) struct RoomCache(Mutex<Vec<Option<(Instant, bool)>>>);

impl RoomCache {
    /// Returns the last answer, or `None` if it is time to ask again. Only the caller that gets
    /// `None` asks; the others use the last answer meanwhile.
    fn get(&self, group: u32) -> Option<bool> {
        let (mut answers, now) = (self.0.lock().expect("no panic while locked"), Instant::now());
        let at = group as usize;
        if answers.len() <= at {
            answers.resize(at + 1, None);
        }
        match &mut answers[at] {
            Some((asked, has_room)) if now < *asked + ANSWER_TTL => Some(*has_room),
            answer => {
                let has_room = answer.is_none_or(|(_, has_room)| has_room);
                *answer = Some((now, has_room));
                None
            }
        }
    }

    fn set(&self, group: u32, has_room: bool) {
        let mut answers = self.0.lock().expect("no panic while locked");
        if let Some(answer) = answers.get_mut(group as usize) {
            *answer = Some((Instant::now(), has_room));
        }
    }
}

impl Programs {
    /// Returns whether a group has room for a turn that begins a conversation, as far as is known.
    pub(super) async fn has_room(&self, group: u32) -> bool {
        if let Some(has_room) = self.room.get(group) {
            return has_room;
        }
        let ask = peer::TurnBegin { group, keeps: true, ..Default::default() };
        let answer = self.begin_at(&ask, Instant::now() + ASK_TIMEOUT).await;
        let has_room = answer.map_or(true, |begun| begun.verdict() != TurnVerdict::NoRoom);
        self.room.set(group, has_room);
        has_room
    }
}

pub(super) fn no_room() -> Refusal {
    let message = "the stores have no room for another kept turn";
    Refusal::retry_later("no_room", message, NO_ROOM_RETRY_AFTER)
}
