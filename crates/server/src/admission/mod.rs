//! Holds each team to its rate and burst over the whole fleet.

mod fleet;
mod wire;

use futures::future::BoxFuture;
use poplarspan_objects::Name;
use poplarspan_proto::peer;
use tokio::time::Instant;

use crate::entry::Refusal;

pub(crate) use fleet::FleetAdmission;

/// Answers other instances that ask for tokens of teams that this instance owns.
pub(crate) trait RateOwner: Send + Sync {
    /// Grants tokens, or says when to ask again.
    fn request(&self, request: peer::RateRequest) -> Result<peer::RateAnswer, peer::Failure>;
}

/// Lets a call in once its team has a token for it.
pub(crate) trait Admission: Send + Sync {
    /// Waits for a token, at most until `deadline`.
    ///
    /// Refuses at once when no token can be had in time, and says when to come back.
    fn admit<'a>(&'a self, team: &'a Name, deadline: Instant)
    -> BoxFuture<'a, Result<(), Refusal>>;
}
