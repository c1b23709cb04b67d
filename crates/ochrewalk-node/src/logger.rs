//! Structured logs to standard error, plain or as JSON, through a bounded queue and a thread of its own. Whoever logs
//! never waits: what the queue cannot hold is dropped and counted. A place in the code that repeats itself is cut to a
//! few lines a second. No span is ever entered: a coroutine that waits would leave it to another.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{fmt, Layer};

const QUEUE: usize = 512;
/// Lines that one place in the code may write in a second.
const A_SECOND: u32 = 5;
const SECOND: Duration = Duration::from_secs(1);

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// Time, level, fields and words
    #[default]
    Plain,
    /// An object a line
    Json,
}

/// What is logged, and how.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    pub level: LevelFilter,
    pub format: LogFormat,
}

/// Writes out what waits when it is dropped.
static GUARD: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// Starts the writing thread. Only the first call counts.
pub fn start(logs: LogSettings) {
    let (to, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE).finish(io::stderr());
    let (dropped, left_out) = (to.error_counter(), Arc::new(AtomicU64::new(0)));
    let limit = Limit { level: logs.level, left_out: left_out.clone(), places: Mutex::default() };
    let layer = fmt::layer().with_ansi(false).with_target(false).with_writer(to);
    let set = match logs.format {
        LogFormat::Plain => {
            let lines = tracing_subscriber::registry().with(layer.with_filter(limit));
            tracing::subscriber::set_global_default(lines)
        }
        LogFormat::Json => {
            let objects = layer.json().flatten_event(true);
            tracing::subscriber::set_global_default(
                tracing_subscriber::registry().with(objects.with_filter(limit)),
            )
        }
    };
    if set.is_ok() {
        *GUARD.lock().expect("never held over a panic") = Some(guard);
        std::thread::spawn(move || tell_of_lost(&dropped, &left_out));
    }
}

/// Waits, for a moment at most, until what was logged so far is written. Nothing is logged after it.
pub fn flush() {
    drop(GUARD.lock().expect("never held over a panic").take());
}

/// Says each second what was not written.
fn tell_of_lost(dropped: &ErrorCounter, left_out: &AtomicU64) {
    let mut before = 0;
    loop {
        std::thread::sleep(SECOND);
        let (lost, repeated) = (dropped.dropped_lines(), left_out.swap(0, Ordering::Relaxed));
        if lost > before || repeated > 0 {
            tracing::warn!(part = "log", dropped = lost - before, repeated, "lines not written");
        }
        before = lost;
    }
}

/// What is written: the project's own lines, and a few a second from one place.
struct Limit {
    level: LevelFilter,
    left_out: Arc<AtomicU64>,
    places: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl<S> Filter<S> for Limit {
    fn enabled(&self, meta: &Metadata, _: &Context<S>) -> bool {
        meta.target().starts_with("ochrewalk") && *meta.level() <= self.level
    }

    fn event_enabled(&self, event: &Event, _: &Context<S>) -> bool {
        // Who asks for the finest lines wants all of them.
        if *event.metadata().level() > Level::INFO {
            return true;
        }
        let now = Instant::now();
        let mut places = self.places.lock().unwrap_or_else(|broken| broken.into_inner());
        let (since, said) = places.entry(event.metadata().callsite()).or_insert((now, 0));
        if now.duration_since(*since) >= SECOND {
            (*since, *said) = (now, 0);
        }
        *said += 1;
        let written = *said <= A_SECOND;
        if !written {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        written
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(self.level)
    }
}
