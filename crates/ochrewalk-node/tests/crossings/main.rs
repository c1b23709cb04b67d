//! What ends, and what arrives in that very instant: each crossing is forced by the order of events. The stand-ins hold back
//! and let go at named points; `docs/crossings.md` says which test forces which.

#[path = "../helper/mod.rs"]
mod helper;

mod bad_input;
mod below;
mod executor;
mod keys;
mod leaving;
mod listeners;
mod panics;
mod restart;
mod room;
mod streams;
mod tenants;

const WARM: &str = r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#;

/// The answer that an RPC was pushed back and never ran.
fn is_unseen(line: &str, number: u64) -> bool {
    line.contains(&format!(r#""id":{number},"error":{{"code":-32011"#))
}
