//! What a caller says of a call: before it, whether it may be repeated; after it, what its end says of the endpoint.

/// Whether a call may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may: the call can be used as a probe.
    Idempotent,
    /// It must not.
    NotIdempotent,
}

/// What a call's end says of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was answered, and did its work.
    Succeeded,
    /// The endpoint rejected it: the endpoint works, and has no capacity.
    Rejected,
    /// It was answered, and did not do its work.
    Failed,
    /// It was not answered in time.
    TimedOut,
    /// The connection broke during the call.
    ConnectionBroken,
    /// No connection could be made.
    ConnectFailed,
    /// Nothing that says anything of the endpoint.
    Inconclusive,
}
