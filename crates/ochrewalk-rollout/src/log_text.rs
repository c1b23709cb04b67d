//! The texts of phases, reasons, methods, replies and verdicts in a rollout's log and in the status line for operators. Logs that
//! other versions wrote are read by `ochrewalk-report`: these texts stay, whatever the types here are called.

use crate::course::Uneven;
use crate::{How, Outcome, Phase, Reason, Verdict, Word};
use std::fmt::{Display, Formatter, Result};

impl Display for Phase {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Phase::Asking => f.write_str("Asking"),
            Phase::Forward { stage } => write!(f, "Forward {{ stage: {stage} }}"),
            Phase::Judged { stage } => write!(f, "Judged {{ stage: {stage} }}"),
            Phase::Confirming => f.write_str("Confirming"),
            Phase::Back { why } => write!(f, "Back {{ why: {why:?} }}"),
            Phase::Waiting(reason) => write!(f, "Waiting({reason})"),
            Phase::Done => f.write_str("Done"),
            Phase::IsBack { why } => write!(f, "IsBack {{ why: {why:?} }}"),
            Phase::Replaced => f.write_str("Replaced"),
        }
    }
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Reason::Paused => f.write_str("Paused"),
            Reason::Unclear(why) => write!(f, "Unclear({why:?})"),
            Reason::LeftBehind { node, why } => write!(f, "LeftBehind {{ node: {node}, why: {why:?} }}"),
            Reason::Ill => f.write_str("Ill"),
        }
    }
}

impl Display for How {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            How::OnTrial => "OnTrial",
            How::ForGood => "ForGood",
            How::Anew => "Anew",
        })
    }
}

impl Display for Word {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Word::Ended(Outcome::Done) => f.write_str("Ended(Done)"),
            Word::Ended(Outcome::Failed(why)) => write!(f, "Ended(Failed({why:?}))"),
            Word::Stale(mark) => {
                write!(f, "Stale(Mark {{ conductor: {}, order: {} }})", mark.conductor, mark.order)
            }
            Word::Nothing => f.write_str("Nothing"),
        }
    }
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Verdict::Wait => f.write_str("Wait"),
            Verdict::Ill => f.write_str("Ill"),
            Verdict::Good => f.write_str("Good"),
            Verdict::Harm(why) => write!(f, "Harm({why:?})"),
            Verdict::Ask(why) => write!(f, "Ask({why:?})"),
        }
    }
}

impl Display for Uneven {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            Uneven::NoNodes => "NoNodes",
            Uneven::Stages => "Stages",
            Uneven::Unavailable => "Unavailable",
        })
    }
}
