//! Receives the signals to the node: the notices to drain, and the request to reload its files.
//!
//! One thread receives them from the start of the process to its end, and records when each one came. None is lost while the
//! process is busy with something else.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::collections::VecDeque;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// A signal to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeSignal {
    /// SIGTERM: the node drains and ends.
    Terminate,
    /// SIGINT: the node drains and ends.
    Interrupt,
    /// SIGHUP: the node reloads its files.
    Reload,
}

impl NodeSignal {
    fn of_number(number: i32) -> Option<NodeSignal> {
        match number {
            SIGTERM => Some(NodeSignal::Terminate),
            SIGINT => Some(NodeSignal::Interrupt),
            SIGHUP => Some(NodeSignal::Reload),
            _ => None,
        }
    }

    /// Returns the number of the signal.
    pub fn number(self) -> i32 {
        match self {
            NodeSignal::Terminate => SIGTERM,
            NodeSignal::Interrupt => SIGINT,
            NodeSignal::Reload => SIGHUP,
        }
    }

    /// Whether the signal has the node drain and end.
    pub fn is_to_drain(self) -> bool {
        self != NodeSignal::Reload
    }
}

/// A signal, and the time at which this process received it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedSignal {
    /// The signal.
    pub signal: NodeSignal,
    /// The time at which it was received.
    pub at: Instant,
}

/// The signals that were received and have not been acted on.
pub struct SignalReceiver {
    received: Receiver<ReceivedSignal>,
    queued: VecDeque<ReceivedSignal>,
}

impl SignalReceiver {
    /// Registers for the signals to the node. They no longer end the process from here on.
    ///
    /// # Errors
    ///
    /// The operating system does not allow it.
    pub fn register() -> std::io::Result<SignalReceiver> {
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        let (sender, received) = channel();
        std::thread::spawn(move || {
            for signal in signals.forever().filter_map(NodeSignal::of_number) {
                let _ = sender.send(ReceivedSignal { signal, at: Instant::now() });
            }
        });
        Ok(SignalReceiver { received, queued: VecDeque::new() })
    }

    /// Returns the notice to drain that has been received, if any. The notice stays pending.
    pub fn pending_notice(&mut self) -> Option<ReceivedSignal> {
        self.queued.extend(self.received.try_iter());
        self.queued.iter().find(|received| received.signal.is_to_drain()).copied()
    }

    /// Returns the next signal: a notice to drain before any other. Waits for one, for at most `timeout` where there is one.
    pub fn next(&mut self, timeout: Option<Duration>) -> Option<ReceivedSignal> {
        let pending = self.pending_notice().or_else(|| self.queued.front().copied());
        if let Some(pending) = pending {
            // Signals of the same kind count as one.
            self.queued.retain(|queued| queued.signal != pending.signal);
            return Some(pending);
        }
        match timeout {
            Some(timeout) => self.received.recv_timeout(timeout).ok(),
            None => self.received.recv().ok(),
        }
    }
}
