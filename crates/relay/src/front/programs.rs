//! Begins and ends turns at the stores.
//!
//! A turn whose tokens are counted begins with a reservation that the stores have committed. A turn
//! that continues a kept one gets its history from the front's own memory, or from the stores. A kept
//! turn waits for its commit, because its caller may continue from it at once; what other turns have
//! used is settled in the background.

mod histories;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use anyhow::Result;
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use poplarspan_agreement::Clock;
use poplarspan_node::{CallError, PeerClient};
use poplarspan_policy::Name;
use poplarspan_proto::peer::{self, FailureCode, TurnVerdict, request, response};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout_at},
};

use super::refusal::Refusal;
use crate::fleet::Fleet;
use histories::Histories;

/// Longest wait for an answer of one store before another is asked.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
const RETRY: Duration = Duration::from_millis(40);
/// A store that has too many calls is left alone for this long.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(150);
/// Reservations that may wait to be settled; more stay reserved.
const MAX_UNSETTLED: usize = 4_096;
/// Time in which ends are collected into one call.
const BATCH_TIME: Duration = Duration::from_millis(50);
const MAX_BATCH: usize = 256;
const COME_BACK: Duration = Duration::from_millis(300);
/// A turn, as the stores know it.
#[derive(Clone, Debug)]
pub(crate) struct TurnName {
    pub(crate) team: Name,
    pub(crate) program: Name,
    pub(crate) turn: Name,
}

/// What a turn needs before it may run.
pub(crate) struct TurnNeeds<'a> {
    /// Most tokens that it may generate.
    pub(crate) most: u64,
    /// Tokens that all turns of the program may generate; none for no limit.
    pub(crate) budget: Option<u64>,
    /// Kept turn that it continues.
    pub(crate) previous: Option<&'a Name>,
    /// When its caller gives up.
    pub(crate) deadline: Instant,
}

/// Access to the stores.
pub(crate) struct Programs {
    fleet: Arc<Fleet>,
    client: PeerClient,
    clock: Arc<dyn Clock>,
    /// The store that answered last as the leader.
    leader: Mutex<Option<SocketAddr>>,
    histories: Mutex<Histories>,
    ends: mpsc::Sender<peer::TurnEnd>,
}

/// Settles what programs have used, in the background.
pub(crate) struct Settler {
    programs: Arc<Programs>,
    rx: mpsc::Receiver<peer::TurnEnd>,
}

/// A turn that has begun. Dropping it settles what it has used.
pub(crate) struct OpenTurn {
    name: TurnName,
    programs: Arc<Programs>,
    /// Whether tokens are reserved that are not settled.
    is_reserved: bool,
    /// Tokens handed to the caller.
    pub(crate) used: u64,
}

impl Programs {
    pub(crate) fn new(
        fleet: Arc<Fleet>,
        client: PeerClient,
        clock: Arc<dyn Clock>,
    ) -> (Arc<Self>, Settler) {
        let (ends, rx) = mpsc::channel(MAX_UNSETTLED);
        let programs = Arc::new(Self {
            fleet,
            client,
            clock,
            leader: Mutex::default(),
            histories: Mutex::default(),
            ends,
        });
        (programs.clone(), Settler { programs, rx })
    }

    /// Begins a turn; returns the inputs and outputs of the turns before it.
    pub(crate) async fn begin(
        self: &Arc<Self>,
        name: &TurnName,
        needs: TurnNeeds<'_>,
    ) -> Result<(OpenTurn, Bytes), Refusal> {
        // Made first, so that a caller who leaves while the reservation is under way has it settled.
        let mut open = OpenTurn {
            name: name.clone(),
            programs: self.clone(),
            is_reserved: needs.budget.is_some(),
            used: 0,
        };
        let known = needs.previous.and_then(|p| self.histories().get(&name.team, p));
        let unread = needs.previous.filter(|_| known.is_none());
        if needs.budget.is_none() && unread.is_none() {
            return Ok((open, known.unwrap_or_default()));
        }
        let begin = peer::TurnBegin {
            team: name.team.to_string(),
            program: name.program.to_string(),
            name: name.turn.to_string(),
            most: needs.most,
            budget: needs.budget,
            previous: unread.map(|p| p.to_string()),
            least: needs.most,
        };
        let body = || request::Body::TurnBegin(begin.clone());
        let Some(response::Body::TurnBegun(begun)) = self.call(body, needs.deadline).await else {
            let message = "the stores do not answer";
            return Err(Refusal::not_now("stores_away", message, COME_BACK));
        };
        match begun.verdict() {
            TurnVerdict::Granted => Ok((open, known.unwrap_or(begun.history))),
            TurnVerdict::Spent => {
                open.is_reserved = false;
                let message = format!("{} tokens of the budget are left", begun.remaining);
                Err(Refusal::new(StatusCode::PAYMENT_REQUIRED, "budget_spent", message))
            }
            TurnVerdict::UnknownTurn => {
                open.is_reserved = false;
                let message = "the team has no such turn";
                Err(Refusal::new(StatusCode::NOT_FOUND, "unknown_turn", message))
            }
            TurnVerdict::Unspecified => {
                Err(Refusal::not_now("stores_away", "the stores gave no verdict", COME_BACK))
            }
        }
    }

    fn histories(&self) -> MutexGuard<'_, Histories> {
        self.histories.lock().expect("no panic while locked")
    }

    fn settle(&self, end: peer::TurnEnd) {
        if let Err(e) = self.ends.try_send(end) {
            let program = e.into_inner().program;
            log::warn!(program = program.as_str(); "too much waits to be settled; tokens stay reserved");
            metrics::counter!("poplarspan_relay_unsettled_total").increment(1);
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
                    turn += usize::from(self.note_failure(address, &failure));
                    let is_busy = failure.code() == FailureCode::Unavailable;
                    sleep(if is_busy { OVERLOAD_PAUSE } else { RETRY }).await;
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

    /// Takes note of a store that cannot carry out a call. Returns whether another one is next.
    fn note_failure(&self, address: SocketAddr, failure: &peer::Failure) -> bool {
        if failure.code() == FailureCode::Unavailable {
            return false;
        }
        let hint = failure.leader_address.parse().ok().filter(|hint| *hint != address);
        *self.leader.lock().expect("no panic while locked") = hint;
        hint.is_none()
    }

    fn candidate(&self, turn: usize) -> Option<SocketAddr> {
        let leader = *self.leader.lock().expect("no panic while locked");
        let stores = &self.fleet.view().stores;
        leader.or_else(|| stores.get(turn % stores.len().max(1)).copied())
    }
}

/// A turn that is to be kept.
pub(crate) struct KeptTurn {
    pub(crate) previous: Option<Name>,
    /// Inputs and outputs of the turns before.
    pub(crate) history: Bytes,
    pub(crate) input: Bytes,
    pub(crate) output: Bytes,
    pub(crate) retain: Duration,
}

impl OpenTurn {
    fn end(&self) -> peer::TurnEnd {
        peer::TurnEnd {
            team: self.name.team.to_string(),
            program: self.name.program.to_string(),
            name: if self.is_reserved { self.name.turn.to_string() } else { String::new() },
            used: self.used,
            kept: None,
        }
    }

    /// Keeps the turn; returns once it is durable.
    ///
    /// Fails when the stores do not answer in time; the turn may be kept all the same.
    pub(crate) async fn keep(&mut self, kept: KeptTurn, deadline: Instant) -> Result<(), Refusal> {
        let name = self.name.clone();
        let mut end = self.end();
        end.kept = Some(peer::KeptTurn {
            turn: name.turn.to_string(),
            previous: kept.previous.map(|p| p.to_string()),
            input: kept.input.clone(),
            output: kept.output.clone(),
            retain_ms: kept.retain.as_millis() as u64,
        });
        let body = || request::Body::TurnEnds(peer::TurnEnds { ends: vec![end.clone()] });
        match self.programs.call(body, deadline).await {
            Some(response::Body::TurnsEnded(_)) => {
                let len = kept.history.len() + kept.input.len() + kept.output.len();
                let mut whole = BytesMut::with_capacity(len);
                for part in [&kept.history, &kept.input, &kept.output] {
                    whole.extend_from_slice(part);
                }
                self.is_reserved = false;
                let now = self.programs.clock.now();
                self.programs.histories().put(&name.team, &name.turn, whole.freeze(), now);
                Ok(())
            }
            _ => {
                let message = "the turn could not be kept in time";
                Err(Refusal::new(StatusCode::BAD_GATEWAY, "not_kept", message))
            }
        }
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if self.is_reserved {
            self.programs.settle(self.end());
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
