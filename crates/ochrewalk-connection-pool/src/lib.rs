//! Decides on which connection each call below goes, after which proof, and whether a call may be written a second
//! time. Which place it goes to is `ochrewalk-load-balancer`'s.
//!
//! No sockets and no clock: whoever carries the connections tells [`ConnectionPool`] what happened, and it acts by [`Transport`].
//! A call is one of two kinds. One that may happen `again` can be written a second time after a connection broke under
//! it, within a budget. Any other is only ever written on a connection just made or just proven, and never a second
//! time; of a call of which no byte was written it is certain that it never ran, so that any kind may be moved then.

mod budget;

pub use budget::RetryBudget;

use ochrewalk_load_balancer::{
    BalancingConfig, CallOutcome, EjectionCause, Endpoint, Idempotency, LoadBalancer,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Numbers that the carrier knows connections and calls by; never used twice.
pub type ConnectionId = u64;
pub type CallId = u64;

/// What is asked of whoever carries the connections.
pub trait Transport {
    /// Makes a connection to that place.
    fn connect(&mut self, link: ConnectionId, place: usize);
    /// Writes the call there, after a ping was answered where it is to be proven.
    fn write(&mut self, link: ConnectionId, call: CallId, prove: bool);
    /// The call's end: what became of it goes to whoever placed it, once.
    fn complete(&mut self, call: CallId, end: CallResult);
    /// Lets a connection go.
    fn close(&mut self, link: ConnectionId);
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The answer that was just read is its own.
    Replied,
    /// No byte of it was written.
    Unsent,
    /// Its connection ended after it was written, for the reason just told.
    Broken,
}

/// What a whole answer said of its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The place did its work.
    Succeeded,
    /// It had no room for it.
    Rejected,
    /// It could not do it.
    Failed,
    /// It could not do it in time.
    TimedOut,
}

impl ReplyOutcome {
    fn call_outcome(self) -> CallOutcome {
        match self {
            ReplyOutcome::Succeeded => CallOutcome::Succeeded,
            ReplyOutcome::Rejected => CallOutcome::Rejected,
            ReplyOutcome::Failed => CallOutcome::Failed,
            ReplyOutcome::TimedOut => CallOutcome::TimedOut,
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// It was never made.
    ConnectFailed,
    /// It was made, and no byte of a call was written on it that was not answered. Kept connections end so in the
    /// ordinary run of things.
    BeforeWrite,
    /// A ping on it was not answered in time.
    PingTimedOut,
    /// A byte of a call may have been written.
    AfterWrite,
}

/// How many connections there may be and how long they stand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolConfig {
    pub max_connections: usize,
    /// A connection used within this time needs no proof for a call that may happen again.
    pub ping_after_idle_us: u64,
    /// A connection that carries nothing is let go after this time.
    pub max_idle_us: u64,
}

/// How often one call may be placed anew, whatever the budget: guards against one that goes round for ever.
const MOST_TRIES: u32 = 4;
struct Link {
    place: usize,
    made: bool,
    call: Option<CallId>,
    used_us: u64,
}

struct Call {
    again: bool,
    until_us: u64,
    tries: u32,
    /// Where it failed last: elsewhere is better.
    avoid: Option<usize>,
    /// It goes on a new connection only, as a kept one failed it.
    fresh: bool,
    link: Option<ConnectionId>,
}

pub struct ConnectionPool {
    bounds: PoolConfig,
    spread: LoadBalancer,
    links: BTreeMap<ConnectionId, Link>,
    /// Connections that are made and carry nothing, by when they were used: all of them, and by place.
    idle: BTreeSet<(u64, ConnectionId)>,
    idle_at: Vec<BTreeSet<(u64, ConnectionId)>>,
    calls: BTreeMap<CallId, Call>,
    /// Calls that wait for a connection, oldest first.
    waiting: VecDeque<CallId>,
    budget: RetryBudget,
    next_link: ConnectionId,
}

impl ConnectionPool {
    /// None yet: [`ConnectionPool::set_endpoints`] names them.
    pub fn new(bounds: PoolConfig, plan: BalancingConfig, repeats: f64, seed: u64) -> ConnectionPool {
        ConnectionPool {
            bounds,
            spread: LoadBalancer::new(plan, seed),
            links: BTreeMap::new(),
            idle: BTreeSet::new(),
            idle_at: Vec::new(),
            calls: BTreeMap::new(),
            waiting: VecDeque::new(),
            budget: RetryBudget::new(repeats),
            next_link: 0,
        }
    }

    /// The places there are from now on; gives the number that each is known by. What is under way at others ends there.
    pub fn set_endpoints(
        &mut self,
        now_us: u64,
        listed: &[Endpoint],
        wire: &mut impl Transport,
    ) -> Vec<usize> {
        let slots = self.spread.set_endpoints(now_us, listed);
        let most = slots.iter().max().map_or(0, |slot| slot + 1);
        if self.idle_at.len() < most {
            self.idle_at.resize(most, BTreeSet::new());
        }
        // A number may stand for another place once nothing is under way there, so that no connection may outlive that.
        let unused = |(_, of): &(&ConnectionId, &Link)| of.call.is_none() && !slots.contains(&of.place);
        let unused: Vec<ConnectionId> = self.links.iter().filter(unused).map(|(link, _)| *link).collect();
        unused.into_iter().for_each(|link| self.let_go(link, wire));
        self.serve_waiting(now_us, wire);
        slots
    }

    /// How long no place is expected to take a call, where none does now.
    pub fn unavailable_for_us(&mut self, now_us: u64) -> Option<u64> {
        self.spread.unavailable_for_us(now_us)
    }

    /// A call is to be placed, and is of use until then.
    pub fn start_call(
        &mut self,
        now_us: u64,
        call: CallId,
        again: bool,
        until_us: u64,
        wire: &mut impl Transport,
    ) {
        self.budget.earn();
        let new = Call { again, until_us, tries: 0, avoid: None, fresh: false, link: None };
        self.calls.insert(call, new);
        self.place(now_us, call, wire);
    }

    /// Nobody waits for the call any more. Nothing is settled; an answer still to come is nobody's.
    pub fn cancel(&mut self, now_us: u64, call: CallId, wire: &mut impl Transport) {
        let Some(gone) = self.calls.remove(&call) else { return };
        self.waiting.retain(|waits| *waits != call);
        let Some(link) = gone.link else { return };
        if let Some(Link { place, made, .. }) = self.links.get(&link) {
            let (place, made) = (*place, *made);
            // It waited all its time there: that tells of the place as an answer would.
            let late = made && now_us >= gone.until_us;
            self.spread.call_ended(
                now_us,
                place,
                call,
                if late { CallOutcome::TimedOut } else { CallOutcome::Inconclusive },
            );
            if made || !self.spread.is_listed(place) {
                // Whether a byte of it was written only the carrier knows; whatever comes there now is not to be
                // taken for another call's.
                self.links.remove(&link);
                wire.close(link);
            } else if let Some(link) = self.links.get_mut(&link) {
                link.call = None;
            }
        }
        self.serve_waiting(now_us, wire);
    }

    /// A connection is there.
    pub fn connected(&mut self, now_us: u64, link: ConnectionId, wire: &mut impl Transport) {
        let Some(of) = self.links.get_mut(&link) else { return wire.close(link) };
        (of.made, of.used_us) = (true, now_us);
        match of.call {
            Some(call) => wire.write(link, call, false),
            None => {
                self.rest(link, wire);
                self.serve_waiting(now_us, wire);
            }
        }
    }

    /// A whole answer to the call on it came. `reuse`: the connection may carry another.
    pub fn replied(
        &mut self,
        now_us: u64,
        link: ConnectionId,
        said: ReplyOutcome,
        reuse: bool,
        wire: &mut impl Transport,
    ) {
        let Some(of) = self.links.get_mut(&link) else { return };
        let (place, call) = (of.place, of.call.take());
        of.used_us = now_us;
        if let Some(call) = call {
            self.spread.call_ended(now_us, place, call, said.call_outcome());
        }
        if reuse {
            self.rest(link, wire);
        } else {
            self.links.remove(&link);
            wire.close(link);
        }
        if let Some(call) = call.filter(|call| self.calls.remove(call).is_some()) {
            wire.complete(call, CallResult::Replied);
        }
        self.serve_waiting(now_us, wire);
    }

    /// A connection ended, and with it whatever was on it.
    pub fn disconnected(
        &mut self,
        now_us: u64,
        link: ConnectionId,
        how: Disconnect,
        wire: &mut impl Transport,
    ) {
        let Some(Link { place, call, made, used_us }) = self.links.remove(&link) else { return };
        self.busy(place, used_us, link);
        let news = match how {
            Disconnect::ConnectFailed => CallOutcome::ConnectFailed,
            // A kept connection that was forgotten tells nothing of its place.
            Disconnect::BeforeWrite => CallOutcome::Inconclusive,
            Disconnect::PingTimedOut | Disconnect::AfterWrite => CallOutcome::ConnectionBroken,
        };
        match (call, news) {
            (Some(call), news) => self.spread.call_ended(now_us, place, call, news),
            (None, CallOutcome::ConnectFailed) => {
                self.spread.record_failure(now_us, place, EjectionCause::ConnectFailed)
            }
            (None, CallOutcome::Inconclusive) => {}
            (None, _) => self.spread.record_failure(now_us, place, EjectionCause::CallsFailed),
        }
        let Some(call) = call else { return self.serve_waiting(now_us, wire) };
        let Some(of) = self.calls.get_mut(&call) else { return };
        of.link = None;
        of.tries += 1;
        of.avoid = (news != CallOutcome::Inconclusive).then_some(place);
        of.fresh = made;
        let written = how == Disconnect::AfterWrite;
        let in_time = now_us < of.until_us && of.tries < MOST_TRIES;
        let goes_again = if written {
            // The one place that decides on a second writing.
            of.again && in_time && self.budget.spend()
        } else {
            in_time
        };
        if goes_again {
            self.place(now_us, call, wire);
        } else {
            self.calls.remove(&call);
            wire.complete(call, if written { CallResult::Broken } else { CallResult::Unsent });
        }
        self.serve_waiting(now_us, wire);
    }

    /// Time has passed: calls that waited too long end, and so do connections that carry nothing.
    pub fn tick(&mut self, now_us: u64, wire: &mut impl Transport) {
        while let Some(at) = self.waiting.iter().position(|call| self.calls[call].until_us <= now_us) {
            let call = self.waiting.remove(at).expect("just seen");
            self.calls.remove(&call);
            wire.complete(call, CallResult::Unsent);
        }
        while let Some((used_us, link)) = self.idle.first().copied() {
            if now_us < used_us + self.bounds.max_idle_us {
                break;
            }
            self.let_go(link, wire);
        }
        self.serve_waiting(now_us, wire);
    }

    /// Which place each call goes to, and how each place stands, for operators.
    pub fn load_balancer(&self) -> &LoadBalancer {
        &self.spread
    }

    pub fn connection_count(&self) -> usize {
        self.links.len()
    }

    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Gives a call a connection, lets it wait for one, or ends it where no place takes it.
    fn place(&mut self, now_us: u64, call: CallId, wire: &mut impl Transport) {
        let of = &self.calls[&call];
        let (again, fresh, avoid) = (of.again, of.fresh, of.avoid);
        let idempotency = if again { Idempotency::Idempotent } else { Idempotency::NotIdempotent };
        let Some(place) = self.spread.pick(now_us, idempotency, avoid) else {
            self.calls.remove(&call);
            return wire.complete(call, CallResult::Unsent);
        };
        // The one used last first, so that the others go as idle.
        let newest = self.idle_at[place].last().map(|(_, link)| *link).filter(|_| !fresh);
        let link = match newest {
            Some(link) => link,
            None if self.has_room() => {
                if self.links.len() >= self.bounds.max_connections {
                    let (_, oldest) = *self.idle.first().expect("room was seen");
                    self.let_go(oldest, wire);
                }
                self.next_link += 1;
                self.links.insert(self.next_link, Link { place, made: false, call: None, used_us: now_us });
                self.next_link
            }
            None => return self.waiting.push_back(call),
        };
        self.spread.call_started(now_us, place, call);
        self.calls.get_mut(&call).expect("placed").link = Some(link);
        let of = self.links.get_mut(&link).expect("chosen");
        of.call = Some(call);
        if !of.made {
            return wire.connect(link, place);
        }
        // Guards against a connection that was forgotten at the other side.
        let prove = !again || now_us >= of.used_us + self.bounds.ping_after_idle_us;
        let used_us = std::mem::replace(&mut of.used_us, now_us);
        self.busy(place, used_us, link);
        wire.write(link, call, prove);
    }

    /// Whether one more connection may be made, if need be in the place of one that carries nothing.
    fn has_room(&self) -> bool {
        self.links.len() < self.bounds.max_connections || !self.idle.is_empty()
    }

    /// A connection that is made carries nothing now; it is kept unless its place leaves.
    fn rest(&mut self, link: ConnectionId, wire: &mut impl Transport) {
        let Link { place, used_us, .. } = self.links[&link];
        if self.spread.is_listed(place) {
            self.idle.insert((used_us, link));
            self.idle_at[place].insert((used_us, link));
        } else {
            self.links.remove(&link);
            wire.close(link);
        }
    }

    fn busy(&mut self, place: usize, used_us: u64, link: ConnectionId) {
        self.idle.remove(&(used_us, link));
        self.idle_at[place].remove(&(used_us, link));
    }

    fn let_go(&mut self, link: ConnectionId, wire: &mut impl Transport) {
        if let Some(Link { place, used_us, .. }) = self.links.remove(&link) {
            self.busy(place, used_us, link);
            wire.close(link);
        }
    }

    fn serve_waiting(&mut self, now_us: u64, wire: &mut impl Transport) {
        while self.has_room() {
            let Some(call) = self.waiting.pop_front() else { return };
            self.place(now_us, call, wire);
            // It waits again, behind the others: nothing more can be done now.
            if self.waiting.back() == Some(&call) {
                let call = self.waiting.pop_back().expect("just seen");
                return self.waiting.push_front(call);
            }
        }
    }
}
