//! The executor's commands and notices, JSON objects of one line each. Contents stay the bytes that came.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt::Display;

/// The longest line that is read: the largest result in base64 with room to spare.
pub const LONGEST: usize = 64 * 1024;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Complete,
    Failed,
    Stopped,
    /// Nothing was started.
    NeverRan,
    /// Nothing was started, as the executor knows of no such RPC: its sender made it up.
    Unknown,
}

#[derive(Debug)]
pub enum Notice<'a> {
    Welcome { cold: bool, up_us: u64 },
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

/// The error says in a word or two what is wrong.
pub fn read(line: &[u8]) -> Result<Notice<'_>, String> {
    if !line.starts_with(b"{") {
        return Err("no object".into());
    }
    let line: Line = serde_json::from_slice(line).map_err(|err| format!("no notice: {err}"))?;
    let lacks = |field: &str| format!("{}: field {field} is missing or wrong", line.action);
    let content = line.content.filter(|c| c.get().starts_with('"'));
    Ok(match &*line.action {
        "WELCOME" => Notice::Welcome {
            cold: match line.code.as_deref() {
                Some("chilly") => true,
                Some("hot") => false,
                _ => return Err(lacks("code")),
            },
            up_us: (line.wall_ms.unwrap_or(0.0).max(0.0) * 1_000.0) as u64,
        },
        "EXIT" => {
            let end = match line.code.as_deref() {
                Some("complete") => RunEnd::Complete,
                Some("error") => RunEnd::Failed,
                Some("cancelled") => RunEnd::Stopped,
                Some("unknown") => RunEnd::NeverRan,
                _ => return Err(lacks("code")),
            };
            if end == RunEnd::Complete && content.is_none() {
                return Err(lacks("content"));
            }
            let pos = line.pos.ok_or_else(|| lacks("pos"))?;
            Notice::Exit { pos, uid: line.uid.ok_or("EXIT: field uid is missing")?, end, content }
        }
        "CALLOUT" => Notice::Callout {
            pos: line.pos.ok_or_else(|| lacks("pos"))?,
            content: content.ok_or_else(|| lacks("content"))?,
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

/// The action and the run that a command of ours names.
///
/// ```
/// use ochrewalk_node::wire::notices::{kill, meter, named};
/// assert_eq!(named(&kill("ab")), Some(("KILL", "ab")));
/// assert_eq!(named(&meter(7)), None);
/// ```
pub fn named(command: &[u8]) -> Option<(&str, &str)> {
    let rest = std::str::from_utf8(command).ok()?.strip_prefix("{\"action\":\"")?;
    let (action, rest) = rest.split_once("\",\"uid\":\"")?;
    Some((action, rest.split_once('"')?.0))
}

pub fn join(read: u64) -> Vec<u8> {
    format!("{{\"action\":\"JOIN\",\"pos\":{read}}}\n").into_bytes()
}

fn command(action: &str, uid: &str, rest: impl Display) -> Vec<u8> {
    format!("{{\"action\":\"{action}\",\"uid\":\"{uid}\"{rest}}}\n").into_bytes()
}

/// `lane` and `content` are JSON strings.
pub fn exec(uid: &str, lane: &str, content: &str) -> Vec<u8> {
    command("EXEC", uid, format_args!(",\"lane\":{lane},\"content\":{content}"))
}

pub fn kill(uid: &str) -> Vec<u8> {
    command("KILL", uid, "")
}

pub fn wake(uid: &str) -> Vec<u8> {
    command("WAKE", uid, "")
}

pub fn give_back(uid: &str, base64: &str) -> Vec<u8> {
    command("RETURN", uid, format_args!(",\"content\":\"{base64}\""))
}

pub fn bypass(uid: &str, pos: u64) -> Vec<u8> {
    command("BYPASS", uid, format_args!(",\"pos\":{pos}"))
}

pub fn meter(tag: u64) -> Vec<u8> {
    format!("{{\"action\":\"METER\",\"echo\":\"{tag}\"}}\n").into_bytes()
}
