//! Selection of the owner of a team's bucket, and change of owner.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Grant, GrantId, Limit, MAX_VALIDITY, OwnerBucket, TokenRequest};
use crate::Name;

/// Maximum number of views kept; owners in older views are unknown.
const MAX_VIEWS: usize = 64;

/// Membership view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Epoch; increases by one with each change.
    pub epoch: u64,
    /// Live instances.
    pub instances: Vec<Name>,
}

/// Returns the owner of `team`'s bucket among `instances`, by rendezvous hashing with BLAKE3.
///
/// A change of the view moves only the teams whose owner left and those that a new instance owns.
pub fn owner_of<'a>(team: &str, instances: &'a [Name]) -> Option<&'a Name> {
    instances.iter().max_by_key(|instance| (rendezvous(team, instance), *instance))
}

/// Returns the rendezvous weight of `member` for `key`.
pub(crate) fn rendezvous(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(member.as_bytes());
    let digest = hasher.finalize();
    u64::from_le_bytes(*digest.as_bytes().first_chunk().expect("a digest has 32 bytes"))
}

/// Request of a new owner to the former owner to transfer a bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Team of the bucket.
    pub team: Name,
    /// New owner.
    pub to: Name,
    /// Session of the new owner, so that a claim from before a restart has no effect after it.
    pub session: u64,
    /// Epoch of the view of the new owner.
    pub epoch: u64,
}

/// State of a bucket that a former owner transfers to its successor. The former owner makes no more
/// grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The claim that this answers.
    pub claim: Claim,
    /// Level in 10^-9 tokens.
    pub level_nano: u64,
    /// Tokens granted that may still be used.
    pub outstanding: u32,
    /// Time after which the outstanding tokens have expired.
    pub valid_for: Duration,
}

/// Answer of [`OwnedBuckets::request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The answer of the bucket.
    Granted(Grant),
    /// This instance is not the owner in its view; contains the owner if there is one.
    NotOwner(Option<Name>),
    /// This instance is the owner but must not grant yet, since grants of a former owner may still
    /// be valid.
    Starting {
        /// Time after which to send the request again.
        retry_after: Duration,
    },
}

/// Buckets that this instance owns.
///
/// The caller must check its own membership lease before [`OwnedBuckets::request`]. An instance
/// that has seen each view since its start, or since a gap, can then rely on the following. Any
/// former owner in those views ranked higher than this instance, so it is missing in the newest
/// view. So its lease has expired, because the leader removes an instance only then, and its last
/// grants remain valid for [`MAX_VALIDITY`]. Earlier views are unknown, but one lease duration
/// after the first view of this instance no instance can hold a lease under them, and
/// [`MAX_VALIDITY`] later no grant is valid.
///
/// An instance that joins takes over teams from live owners and need not wait: once the former
/// owner knows the new view, it transfers its bucket ([`OwnedBuckets::claim`],
/// [`OwnedBuckets::release`], [`OwnedBuckets::accept`]). It does so once, to one session, and only
/// for [`MAX_VALIDITY`] after the view arrived. The view arrived there at most one lease duration
/// after it was made, and without a transfer the new owner starts one lease duration and
/// [`MAX_VALIDITY`] after that at the earliest. So a bucket cannot be transferred to an instance
/// that has already started another one.
#[derive(Debug)]
pub struct OwnedBuckets {
    instance: Name,
    session: u64,
    lease: Duration,
    min_validity: Duration,
    grants_made: u64,
    /// Before this time a former owner that this instance does not know may have valid grants.
    unknown_owners_until: Duration,
    views: VecDeque<(Duration, View)>,
    buckets: Vec<(Name, OwnerBucket)>,
    /// Buckets that belong to other instances since the newest view.
    released: Vec<(Name, OwnerBucket)>,
}

impl OwnedBuckets {
    /// Returns an empty set of buckets for `instance`. `session` must differ from that of any
    /// former process, `lease` is the duration of membership leases and `min_validity` the lower
    /// bound of the validity of grants.
    pub fn new(instance: Name, session: u64, lease: Duration, min_validity: Duration) -> Self {
        Self {
            instance,
            session,
            lease,
            min_validity,
            grants_made: 0,
            unknown_owners_until: Duration::MAX,
            views: VecDeque::new(),
            buckets: Vec::new(),
            released: Vec::new(),
        }
    }

    /// Applies a view that arrived at `now`. Older views are ignored.
    ///
    /// After a gap between epochs there may be owners that this instance does not know, so it waits
    /// as after a start.
    pub fn observe_view(&mut self, view: &View, now: Duration) {
        match self.views.back() {
            Some((_, last)) if last.epoch >= view.epoch => return,
            Some((_, last))
                if last.epoch + 1 == view.epoch && view.instances.contains(&self.instance) => {}
            _ => {
                self.views.clear();
                self.buckets.clear();
                self.unknown_owners_until = now + self.lease + MAX_VALIDITY;
            }
        }
        self.views.push_back((now, view.clone()));
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
            let (learned, _) = &self.views[0];
            self.unknown_owners_until =
                self.unknown_owners_until.max(*learned + self.lease + MAX_VALIDITY);
        }
        let instance = &self.instance;
        let is_mine = |team: &Name| owner_of(team, &view.instances) == Some(instance);
        self.released = self.buckets.extract_if(.., |(team, _)| !is_mine(team)).collect();
    }

    /// Returns a claim for the bucket of `team` and the instance to send it to, while this instance
    /// is the owner but must not grant yet.
    pub fn claim(&self, team: &Name, now: Duration) -> Option<(Name, Claim)> {
        let (_, view) = self.views.back()?;
        let started = self.buckets.binary_search_by(|(name, _)| name.cmp(team)).is_ok();
        if started || now >= self.earliest_grant(team) || self.owner(team) != Some(&self.instance) {
            return None;
        }
        let others: Vec<_> =
            view.instances.iter().filter(|i| **i != self.instance).cloned().collect();
        let former = owner_of(team, &others)?.clone();
        let (to, session, epoch) = (self.instance.clone(), self.session, view.epoch);
        Some((former, Claim { team: team.clone(), to, session, epoch }))
    }

    /// Transfers a bucket to its new owner, if this instance owned it until the newest view.
    pub fn release(&mut self, claim: &Claim, now: Duration) -> Option<Transfer> {
        let (learned, view) = self.views.back()?;
        if view.epoch != claim.epoch
            || now >= *learned + MAX_VALIDITY
            || owner_of(&claim.team, &view.instances) != Some(&claim.to)
        {
            return None;
        }
        let at = self.released.iter().position(|(team, _)| *team == claim.team)?;
        let (_, mut bucket) = self.released.swap_remove(at);
        bucket.is_idle(now);
        Some(Transfer {
            claim: claim.clone(),
            level_nano: bucket.level_nano(),
            outstanding: bucket.outstanding(),
            valid_for: bucket.last_expiry().unwrap_or(now).saturating_sub(now),
        })
    }

    /// Returns the owner of `team` in the newest view.
    pub fn owner(&self, team: &str) -> Option<&Name> {
        self.views.back().and_then(|(_, view)| owner_of(team, &view.instances))
    }

    /// Returns the time from which this instance may grant tokens of `team` without a transfer.
    pub fn earliest_grant(&self, team: &str) -> Duration {
        let owners = |i: usize| owner_of(team, &self.views[i].1.instances);
        let changed = (1..self.views.len()).rev().find(|i| owners(*i) != owners(*i - 1));
        changed.map_or(self.unknown_owners_until, |i| {
            self.unknown_owners_until.max(self.views[i].0 + MAX_VALIDITY)
        })
    }

    /// Takes over a bucket from its former owner. Returns false if the transfer is for another
    /// epoch or session, or if this instance has a bucket of the team already.
    pub fn accept(&mut self, transfer: &Transfer, limit: Limit, now: Duration) -> bool {
        let claim = &transfer.claim;
        let Some((_, view)) = self.views.back() else { return false };
        if (claim.epoch, claim.session, &claim.to) != (view.epoch, self.session, &self.instance)
            || owner_of(&claim.team, &view.instances) != Some(&self.instance)
        {
            return false;
        }
        let Err(at) = self.buckets.binary_search_by(|(name, _)| name.cmp(&claim.team)) else {
            return false;
        };
        let state = (transfer.level_nano, transfer.outstanding);
        let (min, valid_for) = (self.min_validity, transfer.valid_for);
        let bucket = OwnerBucket::from_transfer(limit, min, state, valid_for, now);
        self.buckets.insert(at, (claim.team.clone(), bucket));
        true
    }

    /// Answers a request for tokens of `team`. The caller must have checked its own lease at `now`.
    pub fn request(
        &mut self,
        team: &Name,
        limit: Limit,
        request: &TokenRequest,
        now: Duration,
    ) -> Answer {
        let owner = self.owner(team);
        if owner != Some(&self.instance) {
            return Answer::NotOwner(owner.cloned());
        }
        let at = match self.buckets.binary_search_by(|(name, _)| name.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                let start = self.earliest_grant(team);
                if now < start {
                    return Answer::Starting { retry_after: start - now };
                }
                let level = limit.accrued_nano(now - start) as f64 / super::NANO as f64;
                let bucket = OwnerBucket::new(limit, self.min_validity, level, now);
                self.buckets.insert(at, (team.clone(), bucket));
                at
            }
        };
        let bucket = &mut self.buckets[at].1;
        bucket.set_limit(limit, now);
        self.grants_made += 1;
        let id = GrantId { session: self.session, number: self.grants_made };
        Answer::Granted(bucket.request(id, request, now))
    }

    /// Drops the buckets that are full, since [`OwnedBuckets::request`] would create equal ones.
    pub fn prune(&mut self, now: Duration) {
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain_mut(|(team, bucket)| {
            !bucket.is_idle(now) || now < self.earliest_grant(team) + bucket.time_to_fill()
        });
        self.buckets = buckets;
    }
}
