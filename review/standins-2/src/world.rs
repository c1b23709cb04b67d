//! What all stand-ins of one run share: the record, the requests, and the node's process.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A request as the platform knows it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub body: Vec<u8>,
    pub sent: Instant,
    /// The answer that the dispatcher read, and when.
    pub answer: Option<(Answer, Instant)>,
    pub answers: u32,
    pub runs: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(i64),
}

pub struct World {
    pub started: Instant,
    record: Mutex<File>,
    requests: Mutex<HashMap<String, Request>>,
    violations: Mutex<Vec<String>>,
    random: Mutex<u64>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

impl World {
    pub fn new(folder: &Path) -> Arc<World> {
        let record = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 32) | 1;
        Arc::new(World {
            started: Instant::now(),
            record: Mutex::new(record),
            requests: Mutex::default(),
            violations: Mutex::default(),
            random: Mutex::new(seed),
        })
    }
    /// Writes one line, after the milliseconds since the start.
    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().expect("no panic under it");
        let _ = writeln!(record, "{:10.3} {text}", self.started.elapsed().as_secs_f64() * 1e3);
    }
    /// Notes a line and prints it.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
    pub fn violation(&self, text: String) {
        self.note(&format!("BROKEN {text}"));
        self.violations.lock().expect("no panic under it").push(text);
    }
    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("no panic under it").clone()
    }
    pub fn with<T>(&self, work: impl FnOnce(&mut HashMap<String, Request>) -> T) -> T {
        work(&mut self.requests.lock().expect("no panic under it"))
    }
    /// Whether nothing is owed for the request any more.
    pub fn is_over(&self, id: &str) -> bool {
        self.with(|requests| requests.get(id).is_none_or(|r| r.answer.is_some()))
    }
    pub fn random(&self) -> u64 {
        let mut state = self.random.lock().expect("no panic under it");
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        state.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    pub fn between(&self, low: u64, high: u64) -> u64 {
        low + self.random() % (high - low + 1)
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const HUP: i32 = 1;
pub const KILL: i32 = 9;

pub fn signal(pid: i32, number: i32) {
    // SAFETY: a plain system call without memory.
    unsafe { kill(pid, number) };
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// The node, started by the deploy file's `run` from the root of the repository.
pub struct Node {
    pub child: Child,
    pub folder: PathBuf,
    pub listen: SocketAddr,
}

pub struct NodeFiles {
    pub listen: SocketAddr,
    pub executor: SocketAddr,
    pub lookup: SocketAddr,
    pub store: Option<SocketAddr>,
    pub stop_ms: u64,
    pub settings: String,
    pub operators: Option<String>,
}

impl NodeFiles {
    pub fn text(&self) -> String {
        let NodeFiles { listen, executor, lookup, stop_ms, settings, .. } = self;
        let store = self.store.map_or(String::new(), |store| format!("\"store\":\"{store}\","));
        format!(
            "{{\"name\":\"n3\",\"listen\":\"{listen}\",\"executor\":\"{executor}\",\"lookup\":\"{lookup}\",{store}\
             \"seed\":\"{:016x}\",\"stop_ms\":{stop_ms},\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512}},\"settings\":{settings}}}",
            unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15)
        )
    }
}

/// The root of the repository, from the folder of the case.
pub fn root() -> PathBuf {
    let folder = std::env::args().nth(2).expect("the case's folder");
    Path::new(&folder).join("../..").canonicalize().expect("the repository")
}

fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("the deploy file has run");
    line.trim().trim_matches('"').to_string()
}

impl Node {
    pub fn start(folder: &Path, files: &NodeFiles) -> Node {
        let config = folder.join("config.json");
        std::fs::write(&config, files.text()).expect("a temporary file");
        let log = File::create(folder.join("node.log")).expect("a temporary file");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).current_dir(root()).env("PROXY_CONFIG", &config);
        command.env("TMPDIR", folder);
        if let Some(operators) = &files.operators {
            let file = folder.join("operators.conf");
            std::fs::write(&file, operators).expect("a temporary file");
            command.env("OCHREWALK_OPERATORS", &file);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::from(log)).process_group(0);
        let child = command.spawn().expect("the node can be started");
        Node { child, folder: folder.into(), listen: files.listen }
    }
    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_none())
    }
    /// Waits until the node accepts connections.
    pub fn wait(&mut self) -> bool {
        for _ in 0..1_000 {
            if TcpStream::connect_timeout(&self.listen, Duration::from_millis(200)).is_ok() {
                return true;
            }
            if !self.is_running() {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
    /// The ids of the processes that the node's first process has started and that still run.
    pub fn children(&self) -> Vec<i32> {
        let mut found = Vec::new();
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.pid()));
        for task in tasks.into_iter().flatten().flatten() {
            let text = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
            found.extend(text.split_whitespace().filter_map(|pid| pid.parse::<i32>().ok()));
        }
        found
    }
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("node.log")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The node was started in a process group of its own, which holds it and its children alone.
        signal(-self.pid(), KILL);
        let _ = self.child.wait();
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
