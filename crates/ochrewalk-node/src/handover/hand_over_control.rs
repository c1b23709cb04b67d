//! How other threads end an attempt to hand over.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;

/// How often whoever waits for an attempt's end looks whether it has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why an attempt is ended from outside.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Interruption {
    /// This process is to drain, or to read its files again.
    #[error("the running program got a signal")]
    Signal,
}

/// What the thread that waits for signals shares with the one that hands over.
#[derive(Default)]
pub struct HandOverControl {
    /// Where the attempt under way hears of interruptions.
    attempt: Mutex<Option<Sender<Interruption>>>,
    ended: Condvar,
    is_interrupted: AtomicBool,
}

impl HandOverControl {
    /// Ends an attempt that is under way, and returns once this process serves again. Where it has released its state,
    /// this does not return unless the successor ends before it starts.
    pub fn interrupt(&self, reason: Interruption) {
        self.is_interrupted.store(true, Ordering::Relaxed);
        let mut attempt = self.lock();
        while let Some(interruptions) = &*attempt {
            let _ = interruptions.send(reason);
            let waited = self.ended.wait_timeout(attempt, POLL_INTERVAL);
            attempt = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Whether the attempt under way was interrupted.
    pub(super) fn is_interrupted(&self) -> bool {
        self.is_interrupted.load(Ordering::Relaxed)
    }

    /// An attempt begins; its interruptions come by what is returned.
    pub(super) fn begin(&self) -> Receiver<Interruption> {
        let (sender, interruptions) = channel();
        self.is_interrupted.store(false, Ordering::Relaxed);
        *self.lock() = Some(sender);
        interruptions
    }

    /// The attempt has ended, and this process serves.
    pub(super) fn end(&self) {
        *self.lock() = None;
        self.ended.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Option<Sender<Interruption>>> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
