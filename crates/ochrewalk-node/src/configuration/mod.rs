//! Configuration that comes from the control plane while the node runs.

pub mod activation;
pub mod agent;
pub mod cached_quotas;
pub mod file_configuration;
pub mod handle;
pub mod node_configuration;
mod persistence;
mod sink;
pub mod update_error;
