//! Runs a stand-in for an endpoint.

use std::{process::ExitCode, sync::Arc, time::SystemTime};

use anyhow::Result;
use poplarspan_standin::{
    ConfigError, Crashed, Engine, EngineConfig, Fencing, RampShape, Service, ServiceConfig,
    WeightStore,
};
use tokio::net::TcpListener;

use crate::flags::{
    EndpointFlags, EndpointKind, EngineFlags, FencingFlag, LifeFlags, ServiceFlags, ShapeFlag,
};

/// Exit status after a crash on request, apart from those of failures and usage errors.
const CRASH_STATUS: u8 = 70;
const USAGE_STATUS: u8 = 2;

/// `endpoint`
pub(crate) async fn run(flags: EndpointFlags) -> Result<ExitCode> {
    let first_run = flags.life.first_run.map_or_else(start_time, Ok)?;
    match flags.kind {
        EndpointKind::Engine => {
            let cfg = match flags.engine.config(&flags.life, first_run) {
                Ok(cfg) => cfg,
                Err(e) => return Ok(usage_error(&e)),
            };
            let engine = Arc::new(Engine::new(cfg));
            exit_status(engine.serve(listen(&flags).await?).await)
        }
        EndpointKind::Service => {
            let cfg = match flags.service.config(&flags.life, first_run) {
                Ok(cfg) => cfg,
                Err(e) => return Ok(usage_error(&e)),
            };
            let service = Arc::new(Service::new(cfg));
            exit_status(service.serve(listen(&flags).await?).await)
        }
    }
}

fn usage_error(error: &ConfigError) -> ExitCode {
    eprintln!("poplarspan: {error}");
    ExitCode::from(USAGE_STATUS)
}

/// A number of the first run that is higher than that of earlier processes.
fn start_time() -> Result<u64> {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(u64::try_from(time.as_millis())?)
}

async fn listen(flags: &EndpointFlags) -> Result<TcpListener> {
    let socket = TcpListener::bind(flags.address).await?;
    let address = socket.local_addr()?.to_string();
    log::info!(address = address.as_str(); "stand-in started");
    Ok(socket)
}

fn exit_status(served: Result<()>) -> Result<ExitCode> {
    match served {
        Err(e) if e.is::<Crashed>() => Ok(ExitCode::from(CRASH_STATUS)),
        served => served.map(|()| ExitCode::SUCCESS),
    }
}

impl ServiceFlags {
    fn config(&self, life: &LifeFlags, first_run: u64) -> Result<ServiceConfig, ConfigError> {
        let cfg = ServiceConfig::builder()
            .delay(self.delay)
            .load_lag(life.load_lag)
            .first_run(first_run)
            .restart_after(life.restart_after)
            .exit_on_crash(life.exit_on_crash);
        cfg.build()
    }
}

impl EngineFlags {
    fn config(&self, life: &LifeFlags, first_run: u64) -> Result<EngineConfig, ConfigError> {
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
                ShapeFlag::Step => RampShape::Step,
                ShapeFlag::Linear => RampShape::Linear,
            })
            .load_lag(life.load_lag)
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
            .restart_after(life.restart_after)
            .exit_on_crash(life.exit_on_crash);
        cfg.build()
    }
}
