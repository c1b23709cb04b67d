//! Processes under measurement: they are killed when dropped, and their CPU time and memory are read from `/proc`.

use super::SlopeError;
use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use std::ffi::OsStr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The number of polls after which a condition counts as failed.
const MAX_POLLS: u32 = 3_000;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
const BYTES_PER_KB: f64 = 1024.0;

/// A running program. The process ends when this value is dropped, and when the process that started it ends.
pub struct MeasuredProcess {
    child: Child,
}

impl MeasuredProcess {
    pub fn start<S: AsRef<OsStr>>(program: &Path, arguments: &[S]) -> Result<Self, SlopeError> {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null());
        // SAFETY: between fork and exec the closure makes one system call and touches no memory.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let child = command.spawn()?;
        Ok(Self { child })
    }

    fn read(&self, file: &str) -> Result<String, SlopeError> {
        Ok(std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))?)
    }

    /// Returns the resident memory (VmRSS) in bytes.
    pub fn resident_bytes(&self) -> Result<f64, SlopeError> {
        self.memory_bytes("VmRSS:")
    }

    /// Returns the peak resident memory (VmHWM) in bytes.
    pub fn peak_bytes(&self) -> Result<f64, SlopeError> {
        self.memory_bytes("VmHWM:")
    }

    fn memory_bytes(&self, field: &str) -> Result<f64, SlopeError> {
        let status = self.read("status")?;
        let of = |line: &str| line.strip_prefix(field)?.split_whitespace().next()?.parse::<f64>().ok();
        let kilobytes = status.lines().find_map(of).ok_or(SlopeError::Ended)?;
        Ok(kilobytes * BYTES_PER_KB)
    }

    /// Makes the program reload its files.
    pub fn reload(&self) -> Result<(), SlopeError> {
        let pid = Pid::from_raw(self.child.id() as i32).ok_or(SlopeError::Ended)?;
        Ok(kill_process(pid, Signal::HUP).map_err(std::io::Error::from)?)
    }

    /// Returns the CPU time of all threads, in seconds.
    pub fn cpu_seconds(&self) -> Result<f64, SlopeError> {
        let mut nanoseconds = 0.0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            let used = text.split_whitespace().next().and_then(|word| word.parse::<f64>().ok());
            nanoseconds += used.ok_or(SlopeError::Ended)?;
        }
        Ok(nanoseconds / NANOSECONDS_PER_SECOND)
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> Result<usize, SlopeError> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds. Fails after 30 s; `what` names the condition in the error.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> Result<(), SlopeError> {
    for _ in 0..MAX_POLLS {
        if condition() {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(SlopeError::TimedOut(what.to_string()))
}

/// A temporary folder for the files of a measurement, removed when dropped.
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    pub fn create() -> Result<Self, SlopeError> {
        let name = format!("ochrewalk-slopes-{}-{}", std::process::id(), fastrand::u32(..));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(Self { path })
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
