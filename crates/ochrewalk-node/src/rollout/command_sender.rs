//! Sends commands to nodes, and retries while a node is busy.

use crate::handover::rollout_socket::send_request;
use ochrewalk_rollout::messages::{Reply, Request, Response};
use ochrewalk_rollout::{CommandReply, Outcome};
use std::path::Path;
use std::time::{Duration, Instant};

/// The time limit for a node to carry out a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// The delay after which a node that is busy, or did not reply, is sent the command again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Sends a command until the node reports its outcome, or the time limit has passed. Blocks for that time.
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
            // The command may be under way, or lost. The delay keeps the controller from sending it again at once.
            _ => {
                std::thread::sleep(RETRY_INTERVAL);
                return CommandReply::NoReply;
            }
        }
    }
}
