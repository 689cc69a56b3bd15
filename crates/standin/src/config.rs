//! Validated settings of the mock endpoints.

use std::{fmt, str::FromStr, sync::Arc, time::Duration};

use crate::engine::WeightStore;

/// Version assumed when a model is given without one.
const DEFAULT_VERSION: &str = "1";
/// Rate of the default weight store, in bytes per second.
const DEFAULT_WEIGHT_RATE: u64 = 1 << 30;

/// A setting that is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// Whether an engine checks the fencing numbers of orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fencing {
    /// Rejects an order whose number is below the highest one seen for the same subject.
    #[default]
    Check,
    /// Executes every order.
    Ignore,
}

/// How the number of concurrent calls that a cold engine sustains grows during the ramp.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RampShape {
    /// `cold_capacity` for the whole ramp, then `capacity`.
    #[default]
    Step,
    /// Grows linearly from `cold_capacity` to `capacity`.
    Linear,
}

/// A model and its version, written `model@version`.
///
/// Parses `model` alone as version 1 of that model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelVersion {
    /// Name of the model. Not empty.
    pub model: Arc<str>,
    /// Version of the model. Not empty.
    pub version: Arc<str>,
}

impl FromStr for ModelVersion {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, ConfigError> {
        let (model, version) = text.split_once('@').unwrap_or((text, DEFAULT_VERSION));
        if model.is_empty() || version.is_empty() {
            return Err(ConfigError(format!("expected model@version, not {text:?}")));
        }
        Ok(Self { model: model.into(), version: version.into() })
    }
}

impl fmt::Display for ModelVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

/// Settings that engines and services share.
#[derive(Clone, Debug)]
pub(crate) struct LifecycleConfig {
    pub(crate) first_run: u64,
    pub(crate) restart_after: Duration,
    pub(crate) exit_on_crash: bool,
    pub(crate) load_lag: Duration,
}

impl Default for LifecycleConfig {
    fn default() -> Self {
        Self {
            first_run: 1,
            restart_after: Duration::from_secs(1),
            exit_on_crash: false,
            load_lag: Duration::ZERO,
        }
    }
}

/// Settings of an engine. Use [`EngineConfig::builder`] to change the defaults.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    pub(crate) lifecycle: LifecycleConfig,
    pub(crate) capacity: u32,
    pub(crate) max_queue: u32,
    pub(crate) retry_after: Duration,
    pub(crate) token_interval: Duration,
    pub(crate) token_interval_per_call: Duration,
    pub(crate) prefill_per_token: Duration,
    pub(crate) default_tokens: u64,
    pub(crate) cache_blocks: u32,
    pub(crate) cold_capacity: Option<u32>,
    pub(crate) cold_crash_above: Option<u32>,
    pub(crate) cold_slowdown: f64,
    pub(crate) ramp: Duration,
    pub(crate) ramp_shape: RampShape,
    pub(crate) event_delay: Duration,
    pub(crate) event_gap_rate: f64,
    pub(crate) fencing: Fencing,
    pub(crate) models: Vec<ModelVersion>,
    pub(crate) weight_bytes: u64,
    pub(crate) weight_store: Arc<WeightStore>,
    pub(crate) seed: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            lifecycle: LifecycleConfig::default(),
            capacity: 8,
            max_queue: 64,
            retry_after: Duration::from_secs(1),
            token_interval: Duration::from_millis(5),
            token_interval_per_call: Duration::from_micros(200),
            prefill_per_token: Duration::from_micros(20),
            default_tokens: 16,
            cache_blocks: 4096,
            cold_capacity: None,
            cold_crash_above: None,
            cold_slowdown: 4.0,
            ramp: Duration::ZERO,
            ramp_shape: RampShape::Step,
            event_delay: Duration::ZERO,
            event_gap_rate: 0.0,
            fencing: Fencing::Check,
            models: Vec::new(),
            weight_bytes: 1 << 30,
            weight_store: Arc::new(WeightStore::new(DEFAULT_WEIGHT_RATE)),
            seed: 0,
        }
    }
}

impl EngineConfig {
    /// Returns a builder with the defaults.
    pub fn builder() -> EngineConfigBuilder {
        EngineConfigBuilder::default()
    }

    /// Returns the number of concurrent calls that the engine sustains at the start of its ramp.
    pub(crate) fn cold_capacity(&self) -> u32 {
        self.cold_capacity.unwrap_or(self.capacity)
    }

    /// Returns the version of the models of an engine that serves every model.
    pub(crate) fn default_version() -> Arc<str> {
        DEFAULT_VERSION.into()
    }

    fn validate(&self) -> Result<(), ConfigError> {
        let rules = [
            (self.capacity >= 1, "the capacity must be at least 1"),
            (
                (1..=self.capacity).contains(&self.cold_capacity()),
                "the cold capacity must be between 1 and the capacity",
            ),
            (
                self.cold_crash_above.is_none_or(|n| n >= self.cold_capacity()),
                "the crash threshold must be at least the cold capacity",
            ),
            (
                self.cold_slowdown >= 1.0 && self.cold_slowdown.is_finite(),
                "the cold slowdown must be a finite number of at least 1",
            ),
            (
                (0.0..=1.0).contains(&self.event_gap_rate),
                "the event gap rate must be between 0 and 1",
            ),
            (self.cache_blocks >= 1, "the cache must hold at least one block"),
        ];
        match rules.into_iter().find(|(valid, _)| !valid) {
            Some((_, message)) => Err(ConfigError(message.to_owned())),
            None => Ok(()),
        }
    }
}

/// Settings of a plain service. Use [`ServiceConfig::builder`] to change the defaults.
#[derive(Clone, Debug, Default)]
pub struct ServiceConfig {
    pub(crate) lifecycle: LifecycleConfig,
    pub(crate) delay: Duration,
}

impl ServiceConfig {
    /// Returns a builder with the defaults.
    pub fn builder() -> ServiceConfigBuilder {
        ServiceConfigBuilder::default()
    }
}

/// Builder of a validated [`EngineConfig`].
#[derive(Clone, Debug, Default)]
pub struct EngineConfigBuilder {
    cfg: EngineConfig,
}

/// Builder of a validated [`ServiceConfig`].
#[derive(Clone, Debug, Default)]
pub struct ServiceConfigBuilder {
    cfg: ServiceConfig,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty => $($field:ident).+;)*) => {
        $(
            $(#[$doc])*
            #[must_use]
            pub fn $name(mut self, $name: $type) -> Self {
                self.cfg.$($field).+ = $name;
                self
            }
        )*
    };
}

impl EngineConfigBuilder {
    setters! {
        /// Sets the number of calls that run concurrently, at least 1.
        capacity: u32 => capacity;
        /// Sets the queue length. Calls beyond it are answered with status 503.
        max_queue: u32 => max_queue;
        /// Sets the `Retry-After` header of a 503 for a full queue, rounded up to whole seconds.
        retry_after: Duration => retry_after;
        /// Sets the time per generated token of a call that runs alone.
        token_interval: Duration => token_interval;
        /// Sets the time that each further running call adds to every token.
        token_interval_per_call: Duration => token_interval_per_call;
        /// Sets the prefill time of each prompt token that is not cached.
        prefill_per_token: Duration => prefill_per_token;
        /// Sets the number of generated tokens when a request has no `max_tokens`.
        default_tokens: u64 => default_tokens;
        /// Sets the size of the prefix cache in blocks of [`BLOCK_BYTES`](crate::BLOCK_BYTES), at
        /// least 1.
        cache_blocks: u32 => cache_blocks;
        /// Sets the number of concurrent calls that a cold engine sustains, from 1 to the capacity.
        /// Defaults to the capacity.
        cold_capacity: Option<u32> => cold_capacity;
        /// Sets the number of concurrent calls above which a cold engine crashes, at least the cold
        /// capacity. By default it does not crash under load.
        cold_crash_above: Option<u32> => cold_crash_above;
        /// Sets the factor by which a cold engine slows down while it has more calls than it
        /// sustains, at least 1.
        cold_slowdown: f64 => cold_slowdown;
        /// Sets how long the engine stays cold after the start of a run.
        ramp: Duration => ramp;
        /// Sets how the number of concurrent calls that a cold engine sustains grows.
        ramp_shape: RampShape => ramp_shape;
        /// Sets the age of the load that `GET /load` reports.
        load_lag: Duration => lifecycle.load_lag;
        /// Sets the delay before a cache event is published.
        event_delay: Duration => event_delay;
        /// Sets the probability that a cache event is lost, from 0 to 1.
        event_gap_rate: f64 => event_gap_rate;
        /// Sets whether the fencing numbers of orders are checked.
        fencing: Fencing => fencing;
        /// Sets the models that are loaded at the start of a run. An empty list serves every model.
        models: Vec<ModelVersion> => models;
        /// Sets the size of a model's weights, in bytes.
        weight_bytes: u64 => weight_bytes;
        /// Sets the weight store, which engines of one process may share.
        weight_store: Arc<WeightStore> => weight_store;
        /// Sets the seed that selects the lost cache events. Each run adds its number.
        seed: u64 => seed;
        /// Sets the number of the first run.
        first_run: u64 => lifecycle.first_run;
        /// Sets how long connections are refused between a crash and the next run.
        restart_after: Duration => lifecycle.restart_after;
        /// Sets whether `serve` returns an error after a crash instead of beginning the next run.
        exit_on_crash: bool => lifecycle.exit_on_crash;
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Fails when a setting is out of range.
    pub fn build(self) -> Result<EngineConfig, ConfigError> {
        self.cfg.validate()?;
        Ok(self.cfg)
    }
}

impl ServiceConfigBuilder {
    setters! {
        /// Sets the duration of an execution.
        delay: Duration => delay;
        /// Sets the age of the load that `GET /load` reports.
        load_lag: Duration => lifecycle.load_lag;
        /// Sets the number of the first run.
        first_run: u64 => lifecycle.first_run;
        /// Sets how long connections are refused between a crash and the next run.
        restart_after: Duration => lifecycle.restart_after;
        /// Sets whether `serve` returns an error after a crash instead of beginning the next run.
        exit_on_crash: bool => lifecycle.exit_on_crash;
    }

    /// Returns the settings.
    ///
    /// # Errors
    ///
    /// Never fails at present, as every value of each setting is in range.
    pub fn build(self) -> Result<ServiceConfig, ConfigError> {
        Ok(self.cfg)
    }
}
