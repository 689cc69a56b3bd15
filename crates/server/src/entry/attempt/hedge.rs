//! A second attempt beside the first, for calls whose connection may have gone silent.

use std::time::Duration;

use tokio::time::Instant;

use super::{Answer, Attempts, Place, halfway};
use crate::entry::refusal::Refusal;

/// Least time before a call is sent a second time beside the first one.
const HEDGE_AFTER: Duration = Duration::from_secs(2);
/// Time that a slow engine takes for a token.
const SLOW_TOKEN: Duration = Duration::from_millis(50);

impl Attempts<'_> {
    /// Sends the call and reads its answer whole. `Ok(None)` means that it may be tried elsewhere.
    ///
    /// A call that stays without a whole answer for so long that its connection may have gone
    /// silent is sent once more over a new connection; the first whole answer wins, and the other
    /// connection is closed.
    pub(crate) async fn exchange(&mut self, place: Place) -> Result<Option<Answer>, Refusal> {
        let (entry, address) = (self.entry, place.slot.endpoint.address);
        let mut hedge = Self {
            entry: self.entry,
            call: self.call,
            tried: self.tried.clone(),
            sent: self.sent,
            ran: self.ran,
            last_cause: String::new(),
            claim: self.claim.clone(),
        };
        let second = hedge.hedge();
        tokio::pin!(second);
        let first = async {
            match self.send(place).await? {
                Some(begun) => self.collect(begun).await,
                None => Ok(None),
            }
        };
        tokio::pin!(first);
        tokio::select! {
            answer = &mut first => answer,
            answer = &mut second => {
                metrics::counter!("poplarspan_hedges_won_total").increment(1);
                entry.pool.discard(address);
                Ok(Some(answer))
            }
        }
    }

    /// The answer of a second attempt beside the first; never returns without one.
    async fn hedge(&mut self) -> Answer {
        if self.call.idempotent {
            let tokens = u32::try_from(self.call.spec.max_output_tokens).unwrap_or(u32::MAX);
            let expected = HEDGE_AFTER + SLOW_TOKEN.saturating_mul(tokens);
            // Half of the time is left for the second attempt, however long the answer may be.
            let at = halfway(self.call.deadline).min(Instant::now() + expected);
            tokio::time::sleep_until(at).await;
            if self.take_retry()
                && let Ok(place) = self.place().await
                && let Ok(Some(answer)) = self.send_hedge(place).await
            {
                return answer;
            }
        }
        std::future::pending().await
    }

    async fn send_hedge(&mut self, place: Place) -> Result<Option<Answer>, Refusal> {
        if let Some(mut claim) = self.claim.clone() {
            self.entry.name_endpoint(&mut claim, &place.slot).await?;
        }
        // The connections in the pool are as old as the one that may have gone silent.
        self.entry.pool.discard(place.slot.endpoint.address);
        match self.send(place).await? {
            Some(begun) => self.collect(begun).await,
            None => Ok(None),
        }
    }
}
