//! Calls to what lies below. A connection carries one call at a time while there are descriptors for that, as
//! one spoilt reply makes a connection useless for all calls on it. Connections are kept for a moment, for later
//! calls that may be made again, and then closed by us before the other side would.

use super::link::{adopt, carry, connect, let_go, Finish, Outbox, Reader};
use crate::clock::Clock;
use crate::close_reason::{CallResult, CloseReason};
use crate::coordinator::{EventSender, RequestEvent};
use crate::handover::records::{UpstreamConnectionRecord, UpstreamRecord};
use crate::interfaces::UpstreamClient;
use crate::wire::calls::{self, Word};
use may::net::TcpStream;
use ochrewalk::host::RpcId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::{OwnedFd, RawFd};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

const CONNECT: Duration = Duration::from_millis(500);
/// How long a connection that carries nothing is trusted. The other side may close it early, or forget it and
/// reset it at the next call, and nothing tells that from a reset in a reply's place. A new one costs little.
const TRUSTED_US: u64 = 50_000;
const SWEEP: Duration = Duration::from_millis(100);
/// How long a reply may take from its first byte to its last. Guards against a length that says more than comes:
/// its call would wait all its time.
const REPLY_US: u64 = 250_000;

#[derive(Clone)]
pub struct Below(Arc<Links>);

struct Links {
    clock: Clock,
    most_links: usize,
    state: Mutex<State>,
}

struct State {
    /// Where new calls go. Links to a place before it only wait for the replies that are still due.
    at: SocketAddr,
    links: Vec<Arc<Link>>,
}

/// One connection, from the call that wants it to its end.
struct Link {
    at: SocketAddr,
    outbox: Outbox,
    carried: Mutex<Carried>,
}

struct Carried {
    calls: HashMap<RpcId, EventSender>,
    used_us: u64,
    /// Since when a reply is under way that has no end yet.
    partial_us: Option<u64>,
    /// It has ended, and its peer has not seen that yet.
    over: bool,
}

impl Below {
    pub fn new(at: SocketAddr, clock: Clock, most_links: usize) -> Below {
        Below(Arc::new(Links { clock, most_links, state: Mutex::new(State { at, links: Vec::new() }) }))
    }

    /// Calls go to this place from now on. The links to the one before end with their last reply.
    pub fn move_to(&self, at: SocketAddr) {
        self.0.lock().at = at;
        self.0.close_idle();
    }

    /// Closes connections that have carried nothing for a while, for ever.
    pub fn watch(&self) {
        loop {
            may::coroutine::sleep(SWEEP);
            self.0.close_idle();
        }
    }
}

impl UpstreamClient for Below {
    fn place_call(&self, id: &RpcId, wait_ms: u64, body: &[u8], again: bool, post: EventSender) {
        self.0.call(id, wait_ms, body, again, post);
    }

    fn cancel_call(&self, id: &str) {
        self.0.give_up(id);
    }

    fn snapshot(&self) -> (UpstreamRecord, Vec<RawFd>) {
        let state = self.0.lock();
        let (mut links, mut descriptors) = (Vec::new(), Vec::new());
        // One that is only being made has written nothing: its calls are placed anew.
        for (link, (fd, stream)) in state.links.iter().filter_map(|link| Some((link, link.outbox.keep()?))) {
            let carried = link.lock();
            links.push(UpstreamConnectionRecord {
                endpoint: link.at.to_string(),
                stream,
                calls: carried.calls.keys().map(|id| id.to_string()).collect(),
                used_us: carried.used_us,
                partial_us: carried.partial_us,
            });
            descriptors.push(fd);
        }
        (UpstreamRecord { links, lost: Vec::new() }, descriptors)
    }

    fn recheck_connections(&self) {
        self.0.lock().links.iter().for_each(|link| link.outbox.nudge());
    }
}

impl Below {
    /// Goes on with the connections of another process; the posts are those of the RPCs whose calls they carry.
    pub fn resume(
        &self,
        kept: UpstreamRecord,
        descriptors: Vec<OwnedFd>,
        posts: &HashMap<RpcId, EventSender>,
    ) {
        let mut state = self.0.lock();
        for (kept, descriptor) in kept.links.into_iter().zip(descriptors) {
            let post =
                |id: String| posts.get_key_value(id.as_str()).map(|(id, post)| (id.clone(), post.clone()));
            let calls = kept.calls.into_iter().filter_map(post).collect();
            let carried = Carried { calls, used_us: kept.used_us, partial_us: kept.partial_us, over: false };
            let at = kept.endpoint.parse().unwrap_or(state.at);
            let outbox = Outbox::resume(kept.stream, false);
            let link = Arc::new(Link { at, outbox, carried: Mutex::new(carried) });
            state.links.push(link.clone());
            let below = self.0.clone();
            may::go!(move || below.keep(&link, Some(adopt(descriptor))));
        }
    }
}

impl Links {
    /// One that is not to be made `again` goes on a connection of its own: guards against one that was forgotten
    /// below, which would leave it without proof.
    fn call(self: &Arc<Self>, id: &RpcId, wait_ms: u64, body: &[u8], again: bool, post: EventSender) {
        let mut state = self.lock();
        let now_us = self.clock.now_us();
        let room = state.links.len() < self.most_links;
        let trusted = |link: &Link| {
            let carried = link.lock();
            let unused = again && carried.calls.is_empty() && now_us < carried.used_us + TRUSTED_US;
            !carried.over && (!room || unused)
        };
        // The last one used is the first one used again, so that the others are closed as idle.
        let least =
            state.links.iter().filter(|link| link.at == state.at && trusted(link)).min_by_key(|link| {
                let carried = link.lock();
                (carried.calls.len(), u64::MAX - carried.used_us)
            });
        let link = match least.cloned() {
            Some(link) => link,
            None => {
                let (calls, used_us) = (HashMap::new(), now_us);
                let carried = Mutex::new(Carried { calls, used_us, partial_us: None, over: false });
                let link = Arc::new(Link { at: state.at, outbox: Outbox::default(), carried });
                state.links.push(link.clone());
                let (below, of) = (self.clone(), link.clone());
                may::go!(move || below.keep(&of, None));
                link
            }
        };
        {
            let mut carried = link.lock();
            carried.calls.insert(id.clone(), post);
            carried.used_us = now_us;
        }
        link.outbox.push(calls::call(id, wait_ms, body));
    }

    fn give_up(&self, id: &str) {
        let Some(link) = self.carrier(id) else { return };
        if link.lock().calls.remove(id).is_some() {
            link.outbox.push(calls::give_up(id));
        }
    }

    fn close_idle(&self) {
        let state = self.lock();
        for link in &state.links {
            let carried = link.lock();
            let now_us = self.clock.now_us();
            let idle_us = now_us.saturating_sub(carried.used_us);
            if carried.partial_us.is_some_and(|from_us| now_us >= from_us + REPLY_US) {
                link.outbox.finish(Finish::Silent);
            } else if carried.calls.is_empty() && (idle_us >= TRUSTED_US || link.at != state.at) {
                link.outbox.finish(Finish::Idle);
            }
        }
    }

    /// Carries one link to its end.
    fn keep(&self, link: &Arc<Link>, adopted: Option<TcpStream>) {
        let stream = adopted.map_or_else(|| connect(&link.at, CONNECT), Ok);
        let ending = match &stream {
            Ok(stream) => {
                carry(stream, &link.outbox, None, calls::LONGEST, &mut Replies { below: self, link })
            }
            Err(ending) => ending.clone(),
        };
        // From here on no call finds it. Guards against a call that comes while it closes as idle.
        let calls = {
            let _none_is_placed = self.lock();
            let mut carried = link.lock();
            carried.over = true;
            std::mem::take(&mut carried.calls)
        };
        let unwritten = link.outbox.take_unwritten();
        let never_written = |id: &str| {
            let start = format!("CALL {id} ");
            unwritten.iter().any(|line| line.starts_with(start.as_bytes()))
        };
        if !calls.is_empty() {
            tracing::warn!(part = "below", place = %link.at, "{ending}; {} calls under way", calls.len());
        }
        for (id, post) in calls {
            // What was never written whole never ran, however the connection ended.
            let end = if never_written(&id) {
                CallResult::Unsent
            } else {
                CallResult::ConnectionClosed(ending.clone())
            };
            post.send(RequestEvent::CallEnded(end));
        }
        if let Ok(stream) = stream {
            let_go(&stream, &ending, || self.lock().links.len() >= self.most_links);
        }
        self.lock().links.retain(|other| !Arc::ptr_eq(other, link));
    }

    fn carrier(&self, id: &str) -> Option<Arc<Link>> {
        self.lock().links.iter().find(|link| link.lock().calls.contains_key(id)).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

impl Link {
    fn lock(&self) -> MutexGuard<'_, Carried> {
        self.carried.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

struct Replies<'a> {
    below: &'a Links,
    link: &'a Link,
}

impl Reader for Replies<'_> {
    fn take(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let now_us = self.below.clock.now_us();
        let Some((reply, taken)) = calls::read(input).map_err(CloseReason::Malformed)? else {
            self.link.lock().partial_us.get_or_insert(now_us);
            return Ok(0);
        };
        let post = {
            let mut carried = self.link.lock();
            (carried.used_us, carried.partial_us) = (now_us, None);
            carried.calls.remove(reply.id)
        };
        // One that was given up may still be answered.
        if let Some(post) = post {
            post.send(RequestEvent::CallEnded(match reply.word {
                Word::Ok => CallResult::Succeeded(reply.body.to_vec()),
                Word::Busy => CallResult::Rejected,
                Word::Err => CallResult::Failed,
                Word::Late => CallResult::DeadlineExceeded,
                Word::Void => CallResult::NoLongerNeeded,
            }));
        }
        Ok(taken)
    }

    fn may_end(&self, how: Finish) -> bool {
        let carried = self.link.lock();
        let now_us = self.below.clock.now_us();
        match how {
            Finish::Silent => carried.partial_us.is_some_and(|from_us| now_us >= from_us + REPLY_US),
            _ => carried.calls.is_empty() && carried.partial_us.is_none(),
        }
    }
}
