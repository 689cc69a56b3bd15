//! Choice of the owner of a team's bucket and change of owner.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Ask, Grant, GrantId, Limit, MAX_VALIDITY, OwnerBucket};
use crate::Name;

/// Views remembered; older changes count as settled.
const MAX_VIEWS: usize = 64;

/// Membership view of an epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Epoch; increases by one with each change.
    pub epoch: u64,
    /// Live instances.
    pub instances: Vec<Name>,
}

/// Returns the owner of `team`'s bucket among `instances`, by rendezvous hashing with BLAKE3.
///
/// A change of the view moves only the teams whose owner left, or that a new instance takes over.
pub fn owner_of<'a>(team: &str, instances: &'a [Name]) -> Option<&'a Name> {
    instances.iter().max_by_key(|instance| (rendezvous(team, instance), *instance))
}

/// Rendezvous weight of `member` for `key`.
pub(crate) fn rendezvous(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(member.as_bytes());
    let digest = hasher.finalize();
    u64::from_le_bytes(*digest.as_bytes().first_chunk().expect("a digest has 32 bytes"))
}

/// State of a bucket that a former owner hands to its successor, after which it grants no more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Team of the bucket.
    pub team: Name,
    /// Former owner.
    pub from: Name,
    /// New owner.
    pub to: Name,
    /// Epoch that made `to` the owner.
    pub epoch: u64,
    /// Level in 10^-9 tokens.
    pub level_nano: u64,
    /// Tokens granted that may still be used.
    pub outstanding: u32,
    /// Time after which none of them is valid.
    pub valid_for: Duration,
}

/// Answer of [`Owners::request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The bucket's answer.
    Granted(Grant),
    /// This instance is not the owner in its view; the owner is given when one is known.
    NotOwner(Option<Name>),
    /// This instance is the owner, but grants of a former owner may still be valid.
    Starting {
        /// When to ask again.
        retry_after: Duration,
    },
}

/// Buckets that this instance owns.
///
/// The caller must check its own membership lease before [`Owners::request`]; then a successor may
/// rely on these facts. A former owner that is missing in a view has no lease, because the leader
/// removes an instance only after its lease has expired. A former owner that is still in the view
/// has heard of it, or has no lease, one lease duration after any instance heard of it. After
/// either point the last grants remain valid for at most [`MAX_VALIDITY`]. A [`Transfer`] from the
/// former owner ends the wait early.
#[derive(Debug)]
pub struct Owners {
    me: Name,
    session: u64,
    lease: Duration,
    min_validity: Duration,
    grants: u64,
    /// Before this time a team may have had an owner that this instance does not know.
    settled: Duration,
    views: VecDeque<(Duration, View)>,
    buckets: Vec<(Name, OwnerBucket)>,
}

impl Owners {
    /// Returns the buckets of instance `me`; `session` must differ from that of any former process
    /// and `lease` is the duration of membership leases.
    pub fn new(me: Name, session: u64, lease: Duration, min_validity: Duration) -> Self {
        Self {
            me,
            session,
            lease,
            min_validity,
            grants: 0,
            settled: Duration::MAX,
            views: VecDeque::new(),
            buckets: Vec::new(),
        }
    }

    /// Takes note of a view that arrived at `now`. Returns the buckets that are now another's.
    ///
    /// A gap between epochs hides owners from this instance, so it waits as after a start.
    pub fn observe(&mut self, view: &View, now: Duration) -> Vec<Transfer> {
        match self.views.back() {
            Some((_, last)) if last.epoch >= view.epoch => return Vec::new(),
            Some((_, last)) if last.epoch + 1 == view.epoch => {}
            _ => {
                self.views.clear();
                self.buckets.clear();
                self.settled = now + self.lease + MAX_VALIDITY;
            }
        }
        self.views.push_back((now, view.clone()));
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
            let (learned, _) = &self.views[0];
            self.settled = self.settled.max(*learned + self.lease + MAX_VALIDITY);
        }
        self.relinquish(view, now)
    }

    fn relinquish(&mut self, view: &View, now: Duration) -> Vec<Transfer> {
        let mut transfers = Vec::new();
        let me = &self.me;
        self.buckets.retain_mut(|(team, bucket)| {
            let Some(to) = owner_of(team, &view.instances).filter(|to| *to != me) else {
                return true;
            };
            bucket.is_idle(now);
            transfers.push(Transfer {
                team: team.clone(),
                from: me.clone(),
                to: to.clone(),
                epoch: view.epoch,
                level_nano: bucket.level_nano(),
                outstanding: bucket.outstanding(),
                valid_for: bucket.last_expiry().unwrap_or(now).saturating_sub(now),
            });
            false
        });
        transfers
    }

    /// Owner of `team` in the newest view.
    pub fn owner(&self, team: &str) -> Option<&Name> {
        self.views.back().and_then(|(_, view)| owner_of(team, &view.instances))
    }

    /// When this instance may start to grant tokens of `team` without a transfer.
    pub fn start(&self, team: &str) -> Duration {
        self.start_after(team, self.views.len())
    }

    /// As [`Owners::start`], over the oldest `count` views only.
    fn start_after(&self, team: &str, count: usize) -> Duration {
        let mut start = self.settled;
        for i in 1..count {
            let (_, old) = &self.views[i - 1];
            let (learned, new) = &self.views[i];
            let former = owner_of(team, &old.instances);
            if former == owner_of(team, &new.instances) {
                continue;
            }
            let alive = former.is_some_and(|name| new.instances.contains(name));
            let lease = if alive { self.lease } else { Duration::ZERO };
            start = start.max(*learned + lease + MAX_VALIDITY);
        }
        start
    }

    /// Takes over a bucket from its former owner. Returns whether the transfer was accepted.
    ///
    /// It is refused when it belongs to another epoch, when the bucket has already been started, or
    /// when an owner before the sender may still have valid grants.
    pub fn accept(&mut self, transfer: &Transfer, limit: Limit, now: Duration) -> bool {
        let count = self.views.len();
        let Some((_, view)) = self.views.back() else { return false };
        if count < 2 || view.epoch != transfer.epoch || transfer.to != self.me {
            return false;
        }
        let former = owner_of(&transfer.team, &self.views[count - 2].1.instances);
        let is_owner = owner_of(&transfer.team, &view.instances) == Some(&self.me);
        if former != Some(&transfer.from) || !is_owner {
            return false;
        }
        if now < self.start_after(&transfer.team, count - 1) {
            return false;
        }
        match self.buckets.binary_search_by(|(name, _)| name.cmp(&transfer.team)) {
            Ok(_) => false,
            Err(at) => {
                let state = (transfer.level_nano, transfer.outstanding);
                let (min, valid_for) = (self.min_validity, transfer.valid_for);
                let bucket = OwnerBucket::resumed(limit, min, state, valid_for, now);
                self.buckets.insert(at, (transfer.team.clone(), bucket));
                true
            }
        }
    }

    /// Answers a request for tokens of `team`. The caller has checked its own lease at `now`.
    pub fn request(&mut self, team: &Name, limit: Limit, ask: &Ask, now: Duration) -> Answer {
        let owner = self.owner(team);
        if owner != Some(&self.me) {
            return Answer::NotOwner(owner.cloned());
        }
        let at = match self.buckets.binary_search_by(|(name, _)| name.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                let start = self.start(team);
                if now < start {
                    return Answer::Starting { retry_after: start - now };
                }
                let level = (now - start).as_secs_f64() * limit.per_second();
                let bucket = OwnerBucket::new(limit, self.min_validity, level, now);
                self.buckets.insert(at, (team.clone(), bucket));
                at
            }
        };
        let bucket = &mut self.buckets[at].1;
        bucket.set_limit(limit, now);
        self.grants += 1;
        let id = GrantId { session: self.session, number: self.grants };
        Answer::Granted(bucket.request(id, ask, now))
    }

    /// Drops the buckets for which [`Owners::request`] would make an equal one: those that are full.
    pub fn prune(&mut self, now: Duration) {
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain_mut(|(team, bucket)| {
            !bucket.is_idle(now) || now < self.start(team) + bucket.time_to_fill()
        });
        self.buckets = buckets;
    }
}
