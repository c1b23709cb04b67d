//! Tests races between a close or a drain and what arrives at the same time. Each race is forced by the order of events: the
//! stand-ins wait and continue at defined points. `docs/crossings.md` lists which test forces which race.

use std::io::Write;

#[path = "../helper/mod.rs"]
mod helper;

mod bad_input;
mod departed_clients;
mod drain;
mod executor;
mod floods;
mod keys;
mod listeners;
mod memory_limits;
mod panics;
mod resource_limits;
mod restart;
mod streams;
mod tenants;
mod upstream;

const WARM_WELCOME: &str = r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#;

/// Returns whether this line answers that the RPC was rejected and never ran.
fn is_rejected(line: &str, number: u64) -> bool {
    line.contains(&format!(r#""id":{number},"error":{{"code":-32011"#))
}

/// The smallest memory limit and the largest number of descriptors that deployments have.
const SMALL_MEMORY_MB: u64 = 32;
const MANY_DESCRIPTORS: u64 = 512;

const AJP_DIRECTIVES: &str = "
ajp listen AJP
ajp allow 127.0.0.0/8
ajp memory 20.5
ajp route POST /look look
ajp route POST /once once
";

/// Starts a healthy node with the smallest memory limit for the largest number of connections.
fn start_small_node(directives: &str) -> (helper::TestNode, helper::Peer, helper::Peer) {
    helper::TestNode::start_healthy_with(
        |config| {
            config["limits"]["memory_mb"] = SMALL_MEMORY_MB.into();
            config["limits"]["sockets"] = MANY_DESCRIPTORS.into();
        },
        directives,
    )
}

/// Completes each run at once, with this result in base64, however long none is started.
fn complete_runs_with(mut executor: helper::Peer, result: &str) {
    let mut pos = 0;
    loop {
        let line = executor.next_line_or_end();
        if line.is_empty() {
            return;
        }
        if executor.answer_if_gauge_request(&line) {
            continue;
        }
        let Ok(serde_json::Value::Object(command)) = serde_json::from_str(&line) else { continue };
        if command["action"] == "EXEC" {
            pos += 1;
            let number = u64::from_str_radix(command["uid"].as_str().unwrap(), 16).unwrap();
            let notice = helper::exit(pos, number, "complete").replace("UkVT", result) + "\n";
            // Fails once the node has ended.
            let _ = executor.stream.write_all(notice.as_bytes());
        }
    }
}
