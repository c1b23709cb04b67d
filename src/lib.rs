//! ochrewalk decides, inside each server of a fleet, what that server admits, runs and rejects.
//!
//! The server reports to an [`admission::AdmissionController`] what happens to it, one method for each kind of event, and
//! the controller acts by calling the [`host::Host`] that it was handed at its start. It keeps no clock and opens no socket:
//! time comes in with every call, so that any protocol can be put in front of the same decisions.
//!
//! * [`host`] is the interface: the `Host` trait and the small types handed over.
//! * [`deployment`] reads, checks and defaults a deployment's figures.
//! * [`json`] reads long texts in parts.
//! * [`names`] finds positions by name.
//! * [`admission`] holds every decision, every tuned value and all state.

#![warn(missing_docs)]

pub mod admission;
pub mod deployment;
pub mod host;
pub mod json;
pub mod names;
