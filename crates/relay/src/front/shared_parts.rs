//! Prompt parts that many conversations share.
//!
//! Each front has its own list, which starts empty.

use std::time::Duration;

use poplarspan_policy::Name;

use super::placement::PlacementRequest;
use crate::PromptPart;

/// A prompt part counts as shared once this many conversations have used it.
const MIN_SHARING_CONVERSATIONS: u32 = 8;
/// Maximum number of tracked parts; the least recently used one is evicted.
const MAX_SHARED_PARTS: usize = 512;

/// Tracks prompt parts that many conversations share.
///
/// A front only sees its own calls, but a part shared by many conversations is cached at every
/// endpoint that has been up for a while, whichever front sent it there. Such parts are therefore
/// ignored when an endpoint is chosen.
#[derive(Default)]
pub(super) struct SharedParts {
    /// Sorted by id.
    parts: Vec<PartUse>,
}

struct PartUse {
    id: u64,
    /// Number of conversations that used the part; only consecutive uses by the same one are
    /// recognized.
    conversations: u32,
    last_conversation: Option<Name>,
    at: Duration,
}

impl SharedParts {
    /// Records the parts of a prompt, except the last one, which is specific to the conversation.
    pub(super) fn note(&mut self, placement: &PlacementRequest, now: Duration) {
        let shared = placement.parts.len().saturating_sub(1);
        for part in &placement.parts[..shared] {
            let at = match self.parts.binary_search_by_key(&part.id, |p| p.id) {
                Ok(at) => at,
                Err(at) => {
                    self.make_room();
                    let at = at.min(self.parts.len());
                    let new =
                        PartUse { id: part.id, conversations: 0, last_conversation: None, at: now };
                    self.parts.insert(at, new);
                    self.parts.sort_unstable_by_key(|p| p.id);
                    self.parts.binary_search_by_key(&part.id, |p| p.id).unwrap_or(at)
                }
            };
            let part = &mut self.parts[at];
            part.at = now;
            if part.last_conversation != placement.conversation {
                part.last_conversation.clone_from(&placement.conversation);
                part.conversations = part.conversations.saturating_add(1);
            }
        }
    }

    /// Number of leading parts that are shared.
    pub(super) fn leading(&self, parts: &[PromptPart]) -> usize {
        let is_shared = |part: &&PromptPart| {
            let found = self.parts.binary_search_by_key(&part.id, |p| p.id);
            found.is_ok_and(|at| self.parts[at].conversations >= MIN_SHARING_CONVERSATIONS)
        };
        parts.iter().take_while(is_shared).count()
    }

    fn make_room(&mut self) {
        if self.parts.len() >= MAX_SHARED_PARTS
            && let Some(oldest) = (0..self.parts.len()).min_by_key(|at| self.parts[*at].at)
        {
            self.parts.remove(oldest);
        }
    }
}
