//! A second attempt beside the first, for calls whose connection may have gone silent.

use std::time::Duration;

use tokio::time::Instant;

use super::{Attempts, FullResponse, Placement, halfway};
use crate::entry::refusal::Refusal;

/// Least time before a call is sent a second time beside the first one.
const MIN_HEDGE_DELAY: Duration = Duration::from_secs(2);
/// Time that a slow engine takes for a token.
const SLOW_TOKEN_INTERVAL: Duration = Duration::from_millis(50);

impl Attempts<'_> {
    /// Sends the call and reads its answer whole. `Ok(None)` means that it may be tried elsewhere.
    ///
    /// A call that stays without a whole answer for so long that its connection may have gone
    /// silent is sent once more over a new connection; the first whole answer wins, and the other
    /// connection is closed.
    pub(crate) async fn exchange(
        &mut self,
        placement: Placement,
    ) -> Result<Option<FullResponse>, Refusal> {
        let (entry, address) = (self.entry, placement.slot.endpoint.address);
        let mut hedge = Self {
            entry: self.entry,
            call: self.call,
            tried: self.tried.clone(),
            failures: self.failures,
            ran: self.ran,
            last_cause: String::new(),
            claim: self.claim.clone(),
        };
        let second = hedge.hedge();
        tokio::pin!(second);
        let first = async {
            match self.send(placement).await? {
                Some(pending) => self.collect(pending).await,
                None => Ok(None),
            }
        };
        tokio::pin!(first);
        tokio::select! {
            response = &mut first => response,
            response = &mut second => {
                metrics::counter!("poplarspan_hedges_won_total").increment(1);
                entry.pool.discard(address);
                Ok(Some(response))
            }
        }
    }

    /// The answer of a second attempt beside the first; never returns without one.
    async fn hedge(&mut self) -> FullResponse {
        if self.call.idempotent {
            let tokens = u32::try_from(self.call.spec.max_output_tokens).unwrap_or(u32::MAX);
            let expected = MIN_HEDGE_DELAY + SLOW_TOKEN_INTERVAL.saturating_mul(tokens);
            // Half of the time is left for the second attempt, however long the answer may be.
            let at = halfway(self.call.deadline).min(Instant::now() + expected);
            tokio::time::sleep_until(at).await;
            if self.take_retry()
                && let Ok(placement) = self.acquire().await
                && let Ok(Some(response)) = self.send_hedge(placement).await
            {
                return response;
            }
        }
        std::future::pending().await
    }

    async fn send_hedge(&mut self, placement: Placement) -> Result<Option<FullResponse>, Refusal> {
        if let Some(mut claim) = self.claim.clone() {
            self.entry.record_dispatch(&mut claim, &placement.slot).await?;
        }
        // The connections in the pool are as old as the one that may have gone silent.
        self.entry.pool.discard(placement.slot.endpoint.address);
        match self.send(placement).await? {
            Some(pending) => self.collect(pending).await,
            None => Ok(None),
        }
    }
}
