//! What a panic, a fault of our own, costs: one connection, where it came of what was read there; else the process, which is
//! started anew. Guards against a node that lives on without one of its parts, as a coroutine that panics just ends: an RPC
//! would never be answered, or nobody would hear the executor. It hurts where the same bytes come to every node.

use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};

/// The status of a process that ended so.
pub const EXIT_STATUS: i32 = 70;

thread_local! {
    /// What goes on costs a connection at most. Nothing that waits may go on meanwhile: it might end on another thread.
    static CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// None where it panics.
pub fn contain<T>(what: impl FnOnce() -> T) -> Option<T> {
    let before = CONTAINED.replace(true);
    let done = catch_unwind(AssertUnwindSafe(what)).ok();
    CONTAINED.set(before);
    done
}

/// From here on any other panic ends the process.
pub fn exit_on_uncontained_panics() {
    let told = take_hook();
    set_hook(Box::new(move |panic| {
        told(panic);
        tracing::error!("{panic}");
        if !CONTAINED.get() {
            crate::logger::flush();
            std::process::exit(EXIT_STATUS);
        }
    }));
}
