//! Loaded models, and the store that their weights are loaded from.

use std::{sync::Arc, sync::Mutex, time::Duration};

use serde::Serialize;
use tokio::time::Instant;

use crate::config::{EngineConfig, ModelVersion};

/// Upper bound of the duration of one load, whatever its size and the rate.
const MAX_LOAD_SECONDS: f64 = 1e9;

/// A weight store with a limited rate, which engines may share. Loads run one after another.
#[derive(Debug)]
pub struct WeightStore {
    bytes_per_second: u64,
    available_at: Mutex<Option<Instant>>,
}

impl WeightStore {
    /// Creates a store with a rate in bytes per second. A rate of 0 counts as 1.
    pub fn new(bytes_per_second: u64) -> Self {
        Self { bytes_per_second: bytes_per_second.max(1), available_at: Mutex::new(None) }
    }

    /// Queues a load of `bytes` and returns the time at which it is complete.
    fn reserve(&self, bytes: u64, now: Instant) -> Instant {
        let time = bytes as f64 / self.bytes_per_second as f64;
        let time = Duration::from_secs_f64(time.min(MAX_LOAD_SECONDS));
        let mut available_at = self.available_at.lock().expect("mutex is poisoned");
        let done = available_at.map_or(now, |at| at.max(now)) + time;
        *available_at = Some(done);
        done
    }
}

#[derive(Debug)]
struct Model {
    id: ModelVersion,
    loaded_at: Instant,
}

/// State of a model as `GET /models` reports it.
#[derive(Debug, Serialize)]
pub(super) struct ModelState {
    model: Arc<str>,
    version: Arc<str>,
    state: &'static str,
}

/// Models of one run.
#[derive(Debug)]
pub(super) struct Models {
    /// Whether a model that is not listed is served in the default version.
    serves_any: bool,
    /// Sorted by name, with one version of each model.
    models: Vec<Model>,
    weight_bytes: u64,
    store: Arc<WeightStore>,
}

impl Models {
    pub(super) fn new(cfg: &EngineConfig, now: Instant) -> Self {
        let mut models: Vec<Model> =
            cfg.models.iter().map(|m| Model { id: m.clone(), loaded_at: now }).collect();
        models.sort_by(|a, b| a.id.cmp(&b.id));
        models.dedup_by(|a, b| a.id.model == b.id.model);
        Self {
            serves_any: cfg.models.is_empty(),
            models,
            weight_bytes: cfg.weight_bytes,
            store: cfg.weight_store.clone(),
        }
    }

    /// Returns the version in which a model is served, or `None` if it is not loaded.
    pub(super) fn version(&self, model: &str, now: Instant) -> Option<Arc<str>> {
        match self.find(model) {
            Ok(i) if self.models[i].loaded_at <= now => Some(self.models[i].id.version.clone()),
            Err(_) if self.serves_any => Some(EngineConfig::default_version()),
            _ => None,
        }
    }

    /// Starts to load a model, unless this version is loaded or loading. Replaces any other version
    /// of the model, which is not served from then on.
    pub(super) fn load(&mut self, id: ModelVersion, now: Instant) -> ModelState {
        let found = self.find(&id.model);
        if let Ok(i) = found
            && self.models[i].id == id
        {
            return self.models[i].state(now);
        }
        let loaded_at = self.store.reserve(self.weight_bytes, now);
        let model = Model { id, loaded_at };
        let state = model.state(now);
        match found {
            Ok(i) => self.models[i] = model,
            Err(i) => self.models.insert(i, model),
        }
        state
    }

    /// Unloads a model. An engine that served every model serves only loaded ones from then on.
    pub(super) fn unload(&mut self, model: &str) {
        self.serves_any = false;
        self.models.retain(|m| *m.id.model != *model);
    }

    pub(super) fn states(&self, now: Instant) -> Vec<ModelState> {
        self.models.iter().map(|m| m.state(now)).collect()
    }

    fn find(&self, model: &str) -> Result<usize, usize> {
        self.models.binary_search_by(|m| (*m.id.model).cmp(model))
    }
}

impl Model {
    fn state(&self, now: Instant) -> ModelState {
        ModelState {
            model: self.id.model.clone(),
            version: self.id.version.clone(),
            state: if self.loaded_at <= now { "loaded" } else { "loading" },
        }
    }
}
