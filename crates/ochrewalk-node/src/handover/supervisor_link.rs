//! A child's end of the stream to its supervisor, on which the child reports and asks for permission to act.

use super::descriptor_socket::{read_lines, send_line};
use super::supervisor_protocol::{
    ChildLine, Question, SupervisorLine, LINK, OPERATORS, PREDECESSOR, READS_CHANGES,
};
use signal_hook::consts::SIGTERM;
use std::os::fd::{FromRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The supervisor's answers, which arrive in the order of the questions.
struct Answers {
    received: Receiver<bool>,
    /// The number of answers still expected to questions whose time-out has passed.
    abandoned: usize,
}

/// The stream to the supervisor, shared by the threads that report and ask.
pub struct SupervisorLink {
    /// Locked until a line is written completely, as a long line is written in several pieces.
    writer: Mutex<UnixStream>,
    answers: Mutex<Answers>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SupervisorLink {
    /// Returns a link on a stream that is connected with the supervisor, and a receiver of the descriptors of streams to
    /// successors that wait for this process's state. A separate thread calls `on_end` once the supervisor has ended.
    ///
    /// # Errors
    ///
    /// This process may open no more descriptors.
    pub fn new(
        stream: UnixStream,
        on_end: impl FnOnce() + Send + 'static,
    ) -> std::io::Result<(SupervisorLink, Receiver<OwnedFd>)> {
        let ((answer, received), (hand_over, successors)) = (channel(), channel());
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
        let answers = Mutex::new(Answers { received, abandoned: 0 });
        Ok((SupervisorLink { writer: Mutex::new(stream), answers }, successors))
    }

    /// Writes one line, with its line feeds replaced by spaces. Has no effect where the supervisor has ended, which
    /// `on_end` reports.
    pub fn report(&self, line: &str) {
        let _ = send_line(&lock(&self.writer), &line.replace('\n', " "), None);
    }

    /// Sends a line to the supervisor, as [`SupervisorLink::report`] does.
    pub fn send(&self, line: &ChildLine) {
        self.report(&line.to_line());
    }

    /// Asks the supervisor for a permission, and returns the answer. Returns none where no answer arrives within the time-out,
    /// or the supervisor has ended.
    pub fn ask(&self, question: Question, timeout: Duration) -> Option<bool> {
        let mut answers = lock(&self.answers);
        self.send(&ChildLine::Question(question));
        let deadline = Instant::now() + timeout;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match answers.received.recv_timeout(left) {
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

/// The streams and settings with which a supervisor started this process.
pub struct Supervised {
    /// The stream to the supervisor.
    pub link: SupervisorLink,
    /// The stream to the predecessor, where this process takes over from one.
    pub predecessor: Option<UnixStream>,
    /// Descriptors of streams to successors that wait for this process's state.
    pub successors: Receiver<OwnedFd>,
    /// The operators' file to use in place of the one on the command line.
    pub operators: Option<PathBuf>,
    /// Whether the supervisor reads reports of changed counters.
    pub reads_changes: bool,
}

/// Returns the streams and settings with which a supervisor started this process; none where no supervisor started it.
/// Must be called only once, as the call takes ownership of the descriptors.
pub fn supervised() -> Option<Supervised> {
    let descriptor = |name: &str| -> Option<UnixStream> {
        let number = std::env::var(name).ok()?.parse::<i32>().ok()?;
        std::env::remove_var(name);
        // SAFETY: the supervisor passed this descriptor for this use only, and its name was removed from the environment.
        let owned = unsafe { OwnedFd::from_raw_fd(number) };
        rustix::io::fcntl_setfd(&owned, rustix::io::FdFlags::CLOEXEC).ok()?;
        Some(UnixStream::from(owned))
    };
    let stream = descriptor(LINK)?;
    let predecessor = descriptor(PREDECESSOR);
    let operators = std::env::var_os(OPERATORS).map(PathBuf::from);
    let reads_changes = std::env::var_os(READS_CHANGES).is_some();
    // The platform regards this node as ended when its supervisor has ended, so that this process drains.
    let drain = || drop(signal_hook::low_level::raise(SIGTERM));
    let (link, successors) = SupervisorLink::new(stream, drain).ok()?;
    Some(Supervised { link, predecessor, successors, operators, reads_changes })
}
