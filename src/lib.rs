//! ochrewalk decides, inside each server of a fleet, which requests that server admits, runs and rejects.
//!
//! The server reports events to an [`admission::AdmissionController`], which has one method for each kind of event, and
//! the controller acts by calling the [`host::Host`] that it was created with. The controller reads no clock and opens
//! no socket. Every call passes the time, so that any protocol can use the same decisions.
//!
//! * [`host`] is the interface: the `Host` trait and the small types that pass through it.
//! * [`deployment`] reads a deployment's settings, validates them and applies defaults.
//! * [`json`] reads long JSON texts in parts.
//! * [`names`] looks up positions by name.
//! * [`admission`] contains all decisions, their constants and the state.

#![warn(missing_docs)]

pub mod admission;
pub mod deployment;
pub mod host;
pub mod json;
pub mod names;
