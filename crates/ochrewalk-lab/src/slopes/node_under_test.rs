//! A real node with generated files for a measurement, and stand-ins for its executor and directory.

use super::process::{wait_until, Folder, MeasuredProcess};
use super::SlopeError;
use crate::executor::{Executor, Work};
use crate::json::Caller;
use crate::load::METHODS;
use crate::node;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::fmt::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// The number of cores of the stand-in executor, which is large enough that no RPC waits for a core.
const EXECUTOR_CORES: f64 = 16.0;
/// The descriptors that the node may use. No measurement opens a quarter of them, from which on a node closes idle
/// connections.
const NODE_DESCRIPTORS: u64 = 40_000;
const AJP_CONNECTIONS: u64 = 300;
/// The time for which idempotency keys are stored, which is longer than a measurement.
const KEY_WINDOW_NS: u64 = 600_000_000_000;
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// The wait after the start until memory that is only used during the start has been released.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// The generated contents of the node's files.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeFiles {
    pub routes: usize,
    /// The number of methods in addition to those of the lab.
    pub methods: usize,
    pub tenants: usize,
    /// The number of upstream endpoints.
    pub endpoints: usize,
}

pub struct NodeUnderTest {
    pub process: MeasuredProcess,
    pub json_address: SocketAddr,
    pub ajp_address: SocketAddr,
    pub executor: Arc<Executor>,
    _folder: Folder,
}

impl NodeUnderTest {
    /// Starts a node, and waits until it is healthy and its memory has settled.
    pub fn start(program: &Path, files: NodeFiles, more_lines: &str) -> Result<Self, SlopeError> {
        let executor = Arc::new(start_executor(work_of_an_rpc())?);
        let folder = Folder::create()?;
        let json_address = node::unused_address()?;
        let ajp_address = node::unused_address()?;
        let directory = node::directory()?;
        let mut config = node::config(json_address, executor.at, directory, settings(files));
        config["limits"]["sockets"] = NODE_DESCRIPTORS.into();
        let (config_path, operators_path) = (folder.file("node.json"), folder.file("operators.conf"));
        std::fs::write(&config_path, config.to_string())?;
        std::fs::write(&operators_path, operators_file(files, ajp_address, more_lines))?;
        let arguments = [
            "serve".as_ref(),
            "--log".as_ref(),
            "error".as_ref(),
            "--config".as_ref(),
            config_path.as_os_str(),
            "--operators".as_ref(),
            operators_path.as_os_str(),
        ];
        let process = MeasuredProcess::start(program, &arguments)?;
        wait_until("the node listens", || TcpStream::connect(json_address).is_ok())?;
        let caller = Caller::connect(json_address)?;
        let mut number = 0;
        wait_until("the node is healthy", || {
            number += 1;
            let answer = caller.call(number, "heartbeat", "").recv_timeout(HEARTBEAT_TIMEOUT);
            answer.is_ok_and(|answer| answer["result"]["pass"] == true)
        })?;
        std::thread::sleep(SETTLE_TIME);
        Ok(Self { process, json_address, ajp_address, executor, _folder: folder })
    }
}

/// Starts a stand-in executor whose methods all take the same work.
pub fn start_executor(work: Work) -> Result<Executor, SlopeError> {
    let works: HashMap<String, Work> = METHODS.iter().map(|method| (method.name.to_string(), work)).collect();
    Ok(Executor::start_timed(EXECUTOR_CORES, works)?)
}

/// Returns the work of each RPC: one millisecond, without an upstream call.
pub fn work_of_an_rpc() -> Work {
    Work { core_us: 1_000, calls: false, is_exponential: false, max_wait: Duration::from_secs(1) }
}

fn settings(files: NodeFiles) -> Value {
    let mut settings = crate::load::settings();
    settings["extra"]["cores"] = json!(EXECUTOR_CORES as u64);
    // No method makes upstream calls, as the measurements have no upstream that answers.
    let calls = vec![false; METHODS.len() + files.methods];
    settings["extra"]["calls-by-class"] = json!(calls);
    if let Some(categories) = settings["categories"].as_array_mut() {
        categories.iter_mut().for_each(|category| category["window-ns"] = KEY_WINDOW_NS.into());
        let method = categories[0].clone();
        categories.extend((0..files.methods).map(|number| {
            let mut category = method.clone();
            category["name"] = format!("method-{number:06}").into();
            category
        }));
    }
    if files.tenants > 0 {
        let tenant = |number| json!({"name": format!("tenant-{number:08}"), "allowance-per-s": 50.0});
        settings["tenants"] = (0..files.tenants).map(tenant).collect();
    }
    settings
}

fn operators_file(files: NodeFiles, ajp_address: SocketAddr, more_lines: &str) -> String {
    let mut text = format!(
        "ajp listen {ajp_address}\najp allow 127.0.0.0/8\najp connections {AJP_CONNECTIONS}\n\
         ajp memory 20.5\najp route GET /items/{{}} part-lookup\n\
         ajp route POST /sales order-record\n"
    );
    for number in 0..files.routes {
        let _ = writeln!(text, "ajp route GET /service-{:03}/item-{number:06} part-lookup", number % 200);
    }
    for number in 0..files.endpoints {
        let _ = writeln!(text, "below ajp 127.{}.{}.1:8010", 1 + number / 250, number % 250);
    }
    if files.endpoints > 0 {
        text.push_str("below uri /ledger\nbelow connections 100\n");
    }
    text + more_lines
}
