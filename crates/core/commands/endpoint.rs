//! Runs a stand-in for an endpoint.

use std::{process::ExitCode, sync::Arc};

use anyhow::Result;
use poplarspan_standin::{Engine, EngineConfig, Service};
use tokio::net::TcpListener;

use crate::flags::{EndpointFlags, EndpointKind};

/// `endpoint`
pub(crate) async fn run(flags: EndpointFlags) -> Result<ExitCode> {
    let socket = TcpListener::bind(flags.address).await?;
    let address = socket.local_addr()?.to_string();
    log::info!(address = address.as_str(); "stand-in started");
    match flags.kind {
        EndpointKind::Engine => {
            Arc::new(Engine::new(EngineConfig::default())).serve(socket).await?;
        }
        EndpointKind::Service => Arc::new(Service::default()).serve(socket).await?,
    }
    Ok(ExitCode::SUCCESS)
}
