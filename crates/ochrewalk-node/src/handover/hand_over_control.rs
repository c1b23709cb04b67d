//! By what other threads end an attempt to hand over.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// How often an attempt is looked at by whoever waits for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What the thread that waits for signals needs of an attempt.
#[derive(Default)]
pub struct HandOverControl {
    state: Mutex<Option<Sender<String>>>,
    over: Condvar,
    /// Somebody waits for the attempt's end.
    pub(super) is_interrupted: AtomicBool,
}

impl HandOverControl {
    /// Ends an attempt that is under way and comes back once this process serves again; not at all where it has given
    /// everything away.
    pub fn interrupt(&self, why: &str) {
        self.is_interrupted.store(true, Ordering::Relaxed);
        let mut state = self.state.lock().unwrap_or_else(|broken| broken.into_inner());
        while let Some(to) = &*state {
            let _ = to.send(why.to_string());
            state =
                self.over.wait_timeout(state, POLL_INTERVAL).unwrap_or_else(|broken| broken.into_inner()).0;
        }
    }

    pub(super) fn begin(&self) -> Receiver<String> {
        let (to, interrupts) = channel();
        self.is_interrupted.store(false, Ordering::Relaxed);
        *self.state.lock().unwrap_or_else(|broken| broken.into_inner()) = Some(to);
        interrupts
    }

    pub(super) fn end(&self) {
        *self.state.lock().unwrap_or_else(|broken| broken.into_inner()) = None;
        self.over.notify_all();
    }
}
