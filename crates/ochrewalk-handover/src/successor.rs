//! The side that is to take over: whether it accepts what is offered, when it starts, and when it exits instead.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `HelloSent` | `Offer` that fits; it sends `Prepare` | `Receiving` |
//! | `Receiving` | `Chunk`; it is stored | `Receiving` |
//! | `Receiving` | `AheadComplete`; it sends `Ready` | `Ready` |
//! | `Ready` | `Chunk`; it is stored | `Ready` |
//! | `Ready` | `TransferComplete`; it loads the state and sends `Loaded` | `Loaded` |
//! | `Loaded` | `Release`, or the predecessor has ended; it starts with the state | `Serving` |
//! | `Loaded` | the deadline passes; it has the predecessor killed | `Loaded` |
//! | any before `Loaded` | the predecessor has ended; it starts fresh | `Serving` |
//! | any before `Loaded` | a refusal, a lost chunk, an unexpected message, the deadline | `Ended` |

use crate::messages::{Empty, Hello, Message, Offer, Prepare, Refusal, Section};
use crate::{NEWEST_VERSION, OLDEST_VERSION};
use thiserror::Error;

/// What a [`Successor`] has its process do.
pub trait Actions {
    /// Why the state cannot be restored.
    type LoadError: std::error::Error;

    /// Sends a message. One that cannot be written is ignored: the stream's end is reported as an event of its own.
    fn send(&mut self, message: Message);
    /// Stores a chunk of a section, and the descriptors that came with it.
    fn store(&mut self, section: &str, bytes: &[u8], descriptors: u32);
    /// Restores the state from all stored chunks, without acting on any of it.
    ///
    /// # Errors
    ///
    /// The chunks do not make up a state that this program can go on with.
    fn load(&mut self) -> Result<(), Self::LoadError>;
    /// Serves from here on, with the state that was loaded.
    fn start(&mut self);
    /// Serves from here on as after any start: the predecessor ended before it had sent all of its state.
    fn start_fresh(&mut self);
    /// Has the predecessor's process killed, so that its end is reported.
    fn kill_peer(&mut self);
    /// Ends this process, as nothing is to be taken over.
    fn exit(&mut self, error: &SuccessorError);
}

/// How long each step may take, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// For the predecessor's next message before it pauses.
    pub answer_us: u64,
    /// For its next message once it has paused.
    pub pause_us: u64,
}

/// How far a hand-over has come on this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// `Hello` is out.
    HelloSent,
    /// The offer is accepted; chunks may come before the pause.
    Receiving,
    /// All that was sent ahead is here; the predecessor has paused, or will.
    Ready,
    /// All of the state is here and restored; this side waits for the release.
    Loaded,
    /// This process serves.
    Serving,
    /// Nothing is taken over.
    Ended,
}

/// What this program can take over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Capabilities {
    /// The digest of the settings that only a start can change.
    pub digest: u64,
    /// The program's version.
    pub program: String,
    /// The newest version of each section that it knows.
    pub known_sections: Vec<Section>,
    /// The most memory that the predecessor's state may take, in bytes.
    pub bytes: u64,
    /// The most descriptors that the predecessor may have open.
    pub descriptors: u32,
}

/// Why an offer is not accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OfferError {
    /// A section is unknown, or its format is newer than the known one.
    #[error("it does not know {name} of version {version}")]
    UnknownSection {
        /// The section's name.
        name: String,
        /// The offered version of its format.
        version: u32,
    },
    /// The predecessor has more memory than this process may take.
    #[error("{offered} bytes of state, room for {allowed}")]
    TooManyBytes {
        /// Bytes of the predecessor.
        offered: u64,
        /// Bytes that this process may take.
        allowed: u64,
    },
    /// The predecessor has more descriptors than this process may open.
    #[error("{offered} descriptors, room for {allowed}")]
    TooManyDescriptors {
        /// Descriptors of the predecessor.
        offered: u32,
        /// Descriptors that this process may open.
        allowed: u32,
    },
}

/// Why nothing is taken over. The text goes to the predecessor and the log.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SuccessorError {
    /// The offer does not fit.
    #[error(transparent)]
    Offer(#[from] OfferError),
    /// The state cannot be restored.
    #[error("{reason}")]
    Load {
        /// The text of the error that [`Actions::load`] gave.
        reason: String,
    },
    /// A message came that has no place in this state, or a chunk was lost.
    #[error("a message out of turn")]
    UnexpectedMessage,
    /// A deadline passed.
    #[error("the running program took too long")]
    TimedOut,
    /// [`Successor::drain`] was called.
    #[error("told to leave")]
    DrainRequested,
    /// The predecessor declined or gave up.
    #[error("{reason}")]
    EndedByPredecessor {
        /// The predecessor's reason.
        reason: String,
    },
}

/// One hand-over, on the side of the process that is to take over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    state: State,
    deadline_us: Option<u64>,
    limits: Limits,
    capabilities: Capabilities,
    /// Chunks since the last count.
    chunks: u64,
}

impl Successor {
    /// Begins: this process has read its files, and `Hello` goes out.
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

    /// How far the hand-over has come.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether this process may read, start, answer and call.
    pub fn may_act(&self) -> bool {
        self.state == State::Serving
    }

    /// The time in microseconds by which something has to come; none once the hand-over is over.
    pub fn deadline_us(&self) -> Option<u64> {
        self.deadline_us
    }

    /// A message has come from the predecessor.
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
                // The transfer ahead may take long as a whole; the predecessor serves meanwhile.
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

    /// The stream has ended, and with it the predecessor's process: nobody serves.
    pub fn peer_ended(&mut self, actions: &mut impl Actions) {
        match self.state {
            State::Serving | State::Ended => {}
            // The predecessor was paused when it ended, and all of its state is here.
            State::Loaded => self.serve(actions),
            State::HelloSent | State::Receiving | State::Ready => {
                (self.state, self.deadline_us) = (State::Serving, None);
                actions.start_fresh();
            }
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now_us: u64, actions: &mut impl Actions) {
        if self.deadline_us.is_none_or(|deadline_us| now_us < deadline_us) {
            return;
        }
        if self.state == State::Loaded {
            // The predecessor is paused or has released its state: if it does not answer it hangs, and is killed.
            actions.kill_peer();
            self.deadline_us = Some(now_us + self.limits.pause_us);
        } else {
            self.abort(&SuccessorError::TimedOut, actions);
        }
    }

    /// This process is to drain. Ignored once all of the state is loaded, as this process may be the last one alive:
    /// then the caller lets it start first, and drains it afterwards.
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

    /// `Started` goes out before the first act: a predecessor that has not received it may resume.
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
