//! Begins and ends turns at the stores.
//!
//! A turn whose tokens are counted, or whose history is kept, begins with a reservation that the
//! stores have committed. What it has used is settled afterwards, in batches; only a kept turn waits
//! for the commit, because its caller may continue from it at once.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::Result;
use bytes::Bytes;
use http::StatusCode;
use poplarspan_node::{CallError, PeerClient};
use poplarspan_policy::Name;
use poplarspan_proto::peer::{self, FailureCode, TurnVerdict, request, response};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout_at},
};

use super::refusal::Refusal;
use crate::fleet::Fleet;

/// Longest wait for an answer of one store before another is asked.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
const RETRY: Duration = Duration::from_millis(40);
/// Turns that may wait to be settled; more keep their reservation.
const MAX_UNSETTLED: usize = 4_096;
/// Time in which ends are collected into one call.
const BATCH_TIME: Duration = Duration::from_millis(25);
const MAX_BATCH: usize = 256;
const COME_BACK: Duration = Duration::from_millis(300);

/// A turn, as the stores know it.
#[derive(Clone, Debug)]
pub(crate) struct TurnName {
    pub(crate) team: Name,
    pub(crate) program: Name,
    pub(crate) turn: Name,
}

/// Access to the stores.
pub(crate) struct Programs {
    fleet: Arc<Fleet>,
    client: PeerClient,
    /// The store that answered last as the leader.
    leader: Mutex<Option<SocketAddr>>,
    ends: mpsc::Sender<peer::TurnEnd>,
}

/// Settles ended turns in the background.
pub(crate) struct Settler {
    programs: Arc<Programs>,
    rx: mpsc::Receiver<peer::TurnEnd>,
}

/// A turn that has begun. Dropping it settles what it has used.
pub(crate) struct OpenTurn {
    name: TurnName,
    programs: Arc<Programs>,
    /// Tokens handed to the caller.
    pub(crate) used: u64,
    is_settled: bool,
}

impl Programs {
    pub(crate) fn new(fleet: Arc<Fleet>, client: PeerClient) -> (Arc<Self>, Settler) {
        let (ends, rx) = mpsc::channel(MAX_UNSETTLED);
        let programs = Arc::new(Self { fleet, client, leader: Mutex::default(), ends });
        (programs.clone(), Settler { programs, rx })
    }

    /// Begins a turn; returns the inputs and outputs of the turns before it.
    pub(crate) async fn begin(
        self: &Arc<Self>,
        name: &TurnName,
        most: u64,
        budget: Option<u64>,
        previous: Option<&Name>,
        deadline: Instant,
    ) -> Result<(OpenTurn, Bytes), Refusal> {
        // Made first, so that a caller who leaves while the reservation is under way has it settled.
        let open = OpenTurn {
            name: name.clone(),
            programs: self.clone(),
            used: 0,
            is_settled: budget.is_none(),
        };
        let begin = peer::TurnBegin {
            team: name.team.to_string(),
            program: name.program.to_string(),
            turn: name.turn.to_string(),
            most,
            budget,
            previous: previous.map(|p| p.to_string()),
        };
        let body = || request::Body::TurnBegin(begin.clone());
        let Some(response::Body::TurnBegun(begun)) = self.call(body, deadline).await else {
            let message = "the stores do not answer";
            return Err(Refusal::not_now("stores_away", message, COME_BACK));
        };
        match begun.verdict() {
            TurnVerdict::Granted => Ok((open, begun.history)),
            TurnVerdict::Spent => {
                let message = format!("{} tokens of the budget are left", begun.remaining);
                Err(Refusal::new(StatusCode::PAYMENT_REQUIRED, "budget_spent", message))
            }
            TurnVerdict::UnknownTurn => {
                let message = "the team has no such turn";
                Err(Refusal::new(StatusCode::NOT_FOUND, "unknown_turn", message))
            }
            TurnVerdict::Unspecified => {
                Err(Refusal::not_now("stores_away", "the stores gave no verdict", COME_BACK))
            }
        }
    }

    /// Calls the leader of the stores, whichever it is, until `deadline`.
    async fn call(
        &self,
        body: impl Fn() -> request::Body,
        deadline: Instant,
    ) -> Option<response::Body> {
        let mut turn = 0;
        while Instant::now() < deadline {
            let Some(address) = self.candidate(turn) else {
                sleep(RETRY).await;
                continue;
            };
            let call = self.client.call(address, body(), CALL_TIMEOUT);
            match timeout_at(deadline, call).await {
                Ok(Ok(answer)) => {
                    *self.leader.lock().expect("no panic while locked") = Some(address);
                    return Some(answer);
                }
                Ok(Err(CallError::Failed(failure))) => {
                    let hint = failure.leader_address.parse().ok().filter(|h| *h != address);
                    *self.leader.lock().expect("no panic while locked") = hint;
                    if failure.code() != FailureCode::NotLeader || hint.is_none() {
                        turn += 1;
                        sleep(RETRY).await;
                    }
                }
                Ok(Err(_)) => {
                    *self.leader.lock().expect("no panic while locked") = None;
                    turn += 1;
                    sleep(RETRY).await;
                }
                Err(_) => break,
            }
        }
        metrics::counter!("poplarspan_relay_store_timeouts_total").increment(1);
        None
    }

    fn candidate(&self, turn: usize) -> Option<SocketAddr> {
        let leader = *self.leader.lock().expect("no panic while locked");
        let stores = &self.fleet.view().stores;
        leader.or_else(|| stores.get(turn % stores.len().max(1)).copied())
    }
}

impl OpenTurn {
    /// Ends a kept turn; returns once it is durable.
    ///
    /// Fails when the stores do not answer in time; the turn may be kept all the same.
    pub(crate) async fn keep(
        &mut self,
        kept: peer::KeptTurn,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let mut end = self.end();
        end.kept = Some(kept);
        let body = || request::Body::TurnEnds(peer::TurnEnds { ends: vec![end.clone()] });
        match self.programs.call(body, deadline).await {
            Some(response::Body::TurnsEnded(_)) => {
                self.is_settled = true;
                Ok(())
            }
            _ => {
                let message = "the turn could not be kept in time";
                Err(Refusal::new(StatusCode::BAD_GATEWAY, "not_kept", message))
            }
        }
    }

    fn end(&self) -> peer::TurnEnd {
        peer::TurnEnd {
            team: self.name.team.to_string(),
            program: self.name.program.to_string(),
            turn: self.name.turn.to_string(),
            used: self.used,
            kept: None,
        }
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if !self.is_settled && self.programs.ends.try_send(self.end()).is_err() {
            let (turn, program) = (&*self.name.turn, &*self.name.program);
            log::warn!(turn, program; "too many turns wait to be settled; a reservation stays");
            metrics::counter!("poplarspan_relay_unsettled_turns_total").increment(1);
        }
    }
}

impl Settler {
    /// Settles until the task is ended.
    pub(crate) async fn run(mut self) -> Result<()> {
        let mut ends = Vec::new();
        loop {
            if self.rx.recv_many(&mut ends, MAX_BATCH).await == 0 {
                return Ok(());
            }
            sleep(BATCH_TIME).await;
            while ends.len() < MAX_BATCH
                && let Ok(end) = self.rx.try_recv()
            {
                ends.push(end);
            }
            let body = || request::Body::TurnEnds(peer::TurnEnds { ends: ends.clone() });
            // Repeated until it is committed: what is not settled counts against the program.
            while self.programs.call(body, Instant::now() + 4 * CALL_TIMEOUT).await.is_none() {}
            ends.clear();
        }
    }
}
