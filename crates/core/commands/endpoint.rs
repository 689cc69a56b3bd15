//! Runs a mock endpoint.

use std::{process::ExitCode, sync::Arc, time::SystemTime};

use anyhow::Result;
use poplarspan_standin::{
    ConfigError, Crashed, Engine, EngineConfig, Fencing, RampShape, Service, ServiceConfig,
    WeightStore,
};
use tokio::net::TcpListener;

use crate::flags::{
    EndpointFlags, EndpointKind, EngineFlags, FencingFlag, MockFlags, RampShapeFlag, ServiceFlags,
};

/// Exit code after a simulated crash. Differs from the codes of failures (1) and usage errors (2).
const CRASH_EXIT_CODE: u8 = 70;
const USAGE_EXIT_CODE: u8 = 2;

pub(crate) async fn run(flags: EndpointFlags) -> Result<ExitCode> {
    let first_run = flags.mock.first_run.map_or_else(default_first_run, Ok)?;
    match flags.kind {
        EndpointKind::Engine => {
            let cfg = match flags.engine.config(&flags.mock, first_run) {
                Ok(cfg) => cfg,
                Err(e) => return Ok(usage_error(&e)),
            };
            let engine = Arc::new(Engine::new(cfg));
            exit_code(engine.serve(listen(&flags).await?).await)
        }
        EndpointKind::Service => {
            let cfg = match flags.service.config(&flags.mock, first_run) {
                Ok(cfg) => cfg,
                Err(e) => return Ok(usage_error(&e)),
            };
            let service = Arc::new(Service::new(cfg));
            exit_code(service.serve(listen(&flags).await?).await)
        }
    }
}

fn usage_error(error: &ConfigError) -> ExitCode {
    eprintln!("poplarspan: {error}");
    ExitCode::from(USAGE_EXIT_CODE)
}

/// Returns the Unix time in milliseconds, so that run numbers increase from process to process.
fn default_first_run() -> Result<u64> {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(u64::try_from(time.as_millis())?)
}

async fn listen(flags: &EndpointFlags) -> Result<TcpListener> {
    let listener = TcpListener::bind(flags.address).await?;
    let address = listener.local_addr()?.to_string();
    log::info!(address = address.as_str(); "mock endpoint started");
    Ok(listener)
}

fn exit_code(served: Result<()>) -> Result<ExitCode> {
    match served {
        Err(e) if e.is::<Crashed>() => Ok(ExitCode::from(CRASH_EXIT_CODE)),
        served => served.map(|()| ExitCode::SUCCESS),
    }
}

impl ServiceFlags {
    fn config(&self, mock: &MockFlags, first_run: u64) -> Result<ServiceConfig, ConfigError> {
        let cfg = ServiceConfig::builder()
            .delay(self.delay)
            .load_lag(mock.load_lag)
            .first_run(first_run)
            .restart_after(mock.restart_after)
            .exit_on_crash(mock.exit_on_crash);
        cfg.build()
    }
}

impl EngineFlags {
    fn config(&self, mock: &MockFlags, first_run: u64) -> Result<EngineConfig, ConfigError> {
        let cfg = EngineConfig::builder()
            .capacity(self.capacity)
            .max_queue(self.max_queue)
            .retry_after(self.retry_after)
            .token_interval(self.token_interval)
            .token_interval_per_call(self.token_interval_per_call)
            .prefill_per_token(self.prefill_per_token)
            .default_tokens(self.default_tokens)
            .cache_blocks(self.cache_blocks)
            .cold_capacity(self.cold_capacity)
            .cold_crash_above(self.cold_crash_above)
            .cold_slowdown(self.cold_slowdown)
            .ramp(self.ramp)
            .ramp_shape(match self.ramp_shape {
                RampShapeFlag::Step => RampShape::Step,
                RampShapeFlag::Linear => RampShape::Linear,
            })
            .load_lag(mock.load_lag)
            .event_delay(self.event_delay)
            .event_gap_rate(self.event_gap_rate)
            .fencing(match self.fencing {
                FencingFlag::Check => Fencing::Check,
                FencingFlag::Ignore => Fencing::Ignore,
            })
            .models(self.models.clone())
            .weight_bytes(self.weight_bytes)
            .weight_store(Arc::new(WeightStore::new(self.weight_rate)))
            .seed(self.seed)
            .first_run(first_run)
            .restart_after(mock.restart_after)
            .exit_on_crash(mock.exit_on_crash);
        cfg.build()
    }
}
