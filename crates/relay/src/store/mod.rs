//! A store: replicates token budgets, kept turns and the origins of streams. For the groups that it
//! leads, it begins and ends turns, and records and looks up origins, on behalf of the fronts.

pub(crate) mod budget;

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::BoxFuture;
use poplarspan_agreement::ProposeError;
use poplarspan_node::peer::{PeerService, Role, failure};
use poplarspan_proto::{
    peer::{self, FailureCode, TurnVerdict, request, response},
    relay as pb,
};
use prost::Message;
use tokio::{sync::Semaphore, time::timeout};

use budget::Budget;

use crate::{
    History, MachineLimits, TurnState, TurnUsage, control::invalid, now_ms, replica::Replica,
};

/// Time in which a command must commit; afterwards its outcome is unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent calls; further calls are refused immediately.
const MAX_CONCURRENT_CALLS: usize = 192;

/// Handles the peer calls of a store.
pub(crate) struct Store {
    /// Indexed by group number; empty until the groups are formed.
    replicas: Mutex<Vec<Arc<Replica>>>,
    calls: Semaphore,
    budget: Budget,
    /// Number of groups that a store of the fleet has on average, rounded up.
    groups_per_store: Box<dyn Fn() -> u64 + Send + Sync>,
}

impl Store {
    pub(crate) fn new(
        limits: MachineLimits,
        groups_per_store: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            replicas: Mutex::default(),
            calls: Semaphore::new(MAX_CONCURRENT_CALLS),
            budget: Budget::new(limits),
            groups_per_store: Box::new(groups_per_store),
        })
    }

    /// Sets what counts the bytes of each group.
    pub(crate) fn set_usage(&self, groups: Vec<Arc<TurnUsage>>) {
        self.budget.set_groups(groups);
    }

    /// Sets the replicas, after which the store can serve calls.
    pub(crate) fn set_replicas(&self, replicas: Vec<Arc<Replica>>) {
        *self.replicas.lock().expect("no panic while locked") = replicas;
    }

    pub(crate) fn replicas(&self) -> Vec<Arc<Replica>> {
        self.replicas.lock().expect("no panic while locked").clone()
    }

    fn replica(&self, group: u32) -> Result<Arc<Replica>, peer::Failure> {
        let replicas = self.replicas.lock().expect("no panic while locked");
        replicas.get(group as usize).cloned().ok_or_else(|| peer::Failure {
            code: FailureCode::NotLeader.into(),
            message: "the store has no such group yet".to_owned(),
            leader_address: String::new(),
        })
    }

    async fn begin(&self, begin: peer::TurnBegin) -> Result<peer::TurnBegun, peer::Failure> {
        let replica = self.replica(begin.group)?;
        let verdict = |verdict: TurnVerdict, remaining| peer::TurnBegun {
            verdict: verdict.into(),
            remaining,
            ..Default::default()
        };
        if begin.keeps {
            if replica.leads().is_none() {
                return Err(replica.not_leader());
            }
            let (continues, parts) = (begin.previous.is_some(), (self.groups_per_store)());
            if !self.budget.has_room(begin.group, continues, parts) {
                self.expire(&replica);
                return Ok(verdict(TurnVerdict::NoRoom, 0));
            }
        }
        let mut begun = verdict(TurnVerdict::Granted, 0);
        if let Some(previous) = &begin.previous {
            let Some(history) = history(&replica, &begin.team, previous).await? else {
                return Ok(verdict(TurnVerdict::UnknownTurn, 0));
            };
            if begin.max_history == 0 || history.len() <= begin.max_history as usize {
                begun.history = read(move || history.read()).await?;
            } else {
                if !hold(&replica, &begin.team, previous, begin.hold_ms).await? {
                    return Ok(verdict(TurnVerdict::UnknownTurn, 0));
                }
                begun.history_len = history.len() as u64;
                begun.history_crc = read(move || Ok(history.checksum())).await?;
            }
        }
        let peer::TurnBegin { team, program, name, most, least, budget, .. } = begin;
        let Some(budget) = budget.filter(|_| least > 0) else { return Ok(begun) };
        let reserve = vec![pb::Reserve { team, program, name, most, budget, least }];
        let result = commit(&replica, pb::TurnCommand { reserve, ..Default::default() }).await?;
        let Some(reserved) = result.reserved.first() else {
            return Err(invalid("the reservation has no result"));
        };
        if reserved.amount == 0 {
            return Ok(verdict(TurnVerdict::Spent, reserved.remaining));
        }
        (begun.remaining, begun.amount) = (reserved.remaining, reserved.amount);
        Ok(begun)
    }

    /// Records a request to join. A replica that does not know the rules in force would come to
    /// another state than the others.
    async fn join(&self, join: peer::Join) -> Result<peer::Joined, peer::Failure> {
        let replica = self.replica(join.group)?;
        let rules = replica.query(TurnState::rules).await.ok_or_else(|| replica.not_leader())?;
        if join.rules < rules {
            log::warn!(replica = join.replica, rules; "an older build asks to join");
            return Err(invalid("the group has rules that the replica does not know"));
        }
        replica.join(join).await
    }

    /// Sends the digests of the states of the groups that this store leads to their other replicas.
    pub(crate) async fn compare_states(&self, sent: &mut Vec<(u32, u64)>) {
        for replica in self.replicas().iter().filter(|r| r.leads().is_some()) {
            let read = replica.query(|turns: &TurnState| turns.last_digest().cloned()).await;
            let Some(digest) = read.flatten() else { continue };
            let key = (replica.group(), digest.index);
            if sent.contains(&key) {
                continue;
            }
            let command = pb::TurnCommand { digest: Some(digest), ..Default::default() };
            match commit(replica, command).await {
                Ok(_) => {
                    sent.retain(|(group, _)| *group != key.0);
                    sent.push(key);
                }
                Err(failure) => {
                    let (group, error) = (key.0, failure.message);
                    log::info!(group, error = error.as_str(); "states are not compared yet");
                }
            }
        }
    }

    async fn read_part(
        &self,
        request: peer::HistoryRead,
    ) -> Result<peer::HistoryPart, peer::Failure> {
        let replica = self.replica(request.group)?;
        let history = history(&replica, &request.team, &request.turn).await?;
        let Some(history) = history else { return Ok(peer::HistoryPart::default()) };
        let max = request.max as usize;
        let data = read(move || history.read_part(request.offset, max)).await?;
        Ok(peer::HistoryPart { data: Some(data) })
    }

    /// Lets expired turns be removed while no turn is accepted, because the time of the group
    /// advances only with its commands.
    fn expire(&self, replica: &Arc<Replica>) {
        if self.budget.may_expire(replica.group()) {
            let replica = replica.clone();
            tokio::spawn(async move {
                if let Err(failure) = commit(&replica, pb::TurnCommand::default()).await {
                    let (group, error) = (replica.group(), failure.message);
                    log::warn!(group, error = error.as_str(); "expired turns are not removed yet");
                }
            });
        }
    }

    async fn end(&self, ends: peer::TurnEnds) -> Result<peer::TurnsEnded, peer::Failure> {
        let replica = self.replica(ends.group)?;
        let now_ms = now_ms();
        let settle = |end: peer::TurnEnd| {
            let peer::TurnEnd { team, program, name, used, kept } = end;
            let kept = kept.map(|kept| pb::Turn {
                team: team.clone(),
                turn: kept.turn,
                previous: kept.previous,
                input: kept.input,
                output: kept.output,
                expires_ms: now_ms + kept.retain_ms,
            });
            pb::Settle { team, program, name, used, kept }
        };
        let settle = ends.ends.into_iter().map(settle).collect();
        let command = pb::TurnCommand { settle, ..Default::default() };
        let pb::TurnResult { incomplete, .. } = commit(&replica, command).await?;
        Ok(peer::TurnsEnded { incomplete })
    }

    async fn record_streams(
        &self,
        starts: peer::StreamStarts,
    ) -> Result<peer::StreamsRecorded, peer::Failure> {
        let replica = self.replica(starts.group)?;
        let now_ms = now_ms();
        let origin = |start: peer::StreamStart| {
            let peer::StreamStart { team, stream, service, software, keep_ms } = start;
            let expires_ms = now_ms.saturating_add(keep_ms);
            pb::StreamOrigin { team, stream, service, software, expires_ms }
        };
        let streams = starts.starts.into_iter().map(origin).collect();
        commit(&replica, pb::TurnCommand { streams, ..Default::default() }).await?;
        Ok(peer::StreamsRecorded {})
    }

    async fn find_stream(
        &self,
        lookup: peer::StreamLookup,
    ) -> Result<peer::StreamLookupResult, peer::Failure> {
        let replica = self.replica(lookup.group)?;
        let read = replica.query(move |turns: &TurnState| {
            let origin = turns.stream_origin(&lookup.team, &lookup.stream)?;
            let (service, software) = (origin.service.to_string(), origin.software.to_string());
            Some(peer::StreamStart { service, software, ..Default::default() })
        });
        let start = read.await.ok_or_else(|| replica.not_leader())?;
        Ok(peer::StreamLookupResult { start })
    }

    /// Returns the state that heartbeats report to the control leader.
    pub(crate) async fn state(&self, id: u64) -> peer::StoreState {
        self.budget.report();
        let mut leads = Vec::new();
        for replica in self.replicas() {
            if replica.leads().is_some() {
                let voters = replica.voters().await.into_iter().map(|v| v.0).collect();
                leads.push(peer::LedGroup { group: replica.group(), voters });
            }
        }
        peer::StoreState { replica: id, leads }
    }
}

/// The history up to and including a kept turn; `None` if the team has no such turn.
async fn history(
    replica: &Replica,
    team: &str,
    turn: &str,
) -> Result<Option<History>, peer::Failure> {
    let (team, turn) = (team.to_owned(), turn.to_owned());
    let found = replica.query(move |turns: &TurnState| turns.history(&team, &turn)).await;
    found.ok_or_else(|| replica.not_leader())
}

/// Prevents a turn and those before it from expiring for some time. Returns false if they have
/// expired already.
async fn hold(
    replica: &Replica,
    team: &str,
    turn: &str,
    hold_ms: u64,
) -> Result<bool, peer::Failure> {
    // Turns do not expire before those that continue them. Replicas of older builds know no other
    // way to extend the time.
    let holder = pb::Turn {
        team: team.to_owned(),
        turn: format!("{turn}\n\nheld"),
        previous: Some(turn.to_owned()),
        expires_ms: now_ms().saturating_add(hold_ms),
        ..Default::default()
    };
    let settle = pb::Settle { kept: Some(holder), ..Default::default() };
    let command = pb::TurnCommand { settle: vec![settle], ..Default::default() };
    Ok(commit(replica, command).await?.incomplete.is_empty())
}

/// Reads bodies outside the task of the replicated log.
async fn read<T: Send + 'static>(
    read: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> Result<T, peer::Failure> {
    let read = tokio::task::spawn_blocking(read).await;
    read.unwrap_or_else(|e| Err(io::Error::other(e))).map_err(|e| {
        let error = e.to_string();
        log::error!(error = error.as_str(); "cannot read a kept turn");
        peer::Failure {
            code: FailureCode::Unavailable.into(),
            message: "the store cannot read the turn".to_owned(),
            leader_address: String::new(),
        }
    })
}

async fn commit(
    replica: &Replica,
    mut command: pb::TurnCommand,
) -> Result<pb::TurnResult, peer::Failure> {
    command.now_ms = now_ms();
    command.rules = replica.common_rules();
    let proposed = replica.propose(command.encode_to_vec().into());
    let unknown = |message: &str| peer::Failure {
        code: FailureCode::UnknownOutcome.into(),
        message: message.to_owned(),
        leader_address: String::new(),
    };
    let result = match timeout(COMMIT_TIMEOUT, proposed).await {
        Ok(Ok(result)) => result,
        Ok(Err(ProposeError::NotLeader { .. })) => return Err(replica.not_leader()),
        Ok(Err(e @ ProposeError::TooLarge)) => {
            return Err(peer::Failure {
                code: FailureCode::TooLarge.into(),
                message: e.to_string(),
                leader_address: String::new(),
            });
        }
        Ok(Err(e)) => return Err(unknown(&e.to_string())),
        Err(_) => return Err(unknown("not committed in time")),
    };
    pb::TurnResult::decode(result).map_err(|e| unknown(&e.to_string()))
}

impl PeerService for Store {
    fn call(&self, role: Role, body: request::Body) -> BoxFuture<'_, response::Body> {
        Box::pin(async move {
            if role != Role::Instance {
                return failure(FailureCode::Unauthorized, "only instances may ask for this");
            }
            // Refuses calls above the limit instead of queueing them, which would delay all of them
            // beyond their deadlines.
            let Ok(_permit) = self.calls.try_acquire() else {
                metrics::counter!("poplarspan_relay_store_overloads_total").increment(1);
                return failure(FailureCode::Unavailable, "the store has too many open calls");
            };
            let answer = match body {
                request::Body::TurnBegin(begin) => {
                    self.begin(begin).await.map(response::Body::TurnBegun)
                }
                request::Body::HistoryRead(request) => {
                    self.read_part(request).await.map(response::Body::HistoryPart)
                }
                request::Body::TurnEnds(ends) => {
                    self.end(ends).await.map(response::Body::TurnsEnded)
                }
                request::Body::StreamStarts(starts) => {
                    self.record_streams(starts).await.map(response::Body::StreamsRecorded)
                }
                request::Body::StreamLookup(lookup) => {
                    self.find_stream(lookup).await.map(response::Body::StreamLookup)
                }
                request::Body::Join(join) => self.join(join).await.map(response::Body::Joined),
                _ => Err(invalid("a store does not carry out this call")),
            };
            answer.unwrap_or_else(response::Body::Failure)
        })
    }
}
