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
    /// It never ran. `do_not_retry` asks not to try elsewhere, `retry_after_us` (0 for none) to keep away for so long.
    Rejected { do_not_retry: bool, retry_after_us: u64 },
    /// Given up, with no word on whether it ran.
    Aborted,
    /// It can't be done as it was asked, for this reason; it did not run.
    InvalidRequest(&'static str),
}

impl Answer<'_> {
    /// Pushed back with no advice.
    pub const REJECTED_WITHOUT_ADVICE: Answer<'static> =
        Answer::Rejected { do_not_retry: false, retry_after_us: 0 };
}

/// Who waits for the answer to one RPC.
pub trait DownstreamClient: Send + Sync {
    /// Whether an answer is still owed.
    fn awaits_answer(&self) -> bool;

    /// Gives the answer, if it is still owed. `signal` is the value sent back, where there is one.
    fn answer(&self, answer: Answer, signal: Option<f64>);

    /// Where it is found again by another process that goes on with the connections.
    fn address(&self) -> ClientAddress;

    /// The executor knows of no such RPC: it counts against its sender.
    fn record_fault(&self);

    /// The RPC has run: its sender is no stranger.
    fn mark_trusted(&self);
}

/// What lies below.
pub trait UpstreamClient: Send + Sync {
    /// Places a call that may take so long; what becomes of it goes to `post`, once. Only one that may be made
    /// `again` can be repeated, or go where its fate would not be known for certain.
    fn place_call(&self, id: &RpcId, wait_ms: u64, body: &[u8], again: bool, post: EventSender);

    /// Gives a call up; nothing more is heard of it.
    fn cancel_call(&self, id: &str);

    /// How long nothing below is expected to take a call, where nothing does now.
    fn unavailable_for_us(&self) -> Option<u64> {
        None
    }

    /// Places no new call for the moment, so that those under way can end before a pause; or goes on.
    fn set_calls_paused(&self, _hold: bool) {}

    /// Whether calls are under way on connections that cannot move to another process.
    fn has_unmovable_calls(&self) -> bool {
        false
    }

    /// The connections and calls, for another process to go on with, and the connections' descriptors.
    fn snapshot(&self) -> (UpstreamRecord, Vec<RawFd>);

    /// Has every connection looked at again, as a pause is over.
    fn recheck_connections(&self);
}
