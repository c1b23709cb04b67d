//! The protocol's tables of coded methods, headers and attributes.

/// Methods by their code, from 1 on.
const METHODS: [&str; 27] = [
    "OPTIONS",
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "DELETE",
    "TRACE",
    "PROPFIND",
    "PROPPATCH",
    "MKCOL",
    "COPY",
    "MOVE",
    "LOCK",
    "UNLOCK",
    "ACL",
    "REPORT",
    "VERSION-CONTROL",
    "CHECKIN",
    "CHECKOUT",
    "UNCHECKOUT",
    "SEARCH",
    "MKWORKSPACE",
    "UPDATE",
    "LABEL",
    "MERGE",
    "BASELINE-CONTROL",
    "MKACTIVITY",
];

/// The method stands in an attribute.
pub const STORED_METHOD: u8 = 0xFF;

/// Headers by their code, from 0xA001 on.
const REQUEST_HEADERS: [&str; 14] = [
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "authorization",
    "connection",
    "content-type",
    "content-length",
    "cookie",
    "cookie2",
    "host",
    "pragma",
    "referer",
    "user-agent",
];

const REPLY_HEADERS: [&str; 11] = [
    "content-type",
    "content-language",
    "content-length",
    "date",
    "last-modified",
    "location",
    "set-cookie",
    "set-cookie2",
    "servlet-engine",
    "status",
    "www-authenticate",
];

const FIRST_HEADER: u16 = 0xA001;
/// A string's length can't be in this range, as codes stand there.
pub const CODED: std::ops::RangeInclusive<u16> = 0xA000..=0xA0FF;

/// Which table a packet's headers are coded by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Headers {
    Request,
    Reply,
}

impl Headers {
    fn names(self) -> &'static [&'static str] {
        match self {
            Headers::Request => &REQUEST_HEADERS,
            Headers::Reply => &REPLY_HEADERS,
        }
    }

    pub fn name(self, code: u16) -> Option<&'static str> {
        self.names().get(usize::from(code.checked_sub(FIRST_HEADER)?)).copied()
    }

    pub fn code(self, name: &[u8]) -> Option<u16> {
        let at = self.names().iter().position(|n| n.as_bytes().eq_ignore_ascii_case(name))?;
        Some(FIRST_HEADER + at as u16)
    }
}

pub fn method(code: u8) -> Option<&'static str> {
    METHODS.get(usize::from(code.checked_sub(1)?)).copied()
}

pub fn method_code(name: &[u8]) -> Option<u8> {
    METHODS.iter().position(|m| m.as_bytes() == name).map(|at| at as u8 + 1)
}
