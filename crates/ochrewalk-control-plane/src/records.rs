//! The records of the publisher's log and of a node's state file, as Protocol Buffers.

use ochrewalk_distribution::messages::{Position, Resource, ResourceName};
use ochrewalk_distribution::{Batch, ChangeOrder, EpochStart};
use prost::Message;

/// A change of a batch, with the resource that it replaced.
#[derive(Clone, PartialEq, Message)]
pub struct StoredChange {
    /// The change, at its revision.
    #[prost(message, required, tag = "1")]
    pub resource: Resource,
    /// The resource with its previous value; `None` if the resource did not exist.
    #[prost(message, optional, tag = "2")]
    pub previous: Option<Resource>,
}

/// An accepted batch.
#[derive(Clone, PartialEq, Message)]
pub struct StoredBatch {
    /// The position of the batch.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// The changes of the batch, in the order of the request.
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<StoredChange>,
    /// The time at which the batch was accepted, in milliseconds of Unix time; shown to operators, never compared.
    #[prost(uint64, tag = "3")]
    pub unix_ms: u64,
}

impl StoredBatch {
    /// Creates the record of `batch`, accepted at `unix_ms` milliseconds of Unix time.
    pub fn new(batch: &Batch, unix_ms: u64) -> StoredBatch {
        let changes = batch.resources.iter().zip(&batch.previous).map(|(resource, previous)| StoredChange {
            resource: resource.clone(),
            previous: previous.clone().map(|value| Resource::set(resource.name.clone(), value)),
        });
        StoredBatch { position: batch.position, changes: changes.collect(), unix_ms }
    }
}

impl From<StoredBatch> for Batch {
    fn from(stored: StoredBatch) -> Batch {
        let (resources, previous) = stored
            .changes
            .into_iter()
            .map(|change| (change.resource, change.previous.and_then(|before| before.value)))
            .unzip();
        Batch { position: stored.position, resources, previous }
    }
}

/// An epoch and the revision after which its changes begin.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StoredEpoch {
    /// The number of the epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The last revision before the epoch.
    #[prost(uint64, tag = "2")]
    pub after_revision: u64,
}

/// The order of all changes, without the changes themselves.
#[derive(Clone, PartialEq, Message)]
pub struct StoredOrder {
    /// The revision of the last batch.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The start of each epoch, oldest first.
    #[prost(message, repeated, tag = "2")]
    pub epochs: Vec<StoredEpoch>,
    /// The oldest revision from which differences are complete.
    #[prost(uint64, tag = "3")]
    pub horizon: u64,
    /// The highest epoch observed. An epoch higher than the last of `epochs` means that another publisher has taken over.
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

/// A record of a state file: an update that was applied, or names that are no longer watched.
#[derive(Clone, PartialEq, Message)]
pub struct StoredUpdate {
    /// The position in force after the update.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// Whether the update replaces all earlier records.
    #[prost(bool, tag = "2")]
    pub is_snapshot: bool,
    /// The changed resources; a resource without a value is deleted.
    #[prost(message, repeated, tag = "3")]
    pub resources: Vec<Resource>,
    /// The requested names that have no resource.
    #[prost(message, repeated, tag = "4")]
    pub absent: Vec<ResourceName>,
    /// The node that owns the record.
    #[prost(string, tag = "5")]
    pub node: String,
    /// The time at which the record was written, in milliseconds of Unix time.
    #[prost(uint64, tag = "6")]
    pub unix_ms: u64,
    /// The names that are no longer watched. A record with such names is not an update.
    #[prost(message, repeated, tag = "7")]
    pub forgotten: Vec<ResourceName>,
}
