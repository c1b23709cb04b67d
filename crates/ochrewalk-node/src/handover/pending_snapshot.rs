//! A snapshot that one thread waits for and a coroutine takes.

use super::snapshot::SnapshotResult;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// What passes between the thread that hands over and the coroutine that writes all of it down: whoever is first, a
/// state written down or the end of the wait, decides for both.
#[derive(Default)]
pub(super) struct PendingSnapshot {
    state: Mutex<(bool, Option<SnapshotResult>)>,
    changed: Condvar,
}

impl PendingSnapshot {
    fn lock(&self) -> std::sync::MutexGuard<'_, (bool, Option<SnapshotResult>)> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub(super) fn is_wanted(&self) -> bool {
        !self.lock().0
    }

    /// Whether somebody still waited for it.
    pub(super) fn deliver(&self, snapshot: SnapshotResult) -> bool {
        let mut state = self.lock();
        state.1 = Some(snapshot);
        self.changed.notify_one();
        !state.0
    }

    /// None where nothing has come in that time: nothing is wanted from then on.
    pub(super) fn wait(&self, timeout: Duration) -> Option<SnapshotResult> {
        let waited = self.changed.wait_timeout_while(self.lock(), timeout, |state| state.1.is_none());
        let mut state = waited.unwrap_or_else(|broken| broken.into_inner()).0;
        state.0 = true;
        state.1.take()
    }
}
