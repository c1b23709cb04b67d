//! An endpoint's state as operators see it.

use std::fmt;

/// An endpoint's state as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointStatus {
    /// It gets its full share.
    Accepting,
    /// It is new, and in slow start.
    Added,
    /// It was readmitted after an ejection, and is in slow start.
    Readmitted,
    /// A call there has had no answer for far longer than usual.
    Suspect,
    /// It gets no calls.
    Ejected,
    /// One call is under way that decides whether it is readmitted.
    Probing,
    /// It is no longer listed; calls are still under way there.
    Removed,
    /// The slot is free.
    Gone,
}

impl EndpointStatus {
    /// The state's name in the operators' table.
    pub fn name(self) -> &'static str {
        match self {
            EndpointStatus::Accepting => "in",
            EndpointStatus::Added => "joining",
            EndpointStatus::Readmitted => "back",
            EndpointStatus::Suspect => "suspect",
            EndpointStatus::Ejected => "out",
            EndpointStatus::Probing => "trying",
            EndpointStatus::Removed => "leaving",
            EndpointStatus::Gone => "gone",
        }
    }
}

impl fmt::Display for EndpointStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}
