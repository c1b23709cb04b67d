//! Decides on which connection each upstream call is written, whether that connection is pinged first, and whether a call
//! may be written a second time. `ochrewalk-load-balancer` decides which endpoint a call goes to.
//!
//! The crate opens no sockets and reads no clock: the caller reports connection events to [`ConnectionPool`], which acts
//! through [`Transport`]. An idempotent call may be written a second time after its connection broke, within a retry
//! budget. Any other call is written only on a connection that has just been made or has just answered a ping, and never
//! a second time. A call of which no byte was written is certain not to have run, so that a call of either kind may then
//! be moved to another connection.

mod budget;

pub use budget::RetryBudget;

use ochrewalk_load_balancer::{
    BalancingConfig, CallOutcome, EjectionCause, Endpoint, Idempotency, LoadBalancer,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The number that identifies a connection; the pool never uses one twice.
pub type ConnectionId = u64;
/// The number that identifies a call; the caller never uses one twice.
pub type CallId = u64;

/// Performs the pool's decisions: opens, writes to and closes connections, and reports the results of calls.
pub trait Transport {
    /// Opens a connection to the endpoint in that slot.
    fn connect(&mut self, connection: ConnectionId, slot: usize);
    /// Writes the call on the connection; with `ping_first` only after the peer has answered a ping.
    fn write(&mut self, connection: ConnectionId, call: CallId, ping_first: bool);
    /// Reports the call's result to its requester, exactly once.
    fn complete(&mut self, call: CallId, result: CallResult);
    /// Closes the connection.
    fn close(&mut self, connection: ConnectionId);
}

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The peer replied; the reply is the one that was just read.
    Replied,
    /// No byte of the call was written.
    Unsent,
    /// The connection ended after the call was written, for the reason that was just reported.
    Broken,
}

/// The outcome of a call, as a complete reply states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The endpoint served the call.
    Succeeded,
    /// The endpoint had no capacity for the call.
    Rejected,
    /// The endpoint could not serve the call.
    Failed,
    /// The endpoint could not serve the call in time.
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

/// The way in which a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// The connection was never established.
    ConnectFailed,
    /// The connection was established, and no byte of an unanswered call was written on it. Idle connections end in this
    /// way in normal operation.
    BeforeWrite,
    /// The peer did not answer a ping in time.
    PingTimedOut,
    /// A byte of an unanswered call may have been written.
    AfterWrite,
}

/// The limits on the number of connections and on the time for which they stay idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolConfig {
    /// The largest number of connections, over all endpoints.
    pub max_connections: usize,
    /// An idempotent call is written without a ping on a connection that was used within this time, in microseconds.
    pub ping_after_idle_us: u64,
    /// An idle connection is closed after this time, in microseconds.
    pub max_idle_us: u64,
}

/// The number of times that one call may be assigned to a connection, whatever the retry budget: stops a call that would
/// otherwise move from one failing connection to the next without end.
const MAX_ATTEMPTS: u32 = 4;

struct Connection {
    slot: usize,
    is_connected: bool,
    call: Option<CallId>,
    last_used_us: u64,
}

struct Call {
    is_idempotent: bool,
    deadline_us: u64,
    failed_attempts: u32,
    /// The slot of the endpoint at which the last attempt failed; another endpoint is preferred.
    avoid: Option<usize>,
    /// Whether the call needs a new connection, because an established one ended before the reply.
    needs_new_connection: bool,
    connection: Option<ConnectionId>,
}

/// The connections of one upstream, the calls on them, and the calls that wait for one.
pub struct ConnectionPool {
    config: PoolConfig,
    load_balancer: LoadBalancer,
    connections: BTreeMap<ConnectionId, Connection>,
    /// All idle connections, ordered by the time of their last use.
    idle: BTreeSet<(u64, ConnectionId)>,
    /// The same connections by slot, ordered by the time of their last use.
    idle_by_slot: Vec<BTreeSet<(u64, ConnectionId)>>,
    calls: BTreeMap<CallId, Call>,
    /// The calls that wait for a connection, oldest first.
    waiting: VecDeque<CallId>,
    retry_budget: RetryBudget,
    last_connection_id: ConnectionId,
}

impl ConnectionPool {
    /// Creates a pool without endpoints; [`ConnectionPool::set_endpoints`] sets them.
    pub fn new(
        config: PoolConfig,
        balancing: BalancingConfig,
        retry_share: f64,
        seed: u64,
    ) -> ConnectionPool {
        ConnectionPool {
            config,
            load_balancer: LoadBalancer::new(balancing, seed),
            connections: BTreeMap::new(),
            idle: BTreeSet::new(),
            idle_by_slot: Vec::new(),
            calls: BTreeMap::new(),
            waiting: VecDeque::new(),
            retry_budget: RetryBudget::new(retry_share),
            last_connection_id: 0,
        }
    }

    /// Replaces the list of endpoints and returns the slot of each. Calls in flight at removed endpoints end there.
    pub fn set_endpoints(
        &mut self,
        now_us: u64,
        endpoints: &[Endpoint],
        transport: &mut impl Transport,
    ) -> Vec<usize> {
        let slots = self.load_balancer.set_endpoints(now_us, endpoints);
        let slot_count = slots.iter().max().map_or(0, |slot| slot + 1);
        if self.idle_by_slot.len() < slot_count {
            self.idle_by_slot.resize(slot_count, BTreeSet::new());
        }
        // A slot may be assigned to another endpoint once no call is in flight there: no connection to the previous endpoint
        // may outlast that.
        let is_unused = |(_, connection): &(&ConnectionId, &Connection)| {
            connection.call.is_none() && !slots.contains(&connection.slot)
        };
        let unused: Vec<ConnectionId> =
            self.connections.iter().filter(is_unused).map(|(id, _)| *id).collect();
        unused.into_iter().for_each(|id| self.close(id, transport));
        self.assign_waiting(now_us, transport);
        slots
    }

    /// The time, in microseconds, for which no endpoint is expected to accept calls; `None` if an endpoint accepts them now.
    pub fn unavailable_for_us(&mut self, now_us: u64) -> Option<u64> {
        self.load_balancer.unavailable_for_us(now_us)
    }

    /// Starts a call, whose result is of use until `deadline_us`.
    pub fn start_call(
        &mut self,
        now_us: u64,
        call_id: CallId,
        is_idempotent: bool,
        deadline_us: u64,
        transport: &mut impl Transport,
    ) {
        self.retry_budget.earn();
        let call = Call {
            is_idempotent,
            deadline_us,
            failed_attempts: 0,
            avoid: None,
            needs_new_connection: false,
            connection: None,
        };
        self.calls.insert(call_id, call);
        self.assign(now_us, call_id, transport);
    }

    /// Cancels a call whose requester no longer waits for it. The call is not completed, and a reply that still arrives is
    /// discarded.
    pub fn cancel(&mut self, now_us: u64, call_id: CallId, transport: &mut impl Transport) {
        let Some(cancelled) = self.calls.remove(&call_id) else { return };
        self.waiting.retain(|waiting| *waiting != call_id);
        let Some(id) = cancelled.connection else { return };
        if let Some(Connection { slot, is_connected, .. }) = self.connections.get(&id) {
            let (slot, is_connected) = (*slot, *is_connected);
            // A call that used all its time on this connection counts against the endpoint as a late reply would.
            let is_late = is_connected && now_us >= cancelled.deadline_us;
            self.load_balancer.call_ended(
                now_us,
                slot,
                call_id,
                if is_late { CallOutcome::TimedOut } else { CallOutcome::Inconclusive },
            );
            if is_connected || !self.load_balancer.is_listed(slot) {
                // Only the transport knows whether a byte of the call was written, and a reply that still arrives here
                // must not be taken for that to another call.
                self.connections.remove(&id);
                transport.close(id);
            } else if let Some(connection) = self.connections.get_mut(&id) {
                connection.call = None;
            }
        }
        self.assign_waiting(now_us, transport);
    }

    /// Records that a connection was established.
    pub fn connected(&mut self, now_us: u64, id: ConnectionId, transport: &mut impl Transport) {
        let Some(connection) = self.connections.get_mut(&id) else { return transport.close(id) };
        (connection.is_connected, connection.last_used_us) = (true, now_us);
        match connection.call {
            Some(call_id) => transport.write(id, call_id, false),
            None => {
                self.release(id, transport);
                self.assign_waiting(now_us, transport);
            }
        }
    }

    /// Records a complete reply to the call on a connection. With `is_reusable` the connection may carry another call.
    pub fn replied(
        &mut self,
        now_us: u64,
        id: ConnectionId,
        outcome: ReplyOutcome,
        is_reusable: bool,
        transport: &mut impl Transport,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (slot, call_id) = (connection.slot, connection.call.take());
        connection.last_used_us = now_us;
        if let Some(call_id) = call_id {
            self.load_balancer.call_ended(now_us, slot, call_id, outcome.call_outcome());
        }
        if is_reusable {
            self.release(id, transport);
        } else {
            self.connections.remove(&id);
            transport.close(id);
        }
        if let Some(call_id) = call_id.filter(|call_id| self.calls.remove(call_id).is_some()) {
            transport.complete(call_id, CallResult::Replied);
        }
        self.assign_waiting(now_us, transport);
    }

    /// Records that a connection ended. The call on it is retried or completed.
    pub fn disconnected(
        &mut self,
        now_us: u64,
        id: ConnectionId,
        disconnect: Disconnect,
        transport: &mut impl Transport,
    ) {
        let Some(Connection { slot, call, is_connected, last_used_us }) = self.connections.remove(&id) else {
            return;
        };
        self.remove_idle(slot, last_used_us, id);
        let outcome = match disconnect {
            Disconnect::ConnectFailed => CallOutcome::ConnectFailed,
            // The peer may close an idle connection at any time: its end says nothing about the endpoint.
            Disconnect::BeforeWrite => CallOutcome::Inconclusive,
            Disconnect::PingTimedOut | Disconnect::AfterWrite => CallOutcome::ConnectionBroken,
        };
        match (call, outcome) {
            (Some(call_id), outcome) => self.load_balancer.call_ended(now_us, slot, call_id, outcome),
            (None, CallOutcome::ConnectFailed) => {
                self.load_balancer.record_failure(now_us, slot, EjectionCause::ConnectFailed)
            }
            (None, CallOutcome::Inconclusive) => {}
            (None, _) => self.load_balancer.record_failure(now_us, slot, EjectionCause::CallsFailed),
        }
        let Some(call_id) = call else { return self.assign_waiting(now_us, transport) };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.connection = None;
        call.failed_attempts += 1;
        call.avoid = (outcome != CallOutcome::Inconclusive).then_some(slot);
        call.needs_new_connection = is_connected;
        let was_written = disconnect == Disconnect::AfterWrite;
        let may_retry = now_us < call.deadline_us && call.failed_attempts < MAX_ATTEMPTS;
        let is_retried = if was_written {
            // A call is written a second time only by this decision.
            call.is_idempotent && may_retry && self.retry_budget.spend()
        } else {
            may_retry
        };
        if is_retried {
            self.assign(now_us, call_id, transport);
        } else {
            self.calls.remove(&call_id);
            transport.complete(call_id, if was_written { CallResult::Broken } else { CallResult::Unsent });
        }
        self.assign_waiting(now_us, transport);
    }

    /// Completes waiting calls whose deadline has passed, closes connections that have been idle for too long, and assigns
    /// waiting calls.
    pub fn tick(&mut self, now_us: u64, transport: &mut impl Transport) {
        while let Some(index) =
            self.waiting.iter().position(|call_id| self.calls[call_id].deadline_us <= now_us)
        {
            let call_id = self.waiting.remove(index).expect("the index was just found");
            self.calls.remove(&call_id);
            transport.complete(call_id, CallResult::Unsent);
        }
        while let Some((last_used_us, id)) = self.idle.first().copied() {
            if now_us < last_used_us + self.config.max_idle_us {
                break;
            }
            self.close(id, transport);
        }
        self.assign_waiting(now_us, transport);
    }

    /// The load balancer, from which operators read the state of each endpoint.
    pub fn load_balancer(&self) -> &LoadBalancer {
        &self.load_balancer
    }

    /// The number of connections, those that are being established included.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The number of calls that have not been completed or cancelled.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Assigns a connection to a call, queues the call until one is free, or completes it if no endpoint accepts it.
    fn assign(&mut self, now_us: u64, call_id: CallId, transport: &mut impl Transport) {
        let call = &self.calls[&call_id];
        let (is_idempotent, needs_new_connection, avoid) =
            (call.is_idempotent, call.needs_new_connection, call.avoid);
        let idempotency = if is_idempotent { Idempotency::Idempotent } else { Idempotency::NotIdempotent };
        let Some(slot) = self.load_balancer.pick(now_us, idempotency, avoid) else {
            self.calls.remove(&call_id);
            return transport.complete(call_id, CallResult::Unsent);
        };
        // The most recently used connection is taken first, so that the others reach their idle timeout.
        let newest = self.idle_by_slot[slot].last().map(|(_, id)| *id).filter(|_| !needs_new_connection);
        let id = match newest {
            Some(id) => id,
            None if self.has_capacity() => {
                if self.connections.len() >= self.config.max_connections {
                    let (_, oldest) =
                        *self.idle.first().expect("a full pool with capacity has an idle connection");
                    self.close(oldest, transport);
                }
                self.last_connection_id += 1;
                self.connections.insert(
                    self.last_connection_id,
                    Connection { slot, is_connected: false, call: None, last_used_us: now_us },
                );
                self.last_connection_id
            }
            None => return self.waiting.push_back(call_id),
        };
        self.load_balancer.call_started(now_us, slot, call_id);
        self.calls.get_mut(&call_id).expect("the call is in the map").connection = Some(id);
        let connection = self.connections.get_mut(&id).expect("the connection was just selected");
        connection.call = Some(call_id);
        if !connection.is_connected {
            return transport.connect(id, slot);
        }
        // Detects a connection that the peer has already dropped.
        let ping_first = !is_idempotent || now_us >= connection.last_used_us + self.config.ping_after_idle_us;
        let last_used_us = std::mem::replace(&mut connection.last_used_us, now_us);
        self.remove_idle(slot, last_used_us, id);
        transport.write(id, call_id, ping_first);
    }

    /// Whether a connection may be opened, if necessary after an idle one is closed.
    fn has_capacity(&self) -> bool {
        self.connections.len() < self.config.max_connections || !self.idle.is_empty()
    }

    /// Marks an established connection as idle, or closes it if its endpoint was removed.
    fn release(&mut self, id: ConnectionId, transport: &mut impl Transport) {
        let Connection { slot, last_used_us, .. } = self.connections[&id];
        if self.load_balancer.is_listed(slot) {
            self.idle.insert((last_used_us, id));
            self.idle_by_slot[slot].insert((last_used_us, id));
        } else {
            self.connections.remove(&id);
            transport.close(id);
        }
    }

    fn remove_idle(&mut self, slot: usize, last_used_us: u64, id: ConnectionId) {
        self.idle.remove(&(last_used_us, id));
        self.idle_by_slot[slot].remove(&(last_used_us, id));
    }

    fn close(&mut self, id: ConnectionId, transport: &mut impl Transport) {
        if let Some(Connection { slot, last_used_us, .. }) = self.connections.remove(&id) {
            self.remove_idle(slot, last_used_us, id);
            transport.close(id);
        }
    }

    fn assign_waiting(&mut self, now_us: u64, transport: &mut impl Transport) {
        while self.has_capacity() {
            let Some(call_id) = self.waiting.pop_front() else { return };
            self.assign(now_us, call_id, transport);
            // The call was queued again, behind the others: it returns to the front, and no other call is tried now.
            if self.waiting.back() == Some(&call_id) {
                let call_id = self.waiting.pop_back().expect("the last call was just seen");
                return self.waiting.push_front(call_id);
            }
        }
    }
}
