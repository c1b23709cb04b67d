//! Load on real nodes: callers send the names of tenants, so that nodes fetch and apply quotas while their
//! configuration changes.

use crate::ajp::{Call, Peer};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The calls per second to each node.
const CALLS_PER_SECOND: u32 = 25;
/// The time after which a call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const SERVED: u16 = 200;

/// The numbers of calls by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    pub sent: u64,
    pub served: u64,
    /// Calls that were answered, but not served.
    pub rejected: u64,
    pub unanswered: u64,
}

impl CallCounts {
    fn add(&mut self, other: CallCounts) {
        self.sent += other.sent;
        self.served += other.served;
        self.rejected += other.rejected;
        self.unanswered += other.unanswered;
    }
}

/// Callers that send calls until they are stopped.
pub struct RealLoad {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<CallCounts>>,
}

impl RealLoad {
    /// Starts one caller per node for the route that all nodes have, with tenants below `tenants`.
    pub fn start(
        addresses: impl IntoIterator<Item = SocketAddr>,
        path: &'static str,
        tenants: u64,
    ) -> RealLoad {
        let stop = Arc::<AtomicBool>::default();
        let caller = |(number, address)| {
            let stop = stop.clone();
            std::thread::spawn(move || call(number as u64, address, path, tenants, &stop))
        };
        let callers = addresses.into_iter().enumerate().map(caller).collect();
        RealLoad { stop, callers }
    }

    /// Stops all callers after their current calls, and returns the totals.
    pub fn stop(&mut self) -> CallCounts {
        self.stop.store(true, Ordering::Relaxed);
        let mut counts = CallCounts::default();
        for caller in self.callers.drain(..) {
            counts.add(caller.join().expect("a caller does not panic"));
        }
        counts
    }
}

fn call(caller: u64, address: SocketAddr, path: &str, tenants: u64, stop: &AtomicBool) -> CallCounts {
    let mut random = fastrand::Rng::with_seed(caller);
    let mut counts = CallCounts::default();
    let mut peer: Option<Peer> = None;
    let began = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        let due = Duration::from_secs(1) * counts.sent as u32 / CALLS_PER_SECOND;
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        counts.sent += 1;
        let id = format!("{caller:06x}{:010x}", counts.sent);
        let tenant = format!("tenant-{}", random.u64(0..tenants.max(1)));
        let call = Call {
            method: "POST",
            uri: path,
            headers: vec![("x-request-id", id.clone()), ("x-tenant", tenant)],
            secret: None,
            body: id.as_bytes(),
        };
        if peer.is_none() {
            peer = Peer::connect(address, CALL_TIMEOUT).ok();
        }
        match peer.as_mut().map(|peer| peer.call(&call)) {
            Some(Ok(answer)) if answer.status == SERVED => counts.served += 1,
            Some(Ok(_)) => counts.rejected += 1,
            Some(Err(_)) | None => {
                counts.unanswered += 1;
                peer = None;
            }
        }
    }
    counts
}
