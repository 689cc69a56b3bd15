//! Mock endpoints that a test starts, stops and restarts in its own process.

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

/// Settings of a mock endpoint of either kind.
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

/// A mock endpoint that serves in a background task until it is stopped or dropped.
#[derive(Debug)]
pub struct MockEndpoint {
    address: SocketAddr,
    inner: Inner,
    stop: CancellationToken,
    task: Option<JoinHandle<Result<()>>>,
}

impl MockEndpoint {
    /// Starts an endpoint on a free port of the loopback interface. Must be called within a Tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
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

    /// Returns the address that the endpoint serves on. It stays the same after a restart.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the engine, or `None` if the endpoint is a service.
    pub fn engine(&self) -> Option<&Arc<Engine>> {
        match &self.inner {
            Inner::Engine(engine) => Some(engine),
            Inner::Service(_) => None,
        }
    }

    /// Returns the service, or `None` if the endpoint is an engine.
    pub fn service(&self) -> Option<&Arc<Service>> {
        match &self.inner {
            Inner::Engine(_) => None,
            Inner::Service(service) => Some(service),
        }
    }

    /// Returns the totals over all runs and the present load.
    pub fn counters(&self) -> Counters {
        match &self.inner {
            Inner::Engine(engine) => engine.counters(),
            Inner::Service(service) => service.counters(),
        }
    }

    /// Makes all open connections stop responding without closing them. New ones are not affected.
    pub fn stall(&self) {
        match &self.inner {
            Inner::Engine(engine) => engine.lifecycle().stall(),
            Inner::Service(service) => service.lifecycle().stall(),
        }
    }

    /// Closes all connections without a response and refuses new ones until [`Self::restart`].
    ///
    /// # Errors
    ///
    /// Fails when the background task failed earlier.
    pub async fn stop(&mut self) -> Result<()> {
        self.stop.cancel();
        match self.task.take() {
            Some(task) => task.await.context("the mock endpoint panicked")?,
            None => Ok(()),
        }
    }

    /// Stops the endpoint unless it is stopped, and begins the next run on the same address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound, for instance because another process uses it.
    pub async fn restart(&mut self) -> Result<()> {
        if let Err(e) = self.stop().await {
            log::debug!("the previous run failed: {e}");
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
