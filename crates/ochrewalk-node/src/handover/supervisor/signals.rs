//! Forwards signals to the node, and sends signals to the supervisor's children.

use super::Event;
use crate::signals::{NodeSignal, SignalReceiver};
use std::sync::mpsc::Sender;

/// A signal to a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChildSignal {
    /// A signal to the node, which is forwarded.
    Node(NodeSignal),
    /// SIGKILL: the child ends at once.
    Kill,
}

impl From<NodeSignal> for ChildSignal {
    fn from(signal: NodeSignal) -> ChildSignal {
        ChildSignal::Node(signal)
    }
}

impl ChildSignal {
    /// Sends the signal to a process. Has no effect where the process has ended.
    pub(super) fn send(self, pid: u32) {
        let signal = match self {
            ChildSignal::Node(NodeSignal::Terminate) => rustix::process::Signal::TERM,
            ChildSignal::Node(NodeSignal::Interrupt) => rustix::process::Signal::INT,
            ChildSignal::Node(NodeSignal::Reload) => rustix::process::Signal::HUP,
            ChildSignal::Kill => rustix::process::Signal::KILL,
        };
        if let Some(pid) = rustix::process::Pid::from_raw(pid as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }
}

/// Starts a thread that reports signals to the node, with those that came before.
pub(super) fn report_signals(mut signals: SignalReceiver, events: Sender<Event>) {
    std::thread::spawn(move || {
        while let Some(received) = signals.next(None) {
            let _ = events.send(Event::Signal(received.signal));
        }
    });
}
