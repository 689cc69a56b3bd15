//! Queue of one group of endpoints at one instance.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use super::service::AttainedService;
use super::{Call, Entry, InFlightLimit, PendingCall, ProgramOrder, QueueFull, QueueId};
use crate::Name;

/// Tag units per token at weight 1; limits rounding in divisions by the weight to a thousandth of a
/// token.
const TAG_SCALE: u128 = 1_000_000;

/// Number of idle teams above which the queue drops those without state.
const MAX_IDLE_TEAMS: usize = 64;

/// Limits of a [`FairQueue`].
#[derive(Clone, Copy, Debug)]
pub struct QueueConfig {
    /// Maximum number of waiting calls of one team.
    pub max_per_team: usize,
    /// Maximum number of waiting calls.
    pub max_total: usize,
    /// Maximum wait of a call; its deadline may be earlier.
    pub max_wait: Duration,
    /// Maximum number of root programs whose attained service is kept.
    pub max_programs: usize,
    /// Time without calls after which a root program's attained service is dropped.
    pub program_ttl: Duration,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            max_per_team: 4096,
            max_total: 65_536,
            max_wait: Duration::from_secs(120),
            max_programs: 65_536,
            program_ttl: Duration::from_secs(3600),
        }
    }
}

/// Start-time fair queue between teams, with an ordering of programs within each team.
///
/// See the [module docs](super) for the algorithm and its bound.
pub struct FairQueue<T> {
    cfg: QueueConfig,
    order: Box<dyn ProgramOrder>,
    teams: Vec<(Name, Team<T>)>,
    /// Teams with waiting calls, by start tag.
    backlog: BTreeSet<(u128, Name)>,
    virtual_time: u128,
    max_finish: u128,
    calls_by_id: HashMap<QueueId, (Name, u64)>,
    expirations: BTreeSet<(Duration, QueueId)>,
    attained: AttainedService,
    next_id: u64,
}

struct Team<T> {
    weight: u32,
    start_tag: u128,
    calls: BTreeMap<(u64, QueueId), QueuedCall<T>>,
}

struct QueuedCall<T> {
    entry: Entry<T>,
    expires_at: Duration,
}

impl<T> FairQueue<T> {
    /// Returns an empty queue.
    pub fn new(cfg: QueueConfig, order: Box<dyn ProgramOrder>) -> Self {
        Self {
            cfg,
            order,
            teams: Vec::new(),
            backlog: BTreeSet::new(),
            virtual_time: 0,
            max_finish: 0,
            calls_by_id: HashMap::new(),
            expirations: BTreeSet::new(),
            attained: AttainedService::new(cfg.max_programs, cfg.program_ttl),
            next_id: 0,
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls_by_id.len()
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls_by_id.is_empty()
    }

    /// Returns the number of waiting calls of `team`.
    pub fn team_len(&self, team: &str) -> usize {
        self.find(team).map_or(0, |at| self.teams[at].1.calls.len())
    }

    /// Returns the service that the root of `program` has received, including its waiting calls, in
    /// tokens.
    pub fn attained(&self, team: &Name, program: &Name) -> u64 {
        self.attained.get(team, program)
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// Returns the call if its team or the whole queue has reached its limit of waiting calls.
    pub fn push(&mut self, call: Call<T>, now: Duration) -> Result<QueueId, QueueFull<T>> {
        if self.calls_by_id.len() >= self.cfg.max_total {
            return Err(QueueFull::Queue(call));
        }
        if self.team_len(&call.team) >= self.cfg.max_per_team {
            return Err(QueueFull::Team(call));
        }
        let id = QueueId(self.next_id);
        self.next_id += 1;
        self.insert(Entry { id, call, queued_at: now }, now);
        Ok(id)
    }

    /// Takes the next call if `limits` has room for it. Skips expired calls, which
    /// [`FairQueue::expire`] returns.
    pub fn pop(&mut self, limits: &mut dyn InFlightLimit, now: Duration) -> Option<Entry<T>> {
        self.pop_where(limits, now, |_| true)
    }

    /// Takes the next call of a team for which `eligible` returns true, if `limits` has room for
    /// it. The other teams are skipped and keep their start tags.
    pub fn pop_where(
        &mut self,
        limits: &mut dyn InFlightLimit,
        now: Duration,
        eligible: impl Fn(&Name) -> bool,
    ) -> Option<Entry<T>> {
        if !limits.has_room(now) {
            return None;
        }
        // At most one pass over the teams; a team whose calls have all expired is skipped too.
        let mut after = None;
        loop {
            let (tag, name) = match &after {
                None => self.backlog.first()?,
                Some(last) => self.backlog.range((Excluded(last), Unbounded)).next()?,
            }
            .clone();
            if !eligible(&name) {
                after = Some((tag, name));
                continue;
            }
            let at = self.find(&name).expect("a backlogged team is in the table");
            let calls = &self.teams[at].1.calls;
            let Some(key) = calls.iter().find(|(_, s)| s.expires_at > now).map(|(key, _)| *key)
            else {
                after = Some((tag, name));
                continue;
            };
            let entry = self.remove_call(at, key, true);
            limits.acquire(entry.call.cost);
            return Some(entry);
        }
    }

    /// Puts back a call that [`FairQueue::pop`] returned but that could not be dispatched, and
    /// refunds its team. The call goes before calls with an equal key.
    pub fn put_back(&mut self, entry: Entry<T>, limits: &mut dyn InFlightLimit, now: Duration) {
        limits.release(entry.call.cost);
        let (team, cost) = (entry.call.team.clone(), entry.call.cost);
        if let Some(program) = &entry.call.program {
            self.attained.subtract(&team, program, cost);
        }
        self.insert(entry, now);
        self.charge(&team, -i128::from(cost));
    }

    /// Removes a call, for example because its caller has disconnected.
    pub fn remove(&mut self, id: QueueId) -> Option<Entry<T>> {
        let (team, key) = self.calls_by_id.get(&id)?.clone();
        let at = self.find(&team)?;
        let entry = self.remove_call(at, (key, id), false);
        if let Some(program) = &entry.call.program {
            self.attained.subtract(&team, program, entry.call.cost);
        }
        Some(entry)
    }

    /// Removes and returns the calls whose deadline or maximum wait has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Entry<T>> {
        let mut expired = Vec::new();
        while let Some((at, id)) = self.expirations.first().copied().filter(|(at, _)| *at <= now) {
            match self.remove(id) {
                Some(entry) => expired.push(entry),
                None => {
                    self.expirations.remove(&(at, id));
                }
            }
        }
        expired
    }

    /// Returns when [`FairQueue::expire`] next has a call to remove.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.expirations.first().map(|(at, _)| *at)
    }

    /// Removes and returns the calls for which `matches` returns true, for example those of a
    /// revoked API key.
    pub fn remove_where(&mut self, mut matches: impl FnMut(&Call<T>) -> bool) -> Vec<Entry<T>> {
        let queued = self.teams.iter().flat_map(|(_, team)| team.calls.values());
        let ids: Vec<_> = queued.filter(|s| matches(&s.entry.call)).map(|s| s.entry.id).collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Corrects the charge for a call that was estimated at `estimated` and cost `actual` tokens.
    pub fn settle(
        &mut self,
        team: &Name,
        program: Option<&Name>,
        estimated: u64,
        actual: u64,
        now: Duration,
    ) {
        if let Some(program) = program {
            self.attained.subtract(team, program, estimated);
            self.attained.add(team, program, actual, now);
        }
        self.charge(team, i128::from(actual) - i128::from(estimated));
    }

    fn insert(&mut self, entry: Entry<T>, now: Duration) {
        let call = &entry.call;
        let attained = call.program.as_ref().map_or(0, |p| self.attained.get(&call.team, p));
        let key = self.order.key(&PendingCall {
            queued_at: entry.queued_at,
            deadline: call.deadline,
            cost: call.cost,
            attained,
        });
        if let Some(program) = &call.program {
            self.attained.add(&call.team, program, call.cost, now);
        }
        let expires_at = call.deadline.min(entry.queued_at + self.cfg.max_wait);
        let at = self.find_or_add(&call.team);
        let (name, team) = &mut self.teams[at];
        team.weight = call.weight.max(1);
        if team.calls.is_empty() {
            team.start_tag = team.start_tag.max(self.virtual_time);
            self.backlog.insert((team.start_tag, name.clone()));
        }
        self.calls_by_id.insert(entry.id, (name.clone(), key));
        self.expirations.insert((expires_at, entry.id));
        team.calls.insert((key, entry.id), QueuedCall { entry, expires_at });
    }

    /// Removes a call from its team, and charges the team for it if it is `served`.
    fn remove_call(&mut self, at: usize, key: (u64, QueueId), served: bool) -> Entry<T> {
        let (name, team) = &mut self.teams[at];
        let QueuedCall { entry, expires_at } =
            team.calls.remove(&key).expect("the call is in its team");
        self.calls_by_id.remove(&entry.id);
        self.expirations.remove(&(expires_at, entry.id));
        let old = team.start_tag;
        if served {
            // A team whose calls had all expired was skipped and may be behind.
            self.virtual_time = self.virtual_time.max(old);
            team.start_tag += u128::from(entry.call.cost) * TAG_SCALE / u128::from(team.weight);
            self.max_finish = self.max_finish.max(team.start_tag);
        }
        if served || team.calls.is_empty() {
            self.backlog.remove(&(old, name.clone()));
            if !team.calls.is_empty() {
                self.backlog.insert((team.start_tag, name.clone()));
            }
        }
        if self.backlog.is_empty() {
            self.virtual_time = self.max_finish.max(self.virtual_time);
        }
        entry
    }

    /// Moves a team's start tag by the cost of `tokens`, but not before the virtual time.
    fn charge(&mut self, name: &Name, tokens: i128) {
        let Some(at) = self.find(name) else { return };
        let team = &mut self.teams[at].1;
        let old = team.start_tag;
        let step = tokens.unsigned_abs() * TAG_SCALE / u128::from(team.weight);
        team.start_tag = if tokens < 0 { old.saturating_sub(step) } else { old + step };
        team.start_tag = team.start_tag.max(self.virtual_time);
        self.max_finish = self.max_finish.max(team.start_tag);
        if self.backlog.remove(&(old, name.clone())) {
            self.backlog.insert((team.start_tag, name.clone()));
        }
    }

    fn find(&self, team: &str) -> Option<usize> {
        self.teams.binary_search_by(|(name, _)| (**name).cmp(team)).ok()
    }

    fn find_or_add(&mut self, team: &Name) -> usize {
        if let Some(at) = self.find(team) {
            return at;
        }
        if self.teams.len() >= 2 * self.backlog.len() + MAX_IDLE_TEAMS {
            // Teams behind the virtual time would restart there anyway, so they have no state.
            let now = self.virtual_time;
            self.teams.retain(|(_, team)| !team.calls.is_empty() || team.start_tag > now);
        }
        let at = self.teams.partition_point(|(name, _)| name < team);
        let new = Team { weight: 1, start_tag: self.virtual_time, calls: BTreeMap::new() };
        self.teams.insert(at, (team.clone(), new));
        at
    }
}
