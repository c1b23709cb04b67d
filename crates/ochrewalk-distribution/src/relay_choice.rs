//! Decides which of its relays a node connects to, and when. Each node has its own stable order of relays (rendezvous
//! hashing), so that relays have about the same number of nodes each, and a node returns to the same relay.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The highest number of times that a backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// The times of a [`RelayChoice`], in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RelayChoiceLimits {
    /// The backoff after the first failure. The backoff doubles with each further failure.
    pub min_backoff_us: u64,
    /// The longest backoff.
    pub max_backoff_us: u64,
    /// The time for which the first choice must have been healthy before a node returns to it.
    pub min_healthy_us: u64,
    /// The bound of the random time that a node waits in addition, so that the nodes do not all return at once.
    pub return_jitter_us: u64,
}

impl Default for RelayChoiceLimits {
    fn default() -> Self {
        Self {
            min_backoff_us: 250_000,
            max_backoff_us: 30_000_000,
            min_healthy_us: 60_000_000,
            return_jitter_us: 60_000_000,
        }
    }
}

/// The decision on the next connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice<'a> {
    /// The node connects now.
    Connect {
        /// The name of the relay.
        relay: &'a str,
    },
    /// The node may not attempt any relay before a later time.
    Wait {
        /// The time of the next attempt, in microseconds.
        until_us: u64,
    },
}

/// The result of a probe of the first choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The relay accepted a connection.
    Healthy,
    /// The relay refused the connection, or did not accept it in time.
    Unhealthy,
}

/// The error for an empty list of relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a node needs at least one relay")]
pub struct NoRelays;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Relay {
    name: String,
    /// The number of failures since the node was last connected to the relay.
    failures: u32,
    /// The time before which the relay is not attempted.
    not_before_us: u64,
}

/// A node's choice among its relays.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RelayChoice {
    limits: RelayChoiceLimits,
    /// The relays in the node's order.
    relays: Vec<Relay>,
    /// The index of the relay that is connected, or was attempted last.
    current: usize,
    random_state: u64,
    /// The time from which the node may return to its first choice; `None` while that relay is not healthy.
    return_at_us: Option<u64>,
}

impl RelayChoice {
    /// Creates the choice of `node` among `relays`. Random times are generated from `seed`.
    ///
    /// # Errors
    ///
    /// Returns an error if `relays` is empty.
    pub fn new(
        node: &str,
        relays: impl IntoIterator<Item = String>,
        limits: RelayChoiceLimits,
        seed: u64,
    ) -> Result<Self, NoRelays> {
        let mut names: Vec<String> = relays.into_iter().collect();
        names.sort();
        names.dedup();
        names.sort_by_key(|relay| std::cmp::Reverse(rendezvous_weight(node, relay)));
        if names.is_empty() {
            return Err(NoRelays);
        }
        let relay = |name| Relay { name, failures: 0, not_before_us: 0 };
        let relays = names.into_iter().map(relay).collect();
        Ok(Self { limits, relays, current: 0, random_state: seed, return_at_us: None })
    }

    /// Returns the relays in the order of this node.
    pub fn order(&self) -> impl Iterator<Item = &str> {
        self.relays.iter().map(|relay| relay.name.as_str())
    }

    /// Returns the relay that is connected, or was attempted last.
    pub fn current(&self) -> &str {
        &self.relays[self.current].name
    }

    /// Returns the decision for a node without a connection: the relay with the fewest failures among those that may be
    /// attempted now, and the first one in the node's order among equals.
    pub fn next(&mut self, now_us: u64) -> Choice<'_> {
        let may_attempt = |index: &usize| self.relays[*index].not_before_us <= now_us;
        let attempt =
            (0..self.relays.len()).filter(may_attempt).min_by_key(|index| self.relays[*index].failures);
        match attempt {
            Some(index) => {
                self.current = index;
                Choice::Connect { relay: &self.relays[index].name }
            }
            None => Choice::Wait { until_us: self.earliest_attempt_us() },
        }
    }

    fn earliest_attempt_us(&self) -> u64 {
        self.relays.iter().map(|relay| relay.not_before_us).min().unwrap_or(0)
    }

    /// Records that the current relay has accepted the node.
    pub fn connected(&mut self) {
        self.relays[self.current].failures = 0;
        if self.current == 0 {
            self.return_at_us = None;
        }
    }

    /// Records that the attempt at the current relay failed, or that its connection broke.
    pub fn failed(&mut self, now_us: u64) {
        self.fail(self.current, now_us);
    }

    /// Records that the current relay asked the node to connect again after `after_us`. The relay is not attempted
    /// before.
    pub fn retry_later(&mut self, now_us: u64, after_us: u64) {
        let relay = &mut self.relays[self.current];
        relay.not_before_us = now_us.saturating_add(after_us);
    }

    fn fail(&mut self, index: usize, now_us: u64) {
        let backoff_us = self.backoff_us(self.relays[index].failures);
        let relay = &mut self.relays[index];
        relay.failures = relay.failures.saturating_add(1);
        relay.not_before_us = now_us.saturating_add(backoff_us);
        if index == 0 {
            self.return_at_us = None;
        }
    }

    /// Returns a random time between half of the exponential backoff after `failures` earlier failures and all of it.
    fn backoff_us(&mut self, failures: u32) -> u64 {
        let doublings = failures.min(MAX_BACKOFF_DOUBLINGS);
        let longest_us = self.limits.min_backoff_us.saturating_mul(1 << doublings);
        let longest_us = longest_us.min(self.limits.max_backoff_us);
        let half_us = longest_us / 2;
        half_us + self.random_less_than(longest_us - half_us + 1)
    }

    /// Returns the first choice if the node is connected to another relay and the first choice may be probed. A probe is
    /// a connection that is closed again; the caller passes its result to [`probed`](Self::probed).
    pub fn probe_due(&self, now_us: u64) -> Option<&str> {
        let first = &self.relays[0];
        let is_due = self.current != 0 && first.not_before_us <= now_us;
        is_due.then_some(first.name.as_str())
    }

    /// Records the result of a probe of the first choice. The next probe is due after the longest backoff.
    pub fn probed(&mut self, result: ProbeResult, now_us: u64) {
        if result == ProbeResult::Unhealthy {
            return self.fail(0, now_us);
        }
        self.relays[0].failures = 0;
        self.relays[0].not_before_us = now_us.saturating_add(self.limits.max_backoff_us);
        if self.return_at_us.is_none() {
            let jitter_us = self.random_less_than(self.limits.return_jitter_us.saturating_add(1));
            let wait_us = self.limits.min_healthy_us.saturating_add(jitter_us);
            self.return_at_us = Some(now_us.saturating_add(wait_us));
        }
    }

    /// Whether the node, connected to another relay, should return to its first choice now, because all probes found that
    /// relay healthy for the required time.
    pub fn should_return(&self, now_us: u64) -> bool {
        self.current != 0 && self.return_at_us.is_some_and(|return_at_us| return_at_us <= now_us)
    }

    /// Records that the node has returned to its first choice.
    pub fn returned(&mut self) {
        self.current = 0;
        self.connected();
    }

    /// Returns a random number below `bound`, or 0 if `bound` is 0 (SplitMix64).
    fn random_less_than(&mut self, bound: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^= mixed >> 31;
        mixed.checked_rem(bound).unwrap_or(0)
    }
}

/// Returns the weight of `relay` for `node`, which is the same in every process and independent between relays.
fn rendezvous_weight(node: &str, relay: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(node.as_bytes());
    hasher.write_u8(0);
    hasher.write(relay.as_bytes());
    hasher.finish()
}
