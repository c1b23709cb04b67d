//! JSON-RPC 2.0 with dispatchers, one message per line. Bodies and results are passed through as the bytes that
//! were received.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// The maximum size of a line, in bytes: the largest body in base64, and the other fields.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// The protocol's upper bound on `need`, which is excluded.
const MAX_NEED_KB: f64 = 2_000.0;

/// The length of a 2 KiB body in base64.
const MAX_BODY_CHARS: usize = 2_732;

const REJECTED: i32 = -32011;
const REVOKED: i32 = -32800;
pub const INVALID_REQUEST: i32 = -32600;
pub const METHOD_NOT_FOUND: i32 = -32601;
pub const INVALID_PARAMS: i32 = -32602;
const FAILED: i32 = -32000;

#[derive(Debug)]
pub enum Message<'a> {
    Rpc(Rpc<'a>),
    /// The caller has stopped waiting for the RPC with this `id` or this `req`.
    Revoke(RevokeTarget<'a>),
    Heartbeat {
        id: &'a str,
    },
    /// A message that cannot be processed, and that is answered with an error.
    Invalid {
        id: &'a str,
        code: i32,
        reason: &'static str,
    },
    /// Input that is not JSON-RPC, and that cannot be answered.
    Malformed,
}

/// The RPC that a revoke names.
#[derive(Debug, PartialEq, Eq)]
pub enum RevokeTarget<'a> {
    Id(&'a str),
    Req(Cow<'a, str>),
}

#[derive(Debug)]
pub struct Rpc<'a> {
    /// The message's `id` as raw JSON.
    pub id: &'a str,
    pub method: Cow<'a, str>,
    pub req: Cow<'a, str>,
    pub ts_ms: u64,
    pub kb: f64,
    pub opkey: Option<Cow<'a, str>>,
    /// A JSON string, as raw JSON.
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
    /// `via` and `subject` are parsed only to check their types.
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
struct RevokeParams<'a> {
    #[serde(borrow)]
    id: Option<&'a RawValue>,
    #[serde(borrow)]
    req: Option<Cow<'a, str>>,
}

/// Parses one line.
pub fn read(line: &[u8]) -> Message<'_> {
    // Rejects a JSON array, from which serde would fill the fields in their order.
    if !line.trim_ascii_start().starts_with(b"{") {
        return Message::Malformed;
    }
    let Ok(envelope) = serde_json::from_slice::<Envelope>(line) else { return Message::Malformed };
    // JSON-RPC allows numbers and strings as ids.
    let id = envelope.id.map(RawValue::get).filter(|id| !id.starts_with(['{', '[', 't', 'f', 'n']));
    let method = envelope.method.and_then(|m| serde_json::from_str::<Cow<str>>(m.get()).ok());
    let Some(method) = method else {
        return id.map_or(Message::Malformed, |id| Message::Invalid {
            id,
            code: INVALID_REQUEST,
            reason: "no method",
        });
    };
    let params = envelope.params.map_or("{}", RawValue::get);
    if method == "revoke" {
        let revoked = serde_json::from_str::<RevokeParams>(params).ok();
        let target =
            revoked.and_then(|r| r.id.map(|id| RevokeTarget::Id(id.get())).or(r.req.map(RevokeTarget::Req)));
        let no_target = Message::Invalid { id: "null", code: INVALID_PARAMS, reason: "a revoke of nothing" };
        return target.or(id.map(RevokeTarget::Id)).map_or(no_target, Message::Revoke);
    }
    // The protocol has no other notification. The error answers a sender that may have omitted the id.
    let Some(id) = id else {
        return Message::Invalid { id: "null", code: INVALID_REQUEST, reason: "no id" };
    };
    if method == "heartbeat" {
        return Message::Heartbeat { id };
    }
    let invalid = |reason| Message::Invalid { id, code: INVALID_PARAMS, reason };
    let Ok(params) = serde_json::from_str::<Params>(params) else {
        return invalid("a field of params is missing or of another type");
    };
    // `req` is forwarded in other protocols, whose peers close the connection on input that they cannot parse.
    if params.req.len() != 16 || !params.req.bytes().all(|b| b.is_ascii_hexdigit()) {
        return invalid("req is not 16 hex digits");
    }
    let is_alphanumeric =
        |key: &str| (1..=64).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_alphanumeric());
    if params.opkey.as_deref().is_some_and(|key| !is_alphanumeric(key)) {
        return invalid("opkey is no word of letters and digits");
    }
    if !(params.need > 0.0 && params.need < MAX_NEED_KB) {
        return invalid("need is out of range");
    }
    if params.level.is_some_and(|level| !(0.0..1.0).contains(&level)) {
        return invalid("level is out of range");
    }
    if !is_base64(params.body.get()) {
        return invalid("body is no string of base64, or too long");
    }
    let Params { req, ts, need, opkey, body, .. } = params;
    Message::Rpc(Rpc { id, method, req, ts_ms: ts, kb: need, opkey, body })
}

/// Whether a raw JSON value is a string of base64. Some senders escape the solidus.
fn is_base64(json: &str) -> bool {
    let Some(text) = json.strip_prefix('"').and_then(|rest| rest.strip_suffix('"')) else { return false };
    let escapes = text.bytes().filter(|b| *b == b'\\').count();
    let digits = text.trim_end_matches('=');
    let padding = text.len() - digits.len();
    let length = text.len() - escapes;
    length <= MAX_BODY_CHARS
        && length % 4 == 0
        && padding <= 2
        && text.matches("\\/").count() == escapes
        && digits.bytes().all(|b| b.is_ascii_alphanumeric() || b"+/\\".contains(&b))
}

/// Returns the load signal as a field, or an empty string.
fn signal_field(signal: Option<f64>) -> String {
    signal.map_or(String::new(), |signal| format!("\"signal\":{signal}"))
}

fn result(id: &str, first_field: &str, signal: Option<f64>) -> Vec<u8> {
    let signal = signal_field(signal);
    let comma = if signal.is_empty() { "" } else { "," };
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{{first_field}{comma}{signal}}}}}\n").into_bytes()
}

/// Encodes the response to an RPC that was served. `body` is the result of its run, a JSON string as received.
pub fn served(id: &str, body: &str, signal: Option<f64>) -> Vec<u8> {
    result(id, &format!("\"body\":{body}"), signal)
}

/// Encodes the response to a heartbeat.
pub fn heartbeat(id: &str, pass: bool, signal: Option<f64>) -> Vec<u8> {
    result(id, &format!("\"pass\":{pass}"), signal)
}

/// Encodes the rejection of an RPC, which states that the RPC never ran.
pub fn rejected(id: &str, last: bool, holdoff_ms: u64, signal: Option<f64>) -> Vec<u8> {
    let holdoff = if holdoff_ms > 0 { format!("\"holdoff\":{holdoff_ms}") } else { String::new() };
    let last = if last { "\"nomore\":1" } else { "" };
    let fields = [holdoff, last.into(), signal_field(signal)];
    let data = fields.into_iter().filter(|f| !f.is_empty()).collect::<Vec<_>>().join(",");
    error(id, REJECTED, "pushed back", &data)
}

/// Encodes the failure of an RPC, which leaves open whether the RPC ran.
pub fn failed(id: &str, signal: Option<f64>) -> Vec<u8> {
    error(id, FAILED, "aborted", &signal_field(signal))
}

/// Encodes the response to an RPC that was revoked, as its sender may still wait for one.
pub fn revoked(id: &str) -> Vec<u8> {
    error(id, REVOKED, "revoked", "")
}

/// Encodes an error response. `data` holds the members of the `data` object.
pub fn error(id: &str, code: i32, message: &str, data: &str) -> Vec<u8> {
    let data = if data.is_empty() { String::new() } else { format!(",\"data\":{{{data}}}") };
    let error = format!("{{\"code\":{code},\"message\":\"{message}\"{data}}}");
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{error}}}\n").into_bytes()
}

/// Encodes the request to send no new RPC on this connection.
pub fn no_more() -> Vec<u8> {
    b"{\"jsonrpc\":\"2.0\",\"method\":\"noMore\"}\n".to_vec()
}
