//! What passes between a supervisor and the children that it starts: names in the environment, and lines on the stream
//! between the two. Supervisors and programs of different versions run together, so that none of these may change.

use super::counter_report::CounterReport;
use std::fmt;

/// The descriptor of a child's stream to its supervisor.
pub(super) const LINK: &str = "OCHREWALK_KEPT";
/// The descriptor of a child's stream to its predecessor.
pub(super) const PREDECESSOR: &str = "OCHREWALK_TAKES";
/// The operators' file that a child goes by, where that is not the one that the node was started with.
pub(super) const OPERATORS: &str = "OCHREWALK_KEPT_OPERATORS";
/// Set by supervisors that read changed counters; those before them take every report for all counters.
pub(super) const READS_CHANGES: &str = "OCHREWALK_KEPT_READS_CHANGES";

const MAY_PAUSE: &str = "still?";
const MAY_RESUME: &str = "on?";
const MAY_BEGIN: &str = "begin?";
const KILL_PEER: &str = "end other";
/// What begins the line that says how an attempt ended.
const ATTEMPT_ENDED: &str = "told ";
const HANDED_OVER: &str = "handed over";
const HAND_OVER: &str = "give";
const YES: &str = "yes";
const NO: &str = "no";

/// What a child asks its supervisor before it does it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// To pause, so that its state can be written down.
    MayPause,
    /// To go on after a pause.
    MayResume,
    /// To serve in the predecessor's place.
    MayBegin,
}

impl Question {
    /// The line, without its line feed.
    pub(super) fn as_line(self) -> &'static str {
        match self {
            Question::MayPause => MAY_PAUSE,
            Question::MayResume => MAY_RESUME,
            Question::MayBegin => MAY_BEGIN,
        }
    }
}

/// How an attempt to hand over ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The successor serves.
    HandedOver,
    /// The predecessor goes on, or the successor takes over what it can; the text says why.
    Failed(String),
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            AttemptOutcome::HandedOver => HANDED_OVER,
            AttemptOutcome::Failed(reason) => reason,
        })
    }
}

impl From<&str> for AttemptOutcome {
    fn from(text: &str) -> AttemptOutcome {
        match text {
            HANDED_OVER => AttemptOutcome::HandedOver,
            reason => AttemptOutcome::Failed(reason.into()),
        }
    }
}

/// What a child says to its supervisor.
#[derive(Clone, Debug, PartialEq)]
pub enum ChildLine {
    /// The child waits for an answer.
    Question(Question),
    /// The other child of the attempt hangs and is to be killed.
    KillPeer,
    /// The attempt that the child was told to begin has ended.
    AttemptEnded(AttemptOutcome),
    /// Counters.
    Counters(CounterReport),
}

impl ChildLine {
    /// The line, without its line feed.
    pub fn to_line(&self) -> String {
        match self {
            ChildLine::Question(question) => question.as_line().into(),
            ChildLine::KillPeer => KILL_PEER.into(),
            ChildLine::AttemptEnded(outcome) => format!("{ATTEMPT_ENDED}{outcome}"),
            ChildLine::Counters(report) => report.to_line(),
        }
    }

    /// What a line says; none where a newer program has added it, or it cannot be read.
    pub fn of_line(line: &str) -> Option<ChildLine> {
        Some(match line {
            MAY_PAUSE => ChildLine::Question(Question::MayPause),
            MAY_RESUME => ChildLine::Question(Question::MayResume),
            MAY_BEGIN => ChildLine::Question(Question::MayBegin),
            KILL_PEER => ChildLine::KillPeer,
            _ => match line.strip_prefix(ATTEMPT_ENDED) {
                Some(outcome) => ChildLine::AttemptEnded(outcome.into()),
                None => ChildLine::Counters(CounterReport::of_line(line)?),
            },
        })
    }
}

/// What a supervisor says to a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SupervisorLine {
    /// Hand over to the successor at the other end of the descriptor that comes beside the line.
    HandOver,
    /// The answer to a question: it may.
    Allowed,
    /// The answer to a question: it may not.
    Denied,
}

impl SupervisorLine {
    /// The line, without its line feed.
    pub fn as_line(self) -> &'static str {
        match self {
            SupervisorLine::HandOver => HAND_OVER,
            SupervisorLine::Allowed => YES,
            SupervisorLine::Denied => NO,
        }
    }

    /// What a line says; none where a newer supervisor has added it.
    pub fn of_line(line: &str) -> Option<SupervisorLine> {
        match line {
            HAND_OVER => Some(SupervisorLine::HandOver),
            YES => Some(SupervisorLine::Allowed),
            NO => Some(SupervisorLine::Denied),
            _ => None,
        }
    }
}
