//! What of a snapshot can fail to fit a deployment.

/// Why a snapshot does not fit this deployment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// A list has one entry a method, and the deployment has another number of methods.
    #[error("{what} of {found} methods, {expected} here")]
    Methods {
        /// What the list holds.
        what: &'static str,
        /// Its length.
        found: usize,
        /// The deployment's methods.
        expected: usize,
    },
    /// An older program wrote one bucket a tenant, and the deployment has another number of tenants.
    #[error("buckets of {found} tenants, {expected} here")]
    Tenants {
        /// Buckets in the snapshot.
        found: usize,
        /// The deployment's tenants.
        expected: usize,
    },
    /// A histogram has another number of bins.
    #[error("a histogram of another size")]
    HistogramSize,
    /// A request is in a stage that this program does not know.
    #[error("an RPC in an unknown stage {0}")]
    UnknownStage(u32),
    /// A request is of a method that the deployment does not have.
    #[error("an RPC of an unknown method")]
    UnknownMethod,
}
