//! Dispatchers' JSON-RPC 2.0, one message a line. Bodies and results stay the bytes that came.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// The longest line that is read: the largest body in base64, with room for the fields.
pub const LONGEST: usize = 16 * 1024;

/// The protocol's bound on `need`.
const MOST_KB: f64 = 2_000.0;

const REFUSED: i32 = -32011;
const FAILED: i32 = -32000;

#[derive(Debug)]
pub enum Message<'a> {
    Rpc(Rpc<'a>),
    /// The caller stopped waiting for the RPC with this `id`, or this `req`.
    Revoke(Which<'a>),
    Heartbeat {
        id: &'a str,
    },
    /// What it asks for cannot be done; its sender can be told.
    Faulty {
        id: &'a str,
        code: i32,
        why: &'static str,
    },
    /// A notification that means nothing here.
    Nothing {
        method: Cow<'a, str>,
    },
    /// Its sender does not speak this protocol.
    NoRpc,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Which<'a> {
    Id(&'a str),
    Req(Cow<'a, str>),
}

#[derive(Debug)]
pub struct Rpc<'a> {
    /// The message's `id`, as it came.
    pub id: &'a str,
    pub method: Cow<'a, str>,
    pub req: Cow<'a, str>,
    pub ts_ms: u64,
    pub kb: f64,
    pub opkey: Option<Cow<'a, str>>,
    /// A JSON string, as it came.
    pub body: &'a RawValue,
}

#[derive(Deserialize)]
struct Envelope<'a> {
    #[serde(borrow)]
    id: Option<&'a RawValue>,
    #[serde(borrow)]
    method: Option<&'a RawValue>,
    #[serde(borrow)]
    params: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Params<'a> {
    #[serde(borrow)]
    req: Cow<'a, str>,
    ts: u64,
    need: f64,
    #[serde(borrow)]
    opkey: Option<Cow<'a, str>>,
    #[serde(borrow)]
    body: &'a RawValue,
}

#[derive(Deserialize)]
struct Revoked<'a> {
    #[serde(borrow)]
    id: Option<&'a RawValue>,
    #[serde(borrow)]
    req: Option<Cow<'a, str>>,
}

pub fn read(line: &[u8]) -> Message<'_> {
    // Guards against a list that would fit the fields by their order.
    if !line.trim_ascii_start().starts_with(b"{") {
        return Message::NoRpc;
    }
    let Ok(envelope) = serde_json::from_slice::<Envelope>(line) else { return Message::NoRpc };
    // JSON-RPC allows numbers and strings as ids.
    let id = envelope.id.map(RawValue::get).filter(|id| !id.starts_with(['{', '[', 't', 'f']));
    let method = envelope.method.and_then(|m| serde_json::from_str::<Cow<str>>(m.get()).ok());
    let Some(method) = method else {
        return id.map_or(Message::NoRpc, |id| Message::Faulty { id, code: -32600, why: "no method" });
    };
    let params = envelope.params.map_or("{}", RawValue::get);
    if method == "revoke" {
        let revoked = serde_json::from_str::<Revoked>(params).ok();
        let which = revoked.and_then(|r| r.id.map(|id| Which::Id(id.get())).or(r.req.map(Which::Req)));
        return which.or(id.map(Which::Id)).map_or(Message::Nothing { method }, Message::Revoke);
    }
    let Some(id) = id else { return Message::Nothing { method } };
    if method == "heartbeat" {
        return Message::Heartbeat { id };
    }
    let faulty = |why| Message::Faulty { id, code: -32602, why };
    let Ok(params) = serde_json::from_str::<Params>(params) else {
        return faulty("a field of params is missing or of another type");
    };
    // It goes on into other protocols, where it must be one word.
    let word = |text: &str| {
        (1..=64).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    };
    if !word(&params.req) || params.opkey.as_deref().is_some_and(|key| !word(key)) {
        return faulty("req or opkey is no word of letters, digits and '-'");
    }
    if !(params.need > 0.0 && params.need < MOST_KB) {
        return faulty("need is out of range");
    }
    if !params.body.get().starts_with('"') {
        return faulty("body is no string");
    }
    let Params { req, ts, need, opkey, body } = params;
    Message::Rpc(Rpc { id, method, req, ts_ms: ts, kb: need, opkey, body })
}

/// The fields that go with any answer.
fn with_signal(signal: Option<f64>) -> String {
    signal.map_or(String::new(), |signal| format!("\"signal\":{signal}"))
}

fn result(id: &str, first: &str, signal: Option<f64>) -> Vec<u8> {
    let signal = with_signal(signal);
    let comma = if signal.is_empty() { "" } else { "," };
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{{first}{comma}{signal}}}}}\n").into_bytes()
}

/// An answer with the result of a run, a JSON string as it came.
pub fn served(id: &str, body: &str, signal: Option<f64>) -> Vec<u8> {
    result(id, &format!("\"body\":{body}"), signal)
}

pub fn heartbeat(id: &str, pass: bool, signal: Option<f64>) -> Vec<u8> {
    result(id, &format!("\"pass\":{pass}"), signal)
}

/// An answer that promises that the RPC never ran.
pub fn refused(id: &str, last: bool, holdoff_ms: u64, signal: Option<f64>) -> Vec<u8> {
    let holdoff = if holdoff_ms > 0 { format!("\"holdoff\":{holdoff_ms}") } else { String::new() };
    let last = if last { "\"nomore\":1" } else { "" };
    let fields = [holdoff, last.into(), with_signal(signal)];
    let data = fields.into_iter().filter(|f| !f.is_empty()).collect::<Vec<_>>().join(",");
    error(id, REFUSED, "pushed back", &data)
}

/// An answer that promises nothing.
pub fn failed(id: &str, signal: Option<f64>) -> Vec<u8> {
    error(id, FAILED, "aborted", &with_signal(signal))
}

pub fn error(id: &str, code: i32, message: &str, data: &str) -> Vec<u8> {
    let data = if data.is_empty() { String::new() } else { format!(",\"data\":{{{data}}}") };
    let error = format!("{{\"code\":{code},\"message\":\"{message}\"{data}}}");
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{error}}}\n").into_bytes()
}

/// Asks that no new RPC comes on this connection.
pub fn no_more() -> Vec<u8> {
    b"{\"jsonrpc\":\"2.0\",\"method\":\"noMore\"}\n".to_vec()
}
