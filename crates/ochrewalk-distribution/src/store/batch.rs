//! Batches of changes as a durable log records them, and the order that they come in.

use crate::epochs::EpochStart;
use crate::messages::{Position, Resource, Value};

/// What a durable log records: changes made together at one revision, and what they replaced.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The revision of all its changes, and the epoch that it belongs to.
    pub position: Position,
    /// The changes, in the order of the request. None where the batch begins an epoch.
    pub resources: Vec<Resource>,
    /// The value that each of `resources` had before, in the same order; none where there was no such resource.
    pub previous: Vec<Option<Value>>,
}

/// The order of all changes, without the changes themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeOrder {
    /// The revision of the last batch.
    pub revision: u64,
    /// Each epoch and the revision that its own changes follow, oldest first.
    pub epochs: Vec<EpochStart>,
    /// The oldest revision from which differences are complete.
    pub horizon: u64,
    /// The highest epoch observed. Where it is above the last of `epochs`, another publisher has taken over.
    pub highest_epoch: u64,
}

/// Why an update or a recorded batch wasn't applied. The store is as it was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The update would lead back to an older position.
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
