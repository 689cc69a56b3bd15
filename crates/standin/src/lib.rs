//! Stand-ins for endpoints, for tests and trials: a model engine and a plain service.

mod engine;
mod server;
mod service;

pub use engine::{Engine, EngineConfig};
pub use service::Service;
