//! Measures the memory of a node by the number of idempotency keys that it stores, each with the outcome of its RPC.

use super::model::Point;
use super::node_under_test::{NodeFiles, NodeUnderTest};
use super::{Context, Series, SlopeError};
use crate::ajp::{Call, Peer};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

const CALLERS: usize = 32;
const RPC_TIMEOUT: Duration = Duration::from_secs(2);
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Sends RPCs with one key each, and measures the memory at each size. Only keys whose RPC was served count.
pub fn keys(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let node = NodeUnderTest::start(context.program, NodeFiles::default(), "")?;
    let sizes = if context.is_quick { [50, 100, 200, 300] } else { [5_000, 10_000, 20_000, 30_000] };
    let mut points = Vec::new();
    let (mut sent, mut served) = (0, 0);
    for size in sizes {
        served += send(node.ajp_address, sent..size)?;
        sent = size;
        std::thread::sleep(SETTLE_TIME);
        points.push(Point { size: served as f64, value: node.process.resident_bytes()? });
    }
    Ok(vec![Series {
        name: "node-memory-by-idempotency-keys",
        size_unit: "remembered idempotency keys",
        value_unit: "bytes",
        points,
        note: format!(
            "VmRSS of one node while keys are added; outcomes of 13 bytes; {served} of {sent} RPCs served"
        ),
    }])
}

/// Sends one RPC per number and returns the number of served RPCs.
fn send(address: SocketAddr, numbers: Range<usize>) -> Result<usize, SlopeError> {
    let one = |caller: usize| {
        let own_numbers: Vec<usize> = numbers.clone().skip(caller).step_by(CALLERS).collect();
        std::thread::spawn(move || send_in_turn(address, &own_numbers))
    };
    let callers: Vec<_> = (0..CALLERS).map(one).collect();
    let mut served = 0;
    for caller in callers {
        served += caller.join().map_err(|_| SlopeError::Lab("a caller panicked".into()))??;
    }
    Ok(served)
}

fn send_in_turn(address: SocketAddr, numbers: &[usize]) -> Result<usize, SlopeError> {
    let mut peer = Peer::connect(address, RPC_TIMEOUT)?;
    let mut served = 0;
    for number in numbers {
        let key = format!("k{number:07}");
        let headers = vec![
            ("x-request-id", format!("{:016x}", number + 1)),
            ("x-time-left-ms", RPC_TIMEOUT.as_millis().to_string()),
            ("x-token", key.clone()),
        ];
        let call = Call { method: "POST", uri: "/sales", headers, secret: None, body: key.as_bytes() };
        served += usize::from(peer.call(&call)?.status == 200);
    }
    Ok(served)
}
