//! The serving side of a hand-over: whether it makes an offer, when it pauses, when it releases its state,
//! and when it resumes.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | `AwaitingHello` | `Hello` that is compatible | `Offered` |
//! | `Offered` | `Prepare`; it transfers sections ahead of the pause | `Preparing` |
//! | `Preparing` | `Ready`; it pauses and transfers the other sections | `Paused` |
//! | `Paused` | `Loaded`; it sends `Release` | `Released` |
//! | `Released` | `Started` | `Retired` |
//! | `Released` | the successor has ended; it resumes | `Ended` |
//! | `Released` | the deadline passes; it requests that the successor is killed | `Released` |
//! | any before `Released` | a refusal, an unexpected message, an interruption, the successor's end, the deadline | `Ended` |

use crate::messages::{ChunkCount, Empty, Hello, Message, Offer, Refusal, Section};
use crate::{FIRST_VERSION_WITH_TRANSFER_AHEAD, NEWEST_VERSION, OLDEST_VERSION};
use thiserror::Error;

/// The actions that a [`Predecessor`] requests from its process.
pub trait Actions {
    /// Sends a message. A message that cannot be written is ignored, because the end of the stream is
    /// reported as a separate event.
    fn send(&mut self, message: Message);
    /// Sends the sections that seldom change, in chunks. The process continues to serve in the meantime,
    /// however long the transfer takes.
    fn transfer_ahead(&mut self, now_us: u64) -> TransferredAhead;
    /// Pauses, sends all other sections in chunks, and returns the number of chunks. From now on the process
    /// does not read, start, answer or call anything.
    fn pause_and_transfer(&mut self) -> u64;
    /// Continues as if no hand-over had been attempted.
    fn resume(&mut self);
    /// Requests that the successor's process is killed, so that its end is reported.
    fn kill_peer(&mut self);
    /// Ends this process, because the successor has the complete state.
    fn retire(&mut self);
    /// Reports the outcome of the attempt to its requester.
    fn report_outcome(&mut self, outcome: Result<(), &AttemptError>);
}

/// The result of the transfer ahead of the pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferredAhead {
    /// The number of chunks that were sent.
    pub chunks: u64,
    /// The time at which the last chunk was sent, in microseconds.
    pub finished_us: u64,
}

/// The maximum duration of each step, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// The time from the successor's start to its `Ready`.
    pub prepare_us: u64,
    /// The time from the pause to `Loaded`, in which no request is answered.
    pub pause_us: u64,
    /// The time from `Release` to `Started`.
    pub start_us: u64,
}

/// The factor by which a successor may take longer to read its files than this program took. The successor
/// reads them while this program is serving, on a machine that may be busier than at this program's start.
const READING_FACTOR: u64 = 8;
/// The maximum to which the reading time can extend the preparation. The requester of the upgrade waits for
/// twice this time.
const MAX_READING_US: u64 = 30_000_000;

impl Limits {
    /// Returns these limits with enough time for a successor to read files that took this program
    /// `reading_us`.
    ///
    /// ```
    /// use ochrewalk_handover::predecessor::Limits;
    /// let limits = Limits { prepare_us: 5_000_000, pause_us: 2_000_000, start_us: 1_000_000 };
    /// assert_eq!(limits.with_reading_time(1_000), limits, "small files change nothing");
    /// assert_eq!(limits.with_reading_time(1_500_000), Limits { prepare_us: 12_000_000, ..limits });
    /// assert_eq!(limits.with_reading_time(60_000_000), Limits { prepare_us: 30_000_000, ..limits });
    /// ```
    pub fn with_reading_time(self, reading_us: u64) -> Limits {
        let reading_us = reading_us.saturating_mul(READING_FACTOR).min(MAX_READING_US);
        Limits { prepare_us: self.prepare_us.max(reading_us), ..self }
    }
}

/// The progress of an attempt on this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The stream is open; the successor has sent nothing yet.
    AwaitingHello,
    /// The offer has been sent.
    Offered,
    /// The sections that seldom change have been sent.
    Preparing,
    /// The process does not read, start, answer or call anything; the rest of the state has been sent.
    Paused,
    /// `Release` has been sent: this side acts again only if the successor's process has ended.
    Released,
    /// The successor is serving.
    Retired,
    /// The attempt has failed, and this process continues to serve.
    Ended,
}

/// The content of the offer, and the values that are checked before it is made.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StateSummary {
    /// The digest that the successor's settings must have.
    pub digest: u64,
    /// The sections that are sent during the pause.
    pub sections: Vec<Section>,
    /// The sections that are sent before the pause, to successors that can receive them.
    pub ahead_sections: Vec<Section>,
    /// Resident memory of this process, in bytes.
    pub bytes: u64,
    /// Open descriptors of this process.
    pub descriptors: u32,
    /// The resource that does not suffice for two processes at once, if any.
    pub shortage: Option<Shortage>,
}

/// A resource of which two processes would need more than is allowed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum Shortage {
    /// Memory, in MiB.
    #[error("{in_use_mb} MB in use, twice that is more than the {allowed_mb} MB allowed")]
    Memory {
        /// Resident memory of this process.
        in_use_mb: u64,
        /// The memory that the deployment allows.
        allowed_mb: u64,
    },
    /// File descriptors.
    #[error("{in_use} descriptors in use, twice that is more than the {allowed} allowed")]
    Descriptors {
        /// Open descriptors of this process.
        in_use: usize,
        /// The number of descriptors that the deployment allows.
        allowed: usize,
    },
}

/// The reason for which this side makes no offer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RefuseError {
    /// The two sides have no protocol version in common.
    #[error("it speaks versions {oldest} to {newest}, this program {OLDEST_VERSION} to {NEWEST_VERSION}")]
    NoCommonVersion {
        /// The oldest version that the successor speaks.
        oldest: u32,
        /// The newest version that the successor speaks.
        newest: u32,
    },
    /// The digests of the two sides' settings differ.
    #[error("its files set what only a start can change")]
    SettingsDiffer,
    /// The deployment's limits do not allow two processes.
    #[error(transparent)]
    Shortage(#[from] Shortage),
}

/// The reason for which an attempt failed. The text is sent to the successor, the log and the requester of
/// the upgrade.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum AttemptError {
    /// This side made no offer.
    #[error(transparent)]
    Refused(#[from] RefuseError),
    /// The successor sent a refusal.
    #[error("the new program refused: {reason}")]
    RefusedBySuccessor {
        /// The successor's reason.
        reason: String,
    },
    /// A message arrived that is not valid in this state.
    #[error("a message out of turn")]
    UnexpectedMessage,
    /// The successor's process ended before this side released its state.
    #[error("the new program ended")]
    SuccessorEnded,
    /// The successor's process ended after the release and before it started.
    #[error("the new program ended before it began")]
    SuccessorEndedBeforeStart,
    /// A deadline passed before the release.
    #[error("the new program took too long")]
    TimedOut,
    /// [`Predecessor::interrupt`] was called.
    #[error("{reason}")]
    Interrupted {
        /// The caller's reason.
        reason: String,
    },
}

/// An attempt to hand over, on the side of the process that is serving.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Predecessor {
    state: State,
    deadline_us: Option<u64>,
    limits: Limits,
    summary: StateSummary,
    /// Whether the successor can receive sections ahead of the pause.
    transfers_ahead: bool,
}

impl Predecessor {
    /// Creates an attempt whose successor was started at `now_us`.
    pub fn new(now_us: u64, limits: Limits, summary: StateSummary) -> Predecessor {
        Predecessor {
            state: State::AwaitingHello,
            deadline_us: Some(now_us + limits.prepare_us),
            limits,
            summary,
            transfers_ahead: false,
        }
    }

    /// Returns the progress of the attempt.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether this process may read, start, answer and call.
    pub fn may_act(&self) -> bool {
        !matches!(self.state, State::Paused | State::Released | State::Retired)
    }

    /// Whether the attempt has failed, so that another one may begin.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Returns the time in microseconds by which the next message has to arrive, or `None` once the attempt
    /// is over.
    pub fn deadline_us(&self) -> Option<u64> {
        self.deadline_us
    }

    /// Handles a message from the successor.
    pub fn message(&mut self, now_us: u64, message: &Message, actions: &mut impl Actions) {
        match (self.state, message) {
            (State::Ended | State::Retired, _) => {}
            (State::AwaitingHello, Message::Hello(hello)) => self.hello(hello, actions),
            (State::Offered, Message::Prepare(_)) => self.prepare(now_us, actions),
            (State::Preparing, Message::Ready(_)) => {
                self.enter(State::Paused, now_us + self.limits.pause_us);
                let chunks = actions.pause_and_transfer();
                actions.send(Message::TransferComplete(ChunkCount { chunks }));
            }
            (State::Paused, Message::Loaded(_)) => {
                // From now on this side acts only after the successor is known to have ended.
                self.enter(State::Released, now_us + self.limits.start_us);
                actions.send(Message::Release(Empty {}));
            }
            (State::Released, Message::Started(_)) => {
                (self.state, self.deadline_us) = (State::Retired, None);
                actions.report_outcome(Ok(()));
                actions.retire();
            }
            // After the release the successor cannot refuse any more; only the end of its process counts.
            (State::Released, _) => {}
            (_, Message::Refuse(refusal) | Message::Abort(refusal)) => {
                let reason = refusal.reason.clone();
                self.end(&AttemptError::RefusedBySuccessor { reason }, actions);
            }
            (_, _) => self.abort(&AttemptError::UnexpectedMessage, actions),
        }
    }

    /// Handles the end of the stream, which means that the successor's process has ended.
    pub fn peer_ended(&mut self, actions: &mut impl Actions) {
        match self.state {
            State::Ended | State::Retired => {}
            // The successor had not started, so it has not acted on the state.
            State::Released => self.end(&AttemptError::SuccessorEndedBeforeStart, actions),
            _ => self.end(&AttemptError::SuccessorEnded, actions),
        }
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now_us: u64, actions: &mut impl Actions) {
        if self.deadline_us.is_none_or(|deadline_us| now_us < deadline_us) {
            return;
        }
        if self.state == State::Released {
            // The successor may have the complete state and start at any time, so its process has to end
            // before this one resumes.
            actions.kill_peer();
            self.deadline_us = Some(now_us + self.limits.start_us);
        } else {
            self.abort(&AttemptError::TimedOut, actions);
        }
    }

    /// Ends the attempt, because this process has to drain or the offered state is out of date. Ignored after
    /// the release.
    pub fn interrupt(&mut self, reason: &str, actions: &mut impl Actions) {
        if !matches!(self.state, State::Released | State::Retired | State::Ended) {
            self.abort(&AttemptError::Interrupted { reason: reason.into() }, actions);
        }
    }

    fn hello(&mut self, hello: &Hello, actions: &mut impl Actions) {
        let version = match self.check(hello) {
            Ok(version) => version,
            Err(refused) => {
                actions.send(Message::Refuse(Refusal { reason: refused.to_string() }));
                return self.end(&refused.into(), actions);
            }
        };
        let StateSummary { mut sections, ahead_sections, bytes, descriptors, .. } = self.summary.clone();
        self.transfers_ahead = version >= FIRST_VERSION_WITH_TRANSFER_AHEAD && !ahead_sections.is_empty();
        if self.transfers_ahead {
            sections.extend(ahead_sections);
        }
        actions.send(Message::Offer(Offer { version, sections, bytes, descriptors }));
        self.state = State::Offered;
    }

    fn prepare(&mut self, now_us: u64, actions: &mut impl Actions) {
        let TransferredAhead { chunks, finished_us } = if self.transfers_ahead {
            actions.transfer_ahead(now_us)
        } else {
            TransferredAhead { chunks: 0, finished_us: now_us }
        };
        // The successor reads the chunks that are still in transit before it answers, so its time limit
        // starts here.
        let deadline_us = finished_us + self.limits.prepare_us;
        self.enter(State::Preparing, deadline_us.max(self.deadline_us.unwrap_or(0)));
        actions.send(Message::AheadComplete(ChunkCount { chunks }));
    }

    /// Returns the protocol version to use.
    fn check(&self, hello: &Hello) -> Result<u32, RefuseError> {
        let Hello { oldest, newest, digest, .. } = *hello;
        if newest < OLDEST_VERSION || oldest > NEWEST_VERSION {
            return Err(RefuseError::NoCommonVersion { oldest, newest });
        }
        if digest != self.summary.digest {
            return Err(RefuseError::SettingsDiffer);
        }
        match self.summary.shortage {
            Some(shortage) => Err(shortage.into()),
            None => Ok(newest.min(NEWEST_VERSION)),
        }
    }

    fn enter(&mut self, state: State, deadline_us: u64) {
        (self.state, self.deadline_us) = (state, Some(deadline_us));
    }

    fn abort(&mut self, error: &AttemptError, actions: &mut impl Actions) {
        actions.send(Message::Abort(Refusal { reason: error.to_string() }));
        self.end(error, actions);
    }

    fn end(&mut self, error: &AttemptError, actions: &mut impl Actions) {
        let was_paused = !self.may_act();
        (self.state, self.deadline_us) = (State::Ended, None);
        if was_paused {
            actions.resume();
        }
        actions.report_outcome(Err(error));
    }
}
