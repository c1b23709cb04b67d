//! What a controller persists of a rollout before each step, and its form on disk: one protobuf message.

use crate::fence::ControllerNumber;
use prost::Message as _;

/// The version of the form on disk.
const FORMAT_VERSION: u32 = 1;

/// All that has to outlive a controller, so that the next one can go on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutRecord {
    /// The controller's number: the first part of its fencing tokens.
    pub controller: ControllerNumber,
    /// How many stages have passed their analysis.
    pub stage: usize,
    /// Why the rollout is rolled back, if it is.
    pub rollback_reason: Option<String>,
    /// Nodes in the order in which they were changed, or were about to be.
    pub changed_nodes: Vec<usize>,
    /// Whether the rollout, or its rollback, has come to its end.
    pub is_finished: bool,
}

/// Why bytes are no record that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The bytes are no record, or not all of one.
    #[error("no record of a rollout: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// Another version of the program wrote the record.
    #[error("a record of version {found}, {FORMAT_VERSION} is known here")]
    UnknownVersion {
        /// The version of the form that the record has.
        found: u32,
    },
}

impl RolloutRecord {
    /// The record as bytes for the disk.
    pub fn encode(&self) -> Vec<u8> {
        RolloutRecordMessage::from(self).encode_to_vec()
    }

    /// The record that these bytes hold.
    ///
    /// # Errors
    ///
    /// Where the bytes are torn, are no record, or were written in a form of another version.
    pub fn decode(bytes: &[u8]) -> Result<RolloutRecord, RecordError> {
        RolloutRecordMessage::decode(bytes)?.try_into()
    }

    /// When the node was changed among the others, counted from 1; 0 where it was not.
    pub(crate) fn change_number(&self, node: usize) -> u32 {
        let position = self.changed_nodes.iter().position(|changed| *changed == node);
        position.map_or(0, |position| position as u32 + 1)
    }
}

/// The form on disk.
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
