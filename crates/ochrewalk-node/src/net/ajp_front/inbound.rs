//! What comes on a connection: packets are put together to requests, and what the connection's state machine asks for is done.

use super::{AjpFront, Caller, Carried, Connection, PendingRequest};
use crate::close_reason::CloseReason;
use crate::net::link::{Finish, Reader};
use crate::shared_state::ParsedRequest;
use base64::prelude::{Engine, BASE64_STANDARD};
use ochrewalk_ajp::answerer::{Acts, End, Plain, Refusal};
use ochrewalk_ajp::reply;
use ochrewalk_ajp::request::{self, BodyLength, Message};
use ochrewalk_ingress::judge::{Asks, Method, No};
use std::sync::Arc;

/// The largest body that the protocols in front allow.
pub(super) const MOST_BODY: u64 = 2 * 1024;

/// What a life asked for while its connection's lock was held; done once it is free.
#[derive(Default)]
pub(super) struct Wanted {
    start: bool,
    ask: Option<u64>,
    pong: bool,
    refuse: Option<(Refusal, bool)>,
    pub(super) gone: bool,
    end: Option<End>,
}

impl Acts for Wanted {
    fn start(&mut self) {
        self.start = true;
    }
    fn ask_body(&mut self, most: u64) {
        self.ask = Some(most);
    }
    fn pong(&mut self) {
        self.pong = true;
    }
    fn refuse(&mut self, refusal: Refusal, reuse: bool) {
        self.refuse = Some((refusal, reuse));
    }
    fn gone(&mut self) {
        self.gone = true;
    }
    fn end(&mut self, why: End) {
        self.end = Some(why);
    }
}

pub(super) struct Inbound<'a> {
    pub(super) front: &'a Arc<AjpFront>,
    pub(super) connection: &'a Arc<Connection>,
}

impl Reader for Inbound<'_> {
    fn take(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let (mut wanted, mut allow) = (Wanted::default(), Vec::new());
        let taken = {
            let mut state = self.connection.lock();
            if state.life.drops() || !state.life.reads() {
                return Ok(input.len());
            }
            let now_us = self.front.core.clock.now_us();
            let taken = if state.life.awaits_piece() {
                self.piece(&mut state, now_us, input, &mut wanted)
            } else {
                self.message(&mut state, now_us, input, &mut wanted, &mut allow)
            };
            match taken {
                Ok(0) => {
                    state.life.partial(now_us);
                    0
                }
                Ok(taken) => {
                    state.used_us = now_us;
                    taken
                }
                // Where the next packet begins is not known any more; what is owed is still given.
                Err(why) => {
                    state.life.broken(why, &mut wanted);
                    input.len()
                }
            }
        };
        self.act(wanted, &allow);
        Ok(taken)
    }

    fn ready(&self) -> bool {
        self.connection.lock().life.reads()
    }

    fn may_end(&self, how: Finish) -> bool {
        how != Finish::Leaving || !self.connection.lock().life.owes()
    }

    fn drained(&mut self, written: bool) {
        let mut wanted = Wanted::default();
        let closing = {
            let mut state = self.connection.lock();
            let now_us = self.front.core.clock.now_us();
            if written {
                state.life.written(now_us);
            }
            if std::mem::take(&mut state.going) {
                state.life.make_room(&mut wanted);
            }
            state.life.empty(now_us, &mut wanted);
            written && state.life.drops()
        };
        if closing && wanted.end.is_none() {
            // The last answer is out. Its end is told by closing our side: closing all of it on what still comes
            // would reset the answer.
            self.connection.outbox.finish_once(Finish::Leaving);
        }
        self.act(wanted, &[]);
    }
}

impl Inbound<'_> {
    fn piece(
        &self,
        state: &mut Carried,
        now_us: u64,
        input: &[u8],
        wanted: &mut Wanted,
    ) -> Result<usize, ochrewalk_ajp::Broken> {
        let Some((piece, taken)) = request::read_piece(input, self.front.packet)? else { return Ok(0) };
        if state.body.len() + piece.len() <= MOST_BODY as usize {
            state.body.extend_from_slice(piece);
        }
        state.life.piece(now_us, piece.len() as u64, wanted);
        Ok(taken)
    }

    fn message(
        &self,
        state: &mut Carried,
        now_us: u64,
        input: &[u8],
        wanted: &mut Wanted,
        allow: &mut Vec<String>,
    ) -> Result<usize, ochrewalk_ajp::Broken> {
        let Some((message, taken)) = request::read(input, self.front.packet)? else { return Ok(0) };
        let plain = match message {
            Message::Request(request) => {
                // What is in force now holds for all of this request.
                let open = self.front.rules();
                let judged = open.rules.judge(&request);
                if !state.life.owes() {
                    state.body.clear();
                    state.asks = None;
                }
                match judged {
                    Ok((asks, body)) if !state.life.owes() => {
                        let tenant = match &asks {
                            Asks::Method(Method { tenant: Some(tenant), .. }) => {
                                self.front.quota(&open, tenant)
                            }
                            _ => None,
                        };
                        let read_ms = self.front.core.clock.unix_ms();
                        state.asks = Some(PendingRequest { asks, read_ms, tenant });
                        state.life.request(now_us, Ok(body), wanted);
                    }
                    Ok((_, body)) => state.life.request(now_us, Ok(body), wanted),
                    Err(No { refusal, allow: of, last }) => {
                        *allow = of;
                        let follows = request.body_length() != Some(BodyLength::None);
                        if last || follows {
                            state.life.request_with_body(now_us, refusal, wanted);
                        } else {
                            state.life.request(now_us, Err(refusal), wanted);
                        }
                    }
                }
                return Ok(taken);
            }
            Message::CPing => Plain::CPing,
            Message::Login => Plain::Login,
            Message::Shutdown => Plain::Shutdown,
        };
        state.life.plain(now_us, plain, wanted);
        Ok(taken)
    }

    fn act(&self, wanted: Wanted, allow: &[String]) {
        let outbox = &self.connection.outbox;
        let mut out = Vec::new();
        if wanted.pong {
            reply::Message::CPong.write(&mut out, self.front.packet).expect("fits");
        }
        if let Some(most) = wanted.ask {
            let most = most.min(request::longest_piece(self.front.packet) as u64) as u16;
            reply::Message::GetBody(most).write(&mut out, self.front.packet).expect("fits");
        }
        if let Some((refusal, reuse)) = wanted.refuse {
            out.extend(self.front.refusal(refusal, allow, reuse));
        }
        if !out.is_empty() {
            outbox.push(out);
        }
        if wanted.start {
            self.start();
        }
        match wanted.end {
            None => {}
            Some(End::Idle | End::Leaving) => outbox.finish(Finish::Idle),
            Some(End::Silent | End::Unclosed) => outbox.finish(Finish::Silent),
            Some(End::Broken(why)) => {
                tracing::warn!(part = "ajp", "{why}");
                outbox.finish(Finish::Faulty);
            }
        }
    }

    /// The request and its body are whole.
    fn start(&self) {
        let front = self.front;
        let (pending, body, serial) = {
            let mut state = self.connection.lock();
            let Some(pending) = state.asks.take() else { return };
            state.serial += 1;
            (pending, std::mem::take(&mut state.body), state.serial)
        };
        let method = match pending.asks {
            Asks::Method(method) => method,
            Asks::Health => {
                if let Some(reuse) = self.answered(false) {
                    self.connection.outbox.push(front.health(reuse));
                }
                return;
            }
        };
        let id = method.id.unwrap_or_else(|| {
            let mut ids = front.ids.lock().unwrap_or_else(|broken| broken.into_inner());
            format!("{:016x}", ids.u64(..))
        });
        let body = format!("\"{}\"", BASE64_STANDARD.encode(&body));
        let asked = ParsedRequest {
            id: &id,
            method: method.method,
            memory_kb: method.kb,
            arrived_unix_ms: pending.read_ms,
            time_left_us: method.left_us,
            idempotency_key: method.token.as_deref(),
            tenant: pending.tenant,
            body: &body,
        };
        match front.core.validate(&asked) {
            Ok(incoming) => {
                self.connection.lock().rpc = Some(incoming.id.clone());
                let caller = Caller { front: front.clone(), connection: self.connection.clone(), serial };
                front.core.start_request(incoming, &body, caller);
            }
            Err(why) => {
                if let Some(reuse) = self.answered(true) {
                    self.connection.outbox.push(front.refusal(Refusal { status: 400, why }, &[], reuse));
                }
            }
        }
    }

    fn answered(&self, fault: bool) -> Option<bool> {
        self.connection.lock().life.answered(fault)
    }
}
