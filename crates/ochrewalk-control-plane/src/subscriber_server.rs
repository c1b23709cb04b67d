//! The sockets of a publisher or relay towards its subscribers. What is sent is decided by the state machine [`Server`]. A
//! subscriber that does not read costs its own connection and the memory of one part of an update.
//!
//! | role of a peer | event | next role |
//! | --- | --- | --- |
//! | unknown | a `Subscribe` that is accepted | subscriber |
//! | unknown | a `Subscribe` that is refused, or to be retried later | closing |
//! | unknown | any other message, or nothing for 5 s | connection closed |
//! | subscriber | does not read for 5 s, or sends what subscribers do not send | connection closed |
//! | closing | 1 s has passed | connection closed |

use crate::connection::{Connection, ConnectionError};
use crate::frame::MAX_SUBSCRIBER_FRAME;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use ochrewalk_distribution::messages::{Body, Heartbeat, Refused, RegionStatus, RetryLater};
use ochrewalk_distribution::{Admission, NextUpdate, Server, SubscriberId};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;

/// The token of the listener; tokens of peers begin at [`FIRST_PEER`].
pub const LISTENER: Token = Token(0);
/// The token of the first peer. Lower ones are for the owner of the event loop.
pub const FIRST_PEER: usize = 16;
/// The time after which a subscriber that was sent nothing else is sent a heartbeat, in microseconds.
pub const HEARTBEAT_US: u64 = 500_000;
/// How long a peer may take to send its first message, or to read what it was sent.
const PEER_TIMEOUT_US: u64 = 5_000_000;
/// How long a peer that is not served is still read from: closing a connection with unread bytes would reset it, and the
/// peer might lose the reply.
const CLOSE_DELAY_US: u64 = 1_000_000;
/// Reads of one connection in turn before the others are read.
const MAX_READS_IN_TURN: usize = 8;

/// The role of a peer, by what it has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It has sent nothing yet.
    Unknown,
    Subscriber(SubscriberId),
    /// It was sent the reason why it is not served; what it still sends is ignored.
    Closing,
}

#[derive(Debug)]
struct Peer {
    connection: Connection,
    role: Role,
    /// When this role began, or the connection last took what was written.
    since_us: u64,
    last_sent_us: u64,
    /// When to look at it again although nothing happens.
    due_us: u64,
    relay: Option<String>,
}

impl Peer {
    /// The connection ends with `error` at `end_us`; until then nothing is sent on it.
    fn wait_until(
        &mut self,
        end_us: u64,
        now_us: u64,
        error: ConnectionError,
    ) -> Result<(), ConnectionError> {
        if now_us >= end_us {
            return Err(error);
        }
        self.due_us = end_us;
        Ok(())
    }

    /// Sends parts of updates as long as the system takes each at once.
    fn send_updates(
        &mut self,
        server: &mut Server,
        id: SubscriberId,
        now_us: u64,
    ) -> Result<(), ConnectionError> {
        self.due_us = u64::MAX;
        while self.connection.is_flushed() {
            self.since_us = now_us;
            match server.next(id, now_us) {
                NextUpdate::Send(update) => {
                    self.connection.send(Body::Update(update))?;
                    self.last_sent_us = now_us;
                }
                NextUpdate::Wait { until_us } => {
                    self.due_us = until_us.max(now_us + 1);
                    break;
                }
                NextUpdate::Idle => break,
            }
        }
        Ok(())
    }

    /// Sends a heartbeat where nothing else was sent for long enough.
    fn send_heartbeat(&mut self, heartbeat: Heartbeat, now_us: u64) -> Result<(), ConnectionError> {
        if self.connection.is_flushed() && now_us >= self.last_sent_us + HEARTBEAT_US {
            self.connection.send(Body::Heartbeat(heartbeat))?;
            self.last_sent_us = now_us;
        }
        Ok(())
    }

    /// Ends the connection of a peer that does not read, or sets when to look at it again.
    fn schedule_check(&mut self, now_us: u64) -> Result<(), ConnectionError> {
        let is_flushed = self.connection.is_flushed();
        if !is_flushed && now_us >= self.since_us + PEER_TIMEOUT_US {
            return Err(ConnectionError::SendTimeout);
        }
        let check_at_us =
            if is_flushed { self.last_sent_us + HEARTBEAT_US } else { self.since_us + PEER_TIMEOUT_US };
        self.due_us = self.due_us.min(check_at_us.max(now_us + 1));
        Ok(())
    }
}

/// All subscribers of a publisher or relay, on their sockets.
#[derive(Debug)]
pub struct SubscriberServer {
    /// The state machine, with the state that is served.
    pub server: Server,
    listener: TcpListener,
    peers: HashMap<Token, Peer>,
    next_token: usize,
    max_peers: usize,
    /// Peers to look at: something was received from them, or there may be something to send.
    ready: HashSet<Token>,
    /// Peers that may have more to be read.
    unread: HashSet<Token>,
    /// The latest reports of relays, by their names.
    regions: BTreeMap<String, RegionStatus>,
}

impl SubscriberServer {
    /// Listens at `address` and serves the state of `server` to at most `max_peers` connections.
    ///
    /// # Errors
    ///
    /// Where the listener cannot be opened.
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
    ///
    /// # Errors
    ///
    /// Where the operating system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The latest reports of relays on their regions.
    pub fn regions(&self) -> impl Iterator<Item = &RegionStatus> {
        self.regions.values()
    }

    /// The state has changed: there may be something to send to each subscriber.
    pub fn state_changed(&mut self) {
        self.ready.extend(self.peers.keys());
    }

    /// The event loop reports an event of `token`.
    pub fn on_event(&mut self, token: Token, registry: &Registry, now_us: u64) {
        if token == LISTENER {
            self.accept(registry, now_us);
        } else if self.peers.contains_key(&token) {
            self.ready.insert(token);
            self.unread.insert(token);
        }
    }

    /// Reads, writes and closes what can be now. `source_age_ms` is the time since the source of the state last sent anything,
    /// in milliseconds. Returns the time at which to call again although nothing happens, in microseconds.
    pub fn drive(&mut self, registry: &Registry, now_us: u64, source_age_ms: u64) -> u64 {
        for token in std::mem::take(&mut self.unread) {
            self.read(token, registry, now_us);
        }
        let is_due = |(token, peer): (&Token, &Peer)| (peer.due_us <= now_us).then_some(*token);
        let due: Vec<Token> = self.peers.iter().filter_map(is_due).collect();
        let mut ready = std::mem::take(&mut self.ready);
        ready.extend(due);
        for token in ready {
            if let Err(error) = self.write(token, now_us, source_age_ms) {
                self.close(token, registry, &error);
            }
        }
        if !self.unread.is_empty() {
            return now_us;
        }
        self.peers.values().map(|peer| peer.due_us).min().unwrap_or(u64::MAX)
    }

    fn accept(&mut self, registry: &Registry, now_us: u64) {
        // Edge-triggered: all waiting connections have to be accepted, or no further event is reported.
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
        for _ in 0..MAX_READS_IN_TURN {
            outcome = peer.connection.receive(|body| bodies.push(body));
            if !matches!(outcome, Ok(true)) {
                break;
            }
        }
        for body in bodies {
            if let Err(error) = self.handle_message(token, body, now_us) {
                return self.close(token, registry, &error);
            }
        }
        match outcome {
            Ok(true) => drop(self.unread.insert(token)),
            Ok(false) => {}
            Err(error) => return self.close(token, registry, &error),
        }
        self.ready.insert(token);
    }

    fn handle_message(&mut self, token: Token, body: Body, now_us: u64) -> Result<(), ConnectionError> {
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
                self.server.watch(id, &watch).map_err(ConnectionError::Watch)
            }
            (Role::Subscriber(id), Body::Report(report)) => {
                self.server.report(id, report);
                Ok(())
            }
            (Role::Subscriber(_), Body::RegionStatus(status)) if peer.relay.is_some() => {
                self.regions.insert(status.relay.clone(), status);
                Ok(())
            }
            // A message that neither a node nor a relay sends.
            (_, other) => Err(ConnectionError::UnexpectedFromSubscriber { kind: kind_of(&other) }),
        }
    }

    fn write(&mut self, token: Token, now_us: u64, source_age_ms: u64) -> Result<(), ConnectionError> {
        let Some(peer) = self.peers.get_mut(&token) else { return Ok(()) };
        peer.connection.flush()?;
        match peer.role {
            Role::Unknown => {
                peer.wait_until(peer.since_us + PEER_TIMEOUT_US, now_us, ConnectionError::ReceiveTimeout)
            }
            Role::Closing => peer.wait_until(peer.since_us + CLOSE_DELAY_US, now_us, ConnectionError::Closed),
            Role::Subscriber(id) => {
                peer.send_updates(&mut self.server, id, now_us)?;
                let position = self.server.store().position();
                peer.send_heartbeat(Heartbeat { position, age_ms: source_age_ms }, now_us)?;
                peer.schedule_check(now_us)
            }
        }
    }

    fn close(&mut self, token: Token, registry: &Registry, error: &ConnectionError) {
        let Some(peer) = self.peers.remove(&token) else { return };
        if let Role::Subscriber(id) = peer.role {
            self.server.unsubscribe(id);
        }
        if let Some(relay) = &peer.relay {
            self.regions.remove(relay);
            tracing::info!(part = "config", "relay {relay} is gone: {error}");
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
