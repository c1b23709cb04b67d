//! Limits the rate at which a node may probe an ejected endpoint, so that the probes of all nodes together stay within the
//! slow start of an endpoint that has just recovered.
//!
//! A node knows neither when an endpoint recovered nor the number of other nodes, but it knows the share of its own calls
//! that the endpoint would get. Each call therefore earns the endpoint a fixed part of that share, and a complete call
//! earned allows one probe. Over all nodes, probes thus amount to that part of the load of a warm endpoint, whatever the
//! number of nodes, because each node begins at a random point.
//!
//! A node with few calls waits a long time for its probe, and the endpoint may have recovered during that wait: on average
//! halfway through it. The node's own slow start therefore begins half the wait earlier. The total load stays within the
//! slow start: assume that nodes probe within `w` seconds after their ejection times, and that the endpoint recovers `x`
//! seconds into that window. `t` seconds later the share `t / w` of the nodes sends calls to the endpoint, and with a slow
//! start of `0.1 + 0.3 * t` the load of all nodes is at most `0.1 + 0.225 * t`, provided that probes come at
//! `PROBE_SHARE` alone.

/// The load of all probes, as a share of a warm endpoint's load: the slow start factor at the beginning.
const PROBE_SHARE: f64 = 0.1;
/// The additional probes per second that a node may send, so that a node with few calls notices a recovery within seconds.
/// If a node sends several calls a second to each endpoint, these probes are few compared with its slow start.
const EXTRA_PROBES_PER_SECOND: f64 = 0.1;
/// The maximum of both together. A slow start of 3 s allows `0.1 * t + 0.15 * t * t` of a warm endpoint's load in its first
/// `t` seconds, so that this share stays within the slow start from half a second on.
const MAX_PROBE_SHARE: f64 = 0.175;
/// The maximum gap between two calls that counts as waiting for a probe, in microseconds. A longer gap means that the node
/// was idle, not that it made too few calls for a probe; such a node must not send its full share immediately.
const MAX_COUNTED_GAP_US: u64 = 1_000_000;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The part of its next probe that an ejected endpoint has earned.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeProgress {
    earned: f64,
    /// The time for which the endpoint has waited for its probe since its ejection time ended, in microseconds.
    waited_us: u64,
}

impl ProbeProgress {
    /// Creates a progress with a random start, so that nodes that saw the endpoint fail at the same time do not probe it at
    /// the same time.
    pub fn random(rng: &mut fastrand::Rng) -> ProbeProgress {
        ProbeProgress { earned: rng.f64(), waited_us: 0 }
    }

    /// Records the start of an ejection: the wait begins again when its time ends.
    pub fn ejection_started(&mut self) {
        self.waited_us = 0;
    }

    /// Records another call of the node during the ejection time, where the endpoint would get `load_share` of the node's
    /// calls if it were warm. A probe that is earned here is discarded: otherwise all nodes would send theirs when the
    /// ejection time ends.
    pub fn earn_while_ejected(&mut self, load_share: f64, since_last_call_us: u64) {
        self.earned = (self.earned + probe_share(load_share, since_last_call_us)).fract();
    }

    /// Records another call of the node after the ejection time, up to one complete probe.
    pub fn earn(&mut self, load_share: f64, since_last_call_us: u64) {
        self.earned = (self.earned + probe_share(load_share, since_last_call_us)).min(1.0);
    }

    /// Adds the time between two calls, or from the end of the ejection time to the first call after it, to the wait.
    pub fn wait(&mut self, passed_us: u64) {
        self.waited_us += passed_us.min(MAX_COUNTED_GAP_US);
    }

    /// The estimated time between the recovery of the endpoint and its probe, in microseconds.
    pub fn recovered_before_us(&self) -> u64 {
        self.waited_us / 2
    }

    /// Whether a complete probe is earned.
    pub fn is_earned(&self) -> bool {
        self.earned >= 1.0
    }

    /// Records that a probe was sent.
    pub fn record_sent(&mut self) {
        self.earned -= 1.0;
    }
}

/// The total weight of the endpoints that accept calls, from which the load share of an endpoint is computed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AcceptingWeight {
    local: f64,
    remote: f64,
}

impl AcceptingWeight {
    /// Adds an endpoint of this node's zone.
    pub fn add_local(&mut self, weight: f64) {
        self.local += weight;
    }

    /// Adds an endpoint of another zone.
    pub fn add_remote(&mut self, weight: f64) {
        self.remote += weight;
    }

    /// The share of the node's calls that an endpoint of that weight would get, where remote endpoints get `overflow_share`
    /// of the share of a local one.
    pub fn load_share(&self, weight: f64, overflow_share: f64) -> f64 {
        let total = self.local + overflow_share * self.remote;
        (weight / total.max(f64::MIN_POSITIVE)).min(1.0)
    }
}

/// The part of a probe that one call earns.
fn probe_share(load_share: f64, since_last_call_us: u64) -> f64 {
    let extra = EXTRA_PROBES_PER_SECOND * since_last_call_us as f64 / MICROSECONDS_PER_SECOND;
    (PROBE_SHARE * load_share + extra).min(MAX_PROBE_SHARE * load_share)
}
