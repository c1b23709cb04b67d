//! Receives signals to the node, and sends signals to the supervisor's children.

use super::{Event, SupervisorError};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::mpsc::Sender;

/// A signal to the node, which is the supervisor's process for the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeSignal {
    Terminate,
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

    /// Whether the signal has the node drain and end.
    pub(super) fn is_to_drain(self) -> bool {
        self != NodeSignal::Reload
    }
}

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

/// Starts a thread that reports signals to the node.
pub(super) fn report_signals(events: Sender<Event>) -> Result<(), SupervisorError> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(SupervisorError::Signals)?;
    std::thread::spawn(move || {
        for signal in signals.forever().filter_map(NodeSignal::of_number) {
            let _ = events.send(Event::Signal(signal));
        }
    });
    Ok(())
}
