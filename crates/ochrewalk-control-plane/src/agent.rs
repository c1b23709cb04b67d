//! The socket side of a subscriber, in a node or in a relay: it keeps a connection to one of its relays, hands complete
//! updates to its owner, and tells what became of them. All that is decided stands in `ochrewalk-distribution`.

use crate::connection::{Connection, ConnectionError};
use crate::frame::MAX_SUBSCRIBER_FRAME;
use mio::{Registry, Token};
use ochrewalk_distribution::messages::{Body, Position, RegionStatus, ResourceName};
use ochrewalk_distribution::{
    Choice, CompleteUpdate, DemandSet, DemandState, Interest, NoRelays, ProbeResult, Received, RelayChoice,
    RelayChoiceLimits, Subscription, SubscriptionLimits,
};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A relay that says nothing for so long is taken for gone: three heartbeats.
pub const SILENCE_US: u64 = 1_500_000;
/// How long a connection may take until the relay is first heard.
const CONNECT_US: u64 = 1_500_000;
/// Reads before others on the same event loop get their turn.
const READS_AT_ONCE: usize = 64;

/// Who takes what a subscription brings.
pub trait ConfigurationSink {
    /// Brings an update into force as a whole, or says why it cannot be and leaves all as it is.
    fn apply(&mut self, update: &CompleteUpdate) -> Result<(), String>;
}

/// Who an agent is and what it wants.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    pub node: String,
    pub region: String,
    pub relays: Vec<SocketAddr>,
    pub interest: Interest,
    pub limits: SubscriptionLimits,
    pub choice: RelayChoiceLimits,
    /// Single names held at a time.
    pub max_names: usize,
    /// What the jitter of reconnections is drawn from.
    pub seed: u64,
}

/// What an agent has done, for measurements and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    pub connections: u64,
    pub updates: u64,
    pub rejected: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

#[derive(Debug)]
enum Link {
    Waiting { until_us: u64 },
    Connecting { connection: Connection, until_us: u64 },
    Subscribed { connection: Connection },
}

/// One subscriber on an event loop.
#[derive(Debug)]
pub struct Agent {
    token: Token,
    addresses: HashMap<String, SocketAddr>,
    choice: RelayChoice,
    subscription: Subscription,
    demand: DemandSet,
    link: Link,
    /// A connection to the first choice, made while another one serves, to see whether it is well.
    probe: Option<(Connection, u64)>,
    probe_token: Token,
    counters: AgentCounters,
    /// How old the relay's own state was when it was heard last.
    source_age_ms: u64,
    /// More may wait to be read, and the event loop will not say so again.
    has_unread: bool,
}

impl Agent {
    /// An agent that begins to connect when it is first driven. It uses `token` and the one after it.
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

    /// The position in force.
    pub fn position(&self) -> Option<Position> {
        self.subscription.position()
    }

    /// How long ago the publisher's word was fresh, as far as is known: the time since anything was heard, and the age
    /// that the relay's own state had then.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        Some(self.subscription.age_ms(now_us)? + self.source_age_ms)
    }

    /// Whether a relay serves it now.
    pub fn is_connected(&self) -> bool {
        matches!(self.link, Link::Subscribed { .. })
    }

    /// What it has done so far.
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

    /// A single name whose value is part of the state that was persisted.
    pub fn restore_present(&mut self, name: &ResourceName, now_us: u64) {
        self.demand.restore_present(name, now_us);
    }

    /// A single name of which there was nothing in the state that was persisted.
    pub fn restore_absent(&mut self, name: &ResourceName, now_us: u64) {
        self.demand.restore_absent(name, now_us);
    }

    /// A single name is needed. Gives the names that are no longer held for it.
    pub fn request_name(&mut self, name: &ResourceName, now_us: u64) -> Vec<ResourceName> {
        let Some(watch) = self.demand.request(name, now_us) else { return Vec::new() };
        self.subscription.watch(&watch);
        let removed = watch.remove.clone();
        if let Link::Subscribed { connection } = &mut self.link {
            // One that breaks is noticed when it is next driven.
            let _ = connection.send(Body::Watch(watch));
        }
        removed
    }

    /// Whether a single name was asked for, and with what result.
    pub fn name_state(&self, name: &ResourceName) -> Option<DemandState> {
        self.demand.state(name)
    }

    /// Sends what a relay tells of its region. It is sent again after a new connection by whoever calls this.
    pub fn send_status(&mut self, status: RegionStatus) {
        if let Link::Subscribed { connection } = &mut self.link {
            if connection.is_flushed() {
                let _ = connection.send(Body::RegionStatus(status));
            }
        }
    }

    /// Whether `token` is one of its own.
    pub fn owns(&self, token: Token) -> bool {
        token == self.token || token == self.probe_token
    }

    /// Connects, reads, applies and writes what can be now. Gives the time at which to call again although nothing
    /// happens. It is to be called after each event of its tokens.
    pub fn drive(&mut self, registry: &Registry, now_us: u64, sink: &mut impl ConfigurationSink) -> u64 {
        if let Err(why) = self.exchange(now_us, sink) {
            self.disconnect(registry, now_us, &why);
        }
        self.probe(registry, now_us);
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
            Link::Subscribed { .. } => self.silent_at_us(now_us),
        };
        let probe_us = self.probe.as_ref().map_or(u64::MAX, |(_, until_us)| *until_us);
        link_us.min(probe_us).max(now_us + 1)
    }

    fn silent_at_us(&self, now_us: u64) -> u64 {
        self.subscription.last_message_us().unwrap_or(now_us) + SILENCE_US
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
                self.link = Link::Connecting { connection, until_us: now_us + CONNECT_US };
            }
            Err(why) => {
                tracing::debug!(part = "config", "relay {address}: {why}");
                self.choice.failed(now_us);
                self.link = Link::Waiting { until_us: now_us + 1 };
            }
        }
    }

    /// Connects and says what is wanted; the system holds it until the connection stands.
    fn open(&mut self, address: SocketAddr, registry: &Registry) -> Result<Connection, ConnectionError> {
        let mut connection = Connection::connect(address, self.token, registry, MAX_SUBSCRIBER_FRAME)?;
        connection.send(Body::Subscribe(self.subscription.subscribe_message()))?;
        if let Some(watch) = self.subscription.unanswered_watch() {
            connection.send(Body::Watch(watch))?;
        }
        Ok(connection)
    }

    fn exchange(&mut self, now_us: u64, sink: &mut impl ConfigurationSink) -> Result<(), ConnectionError> {
        let mut bodies = Vec::new();
        let received = match &mut self.link {
            Link::Waiting { .. } => return Ok(()),
            Link::Connecting { connection, .. } | Link::Subscribed { connection } => {
                receive_all(connection, &mut bodies)
            }
        };
        for body in bodies {
            self.message(body, now_us, sink)?;
        }
        self.has_unread = received?;
        let is_silent = now_us >= self.silent_at_us(now_us);
        match &mut self.link {
            Link::Connecting { until_us, .. } if now_us >= *until_us => Err(ConnectionError::Silent),
            Link::Subscribed { .. } if is_silent => Err(ConnectionError::Silent),
            Link::Connecting { connection, .. } | Link::Subscribed { connection } => connection.flush(),
            Link::Waiting { .. } => Ok(()),
        }
    }

    fn message(
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
                match received.map_err(|why| ConnectionError::Protocol(why.to_string()))? {
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
            Body::Refused(refused) => Err(ConnectionError::Refused(refused.reasons.join("; "))),
            _ => Err(ConnectionError::Protocol("a message that relays do not send".into())),
        }
    }

    fn enter_subscribed(&mut self) {
        let link = std::mem::replace(&mut self.link, Link::Waiting { until_us: 0 });
        self.link = match link {
            Link::Connecting { connection, .. } => {
                self.choice.connected();
                tracing::info!(part = "config", "relay {} serves", self.choice.current());
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
            Err(reason) => {
                self.counters.rejected += 1;
                self.subscription.rejected(update.position, reason)
            }
        };
        match &mut self.link {
            Link::Subscribed { connection } => connection.send(Body::Report(report)),
            _ => Ok(()),
        }
    }

    fn disconnect(&mut self, registry: &Registry, now_us: u64, why: &ConnectionError) {
        self.close_link(registry, now_us);
        if !matches!(why, ConnectionError::RetryLater) {
            tracing::info!(part = "config", "relay {}: {why}", self.choice.current());
            self.choice.failed(now_us);
        }
    }

    /// Looks whether the first choice is well again, and goes back to it once it was well for a while.
    fn probe(&mut self, registry: &Registry, now_us: u64) {
        if let Some((mut connection, until_us)) = self.probe.take() {
            // A connection that stands takes what is written; one that is refused says so when it is read.
            let is_healthy = matches!(connection.receive(|_| ()), Ok(false)) && connection.is_established();
            let is_over = is_healthy || now_us >= until_us;
            if !is_over && !connection.is_broken() {
                self.probe = Some((connection, until_us));
                return;
            }
            connection.deregister(registry);
            let result = if is_healthy { ProbeResult::Healthy } else { ProbeResult::Unhealthy };
            self.choice.probed(result, now_us);
        }
        if !self.is_connected() {
            return;
        }
        if self.choice.should_return(now_us) {
            // The first choice is connected to at once.
            self.choice.returned();
            return self.close_link(registry, now_us);
        }
        if let Some(first) = self.choice.probe_due(now_us) {
            let address = self.addresses[first];
            match Connection::connect(address, self.probe_token, registry, MAX_SUBSCRIBER_FRAME) {
                Ok(connection) => self.probe = Some((connection, now_us + CONNECT_US)),
                Err(_) => self.choice.probed(ProbeResult::Unhealthy, now_us),
            }
        }
    }

    /// Ends the connection there is. What it had received of an update is dropped.
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

/// Reads what has come, up to a bound. True where more may wait.
fn receive_all(connection: &mut Connection, bodies: &mut Vec<Body>) -> Result<bool, ConnectionError> {
    for _ in 0..READS_AT_ONCE {
        if !connection.receive(|body| bodies.push(body))? {
            return Ok(false);
        }
    }
    Ok(true)
}
