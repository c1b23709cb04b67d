//! The protocol between a supervisor and its children: names of environment variables, and lines on the stream between the
//! two. Supervisors and children of different versions run together, so that none of these texts may change.

use super::counter_report::CounterReport;
use std::fmt;

/// The environment variable with the descriptor of a child's stream to its supervisor.
pub(super) const LINK: &str = "OCHREWALK_KEPT";
/// The environment variable with the descriptor of a child's stream to its predecessor.
pub(super) const PREDECESSOR: &str = "OCHREWALK_TAKES";
/// The environment variable with the operators' file that a child uses in place of the one that the node was started with.
pub(super) const OPERATORS: &str = "OCHREWALK_KEPT_OPERATORS";
/// The environment variable that is set by supervisors that read changed counters. Earlier supervisors take every report as
/// one of all counters.
pub(super) const READS_CHANGES: &str = "OCHREWALK_KEPT_READS_CHANGES";

const MAY_PAUSE: &str = "still?";
const MAY_RESUME: &str = "on?";
const MAY_BEGIN: &str = "begin?";
const KILL_PEER: &str = "end other";
/// The prefix of the line with the outcome of an attempt.
const ATTEMPT_ENDED: &str = "told ";
const HANDED_OVER: &str = "handed over";
const HAND_OVER: &str = "give";
const YES: &str = "yes";
const NO: &str = "no";

/// A permission for which a child asks its supervisor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// Pause, so that a snapshot of the state can be taken.
    MayPause,
    /// Resume after a pause.
    MayResume,
    /// Begin to serve in place of the predecessor.
    MayBegin,
}

impl Question {
    /// Formats the line, without its line feed.
    pub(super) fn as_line(self) -> &'static str {
        match self {
            Question::MayPause => MAY_PAUSE,
            Question::MayResume => MAY_RESUME,
            Question::MayBegin => MAY_BEGIN,
        }
    }
}

/// The outcome of an attempt to hand over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The successor serves.
    HandedOver,
    /// The hand-over failed, for this reason: the predecessor continues to serve, or the successor starts with the state
    /// that it has received.
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

/// A line from a child to its supervisor.
#[derive(Clone, Debug, PartialEq)]
pub enum ChildLine {
    /// A question; the child waits for the answer.
    Question(Question),
    /// A request to kill the other child of the attempt, which hangs.
    KillPeer,
    /// The outcome of the attempt that the supervisor has requested.
    AttemptEnded(AttemptOutcome),
    /// A report of counters.
    Counters(CounterReport),
}

impl ChildLine {
    /// Formats the line, without its line feed.
    pub fn to_line(&self) -> String {
        match self {
            ChildLine::Question(question) => question.as_line().into(),
            ChildLine::KillPeer => KILL_PEER.into(),
            ChildLine::AttemptEnded(outcome) => format!("{ATTEMPT_ENDED}{outcome}"),
            ChildLine::Counters(report) => report.to_line(),
        }
    }

    /// Parses a line. Returns none for a line that is invalid or that a newer program has added.
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

/// A line from a supervisor to a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SupervisorLine {
    /// Requests a hand-over to the successor at the other end of the descriptor that is passed with the line.
    HandOver,
    /// The answer to a question: permission granted.
    Allowed,
    /// The answer to a question: permission denied.
    Denied,
}

impl SupervisorLine {
    /// Formats the line, without its line feed.
    pub fn as_line(self) -> &'static str {
        match self {
            SupervisorLine::HandOver => HAND_OVER,
            SupervisorLine::Allowed => YES,
            SupervisorLine::Denied => NO,
        }
    }

    /// Parses a line. Returns none for a line that a newer supervisor has added.
    pub fn of_line(line: &str) -> Option<SupervisorLine> {
        match line {
            HAND_OVER => Some(SupervisorLine::HandOver),
            YES => Some(SupervisorLine::Allowed),
            NO => Some(SupervisorLine::Denied),
            _ => None,
        }
    }
}
