//! A small JSON reader and a base64 codec.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Object(members) => members.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }
    pub fn number(&self, key: &str) -> Option<f64> {
        match self.get(key)? {
            Value::Number(number) => Some(*number),
            _ => None,
        }
    }
}

pub fn parse(input: &str) -> Option<Value> {
    let bytes = input.as_bytes();
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    blanks(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn literal(bytes: &[u8], at: &mut usize, word: &str, value: Value) -> Option<Value> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    blanks(bytes, at);
    match *bytes.get(*at)? {
        b'n' => literal(bytes, at, "null", Value::Null),
        b't' => literal(bytes, at, "true", Value::Bool(true)),
        b'f' => literal(bytes, at, "false", Value::Bool(false)),
        b'"' => string(bytes, at).map(Value::Text),
        b'[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                blanks(bytes, at);
                match bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Value::List(list))
        }
        b'{' => {
            let mut members = Vec::new();
            *at += 1;
            loop {
                blanks(bytes, at);
                match bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        blanks(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        members.push((name, value(bytes, at)?));
                    }
                }
            }
            *at += 1;
            Some(Value::Object(members))
        }
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Value::Number)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escape = *bytes.get(*at)?;
                *at += 1;
                match escape {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let character = char::from_u32(code)?;
                        out.extend(character.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Option<Vec<u8>> {
    let (mut out, mut bits, mut count) = (Vec::new(), 0u32, 0);
    for byte in text.bytes().filter(|b| *b != b'=') {
        bits = bits << 6 | DIGITS.iter().position(|d| *d == byte)? as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    Some(out)
}
