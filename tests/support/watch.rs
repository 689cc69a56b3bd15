//! Checks that no instance returns to an older generation.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{task::JoinHandle, time::sleep};

use super::{Fleet, generation_of};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls the generation in force at each instance until it is stopped.
pub struct GenerationMonitor {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<u64>>,
}

impl GenerationMonitor {
    pub fn start(fleet: &Fleet) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let (client, stopped) = (fleet.client.clone(), stop.clone());
        let members: Vec<_> =
            fleet.members.iter().map(|m| (m.probe, m.replica.is_some())).collect();
        let task = tokio::spawn(async move {
            let mut highest = vec![0; members.len()];
            while !stopped.load(Ordering::Relaxed) {
                for (i, (probe, is_replica)) in members.iter().enumerate() {
                    let Some(generation) = generation_of(&client, *probe).await else { continue };
                    // An instance without a data folder starts without objects.
                    let not_loaded = generation == 0 && !is_replica;
                    assert!(
                        not_loaded || generation >= highest[i],
                        "instance {i} returned from generation {} to {generation}",
                        highest[i]
                    );
                    highest[i] = highest[i].max(generation);
                }
                sleep(POLL_INTERVAL).await;
            }
            highest
        });
        Self { stop, task }
    }

    /// Stops and returns the highest generation seen at each instance.
    pub async fn stop(self) -> Vec<u64> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("monitor failed")
    }
}
