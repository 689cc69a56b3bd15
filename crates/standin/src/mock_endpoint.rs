//! Stand-ins that a test starts, stops and restarts inside its own process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use anyhow::{Context, Result};
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    config::{EngineConfig, ServiceConfig},
    engine::Engine,
    lifecycle::Counters,
    server::{self, Handler},
    service::Service,
};

/// Settings of either kind.
#[derive(Clone, Debug)]
pub enum MockEndpointConfig {
    /// A model engine.
    Engine(EngineConfig),
    /// A plain service.
    Service(ServiceConfig),
}

impl From<EngineConfig> for MockEndpointConfig {
    fn from(cfg: EngineConfig) -> Self {
        Self::Engine(cfg)
    }
}

impl From<ServiceConfig> for MockEndpointConfig {
    fn from(cfg: ServiceConfig) -> Self {
        Self::Service(cfg)
    }
}

#[derive(Clone, Debug)]
enum Inner {
    Engine(Arc<Engine>),
    Service(Arc<Service>),
}

/// A stand-in that serves in the background until it is stopped or dropped.
#[derive(Debug)]
pub struct MockEndpoint {
    address: SocketAddr,
    inner: Inner,
    stop: CancellationToken,
    task: Option<JoinHandle<Result<()>>>,
}

impl MockEndpoint {
    /// Starts a stand-in on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Fails when no port is free.
    pub async fn start(cfg: impl Into<MockEndpointConfig>) -> Result<Self> {
        let inner = match cfg.into() {
            MockEndpointConfig::Engine(cfg) => Inner::Engine(Arc::new(Engine::new(cfg))),
            MockEndpointConfig::Service(cfg) => Inner::Service(Arc::new(Service::new(cfg))),
        };
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = socket.local_addr()?;
        let mut endpoint = Self { address, inner, stop: CancellationToken::new(), task: None };
        endpoint.serve(socket);
        Ok(endpoint)
    }

    /// Address that it serves at, the same after a restart.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The engine, if it is one.
    pub fn engine(&self) -> Option<&Arc<Engine>> {
        match &self.inner {
            Inner::Engine(engine) => Some(engine),
            Inner::Service(_) => None,
        }
    }

    /// The service, if it is one.
    pub fn service(&self) -> Option<&Arc<Service>> {
        match &self.inner {
            Inner::Engine(_) => None,
            Inner::Service(service) => Some(service),
        }
    }

    /// What it has counted over all runs.
    pub fn counters(&self) -> Counters {
        match &self.inner {
            Inner::Engine(engine) => engine.counters(),
            Inner::Service(service) => service.counters(),
        }
    }

    /// Makes all open connections stop responding, without closing them. New ones work.
    pub fn stall(&self) {
        match &self.inner {
            Inner::Engine(engine) => engine.lifecycle().stall(),
            Inner::Service(service) => service.lifecycle().stall(),
        }
    }

    /// Closes all connections without an answer and refuses new ones from now on.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in had failed before.
    pub async fn stop(&mut self) -> Result<()> {
        self.stop.cancel();
        match self.task.take() {
            Some(task) => task.await.context("the stand-in panicked")?,
            None => Ok(()),
        }
    }

    /// Stops, if it is not stopped yet, and begins the next run at the same address.
    ///
    /// # Errors
    ///
    /// Fails when the address has been taken by another process.
    pub async fn restart(&mut self) -> Result<()> {
        if let Err(e) = self.stop().await {
            log::debug!("the former run ended: {e}");
        }
        match &self.inner {
            Inner::Engine(engine) => engine.begin_run(),
            Inner::Service(service) => service.begin_run(),
        }
        let socket = server::bind(self.address).await?;
        self.stop = CancellationToken::new();
        self.serve(socket);
        Ok(())
    }

    fn serve(&mut self, socket: TcpListener) {
        let stop = self.stop.clone();
        self.task = Some(match self.inner.clone() {
            Inner::Engine(engine) => tokio::spawn(server::serve(engine, socket, stop)),
            Inner::Service(service) => tokio::spawn(server::serve(service, socket, stop)),
        });
    }
}

impl Drop for MockEndpoint {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
