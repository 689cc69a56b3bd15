//! Sends items to the store groups in batches.

use std::time::Duration;

use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

/// Collects items for each group and sends them in batches. Each group has at most one batch in
/// flight, so that a group without a leader does not delay the others.
pub(super) struct GroupBatches<T> {
    rx: mpsc::Receiver<(u32, T)>,
    /// Maximum number of items that wait outside of the queue.
    max_pending: usize,
    interval: Duration,
    max_batch: usize,
}

impl<T> GroupBatches<T> {
    pub(super) fn new(
        rx: mpsc::Receiver<(u32, T)>,
        max_pending: usize,
        interval: Duration,
        max_batch: usize,
    ) -> Self {
        Self { rx, max_pending, interval, max_batch }
    }

    /// Sends batches until the queue is closed or the task is cancelled.
    pub(super) async fn run<F: Future<Output = ()>>(mut self, send: impl Fn(u32, Vec<T>) -> F) {
        // Sorted by group.
        let mut pending: Vec<(u32, Vec<T>)> = Vec::new();
        let mut busy: Vec<u32> = Vec::new();
        let mut calls = FuturesUnordered::new();
        let mut ticks = interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let count: usize = pending.iter().map(|(_, items)| items.len()).sum();
            tokio::select! {
                item = self.rx.recv(), if count < self.max_pending => {
                    let Some((group, item)) = item else { return };
                    match pending.binary_search_by_key(&group, |(g, _)| *g) {
                        Ok(at) => pending[at].1.push(item),
                        Err(at) => pending.insert(at, (group, vec![item])),
                    }
                }
                Some(group) = calls.next() => busy.retain(|g| *g != group),
                _ = ticks.tick(), if !pending.is_empty() => {
                    for (group, items) in &mut pending {
                        if !busy.contains(group) {
                            busy.push(*group);
                            let batch = items.drain(..items.len().min(self.max_batch)).collect();
                            let group = *group;
                            calls.push(send(group, batch).map(move |()| group));
                        }
                    }
                    pending.retain(|(_, items)| !items.is_empty());
                }
            }
        }
    }
}
