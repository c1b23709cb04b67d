//! Connections as they are written down for a successor, and taken up from a predecessor.

use super::{AjpFront, Caller, Carried, Connection, PendingRequest};
use crate::handover::records::{AjpConnectionRecord, AjpConnectionRecords, AjpRequestRecord, ClientAddress};
use crate::interfaces::DownstreamClient;
use crate::net::link::{adopt, Outbox};
use ochrewalk::host::RpcId;
use ochrewalk_ajp::answerer::{Life, State};
use ochrewalk_ajp::request::BodyLength;
use ochrewalk_ingress::judge::{Asks, Method};
use std::collections::HashSet;
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::sync::{Arc, Mutex};

impl AjpFront {
    /// The listener's descriptor.
    pub fn listener(&self) -> Option<RawFd> {
        self.lock().listener.as_ref().map(|listener| listener.as_raw_fd())
    }

    /// Every connection with its descriptor, for another process to go on with. None where one is only just coming
    /// or going.
    pub fn keep(&self) -> Option<(AjpConnectionRecords, Vec<RawFd>)> {
        let table = self.lock();
        let (mut connections, mut descriptors) = (Vec::new(), Vec::new());
        for (number, connection) in table.of.iter().filter(|(_, connection)| !connection.lock().over) {
            let (fd, stream) = connection.outbox.keep()?;
            let state = connection.lock();
            let (life, spoke, faults) = state.life.keep();
            let (kind, since_us, got, stated, flag) = match life {
                State::Idle { since_us } => (0, since_us, 0, None, false),
                State::Head { since_us } => (1, since_us, 0, None, false),
                State::Body { since_us, got, of } => {
                    let stated = if let BodyLength::Stated(length) = of { Some(length) } else { None };
                    (2, since_us, got, stated, false)
                }
                State::InHand { spoilt } => (3, 0, 0, None, spoilt),
                State::Answering { reuse } => (4, 0, 0, None, reuse),
                State::Closing { since_us } => (5, since_us, 0, None, false),
                State::Over => (6, 0, 0, None, false),
            };
            connections.push(AjpConnectionRecord {
                number: *number,
                stream,
                state: kind,
                since_us,
                got,
                stated,
                flag,
                spoke,
                faults,
                request: state.asks.as_ref().map(request_record),
                body: state.body.clone(),
                rpc: state.rpc.as_ref().map(|id| id.to_string()),
                serial: state.serial,
                used_us: state.used_us,
                good: state.good,
            });
            descriptors.push(fd);
        }
        Some((AjpConnectionRecords { connections, next_number: table.next }, descriptors))
    }

    /// Goes on with connections of another process. `ids` are those of the RPCs that are open.
    pub fn resume(
        &self,
        kept: AjpConnectionRecords,
        descriptors: Vec<OwnedFd>,
        ids: &HashSet<RpcId>,
    ) -> Vec<(Arc<Connection>, OwnedFd)> {
        let mut table = self.lock();
        table.next = kept.next_number;
        let id = |rpc: String| ids.get(rpc.as_str()).cloned().unwrap_or_else(|| rpc.into());
        let mut resumed = Vec::new();
        for (kept, descriptor) in kept.connections.into_iter().zip(descriptors) {
            let (since_us, flag) = (kept.since_us, kept.flag);
            let life = match kept.state {
                0 => State::Idle { since_us },
                1 => State::Head { since_us },
                2 => {
                    let of = kept.stated.map_or(BodyLength::Unstated, BodyLength::Stated);
                    State::Body { since_us, got: kept.got, of }
                }
                3 => State::InHand { spoilt: flag },
                4 => State::Answering { reuse: flag },
                5 => State::Closing { since_us },
                _ => State::Over,
            };
            let state = Carried {
                life: Life::resume(self.bounds(), life, kept.spoke, kept.faults),
                asks: kept.request.map(pending_request),
                body: kept.body,
                rpc: kept.rpc.map(id),
                serial: kept.serial,
                used_us: kept.used_us,
                good: kept.good,
                going: false,
                over: false,
            };
            let outbox = Outbox::resume(kept.stream, false);
            let connection = Arc::new(Connection { number: kept.number, outbox, state: Mutex::new(state) });
            table.of.insert(kept.number, connection.clone());
            resumed.push((connection, descriptor));
        }
        resumed
    }

    /// Carries connections that [`AjpFront::resume`] gave.
    pub fn go_on(self: &Arc<Self>, resumed: Vec<(Arc<Connection>, OwnedFd)>) {
        for (connection, descriptor) in resumed {
            let front = self.clone();
            may::go!(move || front.serve(&adopt(descriptor), connection.number, &connection));
        }
    }

    /// Who waits for an answer on a connection, as [`DownstreamClient::address`] said.
    pub fn asker(self: &Arc<Self>, at: &ClientAddress) -> Option<Box<dyn DownstreamClient>> {
        let connection = self.lock().of.get(&at.connection)?.clone();
        Some(Box::new(Caller { front: self.clone(), connection, serial: at.serial }))
    }
}

fn request_record(pending: &PendingRequest) -> AjpRequestRecord {
    let ts_ms = pending.read_ms;
    match &pending.asks {
        Asks::Health => AjpRequestRecord { health: true, ts_ms, ..AjpRequestRecord::default() },
        Asks::Method(Method { method, id, token, left_us, kb, tenant }) => AjpRequestRecord {
            health: false,
            method: *method as u32,
            id: id.clone(),
            token: token.clone(),
            left_us: *left_us,
            kb: *kb,
            ts_ms,
            tenant: tenant.clone(),
        },
    }
}

/// Its quota is not passed on: a request whose body crosses a hand-over counts as within it.
fn pending_request(kept: AjpRequestRecord) -> PendingRequest {
    let AjpRequestRecord { health, method, id, token, left_us, kb, ts_ms, tenant } = kept;
    let asks = if health {
        Asks::Health
    } else {
        Asks::Method(Method { method: method as usize, id, token, left_us, kb, tenant })
    };
    PendingRequest { asks, read_ms: ts_ms, tenant: None }
}
