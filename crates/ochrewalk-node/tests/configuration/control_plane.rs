//! Runs a publisher and its relays as processes.

use crate::helper::{file, own_address, program};
use std::path::PathBuf;
use std::process::{Child, Output, Stdio};
use std::time::Duration;

/// The number of checks of a condition, 20 ms apart, before a test fails: half a minute in total.
pub const MAX_CHECKS: u32 = 1_500;
pub const CHECK_INTERVAL: Duration = Duration::from_millis(20);

pub fn wait_until(condition: &str, mut is_true: impl FnMut() -> bool) {
    for _ in 0..MAX_CHECKS {
        if is_true() {
            return;
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    panic!("not reached in time: {condition}");
}

/// A process of the control plane, which is killed when this value is dropped.
pub struct Process(pub Child);

impl Process {
    pub fn start(arguments: &[&str]) -> Process {
        Process(program(arguments).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap())
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

/// A publisher and two relays of the region east.
pub struct ControlPlane {
    pub folder: PathBuf,
    pub publisher_address: String,
    pub relay_addresses: [String; 2],
    pub publisher: Process,
    pub relays: Vec<Process>,
}

impl ControlPlane {
    pub fn start() -> ControlPlane {
        let folder = file("").with_extension("plane");
        std::fs::create_dir(&folder).unwrap();
        let (publisher_address, first, second) = (own_address(7100), own_address(7101), own_address(7102));
        let publisher = ControlPlane::start_publisher(&folder, &publisher_address);
        let relay_addresses = [first, second];
        let mut control_plane =
            ControlPlane { folder, publisher_address, relay_addresses, publisher, relays: Vec::new() };
        control_plane.start_relays();
        wait_until("the publisher answers", || control_plane.run(&["status"]).status.success());
        control_plane
    }

    pub fn start_publisher(folder: &std::path::Path, address: &str) -> Process {
        let path = |name: &str| folder.join(name).to_str().unwrap().to_string();
        let (control, log) = (path("control"), path("log"));
        Process::start(&["config", "serve", "--listen", address, "--control", &control, "--log-file", &log])
    }

    pub fn start_relays(&mut self) {
        let named = ["east-1", "east-2"].iter().zip(&self.relay_addresses);
        let start = |(name, at): (&&str, &String)| {
            let publisher = self.publisher_address.as_str();
            let arguments = ["config", "relay", "--name", name, "--region", "east", "--listen", at];
            Process::start(&[&arguments[..], &["--publisher", publisher]].concat())
        };
        self.relays = named.map(start).collect();
    }

    pub fn run(&self, arguments: &[&str]) -> Output {
        let control = self.folder.join("control");
        let (command, more) = arguments.split_first().unwrap();
        let all = [&["config", command, "--control", control.to_str().unwrap()], more].concat();
        program(&all).output().unwrap()
    }

    /// Runs a command with a file of changes. Returns the output, and whether the command succeeded.
    pub fn run_with_changes(&self, command: &str, changes: &str) -> (String, bool) {
        let path = file(changes);
        let output = self.run(&[command, path.to_str().unwrap()]);
        let _ = std::fs::remove_file(&path);
        let printed = if output.status.success() { &output.stdout } else { &output.stderr };
        (String::from_utf8_lossy(printed).into_owned(), output.status.success())
    }

    pub fn publish(&self, changes: &str) -> String {
        let (printed, succeeded) = self.run_with_changes("publish", changes);
        assert!(succeeded, "{printed}");
        printed
    }

    pub fn status(&self) -> String {
        String::from_utf8(self.run(&["status"]).stdout).unwrap()
    }

    /// Returns the directives by which a node follows this control plane.
    pub fn directives(&self, more: &str) -> String {
        let [first, second] = &self.relay_addresses;
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
