//! The project's logger: lines go through a bounded queue to a thread that writes them to standard error.
//! Whoever logs never waits: a full queue drops the line and counts it. A place in the code that repeats
//! itself is cut to a few lines a second.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const QUEUE: usize = 512;
/// Lines that one place in the code may write in a second.
const A_SECOND: u32 = 5;

struct Logger {
    queue: SyncSender<Line>,
    dropped: AtomicU64,
}

enum Line {
    Said {
        unix_ms: u64,
        level: Level,
        place: (&'static str, u32),
        text: String,
    },
    /// Everything before this has been written.
    Flush(SyncSender<()>),
}

static LOGGER: std::sync::OnceLock<Logger> = std::sync::OnceLock::new();

/// Starts the writing thread. Only the first call counts.
pub fn start(level: LevelFilter) {
    let (queue, lines) = sync_channel(QUEUE);
    let logger = Logger { queue, dropped: AtomicU64::new(0) };
    if LOGGER.set(logger).is_err() {
        return;
    }
    let logger = LOGGER.get().expect("just set");
    std::thread::spawn(move || write_all(&lines, &logger.dropped, &mut std::io::stderr()));
    if log::set_logger(logger).is_ok() {
        log::set_max_level(level);
    }
}

/// Waits, for a short while at most, until what was logged so far is written.
pub fn flush() {
    let (done, wait) = sync_channel(1);
    if LOGGER.get().is_some_and(|l| l.queue.try_send(Line::Flush(done)).is_ok()) {
        let _ = wait.recv_timeout(Duration::from_millis(50));
    }
}

impl Log for Logger {
    /// Libraries' own lines are left out.
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("ochrewalk")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let place = (record.file_static().unwrap_or(""), record.line().unwrap_or(0));
        let line = Line::Said { unix_ms, level: record.level(), place, text: record.args().to_string() };
        if self.queue.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

fn write_all(lines: &Receiver<Line>, dropped: &AtomicU64, to: &mut impl Write) {
    let mut places: HashMap<(&'static str, u32), (Instant, u32)> = HashMap::new();
    for line in lines {
        let Line::Said { unix_ms, level, place, text } = line else {
            if let Line::Flush(done) = line {
                let _ = done.send(());
            }
            continue;
        };
        let now = Instant::now();
        let (since, said) = places.entry(place).or_insert((now, 0));
        if now.duration_since(*since) >= Duration::from_secs(1) {
            if *said > A_SECOND {
                let _ = writeln!(to, "{unix_ms} {level} ... {} more such lines", *said - A_SECOND);
            }
            (*since, *said) = (now, 0);
        }
        *said += 1;
        if level <= Level::Info && *said > A_SECOND {
            continue;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(to, "{unix_ms} WARN {lost} lines dropped: the log was not written fast enough");
        }
        let _ = writeln!(to, "{unix_ms} {level} {text}");
    }
}
