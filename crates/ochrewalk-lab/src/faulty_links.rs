//! Faulty links between nodes and their upstream endpoints: a single thread forwards every byte, delays it, or resets
//! the connection, by rules for pairs or groups of nodes and endpoints. The first call on a connection identifies its
//! node.

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::ops::Range;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The prefix of each RPC's id. The number of its node follows, as four hex digits.
pub const REQUEST_ID_PREFIX: &str = "c0de";

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    Delay(Duration),
    /// Resets all connections, and each new one.
    Reset,
    /// Holds back all bytes in one direction until the rule ends, then forwards them, as a network does that
    /// retransmits.
    Silence {
        to_endpoint: bool,
    },
    /// Forwards nothing in either direction, and resets the connection when the rule ends.
    HalfOpen,
    /// Forwards this number of bytes per 10 ms in each direction.
    Trickle(usize),
}

/// A fault of the links between these nodes and these endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub nodes: Range<usize>,
    pub endpoints: Range<usize>,
    pub fault: LinkFault,
}

enum Command {
    Rules(Vec<Rule>),
    /// Starts (`true`) or stops listening for an endpoint.
    Listen(usize, bool),
    Stop,
}

/// A call that a node sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedCall {
    pub at: Instant,
    pub node: usize,
    pub endpoint: usize,
}

pub struct FaultyLinks {
    command: Sender<Command>,
    waker: Arc<Waker>,
    forwarded: Arc<Mutex<Vec<ForwardedCall>>>,
    thread: Option<JoinHandle<()>>,
}

const STEP: Duration = Duration::from_millis(10);
const WAKE: Token = Token(0);
const CHUNK: usize = 16 * 1024;

impl FaultyLinks {
    /// Starts links that listen for each endpoint at the first address and forward to the second.
    pub fn start(endpoints: &[(SocketAddr, SocketAddr)]) -> std::io::Result<FaultyLinks> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (command, commands) = channel();
        let forwarded: Arc<Mutex<Vec<ForwardedCall>>> = Arc::default();
        let mut proxy = Proxy {
            poll,
            endpoints: endpoints.to_vec(),
            listeners: BTreeMap::new(),
            links: BTreeMap::new(),
            next: 1 + endpoints.len(),
            rules: Vec::new(),
            forwarded: forwarded.clone(),
        };
        for endpoint in 0..endpoints.len() {
            proxy.listen(endpoint)?;
        }
        let thread = Some(std::thread::spawn(move || proxy.run(&commands)));
        Ok(FaultyLinks { command, waker, forwarded, thread })
    }

    fn send(&self, command: Command) {
        let _ = self.command.send(command);
        let _ = self.waker.wake();
    }

    /// Replaces the rules. The first rule that matches a node and an endpoint applies.
    pub fn set(&self, rules: Vec<Rule>) {
        self.send(Command::Rules(rules));
    }

    /// Accepts connections to an endpoint if `is_listening`; otherwise they are refused, as without a listener.
    pub fn listen(&self, endpoint: usize, is_listening: bool) {
        self.send(Command::Listen(endpoint, is_listening));
    }

    /// Returns all calls that were received for forwarding since the start.
    pub fn forwarded(&self) -> Vec<ForwardedCall> {
        self.forwarded.lock().expect("no panic under it").clone()
    }
}

impl Drop for FaultyLinks {
    fn drop(&mut self) {
        self.send(Command::Stop);
        // The addresses are free again once the thread has ended.
        self.thread.take().map(JoinHandle::join);
    }
}

/// One direction of a connection.
#[derive(Default)]
struct Direction {
    queued: VecDeque<(Instant, Vec<u8>)>,
    /// Whether the source has closed its side.
    is_ended: bool,
    /// Whether the close was forwarded.
    is_end_forwarded: bool,
}

struct Link {
    endpoint: usize,
    node: Option<usize>,
    node_side: TcpStream,
    endpoint_side: TcpStream,
    to_endpoint: Direction,
    to_node: Direction,
    was_half_open: bool,
}

struct Proxy {
    poll: Poll,
    endpoints: Vec<(SocketAddr, SocketAddr)>,
    listeners: BTreeMap<usize, TcpListener>,
    /// Keyed by the token of the node's side; the endpoint's side has the next token.
    links: BTreeMap<usize, Link>,
    next: usize,
    rules: Vec<Rule>,
    forwarded: Arc<Mutex<Vec<ForwardedCall>>>,
}

impl Proxy {
    fn listen(&mut self, endpoint: usize) -> std::io::Result<()> {
        let mut listener = TcpListener::bind(self.endpoints[endpoint].0)?;
        self.poll.registry().register(&mut listener, Token(1 + endpoint), Interest::READABLE)?;
        self.listeners.insert(endpoint, listener);
        Ok(())
    }

    fn run(mut self, commands: &Receiver<Command>) {
        let mut events = Events::with_capacity(1_024);
        loop {
            let has_queued = self
                .links
                .values()
                .any(|link| !link.to_endpoint.queued.is_empty() || !link.to_node.queued.is_empty());
            let wait = if has_queued { Duration::from_millis(2) } else { Duration::from_millis(100) };
            if self.poll.poll(&mut events, Some(wait)).is_err_and(|err| err.kind() != ErrorKind::Interrupted)
            {
                return;
            }
            for command in commands.try_iter() {
                match command {
                    Command::Stop => return,
                    Command::Listen(endpoint, true) => drop(self.listen(endpoint)),
                    Command::Listen(endpoint, false) => drop(self.listeners.remove(&endpoint)),
                    Command::Rules(rules) => self.rules = rules,
                }
            }
            let mut ready = Vec::new();
            for event in &events {
                match event.token() {
                    WAKE => {}
                    Token(at) if at <= self.endpoints.len() => self.accept(at - 1),
                    Token(at) => ready.push(if self.links.contains_key(&at) { at } else { at - 1 }),
                }
            }
            // Few links have queued bytes at a time, so that checking all of them is cheap.
            let queued = self
                .links
                .iter()
                .filter(|(_, p)| !p.to_endpoint.queued.is_empty() || !p.to_node.queued.is_empty());
            ready.extend(queued.map(|(at, _)| *at));
            ready.extend(
                self.links
                    .iter()
                    .filter(|(_, p)| self.fault(p) == Some(LinkFault::Reset) || p.was_half_open)
                    .map(|(at, _)| *at),
            );
            ready.sort_unstable();
            ready.dedup();
            for at in ready {
                self.forward(at);
            }
        }
    }

    fn accept(&mut self, endpoint: usize) {
        let Some(listener) = self.listeners.get(&endpoint) else { return };
        while let Ok((mut node_side, _)) = listener.accept() {
            let Ok(mut endpoint_side) = TcpStream::connect(self.endpoints[endpoint].1) else { continue };
            let _ = (node_side.set_nodelay(true), endpoint_side.set_nodelay(true));
            let at = self.next;
            self.next += 2;
            let both = Interest::READABLE | Interest::WRITABLE;
            let registry = self.poll.registry();
            if registry.register(&mut node_side, Token(at), both).is_ok()
                && registry.register(&mut endpoint_side, Token(at + 1), both).is_ok()
            {
                let (to_endpoint, to_node) = (Direction::default(), Direction::default());
                self.links.insert(
                    at,
                    Link {
                        endpoint,
                        node: None,
                        node_side,
                        endpoint_side,
                        to_endpoint,
                        to_node,
                        was_half_open: false,
                    },
                );
            }
        }
    }

    fn fault(&self, link: &Link) -> Option<LinkFault> {
        let fits = |rule: &&Rule| {
            rule.endpoints.contains(&link.endpoint)
                && link.node.is_some_and(|node| rule.nodes.contains(&node))
        };
        self.rules.iter().find(fits).map(|rule| rule.fault)
    }

    /// Reads from both sides of a link and writes the bytes that are due. Drops the link once it is closed or broken.
    fn forward(&mut self, at: usize) {
        let Some(mut link) = self.links.remove(&at) else { return };
        let now = Instant::now();
        let mut is_intact = self.read(&mut link, now);
        let fault = self.fault(&link);
        is_intact &= match fault {
            Some(LinkFault::Reset) => false,
            Some(LinkFault::HalfOpen) => {
                link.was_half_open = true;
                true
            }
            _ if link.was_half_open => false,
            _ => {
                let max_bytes =
                    if let Some(LinkFault::Trickle(max_bytes)) = fault { max_bytes } else { usize::MAX };
                let is_silenced = |to_endpoint| fault == Some(LinkFault::Silence { to_endpoint });
                let to_endpoint = is_silenced(true)
                    || write(&mut link.to_endpoint, &mut link.endpoint_side, now, max_bytes);
                let to_node =
                    is_silenced(false) || write(&mut link.to_node, &mut link.node_side, now, max_bytes);
                to_endpoint
                    && to_node
                    && !(link.to_endpoint.is_end_forwarded && link.to_node.is_end_forwarded)
            }
        };
        if is_intact {
            self.links.insert(at, link);
        } else if !(link.to_endpoint.is_end_forwarded && link.to_node.is_end_forwarded) {
            // A linger time of zero resets both connections, so that both sides notice immediately.
            for side in [&link.node_side, &link.endpoint_side] {
                let _ = socket2::SockRef::from(side).set_linger(Some(Duration::ZERO));
            }
        }
    }

    /// Reads from both sides. Returns false if either side has failed.
    fn read(&self, link: &mut Link, now: Instant) -> bool {
        let mut chunk = [0; CHUNK];
        for is_to_endpoint in [true, false] {
            let (from, direction) = if is_to_endpoint {
                (&mut link.node_side, &mut link.to_endpoint)
            } else {
                (&mut link.endpoint_side, &mut link.to_node)
            };
            while !direction.is_ended {
                match from.read(&mut chunk) {
                    Ok(0) => direction.is_ended = true,
                    Ok(got) => {
                        if is_to_endpoint {
                            let nodes = nodes_in(&chunk[..got]);
                            link.node = link.node.or(nodes.first().copied());
                            let mut forwarded = self.forwarded.lock().expect("no panic under it");
                            forwarded.extend(nodes.into_iter().map(|node| ForwardedCall {
                                at: now,
                                node,
                                endpoint: link.endpoint,
                            }));
                        }
                        direction.queued.push_back((now, chunk[..got].to_vec()));
                    }
                    Err(err) if err.kind() == ErrorKind::WouldBlock => break,
                    // The connection to the endpoint is still being established.
                    Err(err) if err.kind() == ErrorKind::NotConnected => break,
                    Err(_) => return false,
                }
            }
        }
        if let Some(LinkFault::Delay(by)) = self.fault(link) {
            let delayed = link.to_endpoint.queued.iter_mut().chain(&mut link.to_node.queued);
            delayed.filter(|(due, _)| *due == now).for_each(|(due, _)| *due = now + by);
        }
        true
    }
}

/// Returns the nodes whose RPC ids are in these bytes.
fn nodes_in(bytes: &[u8]) -> Vec<usize> {
    let found = bytes
        .windows(REQUEST_ID_PREFIX.len() + 12)
        .filter(|window| window.starts_with(REQUEST_ID_PREFIX.as_bytes()));
    let number = |window: &[u8]| {
        let digits =
            std::str::from_utf8(&window[REQUEST_ID_PREFIX.len()..REQUEST_ID_PREFIX.len() + 4]).ok()?;
        usize::from_str_radix(digits, 16).ok()
    };
    found.filter_map(number).collect()
}

/// Writes up to `max_bytes` of the bytes that are due. Returns false if the receiving side has failed.
fn write(direction: &mut Direction, to: &mut TcpStream, now: Instant, max_bytes: usize) -> bool {
    let mut left = max_bytes;
    while let Some((due, bytes)) = direction.queued.front_mut() {
        if *due > now || left == 0 {
            return true;
        }
        let piece = bytes.len().min(left);
        match to.write(&bytes[..piece]) {
            Ok(sent) => {
                left -= sent;
                bytes.drain(..sent);
                if bytes.is_empty() {
                    direction.queued.pop_front();
                } else if max_bytes < usize::MAX {
                    *due = now + STEP;
                }
            }
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return true,
            Err(_) => return false,
        }
    }
    if direction.is_ended && !direction.is_end_forwarded {
        direction.is_end_forwarded = true;
        let _ = to.shutdown(Shutdown::Write);
    }
    true
}
