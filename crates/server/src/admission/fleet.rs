//! Rates counted over the whole fleet.
//!
//! The bucket of a team belongs to one instance, its owner; the others ask the owner for tokens.
//! Everything is in memory: when the owner dies, its successor starts after every grant of the
//! former owner must have expired, and calls wait for that long instead of being refused.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use futures::future::BoxFuture;
use poplarspan_objects::{Name, ObjectSet};
use poplarspan_policy::rate::{
    Admission as Admitted, Answer, Claim, InstanceBucket, InstanceBucketConfig, Limit,
    MIN_VALIDITY, OwnedBuckets, Permit, Ticket, TokenRequest, Verdict, View, owner_of,
};
use poplarspan_proto::peer::{self, FailureCode, rate_answer, rate_request, request, response};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::{Admission, RateOwner, wire};
use crate::{
    entry::{Code, Refusal},
    membership::{Known, LEASE, Membership},
    peer::PeerClient,
};

const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause when nothing is due; asks are sent when a call makes them due.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// A team without calls for this long is forgotten here.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// A team with calls at this instance.
struct Active {
    team: Name,
    share: InstanceBucket,
    /// Calls that wait, in order of their tickets.
    waiting: Vec<(Ticket, oneshot::Sender<Verdict>)>,
    owner: Option<Name>,
    used_at: Duration,
}

struct State {
    owners: OwnedBuckets,
    // Sorted by team.
    active: Vec<Active>,
    epoch: u64,
}

/// The rates of all teams, as far as this instance has calls of them or owns their buckets.
pub(crate) struct FleetAdmission {
    me: Name,
    membership: Arc<Membership>,
    client: PeerClient,
    start: Instant,
    state: Mutex<State>,
    due: Notify,
    this: Weak<Self>,
}

impl FleetAdmission {
    pub(crate) fn new(
        me: Name,
        session: u64,
        membership: Arc<Membership>,
        client: PeerClient,
    ) -> Arc<Self> {
        let owners = OwnedBuckets::new(me.clone(), session, LEASE, MIN_VALIDITY);
        Arc::new_cyclic(|this| Self {
            me,
            membership,
            client,
            start: Instant::now(),
            state: Mutex::new(State { owners, active: Vec::new(), epoch: 0 }),
            due: Notify::new(),
            this: this.clone(),
        })
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Asks owners for tokens and follows changes of the view, until the task is ended.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut changes = self.membership.subscribe();
        loop {
            self.observe_view();
            let pause = self.poll();
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.due.notified() => {}
                changed = changes.changed() => changed?,
            }
        }
    }

    /// Takes note of a new view.
    fn observe_view(&self) {
        let known = self.membership.load();
        let now = self.now();
        let mut state = self.state();
        if known.view.epoch == state.epoch {
            return;
        }
        state.epoch = known.view.epoch;
        let instances: Vec<Name> = known.view.members.iter().map(|m| m.name.clone()).collect();
        for active in &mut state.active {
            let owner = owner_of(&active.team, &instances);
            if owner != active.owner.as_ref() {
                active.owner = owner.cloned();
                active.share.on_new_owner(now);
            }
        }
        state.owners.observe_view(&View { epoch: known.view.epoch, instances }, now);
    }

    /// Asks the former owner for a bucket that this instance owns but may not use yet.
    fn claim(&self, known: &Known, team: &Name) {
        let now = self.now();
        let Some((former, claim)) = self.state().owners.claim(team, now) else { return };
        let Some(member) = known.view.member(&former) else { return };
        let Some(this) = self.this.upgrade() else { return };
        tokio::spawn(this.claim_remote(member.address, claim));
    }

    async fn claim_remote(self: Arc<Self>, address: SocketAddr, claim: Claim) {
        let team = claim.team.clone();
        let body = Some(rate_request::Body::Claim(wire::write_claim(&claim)));
        let request = request::Body::Rate(peer::RateRequest { team: team.to_string(), body });
        let answer = self.client.call(address, request, ASK_TIMEOUT).await;
        // Without the bucket this instance waits until the former owner's grants have run out.
        let Ok(response::Body::Rate(peer::RateAnswer { body: Some(answer) })) = answer else {
            return;
        };
        let rate_answer::Body::Transfer(transfer) = answer else { return };
        let transfer = wire::read_transfer(claim, &transfer);
        let Some(limit) = limit(&self.membership.load().objects, &team) else { return };
        let now = self.now();
        let accepted = self.state().owners.accept(&transfer, limit, now);
        if accepted {
            log::debug!(team = &*team; "rate bucket taken over");
            self.due.notify_one();
        }
    }

    /// Sends the asks that are due, and returns the time until the next one.
    fn poll(&self) -> Duration {
        let known = self.membership.load();
        let now = self.now();
        let mut asks = Vec::new();
        let mut next = now + IDLE_PAUSE;
        {
            let mut state = self.state();
            state.owners.prune(now);
            for active in &mut state.active {
                let expired = active.share.expire(now);
                active.decide(expired);
                if let Some(ask) = active.share.poll(now) {
                    asks.push((active.team.clone(), active.owner.clone(), ask));
                }
                let due =
                    active.share.next_poll(now).into_iter().chain(active.share.next_deadline());
                next = due.fold(next, Duration::min);
            }
            state.active.retain(|a| !a.waiting.is_empty() || now < a.used_at + FORGET_AFTER);
        }
        for (team, owner, ask) in asks {
            self.ask(&known, team, owner, ask);
        }
        // Never spins, whatever the shares say.
        next.saturating_sub(now).max(Duration::from_millis(1))
    }

    fn ask(&self, known: &Known, team: Name, owner: Option<Name>, ask: TokenRequest) {
        let Some(owner) = owner else { return };
        if owner == self.me {
            if let Ok(answer) = self.own_answer(known, &team, &ask) {
                self.take_answer(&team, ask.id, answer);
            }
            return;
        }
        let Some(member) = known.view.member(&owner) else { return };
        let Some(this) = self.this.upgrade() else { return };
        tokio::spawn(this.ask_remote(team, member.address, ask));
    }

    async fn ask_remote(self: Arc<Self>, team: Name, address: SocketAddr, ask: TokenRequest) {
        let id = ask.id;
        let body = Some(rate_request::Body::Ask(wire::write_ask(&ask)));
        let request = request::Body::Rate(peer::RateRequest { team: team.to_string(), body });
        match self.client.call(address, request, ASK_TIMEOUT).await {
            Ok(response::Body::Rate(peer::RateAnswer { body: Some(answer) })) => {
                self.take_answer(&team, id, answer);
            }
            Ok(_) => {}
            // The share asks again after its own timeout.
            Err(e) => log::debug!("no answer of a rate owner: {e}"),
        }
    }

    /// The answer of this instance as the owner of the team's bucket.
    fn own_answer(
        &self,
        known: &Known,
        team: &Name,
        ask: &TokenRequest,
    ) -> Result<rate_answer::Body, peer::Failure> {
        if !known.lease_valid() {
            return Err(failure(FailureCode::Unavailable, "the owner has no lease"));
        }
        let limit = limit(&known.objects, team)
            .ok_or_else(|| failure(FailureCode::Invalid, "unknown team"))?;
        let now = self.now();
        let answer = self.state().owners.request(team, limit, ask, now);
        Ok(match answer {
            Answer::Granted(grant) => rate_answer::Body::Grant(wire::write_grant(&grant)),
            Answer::NotOwner(_) => rate_answer::Body::NotOwner(peer::RateNotOwner {}),
            Answer::Starting { retry_after } => {
                self.claim(known, team);
                let retry_after_us = retry_after.as_micros() as u64 + 1;
                rate_answer::Body::Starting(peer::RateStarting { retry_after_us })
            }
        })
    }

    fn take_answer(&self, team: &Name, ask: u64, answer: rate_answer::Body) {
        let now = self.now();
        let mut state = self.state();
        let Ok(i) = state.active.binary_search_by(|a| a.team.cmp(team)) else { return };
        let active = &mut state.active[i];
        let decided = match answer {
            rate_answer::Body::Grant(grant) => {
                active.share.on_grant(ask, &wire::read_grant(&grant), now)
            }
            rate_answer::Body::Starting(starting) => {
                let wait = Duration::from_micros(starting.retry_after_us);
                active.share.on_starting(wait, now)
            }
            // The views differ for a moment; the share asks again.
            rate_answer::Body::NotOwner(_)
            | rate_answer::Body::Transfer(_)
            | rate_answer::Body::Kept(_) => return,
        };
        active.decide(decided);
        drop(state);
        self.due.notify_one();
    }

    /// Takes a token that is there, or a place among those that wait.
    fn acquire(&self, known: &Known, team: &Name, deadline: Instant) -> Result<Acquired, Refusal> {
        let limit = limit(&known.objects, team)
            .ok_or_else(|| Refusal::not_run(Code::Unauthorized, "unknown team"))?;
        let now = self.now();
        let deadline = deadline.saturating_duration_since(self.start);
        let mut state = self.state();
        let i = match state.active.binary_search_by(|a| a.team.cmp(team)) {
            Ok(i) => i,
            Err(i) => {
                let instances: Vec<Name> =
                    known.view.members.iter().map(|m| m.name.clone()).collect();
                let share =
                    InstanceBucket::new(self.me.clone(), limit, InstanceBucketConfig::default());
                let active = Active {
                    team: team.clone(),
                    share,
                    waiting: Vec::new(),
                    owner: owner_of(team, &instances).cloned(),
                    used_at: now,
                };
                state.active.insert(i, active);
                i
            }
        };
        let active = &mut state.active[i];
        active.used_at = now;
        active.share.set_limit(limit);
        match active.share.acquire(deadline, now) {
            Admitted::Granted(permit) => Ok(Acquired::Now(permit)),
            Admitted::Refused { retry_after } => Err(above_rate(retry_after)),
            Admitted::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                active.waiting.push((ticket, tx));
                Ok(Acquired::Later(ticket, rx))
            }
        }
    }

    fn cancel(&self, team: &Name, ticket: Ticket) {
        let mut state = self.state();
        if let Ok(i) = state.active.binary_search_by(|a| a.team.cmp(team)) {
            let active = &mut state.active[i];
            active.share.cancel(ticket);
            active.waiting.retain(|(t, _)| *t != ticket);
        }
    }

    async fn wait(
        &self,
        team: &Name,
        ticket: Ticket,
        rx: oneshot::Receiver<Verdict>,
    ) -> Result<Permit, Refusal> {
        let mut guard = CancelOnDrop { admission: self, team, ticket: Some(ticket) };
        let verdict = rx.await;
        guard.ticket = None;
        match verdict {
            Ok(Verdict::Granted(permit)) => Ok(permit),
            Ok(Verdict::Refused { retry_after }) => Err(above_rate(retry_after)),
            Err(_) => Err(Refusal::not_run(Code::ShuttingDown, "the instance is stopping")),
        }
    }
}

enum Acquired {
    Now(Permit),
    Later(Ticket, oneshot::Receiver<Verdict>),
}

/// Gives up the place of a call whose caller has gone.
struct CancelOnDrop<'a> {
    admission: &'a FleetAdmission,
    team: &'a Name,
    ticket: Option<Ticket>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.admission.cancel(self.team, ticket);
        }
    }
}

impl Active {
    fn decide(&mut self, decided: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in decided {
            if let Some(i) = self.waiting.iter().position(|(t, _)| *t == ticket) {
                let (_, tx) = self.waiting.remove(i);
                // A caller that has gone just now leaves a used token behind.
                let _ = tx.send(verdict);
            }
        }
    }
}

impl Admission for FleetAdmission {
    fn admit<'a>(
        &'a self,
        team: &'a Name,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<(), Refusal>> {
        Box::pin(async move {
            loop {
                let known = self.membership.load();
                let permit = match self.acquire(&known, team, deadline)? {
                    Acquired::Now(permit) => permit,
                    Acquired::Later(ticket, rx) => {
                        // The bucket may be this instance's own: then the answer is here at once.
                        self.poll();
                        self.due.notify_one();
                        self.wait(team, ticket, rx).await?
                    }
                };
                // A process that was suspended in between must not use an old token.
                if self.now() < permit.valid_until {
                    return Ok(());
                }
            }
        })
    }
}

impl RateOwner for FleetAdmission {
    fn request(&self, request: peer::RateRequest) -> Result<peer::RateAnswer, peer::Failure> {
        self.observe_view();
        let known = self.membership.load();
        let team: Name = request.team.as_str().into();
        let body = match request.body {
            Some(rate_request::Body::Ask(ask)) => {
                self.own_answer(&known, &team, &wire::read_ask(ask))?
            }
            Some(rate_request::Body::Claim(claim)) => {
                let claim = wire::read_claim(&team, claim);
                let now = self.now();
                match self.state().owners.release(&claim, now) {
                    Some(transfer) => rate_answer::Body::Transfer(wire::write_transfer(&transfer)),
                    None => rate_answer::Body::Kept(peer::RateKept {}),
                }
            }
            None => return Err(failure(FailureCode::Invalid, "unknown kind of rate request")),
        };
        Ok(peer::RateAnswer { body: Some(body) })
    }
}

fn limit(objects: &ObjectSet, team: &str) -> Option<Limit> {
    let rate = objects.rate(&objects.team(team)?.rate)?;
    Some(Limit::new(rate.rate.per_second(), rate.burst))
}

fn above_rate(retry_after: Duration) -> Refusal {
    Refusal::not_run(Code::RateLimited, "the team is above its rate").retry_after(retry_after)
}

fn failure(code: FailureCode, message: &str) -> peer::Failure {
    peer::Failure { code: code.into(), message: message.to_owned(), leader_address: String::new() }
}
