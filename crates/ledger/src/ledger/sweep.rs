//! Ends calls and programs without a request of their claimant: after the loss of an instance, at
//! deadlines, when programs finish or expire, and at the end of the resend window.

use std::{collections::BTreeSet, sync::Arc};

use poplarspan_proto::ledger::{
    CallKind, Claimant, EndCause, Finish, Finished, InstanceGone, NotFound, Swept, Unknown,
    end::Outcome, ledger_answer::Answer,
};

use super::{CallLocation, Ledger, program::End};
use crate::names::TeamKey;

/// How long a gone incarnation is remembered. No command from it can still be in flight after that
/// time.
const GONE_RETENTION_MS: u64 = 24 * super::HOUR_MS;

/// The latest known incarnation of an instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownIncarnation {
    pub(super) incarnation: u64,
    pub(super) gone: bool,
    pub(super) at_ms: u64,
}

impl Ledger {
    /// Whether the claimant was declared gone or its instance has restarted since. A newer incarnation
    /// than the known one implies that the known one is gone, so its claims are abandoned.
    pub(super) fn is_fenced(&mut self, claimant: &Claimant) -> bool {
        let incarnation = claimant.incarnation;
        let known = self.instances.get(claimant.instance.as_str()).copied();
        if let Some(known) = known {
            if incarnation < known.incarnation || (incarnation == known.incarnation && known.gone) {
                return true;
            }
            if incarnation == known.incarnation {
                return false;
            }
            self.abandon_claims(|open| {
                *open.instance == *claimant.instance && open.incarnation < incarnation
            });
        }
        let latest = KnownIncarnation { incarnation, gone: false, at_ms: self.now_ms };
        self.instances.insert(claimant.instance.as_str().into(), latest);
        false
    }

    pub(super) fn instance_gone(&mut self, gone: &InstanceGone) -> Swept {
        let name: Arc<str> = gone.instance.as_str().into();
        let known = self.instances.get(&name).map_or(0, |known| known.incarnation);
        if gone.incarnation >= known {
            let latest =
                KnownIncarnation { incarnation: gone.incarnation, gone: true, at_ms: self.now_ms };
            self.instances.insert(name.clone(), latest);
        }
        self.abandon_claims(|open| open.instance == name && open.incarnation <= gone.incarnation)
    }

    /// Closes the open calls that match as abandoned, and counts them by their new state.
    fn abandon_claims(&mut self, is_abandoned: impl Fn(&super::OpenClaim) -> bool) -> Swept {
        let abandoned =
            self.open.values().filter(|open| is_abandoned(open)).map(|open| open.location.clone());
        let mut counts = Swept::default();
        for location in abandoned.collect::<Vec<_>>() {
            let turn = match &location {
                CallLocation::Turn(key) => {
                    self.programs.get(key).map_or(0, |p| p.turns.len() as u32)
                }
                CallLocation::Keyed(_) => 0,
            };
            match self.call(&location, turn).map(|call| call.kind) {
                Some(CallKind::Idempotent) => counts.calls_claimable += 1,
                _ => counts.calls_unknown += 1,
            }
            self.close(&location, turn, Outcome::Unknown(Unknown { cost_tokens: None }));
        }
        counts
    }

    pub(super) fn finish(&mut self, finish: &Finish) -> Answer {
        let key = TeamKey::new(&finish.team, &finish.program);
        if !self.programs.contains_key(&key) {
            return Answer::NotFound(NotFound {});
        }
        self.end_program(&key, EndCause::Finished);
        Answer::Finished(Finished {})
    }

    /// Ends a program and its descendants. Returns how many were not ended before.
    fn end_program(&mut self, key: &TeamKey, cause: EndCause) -> u64 {
        let keep_until_ms = self.now_ms.saturating_add(self.settings.resend_window_ms);
        let subtree = [key.clone()].into_iter().chain(self.descendants(key)).collect::<Vec<_>>();
        let mut count = 0;
        for key in subtree {
            let Some(program) = self.programs.get_mut(&key) else { continue };
            if program.ended.is_none() {
                program.ended = Some(End { cause, keep_until_ms });
                self.programs_due.insert((keep_until_ms, key.clone()));
                self.order_program_release(&key);
                count += 1;
            }
        }
        count
    }

    fn descendants(&self, key: &TeamKey) -> Vec<TeamKey> {
        let first = key.first_descendant();
        let prefix = first.name.clone();
        let from = self.programs.range(first..).map(|(key, _)| key);
        from.take_while(|k| k.team == key.team && k.name.starts_with(&*prefix)).cloned().collect()
    }

    /// Ends the programs on a path that have exceeded their lifetime or idle limit. Returns how many
    /// programs were ended.
    pub(super) fn end_expired(&mut self, path: &[TeamKey]) -> u64 {
        let mut count = 0;
        for key in path {
            let program = self.programs.get(key).filter(|program| program.ended.is_none());
            if let Some(cause) = program.and_then(|program| program.expiry_cause(self.now_ms)) {
                count += self.end_program(key, cause);
            }
        }
        count
    }

    /// Abandons calls past their deadline, ends programs past their limits, and drops programs, calls
    /// and gone instances whose retention time is over.
    pub(super) fn expire(&mut self) -> Swept {
        let now_ms = self.now_ms;
        let mut counts = self.abandon_claims(|open| open.deadline_ms <= now_ms);
        // Process in the order of keys, because the order in the index differs between replicas.
        let mut due = BTreeSet::new();
        while let Some((at_ms, key)) = self.programs_due.pop_first() {
            if at_ms > now_ms {
                self.programs_due.insert((at_ms, key));
                break;
            }
            due.insert(key);
        }
        let was_ended = |key: &TeamKey| self.programs.get(key).is_some_and(|p| p.ended.is_some());
        let (ended, live): (Vec<_>, Vec<_>) = due.into_iter().partition(was_ended);
        for key in live {
            counts.programs_ended += self.end_expired(std::slice::from_ref(&key));
            self.reschedule(key);
        }
        // Children sort after their parents. Go in reverse, because a program with descendants is
        // not dropped.
        for key in ended.into_iter().rev() {
            counts.programs_dropped += u64::from(self.drop_program(&key));
            self.reschedule(key);
        }
        counts.calls_dropped = self.drop_expired_calls();
        self.instances.retain(|_, known| {
            !known.gone || now_ms.saturating_sub(known.at_ms) < GONE_RETENTION_MS
        });
        counts
    }

    /// Schedules the next check of a program that still exists.
    fn reschedule(&mut self, key: TeamKey) {
        if let Some(program) = self.programs.get(&key) {
            self.programs_due.insert((program.due_ms(self.now_ms), key));
        }
    }

    /// Drops an ended program after its resend window, unless it has an open call or a descendant.
    /// Returns whether the program was dropped.
    fn drop_program(&mut self, key: &TeamKey) -> bool {
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

    fn drop_expired_calls(&mut self) -> u64 {
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
