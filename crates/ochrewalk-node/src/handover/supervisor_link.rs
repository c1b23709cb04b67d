//! A child's end of the stream to its supervisor: what it reports there, and what it asks before it acts.

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

/// Answers come in the order of the questions.
struct Answers {
    received: Receiver<bool>,
    /// Answers still to come to questions whose time-out has passed.
    abandoned: usize,
}

/// The stream to the supervisor, shared by the threads that report and ask.
pub struct SupervisorLink {
    /// A line is written completely before the next begins, as a long one goes out in pieces.
    writer: Mutex<UnixStream>,
    answers: Mutex<Answers>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SupervisorLink {
    /// Over a stream that is connected with the supervisor. The second value has the descriptors of streams to
    /// successors that wait for this process's state. `on_end` is called, by a thread of its own, once the supervisor has
    /// ended.
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

    /// Writes one line, without line feeds of its own. Nothing comes of it where the supervisor has ended, which is
    /// reported by `on_end`.
    pub fn report(&self, line: &str) {
        let _ = send_line(&lock(&self.writer), &line.replace('\n', " "), None);
    }

    /// Says something to the supervisor, as [`SupervisorLink::report`] does.
    pub fn send(&self, line: &ChildLine) {
        self.report(&line.to_line());
    }

    /// Asks, and waits for the answer: whether this process may. None where no answer came within the time-out, or the
    /// supervisor has ended.
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

/// What a supervisor started this process with.
pub struct Supervised {
    /// The stream to the supervisor.
    pub link: SupervisorLink,
    /// The stream to the predecessor, where this process is to take over from one.
    pub predecessor: Option<UnixStream>,
    /// Descriptors of streams to successors that wait for this process's state.
    pub successors: Receiver<OwnedFd>,
    /// The operators' file to go by, where it is not the one on the command line.
    pub operators: Option<PathBuf>,
    /// Whether changed counters may be reported in place of all of them.
    pub reads_changes: bool,
}

/// What a supervisor started this process with; none where no supervisor did. To be called once: the descriptors are
/// this call's from then on.
pub fn supervised() -> Option<Supervised> {
    let descriptor = |name: &str| -> Option<UnixStream> {
        let number = std::env::var(name).ok()?.parse::<i32>().ok()?;
        std::env::remove_var(name);
        // SAFETY: the supervisor passed this descriptor on for this use alone, and nobody else finds its name any more.
        let owned = unsafe { OwnedFd::from_raw_fd(number) };
        rustix::io::fcntl_setfd(&owned, rustix::io::FdFlags::CLOEXEC).ok()?;
        Some(UnixStream::from(owned))
    };
    let stream = descriptor(LINK)?;
    let predecessor = descriptor(PREDECESSOR);
    let operators = std::env::var_os(OPERATORS).map(PathBuf::from);
    let reads_changes = std::env::var_os(READS_CHANGES).is_some();
    // For the platform this node has ended with its supervisor.
    let drain = || drop(signal_hook::low_level::raise(SIGTERM));
    let (link, successors) = SupervisorLink::new(stream, drain).ok()?;
    Some(Supervised { link, predecessor, successors, operators, reads_changes })
}
