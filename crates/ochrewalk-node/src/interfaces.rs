//! The interfaces of a request to its client and to its upstream. Each protocol implements them; the request's state
//! machine and task know no protocol.

use crate::coordinator::EventSender;
use crate::handover::records::{ClientAddress, UpstreamRecord};
use ochrewalk::host::RpcId;
use std::os::fd::RawFd;

/// The final answer to a request, before a protocol encodes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// The result of the run, a JSON string of base64 as received from the executor.
    Served(&'a str),
    /// The request was rejected and never ran.
    Rejected {
        /// Whether the client is asked not to retry at another server.
        do_not_retry: bool,
        /// The time for which the client is asked to keep away from this server, in microseconds; 0 for no advice.
        retry_after_us: u64,
    },
    /// The request was aborted; the answer does not say whether it ran.
    Aborted,
    /// The request is invalid, for this reason, and did not run.
    InvalidRequest(&'static str),
}

impl Answer<'_> {
    /// A rejection without advice: the client may retry at another server, and at this one at any time.
    pub const REJECTED_WITHOUT_ADVICE: Answer<'static> =
        Answer::Rejected { do_not_retry: false, retry_after_us: 0 };
}

/// The client that waits for the answer to one request.
pub trait DownstreamClient: Send + Sync {
    /// Whether the client still waits for an answer.
    fn awaits_answer(&self) -> bool;

    /// Sends the answer, if the client still waits for one. `load_signal` is the value sent with every answer, where
    /// there is one.
    fn answer(&self, answer: Answer, load_signal: Option<f64>);

    /// Returns the address by which another process that takes over the connections finds this client.
    fn address(&self) -> ClientAddress;

    /// Counts a fault against the client: the executor does not know its request.
    fn record_fault(&self);

    /// Marks the client as trusted: its request has run.
    fn mark_trusted(&self);
}

/// The client of an upstream, by any protocol.
pub trait UpstreamClient: Send + Sync {
    /// Places a call that may take up to `timeout_ms`. Its result is sent to `events` exactly once, unless the call is
    /// cancelled. Only a call with `may_repeat` is retried, or sent on a connection on which a failure would leave it
    /// unknown whether the call ran.
    fn place_call(&self, id: &RpcId, timeout_ms: u64, body: &[u8], may_repeat: bool, events: EventSender);

    /// Cancels a call; no result is sent for it after that.
    fn cancel_call(&self, id: &str);

    /// Returns the time in microseconds for which no endpoint is expected to accept a call; none where an endpoint accepts
    /// calls now.
    fn unavailable_for_us(&self) -> Option<u64> {
        None
    }

    /// Queues new calls while `is_paused` is set, so that calls in flight can end before the process pauses for a
    /// hand-over; places the queued calls once it is cleared. Has no effect on an upstream whose connections can be
    /// handed over.
    fn set_calls_paused(&self, _is_paused: bool) {}

    /// Whether calls are in flight on connections that cannot be handed over to another process.
    fn has_unmovable_calls(&self) -> bool {
        false
    }

    /// Returns the connections and calls for a successor process, with the connections' descriptors.
    fn snapshot(&self) -> (UpstreamRecord, Vec<RawFd>);

    /// Makes every connection check for work again, after a pause has ended.
    fn recheck_connections(&self);
}
