//! The side that is to take over: it receives all of the predecessor's state, restores it without acting on any of it,
//! and starts once the predecessor has released it.

use super::failure_injection::{fail_if_asked, Step};
use super::hand_over_stream::{HandOverStream, Received};
use super::received_state::{ChunkStore, LoadError, ReceivedState};
use super::records;
use super::supervisor_link::SupervisorLink;
use super::supervisor_protocol::{ChildLine, Question};
use crate::clock::Clock;
use ochrewalk_handover::messages::{Message, Refusal};
use ochrewalk_handover::successor::{Actions, Capabilities, Limits, State, Successor, SuccessorError};
use std::time::Duration;
use thiserror::Error;

const LIMITS: Limits = Limits { answer_us: 5_000_000, pause_us: 3_000_000 };
/// How often the supervisor is asked for the right to start: that the predecessor has ended it may hear a moment later.
const MAX_START_ATTEMPTS: u32 = 100;
/// How long each answer may take.
const MAX_START_WAIT: Duration = Duration::from_secs(60);
/// How often interruptions are looked at beside messages, and between two questions to the supervisor.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How this process is to start.
pub enum StartMode<N> {
    /// With a node that was put together from the predecessor's state.
    WithState(N),
    /// As after any start: the predecessor ended with its state.
    Fresh,
}

/// What this process can take over.
pub struct TakeOverLimits {
    /// A digest of the settings that only a start can change.
    pub digest: u64,
    /// The most memory that the predecessor's state may take, in bytes.
    pub bytes: u64,
    /// The most descriptors that the predecessor may have open.
    pub descriptors: u32,
}

/// Why nothing was taken over. The predecessor goes on.
#[derive(Debug, Error)]
pub enum TakeOverError {
    /// The hand-over came to nothing.
    #[error(transparent)]
    Ended(#[from] SuccessorError),
    /// The supervisor did not allow this process to start.
    #[error("the running program goes on")]
    StartDenied,
    /// The stream from the predecessor is broken, or what came is not of the protocol.
    #[error("what is passed on cannot be read: {0}")]
    Stream(#[source] std::io::Error),
}

/// Tells the predecessor that nothing is taken over, as this process cannot use its files.
pub fn refuse(stream: &HandOverStream, reason: &str) {
    let _ = stream.send(Message::Refuse(Refusal { reason: reason.replace('\n', "; ") }), &[]);
}

/// Takes over from the predecessor at the other end of `stream`. `is_interrupted` says whether this process is to drain;
/// `build` puts the node together from the predecessor's state, without acting on any of it.
///
/// # Errors
///
/// Nothing was taken over; this process is to end.
pub fn take_over<N>(
    stream: HandOverStream,
    link: &SupervisorLink,
    limits: &TakeOverLimits,
    is_interrupted: impl Fn() -> bool,
    build: impl FnMut(ReceivedState) -> Result<N, String>,
) -> Result<StartMode<N>, TakeOverError> {
    fail_if_asked(Step::BeforeHello);
    let clock = Clock::start();
    let chunks = ChunkStore::new();
    let mut actions = ProcessActions { stream, link, build, chunks, built: None, outcome: None };
    let mut successor = Successor::new(clock.now_us(), LIMITS, capabilities(limits), &mut actions);
    fail_if_asked(Step::HelloSent);
    loop {
        if let Some(outcome) = actions.outcome.take() {
            if outcome.is_ok() {
                fail_if_asked(Step::Started);
            }
            return outcome;
        }
        if is_interrupted() {
            successor.drain(&mut actions);
        }
        match actions.stream.receive(POLL_INTERVAL).map_err(TakeOverError::Stream)? {
            Received::Message(message) => {
                let before = successor.state();
                successor.message(clock.now_us(), &message, &mut actions);
                match (before, successor.state()) {
                    (State::Receiving, State::Ready) => fail_if_asked(Step::Ready),
                    (State::Ready, State::Loaded) => fail_if_asked(Step::Loaded),
                    _ => {}
                }
            }
            Received::Ended => successor.peer_ended(&mut actions),
            Received::Unknown | Received::TimedOut => successor.tick(clock.now_us(), &mut actions),
        }
    }
}

fn capabilities(limits: &TakeOverLimits) -> Capabilities {
    let (mut known_sections, ahead) = records::sections();
    known_sections.extend(ahead);
    let TakeOverLimits { digest, bytes, descriptors } = *limits;
    Capabilities {
        digest,
        program: env!("CARGO_PKG_VERSION").to_string(),
        known_sections,
        bytes,
        descriptors,
    }
}

/// What the state machine has this process do.
struct ProcessActions<'a, N, B> {
    stream: HandOverStream,
    link: &'a SupervisorLink,
    build: B,
    chunks: ChunkStore,
    built: Option<N>,
    /// How the hand-over ended, once it has.
    outcome: Option<Result<StartMode<N>, TakeOverError>>,
}

impl<N, B: FnMut(ReceivedState) -> Result<N, String>> Actions for ProcessActions<'_, N, B> {
    type LoadError = LoadError;

    fn send(&mut self, message: Message) {
        let _ = self.stream.send(message, &[]);
    }

    fn store(&mut self, section: &str, bytes: &[u8], descriptors: u32) {
        let descriptors = self.stream.take_descriptors(descriptors as usize);
        self.chunks.store(section, bytes, descriptors);
    }

    fn load(&mut self) -> Result<(), LoadError> {
        let state = self.chunks.take_state()?;
        let built = (self.build)(state).map_err(|reason| LoadError::Assembly { reason })?;
        self.built = Some(built);
        Ok(())
    }

    fn start(&mut self) {
        let mode = self.built.take().map_or(StartMode::Fresh, StartMode::WithState);
        self.start_if_allowed(mode);
    }

    fn start_fresh(&mut self) {
        self.start_if_allowed(StartMode::Fresh);
    }

    fn kill_peer(&mut self) {
        self.link.send(&ChildLine::KillPeer);
    }

    fn exit(&mut self, error: &SuccessorError) {
        self.outcome = Some(Err(error.clone().into()));
    }
}

impl<N, B> ProcessActions<'_, N, B> {
    /// The supervisor, which started both processes, has the last word on which of them acts.
    fn start_if_allowed(&mut self, mode: StartMode<N>) {
        let is_allowed = (0..MAX_START_ATTEMPTS).any(|attempt| {
            if attempt > 0 {
                std::thread::sleep(POLL_INTERVAL);
            }
            self.link.ask(Question::MayBegin, MAX_START_WAIT) == Some(true)
        });
        self.outcome = Some(if is_allowed { Ok(mode) } else { Err(TakeOverError::StartDenied) });
    }
}
