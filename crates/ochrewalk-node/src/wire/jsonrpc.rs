//! Dispatchers' JSON-RPC 2.0, one message a line. Bodies and results stay the bytes that came.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// The longest line that is read: the largest body in base64, with room for the fields.
pub const LONGEST: usize = 16 * 1024;

/// The protocol's bound on `need`.
const MOST_KB: f64 = 2_000.0;

/// A body of 2 KiB in base64.
const LONGEST_BODY: usize = 2_732;

const REFUSED: i32 = -32011;
const REVOKED: i32 = -32800;
pub const BAD_REQUEST: i32 = -32600;
pub const NO_METHOD: i32 = -32601;
pub const BAD_PARAMS: i32 = -32602;
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
    level: Option<f64>,
    /// They are read only to see that they are what they may be.
    #[serde(rename = "via")]
    _via: Option<u64>,
    #[serde(borrow, rename = "subject")]
    _subject: Option<Cow<'a, str>>,
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
    let id = envelope.id.map(RawValue::get).filter(|id| !id.starts_with(['{', '[', 't', 'f', 'n']));
    let method = envelope.method.and_then(|m| serde_json::from_str::<Cow<str>>(m.get()).ok());
    let Some(method) = method else {
        return id.map_or(Message::NoRpc, |id| Message::Faulty { id, code: BAD_REQUEST, why: "no method" });
    };
    let params = envelope.params.map_or("{}", RawValue::get);
    if method == "revoke" {
        let revoked = serde_json::from_str::<Revoked>(params).ok();
        let which = revoked.and_then(|r| r.id.map(|id| Which::Id(id.get())).or(r.req.map(Which::Req)));
        let nothing = Message::Faulty { id: "null", code: BAD_PARAMS, why: "a revoke of nothing" };
        return which.or(id.map(Which::Id)).map_or(nothing, Message::Revoke);
    }
    // No other notification has a meaning here. Its sender is told: it may have forgotten the id.
    let Some(id) = id else {
        return Message::Faulty { id: "null", code: BAD_REQUEST, why: "no id" };
    };
    if method == "heartbeat" {
        return Message::Heartbeat { id };
    }
    let faulty = |why| Message::Faulty { id, code: BAD_PARAMS, why };
    let Ok(params) = serde_json::from_str::<Params>(params) else {
        return faulty("a field of params is missing or of another type");
    };
    // It goes on into other protocols, whose peers end a connection on what they cannot read.
    if params.req.len() != 16 || !params.req.bytes().all(|b| b.is_ascii_hexdigit()) {
        return faulty("req is not 16 hex digits");
    }
    let word = |key: &str| (1..=64).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_alphanumeric());
    if params.opkey.as_deref().is_some_and(|key| !word(key)) {
        return faulty("opkey is no word of letters and digits");
    }
    if !(params.need > 0.0 && params.need < MOST_KB) {
        return faulty("need is out of range");
    }
    if params.level.is_some_and(|level| !(0.0..1.0).contains(&level)) {
        return faulty("level is out of range");
    }
    if !is_base64(params.body.get()) {
        return faulty("body is no string of base64, or too long");
    }
    let Params { req, ts, need, opkey, body, .. } = params;
    Message::Rpc(Rpc { id, method, req, ts_ms: ts, kb: need, opkey, body })
}

/// Whether a JSON value, as it came, is a string of base64. Some escape the solidus.
fn is_base64(json: &str) -> bool {
    let Some(text) = json.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) else { return false };
    let escapes = text.bytes().filter(|b| *b == b'\\').count();
    let digits = text.trim_end_matches('=');
    let ends = text.len() - digits.len();
    let length = text.len() - escapes;
    length <= LONGEST_BODY
        && length % 4 == 0
        && ends <= 2
        && text.matches("\\/").count() == escapes
        && digits.bytes().all(|b| b.is_ascii_alphanumeric() || b"+/\\".contains(&b))
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

/// One word on an RPC that was taken back: its sender may still wait for one.
pub fn revoked(id: &str) -> Vec<u8> {
    error(id, REVOKED, "revoked", "")
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
