//! The real program and a control plane of real processes on loopback: what is published is in force in a running node,
//! what is wrong is rejected and seen, and without any relay the node serves on.

#[path = "../helper/mod.rs"]
mod helper;

mod agent;
mod commands;
mod control_plane;
mod node;
mod operator_socket;
mod outages;
mod quotas;
mod relay_stand_in;
mod updates;
