//! Tables of the methods and headers that the protocol encodes by number.

/// Methods in the order of their codes, which begin at 1.
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

/// The code that marks a method without a code, whose name is sent in the attribute `stored_method`.
pub const STORED_METHOD: u8 = 0xFF;

/// Request headers in the order of their codes, which begin at 0xA001.
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

/// Response headers in the order of their codes, which begin at 0xA001.
const RESPONSE_HEADERS: [&str; 11] = [
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

const FIRST_HEADER_CODE: u16 = 0xA001;
/// The range of header codes. Where a code may occur, a string whose length is in this range could not be distinguished
/// from a code, so no string has such a length.
pub const HEADER_CODES: std::ops::RangeInclusive<u16> = 0xA000..=0xA0FF;

/// The table by which the headers of a packet are encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderTable {
    Request,
    Response,
}

impl HeaderTable {
    fn names(self) -> &'static [&'static str] {
        match self {
            HeaderTable::Request => &REQUEST_HEADERS,
            HeaderTable::Response => &RESPONSE_HEADERS,
        }
    }

    pub fn name(self, code: u16) -> Option<&'static str> {
        self.names().get(usize::from(code.checked_sub(FIRST_HEADER_CODE)?)).copied()
    }

    pub fn code(self, name: &[u8]) -> Option<u16> {
        let index = self.names().iter().position(|known| known.as_bytes().eq_ignore_ascii_case(name))?;
        Some(FIRST_HEADER_CODE + index as u16)
    }
}

pub fn method(code: u8) -> Option<&'static str> {
    METHODS.get(usize::from(code.checked_sub(1)?)).copied()
}

pub fn method_code(name: &[u8]) -> Option<u8> {
    METHODS.iter().position(|method| method.as_bytes() == name).map(|index| index as u8 + 1)
}
