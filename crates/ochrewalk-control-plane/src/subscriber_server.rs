//! The sockets of a publisher or relay for its subscribers. The state machine [`Server`] decides which messages are sent.
//! A subscriber that does not read affects only its own connection, and uses the memory of one part of an update.
//!
//! | role of a peer | event | next role |
//! | --- | --- | --- |
//! | unknown | a `Subscribe` that is accepted | subscriber |
//! | unknown | a `Subscribe` that is refused, or has to be retried later | closing |
//! | unknown | any other message, or no message for 5 s | connection closed |
//! | subscriber | does not read for 5 s, or sends a message that subscribers do not send | connection closed |
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

/// The token of the listener; the tokens of peers begin at [`FIRST_PEER`].
pub const LISTENER: Token = Token(0);
/// The token of the first peer. The owner of the event loop may use lower ones.
pub const FIRST_PEER: usize = 16;
/// The time after which a subscriber that was sent no other message is sent a heartbeat, in microseconds.
pub const HEARTBEAT_US: u64 = 500_000;
/// The time within which a peer has to send its first message, or to read the messages sent to it.
const PEER_TIMEOUT_US: u64 = 5_000_000;
/// The time for which messages of a peer that is not served are still read. Closing a connection with unread bytes would
/// reset it, and the peer might lose the reply.
const CLOSE_DELAY_US: u64 = 1_000_000;
/// The most reads of one connection per turn before other connections are read.
const MAX_READS_PER_TURN: usize = 8;

/// The role of a peer, which depends on the messages that it has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// The peer has sent no message yet.
    Unknown,
    Subscriber(SubscriberId),
    /// The peer was sent the reason why it is not served; its further messages are ignored.
    Closing,
}

#[derive(Debug)]
struct Peer {
    connection: Connection,
    role: Role,
    /// The time at which this role began, or at which the connection last had no unwritten output.
    since_us: u64,
    last_sent_us: u64,
    /// The time at which to check the peer if no event occurs before.
    due_us: u64,
    relay: Option<String>,
}

impl Peer {
    /// Returns `error` once `close_at_us` has come, so that the caller closes the connection; until then nothing is sent on
    /// it.
    fn close_at(
        &mut self,
        close_at_us: u64,
        now_us: u64,
        error: ConnectionError,
    ) -> Result<(), ConnectionError> {
        if now_us >= close_at_us {
            return Err(error);
        }
        self.due_us = close_at_us;
        Ok(())
    }

    /// Sends parts of updates as long as the operating system accepts each one at once.
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

    /// Sends a heartbeat if no other message was sent for the heartbeat interval.
    fn send_heartbeat(&mut self, heartbeat: Heartbeat, now_us: u64) -> Result<(), ConnectionError> {
        if self.connection.is_flushed() && now_us >= self.last_sent_us + HEARTBEAT_US {
            self.connection.send(Body::Heartbeat(heartbeat))?;
            self.last_sent_us = now_us;
        }
        Ok(())
    }

    /// Returns an error for a peer that does not read, so that the caller closes the connection. Sets the time of the next
    /// check for other peers.
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

/// All subscribers of a publisher or relay, with their sockets.
#[derive(Debug)]
pub struct SubscriberServer {
    /// The state machine, with the state that is served.
    pub server: Server,
    listener: TcpListener,
    peers: HashMap<Token, Peer>,
    next_token: usize,
    max_peers: usize,
    /// The peers to check: a message was received from them, or an update may have to be sent.
    ready: HashSet<Token>,
    /// The peers that may have more to read.
    unread: HashSet<Token>,
    /// The latest reports of relays, by the names of the relays.
    regions: BTreeMap<String, RegionStatus>,
}

impl SubscriberServer {
    /// Listens at `address` and serves the state of `server` to at most `max_peers` connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be opened.
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

    /// Returns the address of the listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the latest reports of relays on their regions.
    pub fn regions(&self) -> impl Iterator<Item = &RegionStatus> {
        self.regions.values()
    }

    /// Records that the state has changed, so that updates may have to be sent to all subscribers.
    pub fn state_changed(&mut self) {
        self.ready.extend(self.peers.keys());
    }

    /// Handles an event of `token` that the event loop reports.
    pub fn on_event(&mut self, token: Token, registry: &Registry, now_us: u64) {
        if token == LISTENER {
            self.accept(registry, now_us);
        } else if self.peers.contains_key(&token) {
            self.ready.insert(token);
            self.unread.insert(token);
        }
    }

    /// Reads, writes and closes connections as far as possible without blocking. `source_age_ms` is the time since the
    /// source of the state last sent a message, in milliseconds. Returns the time of the next call if no event occurs
    /// before, in microseconds.
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
        // The events are edge-triggered: all waiting connections have to be accepted, or no further event is reported.
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
        for _ in 0..MAX_READS_PER_TURN {
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
            // Neither a node nor a relay sends this message.
            (_, other) => Err(ConnectionError::UnexpectedFromSubscriber { kind: message_kind(&other) }),
        }
    }

    fn write(&mut self, token: Token, now_us: u64, source_age_ms: u64) -> Result<(), ConnectionError> {
        let Some(peer) = self.peers.get_mut(&token) else { return Ok(()) };
        peer.connection.flush()?;
        match peer.role {
            Role::Unknown => {
                peer.close_at(peer.since_us + PEER_TIMEOUT_US, now_us, ConnectionError::ReceiveTimeout)
            }
            Role::Closing => peer.close_at(peer.since_us + CLOSE_DELAY_US, now_us, ConnectionError::Closed),
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
            tracing::info!(part = "config", "relay {relay} disconnected: {error}");
        }
        self.ready.remove(&token);
        self.unread.remove(&token);
        peer.connection.deregister(registry);
    }
}

fn message_kind(body: &Body) -> &'static str {
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
