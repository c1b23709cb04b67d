//! The texts of phases, reasons, methods, replies and verdicts in a rollout's log and in the status line for
//! operators. `ochrewalk-rollout-report` reads logs that other versions have written, so these texts must not
//! change when types are renamed.

use crate::{ChangeMethod, CommandReply, Outcome, Phase, Verdict, WaitReason};
use std::fmt::{Display, Formatter, Result};

impl Display for Phase {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Phase::Polling => f.write_str("Asking"),
            Phase::Advancing { stage } => write!(f, "Forward {{ stage: {stage} }}"),
            Phase::Analyzing { stage } => write!(f, "Judged {{ stage: {stage} }}"),
            Phase::Confirming => f.write_str("Confirming"),
            Phase::RollingBack { reason } => write!(f, "Back {{ why: {reason:?} }}"),
            Phase::Waiting(reason) => write!(f, "Waiting({reason})"),
            Phase::Done => f.write_str("Done"),
            Phase::RolledBack { reason } => write!(f, "IsBack {{ why: {reason:?} }}"),
            Phase::Replaced => f.write_str("Replaced"),
        }
    }
}

impl Display for WaitReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            WaitReason::Paused => f.write_str("Paused"),
            WaitReason::Inconclusive(reason) => write!(f, "Unclear({reason:?})"),
            WaitReason::NodeStuck { node, reason } => {
                write!(f, "LeftBehind {{ node: {node}, why: {reason:?} }}")
            }
            WaitReason::FleetUnhealthy => f.write_str("Ill"),
        }
    }
}

impl Display for ChangeMethod {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            ChangeMethod::CommitConfirmed => "OnTrial",
            ChangeMethod::HandOver => "ForGood",
            ChangeMethod::Restart => "Anew",
        })
    }
}

impl Display for CommandReply {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            CommandReply::Finished(Outcome::Done) => f.write_str("Ended(Done)"),
            CommandReply::Finished(Outcome::Failed(reason)) => write!(f, "Ended(Failed({reason:?}))"),
            CommandReply::Stale(token) => {
                write!(f, "Stale(Mark {{ conductor: {}, order: {} }})", token.controller.0, token.command)
            }
            CommandReply::NoReply => f.write_str("Nothing"),
        }
    }
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Verdict::Pending => f.write_str("Wait"),
            Verdict::FleetUnhealthy => f.write_str("Ill"),
            Verdict::Pass => f.write_str("Good"),
            Verdict::Harm(reason) => write!(f, "Harm({reason:?})"),
            Verdict::Inconclusive(reason) => write!(f, "Ask({reason:?})"),
        }
    }
}
