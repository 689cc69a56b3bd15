//! Runs the long-lived tasks of an instance and restarts those that fail.

use std::{future::Future, time::Duration};

use tokio::{task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// A child that ran this long starts again without backoff.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(30);

/// A group of supervised tasks. Dropping it ends them all.
pub struct Supervisor {
    children: JoinSet<()>,
    stop: CancellationToken,
}

impl Supervisor {
    /// Creates a supervisor whose children end when `stop` is cancelled.
    pub fn new(stop: CancellationToken) -> Self {
        Self { children: JoinSet::new(), stop }
    }

    /// Starts a child. `run` is called again, after a backoff, each time its future fails or panics.
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

    /// Waits until every child has ended.
    pub async fn join(mut self) {
        while self.children.join_next().await.is_some() {}
    }
}
