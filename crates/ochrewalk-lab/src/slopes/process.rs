//! Programs under measurement: started, killed when dropped, and their CPU time and memory read from `/proc`.

use super::SlopeError;
use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use std::ffi::OsStr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How often a condition is looked at, and for how long before it counts as failed.
const BETWEEN_LOOKS: Duration = Duration::from_millis(10);
const LOOKS: u32 = 3_000;
const NANOSECONDS_PER_SECOND: f64 = 1e9;
const BYTES_PER_KB: f64 = 1024.0;

/// A running program. It ends when this is dropped, and when the one that started it ends.
pub struct MeasuredProcess {
    child: Child,
}

impl MeasuredProcess {
    pub fn start<S: AsRef<OsStr>>(program: &Path, arguments: &[S]) -> Result<Self, SlopeError> {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null());
        // SAFETY: between fork and exec it makes one system call and touches no memory.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let child = command.spawn()?;
        Ok(Self { child })
    }

    fn read(&self, file: &str) -> Result<String, SlopeError> {
        Ok(std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))?)
    }

    /// Resident memory (VmRSS) in bytes.
    pub fn resident_bytes(&self) -> Result<f64, SlopeError> {
        self.memory_bytes("VmRSS:")
    }

    /// The most resident memory that there ever was (VmHWM), in bytes.
    pub fn peak_bytes(&self) -> Result<f64, SlopeError> {
        self.memory_bytes("VmHWM:")
    }

    fn memory_bytes(&self, field: &str) -> Result<f64, SlopeError> {
        let status = self.read("status")?;
        let of = |line: &str| line.strip_prefix(field)?.split_whitespace().next()?.parse::<f64>().ok();
        let kilobytes = status.lines().find_map(of).ok_or(SlopeError::Ended)?;
        Ok(kilobytes * BYTES_PER_KB)
    }

    /// Has it read its files again.
    pub fn reload(&self) -> Result<(), SlopeError> {
        let pid = Pid::from_raw(self.child.id() as i32).ok_or(SlopeError::Ended)?;
        Ok(kill_process(pid, Signal::HUP).map_err(std::io::Error::from)?)
    }

    /// CPU time used by all its threads, in seconds.
    pub fn cpu_seconds(&self) -> Result<f64, SlopeError> {
        let mut nanoseconds = 0.0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            let used = text.split_whitespace().next().and_then(|word| word.parse::<f64>().ok());
            nanoseconds += used.ok_or(SlopeError::Ended)?;
        }
        Ok(nanoseconds / NANOSECONDS_PER_SECOND)
    }

    /// Descriptors that it has open.
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

/// Waits until something is so.
pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) -> Result<(), SlopeError> {
    for _ in 0..LOOKS {
        if is_so() {
            return Ok(());
        }
        std::thread::sleep(BETWEEN_LOOKS);
    }
    Err(SlopeError::NeverSeen(what.to_string()))
}

/// A folder of its own for files of a measurement, removed when dropped.
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
