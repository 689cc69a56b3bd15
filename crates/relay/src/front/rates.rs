//! Admits calls of teams within the team's rate over the whole fleet.
//!
//! Most calls are admitted from the front's own share. A call for which the share has no token
//! borrows one from the leader's reserve.

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
use tokio::time::sleep;

use super::refusal::Refusal;
use crate::{Settings, Team, fleet::Fleet};

const BORROW_TIMEOUT: Duration = Duration::from_millis(300);
/// A call within its team's rate waits this long for a token rather than being refused.
const PATIENCE: Duration = Duration::from_millis(60);
/// Tries to borrow a token while no leader answers.
const MAX_TRIES: u32 = 4;
const RETRY: Duration = Duration::from_millis(100);
/// When a call that was refused for want of a leader may come back.
const COME_BACK: Duration = Duration::from_millis(300);
/// Demand below which a team is forgotten, in calls a second.
const FORGET_BELOW: f64 = 0.01;

struct TeamState {
    name: Name,
    bucket: Bucket,
    demand: Demand,
}

/// The front's shares.
pub(crate) struct Rates {
    settings: Arc<Settings>,
    fleet: Arc<Fleet>,
    client: PeerClient,
    clock: Arc<dyn Clock>,
    // Sorted by team.
    teams: Mutex<Vec<TeamState>>,
}

impl Rates {
    pub(crate) fn new(
        settings: Arc<Settings>,
        fleet: Arc<Fleet>,
        client: PeerClient,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        Arc::new(Self { settings, fleet, client, clock, teams: Mutex::default() })
    }

    /// Admits a call, or refuses it.
    pub(crate) async fn admit(&self, team: &Team) -> Result<(), Refusal> {
        if team.limit.is_none() {
            return Ok(());
        }
        if self.take(&team.name).is_ok() {
            return Ok(());
        }
        self.borrow(&team.name).await
    }

    /// Takes a token of the own share.
    fn take(&self, team: &Name) -> Result<(), Option<Duration>> {
        let now = self.clock.now();
        let mut teams = self.teams.lock().expect("no panic while locked");
        let at = match teams.binary_search_by(|t| t.name.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                let bucket = Bucket::new(Share::default(), now);
                let state = TeamState { name: team.clone(), bucket, demand: Demand::default() };
                teams.insert(at, state);
                at
            }
        };
        teams[at].demand.arrive();
        teams[at].bucket.take(now)
    }

    async fn borrow(&self, team: &Name) -> Result<(), Refusal> {
        let mut waited = Duration::ZERO;
        for _ in 0..MAX_TRIES {
            match self.ask(team).await {
                Some(peer::Borrowed { granted: true, .. }) => return Ok(()),
                Some(peer::Borrowed { retry_after_ms, .. }) => {
                    let after = Duration::from_millis(retry_after_ms.max(1));
                    if waited + after > PATIENCE {
                        let message = "the team's rate is used up";
                        let refusal =
                            Refusal::new(StatusCode::TOO_MANY_REQUESTS, "over_rate", message);
                        return Err(Refusal { come_back: Some(after), ..refusal });
                    }
                    waited += after;
                    sleep(after).await;
                }
                None => sleep(RETRY).await,
            }
        }
        Err(Refusal::not_now("rate_unknown", "nobody can tell what is left of the rate", COME_BACK))
    }

    /// Asks the leader for a token. None when it does not answer.
    async fn ask(&self, team: &Name) -> Option<peer::Borrowed> {
        metrics::counter!("poplarspan_relay_borrows_total").increment(1);
        let leader = self.fleet.leader()?;
        let borrow =
            peer::Borrow { instance: self.settings.instance.to_string(), team: team.to_string() };
        match self.client.call(leader, request::Body::Borrow(borrow), BORROW_TIMEOUT).await {
            Ok(response::Body::Borrowed(borrowed)) => Some(borrowed),
            Ok(_) | Err(_) => None,
        }
    }

    /// What teams ask of this front, and the shares in force.
    pub(crate) fn demand(&self) -> Vec<peer::TeamDemand> {
        let now = self.clock.now();
        let mut teams = self.teams.lock().expect("no panic while locked");
        let mut demand = Vec::with_capacity(teams.len());
        teams.retain_mut(|team| {
            let per_second = team.demand.read(now);
            let share = team.bucket.share();
            demand.push(peer::TeamDemand {
                team: team.name.to_string(),
                per_second: per_second as f32,
                share_per_second: share.per_second as f32,
                share_burst: share.burst as f32,
            });
            per_second >= FORGET_BELOW || share.per_second > 0.0 || share.burst > 0.0
        });
        demand
    }

    /// Takes note of new shares.
    pub(crate) fn set_shares(&self, shares: &[peer::TeamShare]) {
        let now = self.clock.now();
        let mut teams = self.teams.lock().expect("no panic while locked");
        for share in shares {
            if let Ok(at) = teams.binary_search_by(|t| (*t.name).cmp(&share.team)) {
                let share = Share {
                    per_second: f64::from(share.per_second),
                    burst: f64::from(share.burst),
                };
                teams[at].bucket.set(share, now);
            }
        }
    }
}
