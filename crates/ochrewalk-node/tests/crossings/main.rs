//! Tests races between a close or a drain and what arrives at the same time. Each race is forced by the order of events: the
//! stand-ins wait and continue at defined points. `docs/crossings.md` lists which test forces which race.

#[path = "../helper/mod.rs"]
mod helper;

mod bad_input;
mod drain;
mod executor;
mod keys;
mod listeners;
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
