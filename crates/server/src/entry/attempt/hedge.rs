//! Hedged requests, for calls whose connection may be dead without an error.

use std::time::Duration;

use tokio::time::Instant;

use super::{Attempts, FullResponse, Placement, halfway};
use crate::entry::refusal::Refusal;

/// Minimum delay before the hedge is sent.
const MIN_HEDGE_DELAY: Duration = Duration::from_secs(2);
/// Time per token of a slow engine.
const SLOW_TOKEN_INTERVAL: Duration = Duration::from_millis(50);

impl Attempts<'_> {
    /// Sends the call and reads the complete response. `Ok(None)` means that the attempt has failed
    /// and the call may be retried.
    ///
    /// If an idempotent call has no complete response after a delay, its connection may be dead. It
    /// is then sent a second time over a new connection. The first complete response is returned
    /// and the other connection is closed.
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
                entry.pool.close_idle(address);
                Ok(Some(response))
            }
        }
    }

    /// Sends the hedge after a delay and returns its response. Never returns without a response.
    async fn hedge(&mut self) -> FullResponse {
        if self.call.idempotent {
            let tokens = u32::try_from(self.call.spec.max_output_tokens).unwrap_or(u32::MAX);
            let expected = MIN_HEDGE_DELAY + SLOW_TOKEN_INTERVAL.saturating_mul(tokens);
            // Leaves half of the remaining time for the hedge, however long the response is.
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
        // Pooled connections are as old as the one that may be dead.
        self.entry.pool.close_idle(placement.slot.endpoint.address);
        match self.send(placement).await? {
            Some(pending) => self.collect(pending).await,
            None => Ok(None),
        }
    }
}
