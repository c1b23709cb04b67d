//! A publisher and its relays as processes.

use crate::helper::{file, own_address, program};
use std::path::PathBuf;
use std::process::{Child, Output, Stdio};
use std::time::Duration;

/// Looks at something until it is so, 20 ms apart: half a minute.
pub const LOOKS: u32 = 1_500;
pub const BETWEEN_LOOKS: Duration = Duration::from_millis(20);

pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    for _ in 0..LOOKS {
        if is_so() {
            return;
        }
        std::thread::sleep(BETWEEN_LOOKS);
    }
    panic!("never seen: {what}");
}

/// A process of the control plane, killed at the end.
pub struct Process(pub Child);

impl Process {
    pub fn start(words: &[&str]) -> Process {
        Process(program(words).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap())
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A publisher and two relays of region east.
pub struct ControlPlane {
    pub folder: PathBuf,
    pub publisher_at: String,
    pub relays_at: [String; 2],
    pub publisher: Process,
    pub relays: Vec<Process>,
}

impl ControlPlane {
    pub fn start() -> ControlPlane {
        let folder = file("").with_extension("plane");
        std::fs::create_dir(&folder).unwrap();
        let (publisher_at, first, second) = (own_address(7100), own_address(7101), own_address(7102));
        let publisher = ControlPlane::publisher(&folder, &publisher_at);
        let relays_at = [first, second];
        let mut plane = ControlPlane { folder, publisher_at, relays_at, publisher, relays: Vec::new() };
        plane.start_relays();
        wait_until("the publisher answers", || plane.ask(&["status"]).status.success());
        plane
    }

    pub fn publisher(folder: &std::path::Path, at: &str) -> Process {
        let path = |name: &str| folder.join(name).to_str().unwrap().to_string();
        let (control, log) = (path("control"), path("log"));
        Process::start(&["config", "serve", "--listen", at, "--control", &control, "--log-file", &log])
    }

    pub fn start_relays(&mut self) {
        let named = ["east-1", "east-2"].iter().zip(&self.relays_at);
        let start = |(name, at): (&&str, &String)| {
            let publisher = self.publisher_at.as_str();
            let words = ["config", "relay", "--name", name, "--region", "east", "--listen", at];
            Process::start(&[&words[..], &["--publisher", publisher]].concat())
        };
        self.relays = named.map(start).collect();
    }

    pub fn ask(&self, words: &[&str]) -> Output {
        let control = self.folder.join("control");
        let (command, more) = words.split_first().unwrap();
        let all = [&["config", command, "--control", control.to_str().unwrap()], more].concat();
        program(&all).output().unwrap()
    }

    /// Asks for something with a file of changes, and gives what was said and whether it was done.
    pub fn with_changes(&self, command: &str, changes: &str) -> (String, bool) {
        let path = file(changes);
        let output = self.ask(&[command, path.to_str().unwrap()]);
        let _ = std::fs::remove_file(&path);
        let said = if output.status.success() { &output.stdout } else { &output.stderr };
        (String::from_utf8_lossy(said).into_owned(), output.status.success())
    }

    pub fn publish(&self, changes: &str) -> String {
        let (said, is_done) = self.with_changes("publish", changes);
        assert!(is_done, "{said}");
        said
    }

    pub fn status(&self) -> String {
        String::from_utf8(self.ask(&["status"]).stdout).unwrap()
    }

    /// The lines by which a node follows this control plane.
    pub fn directives(&self, more: &str) -> String {
        let [first, second] = &self.relays_at;
        format!("config relay {first}\nconfig relay {second}\nconfig region east\nconfig scope shop\n{more}")
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        self.publisher.kill();
        self.relays.iter_mut().for_each(Process::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
