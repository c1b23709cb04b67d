//! Errors of snapshots that do not fit a deployment.

/// The reason why a snapshot does not fit this deployment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The length of a list with one entry per method differs from the deployment's number of methods.
    #[error("snapshot contains {what} for {found} methods; the deployment has {expected}")]
    Methods {
        /// The contents of the list.
        what: &'static str,
        /// The length of the list.
        found: usize,
        /// The deployment's number of methods.
        expected: usize,
    },
    /// An older program version wrote one bucket per tenant, and the deployment has another number of tenants.
    #[error("snapshot contains quota buckets for {found} tenants; the deployment has {expected}")]
    Tenants {
        /// The number of buckets in the snapshot.
        found: usize,
        /// The deployment's number of tenants.
        expected: usize,
    },
    /// A histogram has an unexpected number of bins.
    #[error("snapshot contains a latency histogram with another number of bins")]
    HistogramSize,
    /// A request is in a stage that this program version does not know.
    #[error("snapshot contains a request in unknown stage {0}")]
    UnknownStage(u32),
    /// A request calls a method that the deployment does not have.
    #[error("snapshot contains a request for an unknown method")]
    UnknownMethod,
}
