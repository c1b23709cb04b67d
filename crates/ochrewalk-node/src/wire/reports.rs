//! HTTP/1.1 with the directory: encodes a node's report and parses the response.

/// The maximum size of a response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Encodes the report of the node `name`. `is_open` states whether the node takes requests.
pub fn report(name: &str, host: &str, is_open: bool) -> Vec<u8> {
    let body = if is_open { "{\"mode\":\"open\"}" } else { "{\"mode\":\"closed\"}" };
    let length = body.len();
    format!("PUT /dir/nodes/{name} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// Whether the connection may carry another report.
    pub is_reusable: bool,
    /// The size of the response, in bytes.
    pub length: usize,
}

/// Parses the response at the start of `input`. Returns `None` until it has been received completely.
///
/// # Errors
///
/// The input is not an HTTP response, or its body is too long; the text states the reason.
pub fn read(input: &[u8]) -> Result<Option<Response>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(input) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(err) => return Err(err.to_string()),
    };
    let status = response.code.ok_or("the response has no status")?;
    let header = |name: &str| {
        let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    let stated = header("content-length").map(|text| text.parse::<usize>().ok());
    let body = match stated {
        Some(None) => return Err("the content-length is not a number".into()),
        Some(Some(length)) if length > MAX_RESPONSE_BYTES => return Err("the response is too long".into()),
        Some(Some(length)) => length,
        None => 0,
    };
    // The end of a body of unstated length is the end of its connection. The body itself is not used.
    let closes = header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let unstated = stated.is_none() && status != 204 && status != 304;
    let parsed = Response { status, is_reusable: !closes && !unstated, length: head + body };
    Ok((input.len() >= parsed.length).then_some(parsed))
}
