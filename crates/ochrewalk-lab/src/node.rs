//! The real program as a process, with a file of its own and a stand-in for the directory.

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub struct Node {
    child: Child,
    files: Vec<PathBuf>,
}

/// Where the program is: beside this one. Built where it is not there, or where cargo runs this one.
pub fn program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|err| err.to_string())?;
    let beside = own.with_file_name("ochrewalk");
    let cargo = std::env::var_os("CARGO");
    if cargo.is_some() || !beside.exists() {
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
    Ok(beside)
}

/// A directory that takes every report.
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

/// A free port of that address.
pub fn free(address: &str) -> std::io::Result<SocketAddr> {
    TcpListener::bind((address, 0))?.local_addr()
}

impl Node {
    /// Starts it with the platform's file and the operators' own, and waits until it listens.
    pub fn start(program: &Path, config: &Value, operators: &str, log: &str) -> Result<Node, String> {
        let folder = std::env::temp_dir();
        let name = format!("ochrewalk-lab-{}-{}", std::process::id(), fastrand::u32(..));
        let files = vec![folder.join(format!("{name}.json")), folder.join(format!("{name}.conf"))];
        let write = |file: &PathBuf, text: &str| {
            std::fs::write(file, text).map_err(|err| format!("{}: {err}", file.display()))
        };
        write(&files[0], &config.to_string())?;
        write(&files[1], operators)?;
        let child = Command::new(program)
            .arg("serve")
            .arg("--config")
            .arg(&files[0])
            .arg("--operators")
            .arg(&files[1])
            .args(["--log", log])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .map_err(|err| format!("{}: {err}", program.display()))?;
        let node = Node { child, files };
        let listen: SocketAddr =
            config["listen"].as_str().unwrap_or_default().parse().map_err(|_| "listen")?;
        for _ in 0..400 {
            if TcpStream::connect_timeout(&listen, Duration::from_millis(200)).is_ok() {
                return Ok(node);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err("the node does not listen".into())
    }

    /// CPU time that it has used, in microseconds.
    pub fn cpu_us(&self) -> u64 {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let of = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse::<u64>().ok()
        };
        tasks.map_or(0, |tasks| tasks.flatten().filter_map(of).sum::<u64>() / 1_000)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_none())
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.child.id().to_string()]).status();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

/// The platform's file for a node with these methods in its settings.
pub fn config(listen: SocketAddr, executor: SocketAddr, directory: SocketAddr, settings: Value) -> Value {
    json!({
        "name": "lab", "listen": listen.to_string(), "executor": executor.to_string(),
        "lookup": directory.to_string(), "seed": "8c1f30d27a5be964", "stop_ms": 2000,
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024}, "settings": settings
    })
}
