//! Configuration that comes from the control plane while the node runs.

pub mod agent;
pub mod from_files;
pub mod node_configuration;
