//! The store, the directory, and the dispatchers.

use crate::executor::reply_to;
use crate::json::{base64, parse, unbase64};
use crate::world::{unix_ms, Answer, Request, World};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Starts a store that answers each call after `delay`.
pub fn store(world: Arc<World>, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || serve_calls(&world, &stream, delay));
        }
    });
    at
}

fn serve_calls(world: &Arc<World>, stream: &TcpStream, delay: Duration) {
    let Ok(clone) = stream.try_clone() else { return };
    let writer = Arc::new(Mutex::new(clone));
    let dropped: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while {
        line.clear();
        reader.read_line(&mut line).is_ok_and(|got| got > 0)
    } {
        let words: Vec<String> = line.split_whitespace().map(String::from).collect();
        match words.first().map(String::as_str) {
            Some("CALL") if words.len() == 4 => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap_or(0) + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(body.len() - 2);
                let id = words[1].clone();
                world.note(&format!("store: call '{}'", String::from_utf8_lossy(&body)));
                dropped.lock().expect("no panic").retain(|other| *other != id);
                let (writer, dropped) = (writer.clone(), dropped.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    if dropped.lock().expect("no panic").contains(&id) {
                        return;
                    }
                    let reply = reply_to(&body);
                    let mut out = format!("{id} OK {}\r\n", reply.len()).into_bytes();
                    out.extend(reply);
                    out.extend(b"\r\n");
                    let _ = writer.lock().expect("no panic").write_all(&out);
                });
            }
            Some("DROP") if words.len() == 2 => dropped.lock().expect("no panic").push(words[1].clone()),
            _ => return,
        }
    }
}

/// Starts a directory that takes every report.
pub fn directory() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
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
    at
}

/// One connection of a dispatcher.
pub struct Dispatcher {
    world: Arc<World>,
    stream: Mutex<TcpStream>,
    shared: Arc<DispatcherState>,
}

#[derive(Default)]
struct DispatcherState {
    open: Mutex<HashMap<u64, String>>,
    flags: Mutex<Flags>,
}

#[derive(Default, Clone, Copy)]
pub struct Flags {
    pub is_healthy: bool,
    next: u64,
}

impl Dispatcher {
    pub fn connect(world: &Arc<World>, at: SocketAddr) -> std::io::Result<Dispatcher> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let shared = Arc::new(DispatcherState::default());
        let (reader, state, of) = (stream.try_clone()?, shared.clone(), world.clone());
        std::thread::spawn(move || read_answers(&of, &reader, &state));
        Ok(Dispatcher { world: world.clone(), stream: Mutex::new(stream), shared })
    }
    pub fn flags(&self) -> Flags {
        *self.shared.flags.lock().expect("no panic")
    }
    fn next(&self) -> u64 {
        let mut flags = self.shared.flags.lock().expect("no panic");
        flags.next += 1;
        flags.next
    }
    pub fn heartbeat(&self) {
        let line = format!("{{\"jsonrpc\":\"2.0\",\"id\":{},\"method\":\"heartbeat\"}}\n", self.next());
        let _ = self.stream.lock().expect("no panic").write_all(line.as_bytes());
    }
    /// Waits until a health check is good.
    pub fn wait_healthy(&self) -> bool {
        for _ in 0..500 {
            self.heartbeat();
            std::thread::sleep(Duration::from_millis(20));
            if self.flags().is_healthy {
                return true;
            }
        }
        false
    }
    /// Sends a request and returns its id, or nothing where the connection has ended.
    pub fn send(&self, method: &str, body: &[u8], key: Option<&str>) -> Option<String> {
        let req = format!("{:016x}", self.world.random());
        let id = self.next();
        let mut params =
            format!("\"req\":\"{req}\",\"ts\":{},\"via\":1,\"need\":20.5,\"level\":0.5000", unix_ms());
        if let Some(key) = key {
            params += &format!(",\"opkey\":\"{key}\"");
        }
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{{{params},\"body\":\"{}\"}}}}\n",
            base64(body)
        );
        let request = Request {
            method: method.into(),
            body: body.into(),
            sent: Instant::now(),
            answer: None,
            answers: 0,
            runs: 0,
        };
        self.world.with(|requests| requests.insert(req.clone(), request));
        self.shared.open.lock().expect("no panic").insert(id, req.clone());
        self.world.note(&format!("dispatcher: sends {req} {method} key {}", key.unwrap_or("-")));
        if self.stream.lock().expect("no panic").write_all(line.as_bytes()).is_err() {
            self.shared.open.lock().expect("no panic").remove(&id);
            self.world.with(|requests| requests.remove(&req));
            return None;
        }
        Some(req)
    }
}

fn read_answers(world: &Arc<World>, stream: &TcpStream, state: &DispatcherState) {
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { break };
        let Some(value) = parse(&line) else {
            world.violation(format!("an answer that can't be read: {line}"));
            continue;
        };
        if value.text("method") == Some("noMore") {
            world.note("dispatcher: is asked to send nothing more on a connection");
            continue;
        }
        let Some(id) = value.number("id") else { continue };
        if let Some(result) = value.get("result").filter(|result| result.get("pass").is_some()) {
            state.flags.lock().expect("no panic").is_healthy |=
                result.get("pass") == Some(&crate::json::Value::Bool(true));
            continue;
        }
        let req = state.open.lock().expect("no panic").remove(&(id as u64));
        let answer = match (value.get("result"), value.get("error")) {
            (Some(result), _) => {
                Answer::Served(unbase64(result.text("body").unwrap_or("")).unwrap_or_default())
            }
            (_, Some(error)) if error.number("code") == Some(-32011.0) => Answer::Refused,
            (_, Some(error)) => Answer::Failed(error.number("code").unwrap_or(0.0) as i64),
            _ => Answer::Failed(0),
        };
        let Some(req) = req else {
            world.violation(format!("a second answer under number {id}: {line}"));
            continue;
        };
        let name = match &answer {
            Answer::Served(_) => "served".to_string(),
            Answer::Refused => "refused".to_string(),
            Answer::Failed(code) => format!("failed {code}"),
        };
        world.note(&format!("dispatcher: {req} is {name}"));
        world.with(|requests| {
            if let Some(request) = requests.get_mut(&req) {
                request.answers += 1;
                request.answer = Some((answer, Instant::now()));
            }
        });
    }
    world.note("dispatcher: a connection has ended");
}
