//! Sends commands to nodes, and tries again while a node is busy.

use crate::handover::rollout_socket::send_request;
use ochrewalk_rollout::messages::{Reply, Request, Response};
use ochrewalk_rollout::{CommandReply, Outcome};
use std::path::Path;
use std::time::{Duration, Instant};

/// How long a node may take to carry out a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// How soon a node that is busy, or did not reply, is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Sends a command until the node says what came of it, or its time has passed. Blocks for as long.
pub(super) fn send_until_answered(control: &Path, request: &Request) -> CommandReply {
    let deadline = Instant::now() + COMMAND_TIMEOUT;
    loop {
        let reply =
            send_request(control, request, COMMAND_TIMEOUT).ok().and_then(|Response { reply, .. }| reply);
        match reply {
            Some(Reply::Finished(outcome)) => return CommandReply::Finished(outcome.into()),
            Some(Reply::Stale(token)) => return CommandReply::Stale(token.into()),
            Some(Reply::Rejected(reason)) => return CommandReply::Finished(Outcome::Failed(reason)),
            Some(Reply::Busy(_)) if Instant::now() < deadline => std::thread::sleep(RETRY_INTERVAL),
            // The command may be under way, or lost. The pause keeps the controller from sending it again at once.
            _ => {
                std::thread::sleep(RETRY_INTERVAL);
                return CommandReply::NoReply;
            }
        }
    }
}
