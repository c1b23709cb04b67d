//! RPCs through a node at set rates: the CPU time they take there, and the latency that the node adds. The same load goes to
//! the stand-in executor alone, over its own protocol, so that what the load tool and the stand-in take can be told apart.

use super::model::Point;
use super::node_under_test::{start_executor, work_of_an_rpc, NodeFiles, NodeUnderTest};
use super::{Context, Series, SlopeError};
use crate::ajp::{Call, Peer};
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

/// Callers, each with a connection and one RPC at a time.
const CALLERS: u64 = 64;
const RATES: [u64; 4] = [200, 500, 1_000, 2_000];
const SPAN: Duration = Duration::from_secs(5);
const QUICK_SPAN: Duration = Duration::from_secs(1);
/// Load before the measurement, so that limits that grow with use have grown.
const WARM_UP: Duration = Duration::from_secs(2);
const PATIENCE: Duration = Duration::from_secs(2);
const HIGHEST_US: u64 = 10_000_000;
const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;
/// A send so much after its due time is the load tool's own delay.
const LATE_US: u64 = 1_000;

/// What a load found.
struct Outcome {
    /// From the due time of each RPC to its answer.
    latency: Histogram<u64>,
    sent: u64,
    failed: u64,
    late: u64,
}

impl Outcome {
    fn new() -> Self {
        let latency = Histogram::new_with_max(HIGHEST_US, 3).expect("bounds that are right");
        Self { latency, sent: 0, failed: 0, late: 0 }
    }

    fn add(&mut self, other: Outcome) {
        self.latency.add(&other.latency).expect("the same bounds");
        self.sent += other.sent;
        self.failed += other.failed;
        self.late += other.late;
    }

    fn percentile_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / MICROSECONDS_PER_MILLISECOND
    }
}

/// Something that an RPC can be sent over; says whether it was answered well.
type SendRpc = Box<dyn FnMut(u64) -> bool + Send>;

/// Sends RPCs at a rate, evenly spaced and shared out among callers, whether or not earlier ones are answered in time.
fn load_at(
    rate: u64,
    span: Duration,
    make: &mut dyn FnMut() -> Result<SendRpc, SlopeError>,
) -> Result<Outcome, SlopeError> {
    let senders: Result<Vec<SendRpc>, SlopeError> = (0..CALLERS).map(|_| make()).collect();
    let began = Instant::now() + Duration::from_millis(20);
    let callers = senders?.into_iter().enumerate();
    let all: Vec<_> = callers
        .map(|(caller, send)| std::thread::spawn(move || one_caller(caller as u64, rate, span, began, send)))
        .collect();
    let mut outcome = Outcome::new();
    for caller in all {
        outcome.add(caller.join().map_err(|_| SlopeError::Lab("a caller panicked".into()))?);
    }
    Ok(outcome)
}

fn one_caller(caller: u64, rate: u64, span: Duration, began: Instant, mut send: SendRpc) -> Outcome {
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
        if send(number) {
            let took_us = due.elapsed().as_micros() as u64;
            outcome.latency.saturating_record(took_us);
        } else {
            outcome.failed += 1;
        }
        number += CALLERS;
    }
}

fn over_ajp(address: SocketAddr, request_ids: &Arc<AtomicU64>) -> Result<SendRpc, SlopeError> {
    let mut peer = Peer::connect(address, PATIENCE)?;
    let request_ids = request_ids.clone();
    Ok(Box::new(move |_| {
        let id = request_ids.fetch_add(1, Ordering::Relaxed);
        let headers = vec![
            ("x-request-id", format!("{id:016x}")),
            ("x-time-left-ms", PATIENCE.as_millis().to_string()),
        ];
        let call = Call { method: "GET", uri: "/items/7", headers, secret: None, body: &id.to_be_bytes() };
        match peer.call(&call) {
            Ok(answer) => answer.status == 200,
            Err(_) => {
                if let Ok(fresh) = Peer::connect(address, PATIENCE) {
                    peer = fresh;
                }
                false
            }
        }
    }))
}

/// RPCs that wait for their end at the stand-in.
type Waiting = Arc<Mutex<HashMap<String, Sender<()>>>>;

/// The stand-in executor's protocol, spoken without a node.
struct DirectLink {
    stream: Arc<Mutex<TcpStream>>,
    waiting: Waiting,
}

impl DirectLink {
    fn connect(address: SocketAddr) -> Result<Self, SlopeError> {
        let mut stream = TcpStream::connect_timeout(&address, PATIENCE)?;
        stream.set_nodelay(true)?;
        stream.write_all(b"{\"action\":\"JOIN\",\"pos\":0}\n")?;
        let waiting: Waiting = Arc::default();
        let (reading, ended) = (stream.try_clone()?, waiting.clone());
        std::thread::spawn(move || hear_ends(reading, &ended));
        Ok(Self { stream: Arc::new(Mutex::new(stream)), waiting })
    }

    fn sender(&self, request_ids: &Arc<AtomicU64>) -> SendRpc {
        let (stream, waiting, request_ids) = (self.stream.clone(), self.waiting.clone(), request_ids.clone());
        Box::new(move |_| {
            let id = format!("{:016x}", request_ids.fetch_add(1, Ordering::Relaxed));
            let (ended, end): (Sender<()>, Receiver<()>) = channel();
            waiting.lock().expect("no panic under it").insert(id.clone(), ended);
            let content = BASE64_STANDARD.encode(&id);
            let line = json!({"action": "EXEC", "uid": id, "lane": "part-lookup", "content": content});
            let line = format!("{line}\n");
            let written = stream.lock().expect("no panic under it").write_all(line.as_bytes());
            let is_ended = written.is_ok() && end.recv_timeout(PATIENCE).is_ok();
            waiting.lock().expect("no panic under it").remove(&id);
            is_ended
        })
    }
}

fn hear_ends(stream: TcpStream, waiting: &Waiting) {
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let Ok(value) = serde_json::from_str::<Value>(&line) else { return };
        let Some(id) = value["uid"].as_str().filter(|_| value["action"] == "EXIT") else { continue };
        if let Some(ended) = waiting.lock().expect("no panic under it").get(id) {
            let _ = ended.send(());
        }
    }
}

/// Latencies by rate, at each percentile that is looked at.
#[derive(Default)]
struct LatencyPoints {
    p50: Vec<Point>,
    p99: Vec<Point>,
    p999: Vec<Point>,
}

impl LatencyPoints {
    fn push(&mut self, size: f64, outcome: &Outcome) {
        let point = |percentile| Point { size, value: outcome.percentile_ms(percentile) };
        self.p50.push(point(50.0));
        self.p99.push(point(99.0));
        self.p999.push(point(99.9));
    }
}

/// CPU share of a node and latencies by RPCs a second, beside the stand-in alone.
pub fn rpcs(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let span = if context.is_quick { QUICK_SPAN } else { SPAN };
    let node = NodeUnderTest::start(context.program, NodeFiles::default(), "")?;
    let request_ids = Arc::new(AtomicU64::new(1));
    let mut cpu = Vec::new();
    let (mut through, mut alone) = (LatencyPoints::default(), LatencyPoints::default());
    let mut notes = Vec::new();
    for rate in RATES {
        let mut over_node = || over_ajp(node.ajp_address, &request_ids);
        load_at(rate, WARM_UP, &mut over_node)?;
        let before = node.process.cpu_seconds()?;
        let outcome = load_at(rate, span, &mut over_node)?;
        let size = outcome.sent as f64 / span.as_secs_f64();
        let used = node.process.cpu_seconds()? - before;
        cpu.push(Point { size, value: used / span.as_secs_f64() });
        through.push(size, &outcome);
        let link = DirectLink::connect(start_executor(work_of_an_rpc())?.at)?;
        let direct = load_at(rate, span, &mut || Ok(link.sender(&request_ids)))?;
        alone.push(size, &direct);
        notes.push(format!(
            "at {rate}: {} sent, {} not served, {} sent late by over 1 ms; stand-in alone {}, {}, {}",
            outcome.sent, outcome.failed, outcome.late, direct.sent, direct.failed, direct.late
        ));
    }
    Ok(series(cpu, through, alone, &notes.join("; ")))
}

fn series(cpu: Vec<Point>, through: LatencyPoints, alone: LatencyPoints, counts: &str) -> Vec<Series> {
    let note =
        format!("AJP, {CALLERS} callers, 1 ms of work in the stand-in executor, no call upstream; percentiles are of whole \
                 loads, so that a difference of two is no latency of single RPCs; {counts}");
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
    all.push(one("latency-p50-by-rpc-rate", milliseconds, through.p50));
    all.push(one("latency-p99-by-rpc-rate", milliseconds, through.p99));
    all.push(one("latency-p999-by-rpc-rate", milliseconds, through.p999));
    all.push(one("stand-in-latency-p50-by-rpc-rate", milliseconds, alone.p50));
    all.push(one("stand-in-latency-p99-by-rpc-rate", milliseconds, alone.p99));
    all.push(one("stand-in-latency-p999-by-rpc-rate", milliseconds, alone.p999));
    all
}
