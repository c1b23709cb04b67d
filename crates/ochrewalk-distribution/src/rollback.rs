//! Decides which changes undo the batches after a position.

use std::collections::BTreeMap;

use crate::messages::{Position, Resource, ResourceName, Value};
use crate::store::Batch;

/// The reason why a rollback is not possible.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RollbackError {
    /// The requested position is that of the last batch, or later.
    #[error("no batch is later than {to:?}")]
    NothingToUndo {
        /// The requested position.
        to: Position,
    },
    /// Batches that would have to be undone are no longer recorded.
    #[error("the history does not reach back to {to:?}: its first batch after that has revision {first}")]
    HistoryTooShort {
        /// The requested position.
        to: Position,
        /// The revision of the first recorded batch after the requested position.
        first: u64,
    },
    /// Another publisher created that revision.
    #[error("{to:?} is not on the line of this history, where that revision is of epoch {epoch}")]
    UnknownPosition {
        /// The requested position.
        to: Position,
        /// The epoch of that revision in this history.
        epoch: u64,
    },
}

struct UndoneChange<'a> {
    /// The value before the first undone batch.
    before: &'a Option<Value>,
    /// The value after the last undone batch.
    after: &'a Option<Value>,
}

/// Returns the changes that undo all batches of `history` (oldest first) after `to`: a name deleted since then is set
/// again, a name created since then is deleted, and names with the same value as at `to` are omitted.
///
/// # Errors
///
/// Returns an error if no batch has to be undone, or `history` does not contain all batches after `to`.
pub fn rollback_changes(history: &[Batch], to: Position) -> Result<Vec<Resource>, RollbackError> {
    let undone = batches_after(history, to)?;
    let mut names: BTreeMap<&ResourceName, UndoneChange> = BTreeMap::new();
    for batch in undone {
        for (resource, before) in batch.resources.iter().zip(&batch.previous) {
            let entry =
                names.entry(&resource.name).or_insert(UndoneChange { before, after: &resource.value });
            entry.after = &resource.value;
        }
    }
    let changed = names.into_iter().filter(|(_, undone)| undone.before != undone.after);
    Ok(changed
        .map(|(name, undone)| Resource { name: name.clone(), revision: 0, value: undone.before.clone() })
        .collect())
}

fn batches_after(history: &[Batch], to: Position) -> Result<Vec<&Batch>, RollbackError> {
    let with_changes = history.iter().filter(|batch| !batch.resources.is_empty());
    let (remaining, undone): (Vec<&Batch>, Vec<&Batch>) =
        with_changes.partition(|batch| batch.position.revision <= to.revision);
    if let Some(last) = remaining.last().filter(|last| last.position.revision == to.revision) {
        // A later epoch may have begun at the same revision; an earlier epoch cannot have.
        if last.position.epoch > to.epoch {
            return Err(RollbackError::UnknownPosition { to, epoch: last.position.epoch });
        }
    }
    let Some(first) = undone.first() else {
        return Err(RollbackError::NothingToUndo { to });
    };
    if first.position.epoch < to.epoch {
        return Err(RollbackError::UnknownPosition { to, epoch: first.position.epoch });
    }
    if first.position.revision != to.revision + 1 {
        return Err(RollbackError::HistoryTooShort { to, first: first.position.revision });
    }
    Ok(undone)
}
