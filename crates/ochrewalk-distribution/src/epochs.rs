//! Decides which positions belong to the history of a store, based on where each of its epochs began.

use crate::messages::Position;

/// The most epochs remembered. Subscribers of an older epoch are sent a snapshot.
const MAX_EPOCHS: usize = 64;

/// The start of an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EpochStart {
    /// The number of the epoch.
    pub epoch: u64,
    /// The last revision before the epoch.
    pub after_revision: u64,
}

/// The epochs of one history of changes, oldest first. The list is never empty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EpochHistory {
    starts: Vec<EpochStart>,
}

impl EpochHistory {
    pub(crate) fn new(epoch: u64) -> Self {
        Self { starts: vec![EpochStart { epoch, after_revision: 0 }] }
    }

    pub(crate) fn current(&self) -> u64 {
        self.starts.last().map_or(0, |start| start.epoch)
    }

    /// Returns all remembered epochs.
    pub(crate) fn starts(&self) -> Vec<EpochStart> {
        self.starts.clone()
    }

    /// Begins `epoch` after `after_revision`. The number must be higher than all others.
    pub(crate) fn begin(&mut self, epoch: u64, after_revision: u64) {
        debug_assert!(epoch > self.current());
        if self.starts.len() == MAX_EPOCHS {
            self.starts.remove(0);
        }
        self.starts.push(EpochStart { epoch, after_revision });
    }

    /// Whether `position` is part of this history: its epoch is known, and no later epoch began before its revision.
    pub(crate) fn contains(&self, position: Position) -> bool {
        let Some(index) = self.starts.iter().position(|start| start.epoch == position.epoch) else {
            return false;
        };
        match self.starts.get(index + 1) {
            Some(next) => position.revision <= next.after_revision,
            None => true,
        }
    }
}
