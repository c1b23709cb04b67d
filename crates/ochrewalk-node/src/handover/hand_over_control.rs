//! Lets other threads interrupt an attempt to hand over.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;

/// The interval at which an interruption is repeated until the attempt has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The reason why an attempt is interrupted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Interruption {
    /// This process has to drain, or to reload its files.
    #[error("the running program got a signal")]
    Signal,
}

/// The state shared by the thread that waits for signals and the thread that hands over.
#[derive(Default)]
pub struct HandOverControl {
    /// The sender of interruptions to the attempt under way; none without an attempt.
    attempt: Mutex<Option<Sender<Interruption>>>,
    ended: Condvar,
    is_interrupted: AtomicBool,
}

impl HandOverControl {
    /// Interrupts the attempt under way, and returns once this process serves again. Where this process has already
    /// released its state, the call returns only if the successor ends before it starts to serve.
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

    /// Registers an attempt, and returns the receiver of its interruptions.
    pub(super) fn begin(&self) -> Receiver<Interruption> {
        let (sender, interruptions) = channel();
        self.is_interrupted.store(false, Ordering::Relaxed);
        *self.lock() = Some(sender);
        interruptions
    }

    /// Marks the attempt as ended: this process serves.
    pub(super) fn end(&self) {
        *self.lock() = None;
        self.ended.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Option<Sender<Interruption>>> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
