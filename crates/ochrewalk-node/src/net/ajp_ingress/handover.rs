//! Hand-over of AJP connections: records them for a successor and resumes those of a predecessor.

use super::{AjpClient, AjpIngress, Connection, ConnectionState, PendingRequest};
use crate::handover::records::{AjpConnectionRecord, AjpConnectionRecords, AjpRequestRecord, ClientAddress};
use crate::interfaces::DownstreamClient;
use crate::net::buffered_connection::{stream_from_descriptor, SendQueue};
use ochrewalk::host::RpcId;
use ochrewalk_ajp::request::BodyLength;
use ochrewalk_ajp::servlet_container::{State, StateMachine};
use ochrewalk_ingress::request_evaluation::{MethodRequest, RequestTarget};
use std::collections::HashSet;
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::sync::{Arc, Mutex};

impl AjpIngress {
    /// Returns the listener's descriptor, or `None` once the listener is closed.
    pub fn listener_descriptor(&self) -> Option<RawFd> {
        self.lock().listener.as_ref().map(|listener| listener.as_raw_fd())
    }

    /// Returns each connection with its descriptor, for another process to resume. `None` while a connection is being
    /// opened or closed.
    pub fn snapshot(&self) -> Option<(AjpConnectionRecords, Vec<RawFd>)> {
        let table = self.lock();
        let (mut connections, mut descriptors) = (Vec::new(), Vec::new());
        for (number, connection) in
            table.connections.iter().filter(|(_, connection)| !connection.lock().is_closed)
        {
            let (fd, stream) = connection.send_queue.snapshot()?;
            let state = connection.lock();
            let (machine_state, has_received_packet, consecutive_faults) = state.state_machine.snapshot();
            let (kind, since_us, got, stated, flag) = match machine_state {
                State::Idle { since_us } => (0, since_us, 0, None, false),
                State::PartialPacket { since_us } => (1, since_us, 0, None, false),
                State::Body { since_us, received_bytes, length } => {
                    let stated = if let BodyLength::Stated(stated) = length { Some(stated) } else { None };
                    (2, since_us, received_bytes, stated, false)
                }
                State::InFlight { is_corrupted } => (3, 0, 0, None, is_corrupted),
                State::Responding { reuse } => (4, 0, 0, None, reuse),
                State::Closing { since_us } => (5, since_us, 0, None, false),
                State::Closed => (6, 0, 0, None, false),
            };
            connections.push(AjpConnectionRecord {
                number: *number,
                stream,
                state: kind,
                since_us,
                got,
                stated,
                flag,
                spoke: has_received_packet,
                faults: consecutive_faults,
                request: state.request.as_ref().map(request_record),
                body: state.body.clone(),
                rpc: state.rpc.as_ref().map(|id| id.to_string()),
                serial: state.serial,
                used_us: state.used_us,
                is_proven: state.is_proven,
            });
            descriptors.push(fd);
        }
        Some((AjpConnectionRecords { connections, next_number: table.next_number }, descriptors))
    }

    /// Restores the connections of another process. `ids` are those of the open RPCs.
    pub fn resume(
        &self,
        records: AjpConnectionRecords,
        descriptors: Vec<OwnedFd>,
        ids: &HashSet<RpcId>,
    ) -> Vec<(Arc<Connection>, OwnedFd)> {
        let mut table = self.lock();
        table.next_number = records.next_number;
        let id = |rpc: String| ids.get(rpc.as_str()).cloned().unwrap_or_else(|| rpc.into());
        let mut resumed = Vec::new();
        for (record, descriptor) in records.connections.into_iter().zip(descriptors) {
            let (since_us, flag) = (record.since_us, record.flag);
            let machine_state = match record.state {
                0 => State::Idle { since_us },
                1 => State::PartialPacket { since_us },
                2 => {
                    let length = record.stated.map_or(BodyLength::Unstated, BodyLength::Stated);
                    State::Body { since_us, received_bytes: record.got, length }
                }
                3 => State::InFlight { is_corrupted: flag },
                4 => State::Responding { reuse: flag },
                5 => State::Closing { since_us },
                _ => State::Closed,
            };
            let state = ConnectionState {
                state_machine: StateMachine::restore(
                    self.limits(),
                    machine_state,
                    record.spoke,
                    record.faults,
                ),
                request: record.request.map(pending_request),
                body: record.body,
                rpc: record.rpc.map(id),
                serial: record.serial,
                used_us: record.used_us,
                is_proven: record.is_proven,
                is_evicted: false,
                is_closed: false,
            };
            let send_queue = SendQueue::resume(record.stream, false);
            let connection =
                Arc::new(Connection { number: record.number, send_queue, state: Mutex::new(state) });
            table.connections.insert(record.number, connection.clone());
            resumed.push((connection, descriptor));
        }
        resumed
    }

    /// Serves the connections that [`AjpIngress::resume`] has returned.
    pub fn serve_resumed(self: &Arc<Self>, resumed: Vec<(Arc<Connection>, OwnedFd)>) {
        for (connection, descriptor) in resumed {
            let ingress = self.clone();
            may::go!(move || ingress.serve(
                &stream_from_descriptor(descriptor),
                connection.number,
                &connection
            ));
        }
    }

    /// Returns the client that waits for an answer at the address that [`DownstreamClient::address`] gave.
    pub fn client_at(self: &Arc<Self>, at: &ClientAddress) -> Option<Box<dyn DownstreamClient>> {
        let connection = self.lock().connections.get(&at.connection)?.clone();
        Some(Box::new(AjpClient { ingress: self.clone(), connection, serial: at.serial }))
    }
}

fn request_record(pending: &PendingRequest) -> AjpRequestRecord {
    let ts_ms = pending.read_ms;
    match &pending.target {
        RequestTarget::Health => AjpRequestRecord { health: true, ts_ms, ..AjpRequestRecord::default() },
        RequestTarget::Method(MethodRequest { method, id, token, time_left_us, memory_kb, tenant }) => {
            AjpRequestRecord {
                health: false,
                method: *method as u32,
                id: id.clone(),
                token: token.clone(),
                left_us: *time_left_us,
                kb: *memory_kb,
                ts_ms,
                tenant: tenant.clone(),
            }
        }
    }
}

/// Restores a pending request. The quota is not part of the record: a request whose body is received during a hand-over
/// counts as within its quota.
fn pending_request(record: AjpRequestRecord) -> PendingRequest {
    let AjpRequestRecord { health, method, id, token, left_us, kb, ts_ms, tenant } = record;
    let target = if health {
        RequestTarget::Health
    } else {
        RequestTarget::Method(MethodRequest {
            method: method as usize,
            id,
            token,
            time_left_us: left_us,
            memory_kb: kb,
            tenant,
        })
    };
    PendingRequest { target, read_ms: ts_ms, tenant: None }
}
