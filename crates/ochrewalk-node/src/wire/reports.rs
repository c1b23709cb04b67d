//! The directory's HTTP/1.1: a node's report and the answer to it.

/// The longest answer that is read.
pub const LONGEST: usize = 16 * 1024;

pub fn report(name: &str, host: &str, open: bool) -> Vec<u8> {
    let body = if open { "{\"mode\":\"open\"}" } else { "{\"mode\":\"closed\"}" };
    let length = body.len();
    format!("PUT /dir/nodes/{name} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// The connection may carry another report.
    pub keeps: bool,
    /// How many bytes the answer takes.
    pub length: usize,
}

/// The answer at the start of what was read, once it is whole.
pub fn read(input: &[u8]) -> Result<Option<Answer>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(input) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(err) => return Err(err.to_string()),
    };
    let status = response.code.ok_or("no status")?;
    let header = |name: &str| {
        let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    let stated = header("content-length").map(|text| text.parse::<usize>().ok());
    let body = match stated {
        Some(None) => return Err("a content-length that is no number".into()),
        Some(Some(length)) if length > LONGEST => return Err("an answer too long".into()),
        Some(Some(length)) => length,
        None => 0,
    };
    // An answer with a body of unstated length ends with its connection; nothing of the body matters here.
    let closes = header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let unstated = stated.is_none() && status != 204 && status != 304;
    let whole = Answer { status, keeps: !closes && !unstated, length: head + body };
    Ok((input.len() >= whole.length).then_some(whole))
}
