//! Stand-ins for endpoints, for tests and trials: a model engine and a plain service.
//!
//! They offer the interface of an endpoint and its faults; they do not simulate a cluster. Requests
//! ask for faults with the header `x-standin-fault`.
//!
//! All state is in memory and belongs to one run. A crash or a restart begins the next run with
//! empty state, except for the counters of [`Counters`] and the executions of a [`Service`], which
//! stand for effects in the outside world.
//!
//! ```
//! use poplarspan_standin::{ServiceConfig, MockEndpoint};
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
