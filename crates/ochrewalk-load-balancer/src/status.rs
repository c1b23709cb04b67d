//! The state of an endpoint as shown to operators.

use std::fmt;

/// The state of an endpoint as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointStatus {
    /// The endpoint gets its full share of calls.
    Accepting,
    /// The endpoint is new, and in slow start.
    Added,
    /// The endpoint was readmitted after an ejection, and is in slow start.
    Readmitted,
    /// A call to the endpoint has been unanswered for far longer than usual.
    Suspect,
    /// The endpoint gets no calls.
    Ejected,
    /// The probe that decides whether the endpoint is readmitted is in flight.
    Probing,
    /// The endpoint is no longer listed, and calls are still in flight there.
    Removed,
    /// No endpoint is in the slot.
    SlotFree,
}

impl EndpointStatus {
    /// Returns the state's name in the operators' table.
    pub fn name(self) -> &'static str {
        match self {
            EndpointStatus::Accepting => "in",
            EndpointStatus::Added => "joining",
            EndpointStatus::Readmitted => "back",
            EndpointStatus::Suspect => "suspect",
            EndpointStatus::Ejected => "out",
            EndpointStatus::Probing => "trying",
            EndpointStatus::Removed => "leaving",
            EndpointStatus::SlotFree => "gone",
        }
    }
}

impl fmt::Display for EndpointStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}
