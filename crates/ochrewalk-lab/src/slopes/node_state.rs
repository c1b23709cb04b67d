//! Measures the memory of a node by the number of routes, methods, tenants, endpoints and connections, and the CPU
//! time of its start. The time until the node is healthy is not measured.

use super::model::Point;
use super::node_under_test::{NodeFiles, NodeUnderTest};
use super::{Context, Series, SlopeError};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// The share of a core below which a node counts as idle.
const IDLE_SHARE: f64 = 0.1;
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
const MAX_IDLE_POLLS: u32 = 15;

/// Returns the sizes of a run; a quick run divides them by 100.
fn sizes(context: &Context, full: &[usize]) -> Vec<usize> {
    let divisor = if context.is_quick { 100 } else { 1 };
    full.iter().map(|size| size / divisor).collect()
}

/// Returns the memory and the CPU time after the start with files of each size.
fn by_files(
    context: &Context,
    full: &[usize],
    files_of: fn(usize) -> NodeFiles,
) -> Result<(Vec<Point>, Vec<Point>), SlopeError> {
    let (mut memory, mut cpu) = (Vec::new(), Vec::new());
    for count in sizes(context, full) {
        let node = NodeUnderTest::start(context.program, files_of(count), "")?;
        let size = count as f64;
        memory.push(Point { size, value: node.process.resident_bytes()? });
        cpu.push(Point { size, value: node.process.cpu_seconds()? });
    }
    Ok((memory, cpu))
}

fn series(
    (name, size_unit): (&'static str, &'static str),
    value_unit: &'static str,
    points: Vec<Point>,
) -> Series {
    let note = match value_unit {
        "bytes" => "VmRSS of the release program, settled after its start; heap that was freed and that the allocator keeps counts, too",
        _ => "CPU time of all threads until the node is healthy and settled",
    };
    Series { name, size_unit, value_unit, points, note: note.into() }
}

pub fn routes(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let files_of = |routes| NodeFiles { routes, ..NodeFiles::default() };
    let (memory, cpu) = by_files(context, &[1_000, 10_000, 25_000, 49_000], files_of)?;
    Ok(vec![
        series(("node-memory-by-routes", "routes in the operators' file"), "bytes", memory),
        series(("node-start-cpu-by-routes", "routes in the operators' file"), "CPU seconds", cpu),
    ])
}

pub fn methods(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let files_of = |methods| NodeFiles { methods, ..NodeFiles::default() };
    let (memory, cpu) = by_files(context, &[1_000, 10_000, 25_000, 49_000], files_of)?;
    Ok(vec![
        series(("node-memory-by-methods", "methods in the node's file"), "bytes", memory),
        series(("node-start-cpu-by-methods", "methods in the node's file"), "CPU seconds", cpu),
    ])
}

pub fn tenants(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let files_of = |tenants| NodeFiles { tenants, ..NodeFiles::default() };
    let (memory, cpu) = by_files(context, &[1_000, 50_000, 200_000, 410_000], files_of)?;
    Ok(vec![
        series(("node-memory-by-tenants", "tenants in the node's file"), "bytes", memory),
        series(("node-start-cpu-by-tenants", "tenants in the node's file"), "CPU seconds", cpu),
    ])
}

pub fn endpoints(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let files_of = |endpoints| NodeFiles { endpoints, ..NodeFiles::default() };
    let (memory, cpu) = by_files(context, &[100, 500, 1_000, 2_500], files_of)?;
    Ok(vec![
        series(("node-memory-by-endpoints", "endpoints upstream"), "bytes", memory),
        series(("node-start-cpu-by-endpoints", "endpoints upstream"), "CPU seconds", cpu),
    ])
}

/// Measures a node with routes, methods, tenants and endpoints together, each at the same percentage of the largest
/// measured size.
pub fn whole(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let (mut settled, mut peak_at_start, mut peak_at_reload) = (Vec::new(), Vec::new(), Vec::new());
    for percent in [25, 50, 75, 100] {
        let part = if context.is_quick { percent / 25 } else { 100 * percent };
        let files = NodeFiles {
            routes: 49_000 * part / 10_000,
            methods: 49_000 * part / 10_000,
            tenants: 410_000 * part / 10_000,
            endpoints: 2_500 * part / 10_000,
        };
        let node = NodeUnderTest::start(context.program, files, "")?;
        let size = part as f64 / 100.0;
        settled.push(Point { size, value: node.process.resident_bytes()? });
        peak_at_start.push(Point { size, value: node.process.peak_bytes()? });
        let before = node.process.cpu_seconds()?;
        node.process.reload()?;
        wait_until_idle(&node, before)?;
        peak_at_reload.push(Point { size, value: node.process.peak_bytes()? });
    }
    let note =
        "routes, methods, tenants and endpoints together; 100 stands for 49,000, 49,000, 410,000 and 2,500";
    let series = |name, points| Series {
        name,
        size_unit: "per cent of the whole node's state",
        value_unit: "bytes",
        points,
        note: note.into(),
    };
    Ok(vec![
        series("node-memory-whole", settled),
        series("node-peak-memory-whole-at-start", peak_at_start),
        series("node-peak-memory-whole-at-reload", peak_at_reload),
    ])
}

/// Waits until the node is idle again, after it has used CPU time since `before`.
fn wait_until_idle(node: &NodeUnderTest, before: f64) -> Result<(), SlopeError> {
    let mut latest = before;
    for poll in 0..MAX_IDLE_POLLS {
        std::thread::sleep(IDLE_POLL_INTERVAL);
        let used = node.process.cpu_seconds()?;
        let share = (used - latest) / IDLE_POLL_INTERVAL.as_secs_f64();
        latest = used;
        if poll > 0 && share < IDLE_SHARE {
            return Ok(());
        }
    }
    Err(SlopeError::TimedOut("the node to be idle after a reload".into()))
}

/// Measures a node with connections that are idle after one answered heartbeat.
pub fn connections(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let node = NodeUnderTest::start(context.program, NodeFiles::default(), "")?;
    let before = node.process.descriptors()?;
    let mut open: Vec<TcpStream> = Vec::new();
    let (mut memory, mut descriptors) = (Vec::new(), Vec::new());
    for count in sizes(context, &[1_000, 2_000, 4_000, 8_000]) {
        while open.len() < count {
            open.push(idle_connection(&node)?);
        }
        let size = count as f64;
        memory.push(Point { size, value: node.process.resident_bytes()? });
        descriptors.push(Point { size, value: node.process.descriptors()?.saturating_sub(before) as f64 });
    }
    let size_unit = "resting JSON-RPC connections";
    let note = "VmRSS of one node while connections are added; each had one heartbeat answered";
    Ok(vec![
        Series {
            name: "node-memory-by-connections",
            size_unit,
            value_unit: "bytes",
            points: memory,
            note: note.into(),
        },
        Series {
            name: "node-descriptors-by-connections",
            size_unit,
            value_unit: "descriptors",
            points: descriptors,
            note: "descriptors of the node beyond those after its start".into(),
        },
    ])
}

fn idle_connection(node: &NodeUnderTest) -> Result<TcpStream, SlopeError> {
    let mut stream = TcpStream::connect_timeout(&node.json_address, HEARTBEAT_TIMEOUT)?;
    stream.set_read_timeout(Some(HEARTBEAT_TIMEOUT))?;
    stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"heartbeat\",\"params\":{}}\n")?;
    let mut answer = String::new();
    BufReader::new(&stream).read_line(&mut answer)?;
    if answer.is_empty() {
        return Err(SlopeError::Lab("the node closed an idle connection".into()));
    }
    Ok(stream)
}
