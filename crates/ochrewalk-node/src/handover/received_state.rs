//! What a predecessor has sent, put together.

use super::records::{
    AjpConnectionRecords, ExecutorRecord, JsonRpcConnectionRecords, NodeRecord, RpcRecords, UpstreamRecord,
};
use crate::keys::Keys;
use std::os::fd::OwnedFd;
use thiserror::Error;

/// All that the program before held.
pub struct ReceivedState {
    pub node: NodeRecord,
    pub listeners: Vec<OwnedFd>,
    pub rpcs: RpcRecords,
    pub json: (JsonRpcConnectionRecords, Vec<OwnedFd>),
    pub ajp: (AjpConnectionRecords, Vec<OwnedFd>),
    pub executor: (ExecutorRecord, Option<OwnedFd>),
    pub below: (UpstreamRecord, Vec<OwnedFd>),
    /// Tokens that went ahead.
    pub tokens: Keys,
}

/// Why the state that came cannot be restored.
#[derive(Debug, Error)]
pub enum LoadError {
    /// Something that was announced is missing.
    #[error("fewer descriptors came than were announced, or tokens that cannot be read")]
    Incomplete,
    /// A section is not of its format.
    #[error("section {name}: {error}")]
    Section {
        /// The section's name.
        name: &'static str,
        /// What is wrong with its bytes.
        error: prost::DecodeError,
    },
    /// A section names more streams than came with it, or fewer.
    #[error("streams and descriptors differ in number")]
    DescriptorCount,
    /// The node cannot be put together from the state.
    #[error("{reason}")]
    Assembly {
        /// What does not fit.
        reason: String,
    },
}
