//! Limits the effect of a panic, a fault of this program: a panic that is caused by the input of a connection closes
//! only that connection, any other ends the process, which is then restarted. Guards against a node that continues
//! without one of its parts, as a coroutine that panics just ends: a request would never be answered, or the executor's
//! notices would never be read. Ending the process is harmful where the same input reaches every node, so panics on
//! input are contained.

use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};

/// The exit status of a process that ended on a panic.
pub const EXIT_STATUS: i32 = 70;

thread_local! {
    /// Whether a panic on this thread costs only a connection. Contained code must not wait, as its coroutine might
    /// continue on another thread.
    static CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// Runs `function` and returns its result; none where it panics.
pub fn contain<T>(function: impl FnOnce() -> T) -> Option<T> {
    let previous = CONTAINED.replace(true);
    let result = catch_unwind(AssertUnwindSafe(function)).ok();
    CONTAINED.set(previous);
    result
}

/// Makes any panic outside [`contain`] end the process, from now on.
pub fn exit_on_uncontained_panics() {
    let default_hook = take_hook();
    set_hook(Box::new(move |panic| {
        default_hook(panic);
        tracing::error!("{panic}");
        if !CONTAINED.get() {
            crate::logger::flush();
            std::process::exit(EXIT_STATUS);
        }
    }));
}
