//! How often a node may probe an ejected endpoint, so that the probes of a whole fleet stay within the slow start of an
//! endpoint that has just come back.
//!
//! A node cannot know when an endpoint came back, nor how many other nodes there are. It knows which share of its own calls
//! the endpoint would get. Each call therefore earns the endpoint a fixed part of that share, and a whole call
//! earned is one probe. Summed over all nodes, probes come at that part of the load of a warm endpoint, however many
//! nodes send it, as each node begins at a random point.
//!
//! A node with few calls waits long for its probe, and the endpoint may have been back for a part of that wait: half of it
//! on the mean. The node's own slow start therefore begins that much earlier. The sum stays within the slow start: let
//! nodes probe within `w` seconds after their ejection times, and the endpoint come back `x` seconds into that. `t` seconds
//! later the share `t / w` of the nodes sends it calls, and with a slow start of `0.1 + 0.3 * t` all together come to at
//! most `0.1 + 0.225 * t`, as long as probes come at the first of the shares below alone.

/// The share of a warm endpoint's load that probes come to: the slow start factor of the first moment.
const PROBE_SHARE: f64 = 0.1;
/// A node may probe up to so many times a second beyond that, so that one with few calls learns within seconds that an
/// endpoint is back. Where a node sends several calls a second to each endpoint, this is little beside its slow start.
const EXTRA_PROBES_PER_SECOND: f64 = 0.1;
/// The most that both come to. A slow start of 3 s allows `0.1 * t + 0.15 * t * t` of a warm endpoint's load in its first
/// `t` seconds, so that this share stays within it from half a second on.
const MAX_PROBE_SHARE: f64 = 0.175;
/// A longer time between two calls counts as this much of the wait: a node that was idle has not probed late because its
/// calls are few, and must not send its whole share at once.
const MAX_COUNTED_GAP_US: u64 = 1_000_000;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// How much of its next probe an ejected endpoint has earned.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeProgress {
    earned: f64,
    /// How long it has waited for its probe since its ejection time was over.
    waited_us: u64,
}

impl ProbeProgress {
    /// Begins at a random point, so that nodes that saw the endpoint fail together do not probe it together.
    pub fn random(rng: &mut fastrand::Rng) -> ProbeProgress {
        ProbeProgress { earned: rng.f64(), waited_us: 0 }
    }

    /// An ejection starts; the wait begins again after it.
    pub fn ejection_started(&mut self) {
        self.waited_us = 0;
    }

    /// The node makes one more call during the ejection time, and the endpoint would get `load_share` of the node's calls
    /// if it were warm. A probe that is earned here is lost, else all nodes would send theirs as the ejection time ends.
    pub fn earn_while_ejected(&mut self, load_share: f64, since_last_call_us: u64) {
        self.earned = (self.earned + probe_share(load_share, since_last_call_us)).fract();
    }

    /// The same after the ejection time, up to one whole probe.
    pub fn earn(&mut self, load_share: f64, since_last_call_us: u64) {
        self.earned = (self.earned + probe_share(load_share, since_last_call_us)).min(1.0);
    }

    /// So much time has passed between two calls, or from the end of the ejection time to the first call after it.
    pub fn wait(&mut self, passed_us: u64) {
        self.waited_us += passed_us.min(MAX_COUNTED_GAP_US);
    }

    /// How much earlier than its probe the endpoint may be taken to have come back.
    pub fn back_before_us(&self) -> u64 {
        self.waited_us / 2
    }

    /// Whether a whole probe is earned.
    pub fn is_earned(&self) -> bool {
        self.earned >= 1.0
    }

    /// A probe was sent.
    pub fn record_sent(&mut self) {
        self.earned -= 1.0;
    }
}

/// The total weight of the endpoints that accept calls, from which the load share of each follows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AcceptingWeight {
    local: f64,
    remote: f64,
}

impl AcceptingWeight {
    /// Counts one endpoint of this node's zone.
    pub fn add_local(&mut self, weight: f64) {
        self.local += weight;
    }

    /// Counts one endpoint of another zone.
    pub fn add_remote(&mut self, weight: f64) {
        self.remote += weight;
    }

    /// The share of the node's calls that an endpoint of that weight would get, where remote ones get `overflow_share` of
    /// a local one's.
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
