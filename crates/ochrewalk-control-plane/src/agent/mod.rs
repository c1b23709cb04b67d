//! The socket side of a subscriber, in a node or in a relay. The agent maintains a connection to one of its relays,
//! passes complete updates to a [`ConfigurationSink`], and reports their outcome. The state machines of
//! `ochrewalk-distribution` make its decisions.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | waiting | the time of the next attempt has come | connecting |
//! | connecting | the first update or heartbeat | subscribed |
//! | connecting | nothing received for 1.5 s, an error, or a refusal | waiting; that relay is attempted again after a backoff |
//! | connecting | asked to retry later | waiting; that relay is not attempted before |
//! | subscribed | nothing received for 1.5 s, or an error | waiting; that relay is attempted again after a backoff |
//! | subscribed to another relay | the first choice was healthy for the required time | waiting, to connect to the first choice at once |

mod probe;
mod settings;

use crate::connection::{Connection, ConnectionError};
use crate::frame::MAX_SUBSCRIBER_FRAME;
use mio::{Registry, Token};
use ochrewalk_distribution::messages::{Body, Position, RegionStatus, ResourceName};
use ochrewalk_distribution::{
    Choice, CompleteUpdate, DemandSet, DemandState, NoRelays, ProbeResult, Received, RelayChoice,
    Subscription,
};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use probe::Probe;
pub use settings::{AgentCounters, AgentSettings};

/// The time after which a relay that sends nothing counts as failed, in microseconds: three heartbeats.
pub const RELAY_TIMEOUT_US: u64 = 1_500_000;
/// The time within which the relay has to send its first message on a connection.
const CONNECT_TIMEOUT_US: u64 = 1_500_000;
/// The most reads per turn before other connections on the same event loop are read.
const MAX_READS_PER_TURN: usize = 64;

/// Applies the updates of a subscription.
pub trait ConfigurationSink {
    /// The reason why an update cannot be applied; its text is reported to the relay.
    type Error: fmt::Display;

    /// Applies a complete update.
    ///
    /// # Errors
    ///
    /// Returns an error if the update cannot be applied. None of its changes is applied then, and the previous state
    /// stays in force.
    fn apply(&mut self, update: &CompleteUpdate) -> Result<(), Self::Error>;
}

#[derive(Debug)]
enum Link {
    Waiting { until_us: u64 },
    Connecting { connection: Connection, until_us: u64 },
    Subscribed { connection: Connection },
}

/// A subscriber on an event loop.
#[derive(Debug)]
pub struct Agent {
    token: Token,
    addresses: HashMap<String, SocketAddr>,
    choice: RelayChoice,
    subscription: Subscription,
    demand: DemandSet,
    link: Link,
    probe: Option<Probe>,
    probe_token: Token,
    counters: AgentCounters,
    /// The age of the relay's own state at its last heartbeat.
    source_age_ms: u64,
    /// Whether more may be readable that the event loop will not report again.
    has_unread: bool,
}

impl Agent {
    /// Creates an agent that begins to connect when it is first driven. The agent uses `token` and the next one. `saved`
    /// is the position of the persisted state.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings name no relay.
    pub fn new(settings: AgentSettings, saved: Option<Position>, token: Token) -> Result<Agent, NoRelays> {
        let AgentSettings { node, region, relays, interest, limits, choice, max_names, seed } = settings;
        let addresses: HashMap<String, SocketAddr> =
            relays.into_iter().map(|address| (address.to_string(), address)).collect();
        let choice = RelayChoice::new(&node, addresses.keys().cloned(), choice, seed)?;
        Ok(Agent {
            token,
            addresses,
            choice,
            subscription: Subscription::new(node, region, interest, saved, limits),
            demand: DemandSet::new(max_names),
            link: Link::Waiting { until_us: 0 },
            probe: None,
            probe_token: Token(token.0 + 1),
            counters: AgentCounters::default(),
            source_age_ms: 0,
            has_unread: false,
        })
    }

    /// Returns the position in force.
    pub fn position(&self) -> Option<Position> {
        self.subscription.position()
    }

    /// Returns the age of the state in force, in milliseconds: the time since the relay last sent a message, plus the age
    /// of the relay's own state at that time. Returns `None` before the relay has sent a message.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        Some(self.subscription.age_ms(now_us)? + self.source_age_ms)
    }

    /// Whether the agent is subscribed to a relay.
    pub fn is_connected(&self) -> bool {
        matches!(self.link, Link::Subscribed { .. })
    }

    /// Returns the counters of the agent.
    pub fn counters(&self) -> AgentCounters {
        let open = match &self.link {
            Link::Waiting { .. } => (0, 0),
            Link::Connecting { connection, .. } | Link::Subscribed { connection } => {
                (connection.bytes_in, connection.bytes_out)
            }
        };
        AgentCounters {
            bytes_in: self.counters.bytes_in + open.0,
            bytes_out: self.counters.bytes_out + open.1,
            ..self.counters
        }
    }

    /// Adds a single name whose value is part of the persisted state.
    pub fn restore_present(&mut self, name: &ResourceName, now_us: u64) {
        self.demand.restore_present(name, now_us);
    }

    /// Adds a single name that had no resource in the persisted state.
    pub fn restore_absent(&mut self, name: &ResourceName, now_us: u64) {
        self.demand.restore_absent(name, now_us);
    }

    /// Requests a single name. Returns the names that are no longer watched in exchange.
    pub fn request_name(&mut self, name: &ResourceName, now_us: u64) -> Vec<ResourceName> {
        let Some(watch) = self.demand.request(name, now_us) else { return Vec::new() };
        self.subscription.watch(&watch);
        let removed = watch.remove.clone();
        if let Link::Subscribed { connection } = &mut self.link {
            // The next call of `drive` detects a connection that fails here.
            let _ = connection.send(Body::Watch(watch));
        }
        removed
    }

    /// Returns the state of a single name, or `None` if it is not watched.
    pub fn name_state(&self, name: &ResourceName) -> Option<DemandState> {
        self.demand.state(name)
    }

    /// Sends the status of a relay's region, unless an earlier message is still waiting to be written. The caller sends
    /// the status again at the next interval.
    pub fn send_status(&mut self, status: RegionStatus) {
        if let Link::Subscribed { connection } = &mut self.link {
            if connection.is_flushed() {
                let _ = connection.send(Body::RegionStatus(status));
            }
        }
    }

    /// Whether `token` belongs to this agent.
    pub fn owns(&self, token: Token) -> bool {
        token == self.token || token == self.probe_token
    }

    /// Connects, reads, applies and writes as far as possible without blocking. The caller calls this method after each
    /// event of the agent's tokens. Returns the time of the next call if no event occurs before, in microseconds.
    pub fn drive(&mut self, registry: &Registry, now_us: u64, sink: &mut impl ConfigurationSink) -> u64 {
        if let Err(error) = self.read_and_write(now_us, sink) {
            self.disconnect(registry, now_us, &error);
        }
        self.probe_first_choice(registry, now_us);
        if let Link::Waiting { until_us } = self.link {
            if until_us <= now_us {
                self.connect(registry, now_us);
            }
        }
        self.due_us(now_us)
    }

    fn due_us(&self, now_us: u64) -> u64 {
        if self.has_unread {
            return now_us;
        }
        let link_us = match &self.link {
            Link::Waiting { until_us } | Link::Connecting { until_us, .. } => *until_us,
            Link::Subscribed { .. } => self.receive_deadline_us(now_us),
        };
        let probe_us = self.probe.as_ref().map_or(u64::MAX, Probe::deadline_us);
        link_us.min(probe_us).max(now_us + 1)
    }

    fn receive_deadline_us(&self, now_us: u64) -> u64 {
        self.subscription.last_message_us().unwrap_or(now_us) + RELAY_TIMEOUT_US
    }

    fn connect(&mut self, registry: &Registry, now_us: u64) {
        let address = match self.choice.next(now_us) {
            Choice::Wait { until_us } => {
                self.link = Link::Waiting { until_us };
                return;
            }
            Choice::Connect { relay } => self.addresses[relay],
        };
        match self.open(address, registry) {
            Ok(connection) => {
                self.counters.connections += 1;
                self.link = Link::Connecting { connection, until_us: now_us + CONNECT_TIMEOUT_US };
            }
            Err(error) => {
                tracing::debug!(part = "config", "cannot connect to relay {address}: {error}");
                self.choice.failed(now_us);
                self.link = Link::Waiting { until_us: now_us + 1 };
            }
        }
    }

    /// Connects and subscribes; the operating system buffers the message until the connection is established.
    fn open(&mut self, address: SocketAddr, registry: &Registry) -> Result<Connection, ConnectionError> {
        let mut connection = Connection::connect(address, self.token, registry, MAX_SUBSCRIBER_FRAME)?;
        connection.send(Body::Subscribe(self.subscription.subscribe_message()))?;
        if let Some(watch) = self.subscription.unanswered_watch() {
            connection.send(Body::Watch(watch))?;
        }
        Ok(connection)
    }

    fn read_and_write(
        &mut self,
        now_us: u64,
        sink: &mut impl ConfigurationSink,
    ) -> Result<(), ConnectionError> {
        let mut bodies = Vec::new();
        let received = match &mut self.link {
            Link::Waiting { .. } => return Ok(()),
            Link::Connecting { connection, .. } | Link::Subscribed { connection } => {
                receive_all(connection, &mut bodies)
            }
        };
        for body in bodies {
            self.handle_message(body, now_us, sink)?;
        }
        self.has_unread = received?;
        let has_timed_out = now_us >= self.receive_deadline_us(now_us);
        match &mut self.link {
            Link::Connecting { until_us, .. } if now_us >= *until_us => Err(ConnectionError::ReceiveTimeout),
            Link::Subscribed { .. } if has_timed_out => Err(ConnectionError::ReceiveTimeout),
            Link::Connecting { connection, .. } | Link::Subscribed { connection } => connection.flush(),
            Link::Waiting { .. } => Ok(()),
        }
    }

    fn handle_message(
        &mut self,
        body: Body,
        now_us: u64,
        sink: &mut impl ConfigurationSink,
    ) -> Result<(), ConnectionError> {
        self.subscription.message_received(now_us);
        match body {
            Body::Update(update) => {
                self.enter_subscribed();
                let received = self.subscription.received(update);
                match received? {
                    Received::More => Ok(()),
                    Received::Complete(update) => self.complete(&update, sink),
                }
            }
            Body::Heartbeat(heartbeat) => {
                self.enter_subscribed();
                self.source_age_ms = heartbeat.age_ms;
                Ok(())
            }
            Body::RetryLater(later) => {
                self.choice.retry_later(now_us, later.after_ms.saturating_mul(1_000));
                Err(ConnectionError::RetryLater)
            }
            Body::Refused(refused) => Err(ConnectionError::Refused { reasons: refused.reasons }),
            _ => Err(ConnectionError::UnexpectedFromRelay),
        }
    }

    fn enter_subscribed(&mut self) {
        let link = std::mem::replace(&mut self.link, Link::Waiting { until_us: 0 });
        self.link = match link {
            Link::Connecting { connection, .. } => {
                self.choice.connected();
                tracing::info!(part = "config", "connected to relay {}", self.choice.current());
                Link::Subscribed { connection }
            }
            other => other,
        };
    }

    fn complete(
        &mut self,
        update: &CompleteUpdate,
        sink: &mut impl ConfigurationSink,
    ) -> Result<(), ConnectionError> {
        let report = match sink.apply(update) {
            Ok(()) => {
                self.counters.updates += 1;
                self.demand.applied(update);
                self.subscription.applied(update.position)
            }
            Err(error) => {
                self.counters.rejected += 1;
                self.subscription.rejected(update.position, error.to_string())
            }
        };
        match &mut self.link {
            Link::Subscribed { connection } => connection.send(Body::Report(report)),
            _ => Ok(()),
        }
    }

    fn disconnect(&mut self, registry: &Registry, now_us: u64, error: &ConnectionError) {
        self.close_link(registry, now_us);
        if !matches!(error, ConnectionError::RetryLater) {
            tracing::info!(part = "config", "connection to relay {} failed: {error}", self.choice.current());
            self.choice.failed(now_us);
        }
    }

    /// Probes the first choice while another relay serves, and returns to it after it was healthy for the required time.
    fn probe_first_choice(&mut self, registry: &Registry, now_us: u64) {
        if let Some(mut probe) = self.probe.take() {
            let Some(result) = probe.result(now_us) else {
                self.probe = Some(probe);
                return;
            };
            probe.close(registry);
            self.choice.probed(result, now_us);
        }
        if !self.is_connected() {
            return;
        }
        if self.choice.should_return(now_us) {
            // The agent connects to the first choice at once.
            self.choice.returned();
            return self.close_link(registry, now_us);
        }
        if let Some(first) = self.choice.probe_due(now_us) {
            match Probe::begin(self.addresses[first], self.probe_token, registry, now_us) {
                Ok(probe) => self.probe = Some(probe),
                Err(_) => self.choice.probed(ProbeResult::Unhealthy, now_us),
            }
        }
    }

    /// Closes the connection, if one exists. An incomplete update is dropped.
    fn close_link(&mut self, registry: &Registry, now_us: u64) {
        let link = std::mem::replace(&mut self.link, Link::Waiting { until_us: now_us });
        if let Link::Connecting { connection, .. } | Link::Subscribed { connection } = link {
            self.counters.bytes_in += connection.bytes_in;
            self.counters.bytes_out += connection.bytes_out;
            connection.deregister(registry);
        }
        self.subscription.reset();
        self.has_unread = false;
    }
}

/// Reads the received messages, up to a bound. Returns whether more may be readable.
fn receive_all(connection: &mut Connection, bodies: &mut Vec<Body>) -> Result<bool, ConnectionError> {
    for _ in 0..MAX_READS_PER_TURN {
        if !connection.receive(|body| bodies.push(body))? {
            return Ok(false);
        }
    }
    Ok(true)
}
