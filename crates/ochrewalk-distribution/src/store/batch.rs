//! Batches of changes as a durable log records them, and the order of changes.

use crate::epochs::EpochStart;
use crate::messages::{Position, Resource, Value};

/// The record of a durable log: changes applied together at one revision, and the values that they replaced.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The revision of all changes of the batch, and its epoch.
    pub position: Position,
    /// The changes, in the order of the request; empty in a batch that begins an epoch.
    pub resources: Vec<Resource>,
    /// The previous value of each of `resources`, in the same order; `None` if no such resource existed.
    pub previous: Vec<Option<Value>>,
}

/// The order of all changes, without the changes themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeOrder {
    /// The revision of the last batch.
    pub revision: u64,
    /// Each epoch and the revision after which its changes begin, oldest first.
    pub epochs: Vec<EpochStart>,
    /// The oldest revision from which differences are complete.
    pub horizon: u64,
    /// The highest epoch observed. An epoch higher than the last of `epochs` means that another publisher has taken over.
    pub highest_epoch: u64,
}

/// The reason why an update or a recorded batch was not applied. The store is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The update leads to an older position.
    #[error("the update leads to {update:?}, older than {applied:?}")]
    OlderPosition {
        /// The position of the store.
        applied: Position,
        /// The position of the update.
        update: Position,
    },
    /// The recorded batch is not the next one.
    #[error("the batch of {batch:?} does not follow {applied:?}")]
    OutOfOrder {
        /// The position of the store.
        applied: Position,
        /// The position of the batch.
        batch: Position,
    },
}
