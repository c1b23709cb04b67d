//! The properties of a call that the caller reports: its idempotency before it starts, and its outcome when it ends.

/// Whether a call may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The call may take effect more than once, and can therefore be used as a probe.
    Idempotent,
    /// The call must not take effect more than once.
    NotIdempotent,
}

/// The outcome of a call, as evidence about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The endpoint replied and served the call.
    Succeeded,
    /// The endpoint rejected the call: the endpoint works, and has no capacity.
    Rejected,
    /// The endpoint replied, and did not serve the call.
    Failed,
    /// The endpoint did not reply in time.
    TimedOut,
    /// The connection broke during the call.
    ConnectionBroken,
    /// No connection could be established.
    ConnectFailed,
    /// The call ended for a reason that is no evidence about the endpoint.
    Inconclusive,
}
