//! The side that takes over in a hand-over: whether it accepts an offer, when it starts, and when it exits
//! instead.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `HelloSent` | `Offer` that is acceptable; it sends `Prepare` | `Receiving` |
//! | `Receiving` | `Chunk`; it is stored | `Receiving` |
//! | `Receiving` | `AheadComplete`; it sends `Ready` | `Ready` |
//! | `Ready` | `Chunk`; it is stored | `Ready` |
//! | `Ready` | `TransferComplete`; it loads the state and sends `Loaded` | `Loaded` |
//! | `Loaded` | `Release`, or the predecessor has ended; it starts with the state | `Serving` |
//! | `Loaded` | the deadline passes; it requests that the predecessor is killed | `Loaded` |
//! | any before `Loaded` | the predecessor has ended; it starts without the state | `Serving` |
//! | any before `Loaded` | a refusal, a lost chunk, an unexpected message, the deadline | `Ended` |

use crate::messages::{Empty, Hello, Message, Offer, Prepare, Refusal, Section};
use crate::{NEWEST_VERSION, OLDEST_VERSION};
use thiserror::Error;

/// The actions that a [`Successor`] requests from its process.
pub trait Actions {
    /// The reason for which the state cannot be restored.
    type LoadError: std::error::Error;

    /// Sends a message. A message that cannot be written is ignored, because the end of the stream is
    /// reported as a separate event.
    fn send(&mut self, message: Message);
    /// Stores a chunk of a section, and the descriptors that were sent with it.
    fn store(&mut self, section: &str, bytes: &[u8], descriptors: u32);
    /// Restores the state from all stored chunks, without acting on it.
    ///
    /// # Errors
    ///
    /// Returns an error if this program cannot restore its state from the chunks.
    fn load(&mut self) -> Result<(), Self::LoadError>;
    /// Starts serving, with the state that was loaded.
    fn start(&mut self);
    /// Starts serving without the predecessor's state, because the predecessor ended before it had sent all
    /// of it.
    fn start_fresh(&mut self);
    /// Requests that the predecessor's process is killed, so that its end is reported.
    fn kill_peer(&mut self);
    /// Ends this process, because it does not take over.
    fn exit(&mut self, error: &SuccessorError);
}

/// The maximum time to wait for the predecessor, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// The time for the predecessor's next message before it pauses.
    pub answer_us: u64,
    /// The time for the predecessor's next message after it has paused.
    pub pause_us: u64,
}

/// The progress of a hand-over on this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// `Hello` has been sent.
    HelloSent,
    /// The offer is accepted; chunks may arrive ahead of the pause.
    Receiving,
    /// All chunks that were sent ahead have arrived; the predecessor has paused or is about to.
    Ready,
    /// The complete state has been received and restored; this side waits for the release.
    Loaded,
    /// This process is serving.
    Serving,
    /// This process does not take over.
    Ended,
}

/// The state that this program can take over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Capabilities {
    /// The digest of the settings that only a restart can change.
    pub digest: u64,
    /// The program's version.
    pub program: String,
    /// The newest version that the program supports of each section.
    pub known_sections: Vec<Section>,
    /// The maximum memory of the predecessor, in bytes.
    pub bytes: u64,
    /// The maximum number of descriptors that the predecessor may have open.
    pub descriptors: u32,
}

/// The reason for which an offer is not accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OfferError {
    /// A section is unknown, or its format is newer than the supported one.
    #[error("it does not know {name} of version {version}")]
    UnknownSection {
        /// The section's name.
        name: String,
        /// The offered version of its format.
        version: u32,
    },
    /// The predecessor uses more memory than this process may take.
    #[error("{offered} bytes of state, room for {allowed}")]
    TooManyBytes {
        /// Bytes of the predecessor.
        offered: u64,
        /// Bytes that this process may take.
        allowed: u64,
    },
    /// The predecessor has more open descriptors than this process may open.
    #[error("{offered} descriptors, room for {allowed}")]
    TooManyDescriptors {
        /// Descriptors of the predecessor.
        offered: u32,
        /// Descriptors that this process may open.
        allowed: u32,
    },
}

/// The reason for which this process does not take over. The text is sent to the predecessor and the log.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SuccessorError {
    /// The offer is not acceptable.
    #[error(transparent)]
    Offer(#[from] OfferError),
    /// The state cannot be restored.
    #[error("{reason}")]
    Load {
        /// The text of the error that [`Actions::load`] returned.
        reason: String,
    },
    /// A message arrived that is not valid in this state, or a chunk was lost.
    #[error("a message out of turn")]
    UnexpectedMessage,
    /// A deadline passed.
    #[error("the running program took too long")]
    TimedOut,
    /// [`Successor::drain`] was called.
    #[error("told to leave")]
    DrainRequested,
    /// The predecessor declined the hand-over or ended the attempt.
    #[error("{reason}")]
    EndedByPredecessor {
        /// The predecessor's reason.
        reason: String,
    },
}

/// A hand-over, on the side of the process that takes over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    state: State,
    deadline_us: Option<u64>,
    limits: Limits,
    capabilities: Capabilities,
    /// The number of chunks since the last count.
    chunks: u64,
}

impl Successor {
    /// Begins a hand-over and sends `Hello`; the process has read its files.
    pub fn new(
        now_us: u64,
        limits: Limits,
        capabilities: Capabilities,
        actions: &mut impl Actions,
    ) -> Successor {
        let (digest, program) = (capabilities.digest, capabilities.program.clone());
        actions.send(Message::Hello(Hello {
            oldest: OLDEST_VERSION,
            newest: NEWEST_VERSION,
            program,
            digest,
        }));
        Successor {
            state: State::HelloSent,
            deadline_us: Some(now_us + limits.answer_us),
            limits,
            capabilities,
            chunks: 0,
        }
    }

    /// Returns the progress of the hand-over.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether this process may read, start, answer and call.
    pub fn may_act(&self) -> bool {
        self.state == State::Serving
    }

    /// Returns the time in microseconds by which the next message has to arrive, or `None` once the hand-over
    /// is over.
    pub fn deadline_us(&self) -> Option<u64> {
        self.deadline_us
    }

    /// Handles a message from the predecessor.
    pub fn message(&mut self, now_us: u64, message: &Message, actions: &mut impl Actions) {
        match (self.state, message) {
            (State::Serving | State::Ended, _) => {}
            (State::HelloSent, Message::Offer(offer)) => match self.check(offer) {
                Err(error) => self.abort(&error.into(), actions),
                Ok(()) => {
                    actions.send(Message::Prepare(Prepare {}));
                    self.enter(State::Receiving, now_us + self.limits.answer_us);
                }
            },
            (State::Receiving | State::Ready, Message::Chunk(chunk)) => {
                self.chunks += 1;
                // The transfer ahead may take long in total, because the predecessor continues to serve.
                if self.state == State::Receiving {
                    let deadline_us = now_us + self.limits.answer_us;
                    self.deadline_us = self.deadline_us.max(Some(deadline_us));
                }
                actions.store(&chunk.section, &chunk.bytes, chunk.descriptors);
            }
            (State::Receiving, Message::AheadComplete(count)) if count.chunks == self.chunks => {
                self.chunks = 0;
                actions.send(Message::Ready(Empty {}));
                self.enter(State::Ready, now_us + self.limits.pause_us);
            }
            (State::Ready, Message::TransferComplete(count)) if count.chunks == self.chunks => {
                self.load(now_us, actions);
            }
            (State::Loaded, Message::Release(_)) => self.serve(actions),
            (_, Message::Refuse(refusal) | Message::Abort(refusal)) => {
                let reason = refusal.reason.clone();
                self.end(&SuccessorError::EndedByPredecessor { reason }, actions);
            }
            (_, _) => self.abort(&SuccessorError::UnexpectedMessage, actions),
        }
    }

    /// Handles the end of the stream, which means that the predecessor's process has ended and no process is
    /// serving.
    pub fn peer_ended(&mut self, actions: &mut impl Actions) {
        match self.state {
            State::Serving | State::Ended => {}
            // The predecessor was paused when it ended, and its complete state has arrived.
            State::Loaded => self.serve(actions),
            State::HelloSent | State::Receiving | State::Ready => {
                (self.state, self.deadline_us) = (State::Serving, None);
                actions.start_fresh();
            }
        }
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now_us: u64, actions: &mut impl Actions) {
        if self.deadline_us.is_none_or(|deadline_us| now_us < deadline_us) {
            return;
        }
        if self.state == State::Loaded {
            // The predecessor is paused or has released its state. If it does not answer it hangs, and is
            // killed.
            actions.kill_peer();
            self.deadline_us = Some(now_us + self.limits.pause_us);
        } else {
            self.abort(&SuccessorError::TimedOut, actions);
        }
    }

    /// Drains this process. Ignored once the complete state is loaded, because this process may then be the
    /// last one running: the caller lets it start first, and drains it afterwards.
    pub fn drain(&mut self, actions: &mut impl Actions) {
        if matches!(self.state, State::HelloSent | State::Receiving | State::Ready) {
            self.abort(&SuccessorError::DrainRequested, actions);
        }
    }

    fn check(&self, offer: &Offer) -> Result<(), OfferError> {
        for Section { name, version } in &offer.sections {
            let known = self.capabilities.known_sections.iter().find(|known| known.name == *name);
            if known.is_none_or(|known| known.version < *version) {
                return Err(OfferError::UnknownSection { name: name.clone(), version: *version });
            }
        }
        let Capabilities { bytes, descriptors, .. } = self.capabilities;
        if offer.bytes > bytes {
            return Err(OfferError::TooManyBytes { offered: offer.bytes, allowed: bytes });
        }
        if offer.descriptors > descriptors {
            return Err(OfferError::TooManyDescriptors { offered: offer.descriptors, allowed: descriptors });
        }
        Ok(())
    }

    fn load(&mut self, now_us: u64, actions: &mut impl Actions) {
        if let Err(error) = actions.load() {
            return self.abort(&SuccessorError::Load { reason: error.to_string() }, actions);
        }
        actions.send(Message::Loaded(Empty {}));
        self.enter(State::Loaded, now_us + self.limits.pause_us);
    }

    /// Sends `Started` before the first action, because a predecessor that has not received it may resume.
    fn serve(&mut self, actions: &mut impl Actions) {
        (self.state, self.deadline_us) = (State::Serving, None);
        actions.send(Message::Started(Empty {}));
        actions.start();
    }

    fn enter(&mut self, state: State, deadline_us: u64) {
        (self.state, self.deadline_us) = (state, Some(deadline_us));
    }

    fn abort(&mut self, error: &SuccessorError, actions: &mut impl Actions) {
        actions.send(Message::Abort(Refusal { reason: error.to_string() }));
        self.end(error, actions);
    }

    fn end(&mut self, error: &SuccessorError, actions: &mut impl Actions) {
        (self.state, self.deadline_us) = (State::Ended, None);
        actions.exit(error);
    }
}
