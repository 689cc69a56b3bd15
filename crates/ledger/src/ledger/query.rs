//! Read-only queries. A team sees only its own programs; those of others are not found.

use bytes::Bytes;
use poplarspan_proto::ledger::{
    CallStatus, Claimable, HistoryPage, HistoryRecord, Invalid, LedgerQuery, LedgerQueryAnswer,
    NotFound, Orders, OutcomeUnknown, ProgramStatus, ReleaseOrder, call_status,
    ledger_query::Query, ledger_query_answer::Answer,
};
use prost::Message;

use super::{
    Ledger,
    call::{Call, State},
};
use crate::names::TeamKey;

impl Ledger {
    /// Answers an encoded [`LedgerQuery`] with an encoded [`LedgerQueryAnswer`].
    ///
    /// The answer reflects the entries applied so far. For a linearizable read, the caller must
    /// first make sure that this replica is up to date.
    pub fn query(&self, data: &[u8]) -> Bytes {
        let answer = match LedgerQuery::decode(data).map(|query| query.query) {
            Ok(Some(query)) => self.answer_query(query),
            _ => Answer::Invalid(Invalid { message: "query is missing or unknown".into() }),
        };
        LedgerQueryAnswer { answer: Some(answer) }.encode_to_vec().into()
    }

    fn answer_query(&self, query: Query) -> Answer {
        let not_found = Answer::NotFound(NotFound {});
        match query {
            Query::History(q) => {
                let page = self.history(&q.team, &q.program, q.from_turn, q.max_bytes);
                page.map_or(not_found, Answer::History)
            }
            Query::Status(q) => self.status(&q.team, &q.program).map_or(not_found, Answer::Status),
            Query::Orders(q) => {
                let orders = self.orders(q.after).take(q.max as usize).cloned().collect();
                Answer::Orders(Orders { orders })
            }
            Query::Call(q) => {
                let status = self.call_by_key(&q.team, q.program.as_deref(), &q.idempotency_key);
                status.map_or(not_found, Answer::Call)
            }
        }
    }

    /// Returns the turns of a program that have an outcome, starting at `from_turn`, or `None` if the
    /// program does not exist. Turns count from 1.
    ///
    /// A page holds up to `max_bytes` of calls, but at least one turn. `next_turn` of the page is 0
    /// if no turns follow.
    pub fn history(
        &self,
        team: &str,
        program: &str,
        from_turn: u32,
        max_bytes: u64,
    ) -> Option<HistoryPage> {
        let program = self.programs.get(&TeamKey::new(team, program))?;
        let first = from_turn.max(1);
        let closed = program.turns.iter().enumerate().filter(|(_, call)| !call.is_pending());
        let mut page = HistoryPage::default();
        let mut bytes = 0;
        for (n, call) in closed.skip(first as usize - 1) {
            let turn = n as u32 + 1;
            bytes += call.bytes();
            if bytes > max_bytes && !page.records.is_empty() {
                page.next_turn = turn;
                break;
            }
            page.records.push(record(turn, call));
        }
        Some(page)
    }

    /// Returns the next turn, token usage and state of a program, or `None` if it does not exist.
    pub fn status(&self, team: &str, program: &str) -> Option<ProgramStatus> {
        let program = self.programs.get(&TeamKey::new(team, program))?;
        let open = program.pending().and_then(Call::open);
        Some(ProgramStatus {
            next_turn: program.expected(),
            running: open.map(|open| open.claimant.clone()),
            budget_tokens: program.limits.tokens,
            spent_tokens: program.spent,
            reserved_tokens: program.reserved,
            overrun_tokens: program.overrun,
            turns_used: program.turns_used,
            created_ms: program.created_ms,
            ended: program.ended.map(|end| end.cause.into()),
            endpoints: program.endpoints.iter().map(|e| e.to_string()).collect(),
        })
    }

    /// Unacknowledged release orders with a number greater than `after`, in ascending order.
    pub fn orders(&self, after: u64) -> impl Iterator<Item = &ReleaseOrder> {
        self.orders.range(after.saturating_add(1)..).map(|(_, order)| order)
    }

    /// Returns the state of the call with this idempotency key: a turn of `program`, or without
    /// `program` a call of the team that belongs to no program. `None` if there is no such call.
    pub fn call_by_key(
        &self,
        team: &str,
        program: Option<&str>,
        idempotency_key: &str,
    ) -> Option<CallStatus> {
        let (turn, call) = match program {
            Some(program) => {
                let program = self.programs.get(&TeamKey::new(team, program))?;
                let turn = *program.keys.get(idempotency_key)?;
                (turn, program.turns.get(turn as usize - 1)?)
            }
            None => (0, self.calls.get(&TeamKey::new(team, idempotency_key))?),
        };
        let state = match &call.state {
            State::Open(open) => call_status::State::Running(open.claimant.clone()),
            State::Claimable => call_status::State::Claimable(Claimable {}),
            State::Answered(answer) => call_status::State::Answered(answer.clone()),
            State::Unknown => call_status::State::OutcomeUnknown(OutcomeUnknown { turn }),
        };
        Some(CallStatus { turn, claim: call.claim, state: Some(state) })
    }

    /// Bytes accounted for a team: its programs, calls and answers, and the bytes that its open
    /// calls have reserved for their answers.
    pub fn stored_bytes(&self, team: &str) -> u64 {
        self.used_bytes(team)
    }

    /// Number of programs, including ended ones that are still kept.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// Number of open calls, with and without a program.
    pub fn open_call_count(&self) -> usize {
        self.open.len()
    }
}

fn record(turn: u32, call: &Call) -> HistoryRecord {
    let answer = match &call.state {
        State::Answered(answer) => Some(answer.clone()),
        _ => None,
    };
    HistoryRecord { turn, request: call.request.clone(), answer, closed_ms: call.closed_ms }
}
