//! Handles input on an AJP connection: assembles packets into requests and performs the actions that the connection's state
//! machine requests.

use super::{AjpClient, AjpIngress, Connection, ConnectionState, PendingRequest};
use crate::close_reason::CloseReason;
use crate::net::buffered_connection::{CloseRequest, MessageHandler, PeerKind};
use crate::net::input_budget::InputBudget;
use crate::shared_state::ParsedRequest;
use base64::prelude::{Engine, BASE64_STANDARD};
use ochrewalk_ajp::reply;
use ochrewalk_ajp::request::{self, BodyLength, Message};
use ochrewalk_ajp::servlet_container::{self, Actions, ControlMessage, Refusal};
use ochrewalk_ingress::request_evaluation::{MethodRequest, Rejection, RequestTarget};
use std::sync::Arc;

/// The maximum size of a request's body that the ingress protocols allow, in bytes.
pub(super) const MAX_BODY_BYTES: u64 = 2 * 1024;

/// The actions that the state machine requested while the connection's lock was held. They are performed after it is
/// released.
#[derive(Default)]
pub(super) struct RequestedActions {
    start: bool,
    body_request: Option<u64>,
    pong: bool,
    refusal: Option<(Refusal, bool)>,
    pub(super) gone: bool,
    close_reason: Option<servlet_container::CloseReason>,
}

impl Actions for RequestedActions {
    fn start_request(&mut self) {
        self.start = true;
    }
    fn request_body_chunk(&mut self, max_bytes: u64) {
        self.body_request = Some(max_bytes);
    }
    fn send_cpong(&mut self) {
        self.pong = true;
    }
    fn send_refusal(&mut self, refusal: Refusal, reuse: bool) {
        self.refusal = Some((refusal, reuse));
    }
    fn client_disconnected(&mut self) {
        self.gone = true;
    }
    fn close(&mut self, reason: servlet_container::CloseReason) {
        self.close_reason = Some(reason);
    }
}

pub(super) struct RequestHandler<'a> {
    pub(super) ingress: &'a Arc<AjpIngress>,
    pub(super) connection: &'a Arc<Connection>,
    /// Whether the client has closed the connection, so that no further request of it is started.
    pub(super) has_client_departed: bool,
}

impl MessageHandler for RequestHandler<'_> {
    fn peer_kind(&self) -> PeerKind {
        PeerKind::Client
    }

    fn input_budget(&self) -> Option<&InputBudget> {
        Some(&self.ingress.core.input_budget)
    }

    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let (mut actions, mut allow) = (RequestedActions::default(), Vec::new());
        let taken = {
            let mut state = self.connection.lock();
            if state.state_machine.discards_input() || !state.state_machine.reads_input() {
                return Ok(input.len());
            }
            let now_us = self.ingress.core.clock.now_us();
            let taken = if state.state_machine.awaits_body_chunk() {
                self.piece(&mut state, now_us, input, &mut actions)
            } else {
                self.message(&mut state, now_us, input, &mut actions, &mut allow)
            };
            match taken {
                Ok(0) => {
                    state.state_machine.partial_input(now_us);
                    0
                }
                Ok(taken) => {
                    state.used_us = now_us;
                    taken
                }
                // The start of the next packet is unknown; a pending answer is still sent.
                Err(error) => {
                    state.state_machine.malformed_input(error, &mut actions);
                    input.len()
                }
            }
        };
        if self.has_client_departed && actions.start {
            return Err(CloseReason::ClosedByPeer);
        }
        self.perform(actions, &allow);
        Ok(taken)
    }

    fn on_client_departed(&mut self) {
        self.has_client_departed = true;
    }

    fn may_read(&self) -> bool {
        self.connection.lock().state_machine.reads_input()
    }

    fn may_close(&self, request: CloseRequest) -> bool {
        request != CloseRequest::Draining || !self.connection.lock().state_machine.has_request_in_flight()
    }

    fn on_drained(&mut self, is_flushed: bool) {
        let mut actions = RequestedActions::default();
        let is_closing = {
            let mut state = self.connection.lock();
            let now_us = self.ingress.core.clock.now_us();
            if is_flushed {
                state.state_machine.output_written(now_us);
            }
            if std::mem::take(&mut state.is_evicted) {
                state.state_machine.evict(&mut actions);
            }
            state.state_machine.check_timeouts(now_us, &mut actions);
            is_flushed && state.state_machine.discards_input()
        };
        if is_closing && actions.close_reason.is_none() {
            // The last answer is written. Only the write side is shut, because a full close on later input would reset
            // the connection before the peer has received the answer.
            self.connection.send_queue.request_close_once(CloseRequest::Draining);
        }
        self.perform(actions, &[]);
    }
}

impl RequestHandler<'_> {
    fn piece(
        &self,
        state: &mut ConnectionState,
        now_us: u64,
        input: &[u8],
        actions: &mut RequestedActions,
    ) -> Result<usize, ochrewalk_ajp::ProtocolError> {
        let Some((piece, taken)) = request::read_body_chunk(input, self.ingress.max_packet_bytes)? else {
            return Ok(0);
        };
        if state.body.len() + piece.len() <= MAX_BODY_BYTES as usize {
            state.body.extend_from_slice(piece);
        }
        state.state_machine.body_chunk(now_us, piece.len() as u64, actions);
        Ok(taken)
    }

    fn message(
        &self,
        state: &mut ConnectionState,
        now_us: u64,
        input: &[u8],
        actions: &mut RequestedActions,
        allow: &mut Vec<String>,
    ) -> Result<usize, ochrewalk_ajp::ProtocolError> {
        let Some((message, taken)) = request::read(input, self.ingress.max_packet_bytes)? else {
            return Ok(0);
        };
        let control_message = match message {
            Message::ForwardRequest(request) => {
                // The configuration in force now applies to this request as a whole.
                let config = self.ingress.config();
                let evaluated = config.rules.evaluate(&request);
                if !state.state_machine.has_request_in_flight() {
                    state.body.clear();
                    state.request = None;
                }
                match evaluated {
                    Ok((target, body)) if !state.state_machine.has_request_in_flight() => {
                        let tenant = match &target {
                            RequestTarget::Method(MethodRequest { tenant: Some(tenant), .. }) => {
                                self.ingress.quota(&config, tenant)
                            }
                            _ => None,
                        };
                        let read_ms = self.ingress.core.clock.unix_ms();
                        state.request = Some(PendingRequest { target, read_ms, tenant });
                        state.state_machine.request_head(now_us, Ok(body), actions);
                    }
                    Ok((_, body)) => state.state_machine.request_head(now_us, Ok(body), actions),
                    Err(Rejection { refusal, allowed_methods, closes_connection }) => {
                        *allow = allowed_methods;
                        let has_body = request.body_length() != Some(BodyLength::None);
                        if closes_connection || has_body {
                            state.state_machine.refused_request_with_body(now_us, refusal, actions);
                        } else {
                            state.state_machine.request_head(now_us, Err(refusal), actions);
                        }
                    }
                }
                return Ok(taken);
            }
            Message::CPing => ControlMessage::CPing,
            Message::Login => ControlMessage::Login,
            Message::Shutdown => ControlMessage::Shutdown,
        };
        state.state_machine.control_message(now_us, control_message, actions);
        Ok(taken)
    }

    fn perform(&self, actions: RequestedActions, allow: &[String]) {
        let send_queue = &self.connection.send_queue;
        let mut out = Vec::new();
        if actions.pong {
            reply::Message::CPong.write(&mut out, self.ingress.max_packet_bytes).expect("fits");
        }
        if let Some(most) = actions.body_request {
            let most = most.min(request::max_chunk_bytes(self.ingress.max_packet_bytes) as u64) as u16;
            reply::Message::GetBodyChunk(most).write(&mut out, self.ingress.max_packet_bytes).expect("fits");
        }
        if let Some((refusal, may_reuse)) = actions.refusal {
            out.extend(self.ingress.refusal(refusal, allow, may_reuse));
        }
        if !out.is_empty() {
            send_queue.push(out);
        }
        if actions.start {
            self.start();
        }
        match actions.close_reason {
            None => {}
            Some(servlet_container::CloseReason::Idle | servlet_container::CloseReason::Draining) => {
                send_queue.request_close(CloseRequest::Idle)
            }
            Some(
                servlet_container::CloseReason::TimedOut | servlet_container::CloseReason::NotClosedByPeer,
            ) => send_queue.request_close(CloseRequest::TimedOut),
            Some(servlet_container::CloseReason::Malformed(error)) => {
                tracing::warn!(part = "ajp", "malformed AJP input: {error}");
                send_queue.request_close(CloseRequest::Faulty);
            }
        }
    }

    /// Starts the request, which has been received completely with its body.
    fn start(&self) {
        let ingress = self.ingress;
        let (pending, body, serial) = {
            let mut state = self.connection.lock();
            let Some(pending) = state.request.take() else { return };
            state.serial += 1;
            (pending, std::mem::take(&mut state.body), state.serial)
        };
        let method = match pending.target {
            RequestTarget::Method(method) => method,
            RequestTarget::Health => {
                if let Some(may_reuse) = self.answered(false) {
                    self.connection.send_queue.push(ingress.health(may_reuse));
                }
                return;
            }
        };
        let id = method.id.unwrap_or_else(|| {
            let mut generator = ingress.id_generator.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            format!("{:016x}", generator.u64(..))
        });
        let body = format!("\"{}\"", BASE64_STANDARD.encode(&body));
        // The deadline counts from the head. The grace of a drain does not hold for a request whose last byte came after it.
        let is_late = ingress.core.coordinator.is_past_drain_grace();
        let arrived_unix_ms = if is_late { ingress.core.clock.unix_ms() } else { pending.read_ms };
        let request = ParsedRequest {
            id: &id,
            method: method.method,
            memory_kb: method.memory_kb,
            arrived_unix_ms,
            time_left_us: method.time_left_us,
            idempotency_key: method.token.as_deref(),
            tenant: pending.tenant,
            body: &body,
        };
        match ingress.core.validate(&request) {
            Ok(incoming) => {
                self.connection.lock().rpc = Some(incoming.id.clone());
                let client =
                    AjpClient { ingress: ingress.clone(), connection: self.connection.clone(), serial };
                ingress.core.start_request(incoming, &body, client);
            }
            Err(reason) => {
                if let Some(may_reuse) = self.answered(true) {
                    self.connection.send_queue.push(ingress.refusal(
                        Refusal { status: 400, reason },
                        &[],
                        may_reuse,
                    ));
                }
            }
        }
    }

    fn answered(&self, is_fault: bool) -> Option<bool> {
        self.connection.lock().state_machine.response_ready(is_fault)
    }
}
