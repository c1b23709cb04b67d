//! Commands to the executor and its notices, one JSON object per line. Contents are passed through as the bytes
//! that were received.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt::Display;

/// The maximum size of a line, in bytes: more than the largest result in base64.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// The outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Complete,
    Failed,
    Stopped,
    /// The run was never started.
    NeverRan,
    /// The run was never started, as the executor does not know the RPC: its sender made the id up.
    Unknown,
}

#[derive(Debug)]
pub enum Notice<'a> {
    Welcome { is_cold: bool, uptime_us: u64 },
    Exit { pos: u64, uid: Cow<'a, str>, end: RunEnd, content: Option<&'a RawValue> },
    Callout { pos: u64, uid: Cow<'a, str>, content: &'a RawValue },
    Meters { echo: Cow<'a, str>, meters: Vec<f64> },
    Bad { command: Cow<'a, str>, uid: Option<Cow<'a, str>> },
    Log { pos: Option<u64> },
}

#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    action: Cow<'a, str>,
    pos: Option<u64>,
    #[serde(borrow)]
    uid: Option<Cow<'a, str>>,
    #[serde(borrow)]
    code: Option<Cow<'a, str>>,
    wall_ms: Option<f64>,
    #[serde(borrow)]
    content: Option<&'a RawValue>,
    #[serde(borrow)]
    echo: Option<Cow<'a, str>>,
    meters: Option<Vec<f64>>,
}

/// Parses one line.
///
/// # Errors
///
/// The line is not a notice; the text states the fault in a few words.
pub fn read(line: &[u8]) -> Result<Notice<'_>, String> {
    if !line.starts_with(b"{") {
        return Err("not a JSON object".into());
    }
    let line: Line = serde_json::from_slice(line).map_err(|err| format!("not a notice: {err}"))?;
    let invalid_field = |field: &str| format!("{}: field {field} is missing or wrong", line.action);
    let content = line.content.filter(|c| c.get().starts_with('"'));
    Ok(match &*line.action {
        "WELCOME" => Notice::Welcome {
            is_cold: match line.code.as_deref() {
                Some("chilly") => true,
                Some("hot") => false,
                _ => return Err(invalid_field("code")),
            },
            uptime_us: (line.wall_ms.unwrap_or(0.0).max(0.0) * 1_000.0) as u64,
        },
        "EXIT" => {
            let end = match line.code.as_deref() {
                Some("complete") => RunEnd::Complete,
                Some("error") => RunEnd::Failed,
                Some("cancelled") => RunEnd::Stopped,
                Some("unknown") => RunEnd::NeverRan,
                _ => return Err(invalid_field("code")),
            };
            if end == RunEnd::Complete && content.is_none() {
                return Err(invalid_field("content"));
            }
            let pos = line.pos.ok_or_else(|| invalid_field("pos"))?;
            Notice::Exit { pos, uid: line.uid.ok_or("EXIT: field uid is missing")?, end, content }
        }
        "CALLOUT" => Notice::Callout {
            pos: line.pos.ok_or_else(|| invalid_field("pos"))?,
            content: content.ok_or_else(|| invalid_field("content"))?,
            uid: line.uid.ok_or("CALLOUT: field uid is missing")?,
        },
        "METERS" => Notice::Meters {
            meters: line.meters.ok_or("METERS: field meters is missing")?,
            echo: line.echo.unwrap_or_default(),
        },
        "BAD" => Notice::Bad { command: line.code.unwrap_or_default(), uid: line.uid },
        "LOG" => Notice::Log { pos: line.pos },
        _ => return Err(format!("unknown action {:.20}", line.action)),
    })
}

/// Returns the action and the run id of an encoded command, or `None` for a command that names no run.
///
/// ```
/// use ochrewalk_node::wire::notices::{action_and_run, kill, meter};
/// assert_eq!(action_and_run(&kill("ab")), Some(("KILL", "ab")));
/// assert_eq!(action_and_run(&meter(7)), None);
/// ```
pub fn action_and_run(command: &[u8]) -> Option<(&str, &str)> {
    let rest = std::str::from_utf8(command).ok()?.strip_prefix("{\"action\":\"")?;
    let (action, rest) = rest.split_once("\",\"uid\":\"")?;
    Some((action, rest.split_once('"')?.0))
}

/// Encodes the first command on a connection. `last_read` is the position of the last notice that was read.
pub fn join(last_read: u64) -> Vec<u8> {
    format!("{{\"action\":\"JOIN\",\"pos\":{last_read}}}\n").into_bytes()
}

fn command(action: &str, uid: &str, rest: impl Display) -> Vec<u8> {
    format!("{{\"action\":\"{action}\",\"uid\":\"{uid}\"{rest}}}\n").into_bytes()
}

/// Encodes the start of a run. `lane` and `content` are JSON strings.
pub fn exec(uid: &str, lane: &str, content: &str) -> Vec<u8> {
    command("EXEC", uid, format_args!(",\"lane\":{lane},\"content\":{content}"))
}

pub fn kill(uid: &str) -> Vec<u8> {
    command("KILL", uid, "")
}

pub fn wake(uid: &str) -> Vec<u8> {
    command("WAKE", uid, "")
}

pub fn return_reply(uid: &str, base64: &str) -> Vec<u8> {
    command("RETURN", uid, format_args!(",\"content\":\"{base64}\""))
}

pub fn bypass(uid: &str, pos: u64) -> Vec<u8> {
    command("BYPASS", uid, format_args!(",\"pos\":{pos}"))
}

/// Encodes a request for the gauges; the reply echoes `tag`.
pub fn meter(tag: u64) -> Vec<u8> {
    format!("{{\"action\":\"METER\",\"echo\":\"{tag}\"}}\n").into_bytes()
}
