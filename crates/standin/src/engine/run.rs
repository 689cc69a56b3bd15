//! State of an engine during one run.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::time::Instant;

use super::{
    batch::{Admitted, Batch, CallSpec, Rejected},
    cache::{Cache, CacheChange},
    events::{EventKind, EventLog},
    models::Models,
    orders::FencingNumbers,
    transfer::Exports,
};
use crate::{
    config::EngineConfig,
    lifecycle::Run,
    load::{Load, LoadHistory},
};

/// State of one run, behind the lock of [`EngineRun`].
#[derive(Debug)]
pub(super) struct State {
    pub(super) batch: Batch,
    pub(super) cache: Cache,
    pub(super) events: EventLog,
    pub(super) load_history: LoadHistory,
    pub(super) fencing_numbers: FencingNumbers,
    pub(super) models: Models,
    pub(super) exports: Exports,
    pub(super) role: Option<Arc<str>>,
}

/// One run of an engine. A call keeps a reference to its run until it ends, even if the next run
/// has begun.
#[derive(Debug)]
pub(super) struct EngineRun {
    pub(super) number: u64,
    state: Mutex<State>,
}

impl EngineRun {
    pub(super) fn new(cfg: &EngineConfig, run: &Run) -> Self {
        let state = State {
            batch: Batch::new(cfg.clone(), run.started),
            cache: Cache::new(cfg.cache_blocks),
            events: EventLog::new(
                cfg.event_gap_rate,
                cfg.seed.wrapping_add(run.number),
                run.started,
            ),
            load_history: LoadHistory::new(run.started, cfg.lifecycle.load_lag),
            fencing_numbers: FencingNumbers::default(),
            models: Models::new(cfg, run.started),
            exports: Exports::default(),
            role: None,
        };
        Self { number: run.number, state: Mutex::new(state) }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("mutex is poisoned")
    }
}

impl State {
    pub(super) fn admit(&mut self, spec: CallSpec, now: Instant) -> Result<Admitted, Rejected> {
        let admitted = self.batch.admit(spec, now)?;
        self.record_load(now);
        Ok(admitted)
    }

    pub(super) fn remove_call(&mut self, id: u64, now: Instant) {
        self.batch.remove(id);
        self.record_load(now);
    }

    /// Stores the blocks of a prompt and logs the changes of the cache as events.
    pub(super) fn store(&mut self, chain: &[u64], program: Option<&Arc<str>>, now: Instant) {
        let CacheChange { stored, removed } = self.cache.store(chain, program);
        self.events.push(EventKind::Removed, removed, now);
        self.events.push(EventKind::Stored, stored, now);
        self.record_load(now);
    }

    /// Returns the programs that have calls, or stored a prompt and were not released since. Sorted
    /// by name.
    pub(super) fn held_programs(&self) -> Vec<Arc<str>> {
        let mut held: Vec<_> =
            self.cache.programs().chain(self.batch.programs()).cloned().collect();
        held.sort();
        held.dedup();
        held
    }

    /// Cancels the calls of a program and its descendants, and drops their cache holds and exports.
    /// With a claim, the program continues: only calls of that claim, or without a claim, are
    /// cancelled.
    pub(super) fn release(&mut self, program: &str, claim: Option<u64>) {
        let matches = |name: &str| {
            name.strip_prefix(program).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.batch.release(matches, claim);
        if claim.is_none() {
            self.cache.release(matches);
            self.exports.release(matches);
        }
    }

    fn record_load(&mut self, now: Instant) {
        let load = Load {
            running: self.batch.running(),
            queued: self.batch.queued(),
            cache_blocks: u32::try_from(self.cache.len()).unwrap_or(u32::MAX),
        };
        self.load_history.record(now, load);
    }
}
