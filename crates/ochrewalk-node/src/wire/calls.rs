//! The line protocol for upstream calls and their replies. Bodies are length-prefixed and are passed through
//! unchanged.

/// The maximum size of a reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 64 * 1024;

/// The maximum size of a reply's first line, which holds an id, a status and a length. Rejects malformed input
/// that never ends a line.
const MAX_HEAD_BYTES: usize = 128;

/// The status of a reply, under the name that the protocol gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ok,
    Busy,
    Err,
    Late,
    Void,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    pub id: &'a str,
    pub status: Status,
    pub body: &'a [u8],
}

/// Encodes a call. The first line and the body share one buffer, so that they are written together.
pub fn call(id: &str, wait_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut line = format!("CALL {id} {wait_ms} {}\r\n", body.len()).into_bytes();
    line.extend_from_slice(body);
    line.extend_from_slice(b"\r\n");
    line
}

/// Encodes the cancellation of a call.
pub fn cancel(id: &str) -> Vec<u8> {
    format!("DROP {id}\r\n").into_bytes()
}

/// Parses the first complete reply in `input`, and returns it with the number of bytes that it takes.
///
/// Returns `None` until the reply has been received completely.
///
/// # Errors
///
/// The input is not a reply; the text states the reason.
pub fn read(input: &[u8]) -> Result<Option<(Reply<'_>, usize)>, String> {
    let Some((head, head_len)) = super::line(&input[..input.len().min(MAX_HEAD_BYTES)]) else {
        return if input.len() < MAX_HEAD_BYTES {
            Ok(None)
        } else {
            Err("the first line of a reply is too long".into())
        };
    };
    let head = std::str::from_utf8(head).map_err(|_| "the first line of a reply is not UTF-8")?;
    let mut fields = head.split(' ');
    let (id, status) = (fields.next().unwrap_or(""), fields.next().unwrap_or(""));
    let status = match status {
        "OK" => Status::Ok,
        "BUSY" => Status::Busy,
        "ERR" => Status::Err,
        "LATE" => Status::Late,
        "VOID" => Status::Void,
        _ => return Err(format!("unknown reply status {status:.20}")),
    };
    let length = match fields.next() {
        Some(text) => Some(
            text.parse::<usize>()
                .ok()
                .filter(|n| *n < MAX_REPLY_BYTES)
                .ok_or("the length of a reply is out of range")?,
        ),
        None if status == Status::Ok => return Err("an OK reply has no length".into()),
        None => None,
    };
    let Some(length) = length else { return Ok(Some((Reply { id, status, body: &[] }, head_len))) };
    let total = head_len + length + 2;
    if input.len() < total {
        return Ok(None);
    }
    if &input[head_len + length..total] != b"\r\n" {
        return Err("a reply is longer than its stated length".into());
    }
    Ok(Some((Reply { id, status, body: &input[head_len..head_len + length] }, total)))
}
