//! Begins and ends turns of programs at the stores.
//!
//! Each program belongs to one store group, whose leader begins and ends its turns. A program may
//! continue a turn of another program, so a turn that is unknown to the program's own group is
//! looked up in all other groups before the call is refused.
//!
//! A turn with a token budget starts with a committed reservation. A turn that continues a kept one
//! gets the history from the front's cache or from the stores. A kept turn is committed before the
//! response ends, because the caller may continue it immediately. Reservations of other turns are
//! settled in the background.

mod batches;
pub(crate) mod history;
mod history_cache;
pub(crate) mod kept;
pub(crate) mod origins;
pub(crate) mod outputs;
mod room;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures::future::join_all;
use http::StatusCode;
use poplarspan_agreement::Clock;
use poplarspan_node::{CallError, PeerClient};
use poplarspan_policy::Name;
use poplarspan_proto::peer::{self, FailureCode, TurnVerdict, request, response};
use tokio::{
    sync::{Semaphore, mpsc},
    time::{Instant, sleep, timeout_at},
};

use super::refusal::Refusal;
use crate::{fleet_client::FleetClient, groups::group_of};
use batches::GroupBatches;
use history::{History, MAX_TRANSFERS, PART_BYTES};
use history_cache::HistoryCache;
use room::{RoomCache, no_room};

/// Timeout of a call to one store, after which another is asked.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Pause after a store has refused a call because of overload.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of queued settlements. The tokens of further ones stay reserved.
const MAX_UNSETTLED: usize = 4_096;
/// Time in which settlements are collected into a batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
const MAX_BATCH: usize = 256;
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Identifies a turn in the stores.
#[derive(Clone, Debug)]
pub(crate) struct TurnName {
    pub(crate) team: Name,
    pub(crate) program: Name,
    pub(crate) turn: Name,
}

/// Conditions under which a turn may begin.
pub(crate) struct TurnRequirements<'a> {
    /// Maximum number of tokens that the turn may generate.
    pub(crate) most: u64,
    /// Maximum number of tokens for all turns of the program; `None` for no limit.
    pub(crate) budget: Option<u64>,
    /// The kept turn that this one continues.
    pub(crate) previous: Option<&'a Name>,
    /// Whether the turn is to be kept when it ends.
    pub(crate) keeps: bool,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

/// Client of the stores.
pub(crate) struct Programs {
    fleet: Arc<FleetClient>,
    client: PeerClient,
    clock: Arc<dyn Clock>,
    /// For each group, the store that last answered as the leader.
    leaders: Mutex<Vec<Option<SocketAddr>>>,
    history_cache: Mutex<HistoryCache>,
    room: RoomCache,
    /// One permit for each long history or turn that may be moved.
    transfers: Arc<Semaphore>,
    /// Ends of turns for the groups of their programs.
    ends: mpsc::Sender<(u32, peer::TurnEnd)>,
}

/// Background task that settles reservations.
pub(crate) struct Settler {
    programs: Arc<Programs>,
    batches: GroupBatches<peer::TurnEnd>,
}

/// A turn that has begun. Dropping it settles its reservation.
pub(crate) struct OpenTurn {
    name: TurnName,
    programs: Arc<Programs>,
    /// Group of the program.
    group: u32,
    /// Whether there is an unsettled reservation.
    is_reserved: bool,
    /// Whether the turn that this one continues belongs to another group.
    continues_other_group: bool,
    /// Tokens passed on to the caller.
    pub(crate) used: u64,
}

impl Programs {
    pub(crate) fn new(
        fleet: Arc<FleetClient>,
        client: PeerClient,
        clock: Arc<dyn Clock>,
    ) -> (Arc<Self>, Settler) {
        let (ends, rx) = mpsc::channel(MAX_UNSETTLED);
        let programs = Arc::new(Self {
            fleet,
            client,
            clock,
            leaders: Mutex::default(),
            history_cache: Mutex::default(),
            room: RoomCache::default(),
            transfers: Arc::new(Semaphore::new(MAX_TRANSFERS)),
            ends,
        });
        let batches = GroupBatches::new(rx, MAX_UNSETTLED, BATCH_INTERVAL, MAX_BATCH);
        (programs.clone(), Settler { programs, batches })
    }

    /// Begins a turn and returns the inputs and outputs of the turns before it.
    pub(crate) async fn begin(
        self: &Arc<Self>,
        name: &TurnName,
        needs: TurnRequirements<'_>,
    ) -> Result<(OpenTurn, History), Refusal> {
        let groups = self.groups(needs.deadline).await?;
        // Created before the reservation is requested, so that the reservation is settled if the
        // caller disconnects meanwhile.
        let mut open = OpenTurn {
            name: name.clone(),
            programs: self.clone(),
            group: group_of(&name.team, &name.program, groups),
            is_reserved: needs.budget.is_some(),
            continues_other_group: false,
            used: 0,
        };
        let known =
            needs.previous.and_then(|p| self.history_cache().get(open.group, &name.team, p));
        let unread = needs.previous.filter(|_| known.is_none());
        let has_room = !needs.keeps || self.has_room(open.group).await;
        if !has_room && needs.previous.is_none() {
            open.is_reserved = false;
            return Err(no_room());
        }
        // Without room for new conversations, the store decides about each turn that continues one.
        let unread = if has_room { unread } else { needs.previous };
        if needs.budget.is_none() && unread.is_none() {
            return Ok((open, known.map(History::Held).unwrap_or_default()));
        }
        let mut begin = peer::TurnBegin {
            group: open.group,
            team: name.team.to_string(),
            program: name.program.to_string(),
            name: name.turn.to_string(),
            most: needs.most,
            budget: needs.budget,
            previous: unread.map(|p| p.to_string()),
            least: needs.most,
            keeps: needs.keeps,
            max_history: PART_BYTES as u32,
            hold_ms: millis_until(needs.deadline),
        };
        let mut begun = self.begin_at(&begin, needs.deadline).await?;
        let mut history_group = open.group;
        let is_unknown = begun.verdict() == TurnVerdict::UnknownTurn;
        if is_unknown && known.is_some() {
            begin.previous = None;
            begun = self.begin_at(&begin, needs.deadline).await?;
        } else if let Some(previous) = unread.filter(|_| is_unknown) {
            let (group, deadline) = (open.group, needs.deadline);
            let found =
                self.find_in_other_groups(group, groups, &name.team, previous, deadline).await?;
            let Some((group, found)) = found else {
                open.is_reserved = false;
                let message = "the team has no such turn";
                return Err(Refusal::new(StatusCode::NOT_FOUND, "unknown_turn", message));
            };
            open.continues_other_group = true;
            begin.previous = None;
            begun = self.begin_at(&begin, needs.deadline).await?;
            begun.history = found.history;
            (begun.history_len, begun.history_crc) = (found.history_len, found.history_crc);
            history_group = group;
        }
        match begun.verdict() {
            TurnVerdict::Granted => {
                let history = match (known, needs.previous) {
                    (Some(known), _) => History::Held(known),
                    (None, Some(previous)) => {
                        History::begun(self, history_group, &name.team, previous, begun)
                    }
                    (None, None) => History::default(),
                };
                Ok((open, history))
            }
            TurnVerdict::Spent => {
                open.is_reserved = false;
                let message = format!("{} tokens of the budget are left", begun.remaining);
                Err(Refusal::new(StatusCode::PAYMENT_REQUIRED, "budget_spent", message))
            }
            TurnVerdict::NoRoom => {
                open.is_reserved = false;
                Err(no_room())
            }
            TurnVerdict::UnknownTurn | TurnVerdict::Unspecified => {
                Err(stores_unavailable("the stores gave no verdict"))
            }
        }
    }

    /// Number of groups. Waits while a new fleet forms them.
    async fn groups(&self, deadline: Instant) -> Result<u32, Refusal> {
        let mut changes = self.fleet.subscribe();
        loop {
            let groups = self.fleet.view().group_leaders.len() as u32;
            if groups > 0 {
                return Ok(groups);
            }
            // The channel is only closed at the end of the process.
            if !matches!(timeout_at(deadline, changes.changed()).await, Ok(Ok(()))) {
                return Err(stores_unavailable("the stores have not formed groups yet"));
            }
        }
    }

    async fn begin_at(
        &self,
        begin: &peer::TurnBegin,
        deadline: Instant,
    ) -> Result<peer::TurnBegun, Refusal> {
        let body = || request::Body::TurnBegin(begin.clone());
        match self.call(begin.group, body, deadline).await {
            Some(response::Body::TurnBegun(begun)) => Ok(begun),
            _ => Err(stores_unavailable("the stores do not answer")),
        }
    }

    /// Inputs and outputs up to and including a kept turn; only their length if it exceeds `max` and
    /// `max` is not 0. `None` if the group has no such turn.
    async fn history(
        &self,
        group: u32,
        team: &str,
        turn: &str,
        max: usize,
        deadline: Instant,
    ) -> Result<Option<peer::TurnBegun>, Refusal> {
        let read = peer::TurnBegin {
            group,
            team: team.to_owned(),
            previous: Some(turn.to_owned()),
            max_history: max as u32,
            hold_ms: millis_until(deadline),
            ..Default::default()
        };
        let begun = self.begin_at(&read, deadline).await?;
        Ok((begun.verdict() == TurnVerdict::Granted).then_some(begun))
    }

    /// Looks up a turn in all groups but one. Returns the group that has it, or `None` if every group
    /// reports that it does not.
    async fn find_in_other_groups(
        &self,
        own_group: u32,
        groups: u32,
        team: &str,
        turn: &str,
        deadline: Instant,
    ) -> Result<Option<(u32, peer::TurnBegun)>, Refusal> {
        let others = (0..groups).filter(|g| *g != own_group);
        let read =
            async |group| (group, self.history(group, team, turn, PART_BYTES, deadline).await);
        let mut unanswered = None;
        for (group, answer) in join_all(others.map(read)).await {
            match answer {
                Ok(Some(begun)) => return Ok(Some((group, begun))),
                Ok(None) => {}
                Err(refusal) => unanswered = Some(refusal),
            }
        }
        unanswered.map_or(Ok(None), Err)
    }

    fn history_cache(&self) -> MutexGuard<'_, HistoryCache> {
        self.history_cache.lock().expect("no panic while locked")
    }

    fn settle(&self, group: u32, end: peer::TurnEnd) {
        if let Err(e) = self.ends.try_send((group, end)) {
            let program = e.into_inner().1.program;
            log::warn!(program = program.as_str(); "settlement queue is full; tokens stay reserved");
            metrics::counter!("poplarspan_relay_unsettled_total").increment(1);
        }
    }

    /// Calls the leader of a store group, retrying until `deadline`.
    async fn call(
        &self,
        group: u32,
        body: impl Fn() -> request::Body,
        deadline: Instant,
    ) -> Option<response::Body> {
        let (mut attempt, mut calls, mut cause) = (0, 0_u32, String::new());
        while Instant::now() < deadline {
            let Some(address) = self.candidate(group, attempt) else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            calls += 1;
            let call = self.client.call(address, body(), CALL_TIMEOUT);
            match timeout_at(deadline, call).await {
                Ok(Ok(answer)) => {
                    self.set_leader(group, Some(address));
                    return Some(answer);
                }
                Ok(Err(CallError::Failed(failure))) => {
                    cause.clone_from(&failure.message);
                    if failure.code() == FailureCode::TooLarge {
                        break;
                    }
                    attempt += usize::from(self.note_failure(group, address, &failure));
                    let is_busy = failure.code() == FailureCode::Unavailable;
                    sleep(if is_busy { OVERLOAD_PAUSE } else { RETRY_PAUSE }).await;
                }
                Ok(Err(e)) => {
                    cause = e.to_string();
                    self.set_leader(group, None);
                    attempt += 1;
                    sleep(RETRY_PAUSE).await;
                }
                Err(_) => break,
            }
        }
        metrics::counter!("poplarspan_relay_store_timeouts_total").increment(1);
        log::warn!(group, calls, cause = cause.as_str(); "no store has answered in time");
        None
    }

    /// Records the failure of a call. Returns whether to try another store next.
    fn note_failure(&self, group: u32, address: SocketAddr, failure: &peer::Failure) -> bool {
        if failure.code() == FailureCode::Unavailable {
            return false;
        }
        let hint = failure.leader_address.parse().ok().filter(|hint| *hint != address);
        self.set_leader(group, hint);
        hint.is_none()
    }

    fn set_leader(&self, group: u32, leader: Option<SocketAddr>) {
        let mut leaders = self.leaders.lock().expect("no panic while locked");
        let at = group as usize;
        if leaders.len() <= at {
            leaders.resize(at + 1, None);
        }
        leaders[at] = leader;
    }

    /// The store to ask for the leader of `group` in the given attempt.
    fn candidate(&self, group: u32, attempt: usize) -> Option<SocketAddr> {
        let leaders = self.leaders.lock().expect("no panic while locked");
        let known = leaders.get(group as usize).copied().flatten();
        let view = self.fleet.view();
        let reported = || view.group_leaders.get(group as usize).copied().flatten();
        let any = || view.stores.get(attempt % view.stores.len().max(1)).copied();
        known.or_else(|| reported().filter(|_| attempt == 0)).or_else(any)
    }
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
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if self.is_reserved {
            self.programs.settle(self.group, self.end());
        }
    }
}

impl Settler {
    /// Settles reservations until the task is cancelled.
    pub(crate) async fn run(self) {
        let Self { programs, batches } = self;
        batches.run(|group, ends| settle(programs.clone(), group, ends)).await;
    }
}

/// Retries until the batch is committed, because unsettled reservations count against the budgets.
async fn settle(programs: Arc<Programs>, group: u32, ends: Vec<peer::TurnEnd>) {
    let body = || request::Body::TurnEnds(peer::TurnEnds { ends: ends.clone(), group });
    while programs.call(group, body, Instant::now() + 4 * CALL_TIMEOUT).await.is_none() {}
}

/// Time left until `deadline`, in milliseconds.
fn millis_until(deadline: Instant) -> u64 {
    deadline.saturating_duration_since(Instant::now()).as_millis() as u64
}

fn stores_unavailable(message: &'static str) -> Refusal {
    Refusal::retry_later("stores_away", message, RETRY_AFTER)
}
