//! Tests a node process with a control plane of processes on loopback: published changes are in force in the node, invalid
//! ones are rejected and reported, and the node continues to serve without any relay.

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
