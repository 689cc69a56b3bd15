//! Distributed token buckets, one per team.
//!
//! Each bucket is owned by one instance, which grants tokens to the others. Buckets are kept in
//! memory only. When an owner fails, the new owner starts once all grants of the previous owner
//! have expired. Calls wait for that time instead of being refused.

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
    membership::{LEASE, Membership, Snapshot},
    peer::PeerClient,
};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time between polls. A call that needs tokens triggers a poll earlier.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without calls after which the state of a team is dropped.
const IDLE_TEAM_TTL: Duration = Duration::from_secs(10);

/// State of a team with recent calls at this instance.
struct ActiveTeam {
    team: Name,
    bucket: InstanceBucket,
    /// Waiting calls, sorted by ticket.
    waiting: Vec<(Ticket, oneshot::Sender<Verdict>)>,
    owner: Option<Name>,
    used_at: Duration,
}

struct State {
    owners: OwnedBuckets,
    /// Sorted by team.
    active: Vec<ActiveTeam>,
    epoch: u64,
}

/// Token buckets that this instance owns, and its shares of the buckets of teams with recent calls.
pub(crate) struct FleetAdmission {
    local_name: Name,
    membership: Arc<Membership>,
    client: PeerClient,
    start: Instant,
    state: Mutex<State>,
    wake: Notify,
    weak_self: Weak<Self>,
}

impl FleetAdmission {
    pub(crate) fn new(
        local_name: Name,
        session: u64,
        membership: Arc<Membership>,
        client: PeerClient,
    ) -> Arc<Self> {
        let owners = OwnedBuckets::new(local_name.clone(), session, LEASE, MIN_VALIDITY);
        Arc::new_cyclic(|weak_self| Self {
            local_name,
            membership,
            client,
            start: Instant::now(),
            state: Mutex::new(State { owners, active: Vec::new(), epoch: 0 }),
            wake: Notify::new(),
            weak_self: weak_self.clone(),
        })
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Requests tokens from owners and applies changes of the view until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        let mut changes = self.membership.subscribe();
        loop {
            self.observe_view();
            let pause = self.poll();
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.wake.notified() => {}
                changed = changes.changed() => changed?,
            }
        }
    }

    /// Updates the owners of all buckets if the view has changed.
    fn observe_view(&self) {
        let snapshot = self.membership.load();
        let now = self.now();
        let mut state = self.state();
        if snapshot.view.epoch == state.epoch {
            return;
        }
        state.epoch = snapshot.view.epoch;
        let instances: Vec<Name> = snapshot.view.members.iter().map(|m| m.name.clone()).collect();
        for active in &mut state.active {
            let owner = owner_of(&active.team, &instances);
            if owner != active.owner.as_ref() {
                active.owner = owner.cloned();
                active.bucket.on_new_owner(now);
            }
        }
        state.owners.observe_view(&View { epoch: snapshot.view.epoch, instances }, now);
    }

    /// Requests the transfer of a bucket from its previous owner. Without the transfer, this
    /// instance must wait before it can use the bucket.
    fn claim(&self, snapshot: &Snapshot, team: &Name) {
        let now = self.now();
        let Some((former, claim)) = self.state().owners.claim(team, now) else { return };
        let Some(member) = snapshot.view.member(&former) else { return };
        let Some(this) = self.weak_self.upgrade() else { return };
        tokio::spawn(this.claim_remote(member.address, claim));
    }

    async fn claim_remote(self: Arc<Self>, address: SocketAddr, claim: Claim) {
        let team = claim.team.clone();
        let body = Some(rate_request::Body::Claim(wire::encode_claim(&claim)));
        let call = request::Body::Rate(peer::RateRequest { team: team.to_string(), body });
        let answer = self.client.call(address, call, REQUEST_TIMEOUT).await;
        // Without the transfer, this instance waits until the grants of the previous owner expire.
        let Ok(response::Body::Rate(peer::RateAnswer { body: Some(answer) })) = answer else {
            return;
        };
        let rate_answer::Body::Transfer(transfer) = answer else { return };
        let transfer = wire::decode_transfer(claim, &transfer);
        let Some(limit) = limit(&self.membership.load().objects, &team) else { return };
        let now = self.now();
        let accepted = self.state().owners.accept(&transfer, limit, now);
        if accepted {
            log::debug!(team = &*team; "rate bucket transferred from its previous owner");
            self.wake.notify_one();
        }
    }

    /// Sends the token requests that are due and returns the time until the next one.
    fn poll(&self) -> Duration {
        let snapshot = self.membership.load();
        let now = self.now();
        let mut requests = Vec::new();
        let mut next = now + MAX_POLL_INTERVAL;
        {
            let mut state = self.state();
            state.owners.prune(now);
            for active in &mut state.active {
                let expired = active.bucket.expire(now);
                active.resolve(expired);
                if let Some(request) = active.bucket.poll(now) {
                    requests.push((active.team.clone(), active.owner.clone(), request));
                }
                let next_due =
                    active.bucket.next_poll(now).into_iter().chain(active.bucket.next_deadline());
                next = next_due.fold(next, Duration::min);
            }
            state.active.retain(|a| !a.waiting.is_empty() || now < a.used_at + IDLE_TEAM_TTL);
        }
        for (team, owner, request) in requests {
            self.request_tokens(&snapshot, team, owner, request);
        }
        // Prevents a busy loop if a bucket is always due.
        next.saturating_sub(now).max(Duration::from_millis(1))
    }

    fn request_tokens(
        &self,
        snapshot: &Snapshot,
        team: Name,
        owner: Option<Name>,
        request: TokenRequest,
    ) {
        let Some(owner) = owner else { return };
        if owner == self.local_name {
            if let Ok(answer) = self.answer_as_owner(snapshot, &team, &request) {
                self.handle_answer(&team, request.id, answer);
            }
            return;
        }
        let Some(member) = snapshot.view.member(&owner) else { return };
        let Some(this) = self.weak_self.upgrade() else { return };
        tokio::spawn(this.request_tokens_remote(team, member.address, request));
    }

    async fn request_tokens_remote(
        self: Arc<Self>,
        team: Name,
        address: SocketAddr,
        request: TokenRequest,
    ) {
        let id = request.id;
        let body = Some(rate_request::Body::Ask(wire::encode_ask(&request)));
        let call = request::Body::Rate(peer::RateRequest { team: team.to_string(), body });
        match self.client.call(address, call, REQUEST_TIMEOUT).await {
            Ok(response::Body::Rate(peer::RateAnswer { body: Some(answer) })) => {
                self.handle_answer(&team, id, answer);
            }
            Ok(_) => {}
            // The bucket repeats the request after its own timeout.
            Err(e) => log::debug!("token request to a rate bucket owner failed: {e}"),
        }
    }

    /// Handles a token request as the owner of the team's bucket.
    fn answer_as_owner(
        &self,
        snapshot: &Snapshot,
        team: &Name,
        request: &TokenRequest,
    ) -> Result<rate_answer::Body, peer::Failure> {
        if !snapshot.lease_valid() {
            return Err(failure(FailureCode::Unavailable, "the owner has no lease"));
        }
        let limit = limit(&snapshot.objects, team)
            .ok_or_else(|| failure(FailureCode::Invalid, "unknown team"))?;
        let now = self.now();
        let answer = self.state().owners.request(team, limit, request, now);
        Ok(match answer {
            Answer::Granted(grant) => rate_answer::Body::Grant(wire::encode_grant(&grant)),
            Answer::NotOwner(_) => rate_answer::Body::NotOwner(peer::RateNotOwner {}),
            Answer::Starting { retry_after } => {
                self.claim(snapshot, team);
                let retry_after_us = retry_after.as_micros() as u64 + 1;
                rate_answer::Body::Starting(peer::RateStarting { retry_after_us })
            }
        })
    }

    fn handle_answer(&self, team: &Name, request_id: u64, answer: rate_answer::Body) {
        let now = self.now();
        let mut state = self.state();
        let Ok(i) = state.active.binary_search_by(|a| a.team.cmp(team)) else { return };
        let active = &mut state.active[i];
        let resolved = match answer {
            rate_answer::Body::Grant(grant) => {
                active.bucket.on_grant(request_id, &wire::decode_grant(&grant), now)
            }
            rate_answer::Body::Starting(starting) => {
                let wait = Duration::from_micros(starting.retry_after_us);
                active.bucket.on_starting(wait, now)
            }
            // The views of the two instances differ temporarily; the bucket repeats the request.
            rate_answer::Body::NotOwner(_)
            | rate_answer::Body::Transfer(_)
            | rate_answer::Body::Kept(_) => return,
        };
        active.resolve(resolved);
        drop(state);
        self.wake.notify_one();
    }

    /// Takes an available token, or queues the call for one.
    fn acquire(
        &self,
        snapshot: &Snapshot,
        team: &Name,
        deadline: Instant,
    ) -> Result<Acquired, Refusal> {
        let limit = limit(&snapshot.objects, team)
            .ok_or_else(|| Refusal::not_run(Code::Unauthorized, "unknown team"))?;
        let now = self.now();
        let deadline = deadline.saturating_duration_since(self.start);
        let mut state = self.state();
        let i = match state.active.binary_search_by(|a| a.team.cmp(team)) {
            Ok(i) => i,
            Err(i) => {
                let instances: Vec<Name> =
                    snapshot.view.members.iter().map(|m| m.name.clone()).collect();
                let bucket = InstanceBucket::new(
                    self.local_name.clone(),
                    limit,
                    InstanceBucketConfig::default(),
                );
                let active = ActiveTeam {
                    team: team.clone(),
                    bucket,
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
        active.bucket.set_limit(limit);
        match active.bucket.acquire(deadline, now) {
            Admitted::Granted(permit) => Ok(Acquired::Immediate(permit)),
            Admitted::Refused { retry_after } => Err(rate_limited(retry_after)),
            Admitted::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                active.waiting.push((ticket, tx));
                Ok(Acquired::Queued(ticket, rx))
            }
        }
    }

    fn cancel(&self, team: &Name, ticket: Ticket) {
        let mut state = self.state();
        if let Ok(i) = state.active.binary_search_by(|a| a.team.cmp(team)) {
            let active = &mut state.active[i];
            active.bucket.cancel(ticket);
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
            Ok(Verdict::Refused { retry_after }) => Err(rate_limited(retry_after)),
            Err(_) => Err(Refusal::not_run(Code::ShuttingDown, "the instance is stopping")),
        }
    }
}

enum Acquired {
    Immediate(Permit),
    Queued(Ticket, oneshot::Receiver<Verdict>),
}

/// Cancels the ticket of a call whose caller disconnects.
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

impl ActiveTeam {
    fn resolve(&mut self, resolved: Vec<(Ticket, Verdict)>) {
        for (ticket, verdict) in resolved {
            if let Some(i) = self.waiting.iter().position(|(t, _)| *t == ticket) {
                let (_, tx) = self.waiting.remove(i);
                // If the caller has just disconnected, the token counts as used.
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
                let snapshot = self.membership.load();
                let permit = match self.acquire(&snapshot, team, deadline)? {
                    Acquired::Immediate(permit) => permit,
                    Acquired::Queued(ticket, rx) => {
                        // If this instance owns the bucket, the poll grants the token immediately.
                        self.poll();
                        self.wake.notify_one();
                        self.wait(team, ticket, rx).await?
                    }
                };
                // A process that was suspended in the meantime must not use an expired token.
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
        let snapshot = self.membership.load();
        let team: Name = request.team.as_str().into();
        let body = match request.body {
            Some(rate_request::Body::Ask(request)) => {
                self.answer_as_owner(&snapshot, &team, &wire::decode_ask(request))?
            }
            Some(rate_request::Body::Claim(claim)) => {
                let claim = wire::decode_claim(&team, claim);
                let now = self.now();
                match self.state().owners.release(&claim, now) {
                    Some(transfer) => rate_answer::Body::Transfer(wire::encode_transfer(&transfer)),
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

fn rate_limited(retry_after: Duration) -> Refusal {
    Refusal::not_run(Code::RateLimited, "the team is above its rate").retry_after(retry_after)
}

fn failure(code: FailureCode, message: &str) -> peer::Failure {
    peer::Failure { code: code.into(), message: message.to_owned(), leader_address: String::new() }
}
