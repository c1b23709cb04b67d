//! The relay process: a subscriber to all resources of its publisher, and a server of them to the nodes of its region. A
//! relay persists nothing: after a restart it fetches the complete state, and meanwhile the nodes continue with the state
//! that they have.

use crate::agent::{Agent, AgentSettings, ConfigurationSink};
use crate::clock::Clock;
use crate::subscriber_server::{SubscriberServer, FIRST_PEER};
use mio::{Events, Poll, Token};
use ochrewalk_distribution::messages::Position;
use ochrewalk_distribution::{
    ApplyError, CompleteUpdate, Interest, RelayChoiceLimits, Server, ServerLimits, Store, StoreLimits,
    SubscriptionLimits,
};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The first of the agent's two tokens.
const UPSTREAM: Token = Token(FIRST_PEER - 2);
const MAX_EVENTS: usize = 1024;
/// The shortest time between two reports on the region to the publisher.
const STATUS_INTERVAL_US: u64 = 500_000;
/// The longest time between two attempts to connect to a publisher. The time is short, because a few dozen relays that
/// retry at once cause little load, and thousands of nodes wait for each relay.
const MAX_BACKOFF_US: u64 = 1_000_000;

/// The address of a relay, and the publishers that it may follow.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// The name of the relay, unique in the fleet.
    pub name: String,
    /// The region that it serves.
    pub region: String,
    /// The address to which nodes connect.
    pub listen: SocketAddr,
    /// The publisher, and the publishers that may take over from it.
    pub publishers: Vec<SocketAddr>,
    /// The most concurrent connections of nodes.
    pub max_connections: usize,
    /// The seed of the random times between attempts.
    pub seed: u64,
}

/// The reason why a relay cannot start or continue.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The listener for nodes cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings name no publisher.
    #[error("the settings name no publisher")]
    NoPublisher,
    /// The event loop failed.
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] io::Error),
}

/// A relay that is ready to run.
pub struct Relay {
    poll: Poll,
    subscribers: SubscriberServer,
    upstream: Agent,
    clock: Clock,
    last_status_us: u64,
}

/// Applies updates of the publisher to the state that is served.
struct Downstream<'a> {
    subscribers: &'a mut SubscriberServer,
}

impl ConfigurationSink for Downstream<'_> {
    type Error = ApplyError;

    fn apply(&mut self, update: &CompleteUpdate) -> Result<(), ApplyError> {
        self.subscribers.server.store_mut().apply(update)?;
        self.subscribers.state_changed();
        let Position { epoch, revision } = update.position;
        tracing::debug!(
            part = "config",
            "applied {} changes, now at {epoch}.{revision}",
            update.resources.len()
        );
        Ok(())
    }
}

impl Relay {
    /// Opens the listener. The relay connects to its publisher once it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener or the event loop cannot be opened, or the settings name no publisher.
    pub fn open(settings: &RelaySettings) -> Result<Relay, RelayError> {
        let poll = Poll::new()?;
        let limits = ServerLimits { max_subscribers: settings.max_connections, ..ServerLimits::default() };
        let store = Store::new(0, StoreLimits::default());
        let server = Server::new(settings.name.as_str(), settings.region.as_str(), store, limits);
        let listen_error = |source| RelayError::Listen { address: settings.listen, source };
        let subscribers =
            SubscriberServer::listen(settings.listen, server, settings.max_connections, poll.registry())
                .map_err(listen_error)?;
        let agent = AgentSettings {
            node: settings.name.clone(),
            region: settings.region.clone(),
            relays: settings.publishers.clone(),
            interest: Interest::everything(),
            limits: SubscriptionLimits { bytes_per_second: 0, ..SubscriptionLimits::default() },
            choice: RelayChoiceLimits { max_backoff_us: MAX_BACKOFF_US, ..RelayChoiceLimits::default() },
            max_names: 1,
            seed: settings.seed,
        };
        let upstream = Agent::new(agent, None, UPSTREAM).map_err(|_| RelayError::NoPublisher)?;
        Ok(Relay { poll, subscribers, upstream, clock: Clock::start(), last_status_us: 0 })
    }

    /// Returns the address to which nodes connect.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.subscribers.address()
    }

    /// Serves until `stop` is set, which is checked at least twice per second.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop fails.
    pub fn run(&mut self, stop: &AtomicBool) -> Result<(), RelayError> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !stop.load(Ordering::Relaxed) {
            let due_us = self.drive();
            let now_us = self.clock.now_us();
            let wait = Duration::from_micros(due_us.saturating_sub(now_us).min(STATUS_INTERVAL_US));
            match self.poll.poll(&mut events, Some(wait)) {
                Err(err) if err.kind() == io::ErrorKind::Interrupted => continue,
                polled => polled?,
            }
            let now_us = self.clock.now_us();
            for event in events.iter().filter(|event| !self.upstream.owns(event.token())) {
                self.subscribers.on_event(event.token(), self.poll.registry(), now_us);
            }
        }
        Ok(())
    }

    fn drive(&mut self) -> u64 {
        let now_us = self.clock.now_us();
        let registry = self.poll.registry();
        let mut downstream = Downstream { subscribers: &mut self.subscribers };
        let upstream_due_us = self.upstream.drive(registry, now_us, &mut downstream);
        let age_ms = self.upstream.age_ms(now_us).unwrap_or(0);
        let subscribers_due_us = self.subscribers.drive(registry, now_us, age_ms);
        if now_us >= self.last_status_us + STATUS_INTERVAL_US {
            self.last_status_us = now_us;
            self.upstream.send_status(self.subscribers.server.status());
        }
        upstream_due_us.min(subscribers_due_us)
    }
}
