//! Measures the CPU time of a node and the latency that it adds, at fixed RPC rates. The stand-in executor records
//! the residence time of each RPC; the rest of its latency is transit, which the node, the sockets and the load tool
//! cause together. The same load is sent directly to the stand-in over its own protocol, which shows the part of the
//! sockets and the load tool.

use super::model::Point;
use super::node_under_test::{start_executor, work_of_an_rpc, NodeFiles, NodeUnderTest};
use super::{Context, Series, SlopeError};
use crate::ajp::{Call, Peer};
use crate::executor::Executor;
use base64::prelude::{Engine, BASE64_STANDARD};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of callers, each with a connection and one RPC at a time.
const CALLERS: u64 = 64;
const RATES: [u64; 4] = [200, 500, 1_000, 2_000];
const SPAN: Duration = Duration::from_secs(5);
/// The number of loads at each rate. The median of their percentiles is reported.
const ROUNDS: usize = 3;
const QUICK_SPAN: Duration = Duration::from_secs(1);
/// The duration of load before the measurement, in which adaptive limits grow.
const WARM_UP: Duration = Duration::from_secs(2);
const RPC_TIMEOUT: Duration = Duration::from_secs(2);
const HIGHEST_US: u64 = 10_000_000;
const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;
/// A delay of a send after its due time that is attributed to the load tool.
const LATE_US: u64 = 1_000;

/// The result of a load.
struct Outcome {
    /// The time from the due time of each RPC to its answer.
    latency: Histogram<u64>,
    /// The time from sending each RPC to its answer, minus its residence time at the executor.
    transit: Histogram<u64>,
    sent: u64,
    failed: u64,
    late: u64,
}

impl Outcome {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(HIGHEST_US, 3).expect("bounds that are right");
        Self { latency: histogram(), transit: histogram(), sent: 0, failed: 0, late: 0 }
    }

    fn add(&mut self, other: Outcome) {
        self.latency.add(&other.latency).expect("the same bounds");
        self.transit.add(&other.transit).expect("the same bounds");
        self.sent += other.sent;
        self.failed += other.failed;
        self.late += other.late;
    }

    fn count(outcomes: &[Outcome], of: fn(&Outcome) -> u64) -> u64 {
        outcomes.iter().map(of).sum()
    }

    fn counts(outcomes: &[Outcome]) -> String {
        let [sent, failed, late] = [
            Outcome::count(outcomes, |outcome| outcome.sent),
            Outcome::count(outcomes, |outcome| outcome.failed),
            Outcome::count(outcomes, |outcome| outcome.late),
        ];
        format!("{sent} sent, {failed} not served, {late} sent late by over 1 ms")
    }
}

/// Repeats the same load `ROUNDS` times.
fn rounds(mut load: impl FnMut() -> Result<Outcome, SlopeError>) -> Result<Vec<Outcome>, SlopeError> {
    (0..ROUNDS).map(|_| load()).collect()
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn percentile_ms(times: &Histogram<u64>, percentile: f64) -> f64 {
    times.value_at_percentile(percentile) as f64 / MICROSECONDS_PER_MILLISECOND
}

/// Sends an RPC and waits for its answer. Returns the id of the RPC if it was served.
type SendRpc = Box<dyn FnMut(u64) -> Option<String> + Send>;

/// Sends RPCs at a fixed rate, evenly spaced and distributed over callers, whether or not earlier RPCs are answered
/// in time.
fn load_at(
    rate: u64,
    span: Duration,
    executor: &Arc<Executor>,
    make: &mut dyn FnMut() -> Result<SendRpc, SlopeError>,
) -> Result<Outcome, SlopeError> {
    let senders: Result<Vec<SendRpc>, SlopeError> = (0..CALLERS).map(|_| make()).collect();
    let began = Instant::now() + Duration::from_millis(20);
    let callers = senders?.into_iter().enumerate();
    let all: Vec<_> = callers
        .map(|(caller, send)| {
            let executor = executor.clone();
            std::thread::spawn(move || one_caller(caller as u64, rate, span, began, &executor, send))
        })
        .collect();
    let mut outcome = Outcome::new();
    for caller in all {
        outcome.add(caller.join().map_err(|_| SlopeError::Lab("a caller panicked".into()))?);
    }
    Ok(outcome)
}

fn one_caller(
    caller: u64,
    rate: u64,
    span: Duration,
    began: Instant,
    executor: &Executor,
    mut send: SendRpc,
) -> Outcome {
    let mut outcome = Outcome::new();
    let mut number = caller;
    loop {
        let offset = Duration::from_secs_f64(number as f64 / rate as f64);
        if offset >= span {
            return outcome;
        }
        let due = began + offset;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        outcome.late += u64::from(due.elapsed().as_micros() as u64 > LATE_US);
        outcome.sent += 1;
        let sent_at = Instant::now();
        match send(number) {
            Some(id) => {
                let answered_at = Instant::now();
                outcome.latency.saturating_record((answered_at - due).as_micros() as u64);
                if let Some(residence) = executor.take_residence(&id) {
                    let transit = (answered_at - sent_at).saturating_sub(residence);
                    outcome.transit.saturating_record(transit.as_micros() as u64);
                }
            }
            None => outcome.failed += 1,
        }
        number += CALLERS;
    }
}

fn over_ajp(address: SocketAddr, request_ids: &Arc<AtomicU64>) -> Result<SendRpc, SlopeError> {
    let mut peer = Peer::connect(address, RPC_TIMEOUT)?;
    let request_ids = request_ids.clone();
    Ok(Box::new(move |_| {
        let number = request_ids.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let headers =
            vec![("x-request-id", id.clone()), ("x-time-left-ms", RPC_TIMEOUT.as_millis().to_string())];
        let call =
            Call { method: "GET", uri: "/items/7", headers, secret: None, body: &number.to_be_bytes() };
        match peer.call(&call) {
            Ok(answer) => (answer.status == 200).then_some(id),
            Err(_) => {
                if let Ok(new_peer) = Peer::connect(address, RPC_TIMEOUT) {
                    peer = new_peer;
                }
                None
            }
        }
    }))
}

/// The RPCs that wait for their completion by the stand-in.
type Waiting = Arc<Mutex<HashMap<String, Sender<()>>>>;

/// A connection to the stand-in executor without a node, over the executor's protocol.
struct DirectConnection {
    stream: Arc<Mutex<TcpStream>>,
    waiting: Waiting,
}

impl DirectConnection {
    fn connect(address: SocketAddr) -> Result<Self, SlopeError> {
        let mut stream = TcpStream::connect_timeout(&address, RPC_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.write_all(b"{\"action\":\"JOIN\",\"pos\":0}\n")?;
        let waiting: Waiting = Arc::default();
        let (reader, completions) = (stream.try_clone()?, waiting.clone());
        std::thread::spawn(move || read_completions(reader, &completions));
        Ok(Self { stream: Arc::new(Mutex::new(stream)), waiting })
    }

    fn sender(&self, request_ids: &Arc<AtomicU64>) -> SendRpc {
        let (stream, waiting, request_ids) = (self.stream.clone(), self.waiting.clone(), request_ids.clone());
        Box::new(move |_| {
            let id = format!("{:016x}", request_ids.fetch_add(1, Ordering::Relaxed));
            let (completed, completion): (Sender<()>, Receiver<()>) = channel();
            waiting.lock().expect("no panic under it").insert(id.clone(), completed);
            let content = BASE64_STANDARD.encode(&id);
            let line = json!({"action": "EXEC", "uid": id, "lane": "part-lookup", "content": content});
            let line = format!("{line}\n");
            let written = stream.lock().expect("no panic under it").write_all(line.as_bytes());
            let is_completed = written.is_ok() && completion.recv_timeout(RPC_TIMEOUT).is_ok();
            waiting.lock().expect("no panic under it").remove(&id);
            is_completed.then_some(id)
        })
    }
}

fn read_completions(stream: TcpStream, waiting: &Waiting) {
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let Ok(value) = serde_json::from_str::<Value>(&line) else { return };
        let Some(id) = value["uid"].as_str().filter(|_| value["action"] == "EXIT") else { continue };
        if let Some(completed) = waiting.lock().expect("no panic under it").get(id) {
            let _ = completed.send(());
        }
    }
}

/// Latencies by rate, for each reported percentile.
#[derive(Default)]
struct LatencyPoints {
    p50: Vec<Point>,
    p99: Vec<Point>,
    p999: Vec<Point>,
    transit_p50: Vec<Point>,
    transit_p99: Vec<Point>,
}

impl LatencyPoints {
    fn push(&mut self, size: f64, outcomes: &[Outcome]) {
        let latency = |percentile| Point {
            size,
            value: median(outcomes.iter().map(|outcome| percentile_ms(&outcome.latency, percentile))),
        };
        let transit = |percentile| Point {
            size,
            value: median(outcomes.iter().map(|outcome| percentile_ms(&outcome.transit, percentile))),
        };
        self.p50.push(latency(50.0));
        self.p99.push(latency(99.0));
        self.p999.push(latency(99.9));
        self.transit_p50.push(transit(50.0));
        self.transit_p99.push(transit(99.0));
    }
}

/// Measures the CPU share of a node and latencies by RPC rate, compared with the stand-in alone.
pub fn rpcs(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let span = if context.is_quick { QUICK_SPAN } else { SPAN };
    let node = NodeUnderTest::start(context.program, NodeFiles::default(), "")?;
    let request_ids = Arc::new(AtomicU64::new(1));
    let mut cpu = Vec::new();
    let (mut through, mut alone) = (LatencyPoints::default(), LatencyPoints::default());
    let mut notes = Vec::new();
    for rate in RATES {
        let mut over_node = || over_ajp(node.ajp_address, &request_ids);
        load_at(rate, WARM_UP, &node.executor, &mut over_node)?;
        let before = node.process.cpu_seconds()?;
        let through_node = rounds(|| load_at(rate, span, &node.executor, &mut over_node))?;
        let used = node.process.cpu_seconds()? - before;
        let measured = span.as_secs_f64() * ROUNDS as f64;
        let size = Outcome::count(&through_node, |outcome| outcome.sent) as f64 / measured;
        cpu.push(Point { size, value: used / measured });
        through.push(size, &through_node);
        let executor = Arc::new(start_executor(work_of_an_rpc())?);
        let connection = DirectConnection::connect(executor.at)?;
        let direct = rounds(|| load_at(rate, span, &executor, &mut || Ok(connection.sender(&request_ids))))?;
        alone.push(size, &direct);
        notes.push(format!(
            "at {rate}: {}; stand-in alone {}",
            Outcome::counts(&through_node),
            Outcome::counts(&direct)
        ));
    }
    Ok(series(cpu, through, alone, &notes.join("; ")))
}

fn series(cpu: Vec<Point>, through: LatencyPoints, alone: LatencyPoints, counts: &str) -> Vec<Series> {
    let note =
        format!("AJP, {CALLERS} callers, 1 ms of work in the stand-in executor, no call upstream; transit is latency less time \
                 at the executor, RPC by RPC; a percentile is the median of those of {ROUNDS} loads; other percentiles are of whole loads, so that a difference of two is no latency of \
                 single RPCs; {counts}");
    let one = |name, value_unit, points| Series {
        name,
        size_unit: "RPCs a second",
        value_unit,
        points,
        note: note.clone(),
    };
    let added = |through: &[Point], alone: &[Point]| -> Vec<Point> {
        let pairs = through.iter().zip(alone);
        pairs
            .map(|(through, alone)| Point { size: through.size, value: through.value - alone.value })
            .collect()
    };
    let milliseconds = "milliseconds";
    let mut all = vec![
        one("node-cpu-by-rpc-rate", "share of a core", cpu),
        one("added-latency-p50-by-rpc-rate", milliseconds, added(&through.p50, &alone.p50)),
        one("added-latency-p99-by-rpc-rate", milliseconds, added(&through.p99, &alone.p99)),
        one("added-latency-p999-by-rpc-rate", milliseconds, added(&through.p999, &alone.p999)),
    ];
    all.push(one("transit-p50-by-rpc-rate", milliseconds, through.transit_p50));
    all.push(one("transit-p99-by-rpc-rate", milliseconds, through.transit_p99));
    all.push(one("stand-in-transit-p50-by-rpc-rate", milliseconds, alone.transit_p50));
    all.push(one("stand-in-transit-p99-by-rpc-rate", milliseconds, alone.transit_p99));
    all.push(one("latency-p50-by-rpc-rate", milliseconds, through.p50));
    all.push(one("latency-p99-by-rpc-rate", milliseconds, through.p99));
    all.push(one("latency-p999-by-rpc-rate", milliseconds, through.p999));
    all.push(one("stand-in-latency-p50-by-rpc-rate", milliseconds, alone.p50));
    all.push(one("stand-in-latency-p99-by-rpc-rate", milliseconds, alone.p99));
    all.push(one("stand-in-latency-p999-by-rpc-rate", milliseconds, alone.p999));
    all
}
