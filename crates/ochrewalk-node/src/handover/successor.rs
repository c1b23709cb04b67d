//! The successor's side of a hand-over: receives the predecessor's complete state, restores it without acting on it, and
//! starts once the predecessor has released the state.

use super::failure_injection::{fail_if_requested, Step};
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
/// The number of requests to the supervisor for the right to start: the supervisor may notice the predecessor's end later
/// than this process.
const MAX_START_ATTEMPTS: u32 = 100;
/// The time limit for each answer.
const MAX_START_WAIT: Duration = Duration::from_secs(60);
/// The interval at which interruptions are checked while this process waits for messages, and the interval between two
/// questions to the supervisor.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The way in which this process starts.
pub enum StartMode<N> {
    /// With a node that was assembled from the predecessor's state.
    WithState(N),
    /// Without state: the predecessor has ended, and its state is lost.
    Fresh,
}

/// The limits of the state that this process can take over.
pub struct TakeOverLimits {
    /// A digest of the settings that only a restart can change.
    pub digest: u64,
    /// The maximal memory of the predecessor's state, in bytes.
    pub bytes: u64,
    /// The maximal number of descriptors that the predecessor may have open.
    pub descriptors: u32,
}

/// The reason why nothing was taken over. The predecessor continues to serve.
#[derive(Debug, Error)]
pub enum TakeOverError {
    /// The hand-over failed.
    #[error(transparent)]
    Ended(#[from] SuccessorError),
    /// The supervisor did not allow this process to start.
    #[error("the supervisor did not allow the start; the running program continues")]
    StartDenied,
    /// The stream from the predecessor is broken, or its bytes violate the protocol.
    #[error("the stream from the running program cannot be read: {0}")]
    Stream(#[source] std::io::Error),
}

/// Notifies the predecessor that nothing is taken over, as this process cannot use its files.
pub fn refuse(stream: &HandOverStream, reason: &str) {
    let _ = stream.send(Message::Refuse(Refusal { reason: reason.replace('\n', "; ") }), &[]);
}

/// Takes over from the predecessor at the other end of `stream`. `is_interrupted` returns whether this process has to
/// drain; `assemble` assembles the node from the predecessor's state, without acting on any of it.
///
/// # Errors
///
/// Nothing was taken over; the caller has to end this process.
pub fn take_over<N>(
    stream: HandOverStream,
    link: &SupervisorLink,
    limits: &TakeOverLimits,
    mut is_interrupted: impl FnMut() -> bool,
    assemble: impl FnMut(ReceivedState) -> Result<N, String>,
) -> Result<StartMode<N>, TakeOverError> {
    fail_if_requested(Step::BeforeHello);
    let clock = Clock::start();
    let chunks = ChunkStore::new();
    let mut actions = ProcessActions { stream, link, assemble, chunks, assembled: None, outcome: None };
    let mut successor = Successor::new(clock.now_us(), LIMITS, capabilities(limits), &mut actions);
    fail_if_requested(Step::HelloSent);
    loop {
        if let Some(outcome) = actions.outcome.take() {
            if outcome.is_ok() {
                fail_if_requested(Step::Started);
            }
            return outcome;
        }
        if is_interrupted() {
            successor.drain(&mut actions);
        }
        match actions.stream.receive(POLL_INTERVAL).map_err(TakeOverError::Stream)? {
            Received::Message(message) => {
                let previous_state = successor.state();
                successor.message(clock.now_us(), &message, &mut actions);
                match (previous_state, successor.state()) {
                    (State::Receiving, State::Ready) => fail_if_requested(Step::Ready),
                    (State::Ready, State::Loaded) => fail_if_requested(Step::Loaded),
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

/// The actions of the state machine on this process.
struct ProcessActions<'a, N, B> {
    stream: HandOverStream,
    link: &'a SupervisorLink,
    assemble: B,
    chunks: ChunkStore,
    assembled: Option<N>,
    /// The outcome of the hand-over, once it has ended.
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
        let assembled = (self.assemble)(state).map_err(|reason| LoadError::Assembly { reason })?;
        self.assembled = Some(assembled);
        Ok(())
    }

    fn start(&mut self) {
        let mode = self.assembled.take().map_or(StartMode::Fresh, StartMode::WithState);
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
    /// Ends the hand-over with `mode` if the supervisor allows the start. The supervisor started both processes, and decides
    /// which of them acts.
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
