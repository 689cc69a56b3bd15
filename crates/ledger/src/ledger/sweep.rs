//! What ends calls and programs without their claimant: lost instances, deadlines, finished and
//! expired programs, and the end of the resend window.

use std::{collections::BTreeSet, sync::Arc};

use poplarspan_proto::ledger::{
    CallKind, Claimant, EndCause, Finish, Finished, InstanceGone, NotFound, Swept, Unknown,
    end::Outcome, ledger_answer::Answer,
};

use super::{Ledger, Place, program::End};
use crate::names::Key;

/// How long a gone incarnation is remembered; no command of it is under way for so long.
const KEPT_GONE_MS: u64 = 24 * super::HOUR_MS;

/// The latest known incarnation of an instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct InstanceMark {
    pub(super) incarnation: u64,
    pub(super) gone: bool,
    pub(super) at_ms: u64,
}

impl Ledger {
    /// Whether the claimant was declared gone or has started again since. A claimant that is newer
    /// than the known one shows that the known one is gone.
    pub(super) fn is_fenced(&mut self, claimant: &Claimant) -> bool {
        let incarnation = claimant.incarnation;
        let known = self.instances.get(claimant.instance.as_str()).copied();
        if let Some(mark) = known {
            if incarnation < mark.incarnation || (incarnation == mark.incarnation && mark.gone) {
                return true;
            }
            if incarnation == mark.incarnation {
                return false;
            }
            self.lose_claims(|open| {
                *open.instance == *claimant.instance && open.incarnation < incarnation
            });
        }
        let mark = InstanceMark { incarnation, gone: false, at_ms: self.now_ms };
        self.instances.insert(claimant.instance.as_str().into(), mark);
        false
    }

    pub(super) fn instance_gone(&mut self, gone: &InstanceGone) -> Swept {
        let name: Arc<str> = gone.instance.as_str().into();
        let known = self.instances.get(&name).map_or(0, |mark| mark.incarnation);
        if gone.incarnation >= known {
            let mark =
                InstanceMark { incarnation: gone.incarnation, gone: true, at_ms: self.now_ms };
            self.instances.insert(name.clone(), mark);
        }
        self.lose_claims(|open| open.instance == name && open.incarnation <= gone.incarnation)
    }

    /// Ends the open calls that match as abandoned.
    fn lose_claims(&mut self, is_lost: impl Fn(&super::OpenClaim) -> bool) -> Swept {
        let lost = self.open.values().filter(|open| is_lost(open)).map(|open| open.place.clone());
        let mut swept = Swept::default();
        for place in lost.collect::<Vec<_>>() {
            let turn = match &place {
                Place::Turn(key) => self.programs.get(key).map_or(0, |p| p.turns.len() as u32),
                Place::Keyed(_) => 0,
            };
            match self.call(&place, turn).map(|call| call.kind) {
                Some(CallKind::Idempotent) => swept.calls_claimable += 1,
                _ => swept.calls_unknown += 1,
            }
            self.close(&place, turn, Outcome::Unknown(Unknown { cost_tokens: None }));
        }
        swept
    }

    pub(super) fn finish(&mut self, finish: &Finish) -> Answer {
        let key = Key::new(&finish.team, &finish.program);
        if !self.programs.contains_key(&key) {
            return Answer::NotFound(NotFound {});
        }
        self.end_program(&key, EndCause::Finished);
        Answer::Finished(Finished {})
    }

    /// Ends a program and its descendants, and returns how many were ended.
    fn end_program(&mut self, key: &Key, cause: EndCause) -> u64 {
        let keep_until_ms = self.now_ms.saturating_add(self.settings.resend_window_ms);
        let family = [key.clone()].into_iter().chain(self.descendants(key)).collect::<Vec<_>>();
        let mut count = 0;
        for key in family {
            let Some(program) = self.programs.get_mut(&key) else { continue };
            if program.ended.is_none() {
                program.ended = Some(End { cause, keep_until_ms });
                self.due.insert((keep_until_ms, key.clone()));
                self.order_release(&key);
                count += 1;
            }
        }
        count
    }

    fn descendants(&self, key: &Key) -> Vec<Key> {
        let first = key.first_descendant();
        let prefix = first.name.clone();
        let from = self.programs.range(first..).map(|(key, _)| key);
        from.take_while(|k| k.team == key.team && k.name.starts_with(&*prefix)).cloned().collect()
    }

    /// Ends the programs of a lineage that are past their limits.
    pub(super) fn end_overdue(&mut self, lineage: &[Key]) -> u64 {
        let mut count = 0;
        for key in lineage {
            let program = self.programs.get(key).filter(|program| program.ended.is_none());
            if let Some(cause) = program.and_then(|program| program.overdue(self.now_ms)) {
                count += self.end_program(key, cause);
            }
        }
        count
    }

    pub(super) fn expire(&mut self) -> Swept {
        let now_ms = self.now_ms;
        let mut swept = self.lose_claims(|open| open.deadline_ms <= now_ms);
        // Sorted by key, because the order in the index differs between replicas.
        let mut due = BTreeSet::new();
        while let Some((at_ms, key)) = self.due.pop_first() {
            if at_ms > now_ms {
                self.due.insert((at_ms, key));
                break;
            }
            due.insert(key);
        }
        let was_ended = |key: &Key| self.programs.get(key).is_some_and(|p| p.ended.is_some());
        let (ended, live): (Vec<_>, Vec<_>) = due.into_iter().partition(was_ended);
        for key in live {
            swept.programs_ended += self.end_overdue(std::slice::from_ref(&key));
            self.requeue(key);
        }
        // Children come after their parents in the order of keys, and are dropped before them.
        for key in ended.into_iter().rev() {
            swept.programs_dropped += u64::from(self.drop_program(&key));
            self.requeue(key);
        }
        swept.calls_dropped = self.drop_calls();
        self.instances
            .retain(|_, mark| !mark.gone || now_ms.saturating_sub(mark.at_ms) < KEPT_GONE_MS);
        swept
    }

    fn requeue(&mut self, key: Key) {
        if let Some(program) = self.programs.get(&key) {
            self.due.insert((program.due_ms(self.now_ms), key));
        }
    }

    /// Drops an ended program whose resend window is over. A program with an open call, or with a
    /// descendant that is still kept, stays.
    fn drop_program(&mut self, key: &Key) -> bool {
        let Some(program) = self.programs.get(key) else { return false };
        let is_over = program.ended.is_some_and(|end| end.keep_until_ms <= self.now_ms);
        if !is_over || program.open > 0 || !self.descendants(key).is_empty() {
            return false;
        }
        let bytes = program.bytes();
        self.programs.remove(key);
        self.remove_bytes(&key.team, bytes);
        true
    }

    fn drop_calls(&mut self) -> u64 {
        let mut count = 0;
        while let Some((at_ms, key)) = self.calls_due.pop_first() {
            if at_ms > self.now_ms {
                self.calls_due.insert((at_ms, key));
                break;
            }
            if let Some(call) = self.calls.remove(&key) {
                self.remove_bytes(&key.team, call.bytes());
                count += 1;
            }
        }
        count
    }
}
