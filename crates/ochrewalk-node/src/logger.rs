//! Structured logs to standard error, plain or as JSON, through a bounded queue and a writer thread. Logging never
//! blocks: lines that do not fit into the queue are dropped and counted. A call site that repeats itself is limited to
//! a few lines per second. Spans are never entered, as a coroutine that waits would leave its span to another coroutine
//! on the same thread.

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

/// The maximal number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 512;
/// The number of lines that one call site may write per period.
const MAX_LINES_PER_PERIOD: u32 = 5;
/// The period of the limit, and of the warning about lines that were not written.
const PERIOD: Duration = Duration::from_secs(1);

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// Time, level, message and fields
    #[default]
    Plain,
    /// One JSON object per line
    Json,
}

/// The settings of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// The most verbose level that is logged.
    pub level: LevelFilter,
    /// The format of lines.
    pub format: LogFormat,
}

/// Writes all queued lines when it is dropped.
static WRITER_GUARD: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// Starts the log and its writer thread. Only the first call has an effect.
pub fn start(settings: LogSettings) {
    let (writer, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES).finish(io::stderr());
    let (dropped, repeated_lines) = (writer.error_counter(), Arc::new(AtomicU64::new(0)));
    let limit = RateLimit {
        level: settings.level,
        repeated_lines: repeated_lines.clone(),
        call_sites: Mutex::default(),
    };
    let layer = fmt::layer().with_ansi(false).with_target(false).with_writer(writer);
    let set = match settings.format {
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
        *WRITER_GUARD.lock().expect("no panic occurs under this lock") = Some(guard);
        std::thread::spawn(move || warn_of_unwritten_lines(&dropped, &repeated_lines));
    }
}

/// Waits, for a short time at most, until all queued lines are written. Nothing is logged after this call.
pub fn flush() {
    drop(WRITER_GUARD.lock().expect("no panic occurs under this lock").take());
}

/// Logs once per period how many lines were not written.
fn warn_of_unwritten_lines(dropped: &ErrorCounter, repeated_lines: &AtomicU64) {
    let mut previously_dropped = 0;
    loop {
        std::thread::sleep(PERIOD);
        let (total_dropped, repeated) = (dropped.dropped_lines(), repeated_lines.swap(0, Ordering::Relaxed));
        if total_dropped > previously_dropped || repeated > 0 {
            tracing::warn!(
                part = "log",
                dropped = total_dropped - previously_dropped,
                repeated,
                "lines not written"
            );
        }
        previously_dropped = total_dropped;
    }
}

/// Passes the lines of this project's crates, up to a limited number per call site and period.
struct RateLimit {
    level: LevelFilter,
    /// The number of lines above the limit, since the last warning.
    repeated_lines: Arc<AtomicU64>,
    /// The start of each call site's period, and its lines since.
    call_sites: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl<S> Filter<S> for RateLimit {
    fn enabled(&self, meta: &Metadata, _: &Context<S>) -> bool {
        meta.target().starts_with("ochrewalk") && *meta.level() <= self.level
    }

    fn event_enabled(&self, event: &Event, _: &Context<S>) -> bool {
        // Levels more verbose than INFO are not limited: an operator who enables them wants all lines.
        if *event.metadata().level() > Level::INFO {
            return true;
        }
        let now = Instant::now();
        let mut call_sites = self.call_sites.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (since, lines) = call_sites.entry(event.metadata().callsite()).or_insert((now, 0));
        if now.duration_since(*since) >= PERIOD {
            (*since, *lines) = (now, 0);
        }
        *lines += 1;
        let is_written = *lines <= MAX_LINES_PER_PERIOD;
        if !is_written {
            self.repeated_lines.fetch_add(1, Ordering::Relaxed);
        }
        is_written
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(self.level)
    }
}
