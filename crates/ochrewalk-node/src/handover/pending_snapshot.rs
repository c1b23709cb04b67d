//! Passes a snapshot from the coroutine that takes it to the thread that waits for it.

use super::snapshot::{SectionState, SnapshotError};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// All sections, or the reason why no snapshot could be taken.
pub(super) type SnapshotResult = Result<Vec<SectionState>, SnapshotError>;

/// A snapshot in progress, shared by the thread that hands over and the coroutine that takes the snapshot. The first of
/// two events decides for both: the delivery of the result, or the end of the wait.
#[derive(Default)]
pub(super) struct PendingSnapshot {
    state: Mutex<State>,
    delivered: Condvar,
}

#[derive(Default)]
struct State {
    is_abandoned: bool,
    result: Option<SnapshotResult>,
}

impl PendingSnapshot {
    /// Whether the thread still waits for the result.
    pub(super) fn is_awaited(&self) -> bool {
        !self.lock().is_abandoned
    }

    /// Delivers the result. Returns whether the thread still waited for it.
    pub(super) fn deliver(&self, result: SnapshotResult) -> bool {
        let mut state = self.lock();
        state.result = Some(result);
        self.delivered.notify_one();
        !state.is_abandoned
    }

    /// Waits for the result. Returns none after the time-out, and no result is awaited from then on.
    pub(super) fn wait(&self, timeout: Duration) -> Option<SnapshotResult> {
        let is_missing = |state: &mut State| state.result.is_none();
        let waited = self.delivered.wait_timeout_while(self.lock(), timeout, is_missing);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner).0;
        state.is_abandoned = true;
        state.result.take()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
