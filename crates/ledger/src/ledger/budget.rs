//! Budgets and turn limits. A call is charged to its program and to every ancestor, so that a
//! program together with its descendants stays within its budget.

use super::{Ledger, program::Program};
use crate::names::TeamKey;

/// Final accounting of a call, in tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct Settlement {
    /// Tokens that the call had reserved.
    pub(super) reserved: u64,
    /// Tokens that the call has cost.
    pub(super) cost: u64,
    /// Whether the call counts towards the turn limit. A call that did not run does not.
    pub(super) uses_turn: bool,
}

impl Program {
    /// Tokens that are neither spent nor reserved.
    pub(super) fn remaining(&self) -> u64 {
        self.limits.tokens.saturating_sub(self.spent).saturating_sub(self.reserved)
    }

    fn charge(&mut self, tokens: u64, now_ms: u64) {
        self.reserved = self.reserved.saturating_add(tokens);
        self.turns_used = self.turns_used.saturating_add(1);
        self.open += 1;
        self.touched_ms = now_ms;
    }

    /// Replaces a reservation with the actual cost. A cost above the reservation is charged only up
    /// to what the other reservations leave of the budget; the rest is counted as overrun.
    fn settle(&mut self, settlement: Settlement, now_ms: u64) {
        self.reserved = self.reserved.saturating_sub(settlement.reserved);
        self.open = self.open.saturating_sub(1);
        self.turns_used = self.turns_used.saturating_sub(u32::from(!settlement.uses_turn));
        self.touched_ms = now_ms;
        let spent = settlement.cost.min(self.remaining());
        self.spent += spent;
        self.overrun = self.overrun.saturating_add(settlement.cost - spent);
    }
}

impl Ledger {
    pub(super) fn charge(&mut self, key: &TeamKey, tokens: u64) {
        let now_ms = self.now_ms;
        for level in key.ancestors_and_self() {
            if let Some(program) = self.programs.get_mut(&level) {
                program.charge(tokens, now_ms);
            }
            self.check_program_invariants(&level);
        }
    }

    pub(super) fn settle(&mut self, key: &TeamKey, settlement: Settlement) {
        let now_ms = self.now_ms;
        if settlement.cost > settlement.reserved {
            self.overruns = self.overruns.saturating_add(1);
            let Settlement { reserved, cost, .. } = settlement;
            log::error!(
                "call of program {}/{} cost {cost} tokens, but reserved only {reserved}",
                key.team,
                key.name
            );
        }
        for level in key.ancestors_and_self() {
            if let Some(program) = self.programs.get_mut(&level) {
                program.settle(settlement, now_ms);
            }
            self.check_program_invariants(&level);
        }
    }

    /// Decrements the used turns when an abandoned call is replaced, since the new call counts again.
    pub(super) fn refund_turn(&mut self, key: &TeamKey) {
        for level in key.ancestors_and_self() {
            if let Some(program) = self.programs.get_mut(&level) {
                program.turns_used = program.turns_used.saturating_sub(1);
            }
        }
    }

    fn check_program_invariants(&mut self, key: &TeamKey) {
        let Some(program) = self.programs.get(key) else { return };
        let within_budget = program.spent.checked_add(program.reserved);
        let within_budget = within_budget.is_some_and(|sum| sum <= program.limits.tokens);
        let closed = &program.turns[..program.turns.len().saturating_sub(1)];
        let only_last_pending = closed.last().is_none_or(|call| !call.is_pending());
        self.check_invariant(
            within_budget,
            "spent and reserved tokens do not exceed the budget",
            key,
        );
        self.check_invariant(only_last_pending, "only the last turn is pending", key);
    }
}
