//! The processes of a run: starts the publisher, the relays and hollow nodes, sends them commands and reads their
//! memory use.

use super::hollow::Command as HollowCommand;
use super::options::{region_name, FleetShape, HollowOptions, ScaleOptions};
use super::ScaleError;
use ochrewalk_control_plane::control::send_request;
use ochrewalk_distribution::messages::{Body, Position, Publish, Resource, Status, StatusRequest};
use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use serde::Deserialize;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PUBLISHER_PORT: u16 = 7099;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition until it holds. Fails after `seconds`.
pub fn wait_until(what: &str, seconds: u64, mut condition: impl FnMut() -> bool) -> Result<(), ScaleError> {
    let until = Instant::now() + Duration::from_secs(seconds);
    while !condition() {
        if Instant::now() >= until {
            return Err(ScaleError::TimedOut { what: what.into(), seconds });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns the resident memory of a process, in KB.
pub fn memory_kb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let of_line = |line: &str| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok();
    text.lines().find_map(of_line).unwrap_or(0)
}

/// A child process that ends together with the current process, however that ends.
pub struct Process(Child);

impl Process {
    fn start(mut command: Command) -> Result<Process, ScaleError> {
        let what = format!("{command:?}");
        // SAFETY: between fork and exec the closure makes one system call and touches no memory.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        command.spawn().map(Process).map_err(|source| ScaleError::Process { what, source })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = Pid::from_raw(self.0.id() as i32) {
            let _ = kill_process(process, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The publisher and the relays of all regions.
pub struct ControlPlane {
    program: PathBuf,
    folder: PathBuf,
    address: SocketAddr,
    pub publisher: Process,
    /// The relays of each region.
    pub relays: Vec<Vec<Process>>,
}

impl ControlPlane {
    /// Starts the publisher on an empty log in `folder`.
    pub fn start(program: &Path, folder: &Path, network: u8) -> Result<ControlPlane, ScaleError> {
        let address = SocketAddr::from(([127, network, 0, 1], PUBLISHER_PORT));
        let publisher = start_publisher(program, folder, address)?;
        let control_plane = ControlPlane {
            program: program.into(),
            folder: folder.into(),
            address,
            publisher,
            relays: Vec::new(),
        };
        control_plane.wait_for_publisher()?;
        Ok(control_plane)
    }

    /// Returns the path of the publisher's control socket.
    pub fn control(&self) -> PathBuf {
        control_path(&self.folder)
    }

    fn wait_for_publisher(&self) -> Result<(), ScaleError> {
        wait_until("the publisher answers", 30, || self.status().is_ok())
    }

    /// Starts the publisher again with its log.
    pub fn restart_publisher(&mut self) -> Result<(), ScaleError> {
        self.publisher = start_publisher(&self.program, &self.folder, self.address)?;
        self.wait_for_publisher()
    }

    /// Starts all relays.
    pub fn start_relays(&mut self, shape: &FleetShape, network: u8) -> Result<(), ScaleError> {
        for region in 0..shape.regions {
            let start = |relay| self.start_relay(shape, network, region, relay);
            let relays = (0..shape.relays).map(start).collect::<Result<_, _>>()?;
            self.relays.push(relays);
        }
        Ok(())
    }

    fn start_relay(
        &self,
        shape: &FleetShape,
        network: u8,
        region: u8,
        relay: u8,
    ) -> Result<Process, ScaleError> {
        let named = region_name(region);
        let mut command = Command::new(&self.program);
        command.args(["config", "relay", "--name", &format!("{named}-{relay}"), "--region", &named]);
        command.args(["--listen", &shape.relay_address(network, region, relay).to_string()]);
        command.args(["--publisher", &self.address.to_string()]);
        discard_output(&mut command);
        Process::start(command)
    }

    /// Publishes changes as one batch and returns its position.
    pub fn publish(&self, changes: Vec<Resource>) -> Result<Position, ScaleError> {
        match send_request(&self.control(), Body::Publish(Publish { changes, expected: None }))? {
            Body::Published(published) => Ok(published.position),
            Body::Refused(refused) => Err(ScaleError::Rejected(refused.reasons.join("; "))),
            _ => Err(ScaleError::UnexpectedAnswer),
        }
    }

    /// Returns the status of the fleet as known to the publisher.
    pub fn status(&self) -> Result<Status, ScaleError> {
        match send_request(&self.control(), Body::StatusRequest(StatusRequest {}))? {
            Body::Status(status) => Ok(status),
            _ => Err(ScaleError::UnexpectedAnswer),
        }
    }
}

fn control_path(folder: &Path) -> PathBuf {
    folder.join("control")
}

fn discard_output(command: &mut Command) {
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
}

fn start_publisher(program: &Path, folder: &Path, address: SocketAddr) -> Result<Process, ScaleError> {
    let mut command = Command::new(program);
    command.args(["config", "serve", "--listen", &address.to_string()]);
    command.arg("--control").arg(control_path(folder));
    command.arg("--log-file").arg(folder.join("log"));
    discard_output(&mut command);
    Process::start(command)
}

/// The status that a process of hollow nodes sends every second.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct HollowStatus {
    pub ready: u64,
    pub least_revision: Option<u64>,
    pub first_region_bytes: u64,
}

/// The report of one hollow node.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeReport {
    pub node: u64,
    /// Revisions, and the times in microseconds at which they came into force.
    pub steps: Vec<(u64, u64)>,
    pub epoch: u64,
    pub revision: u64,
    pub ready_us: Option<u64>,
    pub bytes: u64,
    pub went_back: u64,
    pub is_cold: bool,
    pub differs: bool,
    pub connections: u64,
    pub rejected: u64,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum HollowLine {
    End { is_end: bool },
    Node(NodeReport),
    Status(HollowStatus),
}

#[derive(Default)]
struct ReceivedOutput {
    status: HollowStatus,
    reports: Vec<NodeReport>,
    has_ended: bool,
}

/// One process of hollow nodes.
pub struct HollowProcess {
    pub process: Process,
    input: ChildStdin,
    received: Arc<Mutex<ReceivedOutput>>,
    pub count: u64,
}

impl HollowProcess {
    /// Starts `options.count` hollow nodes in a process of this program.
    pub fn start(options: &HollowOptions) -> Result<HollowProcess, ScaleError> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("scale-hollow").args(shape_arguments(&options.shape));
        command.args(["--network", &options.network.to_string(), "--first", &options.first.to_string()]);
        command.args(["--count", &options.count.to_string()]).arg("--control").arg(&options.control);
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut process = Process::start(command)?;
        let no_pipe = || ScaleError::Node("a hollow process has no pipes".into());
        let input = process.0.stdin.take().ok_or_else(no_pipe)?;
        let output = process.0.stdout.take().ok_or_else(no_pipe)?;
        let received = Arc::<Mutex<ReceivedOutput>>::default();
        let shared = received.clone();
        std::thread::spawn(move || read_output(output, &shared));
        Ok(HollowProcess { process, input, received, count: options.count })
    }

    /// Sends a command to the process.
    pub fn send(&mut self, command: HollowCommand) -> Result<(), ScaleError> {
        Ok(writeln!(self.input, "{}", command.word())?)
    }

    /// Returns the last status.
    pub fn status(&self) -> HollowStatus {
        self.lock().status
    }

    /// Whether the process has reported all of its nodes.
    pub fn has_ended(&self) -> bool {
        self.lock().has_ended
    }

    /// Removes and returns the reports of the process's nodes.
    pub fn take_reports(&self) -> Vec<NodeReport> {
        std::mem::take(&mut self.lock().reports)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ReceivedOutput> {
        self.received.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

fn read_output(output: ChildStdout, received: &Mutex<ReceivedOutput>) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        let mut received = received.lock().unwrap_or_else(|broken| broken.into_inner());
        match serde_json::from_str(&line) {
            Ok(HollowLine::End { is_end }) => received.has_ended = is_end,
            Ok(HollowLine::Node(report)) => received.reports.push(report),
            Ok(HollowLine::Status(status)) => received.status = status,
            Err(error) => eprintln!("invalid line from hollow nodes: {error}"),
        }
    }
}

fn shape_arguments(shape: &FleetShape) -> Vec<String> {
    let arguments = [
        ("--seed", shape.seed),
        ("--tenants", shape.tenants),
        ("--routes", shape.routes),
        ("--scopes", shape.scopes),
        ("--regions", shape.regions.into()),
        ("--relays", shape.relays.into()),
        ("--wanted", shape.wanted as u64),
    ];
    arguments.iter().flat_map(|(name, value)| [name.to_string(), value.to_string()]).collect()
}

/// Starts the hollow nodes of a run. Their numbers follow those of the real nodes.
pub fn start_hollow(
    options: &ScaleOptions,
    network: u8,
    control: &Path,
) -> Result<Vec<HollowProcess>, ScaleError> {
    let count = options.nodes.saturating_sub(options.real);
    let processes = options.hollow_processes.min(count.max(1));
    let bound = |process: u64| options.real + count * process / processes;
    let start = |process: u64| {
        HollowProcess::start(&HollowOptions {
            shape: options.shape.clone(),
            network,
            first: bound(process),
            count: bound(process + 1) - bound(process),
            control: control.into(),
        })
    };
    (0..processes).map(start).collect()
}
