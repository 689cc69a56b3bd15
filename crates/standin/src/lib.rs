//! Mock endpoints for tests and local trials: a model engine and a plain service.
//!
//! A mock serves the HTTP interface of an endpoint and injects faults; it does not simulate a
//! cluster. A request selects a fault with the header `x-standin-fault`.
//!
//! All state is in memory and belongs to one run. A crash or a restart begins the next run with
//! empty state. Only the totals in [`Counters`] and the execution counts of a [`Service`] are kept,
//! because they model side effects that outlive the process.
//!
//! ```
//! use poplarspan_standin::{MockEndpoint, ServiceConfig};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> anyhow::Result<()> {
//! let mut service = MockEndpoint::start(ServiceConfig::builder().build()?).await?;
//! let address = service.address();
//! service.restart().await?;
//! assert_eq!(service.address(), address);
//! service.stop().await?;
//! # Ok(())
//! # }
//! ```

mod config;
mod engine;
mod fault;
mod lifecycle;
mod load;
mod mock_endpoint;
mod server;
mod service;
mod stall;

pub use config::{
    ConfigError, EngineConfig, EngineConfigBuilder, Fencing, ModelVersion, RampShape,
    ServiceConfig, ServiceConfigBuilder,
};
pub use engine::{BLOCK_BYTES, BLOCK_TOKENS, Engine, WeightStore};
pub use lifecycle::{Counters, Crashed};
pub use mock_endpoint::{MockEndpoint, MockEndpointConfig};
pub use service::Service;
