//! What a predecessor has sent: collected chunk by chunk, then put together as records and descriptors.

use super::records::{
    self, AjpConnectionRecords, ExecutorRecord, IdempotencyKeyRecords, JsonRpcConnectionRecords, NodeRecord,
    RpcRecords, UpstreamRecord,
};
use crate::idempotency_keys::IdempotencyKeyStore;
use prost::Message;
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use thiserror::Error;

/// All of a predecessor's state.
pub struct ReceivedState {
    /// What belongs to no other section.
    pub node: NodeRecord,
    /// Listeners: that of JSON-RPC, then that of AJP where there is one.
    pub listeners: Vec<OwnedFd>,
    /// RPCs that are open.
    pub rpcs: RpcRecords,
    /// Connections by JSON-RPC.
    pub json: ReceivedSection<JsonRpcConnectionRecords>,
    /// Connections by AJP.
    pub ajp: ReceivedSection<AjpConnectionRecords>,
    /// The link to the executor.
    pub executor: ExecutorRecord,
    /// The descriptor of that link, where there is one.
    pub executor_link: Option<OwnedFd>,
    /// Calls upstream, and the connections that carry them.
    pub upstream: ReceivedSection<UpstreamRecord>,
    /// Idempotency keys that were transferred ahead.
    pub keys: IdempotencyKeyStore,
}

/// A record, and a descriptor for each connection in it, in the same order.
#[derive(Default)]
pub struct ReceivedSection<R> {
    /// The record.
    pub record: R,
    /// The descriptors.
    pub descriptors: Vec<OwnedFd>,
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
    /// A section names more connections than descriptors came with it, or fewer.
    #[error("streams and descriptors differ in number")]
    DescriptorCount,
    /// The node cannot be put together from the state.
    #[error("{reason}")]
    Assembly {
        /// What does not fit.
        reason: String,
    },
}

/// Chunks as they come.
pub(super) struct ChunkStore {
    sections: HashMap<String, ReceivedSection<Vec<u8>>>,
    /// Put together as they come: there may be a million of them.
    keys: IdempotencyKeyStore,
    /// Something that was announced is missing or cannot be read.
    is_incomplete: bool,
}

impl ChunkStore {
    pub(super) fn new() -> ChunkStore {
        ChunkStore {
            sections: HashMap::new(),
            keys: IdempotencyKeyStore::new(usize::MAX),
            is_incomplete: false,
        }
    }

    /// Stores a chunk; `descriptors` are none where fewer came with it than were announced.
    pub(super) fn store(&mut self, section: &str, bytes: &[u8], descriptors: Option<Vec<OwnedFd>>) {
        self.is_incomplete |= descriptors.is_none();
        if section == records::AHEAD.0 {
            match IdempotencyKeyRecords::decode(bytes) {
                Ok(records) => self.keys.import(records.keys, &[]),
                Err(_) => self.is_incomplete = true,
            }
            return;
        }
        let stored = self.sections.entry(section.to_string()).or_default();
        stored.record.extend_from_slice(bytes);
        stored.descriptors.extend(descriptors.unwrap_or_default());
    }

    /// Puts all chunks together; nothing is left of them.
    ///
    /// # Errors
    ///
    /// Something is missing or cannot be read.
    pub(super) fn take_state(&mut self) -> Result<ReceivedState, LoadError> {
        if self.is_incomplete {
            return Err(LoadError::Incomplete);
        }
        let node = self.section("node")?.record;
        let rpcs = self.section("rpcs")?.record;
        let executor = self.section::<ExecutorRecord>("executor")?;
        let state = ReceivedState {
            node,
            rpcs,
            listeners: self.sections.remove("listeners").unwrap_or_default().descriptors,
            json: self.section("json")?,
            ajp: self.section("ajp")?,
            executor: executor.record,
            executor_link: executor.descriptors.into_iter().next(),
            upstream: self.section("below")?,
            keys: std::mem::replace(&mut self.keys, IdempotencyKeyStore::new(0)),
        };
        if state.has_descriptor_for_each_connection() {
            Ok(state)
        } else {
            Err(LoadError::DescriptorCount)
        }
    }

    fn section<R: Message + Default>(&mut self, name: &'static str) -> Result<ReceivedSection<R>, LoadError> {
        let ReceivedSection { record: bytes, descriptors } = self.sections.remove(name).unwrap_or_default();
        let record = R::decode(bytes.as_slice()).map_err(|error| LoadError::Section { name, error })?;
        Ok(ReceivedSection { record, descriptors })
    }
}

impl ReceivedState {
    fn has_descriptor_for_each_connection(&self) -> bool {
        self.json.record.connections.len() == self.json.descriptors.len()
            && self.ajp.record.connections.len() == self.ajp.descriptors.len()
            && self.upstream.record.links.len() == self.upstream.descriptors.len()
            && self.executor.stream.is_some() == self.executor_link.is_some()
    }
}
