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
    /// This process has to reload its files.
    #[error("the running program got a signal")]
    Reload,
    /// This process drains. This is final: no later attempt may hand over either.
    #[error("the running program is draining")]
    Drain,
}

#[derive(Default)]
struct ControlState {
    /// The sender of interruptions to the attempt under way; none without an attempt.
    attempt: Option<Sender<Interruption>>,
    is_draining: bool,
}

/// The state shared by the thread that waits for signals and the thread that hands over.
#[derive(Default)]
pub struct HandOverControl {
    state: Mutex<ControlState>,
    ended: Condvar,
    is_interrupted: AtomicBool,
}

impl HandOverControl {
    /// Interrupts the attempt under way, and returns once this process serves again. Where this process has already
    /// released its state, the call returns only if the successor ends before it starts to serve. After
    /// [`Interruption::Drain`] every later attempt is interrupted as it begins.
    pub fn interrupt(&self, reason: Interruption) {
        let mut state = self.lock();
        state.is_draining |= reason == Interruption::Drain;
        self.is_interrupted.store(true, Ordering::Relaxed);
        while let Some(interruptions) = &state.attempt {
            let _ = interruptions.send(reason);
            let waited = self.ended.wait_timeout(state, POLL_INTERVAL);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Whether the attempt under way was interrupted.
    pub(super) fn is_interrupted(&self) -> bool {
        self.is_interrupted.load(Ordering::Relaxed)
    }

    /// Registers an attempt, and returns the receiver of its interruptions.
    pub(super) fn begin(&self) -> Receiver<Interruption> {
        let (sender, interruptions) = channel();
        let mut state = self.lock();
        if state.is_draining {
            let _ = sender.send(Interruption::Drain);
        }
        self.is_interrupted.store(state.is_draining, Ordering::Relaxed);
        state.attempt = Some(sender);
        interruptions
    }

    /// Marks the attempt as ended: this process serves.
    pub(super) fn end(&self) {
        self.lock().attempt = None;
        self.ended.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
