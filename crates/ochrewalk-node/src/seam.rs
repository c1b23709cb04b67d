//! What an RPC's life needs of the two sides that it stands between: of whoever asked, and of whatever lies
//! below. Each protocol brings its own; the life knows none of them.

use crate::coordinator::EventSender;
use crate::handover::records::{ClientAddress, UpstreamRecord};
use ochrewalk::host::RpcId;
use std::os::fd::RawFd;

/// The final answer to an RPC, before a protocol has put it into bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// The result of its run, a JSON string of base64 as the executor gave it.
    Served(&'a str),
    /// It never ran. `last` asks not to try elsewhere, `come_back_us` (0 for none) to keep away for so long.
    PushedBack { last: bool, come_back_us: u64 },
    /// Given up, with no word on whether it ran.
    Aborted,
    /// It can't be done as it was asked, for this reason; it did not run.
    Fault(&'static str),
}

impl Answer<'_> {
    /// Pushed back with no advice.
    pub const UNSEEN: Answer<'static> = Answer::PushedBack { last: false, come_back_us: 0 };
}

/// Who waits for the answer to one RPC.
pub trait Asker: Send + Sync {
    /// Whether an answer is still owed.
    fn is_owed(&self) -> bool;

    /// Gives the answer, if it is still owed. `signal` is the value sent back, where there is one.
    fn answer(&self, answer: Answer, signal: Option<f64>);

    /// Where it is found again by another process that goes on with the connections.
    fn address(&self) -> ClientAddress;

    /// The executor knows of no such RPC: it counts against its sender.
    fn fault(&self);

    /// The RPC has run: its sender is no stranger.
    fn proven(&self);
}

/// What lies below.
pub trait Beneath: Send + Sync {
    /// Places a call that may take so long; what becomes of it goes to `post`, once. Only one that may be made
    /// `again` can be repeated, or go where its fate would not be known for certain.
    fn call(&self, id: &RpcId, wait_ms: u64, body: &[u8], again: bool, post: EventSender);

    /// Gives a call up; nothing more is heard of it.
    fn give_up(&self, id: &str);

    /// How long nothing below is expected to take a call, where nothing does now.
    fn closed_us(&self) -> Option<u64> {
        None
    }

    /// Places no new call for the moment, so that those under way can end before a pause; or goes on.
    fn hold(&self, _hold: bool) {}

    /// Whether calls are under way on connections that cannot move to another process.
    fn is_unmovable(&self) -> bool {
        false
    }

    /// The connections and calls, for another process to go on with, and the connections' descriptors.
    fn keep(&self) -> (UpstreamRecord, Vec<RawFd>);

    /// Has every connection looked at again, as a pause is over.
    fn nudge(&self);
}
