//! Enforces the rate limits of teams across the fleet.
//!
//! Most calls are admitted from the front's own share of the rate. A call that finds no token there
//! borrows one from the leader's reserve, and waits for it if its program is active. While a team
//! is near its limit, the leader decides which programs may begin, and calls of other new programs
//! are refused immediately.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use http::StatusCode;
use poplarspan_agreement::Clock;
use poplarspan_node::PeerClient;
use poplarspan_policy::{
    Name,
    quota::{Bucket, Demand, Share},
};
use poplarspan_proto::peer::{self, request, response};
use tokio::time::{Instant, sleep};

use super::refusal::Refusal;
use crate::{Settings, Team, fleet_client::FleetClient};

const BORROW_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time that a call without a program waits for a token.
const TOKEN_WAIT: Duration = Duration::from_millis(60);
/// Fraction of its remaining time that a call of a program waits for a token.
const PROGRAM_WAIT_FRACTION: f64 = 0.5;
/// Maximum time that a call waits for a leader that knows the remaining rate: the length of an
/// election plus a heartbeat.
const LEADER_WAIT: Duration = Duration::from_millis(1_500);
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// A program without calls for this long is no longer active.
const PROGRAM_IDLE: Duration = Duration::from_millis(1_500);
/// How long an admitted program is remembered after its last call.
const PROGRAM_TTL: Duration = Duration::from_secs(20);
/// How long a new program is reported in heartbeats, so that the loss of some of them does no harm.
const REPORT_TIME: Duration = Duration::from_secs(1);
const MAX_PROGRAMS: usize = 4_096;
/// When to retry a call that was refused because no leader answered.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Demand in calls per second below which a team's state is dropped.
const MIN_DEMAND_PER_SECOND: f64 = 0.01;

struct TeamState {
    name: Name,
    bucket: Bucket,
    demand: Demand,
    /// Whether the leader decides which programs may begin.
    is_near_limit: bool,
    /// Admitted programs, sorted by name.
    programs: Vec<AdmittedProgram>,
}

/// A program that was admitted at this front.
struct AdmittedProgram {
    program: Name,
    first: Duration,
    last: Duration,
}

/// A rate token that a call has taken.
pub(crate) enum Token {
    /// The team has no rate limit.
    Free,
    /// Taken from the front's own share.
    Own(Name),
    /// Borrowed from the leader's reserve.
    Borrowed(Name),
}

impl TeamState {
    fn new(name: &Name, now: Duration) -> Self {
        Self {
            name: name.clone(),
            bucket: Bucket::new(Share::default(), now),
            demand: Demand::default(),
            is_near_limit: false,
            programs: Vec::new(),
        }
    }

    /// Records a call of an admitted program.
    fn note(&mut self, program: &Name, now: Duration) {
        match self.programs.binary_search_by(|p| p.program.cmp(program)) {
            Ok(at) => self.programs[at].last = now,
            Err(at) => {
                if self.programs.len() >= MAX_PROGRAMS {
                    self.programs.retain(|p| now < p.last + PROGRAM_IDLE);
                    return;
                }
                let admitted = AdmittedProgram { program: program.clone(), first: now, last: now };
                self.programs.insert(at, admitted);
            }
        }
    }

    fn knows(&self, program: &Name) -> bool {
        self.programs.binary_search_by(|p| p.program.cmp(program)).is_ok()
    }

    fn active_programs(&self, now: Duration) -> u32 {
        self.programs.iter().filter(|p| now < p.last + PROGRAM_IDLE).count() as u32
    }

    /// Digests of the programs that were recently seen here for the first time.
    fn recent_programs(&self, now: Duration) -> Vec<u64> {
        let recent = self.programs.iter().filter(|p| now < p.first + REPORT_TIME);
        recent.map(|p| digest(&p.program)).collect()
    }
}

/// Rate limiter of a front.
pub(crate) struct Rates {
    settings: Arc<Settings>,
    fleet: Arc<FleetClient>,
    client: PeerClient,
    clock: Arc<dyn Clock>,
    // Sorted by team.
    teams: Mutex<Vec<TeamState>>,
}

impl Rates {
    pub(crate) fn new(
        settings: Arc<Settings>,
        fleet: Arc<FleetClient>,
        client: PeerClient,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new(Self { settings, fleet, client, clock, teams: Mutex::default() })
    }

    /// Takes a token for a call, or refuses the call.
    pub(crate) async fn admit(
        &self,
        team: &Team,
        program: Option<&Name>,
        deadline: Instant,
    ) -> Result<Token, Refusal> {
        if team.limit.is_none() {
            return Ok(Token::Free);
        }
        let new_program =
            program.filter(|program| self.needs_leader_admission(&team.name, program));
        if let Some(program) = new_program {
            self.begin(&team.name, program, deadline).await?;
        }
        if self.take(&team.name, program).is_ok() {
            return Ok(Token::Own(team.name.clone()));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let patience = match program {
            Some(_) => left.mul_f64(PROGRAM_WAIT_FRACTION),
            None => TOKEN_WAIT,
        };
        self.borrow(&team.name, program, patience, deadline).await?;
        Ok(Token::Borrowed(team.name.clone()))
    }

    /// Returns the token of a call that will not run.
    pub(crate) fn give_back(self: &Arc<Self>, token: Token) {
        let (Token::Own(name) | Token::Borrowed(name)) = &token else { return };
        {
            let mut teams = self.teams.lock().expect("no panic while locked");
            let Ok(at) = teams.binary_search_by(|t| t.name.cmp(name)) else { return };
            teams[at].demand.cancel_arrival();
            if matches!(token, Token::Own(_)) {
                teams[at].bucket.return_token(self.clock.now());
            }
        }
        match token {
            Token::Free | Token::Own(_) => {}
            Token::Borrowed(name) => {
                let rates = self.clone();
                // If this call fails, the team lacks the token until its rate has refilled it.
                tokio::spawn(async move {
                    rates.ask_leader_once(&name, None, BorrowKind::Return).await
                });
            }
        }
    }

    /// Whether the call begins a program while its team is near its limit.
    fn needs_leader_admission(&self, team: &Name, program: &Name) -> bool {
        let teams = self.teams.lock().expect("no panic while locked");
        let Ok(at) = teams.binary_search_by(|t| t.name.cmp(team)) else { return false };
        teams[at].is_near_limit && !teams[at].knows(program)
    }

    /// Asks the leader whether a program may begin.
    async fn begin(&self, team: &Name, program: &Name, deadline: Instant) -> Result<(), Refusal> {
        match self.ask_leader(team, Some(program), BorrowKind::Begin, deadline).await {
            Some(peer::Borrowed { granted: true, .. }) => Ok(()),
            Some(peer::Borrowed { retry_after_ms, .. }) => {
                let message = "the programs under way use up the team's rate";
                Err(over_rate(message, Duration::from_millis(retry_after_ms)))
            }
            None => Err(rate_unknown()),
        }
    }

    /// Takes a token from the front's own share.
    fn take(&self, team: &Name, program: Option<&Name>) -> Result<(), Option<Duration>> {
        let now = self.clock.now();
        let mut teams = self.teams.lock().expect("no panic while locked");
        let at = match teams.binary_search_by(|t| t.name.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                teams.insert(at, TeamState::new(team, now));
                at
            }
        };
        let team = &mut teams[at];
        team.demand.record_arrival();
        if let Some(program) = program {
            team.note(program, now);
        }
        team.bucket.take(now)
    }

    /// Borrows a token, waiting up to `patience` for it.
    async fn borrow(
        &self,
        team: &Name,
        program: Option<&Name>,
        patience: Duration,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let until = Instant::now() + patience;
        loop {
            match self.ask_leader(team, program, BorrowKind::Token, deadline).await {
                Some(peer::Borrowed { granted: true, .. }) => return Ok(()),
                Some(peer::Borrowed { retry_after_ms, .. }) => {
                    let after = Duration::from_millis(retry_after_ms.max(1));
                    if Instant::now() + after > until {
                        return Err(over_rate("the team's rate is used up", after));
                    }
                    sleep(after).await;
                }
                None => return Err(rate_unknown()),
            }
        }
    }

    /// Asks the current leader, retrying until one answers. Returns `None` if none does in time.
    async fn ask_leader(
        &self,
        team: &Name,
        program: Option<&Name>,
        what: BorrowKind,
        deadline: Instant,
    ) -> Option<peer::Borrowed> {
        let until = deadline.min(Instant::now() + LEADER_WAIT);
        loop {
            if let Some(borrowed) = self.ask_leader_once(team, program, what).await {
                return Some(borrowed);
            }
            if Instant::now() + RETRY_PAUSE > until {
                return None;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Asks the leader once. Returns `None` if it does not answer.
    async fn ask_leader_once(
        &self,
        team: &Name,
        program: Option<&Name>,
        what: BorrowKind,
    ) -> Option<peer::Borrowed> {
        metrics::counter!("poplarspan_relay_borrows_total").increment(1);
        let leader = self.fleet.leader()?;
        let borrow = peer::Borrow {
            instance: self.settings.instance.to_string(),
            team: team.to_string(),
            begins: what == BorrowKind::Begin,
            program: program.map_or(0, digest),
            returns: what == BorrowKind::Return,
        };
        match self.client.call(leader, request::Body::Borrow(borrow), BORROW_TIMEOUT).await {
            Ok(response::Body::Borrowed(borrowed)) => Some(borrowed),
            Ok(_) | Err(_) => None,
        }
    }

    /// Demand of the teams at this front, and the shares in force.
    pub(crate) fn demand(&self) -> Vec<peer::TeamDemand> {
        let now = self.clock.now();
        let mut teams = self.teams.lock().expect("no panic while locked");
        let mut demand = Vec::with_capacity(teams.len());
        teams.retain_mut(|team| {
            let per_second = team.demand.update(now);
            let share = team.bucket.share();
            demand.push(peer::TeamDemand {
                team: team.name.to_string(),
                per_second: per_second as f32,
                share_per_second: share.per_second as f32,
                share_burst: share.burst as f32,
                programs: team.active_programs(now),
                begun: team.recent_programs(now),
            });
            team.programs.retain(|p| now < p.last + PROGRAM_TTL);
            per_second >= MIN_DEMAND_PER_SECOND || share.per_second > 0.0 || share.burst > 0.0
        });
        demand
    }

    /// Applies new shares.
    pub(crate) fn set_shares(&self, shares: &[peer::TeamShare]) {
        let now = self.clock.now();
        let mut teams = self.teams.lock().expect("no panic while locked");
        for share in shares {
            if let Ok(at) = teams.binary_search_by(|t| (*t.name).cmp(&share.team)) {
                teams[at].is_near_limit = share.crowded;
                let share = Share {
                    per_second: f64::from(share.per_second),
                    burst: f64::from(share.burst),
                };
                teams[at].bucket.set_share(share, now);
            }
        }
    }
}

/// What a front asks the leader for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BorrowKind {
    /// Borrow one token.
    Token,
    /// Return one token.
    Return,
    /// Admit a new program.
    Begin,
}

/// Identifies a program in messages between instances; never 0.
fn digest(program: &Name) -> u64 {
    let digest = blake3::hash(program.as_bytes());
    u64::from_le_bytes(*digest.as_bytes().first_chunk().expect("32 bytes")) | 1
}

fn over_rate(message: &'static str, retry_after: Duration) -> Refusal {
    let refusal = Refusal::new(StatusCode::TOO_MANY_REQUESTS, "over_rate", message);
    Refusal { retry_after: Some(retry_after), ..refusal }
}

fn rate_unknown() -> Refusal {
    Refusal::retry_later("rate_unknown", "nobody can tell what is left of the rate", RETRY_AFTER)
}
