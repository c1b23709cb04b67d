//! Decides how versioned configuration reaches the nodes of a fleet: what a publisher accepts, what each subscriber is
//! sent next, what a subscriber applies, and which relay it asks. Nothing here does I/O or reads a clock: times come in as
//! whole microseconds of a monotonic clock, and messages go in and out as values of [`messages`].

pub mod messages;
