//! The sockets of a publisher or relay towards its subscribers: bytes to and from the state machine `Server`, nothing
//! decided here. A subscriber that does not read costs its own connection and one part of an update.

use crate::connection::{Connection, ConnectionError};
use crate::frame::MAX_SUBSCRIBER_FRAME;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use ochrewalk_distribution::messages::{Body, Heartbeat, Refused, RegionStatus, RetryLater};
use ochrewalk_distribution::{Admission, NextUpdate, Server, SubscriberId};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;

/// The token of the listener; tokens of peers follow `FIRST_PEER`.
pub const LISTENER: Token = Token(0);
/// Tokens below it are for the owner of the event loop.
pub const FIRST_PEER: usize = 16;
/// A subscriber that hears nothing else hears a heartbeat so often.
pub const HEARTBEAT_US: u64 = 500_000;
/// How long a connection may stay without a first message, or without taking what is written.
const PEER_TIMEOUT_US: u64 = 5_000_000;
/// How long one that was told to come back is read on, so that closing resets nothing that it was told.
const CLOSE_DELAY_US: u64 = 1_000_000;
/// Reads of one connection before others get their turn.
const READS_AT_ONCE: usize = 8;

/// What a peer has shown itself to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It has said nothing yet.
    Unknown,
    Subscriber(SubscriberId),
    /// It was turned away; what it still sends is thrown away.
    Closing,
}

#[derive(Debug)]
struct Peer {
    connection: Connection,
    role: Role,
    /// When this role began, or the connection last took what was written.
    since_us: u64,
    last_sent_us: u64,
    /// When it is to be looked at although nothing happens.
    due_us: u64,
    relay: Option<String>,
}

/// All subscribers of a publisher or relay, on their sockets.
#[derive(Debug)]
pub struct SubscriberServer {
    pub server: Server,
    listener: TcpListener,
    peers: HashMap<Token, Peer>,
    next_token: usize,
    max_peers: usize,
    /// Peers that have to be looked at: something came from them, or there is something for them.
    ready: HashSet<Token>,
    /// Peers that may have more to be read.
    unread: HashSet<Token>,
    /// What relays told, by their names.
    regions: BTreeMap<String, RegionStatus>,
}

impl SubscriberServer {
    /// Listens at `address` and serves what `server` holds to at most `max_peers` connections.
    pub fn listen(
        address: SocketAddr,
        server: Server,
        max_peers: usize,
        registry: &Registry,
    ) -> io::Result<SubscriberServer> {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(SubscriberServer {
            server,
            listener,
            peers: HashMap::new(),
            next_token: FIRST_PEER,
            max_peers,
            ready: HashSet::new(),
            unread: HashSet::new(),
            regions: BTreeMap::new(),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// What relays told of their regions.
    pub fn regions(&self) -> impl Iterator<Item = &RegionStatus> {
        self.regions.values()
    }

    /// The state has changed: there may be something for everybody.
    pub fn state_changed(&mut self) {
        self.ready.extend(self.peers.keys());
    }

    /// The event loop has something for `token`.
    pub fn on_event(&mut self, token: Token, registry: &Registry, now_us: u64) {
        if token == LISTENER {
            self.accept(registry, now_us);
        } else if self.peers.contains_key(&token) {
            self.ready.insert(token);
            self.unread.insert(token);
        }
    }

    /// Reads, writes and closes what can be now. `source_age_ms` is how long ago the state was confirmed by its source.
    /// Gives the time at which to call again although nothing happens.
    pub fn drive(&mut self, registry: &Registry, now_us: u64, source_age_ms: u64) -> u64 {
        for token in std::mem::take(&mut self.unread) {
            self.read(token, registry, now_us);
        }
        let is_due = |(token, peer): (&Token, &Peer)| (peer.due_us <= now_us).then_some(*token);
        let due: Vec<Token> = self.peers.iter().filter_map(is_due).collect();
        let mut ready = std::mem::take(&mut self.ready);
        ready.extend(due);
        for token in ready {
            if let Err(why) = self.write(token, now_us, source_age_ms) {
                self.close(token, registry, &why);
            }
        }
        if !self.unread.is_empty() {
            return now_us;
        }
        self.peers.values().map(|peer| peer.due_us).min().unwrap_or(u64::MAX)
    }

    fn accept(&mut self, registry: &Registry, now_us: u64) {
        // Edge-triggered: all that wait have to be taken, or none is heard of again.
        while let Ok((stream, _)) = self.listener.accept() {
            if self.peers.len() >= self.max_peers {
                drop(stream);
                continue;
            }
            let token = Token(self.next_token);
            self.next_token += 1;
            let Ok(connection) = Connection::register(stream, token, registry, MAX_SUBSCRIBER_FRAME) else {
                continue;
            };
            let due_us = now_us + PEER_TIMEOUT_US;
            let (role, relay) = (Role::Unknown, None);
            let peer = Peer { connection, role, since_us: now_us, last_sent_us: now_us, due_us, relay };
            self.peers.insert(token, peer);
            self.unread.insert(token);
        }
    }

    fn read(&mut self, token: Token, registry: &Registry, now_us: u64) {
        let Some(peer) = self.peers.get_mut(&token) else { return };
        let mut bodies = Vec::new();
        let mut outcome = Ok(true);
        for _ in 0..READS_AT_ONCE {
            outcome = peer.connection.receive(|body| bodies.push(body));
            if !matches!(outcome, Ok(true)) {
                break;
            }
        }
        for body in bodies {
            if let Err(why) = self.message(token, body, now_us) {
                return self.close(token, registry, &why);
            }
        }
        match outcome {
            Ok(true) => drop(self.unread.insert(token)),
            Ok(false) => {}
            Err(why) => return self.close(token, registry, &why),
        }
        self.ready.insert(token);
    }

    fn message(&mut self, token: Token, body: Body, now_us: u64) -> Result<(), ConnectionError> {
        let Some(peer) = self.peers.get_mut(&token) else { return Ok(()) };
        match (peer.role, body) {
            (Role::Closing, _) => Ok(()),
            (Role::Unknown, Body::Subscribe(message)) => {
                if message.everything {
                    peer.relay = Some(message.node.clone());
                }
                let reply = match self.server.subscribe(now_us, message) {
                    Admission::Accepted(id) => {
                        peer.role = Role::Subscriber(id);
                        return Ok(());
                    }
                    Admission::RetryLater { after_ms } => Body::RetryLater(RetryLater { after_ms }),
                    Admission::Refused { reason } => {
                        Body::Refused(Refused { reasons: vec![reason.to_string()] })
                    }
                };
                (peer.role, peer.since_us) = (Role::Closing, now_us);
                peer.connection.send(reply)?;
                peer.connection.shut_write();
                Ok(())
            }
            (Role::Subscriber(id), Body::Watch(watch)) => {
                self.server.watch(id, &watch).map_err(|why| ConnectionError::Protocol(why.to_string()))
            }
            (Role::Subscriber(id), Body::Report(report)) => {
                self.server.report(id, report);
                Ok(())
            }
            (Role::Subscriber(_), Body::RegionStatus(status)) if peer.relay.is_some() => {
                self.regions.insert(status.relay.clone(), status);
                Ok(())
            }
            // What neither a node nor a relay sends.
            (_, other) => Err(ConnectionError::Protocol(format!("unexpected message {}", kind_of(&other)))),
        }
    }

    fn write(&mut self, token: Token, now_us: u64, source_age_ms: u64) -> Result<(), ConnectionError> {
        let Some(peer) = self.peers.get_mut(&token) else { return Ok(()) };
        peer.connection.flush()?;
        let id = match peer.role {
            Role::Subscriber(id) => id,
            Role::Closing if now_us >= peer.since_us + CLOSE_DELAY_US => return Err(ConnectionError::Closed),
            Role::Closing => {
                peer.due_us = peer.since_us + CLOSE_DELAY_US;
                return Ok(());
            }
            Role::Unknown if now_us >= peer.since_us + PEER_TIMEOUT_US => {
                return Err(ConnectionError::Silent)
            }
            Role::Unknown => {
                peer.due_us = peer.since_us + PEER_TIMEOUT_US;
                return Ok(());
            }
        };
        peer.due_us = u64::MAX;
        while peer.connection.is_flushed() {
            peer.since_us = now_us;
            match self.server.next(id, now_us) {
                NextUpdate::Send(update) => {
                    peer.connection.send(Body::Update(update))?;
                    peer.last_sent_us = now_us;
                }
                NextUpdate::Wait { until_us } => {
                    peer.due_us = until_us.max(now_us + 1);
                    break;
                }
                NextUpdate::Idle => break,
            }
        }
        let heartbeat_at_us = peer.last_sent_us + HEARTBEAT_US;
        if peer.connection.is_flushed() && now_us >= heartbeat_at_us {
            let position = self.server.store().position();
            peer.connection.send(Body::Heartbeat(Heartbeat { position, age_ms: source_age_ms }))?;
            peer.last_sent_us = now_us;
        }
        if !peer.connection.is_flushed() && now_us >= peer.since_us + PEER_TIMEOUT_US {
            return Err(ConnectionError::NotReading);
        }
        let check_at_us = if peer.connection.is_flushed() {
            peer.last_sent_us + HEARTBEAT_US
        } else {
            peer.since_us + PEER_TIMEOUT_US
        };
        peer.due_us = peer.due_us.min(check_at_us.max(now_us + 1));
        Ok(())
    }

    fn close(&mut self, token: Token, registry: &Registry, why: &ConnectionError) {
        let Some(peer) = self.peers.remove(&token) else { return };
        if let Role::Subscriber(id) = peer.role {
            self.server.unsubscribe(id);
        }
        if let Some(relay) = &peer.relay {
            self.regions.remove(relay);
            tracing::info!(part = "config", "relay {relay} is gone: {why}");
        }
        self.ready.remove(&token);
        self.unread.remove(&token);
        peer.connection.deregister(registry);
    }
}

fn kind_of(body: &Body) -> &'static str {
    match body {
        Body::Subscribe(_) => "subscribe",
        Body::Watch(_) => "watch",
        Body::Report(_) => "report",
        Body::Update(_) => "update",
        Body::Heartbeat(_) => "heartbeat",
        Body::RetryLater(_) => "retry-later",
        Body::RegionStatus(_) => "region-status",
        Body::Publish(_) => "publish",
        Body::Published(_) => "published",
        Body::Refused(_) => "refused",
        Body::StatusRequest(_) => "status-request",
        Body::Status(_) => "status",
        Body::Rollback(_) => "rollback",
        Body::Fetch(_) => "fetch",
        Body::Fetched(_) => "fetched",
    }
}
