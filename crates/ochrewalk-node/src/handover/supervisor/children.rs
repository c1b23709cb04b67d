//! Starts, signals and waits for the supervisor's child processes.

use super::signals::ChildSignal;
use super::Event;
use crate::handover::descriptor_socket::{inherit, read_lines, send_line};
use crate::handover::process_guard::ChildId;
use crate::handover::serving_child::{ChildSpec, ServingChild};
use crate::handover::supervisor_protocol::{SupervisorLine, LINK, OPERATORS, PREDECESSOR, READS_CHANGES};
use std::collections::BTreeMap;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::process::{Child, Command, ExitStatus};
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

/// A child process that has not ended.
pub(super) struct RunningChild {
    pid: u32,
    stream: UnixStream,
    /// The program and settings that the child runs, and its latest report.
    pub(super) serving: ServingChild,
}

impl RunningChild {
    /// Sends a line to the child, and passes the descriptor, if any, with it.
    pub(super) fn send(&self, line: SupervisorLine, descriptor: Option<BorrowedFd>) -> std::io::Result<()> {
        send_line(&self.stream, line.as_line(), descriptor)
    }
}

/// All child processes that have not ended.
pub(super) struct Children {
    running: BTreeMap<ChildId, RunningChild>,
    last_id: u64,
    /// The channel on which lines and ends of children are reported.
    events: Sender<Event>,
}

impl Children {
    pub(super) fn new(events: Sender<Event>) -> Children {
        Children { running: BTreeMap::new(), last_id: 0, events }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    pub(super) fn get(&self, child: ChildId) -> Option<&RunningChild> {
        self.running.get(&child)
    }

    pub(super) fn get_mut(&mut self, child: ChildId) -> Option<&mut RunningChild> {
        self.running.get_mut(&child)
    }

    /// Removes a child that has ended.
    pub(super) fn remove(&mut self, child: ChildId) {
        self.running.remove(&child);
    }

    /// Signals a child. Has no effect on a child that has ended.
    pub(super) fn signal(&self, child: ChildId, signal: ChildSignal) {
        if let Some(child) = self.running.get(&child) {
            signal.send(child.pid);
        }
    }

    pub(super) fn signal_all(&self, signal: ChildSignal) {
        self.running.values().for_each(|child| signal.send(child.pid));
    }

    /// Starts a child with the arguments of this process. A successor is given the stream to its `predecessor`.
    pub(super) fn start(
        &mut self,
        spec: &ChildSpec,
        predecessor: Option<&UnixStream>,
    ) -> std::io::Result<ChildId> {
        let (supervisors_end, childs_end) = UnixStream::pair()?;
        let link = inherit(childs_end.as_fd())?;
        let predecessor = predecessor.map(|stream| inherit(stream.as_fd())).transpose()?;
        let child = command(spec, &link, predecessor.as_ref()).spawn()?;
        self.last_id += 1;
        let (id, pid) = (ChildId(self.last_id), child.id());
        let serving = ServingChild::of(spec.clone(), pid);
        self.running.insert(id, RunningChild { pid, stream: supervisors_end.try_clone()?, serving });
        let on_line = self.events.clone();
        let reader = std::thread::spawn(move || {
            read_lines(&supervisors_end, |line, _| {
                let _ = on_line.send(Event::ChildLine { child: id, line: line.into() });
            });
        });
        let on_end = self.events.clone();
        std::thread::spawn(move || {
            let status = wait(child, reader);
            let _ = on_end.send(Event::ChildEnded { child: id, status });
        });
        Ok(id)
    }
}

/// Returns the command that starts a child, with its streams and its operators' file named in environment variables.
fn command(spec: &ChildSpec, link: &OwnedFd, predecessor: Option<&OwnedFd>) -> Command {
    let mut command = Command::new(&spec.program);
    command.args(std::env::args_os().skip(1));
    command.env(LINK, link.as_raw_fd().to_string());
    command.env(READS_CHANGES, "1");
    match &spec.operators {
        Some(file) => command.env(OPERATORS, file),
        None => command.env_remove(OPERATORS),
    };
    match predecessor {
        Some(stream) => command.env(PREDECESSOR, stream.as_raw_fd().to_string()),
        None => command.env_remove(PREDECESSOR),
    };
    command
}

/// Waits until a child has ended and all of its lines have been read. Guards against an end that is reported before the
/// last lines: a child that has handed over would appear to have ended during the hand-over.
fn wait(mut child: Child, reader: JoinHandle<()>) -> Option<ExitStatus> {
    let status = child.wait().ok();
    let _ = reader.join();
    status
}
