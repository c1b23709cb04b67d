//! What the publisher's log and a node's snapshot hold on disk, as Protocol Buffers.

use ochrewalk_distribution::messages::{Position, Resource, ResourceName};
use ochrewalk_distribution::{ChangeOrder, EpochStart};
use prost::Message;

/// One change of a batch, with the resource that it replaced.
#[derive(Clone, PartialEq, Message)]
pub struct StoredChange {
    #[prost(message, required, tag = "1")]
    pub resource: Resource,
    #[prost(message, optional, tag = "2")]
    pub previous: Option<Resource>,
}

/// An accepted batch.
#[derive(Clone, PartialEq, Message)]
pub struct StoredBatch {
    #[prost(message, required, tag = "1")]
    pub position: Position,
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<StoredChange>,
    /// When it was accepted, by Unix time; shown to operators, never compared.
    #[prost(uint64, tag = "3")]
    pub unix_ms: u64,
}

/// The revision after which an epoch's own changes follow.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StoredEpoch {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub after_revision: u64,
}

/// What is known of the order of changes as a whole.
#[derive(Clone, PartialEq, Message)]
pub struct StoredOrder {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(message, repeated, tag = "2")]
    pub epochs: Vec<StoredEpoch>,
    #[prost(uint64, tag = "3")]
    pub horizon: u64,
    /// The highest epoch heard of: one above the last of `epochs` means that another publisher has taken over.
    #[prost(uint64, tag = "4")]
    pub highest_epoch: u64,
}

impl From<&ChangeOrder> for StoredOrder {
    fn from(order: &ChangeOrder) -> StoredOrder {
        let stored =
            |start: &EpochStart| StoredEpoch { epoch: start.epoch, after_revision: start.after_revision };
        StoredOrder {
            revision: order.revision,
            epochs: order.epochs.iter().map(stored).collect(),
            horizon: order.horizon,
            highest_epoch: order.highest_epoch,
        }
    }
}

impl From<StoredOrder> for ChangeOrder {
    fn from(stored: StoredOrder) -> ChangeOrder {
        let start =
            |epoch: StoredEpoch| EpochStart { epoch: epoch.epoch, after_revision: epoch.after_revision };
        ChangeOrder {
            revision: stored.revision,
            epochs: stored.epochs.into_iter().map(start).collect(),
            horizon: stored.horizon,
            highest_epoch: stored.highest_epoch,
        }
    }
}

/// A step of what a node has in force: an update, or names that it no longer holds.
#[derive(Clone, PartialEq, Message)]
pub struct StoredUpdate {
    #[prost(message, required, tag = "1")]
    pub position: Position,
    #[prost(bool, tag = "2")]
    pub is_snapshot: bool,
    #[prost(message, repeated, tag = "3")]
    pub resources: Vec<Resource>,
    /// Names that were asked for and are not there.
    #[prost(message, repeated, tag = "4")]
    pub absent: Vec<ResourceName>,
    #[prost(string, tag = "5")]
    pub node: String,
    #[prost(uint64, tag = "6")]
    pub unix_ms: u64,
    #[prost(message, repeated, tag = "7")]
    pub forgotten: Vec<ResourceName>,
}
