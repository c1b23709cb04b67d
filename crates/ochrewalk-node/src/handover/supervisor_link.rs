//! A serving program's end of the stream to its supervisor: what it reports there, and what it asks before it acts.

use super::descriptor_socket::{read_lines, send_line};
use super::supervisor_protocol::{
    ChildLine, Question, SupervisorLine, LINK, OPERATORS, PREDECESSOR, READS_CHANGES,
};
use signal_hook::consts::SIGTERM;
use std::os::fd::{FromRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Answers come in the order of the questions.
struct Answers {
    came: Receiver<bool>,
    /// Answers still to come to questions that were given up.
    abandoned: usize,
}

/// The stream to the supervisor, shared by the threads that report and ask.
pub struct SupervisorLink {
    /// One line is written whole before the next begins: a long one is written in pieces.
    writer: Mutex<UnixStream>,
    answers: Mutex<Answers>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl SupervisorLink {
    /// Over that stream. The second value has the streams on which a successor waits for this program's state.
    /// `on_end` is called, by a thread of its own, once the supervisor has ended.
    pub fn new(
        stream: UnixStream,
        on_end: impl FnOnce() + Send + 'static,
    ) -> std::io::Result<(SupervisorLink, Receiver<OwnedFd>)> {
        let ((answer, came), (hand_over, successors)) = (channel(), channel());
        let reader = stream.try_clone()?;
        std::thread::spawn(move || {
            read_lines(&reader, |line, descriptor| match (SupervisorLine::of_line(line), descriptor) {
                (Some(SupervisorLine::HandOver), Some(descriptor)) => drop(hand_over.send(descriptor)),
                (Some(SupervisorLine::Allowed), _) => drop(answer.send(true)),
                (Some(SupervisorLine::Denied), _) => drop(answer.send(false)),
                (Some(SupervisorLine::HandOver) | None, _) => {}
            });
            on_end();
        });
        let answers = Mutex::new(Answers { came, abandoned: 0 });
        Ok((SupervisorLink { writer: Mutex::new(stream), answers }, successors))
    }

    /// Writes one line. Nothing comes of it where the supervisor has ended, which is heard elsewhere.
    pub fn report(&self, line: &str) {
        let _ = send_line(&lock(&self.writer), &line.replace('\n', " "), None);
    }

    /// Says something to the supervisor. Nothing comes of it where the supervisor has ended, which is reported
    /// elsewhere.
    pub fn send(&self, line: &ChildLine) {
        self.report(&line.to_line());
    }

    /// Asks, and waits for the answer for so long; none after that.
    pub fn ask(&self, question: Question, patience: Duration) -> Option<bool> {
        let mut answers = lock(&self.answers);
        self.send(&ChildLine::Question(question));
        let until = Instant::now() + patience;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match answers.came.recv_timeout(left) {
                Ok(_) if answers.abandoned > 0 => answers.abandoned -= 1,
                Ok(answer) => return Some(answer),
                Err(_) => {
                    answers.abandoned += 1;
                    return None;
                }
            }
        }
    }
}

/// What a supervisor started this process with.
pub struct Supervised {
    pub link: SupervisorLink,
    /// The stream to the program that it succeeds.
    pub predecessor: Option<UnixStream>,
    /// Streams on which a successor waits for this program's state.
    pub successors: Receiver<OwnedFd>,
    /// The operators' file to go by, where it is another one.
    pub operators: Option<PathBuf>,
    /// Whether changed counters may be reported in place of all of them.
    pub reads_changes: bool,
}

/// What this process was started with; none where no supervisor started it. Once only.
pub fn supervised() -> Option<Supervised> {
    let descriptor = |name: &str| -> Option<UnixStream> {
        let number = std::env::var(name).ok()?.parse::<i32>().ok()?;
        std::env::remove_var(name);
        // SAFETY: the supervisor passed this descriptor on for this use alone, and the name is gone now.
        let owned = unsafe { OwnedFd::from_raw_fd(number) };
        rustix::io::fcntl_setfd(&owned, rustix::io::FdFlags::CLOEXEC).ok()?;
        Some(UnixStream::from(owned))
    };
    let stream = descriptor(LINK)?;
    let predecessor = descriptor(PREDECESSOR);
    let operators = std::env::var_os(OPERATORS).map(PathBuf::from);
    let reads_changes = std::env::var_os(READS_CHANGES).is_some();
    // For the platform this node has ended with its supervisor.
    let leave = || drop(signal_hook::low_level::raise(SIGTERM));
    let (link, successors) = SupervisorLink::new(stream, leave).ok()?;
    Some(Supervised { link, predecessor, successors, operators, reads_changes })
}
