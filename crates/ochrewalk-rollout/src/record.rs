//! The state that a controller persists before each step of a rollout, and its format on disk: one protobuf
//! message.

use crate::fence::ControllerNumber;
use prost::Message as _;

/// The version of the format on disk.
const FORMAT_VERSION: u32 = 1;

/// The state of a rollout that has to outlive a controller, so that the next one can continue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutRecord {
    /// The controller's number: the first part of its fencing tokens.
    pub controller: ControllerNumber,
    /// The number of stages that have passed their analysis.
    pub stage: usize,
    /// The reason for the rollback; `None` if the rollout is not rolled back.
    pub rollback_reason: Option<String>,
    /// Nodes in the order in which they were changed, including one that was about to be.
    pub changed_nodes: Vec<usize>,
    /// Whether the rollout or its rollback is complete.
    pub is_finished: bool,
}

/// The reason for which bytes cannot be used as a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The bytes are not a record, or are truncated.
    #[error("not a rollout record: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// Another version of the program wrote the record.
    #[error("rollout record has format version {found}, but this program reads version {FORMAT_VERSION}")]
    UnknownVersion {
        /// The format version that was found in the record.
        found: u32,
    },
}

impl RolloutRecord {
    /// Returns the record in its format on disk.
    pub fn encode(&self) -> Vec<u8> {
        RolloutRecordMessage::from(self).encode_to_vec()
    }

    /// Decodes a record from its format on disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are truncated, are not a record, or have another format version.
    pub fn decode(bytes: &[u8]) -> Result<RolloutRecord, RecordError> {
        RolloutRecordMessage::decode(bytes)?.try_into()
    }

    /// Returns the node's position in the order of changes, counted from 1; 0 if the node was not changed.
    pub(crate) fn change_number(&self, node: usize) -> u32 {
        let position = self.changed_nodes.iter().position(|changed| *changed == node);
        position.map_or(0, |position| position as u32 + 1)
    }
}

/// The format on disk.
#[derive(Clone, PartialEq, prost::Message)]
struct RolloutRecordMessage {
    #[prost(uint32, tag = "1")]
    format_version: u32,
    #[prost(uint64, tag = "2")]
    controller: u64,
    #[prost(uint64, tag = "3")]
    stage: u64,
    #[prost(string, optional, tag = "4")]
    rollback_reason: Option<String>,
    #[prost(uint64, repeated, tag = "5")]
    changed_nodes: Vec<u64>,
    #[prost(bool, tag = "6")]
    is_finished: bool,
}

impl From<&RolloutRecord> for RolloutRecordMessage {
    fn from(record: &RolloutRecord) -> RolloutRecordMessage {
        RolloutRecordMessage {
            format_version: FORMAT_VERSION,
            controller: record.controller.0,
            stage: record.stage as u64,
            rollback_reason: record.rollback_reason.clone(),
            changed_nodes: record.changed_nodes.iter().map(|node| *node as u64).collect(),
            is_finished: record.is_finished,
        }
    }
}

impl TryFrom<RolloutRecordMessage> for RolloutRecord {
    type Error = RecordError;

    fn try_from(message: RolloutRecordMessage) -> Result<RolloutRecord, RecordError> {
        if message.format_version != FORMAT_VERSION {
            return Err(RecordError::UnknownVersion { found: message.format_version });
        }
        Ok(RolloutRecord {
            controller: ControllerNumber(message.controller),
            stage: message.stage as usize,
            rollback_reason: message.rollback_reason,
            changed_nodes: message.changed_nodes.into_iter().map(|node| node as usize).collect(),
            is_finished: message.is_finished,
        })
    }
}
