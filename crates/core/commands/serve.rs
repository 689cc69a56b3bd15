//! Runs an instance, and creates data folders for control replicas.

use std::process::ExitCode;

use anyhow::{Context, Result};
use poplarspan_server::{Instance, InstanceConfig, Running, init_data_folder};
use tokio::signal::unix::{SignalKind, signal};

use crate::flags::{InitFlags, ServeFlags};

pub(crate) async fn run(flags: ServeFlags) -> Result<ExitCode> {
    let cfg = InstanceConfig {
        name: flags.name.into(),
        zone: flags.zone.into(),
        entry_address: flags.entry_address,
        peer_address: flags.peer_address,
        advertise_address: flags.advertise_address,
        probe_address: flags.probe_address,
        seeds: flags.seeds,
        replicas: flags.replicas,
        data_dir: flags.data_dir,
        tls: flags.tls.files(),
        limits: flags.limits.limits(),
        drain_grace: flags.drain_grace,
        drain_timeout: flags.drain_timeout,
    };
    let running = Instance::new(cfg)?.start().await?;
    run_until_signal(running).await
}

/// Waits for SIGTERM or SIGINT, then shuts the instance down. The exit code is a failure if
/// connections were still open after the drain timeout.
pub(crate) async fn run_until_signal(running: Running) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        e = running.failed() => return Err(e).context("the replicated log failed"),
    }
    let open_connections = running.shutdown().await?;
    Ok(if open_connections == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

pub(crate) async fn init(flags: InitFlags) -> Result<ExitCode> {
    init_data_folder(&flags.data_dir, flags.replica, &flags.voters).await?;
    println!("created data folder {} for replica {}", flags.data_dir.display(), flags.replica);
    Ok(ExitCode::SUCCESS)
}
