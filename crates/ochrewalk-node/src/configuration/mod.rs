//! Configuration that comes from the control plane while the node runs: routes, quotas of tenants, endpoints and limits.
//!
//! # Guarantees
//!
//! * An update is applied as a whole or not at all. It is checked against the node's methods and its own files first; one
//!   resource that does not fit rejects all of it, the last good state stays in force, and the reason reaches the publisher.
//! * Routes, rules, limits and quotas change in one step for each request. Endpoints are replaced right after them.
//! * What was applied is added to the state file, where the operators' file names one, and is in force again after a restart
//!   before the node accepts connections. Of a state file that is damaged or no longer fits the node's files, the part before
//!   the fault is restored. A write that fails is logged; the update stays in force.
//! * Without any relay the node serves on with what is in force, and logs once a minute how old that is.
//! * A request never waits for the control plane. RPCs of a tenant whose quota is not cached yet count as within it.
//!
//! Which relay the agent follows, and when it tries another one, is decided in `ochrewalk-control-plane` and
//! `ochrewalk-distribution`. The caller starts the agent, and hands over the files when they were read again.
//!
//! # States
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | the files alone in force | a state file is restored | restored |
//! | the files alone in force | the first update, a snapshot, fits | up to date |
//! | restored | an update that fits | up to date |
//! | up to date | an update that fits | up to date, at its position |
//! | any | an update that does not fit | the same; the rejection is reported, and the next update has the resources again |
//! | any | the files were read again | the same position; distributed routes that the files have, too, are overridden |
//! | any | no relay is heard | the same |
//!
//! # Who calls whom
//!
//! At the start:
//!
//! 1. `node/assembly.rs` calls [`activation`] with the listener and the upstream.
//! 2. [`file_configuration`] takes from the operators' file what distributed configuration adds to; [`node_configuration`]
//!    begins with that.
//! 3. [`agent`] restores the state file by `persistence.rs`, activates the result, and makes a [`handle`], by which the
//!    listener requests quotas from then on.
//! 4. `node/assembly.rs` starts the agent, which runs in a thread of its own until the process ends.
//!
//! When an update arrives:
//!
//! 1. The agent of `ochrewalk-control-plane` calls `sink.rs` with the complete update.
//! 2. [`node_configuration`] stages it (routes there, quotas in [`cached_quotas`]) and applies it, or returns an
//!    [`update_error`], whose text that agent reports to the relay.
//! 3. [`activation`] replaces rules and quotas in `net/ajp_ingress/`, then the endpoints in `net/ajp_upstream.rs`.
//! 4. `persistence.rs` adds the update to the state file.
//!
//! When an RPC names a tenant: `net/ajp_ingress/` looks it up in the quotas in force and sends the name through the [`handle`].
//! The agent's thread requests a quota that is not cached, and forgets the one that was used least recently where there are too
//! many.
//!
//! When the files were read again: `node/reload.rs` calls [`handle::ConfigurationHandle::replace_file`].
//!
//! # Locks
//!
//! | lock | held | by |
//! | --- | --- | --- |
//! | state, in [`handle`] | over a change, its activation and its record in the state file | the agent's thread; a reload, without the record |
//! | activation function, in [`handle`] | over an activation, under the state's lock | the same |
//! | retired rules, then endpoints, in [`activation`] | within an activation, one after the other | the same |
//! | rules and quotas, in `net/ajp_ingress/` | for an exchange of a pointer | an activation; each request, to copy the pointer |
//! | table of endpoints, in `net/ajp_upstream.rs` | while endpoints are replaced | an activation; each upstream call |
//!
//! The first two are taken in this order. Requests take only the last two, so that none waits for a check or for the disk.

// Those of the workspace, until all of this crate takes them.
#![warn(
    missing_docs,
    clippy::unwrap_used,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::fn_params_excessive_bools,
    clippy::struct_excessive_bools,
    clippy::too_many_lines
)]

pub mod activation;
pub mod agent;
pub mod cached_quotas;
pub mod file_configuration;
pub mod handle;
pub mod node_configuration;
mod persistence;
mod sink;
pub mod update_error;
