//! The node's program as a child process with its own configuration files, and a stand-in for the directory.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::ffi::OsString;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

pub struct Node {
    child: Child,
    listen: SocketAddr,
    arguments: Vec<OsString>,
    environment: Vec<(String, String)>,
    files: Vec<PathBuf>,
}

/// Returns the path of the node's program, which is in the same folder as the current program. Builds it if it is
/// missing, or if cargo runs the current program.
pub fn program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|err| err.to_string())?;
    let program = own.with_file_name("ochrewalk");
    let cargo = std::env::var_os("CARGO");
    if cargo.is_some() || !program.exists() {
        let mut build = Command::new(cargo.unwrap_or_else(|| "cargo".into()));
        build.args(["build", "--quiet", "-p", "ochrewalk-node"]);
        if own.parent().is_some_and(|folder| folder.ends_with("release")) {
            build.arg("--release");
        }
        let built = build.status().map_err(|err| format!("cannot build the node: {err}"))?;
        if !built.success() {
            return Err("the node cannot be built".into());
        }
    }
    Ok(program)
}

/// Starts a directory that accepts every report.
pub fn directory() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut chunk = [0; 2048];
                while stream.read(&mut chunk).is_ok_and(|got| got > 0) {
                    if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(at)
}

/// The first port of unused addresses, below the system's ephemeral ports.
const UNUSED_PORT: u16 = 7_400;

/// Returns an address without a listener, whose port the system does not assign to another socket: each process has a
/// separate network on loopback, and each call returns another address in it.
pub fn unused_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [high, low] = ((std::process::id() % 16_000) as u16).to_be_bytes();
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let (host, port) = (1 + (number % 250) as u8, UNUSED_PORT + number / 250);
        let address = SocketAddr::from(([127, 64 + high, low, host], port));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

/// Returns the CPU time that a process has used, in microseconds, or 0 if it has ended.
pub fn cpu_us(process: u32) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task"));
    let of_task = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    tasks.map_or(0, |tasks| tasks.flatten().filter_map(of_task).sum::<u64>() / 1_000)
}

impl Node {
    /// Starts a node with the platform's file and the operators' file, and waits until it listens.
    pub fn start(program: &Path, config: &Value, operators: &str, log: &str) -> Result<Node, String> {
        let mut node = Node::spawn(program, config, operators, log)?;
        node.wait()?;
        Ok(node)
    }

    /// Starts a node without waiting until it listens.
    pub fn spawn(program: &Path, config: &Value, operators: &str, log: &str) -> Result<Node, String> {
        Node::spawn_with(program, config, operators, log, &[])
    }

    /// Starts a node with additional environment variables, without waiting until it listens.
    pub fn spawn_with(
        program: &Path,
        config: &Value,
        operators: &str,
        log: &str,
        environment: &[(&str, String)],
    ) -> Result<Node, String> {
        let listen: SocketAddr =
            config["listen"].as_str().unwrap_or_default().parse().map_err(|_| "listen")?;
        let folder = std::env::temp_dir();
        let name = format!("ochrewalk-lab-{}-{}", std::process::id(), fastrand::u32(..));
        let files = vec![folder.join(format!("{name}.json")), folder.join(format!("{name}.conf"))];
        write(&files[0], &config.to_string())?;
        write(&files[1], operators)?;
        let mut arguments: Vec<OsString> = vec![program.into(), "serve".into()];
        arguments.extend([
            "--config".into(),
            files[0].clone().into(),
            "--operators".into(),
            files[1].clone().into(),
        ]);
        arguments.extend(["--log".into(), log.into()]);
        let environment: Vec<_> =
            environment.iter().map(|(name, value)| (name.to_string(), value.clone())).collect();
        let child = run(&arguments, &environment)?;
        Ok(Node { child, listen, arguments, environment, files })
    }

    /// Waits until the node listens. Fails if the process ends before, or after 1,000 attempts.
    pub fn wait(&mut self) -> Result<(), String> {
        for _ in 0..1_000 {
            if TcpStream::connect_timeout(&self.listen, Duration::from_millis(200)).is_ok() {
                return Ok(());
            }
            if !self.is_running() {
                return Err(format!("the node at {} has ended before it listened", self.listen));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("the node at {} does not listen", self.listen))
    }

    /// Kills the node and starts it again with the same files.
    pub fn restart(&mut self) -> Result<(), String> {
        self.kill();
        self.child = run(&self.arguments, &self.environment)?;
        Ok(())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Replaces the operators' file and makes the node reload it.
    pub fn reload(&self, operators: &str) -> Result<(), String> {
        write(&self.files[1], operators)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Returns the path of the operators' file.
    pub fn operators(&self) -> &Path {
        &self.files[1]
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM and waits until the process has ended.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
        let _ = self.child.wait();
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the ids of the child processes that are still running.
    pub fn children(&self) -> Vec<u32> {
        let path = format!("/proc/{0}/task/{0}/children", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.split_whitespace().filter_map(|pid| pid.parse().ok()).collect()
    }

    /// Returns the CPU time that the process has used, in microseconds.
    pub fn cpu_us(&self) -> u64 {
        cpu_us(self.child.id())
    }

    /// Returns the proportional set size (PSS) of the process, in KB.
    pub fn memory_kb(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/smaps_rollup", self.child.id())).unwrap_or_default();
        let of = |line: &str| line.strip_prefix("Pss:")?.split_whitespace().next()?.parse().ok();
        text.lines().find_map(of).unwrap_or(0)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_none())
    }
}

/// Starts a process that ends together with the process that started it, however that ends, so that no process stays
/// behind.
fn run(arguments: &[OsString], environment: &[(String, String)]) -> Result<Child, String> {
    let mut command = Command::new(&arguments[0]);
    command
        .args(&arguments[1..])
        .envs(environment.iter().cloned())
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    // SAFETY: between fork and exec the closure makes one system call and touches no memory.
    unsafe {
        command.pre_exec(|| Ok(rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?));
    }
    command.spawn().map_err(|err| format!("{}: {err}", arguments[0].display()))
}

fn write(file: &Path, text: &str) -> Result<(), String> {
    std::fs::write(file, text).map_err(|err| format!("{}: {err}", file.display()))
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

/// Returns the platform's file for a node with these settings.
pub fn config(listen: SocketAddr, executor: SocketAddr, directory: SocketAddr, settings: Value) -> Value {
    json!({
        "name": "lab", "listen": listen.to_string(), "executor": executor.to_string(),
        "lookup": directory.to_string(), "seed": "8c1f30d27a5be964", "stop_ms": 2000,
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024}, "settings": settings
    })
}
