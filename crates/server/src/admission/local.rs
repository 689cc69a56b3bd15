//! Token buckets of this instance alone; the baseline for the fleet-wide rate.

use std::sync::{Arc, Mutex};

use futures::future::BoxFuture;
use poplarspan_objects::Name;
use poplarspan_proto::peer::{self, FailureCode};
use tokio::time::{Duration, Instant};

use super::{Admission, RateOwner};
use crate::{
    entry::{Code, Refusal},
    membership::Membership,
};

struct Bucket {
    team: Name,
    level: f64,
    filled: Instant,
}

/// Counts each team's calls at this instance only.
pub(crate) struct LocalAdmission {
    membership: Arc<Membership>,
    // Sorted by team.
    buckets: Mutex<Vec<Bucket>>,
}

impl LocalAdmission {
    pub(crate) fn new(membership: Arc<Membership>) -> Self {
        Self { membership, buckets: Mutex::default() }
    }

    /// Takes a token, which may be one that only comes into being after the returned wait.
    fn take(&self, team: &Name, deadline: Instant) -> Result<Duration, Refusal> {
        let objects = self.membership.load().objects.clone();
        let rate = objects.team(team).and_then(|t| objects.rate(&t.rate));
        let rate = rate.ok_or_else(|| Refusal::not_run(Code::Unauthorized, "unknown team"))?;
        let (per_second, burst) = (rate.rate.per_second(), f64::from(rate.burst));
        let now = Instant::now();
        let mut buckets = self.buckets.lock().expect("no panic while locked");
        let i = match buckets.binary_search_by(|b| b.team.cmp(team)) {
            Ok(i) => i,
            Err(i) => {
                let bucket = Bucket { team: team.clone(), level: burst, filled: now };
                buckets.insert(i, bucket);
                i
            }
        };
        let bucket = &mut buckets[i];
        let refill = (now - bucket.filled).as_secs_f64() * per_second;
        bucket.level = (bucket.level + refill).min(burst);
        bucket.filled = now;
        let wait = Duration::from_secs_f64(((1.0 - bucket.level) / per_second).max(0.0));
        if now + wait > deadline {
            return Err(
                Refusal::not_run(Code::RateLimited, "the team is above its rate").retry_after(wait)
            );
        }
        bucket.level -= 1.0;
        Ok(wait)
    }
}

impl RateOwner for LocalAdmission {
    fn request(&self, _: peer::RateRequest) -> Result<peer::RateGrant, peer::Failure> {
        Err(peer::Failure {
            code: FailureCode::Unavailable.into(),
            message: "this instance counts its own calls only".to_owned(),
            leader_address: String::new(),
        })
    }
}

impl Admission for LocalAdmission {
    fn admit<'a>(
        &'a self,
        team: &'a Name,
        deadline: Instant,
    ) -> BoxFuture<'a, Result<(), Refusal>> {
        Box::pin(async move {
            let wait = self.take(team, deadline)?;
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            Ok(())
        })
    }
}
