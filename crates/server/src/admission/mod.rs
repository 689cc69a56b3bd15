//! Fleet-wide rate limits of teams.

mod fleet;
mod wire;

use futures::future::BoxFuture;
use poplarspan_objects::Name;
use poplarspan_proto::peer;
use tokio::time::Instant;

use crate::entry::Refusal;

pub(crate) use fleet::FleetAdmission;

/// Handles requests of other instances for tokens from rate buckets that this instance owns.
pub(crate) trait RateOwner: Send + Sync {
    /// Grants tokens, or returns when to ask again.
    fn request(&self, request: peer::RateRequest) -> Result<peer::RateAnswer, peer::Failure>;
}

/// Admits calls under the rate limit of their team.
pub(crate) trait Admission: Send + Sync {
    /// Waits for a token, at most until `deadline`.
    ///
    /// Refuses the call immediately if no token becomes available in time. The refusal states when
    /// to retry.
    fn admit<'a>(&'a self, team: &'a Name, deadline: Instant)
    -> BoxFuture<'a, Result<(), Refusal>>;
}
