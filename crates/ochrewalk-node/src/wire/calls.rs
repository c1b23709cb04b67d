//! The lines in which calls go below and replies come back. Bodies have their length stated and stay as they
//! are.

/// The longest reply that is read.
pub const LONGEST: usize = 64 * 1024;

/// The longest first line of a reply: an id, a word, a length. Guards against noise that never ends a line.
const LONGEST_HEAD: usize = 128;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Ok,
    Busy,
    Err,
    Late,
    Void,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    pub id: &'a str,
    pub word: Word,
    pub body: &'a [u8],
}

/// `head` and the body are put in one piece, so that they are written together.
pub fn call(id: &str, wait_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut line = format!("CALL {id} {wait_ms} {}\r\n", body.len()).into_bytes();
    line.extend_from_slice(body);
    line.extend_from_slice(b"\r\n");
    line
}

pub fn give_up(id: &str) -> Vec<u8> {
    format!("DROP {id}\r\n").into_bytes()
}

/// The first whole reply of what was read, and how many bytes it takes.
pub fn read(input: &[u8]) -> Result<Option<(Reply<'_>, usize)>, String> {
    let Some((head, head_len)) = super::line(&input[..input.len().min(LONGEST_HEAD)]) else {
        return if input.len() < LONGEST_HEAD { Ok(None) } else { Err("a reply without a line".into()) };
    };
    let head = std::str::from_utf8(head).map_err(|_| "a reply that is no text")?;
    let mut words = head.split(' ');
    let (id, word) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let word = match word {
        "OK" => Word::Ok,
        "BUSY" => Word::Busy,
        "ERR" => Word::Err,
        "LATE" => Word::Late,
        "VOID" => Word::Void,
        _ => return Err(format!("unknown reply {word:.20}")),
    };
    let length = match words.next() {
        Some(text) => {
            Some(text.parse::<usize>().ok().filter(|n| *n < LONGEST).ok_or("a length out of range")?)
        }
        None if word == Word::Ok => return Err("OK without a length".into()),
        None => None,
    };
    let Some(length) = length else { return Ok(Some((Reply { id, word, body: &[] }, head_len))) };
    let whole = head_len + length + 2;
    if input.len() < whole {
        return Ok(None);
    }
    if &input[head_len + length..whole] != b"\r\n" {
        return Err("a reply longer than its length".into());
    }
    Ok(Some((Reply { id, word, body: &input[head_len..head_len + length] }, whole)))
}
