//! Runs the long-lived tasks of an instance and restarts the ones that fail.

use std::{future::Future, time::Duration};

use tokio::{task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// A child that ran for longer than this restarts with the initial backoff.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(30);

/// A group of supervised tasks.
///
/// Dropping it ends the supervision only: running tasks continue, are not restarted when they fail,
/// and no longer react to the token.
pub struct Supervisor {
    children: JoinSet<()>,
    stop: CancellationToken,
}

impl Supervisor {
    /// Creates a supervisor whose children are aborted when `stop` is cancelled.
    pub fn new(stop: CancellationToken) -> Self {
        Self { children: JoinSet::new(), stop }
    }

    /// Starts a child named `name` in logs and metrics.
    ///
    /// `run` is called again, after a backoff, each time its future fails or panics. The child ends
    /// when the future returns `Ok`.
    pub fn start<F, Fut>(&mut self, name: &'static str, mut run: F)
    where
        F: FnMut() -> Fut + Send + 'static,
        Fut: Future<Output = anyhow::Result<()>> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.children.spawn(async move {
            let mut backoff = INITIAL_BACKOFF;
            loop {
                let started = Instant::now();
                let mut child = tokio::spawn(run());
                let outcome = tokio::select! {
                    outcome = &mut child => outcome,
                    () = stop.cancelled() => {
                        child.abort();
                        return;
                    }
                };
                let error = match outcome {
                    Ok(Ok(())) => return,
                    Ok(Err(e)) => format!("{e:#}"),
                    Err(e) => e.to_string(),
                };
                if started.elapsed() > BACKOFF_RESET_AFTER {
                    backoff = INITIAL_BACKOFF;
                }
                log::error!(task = name, error = error.as_str(); "task failed; restarting it");
                metrics::counter!("poplarspan_task_restarts_total", "task" => name).increment(1);
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        });
    }

    /// Waits until all children have ended.
    pub async fn join(mut self) {
        while self.children.join_next().await.is_some() {}
    }
}
